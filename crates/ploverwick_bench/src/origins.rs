//! How often an instance finds the build that began a stream which a client takes up again, and what it costs.
//!
//! Simulates fleets without a network, on the types that the gateway uses, and compares ways to keep origins.

mod costs;
mod scenario;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::Build;
use ploverwick_endpoints::lookup::Reply;
use ploverwick_endpoints::origins::{self, Attempt, Candidate};
use serde::Serialize;

use scenario::{Loss, Phase, Scenario, Tally};

const SERVICE: &str = "chat-large";
const DOMAIN_COUNT: usize = 3;
/// The sizes of fleets, each with the requests a second of the whole fleet.
const FLEETS: [(usize, f64); 3] = [(6, 300.0), (74, 1_000.0), (330, 2_900.0)];
const MESSAGE_LOSSES: [f64; 3] = [0.0, 0.05, 0.2];
/// How long a client may take a stream up: its time limit and the margin of the gateway.
const LIFETIME: Duration = Duration::from_secs(21);
const UDP_IP_HEADER_BYTES: usize = 28;

/// A way to find origins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    OwnOnly,
    AskAll,
    Holders(usize),
    AllHold,
}

const WAYS: [(Way, &str); 6] = [
    (Way::OwnOnly, "own memory"),
    (Way::AskAll, "ask all"),
    (Way::Holders(1), "1 holder"),
    (Way::Holders(2), "2 holders"),
    (Way::Holders(origins::MAX_HOLDERS), "4 holders"),
    (Way::AllHold, "all hold"),
];

const PHASES: [(Phase, &str); 4] = [
    (Phase::TwoBuilds, "two builds"),
    (Phase::Beginning, "second build just listed"),
    (
        Phase::Settled,
        "second build just listed, and avoided until it has settled",
    ),
    (Phase::OneBuild, "one build"),
];

const LOSSES: [Loss; 6] = [
    Loss::None,
    Loss::Origin,
    Loss::Third,
    Loss::Domain,
    Loss::NineTenths,
    Loss::All,
];

#[derive(Debug, Serialize)]
struct OriginRecord(Attempt, Build, u32);

/// The messages of the gateway; kinds of message before these take one byte too.
#[derive(Debug, Serialize)]
enum Message {
    Origins(Vec<OriginRecord>),
    Query(u64, Arc<str>, Option<Attempt>),
    Reply(u64, Reply),
}

impl Message {
    fn wire_bytes(&self) -> usize {
        let bytes = postcard::to_stdvec(self).expect("messages can be encoded");
        bytes.len() + UDP_IP_HEADER_BYTES
    }
}

fn build(is_new: bool) -> Build {
    Build::of(if is_new { "v2" } else { "v1" })
}

fn names(count: usize) -> Vec<(String, String)> {
    let name = |n| (format!("gw-{n}"), format!("d{}", n % DOMAIN_COUNT));
    (0..count).map(name).collect()
}

fn rank(attempt: Attempt, names: &[(String, String)]) -> Vec<usize> {
    let candidates = names
        .iter()
        .map(|(name, domain)| Candidate { name, domain });
    let holders = origins::holders(attempt, candidates).into_iter();
    let number = |holder: &str| names.iter().position(|(name, _)| name == holder);
    holders.filter_map(number).collect()
}

/// Prints the tables; `count` is the number of streams in each cell, and `batch_delay` how long origins are collected into
/// one message.
pub(crate) fn run(count: u64, batch_delay: Duration) {
    for (phase, label) in PHASES {
        println!(
            "{label}: share known, of {count} streams a cell; then wrongly continued of all in the row, and a lookup's cost"
        );
        println!(
            "| instances | messages lost | way | none lost | origin's instance | a third | its domain | nine tenths | all | wrong | messages a lookup | bytes a lookup |"
        );
        println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (instances, _) in FLEETS {
            for message_loss in MESSAGE_LOSSES {
                print_rows(instances, message_loss, phase, count, batch_delay);
            }
        }
    }
    costs::print(batch_delay);
}

fn print_rows(
    instances: usize,
    message_loss: f64,
    phase: Phase,
    count: u64,
    batch_delay: Duration,
) {
    let names = names(instances);
    let mut tallies: HashMap<(usize, usize), Tally> = HashMap::new();
    for (column, loss) in LOSSES.into_iter().enumerate() {
        for seed in 0..count {
            let scenario = Scenario::new(seed, &names, phase, loss, batch_delay);
            for (row, (way, _)) in WAYS.into_iter().enumerate() {
                scenario.run(way, message_loss, tallies.entry((row, column)).or_default());
            }
        }
    }
    for (row, (_, label)) in WAYS.into_iter().enumerate() {
        let cells: Vec<&Tally> = (0..LOSSES.len())
            .map(|column| &tallies[&(row, column)])
            .collect();
        let share = |tally: &&Tally| format!("{:.1}", 100.0 * tally.known as f64 / count as f64);
        let shares: Vec<String> = cells.iter().map(share).collect();
        let wrong: usize = cells.iter().map(|tally| tally.wrong).sum();
        let total: usize = cells.iter().map(|t| t.known + t.refused + t.wrong).sum();
        assert_eq!(total as u64, count * LOSSES.len() as u64);
        println!(
            "| {instances} | {:.0} % | {label} | {} | {wrong} | {:.1} | {:.0} |",
            100.0 * message_loss,
            shares.join(" | "),
            cells[0].lookup_messages as f64 / count as f64,
            cells[0].lookup_bytes as f64 / count as f64,
        );
    }
}
