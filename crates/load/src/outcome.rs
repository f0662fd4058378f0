//! What became of a request, as its caller sees it.

use compact_str::CompactString;
use std::time::Duration;

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The whole answer to this request came.
    Complete,
    /// It was refused, and the caller told that it did not run.
    Refused(CompactString),
    /// The caller was told that the outcome is unknown.
    Unknown(CompactString),
    /// The answer broke off.
    Cut(CompactString),
    /// An answer came to its end but is not the one to this request, or not all of it.
    Torn,
    /// No entry could be reached.
    Unreachable,
    /// No answer came in the time that any deadline allows.
    Unanswered,
}

/// What was seen of one request.
#[derive(Debug, Clone)]
pub(crate) struct Sample {
    pub(crate) outcome: Outcome,
    /// From the arrival to the first token, or to the answer of a call.
    pub(crate) first: Option<Duration>,
    /// From the arrival to the end.
    pub(crate) whole: Duration,
    /// Between each two tokens.
    pub(crate) gaps: Vec<Duration>,
    /// Tokens of the answer.
    pub(crate) tokens: u32,
    /// How often it was sent again.
    pub(crate) retries: u32,
    /// How often its stream was resumed.
    pub(crate) resumes: u32,
}

impl Sample {
    /// A request of which nothing has been seen yet.
    pub(crate) fn new() -> Self {
        Self {
            outcome: Outcome::Unanswered,
            first: None,
            whole: Duration::ZERO,
            gaps: Vec::new(),
            tokens: 0,
            retries: 0,
            resumes: 0,
        }
    }
}
