//! Listening sockets.

// An entry writes a token, and the next one a moment later. With Nagle's algorithm the second
// waits until the caller acknowledges the first, which it delays: the caller sees each short
// answer some 40 ms late, on an idle machine too.
#[tokio::test]
async fn accepted_connections_send_small_writes_at_once() {
    let listener = wire::listen("127.0.0.1:0").await.expect("loopback can be bound");
    let address = listener.local_addr().expect("it is bound");
    let dialled = tokio::net::TcpStream::connect(address);
    let (dialled, accepted) = tokio::join!(dialled, listener.accept());
    let _dialled = dialled.expect("it listens");
    let (accepted, _) = accepted.expect("somebody dials");
    assert!(accepted.nodelay().expect("the socket is open"));
}

#[tokio::test]
async fn an_address_that_is_taken_is_an_error() {
    let listener = wire::listen("127.0.0.1:0").await.expect("loopback can be bound");
    let address = listener.local_addr().expect("it is bound").to_string();
    let error = wire::listen(&address).await.expect_err("it is taken");
    assert_eq!(error.kind(), std::io::ErrorKind::AddrInUse);
    assert!(wire::listen("nowhere").await.is_err());
}
