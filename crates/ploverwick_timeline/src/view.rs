//! Merges, filters and formats the events of several processes.

use std::fmt::Write;

use ploverwick_names::{Adapter, Endpoint, Request};

use crate::Event;

/// Selects events. An empty filter matches all events.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// Matches only events of this request.
    pub request: Option<String>,
    /// Matches only events of this adapter.
    pub adapter: Option<String>,
    /// Matches only events of this endpoint.
    pub endpoint: Option<String>,
}

impl Filter {
    /// Returns whether the filter matches an event.
    pub fn matches(&self, event: &Event) -> bool {
        let request = event.request.as_ref().map(Request::as_str);
        let adapter = event.adapter.as_ref().map(Adapter::as_str);
        let endpoint = event.endpoint.as_ref().map(Endpoint::as_str);
        field_matches(self.request.as_ref(), request)
            && field_matches(self.adapter.as_ref(), adapter)
            && field_matches(self.endpoint.as_ref(), endpoint)
    }
}

fn field_matches(wanted: Option<&String>, found: Option<&str>) -> bool {
    wanted.is_none_or(|wanted| found == Some(wanted))
}

/// Merges the matching events of several processes, ordered by stamp and then by process.
pub fn merge(lists: impl IntoIterator<Item = Vec<Event>>, filter: &Filter) -> Vec<Event> {
    let mut events: Vec<Event> = lists
        .into_iter()
        .flatten()
        .filter(|event| filter.matches(event))
        .collect();
    events.sort_by(|a, b| (a.stamp, &a.process).cmp(&(b.stamp, &b.process)));
    events
}

/// Formats events as text, one per line, with times relative to the first event.
pub fn text(events: &[Event]) -> String {
    let start = events.first().map_or(0, |event| event.stamp.millis());
    let mut out = String::new();
    for event in events {
        let millis = event.stamp.millis() - start;
        let line = event.to_string();
        let without_stamp = line.split_once(' ').map_or("", |(_, rest)| rest);
        let _ = writeln!(
            out,
            "{:>6}.{:03}s {without_stamp}",
            millis / 1000,
            millis % 1000
        );
    }
    out
}
