//! What a caller is told when its request gets no answer: RFC 9457 problem details, or OpenAI's
//! error object on its routes.

use salvo::Response;
use salvo::http::{HeaderValue, StatusCode, header};
use serde_json::json;
use std::time::Duration;
use wire::{Progress, Refusal};

/// Why a request gets no answer, and whether it was run.
#[derive(Debug, Clone)]
pub(crate) struct Problem {
    pub(crate) status: StatusCode,
    pub(crate) reason: String,
    pub(crate) progress: Progress,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) detail: String,
}

impl Problem {
    /// A request that was refused and did not run.
    pub(crate) fn not_run(status: StatusCode, reason: &str, detail: impl Into<String>) -> Self {
        let reason = reason.to_owned();
        let progress = Progress::NotRun;
        Self { status, reason, progress, retry_after: None, detail: detail.into() }
    }

    /// What became of an attempt that its agent gave up.
    pub(crate) fn from_refusal(refusal: Refusal) -> Self {
        let progress = refusal.progress();
        let wait = Duration::from_millis(refusal.retry_after_ms);
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: refusal.reason,
            progress,
            retry_after: (!wait.is_zero()).then_some(wait),
            detail: refusal.detail,
        }
    }

    /// An attempt whose agent was lost while it may have been running.
    pub(crate) fn lost() -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            reason: "agent-lost".to_owned(),
            progress: Progress::Unknown,
            retry_after: None,
            detail: "the connection to the target's agent was lost".to_owned(),
        }
    }

    fn run(&self) -> &'static str {
        match self.progress {
            Progress::NotRun => "not-run",
            Progress::Unknown | Progress::Started => "unknown",
        }
    }

    /// The body on OpenAI's routes.
    pub(crate) fn openai(&self) -> serde_json::Value {
        json!({"error": {
            "message": self.detail, "type": "lapismast", "code": self.reason, "run": self.run(),
        }})
    }

    /// The body on all other routes.
    fn details(&self) -> serde_json::Value {
        json!({
            "type": format!("urn:lapismast:{}", self.reason), "title": self.reason,
            "status": self.status.as_u16(), "detail": self.detail, "run": self.run(),
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
        response.status_code(self.status);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_secs_f64().ceil().to_string();
            if let Ok(value) = HeaderValue::try_from(seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response.body(body.to_string());
    }
}
