//! Waits until the processes of a test cluster are healthy and serve requests.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::bail;
use anyhow::Context;
use anyhow::Result;
use serde::Deserialize;

use super::RunningCluster;
use super::READY_TIMEOUT;
use crate::callers::balancer::HEALTH_PATH;
use crate::checker::CheckRules;
use crate::clock::wait_until;
use crate::http::http_get;

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

impl RunningCluster {
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
