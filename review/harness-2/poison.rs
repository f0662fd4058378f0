//! A part in the middle of prompts crashes each worker that begins an answer on it. The part after it
//! belongs to sound requests as well.

use crate::callers::{self, Behaviour, Callers};
use crate::engine::{Engine, HARMFUL_PART, HEARTBEAT};
use crate::entry::{Deployment, Entry, Network, Record};
use crate::http::wait_until;
use crate::store::Store;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["sofia-a", "sofia-b", "sofia-c"];
const ENTRIES: u8 = 5;
const STORE: u8 = 10;
const WORKERS: u8 = 11;

/// The workers, and how many of them prefill.
const ALL_WORKERS: u32 = 7;
const PREFILL_WORKERS: u32 = 4;

const DEADLINE: Duration = Duration::from_secs(15);

/// How long sound requests are sent before the harmful ones come.
const BEFORE: Duration = Duration::from_secs(8);

/// The harmful ones come until so long after the fifth crash, but no longer in total.
const AFTER_FIFTH: Duration = Duration::from_secs(17);
const LONGEST: Duration = Duration::from_secs(50);

const SOUND_INTERVAL: Duration = Duration::from_millis(250);
const HARMFUL_INTERVAL: Duration = Duration::from_millis(700);

/// `stable-window-ms`.
const STABLE: Duration = Duration::from_secs(3);

/// The rule counts from so many crashes on, or from the last one if there are fewer.
const CRASHES: usize = 5;

/// The rule speaks of so many sound requests.
const ENOUGH: usize = 20;

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
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
    let addresses: Vec<_> =
        entries.iter().map(|entry| (entry.name.clone(), entry.callers)).collect();
    let sound = Behaviour {
        events: 40,
        deadline: DEADLINE,
        interval: SOUND_INTERVAL,
        retries: 1,
        shared_parts: "a1:79,b2:60",
        first_number: 0,
    };
    let harmful = Behaviour {
        interval: HARMFUL_INTERVAL,
        shared_parts: "a1:79,dead:40,b2:60",
        first_number: 0x10_0000,
        ..sound
    };
    assert!(harmful.shared_parts.contains(HARMFUL_PART));
    let sound = Callers::new(addresses.clone(), sound, record);
    let harmful = Callers::new(addresses, harmful, record);
    let sending = sound.clone();
    let stop = Arc::new(AtomicBool::new(false));
    let stopping = stop.clone();
    let sending = thread::spawn(move || {
        while !stopping.load(Ordering::SeqCst) {
            sending.send_for(SOUND_INTERVAL);
        }
    });
    thread::sleep(BEFORE);
    let began = Instant::now();
    let crashes = || {
        let all = workers.iter().flat_map(|worker| worker.crashes.lock().unwrap().clone());
        let mut all: Vec<Instant> = all.collect();
        all.sort_unstable();
        all
    };
    let is_over = || {
        let fifth = crashes().get(CRASHES - 1).copied();
        fifth.is_some_and(|at| at.elapsed() >= AFTER_FIFTH) || began.elapsed() >= LONGEST
    };
    if trouble {
        while !is_over() {
            harmful.send_for(HARMFUL_INTERVAL);
        }
    } else {
        thread::sleep(AFTER_FIFTH);
    }
    let until = Instant::now();
    stop.store(true, Ordering::SeqCst);
    sending.join().expect("callers send");
    thread::sleep(Duration::from_secs(3));
    let crashes = crashes();
    let counted = crashes.get(CRASHES - 1).or(crashes.last()).copied().unwrap_or(began);
    let arrivals = workers.iter().flat_map(|worker| worker.harmful.lock().unwrap().clone());
    let late = arrivals.filter(|at| *at > counted + STABLE).count();
    let received = sound.received.lock().unwrap();
    let first_try = |from: Instant, to: Instant| {
        let all = received.iter().filter(|stream| stream.began >= from && stream.began < to);
        let all: Vec<_> = all.collect();
        let begun = all
            .iter()
            .filter(|stream| stream.statuses.first() == Some(&200) && !stream.events.is_empty());
        (begun.count(), all.len())
    };
    let before = first_try(began - BEFORE, began);
    let from = counted + STABLE * 2;
    let after = first_try(from, until);
    let ended = entries.iter_mut().filter_map(|entry| entry.has_ended().then_some(&entry.name));
    let ended: Vec<_> = ended.cloned().collect();
    for name in &ended {
        record.say(&format!("process {name} has ended by itself"));
    }
    record.say(&format!(
        "crashes: {}, arrivals of the harmful part later than {STABLE:?} after the fifth: {late}; sound \
         requests that began at the first attempt: {} of {} before, {} of {} from {:.1} s to \
         {:.1} s after the first harmful request",
        crashes.len(),
        before.0,
        before.1,
        after.0,
        after.1,
        from.saturating_duration_since(began).as_secs_f64(),
        until.saturating_duration_since(began).as_secs_f64()
    ));
    if before.0 < ENOUGH || after.1 < ENOUGH {
        crate::cannot_run("too few sound requests");
    }
    let share = |(part, all): (usize, usize)| part as f64 / all.max(1) as f64;
    share(after) < share(before) / 2.0
}
