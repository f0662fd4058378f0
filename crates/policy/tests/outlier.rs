//! Detection of slow and failing targets.

use policy::TargetId;
use policy::outlier::{OutlierDetector, Sample, Status};
use std::time::Duration;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn name(index: usize) -> TargetId {
    format!("engine-{index}").into()
}

/// Ten targets with equal samples, except those in `odd`, which get `sample`.
fn fleet(odd: &[usize], sample: Sample) -> OutlierDetector {
    let mut outliers = OutlierDetector::default();
    for _ in 0..10 {
        for index in 0..10 {
            let usual = Sample::Completed { seconds_per_unit: 1.0 };
            outliers.sample(&name(index), if odd.contains(&index) { sample } else { usual }, at(0));
        }
    }
    outliers
}

// One engine runs ten times slower than its peers and still responds. Each request that it gets
// misses its deadline.
#[test]
fn slow_target_is_ejected_and_readmitted_by_a_probe() {
    let slow = Sample::Completed { seconds_per_unit: 10.0 };
    let mut outliers = fleet(&[3], slow);
    assert_eq!(outliers.status(&name(3), at(1)), Status::Ejected);
    assert_eq!(outliers.status(&name(4), at(1)), Status::Normal);
    assert_eq!(outliers.status(&name(3), at(5)), Status::Probe);
    outliers.probe_sent(&name(3), at(5));
    assert_eq!(outliers.status(&name(3), at(6)), Status::Ejected, "one probe at a time");
    outliers.sample(&name(3), slow, at(7));
    assert_eq!(outliers.status(&name(3), at(8)), Status::Ejected, "a bad probe");
    assert_eq!(outliers.status(&name(3), at(17)), Status::Probe);
    outliers.probe_sent(&name(3), at(17));
    outliers.sample(&name(3), Sample::Completed { seconds_per_unit: 1.2 }, at(18));
    assert_eq!(outliers.status(&name(3), at(18)), Status::Normal);
}

// An engine refuses everything within a millisecond, so it always looks idle, and routing by load
// alone sends it all requests.
#[test]
fn failing_target_is_ejected() {
    let outliers = fleet(&[3], Sample::Failed);
    assert_eq!(outliers.status(&name(3), at(1)), Status::Ejected);
}

// A burst makes all engines slow, or a network switch fails most attempts. If all were ejected, no
// engine would be left.
#[test]
fn at_most_a_third_of_the_fleet_is_ejected() {
    assert_eq!(fleet(&[0, 1, 2, 3, 4, 5], Sample::Failed).ejected(), 3);
    assert_eq!(
        fleet(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9], Sample::Completed { seconds_per_unit: 50.0 })
            .ejected(),
        0
    );
}
