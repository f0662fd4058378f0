//! How long a connection is waited for.

use policy::connect_timeout::ConnectTimeouts;
use std::time::Duration;

const HERE: policy::Hash = 1;
const FAR: policy::Hash = 2;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A sixth of the engines go dark at once. Each first try at one of them is lost time for its caller,
/// who wants the first token within 150 ms and has to be served elsewhere by then.
#[test]
fn a_dark_target_costs_less_than_half_of_an_objective() {
    let mut dial = ConnectTimeouts::default();
    for at in 0..20 {
        dial.sample(HERE, ms(3), ms(at));
    }
    assert!(dial.timeout(HERE, ms(20)) <= ms(75));
}

/// The network turns slow, or the process is busy: connections take longer and still succeed. They must
/// not all count as failed.
#[test]
fn slow_connections_are_waited_for() {
    let mut dial = ConnectTimeouts::default();
    for took in [3, 5, 20, 45] {
        dial.sample(HERE, ms(took), ms(0));
        assert!(dial.timeout(HERE, ms(1)) >= ms(took * 4));
    }
    for _ in 0..200 {
        dial.sample(HERE, ms(3), ms(10));
    }
    assert!(dial.timeout(HERE, ms(10)) <= ms(75), "it is forgotten");
    dial.sample(HERE, ms(1_000), ms(10));
    assert_eq!(dial.timeout(HERE, ms(10)), ms(400));
}

/// Targets of another region are 80 ms away. Judged by those next door, none of them could be reached.
#[test]
fn each_failure_domain_is_judged_by_itself() {
    let mut dial = ConnectTimeouts::default();
    for at in 0..500 {
        dial.sample(HERE, ms(2), ms(at));
    }
    dial.sample(FAR, ms(80), ms(500));
    assert_eq!(dial.timeout(HERE, ms(500)), ms(60));
    assert_eq!(dial.timeout(FAR, ms(500)), ms(400));
}

/// The whole network turns slow at once. No connection succeeds within what was usual, so none would be
/// learnt from, and the domain would be lost for good.
#[test]
fn where_none_succeeds_it_waits_as_at_first() {
    let mut dial = ConnectTimeouts::default();
    dial.sample(HERE, ms(2), ms(0));
    assert_eq!(dial.timeout(HERE, ms(1_900)), ms(60));
    assert_eq!(dial.timeout(HERE, ms(2_000)), ms(400));
    assert_eq!(ConnectTimeouts::default().timeout(HERE, ms(0)), ms(400));
}
