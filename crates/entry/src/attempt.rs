//! One attempt to run a request at one agent, as the entry sees it.

use crate::peer::Outbox;
use tokio::sync::mpsc;
use wire::{AttemptId, Body, Cancel, Event, EventKind, Frame};

/// An attempt under way; dropping it cancels its work at the agent.
pub(crate) struct Attempt {
    id: AttemptId,
    events: mpsc::Receiver<Event>,
    outbox: Outbox,
    ended: bool,
}

impl Attempt {
    /// Wraps the events of attempt `id`, which was submitted through `outbox`.
    pub(crate) fn new(id: AttemptId, events: mpsc::Receiver<Event>, outbox: Outbox) -> Self {
        Self { id, events, outbox, ended: false }
    }

    /// The next event, or `None` when the connection to the agent is lost.
    pub(crate) async fn next(&mut self) -> Option<EventKind> {
        let kind = self.events.recv().await.and_then(|event| event.kind);
        self.ended = matches!(kind, None | Some(EventKind::End(_) | EventKind::Refusal(_)));
        kind
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.ended {
            let cancel = Frame::new(Body::Cancel(Cancel { attempt: self.id }));
            // If the queue is full the connection is as good as lost, and its end cancels too.
            let _ = self.outbox.try_send(cancel);
        }
    }
}
