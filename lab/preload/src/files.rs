//! Calls on the state folders of the process and on the regular files in them, and opens of its configuration files.
//!
//! Only paths in a folder that [`FOLDERS_VARIABLE`] names and files that [`CONFIGURATION_VARIABLE`] names count, so
//! that logs and sockets never fail.

use crate::plan::{fail, failure};
use crate::real::real;
use larchway_fault_plan::{Call, CONFIGURATION_VARIABLE, FOLDERS_VARIABLE};
use libc::{c_char, c_int, mode_t};
use std::ffi::{CStr, OsStr};
use std::fs;
use std::os::unix::ffi::OsStrExt;
use std::path::{Path, PathBuf};
use std::sync::OnceLock;

/// The state folders, once the environment was read.
static FOLDERS: OnceLock<Vec<PathBuf>> = OnceLock::new();

/// The configuration files, once the environment was read.
static CONFIGURATION_FILES: OnceLock<Vec<PathBuf>> = OnceLock::new();

/// The paths that a variable of the environment names.
fn paths(variable: &str) -> Vec<PathBuf> {
    match std::env::var_os(variable) {
        // Nothing is named by an empty path: names without a folder, such as those of sockets, have it as parent.
        Some(paths) => std::env::split_paths(&paths).filter(|path| path.is_absolute()).collect(),
        None => Vec::new(),
    }
}

fn folders() -> &'static [PathBuf] {
    FOLDERS.get_or_init(|| paths(FOLDERS_VARIABLE))
}

fn is_configuration_file(path: &Path) -> bool {
    let files = CONFIGURATION_FILES.get_or_init(|| paths(CONFIGURATION_VARIABLE));
    files.iter().any(|file| file == path)
}

fn is_in_folder(path: &Path) -> bool {
    path.parent().is_some_and(|parent| folders().iter().any(|folder| folder == parent))
}

/// What a descriptor of the process refers to.
fn path_of(file: c_int) -> Option<PathBuf> {
    fs::read_link(format!("/proc/self/fd/{file}")).ok()
}

/// Whether a descriptor is that of a file in a state folder; sockets and pipes have no path.
pub(crate) fn is_state_file(file: c_int) -> bool {
    !folders().is_empty() && path_of(file).is_some_and(|path| is_in_folder(&path))
}

/// The path that a caller gave.
///
/// # Safety
/// It ends with a zero byte, and stays as it is for as long as the result lives.
unsafe fn path_at<'a>(path: *const c_char) -> &'a Path {
    Path::new(OsStr::from_bytes(CStr::from_ptr(path).to_bytes()))
}

/// The error with which an open fails, if it is to.
unsafe fn open_failure(path: *const c_char, flags: c_int) -> Option<c_int> {
    let writes = flags & libc::O_ACCMODE != libc::O_RDONLY;
    let path = path_at(path);
    if writes && is_in_folder(path) {
        return failure(Call::FileOpen, || 0);
    }
    if !writes && is_configuration_file(path) {
        return failure(Call::ConfigurationOpen, || 0);
    }
    None
}

// The C library's `open` takes its mode as a variable argument. On the ABIs of Linux it is passed as the third of a
// fixed list would be.
#[no_mangle]
unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    match open_failure(path, flags) {
        Some(errno) => fail(errno),
        None => real!(open: fn(*const c_char, c_int, mode_t) -> c_int; path, flags, mode),
    }
}

#[no_mangle]
unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    match open_failure(path, flags) {
        Some(errno) => fail(errno),
        None => real!(open64: fn(*const c_char, c_int, mode_t) -> c_int; path, flags, mode),
    }
}

/// The error with which a sync fails, if it is to.
fn sync_failure(file: c_int) -> Option<c_int> {
    let path = path_of(file)?;
    if folders().contains(&path) {
        return failure(Call::FolderSync, || 0);
    }
    if is_in_folder(&path) {
        return failure(Call::FileSync, || 0);
    }
    None
}

#[no_mangle]
unsafe extern "C" fn fsync(file: c_int) -> c_int {
    match sync_failure(file) {
        Some(errno) => fail(errno),
        None => real!(fsync: fn(c_int) -> c_int; file),
    }
}

#[no_mangle]
unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    match sync_failure(file) {
        Some(errno) => fail(errno),
        None => real!(fdatasync: fn(c_int) -> c_int; file),
    }
}

#[no_mangle]
unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let failing = if is_in_folder(path_at(to)) { failure(Call::FileRename, || 0) } else { None };
    match failing {
        Some(errno) => fail(errno),
        None => real!(rename: fn(*const c_char, *const c_char) -> c_int; from, to),
    }
}
