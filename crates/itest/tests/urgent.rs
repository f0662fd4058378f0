//! Urgent requests while the fleet is overloaded.

use bytes::Bytes;
use itest::{Answer, Fleet, MODEL, send};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

async fn ask(entry: &entry::Entry, prompt: String, tokens: u32, urgent: bool) -> Answer {
    let body = json!({
        "model": MODEL, "prompt": prompt, "stream": true, "max_tokens": tokens,
        "fake_tokens": tokens,
    });
    let mut request = http::Request::post("/v1/completions").header("x-deadline-ms", "2000");
    if urgent {
        request = request.header("x-urgency", "urgent");
    }
    let body = Bytes::from(body.to_string());
    let request = request.header("content-length", body.len());
    let request = request.body(body).expect("the request is valid");
    send(entry, request).await
}

// 600 ordinary requests in 6 s overload two engines, and an urgent request arrives after every 50.
// If admission counted all queued work, it would refuse the urgent request as unable to meet its
// deadline, although urgent requests are served before that work.
#[tokio::test(start_paused = true)]
async fn urgent_requests_are_answered_during_overload() {
    let fleet = Fleet::new().await;
    let mut agents = Vec::new();
    for number in 1..=2 {
        agents.push(fleet.add_engine(&format!("engine-{number}"), "site-1").await);
    }
    let entry = Arc::new(fleet.start_entry("entry-1", "site-1"));
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let mut flood = tokio::task::JoinSet::new();
    for number in 0..600 {
        let flooded = entry.clone();
        flood.spawn(async move { ask(&flooded, format!("survey {number}"), 200, false).await });
        tokio::time::sleep(Duration::from_millis(10)).await;
        if number % 50 == 49 {
            let answer = ask(&entry, format!("slope {number}"), 5, true).await;
            assert_eq!(answer.status, 200, "{number}: {}", answer.body);
        }
    }
    let mut refused = 0;
    while let Some(answer) = flood.join_next().await {
        refused += u32::from(answer.expect("the request task ends").status != 200);
    }
    assert!(refused > 0, "the load exceeds the engines' capacity");
}
