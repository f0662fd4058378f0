//! Limits on what callers may send, and callers that disconnect, read slowly or send invalid
//! requests.

use bytes::Bytes;
use conf::Kind;
use itest::{Answer, Fleet, send, stream_chat, text_of};
use serde_json::{Value, json};
use std::time::Duration;
use wire::{Body, Work};

async fn call(entry: &entry::Entry, headers: &[(&str, &str)], body: &'static str) -> Answer {
    let mut request = http::Request::post("/services/ledger/transfers");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    send(entry, request.body(Bytes::from_static(body.as_bytes())).expect("the request is valid"))
        .await
}

fn outcome(answer: &Answer) -> (u16, String, String) {
    let body: Value = serde_json::from_str(&answer.body).expect("problem details");
    let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
    (answer.status, text("reason"), text("run"))
}

async fn fleet_with_ledger() -> (Fleet, entry::Entry) {
    let fleet = Fleet::new().await;
    fleet.add_service("ledger", "ledger-1", "sofia-1", true).await;
    let entry = fleet.start_entry("entry-1", "sofia-1");
    tokio::time::sleep(Duration::from_millis(100)).await;
    (fleet, entry)
}

// Request smuggling: a request gives its length in two ways that differ. A server that uses one of
// them parses the rest as a second request and runs it with another caller's credentials.
#[tokio::test(start_paused = true)]
async fn requests_with_two_framings_or_duplicate_credentials_are_refused() {
    let (_fleet, entry) = fleet_with_ledger().await;
    let smuggled = [("content-length", "1"), ("transfer-encoding", "chunked")];
    let twice = [("content-length", "1"), ("content-length", "1")];
    let tokens = [("authorization", "Bearer a"), ("authorization", "Bearer b")];
    let keys = [("idempotency-key", "a"), ("idempotency-key", "b")];
    for headers in [smuggled, twice, tokens, keys] {
        let refused = outcome(&call(&entry, &headers, "x").await);
        assert_eq!(refused, (400, "bad-header".into(), "not-run".into()), "{headers:?}");
    }
    let late = outcome(&call(&entry, &[("x-deadline-ms", "soon")], "x").await);
    assert_eq!(late, (400, "bad-header".into(), "not-run".into()));
}

// A caller sends a body so large that buffering it would exhaust the entry's memory.
#[tokio::test(start_paused = true)]
async fn bodies_that_are_too_large_are_refused_before_they_are_read() {
    let (_fleet, entry) = fleet_with_ledger().await;
    let announced = outcome(&call(&entry, &[("content-length", "9000000")], "x").await);
    assert_eq!(announced, (413, "body-too-large".into(), "not-run".into()));
    let body = Bytes::from(vec![b'x'; 2 * 1024 * 1024]);
    let request =
        http::Request::post("/services/ledger/transfers").body(body).expect("the request is valid");
    let unannounced = outcome(&send(&entry, request).await);
    assert_eq!(unannounced, (413, "body-too-large".into(), "not-run".into()));
}

// An attacker guesses tokens. The response must not reveal whether any part of a token was right,
// and another authentication scheme with a valid token must be refused too.
#[tokio::test(start_paused = true)]
async fn unknown_tokens_are_refused_and_known_ones_are_accepted() {
    let (fleet, entry) = fleet_with_ledger().await;
    let desk: String = sha2_hex(b"desk-token");
    fleet.publish(Kind::Caller, "desk", json!({"token_sha256": desk})).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let unknown = call(&entry, &[("authorization", "Bearer wrong")], "x").await;
    assert_eq!(outcome(&unknown), (401, "unknown-caller".into(), "not-run".into()));
    let basic = call(&entry, &[("authorization", "Basic desk-token")], "x").await;
    assert_eq!(basic.status, 401);
    let known = call(&entry, &[("authorization", "Bearer desk-token")], "x").await;
    assert_eq!(known.status, 200, "{}", known.body);
}

// If hop-by-hop headers were forwarded, the service would act on a connection that is not its own,
// and the caller on one that ends at the entry; credentials for the proxy would reach the service.
#[tokio::test(start_paused = true)]
async fn hop_by_hop_headers_are_not_forwarded_in_either_direction() {
    let fleet = Fleet::new().await;
    let mut script = fleet.add_scripted_service("ledger", "ledger-1", true).await;
    let entry = std::sync::Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    let mut connection = script.accept(true).await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let asking = tokio::spawn({
        let entry = entry.clone();
        async move {
            let headers = [
                ("connection", "close, x-mine"),
                ("x-mine", "1"),
                ("te", "trailers"),
                ("keep-alive", "5"),
                ("x-yours", "2"),
            ];
            call(&entry, &headers, "x").await
        }
    });
    let submit = connection.next_submit().await;
    let Some(Work::Call(seen)) = submit.request.expect("a submission has a request").work else {
        panic!("expected a call")
    };
    let names: Vec<_> = seen.headers.iter().map(|header| header.name.as_str()).collect();
    assert_eq!(names, ["x-yours"]);
    let back = [("connection", "x-theirs"), ("x-theirs", "1"), ("upgrade", "h2c"), ("x-ours", "2")];
    connection.head(submit.attempt, &back);
    connection.end(submit.attempt, 0);
    let answer = asking.await.expect("the request task ends");
    let names: Vec<_> = answer.headers.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["x-ours", "x-request-id"]);
}

// A caller disconnects in the middle of a stream. Without a cancel, its engine slot would stay
// occupied until the answer is complete.
#[tokio::test(start_paused = true)]
async fn a_caller_that_disconnects_frees_the_engine_at_once() {
    let fleet = Fleet::new().await;
    let mut script = fleet.add_scripted_engine("engine-1", "sofia-1").await;
    let entry = std::sync::Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    let mut connection = script.accept(true).await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let asking = tokio::spawn({
        let entry = entry.clone();
        async move { stream_chat(&entry, &[], "hello").await }
    });
    let submit = connection.next_submit().await;
    connection.token(submit.attempt, 0, "A");
    let (_, mut stream) = asking.await.expect("the request task ends");
    assert!(stream.next().await.is_some());
    drop(stream);
    let cancel = connection.next_within(Duration::from_millis(100)).await;
    assert!(matches!(cancel, Some(Body::Cancel(cancel)) if cancel.attempt == submit.attempt));

    // The same before the first token, when the handler has not yet returned a response.
    let asking = tokio::spawn(async move { stream_chat(&entry, &[], "hello").await });
    let submit = connection.next_submit().await;
    asking.abort();
    let cancel = connection.next_within(Duration::from_millis(100)).await;
    assert!(matches!(cancel, Some(Body::Cancel(cancel)) if cancel.attempt == submit.attempt));
}

// A caller stops reading but keeps its connection open. Without flow control, its events would fill
// the entry's memory or block those of all other callers at the same agent.
#[tokio::test(start_paused = true)]
async fn a_slow_reader_blocks_no_other_and_is_cancelled_eventually() {
    let fleet = Fleet::new().await;
    let mut script = fleet.add_scripted_engine("engine-1", "sofia-1").await;
    let entry = std::sync::Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    let mut connection = script.accept(true).await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let slow = tokio::spawn({
        let entry = entry.clone();
        async move { stream_chat(&entry, &[], "slow").await }
    });
    let submit = connection.next_submit().await;
    // Uses up the agent's credit; none of the tokens is read.
    for token in 0..submit.credit {
        connection.token(submit.attempt, token, "A");
    }
    let (_, mut unread) = slow.await.expect("the request task ends");

    let other = tokio::spawn({
        let entry = entry.clone();
        async move { stream_chat(&entry, &[], "other").await }
    });
    let second = connection.next_submit().await;
    connection.token(second.attempt, 0, "B");
    connection.end(second.attempt, 1);
    let (_, mut stream) = other.await.expect("the request task ends");
    let mut events = String::new();
    while let Some(part) = stream.next().await {
        events += &part.expect("the stream does not break off");
    }
    assert_eq!(text_of(&events), "B");

    let cancel = connection.next_within(Duration::from_secs(40)).await;
    assert!(matches!(cancel, Some(Body::Cancel(cancel)) if cancel.attempt == submit.attempt));
    let mut last = None;
    while let Some(part) = unread.next().await {
        last = Some(part);
    }
    assert!(last.expect("some").is_err(), "a truncated stream must not look complete");
}

// An agent sends more than its credit allows, to a caller that reads nothing. If the connection's
// reader waited for that caller, it would block all other callers of the agent.
#[tokio::test(start_paused = true)]
async fn an_agent_that_overruns_its_credit_loses_that_attempt_only() {
    let fleet = Fleet::new().await;
    let mut script = fleet.add_scripted_engine("engine-1", "sofia-1").await;
    let entry = std::sync::Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    let mut connection = script.accept(true).await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let asking = |text: &'static str| {
        let entry = entry.clone();
        tokio::spawn(async move { stream_chat(&entry, &[], text).await })
    };
    let slow = asking("slow");
    let submit = connection.next_submit().await;
    for token in 0..4 * submit.credit {
        connection.token(submit.attempt, token, "A");
    }
    let (_, _unread) = slow.await.expect("the request task ends");
    let other = asking("other");
    let second = connection.next_submit().await;
    connection.token(second.attempt, 0, "B");
    connection.end(second.attempt, 1);
    let answered = tokio::time::timeout(Duration::from_secs(5), other).await;
    let (_, mut stream) = answered.expect("before the timeout").expect("the request task ends");
    let first = stream
        .next()
        .await
        .expect("the stream has a piece")
        .expect("the stream does not break off");
    assert_eq!(text_of(&first), "B");
}

// A caller sends requests in an endless loop. Without a concurrency limit it would starve others.
#[tokio::test(start_paused = true)]
async fn a_caller_over_its_concurrency_limit_is_refused() {
    let fleet = Fleet::new().await;
    fleet
        .publish(Kind::Caller, "loop", json!({"token_sha256": sha2_hex(b"loop"), "concurrency": 1}))
        .await;
    let (_engine, _agent) = fleet.add_engine("engine-1", "sofia-1").await;
    let entry = fleet.start_entry("entry-1", "sofia-1");
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let token = [("authorization", "Bearer loop")];
    let (first, stream) = stream_chat(&entry, &token, "one").await;
    let (second, mut refused) = stream_chat(&entry, &token, "two").await;
    assert_eq!((first, second), (200, 429));
    let body = refused.next().await.expect("a body").expect("the stream does not break off");
    let problem: Value = serde_json::from_str(&body).expect("an error object");
    assert_eq!(problem["error"]["code"], "concurrency-limit");
    assert_eq!(problem["error"]["run"], "not-run");
    drop(stream);
    tokio::time::sleep(Duration::from_millis(10)).await;
    let (third, _) = stream_chat(&entry, &token, "three").await;
    assert_eq!(third, 200);
}

fn sha2_hex(token: &[u8]) -> String {
    use sha2::{Digest, Sha256};
    Sha256::digest(token).iter().map(|byte| format!("{byte:02x}")).collect()
}
