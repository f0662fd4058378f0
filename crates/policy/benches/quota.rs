//! What a request costs where the limits of 4,500 customers are kept: less than a microsecond if
//! tokens are held, so that limits cost nothing where nobody exceeds them. What a renewal costs at a
//! coordinator of 1,000 entries, as each request for tokens renews a lease.

use criterion::{Criterion, criterion_group, criterion_main};
use policy::quota::{Ask, Bounds, Coordinator, Held, Limit, partition};
use std::hint::black_box;
use std::time::Duration;

const CUSTOMERS: u64 = 4_500;
const LIMIT: Limit = Limit { rate: 1e6, burst: 1e6, version: 1 };
const BOUNDS: Bounds = Bounds { window: Duration::from_secs(8), overage: 0.1, allowance: 73_000.0 };

fn customer(number: u64) -> u64 {
    policy::mix(number % CUSTOMERS, 0xC057)
}

fn held(criterion: &mut Criterion) {
    let mut held = Held::default();
    let now = Duration::from_secs(1);
    for number in 0..CUSTOMERS {
        held.spend(customer(number), &LIMIT, 1.0, now);
        held.add(customer(number), &LIMIT, 1e12, now * 3_600, now);
    }
    let mut number = 0;
    criterion.bench_function("quota: spend held tokens", |bencher| {
        bencher.iter(|| {
            number += 1;
            black_box(held.spend(customer(number), &LIMIT, 300.0, now))
        });
    });
}

fn ask(criterion: &mut Criterion) {
    let mut coordinator = Coordinator::new(BOUNDS, 1);
    let mut now = Duration::from_secs(1);
    let mut number = 0;
    criterion.bench_function("quota: decide on a request for tokens", |bencher| {
        bencher.iter(|| {
            number += 1;
            now += Duration::from_micros(200);
            let customer = customer(number);
            if number % 1_000 == 1 {
                for partition in 0..policy::quota::PARTITIONS {
                    let echoed = Some(coordinator.stamp(now));
                    let term = policy::quota::term(28);
                    coordinator.lend(partition, 1, 1.0, term, echoed, now);
                }
            }
            let ask = Ask {
                entry: 1,
                id: number,
                echoed: None,
                customer,
                limit: LIMIT,
                amount: 300.0,
                ahead: 600.0,
                returned: 0.0,
                max_wait: Duration::from_secs(1),
                returning: false,
            };
            black_box((partition(customer), coordinator.ask(&ask, 28, now)))
        });
    });
}

fn renew(criterion: &mut Criterion) {
    const LENDERS: u64 = 1_000;
    let mut coordinator = Coordinator::new(BOUNDS, 1);
    let (mut now, mut number) = (Duration::from_secs(1), 0);
    criterion.bench_function("quota: renew the lease of one of 1,000 entries", |bencher| {
        bencher.iter(|| {
            number += 1;
            now += Duration::from_millis(1);
            let echoed = Some(coordinator.stamp(now));
            let term = policy::quota::term(1_000);
            black_box(coordinator.lend(0, number % LENDERS, 0.001, term, echoed, now))
        });
    });
}

criterion_group!(benches, held, ask, renew);
criterion_main!(benches);
