//! A gang on a queue with advice that needs more workers than one question to the advice service names.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::advice::AdviceService;
use crate::cell::advised_config;
use crate::cell::Record;
use crate::scene::start;
use crate::scene::wait_for;
use crate::Verdict;

const ADVICE: AdviceService = AdviceService {
    decision_ms: 100,
    interval_ms: 150,
    validity_ms: 2_000,
};
const WORKERS: usize = 11;
/// Members of the gang; two of them fit on one worker.
const MEMBERS: usize = 10;
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let config = advised_config(1, 5, &ADVICE.fields());
    let scene = match start(record, &["a"; WORKERS], &config) {
        Ok(scene) => scene,
        Err(verdict) => return verdict,
    };
    let cell = &scene.cell;
    if !ADVICE.start(&scene.cell, record) {
        return Verdict::NotRun("the address of the advice service is taken".to_owned());
    }
    let id = "5c0e7a21d94b3601";
    let (spec, gang) = if trouble {
        (
            format!("ms=1500 cpu=7000 gang={MEMBERS} ticket=1"),
            ",\"Gang\":true",
        )
    } else {
        ("ms=1500 cpu=7000 ticket=1".to_owned(), "")
    };
    let body = format!(
        "{{\"Spec\":\"{spec}\",\"Phases\":[{{\"Count\":{MEMBERS},\"Cpu\":7000,\"MemMb\":1024,\"EstimateMs\":1500{gang}}}]}}"
    );
    if !cell.submit(id, &body) {
        return Verdict::NotRun("the job is not accepted".to_owned());
    }
    let began = Instant::now();
    let mut state = String::new();
    let within = FINISH + Duration::from_secs(26);
    let is_completed = wait_for(within, || {
        thread::sleep(Duration::from_millis(480));
        state = cell.state(id);
        state == "completed"
    });
    let runs = scene.runs_of(id).0;
    scene.end();
    let took = began.elapsed().as_millis();
    if is_completed {
        Verdict::Held(format!(
            "the job is completed after {took} ms, with {runs} runs"
        ))
    } else {
        Verdict::Broken(format!(
            "LOST: after {took} ms with all workers free, the job is shown as {state}; {runs} runs"
        ))
    }
}
