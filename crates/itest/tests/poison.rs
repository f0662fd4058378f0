//! A request that crashes each engine that runs it, sent again and again through all entries.

use conf::Kind;
use itest::{Fleet, MODEL, post};
use serde_json::json;
use std::time::Duration;

// One prompt crashes every engine that runs it. Its caller sees an error and sends it again, each
// time through another entry, and takes down one engine after the other.
#[tokio::test(start_paused = true)]
async fn a_poison_request_takes_down_two_engines_at_most_and_its_neighbours_are_served() {
    let fleet = Fleet::new().await;
    fleet.publish(Kind::Caller, "open", json!({"deadline_ms": 10_000})).await;
    let mut engines = Vec::new();
    for number in 1..=4 {
        let (engine, agent) = fleet.add_engine(&format!("engine-{number}"), "sofia-1").await;
        engine.change(|model| model.crash_on = Some("poison".into()));
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
        // Crashed engines are started again by their operators, and are crashed again if allowed.
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
    // An entry that starts afterwards knows it from the log.
    let later = fleet.start_entry("entry-3", "sofia-1");
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let body = json!({
        "model": MODEL, "max_tokens": 8, "messages": [{"role": "user", "content": "poison"}],
    });
    let refused = post(&later, "/v1/chat/completions", body).await;
    assert!(refused.body.contains(r#""code":"quarantined""#), "{}", refused.body);
}

// A caller's program sends a dozen copies of a poison request at once, through two entries. Before
// the first crash stands in the log, each copy could take down an engine of its own, and a whole
// site would be without engines.
#[tokio::test(start_paused = true)]
async fn copies_of_a_poison_request_sent_at_once_take_down_one_engine_an_entry() {
    let fleet = Fleet::new().await;
    fleet.publish(Kind::Caller, "open", json!({"deadline_ms": 10_000})).await;
    let mut engines = Vec::new();
    for number in 1..=9 {
        let (engine, agent) = fleet.add_engine(&format!("engine-{number}"), "sofia-1").await;
        engine.change(|model| model.crash_on = Some("poison".into()));
        engines.push((engine, agent));
    }
    let entries =
        [fleet.start_entry("entry-1", "sofia-1"), fleet.start_entry("entry-2", "sofia-1")];
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let body = json!({
        "model": MODEL, "max_tokens": 8, "messages": [{"role": "user", "content": "poison"}],
    });
    // The news of a crash takes its time, as with a real log.
    fleet.log.set_delay(Duration::from_millis(300));
    let copies =
        (0..12).map(|number| post(&entries[number % 2], "/v1/chat/completions", body.clone()));
    let answers = futures_util::future::join_all(copies).await;
    assert!(answers.iter().all(|answer| answer.status != 200));
    let crashes: u32 = engines.iter().map(|(engine, _)| engine.crashes()).sum();
    assert!((1..=2).contains(&crashes), "{crashes} crashes");
}

// Many ask the same at once. None may wait for more than the first token of the first.
#[tokio::test(start_paused = true)]
async fn copies_of_a_harmless_request_sent_at_once_are_all_answered() {
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
