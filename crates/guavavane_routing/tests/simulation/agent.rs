//! Simulated agent with one endpoint; it counts its runs of each request.

use std::net::SocketAddr;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::simulation::service;
use guavavane_model::prelude::*;
use guavavane_protocol::prelude::*;

const SLOT_COUNT: usize = 2;

#[derive(Clone, Debug)]
enum AttemptState {
    Refused,
    Running(IncarnationId, u64),
    Done(DispatchReply),
}

pub struct FakeAgent {
    pub address: SocketAddr,
    pub is_leaving: bool,
    /// Entries that were told that the endpoint is leaving.
    pub entries_told_leaving: IndexSet<IncarnationId>,
    /// Number of runs of each request.
    pub runs: IndexMap<RequestId, u32>,
    index: usize,
    incarnation: IncarnationId,
    sequence: u64,
    attempts: IndexMap<RequestAttempt, AttemptState>,
    bodies: IndexMap<RequestAttempt, String>,
}

impl FakeAgent {
    pub fn new(index: usize) -> Self {
        Self {
            address: format!("10.0.0.{}:1", index + 1).parse().unwrap(),
            is_leaving: false,
            entries_told_leaving: IndexSet::new(),
            runs: IndexMap::new(),
            index,
            incarnation: IncarnationId(1_000 + index as u64),
            sequence: 0,
            attempts: IndexMap::new(),
            bodies: IndexMap::new(),
        }
    }

    pub fn is_target(&self, target: &DispatchTarget) -> bool {
        target.agent == self.address && target.incarnation == self.incarnation
    }

    pub fn restart(&mut self) {
        self.incarnation = IncarnationId(self.incarnation.0 + 1_000);
        self.attempts.clear();
        self.entries_told_leaving.clear();
        self.is_leaving = false;
        self.sequence = 0;
    }

    pub fn record_announcement_to(&mut self, entry: IncarnationId) {
        if self.is_leaving {
            self.entries_told_leaving.insert(entry);
        } else {
            self.entries_told_leaving.swap_remove(&entry);
        }
    }

    pub fn announcement(&mut self) -> EndpointAnnouncement {
        self.sequence += 1;
        let state = if self.is_leaving {
            EndpointState::Leaving
        } else {
            EndpointState::Ready
        };
        EndpointAnnouncement {
            worker: WorkerName::try_from(format!("worker-{}", self.index)).unwrap(),
            data_centre: DataCentreName::try_from(format!("dc-{}", self.index / 2)).unwrap(),
            rack: RackName::try_from("rack-1").unwrap(),
            address: self.address,
            incarnation: self.incarnation,
            sequence: self.sequence,
            expiry_ms: 1_500,
            endpoints: vec![EndpointStatus {
                name: EndpointName::try_from(format!("endpoint-{}", self.index)).unwrap(),
                environment: service().environment,
                service: service().service,
                state,
                slots: SLOT_COUNT as u16,
                outstanding: self.count_running() as u16,
            }],
        }
    }

    fn count_running(&self) -> usize {
        let is_running = |state: &&AttemptState| matches!(state, AttemptState::Running(..));
        self.attempts.values().filter(is_running).count()
    }

    pub fn dispatch(
        &mut self,
        call: &DispatchRequest,
        entry: IncarnationId,
        call_id: u64,
    ) -> Option<DispatchReply> {
        if call.target.incarnation != self.incarnation {
            return Some(DispatchReply::Refused(RefusalReason::WrongIncarnation));
        }
        match self.attempts.get(&call.attempt) {
            Some(AttemptState::Refused) => {
                return Some(DispatchReply::Refused(RefusalReason::Revoked))
            }
            Some(AttemptState::Running(..)) => return None,
            Some(AttemptState::Done(reply)) => return Some(reply.clone()),
            None => {}
        }
        if self.is_leaving || self.count_running() >= SLOT_COUNT {
            self.attempts.insert(call.attempt, AttemptState::Refused);
            let reason = match self.is_leaving {
                true => RefusalReason::Leaving,
                false => RefusalReason::Busy,
            };
            return Some(DispatchReply::Refused(reason));
        }
        *self.runs.entry(call.attempt.request).or_default() += 1;
        let body = String::from_utf8(call.body.clone()).unwrap();
        self.bodies.insert(call.attempt, body);
        let state = AttemptState::Running(entry, call_id);
        self.attempts.insert(call.attempt, state);
        None
    }

    pub fn revoke(&mut self, call: &RevokeRequest) -> RevokeReply {
        if call.incarnation != self.incarnation {
            return RevokeReply::Unknown(UnknownReason::AgentRestarted);
        }
        match self.attempts.get(&call.attempt) {
            None => {
                self.attempts.insert(call.attempt, AttemptState::Refused);
                RevokeReply::NotRun
            }
            Some(AttemptState::Refused) => RevokeReply::NotRun,
            Some(AttemptState::Running(..)) => RevokeReply::Unknown(UnknownReason::StillRunning),
            Some(AttemptState::Done(DispatchReply::Answered(answer))) => {
                RevokeReply::Answered(answer.clone())
            }
            Some(AttemptState::Done(_)) => RevokeReply::Unknown(UnknownReason::EndpointTimeout),
        }
    }

    /// Ends the oldest running attempt, with its answer or with an endpoint timeout.
    pub fn complete_oldest(
        &mut self,
        with_answer: bool,
    ) -> Option<(IncarnationId, u64, RequestAttempt, DispatchReply)> {
        let (attempt, entry, call_id) =
            self.attempts
                .iter()
                .find_map(|(attempt, state)| match state {
                    AttemptState::Running(entry, call_id) => Some((*attempt, *entry, *call_id)),
                    _ => None,
                })?;
        let reply = if with_answer {
            let body = &self.bodies[&attempt];
            DispatchReply::Answered(HttpResponse {
                status: 200,
                headers: Vec::new(),
                body: format!("{body}/{}-{}", attempt.request, attempt.attempt).into_bytes(),
            })
        } else {
            DispatchReply::Unknown(UnknownReason::EndpointTimeout)
        };
        let state = AttemptState::Done(reply.clone());
        self.attempts.insert(attempt, state);
        Some((entry, call_id, attempt, reply))
    }
}
