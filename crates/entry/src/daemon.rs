//! The entry's tasks, their start and their graceful stop.

use crate::bootstrap::Bootstrap;
use crate::capacity::Capacity;
use crate::decisions::Decisions;
use crate::explain::{Explanation, Explanations};
use crate::members::Members;
use crate::metrics::Metrics;
use crate::peers::{PeerContext, Peers};
use crate::processes::ProcessStatus;
use crate::random::Random;
use crate::routes;
use crate::view::ConfigView;
use crate::{Context, Error, Result, maintenance};
use compact_str::CompactString;
use conf::Name;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::{Router, Server};
use state::{Config, Follower, Health, System};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use wire::Key;

/// An entry without a listening socket for callers; tests pass requests to its router.
pub struct Entry {
    shared: Arc<Shared>,
    config: watch::Receiver<Arc<Config>>,
    _tasks: JoinSet<()>,
}

/// An entry whose socket is bound but that does not serve callers yet.
pub struct Daemon {
    entry: Arc<Entry>,
    acceptor: TcpAcceptor,
    address: SocketAddr,
    drain: Duration,
    stop: CancellationToken,
}

/// State shared by all requests of an entry.
pub(crate) struct Shared {
    pub(crate) domain: CompactString,
    pub(crate) view: watch::Receiver<Arc<ConfigView>>,
    pub(crate) peers: Peers,
    pub(crate) members: Arc<Members>,
    pub(crate) capacity: Arc<Capacity>,
    pub(crate) decisions: Arc<Decisions>,
    pub(crate) system: watch::Receiver<Arc<System>>,
    pub(crate) health: watch::Receiver<Health>,
    pub(crate) random: Arc<Random>,
    pub(crate) explanations: Explanations,
    pub(crate) metrics: Metrics,
    pub(crate) stop: CancellationToken,
}

impl Entry {
    /// Starts to follow the log and to connect to agents.
    pub fn start(context: Context) -> Self {
        let Context { settings, log, vms, dialler, seed, stop } = context;
        let follower = Follower::<Config>::new(log.clone(), plat::CONFIG_STREAM.into());
        let system = Follower::<System>::new(log, plat::SYSTEM_STREAM.into());
        let (config, health) = (follower.state(), follower.health());
        let offer_senders = (follower.peer_states(), system.peer_states());
        let random = Arc::new(Random::new(seed));
        let key = Key::new(settings.peer_key.as_bytes().to_vec());
        let decisions = Arc::new(Decisions::new(random.clone()));
        let name = settings.name.clone();
        let peer_context = PeerContext::new(dialler, key, name, random.clone(), decisions.clone());
        let (views, view) = watch::channel(Arc::new(ConfigView::default()));
        let shared = Arc::new(Shared {
            domain: settings.domain.clone(),
            view,
            peers: Peers::new(Arc::new(peer_context)),
            members: Arc::default(),
            capacity: Arc::default(),
            decisions,
            system: system.state(),
            health: health.clone(),
            random,
            explanations: Explanations::default(),
            metrics: Metrics::new(),
            stop,
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(follower.run());
        tasks.spawn(system.run());
        tasks.spawn(maintenance::follow_config(shared.clone(), config.clone(), views));
        tasks.spawn(maintenance::run_periodic(shared.clone()));
        let bootstrap = Bootstrap {
            shared: shared.clone(),
            peers: settings.peers.clone(),
            health,
            config: offer_senders.0,
            system: offer_senders.1,
        };
        tasks.spawn(bootstrap.run());
        tasks.spawn(shared.members.clone().run(vms));
        Self { shared, config, _tasks: tasks }
    }

    /// Returns the routes for callers.
    pub fn router(&self) -> Router {
        routes::router(self.shared.clone())
    }

    /// Returns which targets a recent request was sent to and why, if this entry received it, with
    /// the reports of the targets' agents.
    pub async fn explain(&self, request: &str) -> Option<Explanation> {
        let mut explanation = self.shared.explanations.find(request)?;
        explanation.agents = self.shared.collect_reports(request, &explanation.targets).await;
        Some(explanation)
    }

    /// Returns the configuration as applied by this entry.
    pub fn config(&self) -> watch::Receiver<Arc<Config>> {
        self.config.clone()
    }

    /// Returns the claims, orders and suspects as applied by this entry.
    pub fn system(&self) -> watch::Receiver<Arc<System>> {
        self.shared.system.clone()
    }

    /// Returns the last reported status of the agents of all configured targets, `None` without a
    /// report, and of the entries that were recently seen.
    pub fn processes(&self) -> (Vec<(Name, Option<ProcessStatus>)>, Vec<ProcessStatus>) {
        let context = self.shared.peers.context();
        let view = self.shared.view.borrow().clone();
        let agents = view.targets().map(|target| {
            let status = context.processes.agent(&target.name, &target.spec.agent);
            (target.name.clone(), status)
        });
        let entries = context.processes.recent_entries().into_iter();
        (agents.collect(), entries.filter(|entry| entry.name != context.name).collect())
    }

    /// Connects to the agents outside the entry's subset, so that they report their status too. An
    /// agent that is already connected causes no traffic.
    pub async fn connect_all_agents(&self, timeout: Duration) {
        let view = self.shared.view.borrow().clone();
        let connections = view.targets().map(|target| target.peer.session(timeout));
        futures_util::future::join_all(connections).await;
    }

    /// Returns the metrics in Prometheus' text format.
    pub fn metrics(&self) -> String {
        self.shared.metrics_text()
    }
}

impl Shared {
    /// Returns the metrics in Prometheus' text format.
    pub(crate) fn metrics_text(&self) -> String {
        let health = self.health.borrow().clone();
        self.metrics.log_lag.set(i64::try_from(health.lag()).unwrap_or(i64::MAX));
        let age =
            health.complete_at.map(|complete_at| i64::try_from(complete_at.elapsed().as_secs()));
        self.metrics.log_age.set(age.map_or(-1, |age| age.unwrap_or(i64::MAX)));
        self.metrics.open.set(i64::try_from(self.capacity.open_requests()).unwrap_or(i64::MAX));
        self.metrics.text()
    }
}

/// Maximum number of connections from callers, each of a few KB.
const MAX_CONNECTIONS: usize = 8_192;

/// Maximum time for a caller to send the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum pause of a caller in the middle of a body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a read by the caller after which its connection is closed, which also releases the
/// rest of the response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum total size of a request's headers, in bytes.
const MAX_HEADER_BYTES: usize = 64 * 1024;

/// Time between reporting not ready and refusing connections, in which load balancers stop sending
/// requests.
const UNREADY_PERIOD: Duration = Duration::from_secs(1);

impl Daemon {
    /// Binds the address for callers and starts to follow the log.
    pub async fn bind(context: Context) -> Result<Self> {
        let address = context.settings.callers.clone();
        let listen = |source| Error::Listen { address: address.clone(), source };
        let socket = wire::listen(&address).await.map_err(listen)?;
        let bound = socket.local_addr().map_err(listen)?;
        let acceptor = socket.try_into().map_err(listen)?;
        let (drain, stop) = (context.settings.drain, context.stop.clone());
        let entry = Arc::new(Entry::start(context));
        Ok(Self { entry, acceptor, address: bound, drain, stop })
    }

    /// Returns the entry, for the administration API.
    pub fn entry(&self) -> &Arc<Entry> {
        &self.entry
    }

    /// Returns the bound address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs until the context's token is cancelled and the requests in progress have ended or the
    /// drain time has passed.
    pub async fn run(self) -> Result<()> {
        let Self { entry, acceptor, drain, stop, .. } = self;
        let fuse = FuseConfig::default()
            .with_http1_header_timeout(HEADER_TIMEOUT)
            .with_request_body_timeout(BODY_IDLE_TIMEOUT)
            .with_write_stall_timeout(WRITE_TIMEOUT);
        let mut server = Server::new(acceptor).max_connections(MAX_CONNECTIONS).fuse_config(fuse);
        server.http1_mut().max_buf_size(MAX_HEADER_BYTES);
        let handle = server.handle();
        let stopping = tokio::spawn(async move {
            stop.cancelled().await;
            tokio::time::sleep(UNREADY_PERIOD).await;
            handle.stop_graceful(drain);
        });
        server.serve(entry.router()).await;
        stopping.abort();
        Ok(())
    }
}
