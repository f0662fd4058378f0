//! The second half of a generation: an engine writes the output, and it is passed on.

use super::read::Place;
use super::resume::Continuation;
use super::{keep, sending, writer};
use crate::answer::{Body, Failure, Refusal};
use crate::attempt::{Answered, Outcome};
use crate::border::{Prompt, Sending, Step};
use crate::relay::{Booking, Source};
use crate::route::Repeat;
use crate::serve::{Job, SHORTLY, book, relay, went};
use crate::target::Target;
use crate::trace::Trace;
use http::Response;
use std::sync::Arc;
use tokio::time::Instant;

/// Engines that can't be reached, tried for one request.
const UNREACHABLE: u32 = 3;

/// Has an engine write the output, and passes it on.
pub(super) async fn run(
    job: Arc<Job>,
    prompt: Prompt,
    place: Place,
    trace: Trace,
) -> Response<Body> {
    let (tried, sent, maybe_run) = (Vec::new(), 0, false);
    let mut write = Write { job, prompt, place, trace, tried, sent, maybe_run };
    while let Some(engine) = write.next() {
        let (sending, booking) = write.prepare(&engine);
        let began = Instant::now();
        let outcome = write.job.send(&engine, &sending).await;
        write.trace.tried("write", &engine.id, went(&outcome), began.elapsed());
        write.job.shared.metrics.sending(went(&outcome));
        match outcome {
            Outcome::Answered(answered) => return write.relay(answered, booking),
            other if write.may_go_on(&engine, &other) => {}
            _ => break,
        }
    }
    write.give_up()
}

/// A generation whose output is to be written.
struct Write {
    job: Arc<Job>,
    prompt: Prompt,
    place: Place,
    trace: Trace,
    tried: Vec<Arc<Target>>,
    /// Engines that it was sent to.
    sent: u32,
    maybe_run: bool,
}

impl Write {
    /// The next engine to send it to, if there may be one.
    fn next(&mut self) -> Option<Arc<Target>> {
        let job = &self.job;
        if self.sent >= job.route.attempts.max(1) || Instant::now() >= job.until {
            return None;
        }
        let engine = match &self.place {
            Place::There { engine, .. } if self.tried.is_empty() => engine.clone(),
            _ => writer(job, &self.tried)?,
        };
        if self.sent > 0 && !job.shared.may_send_extra(&job.service.name) {
            return None;
        }
        self.tried.push(engine.clone());
        Some(engine)
    }

    fn prepare(&self, engine: &Arc<Target>) -> (Sending, Booking) {
        let mut booking = book(engine, Some(engine.engine.write()));
        let mut sending = sending(&self.job, engine);
        match &self.place {
            Place::Kept(cache) => {
                if let Some(handle) = cache.handle() {
                    sending.step = Step::Decode(handle.clone());
                }
            }
            Place::There { fetch, tokens, .. } => {
                sending.fetch = fetch.as_ref().map(|engine| engine.address);
                booking.reading = Some(engine.engine.read(*tokens));
            }
            Place::Anywhere => {
                booking.reading = Some(engine.engine.read(u64::from(self.prompt.input)));
            }
        }
        (sending, booking)
    }

    fn relay(mut self, answered: Box<Answered>, booking: Booking) -> Response<Body> {
        if let Place::Kept(cache) = &mut self.place {
            cache.taken();
        }
        self.trace.sendings += self.sent + 1;
        keep(&self.job, &self.prompt, &booking.target);
        let success = answered.response.status().is_success();
        let resumable = success && self.job.route.repeat == Repeat::Resumable;
        let resume = resumable.then(|| Continuation::boxed(&self.job, self.sent + 1));
        relay(&self.job, Source { answered, booking }, resume, self.trace)
    }

    /// Takes in a sending without an answer, and says whether there may be another.
    fn may_go_on(&mut self, engine: &Arc<Target>, outcome: &Outcome) -> bool {
        if let Outcome::NotSent(detail) = outcome {
            log::info!(target: "request", id = self.job.id(), target_id = engine.id.as_str(),
                detail = detail.as_str(); "target not reached");
            return u32::try_from(self.tried.len()).unwrap_or(u32::MAX) < UNREACHABLE;
        }
        self.sent += 1;
        match outcome {
            Outcome::Unknown(_) => {
                self.maybe_run = true;
                self.job.suspect(engine);
                // The cache may have been taken with it.
                self.place = Place::Anywhere;
                self.job.may_repeat()
            }
            Outcome::Late => {
                self.maybe_run = true;
                false
            }
            Outcome::Answered(_) | Outcome::NotRun(_) | Outcome::NotSent(_) => true,
        }
    }

    fn give_up(mut self) -> Response<Body> {
        self.trace.sendings += self.sent;
        if self.maybe_run {
            let late = Instant::now() >= self.job.until;
            let failure = if late { Failure::Late } else { Failure::Lost };
            return self.job.fail(&mut self.trace, failure);
        }
        let refusal = if self.sent > 0 { Refusal::TargetRefused } else { Refusal::Unreachable };
        self.job.refuse(&mut self.trace, refusal, SHORTLY)
    }
}
