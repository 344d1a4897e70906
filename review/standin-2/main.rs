//! Stand-ins and scripted cases of the second review. Uses the standard library only.
//!
//! One program holds: the launcher of guavavane's own programs, workers, clients and the operator, as
//! `PROTOCOL.md` describes them, and one function for each case. `standin-2 CASE RECORD TROUBLE` runs a
//! case, writes the file RECORD and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
//! run. If TROUBLE is 0 the same is done without the disruption.

mod cell;
mod json;
mod late_hold;
mod late_lease;
mod late_retry;
mod late_start;
mod net;
mod worker;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path), Some(trouble)) =
        (arguments.get(1), arguments.get(2), arguments.get(3))
    else {
        eprintln!("usage: standin-2 CASE RECORD TROUBLE");
        std::process::exit(2);
    };
    let trouble = trouble != "0";
    let run = match case.as_str() {
        "late-hold" => late_hold::run,
        "late-lease" => late_lease::run,
        "late-retry" => late_retry::run,
        "late-start" => late_start::run,
        _ => {
            eprintln!("no such case: {case}");
            std::process::exit(2);
        }
    };
    let record = cell::Record::create(path);
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(116));
        std::process::exit(2);
    });
    let verdict = run(&record, trouble);
    let status = match &verdict {
        Ok(None) => {
            record.line("HELD");
            0
        }
        Ok(Some(broken)) => {
            record.line(&format!("BROKEN {broken}"));
            1
        }
        Err(fault) => {
            record.line(&format!("NOT RUN {fault}"));
            2
        }
    };
    println!("{case}: exit {status}");
    std::process::exit(status);
}
