//! Numbered result codes, one for each kind of response that wingspur itself makes.

use serde::{Deserialize, Serialize};

/// The result of a request to which wingspur itself responded.
///
/// The table in `docs/RESULT_CODES.md` is checked against this enum by a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResultCode {
    /// No route matches the request's path.
    NoRoute,
    /// A route matches the path, but does not allow the method.
    MethodNotAllowed,
    /// The request's head or body is larger than the limit.
    TooLarge,
    /// The request's framing is ambiguous.
    BadFraming,
    /// A once-only request has no idempotency key, or a malformed one.
    BadKey,
    /// The request carries no key of a client account.
    UnknownKey,
    /// The client account has used up its quota.
    AccountLimit,
    /// It could not be determined whether the client account has used up its quota.
    QuotaUnavailable,
    /// The request is in quarantine, because servers ended while they ran it.
    Quarantined,
    /// All servers that may run the request have announced limits, which are used up.
    ServersAtLimit,
    /// All servers that may run the request have asked for a backoff.
    ServersBackingOff,
    /// The service is over its capacity, and more urgent requests go first.
    LessUrgent,
    /// The service's concurrency limit and its queue are full.
    ServiceQueueFull,
    /// The deadline passed, or would have passed, before the request was sent.
    DeadlineBeforeSend,
    /// No backend server may be used for the request now.
    NoServer,
    /// No backend server could be reached, or all refused the request before running it.
    NotSent,
    /// The request was sent, and no response arrived before the deadline.
    DeadlineAfterSend,
    /// The connection failed after the request was sent.
    ConnectionLostAfterSend,
    /// A server has refused the request, but only after it may have waited in its queue.
    DelayedRefusal,
    /// The once-only claim could not be recorded.
    ClaimUnavailable,
    /// The once-only request is running.
    InProgress,
    /// The once-only request has already run.
    AlreadyRun,
    /// The once-only request may have already run.
    OutcomeUnknown,
    /// The idempotency key is older than the retention period.
    KeyTooOld,
    /// The box has no active bundle yet.
    NotReady,
    /// The box's catalog is too stale to state that a route or a key does not exist.
    CatalogStale,
}

/// Name of the header with the number of the result code, in each response that wingspur
/// itself makes.
pub const RESULT_HEADER: &str = "wingspur-result";

/// Whether a request ran at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionState {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran.
    Ran,
}

impl ResultCode {
    /// All codes, in the order of their numbers.
    pub const ALL: [Self; 26] = [
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
        Self::LessUrgent,
        Self::NoServer,
        Self::NotSent,
        Self::DeadlineAfterSend,
        Self::ConnectionLostAfterSend,
        Self::DelayedRefusal,
        Self::ClaimUnavailable,
        Self::InProgress,
        Self::AlreadyRun,
        Self::OutcomeUnknown,
        Self::KeyTooOld,
        Self::NotReady,
        Self::CatalogStale,
    ];

    /// Returns the code with a number; `None` if there is none.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.into_iter().find(|code| code.number() == number)
    }

    /// Returns the number for the `wingspur-result` header.
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
            Self::LessUrgent => 2008,
            Self::NoServer => 3001,
            Self::NotSent => 3002,
            Self::DeadlineAfterSend => 3003,
            Self::ConnectionLostAfterSend => 3004,
            Self::DelayedRefusal => 3005,
            Self::ClaimUnavailable => 4001,
            Self::InProgress => 4002,
            Self::AlreadyRun => 4003,
            Self::OutcomeUnknown => 4004,
            Self::KeyTooOld => 4005,
            Self::NotReady => 5001,
            Self::CatalogStale => 5002,
        }
    }

    /// Returns the HTTP status of the response.
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
            Self::ServersAtLimit | Self::ServersBackingOff | Self::LessUrgent => 503,
            Self::DeadlineBeforeSend | Self::NotReady | Self::CatalogStale => 503,
            // Callers may rely on a 503 to mean that the request did not run.
            Self::NotSent => 503,
            Self::ConnectionLostAfterSend | Self::DelayedRefusal => 502,
            Self::DeadlineAfterSend => 504,
            Self::InProgress | Self::AlreadyRun | Self::OutcomeUnknown => 409,
            Self::KeyTooOld => 410,
        }
    }

    /// Returns the short name that metric labels and the response body contain.
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
            Self::LessUrgent => "less_urgent",
            Self::ServiceQueueFull => "concern_full",
            Self::DeadlineBeforeSend => "deadline_before_send",
            Self::NoServer => "no_server",
            Self::NotSent => "not_sent",
            Self::DeadlineAfterSend => "deadline_in_doubt",
            Self::ConnectionLostAfterSend => "in_doubt",
            Self::DelayedRefusal => "delayed_refusal",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::InProgress => "in_progress",
            Self::AlreadyRun => "already_run",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::KeyTooOld => "key_too_old",
            Self::NotReady => "not_ready",
            Self::CatalogStale => "news_late",
        }
    }

    /// Returns whether the request ran, as far as the code states it.
    pub fn run_state(self) -> ExecutionState {
        match self {
            Self::DeadlineAfterSend
            | Self::ConnectionLostAfterSend
            | Self::DelayedRefusal => ExecutionState::Unknown,
            Self::InProgress | Self::OutcomeUnknown | Self::KeyTooOld => {
                ExecutionState::Unknown
            }
            Self::AlreadyRun => ExecutionState::Ran,
            _ => ExecutionState::NotRun,
        }
    }

    /// Returns the time after which the caller may retry, in seconds; `None` where it
    /// should not retry.
    pub fn retry_after_s(self) -> Option<u32> {
        match self {
            Self::AccountLimit | Self::ServiceQueueFull => Some(1),
            Self::QuotaUnavailable => Some(1),
            Self::ServersAtLimit | Self::ServersBackingOff => Some(1),
            Self::LessUrgent => Some(1),
            Self::DeadlineBeforeSend | Self::NoServer | Self::NotSent => Some(1),
            Self::InProgress | Self::NotReady | Self::CatalogStale => Some(1),
            Self::ClaimUnavailable | Self::Quarantined => Some(5),
            _ => None,
        }
    }
}
