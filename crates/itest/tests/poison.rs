//! A request that crashes every engine that runs it, sent repeatedly through all entries.

use conf::Kind;
use itest::{Fleet, MODEL, post};
use serde_json::json;
use std::time::Duration;

// One prompt crashes every engine that runs it. Its caller receives an error and retries, each time
// through another entry. Without a quarantine it would crash one engine after another.
#[tokio::test(start_paused = true)]
async fn a_poison_request_crashes_at_most_two_engines_and_other_requests_are_served() {
    let fleet = Fleet::new().await;
    fleet.publish(Kind::Caller, "open", json!({"deadline_ms": 10_000})).await;
    let mut engines = Vec::new();
    for number in 1..=4 {
        let (engine, agent) = fleet.add_engine(&format!("engine-{number}"), "sofia-1").await;
        engine.change(|params| params.crash_on = Some("poison".into()));
        engines.push((engine, agent));
    }
    let entries =
        [fleet.start_entry("entry-1", "sofia-1"), fleet.start_entry("entry-2", "sofia-1")];
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let ask = |entry: usize, content: &'static str| {
        let body = json!({
            "model": MODEL, "max_tokens": 8, "messages": [{"role": "user", "content": content}],
        });
        post(&entries[entry], "/v1/chat/completions", body)
    };
    let mut statuses = Vec::new();
    for round in 0..6 {
        let (poison, innocent) =
            tokio::join!(ask(round % 2, "poison"), ask((round + 1) % 2, "which tiles?"));
        statuses.push(poison.body);
        assert_eq!(innocent.status, 200, "{}", innocent.body);
        tokio::time::sleep(Duration::from_secs(1)).await;
        // Operators restart crashed engines, which the request could then crash again.
        engines
            .iter()
            .filter(|(engine, _)| engine.is_down())
            .for_each(|(engine, _)| engine.start());
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    let crashes: u32 = engines.iter().map(|(engine, _)| engine.crashes()).sum();
    assert!((1..=2).contains(&crashes), "{crashes} crashes, {statuses:#?}");
    let last = statuses.last().expect("six rounds");
    assert!(last.contains(r#""code":"quarantined""#) && last.contains("not-run"), "{last}");
    // An entry that starts later reads the quarantine from the log.
    let later = fleet.start_entry("entry-3", "sofia-1");
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let body = json!({
        "model": MODEL, "max_tokens": 8, "messages": [{"role": "user", "content": "poison"}],
    });
    let refused = post(&later, "/v1/chat/completions", body).await;
    assert!(refused.body.contains(r#""code":"quarantined""#), "{}", refused.body);
}

// A caller sends 12 copies of a poison request at once, through two entries. Until the first crash
// is recorded in the log, each copy could crash another engine, up to all 9.
#[tokio::test(start_paused = true)]
async fn concurrent_copies_of_a_poison_request_crash_at_most_one_engine_per_entry() {
    let fleet = Fleet::new().await;
    fleet.publish(Kind::Caller, "open", json!({"deadline_ms": 10_000})).await;
    let mut engines = Vec::new();
    for number in 1..=9 {
        let (engine, agent) = fleet.add_engine(&format!("engine-{number}"), "sofia-1").await;
        engine.change(|params| params.crash_on = Some("poison".into()));
        engines.push((engine, agent));
    }
    let entries =
        [fleet.start_entry("entry-1", "sofia-1"), fleet.start_entry("entry-2", "sofia-1")];
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let body = json!({
        "model": MODEL, "max_tokens": 8, "messages": [{"role": "user", "content": "poison"}],
    });
    // Recording a crash takes time, as with a real log.
    fleet.log.set_delay(Duration::from_millis(300));
    let copies =
        (0..12).map(|number| post(&entries[number % 2], "/v1/chat/completions", body.clone()));
    let answers = futures_util::future::join_all(copies).await;
    assert!(answers.iter().all(|answer| answer.status != 200));
    let crashes: u32 = engines.iter().map(|(engine, _)| engine.crashes()).sum();
    assert!((1..=2).contains(&crashes), "{crashes} crashes");
}

// 12 identical harmless requests are sent at once. Each may wait at most for the first token of the
// first one, not for its whole answer.
#[tokio::test(start_paused = true)]
async fn concurrent_copies_of_a_harmless_request_are_all_answered() {
    let fleet = Fleet::new().await;
    let mut agents = Vec::new();
    for number in 1..=3 {
        agents.push(fleet.add_engine(&format!("engine-{number}"), "sofia-1").await);
    }
    let entry = fleet.start_entry("entry-1", "sofia-1");
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let body =
        json!({"model": MODEL, "prompt": "which tiles?", "max_tokens": 200, "fake_tokens": 200});
    let begun = tokio::time::Instant::now();
    let copies = (0..12).map(|_| post(&entry, "/v1/completions", body.clone()));
    let answers = futures_util::future::join_all(copies).await;
    assert!(answers.iter().all(|answer| answer.status == 200));
    // 200 tokens take 0.4 to 0.8 s; one after the other they would take 12 times as long.
    assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
}
