//! Entries that cannot reach the log or some of their agents, or that receive state out of order.

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

// An entry restarts while the log is unavailable. If it could read its configuration only from the
// log, it would serve nobody until the log is back, which may take hours.
#[tokio::test(start_paused = true)]
async fn an_entry_that_restarts_during_a_log_outage_serves_from_an_agents_snapshot() {
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
    let Body::Query(query) = connection.next().await else { panic!("expected a query") };
    assert_eq!(query.kind(), QueryKind::Snapshot);
    let older = Snapshot::of(plat::CONFIG_STREAM, &Config::default());
    let all = vec![
        Snapshot::of(plat::CONFIG_STREAM, &*config),
        Snapshot::of(plat::SYSTEM_STREAM, &System::default()),
    ];
    connection.reply(query.id, Snapshots { all }.bytes());
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
            // An older snapshot that arrives later must not replace the newer state.
            Body::Query(query) => {
                connection.reply(query.id, Snapshots { all: vec![older.clone()] }.bytes())
            }
            other => panic!("unexpected {other:?}"),
        }
    };
    assert!(begun.elapsed() < Duration::from_secs(1), "served after {:?}", begun.elapsed());
    connection.token(submit.attempt, 0, "A");
    connection.end(submit.attempt, 1);
    serving.await.expect("the request task ends");
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(entry.config().borrow().end(), config.end());
}

// A switch fails, and an entry reaches only half of its agents. It must serve all requests with the
// other half, refuse when none is left, and reconnect by itself.
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

// Two load reports of one agent arrive out of order. If the entry applied the older one last, it
// would not see that the target no longer accepts work.
#[tokio::test(start_paused = true)]
async fn an_older_load_report_does_not_replace_a_newer_one() {
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
