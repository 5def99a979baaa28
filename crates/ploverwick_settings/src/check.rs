//! Reads and validates settings.

use std::collections::BTreeSet;
use std::ops::Range;
use std::path::Path;

use ploverwick_codes::diagnostic::{Diagnostic, Rule};
use toml::de::{DeTable, DeValue};

use crate::{Settings, keys};

/// The maximum edit distance at which a known key is suggested for an unknown one.
const MAX_EDIT_DISTANCE: usize = 4;
const LEVELS: [&str; 4] = ["error", "warn", "info", "debug"];
const FORMATS: [&str; 2] = ["text", "json"];

/// Reads the settings from a file.
///
/// # Errors
/// Returns all findings; a file that cannot be opened is one.
pub fn load(path: &Path) -> Result<Settings, Vec<Diagnostic>> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        let shown = path.display().to_string();
        vec![finding(
            Rule::FileUnreadable,
            0,
            "",
            &shown,
            &error.to_string(),
        )]
    })?;
    read(&text)
}

/// Reads settings from TOML text.
///
/// # Errors
/// Returns all findings: unknown keys first, then deserialization errors or values out of range.
pub fn read(text: &str) -> Result<Settings, Vec<Diagnostic>> {
    let document = DeTable::parse(text).map_err(|error| {
        let line = line_of(text, error.span());
        vec![finding(Rule::NotToml, line, "", "", error.message())]
    })?;
    let mut findings = Vec::new();
    check_keys(text, document.get_ref(), "", &keys::known(), &mut findings);
    match toml::from_str::<Settings>(text) {
        Ok(settings) => {
            check_ranges(&settings, &mut findings);
            if findings.is_empty() {
                return Ok(settings);
            }
        }
        Err(error) => findings.push(deserialize_finding(text, &error)),
    }
    Err(findings)
}

fn finding(rule: Rule, line: u64, column: &str, cell: &str, detail: &str) -> Diagnostic {
    Diagnostic {
        rule,
        line,
        column: column.to_owned(),
        cell: cell.to_owned(),
        detail: detail.to_owned(),
    }
}

fn line_of(text: &str, span: Option<Range<usize>>) -> u64 {
    let before = span.and_then(|span| text.get(..span.start));
    before.map_or(0, |before| before.matches('\n').count() as u64 + 1)
}

fn deserialize_finding(text: &str, error: &toml::de::Error) -> Diagnostic {
    let message = error.message();
    let rule = if message.starts_with("missing field") {
        Rule::KeyMissing
    } else {
        Rule::ValueMalformed
    };
    finding(
        rule,
        line_of(text, error.span()),
        "",
        "",
        &format!("{message}."),
    )
}

fn check_keys(
    text: &str,
    table: &DeTable<'_>,
    prefix: &str,
    known: &BTreeSet<String>,
    findings: &mut Vec<Diagnostic>,
) {
    for (key, value) in table {
        let path = keys::join(prefix, key.get_ref());
        if !known.contains(&path) {
            let line = line_of(text, Some(key.span()));
            let detail = suggestion(&path, known);
            findings.push(finding(Rule::KeyUnknown, line, &path, "", &detail));
            continue;
        }
        match value.get_ref() {
            DeValue::Table(inner) => check_keys(text, inner, &path, known, findings),
            DeValue::Array(items) => {
                for item in items {
                    if let DeValue::Table(inner) = item.get_ref() {
                        check_keys(text, inner, &path, known, findings);
                    }
                }
            }
            _ => {}
        }
    }
}

fn suggestion(path: &str, known: &BTreeSet<String>) -> String {
    let best = known
        .iter()
        .map(|candidate| (strsim::levenshtein(candidate, path), candidate))
        .min();
    match best {
        Some((distance, candidate)) if distance <= MAX_EDIT_DISTANCE => {
            format!("The nearest known key is {candidate:?}.")
        }
        _ => String::new(),
    }
}

fn check_ranges(settings: &Settings, findings: &mut Vec<Diagnostic>) {
    let mut require = |valid: bool, key: &str, value: String, range: &str| {
        if !valid {
            let detail = format!("It has to be {range}.");
            findings.push(finding(Rule::ValueOutOfRange, 0, key, &value, &detail));
        }
    };
    let Settings {
        store,
        limits,
        requests,
        claims,
        ownership,
        membership,
        ..
    } = settings;
    let positive: [(&str, u64); 12] = [
        ("platform.timeout_ms", settings.platform.timeout_ms),
        ("platform.roster_poll_ms", settings.platform.roster_poll_ms),
        ("limits.body_bytes", limits.body_bytes as u64),
        ("limits.body_timeout_ms", limits.body_timeout_ms),
        ("limits.connections", limits.connections as u64),
        (
            "limits.queue_per_endpoint",
            limits.queue_per_endpoint as u64,
        ),
        ("requests.deadline_ms", requests.deadline_ms),
        ("requests.attempts", u64::from(requests.attempts)),
        ("claims.partitions", u64::from(claims.partitions)),
        ("claims.batch_ms", claims.batch_ms),
        ("ownership.report_ms", ownership.report_ms),
        ("store.loads_at_once", u64::from(store.loads_at_once)),
    ];
    for (key, value) in positive {
        require(value > 0, key, value.to_string(), "above 0");
    }
    require(
        store.loads_per_s > 0.0,
        "store.loads_per_s",
        store.loads_per_s.to_string(),
        "above 0",
    );
    require(
        requests.deadline_max_ms >= requests.deadline_ms,
        "requests.deadline_max_ms",
        requests.deadline_max_ms.to_string(),
        "at least requests.deadline_ms",
    );
    require(
        membership.probe_timeout_ms < membership.beat_ms && membership.probe_timeout_ms > 0,
        "membership.probe_timeout_ms",
        membership.probe_timeout_ms.to_string(),
        "above 0 and below membership.beat_ms",
    );
    require(
        LEVELS.contains(&settings.log.level.as_str()),
        "log.level",
        settings.log.level.clone(),
        "error, warn, info or debug",
    );
    require(
        FORMATS.contains(&settings.log.format.as_str()),
        "log.format",
        settings.log.format.clone(),
        "text or json",
    );
    for service in &settings.services {
        let has_slashes = service.prefix.starts_with('/') && service.prefix.ends_with('/');
        let range = "a path with a slash at both ends, outside /v1/";
        let is_outside_v1 = !service.prefix.starts_with("/v1/") && service.prefix.len() > 1;
        require(
            has_slashes && is_outside_v1,
            "service.prefix",
            service.prefix.clone(),
            range,
        );
    }
}
