//! A model worker as the pages describe it, and its record in the store.

use crate::entry::Record;
use crate::http::{Connection, Message, Serve, Server, response};
use crate::store::Store;
use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// The pause between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// How often a worker writes its record.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A model worker.
pub struct Engine {
    pub id: String,
    pub version: String,
    zone: &'static str,
    stage: Mutex<&'static str>,
    born: AtomicU64,
    address: String,
    server: Mutex<Option<Server>>,
    store: Store,
    record: Arc<Record>,
    sequence: AtomicU64,
    draining: AtomicBool,
    ended: AtomicBool,
    handles: AtomicU64,
    running: AtomicU64,
    runs: AtomicU64,
    /// Whether it is down after a crash, to start again under its id.
    down: AtomicBool,
    /// When requests with a harmful part reached it, and when it crashed under them.
    pub harmful: Mutex<Vec<Instant>>,
    pub crashes: Mutex<Vec<Instant>>,
}

/// The part of prompts that crashes each worker which begins an answer on it.
pub const HARMFUL_PART: &str = "dead";

/// How long a worker is down after a crash.
const DOWN: Duration = Duration::from_millis(3_000);

impl Engine {
    /// Starts a worker, which registers itself.
    pub fn start(
        id: &str,
        version: &str,
        zone: &'static str,
        stage: &'static str,
        listener: TcpListener,
        store: &Store,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let address = listener.local_addr().expect("a bound listener has an address");
        let engine = Arc::new(Self {
            id: id.into(),
            version: version.into(),
            zone,
            stage: Mutex::new(stage),
            born: AtomicU64::new(u64::try_from(since.as_millis()).unwrap_or(0)),
            address: address.to_string(),
            server: Mutex::default(),
            store: store.clone(),
            record: record.clone(),
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            handles: AtomicU64::new(0),
            running: AtomicU64::new(0),
            runs: AtomicU64::new(0),
            down: AtomicBool::new(false),
            harmful: Mutex::default(),
            crashes: Mutex::default(),
        });
        let serving = engine.clone();
        let serve: Serve = Arc::new(move |connection| serving.serve(connection));
        *engine.server.lock().unwrap() = Some(Server::start(listener, serve));
        record.line(&format!("worker {id} of version {version} starts at {address} ({stage})"));
        engine.register();
        let beating = engine.clone();
        thread::spawn(move || {
            while !beating.ended.load(Ordering::SeqCst) {
                thread::sleep(HEARTBEAT);
                let down = beating.down.load(Ordering::SeqCst);
                if !down && !beating.ended.load(Ordering::SeqCst) {
                    beating.register();
                }
            }
        });
        engine
    }

    fn register(&self) {
        self.store.put("keyed.servers", &self.id, &self.next_record());
    }

    fn next_record(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let (address, zone, version) = (&self.address, self.zone, &self.version);
        let born = self.born.load(Ordering::SeqCst);
        let stage = *self.stage.lock().unwrap();
        format!(
            "{{\"service\":\"lm\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":32,\"state\":\"{state}\",\"cold-remaining-ms\":0,\
             \"sequence\":{sequence},\"born\":{born},\"stage\":\"{stage}\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]}}"
        )
    }

    /// Reports that it is draining, and the store deletes the history of keyed topics right then.
    pub fn drain_as_history_goes(&self) {
        self.record.line(&format!("worker {} drains; the store deletes history", self.id));
        self.draining.store(true, Ordering::SeqCst);
        let record = self.next_record();
        self.store.put_and_delete_history("keyed.servers", &self.id, &record);
    }

    /// Whether it has run anything.
    pub fn has_run(&self) -> bool {
        self.runs.load(Ordering::SeqCst) > 0
    }

    /// Reports that it is draining.
    pub fn drain(&self) {
        self.record.line(&format!("worker {} drains", self.id));
        self.draining.store(true, Ordering::SeqCst);
        self.register();
    }

    /// Ends it. Its record stays, as after a crash.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.close();
        }
    }

    /// Removes its record, as the platform does after three heartbeats without a sign.
    pub fn remove(&self) {
        self.record.line(&format!("the record of worker {} is removed", self.id));
        self.store.put("keyed.servers", &self.id, "");
    }

    /// Crashes, and starts again under its id some seconds later.
    fn crash(self: &Arc<Self>) {
        if self.down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.record.line(&format!("worker {} crashes", self.id));
        self.crashes.lock().unwrap().push(Instant::now());
        let server = self.server.lock().unwrap().take();
        let engine = self.clone();
        thread::spawn(move || {
            if let Some(server) = server {
                server.close();
            }
            thread::sleep(DOWN);
            let Ok(listener) = TcpListener::bind(&engine.address) else { return };
            let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            let born = since.unwrap_or_default().as_millis();
            engine.born.store(u64::try_from(born).unwrap_or(0), Ordering::SeqCst);
            engine.sequence.store(0, Ordering::SeqCst);
            engine.running.store(0, Ordering::SeqCst);
            engine.down.store(false, Ordering::SeqCst);
            let serving = engine.clone();
            let serve: Serve = Arc::new(move |connection| serving.serve(connection));
            *engine.server.lock().unwrap() = Some(Server::start(listener, serve));
            engine.record.line(&format!("worker {} starts again", engine.id));
            engine.register();
        });
    }

    fn serve(self: &Arc<Self>, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_message() {
            if self.down.load(Ordering::SeqCst) {
                return;
            }
            if self.ended.load(Ordering::SeqCst) || self.respond(&mut connection, &request).is_err()
            {
                return;
            }
        }
    }

    fn respond(
        self: &Arc<Self>,
        connection: &mut Connection,
        request: &Message,
    ) -> std::io::Result<()> {
        let id = request.header("lapismast-attempt-id").unwrap_or_default().to_owned();
        let stage = *self.stage.lock().unwrap();
        let json = "Content-Type: application/json\r\n";
        let head = format!("Lapismast-Attempt-Id: {id}\r\nKeep-Alive: timeout=10\r\n");
        let expected = request.header("lapismast-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return connection.stream.write_all(&response(421, &head, b""));
        }
        match (request.method(), request.path()) {
            ("GET", "/report") => {
                let running = self.running.load(Ordering::SeqCst);
                let body = format!(
                    "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                     \"adapters\":[]}}],\"busy\":false,\"sequence\":0,\"queued\":0,\
                     \"active\":{running},\"kv-used\":0,\"kv-total\":232000,\"kv-handles\":0,\
                     \"born\":{}}}",
                    self.born.load(Ordering::SeqCst)
                );
                return connection.stream.write_all(&response(200, json, body.as_bytes()));
            }
            ("GET", "/kv-list") => {
                let body = b"{\"epoch\":1,\"next\":1,\"held\":[]}";
                return connection.stream.write_all(&response(200, json, body));
            }
            ("GET", "/healthz") => {
                let headers = format!("Lapismast-Instance-Id: {}\r\n", self.id);
                return connection.stream.write_all(&response(200, &headers, b""));
            }
            ("POST", "/order") => {
                let order = String::from_utf8_lossy(&request.body).into_owned();
                self.record.line(&format!("worker {} gets the order {order}", self.id));
                // It is busy with another order for the whole run, so that stages stay as they are.
                return connection.stream.write_all(&response(409, json, b"{}"));
            }
            ("DELETE", _) => return connection.stream.write_all(&response(200, json, b"{}")),
            _ => {}
        }
        if request.header("lapismast-serving-stage") == Some("prefill") {
            if stage != "prefill" {
                return connection.stream.write_all(&response(421, &head, b""));
            }
            let handle = self.handles.fetch_add(1, Ordering::SeqCst);
            let body =
                format!("{{\"kv-handle\":\"{}-{handle}\",\"tokens\":1,\"version\":1}}", self.id);
            return connection.stream.write_all(&response(200, &(head + json), body.as_bytes()));
        }
        if stage != "decode" {
            return connection.stream.write_all(&response(421, &head, b""));
        }
        let parts = request.header("lapismast-prefix-hash").unwrap_or_default();
        if parts.split(',').any(|part| part.split(':').next() == Some(HARMFUL_PART)) {
            self.record.line(&format!("worker {} gets {id} with the harmful part", self.id));
            self.harmful.lock().unwrap().push(Instant::now());
            self.crash();
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        self.runs.fetch_add(1, Ordering::SeqCst);
        let streamed = self.stream(connection, request, &head);
        self.running.fetch_sub(1, Ordering::SeqCst);
        streamed
    }

    /// Streams the events after the one that the request names.
    fn stream(
        &self,
        connection: &mut Connection,
        request: &Message,
        head: &str,
    ) -> std::io::Result<()> {
        let attempt = request.header("lapismast-attempt-id").unwrap_or_default();
        let number = |name: &str| request.header(name).and_then(|text| text.trim().parse().ok());
        let after: u64 = number("last-event-id").unwrap_or(0);
        let deadline = Duration::from_millis(number("lapismast-deadline-ms").unwrap_or(10_000));
        let tokens = request.header("lapismast-token-usage").unwrap_or_default();
        let count: u64 = tokens.split(',').nth(1).and_then(|count| count.parse().ok()).unwrap_or(1);
        self.record.line(&format!(
            "worker {} of version {} runs {attempt} after event {after}",
            self.id, self.version
        ));
        let began = Instant::now();
        let head = format!(
            "HTTP/1.1 200 OK\r\n{head}Lapismast-Response-Seal: {}.{attempt}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        connection.stream.write_all(head.as_bytes())?;
        for event in after + 1..=count {
            let gone = self.ended.load(Ordering::SeqCst) || self.down.load(Ordering::SeqCst);
            if gone || began.elapsed() > deadline {
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            let text = format!("id: {event}\ndata: {} {}\n\n", self.version, self.id);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            connection.stream.write_all(chunk.as_bytes())?;
            thread::sleep(EVENT_INTERVAL);
        }
        connection.stream.write_all(b"0\r\n\r\n")
    }
}
