//! A queue whose advice takes most of the time for which a ticket is valid.

use std::thread;
use std::time::Duration;

use crate::advice::AdviceService;
use crate::cell::advised_config;
use crate::cell::Record;
use crate::scene::start;
use crate::scene::wait_for;
use crate::Verdict;

const INTERVAL_MS: u64 = 10;
/// Validity of a ticket, as in the example of the pages.
const VALIDITY_MS: u64 = 3_000;
const WORKERS: usize = 11;
/// Number of jobs, and the time between two: the service has time for each.
const JOBS: u64 = 5;
const JOB_INTERVAL: Duration = Duration::from_secs(4);
/// `finish_s` of the settings, and the rule's 3 s with one to spare.
const FINISH: Duration = Duration::from_secs(18);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let service = AdviceService {
        decision_ms: if trouble { 2_200 } else { 200 },
        interval_ms: INTERVAL_MS,
        validity_ms: VALIDITY_MS,
    };
    let config = advised_config(1, 5, &service.fields());
    let scene = match start(record, &["a"; WORKERS], &config) {
        Ok(scene) => scene,
        Err(verdict) => return verdict,
    };
    if !service.start(&scene.cell, record) {
        return Verdict::NotRun("the address of the advice service is taken".to_owned());
    }
    let body = "{\"Spec\":\"ms=600 cpu=240 ticket=1\",\"Phases\":[{\"Count\":3,\"Cpu\":240,\"MemMb\":480,\"EstimateMs\":600}]}";
    let id = |number: u64| format!("5c0e7a21d94b36{number:02x}");
    for number in 0..JOBS {
        if !scene.cell.submit(&id(number), body) {
            return Verdict::NotRun("a job is not accepted".to_owned());
        }
        thread::sleep(JOB_INTERVAL);
    }
    let mut open: Vec<String> = Vec::new();
    wait_for(FINISH, || {
        thread::sleep(Duration::from_millis(900));
        open = (0..JOBS)
            .map(id)
            .filter(|id| scene.cell.state(id) != "completed")
            .collect();
        open.is_empty()
    });
    let begun: usize = (0..JOBS).map(|number| scene.runs_of(&id(number)).0).sum();
    scene.end();
    if open.is_empty() {
        Verdict::Held(format!("all {JOBS} jobs are completed"))
    } else {
        Verdict::Broken(format!(
            "LOST: {} of {JOBS} jobs are not completed with all workers free; {begun} runs began",
            open.len()
        ))
    }
}
