//! Urgent requests while the fleet has more work than it can do.

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

// Village councils have far more metadata read than the engines can do, and a rescue coordinator
// asks in the midst of it. Judged by all the work ahead, the reply would be refused as too late,
// although it goes before that work.
#[tokio::test(start_paused = true)]
async fn urgent_requests_are_answered_while_a_flood_is_refused() {
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
        refused += u32::from(answer.expect("answered").status != 200);
    }
    assert!(refused > 0, "the flood is more than the engines can do");
}
