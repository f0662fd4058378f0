//! Measures calls that may not be repeated: calls per second and latency for several delays of the
//! log.
//!
//! `cargo run --release -p agent --example calls` prints the table of `docs/MEASURED.md`. The clock
//! is paused, so the figures are the same in each run and show waiting times, not processor time.

#[path = "../tests/common/mod.rs"]
mod common;

use bytes::Bytes;
use common::Harness;
use conf::Kind;
use fake::MemoryService;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use wire::{Body, Call, EventKind, Request, Submit, Work};

/// Duration of the measurement for each row.
const DURATION: Duration = Duration::from_secs(30);

fn main() {
    println!("| log delay | callers | calls/s | p50 | p99 | appends/s | records an append |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for delay in [5, 20, 300] {
        for callers in [1, 32, 256] {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .start_paused(true)
                .build()
                .expect("the runtime is built");
            println!("{}", runtime.block_on(row(Duration::from_millis(delay), callers)));
        }
    }
}

async fn row(delay: Duration, callers: usize) -> String {
    let harness = Harness::default();
    let service = MemoryService::default();
    service.set_delay(Duration::from_millis(2));
    let spec = json!({
        "service": "ledger", "domain": "sofia-1", "agent": "ledger-1:1", "slots": 64,
    });
    harness.publish(Kind::Target, "ledger-1", spec).await;
    let _agent = harness.agent("ledger-1", agent::Backend::Service(Arc::new(service)));
    tokio::time::sleep(Duration::from_secs(2)).await;
    harness.log.set_delay(delay);
    tokio::time::sleep(Duration::from_secs(5)).await;
    let appends = harness.log.appends();
    let end = Instant::now() + DURATION;
    let tasks: Vec<_> = (0..callers)
        .map(|caller| {
            let network = harness.network.clone();
            tokio::spawn(async move {
                call_until(Harness { network, ..Harness::default() }, caller, end).await
            })
        })
        .collect();
    let mut latencies = Vec::new();
    for task in tasks {
        latencies.extend(task.await.expect("the caller does not panic"));
    }
    latencies.sort_unstable();
    let seconds = DURATION.as_secs();
    let appends = harness.log.appends() - appends;
    let calls = latencies.len();
    let percentile = |percent: usize| {
        latencies.get(calls * percent / 100).copied().unwrap_or_default().as_millis()
    };
    let per_append = calls * 2 / usize::try_from(appends).unwrap_or(usize::MAX).max(1);
    format!(
        "| {} ms | {callers} | {} | {} ms | {} ms | {} | {per_append} |",
        delay.as_millis(),
        calls as u64 / seconds,
        percentile(50),
        percentile(99),
        appends / seconds,
    )
}

/// Sends calls one after the other and returns the latency of each.
async fn call_until(harness: Harness, caller: usize, end: Instant) -> Vec<Duration> {
    let mut entry = harness.entry(&format!("entry-{caller}"), "ledger-1").await;
    let mut latencies = Vec::new();
    let mut attempt = 0;
    while Instant::now() < end {
        attempt += 1;
        let started_at = Instant::now();
        let request = Request {
            id: format!("{caller}-{attempt}"),
            caller: "desk".into(),
            deadline_ms: 60_000,
            work: Some(Work::Call(Call {
                service: "ledger".into(),
                method: "POST".into(),
                path: "/transfers".into(),
                body: Bytes::from_static(b"5"),
                key: format!("{caller}-{attempt}"),
                ..Call::default()
            })),
            ..Request::default()
        };
        let submit = Submit { attempt, request: Some(request), hold: false, credit: 100 };
        entry.send(Body::Submit(submit)).await;
        loop {
            let event = entry.event().await;
            match event.kind {
                Some(EventKind::End(_)) => break latencies.push(started_at.elapsed()),
                Some(EventKind::Refusal(refusal)) => panic!("refused: {refusal:?}"),
                _ => {}
            }
        }
    }
    latencies
}
