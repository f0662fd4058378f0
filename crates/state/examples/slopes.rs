//! Prints the costs of the folded state at the size that the system is designed for.
//!
//! `cargo run --release -p state --example slopes`. Memory is counted by the allocator; times are
//! medians of repeated runs in this one process, for comparison with each other.

use bytes::Bytes;
use fake::MemoryLog;
use plat::{CONFIG_STREAM, Log, Offset};
use serde_json::{Value, json};
use state::record::{Answer, Body, Change, Claim, Intent, Renewal};
use state::{
    Appender, Calls, Config, Fold, Follower, Lease, LeaseSettings, Record, Snapshot, Snapshots,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System as Allocator;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<Allocator> = &INSTRUMENTED_SYSTEM;

const TARGETS: u32 = 700;
const CALLERS: u32 = 4_500;
const MODELS: u32 = 4;
const CHANGES: u32 = 1_500;
const KEYS: u32 = 50_000;

/// The number of repetitions of a timed step; the median is printed.
const REPEATS: usize = 15;

fn main() {
    config();
    calls();
    start_up();
    leases();
    takeover();
}

/// Prints one line of the table.
fn print_row(label: &str, figure: impl std::fmt::Display) {
    println!("{label:<68} {figure:>14}");
}

fn config() {
    let records = fleet();
    let region = Region::new(ALLOCATOR);
    let mut config = fold::<Config>(&records);
    print_row("config: bytes, 700 targets + 4,500 callers", in_use(&region));
    change_all(&mut config);
    print_row("config: bytes, and a day of 1,500 changes with their audit", in_use(&region));
    assert!(config.audit().all(|audit| audit.outcome.is_ok()), "all changes are accepted");
    let without_reader = median(|| change_all(&mut config)) / CHANGES;
    print_row("config: a change, nobody reads", format!("{without_reader:?}"));
    let mut held = Vec::new();
    let with_reader = median(|| {
        for number in 0..CHANGES {
            held = vec![config.clone()];
            apply(&mut config, change(number));
        }
    }) / CHANGES;
    print_row("config: a change, a reader holds the state before it", format!("{with_reader:?}"));
    drop(held);
    let full_fold = median(|| drop(black_box(fold::<Config>(&records))));
    print_row("config: fold of all 5,204 resources from the beginning", format!("{full_fold:?}"));
    let snapshot = Snapshot::of(CONFIG_STREAM, &config);
    print_row("config: bytes of a snapshot", snapshot.state.len());
    print_row("config: records of a checkpoint", snapshot.checkpoint().len());
    let encode = median(|| drop(black_box(Snapshot::of(CONFIG_STREAM, &config))));
    print_row("config: encode a snapshot", format!("{encode:?}"));
    let bytes = Snapshots { all: vec![snapshot] }.bytes();
    let decode = median(|| {
        let snapshots = Snapshots::read("peer", &bytes).expect("the snapshots are valid");
        drop(black_box(snapshots.open::<Config>(CONFIG_STREAM)));
    });
    print_row("config: start from a peer's bytes, without the network", format!("{decode:?}"));
}

fn calls() {
    let region = Region::new(ALLOCATOR);
    let mut calls = Calls::default();
    let claim = Claim { scope: "target/l".into(), lease_ms: 20_000, ..Claim::default() };
    apply(&mut calls, record(Body::Claim(claim)));
    let started = Instant::now();
    for number in 0..KEYS {
        apply_call(&mut calls, number);
    }
    let each = started.elapsed() / KEYS;
    print_row("calls: bytes, 50,000 keys with answers of 100 bytes", in_use(&region));
    print_row("calls: an intent and its answer", format!("{each:?}"));
    let snapshot = Snapshot::of("calls.l", &calls);
    print_row("calls: bytes of a snapshot", snapshot.state.len());
    let open = median(|| drop(black_box(snapshot.open::<Calls>())));
    print_row("calls: decode a snapshot", format!("{open:?}"));
}

fn apply_call(calls: &mut Calls, number: u32) {
    let key: Vec<u8> = number.to_be_bytes().into_iter().cycle().take(32).collect();
    let (key, digest) = (Bytes::from(key.clone()), Bytes::from(key));
    let intent = calls.end();
    let body = Intent { key, digest, scope: "target/l".into(), claim: 0 };
    apply(calls, record(Body::Intent(body)));
    let body = Bytes::from(vec![b'x'; 100]);
    let answer = Answer { intent, status: 200, body, ..Answer::default() };
    apply(calls, record(Body::Answer(answer)));
}

/// Follows a log with a checkpoint and the changes of a day after it.
fn start_up() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let records = fleet();
    let start_time = runtime.block_on(async {
        let log = MemoryLog::new();
        write(&log, records.iter().map(Record::bytes).collect()).await;
        let config = fold::<Config>(&records);
        let parts = Snapshot::of(CONFIG_STREAM, &config).checkpoint();
        write(&log, parts.into_iter().map(|body| record(body).bytes()).collect()).await;
        let end = write(&log, (0..CHANGES).map(|number| change(number).bytes()).collect()).await;
        // Only the checkpoint and the records after it are retained.
        let log = Arc::new(TruncatedLog { log, oldest: config.end() });
        let started = Instant::now();
        let follower = Follower::<Config>::new(log, CONFIG_STREAM.into());
        let mut state = follower.state();
        let following = tokio::spawn(follower.run());
        state.wait_for(|state| state.end() == end).await.expect("the follower runs");
        following.abort();
        started.elapsed()
    });
    print_row(
        "config: start from a checkpoint and 1,500 changes, log in memory",
        format!("{start_time:?}"),
    );
}

async fn write(log: &MemoryLog, records: Vec<Bytes>) -> Offset {
    let count = records.len() as Offset;
    log.append(CONFIG_STREAM, records).await.expect("the log is up") + count
}

/// A log whose records before an offset have expired.
struct TruncatedLog {
    log: MemoryLog,
    oldest: Offset,
}

#[async_trait::async_trait]
impl Log for TruncatedLog {
    async fn append(&self, stream: &str, records: Vec<Bytes>) -> plat::Result<Offset> {
        self.log.append(stream, records).await
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> plat::Result<plat::Batch> {
        if from < self.oldest {
            return Err(plat::Error::Gone { stream: stream.into(), oldest: self.oldest });
        }
        self.log.read(stream, from, limit, wait).await
    }
}

/// Counts the appends and bytes for the leases of 700 targets in ten minutes of paused time.
fn leases() {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build();
    let runtime = runtime.expect("the runtime starts");
    const SECONDS: u64 = 600;
    for lease in [10, 20, 30] {
        let log = MemoryLog::new();
        runtime.block_on(async {
            let leases =
                (0..TARGETS).map(|number| start_lease(&log, number, Duration::from_secs(lease)));
            let leases = leases.collect::<Vec<_>>();
            tokio::time::sleep(Duration::from_secs(SECONDS)).await;
            drop(leases);
        });
        let (appends, bytes) = (log.appends() / SECONDS, log.bytes() / SECONDS);
        print_row(&format!("leases of 700 targets, {lease} s: appends a second"), appends);
        print_row(&format!("leases of 700 targets, {lease} s: record bytes a second"), bytes);
    }
    let renewal = Renewal { scope: "planner/region-1".into(), claim: 1 << 40, release: false };
    print_row("a renewal: bytes", record(Body::Renewal(renewal)).bytes().len());
}

/// Measures how long a pool has no planner after its process was killed, at different times within
/// the renewal interval.
fn takeover() {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build();
    let runtime = runtime.expect("the runtime starts");
    for delay in [10, 300] {
        let mut times = (0..100).map(|run| runtime.block_on(measure_takeover(run, delay)));
        let mut times = times.by_ref().collect::<Vec<_>>();
        times.sort();
        let figure = format!("{:.1?} / {:.1?}", times[times.len() / 2], times[times.len() - 1]);
        print_row(&format!("takeover, log at {delay} ms: median / longest of 100"), figure);
    }
}

async fn measure_takeover(run: u32, delay: u64) -> Duration {
    let log = MemoryLog::new();
    log.set_delay(Duration::from_millis(delay));
    let first = start_planner(&log, 1);
    first.0.held().wait_for(Option::is_some).await.expect("the lease task runs");
    let second = start_planner(&log, 2);
    tokio::time::sleep(Duration::from_millis(20_000 + 17 * u64::from(run))).await;
    let killed_at = tokio::time::Instant::now();
    first.1.abort();
    drop(first);
    second.0.held().wait_for(Option::is_some).await.expect("the lease task runs");
    second.1.abort();
    killed_at.elapsed()
}

fn start_planner(log: &MemoryLog, incarnation: u64) -> (Lease, tokio::task::JoinHandle<()>) {
    let log: Arc<dyn Log> = Arc::new(log.clone());
    let follower = Follower::<state::System>::new(log.clone(), plat::SYSTEM_STREAM.into());
    let state = follower.state();
    let following = tokio::spawn(follower.run());
    let stream = plat::SYSTEM_STREAM.into();
    let settings = LeaseSettings::new(stream, "planner/main".into(), incarnation);
    let appender = Appender::new(log, format!("agent-{incarnation}").into());
    (Lease::spawn(settings, appender, state), following)
}

fn start_lease(
    log: &MemoryLog,
    number: u32,
    lease: Duration,
) -> (Lease, tokio::task::JoinHandle<()>) {
    let target = format!("engine-{number}");
    let stream = plat::calls_stream(&target);
    let log: Arc<dyn Log> = Arc::new(log.clone());
    let follower = Follower::<Calls>::new(log.clone(), stream.clone());
    let state = follower.state();
    let following = tokio::spawn(follower.run());
    let settings = LeaseSettings::new(stream, format!("target/{target}").into(), 1).lease(lease);
    let appender = Appender::new(log, format!("agent-{number}").into());
    (Lease::spawn(settings, appender, state), following)
}

/// The records that publish the fleet.
fn fleet() -> Vec<Record> {
    let models = (0..MODELS).map(|number| published("Model", &format!("m{number}"), json!({})));
    let targets = (0..TARGETS).map(|number| {
        let agent = format!("10.0.{}.{}:7001", number / 250, number % 250);
        let models = (0..MODELS).map(|number| format!("m{number}")).collect::<Vec<_>>();
        let domain = format!("domain-{}", number % 6);
        let spec = json!({"agent": agent, "domain": domain, "models": models});
        published("Target", &format!("engine-{number}"), spec)
    });
    let callers = (0..CALLERS).map(|number| published_caller(number, 1));
    models.chain(targets).chain(callers).collect()
}

fn change(number: u32) -> Record {
    published_caller(number, 2)
}

fn change_all(config: &mut Config) {
    for number in 0..CHANGES {
        apply(config, change(number));
    }
}

fn published_caller(number: u32, weight: u32) -> Record {
    let spec = json!({"token_sha256": format!("{number:064x}"), "weight": weight});
    published("Caller", &format!("caller-{number}"), spec)
}

fn published(kind: &str, name: &str, spec: Value) -> Record {
    let (kind, name) = (kind.to_owned(), name.to_owned());
    record(Body::Change(Change { kind, name, spec: Some(spec.to_string()), expects: None }))
}

fn record(body: Body) -> Record {
    Record::new(u64::MAX, "operator-1", 1_800_000_000_000, body)
}

fn fold<F: Fold>(records: &[Record]) -> F {
    let mut state = F::default();
    for record in records {
        let end = state.end();
        state.apply(end, record);
    }
    state
}

fn apply<F: Fold>(state: &mut F, record: Record) {
    let end = state.end();
    state.apply(end, &record);
}

fn in_use(region: &Region<'_, Allocator>) -> usize {
    let change = region.change();
    change.bytes_allocated.saturating_sub(change.bytes_deallocated)
}

fn median(mut step: impl FnMut()) -> Duration {
    let mut times = (0..REPEATS).map(|_| {
        let started = Instant::now();
        step();
        started.elapsed()
    });
    let mut times = times.by_ref().collect::<Vec<_>>();
    times.sort();
    times[REPEATS / 2]
}
