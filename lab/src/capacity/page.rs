//! The page's text: tables between markers are replaced, all else stays.
use super::error::CapacityError;
use super::slopes::Slopes;
use super::tables;
use super::target::Target;
use std::path::{Path, PathBuf};

/// The files of the page.
#[derive(Debug, Clone)]
pub struct PageFiles {
    /// The page.
    pub page: PathBuf,
    /// The measured series.
    pub slopes: PathBuf,
    /// The operators' figures.
    pub target: PathBuf,
}

impl PageFiles {
    /// The files under a `docs` folder.
    pub fn under(docs: &Path) -> Self {
        PageFiles {
            page: docs.join("CAPACITY.md"),
            slopes: docs.join("capacity/slopes.json"),
            target: docs.join("capacity/target.json"),
        }
    }

    /// The page's text as it is, and as it should be.
    pub fn render(&self) -> Result<(String, String), CapacityError> {
        let text = std::fs::read_to_string(&self.page).map_err(CapacityError::read(&self.page))?;
        let (slopes, target) = (Slopes::read(&self.slopes)?, Target::read(&self.target)?);
        let fresh = with_tables(&text, |name| tables::table(name, &slopes, &target))?;
        Ok((text, fresh))
    }
}

/// The text with each table between `<!-- begin table NAME -->` and `<!-- end table NAME -->` written anew.
pub fn with_tables(
    text: &str,
    table: impl Fn(&str) -> Result<String, CapacityError>,
) -> Result<String, CapacityError> {
    let mut fresh = String::new();
    let mut lines = text.lines();
    while let Some(line) = lines.next() {
        fresh.push_str(line);
        fresh.push('\n');
        let Some(name) = marker(line, "begin") else { continue };
        let end = lines.by_ref().find(|line| marker(line, "end").is_some());
        let end = end.ok_or_else(|| CapacityError::NoEnd(name.into()))?;
        if marker(end, "end") != Some(name) {
            return Err(CapacityError::WrongEnd { name: name.into(), line: end.into() });
        }
        fresh.push_str(&table(name)?);
        fresh.push_str(end);
        fresh.push('\n');
    }
    Ok(fresh)
}

/// The name in a marker line of this kind.
fn marker<'a>(line: &'a str, kind: &str) -> Option<&'a str> {
    let inner = line.trim().strip_prefix("<!-- ")?.strip_suffix(" -->")?;
    inner.strip_prefix(kind)?.strip_prefix(" table ")
}
