//! `ploverwick status`.

use std::fmt::Write;

use ploverwick_daemon::status::{OwnedEndpoint, Status as DaemonStatus};
use ploverwick_operator::{Failure, Responses};
use serde::Serialize;

use crate::flags::Status;
use crate::{CommandResult, output, platform};

/// The status of a fleet as printed by `--json`.
#[derive(Serialize)]
struct JsonOutput<'a> {
    daemons: &'a [DaemonStatus],
    silent: Vec<String>,
}

/// Prints the status of every daemon. Exits with 1 if a daemon did not respond.
pub(crate) async fn run(flags: Status) -> CommandResult {
    let fleet = platform::fleet(flags.roster, flags.settings.as_ref()).await?;
    let responses = fleet.status().await;
    if flags.json {
        let fleet_status = JsonOutput {
            daemons: &responses.answers,
            silent: responses
                .failures
                .iter()
                .map(|failure| failure.name.clone())
                .collect(),
        };
        output::print(&format!("{}\n", serde_json::to_string(&fleet_status)?));
    } else {
        output::print(&format_status(&responses));
    }
    Ok(responses.failures.is_empty() && !responses.answers.is_empty())
}

fn format_status(responses: &Responses<DaemonStatus>) -> String {
    let mut text = output::format_columns(&instance_rows(responses));
    text.push('\n');
    text.push_str(&output::format_columns(&endpoint_rows(responses)));
    for Failure { name, error } in &responses.failures {
        let word = output::paint(false, "silent");
        let _ = writeln!(text, "{word}: {name}: {error}");
    }
    text
}

fn instance_rows(responses: &Responses<DaemonStatus>) -> Vec<Vec<String>> {
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
    for status in &responses.answers {
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

fn endpoint_rows(responses: &Responses<DaemonStatus>) -> Vec<Vec<String>> {
    let header = [
        "endpoint", "owner", "token", "waiting", "running", "batch", "slots",
    ];
    let mut rows = vec![header.map(String::from).to_vec()];
    let owned = responses.answers.iter().flat_map(|status| {
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
