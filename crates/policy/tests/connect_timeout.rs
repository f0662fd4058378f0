//! Time-outs of connection attempts.

use policy::connect_timeout::ConnectTimeouts;
use std::time::Duration;

const LOCAL: policy::Hash = 1;
const REMOTE: policy::Hash = 2;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A sixth of the engines stop responding at once. Each first attempt at one of them takes time
/// from a caller whose first token is due within 150 ms and has to come from another engine.
#[test]
fn unresponsive_target_costs_at_most_half_of_the_objective() {
    let mut timeouts = ConnectTimeouts::default();
    for at in 0..20 {
        timeouts.sample(LOCAL, ms(3), ms(at));
    }
    assert!(timeouts.timeout(LOCAL, ms(20)) <= ms(75));
}

/// The network becomes slow, or the process is busy: connections take longer and still succeed.
/// They must not all count as failed.
#[test]
fn timeout_adapts_to_slow_connections() {
    let mut timeouts = ConnectTimeouts::default();
    for connect_time in [3, 5, 20, 45] {
        timeouts.sample(LOCAL, ms(connect_time), ms(0));
        assert!(timeouts.timeout(LOCAL, ms(1)) >= ms(connect_time * 4));
    }
    for _ in 0..200 {
        timeouts.sample(LOCAL, ms(3), ms(10));
    }
    assert!(timeouts.timeout(LOCAL, ms(10)) <= ms(75), "the slow connection no longer counts");
    timeouts.sample(LOCAL, ms(1_000), ms(10));
    assert_eq!(timeouts.timeout(LOCAL, ms(10)), ms(400));
}

/// Targets of another region are 80 ms away. With the time-out of local targets, none of them could
/// be reached.
#[test]
fn each_failure_domain_has_its_own_timeout() {
    let mut timeouts = ConnectTimeouts::default();
    for at in 0..500 {
        timeouts.sample(LOCAL, ms(2), ms(at));
    }
    timeouts.sample(REMOTE, ms(80), ms(500));
    assert_eq!(timeouts.timeout(LOCAL, ms(500)), ms(60));
    assert_eq!(timeouts.timeout(REMOTE, ms(500)), ms(400));
}

/// The whole network becomes slow at once. No connection succeeds within the learned time-out, so
/// it would never be corrected, and the domain would stay unreachable.
#[test]
fn initial_timeout_applies_without_recent_success() {
    let mut timeouts = ConnectTimeouts::default();
    timeouts.sample(LOCAL, ms(2), ms(0));
    assert_eq!(timeouts.timeout(LOCAL, ms(1_900)), ms(60));
    assert_eq!(timeouts.timeout(LOCAL, ms(2_000)), ms(400));
    assert_eq!(ConnectTimeouts::default().timeout(LOCAL, ms(0)), ms(400));
}
