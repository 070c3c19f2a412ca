//! Paths of objects: `/CLASS/FAMILY/OBJECT/PART`, in canonical form only. The path contains the group (`FAMILY`) so
//! that it is signed: a purge of the group must reach the objects that were requested by links.
use super::error::PathError;
use super::link;
use super::settings::FrontSettings;
use crate::wire_settings::WireSettings;

/// Number of groups; group numbers are below it.
const GROUP_COUNT: u64 = 256;
/// Number of hexadecimal digits of an object's id.
const OBJECT_DIGITS: usize = 16;

/// The object and part that a path names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObjectPath<'a> {
    /// The class, by its slot.
    pub class: usize,
    /// The number of the group.
    pub group: u64,
    /// The id of the object, as in the path.
    pub object_name: &'a str,
    /// The id of the object.
    pub object: u64,
    /// The number of the part.
    pub part: u64,
}

/// Parses a path.
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
