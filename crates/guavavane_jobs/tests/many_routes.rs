//! Checks configurations with many routes of one host.
//!
//! Guards against a check whose cost grows faster than the number of routes: a configuration of the
//! largest legal size kept a control process from answering anybody for seconds.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

mod support;

use std::time::Duration;
use std::time::Instant;

use crate::support::raw_catalog;
use crate::support::raw_queue;
use guavavane_jobs::prelude::CatalogFault;
use guavavane_jobs::prelude::QueueCatalog;
use guavavane_jobs::prelude::RawCatalog;

/// Numbers of routes whose costs are compared.
const FEW_ROUTES: usize = 2_000;
const MANY_ROUTES: usize = 16 * FEW_ROUTES;
/// Most that the many routes may cost, as a multiple of the few; a cost that grows with the square of
/// the number is a multiple of 256.
const COST_FACTOR_MAX: u32 = 64;
/// Number of measurements, of which the shortest counts.
const MEASUREMENTS: usize = 5;

fn catalog_with_routes(count: usize) -> RawCatalog {
    let mut catalog = raw_catalog(1);
    let names = (0..count).map(|number| format!("queue-{number}"));
    catalog.queues = names.map(|name| raw_queue(&name)).collect();
    catalog
}

/// Shortest time in which a configuration is checked.
fn check_time(count: usize) -> Duration {
    let catalog = catalog_with_routes(count);
    let measure = || {
        let catalog = catalog.clone();
        let begin = Instant::now();
        let checked = QueueCatalog::try_from(catalog);
        let elapsed = begin.elapsed();
        checked.unwrap();
        elapsed
    };
    (0..MEASUREMENTS).map(|_| measure()).min().unwrap()
}

#[test]
fn checking_many_routes_of_one_host_costs_as_much_as_their_number() {
    let (few_time, many_time) = (check_time(FEW_ROUTES), check_time(MANY_ROUTES));
    println!("few routes {few_time:?}, many routes {many_time:?}");
    assert!(
        many_time <= few_time * COST_FACTOR_MAX,
        "{many_time:?} {few_time:?}"
    );
}

#[test]
fn a_route_that_stands_twice_is_refused() {
    let mut catalog = catalog_with_routes(FEW_ROUTES);
    let mut again = raw_queue("again");
    again.path_prefix = catalog.queues[FEW_ROUTES / 2].path_prefix.clone();
    catalog.queues.push(again);
    let fault = QueueCatalog::try_from(catalog).unwrap_err();
    assert!(
        matches!(fault, CatalogFault::DuplicateRoute { .. }),
        "{fault}"
    );
}
