//! Events of several processes are merged into one causally consistent order.

use googletest::prelude::*;
use ploverwick_names::Request;
use ploverwick_timeline::clock::{Clock, Stamp, now_millis};
use ploverwick_timeline::view::{Filter, merge, text};
use ploverwick_timeline::{Event, Kind, Recorder, page};

#[gtest]
fn effect_is_stamped_after_its_cause() {
    let (ahead, behind) = (Clock::default(), Clock::default());
    // The system clock of the first process is one hour ahead.
    let cause = ahead.observe(Stamp::from_millis(now_millis() + 3_600_000));
    let effect = behind.observe(cause);
    expect_that!(effect, gt(cause));
    expect_that!(behind.tick(), gt(effect));
}

#[gtest]
fn ring_drops_oldest_events() {
    let recorder = Recorder::new("p", 3);
    for index in 0..5 {
        recorder.record(Event::new(Kind::Request, format!("e{index}")));
    }
    let kept: Vec<String> = recorder
        .since(Stamp::default())
        .iter()
        .map(|event| event.what.to_string())
        .collect();
    expect_that!(kept, elements_are![eq("e2"), eq("e3"), eq("e4")]);
    expect_that!(recorder.dropped(), eq(2));
}

#[gtest]
fn merges_and_filters_events() {
    let (a, b) = (Recorder::new("a", 9), Recorder::new("b", 9));
    let request = Request::new("r1").expect("the name is valid");
    a.record(Event::new(Kind::Request, "arrives").request(&request));
    b.clock().observe(a.clock().tick());
    b.record(Event::new(Kind::Attempt, "sent").request(&request));
    b.record(Event::new(Kind::Member, "other"));
    let filter = Filter {
        request: Some("r1".to_owned()),
        ..Filter::default()
    };
    let lists = [b.since(Stamp::default()), a.since(Stamp::default())];
    let merged = merge(lists, &filter);
    let seen: Vec<&str> = merged.iter().map(|event| event.process.as_ref()).collect();
    expect_that!(seen, elements_are![eq(&"a"), eq(&"b")]);
    expect_that!(text(&merged), contains_substring("arrives request=r1"));
}

#[gtest]
fn page_escapes_html() {
    let recorder = Recorder::new("p<1>", 9);
    recorder.record(Event::new(Kind::Fault, "<script>"));
    let page = page(&recorder.since(Stamp::default()));
    expect_that!(page, not(contains_substring("<script>")));
    expect_that!(page, contains_substring("p&lt;1&gt;"));
}
