//! What an entry remembers of an engine's prompts.

use direct::codec::Part;
use direct::targets::engine::Engine;

fn parts(ids: &[u64]) -> Vec<Part> {
    ids.iter().map(|id| Part { id: *id, tokens: 100 }).collect()
}

#[test]
fn a_part_counts_only_if_all_before_it_are_kept() {
    let engine = Engine::default();
    engine.record_cached(&parts(&[1, 2, 3]), 1_000);
    assert_eq!(engine.cached_tokens(&parts(&[1, 2, 9])), 200);
    assert_eq!(engine.cached_tokens(&parts(&[9, 2, 3])), 0);
}

#[test]
fn what_was_used_longest_ago_is_forgotten() {
    let engine = Engine::default();
    engine.record_cached(&parts(&[1, 2]), 300);
    engine.record_cached(&parts(&[3]), 300);
    engine.record_cached(&parts(&[1]), 300);
    engine.record_cached(&parts(&[4]), 300);
    let kept: Vec<_> = [1, 2, 3, 4].map(|id| engine.cached_tokens(&parts(&[id]))).into();
    assert_eq!(kept, [100, 0, 100, 100]);
}

#[test]
fn bookings_end_with_their_guards() {
    let engine = Engine::default();
    let (one, two) = (engine.begin_prefill(500), engine.begin_prefill(700));
    let stream = engine.begin_stream();
    assert_eq!((engine.prefill_tokens(), engine.streams()), (1_200, 1));
    drop(one);
    drop(stream);
    assert_eq!((engine.prefill_tokens(), engine.streams()), (700, 0));
    drop(two);
    assert_eq!(engine.prefill_tokens(), 0);
}

/// Whatever is used in whatever order, no more than fits is believed to be kept, and the memory of
/// uses does not grow without end.
#[test]
fn no_more_is_remembered_than_fits() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|uses| {
        let engine = Engine::default();
        for id in uses {
            engine.record_cached(&parts(&[u64::from(*id)]), 1_000);
        }
        let kept = (0..=255).filter(|id| engine.cached_tokens(&parts(&[*id])) > 0).count();
        assert!(kept <= 10);
        assert!(uses.last().is_none_or(|id| engine.cached_tokens(&parts(&[u64::from(*id)])) > 0));
    });
}
