//! Command lines of the daemons and of the operators.
//!
//! An invalid setting ends the program with exit status 2 and one line that names flag, value and
//! allowed values. Faulty documents and unreachable entries end it with exit status 1.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

use std::process::Command;
use std::process::Output;

fn run_program(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).output().unwrap()
}

fn refused_setting_line(program: &str, arguments: &[&str]) -> String {
    let output = run_program(program, arguments);
    assert_eq!(output.status.code(), Some(2), "{arguments:?}");
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(text.lines().count(), 1, "one line: {text}");
    text
}

#[test]
fn refused_settings_name_the_flag_the_value_and_what_is_allowed() {
    let control = env!("CARGO_BIN_EXE_guavavane-control");
    let line = refused_setting_line(control, &["run", "--data", "unused", "--listen", "nowhere"]);
    assert!(
        line.contains("--listen") && line.contains("nowhere"),
        "{line}"
    );
    let line = refused_setting_line(
        control,
        &[
            "run",
            "--data",
            "unused",
            "--listen",
            "127.0.0.1:0",
            "--lease-ms",
            "5",
        ],
    );
    assert!(
        line.contains("--lease-ms") && line.contains("1000 to 600000"),
        "{line}"
    );
    let agent = env!("CARGO_BIN_EXE_guavavane-agent");
    let address = "127.0.0.1:0";
    let line = refused_setting_line(
        agent,
        &[
            "--listen",
            "here",
            "--http",
            address,
            "--worker",
            address,
            "--control",
            address,
        ],
    );
    assert!(line.contains("here"), "{line}");
}

#[test]
fn faults_of_a_document_are_listed_with_exit_status_1() {
    let folder = std::env::temp_dir().join(format!("guavavane-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("faulty.toml");
    std::fs::write(&file, "team = [{ name = \"A\" }, { name = \"B\" }]\n").unwrap();
    let program = env!("CARGO_BIN_EXE_guavavane");
    let output = run_program(program, &["check", &file.to_string_lossy()]);
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(text.matches("team.name").count(), 2, "{text}");
}

#[test]
fn example_documents_are_valid() {
    let program = env!("CARGO_BIN_EXE_guavavane");
    for name in ["cooperativa", "blomstervagt"] {
        let file = format!(
            "{}/examples/environments/{name}.toml",
            env!("CARGO_MANIFEST_DIR")
        );
        let output = run_program(program, &["check", &file]);
        assert!(output.status.success(), "{name}");
    }
}

#[test]
fn unreachable_entry_is_an_error() {
    let program = env!("CARGO_BIN_EXE_guavavane");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let output = run_program(program, &["--entries", &address.to_string(), "status"]);
    assert_eq!(output.status.code(), Some(1));
}
