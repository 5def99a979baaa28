//! The known keys, derived from the example file, which contains every key.

use std::collections::BTreeSet;

use toml::{Table, Value};

use crate::EXAMPLE;

/// Returns the known keys as dotted paths, without the indexes of arrays of tables.
pub(crate) fn known() -> BTreeSet<String> {
    let table: Table = EXAMPLE
        .parse()
        .expect("the example file is checked by a test");
    let mut keys = BTreeSet::new();
    collect(&table, "", &mut keys);
    keys
}

fn collect(table: &Table, prefix: &str, keys: &mut BTreeSet<String>) {
    for (key, value) in table {
        let path = join(prefix, key);
        keys.insert(path.clone());
        match value {
            Value::Table(inner) => collect(inner, &path, keys),
            Value::Array(items) => items
                .iter()
                .filter_map(Value::as_table)
                .for_each(|inner| collect(inner, &path, keys)),
            _ => {}
        }
    }
}

/// Joins a path and a key with a dot.
pub(crate) fn join(prefix: &str, key: &str) -> String {
    if prefix.is_empty() {
        key.to_owned()
    } else {
        format!("{prefix}.{key}")
    }
}
