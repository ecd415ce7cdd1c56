//! Numbered result codes, one for each answer that wingspur makes itself.

use crate::ExecutionState;

/// The result of a request that wingspur answered itself.
///
/// The table in `docs/RESULT_CODES.md` is checked against this enum by a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResultCode {
    /// No route has this path.
    NoRoute,
    /// The path is known, but not by this method.
    MethodNotAllowed,
    /// The request's head or body is over the limit.
    TooLarge,
    /// The request's framing is ambiguous.
    BadFraming,
    /// A once-only request has no key, or one of the wrong form.
    BadKey,
    /// The request carries no key that belongs to a client account.
    UnknownKey,
    /// The caller account is over its rate.
    AccountLimit,
    /// Whether the client account is over its rate could not be found out.
    QuotaUnavailable,
    /// Servers have ended under the request, and it is let through no more for now.
    Quarantined,
    /// All servers that may take the request have named limits that are used up.
    ServersAtLimit,
    /// All servers that may take the request have asked for rest.
    ServersBackingOff,
    /// The concern's places and queue are full.
    ServiceQueueFull,
    /// The deadline would pass, or passed, before the request was sent.
    DeadlineBeforeSend,
    /// No backend server may take the request now.
    NoServer,
    /// No backend server could be reached, or all refused before running.
    NotSent,
    /// The answer did not come before the deadline.
    DeadlineAfterSend,
    /// The connection failed after the request was sent.
    ConnectionLostAfterSend,
    /// The once-only claim could not be recorded.
    ClaimUnavailable,
    /// The once-only request is running now.
    InProgress,
    /// The once-only request has run before.
    AlreadyRun,
    /// The once-only request may have run before.
    OutcomeUnknown,
    /// The key is older than what is kept.
    KeyTooOld,
    /// The box has no bundle yet.
    NotReady,
    /// The box's news is too old to say that a route or a key does not exist.
    CatalogStale,
}

impl ResultCode {
    /// All codes, in the order of their numbers.
    pub const ALL: [Self; 24] = [
        Self::NoRoute,
        Self::MethodNotAllowed,
        Self::TooLarge,
        Self::BadFraming,
        Self::BadKey,
        Self::UnknownKey,
        Self::AccountLimit,
        Self::ServiceQueueFull,
        Self::DeadlineBeforeSend,
        Self::QuotaUnavailable,
        Self::Quarantined,
        Self::ServersAtLimit,
        Self::ServersBackingOff,
        Self::NoServer,
        Self::NotSent,
        Self::DeadlineAfterSend,
        Self::ConnectionLostAfterSend,
        Self::ClaimUnavailable,
        Self::InProgress,
        Self::AlreadyRun,
        Self::OutcomeUnknown,
        Self::KeyTooOld,
        Self::NotReady,
        Self::CatalogStale,
    ];

    /// The number in the `wingspur-result` header.
    pub fn number(self) -> u16 {
        match self {
            Self::NoRoute => 1001,
            Self::MethodNotAllowed => 1002,
            Self::TooLarge => 1003,
            Self::BadFraming => 1004,
            Self::BadKey => 1005,
            Self::UnknownKey => 1006,
            Self::AccountLimit => 2001,
            Self::ServiceQueueFull => 2002,
            Self::DeadlineBeforeSend => 2003,
            Self::QuotaUnavailable => 2004,
            Self::Quarantined => 2005,
            Self::ServersAtLimit => 2006,
            Self::ServersBackingOff => 2007,
            Self::NoServer => 3001,
            Self::NotSent => 3002,
            Self::DeadlineAfterSend => 3003,
            Self::ConnectionLostAfterSend => 3004,
            Self::ClaimUnavailable => 4001,
            Self::InProgress => 4002,
            Self::AlreadyRun => 4003,
            Self::OutcomeUnknown => 4004,
            Self::KeyTooOld => 4005,
            Self::NotReady => 5001,
            Self::CatalogStale => 5002,
        }
    }

    /// The HTTP status that goes with the code.
    pub fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::MethodNotAllowed => 405,
            Self::TooLarge => 413,
            Self::BadFraming | Self::BadKey => 400,
            Self::UnknownKey => 401,
            Self::AccountLimit => 429,
            Self::ServiceQueueFull | Self::NoServer | Self::ClaimUnavailable => 503,
            Self::QuotaUnavailable | Self::Quarantined => 503,
            Self::ServersAtLimit | Self::ServersBackingOff => 503,
            Self::DeadlineBeforeSend | Self::NotReady | Self::CatalogStale => 503,
            // A caller may trust a 503 to mean that nothing ran.
            Self::NotSent => 503,
            Self::ConnectionLostAfterSend => 502,
            Self::DeadlineAfterSend => 504,
            Self::InProgress | Self::AlreadyRun | Self::OutcomeUnknown => 409,
            Self::KeyTooOld => 410,
        }
    }

    /// The short name used in metric labels and the body.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::TooLarge => "too_large",
            Self::BadFraming => "bad_framing",
            Self::BadKey => "bad_key",
            Self::UnknownKey => "unknown_key",
            Self::AccountLimit => "account_limit",
            Self::QuotaUnavailable => "allowance_unknown",
            Self::Quarantined => "quarantined",
            Self::ServersAtLimit => "servers_at_limit",
            Self::ServersBackingOff => "servers_rest",
            Self::ServiceQueueFull => "concern_full",
            Self::DeadlineBeforeSend => "deadline_before_send",
            Self::NoServer => "no_server",
            Self::NotSent => "not_sent",
            Self::DeadlineAfterSend => "deadline_in_doubt",
            Self::ConnectionLostAfterSend => "in_doubt",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::InProgress => "in_progress",
            Self::AlreadyRun => "already_run",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::KeyTooOld => "key_too_old",
            Self::NotReady => "not_ready",
            Self::CatalogStale => "news_late",
        }
    }

    /// What the code says about the request having run.
    pub fn run_state(self) -> ExecutionState {
        match self {
            Self::DeadlineAfterSend | Self::ConnectionLostAfterSend => {
                ExecutionState::Unknown
            }
            Self::InProgress | Self::OutcomeUnknown | Self::KeyTooOld => {
                ExecutionState::Unknown
            }
            Self::AlreadyRun => ExecutionState::Ran,
            _ => ExecutionState::NotRun,
        }
    }

    /// Seconds after which the caller may ask again; none where it should not.
    pub fn retry_after_s(self) -> Option<u32> {
        match self {
            Self::AccountLimit | Self::ServiceQueueFull => Some(1),
            Self::QuotaUnavailable => Some(1),
            Self::ServersAtLimit | Self::ServersBackingOff => Some(1),
            Self::DeadlineBeforeSend | Self::NoServer | Self::NotSent => Some(1),
            Self::InProgress | Self::NotReady | Self::CatalogStale => Some(1),
            Self::ClaimUnavailable | Self::Quarantined => Some(5),
            _ => None,
        }
    }
}
