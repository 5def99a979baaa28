//! Tables and patches survive writing, reading and applying.

use ploverwick_table::parse::{parse, write};
use ploverwick_table::patch::{apply, diff};
use proptest::prelude::*;

fn csv() -> impl Strategy<Value = String> {
    let cell = prop_oneof![Just(String::new()), "[1-9]"];
    let row = ("[a-e]", cell.clone(), cell.clone(), cell);
    proptest::collection::btree_map("[a-e]{1,2}", row, 0..8).prop_map(|rows| {
        let mut text = String::from("name,weight,priority,limit[lac]\n");
        for (name, (_, weight, priority, limit)) in rows {
            text.push_str(&[name, weight, priority, limit].join(","));
            text.push('\n');
        }
        text
    })
}

proptest! {
    #[test]
    fn written_and_read(csv in csv()) {
        let table = parse(&csv).expect("made tables are good");
        let written = write(&table);
        if !table.is_empty() {
            prop_assert_eq!(parse(&written).expect("written tables are good"), table);
        }
    }

    #[test]
    fn diff_applies(before in csv(), after in csv()) {
        let before = parse(&before).expect("made tables are good");
        let after = parse(&after).expect("made tables are good");
        let mut patched = before.clone();
        apply(&mut patched, &diff(&before, &after)).expect("differences apply");
        prop_assert_eq!(patched, after);
    }

    #[test]
    fn never_panics(text in "(name|weight|\\[|\\]|,|\"|\n|[a-c0-9:. -]){0,60}") {
        // Whatever it holds, the outcome is a table or findings.
        match parse(&text) {
            Ok(table) => drop(write(&table)),
            Err(findings) => prop_assert!(!findings.is_empty()),
        }
    }
}
