//! Compares tail latency and goodput of routing policies in a queueing simulation.
//!
//! Two entries and 11 workers with 8 slots in three data centres.
//!
//! Run with `cargo run --release -p guavavane_routing --example routing_policies`.

mod queueing;

use crate::queueing::Disturbance;
use crate::queueing::Policy;
use crate::queueing::Scenario;
use crate::queueing::Simulation;

const POLICIES: [Policy; 3] = [Policy::Router, Policy::RoundRobin, Policy::Random];
const LOADS: [f64; 4] = [0.5, 0.9, 1.5, 3.0];

fn main() {
    println!("user disturbance policy load p50_ms p99_ms p999_ms answered_percent goodput_percent");
    // Each user has its own network delay between data centres.
    for (user, network_delay_ms) in [("cooperativa", 1.5), ("blomstervagt", 0.5)] {
        for disturbance in Disturbance::ALL {
            for policy in POLICIES {
                simulate_and_print(user, network_delay_ms, disturbance, policy, 0.6, 5_000);
            }
        }
        for load in LOADS {
            for policy in [Policy::Router, Policy::Unbounded] {
                simulate_and_print(user, network_delay_ms, Disturbance::None, policy, load, 300);
            }
        }
    }
}

fn simulate_and_print(
    user: &str,
    network_delay_ms: f64,
    disturbance: Disturbance,
    policy: Policy,
    load: f64,
    timeout_ms: u64,
) {
    let scenario = Scenario {
        network_delay_ms,
        disturbance,
        policy,
        load,
        timeout_ms,
    };
    let measurements = Simulation::new(scenario).run();
    println!(
        "{user} {disturbance:?} {policy:?} {load} {:.1} {:.1} {:.1} {:.2} {:.1}",
        measurements.quantile(0.5),
        measurements.quantile(0.99),
        measurements.quantile(0.999),
        measurements.answered_percent(),
        measurements.goodput_percent(),
    );
}
