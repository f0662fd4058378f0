//! Passes a target's answer on as it comes, and goes on elsewhere if a resumable stream breaks.

use crate::request::events::Events;
use crate::request::reservation::Reservation;
use crate::request::trace::{COMPLETE, Trace};
use crate::targets::attempt::Answered;
use crate::targets::engine::{PrefillGuard, StreamGuard};
use crate::targets::pool::Connection;
use crate::targets::target::{Health, InFlightRequest, Target};
use bytes::Bytes;
use compact_str::ToCompactString;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// The result of making an answer's body.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a body ends early; the connection to the caller is closed then, so that the answer does not
/// look complete.
#[derive(Debug, Clone, thiserror::Error)]
#[error("the answer was cut off: {0}")]
pub struct Error(pub compact_str::CompactString);

/// What is booked at a target while it works on a request.
#[derive(Debug)]
pub struct Booking {
    /// The target.
    pub target: Arc<Target>,
    /// The request.
    pub entered: InFlightRequest,
    /// Its prompt, until the first event.
    pub reading: Option<PrefillGuard>,
    /// Its stream.
    pub writing: Option<StreamGuard>,
    /// Its place, where another entry coordinates the engine.
    pub place: Option<Reservation>,
}

/// A target's answer on its way, with what it occupies.
#[derive(Debug)]
pub struct Source {
    /// The answer.
    pub answered: Box<Answered>,
    /// What is booked for it.
    pub booking: Booking,
}

/// Finds another target for the rest of a stream.
pub trait Resume: Send {
    /// Starts the stream after the event with this id elsewhere; `None` if it can't be.
    fn resume(
        &self,
        after: Option<u64>,
        failed: &Arc<Target>,
    ) -> Pin<Box<dyn Future<Output = Option<Source>> + Send>>;
}

/// The body of an answer that is passed on.
pub struct Relay {
    state: State,
    until: Pin<Box<Sleep>>,
    resume: Option<Box<dyn Resume>>,
    events: Option<Events>,
    trace: Trace,
    hint: SizeHint,
}

enum State {
    Open(Box<Open>),
    Resuming(Pin<Box<dyn Future<Output = Option<Source>> + Send>>),
    /// It is to be cut, for this reason.
    Cutting(&'static str),
    Done,
}

struct Open {
    body: Incoming,
    connection: Connection,
    idle: Option<Duration>,
    booking: Booking,
}

/// How long after the last moment at which the target may work its own failure is waited for. It
/// says more than one of ours, and takes a round trip.
pub const LAST_WORD: Duration = Duration::from_millis(150);

impl Relay {
    /// Passes `source` on until `until` at the latest.
    pub fn new(
        source: Source,
        until: Instant,
        resume: Option<Box<dyn Resume>>,
        trace: Trace,
    ) -> Self {
        let events = resume.is_some().then(Events::default);
        let open = Open::new(source);
        let hint = if events.is_some() { SizeHint::default() } else { open.body.size_hint() };
        let until = Box::pin(tokio::time::sleep_until(until + LAST_WORD));
        Self { state: State::Open(Box::new(open)), until, resume, events, trace, hint }
    }

    /// Whether nothing more comes.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// What is known of the size of the whole body.
    pub fn size_hint(&self) -> SizeHint {
        self.hint
    }

    /// The next piece.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>>>> {
        loop {
            let step = match &mut self.state {
                State::Done => return Poll::Ready(None),
                State::Cutting(why) => {
                    let error = Error((*why).into());
                    self.state = State::Done;
                    return Poll::Ready(Some(Err(error)));
                }
                State::Open(open) => match Pin::new(&mut open.body).poll_frame(context) {
                    Poll::Pending => break,
                    Poll::Ready(step) => step,
                },
                State::Resuming(next) => match next.as_mut().poll(context) {
                    Poll::Pending => break,
                    Poll::Ready(Some(source)) => {
                        self.state = State::Open(Box::new(Open::new(source)));
                        continue;
                    }
                    Poll::Ready(None) => return self.cut("not-resumed", context),
                },
            };
            match step {
                Some(Ok(frame)) => {
                    let Some(bytes) = self.take(frame) else { continue };
                    self.trace.piece();
                    // The server asks for no further piece once the known length is reached, so
                    // the end is noticed here, or the connection would be lost.
                    if self.has_ended() {
                        self.finish();
                    }
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                None => return self.complete(),
                Some(Err(error)) => {
                    if !self.break_off(&error.to_compact_string()) {
                        return self.cut("broken-off", context);
                    }
                }
            }
        }
        match self.until.as_mut().poll(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => self.cut("time-up", context),
        }
    }

    fn take(&mut self, frame: Frame<Bytes>) -> Option<Bytes> {
        let bytes = frame.into_data().ok()?;
        if let State::Open(open) = &mut self.state {
            open.booking.reading = None;
            open.booking.target.record_activity(Instant::now());
        }
        let bytes = match &mut self.events {
            Some(events) => events.take(&bytes),
            None => bytes,
        };
        (!bytes.is_empty()).then_some(bytes)
    }

    /// Whether the target has sent all, and nothing of it is held back here.
    fn has_ended(&self) -> bool {
        match &self.state {
            State::Open(open) => self.events.is_none() && open.body.is_end_stream(),
            State::Resuming(_) | State::Cutting(_) | State::Done => false,
        }
    }

    fn finish(&mut self) {
        if let State::Open(open) = std::mem::replace(&mut self.state, State::Done) {
            open.connection.keep(open.idle, Instant::now());
        }
        self.trace.end(COMPLETE);
    }

    fn complete(&mut self) -> Poll<Option<Result<Frame<Bytes>>>> {
        self.finish();
        let rest = self.events.as_mut().map(Events::rest).unwrap_or_default();
        Poll::Ready((!rest.is_empty()).then_some(Ok(Frame::data(rest))))
    }

    /// Notes that the target broke off and begins to look for another; `false` if there can't be.
    fn break_off(&mut self, detail: &str) -> bool {
        let State::Open(open) = std::mem::replace(&mut self.state, State::Done) else {
            return false;
        };
        let target = open.booking.target.clone();
        target.record_health(Health::Failing, Instant::now());
        self.trace.broke_off(&target.id, detail);
        let (Some(resume), Some(events)) = (&self.resume, &mut self.events) else { return false };
        events.drop_rest();
        self.state = State::Resuming(resume.resume(events.last(), &target));
        true
    }

    /// Ends the answer early, in the next turn: until the server has nothing more to take, it does not send the
    /// head and the pieces that it has taken, and the caller would get nothing at all.
    fn cut(
        &mut self,
        why: &'static str,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        self.state = State::Cutting(why);
        self.trace.end(why);
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

impl Open {
    fn new(source: Source) -> Self {
        let Source { answered, booking } = source;
        let Answered { response, head, connection } = *answered;
        let body = response.into_body();
        Self { body, connection, idle: head.keep_alive, booking }
    }
}

impl fmt::Debug for Relay {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Relay").field("complete", &self.is_complete()).finish()
    }
}
