//! One call to an instance of a plain service.

use crate::Backend;
use crate::job::{Job, acquire_slot, check_deadline};
use crate::refusal::{self, not_run, started};
use crate::shared::{CALL_TOKENS, Shared};
use compact_str::ToCompactString;
use futures_util::StreamExt;
use policy::estimate::Cost;
use std::sync::Arc;
use target::Service;
use wire::{Call, End, EventKind, Head, Header, Part, Progress, Refusal};

/// Executes a call and streams its response.
pub(crate) async fn run(shared: &Arc<Shared>, job: &mut Job, call: Call) -> Result<(), Refusal> {
    let Backend::Service(service) = &shared.backend else {
        return Err(not_run("wrong-target", "this target is no service"));
    };
    let cost = Cost::new(0, u64::from(CALL_TOKENS));
    check_deadline(shared, job, cost)?;
    let mut work = shared.meter.add(cost.prefill, cost.decode);
    let _slot = acquire_slot(shared, job, cost, false).await?;
    work.start();
    let result = tokio::select! {
        result = stream(service.as_ref(), job, call) => result,
        () = job.answer.detached() => Err(started("cancelled", "nobody waits for it")),
    };
    work.answered();
    result
}

/// Executes a call that may not be repeated and has no idempotency key. A refusal after the
/// dispatch reports the outcome as unknown.
pub(crate) async fn run_once(
    shared: &Arc<Shared>,
    job: &mut Job,
    call: Call,
) -> Result<(), Refusal> {
    run(shared, job, call).await.map_err(|refusal| match refusal.progress() {
        Progress::NotRun => refusal,
        // Without a key the outcome cannot be looked up later.
        Progress::Started | Progress::Unknown => {
            Refusal { progress: Progress::Unknown.into(), ..refusal }
        }
    })
}

/// Forwards the response part by part.
async fn stream(service: &dyn Service, job: &Job, call: Call) -> Result<(), Refusal> {
    let call = target_call(call, &job.request.traceparent);
    let response = service.call(call).await;
    let mut response = response.map_err(|error| refusal::from_target(&error))?;
    let head = head(response.status, &response.headers);
    push(job, EventKind::Head(head)).await?;
    while let Some(part) = response.body.next().await {
        let bytes = part.map_err(|error| refusal::from_target(&error))?;
        push(job, EventKind::Part(Part { bytes })).await?;
    }
    push(job, EventKind::End(End::default())).await
}

async fn push(job: &Job, kind: EventKind) -> Result<(), Refusal> {
    job.answer.push(kind).await.map_err(|_| {
        job.answer.discard_unread();
        started("slow-reader", "the caller took nothing for too long")
    })
}

/// Converts a call to the form that the service receives.
pub(crate) fn target_call(call: Call, traceparent: &str) -> target::Call {
    let headers = call.headers.into_iter().filter(|header| header.name != TRACEPARENT);
    let headers = headers.map(|header| target::Header {
        name: header.name.to_compact_string(),
        value: header.value,
    });
    let trace = (!traceparent.is_empty()).then(|| target::Header {
        name: TRACEPARENT.to_compact_string(),
        value: traceparent.to_owned().into(),
    });
    target::Call {
        method: call.method.to_compact_string(),
        path: call.path,
        headers: headers.chain(trace).collect(),
        body: call.body,
    }
}

const TRACEPARENT: &str = "traceparent";

/// Converts the head of a response to an event.
pub(crate) fn head(status: u16, headers: &[target::Header]) -> Head {
    let headers = headers
        .iter()
        .map(|header| Header { name: header.name.to_string(), value: header.value.clone() });
    Head { status: u32::from(status), headers: headers.collect(), replayed: false }
}
