//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Result;

/// Writes one line an event, with the time of day in ms.
#[derive(Debug)]
pub struct Record(Mutex<File>);

impl Record {
    pub fn create(folder: &str) -> Result<Self> {
        let file = File::create(Path::new(folder).join("record.txt"))?;
        Ok(Self(Mutex::new(file)))
    }

    pub fn note(&self, line: &str) {
        let mut file = self.0.lock().expect("no holder of the lock panics");
        writeln!(file, "{} {line}", now_ms()).expect("the record can be written");
    }

    /// Adds the lines that a replica wrote itself, which begin with their time.
    pub fn append(&self, text: &str) {
        let mut file = self.0.lock().expect("no holder of the lock panics");
        file.write_all(text.as_bytes())
            .expect("the record can be written");
    }

    /// Writes a line of the result, and prints it.
    pub fn result(&self, line: &str) {
        println!("{line}");
        self.note(&format!("result {line}"));
    }
}

pub fn now_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    let time = time.expect("it is after 1970");
    u64::try_from(time.as_millis()).expect("the time fits")
}

/// A small pseudo-random generator (xorshift).
#[derive(Debug)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a number of [0, 1).
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns a whole number below `end`.
    pub fn next_below(&mut self, end: u64) -> u64 {
        (self.next() * end as f64) as u64
    }
}
