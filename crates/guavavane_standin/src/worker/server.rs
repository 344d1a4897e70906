//! HTTP server of the worker's contract: orders to start, renew, throttle, checkpoint, stop and
//! forget attempts, and fault injection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::anyhow;
use anyhow::Result;
use indexmap::IndexMap;
use rouille::Request;
use rouille::Response;
use rouille::Server;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::clock::StopFlag;
use crate::evidence::EvidenceEvent;
use crate::worker::endpoint::EndpointHandle;
use crate::worker::endpoint::EndpointPlan;
use crate::worker::settings::WorkerSettings;
use crate::worker::shared_worker::SharedWorker;
use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::AttemptState;
use guavavane_contract::prelude::OrderAnswer;
use guavavane_contract::prelude::StartProgram;

/// Interval at which leases and task progress advance, and at which threads poll their stop flag.
const TICK_INTERVAL_MS: u64 = 10;
/// Threads of the order listener; a stop order occupies one while its endpoint drains.
const ORDER_THREADS: usize = 16;

/// A running worker; its threads end with [`WorkerServer::shut_down`] or the process.
#[derive(Debug)]
pub struct WorkerServer {
    address: SocketAddr,
    handler: Arc<OrderHandler>,
    closed: StopFlag,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct OrderHandler {
    worker: Arc<SharedWorker>,
    endpoints: Mutex<IndexMap<AttemptKey, Arc<EndpointHandle>>>,
}

impl WorkerServer {
    /// Starts a worker without attempts.
    pub fn start(settings: WorkerSettings) -> Result<Self> {
        let listen = settings.listen;
        let worker = Arc::new(SharedWorker::new(settings)?);
        let handler = Arc::new(OrderHandler {
            worker,
            endpoints: Mutex::new(IndexMap::new()),
        });
        let server_handler = Arc::clone(&handler);
        let server = Server::new(listen, move |request| server_handler.serve(request))
            .map_err(|error| anyhow!("worker cannot listen on {listen}: {error}"))?
            .pool_size(ORDER_THREADS);
        let address = server.server_addr();
        let closed = StopFlag::default();
        let listener_thread = spawn_loop(closed.clone(), move || {
            server.poll_timeout(Duration::from_millis(TICK_INTERVAL_MS));
        });
        let tick_handler = Arc::clone(&handler);
        let tick_thread = spawn_loop(closed.clone(), move || {
            tick_handler.advance_tasks();
            thread::sleep(Duration::from_millis(TICK_INTERVAL_MS));
        });
        Ok(Self {
            address,
            handler,
            closed,
            threads: vec![listener_thread, tick_thread],
        })
    }

    /// Address at which the worker serves its HTTP contract.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Shuts down gracefully: drains all endpoints, checkpoints and stops all batch tasks.
    pub fn shut_down(self) {
        self.handler.drain();
        self.closed.raise();
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn spawn_loop(closed: StopFlag, mut iteration: impl FnMut() + Send + 'static) -> JoinHandle<()> {
    thread::spawn(move || {
        while !closed.is_raised() {
            iteration();
        }
    })
}

impl OrderHandler {
    fn serve(&self, request: &Request) -> Response {
        let url = request.url();
        match (request.method(), url.as_str()) {
            ("GET", "/worker") => Response::json(&self.worker.settings.facts),
            ("GET", "/attempts") => {
                let list = self.update(|machine, now| machine.attempts(now));
                Response::json(&list)
            }
            ("POST", "/start") => answer_json(request, |order| {
                self.update(|machine, now| machine.start(now, order))
            }),
            ("POST", "/renew") => answer_json(request, |order| {
                self.update(|machine, now| machine.renew(now, &order))
            }),
            ("POST", "/throttle") => answer_json(request, |order| {
                self.update(|machine, now| machine.throttle(now, &order))
            }),
            ("POST", "/checkpoint") => answer_json(request, |key| self.checkpoint(&key)),
            ("POST", "/stop") => answer_json(request, |key| self.stop(&key)),
            ("POST", "/forget") => answer_json(request, |key| {
                self.update(|machine, now| machine.forget(now, &key))
            }),
            ("POST", "/control") => answer_json(request, |order| {
                self.worker.set_fault_order(order);
                OrderAnswer::Done
            }),
            _ => Response::empty_404(),
        }
    }

    fn checkpoint(&self, key: &AttemptKey) -> OrderAnswer {
        thread::sleep(self.worker.settings.checkpoint_time);
        self.update(|machine, now| machine.checkpoint(now, key))
    }

    /// Stops an attempt; drains its endpoint first, if it has one, and blocks until it is closed.
    fn stop(&self, key: &AttemptKey) -> OrderAnswer {
        let endpoint = self.lock_endpoints().get(key).cloned();
        if let Some(endpoint) = endpoint {
            endpoint.drain();
        }
        self.update(|machine, now| machine.stop(now, key))
    }

    fn advance_tasks(&self) {
        self.update(|machine, now| machine.advance(now));
    }

    fn drain(&self) {
        self.update(|machine, _| machine.drain());
        let keys = self.worker.read(|machine, _| machine.running_keys());
        let stops = keys.into_iter().map(|key| {
            move || {
                self.update(|machine, now| machine.checkpoint(now, &key));
                self.stop(&key);
            }
        });
        thread::scope(|scope| {
            for stop in stops {
                scope.spawn(stop);
            }
        });
    }

    fn update<T>(
        &self,
        action: impl FnOnce(
            &mut crate::worker::machine::WorkerMachine,
            guavavane_model::prelude::BootTime,
        ) -> T,
    ) -> T {
        let (result, events) = self.worker.update(action);
        for event in events {
            self.apply_event(event.event);
        }
        result
    }

    fn apply_event(&self, event: EvidenceEvent) {
        match event {
            EvidenceEvent::Started {
                key,
                program:
                    StartProgram::Service {
                        environment,
                        service,
                        slots,
                        connections,
                    },
                ..
            } => self.start_endpoint(EndpointPlan {
                key,
                environment,
                service,
                slots,
                connections,
            }),
            EvidenceEvent::Ended { key, state, .. } => self.close_endpoint(&key, state),
            _ => {}
        }
    }

    fn start_endpoint(&self, plan: EndpointPlan) {
        let key = plan.key;
        match EndpointHandle::start(&self.worker, plan) {
            Ok(handle) => {
                self.lock_endpoints().insert(key, Arc::new(handle));
            }
            Err(error) => {
                tracing::error!(
                    %error,
                    task = key.task.0,
                    "cannot start endpoint; its attempt is stopped"
                );
                self.update(|machine, now| machine.stop(now, &key));
            }
        }
    }

    fn close_endpoint(&self, key: &AttemptKey, state: AttemptState) {
        let endpoint = self.lock_endpoints().shift_remove(key);
        if let Some(endpoint) = endpoint {
            tracing::info!(task = key.task.0, ?state, "endpoint ended");
            endpoint.close_now();
        }
    }

    fn lock_endpoints(
        &self,
    ) -> std::sync::MutexGuard<'_, IndexMap<AttemptKey, Arc<EndpointHandle>>> {
        self.endpoints
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn answer_json<B, T>(request: &Request, action: impl FnOnce(B) -> T) -> Response
where
    B: DeserializeOwned,
    T: Serialize,
{
    match rouille::input::json_input::<B>(request) {
        Ok(body) => Response::json(&action(body)),
        Err(error) => Response::text(error.to_string()).with_status_code(400),
    }
}
