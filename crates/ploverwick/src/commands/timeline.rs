//! `ploverwick timeline`.

use anyhow::Context;
use ploverwick_timeline::view::{Filter, merge, text};

use crate::flags::Timeline;
use crate::{CommandResult, output, platform};

/// Prints the merged timeline of all processes. Exits with 1 if a process did not respond.
pub(crate) async fn run(flags: Timeline) -> CommandResult {
    let fleet = platform::fleet(flags.roster, flags.settings.as_ref()).await?;
    let responses = fleet.timelines(&flags.from).await;
    for failure in &responses.failures {
        eprintln!("silent: {}: {}", failure.name, failure.error);
    }
    let filter = Filter {
        request: flags.request,
        adapter: flags.adapter,
        endpoint: flags.endpoint,
    };
    let events = merge(responses.answers, &filter);
    if let Some(file) = &flags.html {
        std::fs::write(file, ploverwick_timeline::page(&events))
            .with_context(|| format!("write {}", file.display()))?;
        output::print(&format!("{} events in {}\n", events.len(), file.display()));
    } else if flags.json {
        for event in &events {
            output::print(&format!("{}\n", serde_json::to_string(event)?));
        }
    } else {
        output::print(&text(&events));
    }
    Ok(responses.failures.is_empty())
}
