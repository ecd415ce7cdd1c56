//! The resends that one request has reserved from its service's retry budget.

use std::sync::Arc;

use wingspur_state::{BudgetDecision, FleetMembership, ResendKind};

use crate::services::ServiceState;

/// The resends that a request has reserved from the retry budget.
///
/// Dropping it reports the end of the request: from then on its resends count as arrived,
/// and unanswered ones count for a while longer.
pub struct ResendReservation {
    service: Arc<ServiceState>,
    /// Resends reserved from this box's own share of the budget.
    reserved: u32,
    /// Resends leased from other boxes, which have counted them in their shares.
    leased: u32,
    /// Whether the latest resend was leased from another box.
    last_is_leased: bool,
    /// Number of attempts that were sent, the first one included.
    pub sent: u32,
    /// Number of them that a server has answered.
    pub answered: u32,
}

impl ResendReservation {
    /// Creates a reservation without any resend.
    pub fn new(service: Arc<ServiceState>) -> Self {
        Self {
            service,
            reserved: 0,
            leased: 0,
            last_is_leased: false,
            sent: 0,
            answered: 0,
        }
    }

    /// Reserves one more resend from this box's own share if the budget allows it.
    pub fn try_reserve(
        &mut self,
        kind: ResendKind,
        membership: FleetMembership,
    ) -> BudgetDecision {
        let mut budget = self.service.budget.lock();
        let decision = budget.try_spend(kind, membership, wingspur_clock::now());
        self.reserved += u32::from(decision.allowed);
        self.last_is_leased &= !decision.allowed;
        decision
    }

    /// Records that another box has granted a resend to this one.
    pub fn record_leased(&mut self) {
        self.leased += 1;
        self.last_is_leased = true;
    }

    /// Releases resends that were reserved for attempts that were not sent; the first
    /// attempt of a request needs none. Leased resends are not returned: they expire by
    /// themselves.
    pub fn release_unsent(&mut self) {
        let total = self.reserved + self.leased;
        let unused = total.saturating_sub(self.sent.saturating_sub(1));
        if unused == 0 {
            return;
        }
        if self.last_is_leased {
            self.leased = self.leased.saturating_sub(unused);
            return;
        }
        let unused = unused.min(self.reserved);
        self.reserved -= unused;
        self.service.budget.lock().refund(unused);
    }
}

impl Drop for ResendReservation {
    fn drop(&mut self) {
        let mut budget = self.service.budget.lock();
        let unanswered = self.sent.saturating_sub(self.answered);
        budget.finish_request(self.reserved, unanswered, wingspur_clock::now());
    }
}
