//! Tail latency, batch throughput and evictions against first fit and best fit.
//!
//! The same seeds drive each policy; the figures are means over the seeds with the range.

mod baseline;
mod cell;

use crate::baseline::FitPlacer;
use crate::baseline::Placer;
use crate::cell::CellFake;
use crate::cell::CellSize;
use crate::cell::TrialResult;
use guavavane_placement::prelude::*;

const SEEDS: std::ops::Range<u64> = 1..9;

struct PolicyCase {
    name: &'static str,
    make: fn(u64) -> Box<dyn Placer>,
}

fn core(settings: PlacementSettings, seed: u64) -> Box<dyn Placer> {
    Box::new(PlacementCore::new(settings, seed))
}

fn print_case(cell: &CellSize, case: &PolicyCase) -> anyhow::Result<()> {
    let mut results = Vec::new();
    for seed in SEEDS {
        let mut placer = (case.make)(seed);
        results.push(CellFake::new(cell, seed)?.run(placer.as_mut())?);
    }
    let column = |value: fn(&TrialResult) -> f64| {
        let values: Vec<f64> = results.iter().map(value).collect();
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let least = values.iter().copied().fold(f64::INFINITY, f64::min);
        let most = values.iter().copied().fold(0.0, f64::max);
        format!("{mean:.1} ({least:.1}..{most:.1})")
    };
    println!(
        "{} policy={} p50_ms={} p99_ms={} p999_ms={} work_core_s={} window_core_s={} \
         evictions={} throttles={} unserved_s={}",
        cell.services[0],
        case.name,
        column(|result| result.latency_us.value_at_quantile(0.5) as f64 / 1_000.0),
        column(|result| result.latency_us.value_at_quantile(0.99) as f64 / 1_000.0),
        column(|result| result.latency_us.value_at_quantile(0.999) as f64 / 1_000.0),
        column(|result| result.work),
        column(|result| result.window_work),
        column(|result| result.evictions as f64),
        column(|result| result.throttles as f64),
        column(|result| result.unserved as f64),
    );
    Ok(())
}

fn main() -> anyhow::Result<()> {
    let cells = [
        CellSize {
            centres: ["caxias", "bento", "farroupilha"],
            services: ["despacho", "lot-entry"],
            cores: 16,
            memory_gib: 60,
        },
        CellSize {
            centres: ["jyl-aarhus", "jyl-vejle", "jyl-aalborg"],
            services: ["rota-api", "confirmations"],
            cores: 32,
            memory_gib: 125,
        },
    ];
    let cases = [
        PolicyCase {
            name: "first-fit",
            make: |_| Box::new(FitPlacer::new(false)),
        },
        PolicyCase {
            name: "best-fit",
            make: |_| Box::new(FitPlacer::new(true)),
        },
        PolicyCase {
            name: "without-interference",
            make: |seed| {
                let settings = PlacementSettings::default();
                let interference = false;
                core(
                    PlacementSettings {
                        interference,
                        ..settings
                    },
                    seed,
                )
            },
        },
        PolicyCase {
            name: "throughput",
            make: |seed| core(PlacementSettings::favouring_throughput(), seed),
        },
        PolicyCase {
            name: "default",
            make: |seed| core(PlacementSettings::default(), seed),
        },
        PolicyCase {
            name: "latency",
            make: |seed| core(PlacementSettings::favouring_latency(), seed),
        },
    ];
    for cell in &cells {
        for case in &cases {
            print_case(cell, case)?;
        }
    }
    Ok(())
}
