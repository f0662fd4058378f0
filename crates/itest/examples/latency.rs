//! Measures the latency that entry and agent add to a short request, compared with direct calls of
//! the stand-in service in the same run.
//!
//! `cargo run --release -p itest --example latency` prints the median and 99th percentile of both,
//! and the requests per second through entry and agent. All parts run in this one process.

use agent::Backend;
use async_trait::async_trait;
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use conf::{Kind, settings};
use fake::MemoryService;
use fake::http::BoundServer;
use futures_util::stream;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use itest::{Fleet, MODEL};
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};
use target::http::HttpService;
use target::{Engine, FencingToken, Finish, Job, Order, Output, Outputs, Result, Status, Usage};
use tokio_util::sync::CancellationToken;
use wire::{TcpDialler, TcpListener};

/// An engine in memory that generates one token without delay, so that only entry and agent are
/// measured. The stand-in engine waits for a timer of a millisecond even if its own times are zero.
struct InstantEngine;

#[async_trait]
impl Engine for InstantEngine {
    async fn generate(&self, _: Job) -> Result<Outputs> {
        let usage = Usage { prompt_tokens: 9, completion_tokens: 1, cached_tokens: 0 };
        let text = Output::Text { text: " yes".to_owned(), tokens: 1 };
        let end = Output::End { finish: Finish::Stop, usage };
        Ok(Box::pin(stream::iter([Ok(text), Ok(end)])))
    }

    async fn cancel(&self, _: &str) -> Result<()> {
        Ok(())
    }

    async fn order(&self, _: FencingToken, _: &Order) -> Result<()> {
        Ok(())
    }

    async fn status(&self) -> Result<Status> {
        Ok(Status { serves: vec![MODEL.into()], incarnation: 1, ..Status::default() })
    }

    async fn export_kv(&self, _: &str) -> Result<Bytes> {
        Ok(Bytes::new())
    }

    async fn import_kv(&self, _: &str, _: Bytes) -> Result<()> {
        Ok(())
    }
}

type Http = Client<HttpConnector, Full<Bytes>>;

/// Sequential requests from which the latency of one is measured.
const SEQUENTIAL: usize = 3_000;

/// Requests of each of the [`WORKERS`], from which the throughput is measured.
const EACH: usize = 400;

/// Callers that send concurrently.
const WORKERS: usize = 64;

#[tokio::main]
async fn main() {
    let fleet = Fleet::new().await;
    let service = serve(fake::http::service_router(Arc::new(MemoryService::default()))).await;
    let backend = Backend::Service(Arc::new(HttpService::new(service.clone())));
    start_agent(&fleet, "echo-1", json!({"service": "echo", "repeatable": true}), backend).await;
    let backend = Backend::Engine(Arc::new(InstantEngine));
    start_agent(&fleet, "engine-1", json!({"models": [MODEL], "slots": 256}), backend).await;
    let mut context = fleet.entry_context("entry-1", "sofia-1");
    context.settings.callers = "127.0.0.1:0".into();
    context.dialler = Arc::new(TcpDialler);
    let entry = entry::Daemon::bind(context).await.expect("a free port");
    let address = entry.address();
    tokio::spawn(entry.run());
    tokio::time::sleep(Duration::from_secs(2)).await;

    let http: Http = Client::builder(TokioExecutor::new()).build_http();
    let direct = format!("http://{service}/x");
    let through = format!("http://{address}/services/echo/x");
    let body = Bytes::from_static(b"5");
    compare("call", &http, (&direct, &body), (&through, &body)).await;
    let chat = json!({
        "model": MODEL, "max_tokens": 1, "messages": [{"role": "user", "content": "Which tiles?"}],
    });
    let chat = Bytes::from(chat.to_string());
    let through = format!("http://{address}/v1/chat/completions");
    throughput("call", &http, &format!("http://{address}/services/echo/x"), &body).await;
    throughput("chat of 1 token", &http, &through, &chat).await;
}

/// Times direct and forwarded requests alternately, so that other load on the machine affects both
/// alike.
async fn compare(name: &str, http: &Http, direct: (&str, &Bytes), through: (&str, &Bytes)) {
    let (mut plain, mut added) = (Vec::new(), Vec::new());
    for _ in 0..SEQUENTIAL {
        plain.push(time(http, direct.0, direct.1).await);
        added.push(time(http, through.0, through.1).await);
    }
    let (plain, added) = (quantiles(plain), quantiles(added));
    println!("{name} directly: median {:?}, 99th {:?}", plain.0, plain.1);
    println!("{name} through entry and agent: median {:?}, 99th {:?}", added.0, added.1);
    println!("{name} added at the median: {:?}", added.0.saturating_sub(plain.0));
}

async fn throughput(name: &str, http: &Http, uri: &str, body: &Bytes) {
    let begun = Instant::now();
    let workers = (0..WORKERS).map(|_| {
        let (http, uri, body) = (http.clone(), uri.to_owned(), body.clone());
        tokio::spawn(async move {
            for _ in 0..EACH {
                time(&http, &uri, &body).await;
            }
        })
    });
    for worker in workers.collect::<Vec<_>>() {
        worker.await.expect("all requests are answered");
    }
    let rate = (WORKERS * EACH) as f64 / begun.elapsed().as_secs_f64();
    println!("{name}, {WORKERS} callers: {rate:.0} requests a second");
}

async fn time(http: &Http, uri: &str, body: &Bytes) -> Duration {
    let request = http::Request::post(uri).body(Full::new(body.clone())).expect("valid");
    let begun = Instant::now();
    let response = http.request(request).await.expect("answered");
    assert_eq!(response.status(), 200);
    response.into_body().collect().await.expect("whole");
    begun.elapsed()
}

fn quantiles(mut times: Vec<Duration>) -> (Duration, Duration) {
    times.sort();
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

async fn serve(router: salvo::Router) -> CompactString {
    let serving = BoundServer::bind("127.0.0.1:0", router).await.expect("a free port");
    let address = serving.address.to_compact_string();
    tokio::spawn(serving.run());
    address
}

async fn start_agent(fleet: &Fleet, name: &str, mut spec: serde_json::Value, backend: Backend) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    spec["agent"] = json!(listener.address().expect("bound"));
    spec["domain"] = json!("sofia-1");
    fleet.publish(Kind::Target, name, spec).await;
    let settings = settings::Agent {
        name: format!("agent-{name}").into(),
        target: name.into(),
        domain: "sofia-1".into(),
        peer_key: "test".into(),
        ..settings::Agent::default()
    };
    let context = agent::Context {
        settings,
        log: Arc::new(fleet.log.clone()),
        backend,
        listener: Box::new(listener),
        dialler: Arc::new(TcpDialler),
        stop: CancellationToken::new(),
    };
    tokio::spawn(agent::Daemon::new(context).run());
}
