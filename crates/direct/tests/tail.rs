//! Which entries read the log, and how the others follow it.

use direct::cluster::tail::{
    FollowStep, Part, READERS, ReadId, ReadReason, ReadStatus, RecordSpan, Retry, Tail, Timing,
    Topic,
};
use plat::Record;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

const PEER: u64 = 1;

/// A rank at which an entry leaves reading to others.
const FOLLOWER_RANK: u32 = 4;

/// An entry that leaves reading to designated readers and has just read up to `next`.
fn follower(next: u64) -> Tail {
    let tail = Tail::new(7, Timing::default());
    tail.set_rank(FOLLOWER_RANK);
    tail.record_read(Topic::Config, next, next, Instant::now(), Instant::now());
    tail
}

/// What a peer tells by a read that nobody has told of before.
fn status(change_end: u64, age: Duration) -> ReadStatus {
    static READS: AtomicU64 = AtomicU64::new(1);
    let number = READS.fetch_add(1, Ordering::Relaxed);
    let read = ReadId { reader: PEER, number };
    let duration = Duration::ZERO;
    ReadStatus { topic: Topic::Config, change_end, read, age, duration, position: change_end }
}

#[test]
fn the_first_entries_of_the_order_are_designated_readers() {
    let reads = |rank: u32| {
        let tail = follower(5);
        tail.set_rank(rank);
        tail.should_read(Topic::Config, 5, Instant::now())
    };
    let readers: Vec<u32> = (0..520).filter(|rank| reads(*rank)).collect();
    assert_eq!(readers, (0..READERS).collect::<Vec<_>>());
}

/// A peer has read a change that didn't arrive here. The records come from the peer, so that a lost
/// datagram doesn't cost a call; from the log only if nobody sends them.
#[tokio::test(start_paused = true)]
async fn a_change_is_requested_from_the_peer_and_then_read() {
    let tail = follower(5);
    tail.observe(PEER, status(6, Duration::ZERO), Instant::now());
    let began = Instant::now();
    let mut requests = 0;
    while let FollowStep::Pull(peer) = tail.next_step(Topic::Config, 5, None).await {
        assert_eq!(peer, PEER);
        requests += 1;
    }
    assert!(requests >= 3, "{requests} requests");
    assert!(began.elapsed() <= Duration::from_millis(500), "{:?}", began.elapsed());
    assert_eq!(tail.read_reason(Topic::Config, 5, Instant::now()), Some(ReadReason::NewRecords));
    assert!(!tail.should_read(Topic::Config, 6, Instant::now()));
}

/// The designated readers are cut off from the log, or gone. Datagrams may still arrive, with reads
/// that grow old; if the others relied on them, all would miss changes.
#[tokio::test(start_paused = true)]
async fn without_a_fresh_read_each_entry_reads_for_itself() {
    let tail = follower(5);
    tokio::time::advance(Duration::from_millis(1_400)).await;
    for _ in 0..20 {
        tokio::time::advance(Duration::from_millis(100)).await;
        let old = status(5, Duration::from_millis(1_400));
        tail.observe(PEER, old, Instant::now());
        assert!(tail.should_read(Topic::Config, 5, Instant::now()));
    }
}

/// All that an entry knows comes from others, for as long as the process runs. Whatever goes wrong
/// between them, its view is never older than the bound without a read of its own.
#[tokio::test(start_paused = true)]
async fn an_entry_reads_as_soon_as_its_view_is_too_old() {
    for seconds in [2, 5] {
        let tail = Tail::new(7, Timing { change_bound: Duration::from_secs(seconds) });
        tail.set_rank(1_039);
        tail.record_read(Topic::Config, 5, 5, Instant::now(), Instant::now());
        for _ in 0..200 {
            tokio::time::advance(Duration::from_millis(100)).await;
            tail.observe(PEER, status(5, Duration::ZERO), Instant::now());
            assert!(!tail.should_read(Topic::Config, 5, Instant::now()));
        }
        let silent_since = Instant::now();
        while !tail.should_read(Topic::Config, 5, Instant::now()) {
            tokio::time::advance(Duration::from_millis(20)).await;
        }
        let call = Duration::from_millis(10);
        assert!(silent_since.elapsed() + call < Duration::from_secs(seconds));
    }
}

/// The log has forgotten changes, and a reader reads the whole list for longer than views stay recent.
/// All others used to read it as well; if the reader stops, they still have to.
#[tokio::test(start_paused = true)]
async fn a_view_grows_older_while_another_entry_reads_the_whole_list() {
    let tail = follower(5);
    for _ in 0..15 {
        tokio::time::advance(Duration::from_millis(200)).await;
        tail.record_announcement(Topic::Config, Instant::now());
        assert!(!tail.should_read(Topic::Config, 5, Instant::now()));
    }
    tokio::time::advance(Duration::from_millis(700)).await;
    assert!(tail.should_read(Topic::Config, 5, Instant::now()));
}

/// A read is passed on from entry to entry, and comes back to one that knows it. Dated anew each
/// time, it would stay young for as long as it circulates, and hide that nobody reads any more.
#[tokio::test(start_paused = true)]
async fn a_read_that_circulates_does_not_grow_younger() {
    let tail = follower(5);
    let told = status(5, Duration::from_millis(100));
    tail.observe(PEER, told, Instant::now());
    for _ in 0..15 {
        tokio::time::advance(Duration::from_millis(100)).await;
        tail.observe(2, ReadStatus { age: Duration::ZERO, ..told }, Instant::now());
    }
    let age = tail.age(Topic::Config, Instant::now()).unwrap();
    assert!(age >= Duration::from_millis(1_500), "{age:?}");
    assert!(tail.should_read(Topic::Config, 5, Instant::now()));
}

/// A read found a record that this entry lacks. It says nothing about this entry's view until the
/// record has arrived.
#[tokio::test(start_paused = true)]
async fn a_read_confirms_the_view_once_its_records_have_arrived() {
    let tail = follower(5);
    tokio::time::advance(Duration::from_millis(800)).await;
    tail.observe(PEER, status(6, Duration::ZERO), Instant::now());
    assert_eq!(tail.age(Topic::Config, Instant::now()), Some(Duration::from_millis(800)));
    tail.record_forwarded(Topic::Config, 6);
    assert_eq!(tail.age(Topic::Config, Instant::now()), Some(Duration::ZERO));
}

/// Nothing has changed for long, and the records of that time have expired in the log. An entry that
/// has to read it must not begin there: it would be told that they are gone, again and again.
#[tokio::test(start_paused = true)]
async fn a_read_begins_where_the_last_known_one_ended() {
    let tail = follower(5);
    assert_eq!(tail.read_position(Topic::Config, 5), 5);
    let told = ReadStatus { position: 90, ..status(5, Duration::ZERO) };
    tail.observe(PEER, told, Instant::now());
    assert_eq!(tail.read_position(Topic::Config, 5), 90);
    // A read that found a record which this entry lacks says nothing about what lies before it.
    let told = ReadStatus { position: 120, ..status(100, Duration::ZERO) };
    tail.observe(PEER, told, Instant::now());
    assert_eq!(tail.read_position(Topic::Config, 5), 90);
}

/// The log is unavailable for seconds, so no entry has a fresh read. Each of 68 entries would call
/// it twice a second for each stream, and all calls are billed, failed ones too.
#[tokio::test(start_paused = true)]
async fn while_the_log_is_unavailable_an_entry_waits_for_its_retry() {
    let tail = follower(5);
    tokio::time::advance(Duration::from_millis(1_500)).await;
    let began = Instant::now();
    let retry = Retry { failed_at: began, at: began + Duration::from_secs(4) };
    assert_eq!(
        read_reason(tail.next_step(Topic::Config, 5, Some(retry)).await),
        Some(ReadReason::ViewTooOld)
    );
    assert!(began.elapsed() >= Duration::from_secs(4), "{:?}", began.elapsed());
}

/// Another stream of this entry was read: the log is back, and the wait for a retry is over.
#[tokio::test(start_paused = true)]
async fn a_successful_call_ends_the_wait_of_all_streams() {
    let tail = std::sync::Arc::new(follower(5));
    tokio::time::advance(Duration::from_millis(1_500)).await;
    let other = tail.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(700)).await;
        other.record_read(Topic::Targets, 9, 9, Instant::now(), Instant::now());
    });
    let began = Instant::now();
    let retry = Retry { failed_at: began, at: began + Duration::from_secs(20) };
    assert!(read_reason(tail.next_step(Topic::Config, 5, Some(retry)).await).is_some());
    assert!(began.elapsed() < Duration::from_millis(900), "{:?}", began.elapsed());
}

/// Another entry reaches the log again and reads a change. An entry that waits to retry must
/// request it at once.
#[tokio::test(start_paused = true)]
async fn a_change_ends_the_wait_for_a_retry() {
    let tail = std::sync::Arc::new(follower(5));
    let other = tail.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(700)).await;
        other.observe(PEER, status(6, Duration::ZERO), Instant::now());
    });
    let began = Instant::now();
    let retry = Retry { failed_at: began, at: began + Duration::from_secs(4) };
    let step = tail.next_step(Topic::Config, 5, Some(retry)).await;
    assert!(matches!(step, FollowStep::Pull(PEER)), "{step:?}");
    assert!(began.elapsed() < Duration::from_millis(900), "{:?}", began.elapsed());
}

fn read_reason(step: FollowStep) -> Option<ReadReason> {
    match step {
        FollowStep::Read(reason) => Some(reason),
        FollowStep::Apply(_) | FollowStep::Pull(_) | FollowStep::Restart => None,
    }
}

/// Records that changed something, in a span that starts at `from`.
fn record_span(from: u64, offsets: &[u64]) -> RecordSpan {
    let record = |offset: &u64| Record { offset: *offset, key: "k".into(), value: None };
    let records = offsets.iter().map(record).collect();
    let end = offsets.last().map_or(from, |last| last + 1);
    RecordSpan {
        topic: Topic::Config,
        start: from,
        end,
        log_degraded: false,
        whole: false,
        records,
    }
}

fn offer(tail: &Tail, span: RecordSpan) {
    tail.offer(PEER, span, None, Instant::now());
}

async fn applied_offsets(tail: &Tail, next: u64) -> Vec<u64> {
    match tail.next_step(Topic::Config, next, None).await {
        FollowStep::Apply(span) => span.records.iter().map(|record| record.offset).collect(),
        other => panic!("not applied: {other:?}"),
    }
}

/// One target changes. If each entry had to read that for itself, 68 entries would make 65 calls
/// for one record.
#[tokio::test(start_paused = true)]
async fn forwarded_records_are_applied_without_a_call() {
    let tail = follower(5);
    // Records 5 and 6 changed nothing.
    offer(&tail, record_span(5, &[7, 9]));
    assert_eq!(applied_offsets(&tail, 5).await, [7, 9]);
    assert!(!tail.should_read(Topic::Config, 10, Instant::now()));
}

/// Two entries forward the same records, and datagrams overtake each other. A record applied twice
/// or before an older one would restore what has been removed.
#[tokio::test(start_paused = true)]
async fn forwarded_records_are_applied_once_and_in_order() {
    let tail = follower(5);
    offer(&tail, record_span(10, &[12]));
    offer(&tail, record_span(5, &[7, 9]));
    offer(&tail, record_span(5, &[7, 9]));
    assert_eq!(
        applied_offsets(&tail, 5).await,
        [7, 9, 12],
        "the records that follow are applied as well"
    );
    offer(&tail, record_span(5, &[7, 9, 12, 14]));
    assert_eq!(
        applied_offsets(&tail, 13).await,
        [14],
        "records that are applied already are left out"
    );
}

/// A datagram with records is lost. Those that follow must wait until the lost ones were requested
/// again, which begins as soon as another entry reports the change.
#[tokio::test(start_paused = true)]
async fn records_after_a_gap_are_requested_first() {
    let tail = follower(5);
    offer(&tail, record_span(8, &[9]));
    tail.observe(PEER, status(10, Duration::ZERO), Instant::now());
    let step = tail.next_step(Topic::Config, 5, None).await;
    assert!(matches!(step, FollowStep::Pull(PEER)), "{step:?}");
    offer(&tail, record_span(5, &[7]));
    assert_eq!(applied_offsets(&tail, 5).await, [7, 9]);
}

fn record(offset: u64, key: &str, value: Option<&'static str>) -> Record {
    let value = value.map(|value| bytes::Bytes::from_static(value.as_bytes()));
    Record { offset, key: key.into(), value }
}

fn offsets(records: Option<Vec<Record>>) -> Option<Vec<u64>> {
    Some(records?.iter().map(|record| record.offset).collect())
}

/// An entry that starts gets the list from one that has read it. Records that were replaced are not
/// sent, and removals stay known to those that lack them.
#[test]
fn kept_records_bring_another_entry_up_to_date() {
    let tail = Tail::new(7, Timing::default());
    assert!(tail.kept_list(Topic::Targets, 0).is_none(), "it knows nothing yet");
    tail.keep_all(Topic::Targets, [record(1, "a", Some("a1")), record(2, "b", Some("b1"))], 3);
    tail.record_read(Topic::Targets, 3, 3, Instant::now(), Instant::now());
    tail.keep(Topic::Targets, [record(4, "a", Some("a2")), record(6, "b", None)]);
    tail.keep(Topic::Targets, [record(3, "a", Some("late"))]);
    assert_eq!(offsets(tail.kept_list(Topic::Targets, 0)), Some(vec![4, 6]));
    assert_eq!(offsets(tail.kept_changes(Topic::Targets, 5)), Some(vec![6]));
    // Removals are not kept for ever; one that lacks them has to get the whole list.
    for number in 0..600 {
        tail.keep(Topic::Targets, [record(10 + number, &format!("gone-{number}"), None)]);
    }
    assert_eq!(offsets(tail.kept_changes(Topic::Targets, 5)), None);
    assert!(offsets(tail.kept_list(Topic::Targets, 0)).is_some_and(|it| it.len() <= 600));
}

/// An entry has got a whole list, which doesn't say that a target was removed just before. Another
/// entry that still lists the target must not take that list for the changes that it lacks, or it
/// would send requests to the target for ever.
#[test]
fn whole_list_is_no_substitute_for_changes() {
    let tail = Tail::new(7, Timing::default());
    tail.keep_all(Topic::Targets, [record(9, "a", Some("a1"))], 10);
    tail.record_read(Topic::Targets, 10, 10, Instant::now(), Instant::now());
    assert_eq!(offsets(tail.kept_changes(Topic::Targets, 4)), None);
    assert_eq!(offsets(tail.kept_changes(Topic::Targets, 10)), Some(vec![]));
    offer(&tail, RecordSpan { whole: true, ..record_span(0, &[4, 9]) });
    assert_eq!(tail.take_offered(Topic::Config, 5), None);
    offer(&tail, RecordSpan { whole: true, ..record_span(0, &[4, 9]) });
    assert!(tail.take_offered_list(Topic::Config, 0).is_some());
}

/// A configuration of hundreds of routes doesn't fit into one datagram, and datagrams are lost. The
/// parts that have arrived are not sent again.
#[test]
fn a_block_in_parts_is_put_together() {
    let tail = follower(5);
    let part = |index| {
        let data = bytes::Bytes::from_static([&b"one "[..], b"two ", b"three"][index]);
        let span = RecordSpan { records: Vec::new(), ..record_span(5, &[7]) };
        Part { span, block: 77, index, count: 3, data }
    };
    let add_part = |index| tail.add_part(PEER, part(index), None, Instant::now());
    assert_eq!(add_part(0), None);
    assert_eq!(add_part(2), None);
    assert_eq!(add_part(2), None);
    assert_eq!(tail.received_parts(Topic::Config), Some((77, 1)));
    let block = add_part(1).expect("all parts have arrived");
    assert_eq!(block.data, "one two three");
    assert_eq!((block.span.start, block.span.end), (5, 8));
    assert_eq!(tail.received_parts(Topic::Config), None);
    // A block that is no longer needed is dropped.
    assert_eq!(add_part(1), None);
    assert_eq!(tail.take_offered(Topic::Config, 8), None);
    assert_eq!(tail.received_parts(Topic::Config), None);
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
