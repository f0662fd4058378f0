//! The stage of an engine, and an announced change of it.

use crate::config::route::Stage;
use std::time::Duration;
use tokio::time::Instant;

/// The current stage of an engine, and the change that was announced.
#[derive(Debug, Default)]
pub(super) struct Role {
    stage: Option<Stage>,
    change: Option<Change>,
}

/// An announced stage change.
#[derive(Debug, Clone, Copy)]
struct Change {
    stage: Stage,
    since: Instant,
    until: Instant,
}

impl Role {
    pub(super) fn stage(&self) -> Option<Stage> {
        self.stage
    }

    /// Sets the stage and returns whether it changed.
    pub(super) fn set(&mut self, stage: Option<Stage>) -> bool {
        std::mem::replace(&mut self.stage, stage) != stage
    }

    /// Records that the stage is about to change, until `until` at the latest.
    pub(super) fn expect_change(&mut self, stage: Stage, now: Instant, until: Instant) {
        if self.stage != Some(stage) {
            self.change = Some(Change { stage, since: now, until });
        }
    }

    pub(super) fn is_changing(&self, now: Instant) -> bool {
        self.change.is_some_and(|change| self.stage != Some(change.stage) && now < change.until)
    }

    /// How long ago a change to `stage` was announced, if it is still pending.
    pub(super) fn stage_change_age(&self, stage: Stage, now: Instant) -> Option<Duration> {
        let change = self.change.filter(|change| change.stage == stage);
        change.filter(|_| self.is_changing(now)).map(|change| now.duration_since(change.since))
    }

    /// The stage after the announced change, or else the current stage.
    pub(super) fn next_stage(&self, now: Instant) -> Option<Stage> {
        let change = self.change.filter(|change| now < change.until);
        Some(change.map_or(self.stage?, |change| change.stage))
    }
}
