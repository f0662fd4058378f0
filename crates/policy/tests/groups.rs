//! Groups of engines, their coordinators, and the order in which groups are asked.

use policy::groups::{Engine, Entry, Settings, coordinators, coordinators_near, divide, order};
use policy::{hash, mix};
use std::collections::HashMap;

fn engines(number: usize, domains: usize) -> Vec<Engine> {
    let engine = |at: usize| Engine {
        key: hash(&format!("engine-{at}")),
        domain: hash(&format!("domain-{}", at % domains)),
    };
    (0..number).map(engine).collect()
}

fn entries(number: usize) -> Vec<Entry> {
    (0..number).map(|at| Entry { key: hash(&format!("entry-{at}")), weight: 1.0 }).collect()
}

#[test]
fn each_engine_is_in_one_group_of_its_failure_domain() {
    for (number, domains) in [(1, 1), (14, 3), (48, 5), (700, 6)] {
        let engines = engines(number, domains);
        let groups = divide(&Settings::default(), &engines);
        let mut listed: Vec<_> = groups.iter().flat_map(|group| group.engines.clone()).collect();
        listed.sort_unstable();
        assert_eq!(listed, (0..number).collect::<Vec<_>>());
        for group in &groups {
            let domain = engines[group.engines[0]].domain;
            assert!(group.engines.iter().all(|&at| engines[at].domain == domain));
        }
    }
}

/// A coordinator compares all engines of its group for each prompt. If groups grew with the pool,
/// one entry in front of 700 engines would decide for 120 of them, for 800 prompts per second.
#[test]
fn group_size_is_bounded() {
    let most = |number, domains| {
        let groups = divide(&Settings::default(), &engines(number, domains));
        (groups.len(), groups.iter().map(|group| group.engines.len()).max().unwrap_or_default())
    };
    assert_eq!(most(14, 3), (3, 5));
    assert_eq!(most(48, 5), (5, 10));
    let (groups, largest) = most(700, 6);
    assert_eq!(groups, 48);
    assert!(largest <= 32, "{largest}");
}

/// An engine crashes, another joins. If that reassigned all engines, every coordinator would lose
/// what it knows about queues and caches.
#[test]
fn a_change_of_one_engine_does_not_move_the_others() {
    let before = engines(48, 5);
    let of = |engines: &[Engine]| -> HashMap<u64, u64> {
        let groups = divide(&Settings::default(), engines);
        let rows = groups.iter().flat_map(|group| group.engines.iter().map(|&at| (at, group.key)));
        rows.map(|(at, group)| (engines[at].key, group)).collect()
    };
    let all = of(&before);
    let fewer = of(&before[1..]);
    assert!(fewer.iter().all(|(engine, group)| all[engine] == *group));
}

#[test]
fn a_group_has_a_coordinator_and_a_standby_if_there_are_two_entries() {
    assert_eq!(coordinators(7, &entries(68)).len(), 2);
    assert_eq!(coordinators(7, &entries(1)), [0]);
    assert_eq!(coordinators(7, &[]), [0; 0]);
}

/// The coordinator fails. The standby knows what engines have cached, so it has to be the one that
/// all others ask next.
#[test]
fn standby_takes_over_when_the_coordinator_is_gone() {
    let entries = entries(68);
    for group in 0..50 {
        let both = coordinators(group, &entries);
        let rest: Vec<_> =
            entries.iter().enumerate().filter(|(at, _)| *at != both[0]).map(|(_, e)| *e).collect();
        let next = coordinators(group, &rest)[0];
        assert_eq!(rest[next].key, entries[both[1]].key);
    }
}

/// Most VMs have a fifth of the others' processor and a tenth of their link. A small one that
/// coordinated as many groups as a large one would respond late while it is busy.
#[test]
fn larger_vms_coordinate_more_groups() {
    let mut entries = entries(68);
    for entry in &mut entries[..15] {
        entry.weight = 10.0;
    }
    let large = (0..2_000).filter(|group| coordinators(*group, &entries)[0] < 15).count();
    // Their share of the total weight is 150 of 203.
    assert!((1_350..1_600).contains(&large), "{large} of 2000");
}

#[test]
fn prompts_are_spread_over_groups_by_their_prefix() {
    let groups: Vec<_> = (0..5).map(|at| mix(hash("group"), at)).collect();
    let mut first = HashMap::new();
    for prefix in 0..1_000 {
        let order = order(&groups, mix(hash("start"), prefix));
        assert_eq!(order.len(), 5);
        *first.entry(order[0]).or_insert(0) += 1;
    }
    assert!(first.values().all(|&count| (150..250).contains(&count)), "{first:?}");
}

/// A coordinator in another region costs each of its prompts two round trips between regions. If
/// the entries that are near the group were the only choice, it would have none once they are dead.
#[test]
fn near_entries_coordinate_before_all_others() {
    let entries = entries(12);
    for group in 0..100 {
        let near = coordinators_near(group, &entries, |at| at % 3 == 0);
        assert!(near.len() == 2 && near.iter().all(|at| at % 3 == 0), "{near:?}");
        let single = coordinators_near(group, &entries, |at| at == 5);
        assert!(single.len() == 2 && single[0] == 5, "{single:?}");
        for all in [true, false] {
            let chosen = coordinators_near(group, &entries, |_| all);
            assert_eq!(chosen, coordinators(group, &entries), "nothing distinguishes them");
        }
    }
}
