//! Compares the policy with first fit and best fit by tail latency, batch throughput and
//! evictions.
//!
//! The same seeds drive each policy; each figure is the mean over the seeds with its range.

mod baseline;
mod cell;

use crate::baseline::FitPlacer;
use crate::baseline::Placer;
use crate::cell::CellFake;
use crate::cell::CellSize;
use crate::cell::TrialResult;
use guavavane_placement::prelude::*;

const SEEDS: std::ops::Range<u64> = 1..9;

/// A policy to compare, under the name that is printed.
struct PolicyVariant {
    name: &'static str,
    make: fn(u64) -> Box<dyn Placer>,
}

fn new_core(settings: PlacementSettings, seed: u64) -> Box<dyn Placer> {
    Box::new(PlacementCore::new(settings, seed))
}

fn print_results(cell: &CellSize, variant: &PolicyVariant) -> anyhow::Result<()> {
    let mut results = Vec::new();
    for seed in SEEDS {
        let mut placer = (variant.make)(seed);
        results.push(CellFake::new(cell, seed)?.run(placer.as_mut())?);
    }
    let column = |value: fn(&TrialResult) -> f64| {
        let values: Vec<f64> = results.iter().map(value).collect();
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let minimum = values.iter().copied().fold(f64::INFINITY, f64::min);
        let maximum = values.iter().copied().fold(0.0, f64::max);
        format!("{mean:.1} ({minimum:.1}..{maximum:.1})")
    };
    println!(
        "{} policy={} p50_ms={} p99_ms={} p999_ms={} work_core_s={} window_core_s={} \
         evictions={} throttles={} unserved_s={}",
        cell.services[0],
        variant.name,
        column(|result| result.latency_us.value_at_quantile(0.5) as f64 / 1_000.0),
        column(|result| result.latency_us.value_at_quantile(0.99) as f64 / 1_000.0),
        column(|result| result.latency_us.value_at_quantile(0.999) as f64 / 1_000.0),
        column(|result| result.work_core_s),
        column(|result| result.window_work_core_s),
        column(|result| result.evictions as f64),
        column(|result| result.throttles as f64),
        column(|result| result.unserved_s as f64),
    );
    Ok(())
}

fn main() -> anyhow::Result<()> {
    let cells = [
        CellSize {
            data_centres: ["caxias", "bento", "farroupilha"],
            services: ["despacho", "lot-entry"],
            cores: 16,
            memory_gib: 60,
        },
        CellSize {
            data_centres: ["jyl-aarhus", "jyl-vejle", "jyl-aalborg"],
            services: ["rota-api", "confirmations"],
            cores: 32,
            memory_gib: 125,
        },
    ];
    let variants = [
        PolicyVariant {
            name: "first-fit",
            make: |_| Box::new(FitPlacer::new(false)),
        },
        PolicyVariant {
            name: "best-fit",
            make: |_| Box::new(FitPlacer::new(true)),
        },
        PolicyVariant {
            name: "without-interference",
            make: |seed| {
                let settings = PlacementSettings::default();
                let interference = false;
                new_core(
                    PlacementSettings {
                        interference,
                        ..settings
                    },
                    seed,
                )
            },
        },
        PolicyVariant {
            name: "throughput",
            make: |seed| new_core(PlacementSettings::favouring_throughput(), seed),
        },
        PolicyVariant {
            name: "default",
            make: |seed| new_core(PlacementSettings::default(), seed),
        },
        PolicyVariant {
            name: "latency",
            make: |seed| new_core(PlacementSettings::favouring_latency(), seed),
        },
    ];
    for cell in &cells {
        for variant in &variants {
            print_results(cell, variant)?;
        }
    }
    Ok(())
}
