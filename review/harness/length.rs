//! Workers send short streams with a length, and break some off. The rest of a stream comes from another
//! worker, which puts another number of tokens into each event.

use crate::engine::{Engine, SLOTS, Style};
use crate::net::Connection;
use crate::store::Store;
use crate::world::{self, Random, Record, eventually};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The largest dose of `garble` in the site file: the share of a service's workers, the share of
/// their answers, and how long it lasts.
const WORKER_SHARE: f64 = 0.35;
const ANSWER_SHARE: f64 = 0.02;
const LASTS: Duration = Duration::from_millis(5_500);

/// How often it comes, and the pause between.
const TIMES: usize = 4;
const PAUSE: Duration = Duration::from_secs(1);

const ENGINES: usize = 9;
const CLIENTS: usize = 16;

/// Tokens of each answer.
const TOKENS: usize = 6;

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"check\",\"host\":\"svc.example\",\
         \"path-prefix\":\"/check/\",\"type\":\"streaming\",\"timeout-ms\":2000,\
         \"target-latency-ms\":150,\"priority\":0,\"service\":\"lm\",\"max-attempts\":2,\
         \"sticky\":true,\"resumable\":true,\"gap-target-ms\":150}}],\
         \"services\":[{{\"name\":\"lm\",\"health-path\":\"/healthz\",\"max-conns\":240,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{SLOTS},\"kv-capacity\":232000,\
         \"kv-bytes\":327680,\"link-mbps\":8500000.0,\"moves\":true,\"backups\":true,\"most\":12,\
         \"handle-ttl-s\":5.0,\"switch-s\":3.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":2000}}}}"
    )
}

#[derive(Default)]
struct Answers {
    statuses: HashMap<u16, usize>,
    cut: usize,
    truncated: usize,
}

pub fn run(program: &Path, record: &Arc<Record>, trouble: bool) -> i32 {
    let folder = world::folder();
    let store = Store::start();
    store.put("keyed.op", "config", &config());
    let engines: Vec<_> = (0..ENGINES)
        .map(|number| {
            let stage = if number < 2 { "prefill" } else { "decode" };
            let style = Style::Sized { group: 1 + number % 3, tokens: TOKENS };
            let (id, zone) = (format!("i-{number:02}"), ["a", "b"][number % 2]);
            Engine::start(&id, zone, "v1", stage, style, ANSWER_SHARE, record.clone())
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
    let mut entries = world::entries(program, &folder.0, &["a", "b"], store.address);
    entries.iter_mut().for_each(world::Entry::start);
    if !eventually(Duration::from_secs(15), || entries.iter().all(world::Entry::is_ready)) {
        record.line("an entry is not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(1));
    let answers = Arc::new(Mutex::new(Answers::default()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let entry = entries[number % entries.len()].callers();
            let (answers, stop, record) = (answers.clone(), stop.clone(), record.clone());
            thread::spawn(move || client(number, entry, &answers, &stop, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let faulty = (ENGINES as f64 * WORKER_SHARE) as usize;
    let random = Random::new(u64::from(std::process::id()));
    for _ in 0..TIMES {
        let mut order: Vec<usize> = (0..ENGINES).collect();
        order.sort_by_cached_key(|_| random.next());
        for at in &order[..faulty] {
            engines[*at].faulty.store(trouble, Ordering::Relaxed);
        }
        record.line(if trouble { "workers break answers off" } else { "no disruption" });
        thread::sleep(LASTS);
        engines.iter().for_each(|engine| engine.faulty.store(false, Ordering::Relaxed));
        thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    entries.clear();
    let answers = answers.lock().unwrap();
    let summary = format!(
        "answers by status {:?}, {} visibly cut off, {} look complete and lack their last tokens",
        answers.statuses, answers.cut, answers.truncated
    );
    record.line(&summary);
    println!("{summary}");
    if answers.statuses.get(&200).copied().unwrap_or(0) < 1_000 {
        return 2;
    }
    i32::from(answers.truncated > 0)
}

fn client(
    number: usize,
    entry: SocketAddr,
    answers: &Mutex<Answers>,
    stop: &AtomicBool,
    record: &Record,
) {
    let mut connection: Option<Connection> = None;
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        let open = connection.take();
        let open = open.map_or_else(|| Connection::connect(entry, Duration::from_secs(1)), Ok);
        let Ok(mut open) = open else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let _ = open.stream.set_read_timeout(Some(Duration::from_millis(2_500)));
        sent += 1;
        let id = format!("c{number:02}n{sent:05}");
        let request = format!(
            "POST /check/{number} HTTP/1.1\r\nHost: svc.example\r\nLapismast-Attempt-Id: {id}\r\n\
             Lapismast-Deadline-Ms: 2000\r\nLapismast-Model: m\r\n\
             Lapismast-Token-Usage: 9190,{TOKENS}\r\n\
             Lapismast-Prefix-Hash: {:x}:6300,{number:02x}{sent:06x}:2890\r\nContent-Length: 3\r\n\r\nwhy",
            0xa0 + sent % 32
        );
        let answer = open.send(request.as_bytes()).and_then(|()| open.message(true));
        let Ok(Some(answer)) = answer else {
            answers.lock().unwrap().cut += 1;
            continue;
        };
        let (status, body) = (answer.status(), String::from_utf8_lossy(&answer.body).into_owned());
        let words: Vec<String> = (1..=TOKENS).map(|token| format!("<{id}-{token}>")).collect();
        let text: String = body.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
        let is_whole = text == words.concat() && body.ends_with("\n\n");
        {
            let mut answers = answers.lock().unwrap();
            *answers.statuses.entry(status).or_default() += 1;
            answers.cut += usize::from(!answer.complete);
            if status == 200 && answer.complete && !is_whole {
                answers.truncated += 1;
                record.line(&format!(
                    "ORDER: {id} gets a complete answer that ends with {:?}",
                    &body[body.len().saturating_sub(60)..]
                ));
            } else {
                record
                    .line(&format!("client gets {status}, complete {}, to {id}", answer.complete));
            }
        }
        if answer.complete && answer.header("connection") != Some("close") {
            connection = Some(open);
        }
        thread::sleep(Duration::from_millis(10));
    }
}
