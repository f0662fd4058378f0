//! The attempts of one connection: from their submission to the last event sent.

use crate::answer::{Answer, Reader, is_last};
use crate::job::{self, Job};
use crate::refusal::{not_run, retry_after, unknown};
use crate::shared::Shared;
use crate::tasks::Tasks;
use body::Holding;
use prost::Message;
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
    last_load: Arc<Mutex<Option<Instant>>>,
    /// Cancelled with the connection, which ends the forwarding of all attempts.
    closing: CancellationToken,
    /// Random number added to attempt ids, so that they are unique at the engine.
    id_offset: u64,
}

/// The attempts that have not ended, by id.
type Open = Arc<Mutex<HashMap<AttemptId, Handle>>>;

struct Handle {
    credit: Arc<Semaphore>,
    cancel: CancellationToken,
    begin: Option<oneshot::Sender<()>>,
}

/// Maximum open attempts of one connection: more than an entry sends to one target at the size that
/// the system is designed for, 4,700 requests per second over 390 entries, each open for minutes.
const MAX_ATTEMPTS: usize = 4_096;

/// When to retry a request for which there is no memory: others complete continuously.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Upper bound of an attempt's credit in events.
const MAX_CREDIT: u32 = 65_536;

/// Minimum interval between events that carry the load. Sent with each token of a stream, it would
/// double the stream's size.
const LOAD_INTERVAL: Duration = Duration::from_millis(20);

impl Attempts {
    /// Creates an empty set of attempts that send their events to `outbox`.
    pub(crate) fn new(shared: Arc<Shared>, tasks: Tasks, outbox: mpsc::Sender<Frame>) -> Self {
        let closing = CancellationToken::new();
        let (open, last_load) = (Open::default(), Arc::default());
        let id_offset = rand::random();
        Self { shared, tasks, outbox, open, last_load, closing, id_offset }
    }

    /// Starts an attempt for a request.
    pub(crate) async fn submit(&self, submit: Submit) {
        let Submit { attempt, request, hold, credit } = submit;
        let request = request.unwrap_or_default();
        if let Some(refusal) = self.check_new(attempt) {
            return self.refuse(attempt, refusal).await;
        }
        let bytes = request.encoded_len();
        let Some(memory) = self.shared.request_memory.hold(bytes) else {
            let refusal = not_run("queue-full", "the requests here take all memory");
            return self.refuse(attempt, retry_after(refusal, FULL_RETRY_AFTER)).await;
        };
        let retain = matches!(request.work, Some(Work::Prompt(_)));
        let (answer, reader) = Answer::new(&request.id, &request.caller, retain);
        let (begin, begun) = oneshot::channel();
        self.forward(attempt, reader, credit, hold.then_some(begin));
        let job = self.job(attempt, request, memory, answer, hold.then_some(begun));
        self.tasks.spawn_job(job::run(self.shared.clone(), job));
    }

    /// Accepts the entry's consent to an offered attempt.
    pub(crate) async fn begin(&self, begin: Begin) {
        let offer = {
            let mut open = self.lock();
            open.get_mut(&begin.attempt).map(|handle| handle.begin.take())
        };
        match offer {
            // If the offer has just expired, the refusal is already being sent.
            Some(Some(begin)) => drop(begin.send(())),
            Some(None) => {}
            // The attempt has ended and its last event was sent. An entry that has not received
            // that event still gets a refusal.
            None => {
                let refusal = not_run("offer-expired", "there is no such offer");
                self.refuse(begin.attempt, refusal).await;
            }
        }
    }

    /// Removes an attempt and stops its work, unless another entry reads the same answer.
    pub(crate) fn cancel(&self, attempt: AttemptId) {
        if let Some(handle) = self.lock().remove(&attempt) {
            handle.cancel.cancel();
        }
    }

    /// Adds credit to an attempt.
    pub(crate) fn credit(&self, credit: Credit) {
        if let Some(handle) = self.lock().get(&credit.attempt) {
            add_credit(&handle.credit, credit.events);
        }
    }

    /// Continues an answer that another entry has begun to deliver.
    pub(crate) async fn attach(&self, attach: Attach) {
        if let Some(refusal) = self.check_new(attach.attempt) {
            return self.refuse(attach.attempt, refusal).await;
        }
        let answer = self.shared.answers.find(&attach.request, &attach.caller);
        let reader = answer.and_then(|answer| answer.attach(attach.from_token).ok());
        match reader {
            Some(reader) => self.forward(attach.attempt, reader, attach.credit, None),
            // The refusal does not reveal whether the request exists but belongs to another caller.
            None => {
                let refusal = unknown("unknown-answer", "no such answer is kept here");
                self.refuse(attach.attempt, refusal).await;
            }
        }
    }

    fn check_new(&self, attempt: AttemptId) -> Option<Refusal> {
        let open = self.lock();
        if open.contains_key(&attempt) {
            // Sent under this id, the refusal also ends the entry's attempt that is open.
            return Some(not_run("attempt-reused", "the attempt's id is in use"));
        }
        (open.len() >= MAX_ATTEMPTS)
            .then(|| not_run("too-many-attempts", "the connection has too many attempts open"))
    }

    fn job(
        &self,
        attempt: AttemptId,
        request: Request,
        memory: Holding,
        answer: Arc<Answer>,
        begin: Option<oneshot::Receiver<()>>,
    ) -> Job {
        let deadline = Instant::now() + Duration::from_millis(request.deadline_ms);
        // Two entries may use the same attempt id, so each connection adds its random offset.
        let attempt = self.id_offset.wrapping_add(attempt);
        let resumed = match &request.work {
            Some(Work::Prompt(prompt)) => prompt.resume_tokens > 0,
            Some(Work::Call(_)) | None => false,
        };
        let memory = Arc::new(memory);
        Job { request, answer, resumed, memory, begin, attempt, deadline }
    }

    /// Starts to send the events that `reader` reads, as far as credit permits.
    fn forward(
        &self,
        attempt: AttemptId,
        reader: Reader,
        credit: u32,
        begin: Option<oneshot::Sender<()>>,
    ) {
        let (credits, closed) = (Arc::new(Semaphore::new(0)), self.closing.child_token());
        add_credit(&credits, credit);
        let cancelled = CancellationToken::new();
        let handle = Handle { credit: credits.clone(), cancel: cancelled.clone(), begin };
        self.lock().insert(attempt, handle);
        let sender = self.sender(attempt);
        let open = self.open.clone();
        self.tasks.spawn_job(async move {
            let mut reader = reader;
            let cancelled = tokio::select! {
                () = sender.forward(&mut reader, &credits) => false,
                () = cancelled.cancelled() => true,
                () = closed.cancelled() => false,
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
        Sender { shared, outbox, last_load: self.last_load.clone(), attempt }
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
    /// When an event of this connection last carried the load.
    last_load: Arc<Mutex<Option<Instant>>>,
    attempt: AttemptId,
}

impl Sender {
    async fn forward(&self, reader: &mut Reader, credits: &Semaphore) {
        while let Some(kind) = reader.next().await {
            let needs_no_credit = is_last(&kind) || matches!(kind, EventKind::Offer(_));
            if !needs_no_credit {
                tokio::select! {
                    permit = credits.acquire() => match permit {
                        Ok(permit) => permit.forget(),
                        // The semaphore is never closed.
                        Err(_) => return,
                    },
                    () = reader.discarded() => continue,
                }
            }
            self.send(kind).await;
        }
    }

    async fn send(&self, kind: EventKind) {
        let load = self.load_due(&kind).then(|| self.shared.load());
        let event = Event { attempt: self.attempt, load, kind: Some(kind) };
        // Fails only if the connection is closed, and then the attempt's token is cancelled too.
        let _ = self.outbox.send(Frame::new(Body::Event(event))).await;
    }

    fn load_due(&self, kind: &EventKind) -> bool {
        let mut last = self.last_load.lock().unwrap_or_else(PoisonError::into_inner);
        let due = last.is_none_or(|last| last.elapsed() >= LOAD_INTERVAL);
        if due || is_last(kind) || matches!(kind, EventKind::Offer(_)) {
            *last = Some(Instant::now());
            return true;
        }
        false
    }
}

fn add_credit(credit: &Semaphore, events: u32) {
    let remaining = usize::try_from(MAX_CREDIT).unwrap_or(usize::MAX);
    let remaining = remaining.saturating_sub(credit.available_permits());
    credit.add_permits(remaining.min(usize::try_from(events).unwrap_or(usize::MAX)));
}
