//! How requests get the target's slots, and what happens to those that do not.

mod common;

use common::{Harness, engine_spec, prompt, settle};
use conf::Kind;
use std::time::Duration;
use target::Engine;
use wire::{EventKind, Progress, Request};

async fn running(engine: &fake::MemoryEngine) -> u32 {
    engine.status().await.expect("the engine is up").running
}

fn with_deadline(request: Request, deadline_ms: u64) -> Request {
    Request { deadline_ms, ..request }
}

// A request waits at two targets. Its entry starts it at the other one, and a `Begin` arrives here
// after the offer has expired. It must be refused, or the request would run twice.
#[tokio::test(start_paused = true)]
async fn begin_after_the_offer_expired_starts_nothing() {
    let harness = Harness::default();
    let (engine, _agent) = harness.engine("engine-1", 1).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
    entry.hold(1, prompt("r1", "desk", 20)).await;
    assert!(matches!(entry.event().await.kind, Some(EventKind::Offer(_))));
    assert_eq!(running(&engine).await, 0, "an offered request must not have started");

    let (_, _, refusal) = entry.finish(1).await;
    let refusal = refusal.expect("the offer expires");
    assert_eq!((refusal.reason.as_str(), refusal.progress()), ("offer-expired", Progress::NotRun));
    entry.begin(1).await;
    let (_, tokens, refusal) = entry.finish(1).await;
    assert_eq!((tokens, refusal.expect("refused").reason.as_str()), (0, "offer-expired"));
    settle().await;
    assert_eq!(running(&engine).await, 0);
}

// `Begin` arrives in time, but twice. The request must start once.
#[tokio::test(start_paused = true)]
async fn offered_request_starts_once_on_begin() {
    let harness = Harness::default();
    let (engine, _agent) = harness.engine("engine-1", 2).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
    entry.hold(1, prompt("r1", "desk", 20)).await;
    assert!(matches!(entry.event().await.kind, Some(EventKind::Offer(_))));
    entry.begin(1).await;
    entry.begin(1).await;
    entry.event().await;
    assert_eq!(running(&engine).await, 1);
    let (_, tokens, refusal) = entry.finish(1).await;
    assert_eq!((tokens, refusal), (20, None));
}

// An offered request is cancelled because it was started at another target. The slot reserved for
// it must be granted to the next request at once.
#[tokio::test(start_paused = true)]
async fn cancelled_offer_releases_its_slot_at_once() {
    let harness = Harness::default();
    let (_engine, _agent) = harness.engine("engine-1", 1).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
    entry.hold(1, prompt("r1", "desk", 20)).await;
    entry.event().await;
    entry.submit(2, prompt("r2", "desk", 5), 100).await;
    entry.cancel(1).await;
    let cancelled_at = tokio::time::Instant::now();
    let (_, tokens, refusal) = entry.finish(2).await;
    assert_eq!((tokens, refusal), (5, None));
    assert!(cancelled_at.elapsed() < Duration::from_millis(100));
}

// The target is fully loaded, and the caller of a waiting request stops waiting before it gets a
// slot. The request must not run, and its refusal must be sent at once, with a time to retry.
#[tokio::test(start_paused = true)]
async fn expired_request_is_refused_and_never_runs() {
    let harness = Harness::default();
    let (engine, _agent) = harness.engine("engine-1", 1).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
    // The engine's speed is not measured yet, so the request is not refused for its short deadline.
    entry.submit(1, prompt("long", "tiles", 1_000), 10_000).await;
    settle().await;
    let mut late = with_deadline(prompt("late", "desk", 5), 700);
    if let Some(wire::Work::Prompt(long)) = &mut late.work {
        long.prompt_tokens = 0;
    }
    entry.submit(2, late, 100).await;
    let sent_at = tokio::time::Instant::now();
    let (_, tokens, refusal) = entry.finish(2).await;
    let refusal = refusal.expect("it is refused");
    assert_eq!((tokens, refusal.progress()), (0, Progress::NotRun));
    assert!(["deadline-exceeded", "overloaded"].contains(&refusal.reason.as_str()), "{refusal:?}");
    assert!(refusal.retry_after_ms > 0);
    assert!(sent_at.elapsed() <= Duration::from_millis(710), "the refusal is sent in time");
    let (_, tokens, _) = entry.finish(1).await;
    assert_eq!(tokens, 1_000);
    settle().await;
    assert_eq!(running(&engine).await, 0);
}

// The backlog takes far longer than a request's deadline. The request must be refused at once
// instead of when its deadline has passed.
#[tokio::test(start_paused = true)]
async fn unreachable_deadline_is_refused_at_once() {
    let harness = Harness::default();
    let (_engine, _agent) = harness.engine("engine-1", 1).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
    for attempt in 1..=20 {
        let request = with_deadline(prompt(&format!("r{attempt}"), "tiles", 500), 600_000);
        entry.submit(attempt, request, 10_000).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    entry.submit(99, with_deadline(prompt("hurry", "desk", 500), 1_000), 100).await;
    let sent_at = tokio::time::Instant::now();
    let (_, _, refusal) = entry.finish(99).await;
    let refusal = refusal.expect("it is refused");
    assert_eq!(refusal.reason, "overloaded");
    assert!(refusal.retry_after_ms >= 1_000);
    assert!(sent_at.elapsed() < Duration::from_millis(100));
}

// An urgent request arrives while a flood of ordinary requests waits. It must start first.
#[tokio::test(start_paused = true)]
async fn urgent_request_goes_before_a_flood() {
    let harness = Harness::default();
    let (_engine, _agent) = harness.engine("engine-1", 1).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
    for attempt in 1..=50 {
        let request = with_deadline(prompt(&format!("m{attempt}"), "tiles", 50), 600_000);
        entry.submit(attempt, request, 100).await;
    }
    settle().await;
    let urgent = Request { urgent: true, ..prompt("rescue", "tiles", 20) };
    entry.submit(99, urgent, 100).await;
    let sent_at = tokio::time::Instant::now();
    let (_, tokens, refusal) = entry.finish(99).await;
    assert_eq!((tokens, refusal), (20, None));
    assert!(sent_at.elapsed() < Duration::from_millis(400), "after {:?}", sent_at.elapsed());
}

// A target is set to leave. It must refuse new work within seconds and complete what runs.
#[tokio::test(start_paused = true)]
async fn leaving_target_refuses_new_work_and_completes_running_requests() {
    let harness = Harness::default();
    let (_engine, _agent) = harness.engine("engine-1", 4).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("r1", "desk", 2_000), 10_000).await;
    settle().await;
    let mut spec = engine_spec("engine-1", 4);
    spec["phase"] = "leaving".into();
    harness.publish(Kind::Target, "engine-1", spec).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    entry.submit(2, prompt("r2", "desk", 5), 100).await;
    let (_, _, refusal) = entry.finish(2).await;
    let refusal = refusal.expect("no new work");
    assert_eq!((refusal.reason.as_str(), refusal.progress()), ("draining", Progress::NotRun));
    let (_, tokens, refusal) = entry.finish(1).await;
    assert_eq!((tokens, refusal), (2_000, None));
}

// An operator restarts an agent under load. Running and waiting requests must be completed and new
// ones refused as not run before the process ends.
#[tokio::test(start_paused = true)]
async fn graceful_stop_completes_running_and_waiting_requests() {
    let harness = Harness::default();
    let (_engine, agent) = harness.engine("engine-1", 1).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
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
    agent.join().await;
}

// An agent is stopped while a stream runs that takes longer than the time limit of the stop. The
// entry must get a refusal in time to continue the stream at another target, instead of a lost
// connection.
#[tokio::test(start_paused = true)]
async fn graceful_stop_migrates_a_stream_that_exceeds_its_time_limit() {
    let harness = Harness::default();
    let (_engine, agent) = harness.engine("engine-1", 4).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
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
    let refusal = refusal.expect("the stream is migrated");
    assert_eq!((refusal.reason.as_str(), refusal.progress()), ("draining", Progress::Started));
    assert!(tokens > 10_000, "the stream continued for most of the time limit: {tokens} tokens");
    agent.join().await;
}

// A stream migrates to another engine, which imports its KV cache. If the first engine's agent has
// stopped, the other engine prefills everything again. The answer must be the same in both cases.
#[tokio::test(start_paused = true)]
async fn stream_continues_at_another_engine_with_or_without_its_kv_cache() {
    let harness = Harness::default();
    let (_one, first) = harness.engine("engine-1", 4).await;
    let (_two, _second) = harness.engine("engine-2", 4).await;
    let mut one = harness.entry("entry-1", "engine-1").await;
    let mut two = harness.entry("entry-1", "engine-2").await;
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

// An engine changes to the prefill role. If it were given as many prompts concurrently as a mixed
// one, the agent's fair queue, which starts urgent requests first, would always be empty, and an
// urgent request would wait inside the engine behind a flood.
#[tokio::test(start_paused = true)]
async fn prefill_engine_runs_two_prompts_concurrently() {
    let harness = Harness::default();
    let (engine, _agent) = harness.engine("engine-1", 8).await;
    let order = target::Order::SetRole { role: conf::resource::Role::Prefill };
    engine.order(1, &order).await.expect("the engine accepts the order");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
    for attempt in 1..=5 {
        entry.submit(attempt, prompt(&format!("r{attempt}"), "desk", 200), 1_000).await;
    }
    settle().await;
    assert_eq!(running(&engine).await, 2);
}
