//! Choice of targets for a request.

use policy::estimate::Cost;
use policy::route::{Candidate, Choice, LeastConnections, Load, Query, Route, Stage, Weighted};
use policy::simulation::Random;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn fleet(many: usize) -> Vec<Candidate> {
    let candidate = |index: usize| {
        let domain = format!("domain-{}", index % 3);
        let mut candidate =
            Candidate::new(&format!("engine-{index}"), &domain, vec![policy::hash("small")]);
        candidate.update_load(load(0), NOW);
        candidate
    };
    (0..many).map(candidate).collect()
}

fn load(decode: u64) -> Load {
    Load { cost: Cost::new(0, decode), running: 16, slots: 16, ..Load::default() }
}

fn query() -> Query {
    Query {
        serves: policy::hash("small"),
        cost: Cost::new(400, 150),
        domain: policy::hash("domain-0"),
        ..Query::default()
    }
}

fn choices(query: &Query, fleet: &[Candidate], now: Duration) -> Vec<Choice> {
    let mut random = Random::new(5);
    let mut route = Weighted::default();
    (0..300)
        .map(|_| route.choose(query, fleet, now, random.rng()).expect("some targets are eligible"))
        .collect()
}

fn share(choices: &[Choice], matches: impl Fn(&Choice) -> bool) -> f64 {
    choices.iter().filter(|choice| matches(choice)).count() as f64 / choices.len() as f64
}

#[test]
fn only_usable_targets_that_serve_the_model_are_chosen() {
    let mut fleet = fleet(6);
    fleet[0].serves = vec![policy::hash("large")];
    fleet[3].usable = false;
    let chosen = choices(&query(), &fleet, NOW);
    assert!(chosen.iter().flat_map(Choice::indexes).all(|index| index != 0 && index != 3));
    let large = Query { serves: policy::hash("none"), ..query() };
    let mut random = Random::new(5);
    assert_eq!(Weighted::default().choose(&large, &fleet, NOW, random.rng()), None);
}

// The own failure domain has capacity. Leaving it costs a hop and makes the request depend on a
// second domain.
#[test]
fn own_failure_domain_is_preferred_until_it_is_full() {
    let mut fleet = fleet(12);
    assert_eq!(share(&choices(&query(), &fleet, NOW), |choice| choice.first % 3 == 0), 1.0);
    let own = fleet.iter_mut().step_by(3);
    own.for_each(|candidate| candidate.update_load(load(5_000), NOW));
    assert!(share(&choices(&query(), &fleet, NOW), |choice| choice.spilled) > 0.9);
}

// One target has 5 s of work and the others none. A caller would notice that wait.
#[test]
fn least_work_is_chosen_and_stale_reports_are_discounted() {
    let mut fleet = fleet(3);
    fleet.iter_mut().for_each(|candidate| candidate.domain = policy::hash("domain-0"));
    fleet[1].update_load(load(5_000), NOW);
    assert!(share(&choices(&query(), &fleet, NOW), |choice| choice.first == 1) < 0.05);
    let later = NOW + Duration::from_secs(60);
    let stale = share(&choices(&query(), &fleet, later), |choice| choice.first == 1);
    assert!(stale > 0.2, "{stale} of the requests go to the target that was loaded a minute ago");
}

// All entries learn that one target is idle. If each sent all its requests there until the next
// report, the target would be overloaded.
#[test]
fn work_sent_since_the_last_report_counts() {
    let mut fleet = fleet(3);
    fleet.iter_mut().for_each(|candidate| candidate.update_load(load(1_000), NOW));
    fleet[0].update_load(load(0), NOW);
    let mut random = Random::new(5);
    let mut route = Weighted::default();
    let mut sent = [0; 3];
    for _ in 0..60 {
        let first = route.choose(&query(), &fleet, NOW, random.rng()).unwrap().first;
        fleet[first].record_sent(query().cost);
        sent[first] += 1;
    }
    assert!(sent[0] < 40 && sent[1] > 5 && sent[2] > 5, "{sent:?}");
}

// Requests share a long prefix. If they were spread over the fleet, each target would compute it
// again.
#[test]
fn shared_prefix_stays_on_one_target_and_overflows_when_hot() {
    let mut fleet = fleet(12);
    let query = Query { prefix: 77, cost: Cost::new(8_000, 100), ..query() };
    let chosen = choices(&query, &fleet, NOW);
    let home = chosen[0].first;
    assert_eq!(share(&chosen, |choice| choice.first == home && choice.affine), 1.0);
    let elsewhere = Query { domain: policy::hash("domain-2"), ..query };
    assert_eq!(
        choices(&elsewhere, &fleet, NOW)[0].first,
        home,
        "entries agree without communication"
    );
    fleet[home].update_load(load(9_000), NOW);
    let chosen = choices(&query, &fleet, NOW);
    assert_eq!(share(&chosen, |choice| choice.first == home), 0.0);
    assert_eq!(share(&chosen, |choice| choice.first == chosen[0].first), 1.0);
}

#[test]
fn stage_goes_only_to_engines_of_its_role() {
    let mut fleet = fleet(6);
    fleet[0].role = conf::resource::Role::Prefill;
    fleet[1].role = conf::resource::Role::Decode;
    let of = |stage| choices(&Query { stage, ..query() }, &fleet, NOW);
    let goes = |stage, index| of(stage).iter().flat_map(Choice::indexes).any(|i| i == index);
    assert!(!goes(Stage::Whole, 0) && !goes(Stage::Whole, 1));
    assert!(goes(Stage::Prefill, 0) && !goes(Stage::Prefill, 1));
    assert!(!goes(Stage::Decode, 0) && goes(Stage::Decode, 1));
}

#[test]
fn least_connections_counts_requests_only() {
    let mut fleet = fleet(2);
    fleet[0].update_load(Load { running: 1, cost: Cost::new(0, 50_000), ..Load::default() }, NOW);
    fleet[1].update_load(Load { running: 2, cost: Cost::new(0, 10), ..Load::default() }, NOW);
    let mut random = Random::new(5);
    let choice = LeastConnections::default().choose(&query(), &fleet, NOW, random.rng());
    assert_eq!(choice.map(|choice| choice.first), Some(0));
}
