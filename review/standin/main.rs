//! Stand-ins and cases of the review: `standin CASE RECORD TROUBLE` runs one case and writes its
//! record.
//!
//! The program starts three control processes, two entries and eight agents with the commands of the
//! deploy file, on loopback addresses, and plays the workers, the clients and the operator as the
//! platform's pages describe them. It uses the standard library only. Exit status: 0 if the rule held,
//! 1 if it was broken, 2 if the case could not run. With 0 as TROUBLE the disruption is left out.

mod advice;
mod cases;
mod cell;
mod http;
mod json;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(record), Some(trouble)) = (args.next(), args.next(), args.next()) else {
        eprintln!("standin CASE RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let trouble = trouble != "0";
    let verdict = cases::run(&case, trouble, &record);
    match verdict {
        Ok(true) => ExitCode::from(0),
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
