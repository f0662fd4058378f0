//! What all cases share: the record, a random generator, and entries as processes.

use crate::net;
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// What was sent, answered and run, one line an event.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = Mutex::new(File::create(path).expect("the record"));
        Self { file, began: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {text}");
    }
}

/// A generator of random numbers (splitmix64).
pub struct Random(AtomicU64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed))
    }

    pub fn next(&self) -> u64 {
        let state = self.0.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
        let mut z = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    /// From 0 up to 1.
    pub fn share(&self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// The ports that are the same at all entries.
#[derive(Clone, Copy)]
pub struct Ports {
    pub callers: u16,
    pub readiness: u16,
    pub control: u16,
    pub internal: u16,
}

/// An entry as a process on a loopback address of its own.
pub struct Entry {
    pub name: String,
    pub ip: Ipv4Addr,
    pub ports: Ports,
    program: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Entry {
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), self.ports.callers)
    }

    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), self.ports.readiness)
    }

    pub fn start(&mut self) {
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).expect("a log");
        let child = Command::new(&self.program)
            .env_clear()
            .env("LAPISMAST_BOOT", self.folder.join(format!("{}.conf", self.name)))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the entry, built by the deploy file's command");
        self.child = Some(child);
    }

    /// Writes the settings of later starts.
    pub fn end_bootstrap(&self) {
        let path = self.folder.join(format!("{}.conf", self.name));
        let settings = std::fs::read_to_string(&path).expect("settings");
        let settings = settings.replace("bootstrap=true", "bootstrap=false");
        std::fs::write(&path, settings).expect("settings");
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let command = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").arg("-c").arg(command).status();
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let answer = net::get(self.readiness(), "/readyz", Duration::from_millis(300));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The entries that get new connections.
pub struct Balancer {
    entries: Vec<(SocketAddr, SocketAddr)>,
    is_in: Mutex<Vec<bool>>,
    random: Random,
}

impl Balancer {
    pub fn new(entries: &[Entry]) -> Self {
        let random = Random::new(u64::from(std::process::id()));
        let is_in = Mutex::new(vec![true; entries.len()]);
        let entries = entries.iter().map(|entry| (entry.callers(), entry.readiness())).collect();
        Self { entries, is_in, random }
    }

    /// Asks each entry each second; two misses take it out.
    pub fn watch(&self, stop: &AtomicBool) {
        let mut misses = vec![0; self.entries.len()];
        while !stop.load(Ordering::Relaxed) {
            let began = Instant::now();
            for (at, (_, readiness)) in self.entries.iter().enumerate() {
                let answer = net::get(*readiness, "/readyz", Duration::from_millis(150));
                let ready = answer.is_ok_and(|answer| answer.status() == 200);
                misses[at] = if ready { 0 } else { misses[at] + 1 };
                self.is_in.lock().unwrap()[at] = misses[at] < 2;
            }
            thread::sleep(Duration::from_secs(1).saturating_sub(began.elapsed()));
        }
    }

    pub fn pick(&self) -> (usize, SocketAddr) {
        let is_in = self.is_in.lock().unwrap();
        let all: Vec<_> = (0..is_in.len()).collect();
        let ready: Vec<_> = all.iter().copied().filter(|at| is_in[*at]).collect();
        let from = if ready.len() * 2 < all.len() { &all } else { &ready };
        let at = from[(self.random.next() % from.len() as u64) as usize];
        (at, self.entries[at].0)
    }
}

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn folder() -> Folder {
    let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a temporary folder");
    Folder(path)
}

/// Ports that are free at these addresses.
fn free_ports(addresses: &[Ipv4Addr]) -> Ports {
    let start = 21_000 + u16::try_from(std::process::id() % 900).unwrap() * 10;
    let is_free = |port: u16| {
        addresses.iter().all(|ip| {
            TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
        })
    };
    let first = (0..900)
        .map(|step| start + step * 10)
        .find(|first| (0..8).all(|port| is_free(first + port)));
    let first = first.expect("free ports");
    Ports { callers: first, readiness: first + 1, control: first + 2, internal: first + 3 }
}

/// Entries in these failure domains, with the settings of a small deployment.
pub fn entries(program: &Path, folder: &Path, zones: &[&str], store: SocketAddr) -> Vec<Entry> {
    let [low, high, ..] = std::process::id().to_le_bytes();
    let ip = |number: usize| Ipv4Addr::new(127, 70 + high % 64, low, 10 + number as u8);
    let ips: Vec<_> = (0..zones.len()).map(ip).collect();
    let ports = free_ports(&ips);
    let seeds: Vec<_> = ips.iter().take(3).map(|ip| format!("{ip}:{}", ports.control)).collect();
    let mut domains: Vec<_> = zones.to_vec();
    domains.sort_unstable();
    domains.dedup();
    let zone_lines: String = domains.iter().map(|zone| format!("zones.{zone}=region\n")).collect();
    let entry = |(number, zone): (usize, &&str)| {
        let (ip, name) = (ips[number], format!("edge-{zone}-{number}"));
        let Ports { callers, readiness, control, internal } = ports;
        let last = internal + 4;
        let settings = format!(
            "node-name={name}\nrole=entry\nmachine-class=edge\nserves=edge,control_plane\nip={ip}\n\
             zone={zone}\nregion=region\n{zone_lines}listen.frontend={ip}:{callers}\n\
             listen.readiness={ip}:{readiness}\nlisten.control-plane={ip}:{control}\n\
             internal-ports={internal},{last}\nseeds={}\nbootstrap=true\nfault-counted=false\n\
             limits.cpu-share=0.19\nlimits.cores=1\nlimits.memory-mb=260\nlimits.max-fds=4100\n\
             limits.link-mbps=1000.0\nlimits.disk-mb=0\ndiscovery=platform\nentry=vip\n\
             heartbeat-ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,split,stream,engine,platform\n\
             fault-tolerance.machines=2\nfault-tolerance.zones=0\nfault-tolerance.regions=0\n\
             bounds.seed-lag-s=3\nbounds.reuse-after-s=2\nbounds.stable-window-ms=3000\n\
             bounds.ack-ms=4000\nbounds.catch-up-s=4\nbounds.drain-ms=2000\nbounds.grace-s=8\n\
             bounds.loss-slack-ms=200\nbounds.config-apply-ms=2000\nbounds.revert-slack-ms=250\n\
             bounds.skew-max-ms=5000\nbounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\n\
             bounds.retry-allowance=56\nbounds.recovery-s=12\nbounds.transit-ms=120\n\
             bounds.retry-after-s=3\nbounds.fencing-enforced=true\nbounds.lease-ms=3000\n\
             bounds.thaw-ms=300\nplatform.address={store}\nplatform.form=log\n\
             platform.writes-per-s=400\nplatform.reads-per-s=2000\nplatform.parts=8\n\
             platform.append-ms=4.0\nplatform.partition-mb-s=20.0\nplatform.read-mb-s=80.0\n\
             platform.record-bytes=262144\nplatform.call-bytes=2097152\nplatform.keep_s=300\n\
             platform.part-mb=200\nplatform.ttl-min-ms=1000\n",
            seeds.join(",")
        );
        std::fs::write(folder.join(format!("{name}.conf")), settings).expect("settings");
        let (program, folder) = (program.to_owned(), folder.to_owned());
        Entry { name, ip, ports, program, folder, child: None }
    };
    zones.iter().enumerate().map(entry).collect()
}

/// Waits until a condition holds; `false` if it doesn't in time.
pub fn eventually(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
