//! The list of targets: late records, lapses, targets that leave.

use direct::codec::Incarnation;
use direct::codec::Part;
use direct::config::route::Stage;
use direct::targets::fleet::{Fleet, FleetUpdate, LogState, TargetRecord};
use direct::targets::target::STAGE_CHANGE_TIMEOUT;
use policy::signals::{Signal, Signals};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

fn seen(id: &str, sequence: u64, leaving: bool) -> FleetUpdate {
    life(id, None, sequence, leaving, None)
}

fn life(
    id: &str,
    born: Option<Incarnation>,
    sequence: u64,
    leaving: bool,
    stage: Option<Stage>,
) -> FleetUpdate {
    let sighting = TargetRecord {
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("a valid address"),
        domain: "a".into(),
        slots: 4,
        leaving,
        stage,
        incarnation: born,
        sequence,
    };
    FleetUpdate::Registered(id.into(), sighting)
}

fn usable(fleet: &Fleet) -> Vec<String> {
    fleet.usable("s").iter().map(|target| target.id.to_string()).collect()
}

fn four() -> Fleet {
    let mut fleet = Fleet::default();
    let all = ["a", "b", "c", "d"].iter().zip(0..);
    fleet.apply(
        all.map(|(id, at)| (at, seen(id, 1, false))).collect(),
        Instant::now(),
        LogState::Healthy,
    );
    fleet
}

#[test]
fn a_target_that_leaves_gets_nothing_new_and_stays_leaving() {
    let mut fleet = four();
    fleet.apply(vec![(10, seen("a", 3, true))], Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
    // An older record that comes late, and one that is newer by its place but not by its count.
    fleet.apply(
        vec![(5, seen("a", 2, false)), (11, seen("a", 2, false))],
        Instant::now(),
        LogState::Healthy,
    );
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
}

#[test]
fn a_target_that_is_gone_is_not_brought_back_by_an_old_record() {
    let mut fleet = four();
    fleet.apply(vec![(10, FleetUpdate::Removed("a".into()))], Instant::now(), LogState::Healthy);
    fleet.apply(vec![(6, seen("a", 9, false))], Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
    fleet.apply(vec![(12, seen("a", 9, false))], Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["a", "b", "c", "d"]);
}

/// While the store is away, targets can't renew their entries, and all lapse although all targets
/// live. An entry that emptied its list would refuse every caller until they are back.
#[tokio::test(start_paused = true)]
async fn entries_that_lapse_in_an_outage_are_given_time_to_come_back() {
    let mut fleet = four();
    let gone = ["a", "b", "c", "d"].map(|id| (20, FleetUpdate::Removed(id.into())));
    fleet.apply(gone.into(), Instant::now(), LogState::Degraded);
    assert_eq!(usable(&fleet).len(), 4);
    tokio::time::advance(Duration::from_secs(2)).await;
    fleet.apply(
        vec![(21, seen("a", 5, false)), (22, seen("b", 5, false))],
        Instant::now(),
        LogState::Degraded,
    );
    tokio::time::advance(Duration::from_millis(600)).await;
    fleet.expire(Instant::now());
    assert_eq!(usable(&fleet), ["a", "b"]);
}

/// An entry was cut off and is back for three seconds when a single target leaves without a word.
/// Kept in use for a lapse, it got work 2.1 seconds after it had left, and that work was lost.
#[tokio::test(start_paused = true)]
async fn a_single_target_that_goes_just_after_an_outage_gets_nothing_more() {
    let mut fleet = four();
    fleet.apply(vec![(20, FleetUpdate::Removed("a".into()))], Instant::now(), LogState::Degraded);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
}

/// Half of the targets leave at once just after an outage: they get nothing later than a target
/// may get work after it has left.
#[tokio::test(start_paused = true)]
async fn many_that_go_just_after_an_outage_get_nothing_after_a_second_and_a_half() {
    let mut fleet = four();
    let gone = ["a", "b"].map(|id| (20, FleetUpdate::Removed(id.into())));
    fleet.apply(gone.into(), Instant::now(), LogState::Degraded);
    assert_eq!(usable(&fleet).len(), 4);
    tokio::time::advance(Duration::from_millis(1_450)).await;
    fleet.expire(Instant::now());
    assert_eq!(usable(&fleet), ["c", "d"]);
}

#[tokio::test(start_paused = true)]
async fn many_that_vanish_at_once_are_given_less_time_and_few_none() {
    let mut fleet = four();
    fleet.apply(vec![(10, FleetUpdate::Removed("a".into()))], Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
    let gone = ["b", "c"].map(|id| (20, FleetUpdate::Removed(id.into())));
    fleet.apply(gone.into(), Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
    tokio::time::advance(Duration::from_millis(1_050)).await;
    fleet.expire(Instant::now());
    assert_eq!(usable(&fleet), ["d"]);
}

#[test]
fn a_complete_list_takes_out_what_it_lacks() {
    let mut fleet = four();
    let all = vec![(1, seen("b", 2, false)), (9, seen("e", 1, false))];
    fleet.replace(all, 10, Instant::now(), LogState::Healthy);
    // Most of them vanished at once, so they stay for a moment.
    assert_eq!(usable(&fleet), ["a", "b", "c", "d", "e"]);
    fleet.expire(Instant::now() + Duration::from_secs(2));
    assert_eq!(usable(&fleet), ["b", "e"]);
}

/// Whatever order records come in, the newest of each target decides, and one that leaves never
/// gets work again.
#[test]
fn any_order_of_records_ends_the_same() {
    bolero::check!().with_type::<Vec<(u8, bool)>>().for_each(|order| {
        let records: Vec<_> = (0..6u64).map(|at| (at, seen("a", at, at == 4))).collect();
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

const READS: Option<Stage> = Some(Stage::Prefill);
const WRITES: Option<Stage> = Some(Stage::Decode);

/// An engine crashes and starts again under its id. Its count of records begins anew, so by count
/// each of them looks old; until it caught up, prompts would go to an engine that refuses them.
#[test]
fn a_target_that_starts_again_is_taken_as_it_is_now() {
    let mut fleet = Fleet::default();
    let now = Instant::now();
    fleet.apply(vec![(1, life("a", Some(1_000), 90, false, READS))], now, LogState::Healthy);
    let before = fleet.get("a").expect("it is listed").clone();
    let parts = [Part { id: 7, tokens: 900 }];
    before.engine.record_cached(&parts, 10_000);
    before.expect_stage_change(Stage::Decode, now, now + STAGE_CHANGE_TIMEOUT);
    fleet.apply(vec![(2, life("a", Some(2_000), 1, false, WRITES))], now, LogState::Healthy);
    let after = fleet.get("a").expect("it is listed").clone();
    assert_eq!((after.stage(), after.engine.cached_tokens(&parts)), (WRITES, 0));
    assert!(!after.is_changing_stage(now), "what was announced concerned the former life");
    assert_ne!(before.key, after.key, "what others tell of the former life is not of this one");
}

/// Records of a former life come late: written again by the store, or by what is left of the process.
#[test]
fn a_former_life_changes_nothing() {
    let mut fleet = Fleet::default();
    let now = Instant::now();
    fleet.apply(vec![(1, life("a", Some(2_000), 1, false, WRITES))], now, LogState::Healthy);
    let known = fleet.get("a").expect("it is listed").clone();
    let late = [life("a", Some(1_000), 95, true, READS), life("a", None, 96, true, READS)];
    fleet.apply((2..).zip(late).collect(), now, LogState::Healthy);
    let still = fleet.get("a").expect("it neither leaves nor is gone");
    assert_eq!((still.key, still.stage()), (known.key, WRITES));
    // It is removed, and its former life is heard of once more.
    fleet.apply(vec![(5, FleetUpdate::Removed("a".into()))], now, LogState::Healthy);
    fleet.apply(vec![(6, life("a", Some(1_000), 97, false, READS))], now, LogState::Healthy);
    assert!(fleet.get("a").is_none());
}

/// A target left, and starts again under its id. Taken for the one that left, it would stand idle.
#[test]
fn a_new_life_does_not_leave_because_the_former_one_did() {
    let mut fleet = Fleet::default();
    let now = Instant::now();
    fleet.apply(vec![(1, life("a", Some(1_000), 4, true, READS))], now, LogState::Healthy);
    assert!(fleet.get("a").is_none());
    fleet.apply(vec![(2, life("a", Some(2_000), 1, false, READS))], now, LogState::Healthy);
    assert!(fleet.get("a").is_some());
}

/// Another writer puts something else under the key of a target. The target lives, and the next
/// complete reading of the list has only that entry of it.
#[test]
fn a_target_is_not_lost_by_a_record_that_nobody_can_read() {
    let mut fleet = four();
    let unreadable = FleetUpdate::Unreadable("a".into());
    fleet.apply(vec![(10, unreadable.clone())], Instant::now(), LogState::Healthy);
    let others = ["b", "c", "d"].map(|id| (11, seen(id, 2, false)));
    let all =
        others.into_iter().chain([(12, unreadable), (13, FleetUpdate::Unreadable("e".into()))]);
    fleet.replace(all.collect(), 20, Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["a", "b", "c", "d"]);
}

/// What any number of writers may put into the list in any order.
#[derive(Debug, Clone, Copy, bolero::TypeGenerator)]
enum Written {
    Record { id: u8, born: u8, sequence: u8, leaves: bool, reads: bool },
    WithoutLife { id: u8, sequence: u8 },
    Gone { id: u8 },
    Nonsense { id: u8 },
}

const IDS: [&str; 3] = ["a", "b", "c"];

fn name(id: u8) -> &'static str {
    IDS[usize::from(id) % IDS.len()]
}

/// Lives, removals, lapses and late records come in any order. At no time may a life that was
/// followed by another be in use again: its connections and orders are another's.
#[test]
fn no_order_of_records_brings_a_former_life_back() {
    bolero::check!().with_type::<(Vec<Written>, bool)>().for_each(|(written, disturbed)| {
        let mut fleet = Fleet::default();
        let mut newest: HashMap<&str, Incarnation> = HashMap::new();
        let now = Instant::now();
        for (offset, record) in (1..).zip(written) {
            let news = match *record {
                Written::Record { id, born, sequence, leaves, reads } => {
                    let (id, born) = (name(id), Incarnation::from(born % 4));
                    let stage = if reads { READS } else { WRITES };
                    let current = newest.entry(id).or_insert(born);
                    *current = (*current).max(born);
                    life(id, Some(born), sequence.into(), leaves, stage)
                }
                Written::WithoutLife { id, sequence } => {
                    life(name(id), None, sequence.into(), false, READS)
                }
                Written::Gone { id } => FleetUpdate::Removed(name(id).into()),
                Written::Nonsense { id } => FleetUpdate::Unreadable(name(id).into()),
            };
            let condition = if *disturbed { LogState::Degraded } else { LogState::Healthy };
            fleet.apply(vec![(offset, news)], now, condition);
            for id in IDS {
                let Some(target) = fleet.get(id) else { continue };
                if let Some(born) = target.incarnation {
                    assert!(newest.get(id).is_none_or(|newest| born >= *newest), "{id} {born}");
                }
            }
        }
    });
}

/// A target crashed and another stands at its address, which refuses what is meant for the first.
/// Each request sent there in vain is one of the few sendings that it may have.
#[tokio::test(start_paused = true)]
async fn a_target_in_whose_place_another_answers_is_left_alone_until_it_tells_of_itself() {
    let mut fleet = four();
    let target = fleet.get("a").expect("it is listed").clone();
    let patience = Duration::from_secs(1);
    target.mark_misdirected(Instant::now());
    assert!(target.is_unavailable(patience, Instant::now()));
    fleet.apply(vec![(30, seen("b", 2, false))], Instant::now(), LogState::Healthy);
    assert!(target.is_unavailable(patience, Instant::now()), "another's record says nothing of it");
    fleet.apply(vec![(31, seen("a", 2, false))], Instant::now(), LogState::Healthy);
    assert!(!target.is_unavailable(patience, Instant::now()));
    target.mark_misdirected(Instant::now());
    tokio::time::advance(Duration::from_secs(5)).await;
    assert!(!target.is_unavailable(patience, Instant::now()), "it is tried again");
}

/// Entries that read for all pass on only the records that changed something. Whoever takes those must
/// come to the same list as one that reads all, in whatever order targets live, leave and are removed.
#[test]
fn the_records_that_changed_something_make_the_same_list_as_all() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|records| {
        let (mut all, mut some) = (Fleet::default(), Fleet::default());
        let now = Instant::now();
        for (offset, (id, kind, sequence)) in (0..).zip(records) {
            let id = ["a", "b", "c", "d"][usize::from(id % 4)];
            let record = || match kind % 4 {
                0 => FleetUpdate::Removed(id.into()),
                1 => seen(id, (*sequence).into(), true),
                2 => life(id, None, (*sequence).into(), false, Some(Stage::Prefill)),
                _ => seen(id, (*sequence).into(), false),
            };
            all.apply(vec![(offset, record())], now, LogState::Healthy);
            if all.take_changed().contains(&offset) {
                some.apply(vec![(offset, record())], now, LogState::Healthy);
            }
        }
        let stages = |fleet: &Fleet| -> Vec<_> {
            fleet.usable("s").iter().map(|target| (target.id.clone(), target.stage())).collect()
        };
        assert_eq!(stages(&all), stages(&some));
        assert_eq!(all.change_end(), some.change_end());
    });
}

/// The offset of a place after the log has come back from an older copy.
fn later(place: u64) -> u64 {
    plat::epoch::offset(1, place).expect("both are small")
}

/// The log comes back from a copy in which a target that leaves still takes work, and one that is gone is
/// listed. Both would get requests again.
#[test]
fn an_older_copy_of_the_log_brings_no_target_back() {
    let mut fleet = four();
    let now = Instant::now();
    fleet.apply(
        vec![(4, seen("a", 2, true)), (5, FleetUpdate::Removed("b".into()))],
        now,
        LogState::Healthy,
    );
    assert_eq!(usable(&fleet), ["c", "d"]);
    let copy = ["a", "b", "c", "d"].iter().zip(0..);
    let copy = copy.map(|(id, at)| (later(at), seen(id, 1, false))).collect();
    fleet.replace(copy, later(4), now, LogState::Restored);
    assert_eq!(usable(&fleet), ["c", "d"]);
    // A target whose entry had only expired tells of itself again.
    fleet.apply(vec![(later(5), seen("b", 2, false))], now, LogState::Healthy);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
}

/// A target that was listed after the copy was made is missing until it tells of itself again. Taken for
/// gone, it loses its connections and its requests.
#[tokio::test(start_paused = true)]
async fn a_target_that_an_older_copy_lacks_is_waited_for() {
    let mut fleet = four();
    let copy = |ids: &[&str]| {
        let all = ids.iter().zip(0..);
        all.map(|(id, at)| (later(at), seen(id, 1, false))).collect::<Vec<_>>()
    };
    let kept = fleet.get("d").expect("it is listed").clone();
    fleet.replace(copy(&["a", "b", "c"]), later(3), Instant::now(), LogState::Restored);
    assert_eq!(usable(&fleet), ["a", "b", "c", "d"]);
    tokio::time::advance(Duration::from_secs(2)).await;
    fleet.apply(vec![(later(4), seen("d", 2, false))], Instant::now(), LogState::Healthy);
    tokio::time::advance(Duration::from_secs(2)).await;
    fleet.apply(Vec::new(), Instant::now(), LogState::Healthy);
    let same = fleet.get("d").is_some_and(|target| std::sync::Arc::ptr_eq(target, &kept));
    assert!(same, "it was taken for gone");
}

/// The life of a target that has said in an answer that it leaves, with its list.
fn departed(fleet: &mut Fleet, id: &str) {
    let target = fleet.get(id).expect("it is listed").clone();
    let signals = Signals { leaving: Signal::Value(true), ..Signals::default() };
    let now = Instant::now();
    target.observe_signals(&signals, now, now);
    fleet.take_departures();
}

/// The list says `ready` of a target that has said in an answer that it leaves: in a newer record, in one that comes
/// after its entry vanished, or read from a store that came back older. It must not get work again.
#[test]
fn a_target_that_says_it_leaves_is_not_brought_back_by_the_list() {
    let mut fleet = four();
    departed(&mut fleet, "a");
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
    fleet.apply(vec![(10, seen("a", 2, false))], Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
    fleet.apply(vec![(11, FleetUpdate::Removed("a".into()))], Instant::now(), LogState::Healthy);
    fleet.apply(vec![(12, seen("a", 3, false))], Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
    let all = ["a", "b", "c", "d"].iter().zip(0..).map(|(id, at)| (at, seen(id, 9, false)));
    fleet.replace(all.collect(), 20, Instant::now(), LogState::Restored);
    assert_eq!(usable(&fleet), ["b", "c", "d"]);
}

/// A target that left starts again under its id, before its record of leaving was ever written. Its new life is
/// another target, and serves at once.
#[test]
fn a_new_life_of_a_target_that_left_serves_at_once() {
    let mut fleet = Fleet::default();
    fleet.apply(vec![(0, life("a", Some(1), 1, false, None))], Instant::now(), LogState::Healthy);
    departed(&mut fleet, "a");
    assert!(usable(&fleet).is_empty());
    fleet.apply(vec![(1, life("a", Some(2), 1, false, None))], Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["a"]);
    // A late record of the former life changes nothing.
    fleet.apply(vec![(2, life("a", Some(1), 7, true, None))], Instant::now(), LogState::Healthy);
    assert_eq!(usable(&fleet), ["a"]);
}
