//! Workers as `PROTOCOL.md` describes them: leases on their own clock, fences, numbered ends.
//!
//! The first word of a job's `Spec` is the work of each of its tasks in milliseconds; with the second word
//! `uneven` it is between half and one and a half times that.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::cell::Cell;
use crate::cell::Record;
use crate::cell::SERVICE;
use crate::json::Json;
use crate::net::call;
use crate::net::serve;
use crate::net::Reply;
use crate::net::Request;

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MAX_HOLD_MS: u64 = 10_000;
/// The first workers are of kind `b`, which the cases' jobs require; the others are of kind `a`.
const WORKERS_OF_KIND_B: u8 = 2;
/// Workers of a deployment, as on the site.
pub const WORKERS: u8 = 11;
const WAIT_MAX_MS: u64 = 2_000;

/// Start of a run and its end, as a worker saw them.
#[derive(Clone, Debug)]
pub struct Span {
    pub worker: String,
    pub task: String,
    pub run: u32,
    pub began: Instant,
    pub ended: Option<(Instant, &'static str)>,
    /// Whether the end was taken note of: `LastSeen` has reached it, and the lease did not lapse between.
    pub noted: bool,
}

struct Running {
    run: u32,
    until: Instant,
    span: usize,
}

/// What one life of the worker holds and knows.
struct Life {
    born: u64,
    started: Instant,
    fence: u64,
    running: HashMap<String, Running>,
    /// Highest run of each task that was stopped or has ended.
    over: HashMap<String, u32>,
    ends: Vec<(u64, String, u32, &'static str)>,
    next: u64,
    deadline_ms: u64,
    /// When the lease lapsed last, and whether it is lapsed.
    lapse: Option<Instant>,
    is_lapsed: bool,
    seq: u64,
}

impl Life {
    fn new() -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            born: born.as_millis() as u64,
            started: Instant::now(),
            fence: 0,
            running: HashMap::new(),
            over: HashMap::new(),
            ends: Vec::new(),
            next: 1,
            deadline_ms: 0,
            lapse: None,
            is_lapsed: false,
            seq: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline_ms: Option<u64>) {
        if let Some(deadline_ms) = deadline_ms {
            let longest = self.clock_ms() + MAX_HOLD_MS;
            self.deadline_ms = self.deadline_ms.max(deadline_ms.min(longest));
        }
    }
}

struct State {
    life: Option<Life>,
    lives: u32,
    spans: Vec<Span>,
    /// Whether nothing passes from or to the worker; what runs goes on.
    cut: bool,
    /// Decides on a call whether it is left unanswered and carried out after this time.
    late: Option<Box<dyn FnMut(&str) -> Option<Duration> + Send>>,
}

/// One worker; clones share it.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    number: u8,
    agent: SocketAddr,
    record: Record,
    state: Arc<Mutex<State>>,
}

impl Worker {
    /// Starts all workers of a deployment.
    pub fn start_all(cell: &Cell, record: &Record) -> Result<Vec<Self>, String> {
        let start = |number| Self::start(number, cell.worker(number), cell.agent(number), record);
        (0..WORKERS).map(start).collect()
    }

    /// Starts a worker: its server, its clock and its heartbeats.
    fn start(
        number: u8,
        address: SocketAddr,
        agent: SocketAddr,
        record: &Record,
    ) -> Result<Self, String> {
        let worker = Self {
            id: format!("i-{number}a"),
            number,
            agent,
            record: record.clone(),
            state: Arc::new(Mutex::new(State {
                life: None,
                lives: 0,
                spans: Vec::new(),
                cut: false,
                late: None,
            })),
        };
        let served = worker.clone();
        serve(address, move |request| served.answer(request)).map_err(|e| e.to_string())?;
        let ticked = worker.clone();
        thread::spawn(move || loop {
            ticked.tick();
            sleep(Duration::from_millis(2));
        });
        worker.begin_life(Duration::ZERO);
        Ok(worker)
    }

    /// Starts the worker under its `Id`; the first heartbeat follows after `first_beat`.
    pub fn begin_life(&self, first_beat: Duration) {
        let mut state = self.state.lock().unwrap();
        state.lives += 1;
        let life = Life::new();
        let (lives, born) = (state.lives, life.born);
        state.life = Some(life);
        self.record.line(&format!("worker {} starts, life {lives}, born {born}", self.id));
        let beating = self.clone();
        thread::spawn(move || {
            sleep(first_beat);
            while beating.beat(lives) {
                sleep(HEARTBEAT);
            }
        });
    }

    /// Ends the worker without a word; nothing that it held survives.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        if let Some(life) = state.life.take() {
            for running in life.running.values() {
                state.spans[running.span].ended = Some((now, "crash"));
            }
            self.record.line(&format!(
                "worker {} crashes with {} runs, {} ends so far",
                self.id,
                life.running.len(),
                life.next - 1
            ));
        }
    }

    /// Lets `late` decide from now on which calls are carried out late.
    pub fn set_late(&self, late: Option<Box<dyn FnMut(&str) -> Option<Duration> + Send>>) {
        self.state.lock().unwrap().late = late;
    }

    /// Cuts the worker off from all machines, or joins it again.
    pub fn set_cut(&self, cut: bool) {
        self.state.lock().unwrap().cut = cut;
    }

    pub fn spans(&self) -> Vec<Span> {
        self.state.lock().unwrap().spans.clone()
    }

    pub fn running(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let life = state.life.iter();
        life.flat_map(|life| life.running.keys().cloned()).collect()
    }

    fn beat(&self, lives: u32) -> bool {
        let body = {
            let mut state = self.state.lock().unwrap();
            if state.lives != lives {
                return false;
            }
            if state.cut {
                return true;
            }
            let Some(life) = &mut state.life else {
                return false;
            };
            life.seq += 1;
            format!(
                "{{\"Service\":\"{SERVICE}\",\"Addr\":\"127.0.0.1:1\",\"Zone\":\"z{}\",\
                 \"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\
                 \"Capacity\":{{\"Cpu\":16000,\"MemMb\":64000,\"Gpus\":0}},\
                 \"Labels\":[\"{}\",\"r{}-0\"],\"ClockMs\":{},\"Seq\":{},\"born\":{}}}",
                self.number,
                if self.number < WORKERS_OF_KIND_B { "b" } else { "a" },
                self.number,
                life.clock_ms(),
                life.seq,
                life.born
            )
        };
        let path = format!("/Instances.Heartbeat/{}", self.id);
        let answer = call(self.agent, "POST", &path, "agent", &body, Duration::from_secs(1));
        if answer.is_none() {
            sleep(Duration::from_millis(200));
        }
        true
    }

    /// Ends runs whose work is done or whose lease is over.
    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let Some(life) = &mut state.life else {
            return;
        };
        let now = Instant::now();
        let lapsed = life.clock_ms() > life.deadline_ms;
        if lapsed && !life.is_lapsed {
            life.lapse = Some(now);
        }
        life.is_lapsed = lapsed;
        let ended: Vec<String> = life
            .running
            .iter()
            .filter(|(_, running)| lapsed || now >= running.until)
            .map(|(task, _)| task.clone())
            .collect();
        for task in ended {
            let is_done = now >= life.running[&task].until && !lapsed;
            let how = if is_done { "done" } else { "lapsed" };
            end_run(life, &mut state.spans, &task, how);
            self.record.line(&format!("worker {} ends {task}: {how}", self.id));
        }
    }

    fn answer(&self, request: Request) -> Reply {
        if request.method == "GET" {
            let up = self.state.lock().unwrap().life.is_some();
            return if up { Reply::Answer(200, String::new()) } else { Reply::Close };
        }
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, String::new());
        };
        let expected = request.header("X-Guavavane-Expect-Instance").unwrap_or("").to_owned();
        let late = {
            let mut state = self.state.lock().unwrap();
            if state.life.is_none() {
                return Reply::Close;
            }
            if state.cut {
                return Reply::Nothing;
            }
            state.late.as_mut().and_then(|late| late(&request.path))
        };
        if let Some(delay) = late {
            let text = format!("worker {} leaves {} {} unanswered", self.id, request.path, request.body);
            self.record.line(&format!("{text}, to be carried out in {} ms", delay.as_millis()));
            let (later, path) = (self.clone(), request.path.clone());
            thread::spawn(move || {
                sleep(delay);
                let answer = later.carry_out(&path, &expected, &body);
                let text = format!("worker {} carries out late {path}: {answer:?}", later.id);
                later.record.line(&text);
            });
            return Reply::Nothing;
        }
        if request.path == "/hold" {
            return self.hold(&expected, &body);
        }
        match self.carry_out(&request.path, &expected, &body) {
            Some((status, text)) => Reply::Answer(status, text),
            None => Reply::Close,
        }
    }

    /// Renews the lease, forgets ends, and answers once a run ends or the wait is over.
    fn hold(&self, expected: &str, body: &Json) -> Reply {
        let lives = self.state.lock().unwrap().lives;
        let first = self.carry_out("/hold", expected, body);
        match &first {
            Some((200, _)) => {}
            Some((status, text)) => return Reply::Answer(*status, text.clone()),
            None => return Reply::Close,
        }
        let wait = body.number("WaitMs").unwrap_or(0).min(WAIT_MAX_MS);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            {
                let state = self.state.lock().unwrap();
                match &state.life {
                    Some(life) if state.lives == lives => {
                        if !life.ends.is_empty() || Instant::now() >= until {
                            return Reply::Answer(200, lists(life));
                        }
                    }
                    _ => return Reply::Close,
                }
            }
            sleep(Duration::from_millis(2));
        }
    }

    /// Carries out a call on the present life, if its `Id` is the one that the call names.
    fn carry_out(&self, path: &str, expected: &str, body: &Json) -> Option<(u16, String)> {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let life = state.life.as_mut()?;
        if expected != self.id {
            return Some((421, String::new()));
        }
        let clock = life.clock_ms();
        let refuse = |reason: &str| Some((409, format!("{{\"ClockMs\":{clock},\"Reason\":\"{reason}\"}}")));
        let fence = body.number("Fence").unwrap_or(0);
        if fence < life.fence {
            return refuse("fence");
        }
        life.fence = fence;
        let accepted = Some((200, format!("{{\"ClockMs\":{clock},\"born\":{}}}", life.born)));
        match path {
            "/hold" => {
                let seen = body.number("LastSeen").unwrap_or(0);
                let forgotten: Vec<String> = life
                    .ends
                    .iter()
                    .filter(|(number, ..)| *number <= seen)
                    .map(|(number, task, run, how)| format!("{number} {task} run {run} {how}"))
                    .collect();
                if !forgotten.is_empty() {
                    let text = forgotten.join(", ");
                    self.record.line(&format!("worker {} forgets ends up to {seen}: {text}", self.id));
                }
                for (_, task, run, _) in life.ends.iter().filter(|(number, ..)| *number <= seen) {
                    let born = life.started;
                    let is_it = |span: &&mut Span| {
                        span.task == *task && span.run == *run && span.began >= born
                    };
                    if let Some(span) = state.spans.iter_mut().rev().find(is_it) {
                        let kept = |at: Instant| life.lapse.is_none_or(|lapse| lapse < at);
                        span.noted = span.ended.is_some_and(|(at, _)| kept(at));
                    }
                }
                life.ends.retain(|(number, ..)| *number > seen);
                life.extend(body.number("DeadlineMs"));
                Some((200, lists(life)))
            }
            "/run-start" => {
                let task = body.text("Task")?.to_owned();
                let run = body.number("Run")? as u32;
                let deadline = body.number("DeadlineMs");
                if life.running.get(&task).is_some_and(|running| running.run == run) {
                    return accepted;
                }
                if life.over.get(&task).is_some_and(|over| run <= *over)
                    || life.running.contains_key(&task)
                {
                    life.extend(deadline);
                    return refuse("old");
                }
                if deadline.is_none_or(|deadline| deadline <= clock) {
                    return refuse("late");
                }
                life.extend(deadline);
                let spec = body.text("Spec").unwrap_or("");
                let work = task_work(spec, &task);
                let began = Instant::now();
                let running = Running {
                    run,
                    until: began + Duration::from_millis(work),
                    span: state.spans.len(),
                };
                life.running.insert(task.clone(), running);
                self.record.line(&format!("worker {} life {} starts {task} run {run}", self.id, state.lives));
                state.spans.push(Span {
                    worker: self.id.clone(),
                    task,
                    run,
                    began,
                    ended: None,
                    noted: false,
                });
                accepted
            }
            "/run-stop" => {
                let task = body.text("Task")?.to_owned();
                let run = body.number("Run")? as u32;
                if life.running.get(&task).is_some_and(|running| running.run <= run) {
                    end_run(life, &mut state.spans, &task, "stopped");
                    self.record.line(&format!("worker {} stops {task} run {run}", self.id));
                }
                let over = life.over.entry(task).or_insert(0);
                *over = (*over).max(run);
                accepted
            }
            "/pace" => accepted,
            _ => Some((404, String::new())),
        }
    }
}

/// Work of a task in milliseconds.
fn task_work(spec: &str, task: &str) -> u64 {
    let mut words = spec.split(' ');
    let work = words.next().and_then(|word| word.parse().ok()).unwrap_or(1_000);
    if words.next() != Some("uneven") {
        return work;
    }
    let hash = task.bytes().fold(17_u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(u64::from(byte)));
    work / 2 + work * (hash % 1_000) / 1_000
}

fn end_run(life: &mut Life, spans: &mut [Span], task: &str, how: &'static str) {
    let Some(running) = life.running.remove(task) else {
        return;
    };
    spans[running.span].ended = Some((Instant::now(), how));
    let over = life.over.entry(task.to_owned()).or_insert(0);
    *over = (*over).max(running.run);
    life.ends.push((life.next, task.to_owned(), running.run, how));
    life.next += 1;
}

fn lists(life: &Life) -> String {
    let running = life.running.iter();
    let running = running.map(|(task, running)| format!("[\"{task}\",{},\"\",50,100]", running.run));
    let ends = life.ends.iter().take(500);
    let ends = ends.map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"));
    format!(
        "{{\"ClockMs\":{},\"born\":{},\"Running\":[{}],\"Finished\":[{}]}}",
        life.clock_ms(),
        life.born,
        running.collect::<Vec<_>>().join(","),
        ends.collect::<Vec<_>>().join(",")
    )
}
