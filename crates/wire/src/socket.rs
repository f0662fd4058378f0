//! Listening sockets whose connections send small writes at once.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens at `address`, `host:port`; port 0 takes a free one.
///
/// Each connection has Nagle's algorithm off, which it inherits from the listening socket. With
/// it a token written after another waits until the peer acknowledges the first, which the peer
/// delays in the hope of a reply: each answer then comes some 40 ms late, on an idle machine too.
pub async fn listen(address: &str) -> io::Result<TcpListener> {
    let mut failure = io::Error::new(io::ErrorKind::InvalidInput, "there is no such address");
    for address in tokio::net::lookup_host(address).await? {
        match listen_at(address) {
            Ok(listener) => return Ok(listener),
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

fn listen_at(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
