//! Quotas, resends and send permits that boxes lease to each other.

pub mod quarantine;
pub mod quarantine_state;
pub mod quota_leases;
pub mod resend_lease_exchange;
pub mod resend_leases;
pub mod resend_planning;
