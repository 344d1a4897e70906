//! HTTP client of the platform's worker.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::ProxySettings;
use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

use crate::worker::AttemptKey;
use crate::worker::AttemptList;
use crate::worker::OrderAnswer;
use crate::worker::RenewOrder;
use crate::worker::StartOrder;
use crate::worker::ThrottleOrder;
use crate::worker::WorkerFacts;

/// Error of a call to a worker; the worker may have carried out the order nevertheless.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The call failed or timed out, or its answer was malformed.
    #[error("worker call failed: {0}")]
    Call(#[from] attohttpc::Error),
    /// The worker answered with an error status.
    #[error("worker answered with status {0}")]
    Status(u16),
}

/// Client of one worker; opens a connection per call and ignores proxy settings.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    address: SocketAddr,
    timeout: Duration,
}

impl WorkerClient {
    /// Creates a client of the worker at `address`, each of whose calls takes at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Reads the worker's name, location, boot and capacity.
    pub fn worker_info(&self) -> Result<WorkerFacts, ClientError> {
        self.get("worker")
    }

    /// Lists all attempts that the worker remembers.
    pub fn list_attempts(&self) -> Result<AttemptList, ClientError> {
        self.get("attempts")
    }

    /// Starts an attempt.
    pub fn start_attempt(&self, order: &StartOrder) -> Result<OrderAnswer, ClientError> {
        self.post("start", order)
    }

    /// Extends the leases of running attempts.
    pub fn renew_leases(&self, order: &RenewOrder) -> Result<OrderAnswer, ClientError> {
        self.post("renew", order)
    }

    /// Sets the CPU share of an attempt.
    pub fn throttle_attempt(&self, order: &ThrottleOrder) -> Result<OrderAnswer, ClientError> {
        self.post("throttle", order)
    }

    /// Writes a checkpoint of an attempt.
    pub fn checkpoint_attempt(&self, key: &AttemptKey) -> Result<OrderAnswer, ClientError> {
        self.post("checkpoint", key)
    }

    /// Stops an attempt.
    pub fn stop_attempt(&self, key: &AttemptKey) -> Result<OrderAnswer, ClientError> {
        self.post("stop", key)
    }

    /// Removes an ended attempt from the worker's list.
    pub fn forget_attempt(&self, key: &AttemptKey) -> Result<OrderAnswer, ClientError> {
        self.post("forget", key)
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let response = attohttpc::get(self.url(path))
            .proxy_settings(ProxySettings::builder().build())
            .timeout(self.timeout)
            .send()?;
        parse_answer(response)
    }

    fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, ClientError> {
        let response = attohttpc::post(self.url(path))
            .proxy_settings(ProxySettings::builder().build())
            .timeout(self.timeout)
            .json(body)?
            .send()?;
        parse_answer(response)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }
}

fn parse_answer<T: DeserializeOwned>(response: attohttpc::Response) -> Result<T, ClientError> {
    if !response.is_success() {
        return Err(ClientError::Status(response.status().as_u16()));
    }
    Ok(response.json()?)
}
