//! The decisions of wingspur: pure functions of observations, time and a seed.
//!
//! Nothing here does I/O, reads a clock or draws random numbers of its own, so
//! every decision can be replayed from a trace.

mod bundle;
mod check;
mod evidence;
mod history;
mod ids;
mod judge;
mod limit;
mod pick;
mod retry;
mod route;
mod service_table;
mod unease;

pub use bundle::{
    BackendServer, Bundle, Detection, Floor, Limits, RetryRules, Route, RouteClass,
    Service,
};
pub use check::{Finding, check_bundle};
pub use evidence::{EvidenceEntry, EvidenceReport, Reference, threshold, well_evidence};
pub use ids::{AttemptId, BoxId, BundleVersion, DataCentreId, ServerIndex, ServiceIndex};
pub use judge::{EjectionRecord, Judge, JudgeEvent, Verdict, VerdictStanding};
pub use limit::AccountLimiter;
pub use pick::{Candidate, Standing, pick};
pub use retry::{AttemptEnd, RetryBudget, RetryDecision, RetryReason, decide_retry};
pub use route::{RouteClash, RouteMatch, RouteTable};
pub use service_table::{AttemptOutcome, ServiceTable, TICK, VERDICT_TTL};
