//! The commands of scripted scenarios, which use the file format of the `datadriven` crate.

use std::time::Duration;

use crate::{claims, owners, table};

/// A parsed command line of a script.
#[derive(Debug, Clone, Default)]
pub struct Command {
    /// The command's name.
    pub name: String,
    /// The arguments, in order.
    pub arguments: Vec<String>,
}

impl Command {
    fn argument(&self, index: usize) -> &str {
        self.arguments.get(index).map_or("", String::as_str)
    }

    fn number(&self, index: usize) -> u64 {
        self.argument(index).parse().unwrap_or_default()
    }

    /// Parses a one-based name of a daemon, entry instance or scribe into an index: `d2`, `e2` and
    /// `s2` give 1.
    fn parse_index(&self, index: usize) -> usize {
        let digits = self.argument(index).trim_start_matches(char::is_alphabetic);
        digits.parse::<usize>().unwrap_or(1).saturating_sub(1)
    }

    fn is_on(&self, index: usize) -> bool {
        self.argument(index) != "off"
    }
}

/// Runs a command of the ownership simulation, which `setup ENGINE DAEMONS SLOTS` creates.
pub fn owners(simulation: &mut Option<owners::Simulation>, command: &Command) -> String {
    if command.name == "setup" {
        *simulation = Some(owners::Simulation::new(owners::Setup {
            daemons: usize::try_from(command.number(1)).unwrap_or(1),
            checks_tokens: command.argument(0) == "checked",
            slots: u32::try_from(command.number(2)).unwrap_or(1),
            disabled: owners::Disabled::Nothing,
        }));
        return String::new();
    }
    let Some(simulation) = simulation else {
        return "missing `setup` command\n".to_owned();
    };
    let first = command.parse_index(0);
    match command.name.as_str() {
        "want" => simulation.set_desired_owner(first),
        "tick" => simulation.tick(command.number(0)),
        "turn" => simulation.turn(first),
        "submit" => simulation.submit(first, command.argument(1), command.argument(2)),
        "finish" => simulation.finish(command.argument(0)),
        "pause" => simulation.set_paused(first, command.is_on(1)),
        "hold" => simulation.set_held(first, command.is_on(1)),
        "cut" => simulation.set_log_partitioned(first, command.is_on(1)),
        "deaf" => simulation.set_responses_lost(first, command.is_on(1)),
        "silent" => simulation.set_silent(first, command.is_on(1)),
        "log-out" => simulation.set_log_unavailable(command.is_on(0)),
        "lose-appends" => simulation.lose_appends(u32::try_from(command.number(0)).unwrap_or(1)),
        "kill" => simulation.kill(first),
        "deliver-dead" => simulation.deliver_killed(),
        "restart-engine" => simulation.restart_engine(),
        "show" => {
            return format!(
                "{}\nbroken: {}\n",
                simulation.describe(),
                simulation.violations().len()
            );
        }
        other => return format!("unknown command {other}\n"),
    }
    lines(simulation.take_events())
}

/// Runs a command of the claims simulation, which `setup SCRIBES` creates.
pub fn claims(simulation: &mut Option<claims::Simulation>, command: &Command) -> String {
    if command.name == "setup" {
        let scribes = usize::try_from(command.number(0)).unwrap_or(1);
        *simulation = Some(claims::Simulation::new(scribes, claims::Disabled::Nothing));
        return String::new();
    }
    let Some(simulation) = simulation else {
        return "missing `setup` command\n".to_owned();
    };
    match command.name.as_str() {
        "ask" => {
            let age = Duration::from_secs(command.number(4));
            simulation.ask(
                command.parse_index(0) + 1,
                command.argument(1),
                command.argument(2),
                command.parse_index(3),
                age,
            );
        }
        "append" => {
            let outcome = match command.argument(1) {
                "answer-lost" => claims::AppendOutcome::AnswerLost,
                "refused" => claims::AppendOutcome::Refused,
                "vanished" => claims::AppendOutcome::Vanished,
                _ => claims::AppendOutcome::Confirmed,
            };
            simulation.append(command.parse_index(0), outcome);
        }
        "read" => simulation.read(command.parse_index(0), usize::MAX >> 1),
        "forfeit" => simulation.forfeit(command.argument(0), command.parse_index(1)),
        "restart-scribe" => simulation.restart_scribe(command.parse_index(0)),
        "kill-entry" => simulation.kill_entry(command.parse_index(0) + 1),
        "tick" => simulation.tick(command.number(0)),
        "show" => return format!("broken: {}\n", simulation.violations().len()),
        other => return format!("unknown command {other}\n"),
    }
    lines(simulation.take_events())
}

/// Runs a command of the table simulation, which `setup READERS` creates.
pub fn table(simulation: &mut Option<table::Simulation>, command: &Command) -> String {
    if command.name == "setup" {
        let readers = usize::try_from(command.number(0)).unwrap_or(1);
        *simulation = Some(table::Simulation::new(readers, table::Disabled::Nothing));
        return String::new();
    }
    let Some(simulation) = simulation else {
        return "missing `setup` command\n".to_owned();
    };
    match command.name.as_str() {
        "publish" => {
            let weight = u32::try_from(command.number(2)).unwrap_or(1);
            simulation.publish(command.number(0), command.argument(1), weight);
        }
        "snapshot" => {
            simulation.snapshot(command.parse_index(0));
        }
        "forget" => simulation.forget(command.number(0)),
        "read" => simulation.read(command.parse_index(0), usize::MAX >> 1),
        "fetch" => simulation.fetch(command.parse_index(0), command.parse_index(1)),
        "restart" => simulation.restart(command.parse_index(0)),
        "show" => return simulation.show(command.parse_index(0)),
        "broken" => return format!("broken: {}\n", simulation.violations().len()),
        other => return format!("unknown command {other}\n"),
    }
    lines(simulation.take_events())
}

fn lines(events: Vec<String>) -> String {
    events.into_iter().map(|event| event + "\n").collect()
}
