//! Waits for the answers of other entries.

use direct::cluster::messages::{Decision, Envelope, Granted, Payload, Report, Response};
use direct::cluster::peer_socket::{Peer, PeerSocket};
use policy::distance::Distance;
use prost::Message;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, advance};

const PEER: Peer = Peer { key: 7, distance: Distance::OtherRegion };
const ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9));
const OBJECTIVE: Duration = Duration::from_millis(250);
const SKIPPED_FOR: Duration = Duration::from_millis(500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An answer after `took` to a request that waited for `wait`.
async fn exchange(socket: &PeerSocket, wait: Duration, took: Duration) {
    let id = socket.unique_id();
    let pending = socket.expect_response(id, PEER, ADDRESS);
    let response = Response { reservation: id, decision: None };
    if took <= wait {
        advance(took).await;
        assert!(socket.deliver(response).is_ok());
    } else {
        advance(wait).await;
        drop(pending);
        socket.record_timeout(PEER, wait, OBJECTIVE, SKIPPED_FOR);
        advance(took - wait).await;
        assert!(socket.deliver(response).is_err(), "no request waits for it");
    }
}

/// A link between regions becomes slow: if only answers within the wait counted, each request over
/// it would time out for good.
#[tokio::test(start_paused = true)]
async fn late_answers_lengthen_the_wait() {
    let socket = PeerSocket::new(1);
    exchange(&socket, ms(25), ms(4)).await;
    assert_eq!(socket.wait(PEER, OBJECTIVE), ms(25));
    for _ in 0..20 {
        exchange(&socket, socket.wait(PEER, OBJECTIVE), ms(40)).await;
    }
    assert!(socket.wait(PEER, OBJECTIVE) > ms(40));
    assert!(!socket.is_unresponsive(PEER.key, Instant::now()));
}

/// A coordinator that was frozen answers after seconds. Its round trips must not count as those of
/// its network.
#[tokio::test(start_paused = true)]
async fn answers_of_a_frozen_entry_are_not_measured() {
    let socket = PeerSocket::new(1);
    exchange(&socket, ms(25), ms(4)).await;
    exchange(&socket, ms(25), ms(4_000)).await;
    assert_eq!(socket.wait(PEER, OBJECTIVE), ms(25));
}

/// Links lose datagrams: one loss must not cost a coordinator half a second of its requests. Both
/// directions of a cut link lose all of them.
#[tokio::test(start_paused = true)]
async fn entry_is_skipped_after_two_silences_in_a_row() {
    let socket = PeerSocket::new(1);
    let silent = || socket.is_unresponsive(PEER.key, Instant::now());
    exchange(&socket, ms(25), ms(100)).await;
    assert!(!silent());
    exchange(&socket, ms(25), ms(20)).await;
    exchange(&socket, ms(25), ms(100)).await;
    assert!(!silent(), "it answered in between");
    exchange(&socket, ms(25), ms(100)).await;
    assert!(silent());
    advance(SKIPPED_FOR).await;
    assert!(!silent(), "it is asked again");
}

/// A coordinator dies while many requests wait for it. Those of the next half second must not wait as
/// well, and after that, one silence is enough to skip it again.
#[tokio::test(start_paused = true)]
async fn dead_entry_costs_the_requests_of_one_wait_only() {
    let socket = PeerSocket::new(1);
    let silent = || socket.is_unresponsive(PEER.key, Instant::now());
    let in_flight: Vec<_> =
        (0..50).map(|_| socket.expect_response(socket.unique_id(), PEER, ADDRESS)).collect();
    advance(ms(25)).await;
    for pending in in_flight {
        drop(pending);
        socket.record_timeout(PEER, ms(25), OBJECTIVE, SKIPPED_FOR);
    }
    assert!(silent());
    advance(SKIPPED_FOR).await;
    assert!(!silent());
    exchange(&socket, ms(25), ms(100)).await;
    assert!(silent());
}

/// A caller hangs up, or the wait ends, just after the grant was delivered. If the reservation were
/// kept, the engine would look busier than it is.
#[tokio::test]
async fn delivered_grant_that_nobody_takes_is_released() {
    let socket = PeerSocket::new(1);
    let own = UdpSocket::bind(("127.0.0.1", 0)).await.unwrap();
    socket.open(Arc::new(own));
    let peer = UdpSocket::bind(("127.0.0.1", 0)).await.unwrap();
    let grant = |reservation| {
        let granted = Granted { engine: 5, ..Granted::default() };
        Response { reservation, decision: Some(Decision::Granted(granted)) }
    };
    let expect = |id| socket.expect_response(id, PEER, peer.local_addr().unwrap());
    let (used, unused) = (socket.unique_id(), socket.unique_id());
    let mut awaited = expect(used);
    socket.deliver(grant(used)).unwrap();
    assert_eq!((&mut awaited.response).await, Ok(grant(used)));
    drop(awaited);
    let dropped = expect(unused);
    socket.deliver(grant(unused)).unwrap();
    drop(dropped);
    let mut buffer = [0; 1_500];
    let received = tokio::time::timeout(ms(1_000), peer.recv(&mut buffer)).await;
    let length = received.expect("a report arrives").unwrap();
    let report = Report { reservation: unused, engine: 5, ..Report::default() };
    let payload = Envelope::decode(&buffer[..length]).unwrap().payload;
    assert_eq!(payload, Some(Payload::Report(report)));
}
