//! Searches in log files, and the page that lists the events that can be found there.

use direct::log_search::{Source, request, state_changes};
use insta::assert_snapshot;

const ONE: &str = "\
timestamp=2026-06-01T15:00:01.0Z level=INFO module=config position=a.rs:1 message=\"configuration in force\" version=2 offset=0
timestamp=2026-06-01T15:00:01.1Z level=INFO module=fleet position=a.rs:1 message=\"target seen\" target_id=i-1 leaving=false
timestamp=2026-06-01T15:00:01.2Z level=INFO module=fleet position=a.rs:1 message=\"target seen\" target_id=i-2 leaving=false
timestamp=2026-06-01T15:00:02.0Z level=INFO module=fleet position=a.rs:1 message=\"target leaves\" target_id=i-1 offset=9
timestamp=2026-06-01T15:00:03.0Z level=WARN module=request position=a.rs:1 message=\"target broke off\" id=r7 target_id=i-1 detail=\"connection reset\"
timestamp=2026-06-01T15:00:03.1Z level=WARN module=request position=a.rs:1 message=\"request not served\" id=r7 outcome=broken-off targets=write:i-1:ok:4
timestamp=2026-06-01T15:00:03.2Z level=INFO module=request position=a.rs:1 message=\"request served\" id=r77 outcome=complete
";

const TWO: &str = "\
  3.05 edge-2 timestamp=2026-06-01T15:00:03.05Z level=INFO module=store position=a.rs:1 message=\"log lost\" stream=x
  4.00 edge-2 timestamp=2026-06-01T15:00:04.0Z level=INFO module=request position=a.rs:1 message=\"request served\" id=r7 outcome=complete
not a line of ours
";

fn sources() -> [Source<'static>; 2] {
    [Source { name: "edge-1", text: ONE }, Source { name: "edge-2", text: TWO }]
}

#[test]
fn one_request_over_all_processes_with_their_state() {
    assert_snapshot!(request("r7", &sources()).join("\n"));
}

#[test]
fn state_changes_in_a_span_of_time() {
    let found = state_changes("2026-06-01T15:00:01.15Z", "2026-06-01T15:00:03.06Z", &sources());
    assert_snapshot!(found.join("\n"));
}

#[test]
fn an_unknown_request_is_not_found() {
    assert!(request("r8", &sources()).is_empty());
}

/// On-call engineers look events up on this page. An event that is renamed in the code but not on
/// the page is not found.
#[test]
fn the_page_lists_every_event_of_the_code() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let page = std::fs::read_to_string(format!("{root}/docs/LOG.md")).unwrap();
    let folders = [format!("{root}/crates/direct/src"), format!("{root}/platform/src")];
    let mut folders: Vec<_> = folders.iter().map(std::path::PathBuf::from).collect();
    let mut events = std::collections::BTreeSet::new();
    while let Some(path) = folders.pop() {
        if path.is_dir() {
            folders.extend(std::fs::read_dir(path).unwrap().map(|entry| entry.unwrap().path()));
            continue;
        }
        let text = std::fs::read_to_string(path).unwrap();
        for level in ["info", "warn", "error"] {
            for call in text.split(&format!("log::{level}!(")).skip(1) {
                // The event is the last literal, right before the closing parenthesis.
                let call = call.replace("\"\n", "\"");
                let statement = call.split("\")").next().unwrap();
                let module = statement.split("target: \"").nth(1).unwrap().split('"').next();
                let event = statement.rsplit('"').next().unwrap();
                events.insert(format!("| `{}` | `{event}` |", module.unwrap()));
            }
        }
    }
    assert!(events.len() > 25, "{} events", events.len());
    let missing: Vec<_> = events.iter().filter(|event| !page.contains(*event)).collect();
    assert!(missing.is_empty(), "not on the page: {missing:#?}");
    let listed = page.lines().filter(|line| line.matches("` | `").count() >= 1);
    let stale: Vec<_> =
        listed.filter(|line| !events.iter().any(|event| line.starts_with(event))).collect();
    assert!(stale.is_empty(), "not in the code: {stale:#?}");
}
