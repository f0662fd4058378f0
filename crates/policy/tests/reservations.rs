//! What a coordinator counts as reserved at an engine.

use policy::reservations::Reservations;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn reservation_counts_until_released() {
    let mut reservations = Reservations::default();
    reservations.reserve(1, 9_000, ms(0));
    reservations.reserve(2, 500, ms(5));
    assert_eq!(reservations.total(ms(10)), 9_500);
    assert!(reservations.release(1));
    assert!(!reservations.release(1), "already released");
    assert!(!reservations.release(7), "unknown id");
    assert_eq!(reservations.total(ms(20)), 500);
}

/// The entry with the grant is killed, or its report that the prompt was prefilled is lost. The
/// engine would look busy forever, and prompts would be refused while it is idle.
#[test]
fn unreleased_reservation_expires() {
    let mut reservations = Reservations::default();
    reservations.reserve(1, 9_000, ms(0));
    reservations.reserve(2, 500, ms(1_000));
    assert_eq!(reservations.total(ms(1_400)), 9_500);
    assert_eq!(reservations.total(ms(1_600)), 500);
    assert!(!reservations.release(1), "its report is late");
    assert_eq!(reservations.total(ms(3_000)), 0);
}
