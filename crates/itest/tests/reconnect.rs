//! A stream can be resumed through another entry, by its own caller only.

use conf::Kind;
use itest::{Fleet, stream_chat, text_of};
use serde_json::json;
use std::time::Duration;

// An entry dies, and its caller's client reconnects through another entry with the last event id
// that it received. Another caller that guesses or steals the id must get none of the answer.
#[tokio::test(start_paused = true)]
async fn a_stream_resumes_through_another_entry_for_its_own_caller_only() {
    let fleet = Fleet::new().await;
    fleet.publish(Kind::Caller, "thief", json!({"token_sha256": sha2_hex(b"thief")})).await;
    let (_engine, _agent) = fleet.add_engine("engine-1", "sofia-1").await;
    let one = fleet.start_entry("entry-1", "sofia-1");
    let two = fleet.start_entry("entry-2", "sofia-1");
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let whole = whole_text(&two, &[], "Which tiles?").await;

    let (_, mut stream) = stream_chat(&one, &[], "Which tiles?").await;
    let first =
        stream.next().await.expect("the stream has a piece").expect("the stream does not fail");
    let id = first.lines().find_map(|line| line.strip_prefix("id: ")).expect("an id").to_owned();
    // Kills the entry: its connections break without a message.
    fleet.network.cut("entry-1", "engine-1:1");
    drop(one);

    let (status, _) = stream_chat(
        &two,
        &[("last-event-id", &id), ("authorization", "Bearer thief")],
        "Which tiles?",
    )
    .await;
    let (nowhere, _) =
        stream_chat(&two, &[("last-event-id", "engine-1/none/1")], "Which tiles?").await;
    assert_eq!((status, nowhere), (404, 404));
    let (status, mut rest) = stream_chat(&two, &[("x-last-event-id", &id)], "Which tiles?").await;
    assert_eq!(status, 200);
    let mut events = first;
    while let Some(part) = rest.next().await {
        events += &part.expect("the stream does not break off");
    }
    assert_eq!(text_of(&events), whole);
}

async fn whole_text(entry: &entry::Entry, headers: &[(&'static str, &str)], text: &str) -> String {
    let (_, mut stream) = stream_chat(entry, headers, text).await;
    let mut events = String::new();
    while let Some(part) = stream.next().await {
        events += &part.expect("the stream does not break off");
    }
    text_of(&events)
}

fn sha2_hex(token: &[u8]) -> String {
    use sha2::{Digest, Sha256};
    Sha256::digest(token).iter().map(|byte| format!("{byte:02x}")).collect()
}
