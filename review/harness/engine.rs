//! Model workers: they prefill, write streams, tell their state, and change their stage.

use crate::net::{self, Connection, Message};
use crate::world::{Random, Record};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Requests that an engine runs at once.
pub const SLOTS: usize = 32;

/// How long an engine takes to change its stage.
pub const SWITCH: Duration = Duration::from_secs(3);

/// The events of a stream, and the time between them.
const EVENTS: usize = 2;
const EVENT_GAP: Duration = Duration::from_millis(8);

/// How long the list of cached parts takes: "the call delays the worker's work".
const LIST_TIME: Duration = Duration::from_millis(100);

/// How an engine writes its streams.
#[derive(Debug, Clone, Copy)]
pub enum Style {
    /// In chunks, one token an event.
    Chunked,
    /// With a length, so many tokens an event, and this many tokens in all.
    Sized { group: usize, tokens: usize },
    /// In chunks, this many tokens, one an event, with this pause. They name the software version.
    Paced { tokens: usize, pause: Duration },
}

/// A model worker.
pub struct Engine {
    style: Style,
    pub id: String,
    pub zone: &'static str,
    /// The version of its software.
    pub version: &'static str,
    pub address: SocketAddr,
    /// The share of its answers that it spoils while it is faulty: it sends those in chunks a second
    /// time, and breaks off those with a length.
    pub spoilt_share: f64,
    pub faulty: AtomicBool,
    stage: Mutex<(&'static str, Option<Instant>)>,
    orders: AtomicU64,
    handles: AtomicU64,
    pub lists: AtomicU64,
    random: Random,
    record: Arc<Record>,
}

/// What an engine answers to the request with this id.
pub fn stream(id: &str) -> String {
    (1..=EVENTS).map(|number| event(id, number)).collect()
}

/// The events of a sized stream after a token, and the last token of each.
pub fn sized_events(id: &str, after: usize, group: usize, tokens: usize) -> Vec<String> {
    let firsts = (after + 1..=tokens).step_by(group);
    let event = |first: usize| {
        let last = (first + group - 1).min(tokens);
        let words: Vec<_> = (first..=last).map(|token| format!("<{id}-{token}>")).collect();
        format!("id: {last}\ndata: {}\n\n", words.concat())
    };
    firsts.map(event).collect()
}

fn event(id: &str, number: usize) -> String {
    format!("id: {number}\ndata: {id} token {number}\n\n")
}

impl Engine {
    pub fn start(
        id: &str,
        zone: &'static str,
        version: &'static str,
        stage: &'static str,
        style: Style,
        spoilt_share: f64,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let listener_port = listener.local_addr().expect("bound").port();
        let engine = Arc::new(Self {
            id: id.to_owned(),
            zone,
            version,
            address: listener.local_addr().expect("bound"),
            spoilt_share,
            style,
            faulty: AtomicBool::new(false),
            stage: Mutex::new((stage, None)),
            orders: AtomicU64::new(0),
            handles: AtomicU64::new(0),
            lists: AtomicU64::new(0),
            random: Random::new(u64::from(std::process::id()) << 16 | u64::from(listener_port)),
            record,
        });
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                thread::spawn(move || engine.serve(Connection::new(stream)));
            }
        });
        engine
    }

    /// The stage, and whether a change of it is in progress.
    fn stage(&self) -> (&'static str, bool) {
        let mut stage = self.stage.lock().unwrap();
        if stage.1.is_some_and(|until| Instant::now() >= until) {
            *stage = (if stage.0 == "prefill" { "decode" } else { "prefill" }, None);
        }
        (stage.0, stage.1.is_some())
    }

    /// The record in the store.
    pub fn entry(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"lm\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold-remaining-ms\":0,\"stage\":\"{}\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence}}}",
            self.address,
            self.zone,
            self.version,
            self.stage().0
        )
    }

    fn serve(&self, mut connection: Connection) {
        // A second copy of an answer to a request, which goes out where the next answer is expected.
        let mut extra: Option<(String, Vec<u8>)> = None;
        while let Ok(Some(request)) = connection.message(false) {
            if let Some((id, late)) = extra.take() {
                let (method, path) = (request.method(), request.path());
                self.record.line(&format!(
                    "{} gets {method} {path} and sends a second copy of its answer to {id} first",
                    self.id
                ));
                if connection.send(&late).is_err() {
                    return;
                }
            }
            let Some(answer) = self.answer(&request, &mut connection) else { return };
            let id = request.header("lapismast-attempt-id").unwrap_or_default();
            let is_chunked = matches!(self.style, Style::Chunked);
            if !id.is_empty() && is_chunked && self.is_spoilt() {
                extra = Some((id.to_owned(), answer));
            }
        }
    }

    fn is_spoilt(&self) -> bool {
        self.faulty.load(Ordering::Relaxed) && self.random.share() < self.spoilt_share
    }

    /// Sends a stream with its length; breaks some off in the middle of an event.
    fn send_sized(
        &self,
        request: &Message,
        connection: &mut Connection,
        head: &str,
        (group, tokens): (usize, usize),
    ) -> Option<Vec<u8>> {
        let id = request.header("lapismast-attempt-id").unwrap_or_default();
        let after = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let events = sized_events(id, after, group, tokens);
        let length: usize = events.iter().map(String::len).sum();
        let breaks_at = self.is_spoilt().then_some(events.len() / 2);
        self.record.line(&format!(
            "{} writes {id} after token {after}: {} events, {length} bytes{}",
            self.id,
            events.len(),
            breaks_at.map(|at| format!(", and breaks off in event {}", at + 1)).unwrap_or_default()
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{head}Lapismast-Response-Seal: seal-{}-{id}\r\n\
             Content-Type: text/event-stream\r\nContent-Length: {length}\r\n\r\n",
            self.id
        );
        // The answer is ready as a whole, so its length is known.
        thread::sleep(EVENT_GAP * u32::try_from(tokens - after).unwrap_or(1));
        connection.send(head.as_bytes()).ok()?;
        let Some(at) = breaks_at else {
            connection.send(events.concat().as_bytes()).ok()?;
            return Some(Vec::new());
        };
        let cut = &events[at][..events[at].len() / 2];
        connection.send((events[..at].concat() + cut).as_bytes()).ok()?;
        None
    }

    /// Sends a long stream in chunks.
    fn send_paced(
        &self,
        request: &Message,
        connection: &mut Connection,
        head: &str,
        (tokens, pause): (usize, Duration),
    ) -> Option<Vec<u8>> {
        let id = request.header("lapismast-attempt-id").unwrap_or_default();
        let after = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        self.record.line(&format!("{} {} runs {id} after event {after}", self.id, self.version));
        let mut piece = format!(
            "HTTP/1.1 200 OK\r\n{head}Lapismast-Response-Seal: seal-{}-{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        for token in after + 1..=tokens {
            let event = format!("id: {token}\ndata: {}\n\n", self.version);
            piece.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
            connection.send(piece.as_bytes()).ok()?;
            piece.clear();
            thread::sleep(pause);
        }
        connection.send(b"0\r\n\r\n").ok()?;
        Some(Vec::new())
    }

    /// Answers a request; returns what was sent.
    fn answer(&self, request: &Message, connection: &mut Connection) -> Option<Vec<u8>> {
        const JSON: &str = "Content-Type: application/json\r\n";
        let (stage, busy) = self.stage();
        let whole = |bytes: Vec<u8>, connection: &mut Connection| {
            connection.send(&bytes).ok()?;
            Some(bytes)
        };
        match (request.method(), request.path()) {
            ("GET", "/kv-list") => {
                self.lists.fetch_add(1, Ordering::Relaxed);
                thread::sleep(LIST_TIME);
                let body = "{\"epoch\":1,\"next\":0,\"held\":[[\"\",\"aa\",79,\"m\"]]}";
                return whole(net::response("200 OK", JSON, body.as_bytes()), connection);
            }
            ("GET", "/report") => {
                let sequence = self.orders.load(Ordering::Relaxed);
                let body = format!(
                    "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                     \"adapters\":[]}}],\"busy\":{busy},\"sequence\":{sequence},\"queued\":0,\
                     \"active\":0,\"kv-used\":0,\"kv-total\":232000,\"kv-handles\":0}}"
                );
                return whole(net::response("200 OK", JSON, body.as_bytes()), connection);
            }
            ("DELETE", _) => return whole(net::response("200 OK", "", b""), connection),
            ("POST", "/order") => {
                let wanted =
                    String::from_utf8_lossy(&request.body).contains("\"stage\":\"prefill\"");
                let wanted = if wanted { "prefill" } else { "decode" };
                let status = match (busy, wanted == stage) {
                    (true, _) => "409 Conflict",
                    (false, true) => "200 OK",
                    (false, false) => {
                        self.orders.fetch_add(1, Ordering::Relaxed);
                        self.stage.lock().unwrap().1 = Some(Instant::now() + SWITCH);
                        self.record.line(&format!("{} changes to {wanted}", self.id));
                        "202 Accepted"
                    }
                };
                return whole(net::response(status, "", b""), connection);
            }
            _ => {}
        }
        let id = request.header("lapismast-attempt-id").unwrap_or_default();
        let prefills = request.header("lapismast-serving-stage") == Some("prefill");
        let expected = request.header("lapismast-expected-instance");
        if expected.is_some_and(|it| it != self.id) || prefills != (stage == "prefill") {
            let instance = format!("Lapismast-Instance-Id: {}\r\n", self.id);
            return whole(net::response("421 Misdirected Request", &instance, b""), connection);
        }
        if busy {
            let headers = "Lapismast-Not-Executed: 1\r\n";
            return whole(net::response("503 Service Unavailable", headers, b""), connection);
        }
        let head = format!(
            "Lapismast-Attempt-Id: {id}\r\nLapismast-Instance-Load: 1,0,{SLOTS}\r\n\
             Keep-Alive: timeout=10\r\n"
        );
        if prefills {
            thread::sleep(Duration::from_millis(3));
            let handle = self.handles.fetch_add(1, Ordering::Relaxed);
            let body = format!("{{\"kv-handle\":\"{handle:012x}\",\"tokens\":220,\"version\":1}}");
            let headers = format!("{head}{JSON}");
            return whole(net::response("200 OK", &headers, body.as_bytes()), connection);
        }
        if let Style::Sized { group, tokens } = self.style {
            return self.send_sized(request, connection, &head, (group, tokens));
        }
        if let Style::Paced { tokens, pause } = self.style {
            return self.send_paced(request, connection, &head, (tokens, pause));
        }
        self.record.line(&format!("{} runs {id}", self.id));
        let mut sent = format!(
            "HTTP/1.1 200 OK\r\n{head}Lapismast-Response-Seal: seal-{}-{id}\r\n\
             Lapismast-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let mut piece = sent.clone();
        for number in 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            let event = event(id, number);
            piece.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
            if number == EVENTS {
                piece.push_str("0\r\n\r\n");
            }
            connection.send(piece.as_bytes()).ok()?;
            if number == 1 {
                sent.clear();
            }
            sent.push_str(&piece);
            piece.clear();
        }
        Some(sent.into_bytes())
    }
}
