//! Responses when the fleet is overloaded, past a deadline, failing or being changed.

use bytes::Bytes;
use conf::Kind;
use fake::MemoryEngine;
use itest::{Answer, Fleet, MODEL, send, stream_chat, text_of};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use wire::{Body, Load, Progress, Work};

async fn chat(entry: &entry::Entry, headers: &[(&str, &str)]) -> Answer {
    let body = json!({
        "model": MODEL, "stream": true, "max_tokens": 64,
        "messages": [{"role": "user", "content": "Which tiles?"}],
    });
    let mut request = http::Request::post("/v1/chat/completions");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    send(entry, request.body(Bytes::from(body.to_string())).expect("the request is valid")).await
}

fn outcome(answer: &Answer) -> (u16, String, String) {
    let body: Value = serde_json::from_str(&answer.body).expect("an error object");
    let text = |name: &str| body["error"][name].as_str().unwrap_or_default().to_owned();
    (answer.status, text("code"), text("run"))
}

fn retry_after(answer: &Answer) -> Option<u64> {
    let header = answer.headers.iter().find(|(name, _)| name == "retry-after");
    header.and_then(|(_, value)| value.parse().ok())
}

async fn scripted(
    room: bool,
) -> (Fleet, Arc<entry::Entry>, itest::ScriptedAgent, itest::ScriptedConnection) {
    let fleet = Fleet::new().await;
    let mut script = fleet.add_scripted_engine("engine-1", "sofia-1").await;
    let entry = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    let connection = script.accept(room).await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    (fleet, entry, script, connection)
}

// The fleet is overloaded. A request that cannot start before its deadline must be refused at once
// with a retry time, instead of waiting until the deadline passes.
#[tokio::test(start_paused = true)]
async fn requests_that_cannot_start_in_time_are_refused_at_once_with_retry_after() {
    let (_fleet, entry, _script, mut connection) = scripted(false).await;
    connection.load(Load {
        target: "engine-1".to_owned(),
        sequence: 1_000,
        accepting: true,
        running: 16,
        waiting: 40,
        slots: 16,
        output_tokens: 20_000,
        decode_rate: 1_000,
        prefill_rate: 8_000,
        ..Load::default()
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    let begun = tokio::time::Instant::now();
    let refused = chat(&entry, &[("x-deadline-ms", "5000")]).await;
    assert!(begun.elapsed() < Duration::from_millis(100));
    assert_eq!(outcome(&refused), (503, "overloaded".into(), "not-run".into()));
    assert!(
        (10..=20).contains(&retry_after(&refused).expect("a retry-after header")),
        "{refused:?}"
    );
    let patient = tokio::spawn(async move { chat(&entry, &[("x-deadline-ms", "60000")]).await });
    connection.next_submit().await;
    patient.abort();
}

// An engine accepts a request and never answers. When the deadline passes, the response must state
// that it may have run; if it only waited for a slot at the agent, that it has not.
#[tokio::test(start_paused = true)]
async fn a_deadline_response_states_whether_the_request_ran() {
    let (_fleet, entry, _script, mut connection) = scripted(true).await;
    let asking = |headers: &'static [(&'static str, &'static str)]| {
        let entry = entry.clone();
        tokio::spawn(async move { chat(&entry, headers).await })
    };
    let begun = tokio::time::Instant::now();
    let late = asking(&[("x-deadline-ms", "500")]);
    let submit = connection.next_submit().await;
    let answer = late.await.expect("the request task ends");
    assert!(begun.elapsed() < Duration::from_millis(600));
    assert_eq!(outcome(&answer), (504, "deadline-exceeded".into(), "run".into()));
    assert!(
        matches!(connection.next().await, Body::Cancel(cancel) if cancel.attempt == submit.attempt)
    );

    let waited = asking(&[("x-deadline-ms", "500")]);
    let submit = connection.next_submit().await;
    connection.refuse(submit.attempt, "deadline-exceeded", Progress::NotRun);
    let answer = waited.await.expect("the request task ends");
    assert_eq!(outcome(&answer), (504, "deadline-exceeded".into(), "not-run".into()));
}

// A caller exceeds its token rate. It must be refused until the announced time, so that others are
// not slowed down.
#[tokio::test(start_paused = true)]
async fn a_caller_over_its_token_rate_is_refused_until_retry_after() {
    let fleet = Fleet::new().await;
    let limited = json!({"urgent": true, "tokens_per_second": 20});
    fleet.publish(Kind::Caller, "open", limited).await;
    fleet.add_engine("engine-1", "sofia-1").await;
    let entry = fleet.start_entry("entry-1", "sofia-1");
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let mut refused = None;
    for _ in 0..10 {
        let answer = chat(&entry, &[]).await;
        if answer.status != 200 {
            refused = Some(answer);
            break;
        }
    }
    let refused = refused.expect("the rate is used up");
    assert_eq!(outcome(&refused), (429, "rate-limit".into(), "not-run".into()));
    let wait = Duration::from_secs(retry_after(&refused).expect("a retry-after header"));
    tokio::time::sleep(wait).await;
    assert_eq!(chat(&entry, &[]).await.status, 200);
}

// An engine is drained while it streams an answer. The stream must continue at another engine,
// which fetches the KV cache from the first instead of prefilling the prompt again.
#[tokio::test(start_paused = true)]
async fn a_drained_engine_transfers_its_stream_with_the_kv_cache() {
    let (fleet, entry, _script, mut connection) = scripted(true).await;
    let asking = tokio::spawn({
        let entry = entry.clone();
        async move { chat(&entry, &[]).await }
    });
    let submit = connection.next_submit().await;
    let mut other = fleet.add_scripted_engine("engine-2", "sofia-1").await;
    let mut second = other.accept(true).await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    connection.token(submit.attempt, 0, "A");
    connection.refuse(submit.attempt, "draining", Progress::Started);
    let again = second.next_submit().await;
    let Some(Work::Prompt(prompt)) = again.request.expect("a submission has a request").work else {
        panic!("expected a prompt")
    };
    assert_eq!((prompt.kv_source.as_str(), prompt.resume_tokens), ("engine-1", 1));
    second.token(again.attempt, 1, "B");
    second.end(again.attempt, 2);
    assert_eq!(text_of(&asking.await.expect("the request task ends").body), "AB");
}

// All streams of an engine break at once when it crashes. If resuming them were charged to the
// retry budget, most of the answers would be truncated.
#[tokio::test(start_paused = true)]
async fn a_crash_under_many_streams_truncates_none_of_them() {
    let fleet = Fleet::new().await;
    let mut engines: Vec<(String, MemoryEngine)> = Vec::new();
    let mut agents = Vec::new();
    for number in 1..=3 {
        let name = format!("engine-{number}");
        let (engine, agent) = fleet.add_engine(&name, "sofia-1").await;
        // Slow enough that all streams are still running when the engine crashes.
        engine.change(|params| params.token_time = Duration::from_millis(200));
        engines.push((name, engine));
        agents.push(agent);
    }
    let entry = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let mut streams = Vec::new();
    for number in 0..36 {
        let (status, mut stream) = stream_chat(&entry, &[], &format!("question {number}")).await;
        assert_eq!(status, 200);
        let first =
            stream.next().await.expect("the stream has a piece").expect("the stream does not fail");
        streams.push((first, stream));
    }
    let first = &streams[0].0;
    let (_, engine) = engines.iter().find(|(name, _)| first.contains(name)).expect("an engine");
    engine.crash();
    let readers = streams.into_iter().map(|(mut events, mut stream)| {
        tokio::spawn(async move {
            while let Some(part) = stream.next().await {
                events += &part.expect("the stream does not break off");
            }
            events
        })
    });
    for reader in readers.collect::<Vec<_>>() {
        let events = reader.await.expect("read to its end");
        assert!(events.ends_with("data: [DONE]\n\n"), "{events}");
    }
}

// An operator asks why a request was routed as it was, after it has ended.
#[tokio::test(start_paused = true)]
async fn a_request_can_be_explained_afterwards() {
    let (_fleet, entry, _script, mut connection) = scripted(true).await;
    let asking = tokio::spawn({
        let entry = entry.clone();
        async move { chat(&entry, &[]).await }
    });
    let submit = connection.next_submit().await;
    connection.refuse(submit.attempt, "queue-full", Progress::NotRun);
    let again = connection.next_submit().await;
    connection.token(again.attempt, 0, "A");
    connection.end(again.attempt, 1);
    let answer = asking.await.expect("the request task ends");
    let id = answer.headers.iter().find(|(name, _)| name == "x-request-id").expect("an id");
    let explaining = tokio::spawn({
        let (entry, id) = (entry.clone(), id.1.clone());
        async move { entry.explain(&id).await }
    });
    let Body::Query(query) = connection.next().await else { panic!("expected a query") };
    connection.reply(query.id, Bytes::from_static(b"target=engine-1\n"));
    let explanation = explaining.await.expect("the request task ends").expect("known");
    insta::assert_snapshot!(serde_json::to_string_pretty(&explanation).expect("plain data"));
    assert!(entry.explain("no-such-request").await.is_none());
}
