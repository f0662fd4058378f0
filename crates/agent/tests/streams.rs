//! Streams of an agent: credit, slow readers, lost entries, and answers continued by other entries.

mod common;

use common::{Harness, prompt, settle};
use std::time::Duration;
use target::Engine;
use wire::{Body, EntryStatus, EventKind, Ping, Progress};

async fn running(engine: &fake::MemoryEngine) -> u32 {
    engine.status().await.expect("the engine is up").running
}

// One caller with a slow link reads nothing for seconds while another reads at full speed over the
// same connection. Without credit for each attempt, the events of the slow one would fill the
// connection and block the fast one.
#[tokio::test(start_paused = true)]
async fn slow_reader_does_not_delay_a_fast_one() {
    let harness = Harness::default();
    let (_engine, _agent) = harness.engine("engine-1", 4).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("slow", "tiles", 2_000), 10).await;
    entry.submit(2, prompt("fast", "desk", 500), 10_000).await;

    let (mut slow, mut fast, mut ended) = (0, 0, false);
    while let Some(event) = entry.event_within(Duration::from_secs(1)).await {
        match (event.attempt, event.kind) {
            (1, Some(EventKind::Delta(_))) => slow += 1,
            (2, Some(EventKind::Delta(_))) => fast += 1,
            (2, Some(EventKind::End(_))) => ended = true,
            (_, other) => panic!("unexpected {other:?}"),
        }
    }
    assert_eq!((slow, fast, ended), (10, 500, true));

    entry.credit(1, 10_000).await;
    let (_, tokens, refusal) = entry.finish(1).await;
    assert_eq!((tokens, refusal), (2_000, None), "the slow caller gets its complete answer too");
}

// A reader stays connected but grants no more credit. Its job must not hold a slot forever: the
// agent buffers a bounded part of the answer, then refuses the attempt and cancels it at the
// engine.
#[tokio::test(start_paused = true)]
async fn stalled_reader_loses_its_slot() {
    let harness = Harness::default();
    let (engine, _agent) = harness.engine("engine-1", 1).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("stuck", "tiles", 100_000), 1).await;
    settle().await;
    assert_eq!(running(&engine).await, 1);
    let (_, tokens, refusal) = entry.finish(1).await;
    assert_eq!(tokens, 1);
    let refusal = refusal.expect("the attempt is refused");
    assert_eq!((refusal.reason.as_str(), refusal.progress()), ("slow-reader", Progress::Started));
    settle().await;
    assert_eq!(running(&engine).await, 0, "the job is cancelled at the engine");
}

// An entry is killed during a stream, and the caller reconnects through another entry with the id
// of the last event that it received. It must get the rest of the same answer, and other callers
// must not.
#[tokio::test(start_paused = true)]
async fn answer_continues_through_another_entry_for_the_same_caller_only() {
    let harness = Harness::default();
    let (engine, _agent) = harness.engine("engine-1", 4).await;
    let mut first = harness.entry("entry-1", "engine-1").await;
    first.submit(1, prompt("r1", "desk", 400), 1_000).await;
    let (mut text, mut tokens) = (String::new(), 0);
    while tokens < 100 {
        if let Some(EventKind::Delta(delta)) = first.event().await.kind {
            text.push_str(&delta.text);
            tokens += delta.tokens;
        }
    }
    drop(first);
    settle().await;

    let mut second = harness.entry("entry-2", "engine-1").await;
    second.attach(7, "r1", "tiles", 100).await;
    let (stolen, _, refusal) = second.finish(7).await;
    assert_eq!(
        (stolen.as_str(), refusal.expect("refused").reason.as_str()),
        ("", "unknown-answer")
    );

    second.attach(8, "r1", "desk", 100).await;
    let (rest, tokens, refusal) = second.finish(8).await;
    assert_eq!((tokens, refusal), (400, None));

    // A finished answer is retained for some time too, completely and from its beginning.
    second.attach(9, "r1", "desk", 0).await;
    let (whole, tokens, refusal) = second.finish(9).await;
    assert_eq!((tokens, refusal), (400, None));
    assert_eq!(whole, text + &rest);
    assert_eq!(running(&engine).await, 0);
}

// The connection to an entry is lost, and no other entry continues its stream. The job must be
// cancelled after the grace period, or streams of lost entries would use the engine to no purpose.
#[tokio::test(start_paused = true)]
async fn stream_without_reader_is_cancelled_after_the_grace_period() {
    let harness = Harness::default();
    let (engine, _agent) = harness.engine("engine-1", 4).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("r1", "desk", 60_000), 100_000).await;
    entry.event().await;
    drop(entry);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(running(&engine).await, 1, "another entry may still continue the stream");
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(running(&engine).await, 0);
}

// A caller hangs up, so its entry cancels the attempt. The job must end at the engine at once.
#[tokio::test(start_paused = true)]
async fn cancelled_attempt_is_cancelled_at_the_engine() {
    let harness = Harness::default();
    let (engine, _agent) = harness.engine("engine-1", 4).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("r1", "desk", 60_000), 100_000).await;
    entry.event().await;
    entry.cancel(1).await;
    settle().await;
    assert_eq!(running(&engine).await, 0);
}

// An entry's VM is paused or loses its network, and its connection looks open for many minutes. The
// agent must detect that no frames arrive and release the slots of the entry's attempts.
#[tokio::test(start_paused = true)]
async fn streams_of_an_unresponsive_entry_are_cancelled() {
    let harness = Harness::default();
    let (engine, _agent) = harness.engine("engine-1", 4).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("r1", "desk", 100_000), 100).await;
    settle().await;
    tokio::time::sleep(Duration::from_secs(31)).await;
    assert_eq!(running(&engine).await, 0);
    drop(entry);
}

// A planner requests from an agent which entries are alive and what demand they have. Entries
// report it in their pings. Old reports must expire, or entries that were replaced would be counted
// forever.
#[tokio::test(start_paused = true)]
async fn entry_statuses_are_forwarded_and_expire() {
    let harness = Harness::default();
    let (_engine, _agent) = harness.engine("engine-1", 4).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
    let sender =
        EntryStatus { entry: "entry-1".into(), prompt_rate: 900, ..EntryStatus::default() };
    entry.send(Body::Ping(Ping { nonce: 1, sender: Some(sender), include_entries: false })).await;
    settle().await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let seen = entry_statuses(&harness).await;
    assert_eq!(seen.len(), 1);
    assert_eq!((seen[0].entry.as_str(), seen[0].prompt_rate), ("entry-1", 900));
    assert!(seen[0].age_ms >= 2_000);
    tokio::time::sleep(Duration::from_secs(61)).await;
    assert_eq!(entry_statuses(&harness).await, []);
}

async fn entry_statuses(harness: &Harness) -> Vec<EntryStatus> {
    let mut entry = harness.entry("entry-2", "engine-1").await;
    entry.send(Body::Ping(Ping { nonce: 2, sender: None, include_entries: true })).await;
    loop {
        let frame = entry.connection.receive("pong").await.expect("the connection is open");
        if let Some(Body::Pong(pong)) = frame.body {
            return pong.entries;
        }
    }
}
