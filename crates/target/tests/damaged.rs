//! Responses of targets in trouble: heads that don't tell where the body ends, and bytes without end.

#![expect(clippy::unwrap_used, reason = "a stand-in that fails ends its test")]

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use futures_util::TryStreamExt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use target::http::{HttpEngine, HttpService};
use target::{Call, Engine, Job, Service};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;

/// What a target may send before it is cut off, in bytes: the largest body that is read whole, and
/// what the buffers of two sockets hold.
const MAX_BYTES: usize = 24 << 20;

/// Answers requests with these bytes, and then with `flood` again and again until the connection ends.
/// Returns its address and the bytes sent.
async fn answer(start: &'static str, flood: &'static str) -> (CompactString, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_compact_string();
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = vec![0; 4_096];
        assert!(stream.read(&mut buffer).await.unwrap() > 0);
        stream.write_all(start.as_bytes()).await.unwrap();
        let flood = flood.repeat(4_096);
        while !flood.is_empty() && stream.write_all(flood.as_bytes()).await.is_ok() {
            counter.fetch_add(flood.len(), Ordering::Relaxed);
        }
    });
    (address, sent)
}

async fn call(address: CompactString) -> target::Result<Vec<Bytes>> {
    let (method, path) = ("GET".into(), "/".into());
    let call = Call { method, path, headers: Vec::new(), body: Bytes::new() };
    HttpService::new(address).call(call).await?.body.try_collect().await
}

fn job() -> Job {
    Job {
        id: "j".into(),
        serve: "m".into(),
        prompt: "p".into(),
        resume_text: String::new(),
        resume_tokens: 0,
        max_tokens: 1,
        urgent: false,
        sampling: Bytes::new(),
        traceparent: CompactString::default(),
    }
}

/// Guards against bodies that end where a damaged head says so, and against the marks of chunks as
/// content.
#[tokio::test]
async fn damaged_heads_are_errors() {
    const CHUNK: &str = "\r\n\r\na\r\n0123456789\r\n0\r\n\r\n";
    for head in [
        "200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked",
        "200 OK\r\nTransfer-Encoding: chunke",
        "200 OK\r\nTransfer-Encodinh: chunked",
        "200 OK\r\nContent-Lenght: 99",
        "204 No Content\r\nContent-Length: 4",
        "101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x",
        "777 X\r\nContent-Length: 4",
    ] {
        let response: &'static str = format!("HTTP/1.1 {head}{CHUNK}").leak();
        let (address, _) = answer(response, "").await;
        assert!(call(address).await.is_err(), "{head}");
    }
}

/// Guards against an engine or a service whose bytes without end an agent keeps.
#[tokio::test]
async fn bytes_without_end_are_errors() {
    const LIMIT: Duration = Duration::from_secs(10);
    let (address, sent) = answer("HTTP/1.1 200 OK\r\n", "A: b\r\n").await;
    assert!(timeout(LIMIT, call(address)).await.unwrap().is_err());
    assert!(sent.load(Ordering::Relaxed) <= MAX_BYTES);

    let (address, sent) = answer("HTTP/1.1 200 OK\r\n\r\n", "x").await;
    let cache = HttpEngine::new(address);
    assert!(timeout(LIMIT, cache.export_kv("a")).await.unwrap().is_err());
    assert!(sent.load(Ordering::Relaxed) <= MAX_BYTES);

    let events = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    let (address, sent) = answer(events, "data: x\n").await;
    let outputs = HttpEngine::new(address).generate(job()).await.unwrap();
    assert!(timeout(LIMIT, outputs.try_collect::<Vec<_>>()).await.unwrap().is_err());
    assert!(sent.load(Ordering::Relaxed) <= MAX_BYTES);
}
