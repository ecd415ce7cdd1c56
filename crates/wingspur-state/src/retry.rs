//! The retry policy: decides from an attempt's outcome, the route class, the deadline and
//! the retry budget whether a request is sent again.

use std::time::Duration;

use crate::RouteClass;

/// How an attempt at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// Nothing of the request left this box.
    NotSent,
    /// The server refused with a status that the route declares to mean "not run".
    RefusedBeforeRunning,
    /// The request was sent and no response came, so it may have run.
    InDoubt,
    /// A complete response head arrived; the response is passed on to the caller.
    Answered,
    /// The server responded with an error, and nothing of it was passed on to the caller.
    ServerError,
    /// The response was interrupted after its beginning was passed on to the caller.
    Cut,
}

impl AttemptEnd {
    /// Whether it is certain that the request did not run in this attempt.
    pub fn certainly_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::RefusedBeforeRunning)
    }
}

/// Why a request is sent again; each reason has a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// Nothing of the previous attempt left this box.
    NotSent,
    /// The server refused the previous attempt before running it.
    RefusedBeforeRunning,
    /// The previous attempt may have run, and the route class is retry-safe.
    InDoubt,
    /// The server failed the previous attempt, and the route class is retry-safe.
    ServerError,
}

impl RetryReason {
    /// Returns the reason as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::RefusedBeforeRunning => "refused_before_running",
            Self::InDoubt => "in_doubt",
            Self::ServerError => "server_error",
        }
    }
}

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request again, to another server.
    Retry(RetryReason),
    /// Pass on the response, if there is one, or give up.
    Stop(StopReason),
}

/// Why a request is not sent again; each reason has a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StopReason {
    /// The response, or its beginning, is passed on to the caller.
    Answered,
    /// The request may have run, and the route class is not retry-safe.
    MayHaveRun,
    /// The request body was not kept, so it cannot be sent a second time.
    BodyNotBuffered,
    /// The request was sent as many times as its route allows.
    AttemptsSpent,
    /// Too little time is left before the deadline.
    TimeSpent,
    /// The service's retry budget is spent.
    BudgetSpent,
    /// The resends left are reserved for more urgent requests.
    Reserved,
    /// The resend is unlikely to succeed, and others need the resends left.
    Unlikely,
    /// The request is quarantined because servers crashed on it: each further send needs
    /// a decision of its own.
    Quarantined,
}

impl StopReason {
    /// All reasons.
    pub const ALL: [Self; 9] = [
        Self::Answered,
        Self::MayHaveRun,
        Self::BodyNotBuffered,
        Self::AttemptsSpent,
        Self::TimeSpent,
        Self::BudgetSpent,
        Self::Reserved,
        Self::Unlikely,
        Self::Quarantined,
    ];

    /// Returns the reason as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::MayHaveRun => "may_have_run",
            Self::BodyNotBuffered => "body_gone",
            Self::AttemptsSpent => "attempts_spent",
            Self::TimeSpent => "time_spent",
            Self::BudgetSpent => "budget_spent",
            Self::Reserved => "reserved",
            Self::Unlikely => "unlikely",
            Self::Quarantined => "quarantined",
        }
    }
}

/// Decides whether a request is sent again.
///
/// `remaining` is the time to the deadline, `tried` the number of attempts made so far,
/// `body_kept` whether the request body can be sent a second time, and `in_budget`
/// whether the service's retry budget permits one more retry.
pub fn decide_retry(
    end: AttemptEnd,
    class: RouteClass,
    max_attempts: u8,
    remaining: Duration,
    tried: usize,
    body_kept: bool,
    in_budget: bool,
) -> RetryDecision {
    let reason = match end {
        AttemptEnd::NotSent => RetryReason::NotSent,
        AttemptEnd::RefusedBeforeRunning => RetryReason::RefusedBeforeRunning,
        AttemptEnd::InDoubt if class.is_retry_safe() => RetryReason::InDoubt,
        AttemptEnd::ServerError if class.is_retry_safe() => RetryReason::ServerError,
        AttemptEnd::InDoubt | AttemptEnd::ServerError => {
            return RetryDecision::Stop(StopReason::MayHaveRun);
        }
        AttemptEnd::Answered | AttemptEnd::Cut => {
            return RetryDecision::Stop(StopReason::Answered);
        }
    };
    if !body_kept && end != AttemptEnd::NotSent {
        return RetryDecision::Stop(StopReason::BodyNotBuffered);
    }
    if tried >= usize::from(max_attempts) {
        return RetryDecision::Stop(StopReason::AttemptsSpent);
    }
    if remaining < MIN_REMAINING {
        return RetryDecision::Stop(StopReason::TimeSpent);
    }
    if !in_budget {
        return RetryDecision::Stop(StopReason::BudgetSpent);
    }
    RetryDecision::Retry(reason)
}

/// One box's retry budget for a service, a token bucket: each success earns a share of a
/// retry, and each retry costs one token.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
    per_success: f64,
}

impl RetryBudget {
    /// Creates a budget in which a success earns `budget_percent` hundredths of a retry.
    ///
    /// It starts with some tokens, so that a newly started box may retry before its first
    /// successes.
    pub fn new(budget_percent: u8) -> Self {
        Self {
            tokens: STARTING_TOKENS,
            per_success: f64::from(budget_percent) / 100.0,
        }
    }

    /// Adds the share of a retry that a success earns, up to the maximum.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.per_success).min(MAX_TOKENS);
    }

    /// Whether a retry is allowed now.
    pub fn allows(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of a retry that was made.
    pub fn spend(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}

/// With less time left, a retry is hardly answered in time, and a refusal of it would come
/// so close to the deadline that it proves nothing.
const MIN_REMAINING: Duration = Duration::from_millis(20);
const STARTING_TOKENS: f64 = 10.0;
const MAX_TOKENS: f64 = 100.0;
