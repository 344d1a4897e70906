//! The import check accepts the layout of this workspace and reports each kind of violation.

use check_style::check_source;

fn reasons(source: &str) -> Vec<&'static str> {
    check_source(source)
        .into_iter()
        .map(|fault| fault.reason)
        .collect()
}

#[test]
fn accepts_three_groups_separated_by_blank_lines() {
    let source = "use std::fmt;\n\nuse serde::Serialize;\n\nuse crate::name::WorkerName;\n";
    assert!(reasons(source).is_empty());
}

#[test]
fn reports_braces_wrong_order_and_blank_lines() {
    assert_eq!(
        reasons("use std::{fmt, fs};\n"),
        ["more than one import in a statement"]
    );
    assert_eq!(
        reasons("use serde::Serialize;\n\nuse std::fmt;\n"),
        ["import groups out of order"]
    );
    assert_eq!(
        reasons("use std::fmt;\nuse serde::Serialize;\n"),
        ["no blank line between import groups"]
    );
    assert_eq!(
        reasons("use std::fmt;\n\nuse std::fs;\n"),
        ["blank line inside an import group"]
    );
}
