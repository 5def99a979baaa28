//! Explores randomly generated histories and reports those that violate an invariant.

use std::process::ExitCode;

use indicatif::ProgressBar;
use ploverwick_scenario::explore::{self, Exploration};
use ploverwick_scenario::{claims, owners, table};

mod flags {
    #![allow(missing_docs, clippy::pedantic)]

    xflags::xflags! {
        /// Explores randomly generated histories; exits with 1 if one violates an invariant.
        cmd ploverwick-explore {
            /// The number of histories of each kind; 10000 by default.
            optional --histories number: u64
            /// The number of steps per history; 200 by default.
            optional --steps number: u64
            /// The seed of the first history; 1 by default.
            optional --seed number: u64
        }
    }
}

/// A kind of history: its name and the function that explores one from a seed and a step count.
type Kind = (&'static str, fn(u64, u64) -> Exploration);

const KINDS: [Kind; 3] = [
    ("owners", |seed, steps| {
        explore::owners(seed, steps, owners::Disabled::Nothing)
    }),
    ("claims", |seed, steps| {
        explore::claims(seed, steps, claims::Disabled::Nothing)
    }),
    ("table", |seed, steps| {
        explore::table(seed, steps, table::Disabled::Nothing)
    }),
];

fn main() -> ExitCode {
    let flags = match flags::PloverwickExplore::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let histories = flags.histories.unwrap_or(10_000);
    let steps = flags.steps.unwrap_or(200);
    let first = flags.seed.unwrap_or(1);
    let mut broken = 0;
    for (name, explore) in KINDS {
        let progress = ProgressBar::new(histories);
        let mut total = Exploration::default();
        for seed in first..first + histories {
            let exploration = explore(seed, steps);
            total.steps += exploration.steps;
            total.faults += exploration.faults;
            if !exploration.violations.is_empty() {
                broken += 1;
                progress.suspend(|| report(name, seed, &exploration));
            }
            progress.inc(1);
        }
        progress.finish_and_clear();
        println!(
            "{name}: {histories} histories, {} steps, {} faults",
            total.steps, total.faults
        );
    }
    println!("broken promises: {broken}");
    ExitCode::from(u8::from(broken > 0))
}

fn report(name: &str, seed: u64, exploration: &Exploration) {
    println!("{name}, seed {seed}:");
    for event in &exploration.events {
        println!("  {event}");
    }
}
