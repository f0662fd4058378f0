//! Sends one request as a caller does, with retries through other entries.

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

/// State shared by all requests of a run.
pub(crate) struct Sender {
    pub(crate) client: Client,
    pub(crate) mix: Mix,
    pub(crate) entries: Vec<CompactString>,
    pub(crate) direct: Vec<CompactString>,
    /// Random prefix of idempotency keys, which distinguishes them from those of other runs.
    pub(crate) run: CompactString,
}

/// Time after its deadline at which a request without an answer counts as unanswered.
const ANSWER_GRACE: Duration = Duration::from_secs(60);

/// Delay before a retry.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// Length of one token of a prompt in bytes, as the stand-in engine counts it.
const TOKEN_BYTES: usize = fake::TOKEN_BYTES;

/// The fields used of an RFC 9457 problem details body.
#[derive(Deserialize)]
struct ProblemBody {
    title: CompactString,
    #[serde(default)]
    run: CompactString,
}

/// Result of one attempt of a request.
enum Attempt {
    /// The request ended with this outcome.
    Ended(Outcome),
    /// The request may be retried; without a retry it ends with this outcome.
    Retry(Outcome),
}

impl Sender {
    /// Sends a request, with its retries, and measures it.
    pub(crate) async fn send(&self, arrival: Arrival) -> Sample {
        let begun = Instant::now();
        let class = &self.mix.classes[arrival.class];
        let mut sample = Sample::new();
        let limit = class.deadline + ANSWER_GRACE;
        let following = async {
            if class.is_call() {
                self.call(class, arrival, begun, &mut sample).await;
            } else {
                self.generate(class, arrival, begun, &mut sample).await;
            }
        };
        // After a timeout the sample keeps its counts of retries and the outcome `Unanswered`.
        let _ = tokio::time::timeout(limit, following).await;
        sample.duration = begun.elapsed();
        sample
    }

    /// Whether a request is sent directly to a stand-in engine, bypassing entries and agents.
    pub(crate) fn is_direct(&self, arrival: Arrival) -> bool {
        let call = self.mix.classes[arrival.class].is_call();
        !call && !self.direct.is_empty() && arrival.number % 2 == 1
    }

    /// Idempotency key of a call, which its body contains too.
    pub(crate) fn key(&self, arrival: Arrival) -> CompactString {
        format_compact!("{}-{}", self.run, arrival.number)
    }

    async fn generate(&self, class: &Class, arrival: Arrival, begun: Instant, sample: &mut Sample) {
        let prompt = prompt(class, arrival);
        let sampling = Bytes::from(json!({"fake_tokens": arrival.output_tokens}).to_string());
        let expected = fake::answer(&prompt, &sampling, class.max_tokens);
        let mut answer = Answer::default();
        let mut attempt = 0;
        loop {
            let result =
                self.attempt_generation(class, arrival, attempt, &prompt, &mut answer).await;
            let outcome = match result {
                Attempt::Retry(_) if attempt < class.retries => None,
                Attempt::Retry(outcome) => Some(outcome),
                Attempt::Ended(Outcome::Complete) if answer.text != expected => {
                    Some(Outcome::Corrupt)
                }
                Attempt::Ended(outcome) => Some(outcome),
            };
            if let Some(outcome) = outcome {
                sample.outcome = outcome;
                break;
            }
            attempt += 1;
            sample.retries += 1;
            sample.resumes += u32::from(!answer.last_id.is_empty());
            tokio::time::sleep(RETRY_WAIT).await;
        }
        sample.first = answer.times.first().map(|first| *first - begun);
        sample.gaps = answer.times.windows(2).map(|pair| pair[1] - pair[0]).collect();
        sample.tokens = u32::try_from(answer.times.len()).unwrap_or(u32::MAX);
    }

    async fn attempt_generation(
        &self,
        class: &Class,
        arrival: Arrival,
        attempt: u32,
        prompt: &str,
        answer: &mut Answer,
    ) -> Attempt {
        let request = self.prompt_request(class, arrival, attempt, prompt, &answer.last_id);
        let response = match self.client.send(request).await {
            Ok(response) => response,
            Err(Failure::Unreachable) => return Attempt::Retry(Outcome::Unreachable),
            Err(Failure::Broken) => return Attempt::Retry(cut("no-response")),
        };
        if response.status() != StatusCode::OK {
            return self.refused_outcome(response, answer).await;
        }
        match answer.read(response.into_body()).await {
            Ending::Done => Attempt::Ended(Outcome::Complete),
            Ending::Error { reason, run } if run == NOT_RUN && answer.text.is_empty() => {
                Attempt::Ended(Outcome::Refused(reason))
            }
            Ending::Error { reason, .. } => Attempt::Ended(Outcome::Cut(reason)),
            // Without an event id the stream cannot be resumed; the prompt may be sent again from
            // its beginning only if no part of an answer was received.
            Ending::Broken if answer.last_id.is_empty() && !answer.text.is_empty() => {
                Attempt::Ended(cut("broken-stream"))
            }
            Ending::Broken => Attempt::Retry(cut("broken-stream")),
        }
    }

    async fn refused_outcome(&self, response: Response<Incoming>, answer: &Answer) -> Attempt {
        let status = response.status();
        let body = response.into_body().collect().await;
        let Ok(body) = body else { return Attempt::Retry(cut("no-response")) };
        let (reason, run) = match serde_json::from_slice::<ErrorBody>(&body.to_bytes()) {
            Ok(body) => (body.error.code, body.error.run),
            Err(_) => (format_compact!("status-{}", status.as_u16()), CompactString::default()),
        };
        match (answer.text.is_empty(), run == NOT_RUN) {
            (false, _) => Attempt::Ended(Outcome::Cut(reason)),
            (true, true) => Attempt::Ended(Outcome::Refused(reason)),
            (true, false) => Attempt::Ended(Outcome::Unknown(reason)),
        }
    }

    fn prompt_request(
        &self,
        class: &Class,
        arrival: Arrival,
        attempt: u32,
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
            pick(&self.direct, arrival.number / 2 + u64::from(attempt))
        } else {
            pick(&self.entries, arrival.number + u64::from(attempt))
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
        let mut attempt = 0;
        loop {
            let result = self.attempt_call(class, arrival, attempt, &key).await;
            match result {
                Attempt::Retry(_) if attempt < class.retries => {}
                Attempt::Retry(outcome) | Attempt::Ended(outcome) => {
                    sample.outcome = outcome;
                    break;
                }
            }
            attempt += 1;
            sample.retries += 1;
            tokio::time::sleep(RETRY_WAIT).await;
        }
        sample.first = Some(begun.elapsed());
    }

    async fn attempt_call(
        &self,
        class: &Class,
        arrival: Arrival,
        attempt: u32,
        key: &str,
    ) -> Attempt {
        let entry = pick(&self.entries, arrival.number + u64::from(attempt));
        let path = class.path.trim_start_matches('/');
        let uri = format!("http://{entry}/services/{}/{path}", class.service);
        let request = self.head("POST", &uri, class, arrival).header("idempotency-key", key);
        let request = finish(request, &json!({"call": key}));
        let unknown = |reason| Attempt::Retry(Outcome::Unknown(CompactString::const_new(reason)));
        let response = match self.client.send(request).await {
            Ok(response) => response,
            Err(Failure::Unreachable) => return Attempt::Retry(Outcome::Unreachable),
            Err(Failure::Broken) => return unknown("no-response"),
        };
        let status = response.status();
        let kind = response.headers().get("content-type").map(|kind| kind.as_bytes().to_vec());
        let Ok(body) = response.into_body().collect().await else {
            return unknown("broken-response");
        };
        let body = body.to_bytes();
        if kind.as_deref() == Some(b"application/problem+json") {
            return problem_outcome(status, &body);
        }
        let own =
            serde_json::from_slice::<Value>(&body).is_ok_and(|answer| is_answer_to(&answer, key));
        Attempt::Ended(if own { Outcome::Complete } else { Outcome::Corrupt })
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

/// Value of `run` in responses which guarantee that the request did not and will not run.
const NOT_RUN: &str = "not-run";

/// Outcome of a call that was answered with problem details.
fn problem_outcome(status: StatusCode, body: &[u8]) -> Attempt {
    let Ok(problem) = serde_json::from_slice::<ProblemBody>(body) else {
        let reason = format_compact!("status-{}", status.as_u16());
        return Attempt::Retry(Outcome::Unknown(reason));
    };
    if status == StatusCode::CONFLICT {
        return Attempt::Retry(Outcome::Unknown(problem.title));
    }
    if problem.run == NOT_RUN {
        return Attempt::Ended(Outcome::Refused(problem.title));
    }
    Attempt::Retry(Outcome::Unknown(problem.title))
}

/// Whether a stand-in service's answer belongs to the call with this key.
fn is_answer_to(answer: &Value, key: &str) -> bool {
    let body = answer["body"].as_str().unwrap_or_default();
    let call = serde_json::from_str::<Value>(body).unwrap_or_default();
    call["call"] == key
}

fn cut(reason: &'static str) -> Outcome {
    Outcome::Cut(CompactString::const_new(reason))
}

fn finish(request: http::request::Builder, body: &Value) -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::from(body.to_string()));
    // The addresses were parsed before the run, and all headers are printable text.
    request.body(body).expect("the parts of the request were checked")
}

/// Picks an address round-robin; the list must not be empty.
fn pick(addresses: &[CompactString], number: u64) -> &CompactString {
    let count = u64::try_from(addresses.len()).unwrap_or(u64::MAX).max(1);
    let index = usize::try_from(number % count).unwrap_or_default();
    &addresses[index]
}

/// Builds the prompt of a request: the prefix that it shares with others, its number, the marker
/// and filler up to its length.
fn prompt(class: &Class, arrival: Arrival) -> String {
    let length = usize::try_from(arrival.prompt_tokens).unwrap_or(usize::MAX) * TOKEN_BYTES;
    let mut text = String::with_capacity(length);
    if class.prefixes > 0 {
        /// Length of a prompt's prefix in the stand-in engine's prefix cache.
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
