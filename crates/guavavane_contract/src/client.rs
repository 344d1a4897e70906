//! Calls to a worker over HTTP.

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

/// Why a call to a worker has no answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The call failed, timed out or its answer was malformed.
    #[error("worker call failed: {0}")]
    Call(#[from] attohttpc::Error),
    /// The worker answered with an error status.
    #[error("worker answered with status {0}")]
    Status(u16),
}

/// Client of one worker.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    address: SocketAddr,
    timeout: Duration,
}

impl WorkerClient {
    /// A client of the worker at `address` whose calls end within `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Asks for the worker's facts.
    pub fn facts(&self) -> Result<WorkerFacts, ClientError> {
        self.get("worker")
    }

    /// Asks for all attempts.
    pub fn attempts(&self) -> Result<AttemptList, ClientError> {
        self.get("attempts")
    }

    /// Orders a start.
    pub fn start(&self, order: &StartOrder) -> Result<OrderAnswer, ClientError> {
        self.post("start", order)
    }

    /// Renews leases.
    pub fn renew(&self, order: &RenewOrder) -> Result<OrderAnswer, ClientError> {
        self.post("renew", order)
    }

    /// Slows an attempt.
    pub fn throttle(&self, order: &ThrottleOrder) -> Result<OrderAnswer, ClientError> {
        self.post("throttle", order)
    }

    /// Asks for a checkpoint.
    pub fn checkpoint(&self, key: &AttemptKey) -> Result<OrderAnswer, ClientError> {
        self.post("checkpoint", key)
    }

    /// Stops an attempt.
    pub fn stop(&self, key: &AttemptKey) -> Result<OrderAnswer, ClientError> {
        self.post("stop", key)
    }

    /// Lets the worker forget an attempt that has ended.
    pub fn forget(&self, key: &AttemptKey) -> Result<OrderAnswer, ClientError> {
        self.post("forget", key)
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let response = attohttpc::get(self.url(path))
            .proxy_settings(ProxySettings::builder().build())
            .timeout(self.timeout)
            .send()?;
        read_answer(response)
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
        read_answer(response)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }
}

fn read_answer<T: DeserializeOwned>(response: attohttpc::Response) -> Result<T, ClientError> {
    if !response.is_success() {
        return Err(ClientError::Status(response.status().as_u16()));
    }
    Ok(response.json()?)
}
