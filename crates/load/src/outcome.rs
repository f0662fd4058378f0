//! Outcome of a request as its caller sees it.

use compact_str::CompactString;
use std::time::Duration;

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The complete answer to this request was received.
    Complete,
    /// The request was refused for this reason, with the guarantee that it did not run.
    Refused(CompactString),
    /// The response gave this reason and no guarantee that the request did not run.
    Unknown(CompactString),
    /// The answer broke off for this reason.
    Cut(CompactString),
    /// An answer ended normally but belongs to another request, or lacks or repeats a part.
    Corrupt,
    /// No entry could be reached.
    Unreachable,
    /// No answer was received within the deadline and the grace time after it.
    Unanswered,
}

/// Measurements of one request.
#[derive(Debug, Clone)]
pub(crate) struct Sample {
    pub(crate) outcome: Outcome,
    /// Time from the arrival to the first token, or to the answer of a call.
    pub(crate) first: Option<Duration>,
    /// Time from the arrival to the end.
    pub(crate) duration: Duration,
    /// Times between tokens.
    pub(crate) gaps: Vec<Duration>,
    /// Tokens received.
    pub(crate) tokens: u32,
    /// Number of retries.
    pub(crate) retries: u32,
    /// Number of retries that resumed its stream.
    pub(crate) resumes: u32,
}

impl Sample {
    /// Makes the sample of a request without a response.
    pub(crate) fn new() -> Self {
        Self {
            outcome: Outcome::Unanswered,
            first: None,
            duration: Duration::ZERO,
            gaps: Vec::new(),
            tokens: 0,
            retries: 0,
            resumes: 0,
        }
    }
}
