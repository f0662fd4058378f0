//! Records which targets each recent request was sent to and why, for `lapismast explain`.

use compact_str::{CompactString, format_compact};
use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::Instant;

/// Maximum number of recorded requests: some seconds of an entry's share of the peak. At about 1 KB
/// each they take a few megabytes.
const MAX_REQUESTS: usize = 4_096;

/// Maximum number of recorded steps per request.
const MAX_STEPS: usize = 64;

/// The history of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The request's id.
    pub request: CompactString,
    /// The caller.
    pub caller: CompactString,
    /// The requested model or service.
    pub asked: CompactString,
    /// The steps in order.
    pub steps: Vec<Step>,
    /// The targets that it was sent to, in order.
    pub targets: Vec<CompactString>,
    /// The reports of the targets' agents.
    pub agents: Vec<AgentReport>,
}

/// An agent's report on a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AgentReport {
    /// The agent's target.
    pub target: CompactString,
    /// The report, one event per line.
    pub text: String,
}

/// One step in the processing of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Milliseconds since the request arrived.
    pub at_ms: u64,
    /// What was done, and why.
    pub text: CompactString,
}

/// Records the steps of one request.
#[derive(Clone)]
pub(crate) struct ExplanationRecorder {
    started_at: Instant,
    inner: Arc<Mutex<Explanation>>,
}

impl ExplanationRecorder {
    /// Records that the request is sent to a target.
    pub(crate) fn record_sent(&self, target: &str) {
        self.record(format_compact!("sent to {target}"));
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if !inner.targets.iter().any(|other| other == target) {
            inner.targets.push(target.into());
        }
    }
}

/// The explanations of recent requests.
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
    /// Records a step.
    pub(crate) fn record(&self, text: CompactString) {
        let at_ms = u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if inner.steps.len() < MAX_STEPS {
            inner.steps.push(Step { at_ms, text });
        }
    }
}

impl Explanations {
    /// Starts the explanation of a request; the oldest one is dropped if there are too many.
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

    /// Returns the explanation of a request, if it is recent.
    pub(crate) fn find(&self, request: &str) -> Option<Explanation> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let recorder = recent.by_id.get(request)?;
        let inner = recorder.inner.lock().unwrap_or_else(PoisonError::into_inner);
        Some(inner.clone())
    }
}
