//! Checks the layout of imports: one import per statement, in three groups.
//!
//! The groups are the standard library, external crates, and the crates of this workspace, in that
//! order and separated by a blank line. Stable rustfmt cannot enforce this layout.

/// Crates of the standard library.
const STANDARD_CRATES: [&str; 3] = ["std", "core", "alloc"];

/// Path roots of the crate that contains the import.
const LOCAL_ROOTS: [&str; 3] = ["crate", "self", "super"];

/// Prefix of the crate names of this workspace.
const LOCAL_PREFIX: &str = "guavavane";

/// Import that violates the layout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ImportFault {
    /// Line number in the file, from 1.
    pub line: usize,
    /// Violated rule.
    pub reason: &'static str,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ImportGroup {
    Standard,
    External,
    Local,
}

/// Returns the layout faults of a source file, in order of lines.
pub fn check_source(source: &str) -> Vec<ImportFault> {
    let mut faults = Vec::new();
    let mut previous_group: Option<ImportGroup> = None;
    let mut follows_blank_line = true;
    for (index, line) in source.lines().enumerate() {
        let statement = line.trim();
        if statement.is_empty() {
            follows_blank_line = true;
            continue;
        }
        let Some(path) = import_path(statement) else {
            if !statement.starts_with("#[") {
                previous_group = None;
            }
            follows_blank_line = false;
            continue;
        };
        let group = import_group(path);
        let fault = layout_fault(path, group, previous_group, follows_blank_line);
        faults.extend(fault.map(|reason| ImportFault {
            line: index + 1,
            reason,
        }));
        previous_group = Some(group);
        follows_blank_line = false;
    }
    faults
}

fn layout_fault(
    path: &str,
    group: ImportGroup,
    previous_group: Option<ImportGroup>,
    follows_blank_line: bool,
) -> Option<&'static str> {
    if path.contains('{') || !path.ends_with(';') {
        return Some("more than one import in a statement");
    }
    let previous_group = previous_group?;
    if group < previous_group {
        return Some("import groups out of order");
    }
    if group > previous_group && !follows_blank_line {
        return Some("no blank line between import groups");
    }
    if group == previous_group && follows_blank_line {
        return Some("blank line inside an import group");
    }
    None
}

/// Returns the path of an import statement, or `None` for any other line.
fn import_path(line: &str) -> Option<&str> {
    let statement = match line.strip_prefix("pub") {
        Some(rest) => strip_visibility(rest),
        None => line,
    };
    statement.strip_prefix("use ")
}

fn strip_visibility(rest: &str) -> &str {
    let rest = match rest.strip_prefix('(') {
        Some(scoped) => scoped.split_once(')').map_or(scoped, |(_, tail)| tail),
        None => rest,
    };
    rest.trim_start()
}

fn import_group(path: &str) -> ImportGroup {
    let root = path
        .trim_start_matches("::")
        .split([':', ';', ' '])
        .next()
        .unwrap_or_default();
    if STANDARD_CRATES.contains(&root) {
        return ImportGroup::Standard;
    }
    if LOCAL_ROOTS.contains(&root) || root.starts_with(LOCAL_PREFIX) {
        return ImportGroup::Local;
    }
    ImportGroup::External
}
