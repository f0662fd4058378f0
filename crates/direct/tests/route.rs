//! Which route a request takes.

use direct::config::route::{Limits, RetryPolicy, Route, Table, WeightedService};
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    let services = [("x", 90.0), ("y", 10.0)];
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        services: services
            .map(|(service, weight)| WeightedService { service: service.into(), weight })
            .into(),
        retry_policy: RetryPolicy::Once,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        max_gap: None,
        priority: 0,
        max_attempts: 1,
        public: false,
    }
}

fn table() -> Table {
    let limits = Limits { header_bytes: 1, body_bytes: 1, idle_timeout: Duration::ZERO };
    let routes = [
        route("root", "one.example", "/"),
        route("a", "one.example", "/a/"),
        route("ab", "one.example", "/a/b/"),
        route("other", "two.example", "/a/"),
    ];
    Table::new(1, limits, routes, [])
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table();
    let find = |host: &str, path: &str| table.find(host, path).map(|route| route.name.to_string());
    let found = [
        find("one.example", "/a/b/c"),
        find("one.example", "/a/bc"),
        find("one.example", "/ab"),
        find("ONE.example:80", "/a/b/"),
        find("two.example", "/a/x"),
        find("two.example", "/b"),
        find("three.example", "/a/"),
    ];
    let expected = [Some("ab"), Some("a"), Some("root"), Some("ab"), Some("other"), None, None];
    assert_eq!(found.each_ref().map(Option::as_deref), expected);
}

#[test]
fn requests_are_split_by_weight() {
    let route = route("r", "h", "/");
    let to_y = (0..1_000).filter(|n| route.pick_service(f64::from(*n) / 1_000.0) == "y").count();
    assert_eq!(to_y, 100);
}
