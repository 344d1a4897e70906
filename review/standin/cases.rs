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

/// Accepted job of one step, with the demand of each of its tasks.
#[derive(Clone, Copy)]
struct Demand {
    job: u64,
    tasks: u64,
    cpu: u64,
    mem_mb: u64,
}

/// Time from the end of the traffic until jobs are asked for (`finish_s`).
const FINISH_MS: u64 = 14_000;
/// Time for which a job has nothing running.
const IDLE_MS: u64 = 3_000;
const WORKER_CPU: u64 = 16_000;
const WORKER_MEM_MB: u64 = 64_000;

/// LOST, `FINISH_MS` after the end of the traffic, which is now: jobs that aren't known or get no
/// answer, and jobs that for `IDLE_MS` have nothing running, though they haven't ended, there is room
/// for all of their tasks twice over, and under half of the workers is in use.
fn lost_jobs(cell: &Cell, demands: &[Demand], summary: &mut Vec<String>) -> Vec<String> {
    sleep_ms(FINISH_MS);
    let before: Vec<Option<String>> = demands.iter().map(|d| cell.state(d.job)).collect();
    let mut idle = vec![true; demands.len()];
    let mut most_in_use = 0.0_f64;
    let began_ms = cell.record.now_ms();
    while cell.record.now_ms() < began_ms + IDLE_MS + 100 {
        let mut runs = vec![0_u64; demands.len()];
        let mut free = Vec::new();
        for worker in &cell.workers {
            let (mut cpu, mut mem_mb) = (WORKER_CPU, WORKER_MEM_MB);
            for (task, _) in worker.running() {
                let job = task.split('.').next();
                let job = job.and_then(|job| u64::from_str_radix(job, 16).ok());
                if let Some(number) = demands.iter().position(|d| Some(d.job) == job) {
                    runs[number] += 1;
                    cpu = cpu.saturating_sub(demands[number].cpu);
                    mem_mb = mem_mb.saturating_sub(demands[number].mem_mb);
                }
            }
            free.push((cpu, mem_mb));
        }
        let share = |free: u64, total: u64| 1.0 - free as f64 / (total * WORKERS as u64) as f64;
        let cpu_share = share(free.iter().map(|(cpu, _)| cpu).sum(), WORKER_CPU);
        let mem_share = share(free.iter().map(|(_, mem)| mem).sum(), WORKER_MEM_MB);
        let in_use = cpu_share.max(mem_share);
        most_in_use = most_in_use.max(in_use);
        for (number, demand) in demands.iter().enumerate() {
            let room = free
                .iter()
                .map(|(cpu, mem_mb)| (cpu / demand.cpu).min(mem_mb / demand.mem_mb));
            let has_room = room.sum::<u64>() >= 2 * demand.tasks;
            idle[number] &= runs[number] == 0 && has_room && in_use < 0.5;
        }
        sleep_ms(20);
    }
    summary.push(format!(
        "most of the capacity in use in these {IDLE_MS} ms: {:.3}",
        most_in_use
    ));
    let has_ended = |state: &Option<String>| {
        matches!(state.as_deref(), Some("completed" | "failed" | "cancelled"))
    };
    let mut breaks = Vec::new();
    for (number, demand) in demands.iter().enumerate() {
        let after = cell.state(demand.job);
        let job = format!("{:016x}", demand.job);
        if after.is_none() {
            breaks.push(format!("LOST: job {job} isn't known or gets no answer"));
        } else if idle[number] && !has_ended(&before[number]) && !has_ended(&after) {
            breaks.push(format!(
                "LOST: job {job} is shown as {after:?} and has nothing running for {IDLE_MS} ms"
            ));
        }
    }
    breaks
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
    let mut demands = vec![Demand {
        job: lasting,
        tasks: WORKERS as u64,
        cpu: 1_000,
        mem_mb: 1_000,
    }];
    let small = |job, tasks| Demand {
        job,
        tasks,
        cpu: 240,
        mem_mb: 480,
    };
    let good = "{\"Spec\":\"ms=500\",\"Phases\":[{\"Count\":6,\"Cpu\":240,\"MemMb\":480,\"EstimateMs\":500}]}";
    for number in 0..20_u64 {
        let job = 0x3000_0000_0000_0100 + number;
        if cell.submit(job, good) {
            demands.push(small(job, 6));
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
    demands.push(small(poison, 36));
    sleep_ms(2_500);
    for number in 0..10_u64 {
        let job = 0x3000_0000_0000_0300 + number;
        if cell.submit(job, good) {
            demands.push(small(job, 6));
        }
        sleep_ms(100);
    }
    let mut summary = vec![format!("{} jobs were accepted", demands.len())];
    let breaks = lost_jobs(&cell, &demands, &mut summary);
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
    let demands: Vec<Demand> = accepted
        .iter()
        .map(|job| Demand {
            job: *job,
            tasks: 4,
            cpu: 500,
            mem_mb: 480,
        })
        .collect();
    let mut summary = vec![format!("{} jobs were accepted", accepted.len())];
    let breaks = lost_jobs(&cell, &demands, &mut summary);
    finish(&cell, record, summary, &breaks)
}
