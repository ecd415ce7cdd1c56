//! The decisions of wingspur as pure functions of observations, time and a seed.
//!
//! Nothing here does I/O, reads a clock or has a random source of its own, so every
//! decision can be replayed from a trace.

mod account;
mod account_limiter;
mod announced_state;
mod attempt_ledger;
mod balancer;
mod bundle;
mod bundle_patch;
mod check;
mod choice_set;
mod correlated_suspicion;
mod coverage;
mod evidence;
mod fingerprint;
mod fleet_retry_budget;
mod health;
mod hedge;
mod history;
mod host_routes;
mod ids;
mod lease_client;
mod mix;
mod outlier_detector;
mod pick;
mod queue_report;
mod quota_pool;
mod recent_ratio;
mod resend_ledger;
mod resend_plan;
mod retry;
mod retry_after;
mod route;
mod server;
mod server_limits;
mod server_path;
mod server_registry;
mod service_table;
mod service_time;
mod share_history;
mod store_position;
mod suspects;
mod tally;
mod tracked_server;
mod urgency;

pub use account::{AccountTable, ClientAccount, KeyDigest};
pub use account_limiter::AccountLimiter;
pub use announced_state::{AnnouncedState, AnnouncedStates, Availability};
pub use attempt_ledger::{AttemptCounts, AttemptLedger, AttemptNumber, AttemptTarget};
pub use balancer::{Balancer, Pick, PickRequest, SuspicionChange};
pub use bundle::{
    BackendServer, Bundle, CallerLimits, Detection, Floor, HostRoute, Limits, RetryRules,
    Route, RouteClass, RouteTarget, Service,
};
pub use bundle_patch::BundlePatch;
pub use check::{Finding, check_accounts, check_bundle};
pub use coverage::{
    BoxPosition, CoverageInputs, CoverageRole, IdleProbe, IdleServer, pick_owned_probe,
};
pub use evidence::{
    EvidenceEntry, EvidenceReport, HealthBaseline, ejection_threshold, healthy_evidence,
};
pub use fingerprint::{ParseFingerprintError, RequestFingerprint, RequestParts};
pub use fleet_retry_budget::{
    BudgetDecision, FleetMembership, FleetRetryBudget, FleetSize, MembershipState,
    ResendKind, RetryBudgetSettings, ServiceLoad,
};
pub use health::HealthSnapshot;
pub use hedge::{HedgeInputs, hedge_delay};
pub use host_routes::HostRoutes;
pub use ids::{
    AttemptId, BoxId, BoxKey, BundleVersion, DataCentreId, RegionId, Regions, ServerId,
    ServerIndex, ServerKey, ServiceIndex, SourceId,
};
pub use lease_client::{AcquireOutcome, LeaseClient, LeaseDemand, ON_DEMAND_LEASE_TTL};
pub use mix::mix;
pub use outlier_detector::{
    EjectionRecord, OutlierDetector, OutlierEvent, OutlierStatus, Verdict,
};
pub use pick::{Candidate, EjectionState, pick};
pub use queue_report::{QueueReport, ReceivedReport};
pub use quota_pool::{
    LeaseHolderId, PREFETCH_LEASE_TTL, PrefetchGrant, PrefetchRequest, PrefetchedQuota,
    QuotaKey, QuotaPool, QuotaTerms, QuotaTolerance,
};
pub use resend_ledger::{
    MAX_RESEND_TRANSIT, RESEND_LEASE_TTL, ResendLedger, TightestWindow,
};
pub use resend_plan::{
    ResendDemand, ResendGainInputs, ResendPlanDecision, ResendPlanInputs, resend_gain,
};
pub use retry::{
    AttemptEnd, RetryBudget, RetryDecision, RetryReason, StopReason, decide_retry,
};
pub use retry_after::{
    Priority, RetryAfterInputs, RetryAfterSchedule, priority_of, spare_capacity_per_s,
};
pub use route::{RouteConflict, RouteMatch, RouteTable};
pub use server::{ServerRecord, server_key};
pub use server_limits::{ServerLimitChange, ServerLimits, quota_request_probability};
pub use server_path::{PathChange, ServerPath};
pub use server_registry::{
    ENTRY_TTL, RegistryChange, STORE_RECOVERY_GRACE, ServerRegistry,
};
pub use service_table::{AttemptOutcome, EVIDENCE_TICK, ServiceTable, VERDICT_TTL};
pub use service_time::ServiceTime;
pub use share_history::{ShareHistory, ShareTimestamp};
pub use store_position::{StoreEra, StorePosition};
pub use suspects::{
    QUARANTINE_THRESHOLD, SUSPECT_RETENTION, StoredQuarantine, SuspectEvent,
    SuspectMessage, SuspectRequests, SuspectUpdate,
};
pub use tally::{KeyedTally, ServerTally, ServiceTally, UrgencyCounts};
pub use tracked_server::{ExpectedLatency, HealthOutcome};
pub use urgency::{
    LevelLoad, LevelNeeds, Occupancy, ReportState, ServiceUrgency, URGENCY_LEVELS,
    UrgencyDecision, UrgencyInputs, UrgencyLevel, UrgencyReason, decide_by_urgency,
    urgency_level,
};
