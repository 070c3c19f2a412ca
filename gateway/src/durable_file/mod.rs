//! Files whose content survives a crash of the process or of the machine.
//!
//! A save writes a temporary file beside the target, syncs it, renames the target to the previous version, renames the
//! temporary file into place and syncs the folder. Whatever step a crash interrupts, the target or its previous version
//! is complete. The content carries its own checksum and version (`larchway_endpoints::checksummed`); a load that
//! refuses the target falls back to the previous version.
use crate::system_errors::{is_not_found, uninterrupted};
use std::cmp::Ordering;
use std::fmt::{self, Display, Formatter};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering as MemoryOrder};
use std::sync::Arc;
use tracing::warn;

pub mod writer;

/// Extension of the version before the current one.
const PREVIOUS: &str = "previous";
/// Extension of a version that was refused, which stays for inspection.
const REFUSED: &str = "refused";
/// Extension of a temporary file, behind the id of the process that writes it.
const TEMPORARY: &str = "new";

/// The file operations of a save. Tests put their own in the place of [`SystemStorage`] to make single steps fail.
pub trait Storage: Send {
    /// Creates or empties a file and writes all bytes to it.
    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Waits until the content of a file is on stable storage.
    fn sync_file(&mut self, path: &Path) -> io::Result<()>;
    /// Renames a file over another one.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// Waits until the names in a folder are on stable storage.
    fn sync_folder(&mut self, folder: &Path) -> io::Result<()>;
}

/// The operations of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemStorage;

impl Storage for SystemStorage {
    fn write(&mut self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        // `write_all` goes on after EINTR and after short writes.
        File::create(path)?.write_all(bytes)
    }

    fn sync_file(&mut self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        // Unlike the other calls here, it is not made again by the standard library.
        uninterrupted(|| fs::rename(from, to))
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }
}

/// The path of a durable file and of the files beside it. Files are compared by their path.
#[derive(Debug, Clone)]
pub struct DurableFile {
    path: PathBuf,
    /// Whether a version that was refused still stands at the path, since it could not be put aside. Clones share it.
    refused_in_place: Arc<AtomicBool>,
}

impl PartialEq for DurableFile {
    fn eq(&self, other: &Self) -> bool {
        self.path == other.path
    }
}

impl Eq for DurableFile {}

impl PartialOrd for DurableFile {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for DurableFile {
    fn cmp(&self, other: &Self) -> Ordering {
        self.path.cmp(&other.path)
    }
}

/// Why a version of a file cannot be used.
enum Unusable<E> {
    /// There is none.
    Missing,
    /// It is there and is refused.
    Refused(Refusal<E>),
}

/// Why a version of a file is refused.
enum Refusal<E> {
    /// It cannot be read.
    Unreadable(io::Error),
    /// It has so many bytes, more than are read.
    TooLong(u64),
    /// Its content cannot be decoded.
    Content(E),
}

impl<E: Display> Display for Refusal<E> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Unreadable(error) => error.fmt(formatter),
            Refusal::TooLong(bytes) => write!(formatter, "it has {bytes} bytes"),
            Refusal::Content(error) => error.fmt(formatter),
        }
    }
}

impl DurableFile {
    /// The file at a path, whether or not it exists.
    pub fn new(path: PathBuf) -> Self {
        DurableFile { path, refused_in_place: Arc::default() }
    }

    /// Where the current version stands.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Where the version before the current one stands.
    pub fn previous(&self) -> PathBuf {
        self.beside(PREVIOUS)
    }

    /// Where this process writes the next version. Two processes of one gateway save at the same time during an
    /// upgrade.
    pub fn temporary(&self) -> PathBuf {
        self.beside(&format!("{}.{TEMPORARY}", std::process::id()))
    }

    /// Where a version that was refused stands.
    fn refused(&self) -> PathBuf {
        self.beside(REFUSED)
    }

    fn beside(&self, extension: &str) -> PathBuf {
        let mut path = self.path.clone().into_os_string();
        path.push(".");
        path.push(extension);
        path.into()
    }

    /// Saves a new version. After an error the old one still stands, and all of the save is to be tried again: once a
    /// sync has failed, the kernel may have dropped what was written, so nothing of the attempt is reused.
    pub fn save(&self, storage: &mut dyn Storage, bytes: &[u8]) -> io::Result<()> {
        let temporary = self.temporary();
        storage.write(&temporary, bytes)?;
        storage.sync_file(&temporary)?;
        self.move_current(storage)?;
        storage.rename(&temporary, &self.path)?;
        let folder = self.path.parent().unwrap_or(Path::new("."));
        storage.sync_folder(folder)
    }

    /// Renames the current version to the previous one or, if it was refused, puts it aside.
    fn move_current(&self, storage: &mut dyn Storage) -> io::Result<()> {
        let refused = self.refused_in_place.load(MemoryOrder::Relaxed);
        let destination = if refused { self.refused() } else { self.previous() };
        match storage.rename(&self.path, &destination) {
            Err(error) if !is_not_found(&error) => return Err(error),
            _ => {}
        }
        self.refused_in_place.store(false, MemoryOrder::Relaxed);
        Ok(())
    }

    /// Loads the current version or, if that is missing or refused, the previous one. A refused version is logged and
    /// put aside, so that the next save does not put it in the place of the good one; where that fails, the next save
    /// of this file or of its clones does it.
    ///
    /// A version of more than `max_bytes` is refused, and one that `decode` returns an error for.
    pub fn load<T, E: Display>(&self, max_bytes: usize, decode: impl Fn(&[u8]) -> Result<T, E>) -> Option<T> {
        for path in [self.path.clone(), self.previous()] {
            match load_version(&path, max_bytes, &decode) {
                Ok(content) => return Some(content),
                Err(Unusable::Missing) => {}
                Err(Unusable::Refused(why)) => {
                    warn!("{} is not used: {why}", path.display());
                    self.put_aside(&path);
                }
            }
        }
        None
    }

    fn put_aside(&self, refused: &Path) {
        if let Err(error) = SystemStorage.rename(refused, &self.refused()) {
            warn!(path = %refused.display(), %error, "a file cannot be put aside");
            let is_current = refused == self.path;
            self.refused_in_place.fetch_or(is_current, MemoryOrder::Relaxed);
        }
    }

    /// Removes the temporary files that processes before this one have left behind. One that belongs to a process that
    /// is still saving makes that save fail, and it is tried again. What cannot be removed is logged and stays.
    pub fn remove_leftovers(&self) {
        if let Err(error) = self.try_remove_leftovers() {
            warn!(path = %self.path.display(), %error, "leftovers of a file cannot be removed");
        }
    }

    fn try_remove_leftovers(&self) -> io::Result<()> {
        let (Some(folder), Some(name)) = (self.path.parent(), self.path.file_name()) else { return Ok(()) };
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path != self.temporary() && is_temporary(&path, &name.to_string_lossy()) {
                fs::remove_file(&path)?;
            }
        }
        Ok(())
    }
}

/// Whether a path is a temporary file of the durable file of this name: `NAME.PID.new`.
fn is_temporary(path: &Path, name: &str) -> bool {
    let file = path.file_name().map(|file| file.to_string_lossy().into_owned()).unwrap_or_default();
    let process = file
        .strip_prefix(name)
        .and_then(|rest| rest.strip_prefix('.'))
        .and_then(|rest| rest.strip_suffix(TEMPORARY))
        .and_then(|rest| rest.strip_suffix('.'));
    process.is_some_and(|id| !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_digit()))
}

fn load_version<T, E>(
    path: &Path,
    max_bytes: usize,
    decode: impl Fn(&[u8]) -> Result<T, E>,
) -> Result<T, Unusable<E>> {
    match fs::metadata(path) {
        Err(error) if is_not_found(&error) => return Err(Unusable::Missing),
        Err(error) => return Err(Unusable::Refused(Refusal::Unreadable(error))),
        Ok(metadata) if metadata.len() > max_bytes as u64 => {
            return Err(Unusable::Refused(Refusal::TooLong(metadata.len())));
        }
        Ok(_) => {}
    }
    let bytes = fs::read(path).map_err(|error| Unusable::Refused(Refusal::Unreadable(error)))?;
    decode(&bytes).map_err(|error| Unusable::Refused(Refusal::Content(error)))
}

/// A name with every character replaced by `_` that a file name should not hold.
pub fn file_name(name: &str) -> String {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "._-".contains(character);
    name.chars().map(|character| if allowed(character) { character } else { '_' }).collect()
}

#[cfg(test)]
mod tests;
