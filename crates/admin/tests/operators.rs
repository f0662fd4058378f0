//! Responses of the administration API over a real socket.

use admin::{Client, Context, Error, Fleet, Process, ProcessKind, Server, TokenCheck};
use async_trait::async_trait;
use conf::{Kind, Resource};
use fake::MemoryLog;
use serde_json::json;
use state::{Appender, Config, Follower, Registry, System};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// A fleet of one agent whose status the test sets.
#[derive(Clone)]
struct OneAgent(Arc<Mutex<Process>>);

#[async_trait]
impl Fleet for OneAgent {
    async fn processes(&self) -> Vec<Process> {
        vec![self.0.lock().expect("no thread panics while it holds the lock").clone()]
    }

    async fn explain(&self, request: &str) -> Option<Vec<String>> {
        (request == "r1").then(|| vec!["sent to engine-1".to_owned()])
    }

    fn metrics(&self) -> String {
        "entry_open 0\n".to_owned()
    }
}

/// A running server with its log and fleet.
struct Setup {
    address: String,
    log: MemoryLog,
    agent: OneAgent,
}

/// SHA-256 of `dev-token`.
const DIGEST: &str = "c91cbbedf8c712e8e2b7517ddeca8fe4fde839ebd8339e0b2001363002b37712";

async fn start(token: TokenCheck) -> Setup {
    let log = MemoryLog::new();
    let shared = Arc::new(log.clone());
    let config = Follower::<Config>::new(shared.clone(), plat::CONFIG_STREAM.into());
    let system = Follower::<System>::new(shared.clone(), plat::SYSTEM_STREAM.into());
    let registry = Registry::new(Appender::new(shared, "entry-1".into()), config.state());
    let agent = OneAgent(Arc::new(Mutex::new(Process {
        kind: ProcessKind::Agent,
        name: "engine-1".into(),
        config_offset: None,
        age: None,
        accepting: false,
        role: "mixed".into(),
        serves: vec!["m".into()],
        running: 0,
        waiting: 0,
    })));
    let context = Context {
        name: "entry-1".into(),
        config: config.state(),
        system: system.state(),
        registry,
        fleet: Arc::new(agent.clone()),
    };
    tokio::spawn(config.run());
    tokio::spawn(system.run());
    let server = Server::bind("127.0.0.1:0", token, context).await.expect("loopback can be bound");
    let address = server.address().to_string();
    tokio::spawn(server.run(CancellationToken::new()));
    Setup { address, log, agent }
}

fn model(context_tokens: u32) -> Resource {
    let spec = json!({"context_tokens": context_tokens});
    Resource { kind: Kind::Model, name: "m".into(), spec }
}

fn title(error: Error) -> String {
    match error {
        Error::Refused { details, .. } => details.title.to_string(),
        Error::Exchange { detail, .. } => detail,
    }
}

// Someone without the token connects to the operators' port. Nothing may be read or changed;
// an empty digest accepts nobody on an address that other machines can reach.
#[tokio::test]
async fn calls_without_the_token_are_refused() {
    let setup = start(TokenCheck::Digest(DIGEST.into())).await;
    for token in ["", "wrong", "dev-token2"] {
        let client = Client::new(&setup.address, token, "eve");
        let refused = [
            client.apply(&model(1), None).await.map(drop),
            client.delete(Kind::Model, "m", None).await.map(drop),
            client.list(None).await.map(drop),
            client.audit(0, 0, Duration::ZERO).await.map(drop),
            client.fleet().await.map(drop),
            client.metrics().await.map(drop),
            client.explain("r1").await.map(drop),
        ];
        let titles = refused.map(|result| result.map_err(title));
        assert!(titles.iter().all(|title| *title == Err("unauthorized".to_owned())), "{titles:?}");
    }
    assert_eq!(setup.log.appends(), 0);
    let client = Client::new(&setup.address, "dev-token", "ana");
    assert_eq!(client.apply(&model(1), Some(0)).await.map_err(title).map(|a| a.generation), Ok(1));
    assert!(matches!(TokenCheck::for_address("127.0.0.1:1", ""), TokenCheck::Open));
    assert!(matches!(TokenCheck::for_address("10.0.0.1:1", ""), TokenCheck::Digest(_)));
}

// Two operators change one model at the same time, both from generation 1. Exactly one must
// succeed; the other must get a conflict that names the winner, instead of overwriting its change.
#[tokio::test]
async fn of_two_concurrent_changes_one_wins_and_the_conflict_names_its_author() {
    let setup = start(TokenCheck::Open).await;
    let (ana, ben) =
        (Client::new(&setup.address, "", "ana"), Client::new(&setup.address, "", "ben"));
    ana.apply(&model(1), Some(0)).await.expect("the name is free");
    let (theirs, ours) = (model(2), model(3));
    let raced = tokio::join!(ana.apply(&theirs, Some(1)), ben.apply(&ours, Some(1)));
    let (winner, loser) = match raced {
        (Ok(_), Err(loser)) => ("ana", loser),
        (Err(loser), Ok(_)) => ("ben", loser),
        both => panic!("exactly one wins: {both:?}"),
    };
    let error = loser.to_string();
    assert!(error.contains("conflict") && error.contains(winner), "{error}");
    let trail = ana.audit(0, 0, Duration::ZERO).await.expect("the trail can be read");
    let outcomes: Vec<_> =
        trail.entries.iter().map(|entry| entry.outcome.starts_with("accepted")).collect();
    assert_eq!(outcomes, [true, true, false]);
}

// An agent is disconnected and continues with an old configuration. The operator must see that the
// change is not in effect everywhere, and which process is lagging.
#[tokio::test]
async fn a_change_is_in_effect_only_once_each_process_has_reported_it() {
    let setup = start(TokenCheck::Open).await;
    let client = Client::new(&setup.address, "", "ana");
    let accepted = client.apply(&model(1), Some(0)).await.expect("the log is up");
    let mut seen = Vec::new();
    let states = [
        (None, None),
        (Some(accepted.offset), Some(0)),
        (Some(accepted.offset + 1), Some(60)),
        (Some(accepted.offset + 1), Some(0)),
    ];
    for (config_offset, seconds) in states {
        {
            let mut agent = setup.agent.0.lock().expect("no thread panics while it holds the lock");
            agent.config_offset = config_offset;
            agent.age = seconds.map(Duration::from_secs);
            agent.accepting = true;
        }
        let status = client.get(Kind::Model, "m").await.expect("the model exists").status;
        seen.push((status.observed_generation, status.lagging, status.conditions[1].met));
    }
    let lagging = || vec![compact_str::CompactString::from("agent engine-1")];
    let pending = || (0, lagging(), false);
    assert_eq!(seen, [pending(), pending(), pending(), (1, Vec::new(), true)]);
}

#[tokio::test]
async fn errors_of_wrong_calls_name_the_cause() {
    let setup = start(TokenCheck::Open).await;
    let client = Client::new(&setup.address, "", "ana");
    let target = json!({"domain": "d", "agent": "10.0.0.1:1", "models": ["gone"]});
    let mut target = Resource { kind: Kind::Target, name: "t".into(), spec: target };
    let mut results = vec![client.apply(&target, None).await.map(drop)];
    target.spec = json!({"domain": "d", "agnt": "10.0.0.1:1"});
    results.push(client.apply(&target, None).await.map(drop));
    target.spec = json!({"domain": "x".repeat(300 * 1024)});
    results.push(client.apply(&target, None).await.map(drop));
    results.push(client.delete(Kind::Model, "m", None).await.map(drop));
    results.push(client.get(Kind::Model, "m").await.map(drop));
    results.push(client.explain("r2").await.map(drop));
    setup.log.set_unavailable(true);
    results.push(client.apply(&model(1), None).await.map(drop));
    let messages: Vec<_> = results
        .into_iter()
        .map(|result| match result {
            Err(Error::Refused { details, .. }) => {
                format!(
                    "{} {} {:?}: {}",
                    details.status, details.title, details.field, details.detail
                )
            }
            other => format!("{other:?}"),
        })
        .collect();
    assert_eq!(setup.log.appends(), 0);
    insta::assert_snapshot!(messages.join("\n"));
}

#[tokio::test]
async fn the_audit_trail_waits_for_new_entries() {
    let setup = start(TokenCheck::Open).await;
    let client = Client::new(&setup.address, "", "ana");
    client.apply(&model(1), Some(0)).await.expect("the log is up");
    let first = client.audit(0, 0, Duration::ZERO).await.expect("the trail can be read");
    let follower = client.clone();
    let following = tokio::spawn(async move {
        follower.audit(first.config_end, first.system_end, Duration::from_secs(10)).await
    });
    client.delete(Kind::Model, "m", Some(1)).await.expect("nothing refers to it");
    let next = following.await.expect("the task ends").expect("the trail can be read");
    let lines = next
        .entries
        .iter()
        .map(|entry| format!("{} {} {}", entry.author, entry.what, entry.outcome));
    assert_eq!(lines.collect::<Vec<_>>(), ["ana delete accepted as generation 2"]);
}
