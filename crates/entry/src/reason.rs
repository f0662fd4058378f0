//! All reasons for which a request gets no answer; `docs/CALLERS.md` lists them for callers.

use salvo::http::StatusCode;

/// Makes the enum, its stable names and statuses from one list, so that none can be forgotten.
macro_rules! reasons {
    ($($(#[$doc:meta])* $variant:ident = $name:literal, $status:ident;)*) => {
        /// Why a request gets no answer.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Reason { $($(#[$doc])* $variant,)* }

        impl Reason {
            /// All reasons.
            pub const ALL: &[Reason] = &[$(Reason::$variant,)*];

            /// The stable name, in kebab case.
            pub fn name(self) -> &'static str {
                match self { $(Reason::$variant => $name,)* }
            }

            /// The HTTP status that goes with it.
            pub fn status(self) -> StatusCode {
                match self { $(Reason::$variant => StatusCode::$status,)* }
            }
        }
    };
}

reasons! {
    /// The body is no valid request.
    BadBody = "bad-body", BAD_REQUEST;
    /// A header is invalid or contradicts another.
    BadHeader = "bad-header", BAD_REQUEST;
    /// No caller has the bearer token.
    UnknownCaller = "unknown-caller", UNAUTHORIZED;
    /// No such model is in the configuration.
    UnknownModel = "unknown-model", NOT_FOUND;
    /// No such service is in the configuration.
    UnknownService = "unknown-service", NOT_FOUND;
    /// There is no answer of this caller's with the event id.
    UnknownAnswer = "unknown-answer", NOT_FOUND;
    /// The path leads nowhere.
    UnknownPath = "unknown-path", NOT_FOUND;
    /// The body did not arrive in time.
    BodyTimeout = "body-timeout", REQUEST_TIMEOUT;
    /// The body is larger than allowed.
    BodyTooLarge = "body-too-large", PAYLOAD_TOO_LARGE;
    /// The idempotency key was used for another call.
    KeyReused = "key-reused", UNPROCESSABLE_ENTITY;
    /// The caller used more tokens a second than it may.
    RateLimit = "rate-limit", TOO_MANY_REQUESTS;
    /// The caller has more requests open than it may.
    ConcurrencyLimit = "concurrency-limit", TOO_MANY_REQUESTS;
    /// The entry holds as many requests or bytes as it can.
    EntryFull = "entry-full", SERVICE_UNAVAILABLE;
    /// The entry does not know the configuration yet.
    NotReady = "not-ready", SERVICE_UNAVAILABLE;
    /// It can't begin before its deadline, behind the work that is ahead of it.
    Overloaded = "overloaded", SERVICE_UNAVAILABLE;
    /// The deadline passed.
    DeadlineExceeded = "deadline-exceeded", GATEWAY_TIMEOUT;
    /// No target in service can do this.
    NoTarget = "no-target", SERVICE_UNAVAILABLE;
    /// The target's agent can't be reached.
    AgentUnreachable = "agent-unreachable", SERVICE_UNAVAILABLE;
    /// The connection to the agent was lost.
    AgentLost = "agent-lost", BAD_GATEWAY;
    /// The request crashed targets and is not run any more.
    Quarantined = "quarantined", SERVICE_UNAVAILABLE;
    /// The target can't be reached by its agent.
    TargetDown = "target-down", SERVICE_UNAVAILABLE;
    /// The target refused it.
    TargetRefused = "target-refused", SERVICE_UNAVAILABLE;
    /// The target broke off.
    TargetBroken = "target-broken", BAD_GATEWAY;
    /// The target does other work.
    WrongTarget = "wrong-target", SERVICE_UNAVAILABLE;
    /// A planned change is under way at the target.
    Draining = "draining", SERVICE_UNAVAILABLE;
    /// The target was free, but the entry did not begin in time.
    OfferExpired = "offer-expired", SERVICE_UNAVAILABLE;
    /// The agent has as many attempts of this entry as it takes.
    TooManyAttempts = "too-many-attempts", SERVICE_UNAVAILABLE;
    /// The attempt's id is in use at the agent.
    AttemptReused = "attempt-reused", SERVICE_UNAVAILABLE;
    /// The attempt was cancelled at the agent.
    Cancelled = "cancelled", SERVICE_UNAVAILABLE;
    /// The caller took nothing for too long.
    SlowReader = "slow-reader", REQUEST_TIMEOUT;
    /// The agent's queue is full.
    QueueFull = "queue-full", SERVICE_UNAVAILABLE;
    /// The log is out, without which a call that may not be repeated is not begun.
    LogUnavailable = "log-unavailable", SERVICE_UNAVAILABLE;
    /// The agent does not hold its target at present.
    NoClaim = "no-claim", SERVICE_UNAVAILABLE;
    /// The same call is under way.
    InProgress = "in-progress", CONFLICT;
    /// The call ran and was answered, but its answer was too large to be kept.
    AnswerNotKept = "answer-not-kept", GONE;
    /// The call was begun and its outcome is not known.
    OutcomeUnknown = "outcome-unknown", BAD_GATEWAY;
    /// The target or its agent gave a reason that this entry does not know yet.
    Other = "other", SERVICE_UNAVAILABLE;
}

impl Reason {
    /// Whether another target may do what one did not, for this reason.
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

    /// Whether the target failed, and was not merely full or the wrong one.
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

    /// Finds a reason by its stable name.
    pub fn from_name(name: &str) -> Self {
        let found = Self::ALL.iter().find(|reason| reason.name() == name);
        found.copied().unwrap_or(Reason::Other)
    }
}
