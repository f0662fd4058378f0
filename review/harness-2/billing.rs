//! The store comes back from a copy that is older than the first bill; then an entry is stopped as
//! planned, and another one becomes a biller that knows of no bill.

use crate::entry::{Deployment, Entry, Network, Record};
use crate::http::{Connection, Serve, Server, response, wait_until};
use crate::service;
use crate::store::Store;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["sofia-a", "sofia-b", "sofia-c"];
const ENTRIES: u8 = 5;
const STORE: u8 = 10;
const WORKERS: u8 = 11;
const PLATFORM: u8 = 12;

/// The time between two calls of tenants.
const INTERVAL: Duration = Duration::from_millis(20);

/// How long the store is away, and how old the copy is from which it comes back.
const AWAY: Duration = Duration::from_millis(1_000);
const COPY_AGE: Duration = Duration::from_millis(4_000);

/// The pause between two planned stops, as in a rolling restart.
const STOP_INTERVAL: Duration = Duration::from_millis(1_300);

/// A report that the platform's API accepted.
#[derive(Debug, Clone, PartialEq)]
struct Report {
    window: u64,
    counts: String,
    holder: String,
    fence: u64,
}

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let network = Network::find();
    let (store, store_server) = Store::start(network.free(STORE));
    store.number_epochs();
    let reports: Arc<Mutex<Vec<Report>>> = Arc::default();
    let platform = start_platform(network, &reports, record);
    let more = format!(
        "bounds.strict-revocation=false\nbounds.revoke-ms=5000\nbounds.window-s=5\n\
         bounds.usage-tolerance=0.05\nbounds.usage-late-s=10\ncloud.address={}\n\
         cloud.rate-per-s=50.0\ncloud.duties=metering\ncloud.duty-per-s=50.0\n",
        platform.address
    );
    let deployment = Deployment {
        network,
        folder: crate::folder(),
        store: store_server.address,
        zones: ZONES,
        more,
        record: record.clone(),
    };
    store.put("keyed.op", "config", CONFIG);
    for (number, zone) in ZONES.iter().enumerate() {
        let listener = TcpListener::bind((network.ip(WORKERS), 0)).expect("a port is free");
        service::start(&format!("i-ledger-{number}"), zone, listener, &store, record);
        thread::sleep(Duration::from_millis(400));
    }
    let mut entries: Vec<Entry> = (1..=ENTRIES).map(|machine| deployment.entry(machine)).collect();
    for (entry, machine) in entries.iter_mut().zip(1..) {
        deployment.start(entry, machine, true);
    }
    if !wait_until(Duration::from_secs(10), || entries.iter().all(Entry::is_ready)) {
        crate::cannot_run("the entries are not ready");
    }
    thread::sleep(Duration::from_secs(5));
    let addresses: Vec<_> = entries.iter().map(|entry| entry.callers).collect();
    let (calls, lines) = (Arc::new(Mutex::new(true)), record.clone());
    let going_on = calls.clone();
    let callers = thread::spawn(move || {
        for number in 0_u64.. {
            if !*going_on.lock().unwrap() {
                return;
            }
            let entry = addresses[usize::try_from(number).unwrap_or(0) % addresses.len()];
            let lines = lines.clone();
            thread::spawn(move || {
                let id = format!("{number:016x}");
                let key = if number % 3 == 0 { "key-south" } else { "key-north" };
                let status = service::call(entry, &id, key);
                lines.line(&format!("caller has got {status} for {id} with {key} from {entry}"));
            });
            thread::sleep(INTERVAL);
        }
    });
    let reported = |count: usize| reports.lock().unwrap().len() >= count;
    if !wait_until(Duration::from_secs(25), || reported(1)) {
        crate::cannot_run("no usage was reported");
    }
    let holder = reports.lock().unwrap()[0].holder.clone();
    if trouble {
        record.line("the store goes away");
        store.go_away();
        thread::sleep(AWAY);
        let lost = store.restore(COPY_AGE);
        record.line(&format!("the store is back from an older copy; lost records: {lost:?}"));
    } else {
        thread::sleep(AWAY);
    }
    thread::sleep(Duration::from_millis(500));
    let began = Instant::now();
    let others = entries.iter_mut().zip(1_u8..).filter(|(entry, _)| entry.name != holder);
    let mut stopped: Vec<_> = others.take(2).collect();
    for (entry, _) in &stopped {
        record.line(&format!("{} is stopped as planned (SIGTERM)", entry.name));
        entry.signal("TERM");
        thread::sleep(STOP_INTERVAL);
    }
    for (entry, machine) in &mut stopped {
        entry.wait();
        deployment.start(entry, *machine, false);
    }
    thread::sleep(Duration::from_secs(15).saturating_sub(began.elapsed()));
    *calls.lock().unwrap() = false;
    let _ = callers.join();
    judge(record, &reports.lock().unwrap())
}

/// The platform's API, which checks the fence.
fn start_platform(
    network: Network,
    reports: &Arc<Mutex<Vec<Report>>>,
    record: &Arc<Record>,
) -> Server {
    let (reports, record) = (reports.clone(), record.clone());
    let serve: Serve = Arc::new(move |mut connection: Connection| {
        while let Ok(Some(request)) = connection.read_message() {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let holder = request.header("lapismast-lease-holder").unwrap_or_default().to_owned();
            let fence =
                request.header("lapismast-fencing-token").and_then(|text| text.parse().ok());
            let fence: u64 = fence.unwrap_or(0);
            let window = body.split_once("\"window-id\":").and_then(|(_, rest)| {
                rest.split(|it: char| !it.is_ascii_digit()).next()?.parse().ok()
            });
            let counts = body.split_once("\"counts\":").map(|(_, rest)| rest.to_owned());
            let mut all = reports.lock().unwrap();
            let is_outdated = all.iter().any(|report| report.fence > fence);
            record.line(&format!("{holder} reports usage with fence {fence}: {body}"));
            let status = if is_outdated { 409 } else { 200 };
            if let (false, Some(window), Some(counts)) = (is_outdated, window, counts) {
                all.push(Report { window, counts, holder, fence });
            }
            drop(all);
            if connection.stream.write_all(&response(status, "", b"")).is_err() {
                return;
            }
        }
    });
    let listener = TcpListener::bind((network.ip(PLATFORM), 0)).expect("a port is free");
    Server::start(listener, serve)
}

fn judge(record: &Record, reports: &[Report]) -> bool {
    let mut windows: BTreeMap<u64, Vec<&Report>> = BTreeMap::new();
    for report in reports {
        windows.entry(report.window).or_default().push(report);
    }
    let mut broken = 0;
    for (window, reports) in &windows {
        if reports.iter().any(|report| report.counts != reports[0].counts) {
            broken += 1;
            record.say(&format!("window {window} was accepted with different counts: {reports:?}"));
        }
    }
    record.say(&format!(
        "windows reported: {}, with different counts: {broken} (allowed: 0)",
        windows.len()
    ));
    broken > 0
}

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"call\",\"host\":\"svc.example\",\
    \"path-prefix\":\"/call/\",\"type\":\"unsafe\",\"timeout-ms\":1000,\"target-latency-ms\":150,\
    \"priority\":2,\"service\":\"ledger\",\"max-attempts\":1,\"public\":false}],\
    \"services\":[{\"name\":\"ledger\",\"max-conns\":110}],\
    \"tenants\":[{\"name\":\"north\",\"api-keys\":[\"key-north\"]},\
    {\"name\":\"south\",\"api-keys\":[\"key-south\"]}],\
    \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
    \"header-timeout-ms\":5000,\"idle-timeout-ms\":15000}}";
