//! Quotas, resends and send permits that boxes lease to each other.
//!
//! `edge_state`, `metrics` and `peers` may import the state (`quarantine_state`,
//! `resend_leases`), `catalog` may import `quarantine`, and `proxy` and `edge_box` any
//! file.

pub mod quarantine;
pub mod quarantine_state;
pub mod quota_leases;
pub mod resend_lease_exchange;
pub mod resend_leases;
pub mod resend_planning;
