//! Orders to engines, and the interpretation of their results.

use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_owner::endpoint::{Outcome, Report, ReportedSlot};
use ploverwick_ports::client::CallError;
use ploverwick_ports::engine::{Engine, Order, SlotState};

use crate::budget::LoadLimits;
use crate::commands::Command;
use crate::lock::lock;
use crate::node::Node;

/// The timeout of a load order.
const LOAD_TIMEOUT: Duration = Duration::from_mins(2);

/// Returns the number of loads that this instance may start now.
pub(super) fn loads_available(node: &Node, now: Moment) -> u32 {
    let store = &node.settings.store;
    let limits = LoadLimits {
        per_s: store.loads_per_s,
        at_once: store.loads_at_once,
        instances: node.fleet_size(),
    };
    lock(&node.load_budget).available(limits, now)
}

/// Requests a status report from an engine.
pub(super) async fn report(engine: &Engine) -> Command {
    let Ok(report) = engine.report().await else {
        return Command::Reported(None, false);
    };
    let used = report.used.into_iter().map(|slot| ReportedSlot {
        variant: slot.variant,
        ready: slot.state == SlotState::Loaded,
        running: slot.running,
    });
    let seen = Report {
        incarnation: report.incarnation,
        slots: report.slots,
        batch: report.batch,
        used: used.collect(),
    };
    Command::Reported(Some(seen), report.leaving)
}

/// Orders an engine to load an adapter.
pub(super) async fn load(engine: &Engine, order: &Order) -> Outcome {
    outcome(engine.load(order, LOAD_TIMEOUT).await.err())
}

/// Orders an engine to unload an adapter.
pub(super) async fn unload(engine: &Engine, order: &Order) -> Outcome {
    outcome(engine.unload(order).await.err())
}

fn outcome(error: Option<CallError>) -> Outcome {
    match error {
        None => Outcome::Done,
        Some(error) if error.had_no_effect() => Outcome::Refused,
        Some(_) => Outcome::Unknown,
    }
}
