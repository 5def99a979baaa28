//! The commands of scripted scenarios. The syntax is that of the `datadriven` library.

use std::time::Duration;

use crate::{claims, owners, table};

/// A command's name and its arguments, as the library gives them.
#[derive(Debug, Clone, Default)]
pub struct Call {
    /// The command's name.
    pub name: String,
    /// The arguments without a value, in order.
    pub words: Vec<String>,
}

impl Call {
    fn word(&self, index: usize) -> &str {
        self.words.get(index).map_or("", String::as_str)
    }

    fn number(&self, index: usize) -> u64 {
        self.word(index).parse().unwrap_or_default()
    }

    /// Reads a daemon such as `d2`, an entry such as `e2` or a scribe such as `s2` as 1.
    fn place(&self, index: usize) -> usize {
        let digits = self.word(index).trim_start_matches(char::is_alphabetic);
        digits.parse::<usize>().unwrap_or(1).saturating_sub(1)
    }

    fn on(&self, index: usize) -> bool {
        self.word(index) != "off"
    }
}

/// Runs a command in a world of ownership; `setup ENGINE DAEMONS SLOTS` makes the world.
pub fn owners(world: &mut Option<owners::World>, call: &Call) -> String {
    if call.name == "setup" {
        *world = Some(owners::World::new(owners::Plan {
            daemons: usize::try_from(call.number(1)).unwrap_or(1),
            checks_tokens: call.word(0) == "checked",
            slots: u32::try_from(call.number(2)).unwrap_or(1),
            off: owners::Off::Nothing,
        }));
        return String::new();
    }
    let Some(world) = world else {
        return "there is no setup\n".to_owned();
    };
    let first = call.place(0);
    match call.name.as_str() {
        "want" => world.want(first),
        "tick" => world.tick(call.number(0)),
        "turn" => world.turn(first),
        "submit" => world.submit(first, call.word(1), call.word(2)),
        "finish" => world.finish(call.word(0)),
        "pause" => world.set_paused(first, call.on(1)),
        "hold" => world.set_held(first, call.on(1)),
        "cut" => world.set_cut(first, call.on(1)),
        "deaf" => world.set_deaf(first, call.on(1)),
        "silent" => world.set_silent(first, call.on(1)),
        "log-out" => world.set_log_out(call.on(0)),
        "lose-appends" => world.lose_appends(u32::try_from(call.number(0)).unwrap_or(1)),
        "kill" => world.kill(first),
        "deliver-dead" => world.deliver_dead(),
        "restart-engine" => world.restart_engine(),
        "show" => {
            return format!(
                "{}\nbroken: {}\n",
                world.describe(),
                world.violations().len()
            );
        }
        other => return format!("unknown command {other}\n"),
    }
    lines(world.take_events())
}

/// Runs a command in a world of claims; `setup SCRIBES` makes the world.
pub fn claims(world: &mut Option<claims::World>, call: &Call) -> String {
    if call.name == "setup" {
        let scribes = usize::try_from(call.number(0)).unwrap_or(1);
        *world = Some(claims::World::new(scribes, claims::Off::Nothing));
        return String::new();
    }
    let Some(world) = world else {
        return "there is no setup\n".to_owned();
    };
    match call.name.as_str() {
        "ask" => {
            let age = Duration::from_secs(call.number(4));
            world.ask(
                call.place(0) + 1,
                call.word(1),
                call.word(2),
                call.place(3),
                age,
            );
        }
        "append" => {
            let fate = match call.word(1) {
                "answer-lost" => claims::Fate::AnswerLost,
                "refused" => claims::Fate::Refused,
                "vanished" => claims::Fate::Vanished,
                _ => claims::Fate::Confirmed,
            };
            world.append(call.place(0), fate);
        }
        "read" => world.read(call.place(0), usize::MAX >> 1),
        "forfeit" => world.forfeit(call.word(0), call.place(1)),
        "restart-scribe" => world.restart_scribe(call.place(0)),
        "kill-entry" => world.kill_entry(call.place(0) + 1),
        "tick" => world.tick(call.number(0)),
        "show" => return format!("broken: {}\n", world.violations().len()),
        other => return format!("unknown command {other}\n"),
    }
    lines(world.take_events())
}

/// Runs a command in a world of the table; `setup READERS` makes the world.
pub fn table(world: &mut Option<table::World>, call: &Call) -> String {
    if call.name == "setup" {
        let readers = usize::try_from(call.number(0)).unwrap_or(1);
        *world = Some(table::World::new(readers, table::Off::Nothing));
        return String::new();
    }
    let Some(world) = world else {
        return "there is no setup\n".to_owned();
    };
    match call.name.as_str() {
        "publish" => {
            let weight = u32::try_from(call.number(2)).unwrap_or(1);
            world.publish(call.number(0), call.word(1), weight);
        }
        "snapshot" => {
            world.snapshot(call.place(0));
        }
        "forget" => world.forget(call.number(0)),
        "read" => world.read(call.place(0), usize::MAX >> 1),
        "fetch" => world.fetch(call.place(0), call.place(1)),
        "restart" => world.restart(call.place(0)),
        "show" => return world.show(call.place(0)),
        "broken" => return format!("broken: {}\n", world.violations().len()),
        other => return format!("unknown command {other}\n"),
    }
    lines(world.take_events())
}

fn lines(events: Vec<String>) -> String {
    events.into_iter().map(|event| event + "\n").collect()
}
