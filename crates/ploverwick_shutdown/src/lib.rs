//! Decides when an instance that was asked to stop ends each of its duties.
//!
//! All bounds run from the signal, not from when a task first notices it: a connection that is accepted after the signal
//! has less time left than one that was open before.
//!
//! The intake ends first. Until then the balancer may still send connections, so requests are read and served. Afterwards
//! nothing is read any more, since a connection that is closed unread can be tried elsewhere, and a request that was read but
//! not sent to an endpoint is refused. The rest of the grace period belongs to the requests that endpoints work on.

use std::time::Duration;

use ploverwick_names::Moment;

/// How long connections still arrive after the signal. The balancer sends them until two readiness probes have failed, and
/// it probes once a second.
const ROUTING_DELAY: Duration = Duration::from_millis(2_600);
/// The part of the grace period, as a divisor, that the intake takes at most.
const MAX_INTAKE_PART: u32 = 3;
/// The part of the grace period, as a divisor, at the end of which answers may be cut off.
const FINAL_PART: u32 = 6;
/// The margin between the end of the process and the moment at which the platform kills it.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// The bounds of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// The time from the signal until the platform kills the process.
    pub grace: Duration,
    /// The time that must pass between the last order of this process and the first one of the next.
    pub lease: Duration,
}

/// The shutdown of an instance, from the signal to the end of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    intake_end: Moment,
    departure: Moment,
    deadline: Moment,
}

impl Shutdown {
    /// Creates the shutdown of an instance that was asked to stop now.
    pub fn new(policy: Policy, now: Moment) -> Self {
        let Policy { grace, lease } = policy;
        let intake = ROUTING_DELAY.min(grace / MAX_INTAKE_PART);
        let final_part = grace / FINAL_PART;
        Self {
            intake_end: now + intake,
            departure: now + intake.max(lease),
            deadline: now + grace.saturating_sub(KILL_MARGIN.min(final_part)),
        }
    }

    /// Returns until when requests are read, and sent to their first endpoint.
    pub fn intake_end(&self) -> Moment {
        self.intake_end
    }

    /// Returns when the instance leaves the list of instances: a lease after its last order at the earliest, so that the next
    /// process may send orders at once. After [`Self::deadline`] if the grace period is too short; then it stays listed.
    pub fn departure(&self) -> Moment {
        self.departure
    }

    /// Returns when the process ends whatever is in progress.
    pub fn deadline(&self) -> Moment {
        self.deadline
    }
}
