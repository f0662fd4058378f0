//! Bills what customers have used, window after window: the task of one entry at a time, the lease
//! holder.
//!
//! The holder commits the counts of a window to a stream of the log before it reports them. Its
//! successor finds there what may have been reported and reports exactly that, because a report
//! without a response may still be carried out later. The record is also the lease, see
//! [`policy::lease`], and its offset is the fencing token. Without faults a window costs one record
//! and one report; the other entries receive the progress by datagram and read the stream only when
//! a bill is overdue.
//!
//! **A log restored from an older copy** has lost bills that may have been reported. Another count
//! for such a window would contradict them, so windows that ended before the restore are billed
//! only by an entry that still has their counts; the others are skipped. The same holds for records
//! that have expired unread. An entry that has just become one of those that may bill knows of no
//! window that was billed: it doesn't take that for none, unless the stream shows it.

mod record;

use crate::cluster::clock::since_boot;
use crate::cluster::messages::{BillingProgress, Payload};
use crate::cluster::usage;
use crate::duty::metering;
use crate::shared::Shared;
use async_trait::async_trait;
use plat::epoch::{Epoch, epoch, index};
use plat::{Entry, KeyedLog, Offset};
use policy::lease::{self, Lease};
use policy::usage::{Counts, Incarnation, WindowIndex};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The stream that holds bills.
pub const STREAM: &str = "lapismast.usage";

/// What each customer used in a window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bill {
    /// The window.
    pub window: WindowIndex,
    /// Requests that began to run in it, by customer.
    pub counts: Counts,
}

/// The outcome of a report to which the platform responded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The platform has accepted it.
    Accepted,
    /// A report with a higher fencing token has been accepted.
    Superseded,
}

/// Where usage is reported.
#[async_trait]
pub trait UsageReporter: Send + Sync {
    /// Reports what customers used, as the node that holds the lease with this fencing token. May
    /// be repeated.
    async fn report(
        &self,
        holder: &str,
        fencing_token: u64,
        bill: &Bill,
    ) -> plat::Result<ReportOutcome>;
}

/// Settings of billing.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The length of a window.
    pub window: Duration,
    /// The grace period of the lease: how long after the holder may no longer act another entry may
    /// take over, see [`lease::Settings::grace`].
    pub lease: Duration,
}

/// How long after the end of a window the counts of the other entries are waited for.
const SETTLE_DELAY: Duration = Duration::from_millis(900);

/// How often to check which windows are due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The pause after a failed call.
const ERROR_BACKOFF: Duration = Duration::from_millis(300);

/// The most windows in one record: after an outage many are due.
const MAX_BILLS_PER_RECORD: u64 = 8;

/// The most records read at once.
const MAX_RECORDS_PER_READ: usize = 256;

/// Bills for as long as the process lives.
pub async fn run(
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    reporter: Arc<dyn UsageReporter>,
    settings: Settings,
    incarnation: Incarnation,
) {
    let lease_settings = lease::Settings {
        duration: Duration::from_secs(3),
        grace: settings.lease,
        overdue: Duration::from_millis(1_600),
        stagger: Duration::from_millis(600),
    };
    let may_lack_records = !shared.settings.first_start;
    let mut lease = Lease::default();
    if may_lack_records {
        // A restored log may lack the record of a holder that goes on billing. The others know of
        // it, and one of them takes over if it is gone.
        lease.observe_record(0, since_boot());
    }
    let mut biller = Biller {
        shared,
        log,
        reporter,
        incarnation,
        settings: lease_settings,
        lease,
        stream_end: 0,
        next_window: None,
        unreported: BTreeMap::new(),
        append_started: None,
        committed_epoch: 0,
        may_lack_records,
        has_expired: false,
    };
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        if let Err(error) = biller.tick().await {
            log::info!(target: "billing", error:% = error; "bill put off");
            tokio::time::sleep(ERROR_BACKOFF).await;
        }
    }
}

struct Biller {
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    reporter: Arc<dyn UsageReporter>,
    incarnation: Incarnation,
    settings: lease::Settings,
    lease: Lease,
    /// The end of the stream, as last observed.
    stream_end: Offset,
    /// The first window that is not committed, as last observed.
    next_window: Option<WindowIndex>,
    /// Committed windows that the platform may not have accepted yet.
    unreported: BTreeMap<WindowIndex, Counts>,
    /// When the last append was started that may still succeed.
    append_started: Option<Duration>,
    /// The epoch of the log in which the last record was written.
    committed_epoch: Epoch,
    /// Whether a restored log may lack records that this entry never read: false from the first start
    /// of the system until the log is restored.
    may_lack_records: bool,
    /// Whether records have expired unread.
    has_expired: bool,
}

impl Biller {
    async fn tick(&mut self) -> plat::Result<()> {
        let billers = usage::billers(&self.shared.peers.members());
        // Of the members only this entry has no address.
        let rank = billers.iter().position(|member| member.address.is_none());
        let Some(rank) = rank.and_then(|rank| u32::try_from(rank).ok()) else { return Ok(()) };
        if self.shared.stopping().is_some() {
            return Ok(());
        }
        self.observe_peers();
        self.observe_restore();
        self.report_committed().await?;
        let now = self.shared.usage.clock.now();
        let Some(overdue) = self.overdue(now) else { return Ok(()) };
        if !self.lease.may_claim(&self.settings, rank, overdue, since_boot()) {
            return Ok(());
        }
        if !self.lease.is_held() || self.append_started.is_some() {
            // Progress received by datagram does not include the counts that were committed.
            self.read_records().await?;
            let overdue = self.overdue(now).unwrap_or_default();
            if overdue.is_zero()
                || !self.lease.may_claim(&self.settings, rank, overdue, since_boot())
            {
                return Ok(());
            }
        }
        self.commit_due(now).await?;
        self.report_committed().await
    }

    /// For how long the next window has been ready to be billed; `None` if it is not.
    fn overdue(&self, now: Duration) -> Option<Duration> {
        let usage = &self.shared.usage;
        let next_window =
            self.next_window.or_else(|| usage.first_billable(usage.window_at(now)?))?;
        now.checked_sub(usage.window_end(next_window) + SETTLE_DELAY)
    }

    /// Observes the billing progress that another entry has published.
    fn observe_peers(&mut self) {
        let Some((progress, received_at)) = self.shared.usage.billing_progress() else { return };
        self.next_window = self.next_window.max(Some(progress.next_window));
        if progress.stream_end > self.stream_end {
            self.lease.observe_record(progress.stream_end, received_at);
        }
    }

    /// Notes that the log was restored: it may lack the record of a holder that goes on billing.
    fn observe_restore(&mut self) {
        if !self.may_lack_records && self.shared.tail.was_restored() {
            self.may_lack_records = true;
            self.lease.await_holder(since_boot());
        }
    }

    /// Reads the bills that are committed.
    async fn read_records(&mut self) -> plat::Result<()> {
        let batch = match self
            .log
            .read(STREAM, self.stream_end, MAX_RECORDS_PER_READ, Duration::ZERO)
            .await
        {
            Err(plat::Error::Gone { oldest, .. }) if epoch(oldest) > epoch(self.stream_end) => {
                log::warn!(target: "store", stream = STREAM, epoch = epoch(oldest),
                    read = index(self.stream_end); "stream is read anew");
                (self.stream_end, self.append_started) = (oldest, None);
                self.lease.relinquish(oldest, since_boot());
                return Ok(());
            }
            Err(plat::Error::Gone { oldest, .. }) => {
                log::warn!(target: "billing", oldest; "bills expired before they were read");
                (self.stream_end, self.has_expired) = (oldest, true);
                return Ok(());
            }
            batch => batch?,
        };
        self.stream_end = self.stream_end.max(batch.oldest);
        for Entry { offset, bytes } in batch.entries {
            self.stream_end = offset + 1;
            match record::decode(&bytes) {
                Ok(record) => self.apply(record, offset),
                Err(error) => log::warn!(target: "billing", offset, error:% = error;
                    "record not readable, left out"),
            }
        }
        self.append_started = None;
        // The streams that this entry follows may not have shown it yet.
        self.shared.observe_epoch(epoch(self.stream_end), "bills");
        self.observe_restore();
        let is_restored = self.committed_epoch < epoch(self.stream_end);
        let lacks_records = is_restored && self.may_lack_records || self.has_expired;
        let is_unknown = self.next_window.is_none() && lacks_records;
        if is_unknown || (is_restored && self.next_window.is_some()) {
            self.skip_lost_windows();
        }
        self.has_expired = false;
        Ok(())
    }

    /// Skips windows that have ended and whose bills may have been lost: none was committed yet since
    /// the log was restored from an older copy, or records have expired unread.
    fn skip_lost_windows(&mut self) {
        let usage = &self.shared.usage;
        let current = usage.window_at(usage.clock.now());
        if self.next_window < current {
            log::warn!(target: "billing", next:? = self.next_window, after:? = current;
                "windows left out: their bills may be lost");
            self.next_window = current;
        }
        self.committed_epoch = epoch(self.stream_end);
    }

    fn apply(&mut self, record: record::Record, offset: Offset) {
        let record::Record { incarnation, reported_before, epoch, bills } = record;
        self.committed_epoch = self.committed_epoch.max(epoch);
        match self.append_started.filter(|_| incarnation == self.incarnation) {
            Some(began) => self.lease.renew(&self.settings, offset, began),
            None => self.lease.observe_record(offset + 1, since_boot()),
        }
        for Bill { window, counts } in bills {
            self.next_window = self.next_window.max(Some(window + 1));
            self.unreported.entry(window).or_insert(counts);
        }
        self.unreported.retain(|window, _| *window >= reported_before);
    }

    /// Commits the windows that are due.
    async fn commit_due(&mut self, now: Duration) -> plat::Result<()> {
        let usage = &self.shared.usage;
        let first = usage.window_at(now).and_then(|current| usage.first_billable(current));
        let Some(first_due) = self.next_window.or(first) else { return Ok(()) };
        let is_due = |window: &WindowIndex| usage.window_end(*window) + SETTLE_DELAY <= now;
        let windows =
            (first_due..first_due.saturating_add(MAX_BILLS_PER_RECORD)).take_while(is_due);
        let bills: Vec<_> =
            windows.map(|window| Bill { window, counts: usage.totals(window) }).collect();
        let epoch = epoch(self.stream_end);
        let Some(following) = bills.last().map(|bill| bill.window + 1) else { return Ok(()) };
        let reported_before = self.unreported.keys().next().copied().unwrap_or(first_due);
        // Unreported bills may have been lost with the log's records, so they are written again.
        let unreported = self
            .unreported
            .iter()
            .map(|(window, counts)| Bill { window: *window, counts: counts.clone() });
        let bills = unreported.chain(bills).collect();
        let record =
            record::Record { incarnation: self.incarnation, reported_before, epoch, bills };
        let began = since_boot();
        self.append_started = Some(began);
        let offset =
            match self.log.append_at(STREAM, self.stream_end, record::encode(&record)).await {
                // The record that stands there instead is read before anything else is done.
                Err(error @ (plat::Error::Conflict { .. } | plat::Error::Unsettled { .. })) => {
                    return Err(error);
                }
                Err(error) => {
                    self.append_started = None;
                    return Err(error);
                }
                Ok(offset) => offset,
            };
        self.append_started = None;
        self.stream_end = offset + 1;
        self.lease.renew(&self.settings, offset, began);
        self.committed_epoch = epoch;
        for Bill { window, counts } in record.bills {
            self.unreported.entry(window).or_insert(counts);
        }
        self.next_window = Some(following);
        log::info!(target: "billing", offset, next = following; "bill fixed");
        let progress = BillingProgress { stream_end: self.stream_end, next_window: following };
        metering::publish(&self.shared, &Payload::BillingProgress(progress));
        Ok(())
    }

    /// Reports the committed bills, the oldest first, for as long as this entry holds the lease.
    async fn report_committed(&mut self) -> plat::Result<()> {
        while let Some(fencing_token) = self.lease.fencing_token(since_boot()) {
            let Some((window, counts)) = self.unreported.first_key_value() else { return Ok(()) };
            let bill = Bill { window: *window, counts: counts.clone() };
            match self.reporter.report(&self.shared.settings.name, fencing_token, &bill).await? {
                ReportOutcome::Accepted => {
                    log::info!(target: "billing", window = bill.window, fence = fencing_token;
                        "usage reported");
                    self.unreported.remove(&bill.window);
                }
                ReportOutcome::Superseded => {
                    log::warn!(target: "billing", fence = fencing_token;
                        "another entry has the duty");
                    self.lease.relinquish(self.stream_end, since_boot());
                }
            }
        }
        Ok(())
    }
}
