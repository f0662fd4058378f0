//! Clients that don't keep to the limits, at a real entry and a real agent in processes of their
//! own.
//!
//! A crowd sends bodies that stop short of their end, or are large and many at once, and connects
//! again whenever it is refused or closed. Checked are what does not depend on the machine's speed:
//! the process lives, its memory and descriptors stay within a bound, and an ordinary request is
//! answered while the crowd is still connected.
//!
//! The tests run one at a time.

#![expect(clippy::unwrap_used, reason = "a stand-in that fails ends its test")]

#[path = "../../../../platform/tests/clients/crowd.rs"]
mod crowd;
#[path = "../processes/fleet.rs"]
#[allow(dead_code, reason = "the tests of processes use more of it")]
mod fleet;
#[path = "../../../../platform/tests/clients/usage.rs"]
mod usage;

use conf::{Kind, settings::Backend};
use crowd::{Crowd, Framing, Upload};
use fleet::{Fleet, Process, call, post, until};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;
use usage::{Usage, Watch};

/// The memory of a process's VM, in bytes.
const MEMORY_BYTES: u64 = 256_000_000;

/// The descriptors of a process.
const MAX_DESCRIPTORS: usize = 9_000;

/// The largest body of a call, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// How often an ordinary client tries again.
const ORDINARY_TRIES: usize = 10;

/// The pause of an ordinary client between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The head of a request of the crowd, to a service that is slow.
const HEAD: &str = "POST /services/slow/{id} HTTP/1.1\r\nHost: svc.example\r\n";

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::const_new(());

/// A fleet with a quick and a slow service.
struct Setup {
    fleet: Fleet,
    entry: Process,
    callers: SocketAddr,
    slow_agent: Process,
    slow_agent_listens: SocketAddr,
    _others: Vec<Process>,
    _turn: MutexGuard<'static, ()>,
}

impl Setup {
    async fn start(name: &str) -> Self {
        let turn = TURN.lock().await;
        let fleet = Fleet::start(name).await;
        let (quick, quick_agent, _) = start_service(&fleet, "quick").await;
        let (slow, slow_agent, slow_agent_listens) = start_service(&fleet, "slow").await;
        let (entry, callers) = fleet.entry("entry-1", &[]).await;
        for service in ["quick", "slow"] {
            let path = format!("/services/{service}/ping");
            until("the service answers", || async {
                call(&callers, &path, "warm", json!(0)).await.status == 200
            })
            .await;
        }
        let faults = post(&slow.1, "/faults", json!({"delay_ms": 120_000})).await;
        assert_eq!(faults.status, 200, "{}", faults.body);
        Self {
            fleet,
            entry,
            callers: callers.parse().unwrap(),
            slow_agent,
            slow_agent_listens: slow_agent_listens.parse().unwrap(),
            _others: vec![quick.0, quick_agent, slow.0],
            _turn: turn,
        }
    }

    /// Returns whether an ordinary request is served in one of its tries.
    async fn serves_ordinary_request(&self) -> bool {
        for number in 0..ORDINARY_TRIES {
            let (callers, key) = (self.callers.to_string(), format!("ordinary-{number}"));
            // Fails if the connection is closed without an answer.
            let status = tokio::spawn(async move {
                call(&callers, "/services/quick/ping", &key, json!(0)).await.status
            });
            if matches!(status.await, Ok(200)) {
                return true;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        false
    }
}

/// Starts a service with its agent; returns it with its address, the agent, and the agent's address.
async fn start_service(fleet: &Fleet, name: &str) -> ((Process, String), Process, String) {
    let (service, address) = fleet.fake("service").await;
    let (agent, listens) =
        fleet.agent(&format!("agent-{name}"), name, Backend::Service, &address).await;
    let spec = json!({"domain": "domain-1", "agent": listens, "service": name});
    fleet.publish(Kind::Target, name, spec).await;
    ((service, address), agent, listens)
}

fn check(process: &mut Process, usage: Usage) {
    let Usage { memory_bytes, unread_bytes, descriptors } = usage;
    println!(
        "at most {} KB of memory, {} KB unread, {descriptors} descriptors",
        memory_bytes / 1024,
        unread_bytes / 1024
    );
    assert!(process.is_running(), "the process has ended");
    assert!(
        memory_bytes <= MEMORY_BYTES,
        "{memory_bytes} bytes of memory, {MEMORY_BYTES} are allowed"
    );
    assert!(
        descriptors <= MAX_DESCRIPTORS,
        "{descriptors} descriptors, {MAX_DESCRIPTORS} are allowed"
    );
}

/// Lets a crowd send `upload` to the entry and checks what has to hold.
async fn entry_withstands(name: &str, upload: Upload, clients: usize) {
    let mut setup = Setup::start(name).await;
    let watch = Watch::start(setup.entry.id(), setup.callers);
    let crowd = Crowd::start(setup.callers, upload, clients);
    crowd.has_sent().await;
    watch.settled().await;
    let served = setup.serves_ordinary_request().await;
    drop(crowd);
    check(&mut setup.entry, watch.stop());
    assert!(served, "no ordinary request was served in {ORDINARY_TRIES} tries");
}

/// Many chunked bodies in chunks of one byte that stop short of their end: an entry that keeps each
/// chunk, with the buffer that it was read into, needs many times the memory of the body.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn tiny_chunks_do_not_exhaust_an_entry() {
    let upload = Upload {
        head: HEAD,
        framing: Framing::Chunks,
        piece_bytes: 1,
        body_bytes: 512 * 1024,
        complete_one_in: 4,
        reads: true,
    };
    entry_withstands("tiny-chunks", upload, 64).await;
}

/// Chunked bodies in large chunks that stop short of their end: what is reserved for them leaves no
/// room for ordinary callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_chunks_that_stop_short_do_not_block_an_entry() {
    let upload = Upload {
        head: HEAD,
        framing: Framing::Chunks,
        piece_bytes: 64 * 1024,
        body_bytes: 1024 * 1024,
        complete_one_in: 4,
        reads: true,
    };
    entry_withstands("large-chunks", upload, 128).await;
}

/// Bodies without a length that go on far beyond what is allowed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unannounced_excess_does_not_exhaust_an_entry() {
    let upload = Upload {
        head: HEAD,
        framing: Framing::Chunks,
        piece_bytes: 64 * 1024,
        body_bytes: 2 * MAX_BODY_BYTES,
        complete_one_in: 0,
        reads: true,
    };
    entry_withstands("unannounced-excess", upload, 64).await;
}

/// Large bodies that stop short of their end: what they have reserved leaves no room for ordinary
/// callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_bodies_that_stop_short_do_not_block_an_entry() {
    let upload = Upload {
        head: HEAD,
        framing: Framing::Length(MAX_BODY_BYTES),
        piece_bytes: 64 * 1024,
        body_bytes: MAX_BODY_BYTES,
        complete_one_in: 4,
        reads: true,
    };
    entry_withstands("large-bodies", upload, 64).await;
}

/// Large bodies that are announced and hardly begun: what they announce leaves no room for ordinary
/// callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn announced_bodies_do_not_block_an_entry() {
    let upload = Upload {
        head: HEAD,
        framing: Framing::Length(MAX_BODY_BYTES),
        piece_bytes: 16,
        body_bytes: 64,
        complete_one_in: 0,
        reads: true,
    };
    entry_withstands("announced-bodies", upload, 64).await;
}

/// Many bodies of legal size that several entries forward to the agent of a slow service: an agent
/// that keeps all of them in its queue runs out of memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_bodies_of_many_callers_do_not_exhaust_an_agent() {
    let mut setup = Setup::start("agent-bodies").await;
    let mut entries = Vec::new();
    for number in 2..=6 {
        entries.push(setup.fleet.entry(&format!("entry-{number}"), &[]).await);
    }
    let watch = Watch::start(setup.slow_agent.id(), setup.slow_agent_listens);
    let upload = Upload {
        head: HEAD,
        framing: Framing::Length(MAX_BODY_BYTES),
        piece_bytes: 64 * 1024,
        body_bytes: MAX_BODY_BYTES,
        complete_one_in: 1,
        reads: true,
    };
    let addresses = entries.iter().map(|(_, address)| address.parse().unwrap());
    let crowds: Vec<_> = addresses.map(|address| Crowd::start(address, upload, 16)).collect();
    for crowd in &crowds {
        crowd.has_sent().await;
    }
    watch.settled().await;
    let served = setup.serves_ordinary_request().await;
    drop(crowds);
    check(&mut setup.slow_agent, watch.stop());
    assert!(served, "no ordinary request was served in {ORDINARY_TRIES} tries");
}

/// Connections to the agent's port for entries that begin a large frame before they have proved that
/// they have the key.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_frames_of_strangers_do_not_exhaust_an_agent() {
    const STRANGERS: usize = 64;
    let mut setup = Setup::start("agent-frames").await;
    let watch = Watch::start(setup.slow_agent.id(), setup.slow_agent_listens);
    let mut strangers = JoinSet::new();
    for _ in 0..STRANGERS {
        strangers.spawn(begin_frame(setup.slow_agent_listens));
    }
    // Each keeps its connection open until all have sent what was taken.
    let streams = strangers.join_all().await;
    watch.settled().await;
    let served = setup.serves_ordinary_request().await;
    drop(streams);
    check(&mut setup.slow_agent, watch.stop());
    assert!(served, "no ordinary request was served in {ORDINARY_TRIES} tries");
}

/// Sends a frame but for its last byte, as far as the peer takes it.
async fn begin_frame(to: SocketAddr) -> Option<TcpStream> {
    const STALL_TIME: Duration = Duration::from_secs(2);
    let length = wire::MAX_FRAME_BYTES;
    let mut stream = TcpStream::connect(to).await.ok()?;
    stream.write_all(&u32::try_from(length).unwrap().to_be_bytes()).await.ok()?;
    let rest = vec![0; length - 1];
    // Refused or stalled: both are allowed.
    let _ = tokio::time::timeout(STALL_TIME, stream.write_all(&rest)).await;
    Some(stream)
}
