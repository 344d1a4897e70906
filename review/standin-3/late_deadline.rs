//! A renewal that got no answer is carried out late, on the next incarnation of its worker, and extends
//! the lease there beyond what the agent reckons with. Then the worker is cut off and runs on.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cell::config;
use crate::cell::Cell;
use crate::cell::Record;
use crate::cell::ZONES;
use crate::http::Message;
use crate::worker::History;
use crate::worker::RunRecord;
use crate::worker::Worker;
use crate::Verdict;

/// Workers of a cell, so that one of them is less than the share .15 of the pages.
pub const WORKERS: usize = 7;
/// Shortest time for which two runs of a task count as running at the same time.
const OVERLAP_MIN_MS: u64 = 100;

pub fn start_cell(
    record: &Record,
    workers: usize,
) -> Result<(Cell, Vec<Worker>, History), Verdict> {
    start_configured_cell(record, workers, &config(1, 5))
}

/// Starts a cell with workers and puts a configuration in force.
pub fn start_configured_cell(
    record: &Record,
    workers: usize,
    config: &str,
) -> Result<(Cell, Vec<Worker>, History), Verdict> {
    let cell = Cell::start(record, 1, workers);
    let history: History = Arc::new(Mutex::new(Vec::new()));
    let stand_ins: Vec<Worker> = (0..workers)
        .map(|n| {
            let rack = format!("r1-{}", n / 3);
            Worker::new(
                &format!("i-7f3a91c{n}"),
                ZONES[n % 3],
                &rack,
                cell.worker(n),
                cell.agent(n),
                &history,
                record,
            )
        })
        .collect();
    for worker in &stand_ins {
        worker.start();
    }
    let answer = cell.order("POST", "/Config.Put", config, Duration::from_secs(20));
    if answer.as_ref().map_or(0, Message::status) != 200 {
        return Err(Verdict::NotRun(
            "no configuration is acknowledged".to_owned(),
        ));
    }
    thread::sleep(Duration::from_secs(3));
    Ok((cell, stand_ins, history))
}

/// Job of one step. With tasks that last, a seventh of them may run on one worker.
pub fn job(spec: &str, count: usize, lasts: bool) -> String {
    let lasts = if lasts {
        format!(
            ",\"LongRunning\":true,\"AntiAffinity\":{}",
            count.div_ceil(WORKERS)
        )
    } else {
        String::new()
    };
    format!("{{\"Spec\":\"{spec}\",\"Phases\":[{{\"Count\":{count},\"Cpu\":240,\"MemMb\":256,\"EstimateMs\":900{lasts}}}]}}")
}

/// Pairs of runs of one task that ran at the same time on two workers.
pub fn overlaps(runs: &[RunRecord], now_ms: u64) -> Vec<String> {
    let mut found = Vec::new();
    for (at, one) in runs.iter().enumerate() {
        for other in &runs[at + 1..] {
            if one.task != other.task || one.worker == other.worker && one.run == other.run {
                continue;
            }
            let from = one.began_ms.max(other.began_ms);
            let until = one
                .ended_ms
                .unwrap_or(now_ms)
                .min(other.ended_ms.unwrap_or(now_ms));
            if until > from + OVERLAP_MIN_MS {
                found.push(format!(
                    "{}: run {} on {} and run {} on {} for {} ms from {from} ms on",
                    one.task,
                    one.run,
                    one.worker,
                    other.run,
                    other.worker,
                    until - from
                ));
            }
        }
    }
    found
}

pub fn wait_for(within: Duration, mut is_met: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if is_met() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Lets the first worker leave a renewal unanswered, crash, and start again under its id. The renewal is
/// kept, to be carried out late.
pub fn restart_with_late_call(cell: &Cell, worker: &Worker) -> Result<Instant, Verdict> {
    worker.leave_unanswered();
    let mut number = 0;
    let has_late = wait_for(Duration::from_secs(10), || {
        number += 1;
        cell.submit(
            &format!("5c0e7a21d94b37{number:02x}"),
            &job("ms=300", 14, false),
        );
        thread::sleep(Duration::from_millis(400));
        worker.late_call().is_some()
    });
    let Some(late) = worker.late_call().filter(|_| has_late) else {
        return Err(Verdict::NotRun("no renewal acknowledges an end".to_owned()));
    };
    worker.crash();
    thread::sleep(Duration::from_millis(1_000));
    worker.start();
    Ok(late.arrived)
}

/// Time after its arrival at which the call is carried out, of the 2 to 12 s of the pages.
const LATE: Duration = Duration::from_millis(10_500);
/// Time for which the worker is cut off.
const CUT: Duration = Duration::from_millis(8_000);

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
    thread::sleep(Duration::from_secs(4));
    if !cell.submit("5c0e7a21d94b3601", &job("ms=20000", 42, false)) {
        return Verdict::NotRun("the job is not accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    if worker.running().is_empty() {
        return Verdict::NotRun("nothing runs on the worker".to_owned());
    }
    thread::sleep(LATE.saturating_sub(late_at.elapsed()));
    if trouble {
        worker.carry_out_late();
        thread::sleep(Duration::from_millis(100));
        worker.set_cut(true);
    }
    thread::sleep(CUT);
    if trouble {
        worker.set_cut(false);
    }
    thread::sleep(Duration::from_secs(3));
    let runs = history.lock().unwrap().clone();
    let found = overlaps(&runs, record.now_ms());
    for worker in &workers {
        worker.stop();
    }
    drop(cell);
    if found.is_empty() {
        return Verdict::Held(format!(
            "{} runs, no task ran twice at the same time",
            runs.len()
        ));
    }
    for line in &found {
        record.line(&format!("TWICE {line}"));
    }
    Verdict::Broken(format!(
        "TWICE: {} tasks ran on two workers at the same time; the first: {}",
        found.len(),
        found[0]
    ))
}
