//! Only complete events are forwarded.

use bytes::Bytes;
use direct::request::events::EventBuffer;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";

#[test]
fn a_partial_event_is_held_back_and_the_last_complete_id_is_known() {
    let mut events = EventBuffer::holding();
    assert_eq!(events.push(&Bytes::from_static(b"id: 1\nda")), "");
    assert_eq!(events.last_id(), None);
    assert_eq!(events.push(&Bytes::from_static(b"ta: a\n\nid: 2")), "id: 1\ndata: a\n\n");
    assert_eq!(events.last_id(), Some(1));
    assert_eq!(events.take_partial(), "id: 2");
}

/// However the stream is cut into pieces, the forwarded bytes are the same, and end with an event.
#[test]
fn the_output_is_the_same_however_the_stream_is_cut() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|cuts| {
        let mut events = EventBuffer::holding();
        let mut forwarded = String::new();
        let mut rest = STREAM;
        for cut in cuts {
            let (piece, after) = rest.split_at((usize::from(*cut) % 7).min(rest.len()));
            rest = after;
            let complete = events.push(&Bytes::copy_from_slice(piece.as_bytes()));
            forwarded.push_str(std::str::from_utf8(&complete).unwrap());
            assert!(forwarded.is_empty() || forwarded.ends_with("\n\n"));
        }
        let complete = events.push(&Bytes::copy_from_slice(rest.as_bytes()));
        forwarded.push_str(std::str::from_utf8(&complete).unwrap());
        assert_eq!(forwarded, &STREAM[..30]);
        assert_eq!(events.last_id(), Some(2));
    });
}

/// An event too large to be held back is forwarded as it arrives, and its stream can't be resumed:
/// the caller already has a part of it.
#[test]
fn an_oversized_event_is_forwarded_and_ends_resumption() {
    let mut events = EventBuffer::holding();
    assert_eq!(events.push(&Bytes::from_static(b"id: 1\ndata: a\n\n")).len(), 15);
    assert!(events.can_resume());
    let piece = Bytes::from(vec![b'x'; 300_000]);
    let forwarded: Vec<usize> = (0..5).map(|_| events.push(&piece).len()).collect();
    assert_eq!(forwarded, [0, 0, 0, 1_200_000, 300_000]);
    assert_eq!(events.partial_bytes(), 0);
    assert!(!events.can_resume());
}

/// A stream whose events have no ids would be sent again from its start.
#[test]
fn events_without_ids_can_not_be_resumed() {
    let mut events = EventBuffer::holding();
    assert_eq!(events.push(&Bytes::from_static(b"da")), "");
    assert!(events.can_resume());
    events.push(&Bytes::from_static(b"ta: a\r\n\r\n"));
    assert!(!events.can_resume());
}
