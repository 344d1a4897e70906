//! The cases.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use crate::cell::Cell;
use crate::cell::SIGCONT;
use crate::cell::SIGSTOP;
use crate::cell::WORKERS;
use crate::worker::RunSeen;

/// Runs a case; returns whether the rule held.
pub fn run(case: &str, trouble: bool, record: &str) -> Result<bool, String> {
    match case {
        "reborn" => reborn(trouble, record),
        "gang" => gang(trouble, record),
        "probation" => probation(trouble, record),
        "advice" => advice(trouble, record),
        _ => Err(format!("no case {case}")),
    }
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn finish(
    cell: &Cell,
    record: &str,
    mut summary: Vec<String>,
    breaks: &[String],
) -> Result<bool, String> {
    summary.push(format!("{} breaks of the rule", breaks.len()));
    summary.extend(breaks.iter().cloned());
    cell.write_record(record, &summary)?;
    for line in &summary {
        println!("{line}");
    }
    Ok(breaks.is_empty())
}

/// TWICE: pairs of runs of one task that overlap, on workers that are up.
fn overlaps(runs: &[RunSeen], now_ms: u64) -> Vec<String> {
    let mut by_task: BTreeMap<&str, Vec<&RunSeen>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    let mut found = Vec::new();
    for (task, runs) in by_task {
        for (number, a) in runs.iter().enumerate() {
            for b in &runs[number + 1..] {
                let end = |run: &RunSeen| run.ended_ms.unwrap_or(now_ms);
                let (begin, until) = (a.began_ms.max(b.began_ms), end(a).min(end(b)));
                if begin < until {
                    found.push(format!(
                        "TWICE: {task} ran as run {} on worker {} (life {}) and as run {} on worker {} \
                         (life {}) at the same time for {} ms{}",
                        a.run,
                        a.worker,
                        a.life,
                        b.run,
                        b.worker,
                        b.life,
                        until - begin,
                        if a.ended_ms.is_none() && b.ended_ms.is_none() { ", and both go on" } else { "" }
                    ));
                }
            }
        }
    }
    found
}

/// A worker falls silent, crashes and starts again under its id, while jobs come.
fn reborn(trouble: bool, record: &str) -> Result<bool, String> {
    let cell = Cell::start(3)?;
    let cell = std::sync::Arc::new(cell);
    let began = std::time::Instant::now();
    let submitting = std::sync::Arc::clone(&cell);
    let clients = thread::spawn(move || {
        let mut accepted = Vec::new();
        for number in 0..70_u64 {
            let job = 0x1000_0000_0000_0000 + number;
            let lasts = number % 10 == 9;
            let body = if lasts {
                "{\"Spec\":\"lasts=1\",\"Phases\":[{\"Count\":8,\"Cpu\":100,\"MemMb\":64,\
                 \"LongRunning\":true,\"AntiAffinity\":1}]}"
            } else {
                "{\"Spec\":\"ms=3000\",\"Phases\":[{\"Count\":20,\"Cpu\":100,\"MemMb\":64,\
                 \"EstimateMs\":3000}]}"
            };
            if submitting.submit(job, body) {
                accepted.push((job, lasts));
            }
            sleep_ms(100);
        }
        accepted
    });
    sleep_ms(3_000);
    if trouble {
        cell.workers[0].crash();
        sleep_ms(1_000);
        cell.workers[0].start_again();
    }
    let accepted = clients.join().map_err(|_| "a client failed")?;
    let rest = Duration::from_millis(18_000).saturating_sub(began.elapsed());
    thread::sleep(rest);
    let runs = cell.record.runs.lock().unwrap().clone();
    let breaks = overlaps(&runs, cell.record.now_ms());
    let mut summary = vec![format!(
        "{} jobs accepted, {} runs",
        accepted.len(),
        runs.len()
    )];
    let open = accepted
        .iter()
        .filter(|(job, lasts)| !lasts && cell.state(*job).as_deref() != Some("completed"));
    summary.push(format!("{} finite jobs not completed", open.count()));
    finish(&cell, record, summary, &breaks)
}

/// BUDGET: a gang fails twice, where two attempts are allowed; the first time the agent of the worker
/// on which the member failed is frozen.
fn gang(trouble: bool, record: &str) -> Result<bool, String> {
    let cell = Cell::start(2)?;
    let job = 0x2000_0000_0000_0001;
    let task = format!("{job:016x}.0.0.0");
    let body =
        "{\"Spec\":\"ms=5000;gang=2;fail=1000;only=0\",\"Phases\":[{\"Count\":2,\"Cpu\":500,\
                \"MemMb\":64,\"EstimateMs\":5000,\"Gang\":true,\"AntiAffinity\":1}]}";
    if !cell.submit(job, body) {
        return Err("the job was not accepted".to_owned());
    }
    let first = (0..200).find_map(|_| {
        sleep_ms(10);
        let runs = cell.record.runs.lock().unwrap();
        runs.iter()
            .find(|run| run.task == task)
            .map(|run| run.worker)
    });
    let worker = first.ok_or("the gang did not start")?;
    if trouble {
        sleep_ms(400);
        cell.record
            .line(format!("{} is frozen", cell.agents[worker].name));
        cell.agents[worker].signal(SIGSTOP);
        sleep_ms(1_200);
        cell.agents[worker].signal(SIGCONT);
        cell.record
            .line(format!("{} wakes", cell.agents[worker].name));
    }
    sleep_ms(14_000);
    let state = cell.state(job);
    let runs = cell.record.runs.lock().unwrap().clone();
    let mut breaks = Vec::new();
    for start in runs.iter().filter(|run| run.task == task) {
        let failed = runs.iter().filter(|run| {
            let ended = run.ended_ms.is_some_and(|at| at < start.began_ms);
            run.task == task && run.how == "failed" && ended && run.noted_ms.is_some()
        });
        let failed = failed.count();
        if failed >= 2 {
            breaks.push(format!("BUDGET: run {} of {task} starts after {failed} runs have ended failed, MaxAttempts is 2", start.run));
        }
    }
    let summary = vec![format!(
        "the job is shown as {state:?}; {} runs of its tasks",
        runs.iter()
            .filter(|r| r.task.starts_with(&format!("{job:016x}")))
            .count()
    )];
    finish(&cell, record, summary, &breaks)
}

/// LOST: a job that can never be done fails on all workers, each of which also holds a lasting task;
/// jobs that come later never start.
fn probation(trouble: bool, record: &str) -> Result<bool, String> {
    let cell = Cell::start(3)?;
    let lasting = 0x3000_0000_0000_0001;
    let body = format!(
        "{{\"Spec\":\"lasts=1\",\"Phases\":[{{\"Count\":{WORKERS},\"Cpu\":1000,\"MemMb\":1000,\
         \"LongRunning\":true,\"AntiAffinity\":1}}]}}"
    );
    if !cell.submit(lasting, &body) {
        return Err("the lasting job was not accepted".to_owned());
    }
    sleep_ms(1_500);
    let mut accepted = Vec::new();
    let good = "{\"Spec\":\"ms=500\",\"Phases\":[{\"Count\":6,\"Cpu\":240,\"MemMb\":480,\"EstimateMs\":500}]}";
    for number in 0..20_u64 {
        let job = 0x3000_0000_0000_0100 + number;
        if cell.submit(job, good) {
            accepted.push(job);
        }
        sleep_ms(100);
    }
    sleep_ms(2_500);
    let poison = 0x3000_0000_0000_0200;
    let spec = if trouble { "ms=600;fail=500" } else { "ms=600" };
    let body = format!(
        "{{\"Spec\":\"{spec}\",\"Phases\":[{{\"Count\":36,\"Cpu\":240,\"MemMb\":480,\"EstimateMs\":600}}]}}"
    );
    if !cell.submit(poison, &body) {
        return Err("the job that can't be done was not accepted".to_owned());
    }
    sleep_ms(2_500);
    let mut later = Vec::new();
    for number in 0..10_u64 {
        let job = 0x3000_0000_0000_0300 + number;
        if cell.submit(job, good) {
            later.push(job);
        }
        sleep_ms(100);
    }
    let handed_in = cell.record.now_ms();
    sleep_ms(30_000);
    let state = cell.state(poison);
    let waited = cell.record.now_ms() - handed_in;
    let running: usize = cell
        .workers
        .iter()
        .map(|worker| worker.running().len())
        .sum();
    let runs = cell.record.runs.lock().unwrap().clone();
    let mut breaks = Vec::new();
    for job in &later {
        let prefix = format!("{job:016x}");
        if !runs.iter().any(|run| run.task.starts_with(&prefix)) {
            let state = cell.state(*job);
            breaks.push(format!("LOST: job {prefix} was accepted, is {state:?} {waited} ms later and has never started"));
        }
    }
    let summary = vec![
        format!(
            "{} jobs before and {} jobs after the job that can't be done were accepted",
            accepted.len(),
            later.len()
        ),
        format!("the job that can't be done is shown as {state:?}"),
        format!("{running} tasks run on {WORKERS} workers of 16000 Cpu each, of 1000 Cpu each"),
    ];
    finish(&cell, record, summary, &breaks)
}

/// LOST: jobs of a queue that needs advice come in a burst; from then on none of them starts.
fn advice(trouble: bool, record: &str) -> Result<bool, String> {
    let cell = Cell::start(3)?;
    let cell = std::sync::Arc::new(cell);
    let began = std::time::Instant::now();
    let usual_ms = 530;
    let burst_ms = usual_ms * 10 / 26;
    let mut clients = Vec::new();
    let (mut at_ms, mut number) = (0, 0_u64);
    while at_ms < 16_000 {
        let job = 0x4000_0000_0000_0001 + number;
        number += 1;
        let client = std::sync::Arc::clone(&cell);
        clients.push(thread::spawn(move || {
            let body = "{\"Spec\":\"ms=400\",\"Phases\":[{\"Count\":4,\"Cpu\":500,\"MemMb\":480,\"EstimateMs\":400}]}";
            client.submit(job, body).then_some(job)
        }));
        let in_burst = trouble && (5_000..9_000).contains(&at_ms);
        at_ms += if in_burst { burst_ms } else { usual_ms };
        thread::sleep(Duration::from_millis(at_ms).saturating_sub(began.elapsed()));
    }
    let accepted: Vec<u64> = clients
        .into_iter()
        .filter_map(|client| client.join().ok()?)
        .collect();
    // `finish_s` is 14.
    sleep_ms(20_000);
    let runs = cell.record.runs.lock().unwrap().clone();
    let mut breaks = Vec::new();
    for job in &accepted {
        let prefix = format!("{job:016x}");
        if !runs.iter().any(|run| run.task.starts_with(&prefix)) {
            let state = cell.state(*job);
            breaks.push(format!("LOST: job {prefix} was accepted, is {state:?} 20 s after the end of the traffic and has never started"));
        }
    }
    let running: usize = cell
        .workers
        .iter()
        .map(|worker| worker.running().len())
        .sum();
    let summary = vec![format!(
        "{} jobs accepted; {running} tasks run on {WORKERS} workers at the end",
        accepted.len()
    )];
    finish(&cell, record, summary, &breaks)
}
