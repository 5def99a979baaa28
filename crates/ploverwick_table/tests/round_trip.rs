//! Property tests: writing and parsing a table, and applying a computed patch, round-trip.

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
    fn written_table_parses_to_the_same_table(csv in csv()) {
        let table = parse(&csv).expect("generated tables are valid");
        let written = write(&table);
        if !table.is_empty() {
            prop_assert_eq!(parse(&written).expect("written tables are valid"), table);
        }
    }

    #[test]
    fn applying_the_diff_gives_the_new_table(before in csv(), after in csv()) {
        let before = parse(&before).expect("generated tables are valid");
        let after = parse(&after).expect("generated tables are valid");
        let mut patched = before.clone();
        apply(&mut patched, &diff(&before, &after)).expect("a computed patch applies");
        prop_assert_eq!(patched, after);
    }

    #[test]
    fn parser_never_panics(text in "(name|weight|\\[|\\]|,|\"|\n|[a-c0-9:. -]){0,60}") {
        // Any input gives either a table or at least one diagnostic.
        match parse(&text) {
            Ok(table) => drop(write(&table)),
            Err(diagnostics) => prop_assert!(!diagnostics.is_empty()),
        }
    }
}
