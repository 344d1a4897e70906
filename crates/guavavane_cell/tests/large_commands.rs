//! Commands up to the largest that the replicated log accepts, and beyond.
//!
//! Guards against a valid configuration or job that is never accepted because a bound behind that of the
//! caller's request is smaller, against one that can't be accepted and gets no final answer, and against
//! a replica that can't take over such a configuration from the log or a snapshot.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::support::group::free_addresses;
use crate::support::group::settings;
use crate::support::group::wait_for_leader;
use crate::support::step;
use crate::support::TestCell;
use guavavane_cell::prelude::start_control;
use guavavane_cell::prelude::CallerAction;
use guavavane_cell::prelude::CallerReply;
use guavavane_cell::prelude::CatalogAdmission;
use guavavane_cell::prelude::CatalogRefusal;
use guavavane_cell::prelude::CommandLimit;
use guavavane_cell::prelude::ControlHandle;
use guavavane_cell::prelude::OperatorReply;
use guavavane_jobs::job::TEXTS_MAX_BYTES;
use guavavane_jobs::prelude::QueueCatalog;
use guavavane_jobs::prelude::RawCatalog;
use guavavane_jobs::prelude::RawJob;
use guavavane_jobs::prelude::RawPool;
use guavavane_jobs::prelude::RawQueue;

/// Longest wait until all replicas have a configuration.
const REPLICATION_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes of the text of a configuration for each queue.
const TEXT_BYTES_PER_QUEUE: usize = 190;

fn catalog(version: u64, queues: usize) -> (QueueCatalog, Arc<str>) {
    let queue = |number| RawQueue {
        name: format!("queue-{number:06}"),
        host: "queue.example".to_owned(),
        path_prefix: format!("/{number:06}/"),
        timeout_ms: 3_000,
        pool: "pool".to_owned(),
        ..RawQueue::default()
    };
    let raw = RawCatalog {
        version,
        queues: (0..queues).map(queue).collect(),
        pools: vec![RawPool {
            name: "pool".to_owned(),
            guarded: true,
            standby: false,
        }],
    };
    let text = format!("{version:08}").repeat(queues * TEXT_BYTES_PER_QUEUE / 8 + 1);
    (QueueCatalog::try_from(raw).unwrap(), Arc::from(text))
}

/// Puts a configuration in force; returns the first final answer of the leader.
async fn put(group: &[ControlHandle], version: u64, queues: usize) -> OperatorReply {
    let until = Instant::now() + REPLICATION_TIMEOUT;
    loop {
        for control in group {
            let (catalog, text) = catalog(version, queues);
            match control.put_catalog(catalog, text).await {
                OperatorReply::Unavailable | OperatorReply::Busy | OperatorReply::Redirect(_) => {}
                reply => return reply,
            }
        }
        assert!(Instant::now() < until, "{queues} queues get no answer");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until the leader of the group names this version as the one in force.
async fn wait_for_version(group: &[ControlHandle], version: u64) {
    let start = format!("{version:08}");
    let until = Instant::now() + REPLICATION_TIMEOUT;
    loop {
        for control in group {
            match control.read_catalog().await {
                OperatorReply::Catalog(text) if text.starts_with(&start) => return,
                _ => {}
            }
        }
        assert!(Instant::now() < until, "version {version} is not in force");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn start_founders(founders: &[SocketAddr], data: &Path) -> Vec<ControlHandle> {
    let mut group = Vec::new();
    for address in founders {
        let settings = settings(*address, founders, data);
        group.push(start_control(settings).await.unwrap());
    }
    wait_for_leader(founders).await;
    group
}

#[tokio::test]
async fn a_group_puts_large_catalogs_in_force_and_refuses_larger_ones_for_good() {
    let data = tempfile::tempdir().unwrap();
    let founders = free_addresses(3);
    let group = start_founders(&founders, data.path()).await;
    for (version, queues) in (1..).zip([2_100, 4_200, 8_400, 12_600]) {
        assert_eq!(put(&group, version, queues).await, OperatorReply::Done);
        wait_for_version(&group, version).await;
    }
    let refused = put(&group, 100, 25_000).await;
    let is_final =
        matches!(refused, OperatorReply::TooLarge { bytes, bytes_max } if bytes > bytes_max);
    assert!(is_final, "{refused:?}");
    // An order that was accepted is never refused, and a later one is not held up.
    assert_eq!(put(&group, 4, 25_000).await, OperatorReply::Done);
    assert_eq!(put(&group, 101, 3).await, OperatorReply::Done);
}

#[tokio::test]
async fn a_job_with_the_longest_texts_is_accepted() {
    let cell = TestCell::start(1, Duration::from_millis(50)).await;
    let mut large_step = step(1, vec![]);
    large_step.image = "x".repeat(TEXTS_MAX_BYTES);
    let job = RawJob {
        steps: vec![large_step],
        ..RawJob::default()
    };
    let reply = cell.call(1, CallerAction::Submit(Arc::new(job))).await;
    assert_eq!(reply, CallerReply::Accepted);
}

#[test]
fn the_limit_follows_the_memory_and_fits_into_a_message() {
    let bytes_max = |megabytes: usize| CommandLimit::derive(Some(megabytes << 20)).bytes_max();
    let unbounded = CommandLimit::derive(None).bytes_max();
    assert!(unbounded < guavavane_transport::codec::FRAME_MAX_BYTES);
    assert_eq!(bytes_max(192), 3 << 20);
    assert!(bytes_max(128) < bytes_max(192) && bytes_max(192) < bytes_max(256));
    assert_eq!(bytes_max(512), unbounded);
    assert!(bytes_max(16) > TEXTS_MAX_BYTES);
}

#[test]
fn catalogs_without_a_result_share_the_limit() {
    let limit = CommandLimit::derive(None);
    let half = limit.bytes_max() / 2;
    let mut admission = CatalogAdmission::new(limit);
    assert_eq!(admission.admit(half), Ok(()));
    assert_eq!(admission.admit(half), Ok(()));
    let busy = CatalogRefusal::Busy {
        proposed_bytes: 2 * half,
    };
    assert_eq!(admission.admit(half), Err(busy));
    admission.settle(half);
    assert_eq!(admission.admit(half), Ok(()));
    let too_large = CatalogRefusal::TooLarge {
        bytes_max: limit.bytes_max(),
    };
    assert_eq!(admission.admit(limit.bytes_max() + 1), Err(too_large));
}
