//! `ploverwick status`.

use std::fmt::Write;

use ploverwick_daemon::status::{OwnedEndpoint, Status as DaemonStatus};
use ploverwick_operator::{Failure, Responses};
use serde::Serialize;

use crate::flags::Status;
use crate::{Answer, output, place};

/// The status of a fleet.
#[derive(Serialize)]
struct Shown<'a> {
    daemons: &'a [DaemonStatus],
    silent: Vec<String>,
}

/// Shows the status of every daemon.
pub(crate) async fn run(flags: Status) -> Answer {
    let fleet = place::fleet(flags.roster, flags.settings.as_ref()).await?;
    let reading = fleet.status().await;
    if flags.json {
        let shown = Shown {
            daemons: &reading.answers,
            silent: reading
                .failures
                .iter()
                .map(|failure| failure.name.clone())
                .collect(),
        };
        output::print(&format!("{}\n", serde_json::to_string(&shown)?));
    } else {
        output::print(&text(&reading));
    }
    Ok(reading.failures.is_empty() && !reading.answers.is_empty())
}

fn text(reading: &Responses<DaemonStatus>) -> String {
    let mut text = output::columns(&instances(reading));
    text.push('\n');
    text.push_str(&output::columns(&endpoints(reading)));
    for Failure { name, error } in &reading.failures {
        let word = output::verdict(false, "silent");
        let _ = writeln!(text, "{word}: {name}: {error}");
    }
    text
}

fn instances(reading: &Responses<DaemonStatus>) -> Vec<Vec<String>> {
    let header = [
        "instance",
        "failure domain",
        "table",
        "state",
        "live peers",
        "scribe of",
        "answers",
    ];
    let mut rows = vec![header.map(String::from).to_vec()];
    for status in &reading.answers {
        let live = status
            .members
            .iter()
            .filter(|member| member.state == "live");
        let state = if status.draining {
            "draining"
        } else {
            "serving"
        };
        rows.push(vec![
            status.instance.clone(),
            status.failure_domain.clone(),
            status.table.to_string(),
            state.to_owned(),
            live.count().to_string(),
            status.scribes.to_string(),
            status.answers.to_string(),
        ]);
    }
    rows
}

fn endpoints(reading: &Responses<DaemonStatus>) -> Vec<Vec<String>> {
    let header = [
        "endpoint", "owner", "token", "waiting", "running", "batch", "slots",
    ];
    let mut rows = vec![header.map(String::from).to_vec()];
    let owned = reading.answers.iter().flat_map(|status| {
        let owned = status.owned.iter().filter(|endpoint| endpoint.owned);
        owned.map(|endpoint| (status.instance.clone(), endpoint))
    });
    let mut owned: Vec<(String, &OwnedEndpoint)> = owned.collect();
    owned.sort_by(|a, b| a.1.endpoint.cmp(&b.1.endpoint));
    for (owner, endpoint) in owned {
        let slots = endpoint
            .slots
            .iter()
            .map(|slot| format!("{}:{}:{}", slot.variant, slot.state, slot.running));
        rows.push(vec![
            endpoint.endpoint.to_string(),
            owner,
            endpoint.token.to_string(),
            endpoint.waiting.to_string(),
            endpoint.running.to_string(),
            endpoint.batch.to_string(),
            slots.collect::<Vec<_>>().join(" "),
        ]);
    }
    rows
}
