//! Demo of the example cell `cooperativa` under load.
//!
//! The scenario submits a batch run, takes a data centre out of service and brings it back while
//! callers send requests, then ends all processes and checks the invariants.

use std::path::Path;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::anyhow;
use anyhow::bail;
use anyhow::Context;
use anyhow::Result;

use crate::callers::load::run_load;
use crate::callers::load::LoadSummary;
use crate::checker::CheckReport;
use crate::checker::CheckRules;
use crate::clock::wait_until;
use crate::clock::StopFlag;
use crate::harness::cluster::RunningCluster;
use crate::harness::plan::ClusterPlan;

/// Data centre that is taken out of service and brought back.
const OUT_DATA_CENTRE: &str = "bento";
/// Request rate of the callers.
const REQUESTS_PER_SECOND: f64 = 120.0;
/// Longest duration of the load; the scenario ends it earlier.
const LOAD_TIME_MAX: Duration = Duration::from_secs(50);
/// Time under load until another run of the batch `settlement` is submitted.
const TIME_BEFORE_SUBMIT: Duration = Duration::from_secs(2);
/// Time from the submission until the data centre is taken out, while its tasks run.
const TIME_BEFORE_OUT: Duration = Duration::from_secs(2);
/// Runs of the batch `settlement`: one declared by the document and one submitted.
const SETTLEMENT_RUNS: u64 = 2;
/// Time for which the data centre stays out of service.
const OUT_TIME: Duration = Duration::from_secs(8);
/// Time under load after the data centre was brought back.
const TIME_AFTER_BACK: Duration = Duration::from_secs(4);
/// Timeout for all batch tasks to finish.
const BATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// Settings of the demo.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    /// Folder of the example documents.
    pub examples: PathBuf,
    /// Folder of the programs.
    pub programs: PathBuf,
    /// Number of tasks in one run of the batch `settlement`, as the document declares it.
    pub batch_tasks: u64,
    /// Whether the folder with logs and evidence is kept; it is always kept after an error.
    pub keep: bool,
}

/// Runs the demo and returns the report of the invariant checker.
pub fn run_demo(settings: &DemoSettings) -> Result<CheckReport> {
    let plan = ClusterPlan::cooperativa(&settings.examples);
    let mut demo = DemoRun::start(plan, &settings.programs)?;
    if settings.keep {
        demo.cluster.group.keep_folder();
    }
    let result = demo.run(settings);
    if result.is_err() {
        demo.cluster.group.keep_folder();
    }
    result
}

struct DemoRun {
    cluster: RunningCluster,
    started: Instant,
}

impl DemoRun {
    fn start(plan: ClusterPlan, programs: &Path) -> Result<Self> {
        let started = Instant::now();
        let cluster = RunningCluster::start(plan, programs)?;
        let demo = Self { cluster, started };
        demo.print_progress("all processes are healthy");
        Ok(demo)
    }

    fn print_progress(&self, text: &str) {
        eprintln!("{:6.2} s  {text}", self.started.elapsed().as_secs_f64());
    }

    fn run(&mut self, settings: &DemoSettings) -> Result<CheckReport> {
        self.cluster.apply_document()?;
        self.print_progress("document applied");
        self.cluster.wait_serving()?;
        self.print_progress("both entries serve");
        let stop = StopFlag::default();
        let mut callers = self.cluster.caller_settings("demo");
        callers.rate = REQUESTS_PER_SECOND;
        callers.duration = LOAD_TIME_MAX;
        let load_stop = stop.clone();
        let load = thread::spawn(move || run_load(&callers, &load_stop));
        let result = self.run_scenario(settings);
        stop.raise();
        let summary = load
            .join()
            .map_err(|_| anyhow!("the load thread panicked"))??;
        result?;
        self.shut_down_and_check(&summary)
    }

    fn run_scenario(&self, settings: &DemoSettings) -> Result<()> {
        thread::sleep(TIME_BEFORE_SUBMIT);
        self.submit_settlement()?;
        thread::sleep(TIME_BEFORE_OUT);
        self.cluster.take_out(OUT_DATA_CENTRE)?;
        self.print_progress("bento is out");
        thread::sleep(OUT_TIME);
        self.cluster.bring_back(OUT_DATA_CENTRE)?;
        self.print_progress("bento is back");
        thread::sleep(TIME_AFTER_BACK);
        let batch_has_finished = || {
            let report = self.cluster.check_evidence(&CheckRules::default());
            report
                .is_ok_and(|report| report.batch_finished >= settings.batch_tasks * SETTLEMENT_RUNS)
        };
        wait_until(
            "completion of the settlement",
            BATCH_TIMEOUT,
            batch_has_finished,
        )?;
        self.print_progress("the settlement has finished");
        Ok(())
    }

    fn submit_settlement(&self) -> Result<()> {
        let environment = format!("--environment={}", self.cluster.plan.environment);
        let arguments = ["submit", &environment, "--key=week-50", "settlement"];
        self.cluster
            .run_operator_command_until_success(&arguments)?;
        self.print_progress("a further settlement is submitted");
        Ok(())
    }

    fn shut_down_and_check(&mut self, summary: &LoadSummary) -> Result<CheckReport> {
        self.print_progress("stopping everything");
        let ends = self.cluster.shut_down()?;
        self.print_progress(&summary.line());
        for (name, status) in ends {
            if !status.success() {
                bail!("{name} ended with {status}");
            }
        }
        self.print_progress("all processes have ended");
        let report = self.cluster.check_evidence(&CheckRules::default());
        report.context("cannot check the evidence of the demo")
    }
}
