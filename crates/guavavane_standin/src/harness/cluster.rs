//! Test cluster: control replicas, entries, agents and worker stand-ins as processes on loopback.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitStatus;
use std::time::Duration;

use anyhow::bail;
use anyhow::Context;
use anyhow::Result;
use serde::Deserialize;

use crate::callers::balancer::HEALTH_PATH;
use crate::callers::settings::CallerSettings;
use crate::checker::check_records;
use crate::checker::CheckReport;
use crate::checker::CheckRules;
use crate::clock::wait_until;
use crate::evidence::read_folder;
use crate::evidence::EvidenceEvent;
use crate::evidence::EvidenceFile;
use crate::evidence::EvidenceRecord;
use crate::harness::address::AddressPool;
use crate::harness::plan::ClusterPlan;
use crate::harness::process::CommandOutput;
use crate::harness::process::ProcessGroup;
use crate::harness::process::ProcessPlan;
use crate::http::http_get;
use crate::relay::RelayMode;
use crate::relay::TcpRelay;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::WorkerName;

/// Timeout for a process to become healthy or to end, and for other conditions of the harness.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of a health or status request.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Fields of the status of an entry that the harness reads.
#[derive(Debug, Deserialize)]
struct EntryStatus {
    stage: Option<StageStatus>,
}

#[derive(Debug, Deserialize)]
struct StageStatus {
    endpoints: Vec<EndpointStatus>,
}

#[derive(Debug, Deserialize)]
struct EndpointStatus {
    live: bool,
    ejected: bool,
}

/// Listen addresses of a control replica.
#[derive(Clone, Debug)]
pub struct ReplicaAddresses {
    /// Calls from peers, entries and agents.
    pub call: SocketAddr,
    /// Call address that other processes use: the address of the relay, if there is one.
    pub advertised: SocketAddr,
    /// Health and status over HTTP.
    pub http: SocketAddr,
    /// Relay that forwards to `call`.
    pub relay: Option<TcpRelay>,
}

/// Listen addresses of an entry.
#[derive(Clone, Debug)]
pub struct EntryAddresses {
    /// Requests of callers.
    pub caller: SocketAddr,
    /// Commands of operators.
    pub operator: SocketAddr,
    /// Calls that carry announcements of endpoints.
    pub call: SocketAddr,
}

/// Listen addresses of a worker and its agent.
#[derive(Clone, Debug)]
pub struct WorkerAddresses {
    /// Name of the worker.
    pub name: WorkerName,
    /// HTTP contract of the worker.
    pub worker: SocketAddr,
    /// Calls to the agent.
    pub agent: SocketAddr,
    /// Announcements of endpoints, health and status of the agent over HTTP.
    pub agent_http: SocketAddr,
    /// Relay that forwards to `agent`.
    pub relay: Option<TcpRelay>,
}

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
    pub fn replica_data(&self, index: usize) -> std::path::PathBuf {
        self.group.data_folder(&format!("control-{}", index + 1))
    }

    fn control_process(&self, index: usize) -> ProcessPlan {
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

    fn entry_process(&self, index: usize) -> ProcessPlan {
        let entry = &self.entries[index];
        let plan = ProcessPlan::new(format!("entry-{}", index + 1), "guavavane-entry")
            .flag("data-centre", self.plan.data_centre(index))
            .flag("caller-listen", entry.caller)
            .flag("operator-listen", entry.operator)
            .flag("call-listen", entry.call)
            .flag("control", self.control_addresses());
        add_flags(plan, &self.plan.entry_flags)
    }

    fn agent_process(&self, index: usize) -> ProcessPlan {
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

    fn worker_process(&self, index: usize) -> ProcessPlan {
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

    fn evidence_path(&self, name: &str) -> std::path::PathBuf {
        self.group
            .evidence_folder()
            .join(format!("{name}.evidence"))
    }

    /// Returns the URL of the health check of a process.
    pub fn health_url(&self, name: &str) -> Result<String> {
        let (role, number) = name
            .split_once('-')
            .context("a process name is a role and a number, such as entry-1")?;
        let index = number.parse::<usize>()? - 1;
        Ok(match role {
            "control" => format!("http://{}/health", self.replicas[index].http),
            "entry" => format!("http://{}{HEALTH_PATH}", self.entries[index].caller),
            "agent" => format!("http://{}/health", self.workers[index].agent_http),
            "worker" => format!("http://{}/worker", self.workers[index].worker),
            _ => bail!("{name}: the role is not control, entry, agent or worker"),
        })
    }

    /// Whether the health check of a process succeeds now.
    pub fn is_healthy(&self, name: &str) -> bool {
        let Ok(url) = self.health_url(name) else {
            return false;
        };
        let answer = http_get(url).timeout(HEALTH_TIMEOUT).send();
        answer.is_ok_and(|response| response.is_success())
    }

    /// Waits until the health check of a process succeeds; an error holds the end of its log.
    pub fn wait_healthy(&mut self, name: &str) -> Result<()> {
        wait_until(&format!("health of {name}"), READY_TIMEOUT, || {
            self.is_healthy(name)
        })
        .with_context(|| format!("last lines of the log of {name}:\n{}", self.log_tail(name)))?;
        Ok(())
    }

    fn log_tail(&self, name: &str) -> String {
        let text = std::fs::read_to_string(self.group.log_path(name)).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(5)..].join("\n")
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

    /// Runs the command line `guavavane` once, with all entries as its targets.
    pub fn run_operator_command(&self, arguments: &[&str]) -> Result<CommandOutput> {
        let addresses = self.entries.iter().map(|x| x.operator.to_string());
        let list = addresses.collect::<Vec<_>>().join(",");
        let mut all = vec!["--entries", list.as_str()];
        all.extend(arguments);
        self.group.run("guavavane", &all)
    }

    /// Repeats an operator command until it exits with status 0.
    pub fn run_operator_command_until_success(&self, arguments: &[&str]) -> Result<CommandOutput> {
        let mut last = None;
        let waited = wait_until("success of an operator command", READY_TIMEOUT, || {
            last = self.run_operator_command(arguments).ok();
            last.as_ref().is_some_and(|output| output.code == Some(0))
        });
        waited.with_context(|| format!("{arguments:?}: {last:?}"))?;
        last.context("no output of the command")
    }

    /// Applies the document of the plan.
    pub fn apply_document(&self) -> Result<()> {
        let document = self.plan.document.to_string_lossy();
        let environment = format!("--environment={}", self.plan.environment);
        self.run_operator_command_until_success(&["apply", &environment, &document])?;
        Ok(())
    }

    /// Takes a data centre out of service, then records the time in the evidence of the operator.
    pub fn take_out(&self, data_centre: &str) -> Result<()> {
        self.run_operator_command_until_success(&["take-out", data_centre])?;
        self.operator_evidence.append(EvidenceEvent::DataCentreOut {
            data_centre: DataCentreName::try_from(data_centre)?,
        })
    }

    /// Records the time in the evidence of the operator, then brings a data centre back into
    /// service.
    pub fn bring_back(&self, data_centre: &str) -> Result<()> {
        self.operator_evidence
            .append(EvidenceEvent::DataCentreBack {
                data_centre: DataCentreName::try_from(data_centre)?,
            })?;
        self.run_operator_command_until_success(&["bring-back", data_centre])?;
        Ok(())
    }

    /// Returns settings of a load through all entries, with an evidence file of its own.
    pub fn caller_settings(&self, name: &str) -> CallerSettings {
        let targets = self.entries.iter().map(|entry| entry.caller).collect();
        let evidence = self.evidence_path(&format!("callers-{name}"));
        let base = CallerSettings::new(targets, &self.plan.service, evidence);
        CallerSettings {
            name: name.to_owned(),
            ..base
        }
    }

    /// Returns the merged evidence of all processes so far.
    pub fn evidence(&self) -> Result<Vec<EvidenceRecord>> {
        read_folder(&self.group.evidence_folder())
    }

    /// Runs the invariant checker over the evidence so far.
    pub fn check_evidence(&self, rules: &CheckRules) -> Result<CheckReport> {
        Ok(check_records(&self.evidence()?, rules))
    }

    /// Waits until every entry answers a read of the service of the plan.
    pub fn wait_serving(&self) -> Result<()> {
        for entry in &self.entries {
            let url = format!("http://{}/{}/slips/probe", entry.caller, self.plan.service);
            wait_until("an answer of the service", READY_TIMEOUT, || {
                let answer = http_get(&url).timeout(HEALTH_TIMEOUT).send();
                answer.is_ok_and(|response| response.is_success())
            })?;
        }
        Ok(())
    }

    /// Waits until at least `count` endpoints run, by the evidence of their starts and ends.
    pub fn wait_endpoints(&self, count: u64) -> Result<()> {
        wait_until("start of the endpoints", READY_TIMEOUT, || {
            self.check_evidence(&CheckRules::default())
                .is_ok_and(|report| report.running_services >= count)
        })?;
        Ok(())
    }

    /// Waits until every entry routes requests to at least `count` endpoints.
    pub fn wait_routed(&self, count: usize) -> Result<()> {
        for entry in &self.entries {
            wait_until("routing to the endpoints", READY_TIMEOUT, || {
                live_endpoints(entry.operator).is_some_and(|live| live >= count)
            })?;
        }
        Ok(())
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

fn live_endpoints(operator: SocketAddr) -> Option<usize> {
    let answer = http_get(format!("http://{operator}/status"))
        .timeout(HEALTH_TIMEOUT)
        .send()
        .ok()?;
    let status: EntryStatus = answer.json().ok()?;
    let live = |endpoint: &&EndpointStatus| endpoint.live && !endpoint.ejected;
    Some(status.stage?.endpoints.iter().filter(live).count())
}

fn add_flags(plan: ProcessPlan, flags: &[String]) -> ProcessPlan {
    flags.iter().fold(plan, ProcessPlan::argument)
}

fn replica_addresses(plan: &ClusterPlan, pool: &mut AddressPool) -> Result<ReplicaAddresses> {
    let call = pool.take()?;
    let relay = start_relay(plan.relay_control, call, pool)?;
    Ok(ReplicaAddresses {
        call,
        advertised: relay.as_ref().map_or(call, TcpRelay::address),
        http: pool.take()?,
        relay,
    })
}

fn entry_addresses(pool: &mut AddressPool) -> Result<EntryAddresses> {
    Ok(EntryAddresses {
        caller: pool.take()?,
        operator: pool.take()?,
        call: pool.take()?,
    })
}

fn worker_addresses(
    plan: &ClusterPlan,
    index: usize,
    pool: &mut AddressPool,
) -> Result<WorkerAddresses> {
    let agent = pool.take()?;
    Ok(WorkerAddresses {
        name: WorkerName::try_from(format!("worker-{}", index + 1))?,
        worker: pool.take()?,
        agent,
        agent_http: pool.take()?,
        relay: start_relay(plan.relay_agents, agent, pool)?,
    })
}

fn start_relay(
    wanted: bool,
    target: SocketAddr,
    pool: &mut AddressPool,
) -> Result<Option<TcpRelay>> {
    if !wanted {
        return Ok(None);
    }
    let listen = pool.take()?;
    TcpRelay::start(listen, target).map(Some)
}
