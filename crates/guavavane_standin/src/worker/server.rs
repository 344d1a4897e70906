//! The worker's contract over HTTP.

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
use crate::worker::core::WorkerCore;
use crate::worker::endpoint::EndpointHandle;
use crate::worker::endpoint::EndpointPlan;
use crate::worker::settings::WorkerSettings;
use guavavane_contract::prelude::AttemptKey;
use guavavane_contract::prelude::AttemptState;
use guavavane_contract::prelude::OrderAnswer;
use guavavane_contract::prelude::StartProgram;

/// Time between two looks at leases and progress.
const TICK_MS: u64 = 10;
/// Threads that serve orders.
const ORDER_THREADS: usize = 16;

/// A running worker.
#[derive(Debug)]
pub struct WorkerServer {
    address: SocketAddr,
    desk: Arc<OrderDesk>,
    closed: StopFlag,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct OrderDesk {
    core: Arc<WorkerCore>,
    endpoints: Mutex<IndexMap<AttemptKey, Arc<EndpointHandle>>>,
}

impl WorkerServer {
    /// Starts a worker that runs nothing.
    pub fn start(settings: WorkerSettings) -> Result<Self> {
        let listen = settings.listen;
        let core = Arc::new(WorkerCore::new(settings)?);
        let desk = Arc::new(OrderDesk {
            core,
            endpoints: Mutex::new(IndexMap::new()),
        });
        let served = Arc::clone(&desk);
        let server = Server::new(listen, move |request| served.serve(request))
            .map_err(|error| anyhow!("worker cannot listen on {listen}: {error}"))?
            .pool_size(ORDER_THREADS);
        let address = server.server_addr();
        let closed = StopFlag::default();
        let listener = spawn_loop(closed.clone(), move || {
            server.poll_timeout(Duration::from_millis(TICK_MS));
        });
        let ticked = Arc::clone(&desk);
        let ticker = spawn_loop(closed.clone(), move || {
            ticked.tick();
            thread::sleep(Duration::from_millis(TICK_MS));
        });
        Ok(Self {
            address,
            desk,
            closed,
            threads: vec![listener, ticker],
        })
    }

    /// Address at which it takes orders.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Shuts down gracefully: endpoints leave, batch tasks are checkpointed and stopped.
    pub fn shut_down(self) {
        self.desk.drain();
        self.closed.raise();
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn spawn_loop(closed: StopFlag, mut step: impl FnMut() + Send + 'static) -> JoinHandle<()> {
    thread::spawn(move || {
        while !closed.is_raised() {
            step();
        }
    })
}

impl OrderDesk {
    fn serve(&self, request: &Request) -> Response {
        let url = request.url();
        match (request.method(), url.as_str()) {
            ("GET", "/worker") => Response::json(&self.core.settings.facts),
            ("GET", "/attempts") => {
                let list = self.change(|machine, now| machine.attempts(now));
                Response::json(&list)
            }
            ("POST", "/start") => answer(request, |order| {
                self.change(|machine, now| machine.start(now, order))
            }),
            ("POST", "/renew") => answer(request, |order| {
                self.change(|machine, now| machine.renew(now, &order))
            }),
            ("POST", "/throttle") => answer(request, |order| {
                self.change(|machine, now| machine.throttle(now, &order))
            }),
            ("POST", "/checkpoint") => answer(request, |key| self.checkpoint(&key)),
            ("POST", "/stop") => answer(request, |key| self.stop(&key)),
            ("POST", "/forget") => answer(request, |key| {
                self.change(|machine, now| machine.forget(now, &key))
            }),
            ("POST", "/control") => answer(request, |order| {
                self.core.set_control(order);
                OrderAnswer::Done
            }),
            _ => Response::empty_404(),
        }
    }

    fn checkpoint(&self, key: &AttemptKey) -> OrderAnswer {
        thread::sleep(self.core.settings.checkpoint_time);
        self.change(|machine, now| machine.checkpoint(now, key))
    }

    /// Stops an attempt; an endpoint leaves first and the answer waits for it.
    fn stop(&self, key: &AttemptKey) -> OrderAnswer {
        let endpoint = self.lock_endpoints().get(key).cloned();
        if let Some(endpoint) = endpoint {
            endpoint.leave();
        }
        self.change(|machine, now| machine.stop(now, key))
    }

    fn tick(&self) {
        self.change(|machine, now| machine.advance(now));
    }

    fn drain(&self) {
        self.change(|machine, _| machine.drain());
        let keys = self.core.look(|machine, _| machine.running_keys());
        let stops = keys.into_iter().map(|key| {
            move || {
                self.change(|machine, now| machine.checkpoint(now, &key));
                self.stop(&key);
            }
        });
        thread::scope(|scope| {
            for stop in stops {
                scope.spawn(stop);
            }
        });
    }

    fn change<T>(
        &self,
        action: impl FnOnce(
            &mut crate::worker::machine::WorkerMachine,
            guavavane_model::prelude::BootTime,
        ) -> T,
    ) -> T {
        let (result, events) = self.core.change(action);
        for event in events {
            self.react(event.event);
        }
        result
    }

    fn react(&self, event: EvidenceEvent) {
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
            EvidenceEvent::Ended { key, state, .. } => self.end_endpoint(&key, state),
            _ => {}
        }
    }

    fn start_endpoint(&self, plan: EndpointPlan) {
        let key = plan.key;
        match EndpointHandle::start(&self.core, plan) {
            Ok(handle) => {
                self.lock_endpoints().insert(key, Arc::new(handle));
            }
            Err(error) => {
                tracing::error!(%error, task = key.task.0, "endpoint cannot start");
                self.change(|machine, now| machine.stop(now, &key));
            }
        }
    }

    fn end_endpoint(&self, key: &AttemptKey, state: AttemptState) {
        let endpoint = self.lock_endpoints().shift_remove(key);
        if let Some(endpoint) = endpoint {
            tracing::info!(task = key.task.0, ?state, "endpoint ended");
            endpoint.halt();
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

fn answer<B, T>(request: &Request, action: impl FnOnce(B) -> T) -> Response
where
    B: DeserializeOwned,
    T: Serialize,
{
    match rouille::input::json_input::<B>(request) {
        Ok(body) => Response::json(&action(body)),
        Err(error) => Response::text(error.to_string()).with_status_code(400),
    }
}
