//! Lists of files and folders in a fixed order.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

/// Returns what a folder contains, ordered by path.
///
/// # Errors
///
/// Fails if the folder can't be read.
pub fn sorted_entries(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let entries = fs::read_dir(folder)?.map(|entry| Ok(entry?.path()));
    let mut paths = entries.collect::<io::Result<Vec<PathBuf>>>()?;
    paths.sort();
    Ok(paths)
}

/// Returns a file itself, or all files below a folder.
///
/// # Errors
///
/// Fails if a folder can't be read.
pub fn files_below(path: &Path) -> io::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in sorted_entries(path)? {
        files.extend(files_below(&entry)?);
    }
    Ok(files)
}
