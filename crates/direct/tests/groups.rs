//! Groups of engines in several regions, and their coordinators.

use direct::cluster::groups::{Cache, Group, Member};
use direct::targets::target::{Identity, Target};
use direct::targets::workload::Workload;
use policy::distance::{Distance, Topology};
use policy::groups::Entry;
use policy::hash;
use std::sync::Arc;

const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Regions of two failure domains each.
fn three_regions() -> Topology {
    Topology::new(DOMAINS.iter().zip(0..).map(|(domain, at)| (hash(domain), at / 2)))
}

fn engines(number: usize) -> Arc<[Arc<Target>]> {
    let workload = Arc::<Workload>::default();
    let engine = |at: usize| {
        let identity = Identity { id: format!("engine-{at}").into(), incarnation: None };
        let (address, domain) =
            ("10.0.0.1:80".parse().expect("a valid address"), DOMAINS[at % 6].into());
        Arc::new(Target::new(identity, "lm".into(), address, domain, 48, workload.clone()))
    };
    (0..number).map(engine).collect()
}

/// Live entries, the first of them this one.
fn members(number: usize) -> Vec<Member> {
    let member = |at: usize| Member {
        key: hash(&format!("entry-{at}")),
        domain: hash(DOMAINS[at % 6]),
        address: (at > 0).then(|| "10.0.0.2:80".parse().expect("a valid address")),
        link_rate: if at % 5 < 2 { 25e6 } else { 1.25e6 },
    };
    (0..number).map(member).collect()
}

fn groups(topology: &Topology, members: Vec<Member>) -> Vec<Group> {
    Cache::new(topology.clone()).groups(&"lm".into(), &engines(44), &members.into()).to_vec()
}

fn is_near(topology: &Topology, group: &Group, member: &Member) -> bool {
    topology.distance(group.domain, member.domain) < Distance::OtherRegion
}

/// A prompt that stays in its region would still wait for a coordinator in another one.
#[test]
fn group_is_coordinated_in_its_region() {
    let topology = three_regions();
    for group in groups(&topology, members(31)) {
        assert_eq!(group.coordinators.len(), 2);
        assert!(group.coordinators.iter().all(|member| is_near(&topology, &group, member)));
    }
}

/// All entries of a region are killed: its engines are still there, and other regions' entries
/// coordinate them.
#[test]
fn other_regions_coordinate_where_no_entry_is_left() {
    let topology = three_regions();
    let mut left = members(31);
    left.retain(|member| topology.region(member.domain) != 0);
    for group in groups(&topology, left) {
        assert_eq!(group.coordinators.len(), 2);
        let near = group.coordinators.iter().all(|member| is_near(&topology, &group, member));
        assert_eq!(near, topology.region(group.domain) != 0);
    }
}

/// Entries that know nothing of a region's entries for a while, and those of builds that tell no
/// failure domain, coordinate by themselves until they hear of others.
#[test]
fn entry_that_knows_no_other_coordinates_all_groups() {
    let unknown = Member { domain: 0, ..members(1)[0] };
    for known in [members(1), vec![unknown]] {
        for group in groups(&three_regions(), known.clone()) {
            assert_eq!(group.coordinators, known);
        }
    }
}

/// Deployments with one region must not get other coordinators than before.
#[test]
fn one_region_has_the_coordinators_of_a_pool_without_regions() {
    let all = members(31);
    let entries: Vec<Entry> =
        all.iter().map(|member| Entry { key: member.key, weight: member.link_rate }).collect();
    let one = Topology::new(DOMAINS.map(|domain| (hash(domain), 1)));
    for topology in [Topology::default(), one] {
        for group in groups(&topology, all.clone()) {
            let expected = policy::groups::coordinators(group.key, &entries);
            let expected: Vec<_> = expected.into_iter().map(|at| all[at]).collect();
            assert_eq!(group.coordinators, expected);
        }
    }
}
