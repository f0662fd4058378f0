//! Calls that may not be repeated, at one target, through crashes and outages.

mod common;

use bytes::Bytes;
use common::{Entry, World, settle};
use conf::Kind;
use fake::MemoryService;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use wire::{Body, Call, EventKind, Head, Progress, Refusal, Request, Submit, Work};

/// What an entry gets for a call: its head and body, or the refusal.
#[derive(Debug)]
enum Outcome {
    Answered(Head, String),
    Refused(Refusal),
}

impl Outcome {
    fn answered(self) -> (Head, String) {
        match self {
            Outcome::Answered(head, body) => (head, body),
            Outcome::Refused(refusal) => panic!("refused: {refusal:?}"),
        }
    }

    fn refused(self) -> Refusal {
        match self {
            Outcome::Answered(head, body) => panic!("answered: {head:?} {body}"),
            Outcome::Refused(refusal) => refusal,
        }
    }
}

async fn ledger(world: &World) -> (MemoryService, common::Agent) {
    let service = MemoryService::default();
    let spec = json!({"service": "ledger", "domain": "sofia-1", "agent": "ledger-1:1"});
    world.publish(Kind::Target, "ledger-1", spec).await;
    let agent = world.agent("ledger-1", agent::Backend::Service(Arc::new(service.clone())));
    tokio::time::sleep(Duration::from_secs(2)).await;
    (service, agent)
}

fn transfer(id: &str, caller: &str, key: &str, amount: &str) -> Request {
    Request {
        id: id.into(),
        caller: caller.into(),
        deadline_ms: 30_000,
        work: Some(Work::Call(Call {
            service: "ledger".into(),
            method: "POST".into(),
            path: "/transfers".into(),
            body: Bytes::copy_from_slice(amount.as_bytes()),
            key: key.into(),
            ..Call::default()
        })),
        ..Request::default()
    }
}

async fn send(entry: &mut Entry, attempt: u64, request: Request) {
    let submit = Submit { attempt, request: Some(request), hold: false, credit: 100 };
    entry.send(Body::Submit(submit)).await;
}

async fn outcome(entry: &mut Entry, attempt: u64) -> Outcome {
    let reading = tokio::time::timeout(common::BOUND, read_outcome(entry, attempt));
    reading.await.expect("the attempt ends")
}

async fn read_outcome(entry: &mut Entry, attempt: u64) -> Outcome {
    let (mut head, mut body) = (Head::default(), String::new());
    loop {
        let event = entry.event().await;
        if event.attempt != attempt {
            continue;
        }
        match event.kind.expect("an event has a kind") {
            EventKind::Head(found) => head = found,
            EventKind::Part(part) => body.push_str(&String::from_utf8_lossy(&part.bytes)),
            EventKind::End(_) => return Outcome::Answered(head, body),
            EventKind::Refusal(refusal) => return Outcome::Refused(refusal),
            other => panic!("unexpected {other:?}"),
        }
    }
}

async fn call(entry: &mut Entry, attempt: u64, request: Request) -> Outcome {
    send(entry, attempt, request).await;
    outcome(entry, attempt).await
}

fn total(service: &MemoryService) -> u32 {
    service.runs().values().sum()
}

// A caller whose answer was lost sends its transfer again. It must not move funds twice; it gets
// the answer of the first run, and another caller's same key is another call.
#[tokio::test(start_paused = true)]
async fn a_retry_gets_the_recorded_answer_and_no_second_run() {
    let world = World::default();
    let (service, _agent) = ledger(&world).await;
    let mut entry = world.entry("entry-1", "ledger-1").await;
    let (head, first) = call(&mut entry, 1, transfer("r1", "desk", "t-1", "5")).await.answered();
    assert_eq!((head.status, head.replayed), (200, false));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (head, again) = call(&mut entry, 2, transfer("r2", "desk", "t-1", "5")).await.answered();
    assert_eq!((head.status, head.replayed), (200, true));
    assert_eq!(again, first);
    assert_eq!(total(&service), 1);

    let reused = call(&mut entry, 3, transfer("r3", "desk", "t-1", "7")).await.refused();
    assert_eq!((reused.reason.as_str(), reused.progress()), ("key-reused", Progress::NotRun));
    let (head, _) = call(&mut entry, 4, transfer("r4", "bank", "t-1", "7")).await.answered();
    assert!(!head.replayed, "another caller's key is another key");
    assert_eq!(total(&service), 2);
}

// A client with a short timeout sends its transfer again through another entry while the first is
// still running. Both get the one answer.
#[tokio::test(start_paused = true)]
async fn the_same_key_through_two_entries_at_once_runs_once() {
    let world = World::default();
    let (service, _agent) = ledger(&world).await;
    service.set_delay(Duration::from_secs(1));
    let mut one = world.entry("entry-1", "ledger-1").await;
    let mut two = world.entry("entry-2", "ledger-1").await;
    send(&mut one, 1, transfer("r1", "desk", "t-1", "5")).await;
    send(&mut two, 1, transfer("r2", "desk", "t-1", "5")).await;
    let (_, first) = outcome(&mut one, 1).await.answered();
    let (_, second) = outcome(&mut two, 1).await.answered();
    assert_eq!(first, second);
    assert_eq!(total(&service), 1);
}

// The agent is killed after the intent stands in the log and before the service answered. Nobody
// can know whether funds moved, so every later retry is told so, and nothing runs again.
#[tokio::test(start_paused = true)]
async fn a_key_whose_agent_died_between_dispatch_and_outcome_stays_unknown() {
    let world = World::default();
    let (service, agent) = ledger(&world).await;
    service.set_delay(Duration::from_secs(60));
    let mut entry = world.entry("entry-1", "ledger-1").await;
    send(&mut entry, 1, transfer("r1", "desk", "t-1", "5")).await;
    settle().await;
    assert_eq!(total(&service), 1, "it was dispatched");
    agent.kill();
    service.set_delay(Duration::ZERO);
    let _again = world.agent("ledger-1", agent::Backend::Service(Arc::new(service.clone())));
    settle().await;
    let mut entry = world.entry("entry-1", "ledger-1").await;
    for attempt in 1..=3 {
        let retry = transfer(&format!("r{}", attempt + 1), "desk", "t-1", "5");
        let refusal = call(&mut entry, attempt, retry).await.refused();
        assert_eq!(refusal.progress(), Progress::Unknown, "{refusal:?}");
        tokio::time::sleep(Duration::from_secs(6)).await;
    }
    assert_eq!(total(&service), 1);
    // Other keys run again once the new agent holds the target.
    call(&mut entry, 9, transfer("r9", "desk", "t-9", "5")).await.answered();
}

// The agent is killed while its intent is on the way to the log, so the call was never dispatched.
// The successor cannot know that: it must not run the key, and must not say that it never ran.
#[tokio::test(start_paused = true)]
async fn a_key_whose_agent_died_between_intent_and_dispatch_never_runs() {
    let world = World::default();
    let (service, agent) = ledger(&world).await;
    let mut entry = world.entry("entry-1", "ledger-1").await;
    world.log.set_delay(Duration::from_millis(300));
    world.log.lose_replies(1);
    send(&mut entry, 1, transfer("r1", "desk", "t-1", "5")).await;
    // The intent stands in the log by now; its reply is lost, and settling it takes another read.
    tokio::time::sleep(Duration::from_millis(350)).await;
    agent.kill();
    assert_eq!(total(&service), 0);
    world.log.set_delay(Duration::ZERO);
    let _again = world.agent("ledger-1", agent::Backend::Service(Arc::new(service.clone())));
    tokio::time::sleep(Duration::from_secs(10)).await;
    let mut entry = world.entry("entry-1", "ledger-1").await;
    let refusal = call(&mut entry, 1, transfer("r2", "desk", "t-1", "5")).await.refused();
    assert_eq!(
        (refusal.reason.as_str(), refusal.progress()),
        ("outcome-unknown", Progress::Unknown)
    );
    assert_eq!(total(&service), 0);
}

// The reply to the intent's append is lost after the write. The agent settles it by reading and
// goes on: the transfer runs once.
#[tokio::test(start_paused = true)]
async fn a_lost_reply_to_the_intent_is_settled_by_reading() {
    let world = World::default();
    let (service, _agent) = ledger(&world).await;
    let mut entry = world.entry("entry-1", "ledger-1").await;
    world.log.lose_replies(1);
    let (head, _) = call(&mut entry, 1, transfer("r1", "desk", "t-1", "5")).await.answered();
    assert!(!head.replayed);
    assert_eq!(total(&service), 1);
}

// The log is out. A transfer is refused at once, truthfully as not run, and it must not run later
// when the log is back; the caller's own retry then does.
#[tokio::test(start_paused = true)]
async fn while_the_log_is_out_nothing_is_begun_and_nothing_runs_later() {
    let world = World::default();
    let (service, _agent) = ledger(&world).await;
    let mut entry = world.entry("entry-1", "ledger-1").await;
    world.log.set_out(true);
    let refusal = call(&mut entry, 1, transfer("r1", "desk", "t-1", "5")).await.refused();
    assert_eq!(refusal.reason, "log-unavailable");
    assert_eq!(refusal.progress(), Progress::NotRun);
    assert!(refusal.retry_after_ms > 0);
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    let mut entry = world.entry("entry-1", "ledger-1").await;
    let refusal = call(&mut entry, 2, transfer("r2", "desk", "t-1", "5")).await.refused();
    assert_eq!(refusal.progress(), Progress::NotRun);
    world.log.set_out(false);
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(total(&service), 0);
    let mut entry = world.entry("entry-1", "ledger-1").await;
    call(&mut entry, 3, transfer("r3", "desk", "t-1", "5")).await.answered();
    assert_eq!(total(&service), 1);
}

// The service's VM is down: the connection is refused, so nothing ran. The caller is told so, and
// its key is free for another try.
#[tokio::test(start_paused = true)]
async fn a_call_that_never_reached_the_service_frees_its_key() {
    let world = World::default();
    let (service, _agent) = ledger(&world).await;
    let mut entry = world.entry("entry-1", "ledger-1").await;
    service.set_down(true);
    let refusal = call(&mut entry, 1, transfer("r1", "desk", "t-1", "5")).await.refused();
    assert_eq!((refusal.reason.as_str(), refusal.progress()), ("target-down", Progress::NotRun));
    service.set_down(false);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (head, _) = call(&mut entry, 2, transfer("r2", "desk", "t-1", "5")).await.answered();
    assert!(!head.replayed);
    assert_eq!(total(&service), 1);
}

// The service breaks off after it ran. Its caller and every retry are told that the outcome is
// unknown.
#[tokio::test(start_paused = true)]
async fn a_call_whose_reply_was_lost_is_unknown_and_not_run_again() {
    let world = World::default();
    let (service, _agent) = ledger(&world).await;
    let mut entry = world.entry("entry-1", "ledger-1").await;
    service.lose_replies(1);
    let refusal = call(&mut entry, 1, transfer("r1", "desk", "t-1", "5")).await.refused();
    assert_eq!(refusal.progress(), Progress::Unknown);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let refusal = call(&mut entry, 2, transfer("r2", "desk", "t-1", "5")).await.refused();
    assert_eq!(refusal.progress(), Progress::Unknown);
    assert_eq!(total(&service), 1);
}

// A caller hangs up while its transfer runs. The run goes on, its answer is recorded, and the
// caller's retry gets it.
#[tokio::test(start_paused = true)]
async fn a_caller_that_hangs_up_finds_its_answer_later() {
    let world = World::default();
    let (service, _agent) = ledger(&world).await;
    service.set_delay(Duration::from_secs(2));
    let mut entry = world.entry("entry-1", "ledger-1").await;
    send(&mut entry, 1, transfer("r1", "desk", "t-1", "5")).await;
    settle().await;
    entry.cancel(1).await;
    drop(entry);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let mut entry = world.entry("entry-2", "ledger-1").await;
    let (head, _) = call(&mut entry, 1, transfer("r2", "desk", "t-1", "5")).await.answered();
    assert!(head.replayed);
    assert_eq!(total(&service), 1);
}
