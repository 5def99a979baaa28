//! Instances learn the speed of endpoints together: they send what they observed to placers, which send figures back.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{
    Capacity, Entry, Fleet, Load, MAX_CHANGED_FIGURES, MAX_OBSERVED_ENDPOINTS, Query,
    REFRESHED_FIGURES, State, StepMeter,
};
use ploverwick_names::Moment;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const DOMAINS: usize = 4;
const ENDPOINTS: usize = 60;
const INSTANCES: usize = 73;
/// The factors by which endpoints of one service take longer.
const SLOWNESS: [f64; 3] = [0.7, 0.7, 1.7];
const UNIT: Capacity = Capacity {
    read_ms: 0.036,
    step_ms: 5.1,
};
const EVENT_TOKENS: u32 = 7;
const ROUND: Duration = Duration::from_millis(150);
const ROUNDS_PER_MESSAGE: usize = 4;

fn id(number: usize) -> Arc<str> {
    Arc::from(format!("i-{number}"))
}

fn domain(number: usize) -> String {
    format!("d{}", number % DOMAINS)
}

fn entry(number: usize, born: u64) -> Entry {
    Entry {
        id: id(number),
        service: Arc::from("lm"),
        address: "127.0.0.1:80".parse().expect("an address"),
        domain: Arc::from(domain(number)),
        software: Arc::from("v1"),
        slots: 10,
        state: State::Ready,
        held: Vec::new(),
        born,
        beat: 0,
    }
}

fn fleet(endpoints: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..endpoints {
        fleet.put(entry(number, 1));
    }
    fleet
}

/// Returns the speed of an endpoint that takes `factor` times as long as usual.
fn truth(number: usize, factor: f64) -> Capacity {
    let slowness = SLOWNESS[number % SLOWNESS.len()] * factor;
    Capacity {
        read_ms: UNIT.read_ms * slowness,
        step_ms: UNIT.step_ms * slowness,
    }
}

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}

/// Lets an instance observe an answer: a prompt behind others, then some events, a third of which are late because
/// the endpoint reads prompts of other instances.
fn observe_answer(instance: &mut Fleet, endpoint: usize, truth: Capacity, random: &mut StdRng) {
    let tokens = random.random_range(100..1_200);
    let reading = f64::from(tokens) * truth.read_ms * random.random_range(0.8..1.2);
    let started = truth.step_ms * random.random_range(1.5..2.5);
    instance.record_reading(&id(endpoint), tokens, 2, ms(reading + started));
    let mut meter = StepMeter::default();
    for _ in 0..18 {
        let steps = truth.step_ms * f64::from(EVENT_TOKENS) * random.random_range(0.9..1.1);
        let read = if random.random_bool(0.33) { 700.0 } else { 0.0 };
        let pause = ms(steps + read * truth.read_ms);
        if let Some(observed) = meter.record_pause(pause, pause, EVENT_TOKENS) {
            instance.record_observations(&id(endpoint), observed);
        }
    }
}

/// A number of instances. The first of each failure domain is its placer.
struct Deployment {
    instances: Vec<Fleet>,
    random: StdRng,
    now: Moment,
    rounds: usize,
}

impl Deployment {
    fn new(instances: usize, endpoints: usize) -> Self {
        Self {
            instances: (0..instances).map(|_| fleet(endpoints)).collect(),
            random: StdRng::seed_from_u64(7),
            now: Moment(10_000),
            rounds: 0,
        }
    }

    /// Has instances observe `per_s` answers a second, and exchange messages if `connected`.
    fn run(
        &mut self,
        time: Duration,
        per_s: usize,
        endpoints: usize,
        factor: f64,
        connected: bool,
    ) {
        let rounds = time.as_millis() / ROUND.as_millis();
        let per_round = per_s * ROUND.as_millis() as usize / 1_000;
        for _ in 0..rounds {
            for _ in 0..per_round {
                let instance = self.random.random_range(0..self.instances.len());
                let endpoint = self.random.random_range(0..endpoints);
                let truth = truth(endpoint, factor);
                let instance = &mut self.instances[instance];
                observe_answer(instance, endpoint, truth, &mut self.random);
            }
            self.now = self.now + ROUND;
            for instance in &mut self.instances {
                instance.tick_capacities(self.now);
            }
            self.rounds += 1;
            if connected && self.rounds.is_multiple_of(ROUNDS_PER_MESSAGE) {
                self.exchange();
            }
        }
    }

    fn exchange(&mut self) {
        let placers = DOMAINS.min(self.instances.len());
        for instance in 0..self.instances.len() {
            let mut room = MAX_OBSERVED_ENDPOINTS;
            for placer in 0..placers {
                let max = if instance == placer { usize::MAX } else { room };
                let observed = self.instances[instance].take_observations(&domain(placer), max);
                if instance != placer {
                    room -= observed.len();
                    self.instances[placer].record_peer_observations(&observed);
                }
            }
        }
        for placer in 0..placers {
            let figures = self.instances[placer].next_figures(
                &domain(placer),
                MAX_CHANGED_FIGURES,
                REFRESHED_FIGURES,
            );
            let figures: Vec<_> = figures.into_iter().map(|(_, figure)| figure).collect();
            for instance in (0..self.instances.len()).filter(|instance| *instance != placer) {
                self.instances[instance].record_figures(&figures);
            }
        }
    }

    fn capacity(&self, instance: usize, endpoint: usize) -> Capacity {
        let capacity = self.instances[instance].capacity(&id(endpoint));
        capacity.expect("the endpoint is listed")
    }

    /// Returns the endpoints whose learned speed differs by more than `tolerance` from the truth.
    fn wrong(&self, instance: usize, tolerance: f64) -> Vec<usize> {
        let is_wrong = |endpoint: &usize| {
            let (learned, truth) = (self.capacity(instance, *endpoint), truth(*endpoint, 1.0));
            let error = |a: f64, b: f64| (a / b - 1.0).abs();
            error(learned.read_ms, truth.read_ms) > tolerance
                || error(learned.step_ms, truth.step_ms) > tolerance
        };
        (0..ENDPOINTS).filter(is_wrong).collect()
    }
}

/// Guards against instances that each learn alone, from an answer of each endpoint in ten seconds.
#[googletest::test]
fn instances_learn_together() {
    let mut deployment = Deployment::new(INSTANCES, ENDPOINTS);
    deployment.run(Duration::from_secs(2), 500, ENDPOINTS, 1.0, true);
    for placer in 0..DOMAINS {
        let wrong = deployment.wrong(placer, 0.15);
        let in_domain = wrong.into_iter().filter(|e| e % DOMAINS == placer);
        expect_that!(in_domain.collect::<Vec<_>>(), is_empty());
    }
    // Placers send figures again only after some change, and rounded.
    expect_that!(deployment.wrong(INSTANCES - 1, 0.25).len(), le(1));
    let mut alone = Deployment::new(INSTANCES, ENDPOINTS);
    alone.run(Duration::from_secs(2), 500, ENDPOINTS, 1.0, false);
    expect_that!(alone.wrong(INSTANCES - 1, 0.25).len(), ge(20));
}

/// Guards against an estimate that stays at an old speed.
#[googletest::test]
fn follows_slow_period() {
    let mut deployment = Deployment::new(8, 4);
    let ratio = |deployment: &Deployment| deployment.capacity(7, 1).read_ms / truth(1, 1.0).read_ms;
    deployment.run(Duration::from_secs(20), 40, 4, 1.0, true);
    expect_that!(ratio(&deployment), all!(gt(0.85), lt(1.15)));
    deployment.run(Duration::from_secs(3), 40, 4, 2.5, true);
    expect_that!(ratio(&deployment), gt(1.9));
    deployment.run(Duration::from_secs(3), 40, 4, 1.0, true);
    expect_that!(ratio(&deployment), all!(gt(0.85), lt(1.3)));
}

/// Guards against figures that outlive the process that they were measured at.
#[googletest::test]
fn restarted_endpoint_is_unknown() {
    let mut deployment = Deployment::new(4, 12);
    deployment.run(Duration::from_secs(4), 100, 12, 1.0, true);
    let slow = deployment.capacity(0, 2).read_ms;
    let typical = deployment.capacity(0, 0).read_ms;
    expect_that!(slow, gt(2.0 * typical));
    let fleet = &mut deployment.instances[0];
    fleet.put(entry(2, 2));
    fleet.tick_capacities(deployment.now);
    expect_that!(deployment.capacity(0, 2).read_ms, lt(1.2 * typical));
    let fleet = &mut deployment.instances[0];
    fleet.put(entry(14, 1));
    fleet.tick_capacities(deployment.now);
    expect_that!(deployment.capacity(0, 14).read_ms, lt(1.2 * typical));
}

/// Guards against instances that forget what they learned, or learn no more, when a placer is lost.
#[googletest::test]
fn outlives_placer() {
    let mut deployment = Deployment::new(INSTANCES, ENDPOINTS);
    deployment.run(Duration::from_secs(8), 500, ENDPOINTS, 1.0, true);
    let before = deployment.wrong(INSTANCES - 1, 0.2).len();
    expect_that!(before, le(2));
    deployment.run(Duration::from_secs(4), 500, ENDPOINTS, 1.0, false);
    expect_that!(deployment.wrong(INSTANCES - 1, 0.2).len(), le(12));
    // The next placer begins with the figures that it was sent.
    let next = &mut deployment.instances[DOMAINS];
    let figures = next.next_figures("d0", ENDPOINTS, 0);
    expect_that!(figures.len(), eq(ENDPOINTS / DOMAINS));
    // An instance that sends a slowed endpoint many requests learns without a placer.
    let now = deployment.now;
    let alone = &mut deployment.instances[INSTANCES - 1];
    let before = alone.capacity(&id(0)).expect("it is listed").read_ms;
    let slow = truth(0, 2.5);
    for round in 1..=14 {
        for _ in 0..2 {
            observe_answer(alone, 0, slow, &mut deployment.random);
        }
        alone.tick_capacities(now + ROUND * round);
    }
    let after = alone.capacity(&id(0)).expect("it is listed").read_ms;
    expect_that!(after, gt(1.8 * before));
}

/// Guards against taking a client that reads slowly for a slow endpoint.
#[googletest::test]
fn slow_client_is_no_slow_endpoint() {
    let mut meter = StepMeter::default();
    let (pause, waited) = (ms(400.0), ms(1.0));
    for _ in 0..20 {
        expect_that!(meter.record_pause(pause, waited, EVENT_TOKENS), none());
    }
    expect_that!(meter.finish(EVENT_TOKENS), none());
    let waited = ms(35.0);
    for _ in 0..3 {
        meter.record_pause(waited, waited, EVENT_TOKENS);
    }
    let observed = meter.finish(EVENT_TOKENS).map(|o| (o.steps, o.steps_ms));
    expect_that!(observed, some(eq((21, 105))));
}

fn rank(fleet: &Fleet) -> Vec<Arc<str>> {
    let query = Query {
        service: "lm",
        domain: "d0",
        key: "a1",
        id: "r1",
        peers: 0,
        bytes: 0,
        prompt: 1_000,
        pacing: None,
        build: None,
        avoided_builds: &[],
        max_fill: 2.5,
        except: &[],
    };
    let ranked = fleet.rank(&query, Moment(1_000));
    ranked.into_iter().map(|(_, id)| id).collect()
}

/// Guards against preempting a running request while another endpoint has memory for the next.
#[googletest::test]
fn avoids_full_memory() {
    let now = Moment(1_000);
    let mut fleet = Fleet::default();
    for number in [0, DOMAINS] {
        fleet.put(entry(number, 1));
    }
    let busy = Load {
        requests: 3,
        unread_tokens: 0,
        held_tokens: 9_500,
    };
    let loads = HashMap::from([(id(0), busy)]);
    fleet.record_peer_loads(Arc::from("p1"), loads, now);
    for _ in 0..6 {
        fleet.record_sent(&id(DOMAINS), 0);
    }
    // Without a declared memory, the endpoint with fewer requests is preferred.
    expect_that!(fleet.memory_fill(&id(0), now), none());
    expect_that!(rank(&fleet)[0], eq(&id(0)));
    fleet.set_token_capacities(HashMap::from([(Arc::from("lm"), 10_000)]));
    expect_that!(fleet.memory_fill(&id(0), now), some(approx_eq(0.95)));
    expect_that!(rank(&fleet)[0], eq(&id(DOMAINS)));
    // Requests beyond the slots wait and hold nothing.
    fleet.record_sent(&id(DOMAINS), 0);
    fleet.record_held(&id(DOMAINS), 4_000);
    for _ in 0..13 {
        fleet.record_sent(&id(DOMAINS), 0);
    }
    expect_that!(
        fleet.memory_fill(&id(DOMAINS), now),
        some(approx_eq(0.4 / 2.0))
    );
    fleet.record_released(&id(DOMAINS), 4_000);
    expect_that!(fleet.memory_fill(&id(DOMAINS), now), some(approx_eq(0.0)));
}

/// Guards against messages that grow with the fleet: 330 instances before 870 endpoints, each of which answers eight
/// requests a second.
#[googletest::test]
fn messages_are_small() {
    const MAX_BYTES_PER_S: f64 = 500.0;
    /// The kind of a message, and the number of entries.
    const HEADER_BYTES: usize = 2;
    let mut deployment = Deployment::new(6, 870);
    let answers_per_s = 870 * 8 / 330 * 6;
    let mut observed_bytes = 0;
    let mut figure_bytes = 0;
    let rounds = 10;
    for _ in 0..rounds {
        let round = ROUND * ROUNDS_PER_MESSAGE as u32;
        deployment.run(round, answers_per_s, 870, 1.0, false);
        let mut room = MAX_OBSERVED_ENDPOINTS;
        for number in 0..DOMAINS {
            let instance = &mut deployment.instances[DOMAINS];
            let observed = instance.take_observations(&domain(number), room);
            room -= observed.len();
            let encoded = postcard::to_stdvec(&observed).expect("it is encodable");
            observed_bytes += HEADER_BYTES + encoded.len();
            let placer = &mut deployment.instances[number];
            let figures =
                placer.next_figures(&domain(number), MAX_CHANGED_FIGURES, REFRESHED_FIGURES);
            let figures: Vec<_> = figures.into_iter().map(|(_, figure)| figure).collect();
            let encoded = postcard::to_stdvec(&figures).expect("it is encodable");
            figure_bytes += HEADER_BYTES + encoded.len();
        }
    }
    let seconds = (ROUND * ROUNDS_PER_MESSAGE as u32 * rounds).as_secs_f64();
    // An instance sends its observations, and receives the figures of each failure domain.
    let per_s = (observed_bytes + figure_bytes) as f64 / seconds;
    println!("{observed_bytes} B of observations and {figure_bytes} B of figures in {seconds} s");
    expect_that!(figure_bytes, gt(0));
    expect_that!(observed_bytes, gt(0));
    expect_that!(per_s, le(MAX_BYTES_PER_S));
}
