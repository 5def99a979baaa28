//! How many endpoints a fatal part of prompts crashes, and how many sound requests are refused with it.
//!
//! Simulates fleets without a network, on the types that the gateway uses, and compares ways to blame a part.

mod fleet;
mod tracker;
mod workload;

use fleet::{Fleet, Outcome};
use tracker::Way;
use workload::{SCENARIOS, Scenario, WHOLE_REQUESTS};

/// The sizes of fleets: instances, endpoints, and requests a second of the whole fleet.
const SIZES: [Size; 3] = [
    Size::new(6, 18, 190.0),
    Size::new(74, 74, 500.0),
    Size::new(330, 870, 2_900.0),
];

const WAYS: [(Way, &str); 6] = [
    (Way::WholeRequests, "whole requests only"),
    (Way::Crashes, "3 crashes"),
    (Way::Rounds(2), "2 rounds"),
    (Way::Rounds(3), "3 rounds"),
    (Way::Explained, "3 rounds, explained"),
    (Way::Cancelled, "the same, and cancelled"),
];

const REQUEST_WAYS: [(Way, &str); 4] = [
    (Way::Crashes, "3 crashes"),
    (Way::CrashesInRounds, "3 crashes in 2 rounds"),
    (Way::Rounds(2), "2 rounds"),
    (Way::Rounds(3), "3 rounds"),
];

/// The size of a fleet.
#[derive(Debug, Clone, Copy)]
struct Size {
    instances: usize,
    endpoints: usize,
    requests_per_s: f64,
}

impl Size {
    const fn new(instances: usize, endpoints: usize, requests_per_s: f64) -> Self {
        Self {
            instances,
            endpoints,
            requests_per_s,
        }
    }
}

/// Compares ways to blame a part of prompts; `seeds` is the number of simulations in each cell.
pub(crate) fn run(seeds: u64) {
    print_tables(&SCENARIOS, &WAYS, seeds);
}

/// Compares ways to blame a whole request.
pub(crate) fn run_requests(seeds: u64) {
    print_tables(&WHOLE_REQUESTS, &REQUEST_WAYS, seeds);
}

/// Prints a table for each size of fleet.
fn print_tables(scenarios: &[Scenario], ways: &[(Way, &str)], seeds: u64) {
    for size in SIZES {
        println!(
            "{} instances, {} endpoints, {} requests a second, {seeds} seeds",
            size.instances, size.endpoints, size.requests_per_s
        );
        println!(
            "| scenario | way | endpoints ended: mean, most | fatal requests sent late: mean, most | sound refused of 10^6 | refused of those with the same first part, in % |"
        );
        println!("| --- | --- | --- | --- | --- | --- |");
        for scenario in scenarios {
            for (way, label) in ways {
                print_row(size, *scenario, *way, label, seeds);
            }
        }
    }
}

fn print_row(size: Size, scenario: Scenario, way: Way, label: &str, seeds: u64) {
    let outcomes: Vec<Outcome> = (0..seeds)
        .map(|seed| Fleet::new(size, scenario, way, seed).run())
        .collect();
    let sum = |value: fn(&Outcome) -> usize| outcomes.iter().map(value).sum::<usize>();
    let most = |value: fn(&Outcome) -> usize| outcomes.iter().map(value).max().unwrap_or(0);
    let mean = |value| sum(value) as f64 / seeds as f64;
    let share = |part: usize, of: usize| part as f64 / of.max(1) as f64;
    println!(
        "| {} | {label} | {:.1}, {} | {:.1}, {} | {:.0} | {:.1} |",
        scenario.name,
        mean(|outcome| outcome.ended),
        most(|outcome| outcome.ended),
        mean(|outcome| outcome.late),
        most(|outcome| outcome.late),
        1e6 * share(sum(|o| o.refused), sum(|o| o.sound)),
        100.0 * share(sum(|o| o.neighbours_refused), sum(|o| o.neighbours)),
    );
}
