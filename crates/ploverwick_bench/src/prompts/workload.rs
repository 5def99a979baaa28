//! Requests with shared parts of prompts, and what happens to the endpoints.

use std::rc::Rc;

use ploverwick_quarantine::prompt::Part;
use rand::RngExt;
use rand::rngs::SmallRng;

/// Which requests are fatal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fatal {
    None,
    /// The second part; the first is one of the common ones.
    Second,
    /// The second of three parts; the others are common.
    Middle,
    /// The first part.
    First,
    /// The second part; the first is always the same, and few sound requests share it.
    Rare,
    /// Two parts, each in half of the requests.
    Two,
    /// The whole request, which is sent again and again.
    Whole,
    /// The last part, which is the request's own, of a caller that names another caller's part before it.
    Hostile,
}

/// What else happens to endpoints and instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Trouble {
    None,
    /// An endpoint crashes by itself every so many milliseconds.
    Crashes(u64),
    /// A share of the endpoints is lost at once, three times in five seconds.
    Loss(f64),
    /// A failure domain of endpoints and instances is lost at once.
    Domain,
    /// A third of the instances is lost just after the first crash.
    Instances,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Scenario {
    pub(super) name: &'static str,
    pub(super) fatal: Fatal,
    /// The fatal requests a second.
    pub(super) rate: f64,
    pub(super) trouble: Trouble,
    /// The share of sound requests that are all the same.
    pub(super) alike: f64,
}

const fn scenario(name: &'static str, fatal: Fatal, rate: f64, trouble: Trouble) -> Scenario {
    Scenario {
        name,
        fatal,
        rate,
        trouble,
        alike: 0.0,
    }
}

const fn alike(name: &'static str, alike: f64, trouble: Trouble) -> Scenario {
    Scenario {
        alike,
        ..scenario(name, Fatal::None, 0.0, trouble)
    }
}

/// Losses of endpoints beside requests that are all the same, and requests that are fatal as a whole.
pub(super) const WHOLE_REQUESTS: [Scenario; 12] = [
    alike("0.001 alike, all lost", 0.001, Trouble::Loss(1.0)),
    alike("0.01 alike, all lost", 0.01, Trouble::Loss(1.0)),
    alike("0.1 alike, all lost", 0.1, Trouble::Loss(1.0)),
    alike("all alike, all lost", 1.0, Trouble::Loss(1.0)),
    alike("0.001 alike, a third lost", 0.001, Trouble::Loss(0.34)),
    alike("0.1 alike, a third lost", 0.1, Trouble::Loss(0.34)),
    alike(
        "0.001 alike, a crash each 0.5 s",
        0.001,
        Trouble::Crashes(500),
    ),
    alike("0.1 alike, a crash each 0.5 s", 0.1, Trouble::Crashes(500)),
    scenario("fatal, 2/s", Fatal::Whole, 2.0, Trouble::None),
    scenario("fatal, 10/s", Fatal::Whole, 10.0, Trouble::None),
    scenario(
        "fatal, 2/s, a crash each 0.5 s",
        Fatal::Whole,
        2.0,
        Trouble::Crashes(500),
    ),
    scenario(
        "fatal, 2/s, instances lost",
        Fatal::Whole,
        2.0,
        Trouble::Instances,
    ),
];

pub(super) const SCENARIOS: [Scenario; 13] = [
    scenario(
        "a crash each 10 s",
        Fatal::None,
        0.0,
        Trouble::Crashes(10_000),
    ),
    scenario(
        "a crash each 0.5 s",
        Fatal::None,
        0.0,
        Trouble::Crashes(500),
    ),
    scenario(
        "a third lost, three times",
        Fatal::None,
        0.0,
        Trouble::Loss(0.34),
    ),
    scenario(
        "all lost, three times",
        Fatal::None,
        0.0,
        Trouble::Loss(1.0),
    ),
    scenario("a failure domain lost", Fatal::None, 0.0, Trouble::Domain),
    scenario("second part, 2/s", Fatal::Second, 2.0, Trouble::None),
    scenario("second part, 10/s", Fatal::Second, 10.0, Trouble::None),
    scenario("middle part, 2/s", Fatal::Middle, 2.0, Trouble::None),
    scenario("first part, 2/s", Fatal::First, 2.0, Trouble::None),
    scenario(
        "beside a rare first part, 2/s",
        Fatal::Rare,
        2.0,
        Trouble::None,
    ),
    scenario("two parts, 4/s", Fatal::Two, 4.0, Trouble::None),
    scenario(
        "instances lost at the first crash",
        Fatal::Second,
        2.0,
        Trouble::Instances,
    ),
    scenario("hostile caller, 2/s", Fatal::Hostile, 2.0, Trouble::None),
];

/// A request.
#[derive(Debug, Clone)]
pub(super) struct Prompt {
    pub(super) parts: Rc<[Part]>,
    pub(super) caller: u8,
    pub(super) is_fatal: bool,
}

const SOUND_CALLER: u8 = 0;
const HOSTILE_CALLER: u8 = 1;
/// The part that the hostile caller names, which 1 of this many sound requests shares.
const VICTIM_SHARE: f64 = 1.0 / 400.0;

/// Draws a sound request; a share of them is all the same.
pub(super) fn sound(alike: f64, random: &mut SmallRng) -> Prompt {
    if alike > 0.0 && random.random_bool(alike) {
        return prompt(&["a11e".to_owned()], SOUND_CALLER, false);
    }
    various(random)
}

/// Draws a sound request: most are of one route with three first parts and hundreds of second ones, some of two others.
fn various(random: &mut SmallRng) -> Prompt {
    let kind = random.random::<f64>();
    let parts = if kind < VICTIM_SHARE {
        vec!["a1".to_owned(), "b0".to_owned()]
    } else if kind < 2.0 * VICTIM_SHARE {
        vec!["c0".to_owned(), format!("c{}", random.random_range(1..6))]
    } else if kind < 0.85 {
        let subject = random.random_range(0..302);
        vec![
            format!("a{}", random.random_range(0..3)),
            format!("5{subject}"),
        ]
    } else if kind < 0.97 {
        vec!["d".to_owned(), format!("d{}", random.random_range(0..4))]
    } else {
        let (first, second) = (random.random_range(0..3), random.random_range(0..5));
        vec![format!("e{first}"), format!("f{second}")]
    };
    prompt(&parts, SOUND_CALLER, false)
}

/// Draws a fatal request.
pub(super) fn fatal(kind: Fatal, random: &mut SmallRng) -> Prompt {
    let first = format!("a{}", random.random_range(0..3));
    let subject = format!("5{}", random.random_range(0..302));
    let part = "fa7a1".to_owned();
    let parts = match kind {
        Fatal::None => Vec::new(),
        Fatal::Middle => vec![first, part, subject],
        Fatal::First => vec![part, subject],
        Fatal::Whole => vec![part],
        Fatal::Rare => vec!["c0".to_owned(), part],
        Fatal::Two if random.random_bool(0.5) => vec![first, "fa7a2".to_owned()],
        Fatal::Second | Fatal::Two => vec![first, part],
        Fatal::Hostile => vec!["b0".to_owned()],
    };
    let is_hostile = kind == Fatal::Hostile;
    let caller = if is_hostile {
        HOSTILE_CALLER
    } else {
        SOUND_CALLER
    };
    prompt(&parts, caller, true)
}

fn prompt(ids: &[String], caller: u8, is_fatal: bool) -> Prompt {
    Prompt {
        parts: ids.iter().map(|id| Part::of(id)).collect(),
        caller,
        is_fatal,
    }
}

/// Returns the first parts that fatal requests share with sound ones.
pub(super) fn shared_first_parts(kind: Fatal) -> Vec<Part> {
    let ids: &[&str] = match kind {
        Fatal::None | Fatal::First | Fatal::Whole => &[],
        Fatal::Second | Fatal::Middle | Fatal::Two => &["a0", "a1", "a2"],
        Fatal::Rare => &["c0"],
        Fatal::Hostile => &["b0"],
    };
    ids.iter().map(|id| Part::of(id)).collect()
}
