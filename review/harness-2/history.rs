//! The store deletes records while a worker leaves, or all entries start again; some seconds later one
//! entry is killed, and the callers of its streams come back at other entries.

use crate::callers::{self, Behaviour, Callers, Received};
use crate::engine::{Engine, HEARTBEAT};
use crate::entry::{Deployment, Entry, Network, Record};
use crate::http::wait_until;
use crate::store::Store;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["sofia-a", "sofia-b", "sofia-c"];
const ENTRIES: u8 = 5;
const STORE: u8 = 10;
const WORKERS: u8 = 11;

/// The workers, and how many of them prefill. All have one version.
const ALL_WORKERS: u32 = 10;
const PREFILL_WORKERS: u32 = 4;

/// A stream lasts for 1.6 s.
const EVENTS: u64 = 80;

/// The route's timeout and the callers' deadline.
const DEADLINE: Duration = Duration::from_secs(15);

const INTERVAL: Duration = Duration::from_millis(16);
const RETRIES: u32 = 3;

/// From the deletion to the kill: longer than `stable-window-ms`, so that all are in touch again.
const KILL_AFTER: Duration = Duration::from_millis(6_000);

/// The rule speaks of so many streams that are taken up.
const ENOUGH: usize = 12;

/// What happens some seconds before the entry is killed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Before {
    /// The store deletes records while a worker leaves.
    Deletion,
    /// All entries are killed and start again.
    Restart,
}

/// How long entries that were killed are down.
const DOWN: Duration = Duration::from_millis(1_000);

pub fn run(record: &Arc<Record>, before: Before, trouble: bool) -> bool {
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
    let workers: Vec<_> = (0..ALL_WORKERS)
        .map(|number| {
            thread::sleep(HEARTBEAT / ALL_WORKERS);
            let stage = if number < PREFILL_WORKERS { "prefill" } else { "decode" };
            let listener = TcpListener::bind((network.ip(WORKERS), 0)).expect("a port is free");
            let zone = ZONES[number as usize % 3];
            Engine::start(&format!("i-{number}"), "1", zone, stage, listener, &store, record)
        })
        .collect();
    let mut entries: Vec<Entry> = (1..=ENTRIES).map(|machine| deployment.entry(machine)).collect();
    for (entry, machine) in entries.iter_mut().zip(1..) {
        deployment.start(entry, machine, true);
    }
    if !wait_until(Duration::from_secs(10), || entries.iter().all(Entry::is_ready)) {
        crate::cannot_run("the entries are not ready");
    }
    thread::sleep(Duration::from_secs(5));
    let addresses = entries.iter().map(|entry| (entry.name.clone(), entry.callers)).collect();
    let behaviour = Behaviour {
        events: EVENTS,
        deadline: DEADLINE,
        interval: INTERVAL,
        retries: RETRIES,
        shared_parts: "a1:79",
        first_number: 0,
    };
    let callers = Callers::new(addresses, behaviour, record);
    callers.send_for(Duration::from_secs(2));
    match (before, trouble) {
        (Before::Deletion, _) => {
            let leaving = workers.last().expect("there are workers");
            if trouble {
                leaving.drain_as_history_goes();
            } else {
                leaving.drain();
            }
            callers.send_for(Duration::from_millis(2_500));
            leaving.remove();
            callers.send_for(KILL_AFTER - Duration::from_millis(2_500));
        }
        (Before::Restart, true) => {
            record.line("all entries are killed (SIGKILL)");
            for entry in &mut entries {
                entry.signal("KILL");
            }
            for entry in &mut entries {
                entry.wait();
            }
            thread::sleep(DOWN);
            for (entry, machine) in entries.iter_mut().zip(1..) {
                deployment.start(entry, machine, false);
            }
            if !wait_until(Duration::from_secs(10), || entries.iter().all(Entry::is_ready)) {
                crate::cannot_run("the entries are not ready again");
            }
            thread::sleep(Duration::from_secs(2));
            callers.send_for(KILL_AFTER);
        }
        (Before::Restart, false) => callers.send_for(KILL_AFTER),
    }
    let killed_at = Instant::now();
    record.line(&format!("{} is killed (SIGKILL)", entries[0].name));
    entries[0].signal("KILL");
    entries[0].wait();
    callers.send_for(Duration::from_millis(1_500));
    deployment.start(&mut entries[0], 1, false);
    callers.send_for(Duration::from_millis(1_500));
    thread::sleep(Duration::from_secs(6));
    let ended = entries.iter_mut().filter_map(|entry| entry.has_ended().then_some(&entry.name));
    let ended: Vec<_> = ended.cloned().collect();
    judge(record, &callers.received.lock().unwrap(), killed_at, &ended)
}

fn judge(record: &Record, received: &[Received], killed_at: Instant, ended: &[String]) -> bool {
    // Streams that had begun and were cut off by the kill.
    let taken_up: Vec<_> = received
        .iter()
        .filter_map(|stream| Some((stream, stream.returned?)))
        .filter(|(_, (events, at))| *events > 0 && *at >= killed_at)
        .collect();
    let gone_on = taken_up.iter().filter(|(stream, (events, _))| stream.events.len() > *events);
    let gone_on = gone_on.count();
    let new: Vec<_> = received.iter().filter(|stream| stream.began >= killed_at).collect();
    let begun = new.iter().filter(|stream| !stream.events.is_empty()).count();
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for (stream, _) in &taken_up {
        for status in &stream.statuses[1..] {
            *statuses.entry(*status).or_default() += 1;
        }
    }
    for name in ended {
        record.say(&format!("process {name} has ended by itself"));
    }
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let (taken, fresh) = (share(gone_on, taken_up.len()), share(begun, new.len()));
    record.say(&format!(
        "streams: {}; taken up after the kill: {}, gone on: {gone_on} ({taken:.2}), answers to the \
         callers that came back: {statuses:?}; new streams since: {}, begun: {begun} ({fresh:.2})",
        received.len(),
        taken_up.len(),
        new.len()
    ));
    if taken_up.len() < ENOUGH || begun == 0 {
        crate::cannot_run("too few streams were taken up");
    }
    taken < fresh / 2.0
}
