//! Files in which a process keeps what the next one reads: bounded, and whole or not there.
use std::io::ErrorKind;
use std::path::Path;

/// A name as a file's name can hold it.
pub fn plain(name: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || "._-".contains(c) { c } else { '_' };
    name.chars().map(plain).collect()
}

/// The bytes of a file; none where there is none, and an error beyond so many.
pub fn read(path: &Path, longest: usize) -> Result<Option<Vec<u8>>, String> {
    match std::fs::metadata(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e.to_string()),
        Ok(meta) if meta.len() > longest as u64 => Err(format!("it has {} bytes", meta.len())),
        Ok(_) => std::fs::read(path).map(Some).map_err(|e| e.to_string()),
    }
}

/// Written aside and renamed: a reader finds the old one or the new one, whole.
pub fn replace(path: &Path, aside: &Path, bytes: &[u8]) -> std::io::Result<()> {
    std::fs::write(aside, bytes)?;
    std::fs::rename(aside, path)
}
