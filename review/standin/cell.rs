//! Processes under test: their settings, start, signals and end; and the operator and clients.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::advice;
use crate::advice::Tickets;
use crate::http::call;
use crate::http::Response;
use crate::json::Json;
use crate::worker::Gangs;
use crate::worker::Record;
use crate::worker::Worker;

pub const PROGRAM: &str = "target/release/guavavane-platform";
pub const WORKERS: usize = 8;
const CONTROLS: usize = 3;
const ENTRIES: usize = 2;
const ZONES: [&str; 3] = ["caxias", "bento", "farroupilha"];

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

pub struct Process {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(PROGRAM)
            .arg(self.role)
            .env("GUAVAVANE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process is a child of this one that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub struct Cell {
    pub record: Arc<Record>,
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub workers: Vec<Arc<Worker>>,
    folder: PathBuf,
    subnet: u8,
}

impl Drop for Cell {
    fn drop(&mut self) {
        for process in self.all() {
            process.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

fn ip(subnet: u8, octet: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, subnet, octet as u8)
}

fn find_subnet() -> Option<u8> {
    let first = std::process::id() % 70;
    let subnets = (0..70).map(|offset| 20 + ((first + offset) % 70) as u8);
    subnets.into_iter().find(|subnet| {
        let octets = [10, 11, 12, 30, 31, 50, 57, 70, 77, 90];
        octets.iter().all(|octet| {
            let ports = [9464, 27720, 27721, 27722, 27723, 27724, 27725];
            ports
                .iter()
                .all(|port| TcpListener::bind((ip(*subnet, *octet), *port)).is_ok())
        })
    })
}

impl Cell {
    fn all(&mut self) -> impl Iterator<Item = &mut Process> {
        let others = self.entries.iter_mut().chain(&mut self.agents);
        self.controls.iter_mut().chain(others)
    }

    /// Starts all processes and workers, and puts the first configuration in force. It has the queue
    /// `/slip/`, and the queue `/lot/` for jobs whose ids begin with 4, which needs advice.
    pub fn start(attempts: u64) -> Result<Self, String> {
        if !Path::new(PROGRAM).exists() {
            return Err(format!("{PROGRAM} is missing: build it first"));
        }
        let subnet = find_subnet().ok_or("no free subnet")?;
        let folder = std::env::temp_dir().join(format!("guavavane-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let record = Record::new();
        let mut cell = Self {
            record,
            controls: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            folder,
            subnet,
        };
        cell.start_all(attempts).map(|()| cell)
    }

    fn start_all(&mut self, attempts: u64) -> Result<(), String> {
        for number in 0..CONTROLS {
            let process = self.process("control", "core", number, 10)?;
            self.controls.push(process);
        }
        for number in 0..ENTRIES {
            let process = self.process("entry", "front", number, 30)?;
            self.entries.push(process);
        }
        for number in 0..WORKERS {
            let process = self.process("agent", "side", number, 50)?;
            self.agents.push(process);
        }
        let gangs = Arc::new(Gangs::default());
        let tickets = Arc::new(Tickets::default());
        advice::start(self.advice_address(), &self.record, &tickets)
            .map_err(|error| error.to_string())?;
        for number in 0..WORKERS {
            let worker = Worker::start(
                number,
                ZONES[number % 3],
                vec!["a".to_owned(), format!("r1-{number}")],
                SocketAddr::from((ip(self.subnet, 70 + number), 27724)),
                SocketAddr::from((ip(self.subnet, 50 + number), 27721)),
                &self.record,
                &gangs,
                &tickets,
            );
            self.workers
                .push(worker.map_err(|error| error.to_string())?);
        }
        self.put_config(1, attempts)?;
        self.await_workers()
    }

    fn process(
        &self,
        role: &'static str,
        class: &str,
        number: usize,
        octet: usize,
    ) -> Result<Process, String> {
        let subnet = self.subnet;
        let own = ip(subnet, octet + number);
        let name = format!("{class}-{}-{}", ZONES[number % 3], number / 3 + 1);
        let seeds: Vec<String> = (0..CONTROLS)
            .map(|seed| format!("\"{}:27721\"", ip(subnet, 10 + seed)))
            .collect();
        let settings = self.folder.join(format!("{name}.toml"));
        let zone = ZONES[number % 3];
        let mut text = format!(
            "NodeName = \"{name}\"\nRole = \"{role}\"\nMachineClass = \"{class}\"\nIp = \"{own}\"\n\
             Zone = \"{zone}\"\nRegion = \"serra\"\nPortRange = [27720,27720]\nSeeds = [{}]\n\
             Bootstrap = true\nInFaultBudget = {}\nDiscovery = \"local\"\nEntry = \"vip\"\n\
             HeartbeatMs = 1500\nconfig_mode = \"highest\"\nOrders = \"call\"\nAdvice = \"{}\"\n",
            seeds.join(","),
            role == "control",
            self.advice_address()
        );
        match role {
            "control" => {
                let data = self.folder.join(format!("{name}.data"));
                text += &format!("DataDir = \"{}\"\n", data.display());
                fs::create_dir_all(&data).map_err(|error| error.to_string())?;
                text += &format!("[Listen]\nControlAddr = \"{own}:27721\"\n");
            }
            "entry" => {
                text +=
                    &format!("[Listen]\nFront = \"{own}:27722\"\nReadyAddr = \"{own}:27723\"\n");
            }
            _ => {
                let worker = ip(subnet, 70 + number);
                text += &format!("app = \"{worker}:27724\"\nService = \"svc\"\n");
                text += &format!("[Listen]\nControlAddr = \"{own}:27721\"\n");
            }
        }
        text += "[FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0\n[Bounds]\nSeedLagS = 3\n\
                 AddrReuseS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\n\
                 GraceS = 6\nMaxHoldMs = 6000\nStopMs = 400\nGangWaitMs = 3000\ncancel_ms = 3000\n\
                 visible_ms = 3000\nfinish_s = 14\nstatus_s = 120\nThawSlackMs = 300\n\
                 ImpactMs = 4000\n";
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let mut process = Process {
            name,
            role,
            settings,
            log,
            child: None,
        };
        process.start().map_err(|error| error.to_string())?;
        Ok(process)
    }

    /// Sends a configuration to the control processes until one acknowledges it.
    pub fn put_config(&self, version: u64, attempts: u64) -> Result<(), String> {
        let body = format!(
            "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-slip\",\"Host\":\"slip.example\",\
             \"PathPrefix\":\"/slip/\",\"Kind\":\"unsafe\",\"TimeoutMs\":3000,\
             \"TargetLatencyMs\":1000,\"Priority\":0,\"Service\":\"svc\",\"MaxAttempts\":{attempts},\
             \"Stretch\":1.5}},{{\"Name\":\"r-lot\",\"Host\":\"slip.example\",\"PathPrefix\":\"/lot/\",\
             \"Kind\":\"unsafe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":1000,\"Priority\":1,\
             \"Service\":\"svc\",\"MaxAttempts\":{attempts},\"Stretch\":2.0,\"Advice\":{{\
             \"DecisionMs\":{},\"IntervalMs\":{},\"ValidityMs\":{}}}}}],\"Services\":[{{\"Name\":\"svc\",\"HealthPath\":\"/health\",\
             \"MaxConns\":64,\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":0.0,\"ColdPerS\":0.0,\
             \"AdmissionCheck\":true,\"Standby\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
             \"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
            advice::DECISION_MS,
            advice::INTERVAL_MS,
            advice::VALIDITY_MS
        );
        let began = Instant::now();
        let mut number = 0;
        while began.elapsed() < Duration::from_secs(20) {
            let mut address = SocketAddr::from((ip(self.subnet, 10 + number % CONTROLS), 27721));
            number += 1;
            for _ in 0..3 {
                let second = Duration::from_secs(1);
                let response = call(address, "POST", "control", "/Config.Put", &body, second);
                match response {
                    Some(Response { status: 200, .. }) => {
                        self.record
                            .line(format!("configuration {version} is acknowledged"));
                        return Ok(());
                    }
                    Some(response) if response.status == 307 => {
                        let location = response
                            .headers
                            .iter()
                            .find(|(n, _)| n.eq_ignore_ascii_case("location"));
                        let next = location.and_then(|(_, value)| {
                            value
                                .strip_prefix("http://")?
                                .split('/')
                                .next()?
                                .parse()
                                .ok()
                        });
                        match next {
                            Some(next) => address = next,
                            None => break,
                        }
                    }
                    _ => break,
                }
            }
            thread::sleep(Duration::from_millis(150));
        }
        Err("no configuration was acknowledged".to_owned())
    }

    /// Waits until each worker has run a task.
    fn await_workers(&self) -> Result<(), String> {
        let phases: Vec<String> = (0..WORKERS)
            .map(|number| {
                format!("{{\"Count\":1,\"Cpu\":100,\"MemMb\":64,\"Requires\":\"r1-{number}\"}}")
            })
            .collect();
        let job = 0x00aa_0000_0000_0001;
        let body = format!("{{\"Spec\":\"ms=50\",\"Phases\":[{}]}}", phases.join(","));
        if !self.submit(job, &body) {
            return Err("the first job was not accepted".to_owned());
        }
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(20) {
            if self.state(job).as_deref() == Some("completed") {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the first job was not completed".to_owned())
    }

    fn advice_address(&self) -> SocketAddr {
        SocketAddr::from((ip(self.subnet, 90), 27725))
    }

    fn front(&self, number: usize) -> SocketAddr {
        SocketAddr::from((ip(self.subnet, 30 + number % ENTRIES), 27722))
    }

    fn client(&self, method: &str, job: u64, body: &str) -> Option<Response> {
        let queue = if job >> 60 == 4 { "lot" } else { "slip" };
        let path = format!("/{queue}/{job:016x}");
        let wait = Duration::from_secs(3);
        (0..4).find_map(|attempt| {
            let entry = self.front(job as usize + attempt);
            let response = call(entry, method, "slip.example", &path, body, wait);
            let shown = response.as_ref().map(|r| (r.status, r.body.clone()));
            self.record
                .line(format!("client {method} {job:016x} {body} -> {shown:?}"));
            response.filter(|response| response.status < 500 && response.status != 429)
        })
    }

    /// Submits a job as a client does; returns whether it was accepted.
    pub fn submit(&self, job: u64, body: &str) -> bool {
        self.client("POST", job, body)
            .is_some_and(|response| response.status == 200)
    }

    /// State of a job as its client sees it.
    pub fn state(&self, job: u64) -> Option<String> {
        let response = self.client("GET", job, "")?;
        let body = Json::parse(&response.body)?;
        body.text("State").map(str::to_owned)
    }

    /// Writes what was sent, answered and run.
    pub fn write_record(&self, path: &str, summary: &[String]) -> Result<(), String> {
        let mut text: String = summary.iter().map(|line| format!("# {line}\n")).collect();
        for (at, line) in self.record.lines.lock().unwrap().iter() {
            text += &format!("{:9.3} {line}\n", *at as f64 / 1_000.0);
        }
        fs::write(path, text).map_err(|error| error.to_string())
    }
}
