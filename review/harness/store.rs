//! The platform's store, as far as entries use it: append, read and the newest record of each key.

use crate::net::{self, Connection, Message};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    /// Values and offsets by key, of keyed topics.
    newest: BTreeMap<String, (Vec<u8>, usize)>,
}

#[derive(Default)]
struct Shared {
    topics: Mutex<HashMap<String, Topic>>,
    appended: Condvar,
}

/// Clones share the log.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self { address: listener.local_addr().expect("bound"), shared: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a record of a keyed topic, as the operator and the workers do; empty to remove it.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, vec![record], None).expect("no condition");
    }

    fn append(
        &self,
        topic: &str,
        records: Vec<Vec<u8>>,
        at: Option<usize>,
    ) -> Result<usize, usize> {
        let mut topics = self.shared.topics.lock().unwrap();
        let keyed = topic.starts_with("keyed.");
        let topic = topics.entry(topic.to_owned()).or_default();
        let first = topic.records.len();
        if at.is_some_and(|at| at != first) {
            return Err(first);
        }
        for record in records {
            if keyed && !record.is_empty() {
                let length = usize::from(record[0]);
                let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
                let value = record[length + 1..].to_vec();
                if value.is_empty() {
                    topic.newest.remove(&key);
                } else {
                    topic.newest.insert(key, (value, topic.records.len()));
                }
            }
            topic.records.push(record);
        }
        self.shared.appended.notify_all();
        Ok(first)
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let deadline = Instant::now() + wait;
        let mut topics = self.shared.topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], |topic| &topic.records);
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = u64::try_from(records.len()).unwrap().to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend(u32::try_from(record.len()).unwrap().to_be_bytes());
                    body.extend(record);
                }
                return body;
            }
            topics = self.shared.appended.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, after: &str) -> String {
        let topics = self.shared.topics.lock().unwrap();
        let empty = Topic::default();
        let topic = topics.get(topic).unwrap_or(&empty);
        let rest: Vec<_> = topic.newest.iter().filter(|(key, _)| key.as_str() > after).collect();
        let items = rest.iter().take(500).map(|(key, (value, offset))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let items: Vec<_> = items.collect();
        let (more, end) = (rest.len() > items.len(), topic.records.len());
        format!("{{\"items\":[{}],\"has-more\":{more},\"end-offset\":{end}}}", items.join(","))
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.message(false) {
            let response = self.respond(&request);
            if connection.send(&response).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> Vec<u8> {
        const JSON: &str = "Content-Type: application/json\r\n";
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let get = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let number = |name: &str| get(name).and_then(|value| value.parse::<usize>().ok());
        let topic = get("topic").unwrap_or_default();
        match path {
            "/log-append" => {
                let (mut records, mut rest) = (Vec::new(), &request.body[..]);
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let count = records.len();
                thread::sleep(Duration::from_millis(4));
                match self.append(topic, records, number("at")) {
                    Ok(offset) => {
                        let end = offset + count;
                        let body = format!("{{\"offset\":{offset},\"end-offset\":{end}}}");
                        net::response("200 OK", JSON, body.as_bytes())
                    }
                    Err(end) => {
                        let body = format!("{{\"end-offset\":{end}}}");
                        net::response("412 Precondition Failed", JSON, body.as_bytes())
                    }
                }
            }
            "/log-read" => {
                let wait = Duration::from_millis(number("wait-ms").unwrap_or(0) as u64);
                let body = self.read(topic, number("from").unwrap_or(0), wait);
                net::response("200 OK", "", &body)
            }
            "/log-newest" => {
                let body = self.newest(topic, get("after").unwrap_or_default());
                net::response("200 OK", JSON, body.as_bytes())
            }
            _ => net::response("404 Not Found", "", b""),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(group >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
