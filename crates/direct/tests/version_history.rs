//! What an entry that has just been started takes over of the software versions that targets had.

use direct::cluster::members::Members;
use direct::cluster::messages::Versions;
use direct::codec::TargetId;
use direct::targets::fleet::{
    Fleet, FleetUpdate, LogState, TargetRecord, VersionHistory, VersionRow,
};
use policy::distance::Topology;
use policy::membership::{Node, Source, Status, Update};
use policy::versions::{MEMORY, SETTLE_DELAY, Seen};
use std::net::IpAddr;
use std::time::Duration;
use tokio::time::Instant;

const SPAN: Duration = Duration::from_secs(30);

/// A history of one service up to an offset, with versions and their ages in seconds.
fn history(span: Duration, end: u64, versions: &[(u64, u64)]) -> VersionHistory {
    let row = |(version, age): &(u64, u64)| {
        let age = Duration::from_secs(*age);
        let seen = Seen { version: *version, age, settled: true };
        VersionRow { service: policy::hash("lm"), seen }
    };
    VersionHistory { span, end, rows: versions.iter().map(row).collect() }
}

fn started(now: Instant) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.begin_history(false, now);
    fleet
}

#[tokio::test(start_paused = true)]
async fn a_longer_history_is_taken_over() {
    let now = Instant::now();
    let mut fleet = started(now);
    fleet.begin_list(100);
    assert!(fleet.inherit_versions(&history(MEMORY, 100, &[(7, 0)]), now));
    assert_eq!(fleet.sole_version("lm", SPAN, now), Some(7));
    assert!(!fleet.inherit_versions(&history(SPAN, 100, &[(8, 0)]), now));
    assert_eq!(fleet.sole_version("lm", SPAN, now), Some(7));
}

/// A version came and went after the other entry last saw the list and before this one got it: neither
/// has seen it, so that what the other one knows must not be taken for all.
#[tokio::test(start_paused = true)]
async fn a_history_with_a_gap_is_not_taken_over() {
    let now = Instant::now();
    let mut fleet = started(now);
    assert!(!fleet.inherit_versions(&history(MEMORY, 100, &[(7, 0)]), now));
    fleet.begin_list(101);
    fleet.begin_list(50);
    assert!(!fleet.inherit_versions(&history(MEMORY, 100, &[(7, 0)]), now));
    assert_eq!(fleet.sole_version("lm", Duration::ZERO, now), None);
}

/// The entry was cut off for longer than the log keeps changes, and reads the whole list anew: a version
/// may have come and gone meanwhile. What others know of that time fills the gap.
#[tokio::test(start_paused = true)]
async fn missed_changes_restart_the_history() {
    let now = Instant::now();
    let mut fleet = started(now);
    fleet.begin_list(1);
    assert!(fleet.inherit_versions(&history(MEMORY, 9, &[(7, 0)]), now));
    let later = now + SPAN;
    fleet.restart_history(later);
    assert_eq!(fleet.sole_version("lm", SPAN, later), None);
    assert!(!fleet.inherit_versions(&history(MEMORY, 99, &[(7, 0), (8, 5)]), later));
    fleet.begin_list(50);
    assert!(fleet.inherit_versions(&history(MEMORY, 99, &[(7, 0), (8, 5)]), later));
    assert!(fleet.has_several_versions("lm", SPAN, later));
    assert_eq!(fleet.sole_version("lm", SPAN, later), None);
}

/// A version that is gone still counts for as long as streams may have begun at it.
#[tokio::test(start_paused = true)]
async fn a_former_version_is_taken_over() {
    let now = Instant::now();
    let mut fleet = started(now);
    fleet.begin_list(1);
    assert!(fleet.inherit_versions(&history(MEMORY, 9, &[(7, 0), (8, 20)]), now));
    assert_eq!(fleet.sole_version("lm", SPAN, now), None);
    assert!(fleet.has_several_versions("lm", SPAN, now));
    assert_eq!(fleet.take_mixed(), [policy::hash("lm")]);
}

#[test]
fn a_history_survives_its_datagram() {
    let all = history(SPAN, 12, &[(7, 0), (8, 20)]);
    assert_eq!(Versions::new(&all).unwrap().history(), Some(all));
    let many: Vec<_> = (0..49).map(|version| (version, 0)).collect();
    assert_eq!(Versions::new(&history(SPAN, 12, &many)), None);
    let truncated = Versions { ages_ms: vec![1], ..Versions::new(&history(SPAN, 1, &[])).unwrap() };
    assert_eq!(truncated.history(), None);
}

/// An entry that stops serves on for seconds after it has left, and then hands over what it knows.
#[test]
fn an_entry_that_left_is_remembered() {
    let (own, other): (IpAddr, IpAddr) = ([10, 0, 0, 1].into(), [10, 0, 0, 2].into());
    let node = |key, ip: IpAddr| Node { key, domain: 1, address: (ip, 7).into(), link_rate: 1.0 };
    let members = Members::new(Topology::default());
    members.start(node(1, own), 1, 1);
    let update = |status| Update { node: node(2, other), incarnation: 1, status };
    members.apply(&[update(Status::Alive)], Source::News, Duration::ZERO);
    assert!(!members.has_left(other, Duration::ZERO));
    members.apply(&[update(Status::Left)], Source::News, Duration::from_secs(1));
    assert!(members.has_left(other, Duration::from_secs(60)));
    assert!(!members.has_left(other, Duration::from_secs(61)));
    assert!(!members.has_left(own, Duration::from_secs(1)));
}

fn registered(id: &str, software: &str) -> FleetUpdate {
    let record = TargetRecord {
        software: Some(software.into()),
        service: "lm".into(),
        address: "10.0.0.1:80".parse().expect("a valid address"),
        domain: "a".into(),
        slots: 4,
        leaving: false,
        stage: None,
        incarnation: None,
        sequence: 1,
    };
    FleetUpdate::Registered(id.into(), record)
}

fn begins_streams(fleet: &Fleet, id: &str) -> bool {
    fleet.get(&TargetId::from(id)).expect("the target is listed").begins_streams()
}

/// Entries whose lists are younger than the delay, and lack the version, take the only one that they
/// know for the origin of all streams.
#[tokio::test(start_paused = true)]
async fn a_further_version_begins_streams_only_after_a_delay() {
    let mut fleet = Fleet::default();
    fleet.begin_history(true, Instant::now());
    fleet.replace(vec![(0, registered("a", "1"))], 1, Instant::now(), LogState::Healthy);
    fleet.apply(vec![(1, registered("b", "2"))], Instant::now(), LogState::Healthy);
    assert!(begins_streams(&fleet, "a"));
    assert!(!begins_streams(&fleet, "b"));
    tokio::time::advance(SETTLE_DELAY).await;
    fleet.expire(Instant::now());
    fleet.apply(vec![(2, registered("c", "2"))], Instant::now(), LogState::Healthy);
    assert!(begins_streams(&fleet, "b"));
    assert!(begins_streams(&fleet, "c"));
}

/// An entry that starts during a rollout has known no version for long, but others have.
#[tokio::test(start_paused = true)]
async fn a_version_at_which_streams_begin_elsewhere_is_used_at_once() {
    let now = Instant::now();
    let mut fleet = started(now);
    let both = vec![(0, registered("a", "1")), (1, registered("b", "2"))];
    fleet.replace(both, 2, now, LogState::Healthy);
    fleet.begin_list(2);
    let settled = [("a", "1"), ("b", "2")].map(|(id, _)| begins_streams(&fleet, id));
    assert_eq!(settled, [true, false]);
    let rows = ["a", "b"].map(|id| {
        let version = fleet.get(&TargetId::from(id)).expect("the target is listed").software_key;
        let seen = Seen { version, age: Duration::ZERO, settled: true };
        VersionRow { service: policy::hash("lm"), seen }
    });
    let history = VersionHistory { span: MEMORY, end: 2, rows: rows.into() };
    assert!(fleet.inherit_versions(&history, now));
    assert!(begins_streams(&fleet, "b"));
}
