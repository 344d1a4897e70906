//! Stand-in for the leader of an entry: accepts all calls by default, and stops answering on request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::sync::watch;

use guavavane_cell::entry::CallerRequest;
use guavavane_cell::message::FromControl;
use guavavane_cell::message::ToControl;
use guavavane_cell::prelude::start_entry;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::EntryHandle;
use guavavane_cell::prelude::EntrySettings;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RawStep;
use guavavane_transport::prelude::accept_streams;
use guavavane_transport::prelude::MessageStream;

/// Longest wait for a session or a call.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// How the leader treats its streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StreamBehaviour {
    answers: bool,
    /// Streams of an earlier generation are closed.
    generation: u64,
}

/// Running leader.
pub(crate) struct FakeLeader {
    pub(crate) address: SocketAddr,
    behaviour: watch::Sender<StreamBehaviour>,
    requests: Arc<Mutex<Vec<CallerRequest>>>,
}

/// Submission with this number.
pub(crate) fn submission(number: u64) -> CallerRequest {
    let step = RawStep {
        tasks: 1,
        ..RawStep::default()
    };
    let job = RawJob {
        steps: vec![step],
        ..RawJob::default()
    };
    CallerRequest {
        host: super::HOST.to_owned(),
        path: format!("{}{number:016x}", super::PREFIX),
        action: CallerAction::Submit(Arc::new(job)),
    }
}

/// Starts an entry and waits until it has a session.
pub(crate) async fn start_entry_of(leader: &FakeLeader) -> EntryHandle {
    let entry = start_entry(EntrySettings {
        node: Arc::from("entry-1"),
        seeds: vec![leader.address],
    });
    let until = Instant::now() + TIMEOUT;
    while !entry.is_ready().await {
        assert!(Instant::now() < until, "no session");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    entry
}

impl FakeLeader {
    pub(crate) async fn start() -> Self {
        Self::start_with(|_| CallerReply::Accepted).await
    }

    /// Starts a leader that answers calls in this way.
    pub(crate) async fn start_with(reply: fn(&CallerRequest) -> CallerReply) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (behaviour, watched) = watch::channel(StreamBehaviour {
            answers: true,
            generation: 0,
        });
        let requests = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&requests);
        let serve = move |_, stream: MessageStream<FromControl, ToControl>| {
            tokio::spawn(serve_stream(
                stream,
                watched.clone(),
                Arc::clone(&recorded),
                reply,
            ));
        };
        tokio::spawn(accept_streams(listener, serve));
        Self {
            address,
            behaviour,
            requests,
        }
    }

    pub(crate) fn stop_answering(&self) {
        self.behaviour
            .send_modify(|behaviour| behaviour.answers = false);
    }

    pub(crate) fn resume_answering(&self) {
        self.behaviour
            .send_modify(|behaviour| behaviour.answers = true);
    }

    pub(crate) fn close_streams(&self) {
        self.behaviour
            .send_modify(|behaviour| behaviour.generation += 1);
    }

    /// Paths of all calls that the leader has received.
    pub(crate) fn received_paths(&self) -> Vec<String> {
        let requests = self.requests.lock().unwrap();
        requests
            .iter()
            .map(|request| request.path.clone())
            .collect()
    }

    pub(crate) async fn wait_for_path(&self, path: &str) {
        let until = Instant::now() + TIMEOUT;
        while !self
            .received_paths()
            .iter()
            .any(|received| received == path)
        {
            assert!(Instant::now() < until, "no call of {path}");
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Answers a stream in order. While the leader does not answer, it still records what it receives and
/// keeps the answers, which it sends later if the stream is still open.
async fn serve_stream(
    stream: MessageStream<FromControl, ToControl>,
    mut behaviour: watch::Receiver<StreamBehaviour>,
    requests: Arc<Mutex<Vec<CallerRequest>>>,
    reply: fn(&CallerRequest) -> CallerReply,
) {
    let (sender, mut receiver) = stream;
    let generation = behaviour.borrow().generation;
    let mut kept = Vec::new();
    loop {
        tokio::select! {
            changed = behaviour.changed() => if changed.is_err() {
                return;
            },
            message = receiver.receive() => match message {
                None => return,
                Some(ToControl::Ping { sent_at }) => {
                    let members = Vec::new();
                    kept.push(FromControl::Pong { sent_at, term: 1, members });
                }
                Some(ToControl::Call { call_id, request }) => {
                    let reply = reply(&request);
                    requests.lock().unwrap().push(request);
                    kept.push(FromControl::Reply { call_id, reply });
                }
                Some(_) => {}
            },
        }
        let now = *behaviour.borrow();
        if now.generation != generation {
            return;
        }
        if now.answers {
            for message in kept.drain(..) {
                sender.send(message);
            }
        }
    }
}
