//! The decisions of wingspur: pure functions of observations, time and a seed.
//!
//! Nothing here does I/O, reads a clock or draws random numbers of its own, so
//! every decision can be replayed from a trace.

mod account;
mod balancer;
mod borrowing;
mod bundle;
mod bundle_patch;
mod check;
mod directory;
mod evidence;
mod fingerprint;
mod fleet_budget;
mod floor;
mod health;
mod hedge;
mod history;
mod host_routes;
mod ids;
mod judge;
mod lending;
mod limit;
mod part_clock;
mod pick;
mod placement;
mod resend_ledger;
mod retry;
mod returning;
mod route;
mod server;
mod server_limits;
mod service_table;
mod service_time;
mod standing;
mod store_position;
mod suspects;
mod tally;
mod tracked;
mod unease;

pub use account::{AccountTable, ClientAccount, KeyDigest};
pub use balancer::{Balancer, Pick, Turned, Want};
pub use borrowing::{Borrowed, Borrower, BorrowerAsk, URGENT_LASTS};
pub use bundle::{
    BackendServer, Bundle, CallerLimits, Detection, Floor, HostRoute, Limits, RetryRules,
    Route, RouteClass, RouteTarget, Service,
};
pub use bundle_patch::BundlePatch;
pub use check::{Finding, check_accounts, check_bundle};
pub use directory::{Directory, DirectoryChange, ENTRY_LAPSE, RETURN_GRACE};
pub use evidence::{EvidenceEntry, EvidenceReport, Reference, threshold, well_evidence};
pub use fingerprint::{ParseFingerprintError, RequestFingerprint, RequestParts};
pub use fleet_budget::{
    BudgetAnswer, BudgetSettings, Contact, FleetBudget, FleetDivision, FleetStanding,
    ResendUse, ServicePresent,
};
pub use floor::{FloorInputs, Unused, try_unused};
pub use health::HealthNote;
pub use hedge::{HedgeInputs, hedge_after};
pub use host_routes::HostRoutes;
pub use ids::{
    AttemptId, BoxId, BoxKey, BundleVersion, DataCentreId, RegionId, Regions, ServerId,
    ServerIndex, ServerKey, ServiceIndex, SourceId,
};
pub use judge::{EjectionRecord, Judge, JudgeEvent, Verdict, VerdictStanding};
pub use lending::{
    AllowanceKey, AllowanceTerms, BorrowerId, LOAN_LASTS, Pool, QuotaSettings, Stock,
    StockAsk, Stocked,
};
pub use limit::AccountLimiter;
pub use part_clock::{Mark, PartClock};
pub use pick::{Candidate, Standing, pick};
pub use resend_ledger::{LENT_FOR, RESEND_ON_WAY, ResendLedger, TightestWindow};
pub use retry::{
    AttemptEnd, RetryBudget, RetryDecision, RetryReason, StopReason, decide_retry,
};
pub use returning::{Priority, ReturnInputs, ReturnQueue, priority_of, spare_per_s};
pub use route::{RouteClash, RouteMatch, RouteTable};
pub use server::{ServerRecord, server_key};
pub use server_limits::{LimitChange, ServerLimits, due_share};
pub use service_table::{AttemptOutcome, ServiceTable, TICK, VERDICT_TTL};
pub use service_time::ServiceTime;
pub use standing::{Access, ServerStanding, Standings};
pub use store_position::{StoreEra, StorePosition};
pub use suspects::{
    KnownQuarantine, QUARANTINED_FROM, REMEMBERED, SuspectEvent, SuspectNote,
    SuspectRequests, SuspectUpdate,
};
pub use tally::{KeyedTally, ServerTally, ServiceTally};
pub use tracked::{Ended, Expected};
