//! The operators' documentation of the settings lists exactly the keys that the programs read.

use std::{collections::BTreeSet, fs};

fn read(path: &str) -> String {
    fs::read_to_string(format!("{}/../../{path}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

/// Returns the keys that a settings module takes from its `Reader`, found in the source code.
fn keys_in_code(path: &str) -> BTreeSet<String> {
    let text = read(path);
    let calls = text.split("it.").skip(1);
    let quoted =
        calls.filter_map(|it| it.split_once("(\"")).filter(|it| !it.0.contains([' ', ';']));
    quoted.filter_map(|it| it.1.split('"').next()).map(str::to_owned).collect()
}

/// Returns the keys in the table under a heading of the page.
fn keys_on_page(heading: &str) -> BTreeSet<String> {
    let page = read("docs/operators/settings.md");
    let section = page.split(heading).nth(1).unwrap().split("\n## ").next().unwrap();
    let rows = section.lines().filter_map(|it| it.strip_prefix("| `"));
    rows.filter_map(|it| it.split('`').next()).map(str::to_owned).collect()
}

#[test]
fn settings_page_lists_exactly_the_known_keys() {
    for (heading, path) in [
        ("## Scheduler", "crates/portfield-scheduler/src/settings.rs"),
        ("## Router", "crates/portfield-router/src/settings.rs"),
        ("## Host on the platform", "crates/portfield-host/src/settings.rs"),
    ] {
        let code = keys_in_code(path);
        assert!(5 < code.len(), "{code:?}");
        assert_eq!(keys_on_page(heading), code, "{heading}");
    }
}
