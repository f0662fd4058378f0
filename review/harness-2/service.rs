//! A plain worker as the pages describe it, and the calls of tenants.

use crate::entry::Record;
use crate::http::{self, Connection, Message, Serve, Server, response};
use crate::store::Store;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How long a worker works on a request.
const WORK: Duration = Duration::from_millis(10);

/// Starts a plain worker that registers itself for as long as the harness runs.
pub fn start(id: &str, zone: &str, listener: TcpListener, store: &Store, record: &Arc<Record>) {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let (id, zone, born) = (id.to_owned(), zone.to_owned(), since.as_millis());
    let (serving, lines) = (id.clone(), record.clone());
    let serve: Serve = Arc::new(move |connection| serve_all(connection, &serving, &lines));
    let address = Server::start(listener, serve).address;
    let store = store.clone();
    thread::spawn(move || {
        for sequence in 1_u64.. {
            let text = format!(
                "{{\"service\":\"ledger\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"1\",\"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,\
                 \"sequence\":{sequence},\"born\":{born}}}"
            );
            store.put("keyed.servers", &id, &text);
            thread::sleep(HEARTBEAT);
        }
    });
}

fn serve_all(mut connection: Connection, id: &str, record: &Record) {
    while let Ok(Some(request)) = connection.read_message() {
        if connection.stream.write_all(&respond(&request, id, record)).is_err() {
            return;
        }
    }
}

fn respond(request: &Message, id: &str, record: &Record) -> Vec<u8> {
    let attempt = request.header("lapismast-attempt-id").unwrap_or_default();
    let head = format!("Lapismast-Attempt-Id: {attempt}\r\nKeep-Alive: timeout=10\r\n");
    let expected = request.header("lapismast-expected-instance");
    if expected.is_some_and(|expected| expected != id) {
        return response(421, &head, b"");
    }
    let tenant = request.header("lapismast-tenant").unwrap_or_default();
    record.line(&format!("worker {id} runs {attempt} of tenant {tenant}"));
    thread::sleep(WORK);
    let head = format!("{head}Lapismast-Response-Seal: {id}.{attempt}\r\n");
    response(200, &head, b"done")
}

/// Sends a tenant's call to an entry; returns the status, 0 if there was no answer.
pub fn call(entry: SocketAddr, id: &str, key: &str) -> u16 {
    let request = format!(
        "POST /call/1 HTTP/1.1\r\nHost: svc.example\r\nLapismast-Attempt-Id: {id}\r\n\
         Lapismast-Deadline-Ms: 1000\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n\
         Content-Length: 4\r\n\r\nbody"
    );
    let answer = http::call(entry, request.as_bytes(), Duration::from_secs(1));
    answer.map_or(0, |answer| answer.status())
}
