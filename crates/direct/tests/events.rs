//! Only whole events are passed on.

use bytes::Bytes;
use direct::request::events::EventBuffer;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";

#[test]
fn half_an_event_is_held_back_and_the_last_whole_one_is_known() {
    let mut events = EventBuffer::default();
    assert_eq!(events.push(&Bytes::from_static(b"id: 1\nda")), "");
    assert_eq!(events.last_id(), None);
    assert_eq!(events.push(&Bytes::from_static(b"ta: a\n\nid: 2")), "id: 1\ndata: a\n\n");
    assert_eq!(events.last_id(), Some(1));
    assert_eq!(events.take_partial(), "id: 2");
}

/// However the stream is cut into pieces, what is passed on is the same, and ends with an event.
#[test]
fn any_cutting_passes_on_the_same() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|cuts| {
        let mut events = EventBuffer::default();
        let mut passed = String::new();
        let mut rest = STREAM;
        for cut in cuts {
            let (piece, after) = rest.split_at((usize::from(*cut) % 7).min(rest.len()));
            rest = after;
            let whole = events.push(&Bytes::copy_from_slice(piece.as_bytes()));
            passed.push_str(std::str::from_utf8(&whole).unwrap());
            assert!(passed.is_empty() || passed.ends_with("\n\n"));
        }
        let whole = events.push(&Bytes::copy_from_slice(rest.as_bytes()));
        passed.push_str(std::str::from_utf8(&whole).unwrap());
        assert_eq!(passed, &STREAM[..30]);
        assert_eq!(events.last_id(), Some(2));
    });
}
