//! Merges, filters and shows events of many processes.

use std::fmt::Write;

use ploverwick_names::{Adapter, Endpoint, Request};

use crate::Event;

/// Chooses events. An empty filter chooses all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// Only events of this request.
    pub request: Option<String>,
    /// Only events of this adapter.
    pub adapter: Option<String>,
    /// Only events of this endpoint.
    pub endpoint: Option<String>,
}

impl Filter {
    /// Says whether the filter chooses an event.
    pub fn chooses(&self, event: &Event) -> bool {
        let request = event.request.as_ref().map(Request::as_str);
        let adapter = event.adapter.as_ref().map(Adapter::as_str);
        let endpoint = event.endpoint.as_ref().map(Endpoint::as_str);
        fits(self.request.as_ref(), request)
            && fits(self.adapter.as_ref(), adapter)
            && fits(self.endpoint.as_ref(), endpoint)
    }
}

fn fits(wanted: Option<&String>, found: Option<&str>) -> bool {
    wanted.is_none_or(|wanted| found == Some(wanted))
}

/// Puts the events of many processes into one order: by stamp, then by process.
pub fn merge(lists: impl IntoIterator<Item = Vec<Event>>, filter: &Filter) -> Vec<Event> {
    let mut events: Vec<Event> = lists
        .into_iter()
        .flatten()
        .filter(|event| filter.chooses(event))
        .collect();
    events.sort_by(|a, b| (a.stamp, &a.process).cmp(&(b.stamp, &b.process)));
    events
}

/// Shows events as text, a line each, with times from the first event on.
pub fn text(events: &[Event]) -> String {
    let start = events.first().map_or(0, |event| event.stamp.millis());
    let mut out = String::new();
    for event in events {
        let millis = event.stamp.millis() - start;
        let line = event.to_string();
        let rest = line.split_once(' ').map_or("", |(_, rest)| rest);
        let _ = writeln!(out, "{:>6}.{:03}s {rest}", millis / 1000, millis % 1000);
    }
    out
}
