//! What one datagram costs an entry, at 18, 520 and 1,040 entries: it must hardly grow with them.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use policy::dissemination::{FAN_OUT, Range, Recipient, delegates};
use policy::membership::{Membership, Node, Settings, Source, Status, Update};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

const SIZES: [u32; 3] = [18, 520, 1_040];

fn node(number: u32) -> Node {
    let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::from(0x0A00_0000 + number)), 7_000);
    Node { key: policy::mix(number.into(), 0x5117), domain: 1, address, link_rate: 1e6 }
}

fn update(number: u32, incarnation: u64) -> Update {
    Update { node: node(number), incarnation, status: Status::Alive }
}

fn membership(count: u32) -> Membership {
    let mut membership = Membership::new(Settings::default(), node(0), 1);
    for number in 1..count {
        membership.apply(update(number, 1), Source::List, Duration::ZERO);
    }
    membership
}

fn datagram(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("membership: a probe with three updates");
    for count in SIZES {
        let (mut membership, mut incarnation) = (membership(count), 1);
        let mut random = ChaCha8Rng::seed_from_u64(1);
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                incarnation += 1;
                for number in 1..4 {
                    let update = update(number, incarnation);
                    membership.apply(update, Source::News, Duration::ZERO);
                }
                black_box(membership.updates(24, 1));
                black_box(membership.sample(3, &mut random));
                black_box(membership.digest())
            });
        });
    }
}

fn relay(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("dissemination: delegates of the whole ring");
    for count in SIZES {
        let mut entries: Vec<Recipient> = (0..count)
            .map(|n| Recipient { position: policy::mix(n.into(), 0xD15), link_rate: 1e6 })
            .collect();
        entries.sort_by_key(|entry| entry.position);
        let own = entries[0].position;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| black_box(delegates(&entries, own, Range::all_but(own), FAN_OUT)));
        });
    }
}

criterion_group!(benches, datagram, relay);
criterion_main!(benches);
