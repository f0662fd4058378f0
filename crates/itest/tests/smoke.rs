//! End-to-end smoke test: one streamed chat completion and one service call.

use itest::{Fleet, MODEL, post};
use serde_json::json;
use std::time::Duration;

#[tokio::test(start_paused = true)]
async fn a_streamed_chat_and_a_service_call_are_answered_completely() {
    let fleet = Fleet::new().await;
    let (_engine, _engine_agent) = fleet.add_engine("engine-1", "sofia-1").await;
    let (_ledger, _ledger_agent) = fleet.add_service("ledger", "ledger-1", "sofia-1", false).await;
    let entry = fleet.start_entry("entry-1", "sofia-1");
    tokio::time::sleep(Duration::from_millis(10)).await;

    let chat = post(
        &entry,
        "/v1/chat/completions",
        json!({
            "model": MODEL, "stream": true, "max_tokens": 4,
            "stream_options": {"include_usage": true},
            "messages": [{"role": "user", "content": "Why is the account overdrawn?"}],
        }),
    );
    let chat = chat.await;
    assert!(!chat.cut);
    insta::assert_snapshot!("chat", chat.body);

    let call = post(&entry, "/services/ledger/transfers?day=1", json!({"amount": 5})).await;
    assert_eq!(call.status, 200);
    insta::assert_snapshot!("call", call.body);
}
