//! Decides whom to probe, whom to suspect and what to tell.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use ploverwick_names::{Incarnation, Instance, Life, Moment};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Member, News, State};

/// How many peers are asked to probe a silent member.
const HELPERS: usize = 2;
/// The most changes that travel on one message.
const NEWS_PER_MESSAGE: usize = 8;
/// How many messages carry a change, for each doubling of the fleet.
const REPEATS_PER_DOUBLING: u32 = 3;

/// The spans of membership.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// How long a silent member is suspected before it counts as gone.
    pub suspect: Duration,
    /// How late the platform's list may be.
    pub list_lag: Duration,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Probe the member.
    Probe(Instance),
    /// Ask `helper` to probe `target`.
    Relay {
        /// Who is to probe.
        helper: Instance,
        /// Who is silent.
        target: Instance,
    },
    /// The member's state changed.
    Changed(Life, State),
    /// The life's process has certainly ended.
    Ended(Life),
}

/// All members, as this daemon knows them.
#[derive(Debug)]
pub struct Controller {
    me: News,
    config: Config,
    members: BTreeMap<Instance, Member>,
    round: VecDeque<Instance>,
    rounds: u64,
    outbox: VecDeque<(Instance, u32)>,
    /// The newest life of each instance that is known to have ended.
    ended: BTreeMap<Instance, Incarnation>,
    /// Since when lives that others speak of are neither listed nor heard of.
    absent: BTreeMap<Life, Moment>,
}

impl Controller {
    /// Starts knowing only this daemon.
    pub fn new(me: Life, address: SocketAddr, config: Config) -> Self {
        Self {
            me: News {
                life: me,
                state: State::Live,
                address,
                refutation: 0,
            },
            config,
            members: BTreeMap::new(),
            round: VecDeque::new(),
            rounds: 0,
            outbox: VecDeque::new(),
            ended: BTreeMap::new(),
            absent: BTreeMap::new(),
        }
    }

    /// Returns what this daemon says of itself.
    pub fn me(&self) -> &News {
        &self.me
    }

    /// Lists the other members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns a member's state; this daemon's own is known too.
    pub fn state(&self, instance: &Instance) -> Option<State> {
        if *instance == self.me.life.instance {
            return Some(self.me.state);
        }
        self.members.get(instance).map(|member| member.news.state)
    }

    /// Returns whether this life may still act on its work. One that leaves still does: it hands
    /// its work over itself.
    pub fn is_present(&self, life: &Life) -> bool {
        if *life == self.me.life {
            return true;
        }
        let member = self.members.get(&life.instance);
        member.is_some_and(|member| {
            member.news.state != State::Gone && member.news.life.incarnation <= life.incarnation
        })
    }

    /// Returns where a member's peers reach it.
    pub fn address(&self, instance: &Instance) -> Option<SocketAddr> {
        if *instance == self.me.life.instance {
            return Some(self.me.address);
        }
        self.members.get(instance).map(|member| member.news.address)
    }

    /// Lists the instances that can take work: this one unless it leaves, and all that are live,
    /// merely suspected, or listed and not heard of yet. The last are counted so that daemons that
    /// start together agree from the start; one that never answers is soon suspected, then gone.
    pub fn able(&self) -> Vec<Instance> {
        let others = self.members.values().filter(|member| {
            matches!(
                member.news.state,
                State::Joining | State::Live | State::Suspect
            )
        });
        let mut able: Vec<Instance> = others
            .map(|member| member.news.life.instance.clone())
            .collect();
        if self.me.state == State::Live {
            able.push(self.me.life.instance.clone());
        }
        able.sort();
        able
    }

    /// Marks this daemon as leaving and tells the others.
    pub fn leave(&mut self) {
        self.me.state = State::Leaving;
        self.me.refutation += 1;
        self.tell(self.me.life.instance.clone());
    }

    /// Takes the platform's list into account.
    pub fn listed(&mut self, instances: &BTreeMap<Instance, Listed>, now: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        for (instance, listed) in instances {
            if *instance != self.me.life.instance {
                self.list_one(instance, *listed, now, &mut actions);
            }
        }
        let dropped: Vec<Instance> = self
            .members
            .iter()
            .filter(|(instance, member)| member.listed && !instances.contains_key(*instance))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in dropped {
            if let Some(member) = self.members.remove(&instance) {
                let life = member.news.life;
                self.ended.insert(instance, life.incarnation);
                actions.push(Action::Changed(life.clone(), State::Gone));
                actions.push(Action::Ended(life));
            }
        }
        actions
    }

    /// Finds out which of the lives that records speak of have ended. A life has ended if its
    /// instance runs a newer one, or has been neither listed nor heard of for the list's lag.
    pub fn find_ended(&mut self, lives: &[Life], now: Moment) -> Vec<Life> {
        self.absent.retain(|life, _| lives.contains(life));
        let mut found = Vec::new();
        for life in lives {
            let newest = self.newest_life(&life.instance);
            if newest.is_some_and(|newest| newest > life.incarnation) {
                found.push(life.clone());
                continue;
            }
            if newest.is_some() {
                self.absent.remove(life);
                continue;
            }
            let since = *self.absent.entry(life.clone()).or_insert(now);
            if now >= since + self.config.list_lag {
                found.push(life.clone());
            }
        }
        found
    }

    fn newest_life(&self, instance: &Instance) -> Option<Incarnation> {
        if *instance == self.me.life.instance {
            return Some(self.me.life.incarnation);
        }
        let member = self.members.get(instance);
        member.map(|member| member.news.life.incarnation)
    }

    fn list_one(
        &mut self,
        instance: &Instance,
        listed: Listed,
        now: Moment,
        actions: &mut Vec<Action>,
    ) {
        if let Some(member) = self.members.get_mut(instance) {
            member.listed = true;
            if listed.leaving && member.news.state < State::Leaving {
                member.news.state = State::Leaving;
                member.since = now;
                actions.push(Action::Changed(member.news.life.clone(), State::Leaving));
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
            news: News {
                life,
                state,
                address: listed.address,
                refutation: 0,
            },
            since: now,
            listed: true,
        };
        self.members.insert(instance.clone(), member);
    }

    /// Starts a beat: whom to probe, and who has been suspected for too long.
    pub fn beat(&mut self, now: Moment) -> Vec<Action> {
        let mut actions = self.give_up(now);
        if let Some(target) = self.next_target() {
            actions.push(Action::Probe(target));
        }
        actions
    }

    fn give_up(&mut self, now: Moment) -> Vec<Action> {
        let suspect = self.config.suspect;
        let late: Vec<Instance> = self
            .members
            .iter()
            .filter(|(_, member)| {
                member.news.state == State::Suspect && now >= member.since + suspect
            })
            .map(|(instance, _)| instance.clone())
            .collect();
        late.into_iter()
            .filter_map(|instance| self.change(&instance, State::Gone, now))
            .collect()
    }

    /// Takes the next member of the round. Members that are gone stay in it, so that one that was
    /// only cut off is found again.
    fn next_target(&mut self) -> Option<Instance> {
        if self.round.is_empty() {
            self.rounds += 1;
            let seed = self.rounds ^ self.me.life.incarnation.0;
            let mut order: Vec<Instance> = self.members.keys().cloned().collect();
            order.sort_by_key(|instance| xxh3_64_with_seed(instance.as_str().as_bytes(), seed));
            self.round = order.into();
        }
        self.round.pop_front()
    }

    /// Says that a probe was not answered: others are asked to try.
    pub fn unanswered(&mut self, target: &Instance) -> Vec<Action> {
        let seed = self.rounds;
        let mut helpers: Vec<&Instance> = self
            .members
            .iter()
            .filter(|(instance, member)| *instance != target && member.news.state == State::Live)
            .map(|(instance, _)| instance)
            .collect();
        helpers.sort_by_key(|instance| xxh3_64_with_seed(instance.as_str().as_bytes(), seed));
        let relay = |helper: &Instance| Action::Relay {
            helper: helper.clone(),
            target: target.clone(),
        };
        helpers.into_iter().take(HELPERS).map(relay).collect()
    }

    /// Says that nobody reached the member.
    pub fn unreachable(&mut self, target: &Instance, now: Moment) -> Option<Action> {
        let state = self.members.get(target)?.news.state;
        let next = match state {
            State::Joining | State::Live => State::Suspect,
            State::Leaving => State::Gone,
            State::Suspect | State::Gone => return None,
        };
        self.change(target, next, now)
    }

    fn change(&mut self, instance: &Instance, state: State, now: Moment) -> Option<Action> {
        let member = self.members.get_mut(instance)?;
        if member.news.state == state {
            return None;
        }
        member.news.state = state;
        member.since = now;
        let life = member.news.life.clone();
        self.tell(instance.clone());
        Some(Action::Changed(life, state))
    }

    /// Takes what a peer says into account, of itself or of others. `first_hand` marks what a
    /// member says of itself in a message that it sent just now.
    pub fn hear(&mut self, news: &News, first_hand: bool, now: Moment) -> Vec<Action> {
        if news.life.instance == self.me.life.instance {
            self.refute(news);
            return Vec::new();
        }
        let ended = self.ended.get(&news.life.instance);
        if ended.is_some_and(|ended| news.life.incarnation <= *ended) {
            return Vec::new();
        }
        let Some(member) = self.members.get(&news.life.instance) else {
            return self.meet(news, first_hand, now);
        };
        let known = &member.news;
        if news.life.incarnation > known.life.incarnation {
            return self.replace_life(news, now);
        }
        let newer = (news.refutation, news.state) > (known.refutation, known.state);
        // A member that answers is not suspect, whatever was said before.
        let answers =
            first_hand && matches!(known.state, State::Joining | State::Suspect | State::Gone);
        let same_life = news.life.incarnation == known.life.incarnation;
        if !same_life || !(newer || answers) {
            return Vec::new();
        }
        let changed = known.state != news.state;
        let listed = member.listed;
        self.put(news, listed, now);
        if changed {
            self.tell(news.life.instance.clone());
            return vec![Action::Changed(news.life.clone(), news.state)];
        }
        Vec::new()
    }

    fn refute(&mut self, news: &News) {
        let same = news.life.incarnation == self.me.life.incarnation;
        let doubted = matches!(news.state, State::Suspect | State::Gone);
        if same && doubted && news.refutation >= self.me.refutation {
            self.me.refutation = news.refutation + 1;
            self.tell(self.me.life.instance.clone());
        }
    }

    /// Adds a member that the platform does not list yet. Old rumours of the gone are dropped.
    fn meet(&mut self, news: &News, first_hand: bool, now: Moment) -> Vec<Action> {
        if news.state == State::Gone && !first_hand {
            return Vec::new();
        }
        self.put(news, false, now);
        self.tell(news.life.instance.clone());
        vec![Action::Changed(news.life.clone(), news.state)]
    }

    fn replace_life(&mut self, news: &News, now: Moment) -> Vec<Action> {
        let before = self.members.get(&news.life.instance);
        let listed = before.is_some_and(|member| member.listed);
        let earlier = before.map(|member| member.news.life.clone());
        self.put(news, listed, now);
        self.tell(news.life.instance.clone());
        // A member that was only listed had no known life that could have ended.
        let ended = earlier.filter(|life| life.incarnation != Incarnation(0));
        let mut actions: Vec<Action> = ended.map(Action::Ended).into_iter().collect();
        actions.push(Action::Changed(news.life.clone(), news.state));
        actions
    }

    fn put(&mut self, news: &News, listed: bool, now: Moment) {
        let member = Member {
            news: news.clone(),
            since: now,
            listed,
        };
        self.members.insert(news.life.instance.clone(), member);
    }

    fn tell(&mut self, instance: Instance) {
        let size = u32::try_from(self.members.len() + 2).unwrap_or(u32::MAX);
        let repeats = REPEATS_PER_DOUBLING * (u32::BITS - size.leading_zeros());
        self.outbox.retain(|(known, _)| *known != instance);
        self.outbox.push_front((instance, repeats));
    }

    /// Takes the changes that are to travel on the next message.
    pub fn news(&mut self) -> Vec<News> {
        let mut news = Vec::new();
        for _ in 0..self.outbox.len().min(NEWS_PER_MESSAGE) {
            let Some((instance, repeats)) = self.outbox.pop_front() else {
                break;
            };
            if let Some(known) = self.known(&instance) {
                news.push(known.clone());
            }
            if repeats > 1 {
                self.outbox.push_back((instance, repeats - 1));
            }
        }
        news
    }

    fn known(&self, instance: &Instance) -> Option<&News> {
        if *instance == self.me.life.instance {
            return Some(&self.me);
        }
        self.members.get(instance).map(|member| &member.news)
    }
}

/// What the platform's list says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listed {
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Whether it is about to go.
    pub leaving: bool,
}
