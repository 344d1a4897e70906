//! Test cluster: control replicas, entries, agents and worker stand-ins as processes on loopback.

mod address;
mod launch;
mod operator;
mod readiness;

use std::path::Path;
use std::process::ExitStatus;
use std::time::Duration;

use anyhow::Result;

use self::address::entry_addresses;
use self::address::replica_addresses;
use self::address::worker_addresses;
pub use self::address::EntryAddresses;
pub use self::address::ReplicaAddresses;
pub use self::address::WorkerAddresses;
use crate::evidence::EvidenceEvent;
use crate::evidence::EvidenceFile;
use crate::harness::address::AddressPool;
use crate::harness::plan::ClusterPlan;
use crate::harness::process::ProcessGroup;
use crate::relay::RelayMode;

/// Timeout for a process to become healthy or to end, and for other conditions of the harness.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// A started test cluster; dropping it kills all processes.
#[derive(Debug)]
pub struct RunningCluster {
    /// Configuration of the cluster.
    pub plan: ClusterPlan,
    /// Processes of the cluster, named `control-1`, `entry-1`, `agent-1`, `worker-1` and so on.
    pub group: ProcessGroup,
    /// Addresses of the control replicas.
    pub replicas: Vec<ReplicaAddresses>,
    /// Addresses of the entries.
    pub entries: Vec<EntryAddresses>,
    /// Addresses of the workers and their agents.
    pub workers: Vec<WorkerAddresses>,
    operator_evidence: EvidenceFile,
}

impl RunningCluster {
    /// Starts all processes from the folder `programs` and waits until all are healthy.
    pub fn start(plan: ClusterPlan, programs: &Path) -> Result<Self> {
        let group = ProcessGroup::new(&plan.name, programs)?;
        let mut pool = AddressPool::new();
        let replicas = (0..plan.replicas)
            .map(|_| replica_addresses(&plan, &mut pool))
            .collect::<Result<Vec<_>>>()?;
        let entries = (0..plan.entries)
            .map(|_| entry_addresses(&mut pool))
            .collect::<Result<Vec<_>>>()?;
        let workers = (0..plan.workers)
            .map(|index| worker_addresses(&plan, index, &mut pool))
            .collect::<Result<Vec<_>>>()?;
        let operator_evidence =
            EvidenceFile::open(&group.evidence_folder().join("operator.evidence"))?;
        let mut cluster = Self {
            plan,
            group,
            replicas,
            entries,
            workers,
            operator_evidence,
        };
        cluster.start_processes()?;
        Ok(cluster)
    }

    fn start_processes(&mut self) -> Result<()> {
        for index in 0..self.plan.replicas {
            self.init_replica(index)?;
            self.group.spawn(self.control_process(index))?;
        }
        for index in 0..self.plan.workers {
            self.group.spawn(self.worker_process(index))?;
            self.group.spawn(self.agent_process(index))?;
        }
        for index in 0..self.plan.entries {
            self.group.spawn(self.entry_process(index))?;
        }
        for name in self.group.names() {
            self.wait_healthy(&name)?;
        }
        Ok(())
    }

    /// Kills a process and restarts it at once, without waiting until it is healthy.
    pub fn kill_and_restart(&mut self, name: &str) -> Result<()> {
        self.kill(name)?;
        self.group.restart(name)
    }

    /// Kills a process; records the end of a worker in the evidence of the operator.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.group.kill(name)?;
        let worker = self.workers.iter().find(|x| x.name.as_str() == name);
        if let Some(worker) = worker {
            self.operator_evidence.append(EvidenceEvent::WorkerKilled {
                worker: worker.name.clone(),
            })?;
        }
        Ok(())
    }

    /// Partitions a control replica from all other replicas until [`Self::heal_replicas`].
    ///
    /// Messages are dropped in both directions and connections stay open. Has no effect unless
    /// [`ClusterPlan::relay_control`] is set.
    pub fn isolate_replica(&self, index: usize) {
        let process = self.group.id(&format!("control-{}", index + 1));
        for (other, replica) in self.replicas.iter().enumerate() {
            let Some(relay) = &replica.relay else {
                continue;
            };
            if other == index {
                relay.set_mode(RelayMode::Drop);
            } else {
                relay.cut_process(process);
            }
        }
    }

    /// Ends the partitions of all control replicas.
    pub fn heal_replicas(&self) {
        for relay in self.replicas.iter().filter_map(|x| x.relay.as_ref()) {
            relay.set_mode(RelayMode::Pass);
            relay.cut_process(None);
        }
    }

    /// Ends all processes gracefully, in the order entries, workers, agents, control replicas.
    ///
    /// Returns their names and exit statuses.
    pub fn shut_down(&mut self) -> Result<Vec<(String, ExitStatus)>> {
        let mut ends = Vec::new();
        for role in ["entry", "worker", "agent", "control"] {
            let names = self.running_names(role);
            for name in &names {
                self.group.send_sigterm(name)?;
            }
            for name in names {
                let status = self.group.wait_for_exit(&name, READY_TIMEOUT)?;
                ends.push((name, status));
            }
        }
        Ok(ends)
    }

    /// Returns the names of the running processes of a role, such as `entry`.
    pub fn running_names(&mut self, role: &str) -> Vec<String> {
        let mut names = self.group.names();
        names.retain(|name| name.starts_with(role) && self.group.is_running(name));
        names
    }
}
