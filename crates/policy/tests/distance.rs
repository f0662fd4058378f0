//! Distances between failure domains.

use policy::distance::{Distance, Topology};
use policy::hash;

fn topology() -> Topology {
    let domains = [("a", "north"), ("b", "north"), ("c", "south")];
    Topology::new(domains.map(|(domain, region)| (hash(domain), hash(region))))
}

fn distance(topology: &Topology, a: &str, b: &str) -> Distance {
    topology.distance(hash(a), hash(b))
}

/// Domains of other regions that count as near get prompts and KV cache over expensive links.
#[test]
fn domains_are_compared_by_region() {
    let topology = topology();
    assert_eq!(distance(&topology, "a", "a"), Distance::SameDomain);
    assert_eq!(distance(&topology, "a", "b"), Distance::SameRegion);
    assert_eq!(distance(&topology, "a", "c"), Distance::OtherRegion);
    assert!(Distance::SameDomain < Distance::SameRegion);
    assert!(Distance::SameRegion < Distance::OtherRegion);
}

/// If a domain that was added without a region counted as near, it would get prompts over a link of
/// unknown length.
#[test]
fn domain_without_a_region_is_a_region_of_its_own() {
    let topology = topology();
    assert!(topology.lacks(hash("new")) && !topology.lacks(hash("a")));
    assert_eq!(distance(&topology, "a", "new"), Distance::OtherRegion);
    assert_eq!(distance(&topology, "new", "new"), Distance::SameDomain);
    assert_eq!(distance(&topology, "new", "newer"), Distance::OtherRegion);
}

/// Deployments without regions must not start to treat their domains as far apart.
#[test]
fn without_regions_all_domains_are_in_one() {
    let topology = Topology::default();
    assert_eq!(distance(&topology, "a", "b"), Distance::SameRegion);
    assert!(!topology.has_regions() && !topology.lacks(hash("a")));
}
