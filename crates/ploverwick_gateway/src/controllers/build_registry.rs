//! Keeps the builds that the store records for each service up to date.
//!
//! [`BuildRegistry`](ploverwick_endpoints::BuildRegistry) decides what is written. The records stand in the topic of the list of
//! instances, which each instance follows anyway.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::Build;
use ploverwick_endpoints::build_registry::{Change, Knowledge, Place, Registration, State};
use ploverwick_names::Moment;
use ploverwick_platform::INSTANCE_TOPIC;
use ploverwick_platform::store::{Error, Record};
use ploverwick_topics::Role;
use serde::{Deserialize, Serialize};

use crate::logging::Outage;
use crate::shared::Shared;
use crate::topics::Topic;

/// The prefix of the keys of the records. Instance names never contain the slash.
const KEY_PREFIX: &str = "builds/";
/// The maximum length of a key in the store. A service whose name is too long for it is not recorded.
const MAX_KEY_BYTES: usize = 255;

/// How often an instance checks whether a change is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The delay between attempts to write, within which this instance reads what has changed.
const WRITE_INTERVAL: Duration = Duration::from_secs(3);
/// How long the readers of a failure domain leave a change to those of the domain before it, so that one of them usually writes
/// it for all.
const DELAY_PER_DOMAIN: Duration = Duration::from_secs(2);

/// The value of a record. Its key names the service and the build.
#[derive(Debug, Serialize, Deserialize)]
struct Value {
    state: State,
    era: u64,
}

/// Returns the key of a build; `None` if the store does not accept it.
fn key(service: &str, build: Build) -> Option<String> {
    let key = format!("{KEY_PREFIX}{service}/{build}");
    (key.len() <= MAX_KEY_BYTES).then_some(key)
}

/// Returns the service and the build of a record; `None` if it is none of a build.
fn parse_key(key: &str) -> Option<(Arc<str>, Build)> {
    let (service, build) = key.strip_prefix(KEY_PREFIX)?.rsplit_once('/')?;
    Some((Arc::from(service), build.parse().ok()?))
}

/// Returns whether a record of the topic is one of this controller.
pub(super) fn owns(record: &Record) -> bool {
    record.key.starts_with(KEY_PREFIX)
}

/// Applies a record of a build. If its value is malformed, the builds of its service prove nothing.
pub(super) fn apply_record(shared: &Shared, record: &Record) {
    let Some((service, build)) = parse_key(&record.key) else {
        return log_malformed(record);
    };
    let registration = match &record.value {
        None => None,
        Some(value) => match serde_json::from_slice::<Value>(value) {
            Ok(Value { state, era }) => Some(Registration { state, era }),
            Err(_) => {
                log_malformed(record);
                Some(Registration::UNKNOWN)
            }
        },
    };
    let place = place(shared, record.offset);
    let now = shared.now();
    let mut state = shared.state();
    let registry = &mut state.build_registry;
    registry.apply(&service, build, registration, place, now);
}

fn log_malformed(record: &Record) {
    spdlog::warn!("build_record_malformed key={}", record.key);
}

fn place(shared: &Shared, offset: u64) -> Place {
    let era = shared.store.era();
    Place { era, offset }
}

/// Records that this instance has read the newest record of each key from the store, from `started_at` on.
pub(super) fn confirm(shared: &Shared, records: &[Record], started_at: Moment) {
    let last = records.iter().map(|record| record.offset).max();
    let up_to = place(shared, last.unwrap_or_default());
    let with_value = records.iter().filter(|record| record.value.is_some());
    let listed: HashSet<_> = with_value
        .filter_map(|record| parse_key(&record.key))
        .collect();
    let mut state = shared.state();
    state.build_registry.confirm(&listed, up_to, started_at);
}

/// Writes the changes that are due for as long as the process runs, if this instance reads the topic for others.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut outage = Outage::new("record of builds");
    let mut due_since: Option<Moment> = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if shared.role(Topic::Instances) != Role::Reader {
            due_since = None;
            continue;
        }
        if let Err(error) = read_after_gap(&shared).await {
            outage.record_failure(&error);
            tokio::time::sleep(WRITE_INTERVAL).await;
            continue;
        }
        let changes = plan(&shared);
        if changes.is_empty() {
            due_since = None;
            continue;
        }
        let now = shared.now();
        if now.since(*due_since.get_or_insert(now)) < delay(&shared) {
            continue;
        }
        match write(&shared, &changes).await {
            // After a conflict, what has changed is read first.
            Ok(()) | Err(Error::Conflict) => drop(outage.record_success()),
            Err(error) => outage.record_failure(&error),
        }
        tokio::time::sleep(WRITE_INTERVAL).await;
    }
}

/// Reads the topic if the list of endpoints could not be read for a while: what was registered meanwhile may not be known.
async fn read_after_gap(shared: &Shared) -> Result<(), Error> {
    let started_at = shared.now();
    {
        let state = shared.state();
        let is_needed = state.has_endpoint_list
            && !state.builds.is_complete(started_at)
            && !state.build_registry.covers(state.builds.unbroken_since());
        if !is_needed {
            return Ok(());
        }
    }
    let snapshot = shared.store.newest(INSTANCE_TOPIC).await?;
    apply_snapshot(shared, &snapshot.records, started_at);
    Ok(())
}

/// Applies the records of builds among the newest ones of the topic, which this instance has read from the store.
pub(super) fn apply_snapshot(shared: &Shared, records: &[Record], started_at: Moment) {
    for record in records.iter().filter(|record| owns(record)) {
        apply_record(shared, record);
    }
    confirm(shared, records, started_at);
}

/// Returns how long this instance leaves a change to others.
fn delay(shared: &Shared) -> Duration {
    let settings = &shared.settings;
    let domains = settings.domains.iter();
    let is_placer = shared.state().placer_lease.is_held(shared.now());
    let before = if is_placer {
        let mut domains = domains;
        domains.position(|domain| *domain == settings.domain)
    } else {
        Some(domains.len())
    };
    let before = u32::try_from(before.unwrap_or_default()).unwrap_or(u32::MAX);
    DELAY_PER_DOMAIN.saturating_mul(before)
}

/// Returns the changes that are due, by service.
fn plan(shared: &Shared) -> Vec<(Arc<str>, Change)> {
    let now = shared.now();
    let state = shared.state();
    let Some(config) = &state.config else {
        return Vec::new();
    };
    let routes = config.routes().filter(|route| route.kind.is_resumable());
    let services: HashSet<&Arc<str>> = routes.flat_map(|route| route.services()).collect();
    let list = Knowledge {
        history: &state.builds,
        is_current: state.knows_builds(now),
    };
    let plans = services.into_iter().filter_map(|service| {
        let change = state.build_registry.plan(service, list, now)?;
        Some((Arc::clone(service), change))
    });
    plans.collect()
}

/// Writes the changes that are not conditional, or else the others, in one call.
async fn write(shared: &Shared, changes: &[(Arc<str>, Change)]) -> Result<(), Error> {
    let is_conditional = changes.iter().all(|(_, change)| change.is_conditional);
    let era = shared.store.era();
    let end = shared.state().read_states.of(Topic::Instances).end;
    if is_conditional && end.era != era {
        return Err(Error::Restored);
    }
    let chosen = changes
        .iter()
        .filter(|(_, change)| change.is_conditional == is_conditional);
    let mut records = Vec::new();
    for (service, change) in chosen {
        for (build, state) in &change.builds {
            let Some(key) = key(service, *build) else {
                continue;
            };
            let value = state.map(|state| encode(state, era));
            records.push((key, value.unwrap_or_default()));
        }
    }
    if records.is_empty() {
        return Ok(());
    }
    let as_of = is_conditional.then_some(end.offset);
    shared.store.append(INSTANCE_TOPIC, &records, as_of).await?;
    for (key, value) in &records {
        spdlog::info!(
            "build_recorded key={} value={}",
            key,
            String::from_utf8_lossy(value)
        );
    }
    Ok(())
}

fn encode(state: State, era: u64) -> Vec<u8> {
    serde_json::to_vec(&Value { state, era }).expect("a registration is serializable")
}
