//! Memory used by the folded configuration, and the time to fold changes.

use crate::ALLOCATOR;
use crate::fit::Point;
use crate::table::Row;
use serde_json::{Value, json};
use state::record::{Body, Change};
use state::{Config, Fold, Record};
use stats_alloc::Region;
use std::time::Instant;

/// Numbers of targets, up to twice the planned 700.
const TARGETS: [u32; 4] = [175, 350, 700, 1_400];

/// Numbers of callers, up to twice the planned 4,500.
const CALLERS: [u32; 4] = [1_125, 2_250, 4_500, 9_000];

/// Numbers of changes, up to the planned 1,500 a day.
const CHANGES: [u32; 4] = [375, 750, 1_125, 1_500];

/// The rows of this module.
pub(crate) fn rows() -> Vec<Row> {
    let row = |cost, per, points| Row { role: "every process", cost, per, points };
    let sized = |kind: &'static str, sizes: [u32; 4]| {
        sizes.map(|size| (f64::from(size), folded_bytes(kind, size))).to_vec()
    };
    vec![
        row("folded state, bytes", "target", sized("Target", TARGETS)),
        row("folded state, bytes", "caller", sized("Caller", CALLERS)),
        row("checkpoint, bytes", "target", encoded("Target", TARGETS)),
        row("checkpoint, bytes", "caller", encoded("Caller", CALLERS)),
        row(
            "fold of a change at the plan's size, ns of CPU",
            "change",
            CHANGES.map(|size| (f64::from(size), change_nanos(size))).to_vec(),
        ),
    ]
}

/// Bytes allocated by a configuration of `size` resources of one kind.
fn folded_bytes(kind: &str, size: u32) -> f64 {
    let records: Vec<Record> = (0..size).map(|number| created(kind, number)).collect();
    let mut config = with_models();
    let region = Region::new(ALLOCATOR);
    fold(&mut config, &records);
    let used = region.change();
    let bytes = used.bytes_allocated.saturating_sub(used.bytes_deallocated);
    drop(config);
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX))
}

/// Bytes of a checkpoint of `size` resources of one kind, including the changes that created them
/// as far as the audit trail retains them.
fn encoded(kind: &'static str, sizes: [u32; 4]) -> Vec<Point> {
    let bytes = |size: u32| {
        let records: Vec<Record> = (0..size).map(|number| created(kind, number)).collect();
        let mut config = with_models();
        fold(&mut config, &records);
        f64::from(u32::try_from(config.encode().len()).unwrap_or(u32::MAX))
    };
    sizes.map(|size| (f64::from(size), bytes(size))).to_vec()
}

/// Time in nanoseconds to apply `size` changes to a configuration of the planned size.
fn change_nanos(size: u32) -> f64 {
    let targets = (0..700).map(|number| created("Target", number));
    let callers = (0..4_500).map(|number| created("Caller", number));
    let records: Vec<Record> = targets.chain(callers).collect();
    let mut config = with_models();
    fold(&mut config, &records);
    let changes: Vec<Record> = (0..size).map(|number| created("Caller", number)).collect();
    let begun = Instant::now();
    fold(&mut config, &changes);
    begun.elapsed().as_secs_f64() * 1e9
}

/// Makes a configuration with the models that targets refer to.
fn with_models() -> Config {
    let mut config = Config::default();
    let models: Vec<Record> = MODELS.map(|name| change("Model", name, &json!({}))).to_vec();
    fold(&mut config, &models);
    config
}

/// Applies changes and asserts that none is refused, since a refused change costs less than an
/// accepted one and would distort the measurement.
fn fold(config: &mut Config, records: &[Record]) {
    for record in records {
        let offset = config.end();
        config.apply(offset, record);
        let refused = config.outcome(offset).and_then(|audit| audit.outcome.as_ref().err());
        assert!(refused.is_none(), "{refused:?}");
    }
}

fn created(kind: &str, number: u32) -> Record {
    change(kind, &format!("{}-{number}", kind.to_lowercase()), &spec(kind, number))
}

fn change(kind: &str, name: &str, spec: &Value) -> Record {
    let (kind, name, spec) = (kind.to_owned(), name.to_owned(), Some(spec.to_string()));
    let change = Change { kind, name, spec, expects: None };
    Record::new(1, "operator", 0, Body::Change(change))
}

/// The four planned models.
const MODELS: [&str; 4] = ["model-1", "model-2", "model-3", "model-4"];

fn spec(kind: &str, number: u32) -> Value {
    if kind == "Target" {
        let agent = format!("10.0.{}.{}:7001", number / 250, number % 250);
        json!({"agent": agent, "domain": format!("domain-{}", number % 6), "models": MODELS})
    } else {
        json!({"token_sha256": format!("{number:064x}"), "weight": 2, "tokens_per_second": 900})
    }
}
