//! What was sent, answered and run, with milliseconds since the start.

use std::io::Write;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Debug, Clone)]
pub enum Happened {
    Sent {
        attempt: String,
        gateway: String,
        path: String,
    },
    Reached {
        attempt: String,
        replica: String,
        from: String,
    },
    Ran {
        attempt: String,
        replica: String,
    },
    Answered {
        attempt: String,
        status: u16,
        is_sealed: bool,
        code: String,
    },
    Failed {
        attempt: String,
        cause: String,
    },
    Note(String),
}

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u64, Happened)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap()
    }

    pub fn add(&self, happened: Happened) -> u64 {
        let mut lines = self.lines.lock().unwrap();
        let now = self.now();
        lines.push((now, happened));
        now
    }

    pub fn note(&self, text: impl Into<String>) -> u64 {
        let text = text.into();
        println!("{text}");
        self.add(Happened::Note(text))
    }

    pub fn reached(&self, attempt: &str, replica: &str, from: IpAddr) {
        let (attempt, replica, from) = (attempt.to_owned(), replica.to_owned(), from.to_string());
        self.add(Happened::Reached {
            attempt,
            replica,
            from,
        });
    }

    pub fn ran(&self, attempt: &str, replica: &str) {
        let (attempt, replica) = (attempt.to_owned(), replica.to_owned());
        self.add(Happened::Ran { attempt, replica });
    }

    pub fn lines(&self) -> Vec<(u64, Happened)> {
        self.lines.lock().unwrap().clone()
    }

    pub fn write(&self, path: &std::path::Path) -> std::io::Result<()> {
        let mut out = std::io::BufWriter::new(std::fs::File::create(path)?);
        for (at, happened) in self.lines() {
            match happened {
                Happened::Sent {
                    attempt,
                    gateway,
                    path,
                } => writeln!(out, "{at} sent {attempt} to {gateway} {path}")?,
                Happened::Reached {
                    attempt,
                    replica,
                    from,
                } => writeln!(out, "{at} reached {attempt} {replica} from {from}")?,
                Happened::Ran { attempt, replica } => {
                    writeln!(out, "{at} ran {attempt} {replica}")?
                }
                Happened::Answered {
                    attempt,
                    status,
                    is_sealed,
                    code,
                } => {
                    writeln!(
                        out,
                        "{at} answered {attempt} {status} sealed={is_sealed} code={code}"
                    )?;
                }
                Happened::Failed { attempt, cause } => {
                    writeln!(out, "{at} failed {attempt} {cause}")?
                }
                Happened::Note(text) => writeln!(out, "{at} {text}")?,
            }
        }
        out.flush()
    }
}
