//! How a process notices that it stood still.

use direct::cluster::clock::SuspendClock;
use direct::cluster::freeze::Detector;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, advance};

/// A clock that counts suspended time, set by the test.
#[derive(Debug, Default)]
struct Clock(AtomicU64);

impl Clock {
    fn add(&self, ms: u64) {
        self.0.fetch_add(ms, Ordering::Relaxed);
    }
}

impl SuspendClock for Clock {
    fn now(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against a view that seems recent because the runtime's clock stood still with the VM.
#[tokio::test(start_paused = true)]
async fn suspension_is_noticed_though_the_runtime_does_not_count_it() {
    let clock = Arc::new(Clock::default());
    let detector = Detector::new(clock.clone());
    let read = Instant::now();
    advance(ms(50)).await;
    clock.add(50);
    assert!(!detector.ended_since(read, Instant::now()));
    clock.add(3_000);
    assert!(detector.ended_since(read, Instant::now()));
    advance(ms(1)).await;
    clock.add(1);
    assert!(!detector.ended_since(Instant::now(), Instant::now()), "a later read is recent");
    assert!(detector.ended_since(read, Instant::now()), "an earlier one never is");
}

/// Guards against datagrams that waited while the process stood still and are taken for new ones.
#[tokio::test(start_paused = true)]
async fn datagrams_received_after_a_freeze_may_have_arrived_when_it_began() {
    let clock = Arc::new(Clock::default());
    let detector = Detector::new(clock.clone());
    let start = Instant::now();
    assert_eq!(detector.arrival(start), start);
    advance(ms(3_000)).await;
    clock.add(3_000);
    assert_eq!(detector.arrival(Instant::now()), start);
    for _ in 0..4 {
        advance(ms(50)).await;
        clock.add(50);
        assert_eq!(detector.arrival(Instant::now()), start);
    }
    advance(ms(50)).await;
    clock.add(50);
    assert_eq!(detector.arrival(Instant::now()), Instant::now());
}
