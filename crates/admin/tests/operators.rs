//! What operators are told, over a real socket of the administration API.

use admin::{Client, Context, Error, Fleet, Process, ProcessKind, Server, TokenCheck};
use async_trait::async_trait;
use conf::{Kind, Resource};
use fake::MemoryLog;
use serde_json::json;
use state::{Appender, Config, Follower, Registry, System};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// A fleet of one agent whose state the test sets.
#[derive(Clone)]
struct One(Arc<Mutex<Process>>);

#[async_trait]
impl Fleet for One {
    async fn processes(&self) -> Vec<Process> {
        vec![self.0.lock().expect("no test panics while it holds it").clone()]
    }

    async fn explain(&self, request: &str) -> Option<Vec<String>> {
        (request == "r1").then(|| vec!["sent to engine-1".to_owned()])
    }

    fn metrics(&self) -> String {
        "entry_open 0\n".to_owned()
    }
}

struct Desk {
    address: String,
    log: MemoryLog,
    agent: One,
}

/// SHA-256 of `dev-token`.
const DIGEST: &str = "c91cbbedf8c712e8e2b7517ddeca8fe4fde839ebd8339e0b2001363002b37712";

async fn desk(token: TokenCheck) -> Desk {
    let log = MemoryLog::new();
    let shared = Arc::new(log.clone());
    let config = Follower::<Config>::new(shared.clone(), plat::CONFIG_STREAM.into());
    let system = Follower::<System>::new(shared.clone(), plat::SYSTEM_STREAM.into());
    let registry = Registry::new(Appender::new(shared, "entry-1".into()), config.state());
    let agent = One(Arc::new(Mutex::new(Process {
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
    Desk { address, log, agent }
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

// Someone finds the operators' port and changes a resource. Without the token nothing may be read
// or changed; an empty digest lets nobody in where others than this machine's users could be.
#[tokio::test]
async fn calls_without_the_token_are_refused() {
    let desk = desk(TokenCheck::Digest(DIGEST.into())).await;
    for token in ["", "wrong", "dev-token2"] {
        let client = Client::new(&desk.address, token, "eve");
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
    assert_eq!(desk.log.appends(), 0);
    let client = Client::new(&desk.address, "dev-token", "ana");
    assert_eq!(client.apply(&model(1), Some(0)).await.map_err(title).map(|a| a.generation), Ok(1));
    assert!(matches!(TokenCheck::for_address("127.0.0.1:1", ""), TokenCheck::Open));
    assert!(matches!(TokenCheck::for_address("10.0.0.1:1", ""), TokenCheck::Digest(_)));
}

// Two operators change one model at the same time, both from generation 1. One must win, and the
// other must learn who was faster instead of undoing that change unseen.
#[tokio::test]
async fn of_two_operators_who_race_one_wins_and_the_other_is_told_who() {
    let desk = desk(TokenCheck::Open).await;
    let (ana, ben) = (Client::new(&desk.address, "", "ana"), Client::new(&desk.address, "", "ben"));
    ana.apply(&model(1), Some(0)).await.expect("the name is free");
    let (theirs, ours) = (model(2), model(3));
    let raced = tokio::join!(ana.apply(&theirs, Some(1)), ben.apply(&ours, Some(1)));
    let (winner, loser) = match raced {
        (Ok(_), Err(loser)) => ("ana", loser),
        (Err(loser), Ok(_)) => ("ben", loser),
        both => panic!("exactly one wins: {both:?}"),
    };
    let told = loser.to_string();
    assert!(told.contains("conflict") && told.contains(winner), "{told}");
    let trail = ana.audit(0, 0, Duration::ZERO).await.expect("the trail can be read");
    let outcomes: Vec<_> =
        trail.acts.iter().map(|act| act.outcome.starts_with("accepted")).collect();
    assert_eq!(outcomes, [true, true, false]);
}

// An agent is cut off and works on with an old configuration. The operator must see that the
// change is not in force everywhere, and which process lags.
#[tokio::test]
async fn a_change_is_in_force_only_once_each_process_says_so() {
    let desk = desk(TokenCheck::Open).await;
    let client = Client::new(&desk.address, "", "ana");
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
            let mut agent = desk.agent.0.lock().expect("no test panics while it holds it");
            agent.config_offset = config_offset;
            agent.age = seconds.map(Duration::from_secs);
            agent.accepting = true;
        }
        let status = client.get(Kind::Model, "m").await.expect("it is there").status;
        seen.push((status.observed_generation, status.lagging, status.conditions[1].met));
    }
    let lags = || vec![compact_str::CompactString::from("agent engine-1")];
    let late = || (0, lags(), false);
    assert_eq!(seen, [late(), late(), late(), (1, Vec::new(), true)]);
}

#[tokio::test]
async fn wrong_calls_are_told_what_is_wrong() {
    let desk = desk(TokenCheck::Open).await;
    let client = Client::new(&desk.address, "", "ana");
    let target = json!({"domain": "d", "agent": "10.0.0.1:1", "models": ["gone"]});
    let mut target = Resource { kind: Kind::Target, name: "t".into(), spec: target };
    let mut told = vec![client.apply(&target, None).await.map(drop)];
    target.spec = json!({"domain": "d", "agnt": "10.0.0.1:1"});
    told.push(client.apply(&target, None).await.map(drop));
    target.spec = json!({"domain": "x".repeat(300 * 1024)});
    told.push(client.apply(&target, None).await.map(drop));
    told.push(client.delete(Kind::Model, "m", None).await.map(drop));
    told.push(client.get(Kind::Model, "m").await.map(drop));
    told.push(client.explain("r2").await.map(drop));
    desk.log.set_out(true);
    told.push(client.apply(&model(1), None).await.map(drop));
    let told: Vec<_> = told
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
    assert_eq!(desk.log.appends(), 0);
    insta::assert_snapshot!(told.join("\n"));
}

#[tokio::test]
async fn the_audit_trail_waits_for_news() {
    let desk = desk(TokenCheck::Open).await;
    let client = Client::new(&desk.address, "", "ana");
    client.apply(&model(1), Some(0)).await.expect("the log is up");
    let first = client.audit(0, 0, Duration::ZERO).await.expect("the trail can be read");
    let follower = client.clone();
    let news = tokio::spawn(async move {
        follower.audit(first.config_end, first.system_end, Duration::from_secs(10)).await
    });
    client.delete(Kind::Model, "m", Some(1)).await.expect("nothing refers to it");
    let news = news.await.expect("the task ends").expect("the trail can be read");
    let lines = news.acts.iter().map(|act| format!("{} {} {}", act.author, act.what, act.outcome));
    assert_eq!(lines.collect::<Vec<_>>(), ["ana delete accepted as generation 2"]);
}
