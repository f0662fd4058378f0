//! What a rate-limited target gets from all entries together.

#![expect(clippy::cast_precision_loss, clippy::cast_possible_truncation, reason = "small numbers")]

use policy::pacing::{Pacer, Priority, RateLimit, Requester, STANDBY_SHARE};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Responses overtake one another: one from before the target was overloaded is received after one
/// with its limit. If it counted, all requests would be sent again.
#[test]
fn overtaken_response_does_not_lift_the_limit() {
    let mut limit = RateLimit::default();
    assert!(limit.observe(Some(10.0), ms(0), ms(100)));
    assert!(!limit.observe(None, ms(50), ms(110)));
    assert!(!limit.observe(Some(40.0), ms(99), ms(120)));
    assert_eq!(limit.rate(), Some(10.0));
    assert!(limit.observe(Some(40.0), ms(101), ms(130)));
    assert!(limit.observe(None, ms(131), ms(140)));
    assert_eq!(limit.rate(), None);
}

/// The target can take even less than before. Its response counts whenever the request was sent.
#[test]
fn lower_limit_applies_at_once() {
    let mut limit = RateLimit::default();
    limit.observe(Some(10.0), ms(0), ms(100));
    assert!(limit.observe(Some(4.0), ms(0), ms(90)));
    assert_eq!((limit.rate(), limit.received_at()), (Some(4.0), ms(100)));
}

const URGENT: Priority = 0;
const NORMAL: Priority = 3;

fn requester(entry: u64, priority: Priority) -> Requester {
    Requester { entry, priority }
}

/// A coordinator is killed and another takes over, which does not know what was granted just
/// before.
#[test]
fn new_pacer_has_no_saved_permits() {
    let mut pacer = Pacer::new(ms(0));
    pacer.set_limit(10.0, 1.0, ms(0));
    assert_eq!(pacer.acquire(requester(1, URGENT), ms(0)), Err(ms(100)));
    assert_eq!(pacer.acquire(requester(1, URGENT), ms(101)), Ok(()));
}

/// One of two entries forwards a limit late, when the target has already lowered it. It must not
/// raise the limit that the coordinator got from the other entry.
#[test]
fn forwarded_limit_counts_by_the_time_of_its_request() {
    let mut late = RateLimit::default();
    late.observe(Some(20.0), ms(0), ms(100));
    let mut current = RateLimit::default();
    current.observe(Some(5.0), ms(8), ms(12));
    assert!(!current.observe(late.rate(), late.sent_at(), late.received_at()));
    assert_eq!(current.rate(), Some(5.0));
}

/// A target names a limit of 0. Without any request it could never lift that limit.
#[test]
fn limit_of_zero_allows_one_request_every_two_seconds() {
    let mut pacer = Pacer::new(ms(0));
    pacer.set_limit(0.0, 1.0, ms(0));
    let granted =
        (0..=600).filter(|at| pacer.acquire(requester(1, URGENT), ms(at * 100)).is_ok()).count();
    assert_eq!(granted, 30);
}

/// A target with a limit of 0 may get five requests in four seconds. A coordinator and a standby
/// that both grant permits, each with some saved, must not exceed that.
#[test]
fn coordinator_and_standby_together_stay_within_a_limit_of_zero() {
    let mut pacers = [(Pacer::new(ms(0)), 1.0), (Pacer::new(ms(0)), STANDBY_SHARE)];
    for (pacer, share) in &mut pacers {
        pacer.set_limit(0.0, *share, ms(0));
        assert_eq!(pacer.check(URGENT, ms(60_000)), Ok(()));
    }
    let mut granted = 0;
    for at in 60_000..64_000 {
        for (pacer, _) in &mut pacers {
            granted += u32::from(pacer.acquire(requester(1, URGENT), ms(at)).is_ok());
        }
    }
    assert!(granted <= 5, "{granted}");
}

/// A value beyond all demand limits nothing and causes no overflow.
#[test]
fn limit_beyond_all_demand_refuses_nothing() {
    let mut pacer = Pacer::new(ms(0));
    pacer.set_limit(1e9, 1.0, ms(0));
    assert!((1..10_000).all(|at| pacer.acquire(requester(1, NORMAL), ms(at)).is_ok()));
}

/// Permits are scarce and most requests are not urgent. The few urgent ones must not wait behind
/// them, and however many are urgent, the others must get some.
#[test]
fn urgent_requests_go_first_without_starving_others() {
    let share = |urgent_every: u64| {
        let mut pacer = Pacer::new(ms(0));
        pacer.set_limit(10.0, 1.0, ms(0));
        let (mut granted, mut asked) = ([0_u32; 2], [0_u32; 2]);
        for at in 1..6_000 {
            let is_urgent = at % urgent_every == 0;
            let kind = usize::from(!is_urgent);
            asked[kind] += 1;
            let priority = if is_urgent { URGENT } else { NORMAL };
            granted[kind] += u32::from(pacer.acquire(requester(at, priority), ms(at * 10)).is_ok());
        }
        (granted, asked)
    };
    // Four urgent requests per second and 96 others.
    let (granted, asked) = share(25);
    assert!(granted[0] * 10 >= asked[0] * 9, "{granted:?} of {asked:?}");
    // Fifty of each, so urgent requests could take all permits.
    let (granted, asked) = share(2);
    assert!(granted[0] >= granted[1] * 5, "{granted:?} of {asked:?}");
    assert!(granted[1] >= 50, "{granted:?} of {asked:?}");
}

/// How entries divide a limit among them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Each entry uses an equal share.
    Equal,
    /// Each entry uses a share by its part of the demand, as last reported to the others.
    ByDemand,
    /// Each entry asks for permits.
    Permits,
}

/// The fault during the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Calm,
    /// One entry has half of the demand, and another one from the middle of the run.
    Shift,
    /// The coordinator is frozen for two seconds.
    Frozen,
    /// Half of the entries reach only the coordinator, the others only the standby.
    Split,
}

/// What the target received.
struct Result {
    /// Most requests within four seconds, relative to what is allowed.
    worst: f64,
    /// Share of the limit that was used.
    used: f64,
    /// Permit requests per second.
    questions: f64,
}

/// Duration of the simulation, in milliseconds.
const SPAN: u64 = 30_000;

/// Time range of the fault, in milliseconds.
const FAULT: std::ops::Range<u64> = 12_000..14_000;

/// Decay of the recorded demand per millisecond.
const DECAY: f64 = 0.999;

/// Demand, as a multiple of the limit.
const DEMAND: f64 = 3.0;

/// Returns the age of the reports that entries have of each other, which are sent to 16 at a time.
fn report_age(entries: usize) -> u64 {
    300 * entries.div_ceil(16) as u64
}

/// Simulates a target with this limit and so many entries.
fn simulate(policy: Policy, entries: usize, limit: f64, fault: Fault) -> Result {
    let mut random = ChaCha8Rng::seed_from_u64(entries as u64);
    // Saved permits of each entry, and when they were last counted.
    let mut own_permits = vec![(0.0, 0); entries];
    let mut retry_at = vec![0; entries];
    let (mut demand, mut reported) = (vec![1.0; entries], vec![1.0; entries]);
    let mut total = entries as f64;
    let mut pacers = [Pacer::new(ms(0)), Pacer::new(ms(0))];
    let (mut times, mut questions) = (Vec::new(), 0_u32);
    for at in 1..SPAN {
        if at % report_age(entries) == 0 {
            // Recorded demand decays within some seconds.
            demand.iter_mut().for_each(|demand| *demand *= DECAY.powf(report_age(entries) as f64));
            reported = demand.clone();
            total = reported.iter().sum();
        }
        if !random.random_bool(limit * DEMAND / 1e3) {
            continue;
        }
        let heavy = if fault == Fault::Shift && at > SPAN / 2 { entries - 1 } else { 0 };
        let half = fault == Fault::Shift && random.random_bool(0.5);
        let entry = if half { heavy } else { random.random_range(0..entries) };
        demand[entry] += 1.0;
        let is_sent = if policy == Policy::Permits {
            let frozen = fault == Fault::Frozen && FAULT.contains(&at);
            let index = usize::from(frozen || fault == Fault::Split && entry % 2 == 1);
            if retry_at[entry] > at {
                continue;
            }
            questions += 1;
            let share = if index == 0 { 1.0 } else { STANDBY_SHARE };
            pacers[index].set_limit(limit, share, ms(at));
            match pacers[index].acquire(requester(entry as u64, URGENT), ms(at)) {
                Ok(()) => true,
                Err(after) => {
                    let spread = random.random_range(0.75..1.25);
                    retry_at[entry] = at + after.mul_f64(spread).as_millis() as u64;
                    false
                }
            }
        } else {
            let share = if policy == Policy::Equal {
                1.0 / entries as f64
            } else {
                reported[entry] / total
            };
            let (saved, last) = own_permits[entry];
            let saved = saved + limit * share * (at - last) as f64 / 1e3;
            let saved = f64::min(saved, 1.0 + limit * share / 8.0);
            let is_sent = saved >= 1.0;
            own_permits[entry] = (if is_sent { saved - 1.0 } else { saved }, at);
            is_sent
        };
        if is_sent {
            times.push(at);
        }
    }
    let window = |end: &u64| times.iter().filter(|at| **at <= *end && **at + 4_000 > *end).count();
    let max = times.iter().map(window).max().unwrap_or_default();
    let seconds = SPAN as f64 / 1e3;
    Result {
        worst: max as f64 / (limit * 1.5 * 4.0 + 5.0),
        used: times.len() as f64 / (limit * seconds),
        questions: f64::from(questions) / seconds,
    }
}

/// Compares policies by which entries divide one limit among them. An equal share wastes what
/// entries without demand do not use; a share by demand relies on reports that are seconds old
/// where there are many entries.
#[test]
fn ways_to_keep_to_a_limit_together() {
    let mut table = String::new();
    for fault in [Fault::Calm, Fault::Shift, Fault::Frozen, Fault::Split] {
        for (entries, limit) in [(4, 8.6), (22, 8.6), (390, 8.6), (390, 100.0)] {
            for policy in [Policy::Equal, Policy::ByDemand, Policy::Permits] {
                let Result { worst, used, questions } = simulate(policy, entries, limit, fault);
                writeln!(
                    table,
                    "{fault:?} {entries} entries, {limit} a second, {policy:?}: worst {worst:.2} of \
                     what is allowed, {used:.2} used, {questions:.0} questions a second"
                )
                .unwrap();
                if policy == Policy::Permits {
                    assert!(worst <= 1.0, "{table}");
                    assert!(questions <= limit * 5.0, "{table}");
                    let is_whole = matches!(fault, Fault::Calm | Fault::Shift);
                    assert!(!is_whole || used >= 0.9, "{table}");
                }
            }
        }
    }
    insta::assert_snapshot!(table);
}
