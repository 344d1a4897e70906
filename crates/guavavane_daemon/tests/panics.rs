//! Panic of one thread of a daemon.
//!
//! Guards against a process that lives on without one of its parts, so that nothing restarts it.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]
#![allow(clippy::panic, reason = "the test needs a panic")]

use std::env;
use std::process::Command;
use std::thread;
use std::time::Duration;

use guavavane_daemon::prelude::abort_on_panic;
use guavavane_daemon::prelude::init_stdout_logging;

/// Environment variable that makes this program play the daemon.
const DAEMON_VARIABLE: &str = "GUAVAVANE_TEST_DAEMON";
/// Time that the daemon lives on if the panic does not end it.
const DAEMON_LIFE_TIME: Duration = Duration::from_secs(5);

/// Panics in a thread whose end nobody watches and lives on.
fn run_daemon() {
    init_stdout_logging();
    abort_on_panic();
    thread::Builder::new()
        .name("part".to_owned())
        .spawn(|| panic!("broken part"))
        .unwrap();
    thread::sleep(DAEMON_LIFE_TIME);
}

#[test]
fn a_panic_of_any_thread_ends_the_process_with_a_log_line() {
    if env::var_os(DAEMON_VARIABLE).is_some() {
        return run_daemon();
    }
    let name = "a_panic_of_any_thread_ends_the_process_with_a_log_line";
    let daemon = Command::new(env::current_exe().unwrap())
        .args(["--exact", name, "--nocapture"])
        .env(DAEMON_VARIABLE, "1")
        .output()
        .unwrap();
    assert!(!daemon.status.success(), "the daemon lived on");
    let log = String::from_utf8_lossy(&daemon.stdout);
    let line = log.lines().find(|line| line.contains("process_panicked"));
    let line = line.unwrap_or_else(|| panic!("no log line: {log}"));
    for part in ["thread=part", "panics.rs", "broken part"] {
        assert!(line.contains(part), "{line}");
    }
}
