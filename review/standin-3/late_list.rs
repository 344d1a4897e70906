//! A renewal that got no answer is carried out late, on the next incarnation of its worker, which then
//! forgets an end that it has not listed.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cell::Record;
use crate::late_deadline::job;
use crate::late_deadline::restart_with_late_call;
use crate::late_deadline::start_cell;
use crate::late_deadline::wait_for;
use crate::late_deadline::WORKERS;
use crate::Verdict;

/// Time after its arrival at which the call is carried out, of the 2 to 12 s of the pages.
const LATE: Duration = Duration::from_millis(9_000);
/// A task that lasts has to run again 6 s after its last run, in 3 s that are calm.
const RESTART_MAX_MS: u64 = 9_000;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let (cell, workers, history) = match start_cell(record, WORKERS) {
        Ok(started) => started,
        Err(verdict) => return verdict,
    };
    let worker = &workers[0];
    let late_at = if trouble {
        match restart_with_late_call(&cell, worker) {
            Ok(at) => at,
            Err(verdict) => return verdict,
        }
    } else {
        Instant::now()
    };
    thread::sleep(Duration::from_secs(3));
    let id = "5c0e7a21d94b3601";
    if !cell.submit(id, &job("lasts", 28, true)) {
        return Verdict::NotRun("the job is not accepted".to_owned());
    }
    wait_for(Duration::from_secs(4), || {
        worker.running().iter().any(|task| task.starts_with(id))
    });
    let Some(task) = worker
        .running()
        .into_iter()
        .find(|task| task.starts_with(id))
    else {
        return Verdict::NotRun("nothing runs on the worker".to_owned());
    };
    thread::sleep(LATE.saturating_sub(late_at.elapsed()));
    // A task that lasts may fail at any time; the kept call is carried out at that moment.
    worker.fail_run(&task, trouble);
    let failed_ms = record.now_ms();
    thread::sleep(Duration::from_secs(30));
    let runs = history.lock().unwrap().clone();
    let again = runs
        .iter()
        .find(|run| run.task == task && run.began_ms >= failed_ms);
    let state = cell.state(id);
    for worker in &workers {
        record.line(&format!(
            "worker {} runs {} tasks",
            worker.id,
            worker.running().len()
        ));
        worker.stop();
    }
    drop(cell);
    match again {
        Some(run) if run.began_ms <= failed_ms + RESTART_MAX_MS => Verdict::Held(format!(
            "{task} runs again {} ms after its end",
            run.began_ms - failed_ms
        )),
        Some(run) => Verdict::Broken(format!(
            "LOST: {task} runs again only {} ms after its end",
            run.began_ms - failed_ms
        )),
        None => Verdict::Broken(format!(
            "LOST: {task} has not run for {} ms after its run failed; its job is shown as {state}",
            record.now_ms() - failed_ms
        )),
    }
}
