//! The list of targets: late records, expired registrations, targets that leave.

use direct::codec::Incarnation;
use direct::codec::Part;
use direct::config::route::Stage;
use direct::targets::fleet::{Fleet, FleetUpdate, LogState, TargetRecord};
use direct::targets::target::STAGE_CHANGE_TIMEOUT;
use policy::signals::{Signal, Signals};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

fn registered(id: &str, sequence: u64, leaving: bool) -> FleetUpdate {
    target_record(id, None, sequence, leaving, None)
}

fn target_record(
    id: &str,
    incarnation: Option<Incarnation>,
    sequence: u64,
    leaving: bool,
    stage: Option<Stage>,
) -> FleetUpdate {
    let record = TargetRecord {
        software: None,
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("a valid address"),
        domain: "a".into(),
        slots: 4,
        leaving,
        stage,
        incarnation,
        sequence,
    };
    FleetUpdate::Registered(id.into(), record)
}

fn usable(fleet: &Fleet) -> Vec<String> {
    fleet.usable("s").iter().map(|target| target.id.to_string()).collect()
}

fn four_targets() -> Fleet {
    let mut fleet = Fleet::default();
    let all = ["a", "b", "c", "d"].iter().zip(0..);
    fleet.apply(
        all.map(|(id, at)| (at, registered(id, 1, false))).collect(),
        Instant::now(),
        LogState::Healthy,
    );
    fleet
}

#[test]
fn a_leaving_target_gets_no_new_work_and_stays_leaving() {
    let mut fleet = four_targets();
    fleet.apply(vec![(10, registered("a", 3, true))], Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
    // An older record that arrives late, and one with a later offset but a lower sequence number.
    fleet.apply(
        vec![(5, registered("a", 2, false)), (11, registered("a", 2, false))],
        Instant::now(),
        LogState::Healthy,
    );
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
}

#[test]
fn a_removed_target_is_not_restored_by_an_old_record() {
    let mut fleet = four_targets();
    fleet.apply(vec![(10, FleetUpdate::Removed("a".into()))], Instant::now(), LogState::Healthy);
    fleet.apply(vec![(6, registered("a", 9, false))], Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
    fleet.apply(vec![(12, registered("a", 9, false))], Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["a", "b", "c", "d"]);
}

/// A list that was read at offset 20 lacks a target, and the next record is written at 20. If the
/// removal counted as a change at 20, entries that have applied it would leave that record out.
#[test]
fn a_target_missing_from_a_list_hides_no_later_record() {
    let mut fleet = four_targets();
    let listed = ["a", "b", "c"].map(|id| (19, registered(id, 2, false)));
    fleet.replace(listed.to_vec(), 20, Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["a", "b", "c"]);
    assert_eq!(fleet.change_end(), 20);
}

/// While the store is unavailable, targets can't renew their registrations, and all expire although
/// all targets are alive. An entry that emptied its list would refuse every caller until they are
/// registered again.
#[tokio::test(start_paused = true)]
async fn targets_that_expire_in_an_outage_have_time_to_register_again() {
    let mut fleet = four_targets();
    let removed = ["a", "b", "c", "d"].map(|id| (20, FleetUpdate::Removed(id.into())));
    fleet.apply(removed.into(), Instant::now(), LogState::Degraded);
    assert_eq!(usable(&fleet).len(), 4);
    tokio::time::advance(Duration::from_secs(2)).await;
    fleet.apply(
        vec![(21, registered("a", 5, false)), (22, registered("b", 5, false))],
        Instant::now(),
        LogState::Degraded,
    );
    tokio::time::advance(Duration::from_millis(600)).await;
    fleet.expire(Instant::now());
    assert_eq!(usable(&fleet), ["a", "b"]);
}

/// An entry was cut off and has been connected again for three seconds when a single target leaves
/// without an announcement. When it was kept in use until its registration expired, it got work 2.1
/// seconds after it had left, and that work was lost.
#[tokio::test(start_paused = true)]
async fn a_single_target_removed_just_after_an_outage_gets_no_more_work() {
    let mut fleet = four_targets();
    fleet.apply(vec![(20, FleetUpdate::Removed("a".into()))], Instant::now(), LogState::Degraded);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
}

/// Half of the targets leave at once just after an outage: they get no work later than a target may
/// get after it has left.
#[tokio::test(start_paused = true)]
async fn many_targets_removed_just_after_an_outage_get_no_work_after_a_second_and_a_half() {
    let mut fleet = four_targets();
    let removed = ["a", "b"].map(|id| (20, FleetUpdate::Removed(id.into())));
    fleet.apply(removed.into(), Instant::now(), LogState::Degraded);
    assert_eq!(usable(&fleet).len(), 4);
    tokio::time::advance(Duration::from_millis(1_450)).await;
    fleet.expire(Instant::now());
    assert_eq!(usable(&fleet), ["c", "d"]);
}

#[tokio::test(start_paused = true)]
async fn many_targets_removed_at_once_get_less_time_and_few_get_none() {
    let mut fleet = four_targets();
    fleet.apply(vec![(10, FleetUpdate::Removed("a".into()))], Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
    let removed = ["b", "c"].map(|id| (20, FleetUpdate::Removed(id.into())));
    fleet.apply(removed.into(), Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
    tokio::time::advance(Duration::from_millis(1_050)).await;
    fleet.expire(Instant::now());
    assert_eq!(usable(&fleet), ["d"]);
}

#[test]
fn a_complete_list_removes_the_targets_it_lacks() {
    let mut fleet = four_targets();
    let all = vec![(1, registered("b", 2, false)), (9, registered("e", 1, false))];
    fleet.replace(all, 10, Instant::now(), LogState::Healthy);
    // Most of them were removed at once, so they stay in use for a moment.
    assert_eq!(usable(&fleet), ["a", "b", "c", "d", "e"]);
    fleet.expire(Instant::now() + Duration::from_secs(2));
    assert_eq!(usable(&fleet), ["b", "e"]);
}

/// Whatever the order of records, the newest of each target decides, and a leaving target never
/// gets work again.
#[test]
fn every_order_of_records_has_the_same_result() {
    bolero::check!().with_type::<Vec<(u8, bool)>>().for_each(|order| {
        let records: Vec<_> = (0..6u64).map(|at| (at, registered("a", at, at == 4))).collect();
        let mut fleet = Fleet::default();
        for (pick, _) in order {
            let record = records[usize::from(*pick) % records.len()].clone();
            fleet.apply(vec![record], Instant::now(), LogState::Healthy);
        }
        fleet.apply(vec![records[4].clone()], Instant::now(), LogState::Healthy);
        for record in &records {
            fleet.apply(vec![record.clone()], Instant::now(), LogState::Healthy);
        }
        assert!(usable(&fleet).is_empty() || order.iter().any(|(pick, _)| pick % 6 == 5));
    });
}

const PREFILL: Option<Stage> = Some(Stage::Prefill);
const DECODE: Option<Stage> = Some(Stage::Decode);

/// An engine crashes and restarts under its id. Its sequence numbers start again, so each of its
/// records looks old; until they caught up, prompts would go to an engine that refuses them.
#[test]
fn a_restarted_target_is_used_in_its_new_state() {
    let mut fleet = Fleet::default();
    let now = Instant::now();
    fleet.apply(
        vec![(1, target_record("a", Some(1_000), 90, false, PREFILL))],
        now,
        LogState::Healthy,
    );
    let before = fleet.get("a").expect("the target is listed").clone();
    let parts = [Part { id: 7, tokens: 900 }];
    before.engine.record_cached(&parts, 10_000);
    before.expect_stage_change(Stage::Decode, now, now + STAGE_CHANGE_TIMEOUT);
    fleet.apply(
        vec![(2, target_record("a", Some(2_000), 1, false, DECODE))],
        now,
        LogState::Healthy,
    );
    let after = fleet.get("a").expect("the target is listed").clone();
    assert_eq!((after.stage(), after.engine.cached_tokens(&parts)), (DECODE, 0));
    assert!(
        !after.is_changing_stage(now),
        "the announced stage change concerned the former incarnation"
    );
    assert_ne!(before.key, after.key, "reports on the former incarnation do not apply to this one");
}

/// Records of a former incarnation arrive late: written again by the store, or by what is left of
/// the process.
#[test]
fn a_former_incarnation_changes_nothing() {
    let mut fleet = Fleet::default();
    let now = Instant::now();
    fleet.apply(
        vec![(1, target_record("a", Some(2_000), 1, false, DECODE))],
        now,
        LogState::Healthy,
    );
    let known = fleet.get("a").expect("the target is listed").clone();
    let late = [
        target_record("a", Some(1_000), 95, true, PREFILL),
        target_record("a", None, 96, true, PREFILL),
    ];
    fleet.apply((2..).zip(late).collect(), now, LogState::Healthy);
    let unchanged = fleet.get("a").expect("the target is neither leaving nor removed");
    assert_eq!((unchanged.key, unchanged.stage()), (known.key, DECODE));
    // The target is removed, and a record of its former incarnation arrives once more.
    fleet.apply(vec![(5, FleetUpdate::Removed("a".into()))], now, LogState::Healthy);
    fleet.apply(
        vec![(6, target_record("a", Some(1_000), 97, false, PREFILL))],
        now,
        LogState::Healthy,
    );
    assert!(fleet.get("a").is_none());
}

/// A target left and restarts under its id. If it counted as the one that left, it would stay idle.
#[test]
fn a_new_incarnation_is_not_leaving_because_the_former_one_was() {
    let mut fleet = Fleet::default();
    let now = Instant::now();
    fleet.apply(
        vec![(1, target_record("a", Some(1_000), 4, true, PREFILL))],
        now,
        LogState::Healthy,
    );
    assert!(fleet.get("a").is_none());
    fleet.apply(
        vec![(2, target_record("a", Some(2_000), 1, false, PREFILL))],
        now,
        LogState::Healthy,
    );
    assert!(fleet.get("a").is_some());
}

/// Another writer stores an unreadable value under the key of a target. The target is alive, and
/// the next complete read of the list has only that value for it.
#[test]
fn a_target_is_not_lost_because_of_an_unreadable_record() {
    let mut fleet = four_targets();
    let unreadable = FleetUpdate::Unreadable("a".into());
    fleet.apply(vec![(10, unreadable.clone())], Instant::now(), LogState::Healthy);
    let others = ["b", "c", "d"].map(|id| (11, registered(id, 2, false)));
    let all =
        others.into_iter().chain([(12, unreadable), (13, FleetUpdate::Unreadable("e".into()))]);
    fleet.replace(all.collect(), 20, Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["a", "b", "c", "d"]);
}

/// What any number of writers may put into the list in any order.
#[derive(Debug, Clone, Copy, bolero::TypeGenerator)]
enum Change {
    Record { id: u8, incarnation: u8, sequence: u8, leaving: bool, prefill: bool },
    WithoutIncarnation { id: u8, sequence: u8 },
    Removed { id: u8 },
    Unreadable { id: u8 },
}

const IDS: [&str; 3] = ["a", "b", "c"];

fn id_of(id: u8) -> &'static str {
    IDS[usize::from(id) % IDS.len()]
}

/// Incarnations, removals, expirations and late records arrive in any order. At no time may an
/// incarnation that was followed by another be used again: its connections and orders are not those
/// of the new one.
#[test]
fn no_order_of_records_restores_a_former_incarnation() {
    bolero::check!().with_type::<(Vec<Change>, bool)>().for_each(|(changes, degraded)| {
        let mut fleet = Fleet::default();
        let mut newest: HashMap<&str, Incarnation> = HashMap::new();
        let now = Instant::now();
        for (offset, record) in (1..).zip(changes) {
            let update = match *record {
                Change::Record { id, incarnation, sequence, leaving, prefill } => {
                    let (id, incarnation) = (id_of(id), Incarnation::from(incarnation % 4));
                    let stage = if prefill { PREFILL } else { DECODE };
                    let current = newest.entry(id).or_insert(incarnation);
                    *current = (*current).max(incarnation);
                    target_record(id, Some(incarnation), sequence.into(), leaving, stage)
                }
                Change::WithoutIncarnation { id, sequence } => {
                    target_record(id_of(id), None, sequence.into(), false, PREFILL)
                }
                Change::Removed { id } => FleetUpdate::Removed(id_of(id).into()),
                Change::Unreadable { id } => FleetUpdate::Unreadable(id_of(id).into()),
            };
            let condition = if *degraded { LogState::Degraded } else { LogState::Healthy };
            fleet.apply(vec![(offset, update)], now, condition);
            for id in IDS {
                let Some(target) = fleet.get(id) else { continue };
                if let Some(incarnation) = target.incarnation {
                    assert!(
                        newest.get(id).is_none_or(|newest| incarnation >= *newest),
                        "{id} {incarnation}"
                    );
                }
            }
        }
    });
}

/// A target crashed, and another one at its address refuses what is meant for the first. Each
/// request that is sent there costs one of its few attempts.
#[tokio::test(start_paused = true)]
async fn a_misdirected_target_is_avoided_until_it_registers_again() {
    let mut fleet = four_targets();
    let target = fleet.get("a").expect("the target is listed").clone();
    let patience = Duration::from_secs(1);
    target.mark_misdirected(Instant::now());
    assert!(target.is_unavailable(patience, Instant::now()));
    fleet.apply(vec![(30, registered("b", 2, false))], Instant::now(), LogState::Healthy);
    assert!(
        target.is_unavailable(patience, Instant::now()),
        "the record of another target changes nothing"
    );
    fleet.apply(vec![(31, registered("a", 2, false))], Instant::now(), LogState::Healthy);
    assert!(!target.is_unavailable(patience, Instant::now()));
    target.mark_misdirected(Instant::now());
    tokio::time::advance(Duration::from_secs(5)).await;
    assert!(!target.is_unavailable(patience, Instant::now()), "the target is tried again");
}

/// Designated readers forward only the records that changed something. An entry that applies those
/// must arrive at the same list as one that reads all records, in whatever order targets are
/// registered, leave and are removed.
#[test]
fn the_records_with_changes_make_the_same_list_as_all_records() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|records| {
        let (mut all, mut filtered) = (Fleet::default(), Fleet::default());
        let now = Instant::now();
        for (offset, (id, kind, sequence)) in (0..).zip(records) {
            let id = ["a", "b", "c", "d"][usize::from(id % 4)];
            let record = || match kind % 4 {
                0 => FleetUpdate::Removed(id.into()),
                1 => registered(id, (*sequence).into(), true),
                2 => target_record(id, None, (*sequence).into(), false, Some(Stage::Prefill)),
                _ => registered(id, (*sequence).into(), false),
            };
            all.apply(vec![(offset, record())], now, LogState::Healthy);
            if all.take_changed().contains(&offset) {
                filtered.apply(vec![(offset, record())], now, LogState::Healthy);
            }
        }
        let stages = |fleet: &Fleet| -> Vec<_> {
            fleet.usable("s").iter().map(|target| (target.id.clone(), target.stage())).collect()
        };
        assert_eq!(stages(&all), stages(&filtered));
        assert_eq!(all.change_end(), filtered.change_end());
    });
}

/// The offset of a position after the log was restored from an older copy.
fn restored_offset(place: u64) -> u64 {
    plat::epoch::offset(1, place).expect("both numbers are small")
}

/// The log is restored from a copy in which a leaving target still accepts work and a removed one
/// is listed. Both would get requests again.
#[test]
fn an_older_copy_of_the_log_restores_no_target() {
    let mut fleet = four_targets();
    let now = Instant::now();
    fleet.apply(
        vec![(4, registered("a", 2, true)), (5, FleetUpdate::Removed("b".into()))],
        now,
        LogState::Healthy,
    );
    assert_eq!(usable(&fleet), ["c", "d"]);
    let copy = ["a", "b", "c", "d"].iter().zip(0..);
    let copy = copy.map(|(id, at)| (restored_offset(at), registered(id, 1, false))).collect();
    fleet.replace(copy, restored_offset(4), now, LogState::Restored);
    assert_eq!(usable(&fleet), ["c", "d"]);
    // A target whose registration had only expired registers again.
    fleet.apply(vec![(restored_offset(5), registered("b", 2, false))], now, LogState::Healthy);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
}

/// A target that was listed after the copy was made is missing until it registers again. If it
/// counted as removed, it would lose its connections and its requests.
#[tokio::test(start_paused = true)]
async fn a_target_that_an_older_copy_lacks_has_time_to_register_again() {
    let mut fleet = four_targets();
    let copy = |ids: &[&str]| {
        let all = ids.iter().zip(0..);
        all.map(|(id, at)| (restored_offset(at), registered(id, 1, false))).collect::<Vec<_>>()
    };
    let kept = fleet.get("d").expect("the target is listed").clone();
    fleet.replace(copy(&["a", "b", "c"]), restored_offset(3), Instant::now(), LogState::Restored);
    assert_eq!(usable(&fleet), ["a", "b", "c", "d"]);
    tokio::time::advance(Duration::from_secs(2)).await;
    fleet.apply(
        vec![(restored_offset(4), registered("d", 2, false))],
        Instant::now(),
        LogState::Healthy,
    );
    tokio::time::advance(Duration::from_secs(2)).await;
    fleet.apply(Vec::new(), Instant::now(), LogState::Healthy);
    let same = fleet.get("d").is_some_and(|target| std::sync::Arc::ptr_eq(target, &kept));
    assert!(same, "the target was removed in between");
}

/// Makes a listed target signal in a response that it is leaving.
fn record_leaving(fleet: &mut Fleet, id: &str) {
    let target = fleet.get(id).expect("the target is listed").clone();
    let signals = Signals { leaving: Signal::Value(true), ..Signals::default() };
    let now = Instant::now();
    target.observe_signals(&signals, now, now);
    fleet.take_departures();
}

/// The list has a `ready` record of a target that signalled in a response that it is leaving: in a
/// newer record, in one that arrives after its registration was removed, or read from a store that
/// was restored from an older copy. The target must not get work again.
#[test]
fn a_target_that_signals_leaving_is_not_restored_by_the_list() {
    let mut fleet = four_targets();
    record_leaving(&mut fleet, "a");
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
    fleet.apply(vec![(10, registered("a", 2, false))], Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
    fleet.apply(vec![(11, FleetUpdate::Removed("a".into()))], Instant::now(), LogState::Healthy);
    fleet.apply(vec![(12, registered("a", 3, false))], Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
    let all = ["a", "b", "c", "d"].iter().zip(0..).map(|(id, at)| (at, registered(id, 9, false)));
    fleet.replace(all.collect(), 20, Instant::now(), LogState::Restored);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
}

/// A target that left restarts under its id before its record of leaving was ever written. Its new
/// incarnation is another target and serves at once.
#[test]
fn a_new_incarnation_of_a_target_that_left_serves_at_once() {
    let mut fleet = Fleet::default();
    fleet.apply(
        vec![(0, target_record("a", Some(1), 1, false, None))],
        Instant::now(),
        LogState::Healthy,
    );
    record_leaving(&mut fleet, "a");
    assert!(usable(&fleet).is_empty());
    fleet.apply(
        vec![(1, target_record("a", Some(2), 1, false, None))],
        Instant::now(),
        LogState::Healthy,
    );
    assert_eq!(usable(&fleet), ["a"]);
    // A late record of the former incarnation changes nothing.
    fleet.apply(
        vec![(2, target_record("a", Some(1), 7, true, None))],
        Instant::now(),
        LogState::Healthy,
    );
    assert_eq!(usable(&fleet), ["a"]);
}
