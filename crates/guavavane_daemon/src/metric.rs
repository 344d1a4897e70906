//! Sends metrics in the StatsD format over UDP.

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

/// Sends the metrics of a daemon; clones share the socket.
#[derive(Clone, Debug)]
pub struct MetricSink {
    client: Arc<StatsdClient>,
}

impl MetricSink {
    /// Opens a sink whose metrics have names with `prefix.` in front.
    ///
    /// Metrics go to `address`; without an address they are discarded.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be opened.
    pub fn open(prefix: &str, address: Option<SocketAddr>) -> anyhow::Result<Self> {
        let client = match address {
            Some(address) => {
                let socket = UdpSocket::bind("127.0.0.1:0")?;
                // A full send buffer drops a metric and does not block the daemon.
                socket.set_nonblocking(true)?;
                StatsdClient::from_sink(prefix, UdpMetricSink::from(address, socket)?)
            }
            None => StatsdClient::from_sink(prefix, NopMetricSink),
        };
        Ok(Self {
            client: Arc::new(client),
        })
    }

    /// Adds `amount` to a counter; a lost datagram is ignored.
    pub fn count(&self, name: &str, amount: i64) {
        let _ = self.client.count(name, amount);
    }

    /// Sets a gauge to `value`; a lost datagram is ignored.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration; a lost datagram is ignored.
    pub fn time(&self, name: &str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }
}
