//! Renders events as an HTML page with one lane per process.

use std::collections::BTreeSet;
use std::fmt::Write;

use crate::{Event, Kind, view};

const WIDTH: f64 = 1400.0;
const LEFT_MARGIN: f64 = 130.0;
const LANE_HEIGHT: f64 = 34.0;
const TOP_MARGIN: f64 = 30.0;
const MARKER_RADIUS: f64 = 3.5;
const TICK_COUNT: u32 = 10;

/// Renders a self-contained page: a legend, an SVG chart of the lanes and the events as text.
pub fn page(events: &[Event]) -> String {
    let mut out = String::from(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>ploverwick time line</title><style>\
         body{font:14px sans-serif;margin:1.5em;color:#222}\
         pre{font-size:12px;line-height:1.35}svg text{font-size:11px}\
         .key{display:inline-block;width:.8em;height:.8em;border-radius:50%;margin:0 .3em 0 1em}\
         </style></head><body><h1>Time line</h1>",
    );
    write_legend(&mut out);
    write_lanes(&mut out, events);
    let _ = write!(
        out,
        "<h2>{} events</h2><pre>{}</pre></body></html>",
        events.len(),
        escape(&view::text(events))
    );
    out
}

fn colour(kind: Kind) -> &'static str {
    match kind {
        Kind::Request => "#3568c0",
        Kind::Attempt => "#2c9c69",
        Kind::Load => "#d98a1f",
        Kind::Claim => "#8a4fc7",
        Kind::Table => "#c2357b",
        Kind::Ownership => "#6b6b6b",
        Kind::Member => "#17a2b8",
        Kind::Fault => "#d33131",
    }
}

fn write_legend(out: &mut String) {
    out.push_str("<p>");
    for kind in [
        Kind::Request,
        Kind::Attempt,
        Kind::Load,
        Kind::Claim,
        Kind::Table,
        Kind::Ownership,
        Kind::Member,
        Kind::Fault,
    ] {
        let _ = write!(
            out,
            "<span class=\"key\" style=\"background:{}\"></span>{}",
            colour(kind),
            kind.name()
        );
    }
    out.push_str("</p>");
}

fn write_lanes(out: &mut String, events: &[Event]) {
    let processes: BTreeSet<&str> = events.iter().map(|event| event.process.as_ref()).collect();
    let start = events.first().map_or(0, |event| event.stamp.millis());
    let end = events.last().map_or(0, |event| event.stamp.millis());
    let span = (end - start).max(1) as f64;
    let x =
        |millis: u64| LEFT_MARGIN + (millis - start) as f64 / span * (WIDTH - LEFT_MARGIN - 20.0);
    let height = TOP_MARGIN + LANE_HEIGHT * processes.len() as f64 + 10.0;
    let _ = write!(
        out,
        "<svg viewBox=\"0 0 {WIDTH} {height}\" width=\"100%\" role=\"img\">"
    );
    for tick in 0..=TICK_COUNT {
        let millis = span * f64::from(tick) / f64::from(TICK_COUNT);
        let at =
            LEFT_MARGIN + (WIDTH - LEFT_MARGIN - 20.0) * f64::from(tick) / f64::from(TICK_COUNT);
        let _ = write!(
            out,
            "<line x1=\"{at:.1}\" x2=\"{at:.1}\" y1=\"20\" y2=\"{height}\" stroke=\"#eee\"/>\
             <text x=\"{at:.1}\" y=\"14\" text-anchor=\"middle\">{:.2} s</text>",
            millis / 1000.0
        );
    }
    for (lane, process) in processes.iter().enumerate() {
        let y = TOP_MARGIN + LANE_HEIGHT * (lane as f64 + 0.5);
        let _ = write!(
            out,
            "<text x=\"4\" y=\"{:.1}\">{}</text>\
             <line x1=\"{LEFT_MARGIN}\" x2=\"{WIDTH}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#ccc\"/>",
            y + 4.0,
            escape(process)
        );
        for event in events.iter().filter(|event| event.process == **process) {
            let _ = write!(
                out,
                "<circle cx=\"{:.1}\" cy=\"{y:.1}\" r=\"{MARKER_RADIUS}\" fill=\"{}\" \
                 fill-opacity=\".7\"><title>{}</title></circle>",
                x(event.stamp.millis()),
                colour(event.kind),
                escape(&event.to_string())
            );
        }
    }
    out.push_str("</svg>");
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
