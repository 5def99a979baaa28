//! Column selectors: a hall, a time window, or both.

use std::fmt;
use std::sync::Arc;

use jiff::Timestamp;
use jiff::tz::TimeZone;
use ploverwick_codes::diagnostic::Rule;
use ploverwick_names::Hall;

const MINUTES_PER_HOUR: u16 = 60;
const MINUTES_PER_DAY: u16 = 24 * MINUTES_PER_HOUR;
const DEFAULT_ZONE: &str = "UTC";

/// A daily time window in a time zone, such as `08:00-10:30 Africa/Tunis`.
///
/// A window whose end is not after its start spans midnight.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Window {
    /// The start, in minutes since midnight (inclusive).
    pub from: u16,
    /// The end, in minutes since midnight (exclusive).
    pub to: u16,
    /// The IANA name of the time zone.
    pub zone: Arc<str>,
}

/// Selects the requests that a column applies to. An empty selector matches all requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Selector {
    /// The hall that the requests come from.
    pub hall: Option<Hall>,
    /// The time window in which the requests arrive.
    pub window: Option<Window>,
}

impl Window {
    /// Returns the window's length in minutes.
    pub fn minutes(&self) -> u16 {
        let span = (self.to + MINUTES_PER_DAY - self.from) % MINUTES_PER_DAY;
        if span == 0 { MINUTES_PER_DAY } else { span }
    }

    /// Returns whether `at` lies within the window.
    pub fn contains(&self, at: Timestamp) -> bool {
        // The zone was checked when it was parsed, and every build bundles the time zone database.
        let Ok(zone) = TimeZone::get(&self.zone) else {
            return false;
        };
        let local = at.to_zoned(zone);
        let hour = u16::try_from(local.hour()).unwrap_or_default();
        let minute = u16::try_from(local.minute()).unwrap_or_default();
        let now = hour * MINUTES_PER_HOUR + minute;
        let since = (now + MINUTES_PER_DAY - self.from) % MINUTES_PER_DAY;
        since < self.minutes()
    }
}

impl Selector {
    /// Parses the text between the brackets, such as `lac 08:00-10:30 Africa/Tunis`.
    ///
    /// # Errors
    /// Returns the rule that the text violates.
    pub fn parse(text: &str) -> Result<Self, Rule> {
        let mut selector = Self::default();
        let mut words = text.split_whitespace().peekable();
        if let Some(word) = words.next_if(|word| !is_window(word)) {
            selector.hall = Some(Hall::new(word).map_err(|_| Rule::SelectorMalformed)?);
        }
        if let Some(word) = words.next() {
            selector.window = Some(parse_window(word, words.next())?);
        }
        if words.next().is_some() || selector == Self::default() {
            return Err(Rule::SelectorMalformed);
        }
        Ok(selector)
    }

    /// Returns whether the selector matches a request that arrives from `hall` at `at`.
    pub fn matches(&self, hall: Option<&Hall>, at: Timestamp) -> bool {
        let hall_matches = self.hall.is_none() || self.hall.as_ref() == hall;
        hall_matches
            && self
                .window
                .as_ref()
                .is_none_or(|window| window.contains(at))
    }

    /// Returns a sort key that is greater for more specific selectors.
    ///
    /// From most to least specific: hall and window, hall only, window only, neither. A shorter
    /// window is more specific than a longer one.
    pub fn specificity(&self) -> (u8, u16) {
        let kind = match (&self.hall, &self.window) {
            (Some(_), Some(_)) => 3,
            (Some(_), None) => 2,
            (None, Some(_)) => 1,
            (None, None) => 0,
        };
        let length = self
            .window
            .as_ref()
            .map_or(MINUTES_PER_DAY, Window::minutes);
        (kind, MINUTES_PER_DAY - length)
    }
}

fn is_window(word: &str) -> bool {
    word.contains(':')
}

fn parse_window(word: &str, zone: Option<&str>) -> Result<Window, Rule> {
    let (from, to) = word.split_once('-').ok_or(Rule::SelectorMalformed)?;
    let zone = zone.unwrap_or(DEFAULT_ZONE);
    TimeZone::get(zone).map_err(|_| Rule::ZoneUnknown)?;
    Ok(Window {
        from: parse_minute(from)?,
        to: parse_minute(to)?,
        zone: Arc::from(zone),
    })
}

/// Parses a time of day such as `08:30` into minutes since midnight; `24:00` is the end of the day.
fn parse_minute(text: &str) -> Result<u16, Rule> {
    let (hour, minute) = text.split_once(':').ok_or(Rule::SelectorMalformed)?;
    let two_digits = |part: &str| {
        let shaped = part.len() == 2 && part.bytes().all(|b| b.is_ascii_digit());
        shaped.then(|| part.parse::<u16>().ok()).flatten()
    };
    let hour = two_digits(hour).ok_or(Rule::SelectorMalformed)?;
    let minute = two_digits(minute).ok_or(Rule::SelectorMalformed)?;
    let total = hour * MINUTES_PER_HOUR + minute;
    if minute >= MINUTES_PER_HOUR || total > MINUTES_PER_DAY {
        return Err(Rule::SelectorMalformed);
    }
    Ok(total % MINUTES_PER_DAY)
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hour_and_minute = |minute: u16| (minute / MINUTES_PER_HOUR, minute % MINUTES_PER_HOUR);
        let (from_hour, from_minute) = hour_and_minute(self.from);
        let (to_hour, to_minute) = hour_and_minute(self.to);
        write!(
            f,
            "{from_hour:02}:{from_minute:02}-{to_hour:02}:{to_minute:02} {}",
            self.zone
        )
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.hall, &self.window) {
            (Some(hall), Some(window)) => write!(f, "[{hall} {window}]"),
            (Some(hall), None) => write!(f, "[{hall}]"),
            (None, Some(window)) => write!(f, "[{window}]"),
            (None, None) => Ok(()),
        }
    }
}
