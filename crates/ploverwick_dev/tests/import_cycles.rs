//! Checks that the `crate::` imports between the modules of each crate form no cycle.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use googletest::prelude::*;

/// The modules of a crate, each with the modules that it imports.
type Imports = BTreeMap<String, BTreeSet<String>>;

fn root() -> PathBuf {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    here.ancestors()
        .nth(2)
        .expect("the crate is two folders below the root")
        .to_owned()
}

/// Collects the source files below a folder.
fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    let Ok(entries) = std::fs::read_dir(folder) else {
        return;
    };
    for entry in entries.flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|end| end == "rs") {
            found.push(path);
        }
    }
}

/// Reads the modules of a crate by name: the file `a/b.rs` is the module `a::b`.
fn read_modules(source: &Path) -> BTreeMap<String, String> {
    let mut files = Vec::new();
    collect_sources(source, &mut files);
    let read = files.into_iter().map(|file| {
        let relative = file
            .strip_prefix(source)
            .expect("the file lies below the source folder");
        let name = relative
            .with_extension("")
            .to_string_lossy()
            .replace('/', "::");
        let text = std::fs::read_to_string(&file).expect("the file can be read");
        // Comments may refer to any module.
        let code = text
            .lines()
            .filter(|line| !line.trim_start().starts_with("//"));
        (name, code.collect::<Vec<_>>().join("\n"))
    });
    read.collect()
}

/// Returns the paths that follow `crate::` in a text, with one path per name in braces.
fn import_paths(text: &str) -> Vec<String> {
    let mut paths = Vec::new();
    for part in text.split("crate::").skip(1) {
        let is_path = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == ':';
        let end = part.find(|c| !is_path(c)).unwrap_or(part.len());
        let (base, rest) = part.split_at(end);
        match rest.strip_prefix('{').and_then(|rest| rest.split_once('}')) {
            Some((list, _)) => {
                let names = list
                    .split(',')
                    .map(str::trim)
                    .filter(|name| !name.is_empty());
                paths.extend(names.map(|name| format!("{base}{name}")));
            }
            None => paths.push(base.to_owned()),
        }
    }
    paths
}

/// Returns the module that a path names, or else the innermost module that contains it.
fn containing_module<'a>(path: &str, modules: &'a BTreeMap<String, String>) -> Option<&'a str> {
    let parts: Vec<&str> = path.split("::").collect();
    let prefixes = (1..=parts.len())
        .rev()
        .map(|count| parts[..count].join("::"));
    prefixes
        .filter_map(|prefix| modules.get_key_value(&prefix))
        .map(|(name, _)| name.as_str())
        .next()
}

fn imports(modules: &BTreeMap<String, String>) -> Imports {
    let mut imports = Imports::new();
    for (name, text) in modules {
        let targets = import_paths(text);
        let targets = targets
            .iter()
            .filter_map(|path| containing_module(path, modules));
        let others = targets.filter(|target| target != name).map(str::to_owned);
        imports.insert(name.clone(), others.collect());
    }
    imports
}

/// Repeatedly removes modules without remaining imports. The rest are part of a cycle or import
/// from one.
fn find_cycles(mut imports: Imports) -> Vec<String> {
    loop {
        let remaining: BTreeSet<String> = imports.keys().cloned().collect();
        let before = imports.len();
        imports.retain(|_, targets| targets.iter().any(|target| remaining.contains(target)));
        if imports.len() == before {
            return imports.into_keys().collect();
        }
    }
}

#[googletest::test]
fn crates_have_no_import_cycle() {
    let mut folders: Vec<PathBuf> = vec![root().join("platform")];
    let crates = std::fs::read_dir(root().join("crates")).expect("the folder exists");
    folders.extend(crates.flatten().map(|entry| entry.path()));
    for folder in folders {
        let modules = read_modules(&folder.join("src"));
        let cycles = find_cycles(imports(&modules));
        expect_that!(cycles, is_empty(), "in {}", folder.display());
    }
}

#[googletest::test]
fn cycle_is_found() {
    let modules = BTreeMap::from([
        ("a".to_owned(), "use crate::b::{self, B};".to_owned()),
        ("b".to_owned(), "use crate::{c, d};".to_owned()),
        ("c".to_owned(), "crate::a::run()".to_owned()),
        ("d".to_owned(), String::new()),
    ]);
    expect_that!(find_cycles(imports(&modules)), eq(&vec!["a", "b", "c"]));
}
