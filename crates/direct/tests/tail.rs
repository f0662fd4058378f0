//! Which entries read the log, and how the others follow it.

use compact_str::{CompactString, format_compact};
use direct::cluster::tail::{FollowStep, ReadReason, ReadStatus, RecordSpan, Tail, Topic};
use plat::Record;
use std::time::Duration;
use tokio::time::Instant;

const PEER: u64 = 1;

fn names(count: usize) -> Vec<CompactString> {
    (0..count).map(|number| format_compact!("entry-{number}")).collect()
}

/// An entry that leaves reading to designated readers and has just read up to `next`.
fn follower(next: u64) -> Tail {
    let names = names(9);
    let tail = |name: &CompactString| {
        let tail = Tail::default();
        tail.set_entries(name, &names);
        tail.record_read(Topic::Config, next, Instant::now());
        tail
    };
    // Three of the nine are designated readers; of four entries, one is not.
    let mut tails = names.iter().map(tail);
    let status = ReadStatus { topic: Topic::Config, change_end: next, age: Duration::ZERO };
    let follower = tails.find(|tail| {
        tail.observe(PEER, status, Instant::now());
        !tail.should_read(Topic::Config, next, Instant::now())
    });
    follower.expect("six of the nine entries are not designated readers")
}

#[test]
fn the_same_few_entries_are_designated_readers() {
    for (entries, expected) in [(1, 1), (5, 2), (9, 3), (27, 3)] {
        let names = names(entries);
        let reads = |name: &&CompactString| {
            let tail = Tail::default();
            tail.set_entries(name, &names);
            tail.record_read(Topic::Config, 5, Instant::now());
            let status = ReadStatus { topic: Topic::Config, change_end: 5, age: Duration::ZERO };
            tail.observe(PEER, status, Instant::now());
            tail.should_read(Topic::Config, 5, Instant::now())
        };
        assert_eq!(names.iter().filter(reads).count(), expected, "of {entries}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_is_read_at_once() {
    let tail = follower(5);
    let status = ReadStatus { topic: Topic::Config, change_end: 6, age: Duration::ZERO };
    tail.observe(PEER, status, Instant::now());
    assert!(tail.should_read(Topic::Config, 5, Instant::now()));
    assert!(!tail.should_read(Topic::Config, 6, Instant::now()));
}

/// The designated readers are cut off from the log, or gone. Their datagrams may still arrive, with
/// reads that grow old; if the others relied on them, all would miss changes.
#[tokio::test(start_paused = true)]
async fn without_a_fresh_read_each_entry_reads_for_itself() {
    let tail = follower(5);
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
async fn each_entry_reads_from_time_to_time_in_any_case() {
    let tail = follower(5);
    for _ in 0..99 {
        tokio::time::advance(Duration::from_millis(100)).await;
        let status = ReadStatus { topic: Topic::Config, change_end: 5, age: Duration::ZERO };
        tail.observe(PEER, status, Instant::now());
        assert!(!tail.should_read(Topic::Config, 5, Instant::now()));
    }
    tokio::time::advance(Duration::from_millis(100)).await;
    assert!(tail.should_read(Topic::Config, 5, Instant::now()));
}

/// The log is unavailable for seconds, so no entry has a fresh read. Each of 68 entries would call
/// it twice a second for each stream, and all calls are billed, failed ones too.
#[tokio::test(start_paused = true)]
async fn while_the_log_is_unavailable_an_entry_waits_for_its_retry() {
    let tail = follower(5);
    let old = ReadStatus { topic: Topic::Config, change_end: 5, age: Duration::from_millis(1_400) };
    tail.observe(PEER, old, Instant::now());
    let began = Instant::now();
    let retry_at = began + Duration::from_secs(4);
    assert_eq!(
        read_reason(tail.next_step(Topic::Config, 5, Some(retry_at)).await),
        Some(ReadReason::NoFreshPeer)
    );
    assert!(began.elapsed() >= Duration::from_secs(4), "{:?}", began.elapsed());
}

/// Another entry reaches the log again and reads a change. An entry that waits to retry must read
/// it at once.
#[tokio::test(start_paused = true)]
async fn a_change_ends_the_wait_for_a_retry() {
    let tail = std::sync::Arc::new(follower(5));
    let other = tail.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(700)).await;
        let status = ReadStatus { topic: Topic::Config, change_end: 6, age: Duration::ZERO };
        other.observe(PEER, status, Instant::now());
    });
    let began = Instant::now();
    let retry_at = began + Duration::from_secs(4);
    assert_eq!(
        read_reason(tail.next_step(Topic::Config, 5, Some(retry_at)).await),
        Some(ReadReason::NewRecords)
    );
    assert!(began.elapsed() < Duration::from_millis(900), "{:?}", began.elapsed());
}

fn read_reason(step: FollowStep) -> Option<ReadReason> {
    match step {
        FollowStep::Read(reason) => Some(reason),
        FollowStep::Apply(_) => None,
    }
}

/// Records that changed something, in a span that starts at `from`.
fn record_span(from: u64, offsets: &[u64]) -> RecordSpan {
    let record = |offset: &u64| Record { offset: *offset, key: "k".into(), value: None };
    let records = offsets.iter().map(record).collect();
    RecordSpan { topic: Topic::Config, start: from, log_degraded: false, records }
}

async fn applied_offsets(tail: &Tail, next: u64) -> Vec<u64> {
    match tail.next_step(Topic::Config, next, None).await {
        FollowStep::Apply(span) => span.records.iter().map(|record| record.offset).collect(),
        FollowStep::Read(reason) => panic!("the log is read instead: {reason:?}"),
    }
}

/// One target changes. If each entry had to read that for itself, 68 entries would make 65 calls
/// for one record.
#[tokio::test(start_paused = true)]
async fn forwarded_records_are_applied_without_a_call() {
    let tail = follower(5);
    // Records 5 and 6 changed nothing.
    tail.offer(record_span(5, &[7, 9]));
    assert_eq!(applied_offsets(&tail, 5).await, [7, 9]);
    assert!(!tail.should_read(Topic::Config, 10, Instant::now()));
}

/// Two entries forward the same records, and datagrams overtake each other. A record applied twice
/// or before an older one would restore what has been removed.
#[tokio::test(start_paused = true)]
async fn forwarded_records_are_applied_once_and_in_order() {
    let tail = follower(5);
    tail.offer(record_span(10, &[12]));
    tail.offer(record_span(5, &[7, 9]));
    tail.offer(record_span(5, &[7, 9]));
    assert_eq!(
        applied_offsets(&tail, 5).await,
        [7, 9, 12],
        "the records that follow are applied as well"
    );
    tail.offer(record_span(5, &[7, 9, 12, 14]));
    assert_eq!(
        applied_offsets(&tail, 13).await,
        [14],
        "records that are applied already are left out"
    );
}

/// A datagram with records is lost. Those that follow must wait for a read of the log, which begins
/// as soon as another entry reports the change.
#[tokio::test(start_paused = true)]
async fn records_after_a_gap_are_read_instead() {
    let tail = follower(5);
    tail.offer(record_span(8, &[9]));
    let status = ReadStatus { topic: Topic::Config, change_end: 10, age: Duration::ZERO };
    tail.observe(PEER, status, Instant::now());
    assert_eq!(
        read_reason(tail.next_step(Topic::Config, 5, None).await),
        Some(ReadReason::NewRecords)
    );
}

/// The log is restored from an older copy while an entry is busy writing to it, and calls are slow
/// just then. If the entry missed the restore, it would not renew its heartbeat for seconds, and an
/// entry that starts meanwhile would assume that it is the only one.
#[tokio::test(start_paused = true)]
async fn a_restore_during_other_work_is_noticed_afterwards() {
    let (tail, mut seen) = (Tail::default(), None);
    tail.observe_epoch(3, Instant::now());
    let first =
        tokio::time::timeout(Duration::from_secs(1), tail.wait_for_restore(&mut seen)).await;
    assert!(first.is_err(), "the first epoch observed is not a restore");
    tail.observe_epoch(4, Instant::now());
    let next = tokio::time::timeout(Duration::from_secs(1), tail.wait_for_restore(&mut seen)).await;
    assert!(next.is_ok());
    tail.observe_epoch(2, Instant::now());
    let earlier =
        tokio::time::timeout(Duration::from_secs(1), tail.wait_for_restore(&mut seen)).await;
    assert!(earlier.is_err());
}
