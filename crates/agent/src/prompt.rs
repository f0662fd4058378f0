//! One generation at the engine.

use crate::dispatcher::Turn;
use crate::health::State;
use crate::job::{Job, check_deadline, take_turn};
use crate::meter::Share;
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

/// Runs a prompt to the end of its answer.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    job: &mut Job,
    prompt: Prompt,
) -> Result<(), Refusal> {
    let Backend::Engine(engine) = &shared.backend else {
        return Err(not_run("wrong-target", "this target is no engine"));
    };
    let expected = prompt.expected_tokens.saturating_sub(prompt.resume_tokens);
    let cost = Cost::new(u64::from(prompt.prompt_tokens), u64::from(expected));
    check_deadline(shared, job, cost)?;
    let mut share = shared.meter.add(cost.prefill, cost.decode);
    let turn = fair_trial(shared, job, cost).await?;
    // Whoever moves streams pauses the dispatcher first, so none is missed in between.
    let moves = shared.moves.subscribe();
    share.start();
    let id = format_compact!("{}.{}", job.request.id, job.attempt);
    shared.answers.insert(&job.answer, id.clone());
    let incarnation = shared.health.incarnation();
    let run =
        Run { shared, engine: engine.as_ref(), job, id, moves, alone: turn.alone, incarnation };
    let (result, cache) = run.to_end(prompt, &mut share).await;
    shared.answers.finish(&job.answer, cache);
    if result.is_ok() && turn.alone {
        suspects::clear(shared, job.request.fingerprint);
    }
    result
}

/// Waits for a slot, alone if the request is a suspect; what was read from the log while it
/// waited counts too.
async fn fair_trial(shared: &Arc<Shared>, job: &mut Job, cost: Cost) -> Result<Turn, Refusal> {
    loop {
        let alone = match suspects::verdict(shared, job.request.fingerprint) {
            Verdict::Normal => false,
            Verdict::Alone | Verdict::Wait => true,
            Verdict::Refuse => {
                return Err(not_run("quarantined", "the request crashed the engines that ran it"));
            }
        };
        let turn = take_turn(shared, job, cost, alone).await?;
        let verdict = suspects::verdict(shared, job.request.fingerprint);
        if verdict == Verdict::Normal || (alone && verdict != Verdict::Refuse) {
            return Ok(turn);
        }
    }
}

/// A generation under way.
struct Run<'a> {
    shared: &'a Shared,
    engine: &'a dyn Engine,
    job: &'a Job,
    /// The job's id at the engine.
    id: CompactString,
    moves: tokio::sync::watch::Receiver<u64>,
    /// Whether nothing else runs beside it.
    alone: bool,
    /// The engine's incarnation when it began.
    incarnation: Option<u64>,
}

/// How long the engine may take to hand out or take a KV cache; longer costs more than reading
/// the prompt again.
const KV_TIME: Duration = Duration::from_secs(2);

impl Run<'_> {
    /// Generates until the end, unless the answer is abandoned or must move; a cache is returned
    /// if it was taken from the engine.
    async fn to_end(
        &self,
        prompt: Prompt,
        share: &mut Share<'_>,
    ) -> (Result<(), Refusal>, Option<Bytes>) {
        let mut moves = self.moves.clone();
        tokio::select! {
            result = self.generate(prompt, share) => (result, None),
            () = self.job.answer.abandoned() => {
                self.cancel().await;
                (Err(started("cancelled", "nobody waits for it")), None)
            }
            // The sender lives in `shared`, so this is a change.
            _ = moves.changed() => {
                let cache = self.export().await;
                self.cancel().await;
                (Err(started("draining", "the target is being taken out of service")), cache)
            }
        }
    }

    async fn generate(&self, prompt: Prompt, share: &mut Share<'_>) -> Result<(), Refusal> {
        let mut from_token = prompt.resume_tokens;
        if !prompt.kv_source.is_empty() {
            self.import(&prompt.kv_source).await;
        }
        let job = self.engine_job(prompt);
        let outputs = self.engine.generate(job).await;
        let mut outputs = match outputs {
            Ok(outputs) => outputs,
            Err(error) => return Err(self.failed(&error).await),
        };
        while let Some(output) = outputs.next().await {
            let output = match output {
                Ok(output) => output,
                Err(error) => return Err(self.failed(&error).await),
            };
            match output {
                Output::Text { text, tokens } => {
                    share.advance(tokens);
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
                self.job.answer.give_up();
                self.cancel().await;
                Err(started("slow-reader", "the caller took nothing for too long"))
            }
        }
    }

    /// What an error means; if the engine crashed, the request becomes a suspect first.
    async fn failed(&self, error: &target::Error) -> Refusal {
        if matches!(error, target::Error::Broken { .. })
            && let Some(crashed) = self.crashed().await
        {
            self.shared.metrics.suspicions.inc();
            let fingerprint = self.job.request.fingerprint;
            suspects::accuse(self.shared, fingerprint, crashed, self.alone).await;
        }
        self.shared.health.look();
        refusal::from_target(error)
    }

    /// The incarnation that crashed, if the engine is down or another one by now. A stream that
    /// breaks while the engine lives is no crash.
    async fn crashed(&self) -> Option<u64> {
        let before = self.incarnation;
        match self.shared.health.refresh(&self.shared.backend, &self.shared.target).await {
            State::Down => Some(before.unwrap_or_default()),
            State::Engine(status) => before.filter(|before| *before != status.incarnation),
            State::Service | State::Unknown => None,
        }
    }

    /// Stops the job at the engine too; without this it would go on generating for nobody.
    async fn cancel(&self) {
        if let Err(error) = self.engine.cancel(&self.id).await {
            log::warn!(job = self.id.as_str(), error:% = error; "cancel-failed");
        }
    }

    /// Hands the engine the KV cache of the target where the stream ran before, if it can be had.
    async fn import(&self, source: &str) {
        let request = &self.job.request.id;
        let Some(cache) = kv::fetch(self.shared, source, request).await else { return };
        let importing = self.engine.import_kv(&self.id, cache);
        match tokio::time::timeout(KV_TIME, importing).await {
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
        let exporting = self.engine.export_kv(&self.id);
        match tokio::time::timeout(KV_TIME, exporting).await {
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
        // After the first token the prompt has been read, which is all that was asked.
        let most = if prompt.prefill_only { prompt.resume_tokens + 1 } else { u32::MAX };
        target::Job {
            id: self.id.clone(),
            serve: served_name(&prompt),
            max_tokens: prompt.max_tokens.min(most),
            prompt: prompt.text,
            resume_text: prompt.resume_text,
            resume_tokens: prompt.resume_tokens,
            urgent: request.urgent,
            traceparent: request.traceparent.to_compact_string(),
            sampling: prompt.sampling,
        }
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
