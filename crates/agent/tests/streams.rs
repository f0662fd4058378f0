//! Streams at an agent: credit, slow readers, entries that are lost, and answers read on.

mod common;

use common::{World, prompt, settle};
use std::time::Duration;
use target::Engine;
use wire::{Body, EventKind, Ping, Progress, Sighting};

async fn running(engine: &fake::MemoryEngine) -> u32 {
    engine.status().await.expect("the engine is up").running
}

// One caller on a weak signal reads nothing for seconds while another reads at full speed over the
// same connection. Without credit for each attempt the slow one's events fill the connection, and
// the fast one's answer stands still.
#[tokio::test(start_paused = true)]
async fn a_slow_reader_does_not_hold_up_a_fast_one() {
    let world = World::default();
    let (_engine, _agent) = world.engine("engine-1", 4).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("slow", "tiles", 2_000), 10).await;
    entry.submit(2, prompt("fast", "desk", 500), 10_000).await;

    let (mut slow, mut fast, mut ended) = (0, 0, false);
    while let Some(event) = entry.quiet(Duration::from_secs(1)).await {
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
    assert_eq!((tokens, refusal), (2_000, None), "the slow caller gets its whole answer too");
}

// A reader gives no more credit and stays connected. Its job must not hold a slot for ever: the
// agent buffers a bounded part, then gives the attempt up and cancels it at the engine.
#[tokio::test(start_paused = true)]
async fn a_reader_that_stops_for_good_loses_its_slot() {
    let world = World::default();
    let (engine, _agent) = world.engine("engine-1", 1).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("stuck", "tiles", 100_000), 1).await;
    settle().await;
    assert_eq!(running(&engine).await, 1);
    let (_, tokens, refusal) = entry.finish(1).await;
    assert_eq!(tokens, 1);
    let refusal = refusal.expect("it is given up");
    assert_eq!((refusal.reason.as_str(), refusal.progress()), ("slow-reader", Progress::Started));
    settle().await;
    assert_eq!(running(&engine).await, 0, "the engine's work is cancelled");
}

// An entry is killed while it streams; the caller's client reconnects through another entry with
// the last event it saw. It must get the rest of the same answer, and nobody else may.
#[tokio::test(start_paused = true)]
async fn an_answer_is_read_on_through_another_entry_by_the_same_caller_only() {
    let world = World::default();
    let (engine, _agent) = world.engine("engine-1", 4).await;
    let mut first = world.entry("entry-1", "engine-1").await;
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

    let mut second = world.entry("entry-2", "engine-1").await;
    second.attach(7, "r1", "tiles", 100).await;
    let (stolen, _, refusal) = second.finish(7).await;
    assert_eq!(
        (stolen.as_str(), refusal.expect("refused").reason.as_str()),
        ("", "unknown-answer")
    );

    second.attach(8, "r1", "desk", 100).await;
    let (rest, tokens, refusal) = second.finish(8).await;
    assert_eq!((tokens, refusal), (400, None));

    // A finished answer is kept for a while too, whole and from the beginning.
    second.attach(9, "r1", "desk", 0).await;
    let (whole, tokens, refusal) = second.finish(9).await;
    assert_eq!((tokens, refusal), (400, None));
    assert_eq!(whole, text + &rest);
    assert_eq!(running(&engine).await, 0);
}

// An entry is lost and nobody comes back for its stream. After the grace time the engine's work
// must be cancelled, or each lost entry would leave its streams running for nobody.
#[tokio::test(start_paused = true)]
async fn a_stream_that_nobody_picks_up_is_cancelled_after_a_grace_time() {
    let world = World::default();
    let (engine, _agent) = world.engine("engine-1", 4).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("r1", "desk", 60_000), 100_000).await;
    entry.event().await;
    drop(entry);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(running(&engine).await, 1, "it may still be picked up");
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(running(&engine).await, 0);
}

// A caller hangs up, so its entry cancels the attempt. The engine's work ends at once.
#[tokio::test(start_paused = true)]
async fn a_cancelled_attempt_is_cancelled_at_the_engine() {
    let world = World::default();
    let (engine, _agent) = world.engine("engine-1", 4).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("r1", "desk", 60_000), 100_000).await;
    entry.event().await;
    entry.cancel(1).await;
    settle().await;
    assert_eq!(running(&engine).await, 0);
}

// An entry's VM is paused or cut off without a word, and its connection looks open for many
// minutes. The agent must notice by the silence and free what the entry's attempts hold.
#[tokio::test(start_paused = true)]
async fn a_silent_entry_is_noticed_and_its_streams_freed() {
    let world = World::default();
    let (engine, _agent) = world.engine("engine-1", 4).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("r1", "desk", 100_000), 100).await;
    settle().await;
    tokio::time::sleep(Duration::from_secs(31)).await;
    assert_eq!(running(&engine).await, 0);
    drop(entry);
}

// A planner asks an agent which entries live and what demand they see. Entries say so in their
// pings; old news must age and go, or entries that were replaced would be counted for ever.
#[tokio::test(start_paused = true)]
async fn sightings_of_entries_are_handed_on_and_age() {
    let world = World::default();
    let (_engine, _agent) = world.engine("engine-1", 4).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    let sender = Sighting { entry: "entry-1".into(), prompt_rate: 900, ..Sighting::default() };
    entry.send(Body::Ping(Ping { nonce: 1, sender: Some(sender), wants_sightings: false })).await;
    settle().await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let seen = sightings(&world).await;
    assert_eq!(seen.len(), 1);
    assert_eq!((seen[0].entry.as_str(), seen[0].prompt_rate), ("entry-1", 900));
    assert!(seen[0].age_ms >= 2_000);
    tokio::time::sleep(Duration::from_secs(61)).await;
    assert_eq!(sightings(&world).await, []);
}

async fn sightings(world: &World) -> Vec<Sighting> {
    let mut entry = world.entry("entry-2", "engine-1").await;
    entry.send(Body::Ping(Ping { nonce: 2, sender: None, wants_sightings: true })).await;
    loop {
        let frame = entry.connection.expect("pong").await.expect("the connection stands");
        if let Some(Body::Pong(pong)) = frame.body {
            return pong.sightings;
        }
    }
}
