//! Forwards a target's response as it arrives, and resumes a resumable stream at another target if
//! it breaks.

use crate::request::events::EventBuffer;
use crate::request::reservation::Reservation;
use crate::request::subject::{BEGINNING, Progress, Subject};
use crate::request::trace::{BodyEnd, COMPLETE, Trace};
use crate::targets::attempt::Responded;
use crate::targets::engine::{PrefillGuard, StreamGuard};
use crate::targets::pool::Connection;
use crate::targets::target::{Health, InFlightRequest, Target};
use body::{End, Form, Framing, Outcome, Taken};
use bytes::Bytes;
use compact_str::ToCompactString;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use policy::versions::Version;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// The result of producing a response body.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a body ends early. The connection to the caller is then closed, so that the response does
/// not look complete.
#[derive(Debug, Clone, thiserror::Error)]
#[error("response aborted before its end: {0}")]
pub struct Error(pub compact_str::CompactString);

/// An attempt that a target works on. It counts there until this is dropped.
#[derive(Debug)]
pub struct ActiveAttempt {
    /// The target.
    pub target: Arc<Target>,
    /// When it began.
    pub began: Instant,
    /// The request in flight there.
    pub in_flight: InFlightRequest,
    /// The prefill of its prompt, until the first event.
    pub prefill: Option<PrefillGuard>,
    /// Its stream.
    pub stream: Option<StreamGuard>,
    /// Its decode slot, where another entry coordinates the engine.
    pub reservation: Option<Reservation>,
}

/// A target's response that is being received, with the attempt that it belongs to.
#[derive(Debug)]
pub struct Source {
    /// The response.
    pub responded: Box<Responded>,
    /// The attempt.
    pub attempt: ActiveAttempt,
}

/// How an attempt broke off.
#[derive(Debug, Clone, Copy)]
pub struct Break {
    /// When the attempt began.
    pub began: Instant,
    /// How far it had come.
    pub progress: Progress,
}

/// Finds another target for the rest of a stream.
pub trait Resume: Send {
    /// Records that the first event of the stream came from a target.
    fn record_origin(&self, target: &Target);

    /// Resumes the stream at another target after the event with this id; `None` if that is not
    /// possible. If events were forwarded, the target needs the software version of the one that they
    /// came from.
    fn resume(
        &mut self,
        last_event_id: Option<u64>,
        failed: &Arc<Target>,
        broken: Break,
        origin: Option<Version>,
    ) -> Pin<Box<dyn Future<Output = Option<Source>> + Send>>;
}

/// The body of a forwarded response.
pub struct Relay {
    state: State,
    deadline: Pin<Box<Sleep>>,
    subject: Subject,
    resume: Option<Box<dyn Resume>>,
    events: Option<EventBuffer>,
    /// The form of the body, as announced to the caller.
    form: Form,
    /// The software version of the target that the first event came from.
    origin: Option<Version>,
    trace: Trace,
    size_hint: SizeHint,
}

enum State {
    Streaming(Box<ActiveResponse>),
    Resuming(Pin<Box<dyn Future<Output = Option<Source>> + Send>>),
    /// To be aborted for this reason.
    Aborting(&'static str),
    Done,
}

struct ActiveResponse {
    body: Incoming,
    framing: Framing,
    is_event_stream: bool,
    is_success: bool,
    /// When the head arrived.
    answered_at: Instant,
    /// Whether it is known to have gone on beyond its beginning.
    is_begun: bool,
    connection: Connection,
    upload: Taken,
    keep_alive: Option<Duration>,
    attempt: ActiveAttempt,
    /// When the last piece of a stream arrived.
    last_piece: Option<Instant>,
}

/// The detail of a response whose body does not end where its length says.
const SURPLUS: &str = "more bytes than the length";

/// How long after its deadline the target's own failure response is waited for. That response is
/// more informative than one made here, and takes a round trip.
pub const RESPONSE_GRACE: Duration = Duration::from_millis(150);

impl Relay {
    /// Forwards `source` until `deadline` at the latest.
    pub fn new(
        source: Source,
        deadline: Instant,
        subject: Subject,
        resume: Option<Box<dyn Resume>>,
        trace: Trace,
    ) -> Self {
        let form = Form::of(source.responded.response.headers());
        let active = ActiveResponse::new(source);
        let events = match (&resume, active.is_event_stream) {
            (Some(_), _) => Some(EventBuffer::holding()),
            (None, true) => Some(EventBuffer::passing()),
            (None, false) => None,
        };
        let size_hint = match resume {
            Some(_) => SizeHint::default(),
            None => active.body.size_hint(),
        };
        let deadline = Box::pin(tokio::time::sleep_until(deadline + RESPONSE_GRACE));
        Self {
            state: State::Streaming(Box::new(active)),
            deadline,
            subject,
            resume,
            events,
            form,
            origin: None,
            trace,
            size_hint,
        }
    }

    /// Whether nothing more follows.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// The size of the whole body, as far as the response announced it.
    pub fn size_hint(&self) -> SizeHint {
        self.size_hint
    }

    /// The next piece.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>>>> {
        loop {
            let frame = match &mut self.state {
                State::Done => return Poll::Ready(None),
                State::Aborting(reason) => {
                    let error = Error((*reason).into());
                    self.state = State::Done;
                    return Poll::Ready(Some(Err(error)));
                }
                State::Streaming(active) => match Pin::new(&mut active.body).poll_frame(context) {
                    Poll::Pending => break,
                    Poll::Ready(frame) => frame,
                },
                State::Resuming(resumed) => match resumed.as_mut().poll(context) {
                    Poll::Pending => break,
                    Poll::Ready(Some(source)) => {
                        if Form::of(source.responded.response.headers()) != self.form {
                            return self.abort("resumed-in-another-form", context);
                        }
                        self.state = State::Streaming(Box::new(ActiveResponse::new(source)));
                        continue;
                    }
                    Poll::Ready(None) => return self.abort("not-resumed", context),
                },
            };
            match frame {
                Some(Ok(frame)) => {
                    let accepted = self.accept_frame(frame);
                    if self.events.as_ref().is_some_and(EventBuffer::is_oversized) {
                        self.judge_end(Outcome::Failed);
                        if !self.start_resume("an event without end") {
                            return self.abort("broken-off", context);
                        }
                        continue;
                    }
                    let Some(bytes) = accepted else { continue };
                    if let State::Streaming(active) = &self.state {
                        self.trace.record_piece(&active.attempt.target);
                    }
                    self.record_origin();
                    // The server polls for no further piece once the known length is reached. The
                    // end has to be noticed here, or the connection would be lost.
                    if self.is_end_of_response() {
                        if self.has_surplus() {
                            self.judge_end(Outcome::Failed);
                            if !self.start_resume(SURPLUS) {
                                return self.abort("broken-off", context);
                            }
                            continue;
                        }
                        self.judge_end(Outcome::Ended);
                        self.finish();
                    }
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                None => {
                    let surplus = self.has_surplus();
                    let outcome = if surplus { Outcome::Failed } else { Outcome::Ended };
                    let end = self.judge_end(outcome);
                    if !end.is_broken_off() {
                        return self.complete();
                    }
                    let detail = if surplus { SURPLUS } else { "ended within an event" };
                    if !self.start_resume(detail) {
                        return self.abort("broken-off", context);
                    }
                }
                Some(Err(error)) => {
                    self.judge_end(Outcome::Failed);
                    if !self.start_resume(&error.to_compact_string()) {
                        return self.abort("broken-off", context);
                    }
                }
            }
        }
        match self.deadline.as_mut().poll(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => self.abort("time-up", context),
        }
    }

    fn accept_frame(&mut self, frame: Frame<Bytes>) -> Option<Bytes> {
        let bytes = frame.into_data().ok()?;
        if let State::Streaming(active) = &mut self.state {
            active.attempt.prefill = None;
            active.attempt.target.record_activity(Instant::now());
            active.record_piece(&bytes, Instant::now());
            if active.is_success && !active.is_begun && active.answered_at.elapsed() >= BEGINNING {
                active.is_begun = true;
                self.subject.record_begun();
            }
        }
        let bytes = match &mut self.events {
            Some(events) => events.push(&bytes),
            None => bytes,
        };
        (!bytes.is_empty()).then_some(bytes)
    }

    /// Records where the stream began, once its first event is forwarded.
    fn record_origin(&mut self) {
        if let (None, Some(resume), State::Streaming(active)) =
            (self.origin, &self.resume, &self.state)
        {
            self.origin = Some(active.attempt.target.software_key);
            resume.record_origin(&active.attempt.target);
        }
    }

    /// Whether the target has sent a body of known length to its end, and that length was announced
    /// to the caller.
    fn is_end_of_response(&self) -> bool {
        match &self.state {
            State::Streaming(active) => self.resume.is_none() && active.body.is_end_stream(),
            State::Resuming(_) | State::Aborting(_) | State::Done => false,
        }
    }

    /// Whether the body has a length, and more follows: the length is wrong.
    fn has_surplus(&mut self) -> bool {
        match &mut self.state {
            State::Streaming(active) => {
                active.framing == Framing::Length && active.connection.has_surplus()
            }
            State::Resuming(_) | State::Aborting(_) | State::Done => false,
        }
    }

    fn finish(&mut self) {
        if let State::Streaming(active) = std::mem::replace(&mut self.state, State::Done) {
            if active.is_success {
                self.subject.record_completion();
            }
            if active.framing != Framing::Connection {
                active.connection.keep(active.keep_alive, Instant::now());
            }
        }
        self.trace.end(COMPLETE);
    }

    fn complete(&mut self) -> Poll<Option<Result<Frame<Bytes>>>> {
        self.finish();
        let partial = self.events.as_mut().map(EventBuffer::take_partial).unwrap_or_default();
        Poll::Ready((!partial.is_empty()).then_some(Ok(Frame::data(partial))))
    }

    /// Records that the target broke the response off and starts to look for another one; `false`
    /// if the response can't be resumed.
    fn start_resume(&mut self, detail: &str) -> bool {
        let State::Streaming(active) = std::mem::replace(&mut self.state, State::Done) else {
            return false;
        };
        let target = active.attempt.target.clone();
        target.record_health(Health::Failing, Instant::now());
        self.trace.record_broken_response(&target.id, detail);
        let progress = Progress::Answered(active.answered_at.elapsed());
        let broken = Break { began: active.attempt.began, progress };
        let events = self.events.as_mut().filter(|events| events.can_resume());
        let (Some(resume), Some(events)) = (&mut self.resume, events) else {
            self.subject.spawn_record_break(&target, broken.began, progress);
            return false;
        };
        events.discard_partial();
        let resumed = resume.resume(events.last_id(), &target, broken, self.origin);
        self.state = State::Resuming(resumed);
        true
    }

    /// Judges whether all of the current target's body has arrived, and records it.
    fn judge_end(&mut self, outcome: Outcome) -> End {
        let State::Streaming(active) = &self.state else { return End::BrokenOff };
        let (framing, events) = (active.framing, self.events.as_ref());
        // A target that ends its connection without having read the request has failed.
        let is_unread = framing == Framing::Connection && !active.upload.is_whole();
        let outcome = if is_unread { Outcome::Failed } else { outcome };
        let position = events.filter(|_| active.is_event_stream).map(EventBuffer::position);
        let held_bytes = events.map_or(0, EventBuffer::partial_bytes);
        self.trace.record_body_end(BodyEnd { framing, outcome, position, held_bytes });
        End::judge(framing, outcome, position)
    }

    /// Aborts the response, at the next poll: the server does not flush the head and the pieces
    /// that it has taken until the body has nothing more to offer, and otherwise the caller would
    /// receive nothing at all.
    fn abort(
        &mut self,
        reason: &'static str,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        self.state = State::Aborting(reason);
        self.trace.end(reason);
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

impl ActiveResponse {
    fn new(source: Source) -> Self {
        let Source { responded, attempt } = source;
        let Responded { response, head, connection, upload } = *responded;
        let is_success = response.status().is_success();
        let is_event_stream = is_success && Form::of(response.headers()).is_event_stream();
        let framing = Framing::of(response.body(), response.headers());
        let body = response.into_body();
        Self {
            body,
            framing,
            is_event_stream,
            is_success,
            answered_at: Instant::now(),
            is_begun: false,
            connection,
            upload,
            keep_alive: head.keep_alive,
            attempt,
            last_piece: None,
        }
    }

    /// Records the time since the last piece, if this is a stream.
    fn record_piece(&mut self, bytes: &Bytes, now: Instant) {
        if bytes.is_empty() || self.attempt.stream.is_none() {
            return;
        }
        if let Some(last) = self.last_piece.replace(now) {
            self.attempt.target.record_piece(now.saturating_duration_since(last), now);
        }
    }
}

impl fmt::Debug for Relay {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Relay").field("complete", &self.is_complete()).finish()
    }
}
