//! The agent's process: its tasks and how it stops.

use crate::answers::Answers;
use crate::bootstrap::Bootstrap;
use crate::calls::Flights;
use crate::dispatcher::Dispatcher;
use crate::health::Health;
use crate::meter::Meter;
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::sightings::Sightings;
use crate::suspects::Suspects;
use crate::tasks::Tasks;
use crate::{Context, Result, claim, metrics, orders, plan, session};
use conf::resource::Phase;
use state::{Appender, Calls, Config, Follower, System};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wire::Key;

/// The agent of one target.
pub struct Daemon {
    context: Context,
}

/// Requests that a target runs side by side until its resource says otherwise.
const DEFAULT_SLOTS: u32 = 16;

/// How long a stopping agent gives what it has written to leave for its entries.
const FLUSH: Duration = Duration::from_millis(200);

/// The part of the time for a stop, one in this many, that is left for streams to move.
const MOVE_SHARE: u32 = 4;

/// How long to wait after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// How long giving up the claim may take; without it a successor waits the lease out.
const RELEASE: Duration = Duration::from_secs(5);

impl Daemon {
    /// Makes an agent that sees the world through `context`.
    pub fn new(context: Context) -> Self {
        Self { context }
    }

    /// Runs until the context's token is cancelled and the requests in flight are answered.
    pub async fn run(self) -> Result<()> {
        let Context { settings, log, backend, mut listener, dialler, stop } = self.context;
        let incarnation = rand::random();
        let follower = Follower::<Config>::new(log.clone(), plat::CONFIG_STREAM.into());
        let system = Follower::<System>::new(log.clone(), plat::SYSTEM_STREAM.into());
        let calls = Follower::<Calls>::new(log.clone(), plat::calls_stream(&settings.target));
        // All tasks end with this future, also when it is dropped.
        let (tasks, _closing) = Tasks::new();
        let shared = Arc::new(Shared {
            name: settings.name.clone(),
            target: settings.target.clone(),
            incarnation,
            key: Key::new(settings.peer_key.as_bytes().to_vec()),
            backend,
            dialler,
            config: follower.state(),
            dispatcher: Dispatcher::new(DEFAULT_SLOTS),
            meter: Meter::default(),
            health: Health::default(),
            answers: Answers::default(),
            sightings: Sightings::default(),
            config_health: follower.health(),
            system: system.state(),
            system_health: system.health(),
            calls: calls.state(),
            calls_health: calls.health(),
            appender: Appender::new(log, settings.name.clone()),
            held: watch::Sender::new(None),
            flights: Flights::default(),
            suspects: Suspects::default(),
            metrics: Metrics::new(),
            tasks: tasks.clone(),
            stop: stop.clone(),
            moves: watch::Sender::new(0),
            sequence: AtomicU64::new(0),
        });
        let bootstrap = Bootstrap {
            shared: shared.clone(),
            peers: settings.peers.clone(),
            health: follower.health(),
            config: follower.offers(),
            system: system.offers(),
        };
        tasks.duty(bootstrap.run());
        tasks.duty(follower.run());
        tasks.duty(system.run());
        tasks.duty(calls.run());
        tasks.duty(metrics::serve(shared.clone(), settings.metrics.to_string()));
        tasks.duty(orders::carry_out(shared.clone()));
        tasks.job(plan::stand_ready(shared.clone()));
        let release = CancellationToken::new();
        let claiming = tasks.duty(claim::keep(shared.clone(), release.clone()));
        tasks.duty(watch_health(shared.clone()));
        tasks.duty(follow_resource(shared.clone()));
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                accepted = listener.accept() => match accepted {
                    Ok((pipe, peer)) => {
                        drop(tasks.duty(session::serve(shared.clone(), tasks.clone(), pipe, peer)));
                    }
                    // Out of sockets, perhaps; the requests in flight are worth more than to end.
                    Err(error) => {
                        log::error!(error:% = error; "accept-failed");
                        tokio::time::sleep(ACCEPT_RETRY).await;
                    }
                },
            }
        }
        finish(&shared, &tasks, settings.drain).await;
        // Only now, when nothing is done under the claim any more, may a successor take it.
        release.cancel();
        let _ = tokio::time::timeout(RELEASE, claiming).await;
        tokio::time::sleep(FLUSH).await;
        Ok(())
    }
}

/// Waits for what runs and what waits. Streams that would outlast the time allowed are moved
/// before it is over: without this the process would end under them, and their callers would wait
/// for their entries to notice.
async fn finish(shared: &Shared, tasks: &Tasks, drain: Duration) {
    let patience = drain - drain / MOVE_SHARE;
    if tokio::time::timeout(patience, tasks.finish()).await.is_ok() {
        return;
    }
    shared.dispatcher.move_waiting();
    shared.moves.send_modify(|count| *count += 1);
    if tokio::time::timeout(drain / MOVE_SHARE, tasks.finish()).await.is_err() {
        log::error!(running = shared.dispatcher.counts().1; "stop-cut-requests");
    }
}

async fn watch_health(shared: Arc<Shared>) {
    shared.health.watch(&shared.backend, &shared.target).await;
}

/// Keeps the number of slots as the Target resource and the engine's role say.
async fn follow_resource(shared: Arc<Shared>) {
    let mut config = shared.config.clone();
    let mut health = shared.health.subscribe();
    loop {
        if let Some(target) = shared.resource() {
            let role = shared.health.role();
            shared.dispatcher.set_slots(policy::queue::slots(role, target.slots));
            if target.phase == Phase::Leaving {
                // What waits can start elsewhere sooner; what runs is finished here.
                shared.dispatcher.move_waiting();
            }
        }
        let changed = tokio::select! {
            changed = config.changed() => changed,
            changed = health.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}
