//! Prints each import below the given folder that violates the layout; exits with status 1 if there
//! is one.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use check_style::check_source;

/// Names of folders without sources of this repository.
const SKIPPED_FOLDERS: [&str; 2] = ["target", ".git"];

fn main() -> anyhow::Result<ExitCode> {
    let root = env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let mut fault_count = 0;
    for file in source_files(Path::new(&root))? {
        let source = fs::read_to_string(&file)?;
        for fault in check_source(&source) {
            println!("{}:{}: {}", file.display(), fault.line, fault.reason);
            fault_count += 1;
        }
    }
    Ok(if fault_count == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn source_files(folder: &Path) -> anyhow::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if path.is_dir() && !SKIPPED_FOLDERS.contains(&name.as_ref()) {
            files.extend(source_files(&path)?);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}
