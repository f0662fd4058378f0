//! The agent's process: its tasks and its graceful stop.

use crate::answers::Answers;
use crate::bootstrap::Bootstrap;
use crate::dispatcher::Dispatcher;
use crate::entry_statuses::EntryStatuses;
use crate::health::Health;
use crate::keyed_calls::InFlightCalls;
use crate::meter::Meter;
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::suspects::Suspects;
use crate::tasks::Tasks;
use crate::{Context, Result, claim, metrics, orders, plan, session};
use body::Budget;
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

/// How many requests a target runs concurrently until its resource is read.
const DEFAULT_SLOTS: u32 = 16;

/// Maximum bytes of the requests that wait or run, a quarter of an agent's 256 MB. The queue itself is
/// bounded in work, which says nothing of the size of a call.
const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;

/// How long a stopping agent waits until its last frames are sent to entries.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// The time for a graceful stop is divided by this; the quotient is reserved for migrating streams.
const MIGRATION_SHARE: u32 = 4;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long the release of the claim may take. Without it a successor waits until the lease
/// expires.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

impl Daemon {
    /// Creates an agent with these external dependencies.
    pub fn new(context: Context) -> Self {
        Self { context }
    }

    /// Runs until the context's token is cancelled and the requests in flight are completed.
    pub async fn run(self) -> Result<()> {
        let Context { settings, log, backend, mut listener, dialler, stop } = self.context;
        let incarnation = rand::random();
        let follower = Follower::<Config>::new(log.clone(), plat::CONFIG_STREAM.into());
        let system = Follower::<System>::new(log.clone(), plat::SYSTEM_STREAM.into());
        let calls = Follower::<Calls>::new(log.clone(), plat::calls_stream(&settings.target));
        // The guard ends all tasks with this future, also when it is dropped.
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
            request_memory: Arc::new(Budget::new(MAX_REQUEST_BYTES)),
            meter: Meter::default(),
            health: Health::default(),
            answers: Answers::default(),
            entry_statuses: EntryStatuses::default(),
            config_health: follower.health(),
            system: system.state(),
            system_health: system.health(),
            calls: calls.state(),
            calls_health: calls.health(),
            appender: Appender::new(log, settings.name.clone()),
            held: watch::Sender::new(None),
            in_flight: InFlightCalls::default(),
            suspects: Suspects::default(),
            metrics: Metrics::new(),
            tasks: tasks.clone(),
            stop: stop.clone(),
            migrations: watch::Sender::new(0),
            sequence: AtomicU64::new(0),
        });
        let bootstrap = Bootstrap {
            shared: shared.clone(),
            peers: settings.peers.clone(),
            health: follower.health(),
            config: follower.peer_states(),
            system: system.peer_states(),
        };
        tasks.spawn(bootstrap.run());
        tasks.spawn(follower.run());
        tasks.spawn(system.run());
        tasks.spawn(calls.run());
        tasks.spawn(metrics::serve(shared.clone(), settings.metrics.to_string()));
        tasks.spawn(orders::run(shared.clone()));
        tasks.spawn_job(plan::run(shared.clone()));
        let release = CancellationToken::new();
        let claim_task = tasks.spawn(claim::maintain(shared.clone(), release.clone()));
        tasks.spawn(watch_health(shared.clone()));
        tasks.spawn(apply_resource(shared.clone()));
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                accepted = listener.accept() => match accepted {
                    Ok((pipe, peer)) => {
                        drop(tasks.spawn(
                            session::serve(shared.clone(), tasks.clone(), pipe, peer),
                        ));
                    }
                    // Possibly out of sockets. Ending the agent would fail the requests in flight.
                    Err(error) => {
                        log::error!(error:% = error; "accept-failed");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
            }
        }
        drain(&shared, &tasks, settings.drain).await;
        // A successor may take the claim only after everything done under it has ended.
        release.cancel();
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, claim_task).await;
        tokio::time::sleep(FLUSH_TIME).await;
        Ok(())
    }
}

/// Waits for running and waiting requests. Shortly before the time is over, the remaining streams
/// are migrated. Otherwise they would be cut off with the process, and their callers would wait
/// until their entries detect it.
async fn drain(shared: &Shared, tasks: &Tasks, time_limit: Duration) {
    let before_migration = time_limit - time_limit / MIGRATION_SHARE;
    if tokio::time::timeout(before_migration, tasks.wait_for_jobs()).await.is_ok() {
        return;
    }
    shared.dispatcher.reject_waiting();
    shared.migrations.send_modify(|count| *count += 1);
    if tokio::time::timeout(time_limit / MIGRATION_SHARE, tasks.wait_for_jobs()).await.is_err() {
        log::error!(running = shared.dispatcher.counts().1; "stop-cut-requests");
    }
}

async fn watch_health(shared: Arc<Shared>) {
    shared.health.watch(&shared.backend, &shared.target).await;
}

/// Sets the number of slots according to the Target resource and the engine's role.
async fn apply_resource(shared: Arc<Shared>) {
    let mut config = shared.config.clone();
    let mut health = shared.health.subscribe();
    loop {
        if let Some(target) = shared.resource() {
            let role = shared.health.role();
            shared.dispatcher.set_slots(policy::queue::slots(role, target.slots));
            if target.phase == Phase::Leaving {
                // Waiting requests start sooner at other targets. Running ones are completed here.
                shared.dispatcher.reject_waiting();
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
