//! How long a connection is waited for.

use policy::dial::Dial;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A sixth of the engines go dark at once. Each first try at one of them is lost time for its caller,
/// who wants the first token within 150 ms and has to be served elsewhere by then.
#[test]
fn a_dark_target_costs_less_than_half_of_an_objective() {
    let mut dial = Dial::default();
    for _ in 0..20 {
        dial.sample(ms(3));
    }
    assert!(dial.patience() <= ms(75), "{:?}", dial.patience());
}

/// The network turns slow, or the process is busy: connections take longer and still succeed. They must
/// not all count as failed.
#[test]
fn slow_connections_are_waited_for() {
    let mut dial = Dial::default();
    for took in [3, 5, 20, 45] {
        dial.sample(ms(took));
        assert!(dial.patience() >= ms(took * 4));
    }
    for _ in 0..200 {
        dial.sample(ms(3));
    }
    assert!(dial.patience() <= ms(75), "it is forgotten");
    dial.sample(ms(1_000));
    assert_eq!(dial.patience(), ms(400));
}

#[test]
fn without_a_sample_it_waits_long() {
    assert_eq!(Dial::default().patience(), ms(400));
}
