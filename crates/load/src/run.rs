//! Sends a mix and collects what became of it.

use crate::client::Client;
use crate::outcome::{Outcome, Sample};
use crate::progress::{self, Counts};
use crate::report::{Engines, Report};
use crate::sender::Sender;
use crate::tally::Tally;
use crate::verify::{self, Told};
use crate::{Arrival, Arrivals, Error, Mix, Result};
use compact_str::{CompactString, format_compact};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

/// Where a mix is sent and what is asked afterwards; all addresses are `host:port`.
#[derive(Debug, Clone, Default)]
pub struct Endpoints {
    /// The entries.
    pub entries: Vec<CompactString>,
    /// Stand-in engines to which every second prompt goes directly, to measure what entry and
    /// agent add.
    pub direct: Vec<CompactString>,
    /// Stand-in services, to count how often calls ran.
    pub services: Vec<CompactString>,
    /// Stand-in engines, to count changes of role.
    pub engines: Vec<CompactString>,
}

/// What is counted while the mix is sent.
struct Counted {
    classes: Vec<Tally>,
    direct: Tally,
    told: Told,
}

/// What the tasks of all requests share.
struct Shared {
    sender: Sender,
    counted: Mutex<Counted>,
    counts: Arc<Counts>,
}

/// Sends a mix and returns when all its requests are answered or given up.
pub async fn run(mix: Mix, aim: Endpoints) -> Result<Report> {
    check(&aim)?;
    let client = Client::new();
    let before = Engines::read(&client, &aim.engines).await?;
    let classes = mix.classes.iter().map(|_| Tally::new()).collect();
    let counted = Counted { classes, direct: Tally::new(), told: Told::new() };
    let run = format_compact!("{:08x}", rand::random::<u32>());
    let (entries, direct) = (aim.entries, aim.direct);
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
    let after = Engines::read(&client, &aim.engines).await?;
    let (mut report, told) = shared.report(elapsed);
    report.overflow = overflow;
    if !aim.services.is_empty() {
        report.calls = Some(verify::calls(&client, &aim.services, &told).await?);
    }
    if !aim.engines.is_empty() {
        report.engines = Some(after.since(before));
    }
    Ok(report)
}

fn check(aim: &Endpoints) -> Result<()> {
    let all = [&aim.entries, &aim.direct, &aim.services, &aim.engines].into_iter().flatten();
    for address in all {
        let uri = format!("http://{address}/").parse::<http::Uri>();
        if !uri.is_ok_and(|uri| uri.port().is_some()) {
            return Err(Error::Address { address: address.clone() });
        }
    }
    if aim.entries.is_empty() {
        return Err(Error::Mix(conf::Error::invalid("--entries", "at least one is needed")));
    }
    Ok(())
}

/// Sends all requests at their times; returns how many were not sent because too many were open.
async fn send_all(shared: &Arc<Shared>, begun: Instant) -> u64 {
    let mix = &shared.sender.mix;
    let room = Arc::new(Semaphore::new(mix.concurrency.min(Semaphore::MAX_PERMITS)));
    let tasks = TaskTracker::new();
    let mut overflow = 0;
    for arrival in Arrivals::new(mix) {
        tokio::time::sleep_until(begun + arrival.at).await;
        let Ok(permit) = room.clone().try_acquire_owned() else {
            overflow += 1;
            continue;
        };
        let shared = shared.clone();
        tasks.spawn(async move {
            shared.follow(arrival).await;
            drop(permit);
        });
    }
    tasks.close();
    wait_for(&tasks, mix.settle, shared).await;
    overflow
}

/// Waits for open requests and counts those that are still open then as unanswered.
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
    async fn follow(&self, arrival: Arrival) {
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
            counted.told.insert(self.sender.key(arrival), sample.outcome);
        }
    }

    /// What was counted, and what callers were told of calls that may not be repeated.
    fn report(&self, elapsed: Duration) -> (Report, Told) {
        let counted = self.lock();
        let mut report = Report::new(&self.sender.mix, &counted.classes, elapsed);
        if !self.sender.direct.is_empty() {
            report.direct(&counted.direct);
        }
        (report, counted.told.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Counted> {
        self.counted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
