//! Ways in which entries treat a target that asks for pauses, compared on a model.
//!
//! Four targets, 200 requests a second each at most; entries ask for seven tenths of that. From second 2 to 11
//! the first target rejects all and asks for pauses of 3 s. While it is weak it goes on rejecting if more than
//! 75 requests come within half a second, five more than its share.

#![expect(clippy::cast_precision_loss, clippy::cast_possible_truncation, reason = "small numbers")]

use policy::pause::Pause;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::fmt::Write;
use std::time::Duration;

/// How requests come back after a pause.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Back {
    AtOnce,
    AfterOne,
    ByDegrees,
}

/// Who learns of a pause.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Told {
    Nobody,
    Peers,
}

const TARGETS: usize = 4;
const RATE: f64 = 200.0;
/// Requests that wait at a target at most.
const QUEUE: usize = 20;
const DEMAND: f64 = 0.7;
const SHED: std::ops::Range<u64> = 2_000..11_000;
const WEAK_UNTIL: u64 = 16_000;
const WEAK: usize = 75;
const PAUSE: Duration = Duration::from_millis(3_000);
const GRACE: u64 = 500;
const END: u64 = 20_000;
/// How long a target works on a request.
const WORK: u64 = 20;
/// Peers that are told in a turn, and how far apart turns are.
const TURN: (usize, u64) = (16, 300);
/// What a row of a datagram takes, in bytes.
const ROW: usize = 14;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What an entry believes of the first target.
#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    own: Pause,
    until: u64,
    is_well: bool,
    told: u64,
    asked_at: Option<u64>,
    in_pause: usize,
    turn: usize,
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
    fn may_send(&mut self, back: Back, now: u64) -> bool {
        match back {
            Back::AtOnce => now >= self.until,
            Back::AfterOne => {
                let trial = now >= self.until && self.asked_at.is_none_or(|at| now >= at + 500);
                let may = now >= self.until && (self.is_well || trial);
                if may && !self.is_well {
                    self.asked_at = Some(now);
                }
                may
            }
            Back::ByDegrees => self.own.take(ms(now)).is_ok(),
        }
    }

    fn rejected(&mut self, now: u64) {
        self.own.begin(PAUSE, ms(now));
        self.until = self.until.max(now + PAUSE.as_millis() as u64);
        (self.is_well, self.asked_at) = (false, None);
    }
}

/// Plays all entries, and counts from second 2 on.
fn play(entries: usize, back: Back, told: Told) -> Result {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut all = vec![Entry { is_well: true, ..Entry::default() }; entries];
    let mut result = Result::default();
    let mut at_first: VecDeque<u64> = VecDeque::new();
    let mut busy: Vec<VecDeque<u64>> = vec![VecDeque::new(); TARGETS];
    let each_ms = TARGETS as f64 * RATE * DEMAND / 1e3;
    let mut answers: VecDeque<(u64, usize, u64)> = VecDeque::new();
    let mut sheds_until = 0;
    for now in 0..END {
        for queue in &mut busy {
            while queue.front().is_some_and(|end| *end <= now) {
                queue.pop_front();
            }
        }
        while answers.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, entry, sent)) = answers.pop_front() else { break };
            let entry = &mut all[entry];
            entry.own.answered(ms(sent), ms(now));
            entry.is_well |= sent >= entry.until;
        }
        if told != Told::Nobody && now % TURN.1 == 0 {
            result.bytes += gossip(&mut all, told, now);
        }
        let mut due = each_ms;
        while random.random::<f64>() < due {
            due -= 1.0;
            let entry = random.random_range(0..entries);
            let knows = told != Told::Nobody && now < all[entry].told;
            let open = !knows && all[entry].may_send(back, now);
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
            let asked = until.saturating_sub(PAUSE.as_millis() as u64);
            if now < until && now >= asked + GRACE {
                all[entry].in_pause += 1;
                result.worst_in_pause = result.worst_in_pause.max(all[entry].in_pause);
            }
            if !sheds {
                answers.push_back((now + WORK, entry, now));
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

/// Entries that were asked for a pause tell others, and returns how many bytes that takes.
fn gossip(all: &mut [Entry], told: Told, now: u64) -> usize {
    let mut bytes = 0;
    for at in 0..all.len() {
        if now >= all[at].until {
            continue;
        }
        let (until, turn) = (all[at].until, all[at].turn);
        let peers = match told {
            Told::Nobody => 0,
            Told::Peers => TURN.0.min(all.len() - 1),
        };
        for step in 0..peers {
            let peer = (at + 1 + turn + step) % all.len();
            all[peer].told = all[peer].told.max(until);
            bytes += ROW;
        }
        all[at].turn = (turn + peers) % all.len();
    }
    bytes
}

/// What each way costs callers and the target, for fleets of three sizes.
#[test]
fn ways_to_treat_a_target_that_asks_for_pauses() {
    let mut text = String::new();
    writeln!(text, "entries  back       told          rejected  refused  most in a pause  sheds again  bytes/s an entry").unwrap();
    for entries in [4, 22, 390] {
        for (back, told) in [
            (Back::AtOnce, Told::Nobody),
            (Back::AfterOne, Told::Nobody),
            (Back::ByDegrees, Told::Nobody),
            (Back::ByDegrees, Told::Peers),
        ] {
            let Result { rejected, refused, worst_in_pause, second_sheds, bytes } =
                play(entries, back, told);
            assert!(worst_in_pause <= 2, "{entries} entries, {back:?}, {told:?}");
            let bytes = bytes / entries / (END as usize / 1_000);
            writeln!(text, "{entries:>7}  {:<9}  {:<12}  {rejected:>8}  {refused:>7}  {worst_in_pause:>15}  {second_sheds:>11}  {bytes:>5}", format!("{back:?}"), format!("{told:?}")).unwrap();
        }
    }
    insta::assert_snapshot!(text);
}
