//! A fleet of real processes that are killed, paused and replaced by process id. The tests assert
//! no timing, only the answers that callers received and how often calls were executed.

#[allow(dead_code, reason = "the tests of clients use more of it")]
mod fleet;

use conf::{Kind, settings::Backend};
use fleet::{Fleet, call, get, post, send, until};
use serde_json::{Value, json};

/// A streamed completion of `tokens` tokens.
fn completion(prompt: &str, tokens: u32) -> Value {
    json!({
        "model": "lapis-small", "prompt": prompt, "stream": true, "max_tokens": tokens,
        "fake_tokens": tokens,
    })
}

/// The text of a streamed answer, and whether it ended with `[DONE]`.
fn text_of(body: &str) -> (String, bool) {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let texts = data.clone().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let texts = texts.filter_map(|chunk| Some(chunk["choices"][0]["text"].as_str()?.to_owned()));
    (texts.collect(), data.clone().any(|line| line == "[DONE]"))
}

/// The number of times that the stand-in service executed the call with this body.
async fn runs(service: &str, body: &Value) -> u64 {
    let report = get(service, "/faults").await.expect("the stand-in answers").body;
    let report: Value = serde_json::from_str(&report).expect("the report is JSON");
    let runs = report["runs"].as_object().cloned().unwrap_or_default();
    let body = body.to_string();
    runs.iter().filter(|(name, _)| name.contains(&body)).filter_map(|(_, n)| n.as_u64()).sum()
}

async fn set_faults(address: &str, faults: Value) {
    let answer = post(address, "/faults", faults).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
}

async fn start_engine(fleet: &Fleet, name: &str) -> (fleet::Process, fleet::Process) {
    let (engine, address) = fleet.fake("engine").await;
    let agent = format!("agent-{name}");
    let (agent, listens) = fleet.agent(&agent, name, Backend::Engine, &address).await;
    let spec = json!({"domain": "domain-1", "agent": listens, "models": ["lapis-small"]});
    fleet.publish(Kind::Target, name, spec).await;
    (engine, agent)
}

// An engine's process is killed in the middle of an answer. The caller must receive one complete
// answer, equal to that of a single engine; the only visible effect may be a pause.
#[tokio::test]
async fn an_answer_whose_engine_is_killed_is_complete() {
    let fleet = Fleet::start("engine-killed").await;
    let (first, _first_agent) = start_engine(&fleet, "engine-1").await;
    let (entry, address) = fleet.entry("entry-1", &[]).await;
    let ready = completion("warm", 2);
    until("the model is served", || async {
        post(&address, "/v1/completions", ready.clone()).await.status == 200
    })
    .await;
    let whole = post(&address, "/v1/completions", completion("Why?", 600)).await;
    assert!(text_of(&whole.body).1, "{}", whole.body);

    let (_second, _second_agent) = start_engine(&fleet, "engine-2").await;
    let killed = tokio::spawn(async move {
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        first.signal("KILL");
    });
    let resumed = post(&address, "/v1/completions", completion("Why?", 600)).await;
    killed.await.expect("the engine was killed");
    assert!(!resumed.cut);
    assert_eq!(text_of(&resumed.body), text_of(&whole.body));
    drop(entry);
}

// An agent is killed after it sent a transfer of funds to the ledger and before the ledger
// answered. The caller receives the outcome `unknown`. A retry through another entry, when the
// ledger has a new agent, must not execute the transfer a second time.
#[tokio::test]
async fn a_transfer_whose_agent_is_killed_runs_once_and_stays_unknown() {
    let fleet = Fleet::start("agent-killed").await;
    let (_ledger, ledger) = fleet.fake("service").await;
    let (agent, listens) = fleet.agent("agent-1", "ledger-1", Backend::Service, &ledger).await;
    let spec = json!({"domain": "domain-1", "agent": listens, "service": "ledger"});
    fleet.publish(Kind::Target, "ledger-1", spec).await;
    let (_one, first) = fleet.entry("entry-1", &[]).await;
    let (_two, second) = fleet.entry("entry-2", &[]).await;
    until("the ledger answers", || async {
        call(&first, "/services/ledger/ping", "warm", json!(0)).await.status == 200
    })
    .await;

    set_faults(&ledger, json!({"delay_ms": 3_000})).await;
    let transfer = json!({"amount": 5, "to": "B"});
    let (path, key) = ("/services/ledger/transfers", "transfer-1");
    let calling = {
        let (first, transfer) = (first.clone(), transfer.clone());
        tokio::spawn(async move { call(&first, path, key, transfer).await })
    };
    until("the transfer has reached the ledger", || async { runs(&ledger, &transfer).await == 1 })
        .await;
    agent.signal("KILL");
    let answer = calling.await.expect("the caller is answered");
    assert!(answer.body.contains("\"run\":\"unknown\""), "{}", answer.body);

    set_faults(&ledger, json!({"delay_ms": 0})).await;
    let (_new, listens) = fleet.agent("agent-2", "ledger-1", Backend::Service, &ledger).await;
    let spec = json!({"domain": "domain-1", "agent": listens, "service": "ledger"});
    fleet.publish(Kind::Target, "ledger-1", spec).await;
    until("the new agent answers", || async {
        call(&second, "/services/ledger/ping", "warm-2", json!(0)).await.status == 200
    })
    .await;
    let retry = call(&second, path, key, transfer.clone()).await;
    assert!(retry.body.contains("\"run\":\"unknown\""), "{}", retry.body);
    assert_eq!(runs(&ledger, &transfer).await, 1);
}

// An agent is paused (its VM freezes), a new agent takes over its target, and later the old one
// continues, unaware of it. A transfer that was queued in the old agent must not be executed after
// the new agent has answered for its idempotency key.
#[tokio::test]
async fn a_paused_agent_that_continues_runs_nothing_twice() {
    let fleet = Fleet::start("agent-paused").await;
    let (_ledger, ledger) = fleet.fake("service").await;
    let (old, listens) = fleet.agent("agent-1", "ledger-1", Backend::Service, &ledger).await;
    let spec = json!({"domain": "domain-1", "agent": listens, "service": "ledger"});
    fleet.publish(Kind::Target, "ledger-1", spec).await;
    let (_entry, address) = fleet.entry("entry-1", &[]).await;
    until("the ledger answers", || async {
        call(&address, "/services/ledger/ping", "warm", json!(0)).await.status == 200
    })
    .await;

    old.signal("STOP");
    let transfer = json!({"amount": 7, "to": "C"});
    let (path, key) = ("/services/ledger/transfers", "transfer-2");
    let first = {
        let (address, transfer) = (address.clone(), transfer.clone());
        tokio::spawn(async move { call(&address, path, key, transfer).await })
    };
    let (_new, listens) = fleet.agent("agent-2", "ledger-1", Backend::Service, &ledger).await;
    let spec = json!({"domain": "domain-1", "agent": listens, "service": "ledger"});
    fleet.publish(Kind::Target, "ledger-1", spec).await;
    until("the new agent answers", || async {
        call(&address, "/services/ledger/ping", "warm-2", json!(0)).await.status == 200
    })
    .await;
    let first = first.await.expect("the caller is answered");
    let retry = call(&address, path, key, transfer.clone()).await;
    old.signal("CONT");
    let after = call(&address, path, key, transfer.clone()).await;
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let count = runs(&ledger, &transfer).await;
    let answers = [&first, &retry, &after].map(|answer| (answer.status, answer.body.clone()));
    assert!(count <= 1, "ran {count} times, {answers:?}");
    let answered = [&first, &retry, &after].into_iter().any(|answer| answer.status == 200);
    assert_eq!(answered, count == 1, "{answers:?}");
}

// An entry is killed in the middle of an answer. The caller retries through another entry with the
// last event id that it received. The rest must follow without loss or duplication.
#[tokio::test]
async fn an_answer_whose_entry_is_killed_is_resumed_through_another() {
    let fleet = Fleet::start("entry-killed").await;
    let (_engine, _agent) = start_engine(&fleet, "engine-1").await;
    let (one, first) = fleet.entry("entry-1", &[]).await;
    let (_two, second) = fleet.entry("entry-2", &[]).await;
    for address in [&first, &second] {
        until("the model is served", || async {
            post(address, "/v1/completions", completion("warm", 2)).await.status == 200
        })
        .await;
    }
    let whole = post(&second, "/v1/completions", completion("Go on?", 600)).await;
    let cut = {
        let first = first.clone();
        tokio::spawn(
            async move { post(&first, "/v1/completions", completion("Go on?", 600)).await },
        )
    };
    tokio::time::sleep(std::time::Duration::from_millis(700)).await;
    one.signal("KILL");
    let cut = cut.await.expect("the caller received a part");
    let last = cut.body.lines().rev().find_map(|line| line.strip_prefix("id: "));
    let last = last.expect("an event was received before the kill").to_owned();
    // An incomplete event at the end is dropped, as a caller's library would do; the caller then
    // resumes after the event before it.
    let (seen, _) = cut.body.rsplit_once(&format!("id: {last}\n")).expect("the id was found");
    let complete = cut.body.ends_with("\n\n");
    let (seen, from) = match complete {
        true => (cut.body.as_str(), last),
        false => {
            let before = seen.lines().rev().find_map(|line| line.strip_prefix("id: "));
            (seen, before.expect("more than one event was received").to_owned())
        }
    };
    let request = hyper::Request::post("/v1/completions").header("last-event-id", from);
    let rest = send(&second, request, completion("Go on?", 600)).await;
    let joined = text_of(seen).0 + &text_of(&rest.body).0;
    assert_eq!((joined, true), text_of(&whole.body), "{}", rest.body);
}

// The log is killed. Serving must continue with the configuration in effect, and an entry that
// starts meanwhile must get the configuration from an agent.
#[tokio::test]
async fn an_entry_that_starts_while_the_log_is_unavailable_serves() {
    let fleet = Fleet::start("log-killed").await;
    let (_engine, engine) = fleet.fake("engine").await;
    let (_agent, listens) = fleet.agent("agent-1", "engine-1", Backend::Engine, &engine).await;
    let spec = json!({"domain": "domain-1", "agent": listens, "models": ["lapis-small"]});
    fleet.publish(Kind::Target, "engine-1", spec).await;
    let (_one, first) = fleet.entry("entry-1", &[]).await;
    until("the model is served", || async {
        post(&first, "/v1/completions", completion("warm", 2)).await.status == 200
    })
    .await;
    fleet.log.signal("KILL");
    let (_two, second) = fleet.entry("entry-2", &[&listens]).await;
    for address in [&first, &second] {
        let answer = post(address, "/v1/completions", completion("Still there?", 20)).await;
        assert!(text_of(&answer.body).1, "{}", answer.body);
    }
}

// An agent and an entry receive SIGTERM while answers are in progress. No answer may be cut off,
// and both processes must end by themselves with the exit code of a graceful stop.
#[tokio::test]
async fn graceful_stops_cut_no_answer() {
    let fleet = Fleet::start("graceful").await;
    let (_first, first_agent) = start_engine(&fleet, "engine-1").await;
    let (_second, _second_agent) = start_engine(&fleet, "engine-2").await;
    let (one, first) = fleet.entry("entry-1", &[]).await;
    let (_two, second) = fleet.entry("entry-2", &[]).await;
    for address in [&first, &second] {
        until("the model is served", || async {
            post(address, "/v1/completions", completion("warm", 2)).await.status == 200
        })
        .await;
    }
    let mut answers = tokio::task::JoinSet::new();
    for number in 0..8 {
        let address = if number % 2 == 0 { first.clone() } else { second.clone() };
        answers.spawn(async move {
            post(&address, "/v1/completions", completion(&format!("{number}?"), 700)).await
        });
    }
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    first_agent.signal("TERM");
    one.signal("TERM");
    while let Some(answer) = answers.join_next().await {
        let answer = answer.expect("the caller is answered");
        assert!(!answer.cut && text_of(&answer.body).1, "{} {}", answer.status, answer.body);
    }
    assert_eq!(first_agent.ended().await, Some(0));
    assert_eq!(one.ended().await, Some(0));
    let later = post(&second, "/v1/completions", completion("And now?", 5)).await;
    assert!(text_of(&later.body).1, "{}", later.body);
}
