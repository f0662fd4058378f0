//! Faults set over the control route take effect on the protocol of the real system.

use bytes::Bytes;
use compact_str::ToCompactString;
use fake::http::{BoundServer, control_router, engine_router, service_router};
use fake::{Control, EngineParams, MemoryEngine, MemoryService};
use serde_json::json;
use std::sync::Arc;
use target::http::{HttpEngine, HttpService};
use target::{Call, Engine, Error, Job, Order, Service};

async fn serve(router: salvo::Router) -> compact_str::CompactString {
    let serving = BoundServer::bind("127.0.0.1:0", router).await.expect("loopback can be bound");
    let address = serving.address.to_compact_string();
    tokio::spawn(serving.run());
    address
}

fn call(method: &str, path: &str, body: &'static [u8]) -> Call {
    let (method, path) = (method.into(), path.to_owned());
    Call { method, path, headers: Vec::new(), body: Bytes::from_static(body) }
}

// A service is killed after it ran a call and before it answered. If the stand-in answered with a
// status instead, the agent would conclude that the call ended, and no test would exercise an
// unknown outcome.
#[tokio::test]
async fn a_call_broken_off_after_it_ran_gets_no_answer() {
    let service = MemoryService::default();
    let routes = service_router(Arc::new(service.clone()));
    let address = serve(control_router(Arc::new(service.clone()), routes)).await;
    let client = HttpService::new(address);
    let set = call("POST", "/faults", br#"{"lose_replies": 1}"#);
    assert_eq!(client.call(set).await.map(|r| r.status).ok(), Some(200));

    let transfer = call("POST", "/transfers", b"5");
    let broken = client.call(transfer.clone()).await.err();
    assert!(matches!(broken, Some(Error::Broken { .. })), "{broken:?}");
    assert_eq!(client.call(transfer).await.map(|r| r.status).ok(), Some(200));
    assert_eq!(service.report()["runs"]["POST /transfers 5"], json!(2));
    assert_eq!(service.report()["ran_again"], json!(1));
}

#[tokio::test]
async fn an_engine_that_crashes_during_an_order_sends_no_answer() {
    let engine = MemoryEngine::new(EngineParams::default(), &["m"]);
    let address = serve(engine_router(Arc::new(engine.clone()))).await;
    let client = HttpEngine::new(address);
    let order = tokio::spawn(async move {
        client.order(1, &Order::SetRole { role: conf::resource::Role::Prefill }).await
    });
    while !engine.status().await.is_ok_and(|status| status.busy) {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    engine.crash();
    let outcome = order.await.expect("the order's task ends");
    assert!(matches!(outcome, Err(Error::Broken { .. })), "{outcome:?}");
}

#[test]
fn a_misspelt_fault_is_refused_and_sets_nothing() {
    let service = MemoryService::default();
    let error = service.set(json!({"down": true, "delay": 5})).expect_err("`delay` is no fault");
    assert!(error.to_string().contains("delay_ms"), "{error}");
    assert!(service.set(json!({"down": "yes"})).is_err());
    assert!(service.set(json!(7)).is_err());
}

async fn time_of(engine: &MemoryEngine, prompt_bytes: usize, tokens: u32) -> u128 {
    let begun = tokio::time::Instant::now();
    let job = Job {
        id: "job".into(),
        serve: "m".into(),
        prompt: "x".repeat(prompt_bytes),
        resume_text: String::new(),
        resume_tokens: 0,
        max_tokens: tokens,
        urgent: false,
        sampling: Bytes::from(json!({"fake_tokens": tokens}).to_string()),
        traceparent: Default::default(),
    };
    let outputs = engine.generate(job).await.expect("the engine is up");
    futures_util::StreamExt::count(outputs).await;
    begun.elapsed().as_millis()
}

#[tokio::test(start_paused = true)]
async fn engines_are_fast_in_their_role_and_slow_at_other_work() {
    let mut seen = Vec::new();
    for role in ["mixed", "prefill", "decode"] {
        let engine = MemoryEngine::new(EngineParams::default(), &["m"]);
        let order = serde_json::from_value(json!({"kind": "set-role", "role": role}));
        engine.order(1, &order.expect("the role is known")).await.expect("the engine is up");
        seen.push((role, time_of(&engine, 80_000, 0).await, time_of(&engine, 4, 100).await));
    }
    // Role, milliseconds to prefill 20,000 tokens, and milliseconds to generate 100 tokens
    // (including 1 ms to prefill 1 token).
    assert_eq!(seen, [("mixed", 1000, 301), ("prefill", 667, 901), ("decode", 4000, 201)]);
}
