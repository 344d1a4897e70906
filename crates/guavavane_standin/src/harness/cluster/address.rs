//! Listen addresses of the processes of a test cluster.

use std::net::SocketAddr;

use anyhow::Result;

use crate::harness::address::AddressPool;
use crate::harness::plan::ClusterPlan;
use crate::relay::TcpRelay;
use guavavane_model::prelude::WorkerName;

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

pub(super) fn replica_addresses(
    plan: &ClusterPlan,
    pool: &mut AddressPool,
) -> Result<ReplicaAddresses> {
    let call = pool.take()?;
    let relay = start_relay(plan.relay_control, call, pool)?;
    Ok(ReplicaAddresses {
        call,
        advertised: relay.as_ref().map_or(call, TcpRelay::address),
        http: pool.take()?,
        relay,
    })
}

pub(super) fn entry_addresses(pool: &mut AddressPool) -> Result<EntryAddresses> {
    Ok(EntryAddresses {
        caller: pool.take()?,
        operator: pool.take()?,
        call: pool.take()?,
    })
}

pub(super) fn worker_addresses(
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
