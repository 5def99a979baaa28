//! The limits that endpoints in need name in their answers, kept by all instances together.
//!
//! An endpoint's limit bounds the sum over all instances, and each sees its own sends alone. Nobody counts for
//! the others: a few instances have even parts of the limit, chosen by hash, and the others send
//! nothing. So nothing of it is lost with an instance that ends, and no message comes before a send.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use serde::{Deserialize, Serialize};

use crate::limit::LONGEST_PAUSE;
use crate::{Limit, Part};

/// What news changed in what is known of an endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    Unchanged,
    /// It has this limit from now on.
    Named(Limit),
    /// It names no limit any more.
    Lifted,
}

/// What one instance tells others of an endpoint's limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// The limit, or `None` if an answer named none any more.
    pub limit: Option<Limit>,
    /// How long ago an answer said so, in milliseconds.
    pub age_ms: u32,
}

/// What is known of the limit of one endpoint.
#[derive(Debug)]
struct Known {
    /// The limit, or `None` if it was lifted lately: older news may still be on its way.
    limit: Option<Limit>,
    /// When an answer said so, here or elsewhere.
    heard: Moment,
    /// When an answer last said so here.
    answered: Option<Moment>,
    part: Part,
    /// When the last request was sent, or the part became that of an instance that sends: it begins with a
    /// pause, as another instance may have sent just before.
    sent: Moment,
}

impl Known {
    fn new(limit: Limit, now: Moment) -> Self {
        Self {
            limit: Some(limit),
            heard: now,
            answered: None,
            part: Part::NONE,
            sent: now,
        }
    }

    /// Takes in the limit as an answer said it at a moment.
    fn learn(&mut self, limit: Option<Limit>, heard: Moment) -> Change {
        self.heard = self.heard.max(heard);
        let before = std::mem::replace(&mut self.limit, limit);
        match limit {
            _ if before == limit => Change::Unchanged,
            Some(limit) => Change::Named(limit),
            None => Change::Lifted,
        }
    }
}

/// The limits of endpoints as one instance knows them.
#[derive(Debug, Default)]
pub struct Limits {
    known: HashMap<Arc<str>, Known>,
}

impl Limits {
    /// Takes in what the answer to a request says that was sent at a moment: its endpoint's limit, or
    /// `None` if it names none.
    ///
    /// A limit is lifted by a request that was sent after the limit was last heard of: answers pass each
    /// other on their ways.
    pub fn answered(
        &mut self,
        endpoint: &Arc<str>,
        limit: Option<Limit>,
        sent: Moment,
        now: Moment,
    ) -> Change {
        let known = match (self.known.get_mut(endpoint), limit) {
            (None, Some(limit)) => {
                let mut known = Known::new(limit, now);
                known.answered = Some(now);
                self.known.insert(Arc::clone(endpoint), known);
                return Change::Named(limit);
            }
            (Some(known), Some(_)) => known,
            (Some(known), None) if sent > known.heard => known,
            (None | Some(_), None) => return Change::Unchanged,
        };
        known.answered = Some(now);
        known.learn(limit, now)
    }

    /// Takes in what another instance tells; older news than what is known changes nothing.
    pub fn told(&mut self, told: &Told, now: Moment) -> Change {
        let heard = now - Duration::from_millis(told.age_ms.into());
        match (self.known.get_mut(&told.endpoint), told.limit) {
            (None, Some(limit)) => {
                let mut known = Known::new(limit, now);
                known.heard = heard;
                self.known.insert(Arc::clone(&told.endpoint), known);
                Change::Named(limit)
            }
            (Some(known), limit) if heard > known.heard => known.learn(limit, heard),
            (None, None) | (Some(_), _) => Change::Unchanged,
        }
    }

    /// Gives this instance its part of an endpoint's limit.
    pub fn assign(&mut self, endpoint: &str, part: Part, now: Moment) {
        if let Some(known) = self.known.get_mut(endpoint) {
            let stood_by = matches!(known.part, Part::StandsBy { .. });
            if stood_by && matches!(part, Part::Sends { .. }) {
                known.sent = now;
            }
            known.part = part;
        }
    }

    /// Lists the endpoints that name a limit.
    pub fn limited(&self) -> impl Iterator<Item = (&Arc<str>, Limit)> {
        let known = self.known.iter();
        known.filter_map(|(endpoint, known)| Some((endpoint, known.limit?)))
    }

    /// Forgets endpoints that are not listed any more, whose last answers may have come after their end, and
    /// what was lifted so long ago that no older news of it can come.
    pub fn sweep(&mut self, is_listed: impl Fn(&str) -> bool, now: Moment) {
        self.known.retain(|endpoint, known| {
            let is_young = now.since(known.heard) < LONGEST_PAUSE;
            is_listed(endpoint) && (known.limit.is_some() || is_young)
        });
    }

    /// Returns how long no request may go to an endpoint from here; `None` if one may now.
    pub fn wait(&self, endpoint: &str, now: Moment) -> Option<Duration> {
        let known = self.known.get(endpoint)?;
        known.limit?;
        let next = known.part.next(known.sent, known.heard);
        (next > now).then(|| next.since(now))
    }

    /// Lists the endpoints to which no request may go from here now.
    pub fn closed(&self, now: Moment) -> impl Iterator<Item = &Arc<str>> {
        let endpoints = self.known.keys();
        endpoints.filter(move |endpoint| self.wait(endpoint, now).is_some())
    }

    /// Counts a request that is sent to an endpoint; returns whether it has a limit.
    pub fn sent(&mut self, endpoint: &str, now: Moment) -> bool {
        let known = self.known.get_mut(endpoint);
        let Some(known) = known.filter(|known| known.limit.is_some()) else {
            return false;
        };
        known.sent = now;
        true
    }

    /// Lists what answers here said within `span`, to be told to others.
    pub fn news(&self, span: Duration, now: Moment) -> Vec<Told> {
        let said = |known: &Known| known.answered.is_some_and(|at| now.since(at) <= span);
        let news = self.known.iter().filter(|(_, known)| said(known));
        news.map(|(endpoint, known)| told(endpoint, known, now))
            .collect()
    }

    /// Lists all that is known, to be told to an instance that has just started.
    pub fn all(&self, now: Moment) -> Vec<Told> {
        let known = self.known.iter();
        known
            .map(|(endpoint, known)| told(endpoint, known, now))
            .collect()
    }

    /// Returns what is known of an endpoint, to be told to others.
    pub fn tell(&self, endpoint: &Arc<str>, now: Moment) -> Option<Told> {
        let known = self.known.get(endpoint)?;
        Some(told(endpoint, known, now))
    }

    /// Returns the limit that an endpoint names, if it does.
    pub fn named(&self, endpoint: &str) -> Option<Limit> {
        self.known.get(endpoint)?.limit
    }

    /// Forgets an endpoint that has ended.
    pub fn remove(&mut self, endpoint: &str) {
        self.known.remove(endpoint);
    }

    /// Returns whether nothing is known of any endpoint's limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Counts the endpoints that name a limit.
    pub fn in_force(&self) -> usize {
        let known = self.known.values();
        known.filter(|known| known.limit.is_some()).count()
    }
}

fn told(endpoint: &Arc<str>, known: &Known, now: Moment) -> Told {
    let age = now.since(known.heard).as_millis();
    Told {
        endpoint: Arc::clone(endpoint),
        limit: known.limit,
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}
