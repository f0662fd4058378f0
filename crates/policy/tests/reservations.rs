//! What a coordinator believes to wait at an engine.

use policy::reservations::Reservations;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn what_is_booked_waits_until_it_ends() {
    let mut bookings = Reservations::default();
    bookings.reserve(1, 9_000, ms(0));
    bookings.reserve(2, 500, ms(5));
    assert_eq!(bookings.total(ms(10)), 9_500);
    assert!(bookings.release(1));
    assert!(!bookings.release(1), "it has ended");
    assert!(!bookings.release(7), "there never was one");
    assert_eq!(bookings.total(ms(20)), 500);
}

/// The entry that was granted is killed, or its word that the prompt was read is lost. The engine
/// would look busy for good, and prompts would be refused while it is free.
#[test]
fn a_booking_that_nobody_ends_lapses() {
    let mut bookings = Reservations::default();
    bookings.reserve(1, 9_000, ms(0));
    bookings.reserve(2, 500, ms(1_000));
    assert_eq!(bookings.total(ms(1_400)), 9_500);
    assert_eq!(bookings.total(ms(1_600)), 500);
    assert!(!bookings.release(1), "its word comes after all");
    assert_eq!(bookings.total(ms(3_000)), 0);
}
