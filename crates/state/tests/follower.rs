//! Following a log with outages, limited retention, gaps and records that cannot be decoded.

mod common;

use bytes::Bytes;
use common::{Open, Process, claim};
use conf::Kind;
use fake::MemoryLog;
use plat::{CONFIG_STREAM, Log, SYSTEM_STREAM};
use serde_json::json;
use state::record::{Body, Change, Checkpoint};
use state::{
    Checkpointer, CheckpointerSettings, Config, Fold, FollowError, Lease, LeaseSettings, Record,
    Snapshot, System,
};
use std::sync::Arc;
use std::time::Duration;

const HOUR: Duration = Duration::from_secs(3_600);

async fn publish(process: &Process<Config>, model: &str) -> u64 {
    let spec = Some(json!({}).to_string());
    let (kind, name) = (Kind::Model.name().to_owned(), model.to_owned());
    let body = Body::Change(Change { kind, name, spec, expects: None });
    process.appender.append(CONFIG_STREAM, body).await.expect("the log is up").offset
}

async fn write(process: &Process<Config>, bodies: Vec<Body>) {
    for body in bodies {
        process.appender.append(CONFIG_STREAM, body).await.expect("the log is up");
    }
}

fn follow_error<F: Fold>(process: &Process<F>) -> Option<FollowError> {
    process.health.borrow().error.clone()
}

/// Changes one letter of a resource's name, so that the state can still be decoded.
fn corrupt(state: &Bytes) -> Bytes {
    let mut bytes = state.to_vec();
    let at = bytes.windows(2).position(|pair| pair == b"m2").expect("the name is there");
    bytes[at + 1] = b'X';
    bytes.into()
}

// The log is unavailable for an hour and retains records for ten minutes, so it is empty
// afterwards. All published resources must still be in effect, also at a process that starts only
// then.
#[tokio::test(start_paused = true)]
async fn outage_longer_than_the_retention_loses_nothing() {
    let log = MemoryLog::new();
    log.set_retention(Duration::from_secs(600));
    let mut a = Process::<Config>::start(&log, "a", CONFIG_STREAM);
    let planner = Process::<System>::start(&log, "a", SYSTEM_STREAM);
    let settings = LeaseSettings::new(SYSTEM_STREAM.into(), "planner/main".into(), 1);
    let lease = Lease::spawn(settings, planner.appender.clone(), planner.state.clone());
    let (state, health) = (a.state.clone(), a.health.clone());
    let due = CheckpointerSettings { age: Duration::from_secs(180), records: 1_000 };
    let stream = CONFIG_STREAM.into();
    let writer = Checkpointer::new(stream, a.appender.clone(), state, health, lease.held());
    let writing = tokio::spawn(writer.settings(due).run());
    publish(&a, "m").await;
    a.read_to(1).await;
    log.set_unavailable(true);
    tokio::time::sleep(HOUR).await;
    log.set_unavailable(false);
    tokio::time::sleep(Duration::from_secs(30)).await;
    let mut late = Process::<Config>::start(&log, "late", CONFIG_STREAM);
    let end = a.state.borrow().end();
    let config = late.read_to(end).await;
    assert!(config.get(Kind::Model, "m").is_some());
    assert_eq!(config, *a.state.borrow());
    writing.abort();
}

// A process is cut off until records that it has not read have expired, and no checkpoint covers
// them. If it continued from the oldest record, it would miss a change for good without an error.
#[tokio::test(start_paused = true)]
async fn gap_is_not_skipped_and_a_checkpoint_closes_it() {
    let log = MemoryLog::new();
    log.set_retention(Duration::from_secs(60));
    let mut a = Process::<Config>::start(&log, "a", CONFIG_STREAM);
    let mut cut = Process::<Config>::start(&log, "cut", CONFIG_STREAM);
    publish(&a, "m1").await;
    cut.read_to(1).await;
    cut.gate.set(Open::Cut);
    publish(&a, "m2").await;
    tokio::time::sleep(Duration::from_secs(61)).await;
    publish(&a, "m3").await;
    cut.gate.set(Open::All);
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert!(matches!(follow_error(&cut), Some(FollowError::Gap { end: 1, oldest: 2 })));
    assert_eq!(cut.state.borrow().end(), 1);
    let whole = a.read_to(3).await;
    write(&a, Snapshot::of(CONFIG_STREAM, &*whole).checkpoint()).await;
    let end = publish(&a, "m4").await + 1;
    let rebased = cut.read_to(end).await;
    assert_eq!(rebased, a.read_to(end).await);
    assert_eq!(rebased.list(Kind::Model).count(), 4);
}

// One checkpoint is corrupt, another one is of a newer release, and one is older than the gap. If
// they were used, deleted callers could return or all callers be lost; the next valid one is used.
#[tokio::test(start_paused = true)]
async fn unusable_checkpoints_are_skipped() {
    let log = MemoryLog::new();
    log.set_retention(Duration::from_secs(60));
    let mut a = Process::<Config>::start(&log, "a", CONFIG_STREAM);
    publish(&a, "m1").await;
    let old = Snapshot::of(CONFIG_STREAM, &*a.read_to(1).await);
    publish(&a, "m2").await;
    tokio::time::sleep(Duration::from_secs(61)).await;
    let whole = Snapshot::of(CONFIG_STREAM, &*a.read_to(2).await);
    let part = |snapshot: &Snapshot, change: fn(&mut Checkpoint)| {
        let mut parts = snapshot.checkpoint();
        if let Some(Body::Checkpoint(checkpoint)) = parts.first_mut() {
            change(checkpoint);
        }
        parts
    };
    write(&a, part(&old, |_| ())).await;
    write(&a, part(&whole, |damaged| damaged.state = corrupt(&damaged.state))).await;
    write(&a, part(&whole, |newer| newer.state_version += 1)).await;
    let late = Process::<Config>::start(&log, "late", CONFIG_STREAM);
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert!(matches!(follow_error(&late), Some(FollowError::Gap { .. })));
    assert_eq!(late.state.borrow().end(), 0);
    write(&a, part(&whole, |_| ())).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert!(follow_error(&late).is_none());
    assert_eq!(late.state.borrow().list(Kind::Model).count(), 2);
}

// During an update an old process reads a record of a newer release. If it skipped that record, it
// would judge later records differently from the rest of the fleet, so it stops there and reports
// it. With the state of a peer that could decode the record it continues.
#[tokio::test(start_paused = true)]
async fn record_of_a_newer_release_stops_the_follower_until_a_later_state() {
    let log = MemoryLog::new();
    let mut a = Process::<Config>::start(&log, "a", CONFIG_STREAM);
    publish(&a, "m1").await;
    let newer = Record { version: 2, ..Record::new(1, "new", 0, claim("s", None, 1)) };
    log.append(CONFIG_STREAM, vec![newer.bytes()]).await.expect("the log is up");
    publish(&a, "m2").await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    a.read_to(1).await;
    let reported = follow_error(&a).expect("the follower reports it").to_string();
    assert_eq!(reported, "record 1 of config: written by a newer version, 2");
    assert_eq!(a.state.borrow().end(), 1);
    let mut peer = Config::clone(&a.state.borrow());
    peer.apply(1, &Record::new(1, "new", 0, claim("s", None, 1)));
    a.peer_states.send(peer).await.expect("the follower runs");
    assert_eq!(a.read_to(3).await.list(Kind::Model).count(), 2);
    assert!(follow_error(&a).is_none());
}

// An entry restarts while the log is unavailable and starts from the state of a peer. Afterwards
// the log has fewer records, as after a restore. With an older state deleted callers would return.
#[tokio::test(start_paused = true)]
async fn state_is_never_replaced_by_an_older_one() {
    let log = MemoryLog::new();
    let mut a = Process::<Config>::start(&log, "a", CONFIG_STREAM);
    publish(&a, "m1").await;
    publish(&a, "m2").await;
    let state = Config::clone(&*a.read_to(2).await);
    let mut behind = Config::default();
    let batch = log.read(CONFIG_STREAM, 0, 1, Duration::ZERO).await.expect("the log is up");
    let first =
        Record::read(CONFIG_STREAM, 0, &batch.entries[0].bytes).expect("the record is valid");
    behind.apply(0, &first);
    log.set_unavailable(true);
    let restarted = Process::start_from(&log, "r", CONFIG_STREAM, state.clone());
    restarted.peer_states.send(behind).await.expect("the follower runs");
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(**restarted.state.borrow(), state);
    let other = MemoryLog::new();
    let moved = Process::start_from(&other, "m", CONFIG_STREAM, state.clone());
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert!(matches!(follow_error(&moved), Some(FollowError::LogBehind { end: 0 })));
    assert_eq!(**moved.state.borrow(), state);
}

// A checkpoint of a large fleet does not fit one record, and the log has parts of two writers.
#[tokio::test(start_paused = true)]
async fn large_checkpoint_is_split_into_parts() {
    let log = MemoryLog::new();
    let mut a = Process::<Config>::start(&log, "a", CONFIG_STREAM);
    for number in 0..3_000 {
        let spec = json!({"token_sha256": format!("{number:064x}")});
        let kind = Kind::Caller.name().to_owned();
        let change = Change {
            kind,
            name: format!("c{number}"),
            spec: Some(spec.to_string()),
            expects: None,
        };
        let bytes = Record::new(number, "ana", 0, Body::Change(change)).bytes();
        log.append(CONFIG_STREAM, vec![bytes]).await.expect("the log is up");
    }
    let state = a.read_to(3_000).await;
    let parts = Snapshot::of(CONFIG_STREAM, &*state).checkpoint();
    assert!(parts.len() > 2, "{} parts", parts.len());
    log.set_retention(Duration::from_secs(60));
    tokio::time::sleep(Duration::from_secs(61)).await;
    // A writer failed after its first part, and another one wrote all parts.
    write(&a, parts[..1].to_vec()).await;
    write(&a, parts).await;
    let mut late = Process::<Config>::start(&log, "late", CONFIG_STREAM);
    let end = a.health.borrow().log_end.max(3_000);
    assert_eq!(late.read_to(end).await.list(Kind::Caller).count(), 3_000);
}

// Bytes that are not a record must stop the follower too, but not the process.
#[tokio::test(start_paused = true)]
async fn bytes_that_are_no_record_stop_the_follower() {
    let log = MemoryLog::new();
    log.append(CONFIG_STREAM, vec![Bytes::from_static(b"\xff\xff")]).await.expect("the log is up");
    let a = Process::<Config>::start(&log, "a", CONFIG_STREAM);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert!(matches!(follow_error(&a), Some(FollowError::Unreadable(_))));
    assert_eq!(*a.state.borrow(), Arc::new(Config::default()));
}
