//! One attempt to run a request at one agent, as the entry sees it.

use crate::inbox::{CREDIT_EVENTS, Inbox};
use conf::Name;
use std::sync::Arc;
use tokio::sync::mpsc;
use wire::{AttemptId, Begin, Body, Cancel, Credit, EventKind, Frame, Progress};

/// Frames on their way to an agent.
pub(crate) type Outbox = mpsc::Sender<Frame>;

/// An attempt under way; dropping it cancels its work at the agent.
pub(crate) struct Attempt {
    id: AttemptId,
    target: Name,
    events: mpsc::Receiver<EventKind>,
    outbox: Outbox,
    inbox: Arc<Inbox>,
    /// Whether the agent may start it without a further word.
    begun: bool,
    ended: bool,
    /// Events taken since the agent was last given credit.
    uncredited: u32,
}

/// After how many events the agent is given credit for as many more.
const CREDIT_STEP: u32 = CREDIT_EVENTS / 2;

impl Attempt {
    /// Wraps the events of the attempt `id`; `begun` unless it is held until [`Attempt::begin`].
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

    /// The target at which it runs.
    pub(crate) fn target(&self) -> &Name {
        &self.target
    }

    /// The next event, or `None` when the connection to the agent is lost.
    pub(crate) async fn next(&mut self) -> Option<EventKind> {
        let kind = self.events.recv().await?;
        self.ended = matches!(kind, EventKind::End(_) | EventKind::Refusal(_));
        if !self.ended {
            self.grant_credit();
        }
        Some(kind)
    }

    /// Starts a held attempt that was offered; `false` if the connection is lost.
    pub(crate) async fn begin(&mut self) -> bool {
        self.begun = true;
        let begin = Frame::new(Body::Begin(Begin { attempt: self.id }));
        self.outbox.send(begin).await.is_ok()
    }

    /// How far it may have come if its connection is lost now.
    pub(crate) fn progress(&self) -> Progress {
        if self.begun { Progress::Unknown } else { Progress::NotRun }
    }

    fn grant_credit(&mut self) {
        self.uncredited += 1;
        if self.uncredited < CREDIT_STEP {
            return;
        }
        let credit = Credit { attempt: self.id, events: self.uncredited };
        // If the queue is full, the credit stays owed and goes with the next event.
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
        // A cancel that is lost would leave the engine working for nobody, so it waits for room;
        // a closed connection cancels by itself.
        if let Err(mpsc::error::TrySendError::Full(cancel)) = self.outbox.try_send(cancel) {
            let outbox = self.outbox.clone();
            tokio::spawn(async move { outbox.send(cancel).await });
        }
    }
}
