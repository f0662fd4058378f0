//! Cost of one routing decision at the design size of 700 targets and 4,500 callers:
//! `cargo bench -p policy`

use criterion::{Criterion, criterion_group, criterion_main};
use policy::estimate::{Cost, Estimator};
use policy::route::{Candidate, Load, Query, Route, Weighted};
use policy::simulation::Random;
use std::hint::black_box;
use std::time::Duration;

const TARGETS: usize = 700;
const CALLERS: usize = 4_500;
const DOMAINS: usize = 6;
const MODELS: [&str; 4] = ["lapis-small", "lapis-large", "lapis-code", "lapis-long"];

/// Returns targets in six failure domains, each with two of four models and some load.
fn candidates(random: &mut Random) -> Vec<Candidate> {
    let candidate = |index: usize| {
        let models = [MODELS[index % 4], MODELS[(index + 1) % 4]];
        let serves = models.map(policy::hash).to_vec();
        let domain = format!("domain-{}", index % DOMAINS);
        let mut candidate = Candidate::new(&format!("engine-{index}"), &domain, serves);
        let cost = Cost::new(random.below(8_000) as u64, 500);
        candidate
            .update_load(Load { cost, running: 8, slots: 16, ..Load::default() }, Duration::ZERO);
        candidate
    };
    (0..TARGETS).map(candidate).collect()
}

fn decide(c: &mut Criterion) {
    let mut random = Random::new(1);
    let candidates = candidates(&mut random);
    let callers: Vec<String> = (0..CALLERS).map(|caller| format!("caller-{caller}")).collect();
    let mut estimator = Estimator::default();
    for caller in &callers {
        MODELS.iter().for_each(|model| estimator.learn(caller, model, 200));
    }
    for (name, prefix) in [("drawn", 0), ("prefix", 1 << 40)] {
        let mut route = Weighted::default();
        let mut iteration = 0;
        c.bench_function(&format!("decision at 700 targets, {name}"), |bencher| {
            bencher.iter(|| {
                iteration += 1;
                let model = MODELS[iteration % 4];
                let cost = estimator.cost(&callers[iteration * 7 % CALLERS], model, 400, 0);
                let prefix = if prefix == 0 { 0 } else { prefix + iteration as u64 % 300 };
                let domain = policy::hash("domain-1");
                let query =
                    Query { serves: policy::hash(model), cost, prefix, domain, ..Query::default() };
                let now = Duration::from_millis(iteration as u64 % 3_000);
                black_box(route.choose(&query, &candidates, now, random.rng()))
            });
        });
    }
}

criterion_group!(benches, decide);
criterion_main!(benches);
