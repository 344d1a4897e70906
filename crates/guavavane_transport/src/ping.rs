//! Pings that show whether the peer of a connection still answers.

use std::time::Duration;

use h2::Ping;
use h2::PingPong;
use tokio::time::sleep;
use tokio::time::timeout;

/// Timeout of the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pings the peer at intervals; returns when a ping fails or is not answered in time.
pub(crate) async fn ping_until_failure(mut ping_pong: PingPong, interval: Duration) {
    loop {
        sleep(interval).await;
        match timeout(PING_TIMEOUT, ping_pong.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            _ => return,
        }
    }
}
