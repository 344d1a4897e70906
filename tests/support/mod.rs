//! Clusters of real processes for the tests of faults.

#![allow(clippy::unwrap_used, dead_code, unreachable_pub)]

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use guavavane::model::prelude::ResourceVector;
use guavavane::protocol::prelude::AcceptedVersion;
use guavavane::protocol::prelude::CellStatus;
use guavavane::protocol::prelude::OperatorCommand;
use guavavane::protocol::prelude::OperatorOutcome;
use guavavane::standin::clock::wait_until;
use guavavane::standin::clock::StopFlag;
use guavavane::standin::harness::cluster::READY_TIMEOUT;
use guavavane::standin::http::http_post;
use guavavane::standin::prelude::run_load;
use guavavane::standin::prelude::CallerSettings;
use guavavane::standin::prelude::CheckReport;
use guavavane::standin::prelude::CheckRules;
use guavavane::standin::prelude::ClusterPlan;
use guavavane::standin::prelude::EndpointFault;
use guavavane::standin::prelude::LoadSummary;
use guavavane::standin::prelude::RunningCluster;
use guavavane::standin::worker::fault::FaultOrder;

/// Environment of all test documents.
pub const ENVIRONMENT: &str = "production";

/// Time-out of an operator's command.
const OPERATE_TIMEOUT: Duration = Duration::from_secs(5);

/// One cluster at a time, so that each has the machine to itself.
static CLUSTER_TURN: Mutex<()> = Mutex::new(());

/// A cluster and its turn on the machine.
pub struct Bench {
    pub cluster: RunningCluster,
    _turn: MutexGuard<'static, ()>,
}

/// A plan of three replicas, two entries and so many workers.
pub fn plan(name: &str, workers: usize) -> ClusterPlan {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    ClusterPlan {
        name: name.to_owned(),
        workers,
        capacity: ResourceVector::new(16_000, 60_000, 0),
        ..ClusterPlan::cooperativa(&examples)
    }
}

/// Starts a plan.
pub fn start(plan: ClusterPlan) -> Bench {
    let turn = CLUSTER_TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let program = Path::new(env!("CARGO_BIN_EXE_guavavane-standin"));
    let cluster = RunningCluster::start(plan, program.parent().unwrap()).unwrap();
    Bench {
        cluster,
        _turn: turn,
    }
}

/// A document with so many instances of the service, and a batch of so many short tasks.
pub fn document(instances: usize, batch_tasks: usize, run_ms: u64, timeout_ms: u64) -> String {
    let centres = ["caxias", "bento", "farroupilha"]
        .map(|name| format!("[[data_centre]]\nname = \"{name}\"\nregion = \"serra\"\n"));
    let service = format!(
        "{}\n[[team]]\nname = \"dispatch\"\n\n[[team]]\nname = \"settlement\"\n\n\
         [[service]]\nname = \"despacho\"\nteam = \"dispatch\"\ninstances = {instances}\n\
         demand = {{ cpu_millis = 4000, memory_mib = 8192 }}\n\
         request_timeout_ms = {timeout_ms}\n",
        centres.concat()
    );
    if batch_tasks == 0 {
        return service;
    }
    format!(
        "{service}\n[[batch]]\nname = \"settlement\"\nteam = \"settlement\"\n\
         tasks = {batch_tasks}\n\
         demand = {{ cpu_millis = 2000, memory_mib = 4096 }}\nrun_ms = {run_ms}\n"
    )
}

/// A load in the background.
pub struct RunningLoad {
    stop: StopFlag,
    thread: JoinHandle<LoadSummary>,
}

impl RunningLoad {
    pub fn start(settings: CallerSettings) -> Self {
        let stop = StopFlag::default();
        let flag = stop.clone();
        let thread = thread::spawn(move || run_load(&settings, &flag).unwrap());
        Self { stop, thread }
    }

    /// Ends the load and waits for all its requests.
    pub fn end(self) -> LoadSummary {
        self.stop.raise();
        self.thread.join().unwrap()
    }
}

impl Bench {
    /// A load of 60 requests a second with many slip entries.
    pub fn load(&self, name: &str) -> CallerSettings {
        let mut settings = self.cluster.caller_settings(name);
        settings.rate = 60.0;
        settings.duration = Duration::from_secs(120);
        settings.slip_millis = 700;
        settings.timeout = Duration::from_secs(8);
        settings
    }

    /// Sends a command through one entry after the other until it has an outcome.
    pub fn command(&self, command: &OperatorCommand) -> OperatorOutcome {
        let mut outcome = OperatorOutcome::Unavailable;
        wait_until("outcome of a command", READY_TIMEOUT, || {
            outcome = self.command_once(command);
            !matches!(
                outcome,
                OperatorOutcome::Unavailable | OperatorOutcome::Unknown
            )
        })
        .unwrap();
        outcome
    }

    /// Sends a command once through each entry until one has an outcome.
    pub fn command_once(&self, command: &OperatorCommand) -> OperatorOutcome {
        for entry in &self.cluster.entries {
            let sent = http_post(format!("http://{}/operate", entry.operator))
                .timeout(OPERATE_TIMEOUT)
                .json(command)
                .unwrap()
                .send();
            let outcome = sent.and_then(|response| response.json::<OperatorOutcome>());
            match outcome {
                Ok(OperatorOutcome::Unavailable | OperatorOutcome::Unknown) | Err(_) => {}
                Ok(outcome) => return outcome,
            }
        }
        OperatorOutcome::Unavailable
    }

    /// Puts a document in force in place of version `replaces`.
    pub fn apply(&self, replaces: u64, text: &str) -> AcceptedVersion {
        let command = OperatorCommand::Apply {
            environment: ENVIRONMENT.try_into().unwrap(),
            replaces: guavavane::model::prelude::DocumentVersion(replaces),
            text: Arc::from(text),
        };
        match self.command(&command) {
            OperatorOutcome::Accepted(accepted) => accepted,
            outcome => panic!("{outcome:?}"),
        }
    }

    /// Applies the first document once all workers are known, and waits until all entries serve.
    pub fn serve(&self, text: &str, endpoints: u64) {
        wait_until("all workers in the status", READY_TIMEOUT, || {
            self.status().workers.len() == self.cluster.workers.len()
        })
        .unwrap();
        self.apply(0, text);
        self.cluster.wait_endpoints(endpoints).unwrap();
        self.cluster.wait_serving().unwrap();
    }

    /// Version and text of the document in force.
    pub fn show(&self) -> (AcceptedVersion, Arc<str>) {
        let command = OperatorCommand::Show {
            environment: ENVIRONMENT.try_into().unwrap(),
        };
        match self.command(&command) {
            OperatorOutcome::Document { accepted, text } => (accepted, text),
            outcome => panic!("{outcome:?}"),
        }
    }

    /// State of the cell.
    pub fn status(&self) -> CellStatus {
        match self.command(&OperatorCommand::Status) {
            OperatorOutcome::Status(status) => status,
            outcome => panic!("{outcome:?}"),
        }
    }

    /// Index of the leading replica, by its call address.
    pub fn leader(&self) -> usize {
        let mut found = None;
        wait_until("a leader", READY_TIMEOUT, || {
            let status = self.status();
            let leader = status.replicas.iter().find(|replica| replica.leader);
            let address = leader.map(|replica| replica.address);
            let mut replicas = self.cluster.replicas.iter();
            found = replicas.position(|replica| Some(replica.advertised) == address);
            found.is_some()
        })
        .unwrap();
        found.unwrap()
    }

    /// Submits a run of the batch.
    pub fn submit(&self, key: &str) {
        let command = OperatorCommand::Submit {
            environment: ENVIRONMENT.try_into().unwrap(),
            batch: "settlement".try_into().unwrap(),
            key: Arc::from(key),
        };
        match self.command(&command) {
            OperatorOutcome::Submitted { .. } => {}
            outcome => panic!("{outcome:?}"),
        }
    }

    /// Sets the fault of all endpoints of a worker, for a share of the requests.
    pub fn misbehave(&self, index: usize, mode: EndpointFault, share_millis: u64) {
        let worker = self.cluster.workers[index].worker;
        let sent = http_post(format!("http://{worker}/control"))
            .json(&FaultOrder { mode, share_millis })
            .unwrap()
            .send();
        assert!(sent.unwrap().is_success());
    }

    /// What the judge finds so far.
    pub fn check_evidence(&self, rules: &CheckRules) -> CheckReport {
        self.cluster.check_evidence(rules).unwrap()
    }

    /// Waits until the judge's report satisfies a condition.
    pub fn wait_report(&self, what: &str, condition: impl Fn(&CheckReport) -> bool) {
        wait_until(what, READY_TIMEOUT, || {
            condition(&self.check_evidence(&KILLED_RULES))
        })
        .unwrap();
    }
}

/// Rules where processes on the callers' way are killed or frozen.
pub const KILLED_RULES: CheckRules = CheckRules {
    entries_killed: true,
    agents_silent: true,
    out_bound_ms: guavavane::standin::checker::OUT_BOUND_MS,
};

/// Ends a load and asserts that nothing that must always hold was broken.
pub fn assert_good(bench: &Bench, load: RunningLoad, rules: &CheckRules) -> CheckReport {
    let summary = load.end();
    let report = bench.check_evidence(rules);
    println!("{} | {}", report.line(), summary.line());
    println!("{:?}", report.reasons);
    assert!(report.invariants_hold(), "{:#?}", report.violations);
    report
}

/// Lets the load run on for a while.
pub fn run_on(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}
