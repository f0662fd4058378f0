//! Tracking of demand and of engine speed.

use policy::demand::{DemandTracker, EngineProfile, TokenTime};
use std::time::Duration;

const PROFILE: EngineProfile =
    EngineProfile { prefill_rate: 50_000.0, token_time: 0.004, max_streams: 64 };

/// A burst of two seconds asks for three times the mean. Engines split by the mean would refuse
/// most of it.
#[test]
fn recent_peak_counts_and_decays() {
    let mut demand = DemandTracker::default();
    let mut run = |seconds: u32, prompt: u64, streams| {
        for _ in 0..seconds * 4 {
            demand.observe(prompt / 4, streams, Duration::from_millis(250));
        }
        demand.peak_load(&PROFILE)
    };
    let calm = run(10, 200_000, 32);
    assert!((3.9..4.1).contains(&calm.prefill) && (0.49..0.51).contains(&calm.decode), "{calm:?}");
    let burst = run(2, 600_000, 32);
    assert!((10.0..12.0).contains(&burst.prefill), "{burst:?}");
    let later = run(60, 200_000, 32);
    assert!((5.0..6.0).contains(&later.prefill), "{later:?}");
    assert!((0.49..0.51).contains(&later.decode), "{later:?}");
}

/// A process starts seconds before its first caller. Time without any load must not count as
/// observed.
#[test]
fn observation_starts_with_the_first_load() {
    let mut demand = DemandTracker::default();
    demand.observe(0, 0, Duration::from_secs(30));
    assert_eq!(demand.peak_load(&PROFILE).observed, Duration::ZERO);
    demand.observe(1_000, 0, Duration::from_secs(1));
    demand.observe(0, 0, Duration::from_secs(1));
    assert_eq!(demand.peak_load(&PROFILE).observed, Duration::from_secs(2));
}

/// If the first piece of output counted, one stream that waited would determine the split of all
/// engines.
#[test]
fn token_time_is_known_after_some_hundred_tokens() {
    let mut token_time = TokenTime::default();
    token_time.sample(11, Duration::from_millis(400));
    assert_eq!(token_time.get(), None);
    for _ in 0..3_000 {
        token_time.sample(11, Duration::from_millis(44));
    }
    let known = token_time.get().expect("enough tokens were recorded");
    assert!((0.0039..0.0042).contains(&known), "{known}");
}
