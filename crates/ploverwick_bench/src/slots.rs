//! How many requests brittle endpoints turn away, and how much of their slots is used.
//!
//! Simulates fleets without a network and compares ways to keep the sum over all instances within the slots of an endpoint.

mod fleet;

use fleet::{Fleet, Outcome};

/// The ways to decide whether an instance may send a request to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// If the last known loads leave a free slot. After a refusal, no instance sends for a while.
    KnownLoads,
    /// If one of its own slots is free.
    Shares,
    /// The same, or if another instance lends one.
    Loans,
    /// If the instance that counts all requests to the endpoint grants it, which is asked for each request.
    Questions,
    /// One sender knows all requests.
    SingleSender,
}

const WAYS: [(Way, &str); 5] = [
    (Way::KnownLoads, "known loads, pauses"),
    (Way::Shares, "shares"),
    (Way::Loans, "shares and loans"),
    (Way::Questions, "a question for each request"),
    (Way::SingleSender, "one perfect sender"),
];

/// The size of a fleet, whose endpoints have four slots each.
#[derive(Debug, Clone, Copy)]
struct Size {
    instances: usize,
    endpoints: usize,
}

const SIZES: [Size; 4] = [
    Size {
        instances: 6,
        endpoints: 8,
    },
    Size {
        instances: 74,
        endpoints: 30,
    },
    Size {
        instances: 330,
        endpoints: 20,
    },
    Size {
        instances: 330,
        endpoints: 200,
    },
];

/// What happens to a fleet.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// The requests that arrive, as a ratio of those that the slots can serve.
    load: f64,
    /// How long a request runs, in milliseconds.
    run_ms: u64,
    /// Whether half of the requests arrive at a tenth of the instances.
    is_skewed: bool,
    /// Whether a third of the instances is killed and starts again.
    has_kills: bool,
}

const LIGHT: Scenario = Scenario {
    name: "light",
    load: 0.35,
    run_ms: 150,
    is_skewed: false,
    has_kills: false,
};

const SCENARIOS: [Scenario; 6] = [
    LIGHT,
    Scenario {
        name: "light, uneven",
        is_skewed: true,
        ..LIGHT
    },
    Scenario {
        name: "light, a third killed",
        has_kills: true,
        ..LIGHT
    },
    Scenario {
        name: "heavy",
        load: 1.5,
        ..LIGHT
    },
    Scenario {
        name: "heavy, 30 ms",
        load: 1.5,
        run_ms: 30,
        ..LIGHT
    },
    Scenario {
        name: "heavy, a third killed",
        load: 1.5,
        has_kills: true,
        ..LIGHT
    },
];

/// Prints a table for each size of fleet; `seeds` is the number of simulations in each cell.
pub(crate) fn run(seeds: u64) {
    for size in SIZES {
        println!(
            "{} instances, {} endpoints of 4 slots, {seeds} seeds",
            size.instances, size.endpoints
        );
        println!(
            "| load | way | refusals in the worst second | refusals a second of all endpoints | served of 1,000 | slots used | messages a second and instance |"
        );
        println!("| --- | --- | --- | --- | --- | --- | --- |");
        for scenario in SCENARIOS {
            for (way, label) in WAYS {
                let outcomes = (0..seeds).map(|seed| Fleet::new(size, scenario, way, seed).run());
                print_row(size, scenario.name, label, &outcomes.collect::<Vec<_>>());
            }
        }
        println!();
    }
}

fn print_row(size: Size, scenario: &str, way: &str, outcomes: &[Outcome]) {
    let sum = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>();
    let mean = |value| sum(value) / outcomes.len() as f64;
    let worst = outcomes.iter().map(|outcome| outcome.worst_second).max();
    println!(
        "| {scenario} | {way} | {} | {:.1} | {:.0} | {:.2} | {:.1} |",
        worst.unwrap_or(0),
        mean(|outcome| outcome.refusals as f64) / fleet::MEASURED_S,
        1_000.0 * sum(|outcome| outcome.served as f64) / sum(|outcome| outcome.arrived as f64),
        mean(|outcome| outcome.slot_use),
        mean(|outcome| outcome.messages as f64) / fleet::MEASURED_S / size.instances as f64,
    );
}
