//! Load and decision benchmarks.
//!
//! Drives the real policy crate and plain policies over the same arrivals and
//! targets, and prints the measures as a table or as JSON.

mod cost;
mod measures;
mod our_groups;
mod ours;
mod plain;
mod scenarios;
mod targets;
mod world;

use crate::{
    measures::{measure, spread, MeasureSpread},
    scenarios::{Scenario, ScenarioName},
    world::{run, PolicyName},
};
use std::process::ExitCode;
use strum::IntoEnumIterator;

/// Seeds of a run unless one is named.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// Scenario, `all`, or `decision-cost`.
        required scenario: String
        /// One policy instead of all.
        optional --policy policy: PolicyName
        /// One seed instead of 1 to 5.
        optional --seed seed: u64
        /// Prints one JSON object a line.
        optional --json
    };
    if flags.scenario == "decision-cost" {
        cost::print_costs(flags.json);
        return ExitCode::SUCCESS;
    }
    let scenarios = match (flags.scenario.as_str(), flags.scenario.parse()) {
        ("all", _) => ScenarioName::iter().collect(),
        (_, Ok(name)) => vec![name],
        _ => {
            let names: Vec<String> = ScenarioName::iter().map(|name| name.to_string()).collect();
            eprintln!(
                "unknown scenario; one of: all, decision-cost, {}",
                names.join(", ")
            );
            return ExitCode::FAILURE;
        }
    };
    let policies: Vec<PolicyName> = match flags.policy {
        Some(policy) => vec![policy],
        None => PolicyName::iter().collect(),
    };
    let seeds: Vec<u64> = flags.seed.map_or(SEEDS.collect(), |seed| vec![seed]);
    for scenario in scenarios {
        compare(scenario, &policies, &seeds, flags.json);
    }
    ExitCode::SUCCESS
}

fn compare(name: ScenarioName, policies: &[PolicyName], seeds: &[u64], json: bool) {
    let results: Vec<(PolicyName, Vec<MeasureSpread>)> = policies
        .iter()
        .map(|&policy| {
            let each = seeds.iter().map(|&seed| {
                let world = run(Scenario::new(name, seed), policy, seed);
                measure(&world)
            });
            (policy, spread(&each.collect::<Vec<_>>()))
        })
        .collect();
    if json {
        print_json(name, seeds, &results);
    } else {
        print_table(name, seeds, &results);
    }
}

fn print_json(name: ScenarioName, seeds: &[u64], results: &[(PolicyName, Vec<MeasureSpread>)]) {
    for (policy, measures) in results {
        for measure in measures {
            let line = serde_json::json!({
                "scenario": name.to_string(),
                "policy": policy.to_string(),
                "seeds": seeds,
                "measure": measure.name,
                "median": measure.median,
                "lowest": measure.lowest,
                "highest": measure.highest,
            });
            println!("{line}");
        }
    }
}

fn print_table(name: ScenarioName, seeds: &[u64], results: &[(PolicyName, Vec<MeasureSpread>)]) {
    println!("\n{name}, seeds {seeds:?}: median [lowest..highest]");
    print!("{:<24}", "measure");
    for (policy, _) in results {
        print!(" | {policy:<26}");
    }
    println!();
    let rows = results.first().map_or(&[][..], |(_, measures)| measures);
    for row in rows {
        print!("{:<24}", row.name);
        for (_, measures) in results {
            let found = measures.iter().find(|m| m.name == row.name);
            let cell = found.map_or(String::new(), |m| {
                let [median, lowest, highest] = [m.median, m.lowest, m.highest].map(Short);
                format!("{median} [{lowest}..{highest}]")
            });
            print!(" | {cell:<26}");
        }
        println!();
    }
}

/// A figure with few digits.
struct Short(f64);

impl std::fmt::Display for Short {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0.abs() {
            value if value >= 100.0 => write!(f, "{:.0}", self.0),
            value if value >= 10.0 => write!(f, "{:.1}", self.0),
            _ => write!(f, "{:.3}", self.0),
        }
    }
}
