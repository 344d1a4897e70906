//! Metrics in the statsd format, sent to a UDP address of the settings.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;

/// Where a daemon sends its metrics.
#[derive(Clone, Debug)]
pub struct MetricSink {
    client: Arc<StatsdClient>,
}

impl MetricSink {
    /// Sends metrics named `prefix.*` to `address`, or nowhere.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be had.
    pub fn open(prefix: &str, address: Option<SocketAddr>) -> anyhow::Result<Self> {
        let client = match address {
            Some(address) => {
                let socket = UdpSocket::bind("127.0.0.1:0")?;
                socket.set_nonblocking(true)?;
                StatsdClient::from_sink(prefix, UdpMetricSink::from(address, socket)?)
            }
            None => StatsdClient::from_sink(prefix, NopMetricSink),
        };
        Ok(Self {
            client: Arc::new(client),
        })
    }

    /// Adds to a counter. A lost datagram is not an error.
    pub fn count(&self, name: &str, amount: i64) {
        let _ = self.client.count(name, amount);
    }

    /// Sets a gauge. A lost datagram is not an error.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration. A lost datagram is not an error.
    pub fn time(&self, name: &str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }
}
