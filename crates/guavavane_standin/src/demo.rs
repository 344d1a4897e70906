//! The demo: the Cooperativa's cell through one short day.

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

/// Data centre that is taken out and brought back.
const OUT_DATA_CENTRE: &str = "bento";
/// Requests a second.
const RATE: f64 = 120.0;
/// Longest load.
const LOAD_LIMIT: Duration = Duration::from_secs(50);
/// Load before a further run of the settlement is submitted.
const BEFORE_SUBMIT: Duration = Duration::from_secs(2);
/// Time from the submission until the data centre is taken out, with its tasks running.
const BEFORE_OUT: Duration = Duration::from_secs(2);
/// Runs of the settlement: the document's own and the submitted one.
const SETTLEMENT_RUNS: u64 = 2;
/// Time for which the data centre stays out.
const OUT_TIME: Duration = Duration::from_secs(8);
/// Load after the data centre was brought back.
const AFTER_BACK: Duration = Duration::from_secs(4);
/// Longest wait for the batch work to finish.
const BATCH_LIMIT: Duration = Duration::from_secs(25);

/// Settings of the demo.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    /// Folder of the example documents.
    pub examples: PathBuf,
    /// Folder of the programs.
    pub programs: PathBuf,
    /// Tasks of one run of the settlement.
    pub batch_tasks: u64,
    /// Whether logs and evidence are kept.
    pub keep: bool,
}

/// Runs the demo and returns what the judge found.
pub fn run_demo(settings: &DemoSettings) -> Result<CheckReport> {
    let plan = ClusterPlan::cooperativa(&settings.examples);
    let mut day = DemoDay::start(plan, &settings.programs)?;
    if settings.keep {
        day.cluster.group.keep_folder();
    }
    let result = day.run(settings);
    if result.is_err() {
        day.cluster.group.keep_folder();
    }
    result
}

struct DemoDay {
    cluster: RunningCluster,
    started: Instant,
}

impl DemoDay {
    fn start(plan: ClusterPlan, programs: &Path) -> Result<Self> {
        let started = Instant::now();
        let cluster = RunningCluster::start(plan, programs)?;
        let day = Self { cluster, started };
        day.say("all processes are healthy");
        Ok(day)
    }

    fn say(&self, text: &str) {
        eprintln!("{:6.2} s  {text}", self.started.elapsed().as_secs_f64());
    }

    fn run(&mut self, settings: &DemoSettings) -> Result<CheckReport> {
        self.cluster.apply_document()?;
        self.say("document applied");
        self.cluster.wait_serving()?;
        self.say("both entries serve");
        let stop = StopFlag::default();
        let mut callers = self.cluster.caller_settings("demo");
        callers.rate = RATE;
        callers.duration = LOAD_LIMIT;
        let load_stop = stop.clone();
        let load = thread::spawn(move || run_load(&callers, &load_stop));
        let result = self.run_day(settings);
        stop.raise();
        let summary = load.join().map_err(|_| anyhow!("the load panicked"))??;
        result?;
        self.finish(&summary)
    }

    fn run_day(&self, settings: &DemoSettings) -> Result<()> {
        thread::sleep(BEFORE_SUBMIT);
        self.submit_settlement()?;
        thread::sleep(BEFORE_OUT);
        self.cluster.take_out(OUT_DATA_CENTRE)?;
        self.say("bento is out");
        thread::sleep(OUT_TIME);
        self.cluster.bring_back(OUT_DATA_CENTRE)?;
        self.say("bento is back");
        thread::sleep(AFTER_BACK);
        let finished = || {
            let report = self.cluster.check_evidence(&CheckRules::default());
            report
                .is_ok_and(|report| report.batch_finished >= settings.batch_tasks * SETTLEMENT_RUNS)
        };
        wait_until("the end of the settlement", BATCH_LIMIT, finished)?;
        self.say("the settlement has finished");
        Ok(())
    }

    fn submit_settlement(&self) -> Result<()> {
        let environment = format!("--environment={}", self.cluster.plan.environment);
        let arguments = ["submit", &environment, "--key=week-50", "settlement"];
        self.cluster
            .run_operator_command_until_success(&arguments)?;
        self.say("a further settlement is submitted");
        Ok(())
    }

    fn finish(&mut self, summary: &LoadSummary) -> Result<CheckReport> {
        self.say("stopping everything");
        let ends = self.cluster.shut_down()?;
        self.say(&summary.line());
        for (name, status) in ends {
            if !status.success() {
                bail!("{name} ended with {status}");
            }
        }
        self.say("all processes have ended");
        let report = self.cluster.check_evidence(&CheckRules::default());
        report.context("evidence of the demo")
    }
}
