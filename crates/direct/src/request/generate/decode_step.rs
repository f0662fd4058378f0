//! The second half of a generation: an engine decodes the output, which is forwarded to the caller.

use super::choose_decode_engine;
use super::prefill_step::{PromptState, record_prefill};
use super::resume::StreamResumer;
use crate::codec::{AttemptHead, Prompt, Step};
use crate::config::route::RetryPolicy;
use crate::request::attempts::Attempts;
use crate::request::context::RequestContext;
use crate::request::decode_placement;
use crate::request::dispatch;
use crate::request::permits::Permit;
use crate::request::relay::{ActiveAttempt, Source};
use crate::request::reservation::{self, Reservation};
use crate::request::response::Body;
use crate::request::trace::Trace;
use crate::targets::attempt::{Outcome, Responded};
use crate::targets::target::{Target, TransferDirection};
use http::Response;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Has an engine decode the output, and forwards it.
pub(super) async fn run(
    request: Arc<RequestContext>,
    prompt: Prompt,
    prompt_state: PromptState,
    trace: Trace,
) -> Response<Body> {
    let mut step =
        DecodeStep { request, prompt, prompt_state, trace, attempts: Attempts::default() };
    while let Some(ChosenEngine { engine, permit, reservation }) = step.next_engine().await {
        let (head, mut attempt) = step.prepare(&engine);
        attempt.reservation = reservation;
        let began = Instant::now();
        let outcome = dispatch::send(&step.request, &engine, &head, permit).await;
        step.trace.record_attempt("write", &engine.id, outcome.name(), began.elapsed());
        step.trace.record_expected_transfer(step.expected_transfer(&engine));
        step.record_transfer_time(&engine, &outcome, began.elapsed());
        let retry = step.attempts.record(&step.request, &engine, began, &outcome).await;
        match outcome {
            Outcome::Responded(responded) => return step.forward(responded, attempt),
            // The engine may have taken the KV cache.
            Outcome::Unknown(_) => step.prompt_state = PromptState::AnyEngine,
            Outcome::NotRun(_)
            | Outcome::NotSent(_)
            | Outcome::TimedOut
            | Outcome::Closed(_)
            | Outcome::Blocked => {}
        }
        if !retry {
            break;
        }
    }
    step.attempts.give_up(&step.request, &mut step.trace)
}

/// Prompts with fewer tokens are no measure of the link: the transfer of their KV cache takes a
/// fraction of a millisecond.
const MIN_TRANSFER_TOKENS: u32 = 1_024;

/// An engine chosen for decode.
struct ChosenEngine {
    engine: Arc<Target>,
    permit: Permit,
    reservation: Option<Reservation>,
}

/// A generation whose output is to be decoded.
struct DecodeStep {
    request: Arc<RequestContext>,
    prompt: Prompt,
    prompt_state: PromptState,
    trace: Trace,
    attempts: Attempts,
}

impl DecodeStep {
    /// The next engine to send the request to, if another attempt is allowed, with the slot
    /// reserved there, if any.
    async fn next_engine(&mut self) -> Option<ChosenEngine> {
        let reserved = self.reserve().await;
        let Self { request, prompt_state, attempts, .. } = self;
        let mut permit = reserved.as_ref().map(|reserved| reserved.permit).unwrap_or_default();
        let chosen = reserved.as_ref().map(|reserved| reserved.engine.clone());
        let engine = attempts.next_target(request, |tried| {
            chosen.or_else(|| match prompt_state {
                PromptState::Engine(placement)
                    if tried.is_empty() && request.required.allows(&placement.engine) =>
                {
                    permit = placement.permit;
                    Some(placement.engine.clone())
                }
                _ => {
                    let domain = prompt_state.preferred_domain(request);
                    choose_decode_engine(request, tried, domain, request.required)
                }
            })
        })?;
        Some(ChosenEngine {
            engine,
            permit,
            reservation: reserved.map(|reserved| reserved.reservation),
        })
    }

    /// Reserves a decode slot, unless the engine chosen for the prefill also decodes.
    async fn reserve(&self) -> Option<decode_placement::DecodePlacement> {
        let tried = &self.attempts.targets;
        if matches!(self.prompt_state, PromptState::Engine(_)) && tried.is_empty() {
            return None;
        }
        let placement = decode_placement::find(
            &self.request,
            tried,
            self.prompt_state.preferred_domain(&self.request),
        )
        .await;
        placement.filter(|placement| placement.engine.check_open(Instant::now()).is_ok())
    }

    fn prepare(&self, engine: &Arc<Target>) -> (AttemptHead, ActiveAttempt) {
        let mut attempt = dispatch::begin(engine, Some(engine.engine.begin_stream()));
        let mut head = self.request.attempt_head(engine);
        // Prompts that the engine prefills itself keep their order, so that long ones don't delay
        // the short ones of streams.
        let transferred = matches!(self.prompt_state, PromptState::Cached(_));
        head.priority = head.priority.map(|_| self.request.decode_priority(transferred));
        match &self.prompt_state {
            PromptState::Cached(cache) => {
                if let Some(handle) = cache.handle() {
                    head.step = Step::Decode(handle.clone());
                }
            }
            PromptState::Engine(placement) => {
                head.fetch_from = placement.fetch_from.as_ref().map(|engine| engine.address);
                attempt.prefill = Some(engine.engine.begin_prefill(placement.tokens));
            }
            PromptState::AnyEngine => {
                attempt.prefill =
                    Some(engine.engine.begin_prefill(u64::from(self.prompt.input_tokens)));
            }
        }
        (head, attempt)
    }

    /// How long the transfer of the KV cache to an engine usually takes at present; `None` if nothing
    /// is transferred.
    fn expected_transfer(&self, destination: &Target) -> Option<Duration> {
        let PromptState::Cached(cache) = &self.prompt_state else { return None };
        let now = Instant::now();
        let out = cache.holder().expected_transfer(TransferDirection::Out, now);
        Some(out.max(destination.expected_transfer(TransferDirection::In, now)))
    }

    /// Records for both ends how long the transfer of the KV cache took. An engine that refuses it
    /// has too many other transfers queued.
    fn record_transfer_time(
        &self,
        destination: &Arc<Target>,
        outcome: &Outcome,
        duration: Duration,
    ) {
        let PromptState::Cached(cache) = &self.prompt_state else { return };
        if self.prompt.input_tokens < MIN_TRANSFER_TOKENS {
            return;
        }
        let duration = match outcome {
            Outcome::Responded(_) => duration,
            Outcome::NotRun(_) => self.request.unresponsive_after(),
            Outcome::NotSent(_)
            | Outcome::Unknown(_)
            | Outcome::TimedOut
            | Outcome::Closed(_)
            | Outcome::Blocked => return,
        };
        let now = Instant::now();
        destination.record_transfer(TransferDirection::In, duration, now);
        cache.holder().record_transfer(TransferDirection::Out, duration, now);
        reservation::publish_transfer(&self.request.shared, cache.holder(), destination, duration);
    }

    fn forward(mut self, responded: Box<Responded>, attempt: ActiveAttempt) -> Response<Body> {
        if let PromptState::Cached(cache) = &mut self.prompt_state {
            cache.mark_taken();
        }
        self.trace.attempts += self.attempts.sent;
        let reservation = match &mut self.prompt_state {
            PromptState::Engine(placement) => placement.reservation.take(),
            PromptState::Cached(_) | PromptState::AnyEngine => None,
        };
        record_prefill(&self.request, &self.prompt, &attempt.target, reservation);
        let success = responded.response.status().is_success();
        if success {
            match &self.prompt_state {
                PromptState::Cached(cache) => {
                    self.request.shared.record_decode_placement(cache.holder(), &attempt.target);
                }
                PromptState::Engine(_) | PromptState::AnyEngine => {
                    self.request.shared.record_prefill_placement(&attempt.target);
                    self.request.shared.record_decode_placement(&attempt.target, &attempt.target);
                }
            }
            // Engines send the head of their response with the first token.
            self.request.count_usage(Instant::now());
        }
        let resumable = success && self.request.route.retry_policy == RetryPolicy::Resumable;
        let resume = resumable.then(|| StreamResumer::boxed(&self.request, self.attempts.sent));
        dispatch::forward(&self.request, Source { responded, attempt }, resume, self.trace)
    }
}
