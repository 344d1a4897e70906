//! Test clusters of processes for the fault tests, and helpers that drive and check them.

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

/// Timeout of one send of an operator command.
const OPERATOR_COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// Held by the running cluster: clusters run one after the other, so that none slows another down.
static CLUSTER_LOCK: Mutex<()> = Mutex::new(());

/// A running cluster and its guard of [`CLUSTER_LOCK`].
pub struct ClusterTest {
    pub cluster: RunningCluster,
    _cluster_lock: MutexGuard<'static, ()>,
}

/// Returns the plan of a cluster of three control replicas, two entries and `workers` workers.
pub fn cluster_plan(name: &str, workers: usize) -> ClusterPlan {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    ClusterPlan {
        name: name.to_owned(),
        workers,
        capacity: ResourceVector::new(16_000, 60_000, 0),
        ..ClusterPlan::cooperativa(&examples)
    }
}

/// Waits for [`CLUSTER_LOCK`] and starts the cluster.
pub fn start_cluster(plan: ClusterPlan) -> ClusterTest {
    let cluster_lock = CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let program = Path::new(env!("CARGO_BIN_EXE_guavavane-standin"));
    let cluster = RunningCluster::start(plan, program.parent().unwrap()).unwrap();
    ClusterTest {
        cluster,
        _cluster_lock: cluster_lock,
    }
}

/// Returns a document with one service of `instances` instances and a request timeout of
/// `timeout_ms`.
///
/// Unless `batch_tasks` is 0, the document declares a batch of that many tasks, which run for
/// `run_ms` each.
pub fn document_text(instances: usize, batch_tasks: usize, run_ms: u64, timeout_ms: u64) -> String {
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

/// A load that runs on a thread of its own.
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

    /// Stops the load, waits for the outcomes of all sent requests and returns the summary.
    pub fn stop(self) -> LoadSummary {
        self.stop.raise();
        self.thread.join().unwrap()
    }
}

impl ClusterTest {
    /// Returns settings of a load of 60 requests per second, 70 % of them slip entries (writes).
    pub fn load(&self, name: &str) -> CallerSettings {
        let mut settings = self.cluster.caller_settings(name);
        settings.rate = 60.0;
        settings.duration = Duration::from_secs(120);
        settings.slip_millis = 700;
        settings.timeout = Duration::from_secs(8);
        settings
    }

    /// Repeats a command through all entries until an entry reports a definite outcome.
    pub fn send_command(&self, command: &OperatorCommand) -> OperatorOutcome {
        let mut outcome = OperatorOutcome::Unavailable;
        wait_until(
            "definite outcome of an operator command",
            READY_TIMEOUT,
            || {
                outcome = self.send_command_once(command);
                !matches!(
                    outcome,
                    OperatorOutcome::Unavailable | OperatorOutcome::Unknown
                )
            },
        )
        .unwrap();
        outcome
    }

    /// Sends a command through each entry, at most once, until one reports a definite outcome.
    pub fn send_command_once(&self, command: &OperatorCommand) -> OperatorOutcome {
        for entry in &self.cluster.entries {
            let sent = http_post(format!("http://{}/operate", entry.operator))
                .timeout(OPERATOR_COMMAND_TIMEOUT)
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

    /// Applies a document in place of version `replaces` and returns the accepted version.
    pub fn apply(&self, replaces: u64, text: &str) -> AcceptedVersion {
        let command = OperatorCommand::Apply {
            environment: ENVIRONMENT.try_into().unwrap(),
            replaces: guavavane::model::prelude::DocumentVersion(replaces),
            text: Arc::from(text),
        };
        match self.send_command(&command) {
            OperatorOutcome::Accepted(accepted) => accepted,
            outcome => panic!("{outcome:?}"),
        }
    }

    /// Applies the first document after all workers have registered.
    ///
    /// Waits until at least `endpoints` endpoints run and all entries serve the service.
    pub fn apply_first_document(&self, text: &str, endpoints: u64) {
        wait_until("all workers in the status", READY_TIMEOUT, || {
            self.status().workers.len() == self.cluster.workers.len()
        })
        .unwrap();
        self.apply(0, text);
        self.cluster.wait_endpoints(endpoints).unwrap();
        self.cluster.wait_serving().unwrap();
    }

    /// Returns version and text of the document in force.
    pub fn document_in_force(&self) -> (AcceptedVersion, Arc<str>) {
        let command = OperatorCommand::Show {
            environment: ENVIRONMENT.try_into().unwrap(),
        };
        match self.send_command(&command) {
            OperatorOutcome::Document { accepted, text } => (accepted, text),
            outcome => panic!("{outcome:?}"),
        }
    }

    /// Returns the status of the cell.
    pub fn status(&self) -> CellStatus {
        match self.send_command(&OperatorCommand::Status) {
            OperatorOutcome::Status(status) => status,
            outcome => panic!("{outcome:?}"),
        }
    }

    /// Waits for a leader and returns the index of its replica.
    pub fn leader_index(&self) -> usize {
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

    /// Submits a run of the batch with this idempotency key.
    pub fn submit_batch(&self, key: &str) {
        let command = OperatorCommand::Submit {
            environment: ENVIRONMENT.try_into().unwrap(),
            batch: "settlement".try_into().unwrap(),
            key: Arc::from(key),
        };
        match self.send_command(&command) {
            OperatorOutcome::Submitted { .. } => {}
            outcome => panic!("{outcome:?}"),
        }
    }

    /// Injects a fault into all endpoints of a worker, for a fraction of requests in thousandths.
    pub fn inject_fault(&self, index: usize, mode: EndpointFault, share_millis: u64) {
        let worker = self.cluster.workers[index].worker;
        let sent = http_post(format!("http://{worker}/control"))
            .json(&FaultOrder { mode, share_millis })
            .unwrap()
            .send();
        assert!(sent.unwrap().is_success());
    }

    /// Runs the invariant checker over the evidence so far.
    pub fn check_evidence(&self, rules: &CheckRules) -> CheckReport {
        self.cluster.check_evidence(rules).unwrap()
    }

    /// Waits until the report of the invariant checker satisfies a condition.
    pub fn wait_for_report(&self, what: &str, condition: impl Fn(&CheckReport) -> bool) {
        wait_until(what, READY_TIMEOUT, || {
            condition(&self.check_evidence(&PROCESS_FAULT_RULES))
        })
        .unwrap();
    }
}

/// Rules for tests that kill, freeze or cut off processes on the request path.
pub const PROCESS_FAULT_RULES: CheckRules = CheckRules {
    entries_killed: true,
    agents_silent: true,
    out_bound_ms: guavavane::standin::checker::OUT_BOUND_MS,
};

/// Stops a load, prints the counts and asserts that all invariants hold.
pub fn assert_invariants_hold(
    test: &ClusterTest,
    load: RunningLoad,
    rules: &CheckRules,
) -> CheckReport {
    let summary = load.stop();
    let report = test.check_evidence(rules);
    println!("{} | {}", report.line(), summary.line());
    println!("{:?}", report.reasons);
    assert!(report.invariants_hold(), "{:#?}", report.violations);
    report
}

/// Sleeps while load and cluster keep running.
pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}
