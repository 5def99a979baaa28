//! Runs scripts of the `datadriven` crate: blocks of commands and their expected events.

use ploverwick_scenario::script::Command;

/// Runs every script in a folder. `REWRITE=1` updates the expected output in the files.
pub fn run_scripts<W>(folder: &str, run: fn(&mut Option<W>, &Command) -> String) {
    datadriven::walk(folder, |file| {
        let mut simulation = None;
        file.run(|test| -> String {
            let calls = test.input.lines().map(read_call);
            calls
                .map(|command| run(&mut simulation, &command))
                .collect()
        });
    });
}

/// Parses a command line such as `submit d1 r1 a`.
fn read_call(line: &str) -> Command {
    let mut arguments = line.split_whitespace().map(ToOwned::to_owned);
    Command {
        name: arguments.next().unwrap_or_default(),
        arguments: arguments.collect(),
    }
}
