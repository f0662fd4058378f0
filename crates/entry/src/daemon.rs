//! The entry's process: its tasks and how it stops.

use crate::peers::Peers;
use crate::routes;
use crate::{Context, Error, Result};
use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use state::{Config, Follower};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use wire::Key;

/// An entry without a socket for callers; tests hand requests to its router.
pub struct Entry {
    shared: Arc<Shared>,
    following: JoinHandle<()>,
}

/// The entry of one VM, bound to its address but not yet running.
pub struct Daemon {
    context: Context,
    acceptor: TcpAcceptor,
    address: SocketAddr,
}

/// What all requests of an entry share.
pub(crate) struct Shared {
    pub(crate) config: watch::Receiver<Arc<Config>>,
    pub(crate) peers: Peers,
}

impl Entry {
    /// Starts following the log; connections to agents are opened when first needed.
    pub fn start(context: Context) -> Self {
        let Context { settings, log, dialler, .. } = context;
        let follower = Follower::<Config>::new(log, plat::CONFIG_STREAM.into());
        let config = follower.state();
        let following = tokio::spawn(follower.run());
        let key = Key::new(settings.peer_key.as_bytes().to_vec());
        let peers = Peers::new(dialler, key, settings.name.clone());
        Self { shared: Arc::new(Shared { config, peers }), following }
    }

    /// The routes for callers.
    pub fn router(&self) -> Router {
        routes::router(self.shared.clone())
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.following.abort();
    }
}

impl Daemon {
    /// Binds the address for callers.
    pub async fn bind(context: Context) -> Result<Self> {
        let address = context.settings.callers.clone();
        let listen = |source| Error::Listen { address: address.clone(), source };
        let socket = tokio::net::TcpListener::bind(address.as_str()).await.map_err(listen)?;
        let bound = socket.local_addr().map_err(listen)?;
        let acceptor = socket.try_into().map_err(listen)?;
        Ok(Self { context, acceptor, address: bound })
    }

    /// The address for callers, really bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs until the context's token is cancelled and the requests in flight are answered.
    pub async fn run(self) -> Result<()> {
        let stop = self.context.stop.clone();
        let drain = self.context.settings.drain;
        let entry = Entry::start(self.context);
        let server = Server::new(self.acceptor);
        let handle = server.handle();
        let stopping = tokio::spawn(async move {
            stop.cancelled().await;
            handle.stop_graceful(drain);
        });
        server.serve(entry.router()).await;
        stopping.abort();
        Ok(())
    }
}
