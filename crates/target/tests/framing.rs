//! Responses of services and engines whose end only their connection marks.

#![expect(clippy::unwrap_used, reason = "a stand-in that fails ends its test")]

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use futures_util::TryStreamExt;
use target::http::{HttpEngine, HttpService};
use target::{Call, Engine, Error, Service};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Answers one request with these bytes and closes the connection; returns its address.
async fn answer_once(response: &'static str) -> CompactString {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_compact_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = vec![0; 4_096];
        assert!(stream.read(&mut buffer).await.unwrap() > 0);
        stream.write_all(response.as_bytes()).await.unwrap();
    });
    address
}

async fn body_of(response: &'static str) -> target::Result<Vec<Bytes>> {
    let service = HttpService::new(answer_once(response).await);
    let (method, path) = ("GET".into(), "/".into());
    let call = Call { method, path, headers: Vec::new(), body: Bytes::new() };
    service.call(call).await?.body.try_collect().await
}

/// A service crashes within an event of a stream that ends with its connection: the agent would
/// report the end of the answer.
#[tokio::test]
async fn unframed_stream_cut_within_an_event_is_an_error() {
    let cut = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nda";
    assert!(matches!(body_of(cut).await, Err(Error::Broken { .. })));
}

#[tokio::test]
async fn whole_unframed_bodies_are_no_error() {
    let stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\r\n\r\n";
    assert_eq!(body_of(stream).await.unwrap().concat(), b"data: a\r\n\r\n");
    let plain = "HTTP/1.1 200 OK\r\n\r\nplain";
    assert_eq!(body_of(plain).await.unwrap().concat(), b"plain");
}

/// A KV cache that ends with its connection may lack its end, and would be imported elsewhere.
#[tokio::test]
async fn unframed_kv_cache_is_an_error() {
    let unframed = HttpEngine::new(answer_once("HTTP/1.1 200 OK\r\n\r\ncache").await);
    assert!(matches!(unframed.export_kv("a").await, Err(Error::Broken { .. })));
    let framed = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ncache";
    let framed = HttpEngine::new(answer_once(framed).await);
    assert_eq!(framed.export_kv("a").await.unwrap(), "cache");
}
