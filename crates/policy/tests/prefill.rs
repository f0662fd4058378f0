//! Placement of prefill.

use policy::distance::Topology;
use policy::pace::Summary;
use policy::prefill::{
    Placement, PrefillCandidate, PrefillRate, Prompt, Settings, colocated_duration, is_short,
    is_short_output, place, retry_after,
};
use std::sync::Arc;
use std::time::Duration;

const ENTRIES: u32 = 1;

fn candidate(key: u64) -> PrefillCandidate {
    PrefillCandidate {
        key: policy::hash(&key.to_string()),
        decodes: false,
        queued_tokens: 0,
        recent_tokens: 0,
        cached_tokens: 0,
        slot_usage: 0.0,
        transfer_excess: Duration::ZERO,
        domain: key % 2,
        pace: Summary::default(),
    }
}

fn prompt(prefix_hash: u64) -> Prompt {
    let objective = Duration::from_millis(150);
    Prompt { prefix_hash, tokens: 9_000, objective, late: false, short_output: false }
}

fn at(place: Placement) -> Option<usize> {
    match place {
        Placement::Prefill { engine: at, .. } => Some(at),
        Placement::Full(_) => None,
    }
}

#[test]
fn prompts_with_the_same_prefix_have_one_home() {
    let candidates: Vec<_> = (0..8).map(candidate).collect();
    let settings = Settings::default();
    let homes: Vec<_> = (0..100)
        .map(|prefix| at(place(&settings, &prompt(prefix), &candidates, ENTRIES)))
        .collect();
    let again: Vec<_> = (0..100)
        .map(|prefix| at(place(&settings, &prompt(prefix), &candidates, ENTRIES)))
        .collect();
    assert_eq!(homes, again);
    for home in 0..8 {
        assert!(homes.iter().filter(|at| **at == Some(home)).count() >= 4, "{homes:?}");
    }
}

#[test]
fn full_home_passes_the_prompt_on_as_the_source_of_a_copy() {
    let mut candidates: Vec<_> = (0..4).map(candidate).collect();
    let settings = Settings::default();
    let home = at(place(&settings, &prompt(5), &candidates, ENTRIES)).unwrap();
    candidates[home].queued_tokens = 40_000;
    candidates[home].cached_tokens = 6_000;
    let next = place(&settings, &prompt(5), &candidates, ENTRIES);
    let at = at(next).filter(|at| *at != home).expect("another engine has room");
    assert_eq!(next, Placement::Prefill { engine: at, copy_from: Some(home), tokens: 3_000 });
}

/// Decode engines got the parts of a prompt with its KV cache, and the home has evicted them for
/// other prompts. Computing them again takes ten times as long as a copy.
#[test]
fn prefix_is_copied_from_the_engine_with_most_of_it() {
    let mut candidates: Vec<_> = (0..5).map(candidate).collect();
    let settings = Settings::default();
    let home = at(place(&settings, &prompt(5), &candidates, ENTRIES)).unwrap();
    for source in (0..5).filter(|at| *at != home) {
        candidates[source].decodes = true;
        candidates[source].slot_usage = 0.2;
        candidates[source].cached_tokens = 6_000;
    }
    candidates[home].cached_tokens = 2_500;
    let Placement::Prefill { engine: at, copy_from: Some(from), tokens } =
        place(&settings, &prompt(5), &candidates, ENTRIES)
    else {
        panic!("the prefix was not copied");
    };
    assert_eq!((at, tokens, candidates[from].domain), (home, 3_000, candidates[home].domain));
    candidates[home].cached_tokens = 5_900;
    let place = place(&settings, &prompt(5), &candidates, ENTRIES);
    assert_eq!(place, Placement::Prefill { engine: home, copy_from: None, tokens: 3_100 });
}

/// In a burst, refused requests are retried when their objective has passed. If they were treated
/// like first attempts, each would displace one that could still be in time.
#[test]
fn late_prompts_are_placed_only_where_the_queue_is_short() {
    let mut candidates: Vec<_> = (0..4).map(candidate).collect();
    for candidate in &mut candidates {
        candidate.queued_tokens = 8_000;
    }
    let settings = Settings::default();
    assert!(at(place(&settings, &prompt(5), &candidates, ENTRIES)).is_some());
    let late = Prompt { late: true, ..prompt(5) };
    assert_eq!(at(place(&settings, &late, &candidates, ENTRIES)), None);
    candidates[0].queued_tokens = 0;
    assert_eq!(at(place(&settings, &late, &candidates, ENTRIES)), Some(0));
}

/// Hundreds of callers are refused in one second of a burst and may retry once. With the same short
/// Retry-After they would all return together and be refused for good.
#[test]
fn retries_are_spread_over_the_time_that_callers_wait() {
    let settings = Settings::default();
    let retry = |soonest, random| {
        retry_after(&settings, Duration::from_millis(soonest), Duration::from_millis(1_800), random)
    };
    let times =
        [retry(75, 0.0), retry(75, 0.5), retry(75, 1.0), retry(450, 0.0), retry(5_000, 0.0)];
    assert_eq!(times.map(|time| time.as_millis()), [300, 450, 600, 450, 600]);
    let long_wait = retry_after(&settings, Duration::ZERO, Duration::from_secs(60), 1.0);
    assert_eq!(
        long_wait,
        Duration::from_secs(1),
        "Retry-After is bounded for callers that wait a minute"
    );
}

/// The link of an engine is slow, so its KV caches are transferred late. Its queue looks short, so
/// it would get even more prompts, and copies from it would delay other engines.
#[test]
fn engine_with_a_slow_link_gets_no_prompt_and_is_no_source() {
    let settings = Settings::default();
    let mut candidates: Vec<_> = (0..4).map(candidate).collect();
    let home = at(place(&settings, &prompt(5), &candidates, ENTRIES)).unwrap();
    candidates[home].cached_tokens = 6_000;
    candidates[home].transfer_excess = Duration::from_millis(90);
    let Placement::Prefill { engine: at, copy_from, .. } =
        place(&settings, &prompt(5), &candidates, ENTRIES)
    else {
        panic!("another engine has room");
    };
    assert!(at != home && copy_from.is_none());
    candidates[home].transfer_excess = Duration::from_millis(10);
    assert_eq!(self::at(place(&settings, &prompt(5), &candidates, ENTRIES)), Some(home));
}

/// In a burst, all engines have more queued than fits into the objective. Another prompt would be
/// late and make those behind it late.
#[test]
fn prompt_that_fits_nowhere_is_refused_with_a_time() {
    let mut candidates: Vec<_> = (0..4).map(candidate).collect();
    for candidate in &mut candidates {
        candidate.queued_tokens = 60_000;
    }
    let Placement::Full(after) = place(&Settings::default(), &prompt(5), &candidates, ENTRIES)
    else {
        panic!("the prompt was placed");
    };
    assert!(after > Duration::from_millis(50) && after < Duration::from_millis(250), "{after:?}");
}

#[test]
fn idle_engine_accepts_a_prompt_of_any_size() {
    let huge = Prompt { tokens: 200_000, ..prompt(1) };
    assert!(at(place(&Settings::default(), &huge, &[candidate(1)], 27)).is_some());
}

#[test]
fn without_engines_nothing_is_placed() {
    assert_eq!(at(place(&Settings::default(), &prompt(1), &[], ENTRIES)), None);
}

/// Engines prefill at a third of the assumed rate. If the rate were not learned, three times too
/// much would be accepted and nearly all of it late.
#[test]
fn rate_is_learned_despite_a_third_of_wrong_samples() {
    let mut rate = PrefillRate::new(300_000.0);
    for number in 0..400u32 {
        let tokens = 4_000 + u64::from(number % 7) * 1_000;
        let seconds = tokens as f64 / 100_000.0;
        // Now and then the engine had nearly all of the prompt cached, unknown to the entry.
        let seconds = if number % 3 == 0 { seconds / 10.0 } else { seconds };
        rate.sample(tokens, Duration::from_secs_f64(seconds) + Duration::from_millis(5));
    }
    assert!((90_000.0..115_000.0).contains(&rate.get()), "{}", rate.get());
}

/// Engines prefill at a fifth of the assumed rate. For the first four seconds of every process, all
/// that it accepted was a second late. A few prompts have to suffice to correct the rate.
#[test]
fn initial_rate_wrong_by_five_is_corrected_after_some_prompts() {
    let mut rate = PrefillRate::new(300_000.0);
    for _ in 0..16 {
        rate.sample(9_000, Duration::from_secs_f64(9_000.0 / 60_000.0) + Duration::from_millis(5));
    }
    assert!(rate.is_learned());
    assert!((48_000.0..75_000.0).contains(&rate.get()), "{}", rate.get());
}

/// An entry that starts takes over the rate that others have learned. A single prompt that was
/// cached without its knowledge must change it little.
#[test]
fn rate_from_another_entry_is_reliable_and_changes_slowly() {
    let mut rate = PrefillRate::learned(60_000.0);
    assert!(rate.is_learned());
    rate.sample(9_000, Duration::from_millis(10));
    assert!((60_000.0..62_000.0).contains(&rate.get()), "{}", rate.get());
}

#[test]
fn short_prompts_do_not_change_the_rate() {
    let mut rate = PrefillRate::new(300_000.0);
    for _ in 0..100 {
        rate.sample(200, Duration::from_millis(20));
    }
    assert_eq!(rate.get(), 300_000.0);
}

/// Short prompts of low priority would wait behind hundreds of long ones of high priority, for a
/// prefill that takes a small part of their objective.
#[test]
fn short_prompts_go_first_and_long_ones_by_priority() {
    let settings = Settings::default();
    let priority = |tokens, request| policy::prefill::priority(&settings, tokens, request);
    assert_eq!(
        [priority(220, 1), priority(9_000, 0), priority(9_000, 1), priority(9_000, 9)],
        [0, 1, 2, 9]
    );
}

/// A pool whose engines prefill 150 tokens per ms besides decode, whose streams may pause for 200 ms
/// and produce a piece each 50 ms.
fn pool_with_pause_limit() -> Settings {
    Settings {
        decode_pause: Duration::from_millis(50),
        max_gap: Duration::from_millis(200),
        piece_time: Duration::from_millis(50),
        rate_learned: true,
        ..Settings::default()
    }
}

/// A decode engine with a sixth of its slots in use.
fn decode_engine(key: u64) -> PrefillCandidate {
    PrefillCandidate { decodes: true, slot_usage: 0.17, ..candidate(key) }
}

fn full_prefill_engine(key: u64) -> PrefillCandidate {
    PrefillCandidate { queued_tokens: 300_000, ..candidate(key) }
}

/// A prompt with an objective that leaves 212 ms at a decode engine.
fn relaxed(tokens: u64, short_output: bool) -> Prompt {
    Prompt { tokens, objective: Duration::from_millis(500), short_output, ..prompt(3) }
}

/// Questions of 220 tokens were prefilled at an engine of their own, and each waited for a second
/// call and a transfer. Long prompts must not follow them to engines without their prefix, nor any
/// prompt where it would pause the streams for too long.
#[test]
fn short_prompts_go_to_the_engine_that_decodes() {
    let settings = pool_with_pause_limit();
    let short = |tokens, shared| is_short(&settings, tokens, shared);
    // 50 ms at 150 tokens per ms.
    assert_eq!(
        [short(220, 100), short(900, 800), short(7_500, 0), short(7_501, 0), short(7_000, 6_000)],
        [true, true, true, false, false]
    );
    // On engines that are a fifth as fast, as long as that is not known, only the shortest.
    let unknown = Settings { rate_learned: false, ..settings.clone() };
    assert!(is_short(&unknown, 1_000, 0) && !is_short(&unknown, 1_001, 0));
    assert!(!is_short(&Settings { decode_pause: Duration::ZERO, ..settings }, 220, 0));
}

/// Prompts double for some seconds and fill the prefill engines. A prompt that makes the streams of
/// a decode engine pause for longer than they may must not go there, also if it would be in time.
#[test]
fn decode_engines_prefill_what_their_streams_can_bear() {
    let is_placed = |settings: &Settings, tokens, engine: PrefillCandidate| {
        let engines = [full_prefill_engine(1), engine];
        at(place(settings, &relaxed(tokens, false), &engines, ENTRIES)) == Some(1)
    };
    let (settings, engine) = (pool_with_pause_limit(), decode_engine(2));
    let with_usage = |slot_usage| PrefillCandidate { slot_usage, ..engine };
    // 150 ms besides the piece at 150 tokens per ms.
    assert!(is_placed(&settings, 22_000, engine));
    assert!(!is_placed(&settings, 23_000, engine), "streams would pause for more than 200 ms");
    assert!(is_placed(&settings, 23_000, with_usage(0.0)), "there are no streams");
    assert!(!is_placed(&settings, 32_000, with_usage(0.0)), "it takes more than 212 ms");
    assert!(is_placed(&settings, 9_000, with_usage(0.75)));
    assert!(!is_placed(&settings, 9_000, with_usage(0.8)), "streams need the slots");
    assert!(!is_placed(&Settings::default(), 1_000, engine), "what streams bear is unknown");
    assert!(is_placed(&Settings::default(), 1_000, with_usage(0.0)));
}

/// Two prompts that streams can bear one by one go to the same engine. Both would be prefilled
/// between two pieces of its streams, whether the first is still queued or was just prefilled.
#[test]
fn prompts_at_the_same_engine_count_together() {
    let settings = pool_with_pause_limit();
    let is_placed = |queued_tokens, recent_tokens, slot_usage| {
        let engine =
            PrefillCandidate { queued_tokens, recent_tokens, slot_usage, ..decode_engine(2) };
        let engines = [full_prefill_engine(1), engine];
        at(place(&settings, &relaxed(12_000, false), &engines, ENTRIES)) == Some(1)
    };
    assert!(is_placed(0, 0, 0.2) && is_placed(10_000, 0, 0.2) && is_placed(10_000, 10_000, 0.2));
    assert!(!is_placed(12_000, 0, 0.2), "24,000 tokens take 160 ms, and a piece 50 ms");
    assert!(!is_placed(0, 12_000, 0.2), "the streams have just paused");
    assert!(is_placed(0, 12_000, 0.0) && !is_placed(20_000, 0, 0.0), "only the time counts");
}

/// The KV cache of a chapter was moved for an answer of two pieces, which then waited for a slot.
/// But with most slots taken, prefill engines must not be left idle.
#[test]
fn short_output_prefers_decode_engines_that_are_free() {
    let settings = pool_with_pause_limit();
    let place = |settings: &Settings, prompt: &Prompt, prefill: PrefillCandidate, slot_usage| {
        let decode = PrefillCandidate { slot_usage, ..decode_engine(2) };
        at(place(settings, prompt, &[prefill, decode], ENTRIES))
    };
    let (short, long) = (relaxed(9_000, true), relaxed(9_000, false));
    let (idle, busy) = (candidate(1), PrefillCandidate { queued_tokens: 9_000, ..candidate(1) });
    assert_eq!(place(&settings, &short, idle, 0.0), Some(1));
    assert_eq!(place(&settings, &short, idle, 0.4), Some(1));
    assert_eq!(place(&settings, &long, idle, 0.0), Some(1), "no stream pauses there");
    assert_eq!(place(&settings, &long, idle, 0.1), Some(0), "streams would pause for nothing");
    assert_eq!(place(&settings, &short, idle, 0.6), Some(0), "slots are what is short");
    assert_eq!(place(&settings, &short, busy, 0.6), Some(1), "prefill engines are busy as well");
    assert_eq!(place(&settings, &short, busy, 0.8), Some(0));
    let unknown = Settings { rate_learned: false, ..settings };
    assert_eq!(place(&unknown, &short, idle, 0.4), Some(0), "the pause is unknown");
    assert!(is_short_output(152, Some(76)) && !is_short_output(5_472, Some(76)));
    assert!(!is_short_output(0, Some(76)) && !is_short_output(2, None), "the length is unknown");
}

/// A decode engine needs 550 ms for a prompt of 17,000 tokens, and its streams may pause for 150
/// ms. Each such prompt would make all of them late, so that even those with short output have to
/// go to prefill engines.
#[test]
fn slow_engines_with_streams_leave_long_prompts_to_prefill_engines() {
    let settings = Settings {
        prefill_rate: 61_800.0,
        decode_pause: Duration::from_micros(37_500),
        max_gap: Duration::from_millis(150),
        ..pool_with_pause_limit()
    };
    let prompt = Prompt { objective: Duration::from_secs(2), ..relaxed(17_000, true) };
    assert!(!is_short(&settings, prompt.tokens, 0));
    let engines = [candidate(1), decode_engine(2)];
    assert_eq!(at(place(&settings, &prompt, &engines, ENTRIES)), Some(0));
    let engines = [full_prefill_engine(1), decode_engine(2)];
    assert_eq!(at(place(&settings, &prompt, &engines, ENTRIES)), None);
}

/// Engines of both stages are full. A caller that was not refused at once would wait until its
/// objective has passed and have no time to retry.
#[test]
fn overload_of_both_stages_is_refused_with_a_time() {
    let decode = PrefillCandidate { queued_tokens: 60_000, ..decode_engine(2) };
    for short_output in [false, true] {
        let engines = [full_prefill_engine(1), decode];
        let prompt = relaxed(9_000, short_output);
        let Placement::Full(after) = place(&pool_with_pause_limit(), &prompt, &engines, ENTRIES)
        else {
            panic!("the prompt was placed");
        };
        assert!(after > Duration::ZERO && after < Duration::from_secs(1), "{after:?}");
    }
}

/// An entry that knows the work of one in four entries must assume that the others send as much.
#[test]
fn pause_is_shared_among_entries() {
    let engines = [full_prefill_engine(1), decode_engine(2)];
    let is_placed = |entries: u32| {
        at(place(&pool_with_pause_limit(), &relaxed(7_000, false), &engines, entries))
    };
    // 46 ms of 150 ms.
    assert_eq!([is_placed(1), is_placed(3), is_placed(4)], [Some(1), Some(1), None]);
}

/// The coordinator would give the slot of a prompt's own engine to another stream while the prompt
/// is prefilled and its output decoded.
#[test]
fn slot_is_kept_for_the_prefill_and_the_pieces() {
    let duration = colocated_duration(&pool_with_pause_limit(), 15_000, 2);
    assert_eq!(duration, Duration::from_millis(200));
}

/// Between regions, copying a prefix takes as long as prefilling it, and its bytes are paid for.
#[test]
fn prefix_is_not_copied_between_regions() {
    let mut candidates = vec![candidate(0), candidate(1)];
    let mut settings = Settings::default();
    let home = at(place(&settings, &prompt(5), &candidates, ENTRIES)).unwrap();
    candidates[1 - home].cached_tokens = 6_000;
    let copied = |settings: &Settings| match place(settings, &prompt(5), &candidates, ENTRIES) {
        Placement::Prefill { copy_from, tokens, .. } => (copy_from, tokens),
        Placement::Full(_) => panic!("both are idle"),
    };
    assert_eq!(copied(&settings), (Some(1 - home), 3_000));
    settings.topology = Arc::new(Topology::new([(0, 7), (1, 7)]));
    assert_eq!(copied(&settings), (Some(1 - home), 3_000), "both are in one region");
    settings.topology = Arc::new(Topology::new([(0, 7), (1, 8)]));
    assert_eq!(copied(&settings), (None, 9_000));
}
