//! Entries that are cut off: from the log, from half of their agents, or from their own past.

use itest::{Fleet, MODEL, post};
use serde_json::json;
use state::{Config, Snapshot, Snapshots, System};
use std::sync::Arc;
use std::time::Duration;
use wire::{Body, Load, QueryKind};

async fn chat(entry: &entry::Entry) -> u16 {
    let body = json!({
        "model": MODEL, "max_tokens": 4, "messages": [{"role": "user", "content": "Which tiles?"}],
    });
    post(entry, "/v1/chat/completions", body).await.status
}

// The log is out, and an entry is replaced meanwhile. Without its configuration it could serve
// nobody until the log is back, which may take hours.
#[tokio::test(start_paused = true)]
async fn an_entry_that_restarts_while_the_log_is_out_serves_from_an_agents_state() {
    let fleet = Fleet::new().await;
    let mut script = fleet.add_scripted_engine("engine-1", "sofia-1").await;
    let config = {
        let before = fleet.start_entry("entry-0", "sofia-1");
        tokio::time::sleep(Duration::from_millis(100)).await;
        let config = before.config().borrow().clone();
        drop(script.accept(true).await);
        config
    };
    fleet.log.set_unavailable(true);
    let mut context = fleet.entry_context("entry-1", "sofia-1");
    context.settings.peers = vec![itest::agent_address("engine-1")];
    let begun = tokio::time::Instant::now();
    let entry = Arc::new(entry::Entry::start(context));
    let mut connection = script.accept(true).await;
    let Body::Query(ask) = connection.next().await else { panic!("expected a question") };
    assert_eq!(ask.kind(), QueryKind::Snapshot);
    let older = Snapshot::of(plat::CONFIG_STREAM, &Config::default());
    let all = vec![
        Snapshot::of(plat::CONFIG_STREAM, &*config),
        Snapshot::of(plat::SYSTEM_STREAM, &System::default()),
    ];
    connection.reply(ask.id, Snapshots { all }.bytes());
    let serving = tokio::spawn({
        let entry = entry.clone();
        async move {
            while chat(&entry).await == 503 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    });
    let submit = loop {
        match connection.next().await {
            Body::Submit(submit) => break submit,
            // An older state, offered later, must not take the newer one's place.
            Body::Query(ask) => {
                connection.reply(ask.id, Snapshots { all: vec![older.clone()] }.bytes())
            }
            other => panic!("unexpected {other:?}"),
        }
    };
    assert!(begun.elapsed() < Duration::from_secs(1), "served after {:?}", begun.elapsed());
    connection.token(submit.attempt, 0, "A");
    connection.end(submit.attempt, 1);
    serving.await.expect("answered");
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(entry.config().borrow().end(), config.end());
}

// A switch fails, and an entry reaches only half of its agents. Its callers should not notice, as
// long as the other half can serve them.
#[tokio::test(start_paused = true)]
async fn an_entry_cut_off_from_half_of_its_agents_serves_with_the_other_half() {
    let fleet = Fleet::new().await;
    let mut agents = Vec::new();
    for number in 1..=4 {
        agents.push(fleet.add_engine(&format!("engine-{number}"), "sofia-1").await);
    }
    let entry = fleet.start_entry("entry-1", "sofia-1");
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    fleet.network.cut("entry-1", "engine-1:1");
    fleet.network.cut("entry-1", "engine-2:1");
    for _ in 0..20 {
        assert_eq!(chat(&entry).await, 200);
    }
    fleet.network.cut("entry-1", "engine-3:1");
    fleet.network.cut("entry-1", "engine-4:1");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(chat(&entry).await, 503, "nobody is left");
    for number in 1..=4 {
        fleet.network.repair("entry-1", &format!("engine-{number}:1"));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(chat(&entry).await, 200, "connected again by itself");
}

// Two loads of one agent arrive in the wrong order. Taken as they come, the older one would hide
// that the target takes no new work any more.
#[tokio::test(start_paused = true)]
async fn a_load_that_comes_late_does_not_replace_a_newer_one() {
    let fleet = Fleet::new().await;
    let mut script = fleet.add_scripted_engine("engine-1", "sofia-1").await;
    let entry = fleet.start_entry("entry-1", "sofia-1");
    let connection = script.accept(true).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let load = |sequence, accepting| Load {
        target: "engine-1".to_owned(),
        slots: 16,
        sequence,
        accepting,
        ..Load::default()
    };
    connection.load(load(1_000, false));
    connection.load(load(999, true));
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(chat(&entry).await, 503);
    connection.load(load(1_001, true));
    tokio::time::sleep(Duration::from_millis(10)).await;
    let asking = tokio::time::timeout(Duration::from_secs(1), chat(&entry));
    assert!(asking.await.is_err(), "it was submitted, and waits for the script");
}
