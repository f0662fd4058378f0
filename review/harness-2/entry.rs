//! Real entry processes, started with the command of the deploy file, and the record of a run.

use crate::http;
use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PROGRAM: &str = "target/release/lapismast-entry";

/// What was sent, answered and run, with the seconds since the start.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Self { file, began: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        writeln!(self.file.lock().unwrap(), "{at:8.3} {text}").expect("the record can be written");
    }

    /// A line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Loopback addresses of this run: one machine has one of them, and all have the same ports.
#[derive(Clone, Copy)]
pub struct Network {
    bytes: (u8, u8),
}

const FRONTEND: u16 = 18_144;
const READINESS: u16 = 18_140;
const CONTROL: u16 = 18_146;
const INTERNAL: (u16, u16) = (17_660, 17_675);

impl Network {
    /// A range of addresses of which the ports are free.
    pub fn find() -> Self {
        let id = std::process::id();
        for step in 0..200_u32 {
            let number = (id + step * 7) % 60_000 + 600;
            let bytes = (u8::try_from(number / 250).unwrap(), u8::try_from(number % 250).unwrap());
            let network = Self { bytes };
            let is_free = (1..=12).all(|machine| {
                let ip = network.ip(machine);
                let ports = [FRONTEND, READINESS, CONTROL, INTERNAL.0];
                ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
                    && UdpSocket::bind((ip, INTERNAL.0 + 1)).is_ok()
            });
            if is_free {
                return network;
            }
        }
        crate::cannot_run("no free loopback addresses")
    }

    pub fn ip(self, machine: u8) -> IpAddr {
        IpAddr::from([127, self.bytes.0, self.bytes.1, machine])
    }

    /// A free address for a stand-in.
    pub fn free(self, machine: u8) -> SocketAddr {
        let listener = TcpListener::bind((self.ip(machine), 0)).expect("a port is free");
        listener.local_addr().expect("a bound listener has an address")
    }
}

/// An entry process.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// What a deployment's settings hold beyond those of each machine.
pub struct Deployment {
    pub network: Network,
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub zones: [&'static str; 3],
    /// More lines of the settings file.
    pub more: String,
    pub record: Arc<Record>,
}

impl Deployment {
    /// Prepares an entry without starting it.
    pub fn entry(&self, machine: u8) -> Entry {
        let ip = self.network.ip(machine);
        let zone = self.zones[usize::from(machine - 1) % self.zones.len()];
        let name = format!("edge-{zone}-{machine}");
        let path = |suffix: &str| self.folder.join(format!("{name}.{suffix}"));
        Entry {
            callers: (ip, FRONTEND).into(),
            readiness: (ip, READINESS).into(),
            settings: path("conf"),
            log: path("log"),
            child: None,
            name,
        }
    }

    fn settings(&self, machine: u8, first_start: bool) -> String {
        let ip = self.network.ip(machine);
        let zone = self.zones[usize::from(machine - 1) % self.zones.len()];
        let seeds = (1..=3).map(|seed| format!("{}:{CONTROL}", self.network.ip(seed)));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let zones = self.zones.map(|zone| format!("zones.{zone}=sofia\n")).concat();
        let (first, last) = INTERNAL;
        let store = self.store;
        let more = &self.more;
        format!(
            "node-name=edge-{zone}-{machine}\nrole=entry\nmachine-class=edge\n\
             serves=edge,control_plane\nip={ip}\nzone={zone}\nregion=sofia\n{zones}\
             listen.frontend={ip}:{FRONTEND}\nlisten.readiness={ip}:{READINESS}\n\
             listen.control-plane={ip}:{CONTROL}\ninternal-ports={first},{last}\nseeds={seeds}\n\
             bootstrap={first_start}\nfault-counted=false\nlimits.cpu-share=0.19\nlimits.cores=1\n\
             limits.memory-mb=260\nlimits.max-fds=4100\nlimits.link-mbps=1000.0\n\
             limits.disk-mb=0\ndiscovery=platform\nentry=vip\nheartbeat-ms=1200\n\
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
             platform.part-mb=200\nplatform.ttl-min-ms=1000\n{more}"
        )
    }

    /// Starts the process of an entry; `first_start` if the whole system starts for the first time.
    pub fn start(&self, entry: &mut Entry, machine: u8, first_start: bool) {
        fs::write(&entry.settings, self.settings(machine, first_start)).expect("settings file");
        let log = File::options().create(true).append(true).open(&entry.log).expect("log file");
        let command = Command::new(PROGRAM)
            .env_clear()
            .env("LAPISMAST_BOOT", &entry.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log file"))
            .stdout(log)
            .spawn();
        let child = command.unwrap_or_else(|_| crate::cannot_run("no entry program"));
        self.record.line(&format!("process {} of {} starts", child.id(), entry.name));
        entry.child = Some(child);
    }
}

impl Entry {
    pub fn is_ready(&self) -> bool {
        let request = b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = http::call(self.readiness, request, Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        // The shell's own command, as not every machine has a program of that name.
        let command = format!("kill -{name} {}", child.id());
        let sent = Command::new("bash").args(["-c", &command]).status();
        sent.expect("signals can be sent");
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
