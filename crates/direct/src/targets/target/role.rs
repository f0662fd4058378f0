//! The stage that an engine has, and the one that was announced.

use crate::config::route::Stage;
use std::time::Duration;
use tokio::time::Instant;

/// What an engine does, and is about to do.
#[derive(Debug, Default)]
pub(super) struct Role {
    stage: Option<Stage>,
    change: Option<Change>,
}

/// A change of stage that was announced.
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

    /// Takes in the stage and says whether it changed.
    pub(super) fn set(&mut self, stage: Option<Stage>) -> bool {
        std::mem::replace(&mut self.stage, stage) != stage
    }

    /// Notes that the stage is about to change until then.
    pub(super) fn expect(&mut self, stage: Stage, now: Instant, until: Instant) {
        if self.stage != Some(stage) {
            self.change = Some(Change { stage, since: now, until });
        }
    }

    pub(super) fn is_changing(&self, now: Instant) -> bool {
        self.change.is_some_and(|change| self.stage != Some(change.stage) && now < change.until)
    }

    /// For how long it has been about to have this stage, if it is.
    pub(super) fn stage_change_age(&self, stage: Stage, now: Instant) -> Option<Duration> {
        let change = self.change.filter(|change| change.stage == stage);
        change.filter(|_| self.is_changing(now)).map(|change| now.duration_since(change.since))
    }

    /// The stage that it has, or is about to have.
    pub(super) fn next(&self, now: Instant) -> Option<Stage> {
        let change = self.change.filter(|change| now < change.until);
        Some(change.map_or(self.stage?, |change| change.stage))
    }
}
