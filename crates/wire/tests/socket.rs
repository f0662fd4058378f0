//! Listening sockets: no delay of small writes, and errors of binding.

// An entry writes a token and shortly after it the next one. With Nagle's algorithm the second
// waits until the caller acknowledges the first, which it delays: each short answer arrives some
// 40 ms late, also on an idle machine.
#[tokio::test]
async fn accepted_connections_send_small_writes_without_delay() {
    let listener = wire::listen("127.0.0.1:0").await.expect("loopback can be bound");
    let address = listener.local_addr().expect("the socket is bound");
    let client = tokio::net::TcpStream::connect(address);
    let (client, accepted) = tokio::join!(client, listener.accept());
    let _client = client.expect("the socket listens");
    let (accepted, _) = accepted.expect("a client connects");
    assert!(accepted.nodelay().expect("the socket is open"));
}

#[tokio::test]
async fn address_in_use_is_an_error() {
    let listener = wire::listen("127.0.0.1:0").await.expect("loopback can be bound");
    let address = listener.local_addr().expect("the socket is bound").to_string();
    let error = wire::listen(&address).await.expect_err("the address is in use");
    assert_eq!(error.kind(), std::io::ErrorKind::AddrInUse);
    assert!(wire::listen("nowhere").await.is_err());
}
