//! Calls that may not be repeated: at one target, with crashes and outages.

mod common;

use bytes::Bytes;
use common::{Entry, Harness, settle};
use conf::Kind;
use fake::MemoryService;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use wire::{Body, Call, EventKind, Head, Progress, Refusal, Request, Submit, Work};

/// What an entry receives for a call: the head and body of its answer, or the refusal.
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

async fn start_ledger(harness: &Harness) -> (MemoryService, common::Agent) {
    let service = MemoryService::default();
    let spec = json!({"service": "ledger", "domain": "sofia-1", "agent": "ledger-1:1"});
    harness.publish(Kind::Target, "ledger-1", spec).await;
    let agent = harness.agent("ledger-1", agent::Backend::Service(Arc::new(service.clone())));
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
    let reading = tokio::time::timeout(common::TIMEOUT, read_outcome(entry, attempt));
    reading.await.expect("the attempt ends within the timeout")
}

async fn read_outcome(entry: &mut Entry, attempt: u64) -> Outcome {
    let (mut head, mut body) = (Head::default(), String::new());
    loop {
        let event = entry.event().await;
        if event.attempt != attempt {
            continue;
        }
        match event.kind.expect("every event has a kind") {
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

fn total_runs(service: &MemoryService) -> u32 {
    service.runs().values().sum()
}

// A caller whose answer was lost retries its transfer. It must not move funds twice: the retry gets
// the answer of the first run. The same key of another caller is a different call.
#[tokio::test(start_paused = true)]
async fn retry_gets_the_recorded_answer_without_a_second_run() {
    let harness = Harness::default();
    let (service, _agent) = start_ledger(&harness).await;
    let mut entry = harness.entry("entry-1", "ledger-1").await;
    let (head, first) = call(&mut entry, 1, transfer("r1", "desk", "t-1", "5")).await.answered();
    assert_eq!((head.status, head.replayed), (200, false));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (head, again) = call(&mut entry, 2, transfer("r2", "desk", "t-1", "5")).await.answered();
    assert_eq!((head.status, head.replayed), (200, true));
    assert_eq!(again, first);
    assert_eq!(total_runs(&service), 1);

    let reused = call(&mut entry, 3, transfer("r3", "desk", "t-1", "7")).await.refused();
    assert_eq!((reused.reason.as_str(), reused.progress()), ("key-reused", Progress::NotRun));
    let (head, _) = call(&mut entry, 4, transfer("r4", "bank", "t-1", "7")).await.answered();
    assert!(!head.replayed, "the key of another caller is a different key");
    assert_eq!(total_runs(&service), 2);
}

// A caller with a short timeout retries its transfer through another entry while the first attempt
// is still running. The call runs once and both attempts get its answer.
#[tokio::test(start_paused = true)]
async fn same_key_through_two_entries_concurrently_runs_once() {
    let harness = Harness::default();
    let (service, _agent) = start_ledger(&harness).await;
    service.set_delay(Duration::from_secs(1));
    let mut one = harness.entry("entry-1", "ledger-1").await;
    let mut two = harness.entry("entry-2", "ledger-1").await;
    send(&mut one, 1, transfer("r1", "desk", "t-1", "5")).await;
    send(&mut two, 1, transfer("r2", "desk", "t-1", "5")).await;
    let (_, first) = outcome(&mut one, 1).await.answered();
    let (_, second) = outcome(&mut two, 1).await.answered();
    assert_eq!(first, second);
    assert_eq!(total_runs(&service), 1);
}

// The agent is killed after the intent is in the log and before the service has answered. Whether
// funds were moved cannot be determined, so every retry is refused with an unknown outcome and
// nothing runs again.
#[tokio::test(start_paused = true)]
async fn key_stays_unknown_after_an_agent_crash_between_dispatch_and_outcome() {
    let harness = Harness::default();
    let (service, agent) = start_ledger(&harness).await;
    service.set_delay(Duration::from_secs(60));
    let mut entry = harness.entry("entry-1", "ledger-1").await;
    send(&mut entry, 1, transfer("r1", "desk", "t-1", "5")).await;
    settle().await;
    assert_eq!(total_runs(&service), 1, "the call was dispatched");
    agent.kill();
    service.set_delay(Duration::ZERO);
    let _successor = harness.agent("ledger-1", agent::Backend::Service(Arc::new(service.clone())));
    settle().await;
    let mut entry = harness.entry("entry-1", "ledger-1").await;
    for attempt in 1..=3 {
        let retry = transfer(&format!("r{}", attempt + 1), "desk", "t-1", "5");
        let refusal = call(&mut entry, attempt, retry).await.refused();
        assert_eq!(refusal.progress(), Progress::Unknown, "{refusal:?}");
        tokio::time::sleep(Duration::from_secs(6)).await;
    }
    assert_eq!(total_runs(&service), 1);
    // Calls with other keys run once the new agent holds the claim.
    call(&mut entry, 9, transfer("r9", "desk", "t-9", "5")).await.answered();
}

// The agent is killed while its intent is being appended, so the call was never dispatched. The
// successor cannot determine that: it must neither run the key nor report that it never ran.
#[tokio::test(start_paused = true)]
async fn key_never_runs_after_an_agent_crash_between_intent_and_dispatch() {
    let harness = Harness::default();
    let (service, agent) = start_ledger(&harness).await;
    let mut entry = harness.entry("entry-1", "ledger-1").await;
    harness.log.set_delay(Duration::from_millis(300));
    harness.log.lose_replies(1);
    send(&mut entry, 1, transfer("r1", "desk", "t-1", "5")).await;
    // The intent is in the log, but its reply is lost, and the agent has yet to read the log for
    // it.
    tokio::time::sleep(Duration::from_millis(350)).await;
    agent.kill();
    assert_eq!(total_runs(&service), 0);
    harness.log.set_delay(Duration::ZERO);
    let _successor = harness.agent("ledger-1", agent::Backend::Service(Arc::new(service.clone())));
    tokio::time::sleep(Duration::from_secs(10)).await;
    let mut entry = harness.entry("entry-1", "ledger-1").await;
    let refusal = call(&mut entry, 1, transfer("r2", "desk", "t-1", "5")).await.refused();
    assert_eq!(
        (refusal.reason.as_str(), refusal.progress()),
        ("outcome-unknown", Progress::Unknown)
    );
    assert_eq!(total_runs(&service), 0);
}

// The reply to the append of the intent is lost after the write. The agent finds the intent by
// reading the log and continues: the transfer runs once.
#[tokio::test(start_paused = true)]
async fn lost_reply_to_the_intent_is_resolved_by_reading_the_log() {
    let harness = Harness::default();
    let (service, _agent) = start_ledger(&harness).await;
    let mut entry = harness.entry("entry-1", "ledger-1").await;
    harness.log.lose_replies(1);
    let (head, _) = call(&mut entry, 1, transfer("r1", "desk", "t-1", "5")).await.answered();
    assert!(!head.replayed);
    assert_eq!(total_runs(&service), 1);
}

// The log is unavailable. A transfer is refused at once as not run, and it must not run later when
// the log is available again. A retry of the caller then runs it.
#[tokio::test(start_paused = true)]
async fn calls_during_a_log_outage_are_refused_and_never_run_later() {
    let harness = Harness::default();
    let (service, _agent) = start_ledger(&harness).await;
    let mut entry = harness.entry("entry-1", "ledger-1").await;
    harness.log.set_unavailable(true);
    let refusal = call(&mut entry, 1, transfer("r1", "desk", "t-1", "5")).await.refused();
    assert_eq!(refusal.reason, "log-unavailable");
    assert_eq!(refusal.progress(), Progress::NotRun);
    assert!(refusal.retry_after_ms > 0);
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    let mut entry = harness.entry("entry-1", "ledger-1").await;
    let refusal = call(&mut entry, 2, transfer("r2", "desk", "t-1", "5")).await.refused();
    assert_eq!(refusal.progress(), Progress::NotRun);
    harness.log.set_unavailable(false);
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(total_runs(&service), 0);
    let mut entry = harness.entry("entry-1", "ledger-1").await;
    call(&mut entry, 3, transfer("r3", "desk", "t-1", "5")).await.answered();
    assert_eq!(total_runs(&service), 1);
}

// The service's VM is down and refuses the connection, so the call has not run. The refusal reports
// that, and a retry with the same key runs the call.
#[tokio::test(start_paused = true)]
async fn call_that_never_reached_the_service_releases_its_key() {
    let harness = Harness::default();
    let (service, _agent) = start_ledger(&harness).await;
    let mut entry = harness.entry("entry-1", "ledger-1").await;
    service.set_down(true);
    let refusal = call(&mut entry, 1, transfer("r1", "desk", "t-1", "5")).await.refused();
    assert_eq!((refusal.reason.as_str(), refusal.progress()), ("target-down", Progress::NotRun));
    service.set_down(false);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (head, _) = call(&mut entry, 2, transfer("r2", "desk", "t-1", "5")).await.answered();
    assert!(!head.replayed);
    assert_eq!(total_runs(&service), 1);
}

// The service closes the connection after it has run the call. The caller and every retry get a
// refusal with an unknown outcome.
#[tokio::test(start_paused = true)]
async fn call_with_a_lost_reply_is_unknown_and_not_run_again() {
    let harness = Harness::default();
    let (service, _agent) = start_ledger(&harness).await;
    let mut entry = harness.entry("entry-1", "ledger-1").await;
    service.lose_replies(1);
    let refusal = call(&mut entry, 1, transfer("r1", "desk", "t-1", "5")).await.refused();
    assert_eq!(refusal.progress(), Progress::Unknown);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let refusal = call(&mut entry, 2, transfer("r2", "desk", "t-1", "5")).await.refused();
    assert_eq!(refusal.progress(), Progress::Unknown);
    assert_eq!(total_runs(&service), 1);
}

// A caller hangs up while its transfer runs. The run continues, its answer is recorded, and a retry
// of the caller gets that answer.
#[tokio::test(start_paused = true)]
async fn answer_is_recorded_after_the_caller_hangs_up() {
    let harness = Harness::default();
    let (service, _agent) = start_ledger(&harness).await;
    service.set_delay(Duration::from_secs(2));
    let mut entry = harness.entry("entry-1", "ledger-1").await;
    send(&mut entry, 1, transfer("r1", "desk", "t-1", "5")).await;
    settle().await;
    entry.cancel(1).await;
    drop(entry);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let mut entry = harness.entry("entry-2", "ledger-1").await;
    let (head, _) = call(&mut entry, 1, transfer("r2", "desk", "t-1", "5")).await.answered();
    assert!(head.replayed);
    assert_eq!(total_runs(&service), 1);
}
