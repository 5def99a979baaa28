//! Orders to engines and what their answers mean.

use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_owner::endpoint::{Outcome, Report, ReportedSlot};
use ploverwick_ports::client::CallError;
use ploverwick_ports::engine::{Engine, Order, SlotState};

use crate::budget::LoadLimits;
use crate::commands::Command;
use crate::lock::lock;
use crate::node::Node;

/// How long a load may take.
const LOAD_PATIENCE: Duration = Duration::from_mins(2);

/// Returns how many loads this instance may start now.
pub(super) fn loads_available(node: &Node, now: Moment) -> u32 {
    let store = &node.settings.store;
    let limits = LoadLimits {
        per_s: store.loads_per_s,
        at_once: store.loads_at_once,
        instances: node.fleet_size(),
    };
    lock(&node.loads).available(limits, now)
}

/// Asks an engine for its report.
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

/// Orders a load.
pub(super) async fn load(engine: &Engine, order: &Order) -> Outcome {
    outcome(engine.load(order, LOAD_PATIENCE).await.err())
}

/// Orders an unload.
pub(super) async fn unload(engine: &Engine, order: &Order) -> Outcome {
    outcome(engine.unload(order).await.err())
}

fn outcome(fault: Option<CallError>) -> Outcome {
    match fault {
        None => Outcome::Done,
        Some(fault) if fault.had_no_effect() => Outcome::Refused,
        Some(_) => Outcome::Unknown,
    }
}
