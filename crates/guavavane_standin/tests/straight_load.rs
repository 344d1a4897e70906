//! Load straight to an endpoint of a worker, without entries, with the invariant checker over the
//! evidence of both.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use flume::Receiver;
use rouille::Response;

use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::AttemptState;
use guavavane_contract::prelude::EndpointNotice;
use guavavane_contract::prelude::EndpointReadiness;
use guavavane_contract::prelude::OrderAnswer;
use guavavane_contract::prelude::RenewOrder;
use guavavane_contract::prelude::StartOrder;
use guavavane_contract::prelude::StartProgram;
use guavavane_contract::prelude::WorkerClient;
use guavavane_contract::prelude::WorkerFacts;
use guavavane_model::prelude::AttemptNumber;
use guavavane_model::prelude::BootClock;
use guavavane_model::prelude::BootId;
use guavavane_model::prelude::FenceNumber;
use guavavane_model::prelude::ResourceVector;
use guavavane_model::prelude::TaskId;
use guavavane_standin::clock::wait_until;
use guavavane_standin::clock::StopFlag;
use guavavane_standin::evidence::read_folder;
use guavavane_standin::http::http_post;
use guavavane_standin::prelude::check_records;
use guavavane_standin::prelude::run_load;
use guavavane_standin::prelude::CallerOutcome;
use guavavane_standin::prelude::CallerSettings;
use guavavane_standin::prelude::CheckReport;
use guavavane_standin::prelude::CheckRules;
use guavavane_standin::prelude::LoadSummary;
use guavavane_standin::prelude::WorkerServer;
use guavavane_standin::prelude::WorkerSettings;

/// Timeout for an event that must happen.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Attempt that runs the endpoint.
const KEY: AttemptKey = AttemptKey {
    task: TaskId(1),
    attempt: AttemptNumber(1),
};

/// A worker, its evidence folder and the announcements of its endpoints.
struct WorkerTest {
    folder: PathBuf,
    server: WorkerServer,
    announcements: Receiver<EndpointNotice>,
}

impl Drop for WorkerTest {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn any_loopback_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn start_fake_agent() -> (SocketAddr, Receiver<EndpointNotice>) {
    let (sender, receiver) = flume::unbounded();
    let server = rouille::Server::new(any_loopback_port(), move |request| {
        let notice: EndpointNotice = rouille::input::json_input(request).unwrap();
        // Fails after the test has dropped the receiver; announcements are then ignored.
        let _ = sender.send(notice);
        Response::empty_204()
    })
    .unwrap();
    let address = server.server_addr();
    std::thread::spawn(move || server.run());
    (address, receiver)
}

fn start_worker_test(name: &str) -> WorkerTest {
    let folder = std::env::temp_dir().join(format!("standin-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (agent, announcements) = start_fake_agent();
    let facts = WorkerFacts {
        worker: "w1".try_into().unwrap(),
        data_centre: "bento".try_into().unwrap(),
        rack: "r1".try_into().unwrap(),
        boot: BootId(1),
        capacity: ResourceVector::new(16_000, 60_000, 0),
    };
    let mut settings = WorkerSettings::new(any_loopback_port(), facts, folder.join("w1.evidence"));
    settings.agent = Some(agent);
    settings.endpoint.service_time = Duration::from_millis(5);
    WorkerTest {
        folder,
        server: WorkerServer::start(settings).unwrap(),
        announcements,
    }
}

impl WorkerTest {
    fn client(&self) -> WorkerClient {
        WorkerClient::new(self.server.address(), TIMEOUT)
    }

    fn start_endpoint(&self) -> SocketAddr {
        let now = BootClock.now().as_millis();
        let order = StartOrder {
            boot: BootId(1),
            key: KEY,
            fence: FenceNumber(1),
            program: StartProgram::Service {
                environment: "production".try_into().unwrap(),
                service: "despacho".try_into().unwrap(),
                slots: 8,
                connections: 64,
            },
            demand: ResourceVector::new(4_000, 8_000, 0),
            resume_ms: 0,
            start_by_ms: now + 60_000,
            lease_until_ms: now + 60_000,
        };
        assert_eq!(
            self.client().start_attempt(&order).unwrap(),
            OrderAnswer::Done
        );
        self.announcements.recv_timeout(TIMEOUT).unwrap().address
    }

    fn send_load(&self, target: SocketAddr, rate: f64, duration: Duration) -> LoadSummary {
        let evidence = self.folder.join("callers.evidence");
        let mut settings = CallerSettings::new(vec![target], "despacho", evidence);
        settings.prefix = String::new();
        settings.health_interval = None;
        settings.rate = rate;
        settings.duration = duration;
        settings.sends = 1;
        settings.timeout = Duration::from_millis(1_500);
        run_load(&settings, &StopFlag::default()).unwrap()
    }

    fn inject_fault(&self, mode: &str) {
        let body = format!("{{\"mode\":\"{mode}\",\"share_millis\":1000}}");
        let url = format!("http://{}/control", self.server.address());
        let sent = http_post(url)
            .header("Content-Type", "application/json")
            .text(body)
            .send();
        assert!(sent.unwrap().is_success());
    }

    fn check_evidence(&self) -> CheckReport {
        check_records(&read_folder(&self.folder).unwrap(), &CheckRules::default())
    }
}

#[test]
fn every_request_is_answered_once() {
    let test = start_worker_test("answered");
    let target = test.start_endpoint();
    let summary = test.send_load(target, 200.0, Duration::from_secs(1));
    assert_eq!(summary.count(CallerOutcome::Answered), 200);
    let report = test.check_evidence();
    assert!(report.invariants_hold(), "{:?}", report.violations);
    assert_eq!(report.answered, 200);
}

#[test]
fn wrong_answers_are_detected_and_a_second_answer_is_not_read() {
    let cases = [
        ("short-answer", 0),
        ("crossed-id", 1),
        ("double-answer", 20),
        ("failing", 0),
    ];
    for (mode, answered) in cases {
        let test = start_worker_test(mode);
        let target = test.start_endpoint();
        test.inject_fault(mode);
        let summary = test.send_load(target, 50.0, Duration::from_millis(400));
        assert_eq!(summary.count(CallerOutcome::Answered), answered, "{mode}");
        assert_eq!(test.check_evidence().cut, 20 - answered, "{mode}");
    }
}

#[test]
fn frozen_endpoint_executes_held_requests_after_it_thaws() {
    let test = start_worker_test("freeze");
    let target = test.start_endpoint();
    test.inject_fault("freeze");
    let summary = test.send_load(target, 20.0, Duration::from_millis(200));
    assert_eq!(summary.count(CallerOutcome::TimedOut), 4);
    let execution_count = || {
        let records = read_folder(&test.folder).unwrap();
        let text = format!("{records:?}");
        text.matches("Executed").count()
    };
    assert_eq!(execution_count(), 0);
    test.inject_fault("none");
    wait_until("execution after the thaw", TIMEOUT, || {
        execution_count() == 4
    })
    .unwrap();
}

#[test]
fn draining_endpoint_announces_leaving_and_answers_open_requests() {
    let test = start_worker_test("leaving");
    let target = test.start_endpoint();
    std::thread::scope(|scope| {
        let load = scope.spawn(|| test.send_load(target, 100.0, Duration::from_millis(500)));
        std::thread::sleep(Duration::from_millis(900));
        assert_eq!(test.client().stop_attempt(&KEY).unwrap(), OrderAnswer::Done);
        assert_eq!(load.join().unwrap().count(CallerOutcome::Answered), 50);
    });
    let leaving = |notice: EndpointNotice| notice.state == EndpointReadiness::Leaving;
    assert!(test.announcements.drain().any(leaving));
    let list = test.client().list_attempts().unwrap();
    assert_eq!(list.attempts[0].state, AttemptState::Stopped);
    assert!(test.check_evidence().invariants_hold());
}

#[test]
fn endpoint_answers_nothing_after_its_attempt_has_ended() {
    let test = start_worker_test("lease");
    let target = test.start_endpoint();
    let order = RenewOrder {
        boot: BootId(1),
        keys: vec![KEY],
        lease_until_ms: 0,
    };
    assert_eq!(
        test.client().renew_leases(&order).unwrap(),
        OrderAnswer::Done
    );
    assert_eq!(test.client().stop_attempt(&KEY).unwrap(), OrderAnswer::Done);
    let summary = test.send_load(target, 50.0, Duration::from_millis(100));
    assert_eq!(summary.count(CallerOutcome::Answered), 0);
    assert_eq!(test.check_evidence().lost, 0);
}
