//! What an entry knows of where streams began.

use direct::cluster::groups::Member;
use direct::cluster::messages::StreamOrigins;
use direct::cluster::origins::{Origin, Origins};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const TTL: Duration = Duration::from_secs(6);

fn origin(stream: u64, version: u64) -> Origin {
    Origin { stream, version, ttl: TTL }
}

#[tokio::test(start_paused = true)]
async fn streams_are_forgotten_when_they_can_no_longer_be_taken_up() {
    let (origins, now) = (Origins::default(), Instant::now());
    origins.record(origin(1, 7), 3, now);
    origins.observe(&StreamOrigins::new(&[origin(2, 8)]), now);
    assert_eq!((origins.get(1, now), origins.get(2, now)), (Some(7), Some(8)));
    assert_eq!(origins.get(1, now + TTL), None);
    origins.record(origin(3, 7), 3, now + TTL);
    assert_eq!(origins.len(), 1);
}

/// Two streams have the same attempt id: neither version may be guessed.
#[tokio::test(start_paused = true)]
async fn an_id_with_two_versions_has_none() {
    let (origins, now) = (Origins::default(), Instant::now());
    origins.record(origin(1, 7), 3, now);
    origins.observe(&StreamOrigins::new(&[origin(1, 7)]), now);
    assert_eq!(origins.get(1, now), Some(7));
    origins.observe(&StreamOrigins::new(&[origin(1, 8)]), now);
    origins.observe(&StreamOrigins::new(&[origin(1, 7)]), now);
    assert_eq!(origins.get(1, now), None);
}

/// A peer that sends ids without end must not use up the memory.
#[tokio::test(start_paused = true)]
async fn the_number_of_streams_is_bounded() {
    let (origins, now) = (Origins::default(), Instant::now());
    for stream in 0..100_000 {
        origins.observe(&StreamOrigins::new(&[origin(stream, 7)]), now);
    }
    assert_eq!(origins.len(), 65_536);
    assert_eq!((origins.get(0, now), origins.get(99_999, now)), (None, Some(7)));
}

#[test]
fn only_own_streams_of_the_service_are_published() {
    let (origins, now) = (Origins::default(), Instant::now());
    origins.record(origin(1, 7), 3, now);
    origins.record(origin(2, 7), 4, now);
    origins.observe(&StreamOrigins::new(&[origin(5, 7)]), now);
    assert_eq!(origins.own(3, now), [origin(1, 7)]);
}

/// A second version comes while hundreds of streams run: each holder is told in few datagrams.
#[test]
fn many_streams_share_datagrams() {
    let member = |key: u64, port: Option<u16>| Member {
        key,
        domain: key % 3,
        address: port.map(|port| ([127, 0, 0, 1], port).into()),
        link_rate: 1.0,
    };
    let members: Arc<[Member]> =
        [member(1, None), member(2, Some(2)), member(3, Some(3)), member(4, Some(4))].into();
    let all: Vec<Origin> = (0..240).map(|stream| origin(policy::mix(stream, 1), 7)).collect();
    let datagrams = Origins::default().datagrams(&all, 2, &members);
    let rows: usize = datagrams.iter().map(|(_, message)| message.rows().count()).sum();
    assert_eq!(rows, 2 * all.len());
    assert!(datagrams.len() <= 3 * 6, "{} datagrams", datagrams.len());
    assert!(datagrams.iter().all(|(_, message)| message.rows().count() <= 48));
}
