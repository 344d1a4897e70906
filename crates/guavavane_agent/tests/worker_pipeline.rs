//! The running agent with fakes of a worker, control replicas and an entry: attempts from start to
//! release, and announcements of endpoints.
#![allow(clippy::unwrap_used)]

mod support;
mod worker_model;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use flume::Receiver;
use flume::Sender;
use rouille::Request;
use rouille::Response;
use serde::de::DeserializeOwned;

use crate::support::FakeEndpoint;
use crate::worker_model::WorkerModel;
use guavavane_agent::prelude::RunningAgent;
use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::EndpointReadiness;
use guavavane_contract::prelude::OrderAnswer;
use guavavane_daemon::http::json_response;
use guavavane_daemon::prelude::HttpServer;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::FenceNumber;
use guavavane_model::prelude::IncarnationId;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_protocol::prelude::AnnouncementReply;
use guavavane_protocol::prelude::AttemptPhase;
use guavavane_protocol::prelude::AttemptReport;
use guavavane_protocol::prelude::ControlRefusal;
use guavavane_protocol::prelude::EndpointAnnouncement;
use guavavane_protocol::prelude::EndpointState;
use guavavane_protocol::prelude::EntryDirectory;
use guavavane_protocol::prelude::TaskAttempt;
use guavavane_protocol::prelude::TaskProgram;
use guavavane_protocol::prelude::WorkerOrder;
use guavavane_protocol::prelude::WorkerOrders;
use guavavane_protocol::prelude::WorkerPoll;
use guavavane_protocol::prelude::WorkerPollReply;
use guavavane_transport::prelude::CallServer;

const ATTEMPT: TaskAttempt = TaskAttempt {
    task: TaskId(7),
    attempt: AttemptNumber(1),
};

type SharedModel = Arc<Mutex<WorkerModel>>;

fn parse_body<T: DeserializeOwned>(request: &Request) -> T {
    serde_json::from_reader(request.data().unwrap()).unwrap()
}

fn serve_worker(model: &SharedModel, request: &Request) -> Response {
    let mut model = model.lock().unwrap();
    let now = BootClock.now();
    let answer = match request.url().as_str() {
        "/worker" => return json_response(&model.facts()),
        "/attempts" => return json_response(&model.list(now)),
        "/start" => model.start(now, &parse_body(request)),
        "/renew" => model.renew(now, &parse_body(request)),
        "/throttle" => OrderAnswer::Done,
        "/checkpoint" => model.checkpoint(now, &parse_body(request), false),
        "/stop" => model.stop(now, &parse_body(request)),
        "/forget" => model.forget(now, &parse_body(request)),
        other => panic!("unexpected path: {other}"),
    };
    json_response(&answer)
}

fn start_worker() -> (SharedModel, HttpServer) {
    let model = Arc::new(Mutex::new(WorkerModel::new(ResourceVector::new(
        1_000, 1_000, 0,
    ))));
    let shared = model.clone();
    let server = HttpServer::start(support::loopback(), 8, move |request| {
        serve_worker(&shared, request)
    });
    (model, server.unwrap())
}

/// Starts a control replica that redirects the agent to the leader.
fn start_follower(leader: SocketAddr) -> SocketAddr {
    let server = CallServer::start(support::loopback(), support::entry_frame(), 16).unwrap();
    let address = server.address();
    thread::spawn(move || {
        for call in server.calls() {
            let refusal = ControlRefusal::NotLeader {
                leader: Some(leader),
            };
            let reply = WorkerPollReply::Refused(refusal);
            call.reply.send::<WorkerPoll>(&reply).unwrap();
        }
    });
    address
}

/// A control leader that answers each poll with the orders that the test has set.
struct FakeLeader {
    address: SocketAddr,
    polls: Receiver<WorkerPoll>,
    orders: Arc<Mutex<Vec<WorkerOrder>>>,
}

fn start_leader(entries: EntryDirectory) -> FakeLeader {
    let server = CallServer::start(support::loopback(), support::entry_frame(), 16).unwrap();
    let address = server.address();
    let (sender, polls): (Sender<WorkerPoll>, _) = flume::unbounded();
    let orders: Arc<Mutex<Vec<WorkerOrder>>> = Arc::default();
    let current_orders = orders.clone();
    thread::spawn(move || {
        for call in server.calls() {
            let poll: WorkerPoll = call.decode().unwrap();
            let reply = WorkerPollReply::Orders(WorkerOrders {
                lease_ms: 5_000,
                renewed: poll.attempts.iter().map(|report| report.attempt).collect(),
                orders: current_orders.lock().unwrap().clone(),
                entries: (poll.entries_digest != entries.digest).then(|| entries.clone()),
                next_poll_ms: 20,
            });
            call.reply.send::<WorkerPoll>(&reply).unwrap();
            let _ = sender.send(poll);
        }
    });
    FakeLeader {
        address,
        polls,
        orders,
    }
}

impl FakeLeader {
    fn set_order(&self, order: WorkerOrder) {
        *self.orders.lock().unwrap() = vec![order];
    }

    /// Waits for a poll that reports [`ATTEMPT`] in `phase`.
    fn wait_for(&self, phase: AttemptPhase) -> AttemptReport {
        loop {
            let poll = self.polls.recv_timeout(support::CALL_TIMEOUT).unwrap();
            let report = poll
                .attempts
                .into_iter()
                .find(|report| report.attempt == ATTEMPT);
            if let Some(report) = report.filter(|report| report.phase == phase) {
                return report;
            }
        }
    }

    /// Waits for a poll that reports no attempt.
    fn wait_for_empty(&self) {
        loop {
            let poll = self.polls.recv_timeout(support::CALL_TIMEOUT).unwrap();
            if poll.attempts.is_empty() {
                return;
            }
        }
    }
}

fn start_entry() -> (SocketAddr, Receiver<EndpointAnnouncement>) {
    let server = CallServer::start(support::loopback(), support::entry_frame(), 16).unwrap();
    let address = server.address();
    let (sender, announcements) = flume::unbounded();
    thread::spawn(move || {
        for call in server.calls() {
            let announcement: EndpointAnnouncement = call.decode().unwrap();
            let reply = AnnouncementReply {
                incarnation: IncarnationId(77),
            };
            call.reply.send::<EndpointAnnouncement>(&reply).unwrap();
            let _ = sender.send(announcement);
        }
    });
    (address, announcements)
}

fn wait_for_state(announcements: &Receiver<EndpointAnnouncement>, state: EndpointState) {
    loop {
        let announcement = announcements.recv_timeout(support::CALL_TIMEOUT).unwrap();
        if announcement
            .endpoints
            .iter()
            .any(|endpoint| endpoint.state == state)
        {
            return;
        }
    }
}

#[test]
fn attempt_is_started_evicted_and_released_despite_a_silent_replica_and_a_follower() {
    let (model, worker) = start_worker();
    let leader = start_leader(EntryDirectory {
        digest: 0,
        addresses: Vec::new(),
    });
    // Accepts connections but never answers.
    let silent = TcpListener::bind(support::loopback()).unwrap();
    let follower = start_follower(leader.address);
    let mut settings = support::settings(worker.address(), silent.local_addr().unwrap());
    settings.control.insert(follower);
    let agent = RunningAgent::start(settings).unwrap();
    leader.set_order(WorkerOrder::Start {
        attempt: ATTEMPT,
        fence: FenceNumber(3),
        program: TaskProgram::Batch { run_ms: 60_000 },
        demand: ResourceVector::new(500, 500, 0),
        permit_ms: 2_000,
        resume_ms: 40,
    });
    leader.wait_for(AttemptPhase::Running);
    let key = AttemptKey {
        task: ATTEMPT.task,
        attempt: ATTEMPT.attempt,
    };
    assert_eq!(model.lock().unwrap().started, [key]);
    leader.set_order(WorkerOrder::Evict { attempt: ATTEMPT });
    let report = leader.wait_for(AttemptPhase::Stopped);
    let attempt = model.lock().unwrap().attempts[&key].clone();
    assert_eq!(attempt.checkpoints, 1);
    assert_eq!(report.checkpoint_ms, attempt.checkpoint_ms);
    assert_eq!(report.fence, FenceNumber(3));
    leader.set_order(WorkerOrder::Forget { attempt: ATTEMPT });
    leader.wait_for_empty();
    agent.drain().wait();
}

#[test]
fn endpoints_are_announced_as_ready_and_as_leaving_when_the_agent_drains() {
    let (_model, worker) = start_worker();
    let (entry, announcements) = start_entry();
    let leader = start_leader(EntryDirectory {
        digest: 9,
        addresses: vec![entry],
    });
    let agent = RunningAgent::start(support::settings(worker.address(), leader.address)).unwrap();
    let endpoint = FakeEndpoint::start();
    let notice = support::notice(endpoint.address, EndpointReadiness::Ready);
    assert_eq!(support::announce(agent.http_address(), &notice), 204);
    wait_for_state(&announcements, EndpointState::Ready);
    agent.drain().wait();
    wait_for_state(&announcements, EndpointState::Leaving);
}
