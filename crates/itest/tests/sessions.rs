//! Snapshot tests of whole sessions; their transcripts are the same, byte for byte, on each run.

use bytes::Bytes;
use conf::Kind;
use itest::{Answer, Fleet, MODEL, Transcript, agent_address, send};
use serde_json::{Value, json};
use state::config::AuditEntry;
use std::sync::Arc;
use std::time::Duration;

/// A caller of a session; it records its requests and responses in the transcript.
#[derive(Clone)]
struct SessionCaller {
    name: &'static str,
    entry: Arc<entry::Entry>,
    transcript: Transcript,
}

impl SessionCaller {
    fn new(name: &'static str, entry: &Arc<entry::Entry>, transcript: &Transcript) -> Self {
        Self { name, entry: entry.clone(), transcript: transcript.clone() }
    }

    /// Returns the same caller with another entry.
    fn through(&self, entry: &Arc<entry::Entry>) -> Self {
        Self { entry: entry.clone(), ..self.clone() }
    }

    /// Sends a chat completion request, waits for the streamed answer and records it.
    async fn ask(&self, question: &str, tokens: u32, urgent: bool) -> Answer {
        let answer = self.send_question(question, tokens, urgent).await;
        self.transcript.received(self.name, &answer);
        answer
    }

    /// Sends several requests at once; the answers are recorded in the requests' order, since the
    /// order in which they end within a millisecond is not deterministic.
    async fn ask_all(&self, questions: Vec<String>, tokens: u32, urgent: bool) {
        let asking = questions.into_iter().map(|question| {
            let caller = self.clone();
            tokio::spawn(async move { caller.send_question(&question, tokens, urgent).await })
        });
        for asking in asking.collect::<Vec<_>>() {
            let answer = asking.await.expect("the request task ends");
            assert_eq!((answer.status, answer.cut), (200, false));
            self.transcript.received(self.name, &answer);
        }
    }

    async fn send_question(&self, question: &str, tokens: u32, urgent: bool) -> Answer {
        self.transcript.note(self.name, &format!("asks «{}»", shorten(question)));
        let body = json!({
            "model": MODEL, "stream": true, "max_tokens": tokens, "fake_tokens": tokens,
            "messages": [{"role": "user", "content": question}],
        });
        let mut request = http::Request::post("/v1/chat/completions");
        if urgent {
            request = request.header("x-urgency", "urgent");
        }
        let request = request.body(Bytes::from(body.to_string())).expect("the request is valid");
        send(&self.entry, request).await
    }

    /// Calls a plain service with an idempotency key, waits for the response and records it.
    async fn call(&self, path: &str, key: &str, body: Value) -> Answer {
        self.transcript.note(self.name, &format!("calls {path} {body} with key {key}"));
        let request = http::Request::post(path).header("idempotency-key", key);
        let request = request.body(Bytes::from(body.to_string())).expect("the request is valid");
        let answer = send(&self.entry, request).await;
        self.transcript.received(self.name, &answer);
        answer
    }
}

/// Shortens a long text.
fn shorten(text: &str) -> String {
    const CHARS: usize = 60;
    let short: String = text.chars().take(CHARS).collect();
    if short.len() < text.len() { format!("{short}…") } else { short }
}

/// The audit trail from offset `from`, which leaves out the changes that set the fleet up.
fn audit(entry: &entry::Entry, from: u64) -> Vec<String> {
    let config = entry.config().borrow().clone();
    let later = config.audit().filter(|audit| audit.offset >= from);
    later.map(line).collect()
}

fn line(audit: &AuditEntry) -> String {
    let AuditEntry { offset, author, kind, name, .. } = audit;
    let outcome = match &audit.outcome {
        Ok(generation) => format!("accepted as generation {generation}"),
        Err(refusal) => format!("refused: {refusal}"),
    };
    let before = audit.before.as_deref().unwrap_or("nothing");
    let after = audit.after.as_deref().unwrap_or("nothing");
    format!(
        "record {offset} by {author}: {kind} {name}: {outcome}\n    from {before}\n    to   {after}"
    )
}

/// Metrics about responses, without those that are 0.
fn metrics(entry: &entry::Entry) -> Vec<String> {
    const NAMES: [&str; 4] = ["goodput", "refus", "resume", "attempts"];
    let text = entry.metrics();
    let values = text.lines().filter(|line| !line.starts_with('#'));
    let shown = values.filter(|line| NAMES.iter().any(|name| line.contains(name)));
    let mut shown: Vec<_> = shown.filter(|line| !line.ends_with(" 0")).map(str::to_owned).collect();
    shown.sort();
    shown
}

/// How often each call ran at the service's instances.
fn runs(services: &[fake::MemoryService]) -> Vec<String> {
    let all = services.iter().flat_map(|service| service.runs());
    let mut lines: Vec<_> = all.map(|(call, runs)| format!("{runs} x {call}")).collect();
    lines.sort();
    lines
}

/// The orders that took effect, without their fencing tokens, which lease renewals also advance.
fn orders(engines: &[(String, fake::MemoryEngine)]) -> Vec<String> {
    let all = engines.iter().flat_map(|(name, engine)| {
        engine.orders().into_iter().map(move |(_, order)| format!("{name}: {order:?}"))
    });
    all.collect()
}

#[tokio::test(start_paused = true)]
async fn calls_are_idempotent_and_streams_survive_a_drain() {
    let fleet = Fleet::new().await;
    let mut agents = Vec::new();
    let mut ledgers = Vec::new();
    for number in 1..=14 {
        let domain = format!("sofia-{}", number % 3 + 1);
        let (_, agent) = fleet.add_engine(&format!("engine-{number}"), &domain).await;
        agents.push(agent);
    }
    for number in 1..=3 {
        let (name, domain) = (format!("ledger-{number}"), format!("sofia-{number}"));
        let (ledger, agent) = fleet.add_service("ledger", &name, &domain, false).await;
        ledgers.push(ledger);
        agents.push(agent);
    }
    let first = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    let second = Arc::new(fleet.start_entry("entry-2", "sofia-2"));
    tokio::time::sleep(Duration::from_secs(10)).await;
    let from = first.config().borrow().end();

    let transcript = Transcript::begin();
    let desk = SessionCaller::new("finance desk", &first, &transcript);
    let bank = SessionCaller::new("settlement bank", &second, &transcript);
    desk.ask("Why is the subsidiary in Plovdiv overdrawn?", 6, false).await;
    bank.call("/services/ledger/sweeps", "sweep-0930", json!({"from": "plovdiv"})).await;

    transcript.note("fault", "the next reply of the ledger is lost after it ran");
    ledgers.iter().for_each(|ledger| ledger.lose_replies(1));
    let transfer = json!({"amount": 250_000, "to": "header"});
    desk.call("/services/ledger/transfers", "transfer-7", transfer.clone()).await;
    ledgers.iter().for_each(|ledger| ledger.lose_replies(0));
    desk.through(&second).call("/services/ledger/transfers", "transfer-7", transfer).await;
    bank.call("/services/ledger/sweeps", "sweep-0930", json!({"from": "plovdiv"})).await;
    bank.call("/services/ledger/sweeps", "sweep-0930", json!({"from": "varna"})).await;

    let asking = tokio::spawn({
        let desk = desk.clone();
        async move { desk.ask("What breaches the liquidity limit before the cut-off?", 400, true).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    transcript.note("operator", "drains engine-2, engine-5 and engine-8");
    for number in [2, 5, 8] {
        let name = format!("engine-{number}");
        let domain = format!("sofia-{}", number % 3 + 1);
        let spec = json!({
            "models": [MODEL], "domain": domain, "agent": agent_address(&name), "phase": "leaving",
        });
        fleet.publish(Kind::Target, &name, spec).await;
    }
    let answer = asking.await.expect("the request task ends");
    assert!(!answer.cut);
    desk.ask("And tomorrow?", 5, false).await;
    transcript.note("operator", "writes a resource that breaks a rule");
    fleet.publish(Kind::Target, "engine-15", json!({"models": ["lapis-large"]})).await;
    tokio::time::sleep(Duration::from_secs(5)).await;

    transcript.section("Calls that ran", runs(&ledgers));
    transcript.section("Audit trail", audit(&first, from));
    transcript.section("Metrics of entry-1", metrics(&first));
    transcript.section("Metrics of entry-2", metrics(&second));
    insta::assert_snapshot!(transcript.text());
}

#[tokio::test(start_paused = true)]
async fn urgent_requests_are_served_during_bulk_prefill_and_a_role_change() {
    let fleet = Fleet::new().await;
    let mut agents = Vec::new();
    let mut tiles = Vec::new();
    let mut engines = Vec::new();
    for number in 1..=9 {
        let (name, domain) = (format!("engine-{number}"), format!("site-{}", number % 4 + 1));
        let (engine, agent) = fleet.add_engine(&name, &domain).await;
        engines.push((name, engine));
        agents.push(agent);
    }
    for number in 1..=4 {
        let (name, domain) = (format!("tiles-{number}"), format!("site-{number}"));
        let (tile, agent) = fleet.add_service("tiles", &name, &domain, false).await;
        tiles.push(tile);
        agents.push(agent);
    }
    let first = Arc::new(fleet.start_entry("entry-1", "site-1"));
    let second = Arc::new(fleet.start_entry("entry-2", "site-3"));
    tokio::time::sleep(Duration::from_secs(10)).await;
    let from = first.config().borrow().end();

    let transcript = Transcript::begin();
    let council = SessionCaller::new("village council", &first, &transcript);
    let rescue = SessionCaller::new("rescue coordinator", &second, &transcript);
    let volunteer = SessionCaller::new("volunteer", &first, &transcript);
    let metadata =
        "Survey LIDAR-2019, licence CC-BY, sensor notes: ".to_owned() + &"x".repeat(8_000);
    let surveys = (1..=40).map(|number| format!("{number}. Does it fit? {metadata}"));
    let surveys: Vec<String> = surveys.collect();
    let reading = tokio::spawn({
        let council = council.clone();
        async move { council.ask_all(surveys, 3, false).await }
    });
    tokio::time::sleep(Duration::from_millis(20)).await;
    transcript.note("alert", "an avalanche: replies are wanted at once");
    let slopes = ["north face", "east gully", "couloir"];
    let replies = slopes.map(|slope| format!("Which tiles cover the {slope}?"));
    rescue.ask_all(replies.to_vec(), 12, true).await;
    reading.await.expect("the request task ends");
    transcript.note("operator", "wants engine-1 for decoding");
    let spec = json!({
        "models": [MODEL], "domain": "site-2", "agent": agent_address("engine-1"), "role": "decode",
    });
    fleet.publish(Kind::Target, "engine-1", spec).await;
    tokio::time::sleep(Duration::from_secs(20)).await;
    rescue.ask("Is the ridge covered?", 10, true).await;

    transcript.note("fault", "the volunteer's weak signal loses the answer");
    volunteer.call("/services/tiles/fetch", "tile-7-42", json!({"tile": "7/42"})).await;
    volunteer
        .through(&second)
        .call("/services/tiles/fetch", "tile-7-42", json!({"tile": "7/42"}))
        .await;

    transcript.section("Calls that ran", runs(&tiles));
    transcript.section("Orders that engines carried out", orders(&engines));
    transcript.section("Audit trail", audit(&first, from));
    transcript.section("Metrics of entry-1", metrics(&first));
    transcript.section("Metrics of entry-2", metrics(&second));
    insta::assert_snapshot!(transcript.text());
}
