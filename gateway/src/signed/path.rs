//! Paths of objects: `/CLASS/FAMILY/OBJECT/PART`, each in its one form. The group (`FAMILY`) is in the path so that
//! it is signed with it: a purge of the group must reach what was requested by a link.
use super::error::PathError;
use super::link;
use super::settings::FrontSettings;
use crate::wire_settings::WireSettings;

/// Groups are numbered below this.
const GROUP_COUNT: u64 = 256;
/// Digits of an object's id.
const OBJECT_DIGITS: usize = 16;

/// What a path names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObjectPath<'a> {
    /// The class, by its slot.
    pub class: usize,
    /// The group.
    pub group: u64,
    /// The object, as the client wrote it.
    pub object_name: &'a str,
    /// The object.
    pub object: u64,
    /// The part.
    pub part: u64,
}

/// Reads a path.
pub fn parse_path<'a>(
    wire_settings: &WireSettings,
    front: &FrontSettings,
    path: &'a str,
) -> Result<ObjectPath<'a>, PathError> {
    let mut parts = path.strip_prefix('/').ok_or(PathError::NotFound)?.split('/');
    let (Some(class_name), Some(group), Some(object_name), Some(part), None) =
        (parts.next(), parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(PathError::NotFound);
    };
    let class = wire_settings.class(class_name).ok_or(PathError::NotFound)?;
    let group = link::parse_canonical_number(group)
        .filter(|group| *group < GROUP_COUNT)
        .ok_or(PathError::NotFound)?;
    let part = link::parse_canonical_number(part).ok_or(PathError::NotFound)?;
    let object = parse_object(object_name).ok_or(PathError::NotFound)?;
    if !front.classes.iter().any(|linked| linked == class_name) {
        return Err(PathError::ClassNotLinked);
    }
    Ok(ObjectPath { class, group, object_name, object, part })
}

fn parse_object(name: &str) -> Option<u64> {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if name.len() != OBJECT_DIGITS || !name.bytes().all(is_digit) {
        return None;
    }
    u64::from_str_radix(name, 16).ok()
}
