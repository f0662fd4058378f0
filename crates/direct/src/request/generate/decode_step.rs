//! The second half of a generation: an engine writes the output, and it is passed on.

use super::prefill_step::{Place, has_read};
use super::resume::Continuation;
use super::writer;
use crate::codec::{AttemptHead, Prompt, Step};
use crate::config::route::RetryPolicy;
use crate::request::attempts::Tries;
use crate::request::context::Job;
use crate::request::decode_placement;
use crate::request::dispatch;
use crate::request::permits::Permit;
use crate::request::relay::{Booking, Source};
use crate::request::reservation::{self, Reservation};
use crate::request::response::Body;
use crate::request::trace::Trace;
use crate::targets::attempt::{Answered, Outcome};
use crate::targets::target::{Target, TransferDirection};
use http::Response;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Has an engine write the output, and passes it on.
pub(super) async fn run(
    job: Arc<Job>,
    prompt: Prompt,
    place: Place,
    trace: Trace,
) -> Response<Body> {
    let mut write = Write { job, prompt, place, trace, tries: Tries::default() };
    while let Some(Chosen { engine, permit, reservation }) = write.next().await {
        let (sending, mut booking) = write.prepare(&engine);
        booking.place = reservation;
        let began = Instant::now();
        let outcome = dispatch::send(&write.job, &engine, &sending, permit).await;
        write.trace.tried("write", &engine.id, outcome.name(), began.elapsed());
        write.note_handover(&engine, &outcome, began.elapsed());
        let another = write.tries.note(&write.job, &engine, &outcome);
        match outcome {
            Outcome::Answered(answered) => return write.relay(answered, booking),
            // The cache may have been taken with it.
            Outcome::Unknown(_) => write.place = Place::Anywhere,
            Outcome::NotRun(_) | Outcome::NotSent(_) | Outcome::TimedOut | Outcome::Closed(_) => {}
        }
        if !another {
            break;
        }
    }
    write.tries.give_up(&write.job, &mut write.trace)
}

/// KV cache of shorter prompts, in tokens, says little of the link: it takes a fraction of a
/// millisecond.
const LEAST_HANDOVER: u32 = 1_024;

/// An engine that is to write.
struct Chosen {
    engine: Arc<Target>,
    permit: Permit,
    reservation: Option<Reservation>,
}

/// A generation whose output is to be written.
struct Write {
    job: Arc<Job>,
    prompt: Prompt,
    place: Place,
    trace: Trace,
    tries: Tries,
}

impl Write {
    /// The next engine to send it to, if there may be one, with its place there if one was booked.
    async fn next(&mut self) -> Option<Chosen> {
        let booked = self.place().await;
        let Self { job, place, tries, .. } = self;
        let mut permit = booked.as_ref().map(|booked| booked.permit).unwrap_or_default();
        let chosen = booked.as_ref().map(|booked| booked.engine.clone());
        let engine = tries.next(job, |tried| {
            chosen.or_else(|| match place {
                Place::There(there) if tried.is_empty() => {
                    permit = there.permit;
                    Some(there.engine.clone())
                }
                _ => writer(job, tried, place.near(job)),
            })
        })?;
        Some(Chosen { engine, permit, reservation: booked.map(|booked| booked.reservation) })
    }

    /// Books a place, unless the engine that read the prompt writes as well.
    async fn place(&self) -> Option<decode_placement::Place> {
        let tried = &self.tries.targets;
        if matches!(self.place, Place::There(_)) && tried.is_empty() {
            return None;
        }
        let place = decode_placement::find(&self.job, tried, self.place.near(&self.job)).await;
        place.filter(|place| place.engine.check_open(Instant::now()).is_ok())
    }

    fn prepare(&self, engine: &Arc<Target>) -> (AttemptHead, Booking) {
        let mut booking = dispatch::book(engine, Some(engine.engine.begin_stream()));
        let mut sending = self.job.sending(engine);
        match &self.place {
            Place::Kept(cache) => {
                if let Some(handle) = cache.handle() {
                    sending.step = Step::Decode(handle.clone());
                }
            }
            Place::There(there) => {
                sending.fetch_from = there.fetch.as_ref().map(|engine| engine.address);
                booking.reading = Some(engine.engine.begin_prefill(there.tokens));
            }
            Place::Anywhere => {
                booking.reading =
                    Some(engine.engine.begin_prefill(u64::from(self.prompt.input_tokens)));
            }
        }
        (sending, booking)
    }

    /// Takes in how long the KV cache was on its way, for both ends. An engine that refuses it has
    /// too many others before it.
    fn note_handover(&self, to: &Arc<Target>, outcome: &Outcome, took: Duration) {
        let Place::Kept(cache) = &self.place else { return };
        if self.prompt.input_tokens < LEAST_HANDOVER {
            return;
        }
        let took = match outcome {
            Outcome::Answered(_) => took,
            Outcome::NotRun(_) => self.job.patience(),
            Outcome::NotSent(_) | Outcome::Unknown(_) | Outcome::TimedOut | Outcome::Closed(_) => {
                return;
            }
        };
        let now = Instant::now();
        to.record_transfer(TransferDirection::In, took, now);
        cache.holder().record_transfer(TransferDirection::Out, took, now);
        reservation::moved(&self.job.shared, cache.holder(), to, took);
    }

    fn relay(mut self, answered: Box<Answered>, booking: Booking) -> Response<Body> {
        if let Place::Kept(cache) = &mut self.place {
            cache.taken();
        }
        self.trace.sendings += self.tries.sent;
        let reservation = match &mut self.place {
            Place::There(there) => there.reservation.take(),
            Place::Kept(_) | Place::Anywhere => None,
        };
        has_read(&self.job, &self.prompt, &booking.target, reservation);
        let success = answered.response.status().is_success();
        if success {
            // Engines answer with the first token.
            self.job.count_run(Instant::now());
        }
        let resumable = success && self.job.route.retry_policy == RetryPolicy::Resumable;
        let resume = resumable.then(|| Continuation::boxed(&self.job, self.tries.sent));
        dispatch::pass_on(&self.job, Source { answered, booking }, resume, self.trace)
    }
}
