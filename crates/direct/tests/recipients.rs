//! How often entries send their state to each other.

use direct::cluster::peers::Peers;
use policy::distance::Topology;
use policy::hash;
use policy::membership::{Node, Source, Status, Update};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, advance};

const DOMAINS: [(&str, u64); 4] = [("a", 1), ("b", 1), ("c", 2), ("d", 3)];

fn node(at: usize) -> Node {
    let key = hash(&format!("entry-{at}"));
    let address = SocketAddr::new([10, 0, 0, 1].into(), 1_000 + u16::try_from(at).unwrap_or(0));
    Node { key, domain: hash(DOMAINS[at % 4].0), address, link_rate: 1e6 }
}

/// The first of so many entries, which knows all others.
fn peers(topology: Topology, number: usize) -> Peers {
    let peers = Peers::new(topology);
    peers.directory.start(node(0), 1, 7);
    let update = |at| Update { node: node(at), incarnation: 1, status: Status::Alive };
    let updates: Vec<Update> = (1..number).map(update).collect();
    peers.directory.apply(&updates, Source::List, Duration::ZERO);
    peers.directory.refresh(Duration::ZERO);
    peers
}

fn regions() -> Topology {
    Topology::new(DOMAINS.map(|(domain, region)| (hash(domain), region)))
}

/// How often each entry is sent to in `turns` turns of `interval`.
async fn counts(peers: &Peers, number: usize, turns: usize, interval: Duration) -> Vec<usize> {
    let mut counts = vec![0; number];
    for _ in 0..turns {
        for address in peers.recipients(Instant::now()).addresses {
            counts[usize::from(address.port() - 1_000)] += 1;
        }
        advance(interval).await;
    }
    counts
}

/// Most bytes between regions, besides KV cache, are the states of entries.
#[tokio::test(start_paused = true)]
async fn peers_in_other_regions_get_every_second_state() {
    let peers = peers(regions(), 8);
    let counts = counts(&peers, 8, 40, Duration::from_millis(50)).await;
    assert_eq!(counts, [0, 40, 20, 20, 40, 40, 20, 20]);
    assert_eq!(peers.recipients(Instant::now()).turns, 7, "the interval of the others stays");
}

/// A state that is sent every 250 ms would be almost outdated if every second one was left out.
#[tokio::test(start_paused = true)]
async fn states_are_sent_to_other_regions_each_300_ms_at_least() {
    let peers = peers(regions(), 4);
    let counts = counts(&peers, 4, 40, Duration::from_millis(250)).await;
    assert_eq!(counts, [0, 40, 40, 40]);
}

/// Deployments with one region must send the datagrams that they sent before.
#[tokio::test(start_paused = true)]
async fn one_region_sends_every_state_to_all() {
    for topology in [Topology::default(), Topology::new(DOMAINS.map(|(name, _)| (hash(name), 1)))] {
        let peers = peers(topology, 8);
        let counts = counts(&peers, 8, 40, Duration::from_millis(50)).await;
        assert_eq!(counts, [0, 40, 40, 40, 40, 40, 40, 40]);
    }
}
