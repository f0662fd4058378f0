//! What callers ask of a pool, and what its engines do.

use policy::demand::{DemandTracker, EngineProfile, TokenTime};
use std::time::Duration;

const PACE: EngineProfile =
    EngineProfile { prefill_rate: 50_000.0, token_time: 0.004, max_streams: 64 };

/// A burst of two seconds asks for three times the mean. Engines split by the mean refuse most of it.
#[test]
fn the_highest_demand_lately_counts_and_fades() {
    let mut demand = DemandTracker::default();
    let mut play = |seconds: u32, prompt: u64, streams| {
        for _ in 0..seconds * 4 {
            demand.observe(prompt / 4, streams, Duration::from_millis(250));
        }
        demand.peak_load(&PACE)
    };
    let calm = play(10, 200_000, 32);
    assert!((3.9..4.1).contains(&calm.prefill) && (0.49..0.51).contains(&calm.decode), "{calm:?}");
    let burst = play(2, 600_000, 32);
    assert!((10.0..12.0).contains(&burst.prefill), "{burst:?}");
    let later = play(60, 200_000, 32);
    assert!((5.0..6.0).contains(&later.prefill), "{later:?}");
    assert!((0.49..0.51).contains(&later.decode), "{later:?}");
}

/// A process starts seconds before the first caller. Time without load says nothing of the load.
#[test]
fn observation_begins_with_the_load() {
    let mut demand = DemandTracker::default();
    demand.observe(0, 0, Duration::from_secs(30));
    assert_eq!(demand.peak_load(&PACE).observed, Duration::ZERO);
    demand.observe(1_000, 0, Duration::from_secs(1));
    demand.observe(0, 0, Duration::from_secs(1));
    assert_eq!(demand.peak_load(&PACE).observed, Duration::from_secs(2));
}

/// Concluded from the first piece, the pace of one stream that waited would split all engines.
#[test]
fn the_step_is_known_after_some_hundred_tokens() {
    let mut step = TokenTime::default();
    step.sample(11, Duration::from_millis(400));
    assert_eq!(step.get(), None);
    for _ in 0..3_000 {
        step.sample(11, Duration::from_millis(44));
    }
    let known = step.get().expect("enough came");
    assert!((0.0039..0.0042).contains(&known), "{known}");
}
