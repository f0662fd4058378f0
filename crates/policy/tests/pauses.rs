//! Simulation that compares how entries treat a target that asks for pauses.
//!
//! There are four targets of 200 requests per second each, and entries send seven tenths of that.
//! From second 2 to 11 the first target rejects all requests and asks for pauses of 3 s. Until
//! second 16 it rejects again if more than 75 requests arrive within half a second, five more than
//! its share.

#![expect(clippy::cast_precision_loss, clippy::cast_possible_truncation, reason = "small numbers")]

use policy::pause::Pause;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::fmt::Write;
use std::time::Duration;

/// How load resumes after a pause.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Resume {
    AtOnce,
    AfterOne,
    ByDegrees,
}

/// Who is informed of a pause.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Informed {
    Nobody,
    Peers,
}

const TARGETS: usize = 4;
const RATE: f64 = 200.0;
/// Maximum queue length of a target.
const QUEUE: usize = 20;
const DEMAND: f64 = 0.7;
/// When the first target rejects all requests, in milliseconds.
const SHED: std::ops::Range<u64> = 2_000..11_000;
const WEAK_UNTIL: u64 = 16_000;
const WEAK: usize = 75;
const PAUSE: Duration = Duration::from_millis(3_000);
const GRACE: u64 = 500;
const END: u64 = 20_000;
/// Service time of a request, in milliseconds.
const WORK: u64 = 20;
/// Number of peers that are informed in one round, and milliseconds between rounds.
const ROUND: (usize, u64) = (16, 300);
/// Size of a datagram row in bytes.
const ROW: usize = 14;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The state of the first target as known to an entry.
#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    own: Pause,
    until: u64,
    has_recovered: bool,
    peer_until: u64,
    probed_at: Option<u64>,
    in_pause: usize,
    round: usize,
}

#[derive(Debug, Default)]
struct Result {
    rejected: usize,
    refused: usize,
    worst_in_pause: usize,
    second_sheds: usize,
    bytes: usize,
}

impl Entry {
    fn may_send(&mut self, resume: Resume, now: u64) -> bool {
        match resume {
            Resume::AtOnce => now >= self.until,
            Resume::AfterOne => {
                let may_probe =
                    now >= self.until && self.probed_at.is_none_or(|at| now >= at + 500);
                let may = now >= self.until && (self.has_recovered || may_probe);
                if may && !self.has_recovered {
                    self.probed_at = Some(now);
                }
                may
            }
            Resume::ByDegrees => self.own.acquire(ms(now)).is_ok(),
        }
    }

    fn rejected(&mut self, now: u64) {
        self.own.begin(PAUSE, ms(now));
        self.until = self.until.max(now + PAUSE.as_millis() as u64);
        (self.has_recovered, self.probed_at) = (false, None);
    }
}

/// Simulates all entries, and counts from second 2 on.
fn simulate(entries: usize, resume: Resume, informed: Informed) -> Result {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut all = vec![Entry { has_recovered: true, ..Entry::default() }; entries];
    let mut result = Result::default();
    let mut at_first: VecDeque<u64> = VecDeque::new();
    let mut busy: Vec<VecDeque<u64>> = vec![VecDeque::new(); TARGETS];
    let each_ms = TARGETS as f64 * RATE * DEMAND / 1e3;
    let mut responses: VecDeque<(u64, usize, u64)> = VecDeque::new();
    let mut sheds_until = 0;
    for now in 0..END {
        for queue in &mut busy {
            while queue.front().is_some_and(|end| *end <= now) {
                queue.pop_front();
            }
        }
        while responses.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, entry, sent)) = responses.pop_front() else { break };
            let entry = &mut all[entry];
            entry.own.observe_response(ms(sent), ms(now));
            entry.has_recovered |= sent >= entry.until;
        }
        if informed != Informed::Nobody && now % ROUND.1 == 0 {
            result.bytes += gossip(&mut all, informed, now);
        }
        let mut due = each_ms;
        while random.random::<f64>() < due {
            due -= 1.0;
            let entry = random.random_range(0..entries);
            let is_informed = informed != Informed::Nobody && now < all[entry].peer_until;
            let open = !is_informed && all[entry].may_send(resume, now);
            let first = if open { 0 } else { 1 };
            let target =
                (first..TARGETS).min_by_key(|at| (busy[*at].len(), random.random::<u32>()));
            let target = target.unwrap_or(1);
            if target != 0 {
                serve(&mut busy[target], now, &mut result);
                continue;
            }
            at_first.push_back(now);
            while at_first.front().is_some_and(|at| at + 500 < now) {
                at_first.pop_front();
            }
            let weak = (SHED.start..WEAK_UNTIL).contains(&now);
            if weak && !SHED.contains(&now) && now >= sheds_until && at_first.len() > WEAK {
                (sheds_until, result.second_sheds) = (now + 1_000, result.second_sheds + 1);
            }
            let sheds = SHED.contains(&now) || now < sheds_until;
            let until = all[entry].until;
            let pause_start = until.saturating_sub(PAUSE.as_millis() as u64);
            if now < until && now >= pause_start + GRACE {
                all[entry].in_pause += 1;
                result.worst_in_pause = result.worst_in_pause.max(all[entry].in_pause);
            }
            if !sheds {
                responses.push_back((now + WORK, entry, now));
                serve(&mut busy[0], now, &mut result);
                continue;
            }
            result.rejected += 1;
            if now >= until {
                all[entry].in_pause = 0;
            }
            all[entry].rejected(now);
            serve(&mut busy[1 + (now as usize % 3)], now, &mut result);
        }
    }
    result
}

fn serve(queue: &mut VecDeque<u64>, now: u64, result: &mut Result) {
    if queue.len() >= QUEUE {
        result.refused += usize::from(now >= SHED.start);
        return;
    }
    queue.push_back(now + WORK * (1 + queue.len() as u64 / 4));
}

/// Lets entries that were asked for a pause inform others, and returns how many bytes that takes.
fn gossip(all: &mut [Entry], informed: Informed, now: u64) -> usize {
    let mut bytes = 0;
    for at in 0..all.len() {
        if now >= all[at].until {
            continue;
        }
        let (until, round) = (all[at].until, all[at].round);
        let peers = match informed {
            Informed::Nobody => 0,
            Informed::Peers => ROUND.0.min(all.len() - 1),
        };
        for step in 0..peers {
            let peer = (at + 1 + round + step) % all.len();
            all[peer].peer_until = all[peer].peer_until.max(until);
            bytes += ROW;
        }
        all[at].round = (round + peers) % all.len();
    }
    bytes
}

/// Compares what each policy costs callers and the target, for fleets of three sizes.
#[test]
fn ways_to_treat_a_target_that_asks_for_pauses() {
    let mut text = String::new();
    writeln!(text, "entries  back       told          rejected  refused  most in a pause  sheds again  bytes/s an entry").unwrap();
    for entries in [4, 22, 390] {
        for (resume, informed) in [
            (Resume::AtOnce, Informed::Nobody),
            (Resume::AfterOne, Informed::Nobody),
            (Resume::ByDegrees, Informed::Nobody),
            (Resume::ByDegrees, Informed::Peers),
        ] {
            let Result { rejected, refused, worst_in_pause, second_sheds, bytes } =
                simulate(entries, resume, informed);
            assert!(worst_in_pause <= 2, "{entries} entries, {resume:?}, {informed:?}");
            let bytes = bytes / entries / (END as usize / 1_000);
            writeln!(text, "{entries:>7}  {:<9}  {:<12}  {rejected:>8}  {refused:>7}  {worst_in_pause:>15}  {second_sheds:>11}  {bytes:>5}", format!("{resume:?}"), format!("{informed:?}")).unwrap();
        }
    }
    insta::assert_snapshot!(text);
}
