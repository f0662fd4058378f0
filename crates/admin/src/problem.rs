//! Responses of failed calls: RFC 9457 problem details.

use crate::api::Details;
use compact_str::CompactString;
use salvo::Response;
use salvo::http::{HeaderValue, StatusCode, header};

/// Why a call failed.
#[derive(Debug, Clone, PartialEq)]
pub struct Problem {
    status: StatusCode,
    title: &'static str,
    detail: String,
    field: Option<CompactString>,
}

impl Problem {
    /// The token is missing or wrong.
    pub(crate) fn unauthorized() -> Self {
        let detail = "this needs the operators' bearer token";
        Self::new(StatusCode::UNAUTHORIZED, "unauthorized", detail)
    }

    /// The resource, request or path does not exist.
    pub(crate) fn not_found(detail: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, "not-found", detail)
    }

    /// The request is malformed.
    pub(crate) fn bad_request(detail: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad-request", detail)
    }

    /// The body is larger than allowed.
    pub(crate) fn too_large(limit: usize) -> Self {
        let detail = format!("a body has at most {limit} bytes");
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", detail)
    }

    fn new(status: StatusCode, title: &'static str, detail: impl Into<String>) -> Self {
        Self { status, title, detail: detail.into(), field: None }
    }

    /// Writes the response.
    pub(crate) fn render(&self, response: &mut Response) {
        let details = Details {
            uri: format!("urn:lapismast:{}", self.title),
            title: self.title.into(),
            status: self.status.as_u16(),
            detail: self.detail.clone(),
            field: self.field.clone(),
        };
        response.status_code(self.status);
        let content_type = HeaderValue::from_static("application/problem+json");
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        if self.status == StatusCode::UNAUTHORIZED {
            let scheme = HeaderValue::from_static("Bearer");
            response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
        }
        response.body(serde_json::to_string(&details).unwrap_or_default());
    }
}

impl From<conf::Error> for Problem {
    fn from(error: conf::Error) -> Self {
        let field = match &error {
            conf::Error::Invalid { path, .. } => Some(path.clone()),
            conf::Error::Syntax { place, .. } => Some(place.clone()),
        };
        let (status, detail) = (StatusCode::UNPROCESSABLE_ENTITY, error.to_string());
        Self { status, title: "invalid", detail, field }
    }
}

impl From<state::Error> for Problem {
    fn from(error: state::Error) -> Self {
        let detail = error.to_string();
        match error {
            state::Error::Invalid(error) => error.into(),
            state::Error::Conflict { .. } => Self::new(StatusCode::CONFLICT, "conflict", detail),
            state::Error::Refused { .. } => {
                Self::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid", detail)
            }
            state::Error::Log(_) => {
                Self::new(StatusCode::SERVICE_UNAVAILABLE, "log-unavailable", detail)
            }
            state::Error::Unsettled { .. }
            | state::Error::Unreadable { .. }
            | state::Error::Snapshot { .. }
            | state::Error::Peer { .. } => {
                Self::new(StatusCode::GATEWAY_TIMEOUT, "outcome-unknown", detail)
            }
        }
    }
}
