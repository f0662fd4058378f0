//! Who reads the log.

use compact_str::{CompactString, format_compact};
use direct::cluster::tail::{FollowStep, ReadReason, ReadStatus, RecordSpan, Tail, Topic};
use plat::Record;
use std::time::Duration;
use tokio::time::Instant;

const PEER: u64 = 1;

fn names(count: usize) -> Vec<CompactString> {
    (0..count).map(|number| format_compact!("entry-{number}")).collect()
}

/// An entry that leaves reading to others and has just read up to `next`.
fn idle(next: u64) -> Tail {
    let names = names(9);
    let tail = |name: &CompactString| {
        let tail = Tail::default();
        tail.set_entries(name, &names);
        tail.record_read(Topic::Config, next, Instant::now());
        tail
    };
    // Three of the nine read for all; of four one does not.
    let mut tails = names.iter().map(tail);
    let told = ReadStatus { topic: Topic::Config, change_end: next, age: Duration::ZERO };
    let idle = tails.find(|tail| {
        tail.observe(PEER, told, Instant::now());
        !tail.should_read(Topic::Config, next, Instant::now())
    });
    idle.expect("six of the nine leave reading to others")
}

#[test]
fn the_same_few_read_for_all() {
    for (entries, expected) in [(1, 1), (5, 2), (9, 3), (27, 3)] {
        let names = names(entries);
        let reads = |name: &&CompactString| {
            let tail = Tail::default();
            tail.set_entries(name, &names);
            tail.record_read(Topic::Config, 5, Instant::now());
            let told = ReadStatus { topic: Topic::Config, change_end: 5, age: Duration::ZERO };
            tail.observe(PEER, told, Instant::now());
            tail.should_read(Topic::Config, 5, Instant::now())
        };
        assert_eq!(names.iter().filter(reads).count(), expected, "of {entries}");
    }
}

#[tokio::test(start_paused = true)]
async fn news_is_read_at_once() {
    let tail = idle(5);
    let told = ReadStatus { topic: Topic::Config, change_end: 6, age: Duration::ZERO };
    tail.observe(PEER, told, Instant::now());
    assert!(tail.should_read(Topic::Config, 5, Instant::now()));
    assert!(!tail.should_read(Topic::Config, 6, Instant::now()));
}

/// The entries that read for all are cut off from the log, or gone. They may still be heard, with
/// reads that grow old; if the others relied on them, changes would be missed by all.
#[tokio::test(start_paused = true)]
async fn when_no_read_is_fresh_each_reads_for_itself() {
    let tail = idle(5);
    for _ in 0..20 {
        tokio::time::advance(Duration::from_millis(100)).await;
        let old =
            ReadStatus { topic: Topic::Config, change_end: 5, age: Duration::from_millis(1_400) };
        tail.observe(PEER, old, Instant::now());
        assert!(tail.should_read(Topic::Config, 5, Instant::now()));
    }
    tail.forget(PEER);
    assert!(tail.should_read(Topic::Config, 5, Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn each_reads_now_and_then_in_any_case() {
    let tail = idle(5);
    for _ in 0..99 {
        tokio::time::advance(Duration::from_millis(100)).await;
        let told = ReadStatus { topic: Topic::Config, change_end: 5, age: Duration::ZERO };
        tail.observe(PEER, told, Instant::now());
        assert!(!tail.should_read(Topic::Config, 5, Instant::now()));
    }
    tokio::time::advance(Duration::from_millis(100)).await;
    assert!(tail.should_read(Topic::Config, 5, Instant::now()));
}

/// The log is away for seconds, so nobody's read is fresh. Each of 68 entries would call it twice a
/// second for each stream, and all calls are paid for, refused ones too.
#[tokio::test(start_paused = true)]
async fn while_nobody_reaches_the_log_an_entry_waits_its_turn_to_try_again() {
    let tail = idle(5);
    let old = ReadStatus { topic: Topic::Config, change_end: 5, age: Duration::from_millis(1_400) };
    tail.observe(PEER, old, Instant::now());
    let began = Instant::now();
    let again = began + Duration::from_secs(4);
    assert_eq!(
        reason(tail.next_step(Topic::Config, 5, Some(again)).await),
        Some(ReadReason::NoFreshPeer)
    );
    assert!(began.elapsed() >= Duration::from_secs(4), "{:?}", began.elapsed());
}

/// Another entry reaches the log again and reads a change. Who waits for its turn has to read it at
/// once.
#[tokio::test(start_paused = true)]
async fn news_ends_the_wait_for_a_turn() {
    let tail = std::sync::Arc::new(idle(5));
    let other = tail.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(700)).await;
        let told = ReadStatus { topic: Topic::Config, change_end: 6, age: Duration::ZERO };
        other.observe(PEER, told, Instant::now());
    });
    let began = Instant::now();
    let again = began + Duration::from_secs(4);
    assert_eq!(
        reason(tail.next_step(Topic::Config, 5, Some(again)).await),
        Some(ReadReason::NewRecords)
    );
    assert!(began.elapsed() < Duration::from_millis(900), "{:?}", began.elapsed());
}

fn reason(turn: FollowStep) -> Option<ReadReason> {
    match turn {
        FollowStep::Read(reason) => Some(reason),
        FollowStep::Apply(_) => None,
    }
}

/// Records that changed something, from `before` on.
fn told(before: u64, offsets: &[u64]) -> RecordSpan {
    let record = |offset: &u64| Record { offset: *offset, key: "k".into(), value: None };
    let records = offsets.iter().map(record).collect();
    RecordSpan { topic: Topic::Config, start: before, log_degraded: false, records }
}

async fn taken(tail: &Tail, next: u64) -> Vec<u64> {
    match tail.next_step(Topic::Config, next, None).await {
        FollowStep::Apply(told) => told.records.iter().map(|record| record.offset).collect(),
        FollowStep::Read(reason) => panic!("it reads: {reason:?}"),
    }
}

/// One target changes. If each entry had to read that for itself, 68 entries would make 65 calls for
/// one record.
#[tokio::test(start_paused = true)]
async fn what_another_passes_on_is_taken_without_a_call() {
    let tail = idle(5);
    // Records 5 and 6 changed nothing.
    tail.offer(told(5, &[7, 9]));
    assert_eq!(taken(&tail, 5).await, [7, 9]);
    assert!(!tail.should_read(Topic::Config, 10, Instant::now()));
}

/// Two entries pass on the same, and datagrams overtake each other. A record taken twice or before an
/// older one would bring back what is gone.
#[tokio::test(start_paused = true)]
async fn what_is_passed_on_is_taken_once_and_in_order() {
    let tail = idle(5);
    tail.offer(told(10, &[12]));
    tail.offer(told(5, &[7, 9]));
    tail.offer(told(5, &[7, 9]));
    assert_eq!(taken(&tail, 5).await, [7, 9, 12], "what follows on it is taken with it");
    tail.offer(told(5, &[7, 9, 12, 14]));
    assert_eq!(taken(&tail, 13).await, [14], "what is known already is left out");
}

/// A datagram with news is lost. Those that follow on it must wait for a read of the log, which begins
/// as soon as it is heard that there is news.
#[tokio::test(start_paused = true)]
async fn what_lacks_something_before_it_is_read_instead() {
    let tail = idle(5);
    tail.offer(told(8, &[9]));
    let news = ReadStatus { topic: Topic::Config, change_end: 10, age: Duration::ZERO };
    tail.observe(PEER, news, Instant::now());
    assert_eq!(reason(tail.next_step(Topic::Config, 5, None).await), Some(ReadReason::NewRecords));
}

/// The log comes back older while an entry is busy writing to it, and calls are slow just then. Missed, it would
/// not tell that it lives for seconds, and who starts meanwhile takes itself for alone.
#[tokio::test(start_paused = true)]
async fn a_log_that_came_back_meanwhile_is_noticed_afterwards() {
    let (tail, mut seen) = (Tail::default(), None);
    tail.observe_epoch(3, Instant::now());
    let first =
        tokio::time::timeout(Duration::from_secs(1), tail.wait_for_restore(&mut seen)).await;
    assert!(first.is_err(), "the first epoch is none that the log came back to");
    tail.observe_epoch(4, Instant::now());
    let next = tokio::time::timeout(Duration::from_secs(1), tail.wait_for_restore(&mut seen)).await;
    assert!(next.is_ok());
    tail.observe_epoch(2, Instant::now());
    let earlier =
        tokio::time::timeout(Duration::from_secs(1), tail.wait_for_restore(&mut seen)).await;
    assert!(earlier.is_err());
}
