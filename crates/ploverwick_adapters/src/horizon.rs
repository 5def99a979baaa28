//! What reads of a topic prove about the age of the records that they bring.
//!
//! A record is as old as its acknowledgement and not as the read that brought it. Three things part the
//! two: the process started later, the topic could not be read for a while (a failure, or a connection
//! that fell silent), or the process itself was held up.

use std::time::Duration;

use ploverwick_names::Moment;

use crate::Since;

/// A read that returns within this time may have found its records there: it takes up to 1 s to connect
/// for it, and some ms to answer. One that took longer was waiting when they came.
const AT_ONCE: Duration = Duration::from_millis(1_200);
/// Until when one process has seen the end of a topic that it follows.
#[derive(Debug, Default)]
pub struct Horizon {
    /// Whatever was not read by then was acknowledged later.
    seen: Option<Moment>,
    /// When the read that is under way was asked for.
    asked: Moment,
    /// The read before it came back.
    is_steady: bool,
    /// When the process last said that it runs.
    ran: Moment,
    /// When it said so before that. What had come by then would have been taken in: a process that was
    /// held up since may look at the clock once before it takes in what came meanwhile, but not twice.
    ran_before: Moment,
    /// Since when the last record of the last read may be there.
    last: Option<Moment>,
}

impl Horizon {
    /// Takes in that the process runs. Twice the time between two such calls is what a record may count
    /// as older than it is.
    pub fn run(&mut self, now: Moment) {
        self.ran_before = self.ran;
        self.ran = now;
    }

    /// Takes in that a read is asked for.
    pub fn ask(&mut self, now: Moment) {
        self.asked = now;
    }

    /// Takes in that a read failed, or was given up.
    pub fn fail(&mut self) {
        self.is_steady = false;
    }

    /// Takes in that a read brought the whole topic, and returns since when what was unknown is there.
    pub fn whole(&mut self) -> Since {
        self.last = self.seen;
        self.see(self.asked);
        self.last()
    }

    /// Takes in that a read went on from the last one, and returns since when what it brought is there.
    pub fn next(&mut self, now: Moment) -> Since {
        let has_waited = self.is_steady && now.since(self.asked) > AT_ONCE;
        if has_waited {
            self.see(self.ran_before);
            self.last = self.seen;
        } else {
            self.last = self.seen;
            self.see(self.asked);
        }
        self.last()
    }

    /// Returns since when the last record of the last read may be there.
    pub fn last(&self) -> Since {
        self.last.map_or(Since::LongAgo, Since::NotBefore)
    }

    /// Takes in a record that another process read, which was there for `age` at most when that process
    /// told of it, as were all after it; returns since when it may be there.
    ///
    /// What it told can have been under way since this process last ran for certain.
    pub fn told(&mut self, age: Option<Duration>) -> Since {
        // What was there before this process began cannot be told from what was there for long.
        let known = age.filter(|age| *age < self.ran_before.since(Moment(0)));
        if let Some(age) = known {
            self.seen = self.seen.max(Some(self.ran_before - age));
        }
        self.unseen()
    }

    /// Returns since when a record that was not read yet may be there.
    pub fn unseen(&self) -> Since {
        self.seen.map_or(Since::LongAgo, Since::NotBefore)
    }

    fn see(&mut self, moment: Moment) {
        self.seen = self.seen.max(Some(moment));
        self.is_steady = true;
    }
}
