//! Calls that may not be repeated: each key runs at most once, and its recorded outcome is correct.

mod common;

use bytes::Bytes;
use common::{Open, Process, claim, fold, intent, record};
use fake::MemoryLog;
use plat::Offset;
use state::calls::ANSWER_BYTES_KEPT;
use state::record::{Answer, Body};
use state::{CallStatus, Calls, Error, Fold, Record};
use std::time::Duration;

const SCOPE: &str = "target/ledger-1";

fn answer(intent: Offset, claim: Offset, status: u32) -> Answer {
    Answer { intent, claim, status, ..Answer::default() }
}

fn not_run(intent: Offset, claim: Offset) -> Body {
    Body::Answer(Answer { not_run: true, ..answer(intent, claim, 0) })
}

fn status(calls: &Calls, key: &str) -> CallStatus {
    calls.call(key.as_bytes()).expect("the key is known").status.clone()
}

// The same transfer arrives through two entries concurrently, and the agent appends an intent for
// each. If both were dispatched, the funds would be transferred twice.
#[test]
fn only_the_first_intent_of_a_key_is_dispatched() {
    let calls: Calls = fold(&[
        record("a", claim(SCOPE, None, 1)),
        record("a", intent("sweep", 0)),
        record("a", intent("sweep", 0)),
    ]);
    assert!(calls.may_dispatch(b"sweep", 1));
    assert!(!calls.may_dispatch(b"sweep", 2));
}

// An agent blocks while it appends an intent, and another one takes over its target. The intent
// arrives after the takeover: it must not be dispatched, and the new holder can use the key.
#[test]
fn intent_after_a_takeover_is_void() {
    let mut records = vec![
        record("a", claim(SCOPE, None, 1)),
        record("b", claim(SCOPE, Some(0), 2)),
        record("a", intent("sweep", 0)),
    ];
    assert!(fold::<Calls>(&records).call(b"sweep").is_none());
    records.push(record("b", intent("sweep", 1)));
    assert!(fold::<Calls>(&records).may_dispatch(b"sweep", 3));
}

// An agent is killed between intent and answer. The next holder cannot know whether the target
// received the call; reported as not run, it would be retried and could run twice.
#[test]
fn call_is_unknown_after_a_takeover_until_its_author_answers() {
    let mut records = vec![
        record("a", claim(SCOPE, None, 1)),
        record("a", intent("sweep", 0)),
        record("b", claim(SCOPE, Some(1), 2)),
    ];
    assert_eq!(status(&fold(&records), "sweep"), CallStatus::Unknown);
    // Neither the new holder nor a restarted process with the old one's name may release the key.
    records.push(record("b", not_run(1, 2)));
    records.push(record("a", not_run(1, 2)));
    records.push(record("b", Body::Answer(answer(1, 2, 200))));
    assert_eq!(status(&fold(&records), "sweep"), CallStatus::Unknown);
    // A new intent for the key is void.
    records.push(record("b", intent("sweep", 2)));
    assert!(!fold::<Calls>(&records).may_dispatch(b"sweep", 6));
    // The old holder was only paused, and the call that it had dispatched has ended.
    records.push(record("a", Body::Answer(answer(1, 0, 201))));
    let answered = CallStatus::Answered(answer(1, 0, 201));
    assert_eq!(status(&fold(&records), "sweep"), answered);
    // Answers are final.
    records.push(record("a", not_run(1, 0)));
    assert_eq!(status(&fold(&records), "sweep"), answered);
}

// A target breaks off, and its agent records the outcome as unknown. A retry that has not read this
// record yet treats the call as abandoned and records it as not run. If that released the key, the
// call would run a second time.
#[test]
fn key_of_an_unknown_outcome_is_never_released() {
    let calls: Calls = fold(&[
        record("a", claim(SCOPE, None, 1)),
        record("a", intent("sweep", 0)),
        record("a", Body::Answer(answer(1, 0, 0))),
        record("a", not_run(1, 0)),
        record("a", intent("sweep", 0)),
    ]);
    assert_eq!(status(&calls, "sweep"), CallStatus::Unknown);
    assert!(!calls.may_dispatch(b"sweep", 4));
}

// A call is refused before it reaches its target, the record that releases its key is appended
// twice, and the second copy arrives after the caller's retry has begun.
#[test]
fn not_run_releases_a_key_and_its_late_copy_does_not() {
    let calls: Calls = fold(&[
        record("a", claim(SCOPE, None, 1)),
        record("a", intent("sweep", 0)),
        record("a", not_run(1, 0)),
        record("a", intent("sweep", 0)),
        record("a", not_run(1, 0)),
    ]);
    assert!(calls.may_dispatch(b"sweep", 3));
}

// The reply to an intent is lost and the intent is not found in time, so the agent refuses the call
// as not run and never dispatches it. Then the intent arrives. A retry cannot use the key until the
// agent records its own late intent as not run, and then runs once.
#[tokio::test(start_paused = true)]
async fn late_abandoned_intent_is_closed_by_its_author() {
    let log = MemoryLog::new();
    let stream = plat::calls_stream("ledger-1");
    let mut agent = Process::<Calls>::start(&log, "a", &stream);
    let claimed =
        agent.appender.append(&stream, claim(SCOPE, None, 1)).await.expect("the log is up");
    log.delay_writes(1, Duration::from_secs(30));
    let abandoned = agent.appender.append(&stream, intent("sweep", claimed.offset)).await;
    let Err(Error::Unsettled { .. }) = abandoned else { panic!("{abandoned:?}") };
    tokio::time::sleep(Duration::from_secs(31)).await;
    let retry = agent.appender.append(&stream, intent("sweep", claimed.offset)).await;
    let retry = retry.expect("the log is up").offset;
    let calls = agent.read_to(retry + 1).await;
    assert!(!calls.may_dispatch(b"sweep", retry));
    let late = calls.call(b"sweep").expect("the intent has arrived").intent;
    agent.appender.append(&stream, not_run(late, claimed.offset)).await.expect("the log is up");
    let again = agent.appender.append(&stream, intent("sweep", claimed.offset)).await;
    let again = again.expect("the log is up").offset;
    assert!(agent.read_to(again + 1).await.may_dispatch(b"sweep", again));
}

// Two faults at the same time: the reply to an intent is lost, and while the agent searches for it
// another process takes over. Both read the log, and neither dispatches the call.
#[tokio::test(start_paused = true)]
async fn lost_reply_during_a_takeover_dispatches_nothing() {
    let log = MemoryLog::new();
    let stream = plat::calls_stream("ledger-1");
    let mut a = Process::<Calls>::start(&log, "a", &stream);
    let mut b = Process::<Calls>::start(&log, "b", &stream);
    let claimed =
        a.appender.append(&stream, claim(SCOPE, None, 1)).await.expect("the log is up").offset;
    b.read_to(1).await;
    // The successor's claim comes after the intent, whose reply is lost.
    log.lose_replies(1);
    let first = a.appender.append(&stream, intent("sweep", claimed)).await.expect("settled");
    a.gate.set(Open::Held);
    let last = b.read_to(first.offset + 1).await.holder().expect("the target is claimed").last;
    log.lose_replies(1);
    let taken = b.appender.append(&stream, claim(SCOPE, Some(last), 2)).await.expect("settled");
    a.gate.set(Open::All);
    let (at_a, at_b) = (a.read_to(taken.offset + 1).await, b.read_to(taken.offset + 1).await);
    assert!(!at_a.may_dispatch(b"sweep", first.offset));
    assert_eq!(status(&at_b, "sweep"), CallStatus::Unknown);
    assert_eq!(at_a, at_b);
}

// Large answers fill an agent's memory. The oldest bodies are removed first, but their keys are
// kept, so that a late retry does not run again.
#[test]
fn old_bodies_are_omitted_and_their_keys_kept() {
    const BODY: usize = 1024 * 1024;
    let mut calls = Calls::default();
    let mut put = |body: Body| {
        let offset = calls.end();
        calls.apply(offset, &record("a", body));
        offset
    };
    put(claim(SCOPE, None, 1));
    for number in 0..=ANSWER_BYTES_KEPT / BODY {
        let Body::Intent(template) = intent("", 0) else { panic!("an intent") };
        let key = Bytes::from(number.to_string());
        let at = put(Body::Intent(state::record::Intent { key, ..template }));
        let body = Bytes::from(vec![0; BODY]);
        put(Body::Answer(Answer { body, ..answer(at, 0, 200) }));
    }
    let left_out = |key| match status(&calls, key) {
        CallStatus::Answered(answer) => answer.body_left_out,
        other => panic!("{other:?}"),
    };
    assert_eq!((left_out("0"), left_out("1")), (true, false));
    let snapshot = state::Snapshot::of("calls", &calls);
    assert_eq!(snapshot.open::<Calls>().expect("the snapshot is valid"), calls);
}

// A fleet is updated one process at a time, so new code reads records that old code wrote.
#[test]
fn record_of_the_first_version_can_be_decoded() {
    let bytes = [
        0x08, 0x01, 0x11, 0x07, 0, 0, 0, 0, 0, 0, 0, 0x1a, 0x01, b'a', 0x20, 0x05, 0x82, 0x01,
        0x05, 0x08, 0x03, 0x10, 0xc8, 0x01,
    ];
    let read = Record::read("calls.x", 9, &bytes).expect("the record is valid");
    assert_eq!((read.id, read.author.as_str(), read.written_ms), (7, "a", 5));
    assert_eq!(read.body, Some(Body::Answer(answer(3, 0, 200))));
}
