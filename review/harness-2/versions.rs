//! A new version of the workers starts and crashes at once. The callers of its streams come back at
//! other entries, some of which don't know the version yet.

use crate::callers::{self, Behaviour, Callers};
use crate::engine::{Engine, HEARTBEAT};
use crate::entry::{Deployment, Entry, Network, Record};
use crate::http::wait_until;
use crate::store::Store;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["sofia-a", "sofia-b", "sofia-c"];
const ENTRIES: u8 = 5;
const STORE: u8 = 10;
const WORKERS: u8 = 11;

/// The events of a stream; one each 20 ms.
const EVENTS: u64 = 20;

/// The route's timeout and the callers' deadline.
const DEADLINE: Duration = Duration::from_millis(2_000);

/// The time between two streams of callers.
const INTERVAL: Duration = Duration::from_millis(4);

/// The workers of the old version, and how many of them prefill.
const OLD_WORKERS: u32 = 8;
const OLD_PREFILL: u32 = 4;

/// How often the new version is started.
const RELEASES: u32 = 9;

/// How long after its first stream has begun the new version crashes.
const CRASH_AFTER: Duration = Duration::from_millis(100);

/// How long the new version is waited for to get a stream.
const FIRST_STREAM: Duration = Duration::from_millis(1_500);

/// The time from one start of the new version to the next: its record is removed after three
/// heartbeats of 1.2 s, and another 4 s later no stream may be taken up any more.
const RELEASE_INTERVAL: Duration = Duration::from_millis(9_500);

/// The rule names more than two streams.
const ALLOWED: usize = 2;

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let record = record.clone();
    let network = Network::find();
    let (store, store_server) = Store::start(network.free(STORE));
    let deployment = Deployment {
        network,
        folder: crate::folder(),
        store: store_server.address,
        zones: ZONES,
        more: String::new(),
        record: record.clone(),
    };
    store.put("keyed.op", "config", &callers::config(DEADLINE));
    let listener = || TcpListener::bind((network.ip(WORKERS), 0)).expect("a port is free");
    let start = |id: &str, version: &str, zone, stage| {
        Engine::start(id, version, zone, stage, listener(), &store, &record)
    };
    // As in any fleet, the workers' heartbeats are spread over time.
    let old: Vec<_> = (0..OLD_WORKERS)
        .map(|number| {
            thread::sleep(HEARTBEAT / OLD_WORKERS);
            let stage = if number < OLD_PREFILL { "prefill" } else { "decode" };
            start(&format!("i-old-{number}"), "1", ZONES[number as usize % 3], stage)
        })
        .collect();
    let mut entries: Vec<Entry> = (1..=ENTRIES).map(|machine| deployment.entry(machine)).collect();
    for (entry, machine) in entries.iter_mut().zip(1..) {
        deployment.start(entry, machine, true);
    }
    if !wait_until(Duration::from_secs(10), || entries.iter().all(Entry::is_ready)) {
        crate::cannot_run("the entries are not ready");
    }
    // Until the entries know each other and have settled.
    thread::sleep(Duration::from_secs(5));
    let addresses = entries.iter().map(|entry| (entry.name.clone(), entry.callers)).collect();
    let behaviour = Behaviour {
        events: EVENTS,
        deadline: DEADLINE,
        interval: INTERVAL,
        retries: 1,
        shared_parts: "a1:79",
        first_number: 0,
    };
    let callers = Callers::new(addresses, behaviour, &record);
    for release in 0..RELEASES {
        let began = Instant::now();
        callers.send_for(Duration::from_millis(500));
        let id = format!("i-new-{release}");
        let new = start(&id, "2", ZONES[release as usize % 3], "decode");
        let waited = Instant::now();
        while !new.has_run() && waited.elapsed() < FIRST_STREAM {
            callers.send_for(INTERVAL);
        }
        if trouble {
            callers.send_for(CRASH_AFTER);
            record.line(&format!("worker {id} crashes"));
            new.end();
            callers.send_for(Duration::from_millis(500));
            thread::sleep(Duration::from_millis(3_000));
            new.remove();
        } else {
            callers.send_for(CRASH_AFTER + Duration::from_millis(500));
            new.drain();
            thread::sleep(Duration::from_millis(2_500));
            new.remove();
            thread::sleep(Duration::from_millis(500));
            new.end();
        }
        thread::sleep(RELEASE_INTERVAL.saturating_sub(began.elapsed()));
    }
    thread::sleep(DEADLINE);
    let ended = entries.iter_mut().filter_map(|entry| entry.has_ended().then_some(&entry.name));
    let ended: Vec<_> = ended.cloned().collect();
    for worker in &old {
        worker.end();
    }
    judge(&record, &callers, &ended)
}

fn judge(record: &Record, callers: &Callers, ended: &[String]) -> bool {
    let received = callers.received.lock().unwrap();
    let mut joined = Vec::new();
    let mut new_streams = 0;
    let (mut complete, mut returned) = (0, 0);
    for stream in &*received {
        let versions: BTreeSet<&str> =
            stream.events.iter().map(|(_, version)| version.as_str()).collect();
        new_streams += usize::from(versions.contains("2"));
        complete += usize::from(stream.complete);
        returned += usize::from(stream.tries > 1);
        if versions.len() > 1 {
            let mut events: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
            for (id, version) in &stream.events {
                events.entry(version).or_default().push(*id);
            }
            let text = format!("stream {} holds events of both: {events:?}", stream.first_attempt);
            joined.push(text);
        }
    }
    for text in &joined {
        record.line(text);
    }
    for name in ended {
        record.say(&format!("process {name} has ended by itself"));
    }
    record.say(&format!(
        "streams: {}, complete: {complete}, taken up by their callers: {returned}, with events of \
         the new version: {new_streams}, with events of two versions: {} (allowed: {ALLOWED})",
        received.len(),
        joined.len()
    ));
    if new_streams == 0 || complete == 0 {
        crate::cannot_run("no stream ran at the new version, or none at all");
    }
    joined.len() > ALLOWED
}
