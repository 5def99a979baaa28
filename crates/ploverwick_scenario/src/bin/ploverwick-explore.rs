//! Explores many generated histories and reports how many broke a promise.

use std::process::ExitCode;

use indicatif::ProgressBar;
use ploverwick_scenario::explore::{self, Explored};
use ploverwick_scenario::{claims, owners, table};

mod flags {
    #![allow(missing_docs, clippy::pedantic)]

    xflags::xflags! {
        /// Explores generated histories; exits with 1 if one breaks a promise.
        cmd ploverwick-explore {
            /// How many histories of each kind; 10000 by default.
            optional --histories number: u64
            /// The steps of a history; 200 by default.
            optional --steps number: u64
            /// The first seed; 1 by default.
            optional --seed number: u64
        }
    }
}

/// A kind of history: its name, and how one is explored.
type Kind = (&'static str, fn(u64, u64) -> Explored);

const KINDS: [Kind; 3] = [
    ("owners", |seed, steps| {
        explore::owners(seed, steps, owners::Off::Nothing)
    }),
    ("claims", |seed, steps| {
        explore::claims(seed, steps, claims::Off::Nothing)
    }),
    ("table", |seed, steps| {
        explore::table(seed, steps, table::Off::Nothing)
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
        let mut total = Explored::default();
        for seed in first..first + histories {
            let explored = explore(seed, steps);
            total.steps += explored.steps;
            total.faults += explored.faults;
            if !explored.violations.is_empty() {
                broken += 1;
                progress.suspend(|| report(name, seed, &explored));
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

fn report(name: &str, seed: u64, explored: &Explored) {
    println!("{name}, seed {seed}:");
    for event in &explored.events {
        println!("  {event}");
    }
}
