//! Stand-ins and judges of the cases of review 3: `review-3 CASE RECORD`, run in the repository.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With `TROUBLE=0` the
//! disruption is left out.

mod advice;
mod advised_gang;
mod cell;
mod full_shares;
mod http;
mod scene;
mod slow_advice;
mod wide_config;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use cell::Record;

/// Longest time of a case.
const TIME_MAX: Duration = Duration::from_secs(110);

/// Result of a case.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("review-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::create(Path::new(&path));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, disruption {trouble}"));
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_MAX);
        watched.line("not run: the case takes too long");
        cell::end_started();
        std::process::exit(2);
    });
    let verdict = match case.as_str() {
        "wide-config" => wide_config::run(&record, trouble),
        "advised-gang" => advised_gang::run(&record, trouble),
        "slow-advice" => slow_advice::run(&record, trouble),
        "full-shares" => full_shares::run(&record, trouble),
        _ => Verdict::NotRun("no such case".to_owned()),
    };
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::NotRun(text) => (2, format!("not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
