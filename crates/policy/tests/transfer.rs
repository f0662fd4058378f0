//! Engines whose links are slow.

use policy::Time;
use policy::transfer::TransferTime;
use std::time::Duration;

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A writer's link becomes eight times slower and its transfers pile up. It would be given its share
/// until each waits for two seconds and is refused.
#[test]
fn a_slow_link_is_known_after_ten_transfers() {
    let mut link = TransferTime::default();
    for number in 0..10 {
        link.sample(ms(100), ms(1_000 + number * 20));
    }
    let expected = link.expected(ms(1_200));
    assert!(expected > ms(60) && expected < ms(140), "{expected:?}");
}

/// One of four writers has a slow link, so each reader sees a quarter of its transfers take long.
/// Judged by their mean, all readers would look slow.
#[test]
fn the_other_ends_slowness_is_not_counted_here() {
    let mut link = TransferTime::default();
    let mut worst = Duration::ZERO;
    for number in 0..400 {
        let took = if number % 4 == 0 { ms(300) } else { ms(8) };
        link.sample(took, ms(number * 20));
        worst = worst.max(link.expected(ms(number * 20)));
    }
    assert!(worst < ms(20), "{worst:?}");
}

/// A link that was slow gets no transfers, so nothing would ever show that it has recovered.
#[test]
fn what_was_learnt_fades_without_transfers() {
    let mut link = TransferTime::default();
    for number in 0..40 {
        link.sample(ms(1_500), ms(number * 20));
    }
    assert!(link.excess(ms(800)) > ms(900));
    assert!(link.excess(ms(3_300)) < ms(20), "{:?}", link.excess(ms(3_300)));
}
