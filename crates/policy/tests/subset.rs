//! Choice of the targets that an entry keeps connections to.

use policy::subset::{Member, Settings, choose};
use std::collections::BTreeMap;

fn members(many: usize) -> Vec<Member> {
    let member = |index: usize| Member {
        target: policy::hash(&format!("engine-{index}")),
        domain: policy::hash(&format!("domain-{}", index % 6)),
    };
    (0..many).map(member).collect()
}

fn entry(index: usize) -> u64 {
    policy::hash(&format!("entry-{index}"))
}

// With 390 entries and 700 targets, connections between all would be 273,000. With a bad choice,
// some targets would be known to no entry.
#[test]
fn entries_are_spread_evenly_over_targets_and_domains() {
    let members = members(700);
    let mut known = vec![0; 700];
    for index in 0..390 {
        let chosen = choose(&Settings::default(), entry(index), &members);
        assert_eq!(chosen.len(), 48);
        let mut domains = BTreeMap::new();
        chosen.iter().for_each(|i| *domains.entry(members[*i].domain).or_insert(0) += 1);
        assert!(domains.values().all(|many| *many == 8), "{domains:?}");
        chosen.iter().for_each(|i| known[*i] += 1);
    }
    let (least, most) = (known.iter().min().unwrap(), known.iter().max().unwrap());
    assert!(*least >= 11 && *most <= 46, "a target is known to {least} to {most} entries");
}

// A target leaves. If that changed the whole choice, every entry would reopen all its connections.
#[test]
fn choice_is_stable_when_one_target_leaves() {
    let members = members(700);
    let before = choose(&Settings::default(), entry(1), &members);
    let mut fewer = members.clone();
    let gone = fewer.remove(before[5]);
    let after = choose(&Settings::default(), entry(1), &fewer);
    let kept = after.iter().filter(|i| before.iter().any(|b| members[*b] == fewer[**i]));
    assert_eq!(kept.count(), 47, "only {gone:?} is replaced");
}

#[test]
fn small_fleet_is_kept_completely() {
    assert_eq!(choose(&Settings::default(), entry(1), &members(14)).len(), 14);
}
