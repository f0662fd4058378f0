//! A fleet of real processes on loopback: starts the program, signals its processes by id, and
//! ends only processes that it started.

use bytes::Bytes;
use conf::{Kind, settings};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use plat::http::HttpClient;
use serde_json::Value;
use state::Appender;
use state::record::{Body, Change};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// The peer key of the fleet.
const PEER_KEY: &str = "processes";

/// The timeout of every step of a test.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(40);

/// One process of the fleet; it is killed when dropped.
pub struct Process {
    child: Child,
}

/// The answer that a caller received.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    /// Whether the body was cut off.
    pub cut: bool,
}

/// A fleet of real processes.
pub struct Fleet {
    folder: PathBuf,
    pub log_address: String,
    vms_address: String,
    pub log: Process,
    _vms: Process,
}

impl Process {
    fn start(args: &[&str]) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_lapismast"))
            .args(args)
            .env("RUST_LOG", "off")
            .stdout(Stdio::null())
            .spawn()
            .expect("the program was built for this test");
        Self { child }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal by process id, such as `KILL`, `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill is installed").success());
    }

    /// Waits until the process has ended and returns its exit code.
    pub async fn ended(mut self) -> Option<i32> {
        let waiting = async {
            loop {
                if let Some(status) = self.child.try_wait().expect("it is a child of this process")
                {
                    return status.code();
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(STEP_TIMEOUT, waiting).await.expect("the process ends in time")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Fleet {
    /// Starts the platform's stand-ins.
    pub async fn start(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("lapismast-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder for settings can be created");
        let (log_address, vms_address) = (free_address(), free_address());
        let log = Process::start(&["fake", "log", "--listen", &log_address]);
        let vms = Process::start(&["fake", "vms", "--listen", &vms_address]);
        let fleet = Self { folder, log_address, vms_address, log, _vms: vms };
        until("the log answers", || async { reachable(&fleet.log_address).await }).await;
        fleet.publish(Kind::Model, "lapis-small", serde_json::json!({})).await;
        fleet.publish(Kind::Caller, "open", serde_json::json!({"urgent": true})).await;
        fleet
    }

    /// Starts a stand-in target of a kind, `engine` or `service`; returns it with its address.
    pub async fn fake(&self, kind: &str) -> (Process, String) {
        let address = free_address();
        let process = Process::start(&["fake", kind, "--listen", &address]);
        until("the stand-in answers", || async { reachable(&address).await }).await;
        (process, address)
    }

    /// Starts the agent of a target; returns it with its address for entries.
    pub async fn agent(
        &self,
        name: &str,
        target: &str,
        backend: settings::Backend,
        target_address: &str,
    ) -> (Process, String) {
        let address = free_address();
        let settings = settings::Agent {
            name: name.into(),
            target: target.into(),
            backend,
            target_address: target_address.into(),
            peers_listen: address.as_str().into(),
            metrics: free_address().into(),
            peer_key: PEER_KEY.into(),
            platform: self.platform(),
            ..settings::Agent::default()
        };
        let file = self.write(name, &settings);
        let process = Process::start(&["agent", "--settings", &file]);
        until("the agent listens", || async { reachable(&address).await }).await;
        (process, address)
    }

    /// Starts an entry and waits until it is ready; returns it with its address for callers.
    pub async fn entry(&self, name: &str, peers: &[&str]) -> (Process, String) {
        let address = free_address();
        let settings = settings::Entry {
            name: name.into(),
            callers: address.as_str().into(),
            admin: free_address().into(),
            peer_key: PEER_KEY.into(),
            peers: peers.iter().map(|peer| (*peer).into()).collect(),
            platform: self.platform(),
            ..settings::Entry::default()
        };
        let file = self.write(name, &settings);
        let process = Process::start(&["entry", "--settings", &file]);
        until("the entry is ready", || async {
            get(&address, "/readyz").await.is_some_and(|answer| answer.status == 200)
        })
        .await;
        (process, address)
    }

    /// Appends a change of a resource, as an operator's command does.
    pub async fn publish(&self, kind: Kind, name: &str, spec: Value) {
        let platform = self.platform();
        let log = HttpClient::new(platform.log, platform.timeout);
        let appender = Appender::new(Arc::new(log), "operator".into());
        let spec = Some(spec.to_string());
        let (kind, name) = (kind.name().to_owned(), name.to_owned());
        let change = Body::Change(Change { kind, name, spec, expects: None });
        // On a very busy machine the stand-in occasionally drops a connection. The appender then
        // reports that nothing was appended, and an operator would retry the change.
        until("the change is published", || async {
            match appender.append(plat::CONFIG_STREAM, change.clone()).await {
                Ok(_) => true,
                Err(state::Error::Log(plat::Error::Unavailable { .. })) => false,
                Err(error) => panic!("{error}"),
            }
        })
        .await;
    }

    fn platform(&self) -> settings::Platform {
        settings::Platform {
            log: self.log_address.as_str().into(),
            vms: self.vms_address.as_str().into(),
            ..settings::Platform::default()
        }
    }

    fn write<T: serde::Serialize>(&self, name: &str, settings: &T) -> String {
        let file = self.folder.join(format!("{name}.yaml"));
        let text = serde_yaml_ng::to_string(settings).expect("settings can be written");
        std::fs::write(&file, text).expect("the folder can be written to");
        file.to_string_lossy().into_owned()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // If it fails, what remains is small and has the id of this process in its name.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until `condition` holds; fails the test after `STEP_TIMEOUT`.
pub async fn until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, waiting).await.unwrap_or_else(|_| panic!("in time: {what}"));
}

/// Sends a request and collects the answer; fails the test if there is none.
pub async fn send(address: &str, request: hyper::http::request::Builder, body: Value) -> Answer {
    let body = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
    let request = request.body(Full::new(body)).expect("the request is valid");
    let sending = exchange(address, request);
    let answer =
        tokio::time::timeout(STEP_TIMEOUT, sending).await.expect("an answer arrives in time");
    answer.expect("the connection is not lost before an answer")
}

/// Posts JSON.
pub async fn post(address: &str, path: &str, body: Value) -> Answer {
    send(address, hyper::Request::post(path), body).await
}

/// Posts a call with an idempotency key.
pub async fn call(address: &str, path: &str, key: &str, body: Value) -> Answer {
    send(address, hyper::Request::post(path).header("idempotency-key", key), body).await
}

/// Gets a path; `None` if no answer was received.
pub async fn get(address: &str, path: &str) -> Option<Answer> {
    let request = hyper::Request::get(path).body(Full::default()).expect("the request is valid");
    exchange(address, request).await
}

async fn exchange(address: &str, request: hyper::Request<Full<Bytes>>) -> Option<Answer> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let (mut head, body) = request.into_parts();
    head.uri = format!("http://{address}{}", head.uri).parse().expect("the address is valid");
    let response = client.request(hyper::Request::from_parts(head, body)).await.ok()?;
    let status = response.status().as_u16();
    let mut incoming = response.into_body();
    let mut body = String::new();
    let mut cut = false;
    while let Some(frame) = incoming.frame().await {
        match frame {
            Ok(frame) => {
                let data = frame.into_data().unwrap_or_default();
                body.push_str(&String::from_utf8_lossy(&data));
            }
            Err(_) => cut = true,
        }
    }
    Some(Answer { status, body, cut })
}

async fn reachable(address: &str) -> bool {
    tokio::net::TcpStream::connect(address).await.is_ok()
}

/// Finds an address that is not in use. Ports that the system assigns are unsuitable: another test
/// could be assigned the same one before our process binds it. These ports are below that range,
/// and each test process starts at another one.
fn free_address() -> String {
    const FIRST: u32 = 20_000;
    const PORTS: u32 = 12_000;
    const PORTS_PER_PROCESS: u32 = 200;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id().wrapping_mul(PORTS_PER_PROCESS)
            + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = format!("127.0.0.1:{}", FIRST + number % PORTS);
        if TcpListener::bind(&address).is_ok() {
            return address;
        }
    }
}
