//! CPU time and bytes per request, token, byte of prompt, connection and change.

use crate::fleet::{Fleet, MODEL};
use crate::table::Row;
use bytes::Bytes;
use conf::Kind;
use eyre::{Result, ensure};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Numbers of requests.
const REQUESTS: [u32; 4] = [1_000, 2_000, 3_000, 4_000];

/// Tokens per answer.
const TOKENS: [u32; 4] = [16, 64, 128, 256];

/// Bytes per prompt.
const PROMPT_BYTES: [u32; 4] = [1_000, 16_000, 32_000, 64_000];

/// Numbers of entries connected to one agent.
const ENTRIES: [u32; 4] = [2, 8, 16, 32];

/// Numbers of agents connected to one entry, large enough that pings are as rare as in a large
/// fleet.
const AGENTS: [u32; 4] = [28, 36, 42, 48];

/// Numbers of callers in the configuration, up to the planned 4,500.
const CALLERS: [u32; 4] = [500, 1_500, 3_000, 4_500];

/// Numbers of configuration changes published.
const CHANGES: [u32; 4] = [100, 200, 400, 800];

/// Requests per measurement in which the length of answers or prompts varies.
const ANSWERS: u32 = 200;

/// Requests in flight.
const CONCURRENCY: usize = 32;

/// Time over which idle connections are measured.
const WATCH: Duration = Duration::from_secs(8);

/// Result of one measurement: CPU time in nanoseconds, and bytes.
#[derive(Clone, Copy)]
struct Cost {
    entry: f64,
    agents: f64,
    peer_bytes: f64,
    planner_bytes: f64,
    log_bytes: f64,
}

/// The rows of this module.
pub(crate) async fn rows() -> Result<Vec<Row>> {
    let mut rows = Vec::new();
    rows.extend(request_rows().await?);
    rows.extend(connection_rows().await?);
    rows.extend(change_rows().await?);
    Ok(rows)
}

async fn request_rows() -> Result<Vec<Row>> {
    let fleet = Fleet::start(1, 1).await?;
    send(&fleet, 500, 1, 100).await?;
    let (mut requests, mut tokens, mut prompts) = (Vec::new(), Vec::new(), Vec::new());
    for size in REQUESTS {
        let cost = measure(&fleet, send(&fleet, size, 1, 100)).await?;
        requests.push((f64::from(size), cost));
    }
    for size in TOKENS {
        let cost = measure(&fleet, send(&fleet, ANSWERS, size, 100)).await?;
        tokens.push((f64::from(size * ANSWERS), cost));
    }
    for size in PROMPT_BYTES {
        let cost = measure(&fleet, send(&fleet, ANSWERS, 1, size)).await?;
        prompts.push((f64::from(size * ANSWERS) / 1_000.0, cost));
    }
    let mut rows = cpu_rows("request of 1 token", &requests);
    rows.extend(cpu_rows("token", &tokens));
    rows.extend(cpu_rows("1,000 bytes of prompt", &prompts));
    rows.push(row("entry and agent", "peer link, bytes", "request of 1 token", &requests, |c| {
        c.peer_bytes
    }));
    rows.push(row("entry and agent", "peer link, bytes", "token", &tokens, |c| c.peer_bytes));
    Ok(rows)
}

async fn connection_rows() -> Result<Vec<Row>> {
    let (mut to_agents, mut from_entries) = (Vec::new(), Vec::new());
    for size in AGENTS {
        to_agents.push((f64::from(size), idle(1, size).await?));
    }
    for size in ENTRIES {
        from_entries.push((f64::from(size), idle(size, 1).await?));
    }
    let (process, connection) = ("idle process with one connection", "idle connection");
    let cpu = "CPU a second, ns";
    Ok(vec![
        row("entry", cpu, process, &from_entries, |cost| cost.entry),
        row("entry", cpu, connection, &to_agents, |cost| cost.entry),
        row("agent", cpu, process, &to_agents, |cost| cost.agents),
        row("agent", cpu, connection, &from_entries, |cost| cost.agents),
        row("entry", "peer links a second, bytes", connection, &to_agents, |c| c.peer_bytes),
        row("planner", "links a second, bytes", "agent of its pool", &to_agents, |c| {
            c.planner_bytes
        }),
        row("entry", "log a second, bytes", process, &from_entries, |cost| cost.log_bytes),
    ])
}

/// Cost per second of a fleet without requests.
async fn idle(entries: u32, agents: u32) -> Result<Cost> {
    let fleet = Fleet::start(entries, agents).await?;
    // Enough requests to reach each agent, so that its connection is open.
    send(&fleet, agents * 20, 1, 100).await?;
    let watching = async {
        tokio::time::sleep(WATCH).await;
        Ok(())
    };
    Ok(measure(&fleet, watching).await?.over(WATCH))
}

async fn change_rows() -> Result<Vec<Row>> {
    let fleet = Fleet::start(1, 1).await?;
    let mut changes = Vec::new();
    for size in CHANGES {
        let publishing = async {
            for number in 0..size {
                publish_caller(&fleet, number).await?;
            }
            tokio::time::sleep(WATCH / 5).await;
            Ok(())
        };
        changes.push((f64::from(size), measure(&fleet, publishing).await?));
    }
    let per = "change of configuration";
    let mut rows = vec![row("every process", "log, bytes", per, &changes, |cost| cost.log_bytes)];
    rows.extend(cpu_rows(
        "caller there is, for a change that comes alone",
        &single_change_costs().await?,
    ));
    Ok(rows)
}

/// Cost of a single change, as most changes are, by the number of callers in the configuration.
async fn single_change_costs() -> Result<Vec<(f64, Cost)>> {
    const ALONE: u32 = 20;
    let fleet = Fleet::start(1, 1).await?;
    let mut existing = 0;
    let mut single = Vec::new();
    for callers in CALLERS {
        for number in existing..callers {
            publish_caller(&fleet, number).await?;
        }
        existing = callers;
        tokio::time::sleep(WATCH / 5).await;
        let publishing = async {
            for number in 0..ALONE {
                publish_caller(&fleet, number).await?;
                tokio::time::sleep(WATCH / 100).await;
            }
            Ok(())
        };
        let cost = measure(&fleet, publishing).await?;
        single.push((f64::from(callers), cost.over(Duration::from_secs(u64::from(ALONE)))));
    }
    Ok(single)
}

async fn publish_caller(fleet: &Fleet, number: u32) -> Result<()> {
    let name = format!("caller-{number}");
    let spec = json!({"token_sha256": format!("{number:064x}"), "weight": 2});
    fleet.publish(Kind::Caller, &name, spec).await
}

impl Cost {
    /// Divides the cost by the seconds of `time`.
    fn over(self, time: Duration) -> Self {
        let seconds = time.as_secs_f64();
        Self {
            entry: self.entry / seconds,
            agents: self.agents / seconds,
            peer_bytes: self.peer_bytes / seconds,
            planner_bytes: self.planner_bytes / seconds,
            log_bytes: self.log_bytes / seconds,
        }
    }
}

fn cpu_rows(per: &'static str, points: &[(f64, Cost)]) -> Vec<Row> {
    vec![
        row("entry", "CPU, ns", per, points, |cost| cost.entry),
        row("agent", "CPU, ns", per, points, |cost| cost.agents),
    ]
}

fn row(
    role: &'static str,
    cost: &'static str,
    per: &'static str,
    points: &[(f64, Cost)],
    of: impl Fn(&Cost) -> f64,
) -> Row {
    Row { role, cost, per, points: points.iter().map(|(size, cost)| (*size, of(cost))).collect() }
}

/// Measures the cost to the fleet while `work` runs.
async fn measure(fleet: &Fleet, work: impl Future<Output = Result<()>>) -> Result<Cost> {
    let before = total_cost(fleet)?;
    work.await?;
    let after = total_cost(fleet)?;
    Ok(Cost {
        entry: after.entry - before.entry,
        agents: after.agents - before.agents,
        peer_bytes: after.peer_bytes - before.peer_bytes,
        planner_bytes: after.planner_bytes - before.planner_bytes,
        log_bytes: after.log_bytes - before.log_bytes,
    })
}

fn total_cost(fleet: &Fleet) -> Result<Cost> {
    let nanos = |time: Duration| time.as_secs_f64() * 1e9;
    let count = |bytes: u64| f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
    Ok(Cost {
        entry: nanos(fleet.entry.cpu()?),
        agents: nanos(fleet.agents.cpu()?),
        peer_bytes: count(fleet.peers.load(Ordering::Relaxed)),
        planner_bytes: count(fleet.planner.load(Ordering::Relaxed)),
        log_bytes: count(fleet.log_relay.bytes()),
    })
}

/// Sends `requests` streamed completions, up to [`CONCURRENCY`] at once; each must be answered
/// completely.
async fn send(fleet: &Fleet, requests: u32, tokens: u32, prompt_bytes: u32) -> Result<()> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let permits = Arc::new(Semaphore::new(CONCURRENCY));
    let uri = format!("http://{}/v1/completions", fleet.callers);
    let mut sending = JoinSet::new();
    for number in 0..requests {
        let permit = permits.clone().acquire_owned().await?;
        let (client, uri) = (client.clone(), uri.clone());
        let body = body(number, tokens, prompt_bytes);
        sending.spawn(async move {
            let _permit = permit;
            let request = hyper::Request::post(uri).header("content-type", "application/json");
            let response = client.request(request.body(Full::new(body))?).await?;
            let status = response.status();
            let answer = response.into_body().collect().await?.to_bytes();
            let answer = String::from_utf8_lossy(&answer);
            ensure!(status.is_success(), "{status}: {answer}");
            ensure!(answer.ends_with("data: [DONE]\n\n"), "truncated answer: {answer}");
            Ok(())
        });
    }
    while let Some(sent) = sending.join_next().await {
        sent??;
    }
    Ok(())
}

fn body(number: u32, tokens: u32, prompt_bytes: u32) -> Bytes {
    let filler = "x".repeat(usize::try_from(prompt_bytes).unwrap_or(0));
    let body = json!({
        "model": MODEL, "prompt": format!("{number} {filler}"), "stream": true,
        "max_tokens": tokens, "fake_tokens": tokens,
    });
    Bytes::from(body.to_string())
}
