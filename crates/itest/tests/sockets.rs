//! An entry on a real socket: graceful stop and malformed HTTP.

use itest::{Fleet, text_of};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

struct Running {
    address: SocketAddr,
    stop: CancellationToken,
    task: tokio::task::JoinHandle<entry::Result<()>>,
}

async fn start(fleet: &Fleet) -> Running {
    let mut context = fleet.entry_context("entry-1", "sofia-1");
    context.settings.callers = "127.0.0.1:0".into();
    let stop = context.stop.clone();
    let daemon = entry::Daemon::bind(context).await.expect("a free port");
    let address = daemon.address();
    let task = tokio::spawn(daemon.run());
    tokio::time::sleep(Duration::from_millis(300)).await;
    Running { address, stop, task }
}

async fn exchange(address: SocketAddr, request: &str) -> String {
    let mut socket = TcpStream::connect(address).await.expect("the entry listens");
    socket.write_all(request.as_bytes()).await.expect("written");
    let mut answer = Vec::new();
    let reading = socket.read_to_end(&mut answer);
    tokio::time::timeout(Duration::from_secs(20), reading)
        .await
        .expect("before the timeout")
        .expect("read");
    String::from_utf8_lossy(&answer).into_owned()
}

fn status(answer: &str) -> &str {
    answer.lines().next().unwrap_or_default()
}

const READYZ: &str = "GET /readyz HTTP/1.1\r\nhost: e\r\nconnection: close\r\n\r\n";

// An operator stops an entry while it streams an answer. The load balancer must see the readiness
// check fail before connections are refused, and the answer must not be truncated.
#[tokio::test]
async fn a_stop_fails_readiness_first_and_truncates_no_stream() {
    let fleet = Fleet::new().await;
    let (engine, _agent) = fleet.add_engine("engine-1", "sofia-1").await;
    engine.change(|params| params.token_time = Duration::from_millis(100));
    let running = start(&fleet).await;
    assert!(status(&exchange(running.address, READYZ).await).contains("200"));
    let body =
        r#"{"model":"lapis-small","stream":true,"max_tokens":20,"fake_tokens":20,"prompt":"a"}"#;
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: e\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let address = running.address;
    let streaming = tokio::spawn(async move { exchange(address, &request).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    running.stop.cancel();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(status(&exchange(running.address, READYZ).await).contains("503"));
    let answer = streaming.await.expect("the request task ends");
    assert!(answer.contains("data: [DONE]"), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "the body ends with its last chunk");
    running.task.await.expect("the entry task ends").expect("the entry stops without an error");
    assert!(TcpStream::connect(running.address).await.is_err());
    assert_eq!(text_of(&answer), "");
}

// Request smuggling: a second request stands in the body of a first one whose length is given in
// two ways. A server that parses it as a request would run it unauthenticated.
#[tokio::test]
async fn a_request_smuggled_in_a_body_is_not_run() {
    let fleet = Fleet::new().await;
    let (service, _agent) = fleet.add_service("ledger", "ledger-1", "sofia-1", true).await;
    let running = start(&fleet).await;
    let hidden = "POST /services/ledger/hidden HTTP/1.1\r\nhost: e\r\ncontent-length: 0\r\n\r\n";
    let smuggled = format!(
        "POST /services/ledger/seen HTTP/1.1\r\nhost: e\r\ncontent-length: {}\r\n\
         transfer-encoding: chunked\r\nconnection: close\r\n\r\n0\r\n\r\n{hidden}",
        hidden.len() + 5
    );
    let answer = exchange(running.address, &smuggled).await;
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    assert!(!service.runs().keys().any(|run| run.contains("hidden")), "{:?}", service.runs());
    let invalid = "GET /readyz HTTP/1.1\r\nhost : e\r\nbad name: 1\r\n\r\n";
    assert!(status(&exchange(running.address, invalid).await).contains("400"));
    running.stop.cancel();
    running.task.await.expect("the entry task ends").expect("the entry stops without an error");
}

// Slowloris: a client sends part of a request's headers and then nothing. If such connections were
// never closed, they would use up all connections of the entry.
#[tokio::test]
async fn a_connection_that_never_finishes_its_headers_is_closed() {
    let fleet = Fleet::new().await;
    let running = start(&fleet).await;
    let mut socket = TcpStream::connect(running.address).await.expect("the entry listens");
    socket.write_all(b"GET /readyz HTTP/1.1\r\nhost: ").await.expect("written");
    let mut answer = Vec::new();
    let closed = tokio::time::timeout(Duration::from_secs(15), socket.read_to_end(&mut answer));
    // Closed with or without an answer, or reset.
    let _ = closed.await.expect("the entry closes it in time");
    assert!(!String::from_utf8_lossy(&answer).contains(" 200 "));
    running.stop.cancel();
    running.task.await.expect("the entry task ends").expect("the entry stops without an error");
}
