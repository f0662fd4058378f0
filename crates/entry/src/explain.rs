//! Where each recent request was sent and why, for `lapismast explain`.

use compact_str::{CompactString, format_compact};
use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::Instant;

/// How many requests are remembered: some seconds of an entry's share of the peak, and about
/// 1 KB each, so a few megabytes at most.
const MAX_REQUESTS: usize = 4_096;

/// How many steps of one request are remembered.
const MAX_STEPS: usize = 64;

/// What the entry knows of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The request's id.
    pub request: CompactString,
    /// The caller.
    pub caller: CompactString,
    /// What it asked for: a model or a service.
    pub asked: CompactString,
    /// What was done, in order.
    pub steps: Vec<Step>,
    /// The targets to which it was sent, in order.
    pub targets: Vec<CompactString>,
    /// What the targets' agents say of it.
    pub agents: Vec<AgentReport>,
}

/// What one agent says of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AgentReport {
    /// The target beside which it stands.
    pub target: CompactString,
    /// Its words, one line an event.
    pub text: String,
}

/// One thing that was done with a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Milliseconds since the request was taken.
    pub at_ms: u64,
    /// What was done, and why.
    pub text: CompactString,
}

/// The account of one request, to which its handler adds steps.
#[derive(Clone)]
pub(crate) struct ExplanationRecorder {
    started_at: Instant,
    inner: Arc<Mutex<Explanation>>,
}

impl ExplanationRecorder {
    /// Notes that the request is sent to a target.
    pub(crate) fn record_sent(&self, target: &str) {
        self.record(format_compact!("sent to {target}"));
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if !inner.targets.iter().any(|other| other == target) {
            inner.targets.push(target.into());
        }
    }
}

/// The accounts of recent requests.
#[derive(Default)]
pub(crate) struct Explanations {
    recent: Mutex<Recent>,
}

#[derive(Default)]
struct Recent {
    order: VecDeque<CompactString>,
    by_id: HashMap<CompactString, ExplanationRecorder>,
}

impl ExplanationRecorder {
    /// Adds a step.
    pub(crate) fn record(&self, text: CompactString) {
        let at_ms = u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if inner.steps.len() < MAX_STEPS {
            inner.steps.push(Step { at_ms, text });
        }
    }
}

impl Explanations {
    /// Opens the account of a request.
    pub(crate) fn start(&self, request: &str, caller: &str, asked: &str) -> ExplanationRecorder {
        let explanation = Explanation {
            request: request.into(),
            caller: caller.into(),
            asked: asked.into(),
            steps: Vec::new(),
            targets: Vec::new(),
            agents: Vec::new(),
        };
        let inner = Arc::new(Mutex::new(explanation));
        let recorder = ExplanationRecorder { started_at: Instant::now(), inner };
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.order.len() >= MAX_REQUESTS
            && let Some(oldest) = recent.order.pop_front()
        {
            recent.by_id.remove(&oldest);
        }
        recent.order.push_back(request.into());
        recent.by_id.insert(request.into(), recorder.clone());
        recorder
    }

    /// What is known of a request.
    pub(crate) fn find(&self, request: &str) -> Option<Explanation> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let recorder = recent.by_id.get(request)?;
        let inner = recorder.inner.lock().unwrap_or_else(PoisonError::into_inner);
        Some(inner.clone())
    }
}
