//! What marks the end of a body, and whether all of it has arrived.

use body::framing::is_event_stream;
use body::{End, Framing, Outcome, Position};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use http_body_util::{Empty, Full, StreamBody};
use hyper::body::Frame;
use std::convert::Infallible;

fn headers(lines: &[(&'static str, &'static str)]) -> HeaderMap {
    let lines = lines
        .iter()
        .map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value)));
    lines.collect()
}

/// A body of unknown length.
fn open_ended() -> impl hyper::body::Body<Data = Bytes, Error = Infallible> {
    StreamBody::new(futures_util::stream::empty::<Result<Frame<Bytes>, Infallible>>())
}

#[test]
fn framing_follows_the_length_and_then_the_last_transfer_coding() {
    let chunked = headers(&[("transfer-encoding", "gzip, Chunked ")]);
    let gzip = headers(&[("transfer-encoding", "gzip")]);
    assert_eq!(Framing::of(&Full::new(Bytes::from_static(b"ab")), &chunked), Framing::Length);
    assert_eq!(Framing::of(&Empty::<Bytes>::new(), &HeaderMap::new()), Framing::Length);
    assert_eq!(Framing::of(&open_ended(), &chunked), Framing::Chunks);
    assert_eq!(Framing::of(&open_ended(), &gzip), Framing::Connection);
    assert_eq!(Framing::of(&open_ended(), &HeaderMap::new()), Framing::Connection);
}

#[test]
fn event_streams_are_known_by_their_media_type() {
    let content_type = |value| headers(&[("content-type", value)]);
    assert!(is_event_stream(&content_type("text/event-stream")));
    assert!(is_event_stream(&content_type("Text/Event-Stream; charset=utf-8")));
    assert!(!is_event_stream(&content_type("text/plain")));
    assert!(!is_event_stream(&HeaderMap::new()));
}

/// Every combination of framing, outcome and position. A body that was cut must never count as
/// complete, and one that is whole must never count as cut.
#[test]
fn ends_are_judged_by_framing_outcome_and_position() {
    use End::{BrokenOff, Complete, Unmarked};
    use Framing::{Chunks, Connection, Length};
    use Outcome::{Ended, Failed};
    use Position::{Boundary, WithinEvent};
    let cases = [
        (Length, Ended, None, Complete),
        (Length, Ended, Some(Boundary), Complete),
        (Length, Ended, Some(WithinEvent), Complete),
        (Chunks, Ended, None, Complete),
        (Chunks, Ended, Some(Boundary), Complete),
        (Chunks, Ended, Some(WithinEvent), Complete),
        (Connection, Ended, None, Unmarked),
        (Connection, Ended, Some(Boundary), Complete),
        (Connection, Ended, Some(WithinEvent), BrokenOff),
    ];
    for (framing, outcome, position, end) in cases {
        assert_eq!(End::judge(framing, outcome, position), end, "{framing:?} {position:?}");
        assert_eq!(End::judge(framing, Failed, position), BrokenOff, "{framing:?} {position:?}");
    }
}
