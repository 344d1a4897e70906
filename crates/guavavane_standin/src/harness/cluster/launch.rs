//! Command lines of the processes of a test cluster.

use std::path::PathBuf;

use anyhow::bail;
use anyhow::Result;

use super::RunningCluster;
use crate::harness::process::ProcessPlan;
use crate::relay::TcpRelay;

impl RunningCluster {
    /// Initialises the data folder of a control replica as one of the first voters.
    pub fn init_replica(&self, index: usize) -> Result<()> {
        let mut plan = ProcessPlan::new("init", "guavavane-control")
            .argument("init")
            .flag("data", self.replica_data(index).display())
            .flag("replica", index + 1);
        for (number, replica) in self.replicas.iter().enumerate() {
            plan = plan.flag("voter", format!("{}@{}", number + 1, replica.advertised));
        }
        let arguments: Vec<&str> = plan.arguments.iter().map(String::as_str).collect();
        let output = self.group.run(&plan.program, &arguments)?;
        if output.code != Some(0) {
            bail!("cannot initialise replica {}: {}", index + 1, output.stderr);
        }
        Ok(())
    }

    /// Returns the data folder of a control replica.
    pub fn replica_data(&self, index: usize) -> PathBuf {
        self.group.data_folder(&format!("control-{}", index + 1))
    }

    pub(super) fn control_process(&self, index: usize) -> ProcessPlan {
        let replica = &self.replicas[index];
        let plan = ProcessPlan::new(format!("control-{}", index + 1), "guavavane-control")
            .argument("run")
            .flag("data", self.replica_data(index).display())
            .flag("listen", replica.call)
            .flag("advertise", replica.advertised)
            .flag("http", replica.http)
            .flag("peers", self.control_addresses());
        add_flags(plan, &self.plan.control_flags)
    }

    pub(super) fn entry_process(&self, index: usize) -> ProcessPlan {
        let entry = &self.entries[index];
        let plan = ProcessPlan::new(format!("entry-{}", index + 1), "guavavane-entry")
            .flag("data-centre", self.plan.data_centre(index))
            .flag("caller-listen", entry.caller)
            .flag("operator-listen", entry.operator)
            .flag("call-listen", entry.call)
            .flag("control", self.control_addresses());
        add_flags(plan, &self.plan.entry_flags)
    }

    pub(super) fn agent_process(&self, index: usize) -> ProcessPlan {
        let worker = &self.workers[index];
        let advertised = worker.relay.as_ref().map(TcpRelay::address);
        let plan = ProcessPlan::new(format!("agent-{}", index + 1), "guavavane-agent")
            .flag("listen", worker.agent)
            .flag("advertise", advertised.unwrap_or(worker.agent))
            .flag("http", worker.agent_http)
            .flag("worker", worker.worker)
            .flag("control", self.control_addresses());
        add_flags(plan, &self.plan.agent_flags)
    }

    pub(super) fn worker_process(&self, index: usize) -> ProcessPlan {
        let worker = &self.workers[index];
        let evidence = self.evidence_path(&format!("worker-{}", index + 1));
        let capacity = self.plan.capacity;
        let plan = ProcessPlan::new(format!("worker-{}", index + 1), "guavavane-standin")
            .argument("worker")
            .flag("listen", worker.worker)
            .flag("agent", worker.agent_http)
            .flag("worker", &worker.name)
            .flag("data-centre", self.plan.data_centre(index))
            .flag("rack", self.plan.rack(index))
            .flag("cpu-millis", capacity.cpu_millis)
            .flag("memory-mib", capacity.memory_mib)
            .flag("accelerators", capacity.accelerators)
            .flag("evidence", evidence.display());
        add_flags(plan, &self.plan.worker_flags)
    }

    fn control_addresses(&self) -> String {
        let addresses = self.replicas.iter().map(|x| x.advertised.to_string());
        addresses.collect::<Vec<_>>().join(",")
    }
}

fn add_flags(plan: ProcessPlan, flags: &[String]) -> ProcessPlan {
    flags.iter().fold(plan, ProcessPlan::argument)
}
