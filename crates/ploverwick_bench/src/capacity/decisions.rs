//! The CPU and memory cost of single decisions, without I/O.

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

use super::Series;
use crate::system;

const TABLE_ROWS: [usize; 4] = [2_000, 5_000, 10_000, 15_000];
const ENDPOINT_COUNTS: [usize; 4] = [87, 290, 580, 870];
const KEY_COUNTS: [usize; 4] = [20_000, 60_000, 120_000, 174_000];
const QUEUE_LENGTHS: [usize; 4] = [32, 64, 128, 256];
const REPETITIONS: u32 = 200;

/// Measures each decision at four sizes.
///
/// # Errors
/// Fails if a generated table is invalid.
pub(crate) fn measure() -> Result<Vec<Series>> {
    let mut patches = Vec::new();
    let mut snapshots = Vec::new();
    for rows in TABLE_ROWS {
        let (patch_micros, snapshot_bytes) = measure_table(rows)?;
        patches.push((rows as f64, patch_micros));
        snapshots.push((rows as f64, snapshot_bytes / 1024.0));
    }
    let ranked = ENDPOINT_COUNTS.map(|count| (count as f64, measure_ranking(count)));
    let (memory, folding): (Vec<_>, Vec<_>) = KEY_COUNTS
        .iter()
        .map(|keys| {
            let (mib, micros) = measure_claims(*keys);
            ((*keys as f64, mib), (*keys as f64, micros))
        })
        .unzip();
    let steps = QUEUE_LENGTHS.map(|queue| (queue as f64, measure_step(queue)));
    Ok(vec![
        series(
            "table-patch",
            "table reader: a patch applied, µs",
            "rows",
            patches,
            15_000.0,
        ),
        series(
            "table-snapshot",
            "table reader: a snapshot, KiB",
            "rows",
            snapshots,
            15_000.0,
        ),
        series(
            "placement",
            "entry: endpoints ranked, µs",
            "endpoints",
            ranked.to_vec(),
            870.0,
        ),
        series(
            "claims-memory",
            "scribe: keys held, MiB",
            "keys",
            memory,
            174_000.0,
        ),
        series(
            "claims-fold",
            "scribe: a claim folded, µs",
            "keys",
            folding,
            174_000.0,
        ),
        series(
            "owner-step",
            "owner: a step with waiting requests, µs",
            "waiting",
            steps.to_vec(),
            256.0,
        ),
    ])
}

fn series(
    name: &'static str,
    title: &'static str,
    x_label: &'static str,
    points: Vec<(f64, f64)>,
    target: f64,
) -> Series {
    Series {
        name,
        title,
        x_label,
        points,
        target,
    }
}

fn mean_micros(elapsed: Duration, count: u32) -> f64 {
    elapsed.as_secs_f64() * 1e6 / f64::from(count)
}

/// Returns the time to apply a patch in µs and the size of a snapshot in bytes.
fn measure_table(rows: usize) -> Result<(f64, f64)> {
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
    for repetition in 0..REPETITIONS {
        let offset = Offset(u64::from(repetition) + 2);
        let edit = Edit {
            subject: Subject::Adapter(Adapter::new(&format!("adapter-{repetition:05}"))?),
            change: Change::Set(vec![Cell {
                column: "weight"
                    .parse::<Column>()
                    .map_err(|rule| anyhow::anyhow!(rule.id()))?,
                text: Some("2".to_owned()),
            }]),
        };
        let record = Record::Patch(Patch {
            id: repetition.to_string(),
            author: "bench".to_owned(),
            base: Offset(offset.0 - 1),
            edits: vec![edit],
        });
        black_box(history.apply(offset, &record));
    }
    let time = mean_micros(started.elapsed(), REPETITIONS);
    let snapshot = serde_json::to_vec(&history.snapshot())?;
    Ok((time, snapshot.len() as f64))
}

fn measure_ranking(count: usize) -> f64 {
    let names: Vec<String> = (0..count)
        .map(|index| format!("endpoint-{index}"))
        .collect();
    let candidates: Vec<Candidate<'_>> = names
        .iter()
        .map(|name| Candidate { name, weight: 1.0 })
        .collect();
    let started = Instant::now();
    for repetition in 0..REPETITIONS {
        black_box(rank(
            &format!("adapter-{repetition}@v1"),
            &candidates,
            candidates.len(),
        ));
    }
    mean_micros(started.elapsed(), REPETITIONS)
}

/// Returns the memory used by the held keys in MiB and the time to apply a claim in µs.
fn measure_claims(keys: usize) -> (f64, f64) {
    let memory_before = system::resident_bytes().unwrap_or_default();
    let caller = Caller::new("caller").expect("invalid name");
    let life = Life {
        instance: Instance::new("entry-1").expect("invalid name"),
        incarnation: Incarnation(1),
    };
    let records: Vec<Claim> = (0..keys)
        .map(|index| Claim {
            key: Key::digest(&caller, &index.to_string()),
            request: Request::new(&format!("entry-1-1796220000000-{index}")).expect("invalid name"),
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
    let memory_growth = system::resident_bytes()
        .unwrap_or_default()
        .saturating_sub(memory_before);
    black_box(partition.len());
    (memory_growth as f64 / f64::from(1 << 20), time)
}

/// Returns the time in µs of a scheduler step that can make no progress on any waiting request.
fn measure_step(queue: usize) -> f64 {
    let variant = |index: usize| Variant {
        adapter: Adapter::new(&format!("adapter-{index}")).expect("invalid name"),
        version: Version::new("v1").expect("invalid name"),
    };
    let interval = Duration::from_secs(1);
    let mut scheduler = Scheduler::new(Config {
        queue_capacity: queue,
        report_lag: interval,
        order_lag: interval,
        drain_after: interval,
        retry_after: interval,
        load_backoff: interval,
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
    scheduler.report(&report, true, Moment(0));
    for index in 0..queue {
        scheduler.submit(Job {
            request: Request::new(&format!("r{index}")).expect("invalid name"),
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
    for repetition in 0..REPETITIONS {
        black_box(scheduler.step(&rights, Moment(u64::from(repetition))));
    }
    mean_micros(started.elapsed(), REPETITIONS)
}
