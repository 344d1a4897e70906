//! Worker that follows the pages: runs, leases, ends, incarnations under one id.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::advice::is_valid;
use crate::cell::Record;
use crate::http::call;
use crate::http::read_message;
use crate::http::write_response;
use crate::http::Json;

const MAX_HOLD_MS: u64 = 6_000;
/// Reading of the clock of a worker that was up before the cell started.
const FIRST_CLOCK_MS: u64 = 482_000;
const CPU: u64 = 16_000;
const MEM_MB: u64 = 64_000;

/// One run on one worker, as the case judges it.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub task: String,
    pub ended_ms: Option<u64>,
    pub how: &'static str,
}

/// Members of one run of a gang that are present, and the time from which they work together.
#[derive(Default)]
struct Gang {
    present: usize,
    began: Option<Instant>,
    is_broken: bool,
}

/// Runs of gangs on all workers, by step and run.
static GANGS: Mutex<BTreeMap<(String, u64), Gang>> = Mutex::new(BTreeMap::new());
/// `GangWaitMs` of the settings.
const GANG_WAIT: Duration = Duration::from_millis(3_000);

/// Step of a task.
fn step_of(task: &str) -> String {
    task.rsplit_once('.')
        .map_or(task, |(step, _)| step)
        .to_owned()
}

/// Number of processor thousandths, of members of a gang, and of milliseconds in a `Spec`.
fn spec_number(spec: &str, name: &str) -> Option<u64> {
    let field = spec.split(' ').find_map(|field| field.strip_prefix(name))?;
    field.parse().ok()
}

/// Runs of all workers.
pub type History = Arc<Mutex<Vec<RunRecord>>>;

struct Run {
    run: u64,
    began: Instant,
    /// Time of the end of a finite run.
    ends_at: Option<Instant>,
    fails: bool,
    record: usize,
    cpu: u64,
    /// Members of the gang and the time that they work together.
    gang: Option<(usize, Duration)>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    up: bool,
    born: u64,
    clock_began: Option<Instant>,
    /// Reading of the clock at its start: the first incarnations have been up for some minutes.
    clock_from_ms: u64,
    fence: u64,
    /// End of the lease on the worker's clock.
    deadline_ms: u64,
    running: BTreeMap<String, Run>,
    refused: HashMap<String, u64>,
    ends: Vec<End>,
    next_end: u64,
    seq: u64,
}

/// Members of gangs on a worker that end now.
fn gang_ends(state: &State) -> Vec<(String, &'static str)> {
    let mut gangs = GANGS.lock().unwrap();
    let mut ends = Vec::new();
    for (task, run) in &state.running {
        let Some((members, length)) = run.gang else {
            continue;
        };
        let gang = gangs.entry((step_of(task), run.run)).or_default();
        if gang.present == members && gang.began.is_none() {
            gang.began = Some(Instant::now());
        }
        let is_done = gang.began.is_some_and(|at| at.elapsed() >= length);
        if gang.is_broken {
            ends.push((task.clone(), "broken"));
        } else if is_done {
            ends.push((task.clone(), "done"));
        } else if gang.began.is_none() && run.began.elapsed() >= GANG_WAIT {
            ends.push((task.clone(), "alone"));
        }
    }
    ends
}

/// Worker on its own address; clones share it.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    zone: &'static str,
    /// Label of the worker's kind, and that of its rack.
    kind: &'static str,
    rack: String,
    address: SocketAddr,
    agent: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    history: History,
    record: Record,
    ending: Arc<AtomicBool>,
}

impl Worker {
    pub fn new(
        id: &str,
        zone: &'static str,
        rack: &str,
        address: SocketAddr,
        agent: SocketAddr,
        history: &History,
        record: &Record,
    ) -> Self {
        Self {
            id: id.to_owned(),
            zone,
            kind: "a",
            rack: rack.to_owned(),
            address,
            agent,
            state: Arc::default(),
            history: history.clone(),
            record: record.clone(),
            ending: Arc::default(),
        }
    }

    /// Sets the label of the worker's kind, before it starts.
    pub fn with_kind(mut self, kind: &'static str) -> Self {
        self.kind = kind;
        self
    }

    fn clock(state: &State) -> u64 {
        state.clock_began.map_or(0, |at| {
            state.clock_from_ms + at.elapsed().as_millis() as u64
        })
    }

    /// Starts an incarnation: it holds and knows nothing of before.
    pub fn start(&self) {
        {
            let mut state = self.state.0.lock().unwrap();
            let is_first = state.clock_began.is_none();
            *state = State::default();
            state.clock_from_ms = if is_first { FIRST_CLOCK_MS } else { 0 };
            state.up = true;
            state.born = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis() as u64;
            state.clock_began = Some(Instant::now());
            state.next_end = 1;
            self.record
                .line(&format!("worker {} starts, born {}", self.id, state.born));
        }
        let listener = (0..100).find_map(|_| {
            let bound = TcpListener::bind(self.address).ok();
            if bound.is_none() {
                thread::sleep(Duration::from_millis(20));
            }
            bound
        });
        let listener = listener.expect("the address of the worker is free");
        listener
            .set_nonblocking(true)
            .expect("a listener that does not block");
        let born = self.state.0.lock().unwrap().born;
        let (accepting, beating, ticking) = (self.clone(), self.clone(), self.clone());
        thread::spawn(move || accepting.accept(&listener, born));
        thread::spawn(move || beating.beat(born));
        thread::spawn(move || ticking.tick(born));
    }

    fn is_present(&self, born: u64) -> bool {
        let state = self.state.0.lock().unwrap();
        state.up && state.born == born && !self.ending.load(Ordering::Relaxed)
    }

    pub fn stop(&self) {
        self.ending.store(true, Ordering::Relaxed);
        self.state.1.notify_all();
    }

    pub fn running(&self) -> Vec<String> {
        self.state
            .0
            .lock()
            .unwrap()
            .running
            .keys()
            .cloned()
            .collect()
    }

    fn end_run(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        if run.gang.is_some() {
            let mut gangs = GANGS.lock().unwrap();
            let gang = gangs.entry((step_of(task), run.run)).or_default();
            gang.present -= 1;
            gang.is_broken |= how != "done";
        }
        let refused = state.refused.entry(task.to_owned()).or_insert(0);
        *refused = (*refused).max(run.run);
        let number = state.next_end;
        state.next_end += 1;
        state.ends.push(End {
            number,
            task: task.to_owned(),
            run: run.run,
            how,
        });
        let at = self.record.now_ms();
        {
            let mut history = self.history.lock().unwrap();
            history[run.record].ended_ms = Some(at);
            history[run.record].how = how;
        }
        self.record.line(&format!(
            "worker {} end {number}: {task} run {} {how}",
            self.id, run.run
        ));
    }

    fn extend(state: &mut State, deadline: Option<u64>) {
        let now = Self::clock(state);
        if let Some(deadline) = deadline {
            state.deadline_ms = state.deadline_ms.max(deadline.min(now + MAX_HOLD_MS));
        }
    }

    fn apply_hold(&self, state: &mut State, body: &Json) {
        let fence = body.get("Fence").number().unwrap_or(0);
        if fence < state.fence {
            return;
        }
        state.fence = fence;
        Self::extend(state, body.get("DeadlineMs").number());
        let last_seen = body.get("LastSeen").number().unwrap_or(0);
        state.ends.retain(|end| end.number > last_seen);
    }

    fn tick(&self, born: u64) {
        while self.is_present(born) {
            thread::sleep(Duration::from_millis(4));
            let mut state = self.state.0.lock().unwrap();
            if state.born != born || !state.up {
                return;
            }
            let now = Instant::now();
            let over: Vec<(String, &'static str)> = state
                .running
                .iter()
                .filter(|(_, run)| run.ends_at.is_some_and(|at| at <= now))
                .map(|(task, run)| (task.clone(), if run.fails { "failed" } else { "done" }))
                .collect();
            let over: Vec<(String, &'static str)> =
                over.into_iter().chain(gang_ends(&state)).collect();
            for (task, how) in &over {
                self.end_run(&mut state, task, how);
            }
            let lapsed = !state.running.is_empty() && Self::clock(&state) > state.deadline_ms;
            if lapsed {
                self.record
                    .line(&format!("worker {}: the lease is over", self.id));
                let tasks: Vec<String> = state.running.keys().cloned().collect();
                for task in tasks {
                    self.end_run(&mut state, &task, "lapsed");
                }
            }
            if lapsed || !over.is_empty() {
                self.state.1.notify_all();
            }
        }
    }

    fn beat(&self, born: u64) {
        while self.is_present(born) {
            let body = {
                let mut state = self.state.0.lock().unwrap();
                state.seq += 1;
                let body = format!(
                    "{{\"Service\":\"huvo11a\",\"Addr\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\
                     \"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":{CPU},\"MemMb\":{MEM_MB},\"Gpus\":0}},\"Labels\":[\"{}\",\"{}\"],\
                     \"ClockMs\":{},\"Seq\":{},\"born\":{}}}",
                    self.address, self.zone, self.kind,
                    self.rack, Self::clock(&state), state.seq, state.born
                );
                body
            };
            let path = format!("/Instances.Heartbeat/{}", self.id);
            let answer = call(
                self.agent,
                "POST",
                &path,
                &self.agent.to_string(),
                &[],
                &body,
                Duration::from_millis(1_000),
            );
            if answer.is_none() {
                thread::sleep(Duration::from_millis(200));
                continue;
            }
            for _ in 0..75 {
                thread::sleep(Duration::from_millis(20));
                if !self.is_present(born) {
                    return;
                }
            }
        }
    }

    fn accept(&self, listener: &TcpListener, born: u64) {
        while self.is_present(born) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let worker = self.clone();
                    thread::spawn(move || worker.serve(stream, born));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    thread::sleep(Duration::from_millis(3))
                }
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream, born: u64) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(message) = read_message(&mut stream, &mut buffer) {
            if !self.is_present(born) {
                return;
            }
            let path = message
                .first_line
                .split(' ')
                .nth(1)
                .unwrap_or("")
                .to_owned();
            let body = Json::parse(&message.body).unwrap_or(Json::Null);
            let expected = message.header("X-Guavavane-Expect-Instance");
            if expected.is_some_and(|id| id != self.id) {
                if !write_response(&mut stream, 421, "") {
                    return;
                }
                continue;
            }
            let Some((status, text)) = self.answer(&path, &body, born) else {
                return;
            };
            if !write_response(&mut stream, status, &text) {
                return;
            }
        }
    }

    fn answer(&self, path: &str, body: &Json, born: u64) -> Option<(u16, String)> {
        let mut state = self.state.0.lock().unwrap();
        let task = body.get("Task").text().to_owned();
        let run = body.get("Run").number().unwrap_or(0);
        let fence = body.get("Fence").number().unwrap_or(0);
        let refusal = |state: &State, reason: &str| {
            Some((
                409,
                format!(
                    "{{\"ClockMs\":{},\"Reason\":\"{reason}\",\"born\":{}}}",
                    Self::clock(state),
                    state.born
                ),
            ))
        };
        let done = |state: &State| {
            Some((
                200,
                format!(
                    "{{\"ClockMs\":{},\"born\":{}}}",
                    Self::clock(state),
                    state.born
                ),
            ))
        };
        if path == "/health" {
            return Some((200, "{}".to_owned()));
        }
        if fence < state.fence {
            return refusal(&state, "fence");
        }
        state.fence = fence;
        match path {
            "/run-start" => {
                let deadline = body.get("DeadlineMs").number().unwrap_or(0);
                if deadline <= Self::clock(&state) {
                    return refusal(&state, "late");
                }
                Self::extend(&mut state, Some(deadline));
                if state
                    .running
                    .get(&task)
                    .is_some_and(|known| known.run == run)
                {
                    return done(&state);
                }
                if state
                    .refused
                    .get(&task)
                    .is_some_and(|refused| run <= *refused)
                {
                    self.record.line(&format!(
                        "worker {} refuses {task} run {run} as old",
                        self.id
                    ));
                    return refusal(&state, "old");
                }
                let spec = body.get("Spec").text().to_owned();
                let needs_ticket = spec_number(&spec, "ticket=").is_some();
                if needs_ticket && !is_valid(body.get("Ticket").text(), &self.id) {
                    self.record
                        .line(&format!("worker {} refuses the ticket of {task}", self.id));
                    return refusal(&state, "ticket");
                }
                let cpu = spec_number(&spec, "cpu=").unwrap_or(240);
                if state.running.values().map(|run| run.cpu).sum::<u64>() + cpu > CPU {
                    return refusal(&state, "room");
                }
                let length = spec_number(&spec, "ms=").map(Duration::from_millis);
                let members = spec_number(&spec, "gang=").map(|members| members as usize);
                let gang = members.zip(length);
                if gang.is_some() {
                    let mut gangs = GANGS.lock().unwrap();
                    gangs.entry((step_of(&task), run)).or_default().present += 1;
                }
                let record = {
                    let mut history = self.history.lock().unwrap();
                    history.push(RunRecord {
                        task: task.clone(),
                        ended_ms: None,
                        how: "",
                    });
                    history.len() - 1
                };
                self.record
                    .line(&format!("worker {} starts {task} run {run}", self.id));
                let began = Instant::now();
                let ends_at = length
                    .filter(|_| gang.is_none())
                    .map(|length| began + length);
                state.running.insert(
                    task,
                    Run {
                        run,
                        began,
                        ends_at,
                        fails: false,
                        record,
                        cpu,
                        gang,
                    },
                );
                done(&state)
            }
            "/run-stop" => {
                let refused = state.refused.entry(task.clone()).or_insert(0);
                *refused = (*refused).max(run);
                if state
                    .running
                    .get(&task)
                    .is_some_and(|known| known.run <= run)
                {
                    self.end_run(&mut state, &task, "stopped");
                    self.state.1.notify_all();
                }
                self.record.line(&format!(
                    "worker {} is told to stop {task} run {run}",
                    self.id
                ));
                done(&state)
            }
            "/pace" => done(&state),
            "/hold" => {
                self.apply_hold(&mut state, body);
                let wait =
                    Duration::from_millis(body.get("WaitMs").number().unwrap_or(0).min(2_000));
                let until = Instant::now() + wait;
                let known = state.next_end;
                while state.up
                    && state.born == born
                    && state.ends.is_empty()
                    && state.next_end >= known
                {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
                if !state.up || state.born != born {
                    return None;
                }
                let running: Vec<String> = state
                    .running
                    .iter()
                    .map(|(task, run)| {
                        let percent = if run.ends_at.is_some() {
                            50
                        } else if run.began.elapsed() > Duration::from_millis(300) {
                            100
                        } else {
                            0
                        };
                        format!("[\"{task}\",{},\"\",{percent},0]", run.run)
                    })
                    .collect();
                let ends: Vec<String> = state
                    .ends
                    .iter()
                    .take(500)
                    .map(|end| {
                        format!(
                            "[{},\"{}\",{},\"{}\",\"\"]",
                            end.number, end.task, end.run, end.how
                        )
                    })
                    .collect();
                Some((
                    200,
                    format!(
                        "{{\"ClockMs\":{},\"born\":{},\"Running\":[{}],\"Finished\":[{}]}}",
                        Self::clock(&state),
                        state.born,
                        running.join(","),
                        ends.join(",")
                    ),
                ))
            }
            _ => Some((404, String::new())),
        }
    }
}
