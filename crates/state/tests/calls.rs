//! Calls that may not be repeated: each key runs at most once, and what is told of it is true.

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

// The same transfer comes in through two entries at once, and the agent appends an intent for
// each. If both were dispatched, funds would move twice.
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

// An agent hangs while it appends an intent, and another takes over its target. The intent
// arrives after the takeover: nobody may dispatch it, and the key is free for the new holder.
#[test]
fn an_intent_after_a_takeover_is_void() {
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
// got the call; said to be not run, it would be sent again and could run twice.
#[test]
fn a_call_whose_agent_lost_its_claim_is_unknown_until_its_own_author_answers() {
    let mut records = vec![
        record("a", claim(SCOPE, None, 1)),
        record("a", intent("sweep", 0)),
        record("b", claim(SCOPE, Some(1), 2)),
    ];
    assert_eq!(status(&fold(&records), "sweep"), CallStatus::Unknown);
    // The new holder may not free the key, nor a restarted process of the old one's name.
    records.push(record("b", not_run(1, 2)));
    records.push(record("a", not_run(1, 2)));
    records.push(record("b", Body::Answer(answer(1, 2, 200))));
    assert_eq!(status(&fold(&records), "sweep"), CallStatus::Unknown);
    // A new intent for the key does not count.
    records.push(record("b", intent("sweep", 2)));
    assert!(!fold::<Calls>(&records).may_dispatch(b"sweep", 6));
    // The old one was only paused, and the call it had sent has ended.
    records.push(record("a", Body::Answer(answer(1, 0, 201))));
    let answered = CallStatus::Answered(answer(1, 0, 201));
    assert_eq!(status(&fold(&records), "sweep"), answered);
    // Answers are final.
    records.push(record("a", not_run(1, 0)));
    assert_eq!(status(&fold(&records), "sweep"), answered);
}

// A target breaks off, and its agent records that nobody knows the outcome. A retry that has not
// read that yet takes the call for one that was given up, and says that it was not run. If that
// freed the key, the call would run a second time.
#[test]
fn a_call_of_unknown_outcome_is_never_free_again() {
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

// A call is refused before it reaches its target, the answer that frees its key is appended
// twice, and the second copy arrives after the caller's retry has begun.
#[test]
fn a_key_is_free_after_not_run_and_a_late_copy_does_not_free_it_again() {
    let calls: Calls = fold(&[
        record("a", claim(SCOPE, None, 1)),
        record("a", intent("sweep", 0)),
        record("a", not_run(1, 0)),
        record("a", intent("sweep", 0)),
        record("a", not_run(1, 0)),
    ]);
    assert!(calls.may_dispatch(b"sweep", 3));
}

// The reply to an intent is lost and reading does not show it in time, so the agent refuses the
// call as not run and never dispatches it. The intent then lands. A retry finds the key taken
// until the agent closes its own late intent, and then runs once.
#[tokio::test(start_paused = true)]
async fn an_abandoned_intent_that_lands_late_is_closed_by_its_author() {
    let log = MemoryLog::new();
    let stream = plat::calls_stream("ledger-1");
    let mut agent = Process::<Calls>::start(&log, "a", &stream);
    let claimed = agent.appender.append(&stream, claim(SCOPE, None, 1)).await.expect("up");
    log.land_late(1, Duration::from_secs(30));
    let abandoned = agent.appender.append(&stream, intent("sweep", claimed.offset)).await;
    let Err(Error::Unsettled { .. }) = abandoned else { panic!("{abandoned:?}") };
    tokio::time::sleep(Duration::from_secs(31)).await;
    let retry = agent.appender.append(&stream, intent("sweep", claimed.offset)).await;
    let retry = retry.expect("the log is up").offset;
    let calls = agent.read_to(retry + 1).await;
    assert!(!calls.may_dispatch(b"sweep", retry));
    let late = calls.call(b"sweep").expect("it landed").intent;
    agent.appender.append(&stream, not_run(late, claimed.offset)).await.expect("up");
    let again = agent.appender.append(&stream, intent("sweep", claimed.offset)).await;
    let again = again.expect("the log is up").offset;
    assert!(agent.read_to(again + 1).await.may_dispatch(b"sweep", again));
}

// Two faults together: the reply to an intent is lost, and while the agent looks for it another
// process takes over. Both read the log, and neither dispatches.
#[tokio::test(start_paused = true)]
async fn a_lost_reply_during_a_takeover_dispatches_nowhere() {
    let log = MemoryLog::new();
    let stream = plat::calls_stream("ledger-1");
    let mut a = Process::<Calls>::start(&log, "a", &stream);
    let mut b = Process::<Calls>::start(&log, "b", &stream);
    let claimed = a.appender.append(&stream, claim(SCOPE, None, 1)).await.expect("up").offset;
    b.read_to(1).await;
    // The successor's claim is held up behind the intent, whose reply is lost.
    log.lose_replies(1);
    let first = a.appender.append(&stream, intent("sweep", claimed)).await.expect("settled");
    a.gate.set(Open::Held);
    let last = b.read_to(first.offset + 1).await.holder().expect("held").last;
    log.lose_replies(1);
    let taken = b.appender.append(&stream, claim(SCOPE, Some(last), 2)).await.expect("settled");
    a.gate.set(Open::All);
    let (at_a, at_b) = (a.read_to(taken.offset + 1).await, b.read_to(taken.offset + 1).await);
    assert!(!at_a.may_dispatch(b"sweep", first.offset));
    assert_eq!(status(&at_b, "sweep"), CallStatus::Unknown);
    assert_eq!(at_a, at_b);
}

// Large answers fill an agent's memory. The oldest bodies go first; their keys stay known, so
// that a late retry still does not run again.
#[test]
fn old_bodies_are_left_out_and_their_keys_stay() {
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
    assert_eq!(snapshot.open::<Calls>().expect("it is whole"), calls);
}

// A fleet is updated one process at a time, so new code reads what old code wrote.
#[test]
fn a_record_of_the_first_version_still_reads() {
    let bytes = [
        0x08, 0x01, 0x11, 0x07, 0, 0, 0, 0, 0, 0, 0, 0x1a, 0x01, b'a', 0x20, 0x05, 0x82, 0x01,
        0x05, 0x08, 0x03, 0x10, 0xc8, 0x01,
    ];
    let read = Record::read("calls.x", 9, &bytes).expect("it reads");
    assert_eq!((read.id, read.author.as_str(), read.written_ms), (7, "a", 5));
    assert_eq!(read.body, Some(Body::Answer(answer(3, 0, 200))));
}
