//! The cost of single decisions, without any input or output.

use std::fmt::Write;
use std::hint::black_box;
use std::time::{Duration, Instant};

use anyhow::Result;
use ploverwick_claims::Key;
use ploverwick_claims::partition::{Partition, Record as Claim};
use ploverwick_names::{
    Adapter, Caller, Incarnation, Instance, Life, Moment, Offset, Request, Variant, Version,
};
use ploverwick_owner::endpoint::{Config, Job, Report, ReportedSlot, Rights, Scheduler};
use ploverwick_placement::{Candidate, rank};
use ploverwick_table::history::{History, Patch, Record};
use ploverwick_table::patch::{Cell, Change, Edit};
use ploverwick_table::{Column, Subject, Table, parse, patch};

use super::Slope;
use crate::system;

const ROWS: [usize; 4] = [2_000, 5_000, 10_000, 15_000];
const ENDPOINTS: [usize; 4] = [87, 290, 580, 870];
const KEYS: [usize; 4] = [20_000, 60_000, 120_000, 174_000];
const QUEUES: [usize; 4] = [32, 64, 128, 256];
const REPEATS: u32 = 200;

/// Measures every decision at four sizes.
///
/// # Errors
/// Fails if a made-up table has a finding.
pub(crate) fn measure() -> Result<Vec<Slope>> {
    let mut patches = Vec::new();
    let mut snapshots = Vec::new();
    for rows in ROWS {
        let (micros, bytes) = table(rows)?;
        patches.push((rows as f64, micros));
        snapshots.push((rows as f64, bytes / 1024.0));
    }
    let ranked = ENDPOINTS.map(|count| (count as f64, ranking(count)));
    let (memory, folding): (Vec<_>, Vec<_>) = KEYS
        .iter()
        .map(|keys| {
            let (bytes, nanos) = claims(*keys);
            ((*keys as f64, bytes), (*keys as f64, nanos))
        })
        .unzip();
    let steps = QUEUES.map(|queue| (queue as f64, step(queue)));
    Ok(vec![
        slope(
            "table-patch",
            "table reader: a patch applied, µs",
            "rows",
            patches,
            15_000.0,
        ),
        slope(
            "table-snapshot",
            "table reader: a snapshot, KiB",
            "rows",
            snapshots,
            15_000.0,
        ),
        slope(
            "placement",
            "entry: endpoints ranked, µs",
            "endpoints",
            ranked.to_vec(),
            870.0,
        ),
        slope(
            "claims-memory",
            "scribe: keys held, MiB",
            "keys",
            memory,
            174_000.0,
        ),
        slope(
            "claims-fold",
            "scribe: a claim folded, µs",
            "keys",
            folding,
            174_000.0,
        ),
        slope(
            "owner-step",
            "owner: a step with waiting requests, µs",
            "waiting",
            steps.to_vec(),
            256.0,
        ),
    ])
}

fn slope(
    name: &'static str,
    what: &'static str,
    size: &'static str,
    points: Vec<(f64, f64)>,
    target: f64,
) -> Slope {
    Slope {
        name,
        what,
        size,
        points,
        target,
    }
}

fn micros(span: Duration, count: u32) -> f64 {
    span.as_secs_f64() * 1e6 / f64::from(count)
}

/// Returns the time of a patch in µs and the size of a snapshot in bytes.
fn table(rows: usize) -> Result<(f64, f64)> {
    let mut csv = String::from("name,version,weight,priority\n*,,1,4\n");
    for index in 0..rows {
        let _ = writeln!(csv, "adapter-{index:05},v1,1,5");
    }
    let table = parse::parse(&csv).map_err(|findings| anyhow::anyhow!("{findings:?}"))?;
    let mut history = History::default();
    let first = Patch {
        id: "first".to_owned(),
        author: "bench".to_owned(),
        base: Offset(0),
        edits: patch::diff(&Table::default(), &table),
    };
    history.apply(Offset(1), &Record::Patch(first));
    let started = Instant::now();
    for turn in 0..REPEATS {
        let offset = Offset(u64::from(turn) + 2);
        let edit = Edit {
            subject: Subject::Adapter(Adapter::new(&format!("adapter-{turn:05}"))?),
            change: Change::Set(vec![Cell {
                column: "weight"
                    .parse::<Column>()
                    .map_err(|rule| anyhow::anyhow!(rule.id()))?,
                text: Some("2".to_owned()),
            }]),
        };
        let record = Record::Patch(Patch {
            id: turn.to_string(),
            author: "bench".to_owned(),
            base: Offset(offset.0 - 1),
            edits: vec![edit],
        });
        black_box(history.apply(offset, &record));
    }
    let time = micros(started.elapsed(), REPEATS);
    let snapshot = serde_json::to_vec(&history.snapshot())?;
    Ok((time, snapshot.len() as f64))
}

fn ranking(count: usize) -> f64 {
    let names: Vec<String> = (0..count)
        .map(|index| format!("endpoint-{index}"))
        .collect();
    let candidates: Vec<Candidate<'_>> = names
        .iter()
        .map(|name| Candidate { name, weight: 1.0 })
        .collect();
    let started = Instant::now();
    for turn in 0..REPEATS {
        black_box(rank(
            &format!("adapter-{turn}@v1"),
            &candidates,
            candidates.len(),
        ));
    }
    micros(started.elapsed(), REPEATS)
}

/// Returns the memory of held keys in MiB and the time of a claim in µs.
fn claims(keys: usize) -> (f64, f64) {
    let before = system::resident().unwrap_or_default();
    let caller = Caller::new("caller").expect("the constant is a name");
    let life = Life {
        instance: Instance::new("entry-1").expect("the constant is a name"),
        incarnation: Incarnation(1),
    };
    let records: Vec<Claim> = (0..keys)
        .map(|index| Claim {
            key: Key::digest(&caller, &index.to_string()),
            request: Request::new(&format!("entry-1-1796220000000-{index}")).expect("it is a name"),
            life: life.clone(),
            forfeit: false,
        })
        .collect();
    let mut partition = Partition::new();
    let started = Instant::now();
    for (index, record) in records.into_iter().enumerate() {
        partition.apply(Offset(index as u64 + 1), 1, &record);
    }
    let time = started.elapsed().as_secs_f64() * 1e6 / keys as f64;
    let grown = system::resident()
        .unwrap_or_default()
        .saturating_sub(before);
    black_box(partition.len());
    (grown as f64 / f64::from(1 << 20), time)
}

/// Returns the time of a step, in µs, in which nothing can be done for many waiting requests.
fn step(queue: usize) -> f64 {
    let variant = |index: usize| Variant {
        adapter: Adapter::new(&format!("adapter-{index}")).expect("the text is a name"),
        version: Version::new("v1").expect("the constant is a name"),
    };
    let pause = Duration::from_secs(1);
    let mut machine = Scheduler::new(Config {
        queue_capacity: queue,
        report_lag: pause,
        order_lag: pause,
        drain_after: pause,
        retry_after: pause,
        load_backoff: pause,
    });
    let used = (0..8).map(|index| ReportedSlot {
        variant: variant(1000 + index),
        ready: true,
        running: 1,
    });
    let report = Report {
        incarnation: Incarnation(1),
        slots: 8,
        batch: 64,
        used: used.collect(),
    };
    machine.report(&report, true, Moment(0));
    for index in 0..queue {
        machine.submit(Job {
            request: Request::new(&format!("r{index}")).expect("the text is a name"),
            variant: variant(index % 64),
            priority: 5,
            weight: 1.0,
            deadline: Moment(1_000_000),
            arrived: Moment(0),
        });
    }
    let rights = Rights {
        send: true,
        unload: true,
        ..Rights::default()
    };
    let started = Instant::now();
    for turn in 0..REPEATS {
        black_box(machine.step(&rights, Moment(u64::from(turn))));
    }
    micros(started.elapsed(), REPEATS)
}
