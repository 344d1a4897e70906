//! Tasks that fill take all processor that the tasks on their workers leave. A further job of such tasks must
//! still get one: its step's `Cpu` isn't counted against the capacity.

use std::thread;
use std::time::Duration;

use crate::cell::config;
use crate::cell::Record;
use crate::scene::start;
use crate::scene::wait_for;
use crate::Verdict;

/// Workers of two kinds; the jobs require `b`.
const KINDS: [&str; 11] = ["b", "a", "a", "a", "b", "a", "a", "a", "b", "a", "a"];
/// `finish_s` of the settings, counted from the last submission.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running, with a second to spare.
const IDLE_MAX: Duration = Duration::from_secs(4);
/// Usual jobs before the long one, which so is one of 16.
const EARLIER_JOBS: usize = 13;

fn body(spec: &str, fields: &str) -> String {
    format!("{{\"Spec\":\"{spec}\",\"Phases\":[{{{fields},\"Requires\":\"b\"}}]}}")
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let scene = match start(record, &KINDS, &config(1, 5)) {
        Ok(scene) => scene,
        Err(verdict) => return verdict,
    };
    let cell = &scene.cell;
    // Three lasting tasks of 3.2 cores on each worker of kind b: 0.6 of its processor.
    let lasting = "\"Count\":9,\"Cpu\":3200,\"MemMb\":6400,\"EstimateMs\":900,\"LongRunning\":true,\"AntiAffinity\":3";
    let (serving, batch, last) = ("5c0e7a21d94b3601", "5c0e7a21d94b3602", "5c0e7a21d94b3603");
    if !cell.submit(serving, &body("lasts cpu=3200", lasting)) {
        return Verdict::NotRun("the serving job is not accepted".to_owned());
    }
    if !wait_for(Duration::from_secs(5), || scene.runs_of(serving).1 == 9) {
        return Verdict::NotRun("the serving tasks don't run".to_owned());
    }
    for number in 0..EARLIER_JOBS {
        let usual = "\"Count\":6,\"Cpu\":240,\"MemMb\":480,\"EstimateMs\":600";
        let id = format!("5c0e7a21d94b37{number:02x}");
        if !cell.submit(&id, &body("ms=600 cpu=240", usual)) {
            return Verdict::NotRun("a usual job is not accepted".to_owned());
        }
        thread::sleep(Duration::from_millis(300));
    }
    if trouble {
        // A batch job of tasks that fill, three on each of these workers, which take far longer than usual.
        let filling = "\"Count\":9,\"Cpu\":3500,\"MemMb\":3200,\"EstimateMs\":2200,\"Fills\":true,\"AntiAffinity\":3";
        if !cell.submit(batch, &body("ms=30000 cpu=0", filling)) {
            return Verdict::NotRun("the batch job is not accepted".to_owned());
        }
        if !wait_for(Duration::from_secs(8), || scene.runs_of(batch).1 == 9) {
            return Verdict::NotRun("the batch tasks don't run".to_owned());
        }
    }
    let small = "\"Count\":4,\"Cpu\":3500,\"MemMb\":3200,\"EstimateMs\":2200,\"Fills\":true";
    if !cell.submit(last, &body("ms=2200 cpu=0", small)) {
        return Verdict::NotRun("the last job is not accepted".to_owned());
    }
    thread::sleep(FINISH);
    let has_begun = wait_for(IDLE_MAX, || scene.runs_of(last).0 > 0);
    let state = cell.state(last);
    for worker in &scene.workers {
        record.line(&format!(
            "worker {} runs {}",
            worker.id,
            worker.running().join(" ")
        ));
    }
    let runs = scene.runs_of(last).0;
    scene.end();
    if has_begun {
        Verdict::Held(format!("the last job is shown as {state}, {runs} runs"))
    } else {
        Verdict::Broken(format!(
            "LOST: 18 s after its acknowledgement no task of the last job has begun; it is shown as {state}"
        ))
    }
}
