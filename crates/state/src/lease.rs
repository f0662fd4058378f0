//! Holds a scope by lease: claims it when the holder's lease has expired, renews and releases it.

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

/// The settings of a lease.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseSettings {
    /// The stream to which claims and renewals are appended.
    pub stream: StreamName,
    /// The scope, such as `planner/sofia` or `target/engine-1`.
    pub scope: CompactString,
    /// The process's incarnation, chosen at its start.
    pub incarnation: u64,
    /// How long after its last renewal the holder may act under the claim.
    pub lease: Duration,
    /// The interval between renewals.
    pub renew: Duration,
    /// The holder's own lease is shorter by this, to allow for clocks that run at different speeds
    /// and for the time between the holder's check and its action.
    pub margin: Duration,
    /// The longest time that an action begun within the lease may last beyond it; a successor
    /// waits for this long after the lease has expired.
    pub grace_period: Duration,
    /// Claimants wait a random part of this, so that they do not all append at the same time.
    pub jitter: Duration,
    /// The additional wait of a claimant that is only a fallback.
    pub fallback_delay: Duration,
}

/// A claim that this process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldClaim {
    /// Offset of the claim; the holder's records refer to it.
    pub claim: Offset,
    /// The time until which the holder may act under it.
    pub until: Instant,
}

impl HeldClaim {
    /// Whether the holder may still act under the claim.
    pub fn is_valid(&self) -> bool {
        Instant::now() < self.until
    }
}

/// A scope that a task claims and renews; dropping it stops the task without a release.
pub struct Lease {
    held: watch::Receiver<Option<HeldClaim>>,
    stop: CancellationToken,
    task: Option<JoinHandle<()>>,
}

impl LeaseSettings {
    /// The default settings for a scope of a stream.
    ///
    /// A takeover takes the lease, the jitter, one append and one read: with a lease of 5 s, a
    /// jitter of 1 s and a log with a latency of 300 ms that is less than 7 s of the 10 s allowed.
    /// It costs two renewals every 3 s.
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

    /// Sets the lease, and the renewal interval and margin in proportion.
    ///
    /// Three renewals fit into a lease, so that one lost and one slow renewal do not end it.
    pub fn lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self.renew = lease * 3 / 10;
        self.margin = lease / 10;
        self
    }

    /// Sets the longest time that an action begun within the lease may last beyond it.
    pub fn grace_period(mut self, grace_period: Duration) -> Self {
        self.grace_period = grace_period;
        self
    }

    /// Sets the additional wait of a fallback claimant, and a jitter of at least this.
    pub fn fallback_delay(mut self, fallback_delay: Duration) -> Self {
        self.fallback_delay = fallback_delay;
        self.jitter = self.jitter.max(fallback_delay);
        self
    }

    /// Sets the longest random wait of a claimant.
    pub fn jitter(mut self, jitter: Duration) -> Self {
        self.jitter = jitter;
        self
    }
}

impl Lease {
    /// Spawns the task that claims and renews a scope in the appender's name.
    ///
    /// `state` is the folded state of the stream.
    pub fn spawn<F: Authority>(
        settings: LeaseSettings,
        appender: Appender,
        state: watch::Receiver<Arc<F>>,
    ) -> Self {
        let (sender, held) = watch::channel(None);
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let mut lease_task = LeaseTask { settings, appender, state, held: sender, last_seen: None };
        let task = tokio::spawn(async move {
            tokio::select! {
                () = lease_task.run() => {}
                () = stopped.cancelled() => {}
            }
            lease_task.release().await;
        });
        Self { held, stop, task: Some(task) }
    }

    /// The claim while it is held, otherwise `None`.
    pub fn held(&self) -> watch::Receiver<Option<HeldClaim>> {
        self.held.clone()
    }

    /// Releases the scope, so that the next holder need not wait until the lease expires.
    ///
    /// All actions under the claim must have stop_without_state before.
    pub async fn release(mut self) {
        self.stop.cancel();
        if let Some(task) = self.task.take() {
            // A task that panicked has nothing left to release.
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

/// The task that claims and renews a scope.
struct LeaseTask<F> {
    settings: LeaseSettings,
    appender: Appender,
    state: watch::Receiver<Arc<F>>,
    held: watch::Sender<Option<HeldClaim>>,
    /// The last record of another holder, and when to claim if none follows it.
    last_seen: Option<LastRecord>,
}

/// The last record of another holder that was read.
struct LastRecord {
    last: Option<Offset>,
    claim_at: Instant,
}

impl<F: Authority> LeaseTask<F> {
    async fn run(&mut self) {
        loop {
            match self.holder() {
                Some(holder) if self.is_own(&holder) => self.renew(holder.claim).await,
                other => self.wait_for_expiry(other.as_ref()).await,
            }
        }
    }

    fn holder(&self) -> Option<Holder> {
        self.state.borrow().holder(&self.settings.scope).cloned()
    }

    fn is_own(&self, holder: &Holder) -> bool {
        holder.is(self.appender.author(), self.settings.incarnation)
    }

    /// Renews this process's claim, then sleeps until the next renewal is due or the claim is lost.
    async fn renew(&mut self, claim: Offset) {
        self.last_seen = None;
        let sent = Instant::now();
        let renewal = self.renewal(claim, false);
        let until = sent + self.settings.lease - self.settings.margin;
        let confirmed = tokio::time::timeout_at(until, self.confirm(renewal, claim)).await;
        match confirmed {
            Ok(Ok(true)) => {
                self.held.send_replace(Some(HeldClaim { claim, until }));
            }
            Ok(Ok(false)) => return self.mark_lost(),
            Ok(Err(error)) => {
                let scope = self.settings.scope.as_str();
                log::warn!(scope, error:% = error; "lease-renewal-failed");
            }
            Err(_) => {}
        }
        let due = sent + self.settings.renew;
        self.sleep_until_due(claim, due.max(Instant::now() + RETRY_WAIT)).await;
    }

    /// Sleeps until `due`; returns earlier when the claim is lost or the lease expires.
    async fn sleep_until_due(&mut self, claim: Offset, due: Instant) {
        loop {
            let until = self.held.borrow().map(|held| held.until);
            let wake = until.map_or(due, |until| until.min(due));
            tokio::select! {
                () = tokio::time::sleep_until(wake) => {
                    if until.is_some_and(|until| until <= Instant::now()) {
                        self.mark_lost();
                    }
                    if wake == due {
                        return;
                    }
                }
                changed = self.state.changed() => {
                    if changed.is_err() {
                        return self.stop_without_state().await;
                    }
                    let holder = self.holder();
                    if holder.is_none_or(|holder| holder.claim != claim) {
                        return self.mark_lost();
                    }
                }
            }
        }
    }

    /// Appends a renewal and reads it back; returns whether the claim is still valid there.
    async fn confirm(&mut self, body: Body, claim: Offset) -> Result<bool> {
        let appended = self.appender.append(&self.settings.stream, body).await?;
        self.wait_applied(appended.offset).await;
        Ok(self.holder().is_some_and(|h| h.claim == claim && self.is_own(&h)))
    }

    /// Waits until the record at `offset` is applied.
    async fn wait_applied(&mut self, offset: Offset) {
        if self.state.wait_for(|state| state.end() > offset).await.is_err() {
            self.stop_without_state().await;
        }
    }

    /// The follower has stopped, so the state is never updated again: gives the claim up for good.
    async fn stop_without_state(&self) {
        self.mark_lost();
        std::future::pending().await
    }

    /// Waits for a record of the holder, or claims the scope once the holder's lease has expired.
    ///
    /// The lease is timed by the local clock from when the holder's last record was read here,
    /// which is later than when the holder sent it: by its own clock the holder has stopped by
    /// then.
    async fn wait_for_expiry(&mut self, holder: Option<&Holder>) {
        self.mark_lost();
        let last = holder.map(|holder| holder.last);
        let claim_at = match &self.last_seen {
            Some(seen) if seen.last == last => seen.claim_at,
            _ => {
                let delay = holder.map_or(Duration::ZERO, |h| h.lease) + self.claim_delay(holder);
                let claim_at = Instant::now() + delay;
                self.last_seen = Some(LastRecord { last, claim_at });
                claim_at
            }
        };
        tokio::select! {
            () = tokio::time::sleep_until(claim_at) => self.claim(last).await,
            changed = self.state.changed() => {
                if changed.is_err() {
                    self.stop_without_state().await;
                }
            }
        }
    }

    /// How long a claimant waits after the holder's lease has expired.
    fn claim_delay(&self, holder: Option<&Holder>) -> Duration {
        let grace = holder.map_or(Duration::ZERO, |_| self.settings.grace_period);
        grace + self.settings.fallback_delay + self.settings.jitter.mul_f64(rand::random())
    }

    /// Appends a claim; the order of the log decides whether it is valid.
    async fn claim(&mut self, supersedes: Option<Offset>) {
        self.last_seen = None;
        let claim = Body::Claim(Claim {
            scope: self.settings.scope.to_string(),
            supersedes,
            incarnation: self.settings.incarnation,
            lease_ms: u64::try_from(self.settings.lease.as_millis()).unwrap_or(u64::MAX),
        });
        match self.appender.append(&self.settings.stream, claim).await {
            Ok(appended) => self.wait_applied(appended.offset).await,
            Err(error @ (Error::Log(_) | Error::Unsettled { .. })) => {
                // A claim that appears later is handled like any other claim of this process.
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

    fn mark_lost(&self) {
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

/// The wait after a failed append.
const RETRY_WAIT: Duration = Duration::from_millis(500);
