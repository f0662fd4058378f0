//! One generation at the engine, from its admission to the last token.

use crate::dispatcher::SlotGuard;
use crate::health::State;
use crate::job::{Job, acquire_slot, check_deadline};
use crate::meter::TrackedWork;
use crate::refusal::{self, not_run, started};
use crate::shared::Shared;
use crate::{Backend, kv, suspects};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};
use futures_util::StreamExt;
use policy::estimate::Cost;
use policy::quarantine::Verdict;
use std::sync::Arc;
use std::time::Duration;
use target::{Engine, Output};
use wire::{Delta, End, EventKind, Finish, Prompt, Refusal};

/// Generates the answer to a prompt.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    job: &mut Job,
    prompt: Prompt,
) -> Result<(), Refusal> {
    let Backend::Engine(engine) = &shared.backend else {
        return Err(not_run("wrong-target", "this target is no engine"));
    };
    let output_tokens = prompt.expected_tokens.saturating_sub(prompt.resume_tokens);
    let cost = Cost::new(u64::from(prompt.prompt_tokens), u64::from(output_tokens));
    check_deadline(shared, job, cost)?;
    let mut work = shared.meter.add(cost.prefill, cost.decode);
    let slot = acquire_checked_slot(shared, job, cost).await?;
    // An order pauses the dispatcher before it migrates streams, so no migration is missed up to
    // here.
    let migrations = shared.migrations.subscribe();
    work.start();
    let id = format_compact!("{}.{}", job.request.id, job.attempt);
    shared.answers.insert(&job.answer, id.clone());
    let incarnation = shared.health.incarnation();
    let generation = Generation {
        shared,
        engine: engine.as_ref(),
        job,
        id,
        migrations,
        alone: slot.alone,
        incarnation,
    };
    let (result, cache) = generation.run(prompt, &mut work).await;
    shared.answers.finish(&job.answer, cache);
    if result.is_ok() && slot.alone {
        suspects::clear(shared, job.request.fingerprint);
    }
    result
}

/// Waits for a slot, and for the whole target if the request is a suspect. The verdict is checked
/// again once the slot is granted, since records may have been read from the log meanwhile.
async fn acquire_checked_slot(
    shared: &Arc<Shared>,
    job: &mut Job,
    cost: Cost,
) -> Result<SlotGuard, Refusal> {
    loop {
        let alone = match suspects::verdict(shared, job.request.fingerprint) {
            Verdict::Normal => false,
            Verdict::Alone | Verdict::Wait => true,
            Verdict::Refuse => {
                return Err(not_run("quarantined", "the request crashed the engines that ran it"));
            }
        };
        let slot = acquire_slot(shared, job, cost, alone).await?;
        let verdict = suspects::verdict(shared, job.request.fingerprint);
        if verdict == Verdict::Normal || (alone && verdict != Verdict::Refuse) {
            return Ok(slot);
        }
    }
}

/// A running generation.
struct Generation<'a> {
    shared: &'a Shared,
    engine: &'a dyn Engine,
    job: &'a Job,
    /// The job's id at the engine.
    id: CompactString,
    migrations: tokio::sync::watch::Receiver<u64>,
    /// Whether nothing else runs at the same time.
    alone: bool,
    /// The engine's incarnation when the generation started.
    incarnation: Option<u64>,
}

/// How long the export or import of a KV cache may take. Beyond that a new prefill of the prompt is
/// cheaper.
const KV_TIMEOUT: Duration = Duration::from_secs(2);

impl Generation<'_> {
    /// Generates to the end, unless the answer is abandoned or the stream is migrated. Returns the
    /// KV cache if it was exported from the engine.
    async fn run(
        &self,
        prompt: Prompt,
        work: &mut TrackedWork<'_>,
    ) -> (Result<(), Refusal>, Option<Bytes>) {
        let mut migrations = self.migrations.clone();
        tokio::select! {
            result = self.generate(prompt, work) => (result, None),
            () = self.job.answer.abandoned() => {
                self.cancel().await;
                (Err(started("cancelled", "nobody waits for it")), None)
            }
            // `shared` holds the sender, so this is a change and not the end of the channel.
            _ = migrations.changed() => {
                let cache = self.export().await;
                self.cancel().await;
                (Err(started("draining", "the target is being taken out of service")), cache)
            }
        }
    }

    async fn generate(&self, prompt: Prompt, work: &mut TrackedWork<'_>) -> Result<(), Refusal> {
        let mut from_token = prompt.resume_tokens;
        if !prompt.kv_source.is_empty() {
            self.import(&prompt.kv_source).await;
        }
        let job = self.engine_job(prompt);
        let outputs = self.engine.generate(job).await;
        let mut outputs = match outputs {
            Ok(outputs) => outputs,
            Err(error) => return Err(self.handle_error(&error).await),
        };
        while let Some(output) = outputs.next().await {
            let output = match output {
                Ok(output) => output,
                Err(error) => return Err(self.handle_error(&error).await),
            };
            match output {
                Output::Text { text, tokens } => {
                    work.advance(tokens);
                    self.shared.metrics.output_tokens.inc_by(u64::from(tokens));
                    self.push(EventKind::Delta(Delta { from_token, tokens, text })).await?;
                    from_token += tokens;
                }
                Output::End { finish, usage } => {
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
                    return self.push(EventKind::End(end)).await;
                }
            }
        }
        Err(started("target-broken", "the stream ended early"))
    }

    async fn push(&self, kind: EventKind) -> Result<(), Refusal> {
        match self.job.answer.push(kind).await {
            Ok(()) => Ok(()),
            Err(_) => {
                self.job.answer.discard_unread();
                self.cancel().await;
                Err(started("slow-reader", "the caller took nothing for too long"))
            }
        }
    }

    /// Returns the refusal for an error. If the engine crashed, the request is recorded as a
    /// suspect first.
    async fn handle_error(&self, error: &target::Error) -> Refusal {
        if matches!(error, target::Error::Broken { .. })
            && let Some(incarnation) = self.crashed_incarnation().await
        {
            self.shared.metrics.suspicions.inc();
            let fingerprint = self.job.request.fingerprint;
            suspects::record_crash(self.shared, fingerprint, incarnation, self.alone).await;
        }
        self.shared.health.request_check();
        refusal::from_target(error)
    }

    /// Returns the incarnation that crashed, if the engine is now down or has a new incarnation. A
    /// stream that breaks while the engine keeps running is not a crash.
    async fn crashed_incarnation(&self) -> Option<u64> {
        let before = self.incarnation;
        match self.shared.health.refresh(&self.shared.backend, &self.shared.target).await {
            State::Down => Some(before.unwrap_or_default()),
            State::Engine(status) => before.filter(|before| *before != status.incarnation),
            State::Service | State::Unknown => None,
        }
    }

    /// Cancels the job at the engine, which would otherwise generate to the end.
    async fn cancel(&self) {
        if let Err(error) = self.engine.cancel(&self.id).await {
            log::warn!(job = self.id.as_str(), error:% = error; "cancel-failed");
        }
    }

    /// Imports the KV cache from the target where the stream ran before, if it is available there.
    async fn import(&self, source: &str) {
        let request = &self.job.request.id;
        let Some(cache) = kv::fetch(self.shared, source, request).await else { return };
        let import = self.engine.import_kv(&self.id, cache);
        match tokio::time::timeout(KV_TIMEOUT, import).await {
            Ok(Ok(())) => {
                self.shared.metrics.kv_imports.inc();
                log::info!(request = request.as_str(), source = source; "kv-imported");
            }
            Ok(Err(error)) => {
                log::warn!(request = request.as_str(), error:% = error; "kv-import-failed");
            }
            Err(_) => log::warn!(request = request.as_str(); "kv-import-timeout"),
        }
    }

    async fn export(&self) -> Option<Bytes> {
        let export = self.engine.export_kv(&self.id);
        match tokio::time::timeout(KV_TIMEOUT, export).await {
            Ok(Ok(cache)) => Some(cache),
            Ok(Err(error)) => {
                log::warn!(job = self.id.as_str(), error:% = error; "kv-export-failed");
                None
            }
            Err(_) => None,
        }
    }

    fn engine_job(&self, prompt: Prompt) -> target::Job {
        let request = &self.job.request;
        // The first token ends the prefill, which is all that was requested.
        let max_tokens = if prompt.prefill_only { prompt.resume_tokens + 1 } else { u32::MAX };
        target::Job {
            id: self.id.clone(),
            serve: served_name(&prompt),
            max_tokens: prompt.max_tokens.min(max_tokens),
            prompt: prompt.text,
            resume_text: prompt.resume_text,
            resume_tokens: prompt.resume_tokens,
            urgent: request.urgent,
            traceparent: request.traceparent.to_compact_string(),
            sampling: prompt.sampling,
        }
    }
}

/// Returns the name under which the engine serves the requested model, version and adapter.
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
