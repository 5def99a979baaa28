//! Decides at which build a stream that its client takes up again began.
//!
//! Other instances are asked for its origin. If none knows it, the build is certain only if no other one served for as
//! long as a stream may last. A stream whose build is not certain is refused rather than continued at another build.

use std::collections::HashSet;
use std::net::IpAddr;
use std::time::Duration;

use ploverwick_names::Moment;
use serde::{Deserialize, Serialize};

use crate::{Build, Serving};

/// How long replies are awaited. The client's stream stands still meanwhile.
const REPLY_TIMEOUT: Duration = Duration::from_millis(120);
/// After how long the question is repeated. A lost message must not cost the client its stream, so time remains for
/// the replies.
const REPEAT_DELAY: Duration = Duration::from_millis(40);

/// An instance's reply to the question where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The stream began at this build.
    Began(Build),
    /// The instance does not know the stream, but these builds of its service.
    Unknown(Serving),
}

/// The result of a lookup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The stream began at this build, as an instance knows.
    Began(Build),
    /// The stream began at this build, as no other one served. No instance knows the stream.
    Inferred(Build),
    /// The stream may have begun at any build.
    Unknown,
}

/// The next step of a lookup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Ends the lookup.
    Decided(Verdict),
    /// Repeats the question to the instances that have not replied.
    AskAgain,
    /// Waits for replies until this moment.
    Wait(Moment),
}

/// A question to other instances where a stream began, with their replies.
#[derive(Debug, Clone)]
pub struct Lookup {
    asked: usize,
    /// When the question is repeated, unless it was.
    repeat_at: Option<Moment>,
    deadline: Moment,
    replied: HashSet<IpAddr>,
    origin: Option<Verdict>,
    /// What this instance and those that replied know together.
    serving: Serving,
}

impl Lookup {
    /// Creates a lookup that asks `asked` instances now. `own` is what this instance knows of the builds of the service.
    pub fn new(own: Serving, asked: usize, now: Moment) -> Self {
        Self {
            asked,
            repeat_at: Some(now + REPEAT_DELAY),
            deadline: now + REPLY_TIMEOUT,
            replied: HashSet::new(),
            origin: None,
            serving: own,
        }
    }

    /// Records the reply of an instance that was asked. An instance that replies again counts once.
    pub fn record_reply(&mut self, from: IpAddr, reply: Reply) {
        self.replied.insert(from);
        match reply {
            Reply::Began(build) => self.record_origin(build),
            Reply::Unknown(serving) => self.serving = self.serving.merge(serving),
        }
    }

    fn record_origin(&mut self, build: Build) {
        let reported = Verdict::Began(build);
        self.origin = match self.origin {
            Some(known) if known != reported => Some(Verdict::Unknown),
            _ => Some(reported),
        };
    }

    /// Returns what this instance and those that replied know together of the builds of the service.
    pub fn serving(&self) -> Serving {
        self.serving
    }

    /// Returns the number of instances that were asked.
    pub fn asked(&self) -> usize {
        self.asked
    }

    /// Returns the number of instances that replied.
    pub fn replies(&self) -> usize {
        self.replied.len()
    }

    /// Returns the next step. Asks again at most once.
    pub fn next_step(&mut self, now: Moment) -> Step {
        if let Some(verdict) = self.origin {
            return Step::Decided(verdict);
        }
        if self.replied.len() >= self.asked || now >= self.deadline {
            return Step::Decided(self.infer());
        }
        match self.repeat_at {
            Some(repeat_at) if now < repeat_at => Step::Wait(repeat_at),
            Some(_) => {
                self.repeat_at = None;
                Step::AskAgain
            }
            None => Step::Wait(self.deadline),
        }
    }

    /// Infers the build from those that served.
    fn infer(&self) -> Verdict {
        match self.serving {
            Serving::Only(build) => Verdict::Inferred(build),
            Serving::Nothing
            | Serving::Unconfirmed(_)
            | Serving::Outdated(_)
            | Serving::Several => Verdict::Unknown,
        }
    }
}
