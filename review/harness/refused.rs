//! A worker that is full sheds a request, and sends that refusal a second time where the answer to
//! the next request on the connection is expected.

use crate::net::Connection;
use crate::plain::{SLOTS, Worker};
use crate::store::Store;
use crate::world::{self, Record, eventually};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The largest dose of `garble` in the site file: the share of a service's workers, the share of
/// their answers, and how long it lasts.
const WORKER_SHARE: f64 = 0.6;
const ANSWER_SHARE: f64 = 0.03;
const LASTS: Duration = Duration::from_secs(5);

/// How often it comes, and the pause between.
const TIMES: usize = 4;
const PAUSE: Duration = Duration::from_secs(1);

const WORKERS: usize = 3;
const CLIENTS: usize = 32;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"transfer","host":"svc.example",
"path-prefix":"/transfer/","type":"unsafe","timeout-ms":1000,"target-latency-ms":150,"priority":2,
"service":"ledger","max-attempts":1}],"services":[{"name":"ledger","health-path":"/healthz",
"max-conns":110,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,
"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

#[derive(Default)]
struct Answers {
    statuses: HashMap<u16, usize>,
    promised: Vec<String>,
}

pub fn run(program: &Path, record: &Arc<Record>, trouble: bool) -> i32 {
    let folder = world::folder();
    let store = Store::start();
    store.put("keyed.op", "config", &CONFIG.replace('\n', ""));
    let faulty = (WORKERS as f64 * WORKER_SHARE) as usize;
    let workers: Vec<_> = (0..WORKERS)
        .map(|number| {
            Worker::start(&format!("i-{number}"), ANSWER_SHARE, number as u64 + 1, record.clone())
        })
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    {
        let (workers, store, stop) = (workers.clone(), store.clone(), stop.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                for (number, worker) in workers.iter().enumerate() {
                    let zone = ["a", "b", "c"][number % 3];
                    let (id, address) = (&worker.id, worker.address);
                    store.put("keyed.servers", id, &format!(
                        "{{\"service\":\"ledger\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                         \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\
                         \"cold-remaining-ms\":0,\"sequence\":{sequence}}}"
                    ));
                }
                thread::sleep(Duration::from_millis(1_200));
                if stop.load(Ordering::Relaxed) {
                    return;
                }
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
    for _ in 0..TIMES {
        for worker in &workers[..faulty] {
            worker.faulty.store(trouble, Ordering::Relaxed);
        }
        record.line(if trouble { "workers send answers twice" } else { "no disruption" });
        thread::sleep(LASTS);
        for worker in &workers {
            worker.faulty.store(false, Ordering::Relaxed);
        }
        thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(Duration::from_millis(1_200));
    let died = entries.iter_mut().any(world::Entry::has_ended);
    entries.clear();
    let answers = answers.lock().unwrap();
    let ran: HashSet<String> =
        workers.iter().flat_map(|worker| worker.ran.lock().unwrap().clone()).collect();
    let broken: Vec<_> = answers.promised.iter().filter(|id| ran.contains(*id)).collect();
    for id in &broken {
        record.line(&format!("REFUSED: {id} was answered as not run, and ran"));
    }
    let summary = format!(
        "answers by status {:?}; {} promised not to have run, of which {} ran; {} ran in all",
        answers.statuses,
        answers.promised.len(),
        broken.len(),
        ran.len()
    );
    record.line(&summary);
    println!("{summary}");
    if died || answers.promised.is_empty() || ran.is_empty() {
        return 2;
    }
    i32::from(!broken.is_empty())
}

/// Sends one request after the other on a kept connection, and does as it is told after a refusal.
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
        let open = connection
            .take()
            .map_or_else(|| Connection::connect(entry, Duration::from_secs(1)), Ok);
        let Ok(mut open) = open else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let _ = open.stream.set_read_timeout(Some(Duration::from_millis(1_500)));
        sent += 1;
        let id = format!("c{number:02}n{sent:05}");
        let request = format!(
            "POST /transfer/{number} HTTP/1.1\r\nHost: svc.example\r\nLapismast-Attempt-Id: {id}\r\n\
             Lapismast-Deadline-Ms: 1000\r\nContent-Length: 7\r\n\r\nmove 10"
        );
        record.line(&format!("client sends {id}"));
        let answer = open.send(request.as_bytes()).and_then(|()| open.message(true));
        let Ok(Some(answer)) = answer else {
            record.line(&format!("client gets no answer to {id}"));
            continue;
        };
        let status = answer.status();
        let sealed = answer.header("lapismast-response-seal").is_some();
        record.line(&format!("client gets {status}, seal {sealed}, to {id}"));
        let wait =
            answer.header("retry-after").and_then(|it| it.parse::<f64>().ok()).unwrap_or(0.0);
        {
            let mut answers = answers.lock().unwrap();
            *answers.statuses.entry(status).or_default() += 1;
            if PROMISES.contains(&status) {
                answers.promised.push(id);
            }
        }
        if answer.complete && answer.header("connection") != Some("close") {
            connection = Some(open);
        }
        thread::sleep(Duration::from_secs_f64(wait.min(0.3)) + Duration::from_millis(5));
    }
}
