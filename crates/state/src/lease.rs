//! Keeps a scope: claims it when its holder is silent, renews it, gives it up.

use crate::appender::Appender;
use crate::authority::Authority;
use crate::record::{Body, Claim, Renewal};
use crate::scopes::Holder;
use crate::{Error, Result};
use compact_str::CompactString;
use plat::{Offset, StreamName};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// How a scope is kept.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseSettings {
    /// The stream on which it is claimed.
    pub stream: StreamName,
    /// The scope, such as `planner/sofia` or `target/engine-1`.
    pub scope: CompactString,
    /// The process's incarnation, chosen at its start.
    pub incarnation: u64,
    /// How long after its last renewal the holder acts on it.
    pub lease: Duration,
    /// How often the holder renews.
    pub renew: Duration,
    /// Taken off the lease by the holder, for clocks that run at different speeds and for what
    /// lies between its check and its act.
    pub margin: Duration,
    /// The longest that an act begun within the lease may last beyond it; a successor waits it
    /// out too.
    pub grace_period: Duration,
    /// Claimants wait a random part of this, so that they do not all append at once.
    pub jitter: Duration,
    /// How much longer than others this claimant waits, for one that is only a reserve.
    pub fallback_delay: Duration,
}

/// A scope as it is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// Offset of the claim, which the holder's records name.
    pub claim: Offset,
    /// Until when the holder may act on it.
    pub until: Instant,
}

impl Held {
    /// Whether the holder may still act on it.
    pub fn is_valid(&self) -> bool {
        Instant::now() < self.until
    }
}

/// A scope that is kept by a task; dropping it stops the task without giving the scope up.
pub struct Lease {
    held: watch::Receiver<Option<Held>>,
    stop: CancellationToken,
    task: Option<JoinHandle<()>>,
}

impl LeaseSettings {
    /// The usual settings for a scope of a stream.
    ///
    /// A takeover takes the lease, the spread, one append and one read: with 5 s, 1 s and a log
    /// at 300 ms that is under 7 s of the 10 s allowed, for two renewals in 3 s.
    pub fn new(stream: StreamName, scope: CompactString, incarnation: u64) -> Self {
        let lease = Duration::from_secs(5);
        Self {
            stream,
            scope,
            incarnation,
            lease,
            renew: lease * 3 / 10,
            margin: lease / 10,
            grace_period: Duration::ZERO,
            jitter: Duration::from_secs(1),
            fallback_delay: Duration::ZERO,
        }
    }

    /// Sets the lease, and renewal and margin in proportion.
    ///
    /// Three renewals fit into a lease, so that one lost and one slow one do not end it.
    pub fn lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self.renew = lease * 3 / 10;
        self.margin = lease / 10;
        self
    }

    /// Sets the longest that an act begun within the lease may last beyond it.
    pub fn grace_period(mut self, longest: Duration) -> Self {
        self.grace_period = longest;
        self
    }

    /// Sets how much longer than others this claimant waits; reserves are spread as widely.
    pub fn fallback_delay(mut self, fallback_delay: Duration) -> Self {
        self.fallback_delay = fallback_delay;
        self.jitter = self.jitter.max(fallback_delay);
        self
    }

    /// Sets the time over which claimants are spread.
    pub fn jitter(mut self, jitter: Duration) -> Self {
        self.jitter = jitter;
        self
    }
}

impl Lease {
    /// Starts to keep a scope in the appender's name, as seen in the folded `state`.
    pub fn keep<F: Authority>(
        settings: LeaseSettings,
        appender: Appender,
        state: watch::Receiver<Arc<F>>,
    ) -> Self {
        let (sender, held) = watch::channel(None);
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let mut keeper = Keeper { settings, appender, state, held: sender, seen: None };
        let task = tokio::spawn(async move {
            tokio::select! {
                () = keeper.run() => {}
                () = stopped.cancelled() => {}
            }
            keeper.release().await;
        });
        Self { held, stop, task: Some(task) }
    }

    /// The scope as it is held; none while it isn't.
    pub fn held(&self) -> watch::Receiver<Option<Held>> {
        self.held.clone()
    }

    /// Gives the scope up, so that the next holder need not wait for the lease to lapse.
    ///
    /// The caller must have ended all that it does under the claim.
    pub async fn release(mut self) {
        self.stop.cancel();
        if let Some(task) = self.task.take() {
            // A task that panicked has nothing left to give up.
            let _ = task.await;
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

/// The task that keeps a scope.
struct Keeper<F> {
    settings: LeaseSettings,
    appender: Appender,
    state: watch::Receiver<Arc<F>>,
    held: watch::Sender<Option<Held>>,
    /// The last record of another holder, when it was first seen, and when to claim then.
    seen: Option<Seen>,
}

/// What was last seen of another holder.
struct Seen {
    last: Option<Offset>,
    claim_at: Instant,
}

impl<F: Authority> Keeper<F> {
    async fn run(&mut self) {
        loop {
            match self.holder() {
                Some(holder) if self.is_own(&holder) => self.renew(holder.claim).await,
                other => self.wait(other.as_ref()).await,
            }
        }
    }

    fn holder(&self) -> Option<Holder> {
        self.state.borrow().holder(&self.settings.scope).cloned()
    }

    fn is_own(&self, holder: &Holder) -> bool {
        holder.is(self.appender.author(), self.settings.incarnation)
    }

    /// Renews the own claim, then sleeps until the next renewal is due or the claim is lost.
    async fn renew(&mut self, claim: Offset) {
        self.seen = None;
        let sent = Instant::now();
        let renewal = self.renewal(claim, false);
        let until = sent + self.settings.lease - self.settings.margin;
        let confirmed = tokio::time::timeout_at(until, self.confirm(renewal, claim)).await;
        match confirmed {
            Ok(Ok(true)) => {
                self.held.send_replace(Some(Held { claim, until }));
            }
            Ok(Ok(false)) => return self.lose(),
            Ok(Err(error)) => {
                let scope = self.settings.scope.as_str();
                log::warn!(scope, error:% = error; "lease-renewal-failed");
            }
            Err(_) => {}
        }
        let due = sent + self.settings.renew;
        self.pause(claim, due.max(Instant::now() + RETRY_WAIT)).await;
    }

    /// Waits until `due`, but not beyond the end of the lease and not once the claim is lost.
    async fn pause(&mut self, claim: Offset, due: Instant) {
        loop {
            let until = self.held.borrow().map(|held| held.until);
            let wake = until.map_or(due, |until| until.min(due));
            tokio::select! {
                () = tokio::time::sleep_until(wake) => {
                    if until.is_some_and(|until| until <= Instant::now()) {
                        self.lose();
                    }
                    if wake == due {
                        return;
                    }
                }
                changed = self.state.changed() => {
                    if changed.is_err() {
                        return self.ended().await;
                    }
                    let holder = self.holder();
                    if holder.is_none_or(|holder| holder.claim != claim) {
                        return self.lose();
                    }
                }
            }
        }
    }

    /// Appends a renewal and reads it back; tells whether the claim still stands there.
    async fn confirm(&mut self, body: Body, claim: Offset) -> Result<bool> {
        let appended = self.appender.append(&self.settings.stream, body).await?;
        self.read_to(appended.offset).await;
        Ok(self.holder().is_some_and(|h| h.claim == claim && self.is_own(&h)))
    }

    /// Waits until the record at `offset` is applied.
    async fn read_to(&mut self, offset: Offset) {
        if self.state.wait_for(|state| state.end() > offset).await.is_err() {
            self.ended().await;
        }
    }

    /// The follower has ended, so nothing can be known any more.
    async fn ended(&self) {
        self.lose();
        std::future::pending().await
    }

    /// Waits for news of the holder, or claims once it has been silent for long enough.
    ///
    /// Silence is counted by the own clock from when its last record was read here, which is
    /// later than when the holder sent it: the holder has stopped by then by its own clock.
    async fn wait(&mut self, holder: Option<&Holder>) {
        self.lose();
        let last = holder.map(|holder| holder.last);
        let claim_at = match &self.seen {
            Some(seen) if seen.last == last => seen.claim_at,
            _ => {
                let silence = holder.map_or(Duration::ZERO, |h| h.lease) + self.waited(holder);
                let claim_at = Instant::now() + silence;
                self.seen = Some(Seen { last, claim_at });
                claim_at
            }
        };
        tokio::select! {
            () = tokio::time::sleep_until(claim_at) => self.claim(last).await,
            changed = self.state.changed() => {
                if changed.is_err() {
                    self.ended().await;
                }
            }
        }
    }

    /// What a claimant waits beyond the holder's lease.
    fn waited(&self, holder: Option<&Holder>) -> Duration {
        let longest = holder.map_or(Duration::ZERO, |_| self.settings.grace_period);
        longest + self.settings.fallback_delay + self.settings.jitter.mul_f64(rand::random())
    }

    /// Tries a claim; the log's order decides whether it counts.
    async fn claim(&mut self, supersedes: Option<Offset>) {
        self.seen = None;
        let claim = Body::Claim(Claim {
            scope: self.settings.scope.to_string(),
            supersedes,
            incarnation: self.settings.incarnation,
            lease_ms: u64::try_from(self.settings.lease.as_millis()).unwrap_or(u64::MAX),
        });
        match self.appender.append(&self.settings.stream, claim).await {
            Ok(appended) => self.read_to(appended.offset).await,
            Err(error @ (Error::Log(_) | Error::Unsettled { .. })) => {
                // A claim that appears later is met in the state as any other own claim is.
                let scope = self.settings.scope.as_str();
                log::warn!(scope, error:% = error; "lease-claim-failed");
                tokio::time::sleep(RETRY_WAIT).await;
            }
            Err(error) => {
                let scope = self.settings.scope.as_str();
                log::error!(scope, error:% = error; "lease-claim-failed");
                tokio::time::sleep(RETRY_WAIT).await;
            }
        }
    }

    fn lose(&self) {
        let lost = self.held.send_if_modified(|held| held.take().is_some());
        if lost {
            log::warn!(scope = self.settings.scope.as_str(); "lease-lost");
        }
    }

    async fn release(&mut self) {
        self.held.send_replace(None);
        let Some(holder) = self.holder().filter(|holder| self.is_own(holder)) else { return };
        let renewal = self.renewal(holder.claim, true);
        if let Err(error) = self.appender.append(&self.settings.stream, renewal).await {
            let scope = self.settings.scope.as_str();
            log::warn!(scope, error:% = error; "lease-release-failed");
        }
    }

    fn renewal(&self, claim: Offset, release: bool) -> Body {
        let scope = self.settings.scope.to_string();
        Body::Renewal(Renewal { scope, claim, release })
    }
}

/// How long to wait after a failed append.
const RETRY_WAIT: Duration = Duration::from_millis(500);
