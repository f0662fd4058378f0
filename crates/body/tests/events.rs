//! Boundaries of server-sent events.

use body::{EventScanner, Position};

/// Streams, the length of the part that is whole, and whether they end within an event.
const STREAMS: [(&str, usize, Position); 20] = [
    ("", 0, Position::Boundary),
    ("\n", 1, Position::Boundary),
    ("data: a", 0, Position::WithinEvent),
    ("data: a\n", 0, Position::WithinEvent),
    ("data: a\n\n", 9, Position::Boundary),
    ("data: a\r\n\r\n", 11, Position::Boundary),
    ("data: a\r\r", 9, Position::Boundary),
    ("data: a\r\n\n", 10, Position::Boundary),
    ("data: a\n\r\n", 10, Position::Boundary),
    ("data: a\r\n", 0, Position::WithinEvent),
    ("data: a\r", 0, Position::WithinEvent),
    ("data: a\n\n\n", 10, Position::Boundary),
    ("id: 1\ndata: a\n\nid: 2\nda", 15, Position::WithinEvent),
    ("id: 1\ndata: a\n\nid: 2\n", 15, Position::WithinEvent),
    ("id: 1\ndata: a\n\ni", 15, Position::WithinEvent),
    (": ping\n", 7, Position::Boundary),
    (": pi", 0, Position::WithinEvent),
    ("data: a\n\n: ping\n", 16, Position::Boundary),
    ("data: a\n: ping\n", 0, Position::WithinEvent),
    ("data: a\n: ping\n\n", 16, Position::Boundary),
];

/// However a stream is cut into pieces, the same part of it is whole.
#[test]
fn boundaries_are_found_however_the_stream_is_cut() {
    for (stream, whole, position) in STREAMS {
        for cut in 0..=stream.len() {
            let mut scanner = EventScanner::default();
            let (first, second) = stream.as_bytes().split_at(cut);
            let (in_first, in_second) = (scanner.scan(first), scanner.scan(second));
            let found = if in_second > 0 { cut + in_second } else { in_first };
            assert_eq!((found, scanner.position()), (whole, position), "{stream:?} cut at {cut}");
        }
    }
}
