//! Tests that a document is either accepted or rejected with all its validation errors.

use bolero::produce;

use guavavane_model::prelude::EnvironmentDocument;
use guavavane_testing::for_each_value;

const VALID_DOCUMENT: &str = r#"
data_centre = [{ name = "caxias", region = "serra" }]
team = [{ name = "dispatch" }]

[[service]]
name = "despacho"
team = "dispatch"
instances = 2
demand = { cpu_millis = 1000, memory_mib = 512 }
routes = [{ method = "POST", path_prefix = "/search", idempotent = true }]
"#;

#[test]
fn reports_every_error_with_its_line() {
    let text = r#"team = [{ name = "Dispatch" }]
data_centre = [{ name = "caxias", region = "serra" }]
[[service]]
name = "despacho"
team = "nobody"
data_centres = ["bento"]
instances = 0
demand = { cpu_millis = 0, memory_mib = 512 }
"#;
    let errors = EnvironmentDocument::parse(text).unwrap_err().0;
    let locations: Vec<_> = errors
        .iter()
        .map(|error| (error.line, error.field.as_str()))
        .collect();
    assert_eq!(
        locations,
        [
            (1, "team.name"),
            (5, "service.team"),
            (6, "service.data_centres"),
            (7, "service.instances"),
            (8, "service.demand"),
        ]
    );
}

#[test]
fn rejects_unknown_fields_and_duplicates() {
    let unknown_field = VALID_DOCUMENT.replace("instances", "instancez");
    assert!(EnvironmentDocument::parse(&unknown_field).is_err());
    let service = VALID_DOCUMENT.split_once("[[service]]").unwrap().1;
    let duplicate = format!("{VALID_DOCUMENT}\n[[service]]{service}");
    assert!(EnvironmentDocument::parse(&duplicate).is_err());
}

#[test]
fn route_rules_override_idempotence_by_method() {
    let document = EnvironmentDocument::parse(VALID_DOCUMENT).unwrap();
    let service = &document.services[0];
    assert!(service.is_idempotent("GET", "/slips"));
    assert!(!service.is_idempotent("POST", "/slips"));
    assert!(service.is_idempotent("POST", "/search/lots"));
}

#[test]
fn never_panics_on_any_text() {
    for_each_value(2_000, produce::<Vec<u8>>(), |bytes| {
        let text = String::from_utf8_lossy(bytes);
        let _ = EnvironmentDocument::parse(&text);
        // The factor lets the cut fall anywhere in the valid document, which is longer than a byte
        // can count.
        let prefix_chars = bytes.first().map_or(0, |byte| usize::from(*byte) * 2);
        let corrupted: String = VALID_DOCUMENT
            .chars()
            .take(prefix_chars)
            .chain(text.chars())
            .collect();
        let _ = EnvironmentDocument::parse(&corrupted);
    });
}
