//! Who gets the target's slots, and what becomes of those who don't.

mod common;

use common::{World, engine_spec, prompt, settle};
use conf::Kind;
use std::time::Duration;
use target::Engine;
use wire::{EventKind, Progress, Request};

async fn running(engine: &fake::MemoryEngine) -> u32 {
    engine.status().await.expect("the engine is up").running
}

fn due(request: Request, deadline_ms: u64) -> Request {
    Request { deadline_ms, ..request }
}

// A request waits at two targets. Its entry begins it at the other one and its Begin here comes
// after the offer has run out: it must be refused, and never start a second time.
#[tokio::test(start_paused = true)]
async fn a_begin_that_comes_too_late_starts_nothing() {
    let world = World::default();
    let (engine, _agent) = world.engine("engine-1", 1).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    entry.hold(1, prompt("r1", "desk", 20)).await;
    assert!(matches!(entry.event().await.kind, Some(EventKind::Offer(_))));
    assert_eq!(running(&engine).await, 0, "an offered request has not started");

    let (_, _, refusal) = entry.finish(1).await;
    let refusal = refusal.expect("the offer runs out");
    assert_eq!((refusal.reason.as_str(), refusal.progress()), ("offer-expired", Progress::NotRun));
    entry.begin(1).await;
    let (_, tokens, refusal) = entry.finish(1).await;
    assert_eq!((tokens, refusal.expect("refused").reason.as_str()), (0, "offer-expired"));
    settle().await;
    assert_eq!(running(&engine).await, 0);
}

// Begin comes in time, twice, and once for an attempt that nobody offered.
#[tokio::test(start_paused = true)]
async fn an_offered_request_starts_once_when_it_is_begun() {
    let world = World::default();
    let (engine, _agent) = world.engine("engine-1", 2).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    entry.hold(1, prompt("r1", "desk", 20)).await;
    assert!(matches!(entry.event().await.kind, Some(EventKind::Offer(_))));
    entry.begin(1).await;
    entry.begin(1).await;
    entry.event().await;
    assert_eq!(running(&engine).await, 1);
    let (_, tokens, refusal) = entry.finish(1).await;
    assert_eq!((tokens, refusal), (20, None));
}

// A held request is cancelled because it began elsewhere; the slot kept for it goes on at once.
#[tokio::test(start_paused = true)]
async fn a_cancelled_offer_frees_its_slot_at_once() {
    let world = World::default();
    let (_engine, _agent) = world.engine("engine-1", 1).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    entry.hold(1, prompt("r1", "desk", 20)).await;
    entry.event().await;
    entry.submit(2, prompt("r2", "desk", 5), 100).await;
    entry.cancel(1).await;
    let begun = tokio::time::Instant::now();
    let (_, tokens, refusal) = entry.finish(2).await;
    assert_eq!((tokens, refusal), (5, None));
    assert!(begun.elapsed() < Duration::from_millis(100));
}

// A crowd fills the target, and one request's caller stops waiting before its turn. The request
// must not run any more, its refusal must say so at once, and tell when to come back.
#[tokio::test(start_paused = true)]
async fn work_that_nobody_waits_for_any_more_is_refused_and_never_runs() {
    let world = World::default();
    let (engine, _agent) = world.engine("engine-1", 1).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    // The engine's speed is not known yet, so the short deadline looks as if it could be met.
    entry.submit(1, prompt("long", "tiles", 1_000), 10_000).await;
    settle().await;
    let mut late = due(prompt("late", "desk", 5), 700);
    if let Some(wire::Work::Prompt(long)) = &mut late.work {
        long.prompt_tokens = 0;
    }
    entry.submit(2, late, 100).await;
    let asked = tokio::time::Instant::now();
    let (_, tokens, refusal) = entry.finish(2).await;
    let refusal = refusal.expect("it is refused");
    assert_eq!((tokens, refusal.progress()), (0, Progress::NotRun));
    assert!(["deadline-exceeded", "overloaded"].contains(&refusal.reason.as_str()), "{refusal:?}");
    assert!(refusal.retry_after_ms > 0);
    assert!(asked.elapsed() <= Duration::from_millis(710), "it is told in time");
    let (_, tokens, _) = entry.finish(1).await;
    assert_eq!(tokens, 1_000);
    settle().await;
    assert_eq!(running(&engine).await, 0);
}

// Under a backlog far beyond its deadline a request is told so at once instead of when it is late.
#[tokio::test(start_paused = true)]
async fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let world = World::default();
    let (_engine, _agent) = world.engine("engine-1", 1).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    for attempt in 1..=20 {
        let request = due(prompt(&format!("r{attempt}"), "tiles", 500), 600_000);
        entry.submit(attempt, request, 10_000).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    entry.submit(99, due(prompt("hurry", "desk", 500), 1_000), 100).await;
    let asked = tokio::time::Instant::now();
    let (_, _, refusal) = entry.finish(99).await;
    let refusal = refusal.expect("it is refused");
    assert_eq!(refusal.reason, "overloaded");
    assert!(refusal.retry_after_ms >= 1_000);
    assert!(asked.elapsed() < Duration::from_millis(100));
}

// A rescue reply comes while a flood of metadata reading waits. It goes first.
#[tokio::test(start_paused = true)]
async fn an_urgent_request_goes_before_a_flood() {
    let world = World::default();
    let (_engine, _agent) = world.engine("engine-1", 1).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    for attempt in 1..=50 {
        let request = due(prompt(&format!("m{attempt}"), "tiles", 50), 600_000);
        entry.submit(attempt, request, 100).await;
    }
    settle().await;
    let urgent = Request { urgent: true, ..prompt("rescue", "tiles", 20) };
    entry.submit(99, urgent, 100).await;
    let asked = tokio::time::Instant::now();
    let (_, tokens, refusal) = entry.finish(99).await;
    assert_eq!((tokens, refusal), (20, None));
    assert!(asked.elapsed() < Duration::from_millis(400), "after {:?}", asked.elapsed());
}

// A target is set to leave. It must take no new work within seconds, while what runs is finished.
#[tokio::test(start_paused = true)]
async fn a_leaving_target_takes_no_new_work_and_finishes_what_runs() {
    let world = World::default();
    let (_engine, _agent) = world.engine("engine-1", 4).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("r1", "desk", 2_000), 10_000).await;
    settle().await;
    let mut spec = engine_spec("engine-1", 4);
    spec["phase"] = "leaving".into();
    world.publish(Kind::Target, "engine-1", spec).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    entry.submit(2, prompt("r2", "desk", 5), 100).await;
    let (_, _, refusal) = entry.finish(2).await;
    let refusal = refusal.expect("no new work");
    assert_eq!((refusal.reason.as_str(), refusal.progress()), ("draining", Progress::NotRun));
    let (_, tokens, refusal) = entry.finish(1).await;
    assert_eq!((tokens, refusal), (2_000, None));
}

// An operator restarts an agent under load. What runs and what waits is finished, new work is
// refused truthfully, and only then the process ends.
#[tokio::test(start_paused = true)]
async fn a_graceful_stop_cuts_nothing() {
    let world = World::default();
    let (_engine, agent) = world.engine("engine-1", 1).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("runs", "desk", 1_000), 10_000).await;
    entry.submit(2, prompt("waits", "desk", 100), 10_000).await;
    settle().await;
    agent.stop.cancel();
    settle().await;
    entry.submit(3, prompt("new", "desk", 100), 10_000).await;
    let (_, _, refusal) = entry.finish(3).await;
    assert_eq!(refusal.expect("no new work").progress(), Progress::NotRun);
    let (_, tokens, refusal) = entry.finish(1).await;
    assert_eq!((tokens, refusal), (1_000, None));
    let (_, tokens, refusal) = entry.finish(2).await;
    assert_eq!((tokens, refusal), (100, None));
    agent.ended().await;
}

// An agent is stopped while a stream runs that outlasts the time for a stop. Its caller must not be
// left with a dead connection: the entry is told in time to go on elsewhere.
#[tokio::test(start_paused = true)]
async fn a_stop_moves_a_stream_that_outlasts_it() {
    let world = World::default();
    let (_engine, agent) = world.engine("engine-1", 4).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("r1", "desk", 200_000), 1_000_000).await;
    entry.credit(1, 65_000).await;
    settle().await;
    agent.stop.cancel();
    let (mut tokens, mut refusal) = (0, None);
    while refusal.is_none() {
        let event = entry.event().await;
        match event.kind {
            Some(EventKind::Delta(delta)) => {
                tokens = delta.from_token + delta.tokens;
                entry.credit(1, 1).await;
            }
            Some(EventKind::Refusal(last)) => refusal = Some(last),
            other => panic!("unexpected {other:?}"),
        }
    }
    let refusal = refusal.expect("it was told");
    assert_eq!((refusal.reason.as_str(), refusal.progress()), ("draining", Progress::Started));
    assert!(tokens > 10_000, "it went on for most of the time: {tokens}");
    agent.ended().await;
}

// A stream moves to another engine and brings its KV cache along; if the source is gone the other
// engine reads everything anew, and the answer is the same.
#[tokio::test(start_paused = true)]
async fn a_stream_goes_on_elsewhere_with_or_without_its_kv_cache() {
    let world = World::default();
    let (_one, first) = world.engine("engine-1", 4).await;
    let (_two, _second) = world.engine("engine-2", 4).await;
    let mut one = world.entry("entry-1", "engine-1").await;
    let mut two = world.entry("entry-1", "engine-2").await;
    one.submit(1, prompt("r1", "desk", 60), 1_000).await;
    let (whole, ..) = one.finish(1).await;

    let half = whole.len() / 2;
    let mut resumed = prompt("r1", "desk", 60);
    if let Some(wire::Work::Prompt(prompt)) = &mut resumed.work {
        prompt.resume_text = whole[..half].to_owned();
        prompt.resume_tokens = 30;
        prompt.kv_source = "engine-1".into();
    }
    two.submit(2, resumed.clone(), 1_000).await;
    let (rest, cached) = finish_with_usage(&mut two, 2).await;
    assert_eq!(rest, whole[half..]);
    assert!(cached > 0, "the KV cache was imported");

    first.kill();
    settle().await;
    two.submit(3, resumed, 1_000).await;
    let (rest, _) = finish_with_usage(&mut two, 3).await;
    assert_eq!(rest, whole[half..]);
}

async fn finish_with_usage(entry: &mut common::Entry, attempt: u64) -> (String, u32) {
    let mut text = String::new();
    loop {
        let event = entry.event().await;
        match event.kind {
            Some(EventKind::Delta(delta)) if event.attempt == attempt => text += &delta.text,
            Some(EventKind::End(end)) if event.attempt == attempt => {
                return (text, end.cached_tokens);
            }
            other => panic!("unexpected {other:?}"),
        }
    }
}

// An engine takes the role of reading prompts only. Were it given as many prompts side by side as a
// mixed one, its queue, which is fair and puts the urgent first, would always be empty, and a rescue
// reply would wait inside the engine behind a flood.
#[tokio::test(start_paused = true)]
async fn an_engine_that_only_reads_is_given_two_prompts_at_a_time() {
    let world = World::default();
    let (engine, _agent) = world.engine("engine-1", 8).await;
    let order = target::Order::SetRole { role: conf::resource::Role::Prefill };
    engine.order(1, &order).await.expect("the engine takes the order");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    for attempt in 1..=5 {
        entry.submit(attempt, prompt(&format!("r{attempt}"), "desk", 200), 1_000).await;
    }
    settle().await;
    assert_eq!(running(&engine).await, 2);
}
