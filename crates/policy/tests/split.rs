//! How many engines prefill, and which ones change their role.

use policy::demand::{DemandTracker, EngineProfile, PromptProfile};
use policy::prefill;
use policy::split::{
    self, ChangeTime, Demand, Engine, EngineRole, History, Pool, Ratio, Settings, choose,
    colocated_share, desired_prefill, engines_to_change, horizon, is_unbalanced, missing_role,
    prefill_utilization, shortage,
};
use std::time::Duration;

const PREFILL: Engine = Engine {
    role: EngineRole::Prefill,
    work: 0,
    domain: 0,
    available: true,
    unfit: false,
    software: 0,
};
const DECODE: Engine = Engine { role: EngineRole::Decode, ..PREFILL };

const CHANGE_TIME: ChangeTime =
    ChangeTime { to_decode: Duration::from_secs(4), to_prefill: Duration::from_secs(7) };

/// Share of a prefill engine's rate that a decode engine without streams has.
const SHARE: f64 = 0.5;

/// Longer than two horizons of [`CHANGE_TIME`], so that engines may stop decoding.
const OBSERVED: Duration = Duration::from_secs(60);

fn history(demands: &[Demand], observed: Duration) -> History {
    History { recent: demands.to_vec(), long: demands.to_vec(), observed }
}

fn engines(prefill: usize, decode: usize) -> Vec<Engine> {
    let prefill = (0..prefill).map(|_| PREFILL);
    let decode = (0u32..).take(decode).map(|n| Engine { work: 10 - n.min(10), ..DECODE });
    prefill.chain(decode).collect()
}

fn demand(prefill: f64, decode: f64) -> Demand {
    Demand { prefill, decode }
}

fn decide(demands: &[Demand], prefill: usize, decode: usize) -> Option<usize> {
    let pool = Pool { prefill, decode, unfit: 0, colocated_share: SHARE };
    choose(&Settings::default(), &history(demands, OBSERVED), pool, CHANGE_TIME)
}

/// Phases of prompts and of streams that are shorter than a change of role. Engines that followed
/// one phase would be missing in the next.
#[test]
fn alternating_phases_change_nothing_in_a_pool_that_bears_both() {
    let phases = [demand(20.0, 3.0), demand(5.0, 15.0)].repeat(20);
    assert_eq!(decide(&phases, 13, 29), None);
    assert_eq!(decide(&phases[..1], 13, 29), None);
}

/// Most engines prefill, and streams of seconds fill all slots of the others while the prefill
/// engines are idle.
#[test]
fn streams_without_slots_get_idle_prefill_engines() {
    let phases = [demand(18.0, 3.0), demand(5.0, 16.0)].repeat(20);
    let prefill = decide(&phases, 31, 11).expect("a change is worth it");
    assert!((18..=26).contains(&prefill), "{prefill}");
}

/// Almost only long prompts, at engines that need a quarter of a second for each. Decode engines
/// prefill at half the rate, and two of them suffice for all streams.
#[test]
fn long_prompts_at_slow_engines_get_most_of_the_pool() {
    assert_eq!(decide(&[demand(14.0, 0.6); 4], 4, 8), Some(10));
}

/// Prompts that began seconds ago, and streams that are the other half of the load and have not
/// arrived yet. Decode engines that follow the prompts are missing when the streams come.
#[test]
fn no_decode_engine_changes_for_one_phase_of_prompts() {
    let settings = Settings::default();
    let pool = Pool { prefill: 32, decode: 17, unfit: 0, colocated_share: 0.0 };
    let prompts = vec![demand(44.0, 3.0); 60];
    let decide = |history: &History| choose(&settings, history, pool, CHANGE_TIME);
    for seconds in [1, 10, 20, 50] {
        let history = history(&prompts, Duration::from_secs(seconds));
        assert_eq!(decide(&history), None, "{seconds}");
    }
    let both = [vec![demand(10.0, 17.0); 60], prompts.clone()].concat();
    let alternating = History { recent: prompts.clone(), long: both, observed: OBSERVED };
    assert_eq!(decide(&alternating), None);
    assert!(decide(&history(&prompts, OBSERVED)).is_some());
}

/// Demand that the pool meets, or that it would meet only while the engines change. Each change
/// costs an order and takes an engine out of service.
#[test]
fn sufficient_pool_does_not_change() {
    assert_eq!(decide(&[demand(3.0, 3.5); 40], 10, 4), None);
    assert_eq!(decide(&[], 10, 4), None);
    let mut burst = vec![demand(3.0, 3.0); 100];
    burst.extend([demand(10.0, 3.0); 3]);
    assert_eq!(decide(&burst, 5, 9), None, "three of a hundred samples");
}

/// Each entry learns engine profiles by itself, and they differ by a tenth. If that changed roles,
/// the next entry that plans would change them back.
#[test]
fn differences_between_entries_change_nothing() {
    for factor in [0.9, 1.0, 1.1] {
        assert_eq!(decide(&[demand(14.0 * factor, 0.6); 40], 10, 2), None, "{factor}");
        assert_eq!(decide(&[demand(20.0 * factor, 30.0); 40], 17, 29), None, "{factor}");
    }
}

/// Both roles are short. The share of each kind of request counts, so the few streams are not given
/// up for the many prompts.
#[test]
fn shortage_is_shared() {
    let both = [demand(30.0, 28.0); 40];
    let pool = |prefill| Pool { prefill, decode: 42 - prefill, unfit: 0, colocated_share: SHARE };
    let lost = |prefill| shortage(&Settings::default(), &both, pool(prefill));
    assert!(lost(20) < lost(35) && lost(20) < lost(2), "{} {} {}", lost(2), lost(20), lost(35));
}

/// A role has no engine, and there may be no demand yet by which to split the pool.
#[test]
fn each_role_keeps_an_engine() {
    let desired =
        |engines, demands: &[Demand]| desired_prefill(&Settings::default(), demands, engines);
    assert_eq!([1, 2, 3, 6, 12, 42].map(|n| desired(n, &[])), [0, 1, 2, 4, 8, 28]);
    assert_eq!([5, 6, 10].map(|n| desired(n, &[demand(90.0, 0.1)])), [4, 4, 8]);
    assert_eq!(desired(10, &[demand(0.1, 90.0)]), 1);
    assert!(is_unbalanced(42, 13) && !is_unbalanced(42, 25) && !is_unbalanced(3, 2));
}

/// Prompts of 20 ms may wait for 400 ms at one deployment, and prompts of 270 ms for no longer at
/// another. One utilization for both leaves engines idle at the first, or prompts late at the other.
#[test]
fn utilization_follows_from_objective_and_prompt_time() {
    let ms = Duration::from_millis;
    let utilization = |prompt, wait| prefill_utilization(ms(prompt), ms(wait));
    assert!((0.9..0.95).contains(&utilization(20, 400)), "{}", utilization(20, 400));
    assert!((0.3..0.5).contains(&utilization(270, 230)), "{}", utilization(270, 230));
    assert!(utilization(900, 0) >= 0.3 && utilization(0, 400) < 1.0);
}

/// Thousands of engines have to change at once. Pairwise comparison took seconds, every quarter of
/// a second, at every entry, which then answered no request in time.
#[test]
fn thousands_of_engines_are_selected_quickly() {
    let engine = |at: u64| Engine { domain: at % 6, work: 1, ..DECODE };
    let pool: Vec<_> = (0..20_000).map(engine).collect();
    let started = std::time::Instant::now();
    assert_eq!(engines_to_change(&pool, 12_000).len(), 12_000);
    // Time quadratic in their number would be hundreds of seconds.
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
}

/// All decode engines crash. Until they recover, every prompt would be prefilled for nothing.
#[test]
fn role_without_available_engines_is_detected() {
    let unavailable = |engine| Engine { available: false, ..engine };
    assert_eq!(
        missing_role(&[PREFILL, PREFILL, unavailable(DECODE), unavailable(DECODE)]),
        Some(EngineRole::Decode)
    );
    assert_eq!(missing_role(&[unavailable(PREFILL), DECODE, DECODE]), Some(EngineRole::Prefill));
    assert_eq!(missing_role(&[PREFILL, DECODE]), None);
    assert_eq!(
        missing_role(&[unavailable(PREFILL), unavailable(DECODE)]),
        None,
        "this process itself was frozen"
    );
    assert_eq!(missing_role(&[DECODE]), None, "a single engine does both");
}

/// The few decode engines were in one failure domain, and no output was generated while it was
/// down.
#[test]
fn decode_engines_stay_spread_over_failure_domains() {
    let in_domain = |engine, domain| Engine { domain, ..engine };
    let pool: Vec<_> = (0..4).flat_map(|domain| vec![in_domain(DECODE, domain); 3]).collect();
    let mut after = pool.clone();
    for index in engines_to_change(&pool, 9) {
        after[index].role = EngineRole::Prefill;
    }
    let spread = |pool: &[Engine]| {
        let decodes = |e: &&Engine| e.role == EngineRole::Decode;
        let mut counts = [0, 1, 2, 3]
            .map(|domain| pool.iter().filter(decodes).filter(|e| e.domain == domain).count());
        counts.sort_unstable();
        counts
    };
    assert_eq!(spread(&after), [0, 1, 1, 1]);
    for index in engines_to_change(&after, 7) {
        after[index].role = EngineRole::Decode;
    }
    assert_eq!(spread(&after), [1, 1, 1, 2]);
}

/// An engine that can't be reached could not receive an order.
#[test]
fn unavailable_engines_are_not_changed() {
    let mut pool = engines(4, 3);
    pool[4].available = false;
    pool[5].available = false;
    assert_eq!(engines_to_change(&pool, 6), [6]);
}

#[test]
fn engines_with_the_least_work_change_until_the_share_is_right() {
    assert_eq!(engines_to_change(&engines(4, 10), 10), [13, 12, 11, 10, 9, 8]);
    assert_eq!(engines_to_change(&engines(10, 4), 8).len(), 2);
    assert_eq!(engines_to_change(&engines(9, 4), 10), [12]);
}

#[test]
fn matching_split_changes_nothing() {
    assert_eq!(engines_to_change(&engines(10, 4), 10), [0; 0]);
}

/// A fifth of the engines is so slow that streams pause for too long there. If they counted for
/// decode, or fast engines prefilled in their place, streams would find no engine that suits them.
#[test]
fn engines_unfit_for_streams_prefill_first() {
    let streams = [demand(4.0, 9.0); 40];
    let decide = |unfit| {
        let pool = Pool { prefill: 20, decode: 10, unfit, colocated_share: SHARE };
        choose(&Settings::default(), &history(&streams, OBSERVED), pool, CHANGE_TIME)
    };
    assert_eq!(decide(0), None);
    assert!(decide(6).is_some_and(|prefill| prefill <= 15), "{:?}", decide(6));
    let slow = |engine| Engine { unfit: true, domain: 1, work: 99, ..engine };
    let pool = [PREFILL, slow(PREFILL), DECODE, slow(DECODE), DECODE];
    assert_eq!(engines_to_change(&pool, 3), [3]);
    assert_eq!(engines_to_change(&pool, 1), [0]);
    assert_eq!(engines_to_change(&pool, 4), [3, 2]);
}

/// A decode engine needs 55 ms for a prompt that may take 37 ms there. If its idle time counted as
/// prefill, a pool short of prefill engines would never change.
#[test]
fn decode_engines_too_slow_for_the_objective_prefill_nothing() {
    let ms = Duration::from_millis;
    let share = |prompt, max| {
        let utilization = prefill_utilization(ms(prompt), ms(max - prompt));
        colocated_share(&prefill::Settings::default(), ms(prompt), ms(max), utilization)
    };
    assert_eq!(share(28, 75), 0.0);
    assert!((0.35..0.5).contains(&share(19, 425)), "{}", share(19, 425));
    let pool = |colocated_share| Pool { prefill: 5, decode: 4, unfit: 0, colocated_share };
    let prompts = [demand(9.0, 1.2); 40];
    let decide = |share| {
        choose(&Settings::default(), &history(&prompts, OBSERVED), pool(share), CHANGE_TIME)
    };
    assert_eq!(decide(0.0), Some(7));
}

/// The load of one tick of the planner: prompt tokens per second, streams, and how many more
/// streams there are at each following tick.
type Load = (u64, u32, u32);

const TICK: Duration = Duration::from_millis(250);

/// Returns how long after the load has changed a pool of this split is changed.
fn time_to_decide((prefill, decode): (usize, usize), before: Load, after: Load) -> Duration {
    let profile = EngineProfile { prefill_rate: 50_000.0, token_time: 0.004, max_streams: 64 };
    let prompts = PromptProfile { tokens: 1_000.0, max_duration: Duration::from_millis(420) };
    let mut tracker = DemandTracker::default();
    (0..40).for_each(|_| tracker.observe(before.0 / 4, before.1, TICK));
    let memory = horizon(&Settings::default(), CHANGE_TIME);
    let decided = (1..40).find(|&tick| {
        tracker.observe(after.0 / 4, after.1 + after.2 * tick, TICK);
        let demands = tracker.demands(&profile, &prompts, memory, CHANGE_TIME.to_decode);
        decide(&demands, prefill, decode).is_some()
    });
    TICK * decided.expect("the split is changed")
}

/// In a rollout two engines of the first version are left that decode: if they prefilled, no stream
/// that began there could go on.
#[test]
fn two_engines_of_each_version_are_the_last_to_stop_decoding() {
    let engine = |software, work| Engine { software, work, ..DECODE };
    let engines = [
        engine(1, 0),
        engine(1, 1),
        engine(1, 2),
        engine(2, 5),
        engine(2, 6),
        engine(2, 7),
        engine(2, 8),
    ];
    assert_eq!(engines_to_change(&engines, 3), [0, 3, 4]);
    assert_eq!(engines_to_change(&engines, 5), [0, 3, 4, 1, 2]);
    let one_version = engines.map(|engine| Engine { software: 1, ..engine });
    assert_eq!(engines_to_change(&one_version, 3), [0, 1, 2]);
}

/// The limit for [`time_to_decide`].
const MAX_TIME_TO_DECIDE: Duration = Duration::from_millis(500);

/// A pool with few prefill engines gets many times the prompts. Engines need seconds to change, so
/// the decision must not wait until most of the remembered time was short of engines.
#[test]
fn surge_of_prompts_leads_to_a_decision_within_half_a_second() {
    let time = time_to_decide((2, 18), (100_000, 64, 0), (1_500_000, 64, 0));
    assert!(time <= MAX_TIME_TO_DECIDE, "{time:?}");
}

/// Phases as at the deployment that reads for its callers: prompts rise from 0.45 to 1.8 of the mean,
/// and 220 streams a second begin to arrive, each of some seconds. Counting the streams that run
/// shows the shortage only when the slots are nearly taken.
#[test]
fn next_phase_leads_to_a_decision_within_half_a_second() {
    let prompts = time_to_decide((6, 14), (250_000, 200, 0), (1_000_000, 200, 0));
    let streams = time_to_decide((31, 11), (300_000, 160, 0), (300_000, 160, 55));
    assert!(prompts.max(streams) <= MAX_TIME_TO_DECIDE, "prompts {prompts:?}, streams {streams:?}");
}

/// The engines of a pool of `count` in their launch roles: each third one prefills.
fn launched(count: usize) -> Vec<Engine> {
    let engine = |at: usize| Engine {
        role: if at.is_multiple_of(3) { EngineRole::Prefill } else { EngineRole::Decode },
        work: 0,
        domain: (at % 4) as u64,
        available: true,
        unfit: false,
        software: 1,
    };
    (0..count).map(engine).collect()
}

fn flip(engine: &mut Engine) {
    engine.role = match engine.role {
        EngineRole::Prefill => EngineRole::Decode,
        EngineRole::Decode => EngineRole::Prefill,
    };
}

/// Replaces the engines `at_once` at a time, each by one in its launch role that joins before the old
/// one leaves; returns the pool and how many changes were ordered.
fn replace_all(count: usize, at_once: usize, ratio: Ratio) -> (Vec<Engine>, usize) {
    let mut pool: Vec<(Engine, bool)> = launched(count).into_iter().map(|it| (it, false)).collect();
    let mut divided = 0;
    for (engine, _) in &mut pool {
        if divided < ratio.prefill as usize {
            engine.role = EngineRole::Prefill;
            divided += 1;
        } else {
            engine.role = EngineRole::Decode;
        }
    }
    let (mut orders, fresh) = (0, launched(count));
    let mut settle = |pool: &mut Vec<(Engine, bool)>| {
        let engines: Vec<Engine> = pool.iter().map(|(engine, _)| *engine).collect();
        let joined: Vec<bool> = pool.iter().map(|(_, joined)| *joined).collect();
        if let Some((changes, _)) = split::joined_to_change(&engines, &joined, ratio) {
            orders += changes.len();
            changes.into_iter().for_each(|at| flip(&mut pool[at].0));
        }
    };
    for group in fresh.chunks(at_once) {
        pool.extend(group.iter().map(|engine| (*engine, true)));
        settle(&mut pool);
        pool.drain(..group.len());
        settle(&mut pool);
    }
    (pool.into_iter().map(|(engine, _)| engine).collect(), orders)
}

/// Guards against a split that is lost when a release replaces all engines, at once or in groups of
/// any size, in pools of any size; and against orders to and fro meanwhile.
#[test]
fn split_outlasts_the_engines_that_it_was_decided_for() {
    for count in [2_usize, 3, 6, 9, 17, 300] {
        for prefill in (1..count).step_by((count / 8).max(1)) {
            let ratio = Ratio::new(prefill, count).unwrap();
            let expected = split::clamp_prefill(count, prefill).unwrap();
            if expected != prefill {
                continue;
            }
            for at_once in [1, 2, 5, count] {
                let (pool, orders) = replace_all(count, at_once, ratio);
                assert_eq!(pool.len(), count);
                assert_eq!(split::count_prefill(&pool), prefill, "{prefill}/{count} by {at_once}");
                assert!(orders <= 2 * count, "{prefill}/{count} by {at_once}: {orders} orders");
            }
        }
    }
}

/// A pool that has lost an engine, or has one more for a moment, is left as it is.
#[test]
fn split_is_not_restored_for_less_than_one_engine() {
    let ratio = Ratio::new(6, 9).unwrap();
    for (engines, prefill, restored) in [
        (9, 6, None),
        (8, 6, None),
        (8, 5, None),
        (10, 6, None),
        (10, 7, None),
        (9, 5, Some(6)),
        (9, 7, Some(6)),
        (9, 3, Some(6)),
        (18, 9, Some(12)),
        (11, 6, Some(7)),
        (1, 0, None),
        (300, 150, Some(200)),
    ] {
        assert_eq!(ratio.restored(engines, prefill), restored, "{prefill} of {engines}");
    }
}
