//! Rollout of a new version of a model under load.

use conf::Kind;
use itest::{Fleet, MODEL, post};
use serde_json::json;
use std::time::Duration;

// An operator rolls out a new version of a model. Each engine takes 4 s to load the weights, one
// after another. No request may be refused meanwhile, and all engines must load the new version.
#[tokio::test(start_paused = true)]
async fn callers_are_served_while_a_new_version_is_loaded() {
    let fleet = Fleet::new().await;
    let mut agents = Vec::new();
    let mut engines = Vec::new();
    for number in 1..=3 {
        let (engine, agent) = fleet.add_engine(&format!("engine-{number}"), "sofia-1").await;
        engine.change(|params| params.load = Duration::from_secs(4));
        engines.push(engine);
        agents.push(agent);
    }
    let entry = fleet.start_entry("entry-1", "sofia-1");
    tokio::time::sleep(Duration::from_secs(15)).await;
    let version = json!({"model": MODEL, "artifact": "weights-2"});
    fleet.publish(Kind::Version, "v2", version).await;
    fleet.publish(Kind::Model, MODEL, json!({"version": "v2"})).await;

    let mut refused = Vec::new();
    for number in 0..300 {
        let body = json!({"model": MODEL, "prompt": format!("{number}?"), "max_tokens": 2});
        let answer = post(&entry, "/v1/completions", body).await;
        if answer.status != 200 {
            refused.push((number, answer.body));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(refused.is_empty(), "{} refused, the first {:?}", refused.len(), refused.first());
    let new = format!("{MODEL}@v2");
    let loaded = engines.iter().filter(|engine| {
        let orders = engine.orders();
        orders.iter().any(|(_, order)| format!("{order:?}").contains(&new))
    });
    assert_eq!(loaded.count(), 3, "all engines loaded the new version");
}
