//! Bills what customers have used, window after window: the duty of one entry at a time.
//!
//! The holder fixes the counts of a window in a stream of the log before it reports them. Whoever follows
//! it finds there what may have been reported, and reports exactly that: a report without an answer may
//! still be carried out later. The record is the lease as well, see [`policy::lease`], and its offset
//! the fence. In a calm time a window costs one record and one report; the others hear of the record by
//! datagram, and read the stream only when a bill is overdue.
//!
//! **A log that comes back older** has lost bills that may have been reported. Another count for such a
//! window would contradict them, so windows that ended before are billed only by who still knows their
//! counts; for the others they are missed.

mod record;

use crate::cluster::clock::since_boot;
use crate::cluster::messages::{BillingProgress, Payload};
use crate::cluster::usage;
use crate::duty::metering;
use crate::shared::Shared;
use async_trait::async_trait;
use plat::epoch::{Epoch, epoch, place};
use plat::{Entry, KeyedLog, Offset};
use policy::lease::{self, Lease};
use policy::usage::{Counts, Incarnation, WindowIndex};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The stream.
pub const STREAM: &str = "lapismast.usage";

/// What each customer used in a window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bill {
    /// The window.
    pub window: WindowIndex,
    /// Requests that began to run in it, by customer.
    pub counts: Counts,
}

/// What became of a report that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It is known.
    Accepted,
    /// Somebody with a higher fence has reported.
    Superseded,
}

/// Where usage is reported.
#[async_trait]
pub trait UsageReporter: Send + Sync {
    /// Reports what customers used, as the node that has the duty under this fence. May be repeated.
    async fn report(&self, holder: &str, fence: u64, bill: &Bill) -> plat::Result<ReportOutcome>;
}

/// Settings of the duty.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The length of a window.
    pub window: Duration,
    /// For how long a holder has to have been silent before another may act.
    pub lease: Duration,
}

/// After the end of a window the others' counts are waited for so long.
const SETTLED: Duration = Duration::from_millis(900);

/// How often it is looked at what is due.
const TICK: Duration = Duration::from_millis(100);

/// The pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(300);

/// Windows in one record at most: after an outage many are due.
const MAX_BILLS: u64 = 8;

/// Records read at once at most.
const MAX_READ: usize = 256;

/// Bills as long as the process lives.
pub async fn run(
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    meter: Arc<dyn UsageReporter>,
    settings: Settings,
    life: Incarnation,
) {
    let tenure = lease::Settings {
        duration: Duration::from_secs(3),
        grace: settings.lease,
        overdue: Duration::from_millis(1_600),
        stagger: Duration::from_millis(600),
    };
    let mut biller = Biller {
        shared,
        log,
        meter,
        life,
        settings: tenure,
        tenure: Lease::default(),
        end: 0,
        next: None,
        open: BTreeMap::new(),
        appending: None,
        fixed_in: 0,
    };
    loop {
        tokio::time::sleep(TICK).await;
        if let Err(error) = biller.tick().await {
            log::info!(target: "billing", error:% = error; "bill put off");
            tokio::time::sleep(PAUSE).await;
        }
    }
}

struct Biller {
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    meter: Arc<dyn UsageReporter>,
    life: Incarnation,
    settings: lease::Settings,
    tenure: Lease,
    /// The end of the stream, as far as it is known.
    end: Offset,
    /// The first window that is not fixed, as far as it is known.
    next: Option<WindowIndex>,
    /// Windows that are fixed and may not be known to the platform.
    open: BTreeMap<WindowIndex, Counts>,
    /// When the last append began that may still succeed.
    appending: Option<Duration>,
    /// The epoch of the log in which the last record was written.
    fixed_in: Epoch,
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
        self.hear();
        self.report().await?;
        let present = self.shared.usage.clock.now();
        let Some(due) = self.due(present) else { return Ok(()) };
        if !self.tenure.may_claim(&self.settings, rank, due, since_boot()) {
            return Ok(());
        }
        if !self.tenure.is_held() || self.appending.is_some() {
            // What was heard by datagram says nothing of what is fixed.
            self.read().await?;
            let due = self.due(present).unwrap_or_default();
            if due.is_zero() || !self.tenure.may_claim(&self.settings, rank, due, since_boot()) {
                return Ok(());
            }
        }
        self.fix(present).await?;
        self.report().await
    }

    /// For how long the next window has been ready to be billed; `None` if it is not.
    fn due(&self, present: Duration) -> Option<Duration> {
        let usage = &self.shared.usage;
        let next = self.next.or_else(|| usage.first_billable(usage.window_at(present)?))?;
        present.checked_sub(usage.window_end(next) + SETTLED)
    }

    /// Takes in what another entry has told of its bills.
    fn hear(&mut self) {
        let Some((billed, at)) = self.shared.usage.billing_progress() else { return };
        self.next = self.next.max(Some(billed.next_window));
        if billed.stream_end > self.end {
            self.tenure.observe_record(billed.stream_end, at);
        }
    }

    /// Reads what is fixed.
    async fn read(&mut self) -> plat::Result<()> {
        let batch = match self.log.read(STREAM, self.end, MAX_READ, Duration::ZERO).await {
            Err(plat::Error::Gone { oldest, .. }) if epoch(oldest) > epoch(self.end) => {
                log::warn!(target: "store", stream = STREAM, epoch = epoch(oldest),
                    read = place(self.end); "stream is read anew");
                (self.end, self.appending) = (oldest, None);
                self.tenure.relinquish(oldest, since_boot());
                return Ok(());
            }
            Err(plat::Error::Gone { oldest, .. }) => {
                log::warn!(target: "billing", oldest; "bills expired before they were read");
                self.end = oldest;
                return Ok(());
            }
            batch => batch?,
        };
        self.end = self.end.max(batch.oldest);
        for Entry { offset, bytes } in batch.entries {
            self.end = offset + 1;
            match record::read(&bytes) {
                Ok(record) => self.take(record, offset),
                Err(error) => log::warn!(target: "billing", offset, error:% = error;
                    "record not readable, left out"),
            }
        }
        self.appending = None;
        if self.fixed_in < epoch(self.end) {
            self.leave_out_lost();
        }
        Ok(())
    }

    /// Leaves out the windows that have ended, of which bills may have been lost with the log's records:
    /// none was fixed yet since it came back older.
    fn leave_out_lost(&mut self) {
        let usage = &self.shared.usage;
        let present = usage.window_at(usage.clock.now());
        if self.next.is_some() && self.next < present {
            log::warn!(target: "billing", next:? = self.next, after:? = present;
                "windows left out: their bills may be lost");
            self.next = present;
        }
        self.fixed_in = epoch(self.end);
    }

    fn take(&mut self, record: record::Record, offset: Offset) {
        let record::Record { life, settled, epoch, bills } = record;
        self.fixed_in = self.fixed_in.max(epoch);
        match self.appending.filter(|_| life == self.life) {
            Some(began) => self.tenure.renew(&self.settings, offset, began),
            None => self.tenure.observe_record(offset + 1, since_boot()),
        }
        for Bill { window, counts } in bills {
            self.next = self.next.max(Some(window + 1));
            self.open.entry(window).or_insert(counts);
        }
        self.open.retain(|window, _| *window >= settled);
    }

    /// Fixes the windows that are due.
    async fn fix(&mut self, present: Duration) -> plat::Result<()> {
        let usage = &self.shared.usage;
        let first = usage.window_at(present).and_then(|present| usage.first_billable(present));
        let Some(next) = self.next.or(first) else { return Ok(()) };
        let is_due = |window: &WindowIndex| usage.window_end(*window) + SETTLED <= present;
        let windows = (next..next.saturating_add(MAX_BILLS)).take_while(is_due);
        let bills: Vec<_> =
            windows.map(|window| Bill { window, counts: usage.totals(window) }).collect();
        let epoch = epoch(self.end);
        let Some(after) = bills.last().map(|bill| bill.window + 1) else { return Ok(()) };
        let settled = self.open.keys().next().copied().unwrap_or(next);
        // Those that are open may have been lost with the log's records.
        let open = self
            .open
            .iter()
            .map(|(window, counts)| Bill { window: *window, counts: counts.clone() });
        let bills = open.chain(bills).collect();
        let record = record::Record { life: self.life, settled, epoch, bills };
        let began = since_boot();
        self.appending = Some(began);
        let offset = match self.log.append_at(STREAM, self.end, record::write(&record)).await {
            // Whose record stands there is read before anything else is done.
            Err(error @ (plat::Error::Moved { .. } | plat::Error::Unsettled { .. })) => {
                return Err(error);
            }
            Err(error) => {
                self.appending = None;
                return Err(error);
            }
            Ok(offset) => offset,
        };
        self.appending = None;
        self.end = offset + 1;
        self.tenure.renew(&self.settings, offset, began);
        self.fixed_in = epoch;
        for Bill { window, counts } in record.bills {
            self.open.entry(window).or_insert(counts);
        }
        self.next = Some(after);
        log::info!(target: "billing", offset, next = after; "bill fixed");
        let billed = BillingProgress { stream_end: self.end, next_window: after };
        metering::publish(&self.shared, &Payload::BillingProgress(billed));
        Ok(())
    }

    /// Reports what is fixed, the oldest first, as long as this entry may.
    async fn report(&mut self) -> plat::Result<()> {
        while let Some(fence) = self.tenure.fencing_token(since_boot()) {
            let Some((window, counts)) = self.open.first_key_value() else { return Ok(()) };
            let bill = Bill { window: *window, counts: counts.clone() };
            match self.meter.report(&self.shared.settings.name, fence, &bill).await? {
                ReportOutcome::Accepted => {
                    log::info!(target: "billing", window = bill.window, fence; "usage reported");
                    self.open.remove(&bill.window);
                }
                ReportOutcome::Superseded => {
                    log::warn!(target: "billing", fence; "another entry has the duty");
                    self.tenure.relinquish(self.end, since_boot());
                }
            }
        }
        Ok(())
    }
}
