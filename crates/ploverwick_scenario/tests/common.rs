//! The one helper that runs scripts: blocks of commands in, their events out.

use ploverwick_scenario::script::Call;

/// Runs every script in a folder. `REWRITE=1` writes what came out into the files.
pub fn run_scripts<W>(folder: &str, run: fn(&mut Option<W>, &Call) -> String) {
    datadriven::walk(folder, |file| {
        let mut world = None;
        file.run(|test| -> String {
            let calls = test.input.lines().map(read_call);
            calls.map(|call| run(&mut world, &call)).collect()
        });
    });
}

/// Reads a line such as `submit d1 r1 a`.
fn read_call(line: &str) -> Call {
    let mut words = line.split_whitespace().map(ToOwned::to_owned);
    Call {
        name: words.next().unwrap_or_default(),
        words: words.collect(),
    }
}
