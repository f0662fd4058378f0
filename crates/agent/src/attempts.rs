//! The attempts of one connection: how they come, wait for credit, and go.

use crate::answer::{Answer, Reader, is_last};
use crate::job::{self, Job};
use crate::refusal::{not_run, unknown};
use crate::shared::Shared;
use crate::tasks::Tasks;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wire::{
    Attach, AttemptId, Begin, Body, Credit, Event, EventKind, Frame, Refusal, Request, Submit, Work,
};

/// The attempts of one connection.
pub(crate) struct Attempts {
    shared: Arc<Shared>,
    tasks: Tasks,
    outbox: mpsc::Sender<Frame>,
    open: Open,
    loads: Arc<Mutex<Option<Instant>>>,
    /// Ends the forwarding of all attempts with the connection.
    closing: CancellationToken,
    /// Counts this process's attempts, so that each has an id of its own at the engine.
    incarnation: u64,
}

/// The attempts that are not at their end, by id.
type Open = Arc<Mutex<HashMap<AttemptId, Handle>>>;

struct Handle {
    credit: Arc<Semaphore>,
    cancel: CancellationToken,
    begin: Option<oneshot::Sender<()>>,
}

/// How many attempts one connection may have open: more than an entry sends one target at the
/// size that is designed for, 4,700 requests a second over 390 entries, kept for minutes.
const MAX_ATTEMPTS: usize = 4_096;

/// The most events that may be sent ahead, whatever credit is given.
const MAX_CREDIT: u32 = 65_536;

/// How often the load is sent along with events; each token of a stream carrying it would double
/// the stream's bytes.
const LOAD_EVERY: Duration = Duration::from_millis(20);

impl Attempts {
    /// Makes the empty set of attempts whose events go to `outbox`.
    pub(crate) fn new(shared: Arc<Shared>, tasks: Tasks, outbox: mpsc::Sender<Frame>) -> Self {
        let closing = CancellationToken::new();
        let (open, loads) = (Open::default(), Arc::default());
        let incarnation = rand::random();
        Self { shared, tasks, outbox, open, loads, closing, incarnation }
    }

    /// Takes a request in.
    pub(crate) async fn submit(&self, submit: Submit) {
        let Submit { attempt, request, hold, credit } = submit;
        let request = request.unwrap_or_default();
        if let Some(refusal) = self.check(attempt) {
            return self.refuse(attempt, refusal).await;
        }
        let keeps = matches!(request.work, Some(Work::Prompt(_)));
        let (answer, reader) = Answer::new(&request.id, &request.caller, keeps);
        let (begin, begun) = oneshot::channel();
        self.forward(attempt, reader, credit, hold.then_some(begin));
        let job = self.job(attempt, request, answer, hold.then_some(begun));
        self.tasks.job(job::run(self.shared.clone(), job));
    }

    /// Starts an offered attempt.
    pub(crate) async fn begin(&self, begin: Begin) {
        let begun = {
            let mut open = self.lock();
            open.get_mut(&begin.attempt).map(|handle| handle.begin.take())
        };
        match begun {
            // If the offer has just expired the refusal is already on its way.
            Some(Some(begun)) => drop(begun.send(())),
            Some(None) => {}
            // It ended before, and its last event went out before this one, which is for the
            // entry that had it expire unheard.
            None => {
                let refusal = not_run("offer-expired", "there is no such offer");
                self.refuse(begin.attempt, refusal).await;
            }
        }
    }

    /// Forgets an attempt and stops its work, unless another entry reads the same answer.
    pub(crate) fn cancel(&self, attempt: AttemptId) {
        if let Some(handle) = self.lock().remove(&attempt) {
            handle.cancel.cancel();
        }
    }

    /// Lets more events of an attempt be sent.
    pub(crate) fn credit(&self, credit: Credit) {
        if let Some(handle) = self.lock().get(&credit.attempt) {
            add_credit(&handle.credit, credit.events);
        }
    }

    /// Goes on with an answer that another entry began to deliver.
    pub(crate) async fn attach(&self, attach: Attach) {
        if let Some(refusal) = self.check(attach.attempt) {
            return self.refuse(attach.attempt, refusal).await;
        }
        let answer = self.shared.answers.find(&attach.request, &attach.caller);
        let reader = answer.and_then(|answer| answer.attach(attach.from_token).ok());
        match reader {
            Some(reader) => self.forward(attach.attempt, reader, attach.credit, None),
            // Another caller's request is not told from one that is not here.
            None => {
                let refusal = unknown("unknown-answer", "no such answer is kept here");
                self.refuse(attach.attempt, refusal).await;
            }
        }
    }

    fn check(&self, attempt: AttemptId) -> Option<Refusal> {
        let open = self.lock();
        if open.contains_key(&attempt) {
            // Refusing it would end the attempt that runs under this id.
            return Some(not_run("attempt-reused", "the attempt's id is in use"));
        }
        (open.len() >= MAX_ATTEMPTS)
            .then(|| not_run("too-many-attempts", "the connection has too many attempts open"))
    }

    fn job(
        &self,
        attempt: AttemptId,
        request: Request,
        answer: Arc<Answer>,
        begin: Option<oneshot::Receiver<()>>,
    ) -> Job {
        let expires = Instant::now() + Duration::from_millis(request.deadline_ms);
        // Two entries may count to the same attempt, so the connection's random number goes in.
        let attempt = self.incarnation.wrapping_add(attempt);
        Job { request, answer, begin, attempt, expires }
    }

    /// Starts sending what `reader` reads, as far as there is credit.
    fn forward(
        &self,
        attempt: AttemptId,
        reader: Reader,
        credit: u32,
        begin: Option<oneshot::Sender<()>>,
    ) {
        let (credits, cancel) = (Arc::new(Semaphore::new(0)), self.closing.child_token());
        add_credit(&credits, credit);
        let cancelled = CancellationToken::new();
        let handle = Handle { credit: credits.clone(), cancel: cancelled.clone(), begin };
        self.lock().insert(attempt, handle);
        let sender = self.sender(attempt);
        let open = self.open.clone();
        self.tasks.job(async move {
            let mut reader = reader;
            let cancelled = tokio::select! {
                () = sender.forward(&mut reader, &credits) => false,
                () = cancelled.cancelled() => true,
                () = cancel.cancelled() => false,
            };
            if cancelled {
                reader.cancel();
            } else {
                open.lock().unwrap_or_else(PoisonError::into_inner).remove(&attempt);
            }
        });
    }

    async fn refuse(&self, attempt: AttemptId, refusal: Refusal) {
        self.sender(attempt).send(EventKind::Refusal(refusal)).await;
    }

    fn sender(&self, attempt: AttemptId) -> Sender {
        let (shared, outbox) = (self.shared.clone(), self.outbox.clone());
        Sender { shared, outbox, loads: self.loads.clone(), attempt }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<AttemptId, Handle>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Attempts {
    fn drop(&mut self) {
        self.closing.cancel();
    }
}

/// Sends the events of one attempt.
struct Sender {
    shared: Arc<Shared>,
    outbox: mpsc::Sender<Frame>,
    /// When a load was last sent over this connection.
    loads: Arc<Mutex<Option<Instant>>>,
    attempt: AttemptId,
}

impl Sender {
    async fn forward(&self, reader: &mut Reader, credits: &Semaphore) {
        while let Some(kind) = reader.next().await {
            let free = is_last(&kind) || matches!(kind, EventKind::Offer(_));
            if !free {
                tokio::select! {
                    permit = credits.acquire() => match permit {
                        Ok(permit) => permit.forget(),
                        // The semaphore is never closed.
                        Err(_) => return,
                    },
                    () = reader.given_up() => continue,
                }
            }
            self.send(kind).await;
        }
    }

    async fn send(&self, kind: EventKind) {
        let load = self.load_due(&kind).then(|| self.shared.load());
        let event = Event { attempt: self.attempt, load, kind: Some(kind) };
        // A closed connection ends this by its token; there is nobody to tell.
        let _ = self.outbox.send(Frame::new(Body::Event(event))).await;
    }

    fn load_due(&self, kind: &EventKind) -> bool {
        let mut last = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        let due = last.is_none_or(|last| last.elapsed() >= LOAD_EVERY);
        if due || is_last(kind) || matches!(kind, EventKind::Offer(_)) {
            *last = Some(Instant::now());
            return true;
        }
        false
    }
}

fn add_credit(credit: &Semaphore, events: u32) {
    let room = usize::try_from(MAX_CREDIT).unwrap_or(usize::MAX);
    let room = room.saturating_sub(credit.available_permits());
    credit.add_permits(room.min(usize::try_from(events).unwrap_or(usize::MAX)));
}
