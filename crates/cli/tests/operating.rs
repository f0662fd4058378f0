//! Checks that the operators' page documents all settings, log events and reasons.

use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn operators_page() -> String {
    std::fs::read_to_string(root().join("docs/OPERATING.md")).expect("the page exists")
}

/// Finds the YAML block after a comment.
fn block<'a>(page: &'a str, comment: &str) -> &'a str {
    let after = page.split_once(comment).expect("the comment exists").1;
    let block = after.split_once("```yaml\n").expect("a block follows").1;
    block.split_once("```").expect("the block ends").0
}

#[test]
fn the_settings_on_the_page_are_the_defaults() {
    let page = operators_page();
    let entry = serde_yaml_ng::to_string(&conf::settings::Entry::default());
    let agent = serde_yaml_ng::to_string(&conf::settings::Agent::default());
    assert_eq!(block(&page, "settings of an entry"), entry.expect("settings can be serialized"));
    assert_eq!(block(&page, "settings of an agent"), agent.expect("settings can be serialized"));
}

/// Collects the events of all log calls in a folder's sources.
fn events(folder: &Path, found: &mut Vec<String>) {
    for file in std::fs::read_dir(folder).expect("the folder exists") {
        let path = file.expect("the folder's entry can be read").path();
        if path.is_dir() {
            events(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = std::fs::read_to_string(&path).expect("sources are text");
            let calls = text.split("log::").skip(1).filter(|rest| {
                ["info!(", "warn!(", "error!("].iter().any(|call| rest.starts_with(call))
            });
            found.extend(calls.filter_map(event));
        }
    }
}

/// The event of a log call: its only argument, or the literal after the `;`.
fn event(call: &str) -> Option<String> {
    let inner = call.split_once("!(")?.1.trim_start();
    let message = match inner.strip_prefix('"') {
        Some(message) => message,
        None => inner.split_once(';')?.1.trim_start().strip_prefix('"')?,
    };
    Some(message.split_once('"')?.0.to_owned())
}

#[test]
fn each_log_event_is_on_the_page() {
    let mut found = Vec::new();
    for folder in ["admin", "agent", "cli", "entry", "state", "wire"] {
        events(&root().join("crates").join(folder).join("src"), &mut found);
    }
    found.sort();
    found.dedup();
    assert!(found.len() > 20, "{found:?}");
    let page = operators_page();
    let missing: Vec<_> = found.iter().filter(|e| !page.contains(&format!("`{e}`"))).collect();
    assert!(missing.is_empty(), "not on the page: {missing:?}");
}

#[test]
fn each_reason_of_a_refusal_is_on_the_page() {
    let page = operators_page();
    let names = entry::Reason::ALL.iter().map(|reason| reason.name());
    let missing: Vec<_> = names.filter(|name| !page.contains(&format!("`{name}`"))).collect();
    assert!(missing.is_empty(), "not on the page: {missing:?}");
}
