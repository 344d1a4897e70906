//! Checks the layout of imports: one import a line, in three groups.
//!
//! The groups are the standard library, other libraries, and the crates of this workspace,
//! in that order and separated by a blank line. The stable formatter has no such option.

/// Names of the standard library's crates.
const STANDARD_CRATES: [&str; 3] = ["std", "core", "alloc"];

/// Path roots that name code of this workspace.
const LOCAL_ROOTS: [&str; 3] = ["crate", "self", "super"];

/// Prefix of this workspace's crates.
const LOCAL_PREFIX: &str = "guavavane";

/// One breach of the import layout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ImportFault {
    /// Line in the file, counted from one.
    pub line: usize,
    /// What is wrong.
    pub reason: &'static str,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ImportGroup {
    Standard,
    External,
    Local,
}

/// Returns the faults of one source file.
pub fn check_source(source: &str) -> Vec<ImportFault> {
    let mut faults = Vec::new();
    let mut previous: Option<ImportGroup> = None;
    let mut blank_before = true;
    for (index, line) in source.lines().enumerate() {
        let trimmed = line.trim();
        if trimmed.is_empty() {
            blank_before = true;
            continue;
        }
        let Some(path) = import_path(trimmed) else {
            if !trimmed.starts_with("#[") {
                previous = None;
            }
            blank_before = false;
            continue;
        };
        let group = import_group(path);
        let fault = layout_fault(path, group, previous, blank_before);
        faults.extend(fault.map(|reason| ImportFault {
            line: index + 1,
            reason,
        }));
        previous = Some(group);
        blank_before = false;
    }
    faults
}

fn layout_fault(
    path: &str,
    group: ImportGroup,
    previous: Option<ImportGroup>,
    blank_before: bool,
) -> Option<&'static str> {
    if path.contains('{') || !path.ends_with(';') {
        return Some("more than one import in a statement");
    }
    let previous = previous?;
    if group < previous {
        return Some("import groups out of order");
    }
    if group > previous && !blank_before {
        return Some("no blank line between import groups");
    }
    if group == previous && blank_before {
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
