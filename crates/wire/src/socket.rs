//! Listening sockets whose connections send small writes without delay.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// The most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens on `address`, `host:port`; port 0 selects a free one.
///
/// Nagle's algorithm is off for each connection, which inherits this from the listening socket.
/// With it a token waits until the peer acknowledges the previous one, and delayed acknowledgements
/// make each answer some 40 ms late, also on an idle machine.
pub async fn listen(address: &str) -> io::Result<TcpListener> {
    let mut last_error = io::Error::new(io::ErrorKind::InvalidInput, "there is no such address");
    for address in tokio::net::lookup_host(address).await? {
        match listen_on(address) {
            Ok(listener) => return Ok(listener),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

fn listen_on(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
