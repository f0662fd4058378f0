//! Callers of streams, who come back at another entry when a stream is cut off.

use crate::entry::Record;
use crate::http::Connection;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What one caller received of a stream, over its tries.
#[derive(Clone)]
pub struct Received {
    /// When its caller first sent it.
    pub began: Instant,
    pub first_attempt: String,
    /// The id and the version of each event.
    pub events: Vec<(u64, String)>,
    pub complete: bool,
    pub tries: u32,
    /// How many events had arrived when the caller first came back, and when that was.
    pub returned: Option<(usize, Instant)>,
    /// The status of each try; 0 if there was no answer.
    pub statuses: Vec<u16>,
}

/// How the callers behave.
#[derive(Clone, Copy)]
pub struct Behaviour {
    /// The events of a stream.
    pub events: u64,
    /// How long a caller waits in total.
    pub deadline: Duration,
    /// The time between two streams of callers.
    pub interval: Duration,
    /// How often a caller comes back.
    pub retries: u32,
    /// The parts of the prompt that requests share, with their tokens; the last part of each prompt is
    /// its own.
    pub shared_parts: &'static str,
    /// The number of the first request.
    pub first_number: u64,
}

pub struct Callers {
    entries: Vec<(String, SocketAddr)>,
    behaviour: Behaviour,
    number: AtomicU64,
    record: Arc<Record>,
    pub received: Mutex<Vec<Received>>,
}

impl Callers {
    pub fn new(
        entries: Vec<(String, SocketAddr)>,
        behaviour: Behaviour,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let (number, received) = (AtomicU64::new(behaviour.first_number), Mutex::default());
        Arc::new(Self { entries, behaviour, number, record: record.clone(), received })
    }

    /// Sends streams at a constant rate, each from a caller of its own.
    pub fn send_for(self: &Arc<Self>, span: Duration) {
        let began = Instant::now();
        let mut due = Duration::ZERO;
        while due < span {
            let number = self.number.fetch_add(1, Ordering::SeqCst);
            let callers = self.clone();
            thread::spawn(move || callers.call(number));
            due += self.behaviour.interval;
            thread::sleep(due.saturating_sub(began.elapsed()));
        }
    }

    /// One caller: sends its request, and comes back at other entries.
    fn call(&self, number: u64) {
        let began = Instant::now();
        let mut stream = Received {
            began,
            first_attempt: format!("{number:08x}00000001"),
            events: Vec::new(),
            complete: false,
            tries: 0,
            returned: None,
            statuses: Vec::new(),
        };
        let count = self.entries.len();
        let number_of = usize::try_from(number).unwrap_or_default();
        let first = number_of % count;
        // Retries reach other nodes, as a hash of the caller decides.
        let step = 1 + number_of / count % (count - 1);
        for at in 0..=self.behaviour.retries {
            let retry = usize::try_from(at).unwrap_or_default();
            let entry = match at {
                0 => first,
                _ => (first + 1 + (step + retry - 2) % (count - 1)) % count,
            };
            if at == 1 {
                stream.returned = Some((stream.events.len(), Instant::now()));
            }
            let attempt = format!("{number:08x}{:08x}", at + 1);
            stream.tries += 1;
            let wait = self.attempt(entry, &attempt, &mut stream);
            let left = self.behaviour.deadline.saturating_sub(began.elapsed());
            if stream.complete || left.is_zero() {
                break;
            }
            thread::sleep(wait.min(left / 3));
        }
        self.received.lock().unwrap().push(stream);
    }

    /// One try. Returns how long the entry asks to wait.
    fn attempt(&self, at: usize, id: &str, stream: &mut Received) -> Duration {
        let (name, address) = &self.entries[at];
        let left = self.behaviour.deadline.saturating_sub(stream.began.elapsed()).as_millis();
        let (number, events) = (id.split_at(8).0, self.behaviour.events);
        let mut headers = format!(
            "Host: svc.example\r\nLapismast-Attempt-Id: {id}\r\nLapismast-Model: m\r\n\
             Lapismast-Token-Usage: 220,{events}\r\n\
             Lapismast-Prefix-Hash: {},{number}:141\r\nLapismast-Deadline-Ms: {left}\r\n",
            self.behaviour.shared_parts
        );
        let last = stream.events.last().map(|(last, _)| *last);
        if let Some(last) = last {
            headers += &format!("Last-Event-Id: {last}\r\nResumes: {}\r\n", stream.first_attempt);
        }
        self.record.line(&format!("caller sends {id} to {name}, after event {last:?}"));
        // The body is the prompt, which no other request has.
        let length = number.len();
        let request =
            format!("POST /gen/1 HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{number}");
        let before = stream.statuses.len();
        let outcome = self.receive(*address, request.as_bytes(), stream);
        if stream.statuses.len() == before {
            stream.statuses.push(0);
        }
        let status = stream.statuses[before];
        let (outcome, wait) = match outcome {
            Ok(wait) => (status.to_string(), wait),
            Err(error) => (format!("{status}, cut off: {error}"), Duration::ZERO),
        };
        let last = stream.events.last().map(|(last, version)| format!("{last} of {version}"));
        self.record.line(&format!(
            "caller has got {id} from {name}: {outcome}, last event {}",
            last.unwrap_or_default()
        ));
        wait
    }

    fn receive(
        &self,
        address: SocketAddr,
        request: &[u8],
        stream: &mut Received,
    ) -> std::io::Result<Duration> {
        let mut connection = Connection::open(address, Duration::from_secs(2))?;
        connection.stream.write_all(request)?;
        let head = connection.read_head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        stream.statuses.push(head.status());
        if head.status() != 200 {
            let wait = head.header("retry-after").and_then(|text| text.parse().ok());
            return Ok(Duration::from_secs_f64(wait.unwrap_or(0.0)));
        }
        let mut text = String::new();
        loop {
            let chunk = connection.read_chunk()?;
            if chunk.is_empty() {
                let last = stream.events.last();
                stream.complete = last.is_some_and(|(id, _)| *id == self.behaviour.events);
                return Ok(Duration::ZERO);
            }
            text += &String::from_utf8_lossy(&chunk);
            while let Some((event, rest)) = text.split_once("\n\n") {
                let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
                let id = field("id: ").and_then(|id| id.parse().ok());
                let version = field("data: ").and_then(|data| data.split(' ').next());
                if let (Some(id), Some(version)) = (id, version) {
                    stream.events.push((id, version.to_owned()));
                }
                text = rest.to_owned();
            }
        }
    }
}

/// A configuration with a route of streams that may be resumed.
pub fn config(timeout: Duration) -> String {
    let timeout = timeout.as_millis();
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"gen\",\"host\":\"svc.example\",\
         \"path-prefix\":\"/gen/\",\"type\":\"streaming\",\"timeout-ms\":{timeout},\
         \"target-latency-ms\":150,\"gap-target-ms\":150,\"priority\":1,\"service\":\"lm\",\
         \"max-attempts\":2,\"resumable\":true,\"sticky\":true}}],\
         \"services\":[{{\"name\":\"lm\",\"max-conns\":240,\"engine\":{{\"slots\":32,\
         \"kv-capacity\":232000,\"kv-bytes\":327680,\"link-mbps\":8500000,\"switch-s\":3,\
         \"handle-ttl-s\":5,\"stride\":1}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":5000,\"idle-timeout-ms\":15000}}}}"
    )
}
