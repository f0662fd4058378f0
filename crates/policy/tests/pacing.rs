//! What a target that named a limit gets from all entries together.

#![expect(clippy::cast_precision_loss, clippy::cast_possible_truncation, reason = "small numbers")]

use policy::pacing::{Pacer, Priority, RateLimit, Requester, STANDBY_SHARE};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Answers overtake one another: one that the target made before it was in need comes after one with
/// its limit. Taken at its word it would let all requests through again.
#[test]
fn an_answer_that_was_overtaken_ends_no_limit() {
    let mut limit = RateLimit::default();
    assert!(limit.observe(Some(10.0), ms(0), ms(100)));
    assert!(!limit.observe(None, ms(50), ms(110)));
    assert!(!limit.observe(Some(40.0), ms(99), ms(120)));
    assert_eq!(limit.rate(), Some(10.0));
    assert!(limit.observe(Some(40.0), ms(101), ms(130)));
    assert!(limit.observe(None, ms(131), ms(140)));
    assert_eq!(limit.rate(), None);
}

/// The target needs more relief than before. Its answer counts whenever it was asked for.
#[test]
fn a_lower_limit_counts_at_once() {
    let mut limit = RateLimit::default();
    limit.observe(Some(10.0), ms(0), ms(100));
    assert!(limit.observe(Some(4.0), ms(0), ms(90)));
    assert_eq!((limit.rate(), limit.received_at()), (Some(4.0), ms(100)));
}

const URGENT: Priority = 0;
const LATER: Priority = 3;

fn ask(entry: u64, rank: Priority) -> Requester {
    Requester { entry, priority: rank }
}

/// A coordinator was killed and another begins: it doesn't know what was given out just before.
#[test]
fn who_begins_has_no_permits_saved_up() {
    let mut pacer = Pacer::new(ms(0));
    pacer.set_limit(10.0, 1.0, ms(0));
    assert_eq!(pacer.acquire(ask(1, URGENT), ms(0)), Err(ms(100)));
    assert_eq!(pacer.acquire(ask(1, URGENT), ms(101)), Ok(()));
}

/// Of two entries one passes on a limit that the target has lowered since: it came late. What the coordinator
/// knows of the other's must not be raised by it.
#[test]
fn a_limit_that_is_passed_on_counts_by_when_its_request_was_sent() {
    let mut late = RateLimit::default();
    late.observe(Some(20.0), ms(0), ms(100));
    let mut known = RateLimit::default();
    known.observe(Some(5.0), ms(8), ms(12));
    assert!(!known.observe(late.rate(), late.sent_at(), late.received_at()));
    assert_eq!(known.rate(), Some(5.0));
}

/// A target says that it takes nothing. Without any request it could never say that its need is over.
#[test]
fn a_limit_of_nothing_lets_one_through_each_two_seconds() {
    let mut pacer = Pacer::new(ms(0));
    pacer.set_limit(0.0, 1.0, ms(0));
    let given = (0..=600).filter(|at| pacer.acquire(ask(1, URGENT), ms(at * 100)).is_ok()).count();
    assert_eq!(given, 30);
}

/// A target that takes nothing may get five requests in four seconds. Two that both give permits, each with
/// some saved up, must not exceed that.
#[test]
fn two_that_give_permits_for_a_limit_of_nothing_stay_within_what_is_allowed() {
    let mut pacers = [(Pacer::new(ms(0)), 1.0), (Pacer::new(ms(0)), STANDBY_SHARE)];
    for (pacer, part) in &mut pacers {
        pacer.set_limit(0.0, *part, ms(0));
        assert_eq!(pacer.check(URGENT, ms(60_000)), Ok(()));
    }
    let mut given = 0;
    for at in 60_000..64_000 {
        for (pacer, _) in &mut pacers {
            given += u32::from(pacer.acquire(ask(1, URGENT), ms(at)).is_ok());
        }
    }
    assert!(given <= 5, "{given}");
}

/// A figure beyond all demand is no limit, and makes no number overflow.
#[test]
fn a_limit_beyond_all_demand_refuses_nobody() {
    let mut pacer = Pacer::new(ms(0));
    pacer.set_limit(1e9, 1.0, ms(0));
    assert!((1..10_000).all(|at| pacer.acquire(ask(1, LATER), ms(at)).is_ok()));
}

/// Permits are scarce and most requests are not urgent. The few that are must not wait behind them, and
/// however many are urgent, the others get some.
#[test]
fn urgent_requests_go_first_and_the_others_get_some() {
    let share = |urgent_every: u64| {
        let mut pacer = Pacer::new(ms(0));
        pacer.set_limit(10.0, 1.0, ms(0));
        let (mut given, mut asked) = ([0_u32; 2], [0_u32; 2]);
        for at in 1..6_000 {
            let is_urgent = at % urgent_every == 0;
            let kind = usize::from(!is_urgent);
            asked[kind] += 1;
            let rank = if is_urgent { URGENT } else { LATER };
            given[kind] += u32::from(pacer.acquire(ask(at, rank), ms(at * 10)).is_ok());
        }
        (given, asked)
    };
    // Four urgent ones a second and 96 others.
    let (given, asked) = share(25);
    assert!(given[0] * 10 >= asked[0] * 9, "{given:?} of {asked:?}");
    // Fifty of each: all permits would go to the urgent ones.
    let (given, asked) = share(2);
    assert!(given[0] >= given[1] * 5, "{given:?} of {asked:?}");
    assert!(given[1] >= 50, "{given:?} of {asked:?}");
}

/// How entries keep to a limit together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Each takes an equal share.
    Equal,
    /// Each takes a share by its part of the demand, as the others last heard of it.
    ByDemand,
    /// Each asks for a permit.
    Permits,
}

/// What happens meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    Calm,
    /// One entry has half of the demand, from the middle on another.
    Shift,
    /// The coordinator is frozen for two seconds.
    Frozen,
    /// Half of the entries reach only the coordinator, the others only who stands by.
    Split,
}

/// What a target got.
struct Result {
    /// The most in four seconds, against what is allowed.
    worst: f64,
    /// The part of the limit that was used.
    used: f64,
    /// Questions for permits a second.
    questions: f64,
}

/// How long the model runs, in milliseconds.
const SPAN: u64 = 30_000;

/// When trouble begins and ends.
const TROUBLE: std::ops::Range<u64> = 12_000..14_000;

/// What is left of demand after a millisecond.
const FORGOTTEN: f64 = 0.999;

/// Three times as many requests as the target takes in.
const DEMAND: f64 = 3.0;

/// How old what one of so many entries knows of the others is: they are told 16 at a time.
fn age(entries: usize) -> u64 {
    300 * entries.div_ceil(16) as u64
}

/// Plays a target with this limit and so many entries.
fn play(way: Way, entries: usize, limit: f64, trouble: Trouble) -> Result {
    let mut random = ChaCha8Rng::seed_from_u64(entries as u64);
    // What each has saved up, and when that was counted.
    let mut own = vec![(0.0, 0); entries];
    let mut closed = vec![0; entries];
    let (mut asked, mut known) = (vec![1.0; entries], vec![1.0; entries]);
    let mut all = entries as f64;
    let mut desks = [Pacer::new(ms(0)), Pacer::new(ms(0))];
    let (mut times, mut questions) = (Vec::new(), 0_u32);
    for at in 1..SPAN {
        if at % age(entries) == 0 {
            // What was asked is forgotten within some seconds.
            asked.iter_mut().for_each(|asked| *asked *= FORGOTTEN.powf(age(entries) as f64));
            known = asked.clone();
            all = known.iter().sum();
        }
        if !random.random_bool(limit * DEMAND / 1e3) {
            continue;
        }
        let heavy = if trouble == Trouble::Shift && at > SPAN / 2 { entries - 1 } else { 0 };
        let half = trouble == Trouble::Shift && random.random_bool(0.5);
        let entry = if half { heavy } else { random.random_range(0..entries) };
        asked[entry] += 1.0;
        let goes = if way == Way::Permits {
            let frozen = trouble == Trouble::Frozen && TROUBLE.contains(&at);
            let desk = usize::from(frozen || trouble == Trouble::Split && entry % 2 == 1);
            if closed[entry] > at {
                continue;
            }
            questions += 1;
            let part = if desk == 0 { 1.0 } else { STANDBY_SHARE };
            desks[desk].set_limit(limit, part, ms(at));
            match desks[desk].acquire(ask(entry as u64, URGENT), ms(at)) {
                Ok(()) => true,
                Err(after) => {
                    let spread = random.random_range(0.75..1.25);
                    closed[entry] = at + after.mul_f64(spread).as_millis() as u64;
                    false
                }
            }
        } else {
            let share = if way == Way::Equal { 1.0 / entries as f64 } else { known[entry] / all };
            let (saved, last) = own[entry];
            let saved = saved + limit * share * (at - last) as f64 / 1e3;
            let saved = f64::min(saved, 1.0 + limit * share / 8.0);
            let goes = saved >= 1.0;
            own[entry] = (if goes { saved - 1.0 } else { saved }, at);
            goes
        };
        if goes {
            times.push(at);
        }
    }
    let window = |end: &u64| times.iter().filter(|at| **at <= *end && **at + 4_000 > *end).count();
    let most = times.iter().map(window).max().unwrap_or_default();
    let seconds = SPAN as f64 / 1e3;
    Result {
        worst: most as f64 / (limit * 1.5 * 4.0 + 5.0),
        used: times.len() as f64 / (limit * seconds),
        questions: f64::from(questions) / seconds,
    }
}

/// Entries keep to one limit together, in one of several ways. An equal share wastes what entries without
/// demand don't use; a share by demand goes by news that are seconds old where entries are many.
#[test]
fn ways_to_keep_to_a_limit_together() {
    let mut table = String::new();
    for trouble in [Trouble::Calm, Trouble::Shift, Trouble::Frozen, Trouble::Split] {
        for (entries, limit) in [(4, 8.6), (22, 8.6), (390, 8.6), (390, 100.0)] {
            for way in [Way::Equal, Way::ByDemand, Way::Permits] {
                let Result { worst, used, questions } = play(way, entries, limit, trouble);
                writeln!(
                    table,
                    "{trouble:?} {entries} entries, {limit} a second, {way:?}: worst {worst:.2} of \
                     what is allowed, {used:.2} used, {questions:.0} questions a second"
                )
                .unwrap();
                if way == Way::Permits {
                    assert!(worst <= 1.0, "{table}");
                    assert!(questions <= limit * 5.0, "{table}");
                    let is_whole = matches!(trouble, Trouble::Calm | Trouble::Shift);
                    assert!(!is_whole || used >= 0.9, "{table}");
                }
            }
        }
    }
    insta::assert_snapshot!(table);
}
