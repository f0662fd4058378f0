//! The entry's side of one attempt to run a request at an agent.

use crate::inbox::{CREDIT_EVENTS, Inbox};
use conf::Name;
use std::sync::Arc;
use tokio::sync::mpsc;
use wire::{AttemptId, Begin, Body, Cancel, Credit, EventKind, Frame, Progress};

/// Queue of frames to an agent.
pub(crate) type Outbox = mpsc::Sender<Frame>;

/// An attempt in progress; dropping it cancels its work at the agent.
pub(crate) struct Attempt {
    id: AttemptId,
    target: Name,
    events: mpsc::Receiver<EventKind>,
    outbox: Outbox,
    inbox: Arc<Inbox>,
    /// Whether the agent may start it without a `Begin` frame.
    begun: bool,
    ended: bool,
    /// Events received since the last credit.
    uncredited: u32,
}

/// Number of events after which the agent is granted credit for as many more.
const CREDIT_STEP: u32 = CREDIT_EVENTS / 2;

impl Attempt {
    /// Creates the attempt `id`; `begun` is false if it is held until [`Attempt::begin`].
    pub(crate) fn new(
        id: AttemptId,
        target: Name,
        events: mpsc::Receiver<EventKind>,
        outbox: Outbox,
        inbox: Arc<Inbox>,
        begun: bool,
    ) -> Self {
        Self { id, target, events, outbox, inbox, begun, ended: false, uncredited: 0 }
    }

    /// Returns the attempt's target.
    pub(crate) fn target(&self) -> &Name {
        &self.target
    }

    /// Returns the next event, or `None` if the connection to the agent is lost.
    pub(crate) async fn next(&mut self) -> Option<EventKind> {
        let kind = self.events.recv().await?;
        self.ended = matches!(kind, EventKind::End(_) | EventKind::Refusal(_));
        if !self.ended {
            self.grant_credit();
        }
        Some(kind)
    }

    /// Starts a held attempt that was offered; returns `false` if the connection is lost.
    pub(crate) async fn begin(&mut self) -> bool {
        self.begun = true;
        let begin = Frame::new(Body::Begin(Begin { attempt: self.id }));
        self.outbox.send(begin).await.is_ok()
    }

    /// Returns how far the attempt may have got if its connection is lost now.
    pub(crate) fn progress(&self) -> Progress {
        if self.begun { Progress::Unknown } else { Progress::NotRun }
    }

    fn grant_credit(&mut self) {
        self.uncredited += 1;
        if self.uncredited < CREDIT_STEP {
            return;
        }
        let credit = Credit { attempt: self.id, events: self.uncredited };
        // If the queue is full, the credit is sent after a later event.
        if self.outbox.try_send(Frame::new(Body::Credit(credit))).is_ok() {
            self.uncredited = 0;
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.inbox.remove(self.id);
        if self.ended {
            return;
        }
        let cancel = Frame::new(Body::Cancel(Cancel { attempt: self.id }));
        // A lost cancel would leave the engine working without a receiver, so it waits for space in
        // the queue. A closed connection cancels implicitly.
        if let Err(mpsc::error::TrySendError::Full(cancel)) = self.outbox.try_send(cancel) {
            let outbox = self.outbox.clone();
            tokio::spawn(async move { outbox.send(cancel).await });
        }
    }
}
