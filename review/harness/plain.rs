//! Workers of a plain service, and what a faulty one does.

use crate::net::{self, Connection, Message};
use crate::world::{Random, Record};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Requests that a worker runs at once.
pub const SLOTS: usize = 6;

/// Requests that wait for a slot; one more is shed.
const QUEUE: usize = 2;

/// How long a request runs, at least and at most.
const WORK_MS: (u64, u64) = (20, 40);

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// A worker.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    /// The share of its answers that it sends a second time, while it is faulty.
    pub extra_share: f64,
    pub faulty: AtomicBool,
    load: Mutex<Load>,
    ended: Condvar,
    /// The ids of requests that it ran, in order.
    pub ran: Mutex<Vec<String>>,
    random: Random,
    record: Arc<Record>,
}

impl Worker {
    pub fn start(id: &str, extra_share: f64, seed: u64, record: Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("bound"),
            extra_share,
            faulty: AtomicBool::new(false),
            load: Mutex::default(),
            ended: Condvar::new(),
            ran: Mutex::default(),
            random: Random::new(seed),
            record,
        });
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                thread::spawn(move || worker.serve(Connection::new(stream)));
            }
        });
        worker
    }

    fn serve(&self, mut connection: Connection) {
        // A second copy of an answer, which goes out where the next answer is expected.
        let mut extra: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = connection.message(false) {
            let late = extra.take();
            let answer = self.answer(&request, &mut connection, late);
            if connection.send(&answer).is_err() {
                return;
            }
            if self.faulty.load(Ordering::Relaxed) && self.random.share() < self.extra_share {
                extra = Some(answer);
            }
        }
    }

    fn answer(
        &self,
        request: &Message,
        connection: &mut Connection,
        late: Option<Vec<u8>>,
    ) -> Vec<u8> {
        let id = request.header("lapismast-attempt-id").unwrap_or_default().to_owned();
        let mut send_late = |what: &str| {
            if let Some(late) = &late {
                let first = String::from_utf8_lossy(late);
                let first = first.lines().next().unwrap_or_default().to_owned();
                self.record.line(&format!(
                    "{} {what} {id} and sends a second copy of its last answer first: {first}",
                    self.id
                ));
                let _ = connection.send(late);
            }
        };
        if request.header("lapismast-expected-instance").is_some_and(|it| it != self.id) {
            send_late("misdirected");
            let instance = format!("Lapismast-Instance-Id: {}\r\n", self.id);
            return net::response("421 Misdirected Request", &instance, b"");
        }
        {
            let mut load = self.load.lock().unwrap();
            if load.running >= SLOTS && load.waiting >= QUEUE {
                drop(load);
                send_late("sheds");
                self.record.line(&format!("{} sheds {id}", self.id));
                return net::response(
                    "503 Service Unavailable",
                    "Lapismast-Not-Executed: 1\r\n",
                    b"",
                );
            }
            load.waiting += 1;
            while load.running >= SLOTS {
                load = self.ended.wait(load).unwrap();
            }
            load.waiting -= 1;
            load.running += 1;
        }
        self.ran.lock().unwrap().push(id.clone());
        self.record.line(&format!("{} runs {id}", self.id));
        send_late("runs");
        let (min, max) = WORK_MS;
        thread::sleep(Duration::from_millis(min + self.random.next() % (max - min)));
        let (running, waiting) = {
            let mut load = self.load.lock().unwrap();
            load.running -= 1;
            (load.running, load.waiting)
        };
        self.ended.notify_one();
        let headers = format!(
            "Lapismast-Attempt-Id: {id}\r\nLapismast-Response-Seal: seal-{}-{id}\r\n\
             Lapismast-Instance-Load: {running},{waiting},{SLOTS}\r\nKeep-Alive: timeout=10\r\n",
            self.id
        );
        net::response("200 OK", &headers, format!("done {id}").as_bytes())
    }
}
