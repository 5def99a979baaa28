//! Request rate limits that endpoints set in their answers, enforced by all instances together.
//!
//! An endpoint's limit applies to the sum over all instances, but each instance sees only its own requests.
//! There is no central counter: a few instances, selected by hash, have equal shares of the limit, and the
//! others send nothing. No state is lost when an instance stops, and sending needs no prior message.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use serde::{Deserialize, Serialize};

use crate::limit::MAX_SEND_INTERVAL;
use crate::{Limit, Share};

/// How an answer or update changed an endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The limit did not change.
    Unchanged,
    /// The endpoint has this new limit.
    Set(Limit),
    /// The endpoint no longer has a limit.
    Lifted,
}

/// A message from one instance to others about an endpoint's limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The identifier of the endpoint.
    pub endpoint: Arc<str>,
    /// The limit, or `None` if it was lifted.
    pub limit: Option<Limit>,
    /// The age of the answer that this is based on, in milliseconds.
    pub age_ms: u32,
}

/// The state of the limit of one endpoint.
#[derive(Debug)]
struct EndpointLimit {
    /// The limit, or `None` if it was recently lifted. Kept because older updates may still arrive.
    limit: Option<Limit>,
    /// When the latest answer about the limit was received, on any instance.
    updated_at: Moment,
    /// When this instance last received an answer about the limit.
    answered_at: Option<Moment>,
    share: Share,
    /// When this instance last sent a request or became a sender. A new sender waits for one interval first,
    /// because another instance may have sent a request just before.
    last_sent: Moment,
}

impl EndpointLimit {
    fn new(limit: Limit, now: Moment) -> Self {
        Self {
            limit: Some(limit),
            updated_at: now,
            answered_at: None,
            share: Share::NONE,
            last_sent: now,
        }
    }

    /// Sets the limit according to an answer that was received at `updated_at`.
    fn set(&mut self, limit: Option<Limit>, updated_at: Moment) -> Change {
        self.updated_at = self.updated_at.max(updated_at);
        let before = std::mem::replace(&mut self.limit, limit);
        match limit {
            _ if before == limit => Change::Unchanged,
            Some(limit) => Change::Set(limit),
            None => Change::Lifted,
        }
    }
}

/// The limits of all endpoints, as known to one instance.
#[derive(Debug, Default)]
pub struct Limits {
    known: HashMap<Arc<str>, EndpointLimit>,
}

impl Limits {
    /// Records the limit in an answer to a request that was sent at `sent_at`; `None` if the answer
    /// contains no limit.
    ///
    /// Only the answer to a request that was sent after the last update lifts a limit, because answers may
    /// arrive out of order.
    pub fn record_answer(
        &mut self,
        endpoint: &Arc<str>,
        limit: Option<Limit>,
        sent_at: Moment,
        now: Moment,
    ) -> Change {
        let known = match (self.known.get_mut(endpoint), limit) {
            (None, Some(limit)) => {
                let mut known = EndpointLimit::new(limit, now);
                known.answered_at = Some(now);
                self.known.insert(Arc::clone(endpoint), known);
                return Change::Set(limit);
            }
            (Some(known), Some(_)) => known,
            (Some(known), None) if sent_at > known.updated_at => known,
            (None | Some(_), None) => return Change::Unchanged,
        };
        known.answered_at = Some(now);
        known.set(limit, now)
    }

    /// Applies an update from another instance. Updates that are older than the current state are ignored.
    pub fn apply_update(&mut self, update: &LimitUpdate, now: Moment) -> Change {
        let updated_at = now - Duration::from_millis(update.age_ms.into());
        match (self.known.get_mut(&update.endpoint), update.limit) {
            (None, Some(limit)) => {
                let mut known = EndpointLimit::new(limit, now);
                known.updated_at = updated_at;
                self.known.insert(Arc::clone(&update.endpoint), known);
                Change::Set(limit)
            }
            (Some(known), limit) if updated_at > known.updated_at => known.set(limit, updated_at),
            (None, None) | (Some(_), _) => Change::Unchanged,
        }
    }

    /// Sets this instance's share of an endpoint's limit.
    pub fn assign(&mut self, endpoint: &str, share: Share, now: Moment) {
        if let Some(known) = self.known.get_mut(endpoint) {
            let was_standby = matches!(known.share, Share::Standby { .. });
            if was_standby && matches!(share, Share::Sender { .. }) {
                known.last_sent = now;
            }
            known.share = share;
        }
    }

    /// Iterates over the endpoints that have a limit.
    pub fn limited(&self) -> impl Iterator<Item = (&Arc<str>, Limit)> {
        let known = self.known.iter();
        known.filter_map(|(endpoint, known)| Some((endpoint, known.limit?)))
    }

    /// Removes endpoints that are no longer listed, whose last answers may have arrived after their removal, and
    /// limits that were lifted long enough ago that no older updates can arrive.
    pub fn sweep(&mut self, is_listed: impl Fn(&str) -> bool, now: Moment) {
        self.known.retain(|endpoint, known| {
            let is_recent = now.since(known.updated_at) < MAX_SEND_INTERVAL;
            is_listed(endpoint) && (known.limit.is_some() || is_recent)
        });
    }

    /// Returns the time until this instance may send to an endpoint; `None` if it may send now.
    pub fn wait(&self, endpoint: &str, now: Moment) -> Option<Duration> {
        let known = self.known.get(endpoint)?;
        known.limit?;
        let next = known.share.next_send(known.last_sent, known.updated_at);
        (next > now).then(|| next.since(now))
    }

    /// Iterates over the endpoints that this instance may not send to now.
    pub fn closed(&self, now: Moment) -> impl Iterator<Item = &Arc<str>> {
        let endpoints = self.known.keys();
        endpoints.filter(move |endpoint| self.wait(endpoint, now).is_some())
    }

    /// Records that a request was sent to an endpoint. Returns whether the endpoint has a limit.
    pub fn record_send(&mut self, endpoint: &str, now: Moment) -> bool {
        let known = self.known.get_mut(endpoint);
        let Some(known) = known.filter(|known| known.limit.is_some()) else {
            return false;
        };
        known.last_sent = now;
        true
    }

    /// Returns updates for other instances from the answers that this instance received within `max_age`.
    pub fn recent_updates(&self, max_age: Duration, now: Moment) -> Vec<LimitUpdate> {
        let is_recent =
            |known: &EndpointLimit| known.answered_at.is_some_and(|at| now.since(at) <= max_age);
        let recent = self.known.iter().filter(|(_, known)| is_recent(known));
        recent
            .map(|(endpoint, known)| to_update(endpoint, known, now))
            .collect()
    }

    /// Returns updates for all endpoints, for an instance that has just started.
    pub fn updates(&self, now: Moment) -> Vec<LimitUpdate> {
        let known = self.known.iter();
        known
            .map(|(endpoint, known)| to_update(endpoint, known, now))
            .collect()
    }

    /// Returns an update about an endpoint for other instances.
    pub fn update(&self, endpoint: &Arc<str>, now: Moment) -> Option<LimitUpdate> {
        let known = self.known.get(endpoint)?;
        Some(to_update(endpoint, known, now))
    }

    /// Returns the limit of an endpoint, if it has one.
    pub fn get(&self, endpoint: &str) -> Option<Limit> {
        self.known.get(endpoint)?.limit
    }

    /// Removes an endpoint that is no longer listed.
    pub fn remove(&mut self, endpoint: &str) {
        self.known.remove(endpoint);
    }

    /// Returns whether no limits are stored. Recently lifted limits are also stored.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the number of endpoints that have a limit.
    pub fn active_count(&self) -> usize {
        let known = self.known.values();
        known.filter(|known| known.limit.is_some()).count()
    }
}

fn to_update(endpoint: &Arc<str>, known: &EndpointLimit, now: Moment) -> LimitUpdate {
    let age = now.since(known.updated_at).as_millis();
    LimitUpdate {
        endpoint: Arc::clone(endpoint),
        limit: known.limit,
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}
