//! Documents are accepted whole or refused with all their faults.

use bolero::produce;

use guavavane_model::prelude::EnvironmentDocument;
use guavavane_testing::for_each_value;

const VALID: &str = r#"
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
fn names_every_fault_with_its_line() {
    let text = r#"team = [{ name = "Dispatch" }]
data_centre = [{ name = "caxias", region = "serra" }]
[[service]]
name = "despacho"
team = "nobody"
data_centres = ["bento"]
instances = 0
demand = { cpu_millis = 0, memory_mib = 512 }
"#;
    let faults = EnvironmentDocument::parse(text).unwrap_err().0;
    let found: Vec<_> = faults
        .iter()
        .map(|fault| (fault.line, fault.field.as_str()))
        .collect();
    assert_eq!(
        found,
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
fn refuses_unknown_fields_and_duplicates() {
    let unknown = VALID.replace("instances", "instancez");
    assert!(EnvironmentDocument::parse(&unknown).is_err());
    let service = VALID.split_once("[[service]]").unwrap().1;
    let doubled = format!("{VALID}\n[[service]]{service}");
    assert!(EnvironmentDocument::parse(&doubled).is_err());
}

#[test]
fn rules_decide_what_is_idempotent() {
    let document = EnvironmentDocument::parse(VALID).unwrap();
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
        let cut = bytes.first().map_or(0, |byte| usize::from(*byte) * 2);
        let mangled: String = VALID.chars().take(cut).chain(text.chars()).collect();
        let _ = EnvironmentDocument::parse(&mangled);
    });
}
