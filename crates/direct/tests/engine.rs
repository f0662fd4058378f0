//! What an entry records of one engine: its load and its cached parts.

use direct::codec::Part;
use direct::targets::engine::Engine;

fn parts(ids: &[u64]) -> Vec<Part> {
    ids.iter().map(|id| Part { id: *id, tokens: 100 }).collect()
}

#[test]
fn a_part_is_cached_only_with_all_parts_before_it() {
    let engine = Engine::default();
    engine.record_cached(&parts(&[1, 2, 3]), 1_000);
    assert_eq!(engine.cached_tokens(&parts(&[1, 2, 9])), 200);
    assert_eq!(engine.cached_tokens(&parts(&[9, 2, 3])), 0);
}

#[test]
fn least_recently_used_parts_are_evicted() {
    let engine = Engine::default();
    engine.record_cached(&parts(&[1, 2]), 300);
    engine.record_cached(&parts(&[3]), 300);
    engine.record_cached(&parts(&[1]), 300);
    engine.record_cached(&parts(&[4]), 300);
    let cached: Vec<_> = [1, 2, 3, 4].map(|id| engine.cached_tokens(&parts(&[id]))).into();
    assert_eq!(cached, [100, 0, 100, 100]);
}

#[test]
fn load_is_released_with_the_guards() {
    let engine = Engine::default();
    let (first, second) = (engine.begin_prefill(500), engine.begin_prefill(700));
    let stream = engine.begin_stream();
    assert_eq!((engine.prefill_tokens(), engine.streams()), (1_200, 1));
    drop(first);
    drop(stream);
    assert_eq!((engine.prefill_tokens(), engine.streams()), (700, 0));
    drop(second);
    assert_eq!(engine.prefill_tokens(), 0);
}

/// Whatever is used in whatever order, no more than fits counts as cached, and the record of uses
/// does not grow without limit.
#[test]
fn cached_parts_never_exceed_the_capacity() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|uses| {
        let engine = Engine::default();
        for id in uses {
            engine.record_cached(&parts(&[u64::from(*id)]), 1_000);
        }
        let cached = (0..=255).filter(|id| engine.cached_tokens(&parts(&[*id])) > 0).count();
        assert!(cached <= 10);
        assert!(uses.last().is_none_or(|id| engine.cached_tokens(&parts(&[u64::from(*id)])) > 0));
    });
}
