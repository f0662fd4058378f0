//! The administration API on its own address.

use crate::{Context, TokenCheck, routes};
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::{Router, Server as Salvo};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// The administration API of one entry, bound but not yet running.
pub struct Server {
    acceptor: TcpAcceptor,
    router: Router,
    address: SocketAddr,
}

/// The maximum number of open connections of operators; callers connect to another address.
const MAX_CONNECTIONS: usize = 64;

/// The time within which a client must send the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// The time that calls in progress have to finish once the entry stops.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

impl Server {
    /// Binds `address`; `token` guards the API.
    pub async fn bind(address: &str, token: TokenCheck, context: Context) -> io::Result<Self> {
        let socket = wire::listen(address).await?;
        let address = socket.local_addr()?;
        let router = routes::router(context, token);
        Ok(Self { acceptor: socket.try_into()?, router, address })
    }

    /// The address bound, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The routes, for tests without a socket.
    pub fn router(context: Context, token: TokenCheck) -> Router {
        routes::router(context, token)
    }

    /// Serves until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let fuse = FuseConfig::default().with_http1_header_timeout(HEADER_TIMEOUT);
        let server = Salvo::new(self.acceptor).max_connections(MAX_CONNECTIONS).fuse_config(fuse);
        let handle = server.handle();
        let stopping = tokio::spawn(async move {
            stop.cancelled().await;
            handle.stop_graceful(DRAIN_TIMEOUT);
        });
        server.serve(self.router).await;
        stopping.abort();
    }
}
