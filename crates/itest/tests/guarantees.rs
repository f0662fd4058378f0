//! Guarantees that entries and agents provide together, with the whole fleet in memory.

use bytes::Bytes;
use conf::Kind;
use fake::MemoryService;
use itest::{Answer, Fleet, MODEL, agent_address, post, send, stream_chat, text_of};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

async fn transfer(entry: &entry::Entry, key: &str, body: &'static str) -> Answer {
    let request = http::Request::post("/services/ledger/transfers")
        .header("idempotency-key", key)
        .body(Bytes::from_static(body.as_bytes()));
    send(entry, request.expect("the request is valid")).await
}

async fn chat(entry: &entry::Entry) -> u16 {
    let body = json!({
        "model": MODEL, "max_tokens": 4, "messages": [{"role": "user", "content": "Which tiles?"}],
    });
    post(entry, "/v1/chat/completions", body).await.status
}

fn runs(services: &[&MemoryService]) -> u32 {
    services.iter().map(|service| service.runs().values().sum::<u32>()).sum()
}

fn run_of(answer: &Answer) -> String {
    let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    body["run"].as_str().unwrap_or_default().to_owned()
}

/// Starts two service instances and two entries connected to both, and waits until the agents hold
/// their claims.
async fn ledgers() -> (Fleet, [MemoryService; 2], [itest::Agent; 2], [Arc<entry::Entry>; 2]) {
    let fleet = Fleet::new().await;
    let (one, agent_one) = fleet.add_service("ledger", "ledger-1", "sofia-1", false).await;
    let (two, agent_two) = fleet.add_service("ledger", "ledger-2", "sofia-2", false).await;
    let left = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    let right = Arc::new(fleet.start_entry("entry-2", "sofia-2"));
    tokio::time::sleep(Duration::from_secs(3)).await;
    (fleet, [one, two], [agent_one, agent_two], [left, right])
}

// A client sends the same call with one idempotency key through two entries at once. If both
// forwarded it to a service, it would run twice.
#[tokio::test(start_paused = true)]
async fn concurrent_calls_with_one_key_through_two_entries_run_once() {
    let (_fleet, [one, two], _agents, [left, right]) = ledgers().await;
    one.set_delay(Duration::from_millis(200));
    two.set_delay(Duration::from_millis(200));
    for number in 1..=8 {
        let key = format!("t-{number}");
        let (a, b) = tokio::join!(transfer(&left, &key, "5"), transfer(&right, &key, "5"));
        assert_eq!((a.status, b.status), (200, 200), "{a:?} {b:?}");
        assert_eq!(a.body, b.body);
        assert_eq!(runs(&[&one, &two]), number);
    }
    let reused = transfer(&left, "t-1", "6").await;
    assert_eq!((reused.status, run_of(&reused)), (422, "not-run".to_owned()));
    assert_eq!(runs(&[&one, &two]), 8);
}

// An entry loses its agents while a call runs, and the caller retries through another entry. It
// must get the answer of the first run, not start a second one.
#[tokio::test(start_paused = true)]
async fn a_retry_through_another_entry_gets_the_first_answer() {
    let (fleet, [one, two], _agents, [left, right]) = ledgers().await;
    one.set_delay(Duration::from_millis(500));
    two.set_delay(Duration::from_millis(500));
    let first = tokio::spawn({
        let left = left.clone();
        async move { transfer(&left, "t-1", "5").await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.network.cut("entry-1", "ledger-1:1");
    fleet.network.cut("entry-1", "ledger-2:1");
    let lost = first.await.expect("the request task ends");
    assert_eq!((lost.status, run_of(&lost)), (502, "unknown".to_owned()));
    let again = transfer(&right, "t-1", "5").await;
    assert_eq!(again.status, 200, "{}", again.body);
    assert_eq!(runs(&[&one, &two]), 1);
}

// While the log is unavailable, non-repeatable calls must be refused as not run, since their intent
// cannot be recorded. Everything else must be served, also by an entry that starts meanwhile.
#[tokio::test(start_paused = true)]
async fn during_a_log_outage_non_repeatable_calls_are_refused_and_the_rest_is_served() {
    let (fleet, [one, two], _agents, [left, _right]) = ledgers().await;
    fleet.add_engine("engine-1", "sofia-1").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.log.set_unavailable(true);
    tokio::time::sleep(Duration::from_secs(30)).await;
    let refused = transfer(&left, "t-1", "5").await;
    assert_eq!((refused.status, run_of(&refused)), (503, "not-run".to_owned()), "{refused:?}");
    assert_eq!(runs(&[&one, &two]), 0);
    assert_eq!(chat(&left).await, 200);
    let metrics = left.metrics();
    let age =
        metrics.lines().find_map(|line| line.strip_prefix("lapismast_entry_log_age_seconds "));
    assert!(age.is_some_and(|age| age.parse().is_ok_and(|age: u64| age >= 30)), "{metrics}");

    let mut context = fleet.entry_context("entry-3", "sofia-1");
    context.settings.peers = vec![agent_address("engine-1")];
    let later = entry::Entry::start(context);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(chat(&later).await, 200);
}

// Operators drain one engine after another while callers stream. No answer may be truncated, and no
// new request may start at a leaving engine.
#[tokio::test(start_paused = true)]
async fn draining_engines_one_after_another_under_load_truncates_no_answer() {
    let fleet = Fleet::new().await;
    let mut agents = Vec::new();
    for number in 1..=3 {
        let (engine, agent) = fleet.add_engine(&format!("engine-{number}"), "sofia-1").await;
        engine.change(|params| params.token_time = Duration::from_millis(50));
        agents.push((engine, agent));
    }
    let entry = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let callers = (0..6).map(|caller| {
        let entry = entry.clone();
        tokio::spawn(async move {
            let until = tokio::time::Instant::now() + Duration::from_secs(12);
            let mut answers = 0;
            while tokio::time::Instant::now() < until {
                let content = format!("question {caller} {answers}");
                let (status, mut stream) = stream_chat(&entry, &[], &content).await;
                assert_eq!(status, 200);
                let mut events = String::new();
                while let Some(part) = stream.next().await {
                    events += &part.expect("the stream does not break off");
                }
                assert!(events.ends_with("data: [DONE]\n\n"), "{events}");
                assert!(!text_of(&events).is_empty());
                answers += 1;
            }
            answers
        })
    });
    let callers: Vec<_> = callers.collect();
    for number in 1..=3 {
        let spec = |phase: &str| {
            json!({
                "models": [MODEL], "domain": "sofia-1", "phase": phase,
                "agent": agent_address(&format!("engine-{number}")),
            })
        };
        let name = format!("engine-{number}");
        fleet.publish(Kind::Target, &name, spec("leaving")).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (started, _) = agents[number - 1].0.jobs();
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(agents[number - 1].0.jobs().0, started, "new work at a leaving engine");
        fleet.publish(Kind::Target, &name, spec("active")).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let mut answers = 0;
    for caller in callers {
        answers += caller.await.expect("all answers are complete");
    }
    assert!(answers > 30, "{answers} answers");
}
