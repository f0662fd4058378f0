//! Where prompts are read.

use policy::prefill::{
    Placement, PrefillCandidate, PrefillRate, Prompt, Settings, place, retry_after,
};
use std::time::Duration;

const ENTRIES: u32 = 1;

fn reader(key: u64) -> PrefillCandidate {
    PrefillCandidate {
        key: policy::hash(&key.to_string()),
        decodes: false,
        queued_tokens: 0,
        cached_tokens: 0,
        slot_usage: 0.0,
        transfer_excess: Duration::ZERO,
        domain: key % 2,
    }
}

fn prompt(start: u64) -> Prompt {
    Prompt { prefix_hash: start, tokens: 9_000, objective: Duration::from_millis(150), late: false }
}

fn at(place: Placement) -> Option<usize> {
    match place {
        Placement::Prefill { at, .. } => Some(at),
        Placement::Full(_) => None,
    }
}

#[test]
fn prompts_with_the_same_start_have_one_home() {
    let readers: Vec<_> = (0..8).map(reader).collect();
    let settings = Settings::default();
    let homes: Vec<_> =
        (0..100).map(|start| at(place(&settings, &prompt(start), &readers, ENTRIES))).collect();
    let again: Vec<_> =
        (0..100).map(|start| at(place(&settings, &prompt(start), &readers, ENTRIES))).collect();
    assert_eq!(homes, again);
    for home in 0..8 {
        assert!(homes.iter().filter(|at| **at == Some(home)).count() >= 4, "{homes:?}");
    }
}

#[test]
fn a_full_home_passes_the_prompt_on_with_what_it_keeps() {
    let mut readers: Vec<_> = (0..4).map(reader).collect();
    let settings = Settings::default();
    let home = at(place(&settings, &prompt(5), &readers, ENTRIES)).unwrap();
    readers[home].queued_tokens = 40_000;
    readers[home].cached_tokens = 6_000;
    let next = place(&settings, &prompt(5), &readers, ENTRIES);
    let at = at(next).filter(|at| *at != home).expect("another engine has room");
    assert_eq!(next, Placement::Prefill { at, copy_from: Some(home), tokens: 3_000 });
}

/// Engines that write took the parts of a prompt over with its KV cache, and the home has lost them
/// to other prompts. Read again, they take ten times as long as a copy.
#[test]
fn the_start_is_copied_from_whichever_engine_keeps_most_of_it() {
    let mut readers: Vec<_> = (0..5).map(reader).collect();
    let settings = Settings::default();
    let home = at(place(&settings, &prompt(5), &readers, ENTRIES)).unwrap();
    for holder in (0..5).filter(|at| *at != home) {
        readers[holder].decodes = true;
        readers[holder].cached_tokens = 6_000;
    }
    readers[home].cached_tokens = 2_500;
    let Placement::Prefill { at, copy_from: Some(from), tokens } =
        place(&settings, &prompt(5), &readers, ENTRIES)
    else {
        panic!("it was not copied");
    };
    assert_eq!((at, tokens, readers[from].domain), (home, 3_000, readers[home].domain));
    readers[home].cached_tokens = 5_900;
    let place = place(&settings, &prompt(5), &readers, ENTRIES);
    assert_eq!(place, Placement::Prefill { at: home, copy_from: None, tokens: 3_100 });
}

/// In a burst those that were refused come back, and their objective has passed. Let in like fresh
/// ones, each takes the place of one that could still be in time.
#[test]
fn prompts_that_are_late_already_are_let_in_only_where_the_queue_is_short() {
    let mut readers: Vec<_> = (0..4).map(reader).collect();
    for reader in &mut readers {
        reader.queued_tokens = 8_000;
    }
    let settings = Settings::default();
    assert!(at(place(&settings, &prompt(5), &readers, ENTRIES)).is_some());
    let late = Prompt { late: true, ..prompt(5) };
    assert_eq!(at(place(&settings, &late, &readers, ENTRIES)), None);
    readers[0].queued_tokens = 0;
    assert_eq!(at(place(&settings, &late, &readers, ENTRIES)), Some(0));
}

/// Hundreds of callers are refused in one second of a burst and may come back once. All told the
/// same short time they meet again, and are refused for good.
#[test]
fn refused_callers_come_back_spread_over_the_time_that_they_honour() {
    let settings = Settings::default();
    let back = |soonest, random| {
        retry_after(&settings, Duration::from_millis(soonest), Duration::from_millis(1_800), random)
    };
    let times = [back(75, 0.0), back(75, 0.5), back(75, 1.0), back(450, 0.0), back(5_000, 0.0)];
    assert_eq!(times.map(|time| time.as_millis()), [300, 450, 600, 450, 600]);
    let patient = retry_after(&settings, Duration::ZERO, Duration::from_secs(60), 1.0);
    assert_eq!(patient, Duration::from_secs(1), "who waits a minute is not sent away for long");
}

/// The links of two engines are slow, and what they read leaves them late. Their queues look short,
/// so they would get even more prompts, and copies from them would hold up the others.
#[test]
fn engines_with_slow_links_read_and_lend_less() {
    let settings = Settings::default();
    let mut readers: Vec<_> = (0..4).map(reader).collect();
    let home = at(place(&settings, &prompt(5), &readers, ENTRIES)).unwrap();
    readers[home].cached_tokens = 6_000;
    readers[home].transfer_excess = Duration::from_millis(90);
    let Placement::Prefill { at, copy_from, .. } = place(&settings, &prompt(5), &readers, ENTRIES)
    else {
        panic!("others have room");
    };
    assert!(at != home && copy_from.is_none());
    readers[home].transfer_excess = Duration::from_millis(10);
    assert_eq!(self::at(place(&settings, &prompt(5), &readers, ENTRIES)), Some(home));
}

/// In a burst all engines have more to read than fits into the objective. A prompt that joined them
/// would be late and make those behind it late.
#[test]
fn a_prompt_that_fits_nowhere_is_refused_at_once_with_a_time() {
    let mut readers: Vec<_> = (0..4).map(reader).collect();
    for reader in &mut readers {
        reader.queued_tokens = 60_000;
    }
    let Placement::Full(back) = place(&Settings::default(), &prompt(5), &readers, ENTRIES) else {
        panic!("it was placed");
    };
    assert!(back > Duration::from_millis(50) && back < Duration::from_millis(250), "{back:?}");
}

#[test]
fn an_idle_engine_takes_a_prompt_of_any_size() {
    let huge = Prompt { tokens: 200_000, ..prompt(1) };
    assert!(at(place(&Settings::default(), &huge, &[reader(1)], 27)).is_some());
}

#[test]
fn without_engines_nothing_is_placed() {
    assert_eq!(at(place(&Settings::default(), &prompt(1), &[], ENTRIES)), None);
}

/// Engines read at a third of the rate assumed. Without learning it, three times too much is let in
/// and nearly all of it is late.
#[test]
fn the_reading_rate_is_learnt_though_a_third_of_the_samples_is_far_off() {
    let mut rate = PrefillRate::new(300_000.0);
    for number in 0..400u32 {
        let tokens = 4_000 + u64::from(number % 7) * 1_000;
        let seconds = tokens as f64 / 100_000.0;
        // Now and then the engine kept nearly all of it, and nobody knew.
        let seconds = if number % 3 == 0 { seconds / 10.0 } else { seconds };
        rate.sample(tokens, Duration::from_secs_f64(seconds) + Duration::from_millis(5));
    }
    assert!((90_000.0..115_000.0).contains(&rate.get()), "{}", rate.get());
}

/// Engines read at a fifth of the rate assumed, and for the first four seconds of every process all
/// that it let in came a second late. A few prompts say so.
#[test]
fn a_rate_that_is_wrong_by_five_is_right_after_some_prompts() {
    let mut rate = PrefillRate::new(300_000.0);
    for _ in 0..16 {
        rate.sample(9_000, Duration::from_secs_f64(9_000.0 / 60_000.0) + Duration::from_millis(5));
    }
    assert!(rate.is_learned());
    assert!((48_000.0..75_000.0).contains(&rate.get()), "{}", rate.get());
}

/// An entry that starts beside others takes over what they have learnt, and a single prompt that
/// was kept without its knowing does not move it.
#[test]
fn a_rate_taken_over_is_known_at_once_and_moves_slowly() {
    let mut rate = PrefillRate::learned(60_000.0);
    assert!(rate.is_learned());
    rate.sample(9_000, Duration::from_millis(10));
    assert!((60_000.0..62_000.0).contains(&rate.get()), "{}", rate.get());
}

#[test]
fn short_prompts_say_nothing_of_the_rate() {
    let mut rate = PrefillRate::new(300_000.0);
    for _ in 0..100 {
        rate.sample(200, Duration::from_millis(20));
    }
    assert_eq!(rate.get(), 300_000.0);
}

/// Short prompts of a lower rank wait behind hundreds of long ones of a higher rank, for what takes
/// a thousandth of their objective.
#[test]
fn short_prompts_are_read_first_and_long_ones_by_rank() {
    let settings = Settings::default();
    let urgency = |tokens, rank| policy::prefill::priority(&settings, tokens, rank);
    assert_eq!(
        [urgency(220, 1), urgency(9_000, 0), urgency(9_000, 1), urgency(9_000, 9)],
        [0, 1, 2, 9]
    );
}

/// Prompts double for some seconds while a third of the engines write, with half of their places filled.
/// All that only read are full; a prompt that holds up those streams for less than they may pause is read
/// by an engine that writes, and a longer one is not.
#[test]
fn engines_that_write_read_what_their_streams_can_bear() {
    let pause = Duration::from_millis(50);
    let settings = Settings { decode_pause: pause, ..Settings::default() };
    let engine = |key, writes, waiting, filled| PrefillCandidate {
        key,
        decodes: writes,
        queued_tokens: waiting,
        cached_tokens: 0,
        slot_usage: filled,
        transfer_excess: Duration::ZERO,
        domain: 0,
    };
    let asked = |tokens| Prompt { tokens, ..prompt(3) };
    let place = |tokens, filled| {
        let engines = [engine(1, false, 90_000, 0.0), engine(2, true, 0, filled)];
        matches!(place(&settings, &asked(tokens), &engines, 1), Placement::Prefill { at: 1, .. })
    };
    // It reads half as fast as one that only reads: 7,500 tokens in 50 ms.
    assert!(place(7_000, 0.5), "it takes less than the pause");
    assert!(!place(8_000, 0.5), "it takes longer");
    assert!(place(8_000, 0.1), "there are few streams to hold up");
    assert!(!place(1_000, 0.95), "there is no place to write it");
    let old = Settings::default();
    let engines = [engine(1, false, 90_000, 0.0), engine(2, true, 0, 0.5)];
    assert!(matches!(policy::prefill::place(&old, &asked(1_000), &engines, 1), Placement::Full(_)));
}
