//! Decides which member to probe, when to suspect it and which updates to send.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use ploverwick_names::{Incarnation, Instance, Life, Moment};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Member, State, Update};

/// The number of peers asked to probe a member that did not respond.
const INDIRECT_PROBES: usize = 2;
/// The maximum number of updates per message.
const MAX_UPDATES_PER_MESSAGE: usize = 8;
/// The number of messages that carry an update, per doubling of the number of members.
const RETRANSMITS_PER_DOUBLING: u32 = 3;

/// Timeouts of failure detection.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// How long a member is suspected before it counts as gone.
    pub suspect_timeout: Duration,
    /// The maximum delay of the platform's list.
    pub list_lag: Duration,
}

/// An action for the caller to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Probe the member.
    Probe(Instance),
    /// Ask `helper` to probe `target`.
    IndirectProbe {
        /// The peer that sends the probe.
        helper: Instance,
        /// The member that did not respond.
        target: Instance,
    },
    /// The member's state changed.
    Changed(Life, State),
    /// The process has certainly ended.
    Ended(Life),
}

/// The members known to this instance.
#[derive(Debug)]
pub struct Controller {
    me: Update,
    config: Config,
    members: BTreeMap<Instance, Member>,
    probe_order: VecDeque<Instance>,
    round: u64,
    outbox: VecDeque<(Instance, u32)>,
    /// The newest incarnation of each instance that is known to have ended.
    ended: BTreeMap<Instance, Incarnation>,
    /// Since when processes named in records have been neither listed nor heard from.
    absent_since: BTreeMap<Life, Moment>,
}

impl Controller {
    /// Creates a controller that knows only this instance.
    pub fn new(me: Life, address: SocketAddr, config: Config) -> Self {
        Self {
            me: Update {
                life: me,
                state: State::Live,
                address,
                refutation: 0,
            },
            config,
            members: BTreeMap::new(),
            probe_order: VecDeque::new(),
            round: 0,
            outbox: VecDeque::new(),
            ended: BTreeMap::new(),
            absent_since: BTreeMap::new(),
        }
    }

    /// Returns the latest update about this instance itself.
    pub fn me(&self) -> &Update {
        &self.me
    }

    /// Lists the other members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the state of a member or of this instance itself.
    pub fn state(&self, instance: &Instance) -> Option<State> {
        if *instance == self.me.life.instance {
            return Some(self.me.state);
        }
        self.members.get(instance).map(|member| member.update.state)
    }

    /// Returns whether this process may still act on its work. A leaving process still does: it
    /// hands over its work itself.
    pub fn is_present(&self, life: &Life) -> bool {
        if *life == self.me.life {
            return true;
        }
        let member = self.members.get(&life.instance);
        member.is_some_and(|member| {
            member.update.state != State::Gone && member.update.life.incarnation <= life.incarnation
        })
    }

    /// Returns the address at which peers reach a member.
    pub fn address(&self, instance: &Instance) -> Option<SocketAddr> {
        if *instance == self.me.life.instance {
            return Some(self.me.address);
        }
        self.members
            .get(instance)
            .map(|member| member.update.address)
    }

    /// Lists the instances that can take work: this one unless it is leaving, and all members that
    /// are live, suspected, or listed but not heard from yet. The latter are included so that
    /// instances that start together agree from the start; one that never responds is soon
    /// suspected and then gone.
    pub fn eligible(&self) -> Vec<Instance> {
        let others = self.members.values().filter(|member| {
            matches!(
                member.update.state,
                State::Joining | State::Live | State::Suspect
            )
        });
        let mut eligible: Vec<Instance> = others
            .map(|member| member.update.life.instance.clone())
            .collect();
        if self.me.state == State::Live {
            eligible.push(self.me.life.instance.clone());
        }
        eligible.sort();
        eligible
    }

    /// Marks this instance as leaving and broadcasts it.
    pub fn leave(&mut self) {
        self.me.state = State::Leaving;
        self.me.refutation += 1;
        self.queue_update(self.me.life.instance.clone());
    }

    /// Applies the platform's list of instances.
    pub fn apply_list(
        &mut self,
        instances: &BTreeMap<Instance, ListEntry>,
        now: Moment,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for (instance, listed) in instances {
            if *instance != self.me.life.instance {
                self.apply_list_entry(instance, *listed, now, &mut actions);
            }
        }
        let removed: Vec<Instance> = self
            .members
            .iter()
            .filter(|(instance, member)| member.listed && !instances.contains_key(*instance))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in removed {
            if let Some(member) = self.members.remove(&instance) {
                let life = member.update.life;
                self.ended.insert(instance, life.incarnation);
                actions.push(Action::Changed(life.clone(), State::Gone));
                actions.push(Action::Ended(life));
            }
        }
        actions
    }

    /// Returns the given processes that have ended. A process has ended if its instance runs a
    /// newer incarnation, or has been neither listed nor heard from for the maximum delay of the
    /// list.
    pub fn find_ended(&mut self, lives: &[Life], now: Moment) -> Vec<Life> {
        self.absent_since.retain(|life, _| lives.contains(life));
        let mut found = Vec::new();
        for life in lives {
            let newest = self.newest_incarnation(&life.instance);
            if newest.is_some_and(|newest| newest > life.incarnation) {
                found.push(life.clone());
                continue;
            }
            if newest.is_some() {
                self.absent_since.remove(life);
                continue;
            }
            let since = *self.absent_since.entry(life.clone()).or_insert(now);
            if now >= since + self.config.list_lag {
                found.push(life.clone());
            }
        }
        found
    }

    fn newest_incarnation(&self, instance: &Instance) -> Option<Incarnation> {
        if *instance == self.me.life.instance {
            return Some(self.me.life.incarnation);
        }
        let member = self.members.get(instance);
        member.map(|member| member.update.life.incarnation)
    }

    fn apply_list_entry(
        &mut self,
        instance: &Instance,
        listed: ListEntry,
        now: Moment,
        actions: &mut Vec<Action>,
    ) {
        if let Some(member) = self.members.get_mut(instance) {
            member.listed = true;
            if listed.leaving && member.update.state < State::Leaving {
                member.update.state = State::Leaving;
                member.changed_at = now;
                actions.push(Action::Changed(member.update.life.clone(), State::Leaving));
            }
            return;
        }
        let life = Life {
            instance: instance.clone(),
            incarnation: Incarnation(0),
        };
        let state = if listed.leaving {
            State::Leaving
        } else {
            State::Joining
        };
        let member = Member {
            update: Update {
                life,
                state,
                address: listed.address,
                refutation: 0,
            },
            changed_at: now,
            listed: true,
        };
        self.members.insert(instance.clone(), member);
    }

    /// Starts a probe interval: expires suspected members and selects the next member to probe.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = self.expire_suspects(now);
        if let Some(target) = self.next_probe_target() {
            actions.push(Action::Probe(target));
        }
        actions
    }

    fn expire_suspects(&mut self, now: Moment) -> Vec<Action> {
        let suspect = self.config.suspect_timeout;
        let timed_out: Vec<Instance> = self
            .members
            .iter()
            .filter(|(_, member)| {
                member.update.state == State::Suspect && now >= member.changed_at + suspect
            })
            .map(|(instance, _)| instance.clone())
            .collect();
        timed_out
            .into_iter()
            .filter_map(|instance| self.change(&instance, State::Gone, now))
            .collect()
    }

    /// Returns the next member of the probe round. Members that are gone stay in the round, so that
    /// a member that was only partitioned is found again.
    fn next_probe_target(&mut self) -> Option<Instance> {
        if self.probe_order.is_empty() {
            self.round += 1;
            let seed = self.round ^ self.me.life.incarnation.0;
            let mut order: Vec<Instance> = self.members.keys().cloned().collect();
            order.sort_by_key(|instance| xxh3_64_with_seed(instance.as_str().as_bytes(), seed));
            self.probe_order = order.into();
        }
        self.probe_order.pop_front()
    }

    /// Handles a probe without a response by asking other members to probe the target.
    pub fn probe_timed_out(&mut self, target: &Instance) -> Vec<Action> {
        let seed = self.round;
        let mut helpers: Vec<&Instance> = self
            .members
            .iter()
            .filter(|(instance, member)| *instance != target && member.update.state == State::Live)
            .map(|(instance, _)| instance)
            .collect();
        helpers.sort_by_key(|instance| xxh3_64_with_seed(instance.as_str().as_bytes(), seed));
        let probe = |helper: &Instance| Action::IndirectProbe {
            helper: helper.clone(),
            target: target.clone(),
        };
        helpers
            .into_iter()
            .take(INDIRECT_PROBES)
            .map(probe)
            .collect()
    }

    /// Handles a member that neither this instance nor the other members could reach.
    pub fn mark_unreachable(&mut self, target: &Instance, now: Moment) -> Option<Action> {
        let state = self.members.get(target)?.update.state;
        let next = match state {
            State::Joining | State::Live => State::Suspect,
            State::Leaving => State::Gone,
            State::Suspect | State::Gone => return None,
        };
        self.change(target, next, now)
    }

    fn change(&mut self, instance: &Instance, state: State, now: Moment) -> Option<Action> {
        let member = self.members.get_mut(instance)?;
        if member.update.state == state {
            return None;
        }
        member.update.state = state;
        member.changed_at = now;
        let life = member.update.life.clone();
        self.queue_update(instance.clone());
        Some(Action::Changed(life, state))
    }

    /// Applies an update from a peer, about itself or another member. `direct` marks what a member
    /// says about itself in a message that it has just sent.
    pub fn apply_update(&mut self, update: &Update, direct: bool, now: Moment) -> Vec<Action> {
        if update.life.instance == self.me.life.instance {
            self.refute(update);
            return Vec::new();
        }
        let ended = self.ended.get(&update.life.instance);
        if ended.is_some_and(|ended| update.life.incarnation <= *ended) {
            return Vec::new();
        }
        let Some(member) = self.members.get(&update.life.instance) else {
            return self.add_unlisted(update, direct, now);
        };
        let known = &member.update;
        if update.life.incarnation > known.life.incarnation {
            return self.replace_life(update, now);
        }
        let newer = (update.refutation, update.state) > (known.refutation, known.state);
        // A member that responds is not suspect, whatever earlier updates said.
        let responds =
            direct && matches!(known.state, State::Joining | State::Suspect | State::Gone);
        let same_life = update.life.incarnation == known.life.incarnation;
        if !same_life || !(newer || responds) {
            return Vec::new();
        }
        let changed = known.state != update.state;
        let listed = member.listed;
        self.insert_member(update, listed, now);
        if changed {
            self.queue_update(update.life.instance.clone());
            return vec![Action::Changed(update.life.clone(), update.state)];
        }
        Vec::new()
    }

    fn refute(&mut self, update: &Update) {
        let same = update.life.incarnation == self.me.life.incarnation;
        let suspected = matches!(update.state, State::Suspect | State::Gone);
        if same && suspected && update.refutation >= self.me.refutation {
            self.me.refutation = update.refutation + 1;
            self.queue_update(self.me.life.instance.clone());
        }
    }

    /// Adds a member that is not listed yet. Indirect updates about gone members are dropped,
    /// because they may be old.
    fn add_unlisted(&mut self, update: &Update, direct: bool, now: Moment) -> Vec<Action> {
        if update.state == State::Gone && !direct {
            return Vec::new();
        }
        self.insert_member(update, false, now);
        self.queue_update(update.life.instance.clone());
        vec![Action::Changed(update.life.clone(), update.state)]
    }

    fn replace_life(&mut self, update: &Update, now: Moment) -> Vec<Action> {
        let known_member = self.members.get(&update.life.instance);
        let listed = known_member.is_some_and(|member| member.listed);
        let earlier = known_member.map(|member| member.update.life.clone());
        self.insert_member(update, listed, now);
        self.queue_update(update.life.instance.clone());
        // A member that was only listed had no known process that could have ended.
        let ended = earlier.filter(|life| life.incarnation != Incarnation(0));
        let mut actions: Vec<Action> = ended.map(Action::Ended).into_iter().collect();
        actions.push(Action::Changed(update.life.clone(), update.state));
        actions
    }

    fn insert_member(&mut self, update: &Update, listed: bool, now: Moment) {
        let member = Member {
            update: update.clone(),
            changed_at: now,
            listed,
        };
        self.members.insert(update.life.instance.clone(), member);
    }

    fn queue_update(&mut self, instance: Instance) {
        let size = u32::try_from(self.members.len() + 2).unwrap_or(u32::MAX);
        let retransmits = RETRANSMITS_PER_DOUBLING * (u32::BITS - size.leading_zeros());
        self.outbox.retain(|(queued, _)| *queued != instance);
        self.outbox.push_front((instance, retransmits));
    }

    /// Returns the updates to send with the next message.
    pub fn take_updates(&mut self) -> Vec<Update> {
        let mut updates = Vec::new();
        for _ in 0..self.outbox.len().min(MAX_UPDATES_PER_MESSAGE) {
            let Some((instance, retransmits)) = self.outbox.pop_front() else {
                break;
            };
            if let Some(update) = self.latest_update(&instance) {
                updates.push(update.clone());
            }
            if retransmits > 1 {
                self.outbox.push_back((instance, retransmits - 1));
            }
        }
        updates
    }

    fn latest_update(&self, instance: &Instance) -> Option<&Update> {
        if *instance == self.me.life.instance {
            return Some(&self.me);
        }
        self.members.get(instance).map(|member| &member.update)
    }
}

/// An instance's entry in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListEntry {
    /// The address for peers.
    pub address: SocketAddr,
    /// Whether it is about to leave.
    pub leaving: bool,
}
