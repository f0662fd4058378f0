//! Each prompt gets one complete answer, whatever happens to its attempts.

use itest::{Answer, Fleet, MODEL, ScriptedAgent, ScriptedConnection, post, stream_chat, text_of};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use wire::{Body, Progress, Work};

async fn chat(entry: &entry::Entry) -> Answer {
    let body = json!({
        "model": MODEL, "stream": true, "max_tokens": 64,
        "messages": [{"role": "user", "content": "Which tiles cover the slope?"}],
    });
    post(entry, "/v1/chat/completions", body).await
}

/// Starts two scripted engines and one entry that has received their load.
async fn two_scripts(
    room: bool,
) -> (Fleet, Arc<entry::Entry>, ScriptedAgent, ScriptedConnection, ScriptedAgent, ScriptedConnection)
{
    let fleet = Fleet::new().await;
    let mut one = fleet.add_scripted_engine("engine-1", "sofia-1").await;
    let mut two = fleet.add_scripted_engine("engine-2", "sofia-1").await;
    let entry = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    let (connection_one, connection_two) = (one.accept(room).await, two.accept(room).await);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    (fleet, entry, one, connection_one, two, connection_two)
}

/// Waits for a submission at either; returns it, the connection that received it, and the other.
async fn first<'a>(
    one: &'a mut ScriptedConnection,
    two: &'a mut ScriptedConnection,
) -> (wire::Submit, &'a mut ScriptedConnection, &'a mut ScriptedConnection) {
    tokio::select! {
        submit = one.next_submit() => (submit, one, two),
        submit = two.next_submit() => (submit, two, one),
    }
}

fn resumed(submit: &wire::Submit) -> (u32, String) {
    match &submit.request.as_ref().expect("a submission has a request").work {
        Some(Work::Prompt(prompt)) => (prompt.resume_tokens, prompt.resume_text.clone()),
        other => panic!("expected a prompt, got {other:?}"),
    }
}

// An agent sends one piece twice and omits another. If the entry forwarded pieces unchecked, the
// caller would receive garbled text as a complete answer.
#[tokio::test(start_paused = true)]
async fn duplicate_and_missing_pieces_are_repaired_by_resuming_elsewhere() {
    let (_fleet, entry, _one, mut one, _two, mut two) = two_scripts(true).await;
    let asking = tokio::spawn({
        let entry = entry.clone();
        async move { chat(&entry).await }
    });
    let (submit, bad, good) = first(&mut one, &mut two).await;
    bad.token(submit.attempt, 0, "A");
    bad.token(submit.attempt, 0, "A");
    bad.token(submit.attempt, 2, "C");
    let again = good.next_submit().await;
    assert_eq!(resumed(&again), (1, "A".to_owned()));
    good.token(again.attempt, 1, "B");
    good.token(again.attempt, 2, "C");
    good.end(again.attempt, 3);
    let answer = asking.await.expect("the request task ends");
    assert_eq!(text_of(&answer.body), "ABC");
    assert!(answer.body.ends_with("data: [DONE]\n\n"), "{}", answer.body);
}

// An engine reports the end of its answer although a piece is missing. If the entry accepted that
// end, the caller would take a truncated answer for the complete one.
#[tokio::test(start_paused = true)]
async fn an_end_that_does_not_follow_the_last_token_is_not_accepted() {
    let (_fleet, entry, _one, mut one, _two, mut two) = two_scripts(true).await;
    let asking = tokio::spawn({
        let entry = entry.clone();
        async move { chat(&entry).await }
    });
    let (submit, bad, good) = first(&mut one, &mut two).await;
    bad.token(submit.attempt, 0, "A");
    bad.end(submit.attempt, 2);
    let again = good.next_submit().await;
    good.token(again.attempt, 1, "B");
    good.end(again.attempt, 2);
    assert_eq!(text_of(&asking.await.expect("the request task ends").body), "AB");
}

// An agent refuses an attempt, the request is sent again, and then pieces of the first attempt
// arrive. Without a check of the attempt's id, a caller would receive text twice.
#[tokio::test(start_paused = true)]
async fn late_frames_of_an_abandoned_attempt_are_dropped() {
    let fleet = Fleet::new().await;
    let mut script = fleet.add_scripted_engine("engine-1", "sofia-1").await;
    let entry = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    let mut connection = script.accept(true).await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let asking = tokio::spawn(async move { chat(&entry).await });
    let late = connection.next_submit().await;
    connection.refuse(late.attempt, "queue-full", Progress::NotRun);
    let again = connection.next_submit().await;
    assert_ne!(late.attempt, again.attempt);
    connection.token(late.attempt, 0, "X");
    connection.token(again.attempt, 0, "A");
    connection.token(late.attempt, 1, "Y");
    connection.end(late.attempt, 2);
    connection.token(again.attempt, 1, "B");
    connection.end(again.attempt, 2);
    assert_eq!(text_of(&asking.await.expect("the request task ends").body), "AB");
}

// An agent's VM is killed in the middle of a stream. Without a resumption at another engine, the
// caller's answer would break off.
#[tokio::test(start_paused = true)]
async fn an_agent_killed_in_the_middle_of_a_stream_is_not_noticed_by_the_caller() {
    let fleet = Fleet::new().await;
    let (_one, agent_one) = fleet.add_engine("engine-1", "sofia-1").await;
    let (_two, agent_two) = fleet.add_engine("engine-2", "sofia-1").await;
    let entry = fleet.start_entry("entry-1", "sofia-1");
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let whole = text_of(&chat(&entry).await.body);
    let (status, mut stream) = stream_chat(&entry, &[], "Which tiles cover the slope?").await;
    assert_eq!(status, 200);
    let mut events =
        stream.next().await.expect("the stream has a piece").expect("the stream does not fail");
    let on_first = events.starts_with("id: engine-1/");
    let (killed, _other) = if on_first { (agent_one, agent_two) } else { (agent_two, agent_one) };
    killed.kill();
    fleet.network.cut("entry-1", if on_first { "engine-1:1" } else { "engine-2:1" });
    while let Some(part) = stream.next().await {
        events += &part.expect("the stream is not cut");
    }
    assert_eq!(text_of(&events), whole);
    assert!(entry.metrics().contains("resumes_total 1"), "it was resumed at the other engine");
}

// A VM is paused: its connection stays open, but no frames arrive. Without heartbeats, the caller
// would wait until its deadline although other engines are free.
#[tokio::test(start_paused = true)]
async fn an_unresponsive_connection_is_abandoned_and_the_answer_resumes_elsewhere() {
    let (_fleet, entry, _one, mut one, _two, mut two) = two_scripts(true).await;
    let asking = tokio::spawn({
        let entry = entry.clone();
        async move { chat(&entry).await }
    });
    let (submit, paused, good) = first(&mut one, &mut two).await;
    paused.token(submit.attempt, 0, "A");
    tokio::time::sleep(Duration::from_millis(10)).await;
    paused.freeze();
    let begun = tokio::time::Instant::now();
    let again = good.next_submit().await;
    assert!(begun.elapsed() < Duration::from_secs(5), "took {:?}", begun.elapsed());
    good.token(again.attempt, 1, "B");
    good.end(again.attempt, 2);
    assert_eq!(text_of(&asking.await.expect("the request task ends").body), "AB");
}

// Both engines are full, and it is unknown which has a free slot first. If the request were queued
// at one only, it could wait while the other is idle; if both started it, it would cost twice.
#[tokio::test(start_paused = true)]
async fn a_request_queued_at_two_engines_starts_only_at_the_first_free_one() {
    let (_fleet, entry, _one, mut one, _two, mut two) = two_scripts(false).await;
    let asking = tokio::spawn({
        let entry = entry.clone();
        async move { chat(&entry).await }
    });
    let (left, right) = (one.next_submit().await, two.next_submit().await);
    assert!(left.hold && right.hold);
    two.offer(right.attempt);
    assert!(matches!(two.next().await, Body::Begin(begin) if begin.attempt == right.attempt));
    one.offer(left.attempt);
    assert!(matches!(one.next().await, Body::Cancel(cancel) if cancel.attempt == left.attempt));
    two.token(right.attempt, 0, "A");
    two.end(right.attempt, 1);
    assert_eq!(text_of(&asking.await.expect("the request task ends").body), "A");
    assert!(one.next_within(Duration::from_secs(1)).await.is_none(), "no begin at the other");
}

// A request is queued at two engines and one of them dies. The other must still serve it.
#[tokio::test(start_paused = true)]
async fn a_request_queued_at_two_engines_survives_the_loss_of_one() {
    let (_fleet, entry, _one, mut one, _two, mut two) = two_scripts(false).await;
    let asking = tokio::spawn({
        let entry = entry.clone();
        async move { chat(&entry).await }
    });
    let (_left, right) = (one.next_submit().await, two.next_submit().await);
    one.cut();
    tokio::time::sleep(Duration::from_millis(50)).await;
    two.offer(right.attempt);
    assert!(matches!(two.next().await, Body::Begin(_)));
    two.token(right.attempt, 0, "A");
    two.end(right.attempt, 1);
    assert_eq!(text_of(&asking.await.expect("the request task ends").body), "A");
}

// One engine prefills and another decodes. If the second started the request from its beginning,
// the prompt would be prefilled twice; if the first continued, it would decode against its role.
#[tokio::test(start_paused = true)]
async fn a_prompt_is_prefilled_by_one_engine_and_decoded_by_another() {
    let fleet = Fleet::new().await;
    for (name, role) in [("engine-1", "prefill"), ("engine-2", "decode")] {
        let spec = json!({
            "models": [MODEL], "domain": "sofia-1", "role": role,
            "agent": itest::agent_address(name),
        });
        fleet.publish(conf::Kind::Target, name, spec).await;
    }
    let (mut one, mut two) = (fleet.listen_scripted("engine-1"), fleet.listen_scripted("engine-2"));
    let entry = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    let mut prefill = one.accept_as("prefill").await;
    let mut decode = two.accept_as("decode").await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let asking = tokio::spawn(async move { chat(&entry).await });
    let submit = prefill.next_submit().await;
    let prompt = |submit: &wire::Submit| match &submit
        .request
        .as_ref()
        .expect("a submission has a request")
        .work
    {
        Some(Work::Prompt(prompt)) => prompt.clone(),
        other => panic!("expected a prompt, got {other:?}"),
    };
    assert!(prompt(&submit).prefill_only);
    prefill.token(submit.attempt, 0, "A");
    prefill.end_early(submit.attempt, 1);
    let again = decode.next_submit().await;
    let resumed = prompt(&again);
    assert_eq!((resumed.resume_tokens, resumed.kv_source.as_str()), (1, "engine-1"));
    assert!(!resumed.prefill_only);
    decode.token(again.attempt, 1, "B");
    decode.end(again.attempt, 2);
    assert_eq!(text_of(&asking.await.expect("the request task ends").body), "AB");
}
