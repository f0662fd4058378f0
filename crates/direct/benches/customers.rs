//! What a request costs until its customer's limit is known, at 16 and 4,500 customers: it must stay
//! below a microsecond and hardly grow with them.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use direct::config::customers::{Credential, Customer, Customers, KeyDigest, Limit, Unit};
use std::hint::black_box;

fn customers(count: u32) -> Customers {
    let mut customers = Customers::default();
    for number in 0..count {
        let unit = Unit::Tokens { plain: 200.0 };
        let limit = Some(Limit { rate: 18_000.0, burst: 18_000.0, burst_is_default: false, unit });
        let name = format!("customer-{number}").into();
        let key = KeyDigest::of(&number.to_le_bytes());
        customers.add(Customer { name, priority: None, limit }, [key]);
    }
    customers
}

fn limit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("customers: limit of the caller");
    for count in [16, 4_500] {
        let customers = customers(count);
        let credentials: Vec<_> = (0..count)
            .map(|number| Credential::Key(KeyDigest::of(&number.to_le_bytes())))
            .collect();
        let mut next = credentials.iter().cycle();
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                let caller = next.next().map(|credential| customers.caller(*credential, false));
                let caller = caller.and_then(Result::ok);
                let customer = caller.as_ref().and_then(|caller| caller.customer());
                black_box(customer.map(|customer| (customer.key(), customer.limit)))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, limit);
criterion_main!(benches);
