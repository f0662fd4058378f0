//! Sends one request and follows it as its caller would, through one entry and then another.

use crate::answer::{Answer, Ending, ErrorBody};
use crate::client::{Client, Failure};
use crate::outcome::{Outcome, Sample};
use crate::{Arrival, Class, Mix};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::Instant;

/// What all requests of a run share.
pub(crate) struct Sender {
    pub(crate) client: Client,
    pub(crate) mix: Mix,
    pub(crate) entries: Vec<CompactString>,
    pub(crate) direct: Vec<CompactString>,
    /// Makes the run's idempotency keys differ from those of other runs.
    pub(crate) run: CompactString,
}

/// How long after its deadline a request may still be answered before it counts as unanswered.
const PATIENCE: Duration = Duration::from_secs(60);

/// How long a caller waits before it sends a request again.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// Length of one token of a prompt, in bytes, as the stand-in engine counts it.
const TOKEN_BYTES: usize = fake::TOKEN_BYTES;

/// The body of RFC 9457 problem details, as far as we read it.
#[derive(Deserialize)]
struct ProblemBody {
    title: CompactString,
    #[serde(default)]
    run: CompactString,
}

/// What one try of a request came to.
enum Try {
    Ended(Outcome),
    /// It may be sent again, and if it isn't, this is what became of it.
    Again(Outcome),
}

impl Sender {
    /// Sends a request and follows it to its end.
    pub(crate) async fn send(&self, arrival: Arrival) -> Sample {
        let begun = Instant::now();
        let class = &self.mix.classes[arrival.class];
        let mut sample = Sample::new();
        let limit = class.deadline + PATIENCE;
        let following = async {
            if class.is_call() {
                self.call(class, arrival, begun, &mut sample).await;
            } else {
                self.generate(class, arrival, begun, &mut sample).await;
            }
        };
        // What was noted until then stays; the outcome is that of no answer.
        let _ = tokio::time::timeout(limit, following).await;
        sample.whole = begun.elapsed();
        sample
    }

    /// Whether a request goes to a stand-in engine, past entries and agents.
    pub(crate) fn is_direct(&self, arrival: Arrival) -> bool {
        let call = self.mix.classes[arrival.class].is_call();
        !call && !self.direct.is_empty() && arrival.number % 2 == 1
    }

    /// The idempotency key of a call, which stands in its body too.
    pub(crate) fn key(&self, arrival: Arrival) -> CompactString {
        format_compact!("{}-{}", self.run, arrival.number)
    }

    async fn generate(&self, class: &Class, arrival: Arrival, begun: Instant, sample: &mut Sample) {
        let prompt = prompt(class, arrival);
        let sampling = Bytes::from(json!({"fake_tokens": arrival.output_tokens}).to_string());
        let whole = fake::answer(&prompt, &sampling, class.max_tokens);
        let mut answer = Answer::default();
        let mut turn = 0;
        loop {
            let tried = self.try_generate(class, arrival, turn, &prompt, &mut answer).await;
            let outcome = match tried {
                Try::Again(_) if turn < class.retries => None,
                Try::Again(outcome) => Some(outcome),
                Try::Ended(Outcome::Complete) if answer.text != whole => Some(Outcome::Torn),
                Try::Ended(outcome) => Some(outcome),
            };
            if let Some(outcome) = outcome {
                sample.outcome = outcome;
                break;
            }
            turn += 1;
            sample.retries += 1;
            sample.resumes += u32::from(!answer.last_id.is_empty());
            tokio::time::sleep(RETRY_WAIT).await;
        }
        sample.first = answer.times.first().map(|first| *first - begun);
        sample.gaps = answer.times.windows(2).map(|pair| pair[1] - pair[0]).collect();
        sample.tokens = u32::try_from(answer.times.len()).unwrap_or(u32::MAX);
    }

    async fn try_generate(
        &self,
        class: &Class,
        arrival: Arrival,
        turn: u32,
        prompt: &str,
        answer: &mut Answer,
    ) -> Try {
        let request = self.prompt_request(class, arrival, turn, prompt, &answer.last_id);
        let response = match self.client.send(request).await {
            Ok(response) => response,
            Err(Failure::Unreachable) => return Try::Again(Outcome::Unreachable),
            Err(Failure::Broken) => return Try::Again(cut("no-response")),
        };
        if response.status() != StatusCode::OK {
            return self.refused(response, answer).await;
        }
        match answer.read(response.into_body()).await {
            Ending::Done => Try::Ended(Outcome::Complete),
            Ending::Error { reason, run } if run == NOT_RUN && answer.text.is_empty() => {
                Try::Ended(Outcome::Refused(reason))
            }
            Ending::Error { reason, .. } => Try::Ended(Outcome::Cut(reason)),
            // Without an id the stream can't be resumed; a prompt may be sent again from its
            // beginning as long as nothing of an answer has been seen.
            Ending::Broken if answer.last_id.is_empty() && !answer.text.is_empty() => {
                Try::Ended(cut("broken-stream"))
            }
            Ending::Broken => Try::Again(cut("broken-stream")),
        }
    }

    async fn refused(&self, response: Response<Incoming>, answer: &Answer) -> Try {
        let status = response.status();
        let body = response.into_body().collect().await;
        let Ok(body) = body else { return Try::Again(cut("no-response")) };
        let (reason, run) = match serde_json::from_slice::<ErrorBody>(&body.to_bytes()) {
            Ok(body) => (body.error.code, body.error.run),
            Err(_) => (format_compact!("status-{}", status.as_u16()), CompactString::default()),
        };
        match (answer.text.is_empty(), run == NOT_RUN) {
            (false, _) => Try::Ended(Outcome::Cut(reason)),
            (true, true) => Try::Ended(Outcome::Refused(reason)),
            (true, false) => Try::Ended(Outcome::Unknown(reason)),
        }
    }

    fn prompt_request(
        &self,
        class: &Class,
        arrival: Arrival,
        turn: u32,
        prompt: &str,
        last_id: &str,
    ) -> Request<Full<Bytes>> {
        let mut body = json!({
            "model": self.mix.model, "prompt": prompt, "stream": true,
            "max_tokens": class.max_tokens, "fake_tokens": arrival.output_tokens,
        });
        let address = if self.is_direct(arrival) {
            body["request_id"] = json!(self.key(arrival));
            body["priority"] = json!(1);
            pick(&self.direct, arrival.number / 2 + u64::from(turn))
        } else {
            pick(&self.entries, arrival.number + u64::from(turn))
        };
        let uri = format!("http://{address}/v1/completions");
        let mut request = self.head("POST", &uri, class, arrival);
        if !last_id.is_empty() {
            request = request.header("last-event-id", last_id);
        }
        finish(request, &body)
    }

    async fn call(&self, class: &Class, arrival: Arrival, begun: Instant, sample: &mut Sample) {
        let key = self.key(arrival);
        let mut turn = 0;
        loop {
            let tried = self.try_call(class, arrival, turn, &key).await;
            match tried {
                Try::Again(_) if turn < class.retries => {}
                Try::Again(outcome) | Try::Ended(outcome) => {
                    sample.outcome = outcome;
                    break;
                }
            }
            turn += 1;
            sample.retries += 1;
            tokio::time::sleep(RETRY_WAIT).await;
        }
        sample.first = Some(begun.elapsed());
    }

    async fn try_call(&self, class: &Class, arrival: Arrival, turn: u32, key: &str) -> Try {
        let entry = pick(&self.entries, arrival.number + u64::from(turn));
        let path = class.path.trim_start_matches('/');
        let uri = format!("http://{entry}/services/{}/{path}", class.service);
        let request = self.head("POST", &uri, class, arrival).header("idempotency-key", key);
        let request = finish(request, &json!({"call": key}));
        let unknown = |reason| Try::Again(Outcome::Unknown(CompactString::const_new(reason)));
        let response = match self.client.send(request).await {
            Ok(response) => response,
            Err(Failure::Unreachable) => return Try::Again(Outcome::Unreachable),
            Err(Failure::Broken) => return unknown("no-response"),
        };
        let status = response.status();
        let kind = response.headers().get("content-type").map(|kind| kind.as_bytes().to_vec());
        let Ok(body) = response.into_body().collect().await else {
            return unknown("broken-response");
        };
        let body = body.to_bytes();
        if kind.as_deref() == Some(b"application/problem+json") {
            return problem(status, &body);
        }
        let own = serde_json::from_slice::<Value>(&body).is_ok_and(|answer| is_own(&answer, key));
        Try::Ended(if own { Outcome::Complete } else { Outcome::Torn })
    }

    fn head(
        &self,
        method: &str,
        uri: &str,
        class: &Class,
        arrival: Arrival,
    ) -> http::request::Builder {
        let deadline = class.deadline.as_millis().to_string();
        let mut request = Request::builder()
            .method(method)
            .uri(uri)
            .header("content-type", "application/json")
            .header("x-deadline-ms", deadline);
        let token = &self.mix.callers[arrival.caller].token;
        if !token.is_empty() {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        if class.urgent { request.header("x-urgency", "urgent") } else { request }
    }
}

/// What a caller is told of a request that has had no effect and won't have any.
const NOT_RUN: &str = "not-run";

/// What a refused call came to.
fn problem(status: StatusCode, body: &[u8]) -> Try {
    let Ok(problem) = serde_json::from_slice::<ProblemBody>(body) else {
        let reason = format_compact!("status-{}", status.as_u16());
        return Try::Again(Outcome::Unknown(reason));
    };
    if status == StatusCode::CONFLICT {
        return Try::Again(Outcome::Unknown(problem.title));
    }
    if problem.run == NOT_RUN {
        return Try::Ended(Outcome::Refused(problem.title));
    }
    Try::Again(Outcome::Unknown(problem.title))
}

/// Whether a stand-in service's answer is the one to the call with this key.
fn is_own(answer: &Value, key: &str) -> bool {
    let body = answer["body"].as_str().unwrap_or_default();
    let call = serde_json::from_str::<Value>(body).unwrap_or_default();
    call["call"] == key
}

fn cut(reason: &'static str) -> Outcome {
    Outcome::Cut(CompactString::const_new(reason))
}

fn finish(request: http::request::Builder, body: &Value) -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::from(body.to_string()));
    // The addresses were parsed before the run, and all headers are visible text.
    request.body(body).expect("the parts of the request were checked")
}

/// Picks an address; the lists that are asked from are never empty.
fn pick(addresses: &[CompactString], turn: u64) -> &CompactString {
    let count = u64::try_from(addresses.len()).unwrap_or(u64::MAX).max(1);
    let index = usize::try_from(turn % count).unwrap_or_default();
    &addresses[index]
}

/// The prompt of a request: the beginning it shares with others, its own number, and a filling.
fn prompt(class: &Class, arrival: Arrival) -> String {
    let length = usize::try_from(arrival.prompt_tokens).unwrap_or(usize::MAX) * TOKEN_BYTES;
    let mut text = String::with_capacity(length);
    if class.prefixes > 0 {
        /// The stand-in engine takes this many bytes as a prompt's beginning.
        const PREFIX_BYTES: usize = 64;
        let head = format!("{} {} ", class.name, arrival.prefix);
        text.push_str(&head.repeat(PREFIX_BYTES / head.len() + 1)[..PREFIX_BYTES]);
    }
    text.push_str(&arrival.number.to_compact_string());
    text.push(' ');
    text.push_str(&class.marker);
    while text.len() < length {
        text.push_str(" why");
    }
    text
}
