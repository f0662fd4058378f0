//! The planner applies the roles that operators configure, in a whole fleet.

use conf::Kind;
use conf::resource::Role;
use fake::MemoryEngine;
use itest::{Fleet, MODEL, agent_address};
use plat::SYSTEM_STREAM;
use serde_json::json;
use state::{Follower, System};
use std::sync::Arc;
use std::time::Duration;
use target::Engine;
use tokio::time::Instant;

async fn role(engine: &MemoryEngine) -> Role {
    engine.status().await.expect("the engine is up").role
}

/// Returns the process that holds the planner's lease of the pool.
async fn planner(fleet: &Fleet) -> Option<String> {
    let follower = Follower::<System>::new(Arc::new(fleet.log.clone()), SYSTEM_STREAM.into());
    let system = follower.state();
    let following = tokio::spawn(follower.run());
    tokio::time::sleep(Duration::from_millis(10)).await;
    following.abort();
    system.borrow().holder("planner/main").map(|holder| holder.process.to_string())
}

// An operator configures a role in a fleet that has only agents to plan. Then the planning agent is
// killed and the operator configures another role. Another agent must take over within 10 s, or
// the role would stay until someone intervenes.
#[tokio::test(start_paused = true)]
async fn configured_roles_reach_engines_also_after_the_planner_is_killed() {
    let fleet = Fleet::new().await;
    let (first, first_agent) = fleet.add_engine("engine-1", "domain-1").await;
    let (second, second_agent) = fleet.add_engine("engine-2", "domain-2").await;
    let fix = async |name: &str, domain: &str, role: &str| {
        let agent = agent_address(name);
        let spec = json!({"models": [MODEL], "domain": domain, "agent": agent, "role": role});
        fleet.publish(Kind::Target, name, spec).await;
    };
    fix("engine-2", "domain-2", "decode").await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(role(&second).await, Role::Decode);
    assert_eq!(role(&first).await, Role::Mixed);
    let (other, name, domain, engine) = match planner(&fleet).await.as_deref() {
        Some("agent-engine-1") => (first_agent, "engine-2", "domain-2", second),
        Some("agent-engine-2") => (second_agent, "engine-1", "domain-1", first),
        planner => panic!("planned by {planner:?}"),
    };
    other.kill();
    let killed = Instant::now();
    let successor = format!("agent-{name}");
    while planner(&fleet).await.as_deref() != Some(successor.as_str()) {
        let took = killed.elapsed();
        assert!(took < Duration::from_secs(10), "no takeover after {took:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fix(name, domain, "prefill").await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(role(&engine).await, Role::Prefill);
}
