//! Runs a mix: sends its requests and collects their outcomes.

use crate::client::Client;
use crate::outcome::{Outcome, Sample};
use crate::progress::{self, Counts};
use crate::report::{Engines, Report};
use crate::sender::Sender;
use crate::tally::Tally;
use crate::verify::{self, Outcomes};
use crate::{Arrival, Arrivals, Error, Mix, Result};
use compact_str::{CompactString, format_compact};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

/// Addresses that a mix is sent to and that reports are read from, all `host:port`.
#[derive(Debug, Clone, Default)]
pub struct Endpoints {
    /// The entries.
    pub entries: Vec<CompactString>,
    /// Stand-in engines to which every second prompt is sent directly, to measure the latency that
    /// entry and agent add.
    pub direct: Vec<CompactString>,
    /// Stand-in services, whose reports give the number of runs of each call.
    pub services: Vec<CompactString>,
    /// Stand-in engines, whose reports give role changes, conflicts and crashes.
    pub engines: Vec<CompactString>,
}

/// Results collected while the mix is sent.
struct Counted {
    classes: Vec<Tally>,
    direct: Tally,
    outcomes: Outcomes,
}

/// State shared by the tasks of all requests.
struct Shared {
    sender: Sender,
    counted: Mutex<Counted>,
    counts: Arc<Counts>,
}

/// Sends a mix and returns when all its requests have ended or the settle time is over.
///
/// # Errors
/// If an address is invalid, there is no entry, or the report of a stand-in cannot be read.
pub async fn run(mix: Mix, endpoints: Endpoints) -> Result<Report> {
    check(&endpoints)?;
    let client = Client::new();
    let before = Engines::read(&client, &endpoints.engines).await?;
    let classes = mix.classes.iter().map(|_| Tally::new()).collect();
    let counted = Counted { classes, direct: Tally::new(), outcomes: Outcomes::new() };
    let run = format_compact!("{:08x}", rand::random::<u32>());
    let (entries, direct) = (endpoints.entries, endpoints.direct);
    let sender = Sender { client: client.clone(), mix, entries, direct, run };
    let counts = Arc::new(Counts::default());
    let shared = Arc::new(Shared { sender, counted: Mutex::new(counted), counts });
    let progress = progress::show(shared.counts.clone());
    let begun = Instant::now();
    let overflow = send_all(&shared, begun).await;
    let elapsed = begun.elapsed();
    if let Some(progress) = progress {
        progress.abort();
        eprintln!();
    }
    let after = Engines::read(&client, &endpoints.engines).await?;
    let (mut report, outcomes) = shared.report(elapsed);
    report.overflow = overflow;
    if !endpoints.services.is_empty() {
        report.calls = Some(verify::calls(&client, &endpoints.services, &outcomes).await?);
    }
    if !endpoints.engines.is_empty() {
        report.engines = Some(after.since(before));
    }
    Ok(report)
}

fn check(endpoints: &Endpoints) -> Result<()> {
    let all = [&endpoints.entries, &endpoints.direct, &endpoints.services, &endpoints.engines]
        .into_iter()
        .flatten();
    for address in all {
        let uri = format!("http://{address}/").parse::<http::Uri>();
        if !uri.is_ok_and(|uri| uri.port().is_some()) {
            return Err(Error::Address { address: address.clone() });
        }
    }
    if endpoints.entries.is_empty() {
        return Err(Error::Mix(conf::Error::invalid("--entries", "at least one is needed")));
    }
    Ok(())
}

/// Sends all requests at their arrival times; returns the number not sent because too many were
/// open.
async fn send_all(shared: &Arc<Shared>, begun: Instant) -> u64 {
    let mix = &shared.sender.mix;
    let permits = Arc::new(Semaphore::new(mix.concurrency.min(Semaphore::MAX_PERMITS)));
    let tasks = TaskTracker::new();
    let mut overflow = 0;
    for arrival in Arrivals::new(mix) {
        tokio::time::sleep_until(begun + arrival.at).await;
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            overflow += 1;
            continue;
        };
        let shared = shared.clone();
        tasks.spawn(async move {
            shared.run_request(arrival).await;
            drop(permit);
        });
    }
    tasks.close();
    wait_for(&tasks, mix.settle, shared).await;
    overflow
}

/// Waits up to `settle` for open requests; counts those still open as unanswered, in the first
/// class.
async fn wait_for(tasks: &TaskTracker, settle: Duration, shared: &Shared) {
    if tokio::time::timeout(settle, tasks.wait()).await.is_ok() {
        return;
    }
    let open = u64::try_from(tasks.len()).unwrap_or(u64::MAX);
    if let Some(first) = shared.lock().classes.first_mut() {
        first.sent += open;
        first.unanswered += open;
    }
}

impl Shared {
    async fn run_request(&self, arrival: Arrival) {
        self.counts.sent.fetch_add(1, Ordering::Relaxed);
        let sample = self.sender.send(arrival).await;
        self.counts.ended.fetch_add(1, Ordering::Relaxed);
        if sample.outcome == Outcome::Complete {
            self.counts.complete.fetch_add(1, Ordering::Relaxed);
        }
        self.count(arrival, sample);
    }

    fn count(&self, arrival: Arrival, sample: Sample) {
        let class = &self.sender.mix.classes[arrival.class];
        let mut counted = self.lock();
        if self.sender.is_direct(arrival) {
            return counted.direct.add(&sample, class.deadline);
        }
        counted.classes[arrival.class].add(&sample, class.deadline);
        if class.is_call() && !class.repeatable {
            counted.outcomes.insert(self.sender.key(arrival), sample.outcome);
        }
    }

    /// Returns the report and the outcomes of non-repeatable calls as their callers saw them.
    fn report(&self, elapsed: Duration) -> (Report, Outcomes) {
        let counted = self.lock();
        let mut report = Report::new(&self.sender.mix, &counted.classes, elapsed);
        if !self.sender.direct.is_empty() {
            report.add_direct(&counted.direct);
        }
        (report, counted.outcomes.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Counted> {
        self.counted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
