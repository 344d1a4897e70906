//! Cell of the project's own programs on loopback addresses, and the record of a case.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::call;
use crate::http::Json;
use crate::http::Message;

/// Record of what was sent, answered and run. Clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = fs::File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

/// Processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes of the case that still run, by their ids.
pub fn end_started() {
    for id in STARTED.lock().unwrap().drain(..) {
        let command = format!("kill -KILL {id}");
        let _ = Command::new("sh").arg("-c").arg(command).status();
    }
}

/// Process of the project, with its settings.
pub struct Program {
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Program {
    pub fn start(&mut self, program: &Path) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("log");
        let child = Command::new(program)
            .arg(self.role)
            .env("GUAVAVANE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log"))
            .stdout(log)
            .spawn();
        let child = child.expect("the program starts");
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Cell {
    pub program: PathBuf,
    pub folder: PathBuf,
    pub net: String,
    pub ports: [u16; 5],
    pub controls: Vec<Program>,
    pub entries: Vec<Program>,
    pub agents: Vec<Program>,
    pub record: Record,
}

/// Zones of the cell; control processes, entries and workers are spread over them.
pub const ZONES: [&str; 3] = ["caxias", "bento", "farroupilha"];
pub const HOST: &str = "nony24.example";

impl Drop for Cell {
    fn drop(&mut self) {
        for program in self
            .controls
            .iter_mut()
            .chain(&mut self.entries)
            .chain(&mut self.agents)
        {
            program.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Cell {
    /// Starts the processes with settings like those of a small deployment.
    pub fn start(record: &Record, entries: usize, agents: usize) -> Self {
        let program = PathBuf::from("target/release/guavavane-platform");
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("guavavane-review-3-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let net = format!("127.{}.{}", 64 + id / 200 % 100, 1 + id % 200);
        let ports = [0; 5].map(|_: u16| {
            let listener =
                TcpListener::bind((format!("{net}.1").as_str(), 0)).expect("a free port");
            let port = listener.local_addr().expect("an address").port();
            std::mem::forget(listener); // Keeps the ports of this list apart; other addresses use them.
            port
        });
        let mut cell = Self {
            program,
            folder,
            net,
            ports,
            record: record.clone(),
            controls: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
        };
        for (role, count) in [("control", 3), ("entry", entries), ("agent", agents)] {
            for number in 0..count {
                let mut program = cell.prepare(role, number);
                program.start(&cell.program);
                match role {
                    "control" => cell.controls.push(program),
                    "entry" => cell.entries.push(program),
                    _ => cell.agents.push(program),
                }
            }
        }
        cell
    }

    fn prepare(&self, role: &'static str, number: usize) -> Program {
        let [internal, control, front, ready, worker] = self.ports;
        let net = &self.net;
        let base = match role {
            "control" => 10,
            "entry" => 30,
            _ => 50,
        };
        let (class, serves) = match role {
            "control" => ("core", "control"),
            "entry" => ("front", "front"),
            _ => ("side", "side"),
        };
        let ip = format!("{net}.{}", base + number);
        let zone = ZONES[number % ZONES.len()];
        let name = format!("{class}-{zone}-{}", 1 + number / ZONES.len());
        let seeds: Vec<String> = (0..3)
            .map(|n| format!("\"{net}.{}:{control}\"", 10 + n))
            .collect();
        let data = self.folder.join(format!("{name}-data"));
        let (data_line, listen, memory) = match role {
            "control" => (
                format!("DataDir = \"{}\"\n", data.display()),
                format!("ControlAddr = \"{ip}:{control}\""),
                256,
            ),
            "entry" => (
                String::new(),
                format!("Front = \"{ip}:{front}\"\nReadyAddr = \"{ip}:{ready}\""),
                260,
            ),
            _ => (
                format!("app = \"{net}.{}:{worker}\"\n", 70 + number),
                format!("ControlAddr = \"{ip}:{control}\""),
                128,
            ),
        };
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"{role}\"\nMachineClass = \"{class}\"\nServes = [\"{serves}\"]\nIp = \"{ip}\"\n\
             Zone = \"{zone}\"\nRegion = \"serra\"\nPortRange = [{internal},{internal}]\nSeeds = [{}]\nBootstrap = true\n\
             InFaultBudget = {}\n{data_line}Discovery = \"local\"\nEntry = \"vip\"\nHeartbeatMs = 1500\n\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"places\",\"advice\",\"upkeep\",\"sharing\"]\n\
             config_mode = \"highest\"\nOrders = \"call\"\nAdvice = \"{advice}\"\n\
             [Zones]\ncaxias = \"serra\"\nbento = \"serra\"\nfarroupilha = \"serra\"\n[Listen]\n{listen}\n\
             [Limits]\nCpuShare = 0.35\nCores = 1\nMemoryMb = {memory}\nMaxFds = 4096\nLinkMbps = 200.0\nDiskMb = 128\n\
             [FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\nGraceS = 6\n\
             LossSlackMs = 200\nConfigApplyMs = 2000\nRollbackSlackMs = 250\nMaxStretchMs = 5000\nEvacuateMs = 5000\n\
             RecoveryS = 12\nMaxHoldMs = 6000\nStopMs = 400\nGangWaitMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n\
             early_ms = 250\nfinish_s = 14\nstatus_s = 120\nLeaseMs = 3000\nThawSlackMs = 300\nPaceMs = 100\nImpactMs = 4000\n",
            seeds.join(","),
            role == "control",
            advice = self.advice(),
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("settings");
        Program {
            role,
            settings,
            log: self.folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Address of the advice service.
    pub fn advice(&self) -> SocketAddr {
        self.address(200, self.ports[4])
    }
    pub fn address(&self, octet: usize, port: u16) -> SocketAddr {
        format!("{}.{octet}:{port}", self.net)
            .parse()
            .expect("an address")
    }
    pub fn control(&self, number: usize) -> SocketAddr {
        self.address(10 + number % 3, self.ports[1])
    }
    pub fn entry(&self, number: usize) -> SocketAddr {
        self.address(30 + number % self.entries.len(), self.ports[2])
    }
    pub fn worker(&self, number: usize) -> SocketAddr {
        self.address(70 + number, self.ports[4])
    }
    pub fn agent(&self, number: usize) -> SocketAddr {
        self.address(50 + number, self.ports[1])
    }

    /// Sends an order of the operator until it has a clear answer or the time is over: follows a 307
    /// twice, moves on to another node after a failure, a 5xx or a time-out. Returns the last status.
    pub fn order(&self, method: &str, path: &str, body: &str, within: Duration) -> Option<Message> {
        let until = Instant::now() + within;
        let timeout = Duration::from_millis(1_000 + body.len() as u64 / 200);
        let (mut number, mut pause, mut last) = (0, 50, None);
        while Instant::now() < until {
            let mut address = self.control(number);
            for _ in 0..3 {
                let answer = call(
                    address,
                    method,
                    path,
                    &address.to_string(),
                    &[],
                    body,
                    timeout,
                );
                let status = answer.as_ref().map_or(0, Message::status);
                self.record.line(&format!(
                    "operator {method} {path} ({} bytes) to {address}: {status}",
                    body.len()
                ));
                last = answer.clone();
                match status {
                    307 => {
                        let to = answer
                            .as_ref()
                            .and_then(|a| a.header("location").map(str::to_owned))
                            .unwrap_or_default();
                        let to = to
                            .trim_start_matches("http://")
                            .split('/')
                            .next()
                            .unwrap_or("")
                            .to_owned();
                        match to.parse() {
                            Ok(to) => address = to,
                            Err(_) => break,
                        }
                    }
                    200..=299 | 400 | 409 | 412 | 413 | 422 => return last,
                    _ => break,
                }
            }
            number += 1;
            thread::sleep(Duration::from_millis(pause));
            pause = (pause * 3 / 2).min(800);
        }
        last
    }

    /// Sends a caller's request to an entry.
    pub fn caller(&self, entry: usize, method: &str, id: &str, body: &str) -> u16 {
        self.caller_reply(entry, method, id, body)
            .map_or(0, |m| m.status())
    }
    pub fn caller_reply(
        &self,
        entry: usize,
        method: &str,
        id: &str,
        body: &str,
    ) -> Option<Message> {
        let deadline = [("X-Guavavane-Deadline", "3000")];
        let path = format!("/lohu930/{id}");
        let answer = call(
            self.entry(entry),
            method,
            &path,
            HOST,
            &deadline,
            body,
            Duration::from_millis(3_200),
        );
        let status = answer.as_ref().map_or(0, Message::status);
        let text = answer.as_ref().map_or(String::new(), |a| {
            String::from_utf8_lossy(&a.body).into_owned()
        });
        self.record.line(&format!(
            "caller {method} {id} at entry {entry}: {status} {text}"
        ));
        answer
    }
    /// Submits a job until it is accepted.
    pub fn submit(&self, id: &str, body: &str) -> bool {
        for attempt in 0..6 {
            if self.caller(attempt, "POST", id, body) == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(400));
        }
        false
    }
    pub fn state(&self, id: &str) -> String {
        let answer = self.caller_reply(0, "GET", id, "");
        let body = answer.and_then(|a| Json::parse(&a.body));
        body.map_or(String::new(), |b| b.get("State").text().to_owned())
    }
}

/// Configuration with the queue of the cases and a number of further routes.
pub fn config(version: u64, further: usize) -> String {
    advised_config(version, further, "")
}

/// Configuration whose first queue has the given further fields.
pub fn advised_config(version: u64, further: usize, fields: &str) -> String {
    let route = |name: &str, host: &str, prefix: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{host}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"unsafe\",\"TimeoutMs\":3000,\
             \"TargetLatencyMs\":250,\"Priority\":0,\"Service\":\"huvo11a\",\"MaxAttempts\":4,\"Stretch\":1.5}}"
        )
    };
    let first = route("r-3hwrr6x", HOST, "/lohu930/");
    let mut routes = vec![format!("{}{fields}}}", &first[..first.len() - 1])];
    for number in 0..further {
        routes.push(route(
            &format!("r-{number:07}"),
            &format!("ho{number:04}.example"),
            &format!("/ro{number:05}/"),
        ));
    }
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"huvo11a\",\"HealthPath\":\"/health\",\
         \"MaxConns\":64,\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":0.0,\"ColdPerS\":0.0,\"AdmissionCheck\":true,\
         \"Standby\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}
