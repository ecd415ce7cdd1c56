//! The retry policy: a table over attempt state, class, deadline and budget.

use std::time::Duration;

use crate::RouteClass;

/// How an attempt at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// Nothing of the request left this box.
    NotSent,
    /// The server refused by a status declared to mean that it did not run.
    RefusedBeforeRunning,
    /// The request left, and no answer came: it may have run.
    InDoubt,
    /// A whole head came back; the answer belongs to the caller.
    Answered,
    /// The server answered that it failed, and nothing of that was passed on.
    ServerError,
    /// The answer broke off midway, after its beginning was passed on.
    Cut,
}

impl AttemptEnd {
    /// Whether the request surely did not run in this attempt.
    pub fn surely_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::RefusedBeforeRunning)
    }
}

/// Why a request is sent again; each reason has a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// The former attempt never left this box.
    NotSent,
    /// The server refused the former attempt before running it.
    RefusedBeforeRunning,
    /// The former attempt is in doubt and the class may repeat.
    InDoubt,
    /// The server failed in the former attempt and the class may repeat.
    ServerError,
}

impl RetryReason {
    /// The reason as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::RefusedBeforeRunning => "refused_before_running",
            Self::InDoubt => "in_doubt",
            Self::ServerError => "server_error",
        }
    }
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send again to another server.
    Retry(RetryReason),
    /// Hand on what came, or give up.
    Stop(StopReason),
}

/// Why a request is not sent again; each reason has a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StopReason {
    /// The answer, or its beginning, belongs to the caller.
    Answered,
    /// It may have run, and the class may not repeat.
    MayHaveRun,
    /// Its body is not kept.
    BodyNotBuffered,
    /// It was sent to as many servers as its route allows.
    AttemptsSpent,
    /// The time that is left is too short.
    TimeSpent,
    /// The service's retry budget is spent.
    BudgetSpent,
    /// Servers have ended under it: each time that it is sent again is decided anew.
    Quarantined,
}

impl StopReason {
    /// All reasons.
    pub const ALL: [Self; 7] = [
        Self::Answered,
        Self::MayHaveRun,
        Self::BodyNotBuffered,
        Self::AttemptsSpent,
        Self::TimeSpent,
        Self::BudgetSpent,
        Self::Quarantined,
    ];

    /// The reason as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::MayHaveRun => "may_have_run",
            Self::BodyNotBuffered => "body_gone",
            Self::AttemptsSpent => "attempts_spent",
            Self::TimeSpent => "time_spent",
            Self::BudgetSpent => "budget_spent",
            Self::Quarantined => "quarantined",
        }
    }
}

/// Decides whether a request is sent again.
///
/// `remaining` is the time to the deadline, `tried` the attempts made so far,
/// `body_kept` whether the request's body can be sent a second time, and `in_budget`
/// whether the service's budget has room for one more.
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
    if remaining < LEAST_REMAINING {
        return RetryDecision::Stop(StopReason::TimeSpent);
    }
    if !in_budget {
        return RetryDecision::Stop(StopReason::BudgetSpent);
    }
    RetryDecision::Retry(reason)
}

/// Retries allowed as a share of recent successes.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
    per_success: f64,
}

impl RetryBudget {
    /// Starts with a small allowance, so that a fresh box may retry at all.
    pub fn new(budget_percent: u8) -> Self {
        Self {
            tokens: STARTING_TOKENS,
            per_success: f64::from(budget_percent) / 100.0,
        }
    }

    /// Counts a success, which earns a share of a retry.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.per_success).min(MOST_TOKENS);
    }

    /// Whether a retry is allowed now.
    pub fn allows(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Counts a retry that was made.
    pub fn spend(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}

/// With less time than this a retry could not be answered.
const LEAST_REMAINING: Duration = Duration::from_millis(5);
const STARTING_TOKENS: f64 = 10.0;
const MOST_TOKENS: f64 = 100.0;
