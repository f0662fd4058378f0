//! Planned changes under load: drains, role changes and restarts truncate no answer.

use conf::Kind;
use conf::resource::Role;
use itest::{Answer, Fleet, MODEL, agent_address, post};
use serde_json::{Value, json};
use state::Appender;
use state::record::{Body, Claim, Order, OrderKind};
use std::sync::Arc;
use std::time::Duration;
use target::Engine;

fn question(number: u32, tokens: u32) -> Value {
    json!({
        "model": MODEL, "stream": true, "max_tokens": tokens, "fake_tokens": tokens,
        "messages": [{"role": "user", "content": format!("question {number}")}],
    })
}

/// Whether the answer is complete.
fn is_whole(answer: &Answer) -> bool {
    answer.status == 200 && !answer.cut && answer.body.trim_end().ends_with("data: [DONE]")
}

/// Sends `count` requests evenly over the time `over`, and returns the responses.
async fn load(entry: Arc<entry::Entry>, count: u32, tokens: u32, over: Duration) -> Vec<Answer> {
    let mut asked = Vec::new();
    for number in 0..count {
        let entry = entry.clone();
        asked.push(tokio::spawn(async move {
            post(&entry, "/v1/chat/completions", question(number, tokens)).await
        }));
        tokio::time::sleep(over / count).await;
    }
    let mut answers = Vec::new();
    for answer in asked {
        answers.push(answer.await.expect("the request task ends"));
    }
    answers
}

/// Number of streams that the entry resumed at another target after one broke off.
fn resumes(entry: &entry::Entry) -> u64 {
    let text = entry.metrics();
    let line = text.lines().find(|line| line.contains("resumes_total") && !line.starts_with('#'));
    let count = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
    count.unwrap_or_else(|| panic!("no count of resumes in {text}"))
}

async fn give_order(fleet: &Fleet, target: &str, role: &str) {
    let appender = Appender::new(Arc::new(fleet.log.clone()), "planner-1".into());
    let scope = "planner/test".to_owned();
    let claim = Claim { scope: scope.clone(), supersedes: None, incarnation: 1, lease_ms: 5_000 };
    let claim = appender.append(plat::SYSTEM_STREAM, Body::Claim(claim)).await;
    let claim = claim.expect("the log is up").offset;
    let kind = Some(OrderKind::SetRole(role.to_owned()));
    let order = Order { scope, claim, target: target.to_owned(), kind };
    appender.append(plat::SYSTEM_STREAM, Body::Order(order)).await.expect("the log is up");
}

// An operator drains an engine under load. Its running requests must finish there, and no new work
// may reach it after 2 s; the test checks from 3 s on that it is idle.
#[tokio::test(start_paused = true)]
async fn a_drained_engine_truncates_no_answer_and_gets_no_new_work() {
    let fleet = Fleet::new().await;
    let (one, _agent_one) = fleet.add_engine("engine-1", "sofia-1").await;
    let (_two, _agent_two) = fleet.add_engine("engine-2", "sofia-1").await;
    let entry = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let loading = tokio::spawn(load(entry.clone(), 100, 200, Duration::from_secs(10)));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let spec = json!({
        "models": [MODEL], "domain": "sofia-1", "agent": agent_address("engine-1"),
        "phase": "leaving",
    });
    fleet.publish(Kind::Target, "engine-1", spec).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    for _ in 0..10 {
        assert_eq!(
            one.status().await.expect("the engine is up").running,
            0,
            "no new work reaches it"
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let answers = loading.await.expect("the request task ends");
    assert_eq!(answers.iter().filter(|answer| !is_whole(answer)).count(), 0);
    assert_eq!(resumes(&entry), 0, "running requests finish at the drained engine");
}

// The planner changes the role of the only engine while it streams answers. If the engine did not
// finish them first, they would break off and wait until it is available again.
#[tokio::test(start_paused = true)]
async fn running_answers_finish_before_a_role_change() {
    let fleet = Fleet::new().await;
    let (one, _agent_one) = fleet.add_engine("engine-1", "sofia-1").await;
    let entry = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let loading = tokio::spawn(load(entry.clone(), 10, 500, Duration::from_millis(100)));
    tokio::time::sleep(Duration::from_millis(500)).await;
    give_order(&fleet, "engine-1", "decode").await;
    let answers = loading.await.expect("the request task ends");
    assert_eq!(answers.iter().filter(|answer| !is_whole(answer)).count(), 0);
    assert_eq!(resumes(&entry), 0);
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(one.status().await.expect("the engine is up").role, Role::Decode);
}

// The planner changes an engine's role while it streams an answer that outlasts the drain. The
// stream must continue at the other engine, and its caller receive one complete answer.
#[tokio::test(start_paused = true)]
async fn a_long_stream_continues_at_another_engine_after_a_role_change() {
    let fleet = Fleet::new().await;
    let (one, _agent_one) = fleet.add_engine("engine-1", "sofia-1").await;
    let entry = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let expected = post(&entry, "/v1/chat/completions", question(1, 12_000)).await;
    assert!(is_whole(&expected));

    let asked = entry.clone();
    let asking =
        tokio::spawn(
            async move { post(&asked, "/v1/chat/completions", question(1, 12_000)).await },
        );
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (_two, _agent_two) = fleet.add_engine("engine-2", "sofia-1").await;
    give_order(&fleet, "engine-1", "prefill").await;
    let answer = asking.await.expect("the request task ends");
    assert!(is_whole(&answer), "{} {}", answer.status, tail(&answer.body));
    assert_eq!(text(&answer.body), text(&expected.body));
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(one.status().await.expect("the engine is up").role, Role::Prefill);
}

// Agents are restarted one after another under load, as in an upgrade. Each must finish its
// requests before it stops, or callers would receive truncated answers.
#[tokio::test(start_paused = true)]
async fn a_rolling_restart_of_agents_truncates_no_answer() {
    let fleet = Fleet::new().await;
    let (one, agent_one) = fleet.add_engine("engine-1", "sofia-1").await;
    let (two, agent_two) = fleet.add_engine("engine-2", "sofia-1").await;
    let entry = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let loading = tokio::spawn(load(entry.clone(), 150, 200, Duration::from_secs(15)));
    let mut agents = Vec::new();
    for (name, agent, engine) in [("engine-1", agent_one, one), ("engine-2", agent_two, two)] {
        tokio::time::sleep(Duration::from_secs(3)).await;
        agent.stop.cancel();
        agent.ended().await;
        agents.push(fleet.start_agent(name, "sofia-1", agent::Backend::Engine(Arc::new(engine))));
    }
    let answers = loading.await.expect("the request task ends");
    let broken: Vec<_> = answers.iter().filter(|answer| !is_whole(answer)).collect();
    assert!(broken.is_empty(), "{} broken, first {:?}", broken.len(), broken.first());
    assert_eq!(resumes(&entry), 0, "each agent finishes its requests before it stops");
}

// Two faults at once: while the log is unavailable, one of three engines crashes and restarts two
// seconds later. Its streams must resume at the others.
#[tokio::test(start_paused = true)]
async fn an_engine_crash_during_a_log_outage_truncates_no_answer() {
    let fleet = Fleet::new().await;
    let (one, _agent_one) = fleet.add_engine("engine-1", "sofia-1").await;
    let (_two, _agent_two) = fleet.add_engine("engine-2", "sofia-1").await;
    let (_three, _agent_three) = fleet.add_engine("engine-3", "sofia-1").await;
    let entry = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let loading = tokio::spawn(load(entry, 60, 300, Duration::from_secs(6)));
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.log.set_unavailable(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    one.crash();
    tokio::time::sleep(Duration::from_secs(2)).await;
    one.start();
    let answers = loading.await.expect("the request task ends");
    let broken: Vec<_> = answers.iter().filter(|answer| !is_whole(answer)).collect();
    assert!(broken.is_empty(), "{} broken, first {:?}", broken.len(), broken.first());
}

/// Concatenates the text of a streamed answer.
fn text(body: &str) -> String {
    let events = body.lines().filter_map(|line| line.strip_prefix("data: {"));
    let chunks = events.filter_map(|rest| serde_json::from_str::<Value>(&format!("{{{rest}")).ok());
    let pieces = chunks.filter_map(|chunk| {
        Some(chunk["choices"].get(0)?["delta"]["content"].as_str()?.to_owned())
    });
    pieces.collect()
}

fn tail(body: &str) -> &str {
    body.get(body.len().saturating_sub(300)..).unwrap_or(body)
}
