//! What instances send and keep while several builds serve.

use std::collections::HashMap;
use std::time::Duration;

use ploverwick_endpoints::Origins;
use ploverwick_endpoints::origins::{self, Attempt};
use ploverwick_names::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{FLEETS, LIFETIME, Message, OriginRecord, WAYS, Way, build, names, rank};

/// Prints the costs of each way in each fleet.
pub(super) fn print(batch_delay: Duration) {
    println!("origins sent while two builds serve, each instance, and what is kept");
    println!(
        "| instances | way | messages a second | bytes a second | records kept | their memory, KiB |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let record_bytes = record_bytes();
    for (instances, rate) in FLEETS {
        for (way, label) in WAYS {
            print_costs(instances, rate, way, label, batch_delay, record_bytes);
        }
    }
    println!("one record takes {record_bytes:.0} bytes of resident memory");
}

/// Prints what one instance sends while it begins its share of the fleet's streams, for 20 s.
fn print_costs(
    instances: usize,
    rate: f64,
    way: Way,
    label: &str,
    batch_delay: Duration,
    record_bytes: f64,
) {
    const SECONDS: u32 = 20;
    let names = names(instances);
    let mut random = SmallRng::seed_from_u64(1);
    let own_rate = rate / instances as f64;
    let count = (own_rate * f64::from(SECONDS)).round() as usize;
    let mut begins: Vec<u64> = (0..count)
        .map(|_| random.random_range(0..u64::from(SECONDS) * 1_000))
        .collect();
    begins.sort_unstable();
    let (mut batches, mut batch_end, mut records) = (0_usize, Moment(0), 0_usize);
    let mut outbox: HashMap<(u64, usize), Vec<OriginRecord>> = HashMap::new();
    for (number, at) in begins.into_iter().enumerate() {
        if Moment(at) >= batch_end {
            batch_end = Moment(at) + batch_delay;
        }
        let attempt = Attempt::of(&format!("{number:032x}"));
        let to: Vec<usize> = match way {
            Way::OwnOnly | Way::AskAll => Vec::new(),
            Way::Holders(count) => rank(attempt, &names).into_iter().take(count).collect(),
            Way::AllHold => (0..instances).collect(),
        };
        for to in to.into_iter().filter(|to| *to != 0) {
            records += 1;
            let record = OriginRecord(attempt, build(true), LIFETIME.as_millis() as u32);
            outbox.entry((batch_end.0, to)).or_default().push(record);
        }
    }
    let mut bytes = 0;
    for records in outbox.into_values() {
        batches += 1;
        bytes += Message::Origins(records).wire_bytes();
    }
    let per_second = |n: usize| n as f64 / f64::from(SECONDS);
    let kept = (per_second(records) + own_rate) * LIFETIME.as_secs_f64();
    println!(
        "| {instances} | {label} | {:.1} | {:.0} | {kept:.0} | {:.0} |",
        per_second(batches),
        per_second(bytes),
        kept * record_bytes / 1024.0
    );
}

/// Returns the growth of resident memory for each record, with as many as an instance keeps at most.
fn record_bytes() -> f64 {
    const COPIES: usize = 100;
    let before = resident_bytes();
    let filled: Vec<Origins> = (0..COPIES)
        .map(|copy| {
            let mut origins = Origins::default();
            for number in 0..origins::MAX_ORIGINS as u64 {
                let attempt = Attempt::of(&format!("{copy}-{number}"));
                origins.insert(attempt, build(true), Moment(20_000 + number), Moment(0));
            }
            origins
        })
        .collect();
    let records: usize = filled.iter().map(Origins::len).sum();
    (resident_bytes() - before) / records as f64
}

fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("statm is readable");
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<f64>().ok());
    pages.expect("statm holds the resident pages") * rustix::param::page_size() as f64
}
