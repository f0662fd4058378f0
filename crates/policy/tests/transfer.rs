//! Transfer times of engines with slow links.

use policy::Time;
use policy::transfer::TransferTime;
use std::time::Duration;

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// The link of a decode engine becomes eight times slower and its transfers pile up. It would keep
/// its share until each transfer waits for two seconds and is refused.
#[test]
fn slow_link_is_detected_after_ten_transfers() {
    let mut link = TransferTime::default();
    for number in 0..10 {
        link.sample(ms(100), ms(1_000 + number * 20));
    }
    let expected = link.expected(ms(1_200));
    assert!(expected > ms(60) && expected < ms(140), "{expected:?}");
}

/// One of four decode engines has a slow link, so a quarter of the transfers of each prefill engine
/// take long. By the mean, all prefill engines would look slow.
#[test]
fn slowness_of_the_other_end_does_not_count() {
    let mut link = TransferTime::default();
    let mut worst = Duration::ZERO;
    for number in 0..400 {
        let duration = if number % 4 == 0 { ms(300) } else { ms(8) };
        link.sample(duration, ms(number * 20));
        worst = worst.max(link.expected(ms(number * 20)));
    }
    assert!(worst < ms(20), "{worst:?}");
}

/// A slow link gets no transfers, so nothing would ever show that it has recovered.
#[test]
fn estimate_decays_without_transfers() {
    let mut link = TransferTime::default();
    for number in 0..40 {
        link.sample(ms(1_500), ms(number * 20));
    }
    assert!(link.excess(ms(800)) > ms(900));
    assert!(link.excess(ms(3_300)) < ms(20), "{:?}", link.excess(ms(3_300)));
}
