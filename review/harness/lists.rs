//! Entries are stopped and started in turn, while workers send some answers a second time where the
//! next answer on the connection is expected.

use crate::engine::{self, Engine, SLOTS, Style};
use crate::net::Connection;
use crate::store::Store;
use crate::world::{self, Balancer, Random, Record, eventually};
use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The largest dose of `garble` in the site file: the share of a service's workers and the share of
/// their answers.
const WORKER_SHARE: f64 = 0.6;
const ANSWER_SHARE: f64 = 0.03;

/// The pause between two stops of `roll_term` in the site file.
const STOP_GAP: Duration = Duration::from_millis(1_000);

/// How long a deployment serves before the disruption.
const BEFORE: Duration = Duration::from_secs(4);

/// How long it lasts.
const LASTS: Duration = Duration::from_secs(100);

const ZONES: [&str; 3] = ["a", "b", "c"];
const ENTRIES: usize = 5;
const ENGINES: usize = 30;
const CLIENTS: usize = 60;

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"explain\",\"host\":\"svc.example\",\
         \"path-prefix\":\"/explain/\",\"type\":\"streaming\",\"timeout-ms\":15000,\
         \"target-latency-ms\":120,\"priority\":1,\"service\":\"lm\",\"max-attempts\":1,\
         \"sticky\":true,\"resumable\":false,\"gap-target-ms\":150}}],\
         \"services\":[{{\"name\":\"lm\",\"health-path\":\"/healthz\",\"max-conns\":240,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{SLOTS},\"kv-capacity\":232000,\
         \"kv-bytes\":327680,\"link-mbps\":8500000.0,\"moves\":true,\"backups\":true,\"most\":12,\
         \"handle-ttl-s\":5.0,\"switch-s\":3.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}

#[derive(Default)]
struct Answers {
    statuses: HashMap<u16, usize>,
    lost: usize,
    foreign: usize,
}

pub fn run(program: &Path, record: &Arc<Record>, trouble: bool) -> i32 {
    let answers = Arc::new(Mutex::new(Answers::default()));
    let Some(lists) = play(program, record, trouble, &answers) else { return 2 };
    let answers = answers.lock().unwrap();
    let summary = format!(
        "answers by status {:?}, {} cut off; {lists} calls of /kv-list; {} successes without a seal \
         or with another body",
        answers.statuses, answers.lost, answers.foreign
    );
    record.line(&summary);
    println!("{summary}");
    if answers.statuses.get(&200).copied().unwrap_or(0) < 1_000 {
        return 2;
    }
    i32::from(answers.foreign > 0)
}

/// Returns the number of calls of `/kv-list`, or `None` if the entries did not start.
fn play(
    program: &Path,
    record: &Arc<Record>,
    trouble: bool,
    answers: &Arc<Mutex<Answers>>,
) -> Option<u64> {
    let folder = world::folder();
    let store = Store::start();
    store.put("keyed.op", "config", &config());
    let engines: Vec<_> = (0..ENGINES)
        .map(|number| {
            let (zone, stage) = (ZONES[number % 3], if number < 6 { "prefill" } else { "decode" });
            let id = format!("i-{number:02}");
            Engine::start(&id, zone, "v1", stage, Style::Chunked, ANSWER_SHARE, record.clone())
        })
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    {
        let (engines, store, stop) = (engines.clone(), store.clone(), stop.clone());
        thread::spawn(move || {
            let mut sequence = 0;
            while !stop.load(Ordering::Relaxed) {
                sequence += 1;
                for engine in &engines {
                    store.put("keyed.servers", &engine.id, &engine.entry(sequence));
                }
                thread::sleep(Duration::from_millis(1_200));
            }
        });
    }
    let zones: Vec<_> = (0..ENTRIES).map(|number| ZONES[number % 3]).collect();
    let mut entries = world::entries(program, &folder.0, &zones, store.address);
    entries.iter_mut().for_each(world::Entry::start);
    if !eventually(Duration::from_secs(15), || entries.iter().all(world::Entry::is_ready)) {
        record.line("an entry is not ready");
        return None;
    }
    // From now on the system does not start for the first time.
    entries.iter().for_each(world::Entry::end_bootstrap);
    let balancer = Arc::new(Balancer::new(&entries));
    let watching = (balancer.clone(), stop.clone());
    thread::spawn(move || watching.0.watch(&watching.1));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (balancer, answers) = (balancer.clone(), answers.clone());
            let (stop, record) = (stop.clone(), record.clone());
            thread::spawn(move || client(number, &balancer, &answers, &stop, &record))
        })
        .collect();
    let random = Random::new(u64::from(store.address.port()) << 20 | u64::from(std::process::id()));
    let faulty = (ENGINES as f64 * WORKER_SHARE) as usize;
    let mut order: Vec<usize> = (0..ENGINES).collect();
    order.sort_by_cached_key(|_| random.next());
    thread::sleep(BEFORE);
    for at in &order[..faulty] {
        engines[*at].faulty.store(trouble, Ordering::Relaxed);
    }
    let (began, mut next, mut stopped_at) = (Instant::now(), 0, Instant::now());
    let mut stopping = vec![false; ENTRIES];
    while began.elapsed() < LASTS {
        for (entry, stopping) in entries.iter_mut().zip(&mut stopping) {
            if *stopping && entry.has_ended() {
                entry.start();
                record.line(&format!("{} starts", entry.name));
                *stopping = false;
            }
        }
        // One after the other; the first again once all are back.
        let may_stop = !stopping[next] && (next > 0 || stopping.iter().all(|it| !it));
        if trouble && may_stop && stopped_at.elapsed() >= STOP_GAP {
            record.line(&format!("{} gets SIGTERM", entries[next].name));
            entries[next].signal("TERM");
            (stopping[next], stopped_at, next) = (true, Instant::now(), (next + 1) % ENTRIES);
        }
        thread::sleep(Duration::from_millis(50));
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    entries.clear();
    Some(engines.iter().map(|engine| engine.lists.load(Ordering::Relaxed)).sum())
}

fn client(
    number: usize,
    balancer: &Balancer,
    answers: &Mutex<Answers>,
    stop: &AtomicBool,
    record: &Record,
) {
    let mut connection: Option<Connection> = None;
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        let open = connection.take();
        let open =
            open.map_or_else(|| Connection::connect(balancer.pick().1, Duration::from_secs(1)), Ok);
        let Ok(mut open) = open else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let _ = open.stream.set_read_timeout(Some(Duration::from_secs(16)));
        sent += 1;
        let id = format!("c{number:02}n{sent:05}");
        let request = format!(
            "POST /explain/{number} HTTP/1.1\r\nHost: svc.example\r\nLapismast-Attempt-Id: {id}\r\n\
             Lapismast-Deadline-Ms: 15000\r\nLapismast-Model: m\r\nLapismast-Token-Usage: 220,2\r\n\
             Lapismast-Prefix-Hash: aa:79,{number:02x}{sent:06x}:141\r\nContent-Length: 3\r\n\r\nwhy"
        );
        let answer = open.send(request.as_bytes()).and_then(|()| open.message(true));
        let Ok(Some(answer)) = answer else {
            answers.lock().unwrap().lost += 1;
            continue;
        };
        let status = answer.status();
        let sealed = answer.header("lapismast-response-seal").is_some();
        let is_own = sealed && answer.body == engine::stream(&id).into_bytes();
        {
            let mut answers = answers.lock().unwrap();
            *answers.statuses.entry(status).or_default() += 1;
            if (200..300).contains(&status) && answer.complete && !is_own {
                answers.foreign += 1;
                let body = String::from_utf8_lossy(&answer.body).replace('\n', "|");
                record.line(&format!("MIXED: {id} gets {status}, seal {sealed}, body {body}"));
            }
            if !answer.complete {
                answers.lost += 1;
            }
        }
        let wait =
            answer.header("retry-after").and_then(|it| it.parse::<f64>().ok()).unwrap_or(0.0);
        if answer.complete && answer.header("connection") != Some("close") {
            connection = Some(open);
        }
        thread::sleep(Duration::from_secs_f64(wait.min(1.0)) + Duration::from_millis(10));
    }
}
