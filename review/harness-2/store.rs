//! The platform's store as the pages describe it: an append-only log, over HTTP.

use crate::http::{Connection, Message, Serve, Server, response};
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default, Clone)]
struct Topic {
    records: Vec<(Instant, Vec<u8>)>,
    /// The first record that is still there. Of a keyed topic, the newest of each key always are.
    first: u64,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    /// The number of restores; sent with each answer if `has_epoch`.
    epoch: u64,
    has_epoch: bool,
    /// While set, calls get no answer.
    away: bool,
}

/// The store. Clones share their state.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> (Self, Server) {
        let store = Self::default();
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let serving = store.clone();
        let serve: Serve = Arc::new(move |connection| serving.serve(connection));
        (store, Server::start(listener, serve))
    }

    /// Writes a keyed record as the operator or a worker does; without a value, the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.append(topic, vec![keyed(key, value)], None)
            .expect("an append without a condition succeeds");
    }

    /// Appends records; returns the first offset, or the end if the condition doesn't hold.
    fn append(&self, topic: &str, records: Vec<Vec<u8>>, at: Option<u64>) -> Result<u64, u64> {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let end = topic.records.len() as u64;
        if at.is_some_and(|at| at != end) {
            return Err(end);
        }
        let now = Instant::now();
        topic.records.extend(records.into_iter().map(|record| (now, record)));
        changed.notify_all();
        Ok(end)
    }

    /// Writes a keyed record, and deletes all records of keyed topics but the newest of each key.
    pub fn put_and_delete_history(&self, topic: &str, key: &str, value: &str) {
        let record = keyed(key, value);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.topics.entry(topic.to_owned()).or_default().records.push((Instant::now(), record));
        for (_, topic) in state.topics.iter_mut().filter(|(name, _)| name.starts_with("keyed.")) {
            topic.first = topic.records.len() as u64;
        }
        changed.notify_all();
    }

    /// Sends the header with the number of restores from now on.
    pub fn number_epochs(&self) {
        self.state.0.lock().unwrap().has_epoch = true;
    }

    /// Answers no calls until [`Self::restore`].
    pub fn go_away(&self) {
        self.state.0.lock().unwrap().away = true;
    }

    /// Comes back from a copy of this age. Returns how many records of each topic are lost.
    pub fn restore(&self, age: Duration) -> BTreeMap<String, usize> {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let copied = Instant::now() - age;
        let mut lost = BTreeMap::new();
        for (name, topic) in &mut state.topics {
            let before = topic.records.len();
            topic.records.retain(|(at, _)| *at <= copied);
            lost.insert(name.clone(), before - topic.records.len());
        }
        state.epoch += 1;
        state.away = false;
        changed.notify_all();
        lost
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_message() {
            thread::sleep(ANSWER_TIME);
            if self.state.0.lock().unwrap().away {
                // A connection on which an answer is lost returns nothing further.
                let _ = connection.read_message();
                return;
            }
            let (status, body) = self.handle(&request);
            let headers = {
                let state = self.state.0.lock().unwrap();
                if state.has_epoch {
                    format!("Store-Era: {}\r\n", state.epoch)
                } else {
                    String::new()
                }
            };
            if connection.stream.write_all(&response(status, &headers, &body)).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok());
        match request.path() {
            "/log-append" => {
                let records = frames(&request.body);
                let count = records.len() as u64;
                match self.append(&topic, records, number("at")) {
                    Ok(offset) => {
                        let end = offset + count;
                        (200, format!("{{\"offset\":{offset},\"end-offset\":{end}}}").into())
                    }
                    Err(end) => (412, format!("{{\"end-offset\":{end}}}").into()),
                }
            }
            "/log-read" => {
                let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
                self.read(&topic, number("from").unwrap_or(0), wait)
            }
            "/log-newest" => (200, self.newest(&topic, request.query("after").unwrap_or_default())),
            _ => (404, Vec::new()),
        }
    }

    fn read(&self, topic: &str, from: u64, wait: Duration) -> (u16, Vec<u8>) {
        let (state, changed) = &*self.state;
        let until = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        let epoch = state.epoch;
        loop {
            let known = state.topics.entry(topic.to_owned()).or_default();
            let (first, end) = (known.first, known.records.len() as u64);
            if from < first || from > end {
                return (410, format!("{{\"first-offset\":{first}}}").into());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() || state.epoch != epoch {
                let records = &state.topics[topic].records;
                let mut body = [end.to_be_bytes(), first.to_be_bytes()].concat();
                for (_, record) in &records[usize::try_from(from).unwrap_or(usize::MAX)..] {
                    body.extend(u32::try_from(record.len()).unwrap_or(u32::MAX).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return (200, body);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// The newest record of each key, in one page.
    fn newest(&self, topic: &str, after: &str) -> Vec<u8> {
        let state = self.state.0.lock().unwrap();
        let Some(topic) = state.topics.get(topic) else {
            return b"{\"items\":[],\"has-more\":false,\"end-offset\":0}".to_vec();
        };
        let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
        for (offset, (_, record)) in topic.records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = record[length + 1..].to_vec();
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let items = newest.iter().filter(|(key, _)| key.as_str() > after);
        let items: Vec<String> = items
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let end = topic.records.len();
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"has-more\":false,\"end-offset\":{end}}}").into()
    }
}

/// A record of a keyed topic.
fn keyed(key: &str, value: &str) -> Vec<u8> {
    let mut record = vec![u8::try_from(key.len()).expect("keys are short")];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value.as_bytes());
    record
}

/// Splits a body into records, each after its length.
fn frames(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        records.push(body[4..4 + length].to_vec());
        body = &body[4 + length..];
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let number = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for at in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * at)) as usize & 63];
            text.push(if at <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
