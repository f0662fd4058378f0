//! Checks that documentation, entry and agent agree on the reasons for failed requests.

use entry::Reason;

#[test]
fn every_reason_is_documented_for_callers_with_its_status() {
    let page = include_str!("../../../docs/CALLERS.md");
    let rows: Vec<&str> = page.lines().filter(|line| line.starts_with("| `")).collect();
    for reason in Reason::ALL {
        let (name, status) = (reason.name(), reason.status().as_u16());
        let listed = rows.iter().any(|row| {
            let mut cells = row.split(" | ");
            let names = cells.next().unwrap_or_default();
            names.contains(&format!("`{name}`"))
                && cells.next().is_some_and(|cell| cell == status.to_string())
        });
        assert!(listed, "{name} with status {status} is missing in docs/CALLERS.md");
        assert_eq!(Reason::from_name(name), *reason);
    }
}

// If an agent returned a reason that the entry does not know, callers would receive `other`, and a
// planned change would count as a failure.
#[test]
fn every_reason_that_agents_return_is_known() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../agent/src");
    let mut seen = 0;
    for file in std::fs::read_dir(folder).expect("the agent's sources are in the workspace") {
        let text = std::fs::read_to_string(file.expect("a file").path()).expect("text");
        for call in ["not_run(", "started(", "unknown("] {
            for rest in text.split(call).skip(1) {
                let Some(name) = rest.trim_start().strip_prefix('"') else { continue };
                let name = name.split('"').next().unwrap_or_default();
                assert_ne!(Reason::from_name(name), Reason::Other, "{name}");
                seen += 1;
            }
        }
    }
    assert!(seen > 10, "only {seen} reasons found");
}
