//! Stand-in of a worker, as the section "Running tasks" of the protocol page describes it.
//!
//! `Spec` tells what the tasks of a job do: `ms=N` work for N ms, `lasts=1` run until stopped,
//! `fail=N` fail after N ms, `only=I` of these the task with index I, `gang=N` gang of N members.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::BufReader;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::advice::Tickets;
use crate::http::call;
use crate::http::read_request;
use crate::http::write_response;
use crate::http::Request;
use crate::json::Json;

pub const MAX_HOLD_MS: u64 = 6_000;
const STOP_MS: u64 = 400;
const GANG_WAIT_MS: u64 = 3_000;
/// Time in which the other members of a gang notice that one has ended.
const GANG_NOTICE_MS: u64 = 150;
const HEARTBEAT_MS: u64 = 1_500;

/// Run of a task on a worker, as the worker has seen it.
#[derive(Clone, Debug)]
pub struct RunSeen {
    pub task: String,
    pub run: u64,
    pub worker: usize,
    pub life: u64,
    pub began_ms: u64,
    pub ended_ms: Option<u64>,
    pub how: &'static str,
    /// Time at which `LastSeen` reached its end; none also if the lease of the worker lapsed between.
    pub noted_ms: Option<u64>,
}

/// What all stand-ins have seen.
pub struct Record {
    began: Instant,
    pub lines: Mutex<Vec<(u64, String)>>,
    pub runs: Mutex<Vec<RunSeen>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            began: Instant::now(),
            lines: Mutex::default(),
            runs: Mutex::default(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: String) {
        let now = self.now_ms();
        self.lines.lock().unwrap().push((now, text));
    }
}

struct Gang {
    present: Vec<String>,
    began: Option<Instant>,
    broken: Option<Instant>,
}

/// Gangs by step and run, across all workers.
#[derive(Default)]
pub struct Gangs(Mutex<HashMap<(String, u64), Gang>>);

struct Run {
    run: u64,
    seen: usize,
    began: Instant,
    stop_at: Option<Instant>,
    work_ms: Option<u64>,
    fail_ms: Option<u64>,
    gang: Option<u64>,
}

struct Finished {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    seen: usize,
    /// Whether the lease lapsed since the end.
    lapsed: bool,
}

/// One life of a worker.
struct Life {
    number: u64,
    born_ms: u64,
    clock: Instant,
    seq: u64,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    ended: HashMap<String, u64>,
    finished: Vec<Finished>,
    next_number: u64,
}

impl Life {
    fn new(number: u64) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        Self {
            number,
            born_ms: born.as_millis() as u64,
            clock: Instant::now(),
            seq: 0,
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            ended: HashMap::new(),
            finished: Vec::new(),
            next_number: 1,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline_ms: Option<u64>) {
        let longest = self.clock_ms() + MAX_HOLD_MS;
        let until = deadline_ms.unwrap_or(0).min(longest);
        self.lease_until_ms = self.lease_until_ms.max(until);
    }
}

pub struct Worker {
    pub index: usize,
    pub id: String,
    pub zone: &'static str,
    pub labels: Vec<String>,
    address: SocketAddr,
    agent: SocketAddr,
    life: Mutex<Life>,
    ends: Condvar,
    /// Connections of the present life; emptied while the worker is down.
    connections: Mutex<Vec<TcpStream>>,
    down: Mutex<bool>,
    record: Arc<Record>,
    gangs: Arc<Gangs>,
    tickets: Arc<Tickets>,
}

fn spec_number(spec: &str, key: &str) -> Option<u64> {
    let mut fields = spec.split(';').filter_map(|field| field.split_once('='));
    fields.find(|(name, _)| *name == key)?.1.parse().ok()
}

impl Worker {
    pub fn start(
        index: usize,
        zone: &'static str,
        labels: Vec<String>,
        address: SocketAddr,
        agent: SocketAddr,
        record: &Arc<Record>,
        gangs: &Arc<Gangs>,
        tickets: &Arc<Tickets>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let worker = Arc::new(Self {
            index,
            id: format!("i-{:08x}", 0x7f3a_9100 + index),
            zone,
            labels,
            address,
            agent,
            life: Mutex::new(Life::new(1)),
            ends: Condvar::new(),
            connections: Mutex::default(),
            down: Mutex::new(false),
            record: Arc::clone(record),
            gangs: Arc::clone(gangs),
            tickets: Arc::clone(tickets),
        });
        let accepting = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = Arc::clone(&accepting);
                thread::spawn(move || worker.serve(stream));
            }
        });
        let ticking = Arc::clone(&worker);
        thread::spawn(move || loop {
            ticking.tick();
            thread::sleep(Duration::from_millis(4));
        });
        let beating = Arc::clone(&worker);
        thread::spawn(move || loop {
            beating.beat();
            thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        });
        Ok(worker)
    }

    fn is_down(&self) -> bool {
        *self.down.lock().unwrap()
    }

    /// The worker falls silent and ends: what runs on it terminates.
    pub fn crash(&self) {
        *self.down.lock().unwrap() = true;
        let life = self.life.lock().unwrap();
        let now = self.record.now_ms();
        let mut runs = self.record.runs.lock().unwrap();
        for run in life.running.values() {
            runs[run.seen].ended_ms = Some(now);
            runs[run.seen].how = "crash";
        }
        drop(runs);
        self.record.line(format!(
            "worker {} crashes with {} runs",
            self.index,
            life.running.len()
        ));
    }

    /// The worker starts again under its id; it knows nothing of before.
    pub fn start_again(&self) {
        let mut life = self.life.lock().unwrap();
        *life = Life::new(life.number + 1);
        // The connections of the earlier process are gone.
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(format!(
            "worker {} starts again, life {}",
            self.index, life.number
        ));
        drop(life);
        *self.down.lock().unwrap() = false;
        self.beat();
    }

    fn beat(&self) {
        if self.is_down() {
            return;
        }
        let body = {
            let mut life = self.life.lock().unwrap();
            life.seq += 1;
            let labels: Vec<String> = self.labels.iter().map(|l| format!("\"{l}\"")).collect();
            format!(
                "{{\"Service\":\"svc\",\"Addr\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":8,\
                 \"State\":\"ready\",\"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":16000,\"MemMb\":64000,\
                 \"Gpus\":0}},\"Labels\":[{}],\"ClockMs\":{},\"Seq\":{},\"born\":{}}}",
                self.address,
                self.zone,
                labels.join(","),
                life.clock_ms(),
                life.seq,
                life.born_ms
            )
        };
        let path = format!("/Instances.Heartbeat/{}", self.id);
        let _ = call(
            self.agent,
            "POST",
            "agent",
            &path,
            &body,
            Duration::from_secs(1),
        );
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(kept) = stream.try_clone() else {
            return;
        };
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = writer.set_nodelay(true);
        self.connections.lock().unwrap().push(kept);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if self.is_down() {
                // Nobody reads this call; the connection ends when the worker starts again.
                continue;
            }
            let life = self.life.lock().unwrap().number;
            let (status, body) = self.answer(&request);
            if self.is_down() || self.life.lock().unwrap().number != life {
                continue;
            }
            if write_response(&mut writer, status, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        if request
            .header("X-Guavavane-Expect-Instance")
            .is_some_and(|id| id != self.id)
        {
            return (421, String::new());
        }
        let Some(body) = Json::parse(&request.body) else {
            return (400, String::new());
        };
        let mut life = self.life.lock().unwrap();
        let fence = body.number("Fence").unwrap_or(0);
        let clock = life.clock_ms();
        if fence < life.fence {
            return (409, format!("{{\"ClockMs\":{clock},\"Reason\":\"fence\"}}"));
        }
        life.fence = fence;
        let done = format!("{{\"ClockMs\":{clock}}}");
        match request.path.as_str() {
            "/run-start" => self.start_run(&mut life, &body),
            "/run-stop" => {
                let (Some(task), Some(run)) = (body.text("Task"), body.number("Run")) else {
                    return (400, String::new());
                };
                self.record
                    .line(format!("worker {} stop {task} run {run}", self.index));
                let ended = life.ended.entry(task.to_owned()).or_insert(0);
                *ended = (*ended).max(run);
                if let Some(running) = life.running.get_mut(task).filter(|r| r.run <= run) {
                    let at = Instant::now() + Duration::from_millis(STOP_MS / 4);
                    running.stop_at.get_or_insert(at);
                }
                (200, done)
            }
            "/hold" => {
                life.extend(body.number("DeadlineMs"));
                let last_seen = body.number("LastSeen").unwrap_or(0);
                let now = self.record.now_ms();
                let mut runs = self.record.runs.lock().unwrap();
                for end in life.finished.iter().filter(|end| end.number <= last_seen) {
                    if !end.lapsed {
                        runs[end.seen].noted_ms.get_or_insert(now);
                    }
                }
                drop(runs);
                life.finished.retain(|end| end.number > last_seen);
                let until = Instant::now()
                    + Duration::from_millis(body.number("WaitMs").unwrap_or(0).min(2_000));
                let number = life.number;
                while life.finished.is_empty() && life.number == number {
                    let wait = until.saturating_duration_since(Instant::now());
                    if wait.is_zero() {
                        break;
                    }
                    life = self.ends.wait_timeout(life, wait).unwrap().0;
                }
                (200, lists(&life))
            }
            "/pace" => (200, done),
            _ => (404, String::new()),
        }
    }

    fn start_run(&self, life: &mut Life, body: &Json) -> (u16, String) {
        let (Some(task), Some(run), Some(spec)) =
            (body.text("Task"), body.number("Run"), body.text("Spec"))
        else {
            return (400, String::new());
        };
        let clock = life.clock_ms();
        let refuse = |reason: &str| {
            self.record.line(format!(
                "worker {} refuses {task} run {run}: {reason}",
                self.index
            ));
            (
                409,
                format!("{{\"ClockMs\":{clock},\"Reason\":\"{reason}\"}}"),
            )
        };
        let deadline = body.number("DeadlineMs").unwrap_or(0);
        if deadline <= clock {
            return refuse("late");
        }
        life.extend(Some(deadline));
        if life
            .running
            .get(task)
            .is_some_and(|running| running.run == run)
        {
            return (200, format!("{{\"ClockMs\":{clock}}}"));
        }
        if life.running.contains_key(task) || life.ended.get(task).is_some_and(|e| run <= *e) {
            return refuse("old");
        }
        let ticket = body.text("Ticket").unwrap_or("");
        if task.starts_with('4') && !self.tickets.allows(&step_of(task), &self.id, ticket) {
            return refuse("ticket");
        }
        let only = spec_number(spec, "only");
        let index: u64 = task
            .rsplit('.')
            .next()
            .and_then(|i| i.parse().ok())
            .unwrap_or(0);
        let gang = spec_number(spec, "gang");
        let mut runs = self.record.runs.lock().unwrap();
        let seen = runs.len();
        runs.push(RunSeen {
            task: task.to_owned(),
            run,
            worker: self.index,
            life: life.number,
            began_ms: self.record.now_ms(),
            ended_ms: None,
            how: "",
            noted_ms: None,
        });
        drop(runs);
        self.record.line(format!(
            "worker {} life {} starts {task} run {run}",
            self.index, life.number
        ));
        if let Some(size) = gang {
            let mut gangs = self.gangs.0.lock().unwrap();
            let gang = gangs.entry((step_of(task), run)).or_insert(Gang {
                present: Vec::new(),
                began: None,
                broken: None,
            });
            gang.present.push(task.to_owned());
            if gang.present.len() as u64 == size {
                gang.began = Some(Instant::now());
            }
        }
        let lasts = spec_number(spec, "lasts").is_some();
        let started = Run {
            run,
            seen,
            began: Instant::now(),
            stop_at: None,
            work_ms: (!lasts).then(|| spec_number(spec, "ms").unwrap_or(1_000)),
            fail_ms: spec_number(spec, "fail").filter(|_| only.is_none_or(|only| only == index)),
            gang,
        };
        life.running.insert(task.to_owned(), started);
        (200, format!("{{\"ClockMs\":{clock}}}"))
    }

    fn tick(&self) {
        if self.is_down() {
            return;
        }
        let mut life = self.life.lock().unwrap();
        let lapsed = life.clock_ms() > life.lease_until_ms;
        if lapsed {
            life.finished.iter_mut().for_each(|end| end.lapsed = true);
        }
        let mut ends: Vec<(String, &'static str)> = Vec::new();
        for (task, run) in &life.running {
            let how = if lapsed {
                Some("lapsed")
            } else {
                self.end_of(task, run)
            };
            if let Some(how) = how {
                ends.push((task.clone(), how));
            }
        }
        let now = self.record.now_ms();
        for (task, how) in ends {
            let Some(run) = life.running.remove(&task) else {
                continue;
            };
            if run.gang.is_some() && how != "done" {
                let mut gangs = self.gangs.0.lock().unwrap();
                if let Some(gang) = gangs.get_mut(&(step_of(&task), run.run)) {
                    gang.broken.get_or_insert(Instant::now());
                }
            }
            let ended = life.ended.entry(task.clone()).or_insert(0);
            *ended = (*ended).max(run.run);
            let number = life.next_number;
            life.next_number += 1;
            self.record.line(format!(
                "worker {} {task} run {} ends {how}",
                self.index, run.run
            ));
            let mut runs = self.record.runs.lock().unwrap();
            runs[run.seen].ended_ms = Some(now);
            runs[run.seen].how = how;
            drop(runs);
            life.finished.push(Finished {
                number,
                task,
                run: run.run,
                how,
                seen: run.seen,
                lapsed: false,
            });
            self.ends.notify_all();
        }
    }

    fn end_of(&self, task: &str, run: &Run) -> Option<&'static str> {
        if run.stop_at.is_some_and(|at| Instant::now() >= at) {
            return Some("stopped");
        }
        let mut began = Some(run.began);
        if run.gang.is_some() {
            let gangs = self.gangs.0.lock().unwrap();
            let gang = gangs.get(&(step_of(task), run.run))?;
            let notice = Duration::from_millis(GANG_NOTICE_MS);
            if gang.broken.is_some_and(|at| at.elapsed() >= notice) {
                return Some("broken");
            }
            if gang.began.is_none() && run.began.elapsed() >= Duration::from_millis(GANG_WAIT_MS) {
                return Some("alone");
            }
            began = gang.began.filter(|_| gang.broken.is_none());
        }
        let worked = began?.elapsed().as_millis() as u64;
        if run.fail_ms.is_some_and(|at| worked >= at) {
            return Some("failed");
        }
        run.work_ms.is_some_and(|at| worked >= at).then_some("done")
    }

    /// Tasks that run now.
    pub fn running(&self) -> Vec<(String, u64)> {
        let life = self.life.lock().unwrap();
        life.running
            .iter()
            .map(|(task, run)| (task.clone(), run.run))
            .collect()
    }
}

fn step_of(task: &str) -> String {
    task.rsplit_once('.')
        .map_or("", |(step, _)| step)
        .to_owned()
}

fn lists(life: &Life) -> String {
    let running: Vec<String> = life
        .running
        .iter()
        .map(|(task, run)| format!("[\"{task}\",{},\"\",50,0]", run.run))
        .collect();
    let finished: Vec<String> = life
        .finished
        .iter()
        .take(500)
        .map(|end| {
            format!(
                "[{},\"{}\",{},\"{}\",\"\"]",
                end.number, end.task, end.run, end.how
            )
        })
        .collect();
    format!(
        "{{\"ClockMs\":{},\"born\":{},\"Running\":[{}],\"Finished\":[{}]}}",
        life.clock_ms(),
        life.born_ms,
        running.join(","),
        finished.join(",")
    )
}
