//! One attempt at the target, written straight down.

use crate::Backend;
use crate::session::Shared;
use compact_str::{CompactString, ToCompactString, format_compact};
use futures_util::StreamExt;
use target::{Engine, Error, Job, Output, Service};
use tokio::sync::mpsc;
use wire::{
    AttemptId, Body, Call, Delta, End, Event, EventKind, Finish, Frame, Head, Header, Part,
    Progress, Prompt, Refusal, Request, Submit, Work,
};

/// Sends the events of one attempt.
struct Reporter<'a> {
    shared: &'a Shared,
    attempt: AttemptId,
    outbox: &'a mpsc::Sender<Frame>,
}

impl Reporter<'_> {
    async fn send(&self, kind: EventKind) {
        let load = Some(self.shared.meter.load());
        let event = Event { attempt: self.attempt, load, kind: Some(kind) };
        // A closed connection ends the job by its token; there is nobody to tell.
        let _ = self.outbox.send(Frame::new(Body::Event(event))).await;
    }

    async fn refuse(&self, reason: &str, progress: Progress, detail: String) {
        let refusal = Refusal {
            reason: reason.to_owned(),
            progress: progress.into(),
            retry_after_ms: 0,
            detail,
        };
        self.send(EventKind::Refusal(refusal)).await;
    }

    async fn fail(&self, error: &Error) {
        let (reason, progress) = match error {
            Error::NotReached { .. } => ("target-down", Progress::NotRun),
            Error::Refused { .. } | Error::Fenced { .. } => ("target-refused", Progress::NotRun),
            Error::Broken { .. } => ("target-broken", Progress::Started),
        };
        self.refuse(reason, progress, error.to_string()).await;
    }
}

/// Runs an attempt to its end.
pub(crate) async fn run(shared: &Shared, submit: Submit, outbox: &mpsc::Sender<Frame>) {
    let reporter = Reporter { shared, attempt: submit.attempt, outbox };
    let request = submit.request.unwrap_or_default();
    match (&shared.backend, request.work.clone()) {
        (Backend::Engine(engine), Some(Work::Prompt(prompt))) => {
            generate(&reporter, engine.as_ref(), &request, prompt).await;
        }
        (Backend::Service(service), Some(Work::Call(call))) => {
            perform(&reporter, service.as_ref(), call).await;
        }
        _ => {
            let detail = "this target does other work".to_owned();
            reporter.refuse("wrong-target", Progress::NotRun, detail).await;
        }
    }
}

async fn generate(reporter: &Reporter<'_>, engine: &dyn Engine, request: &Request, prompt: Prompt) {
    let expected = u64::from(prompt.expected_tokens);
    let _share = reporter.shared.meter.add(u64::from(prompt.prompt_tokens), expected);
    let mut from_token = prompt.resume_tokens;
    let job = engine_job(reporter.attempt, request, prompt);
    let mut outputs = match engine.generate(job).await {
        Ok(outputs) => outputs,
        Err(error) => return reporter.fail(&error).await,
    };
    while let Some(output) = outputs.next().await {
        match output {
            Ok(Output::Text { text, tokens }) => {
                reporter.send(EventKind::Delta(Delta { from_token, tokens, text })).await;
                from_token += tokens;
            }
            Ok(Output::End { finish, usage }) => {
                let finish = match finish {
                    target::Finish::Stop => Finish::Stop,
                    target::Finish::Length => Finish::Length,
                };
                let end = End {
                    finish: finish.into(),
                    prompt_tokens: usage.prompt_tokens,
                    output_tokens: from_token,
                    cached_tokens: usage.cached_tokens,
                };
                return reporter.send(EventKind::End(end)).await;
            }
            Err(error) => return reporter.fail(&error).await,
        }
    }
    reporter.refuse("target-broken", Progress::Started, "the stream ended early".to_owned()).await;
}

fn engine_job(attempt: AttemptId, request: &Request, prompt: Prompt) -> Job {
    Job {
        id: format_compact!("{}.{attempt}", request.id),
        serve: served_name(&prompt),
        prompt: prompt.text,
        resume_text: prompt.resume_text,
        resume_tokens: prompt.resume_tokens,
        max_tokens: prompt.max_tokens,
        urgent: request.urgent,
        sampling: prompt.sampling,
    }
}

/// The name under which the engine serves what the prompt asks for.
fn served_name(prompt: &Prompt) -> CompactString {
    let mut name = prompt.model.to_compact_string();
    if !prompt.version.is_empty() {
        name = format_compact!("{name}@{}", prompt.version);
    }
    if !prompt.adapter.is_empty() {
        name = format_compact!("{name}+{}", prompt.adapter);
    }
    name
}

async fn perform(reporter: &Reporter<'_>, service: &dyn Service, call: Call) {
    let _share = reporter.shared.meter.add(0, 0);
    let headers = call.headers.into_iter().map(|header| target::Header {
        name: header.name.to_compact_string(),
        value: header.value,
    });
    let call = target::Call {
        method: call.method.to_compact_string(),
        path: call.path,
        headers: headers.collect(),
        body: call.body,
    };
    let mut response = match service.call(call).await {
        Ok(response) => response,
        Err(error) => return reporter.fail(&error).await,
    };
    let headers = response
        .headers
        .into_iter()
        .map(|header| Header { name: header.name.to_string(), value: header.value });
    let status = u32::from(response.status);
    let head = Head { status, headers: headers.collect(), replayed: false };
    reporter.send(EventKind::Head(head)).await;
    while let Some(part) = response.body.next().await {
        match part {
            Ok(bytes) => reporter.send(EventKind::Part(Part { bytes })).await,
            Err(error) => return reporter.fail(&error).await,
        }
    }
    reporter.send(EventKind::End(End::default())).await;
}
