//! Checks that docs/OPERATIONS.md lists the log events and metrics of the host, and none that don't exist.

use std::{collections::BTreeSet, fs, path::Path};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// Returns the text of docs/OPERATIONS.md.
fn operations_page() -> String {
    fs::read_to_string(Path::new(ROOT).join("docs/OPERATIONS.md")).unwrap()
}

/// Returns the source code of the host, without line breaks.
fn sources() -> String {
    let text = read_dir_recursively(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Returns the concatenated contents of all files in a directory tree.
fn read_dir_recursively(dir: &Path) -> String {
    let paths = fs::read_dir(dir).unwrap().map(|it| it.unwrap().path());
    let read = |it: std::path::PathBuf| {
        if it.is_dir() { read_dir_recursively(&it) } else { fs::read_to_string(it).unwrap() }
    };
    paths.map(read).collect()
}

/// Returns the names in backticks in the first column of the table that begins with `header`.
fn documented_names(header: &str) -> BTreeSet<String> {
    let page = operations_page();
    let table = page.split_once(header).expect("no table with this header").1;
    let rows = table.lines().skip(1).take_while(|it| it.starts_with('|'));
    let cells = rows.filter_map(|it| it.split('|').nth(1));
    let quoted = cells.flat_map(|it| it.split('`').skip(1).step_by(2));
    quoted.map(str::to_owned).collect()
}

/// Returns the messages of all log calls in the sources.
fn logged_events(sources: &str) -> BTreeSet<String> {
    let macros = ["log::info!(", "log::warn!(", "log::error!("];
    let calls = macros.iter().flat_map(|it| sources.split(it).skip(1));
    // The message follows the key-value pairs and a semicolon.
    let message = |it: &str| {
        let text = it.split_once("; \"")?.1;
        Some(text.split_once('"')?.0.to_owned())
    };
    calls.filter_map(message).collect()
}

#[test]
fn log_events_match_the_documentation() {
    let documented = documented_names("| event | what happened | values that decide |");
    let logged = logged_events(&sources());
    assert!(25 < logged.len(), "{logged:?}");
    let undocumented: Vec<_> = logged.difference(&documented).collect();
    assert!(undocumented.is_empty(), "not documented: {undocumented:?}");
    let unknown: Vec<_> = documented.difference(&logged).collect();
    assert!(unknown.is_empty(), "not in the code: {unknown:?}");
}

#[test]
fn documented_metrics_exist() {
    let sources = sources();
    let documented = documented_names("| metric | meaning |");
    assert!(20 < documented.len(), "{documented:?}");
    for it in documented {
        let name = it.split('{').next().unwrap().trim_start_matches("portfield_");
        let short = name.trim_end_matches("_ms");
        let is_there = [name, short].iter().any(|it| {
            sources.contains(&format!("\"{it}\"")) || sources.contains(&format!("\"{it}{{"))
        });
        assert!(is_there, "{name} is not in the code");
    }
}

#[test]
fn counters_are_documented() {
    let page = operations_page();
    for it in sources().split(".count(").skip(1) {
        let name = it.trim_start_matches("&format!(").trim_start().strip_prefix('"');
        let Some(name) = name else { continue };
        let end = name.find(['"', '{', '\\']).unwrap();
        let metric = format!("portfield_{}", &name[..end]);
        assert!(page.contains(&metric), "{metric} is not documented");
    }
}
