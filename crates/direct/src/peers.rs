//! What the entries tell each other of the work they have at engines, by datagrams.
//!
//! **Load pattern.** Several entries send prompts to the same engines, and a burst asks for several
//! times what they can read. **Without it** an entry knows only its own work: each of five leaves
//! an engine a fifth of its time, so prompts are refused while engines are free, and one large
//! prompt from each makes the queue five times too long, so those that were let in are late.
//! **How.** Each entry sends its whole state, at most every few milliseconds and only when it
//! changed, so a lost datagram matters until the next. Coordinators know what is booked, see
//! [`crate::coordinator`]; this is what entries go by when none answers, and those that have just come
//! to coordinate. What a silent entry said expires, and its part is then guessed from the others'.

use crate::broadcast;
use crate::clock;
use crate::coordinator;
use crate::datagram::{Others, Read, ServiceLoad, State, TargetStanding, UNIT, Work, short};
use crate::groups::Member;
use crate::loads::Loads;
use crate::question::{Answer, Exchange, Granted, Report, Room, Word};
use crate::shared::{LONGEST_PAUSE, Shared};
use crate::tail::{self, Seen};
use bytes::Bytes;
use policy::Hash;
use prost::Message;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, timeout};

/// Between two datagrams at least, with up to [`PEERS`] peers; it grows by the square of their number,
/// so that what an entry sends does not grow with it, up to [`LONGEST_PAUSE`]. An engine reads a prompt
/// in 10 to 30 ms, and each datagram takes processor time of all who get it.
const PAUSE: Duration = Duration::from_millis(5);

/// Peers for which one [`PAUSE`] is enough.
const PEERS: u32 = 4;

/// Peers that are sent one datagram; with more, they take turns, but for those whom entries that read
/// the log for all have to tell so. Coordinators know what is booked, so the rest may be as old as it
/// takes: 16 datagrams each 300 ms are 12 KB a second, however many entries there are.
const AT_ONCE: usize = 16;

/// Between two datagrams at most, so that silence means something.
const ALIVE: Duration = Duration::from_millis(250);

/// What a peer said counts for this long, for each round in which it tells all others.
const FRESH: Duration = Duration::from_millis(700);

/// The largest datagram that is read, in bytes: the largest that there can be.
const MAX_DATAGRAM: usize = 64 * 1024;

/// What is known of the other entries.
#[derive(Debug, Default)]
pub struct Peers {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    addresses: Vec<SocketAddr>,
    /// Where among them the next turn begins.
    told: usize,
    members: Arc<[Member]>,
    heard: HashMap<u64, Peer>,
    totals: HashMap<u32, Others>,
}

#[derive(Debug)]
struct Peer {
    run: u64,
    sequence: u64,
    at: Instant,
    work: Vec<(u32, Others)>,
    loads: Vec<ServiceLoad>,
}

impl Peers {
    /// The other entries' work at an engine.
    pub fn others(&self, engine: Hash) -> Others {
        self.lock().totals.get(&short(engine)).copied().unwrap_or_default()
    }

    /// How many other entries were heard lately.
    pub fn heard(&self) -> u32 {
        u32::try_from(self.lock().heard.len()).unwrap_or(u32::MAX)
    }

    /// Whether another entry was heard lately.
    pub fn hears(&self, entry: Hash) -> bool {
        self.lock().heard.contains_key(&entry)
    }

    /// Takes in which entries live and where they are, this one included.
    pub fn set_members(&self, mut members: Vec<Member>) {
        members.sort_by_key(|member| member.key);
        let mut inner = self.lock();
        inner.addresses = members.iter().filter_map(|member| member.address).collect();
        if *inner.members != *members {
            inner.members = members.into();
        }
    }

    /// The entries that live, this one included.
    pub fn members(&self) -> Arc<[Member]> {
        self.lock().members.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Takes in a peer's state; `false` if a newer one is known.
    fn hear(&mut self, state: State, loads: &Loads, now: Instant) -> bool {
        let State { entry, run, sequence, work, loads: told, .. } = state;
        let known = self.heard.get(&entry);
        if known.is_some_and(|peer| peer.run == run && peer.sequence >= sequence) {
            return false;
        }
        let before = known.filter(|peer| peer.run == run).map(|peer| &*peer.loads);
        for load in &told {
            let before = before.and_then(|rows| rows.iter().find(|b| b.service == load.service));
            loads.hear(before, load);
        }
        self.forget(entry);
        let work = work.map(Work::rows).unwrap_or_default();
        for (engine, others) in &work {
            let total = self.totals.entry(*engine).or_default();
            total.reading += others.reading;
            total.streams += others.streams;
        }
        self.heard.insert(entry, Peer { run, sequence, at: now, work, loads: told });
        true
    }

    fn forget(&mut self, entry: u64) {
        let Some(peer) = self.heard.remove(&entry) else { return };
        for (engine, others) in peer.work {
            if let Some(total) = self.totals.get_mut(&engine) {
                total.reading = total.reading.saturating_sub(others.reading);
                total.streams = total.streams.saturating_sub(others.streams);
            }
        }
    }

    /// The peers whose turn it is to be told.
    fn next(&mut self) -> Vec<SocketAddr> {
        let all = self.addresses.len();
        let turn = self.addresses.iter().cycle().skip(self.told).take(all.min(AT_ONCE));
        let turn = turn.copied().collect();
        self.told = (self.told + AT_ONCE).checked_rem(all).unwrap_or_default();
        turn
    }

    fn expire(&mut self, now: Instant) {
        let rounds = self.addresses.len().div_ceil(AT_ONCE).max(1);
        let fresh = FRESH * u32::try_from(rounds).unwrap_or(u32::MAX);
        let silent = self.heard.iter().filter(|(_, peer)| now.duration_since(peer.at) > fresh);
        let silent: Vec<u64> = silent.map(|(entry, _)| *entry).collect();
        for entry in silent {
            log::info!(target: "peers", entry; "entry silent");
            self.forget(entry);
        }
        self.totals.retain(|_, others| *others != Others::default());
    }
}

/// Tells the other entries of this one's work for as long as the process lives.
pub async fn tell(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let entry = shared.key();
    let run = u64::from(std::process::id()) ^ policy::hash(&format!("{:?}", Instant::now()));
    let mut sequence = 0;
    loop {
        // Ends early when something has changed.
        let _ = timeout(ALIVE, shared.workload.changed()).await;
        sequence += 1;
        let addresses = {
            let mut inner = shared.peers.lock();
            inner.expire(Instant::now());
            if shared.tail.reads_for_all() { inner.addresses.clone() } else { inner.next() }
        };
        let (work, reads, loads) = (Some(work(&shared)), reads(&shared), shared.loads.tell());
        let clock = clock::time_of_day();
        let standings = shared.workload.standings.tell(Instant::now());
        let state = State { entry, run, sequence, work, reads, loads, clock, standings };
        let datagram = Bytes::from(state.encode_to_vec());
        for address in &addresses {
            if let Err(error) = socket.send_to(&datagram, address).await {
                log::debug!(target: "peers", address:% = address, error:% = error; "not sent");
            }
        }
        let peers = u32::try_from(addresses.len()).unwrap_or(u32::MAX);
        let few = peers.div_ceil(PEERS).max(1);
        let pause = (PAUSE * few * few).min(LONGEST_PAUSE);
        tokio::time::sleep(pause.max(shared.settings.share_of_link(datagram.len(), peers))).await;
    }
}

/// How far this entry has read the log.
fn reads(shared: &Shared) -> Vec<Read> {
    let topics = (0..).zip(tail::TOPICS);
    let seen = shared.tail.seen(Instant::now());
    let reads = seen.into_iter().filter_map(|seen| {
        let (topic, _) = topics.clone().find(|(_, topic)| *topic == seen.topic)?;
        let age_ms = u32::try_from(seen.age.as_millis()).unwrap_or(u32::MAX);
        Some(Read { topic, news: seen.news, age_ms })
    });
    reads.collect()
}

/// Takes in how far another entry has read the log.
fn take_reads(shared: &Shared, entry: u64, reads: &[Read], now: Instant) {
    for read in reads {
        let topic = usize::try_from(read.topic).ok().and_then(|at| tail::TOPICS.get(at));
        // A stream that a newer version follows.
        let Some(topic) = topic.copied() else { continue };
        let age = Duration::from_millis(read.age_ms.into());
        tail::hear_epoch(shared, plat::epoch::epoch(read.news), "peer");
        shared.tail.hear(entry, Seen { topic, news: read.news, age }, now);
    }
}

/// This entry's work at all engines where it has any.
fn work(shared: &Shared) -> Work {
    let mut work = Work::default();
    for row in shared.workload.rows() {
        work.engines.push(short(row.engine));
        work.reading.push(u32::try_from(row.reading.div_ceil(UNIT)).unwrap_or(u32::MAX));
        work.streams.push(row.streams);
    }
    work
}

/// Hears the other entries for as long as the process lives.
pub async fn hear(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(target: "peers", error:% = error; "not received");
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        if !is_peer(&shared, from.ip()) {
            continue;
        }
        if let Err(error) = take(&shared, &buffer[..length], from) {
            log::warn!(target: "peers", from:% = from, error:% = error; "not readable");
        }
    }
}

fn is_peer(shared: &Shared, ip: IpAddr) -> bool {
    shared.peers.lock().addresses.iter().any(|address| address.ip() == ip)
}

fn take(shared: &Shared, datagram: &[u8], from: SocketAddr) -> Result<(), prost::DecodeError> {
    match Exchange::decode(datagram)?.word {
        Some(word) => take_word(shared, word, from),
        None => take_state(shared, State::decode(datagram)?),
    }
    Ok(())
}

fn take_state(shared: &Shared, mut state: State) {
    let (entry, reads, now) = (state.entry, std::mem::take(&mut state.reads), Instant::now());
    let standings = std::mem::take(&mut state.standings);
    shared.usage.clock.hear(entry, state.clock);
    if shared.peers.lock().hear(state, &shared.loads, now) {
        take_reads(shared, entry, &reads, now);
        take_standings(shared, &standings, now);
    }
}

/// The longest that an entry goes by another's pause without hearing of it again.
const LONGEST_PAUSE_TOLD: Duration = Duration::from_secs(2);

/// Takes in what targets said to another entry. Those that leave get nothing new here either. Those that pause
/// for that entry may take this one's requests: others go first.
fn take_standings(shared: &Shared, standings: &[TargetStanding], now: Instant) {
    for standing in standings {
        if standing.leaves {
            shared.workload.standings.depart(standing.target, now);
        }
        let pause = Duration::from_millis(standing.pause_ms.into()).min(LONGEST_PAUSE_TOLD);
        if let Some(target) = shared.fleet().life(standing.target).filter(|_| !pause.is_zero()) {
            target.pauses_elsewhere(now + pause);
        }
    }
}

fn take_word(shared: &Shared, word: Word, from: SocketAddr) {
    match word {
        Word::Ask(_) | Word::Place(_) | Word::Permit(_) => {
            if let Some(answer) = coordinator::answer(shared, &word) {
                shared.post.send(Word::Answer(answer), from);
            }
        }
        Word::Answer(answer) => {
            if let Err(answer) = shared.post.deliver(answer) {
                give_back(shared, &answer, from);
            }
        }
        Word::Report(report) => coordinator::take(shared, &report),
        Word::Limit(limit) => coordinator::hear_limit(shared, &limit),
        Word::News(news) => broadcast::take(shared, news),
        Word::Lack(lack) => broadcast::answer(shared, lack, from),
        Word::Used(used) => shared.usage.hear(used),
        Word::Billed(billed) => shared.usage.billed(billed, clock::since_boot()),
    }
}

/// Ends a booking that was granted too late for anybody to use it.
fn give_back(shared: &Shared, answer: &Answer, from: SocketAddr) {
    let Some(Room::Granted(granted)) = answer.room else { return };
    let Granted { engine, .. } = granted;
    let report = Report { booking: answer.booking, engine, ..Report::default() };
    shared.post.send(Word::Report(report), from);
}
