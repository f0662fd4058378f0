//! The reasons for which a request fails; `docs/CALLERS.md` documents them for callers.

use salvo::http::StatusCode;

/// Generates the enum, its stable names and its statuses from one list, so that no variant lacks
/// one.
macro_rules! reasons {
    ($($(#[$doc:meta])* $variant:ident = $name:literal, $status:ident;)*) => {
        /// Why a request failed.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Reason { $($(#[$doc])* $variant,)* }

        impl Reason {
            /// All variants.
            pub const ALL: &[Reason] = &[$(Reason::$variant,)*];

            /// Returns the stable name, in kebab case.
            pub fn name(self) -> &'static str {
                match self { $(Reason::$variant => $name,)* }
            }

            /// Returns the HTTP status.
            pub fn status(self) -> StatusCode {
                match self { $(Reason::$variant => StatusCode::$status,)* }
            }
        }
    };
}

reasons! {
    /// The body is not a valid request.
    BadBody = "bad-body", BAD_REQUEST;
    /// A header is invalid or contradicts another.
    BadHeader = "bad-header", BAD_REQUEST;
    /// The bearer token belongs to no caller.
    UnknownCaller = "unknown-caller", UNAUTHORIZED;
    /// The model is not configured.
    UnknownModel = "unknown-model", NOT_FOUND;
    /// The service is not configured.
    UnknownService = "unknown-service", NOT_FOUND;
    /// The caller has no response with this event id.
    UnknownAnswer = "unknown-answer", NOT_FOUND;
    /// There is no route with this path.
    UnknownPath = "unknown-path", NOT_FOUND;
    /// The body did not arrive in time.
    BodyTimeout = "body-timeout", REQUEST_TIMEOUT;
    /// The body is larger than allowed.
    BodyTooLarge = "body-too-large", PAYLOAD_TOO_LARGE;
    /// The idempotency key was used for another call.
    KeyReused = "key-reused", UNPROCESSABLE_ENTITY;
    /// The caller has used up its tokens per second.
    RateLimit = "rate-limit", TOO_MANY_REQUESTS;
    /// The caller has too many open requests.
    ConcurrencyLimit = "concurrency-limit", TOO_MANY_REQUESTS;
    /// The entry holds its maximum of requests or body bytes.
    EntryFull = "entry-full", SERVICE_UNAVAILABLE;
    /// The entry has not received the configuration yet.
    NotReady = "not-ready", SERVICE_UNAVAILABLE;
    /// The request can't begin before its deadline because of the work ahead of it.
    Overloaded = "overloaded", SERVICE_UNAVAILABLE;
    /// The deadline passed.
    DeadlineExceeded = "deadline-exceeded", GATEWAY_TIMEOUT;
    /// No active target can serve the request.
    NoTarget = "no-target", SERVICE_UNAVAILABLE;
    /// The target's agent can't be reached.
    AgentUnreachable = "agent-unreachable", SERVICE_UNAVAILABLE;
    /// The connection to the agent was lost.
    AgentLost = "agent-lost", BAD_GATEWAY;
    /// The request crashed targets and is blocked.
    Quarantined = "quarantined", SERVICE_UNAVAILABLE;
    /// The agent can't connect to its target.
    TargetDown = "target-down", SERVICE_UNAVAILABLE;
    /// The target refused the request.
    TargetRefused = "target-refused", SERVICE_UNAVAILABLE;
    /// The target stopped responding during the request.
    TargetBroken = "target-broken", BAD_GATEWAY;
    /// The target does not serve this model or service.
    WrongTarget = "wrong-target", SERVICE_UNAVAILABLE;
    /// The target is draining for a planned change.
    Draining = "draining", SERVICE_UNAVAILABLE;
    /// The agent offered a slot, but the entry did not begin the attempt in time.
    OfferExpired = "offer-expired", SERVICE_UNAVAILABLE;
    /// The entry has too many open attempts at the agent.
    TooManyAttempts = "too-many-attempts", SERVICE_UNAVAILABLE;
    /// The agent already has an attempt with this id.
    AttemptReused = "attempt-reused", SERVICE_UNAVAILABLE;
    /// The attempt was cancelled at the agent.
    Cancelled = "cancelled", SERVICE_UNAVAILABLE;
    /// The caller did not read its response for too long.
    SlowReader = "slow-reader", REQUEST_TIMEOUT;
    /// The agent's queue is full.
    QueueFull = "queue-full", SERVICE_UNAVAILABLE;
    /// The log is unavailable, and without it no call that may not be repeated is begun.
    LogUnavailable = "log-unavailable", SERVICE_UNAVAILABLE;
    /// The agent does not hold the claim to its target at present.
    NoClaim = "no-claim", SERVICE_UNAVAILABLE;
    /// The same call is in progress.
    InProgress = "in-progress", CONFLICT;
    /// The call was executed, but its response was too large to be recorded.
    AnswerNotKept = "answer-not-kept", GONE;
    /// The call was begun and its outcome is unknown.
    OutcomeUnknown = "outcome-unknown", BAD_GATEWAY;
    /// The target or its agent gave a reason that this version does not know.
    Other = "other", SERVICE_UNAVAILABLE;
}

impl Reason {
    /// Returns whether the request may succeed at another target after a failure for this reason.
    pub(crate) fn may_succeed_elsewhere(self) -> bool {
        match self {
            Reason::NoTarget
            | Reason::AgentUnreachable
            | Reason::AgentLost
            | Reason::TargetDown
            | Reason::TargetRefused
            | Reason::TargetBroken
            | Reason::WrongTarget
            | Reason::Draining
            | Reason::OfferExpired
            | Reason::TooManyAttempts
            | Reason::AttemptReused
            | Reason::Cancelled
            | Reason::QueueFull
            | Reason::Overloaded
            | Reason::LogUnavailable
            | Reason::NoClaim
            | Reason::Other => true,
            Reason::BadBody
            | Reason::BadHeader
            | Reason::UnknownCaller
            | Reason::UnknownModel
            | Reason::UnknownService
            | Reason::UnknownAnswer
            | Reason::UnknownPath
            | Reason::BodyTimeout
            | Reason::BodyTooLarge
            | Reason::KeyReused
            | Reason::RateLimit
            | Reason::ConcurrencyLimit
            | Reason::SlowReader
            | Reason::AnswerNotKept
            | Reason::EntryFull
            | Reason::NotReady
            | Reason::DeadlineExceeded
            | Reason::Quarantined
            | Reason::InProgress
            | Reason::OutcomeUnknown => false,
        }
    }

    /// Returns whether the reason is a failure of the target, rather than overload or a wrong
    /// choice of target.
    pub(crate) fn is_target_fault(self) -> bool {
        matches!(
            self,
            Reason::AgentUnreachable
                | Reason::AgentLost
                | Reason::TargetDown
                | Reason::TargetRefused
                | Reason::TargetBroken
        )
    }

    /// Returns the reason with this stable name, or [`Reason::Other`].
    pub fn from_name(name: &str) -> Self {
        let found = Self::ALL.iter().find(|reason| reason.name() == name);
        found.copied().unwrap_or(Reason::Other)
    }
}
