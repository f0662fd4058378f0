//! The page for callers and the code name the same reasons.

use entry::Reason;

#[test]
fn every_reason_stands_on_the_page_for_callers_with_its_status() {
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
