//! Responses to requests that fail: RFC 9457 problem details, or OpenAI's error object on its
//! routes.

use crate::Reason;
use crate::outcome::{AttemptHistory, Execution, Failure};
use salvo::Response;
use salvo::http::{HeaderValue, header};
use serde_json::json;
use std::time::Duration;

/// The final result of a request without a complete response.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Problem {
    pub(crate) reason: Reason,
    pub(crate) execution: Execution,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) detail: String,
}

impl Problem {
    /// Creates the problem of a request that was refused before any attempt.
    pub(crate) fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self::new(Failure::not_run(reason, detail), &AttemptHistory::new(true))
    }

    /// Creates the problem of a request whose last attempt failed, given its earlier attempts.
    pub(crate) fn new(failure: Failure, history: &AttemptHistory) -> Self {
        let mut history = *history;
        history.record(failure.progress);
        let Failure { reason, retry_after, detail, .. } = failure;
        // The call is known to have been executed, although its response was not recorded.
        let execution =
            if reason == Reason::AnswerNotKept { Execution::Run } else { history.execution() };
        Self { reason, execution, retry_after, detail }
    }

    /// Returns the body on OpenAI's routes.
    pub(crate) fn openai(&self) -> serde_json::Value {
        json!({"error": {
            "message": self.detail, "type": "lapismast", "code": self.reason.name(),
            "run": self.execution.name(),
        }})
    }

    /// Returns the body on all other routes.
    fn details(&self) -> serde_json::Value {
        let name = self.reason.name();
        json!({
            "type": format!("urn:lapismast:{name}"), "title": name,
            "status": self.reason.status().as_u16(), "detail": self.detail,
            "reason": name, "run": self.execution.name(),
        })
    }

    /// Writes the response on OpenAI's routes.
    pub(crate) fn render_openai(&self, response: &mut Response) {
        self.write(response, "application/json", &self.openai());
    }

    /// Writes the response on all other routes.
    pub(crate) fn render(&self, response: &mut Response) {
        self.write(response, "application/problem+json", &self.details());
    }

    fn write(&self, response: &mut Response, kind: &'static str, body: &serde_json::Value) {
        response.status_code(self.reason.status());
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
        if self.reason == Reason::UnknownCaller {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_secs_f64().ceil().to_string();
            if let Ok(value) = HeaderValue::try_from(seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response.body(body.to_string());
    }
}
