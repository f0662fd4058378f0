//! Resources: one of several concurrent changes is accepted, and all readers apply the same rules.

mod common;

use common::{Process, fold, record};
use conf::{Kind, Resource};
use fake::MemoryLog;
use plat::CONFIG_STREAM;
use serde_json::{Value, json};
use state::record::{Body, Change};
use state::{Config, Error, Registry};
use std::time::Duration;

fn resource(kind: Kind, name: &str, spec: Value) -> Resource {
    Resource { kind, name: name.into(), spec }
}

fn change(kind: Kind, name: &str, spec: Option<Value>, expects: Option<u64>) -> Body {
    let (kind, name) = (kind.name().to_owned(), name.to_owned());
    Body::Change(Change { kind, name, spec: spec.map(|spec| spec.to_string()), expects })
}

fn registry(process: &Process<Config>) -> Registry {
    Registry::new(process.appender.clone(), process.state.clone())
}

fn engine(agent: &str) -> Value {
    json!({"domain": "d1", "agent": agent, "models": ["m"], "adapters": ["x"]})
}

// Two operators read the same generation and change it through different entries concurrently. If
// both changes succeeded, one operator would not notice that the other's change is in effect.
#[tokio::test(start_paused = true)]
async fn one_of_two_operators_succeeds_and_the_other_learns_its_author() {
    let log = MemoryLog::new();
    log.set_delay(Duration::from_millis(50));
    let a = Process::<Config>::start(&log, "entry-a", CONFIG_STREAM);
    let b = Process::<Config>::start(&log, "entry-b", CONFIG_STREAM);
    let model = |tokens: u32| resource(Kind::Model, "m", json!({"context_tokens": tokens}));
    let (one, two) = (model(1_000), model(2_000));
    let (registry_a, registry_b) = (registry(&a), registry(&b));
    let (ana, boris) = tokio::join!(
        registry_a.apply("ana", &one, Some(0)),
        registry_b.apply("boris", &two, Some(0)),
    );
    let (accepted, rejected, winner) = match (ana, boris) {
        (Ok(accepted), Err(rejected)) => (accepted, rejected, "ana"),
        (Err(rejected), Ok(accepted)) => (accepted, rejected, "boris"),
        both => panic!("{both:?}"),
    };
    assert_eq!(accepted.generation, 1);
    assert!(
        matches!(&rejected, Error::Conflict { detail } if detail.contains(winner)),
        "{rejected}"
    );
}

// The reply to an operator's change is lost. The change takes effect once, and the operator gets
// its generation.
#[tokio::test(start_paused = true)]
async fn change_with_a_lost_reply_is_accepted_once() {
    let log = MemoryLog::new();
    let a = Process::<Config>::start(&log, "entry-a", CONFIG_STREAM);
    log.lose_replies(1);
    let accepted = registry(&a).apply("ana", &resource(Kind::Model, "m", json!({})), None).await;
    assert_eq!(accepted.expect("settled").generation, 1);
    assert_eq!(a.state.borrow().audit().count(), 1);
}

// An operator publishes a resource that refers to a missing one. It is refused with the field's
// path before it is appended, and by each reader if it is appended nevertheless.
#[tokio::test(start_paused = true)]
async fn invalid_resource_is_refused_before_the_append_and_by_each_reader() {
    let log = MemoryLog::new();
    let mut a = Process::<Config>::start(&log, "entry-a", CONFIG_STREAM);
    let adapter = json!({"model": "m", "artifact": "x-1"});
    let early = resource(Kind::Adapter, "x", adapter.clone());
    let refused = registry(&a).apply("ana", &early, None).await;
    let refused = refused.expect_err("there is no model").to_string();
    assert_eq!(refused, "spec.model: there is no Model `m`");
    assert_eq!(log.appends(), 0);
    let body = change(Kind::Adapter, "x", Some(adapter), None);
    let at = a.appender.append(CONFIG_STREAM, body).await.expect("the log is up").offset;
    let config = a.read_to(at + 1).await;
    assert!(config.get(Kind::Adapter, "x").is_none());
    insta::assert_debug_snapshot!(config.outcome(at).map(|audit| &audit.outcome), @r#"
    Some(
        Err(
            Invalid(
                "spec.model: there is no Model `m`",
            ),
        ),
    )
    "#);
}

// A referenced resource cannot be deleted, two callers cannot have the same token, and two targets
// cannot have the same agent: otherwise the fault would show only in the requests of callers.
#[test]
fn rules_between_resources_hold() {
    let adapter = |model| json!({"model": model, "artifact": "x-1"});
    let bodies = [
        change(Kind::Model, "m", Some(json!({})), None),
        change(Kind::Model, "n", Some(json!({})), None),
        change(Kind::Adapter, "x", Some(adapter("m")), None),
        change(Kind::Version, "v", Some(adapter("m")), None),
        change(Kind::Target, "engine-1", Some(engine("h:1")), None),
        change(Kind::Target, "engine-2", Some(engine("h:1")), None),
        change(Kind::Adapter, "x", Some(adapter("n")), None),
        change(Kind::Model, "n", Some(json!({"version": "v"})), None),
        change(Kind::Model, "m", None, None),
        change(Kind::Adapter, "x", None, None),
        change(Kind::Caller, "one", Some(json!({})), None),
        change(Kind::Caller, "two", Some(json!({})), None),
        change(Kind::Policy, "p", Some(json!({"roles": {"engine-9": "decode"}})), None),
    ];
    let records = bodies.map(|body| record("ana", body));
    let config: Config = fold(&records);
    let outcomes = config.audit().map(|audit| match &audit.outcome {
        Ok(generation) => format!("{} {}: generation {generation}", audit.kind, audit.name),
        Err(refusal) => format!("{} {}: {refusal}", audit.kind, audit.name),
    });
    insta::assert_snapshot!(outcomes.collect::<Vec<_>>().join("\n"));
}

// An operator prepares a change for a resource that another one deletes and creates again. If the
// generations started again, the change could match the new resource by coincidence.
#[test]
fn reused_name_continues_its_generations() {
    let model = |tokens: u32| Some(json!({"context_tokens": tokens}));
    let records = [
        change(Kind::Model, "m", model(1), Some(0)),
        change(Kind::Model, "m", None, Some(1)),
        change(Kind::Model, "m", model(2), Some(0)),
        change(Kind::Model, "m", model(3), Some(1)),
    ]
    .map(|body| record("ana", body));
    let config: Config = fold(&records);
    let model = config.get(Kind::Model, "m").expect("the model is in effect");
    assert_eq!((model.generation, model.offset), (3, 2));
}
