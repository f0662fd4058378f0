//! The fleet as real processes that are killed, paused and replaced by process id. Nothing here
//! asserts a timing: what counts is what callers received and how often calls ran.

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

/// The text of a streamed answer, and whether it ended as a whole one does.
fn text_of(body: &str) -> (String, bool) {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let texts = data.clone().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let texts = texts.filter_map(|chunk| Some(chunk["choices"][0]["text"].as_str()?.to_owned()));
    (texts.collect(), data.clone().any(|line| line == "[DONE]"))
}

/// How often the stand-in service ran the call with this body.
async fn runs(service: &str, body: &Value) -> u64 {
    let report = get(service, "/faults").await.expect("the stand-in answers").body;
    let report: Value = serde_json::from_str(&report).expect("the report is JSON");
    let runs = report["runs"].as_object().cloned().unwrap_or_default();
    let body = body.to_string();
    runs.iter().filter(|(name, _)| name.contains(&body)).filter_map(|(_, n)| n.as_u64()).sum()
}

async fn fault(address: &str, faults: Value) {
    let answer = post(address, "/faults", faults).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
}

async fn engine(fleet: &Fleet, name: &str) -> (fleet::Process, fleet::Process) {
    let (engine, address) = fleet.fake("engine").await;
    let agent = format!("agent-{name}");
    let (agent, listens) = fleet.agent(&agent, name, Backend::Engine, &address).await;
    let spec = json!({"domain": "domain-1", "agent": listens, "models": ["lapis-small"]});
    fleet.publish(Kind::Target, name, spec).await;
    (engine, agent)
}

// An engine's process is killed in the middle of an answer. The caller must see one whole answer,
// the same that a single engine would have given, and nothing of the loss but a pause.
#[tokio::test]
async fn an_engine_killed_in_the_middle_of_an_answer_is_not_noticed() {
    let fleet = Fleet::start("engine-killed").await;
    let (first, _first_agent) = engine(&fleet, "engine-1").await;
    let (entry, address) = fleet.entry("entry-1", &[]).await;
    let ready = completion("warm", 2);
    until("the model is served", || async {
        post(&address, "/v1/completions", ready.clone()).await.status == 200
    })
    .await;
    let whole = post(&address, "/v1/completions", completion("Why?", 600)).await;
    assert!(text_of(&whole.body).1, "{}", whole.body);

    let (_second, _second_agent) = engine(&fleet, "engine-2").await;
    let killed = tokio::spawn(async move {
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        first.signal("KILL");
    });
    let again = post(&address, "/v1/completions", completion("Why?", 600)).await;
    killed.await.expect("the engine was killed");
    assert!(!again.cut);
    assert_eq!(text_of(&again.body), text_of(&whole.body));
    drop(entry);
}

// An agent is killed after it handed a transfer to the ledger and before the ledger answered. The
// caller is told that the outcome is unknown; sent again through another entry, also once a new
// agent stands beside the ledger, the transfer must not move the funds a second time.
#[tokio::test]
async fn a_transfer_whose_agent_is_killed_runs_once_and_is_unknown_from_then_on() {
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

    fault(&ledger, json!({"delay_ms": 3_000})).await;
    let transfer = json!({"amount": 5, "to": "B"});
    let (path, key) = ("/services/ledger/transfers", "transfer-1");
    let calling = {
        let (first, transfer) = (first.clone(), transfer.clone());
        tokio::spawn(async move { call(&first, path, key, transfer).await })
    };
    until("the transfer has reached the ledger", || async { runs(&ledger, &transfer).await == 1 })
        .await;
    agent.signal("KILL");
    let told = calling.await.expect("the caller is answered");
    assert!(told.body.contains("\"run\":\"unknown\""), "{}", told.body);

    fault(&ledger, json!({"delay_ms": 0})).await;
    let (_new, listens) = fleet.agent("agent-2", "ledger-1", Backend::Service, &ledger).await;
    let spec = json!({"domain": "domain-1", "agent": listens, "service": "ledger"});
    fleet.publish(Kind::Target, "ledger-1", spec).await;
    until("the new agent answers", || async {
        call(&second, "/services/ledger/ping", "warm-2", json!(0)).await.status == 200
    })
    .await;
    let again = call(&second, path, key, transfer.clone()).await;
    assert!(again.body.contains("\"run\":\"unknown\""), "{}", again.body);
    assert_eq!(runs(&ledger, &transfer).await, 1);
}

// An agent is paused (its VM freezes), a new one takes its target over, and later the old one
// wakes up and goes on as if nothing had happened. A transfer that waited in it must not run after
// the new agent has answered for its key.
#[tokio::test]
async fn a_paused_agent_that_wakes_up_runs_nothing_twice() {
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
    let told = first.await.expect("the caller is answered");
    let again = call(&address, path, key, transfer.clone()).await;
    old.signal("CONT");
    let after = call(&address, path, key, transfer.clone()).await;
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let count = runs(&ledger, &transfer).await;
    let said = [&told, &again, &after].map(|answer| (answer.status, answer.body.clone()));
    assert!(count <= 1, "ran {count} times, {said:?}");
    let answered = [&told, &again, &after].into_iter().any(|answer| answer.status == 200);
    assert_eq!(answered, count == 1, "{said:?}");
}

// An entry is killed in the middle of an answer. The caller sends its request again through
// another entry with the last event id that it saw, and goes on from there: nothing is lost and
// nothing comes twice.
#[tokio::test]
async fn an_answer_whose_entry_is_killed_goes_on_through_another() {
    let fleet = Fleet::start("entry-killed").await;
    let (_engine, _agent) = engine(&fleet, "engine-1").await;
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
    let cut = cut.await.expect("the caller got a part");
    let last = cut.body.lines().rev().find_map(|line| line.strip_prefix("id: "));
    let last = last.expect("an event came before the kill").to_owned();
    // The piece behind the last event id is dropped, as a caller's library would drop a torn one.
    let (seen, _) = cut.body.rsplit_once(&format!("id: {last}\n")).expect("the id was found");
    let torn = cut.body.ends_with("\n\n");
    let (seen, from) = match torn {
        true => (cut.body.as_str(), last),
        false => {
            let before = seen.lines().rev().find_map(|line| line.strip_prefix("id: "));
            (seen, before.expect("more than one event came").to_owned())
        }
    };
    let request = hyper::Request::post("/v1/completions").header("last-event-id", from);
    let rest = send(&second, request, completion("Go on?", 600)).await;
    let joined = text_of(seen).0 + &text_of(&rest.body).0;
    assert_eq!((joined, true), text_of(&whole.body), "{}", rest.body);
}

// The log is killed. What is in force goes on being served, and an entry that starts meanwhile
// gets the configuration from an agent.
#[tokio::test]
async fn an_entry_that_starts_while_the_log_is_out_serves() {
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

// Every process is told to stop, one after another, while answers are under way. No answer may be
// cut, and each process ends by itself with the exit code of a graceful stop.
#[tokio::test]
async fn graceful_stops_cut_no_answer() {
    let fleet = Fleet::start("graceful").await;
    let (_first, first_agent) = engine(&fleet, "engine-1").await;
    let (_second, _second_agent) = engine(&fleet, "engine-2").await;
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
