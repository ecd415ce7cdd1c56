//! What one request has taken from its service's retry budget.

use std::sync::Arc;

use wingspur_state::{BudgetDecision, FleetMembership, ResendKind};

use crate::services::ServiceState;

/// What a request has taken from the retry budget; counts as arrived when it is dropped.
pub struct ResendReservation {
    service: Arc<ServiceState>,
    /// Of this box's own part.
    count: u32,
    /// Of other boxes' parts, which have counted them.
    borrowed: u32,
    last_is_borrowed: bool,
    /// Attempts that were sent.
    pub sent: u32,
    /// Those of them that a server has answered.
    pub answered: u32,
}

impl ResendReservation {
    /// Nothing taken yet.
    pub fn new(service: Arc<ServiceState>) -> Self {
        Self {
            service,
            count: 0,
            borrowed: 0,
            last_is_borrowed: false,
            sent: 0,
            answered: 0,
        }
    }

    /// Takes one more of this box's own part, if that has room.
    pub fn try_reserve(
        &mut self,
        use_: ResendKind,
        standing: FleetMembership,
    ) -> BudgetDecision {
        let mut budget = self.service.budget.lock();
        let answer = budget.try_spend(use_, standing, wingspur_clock::now());
        self.count += u32::from(answer.allowed);
        self.last_is_borrowed &= !answer.allowed;
        answer
    }

    /// Notes that another box has lent one.
    pub fn record_borrowed(&mut self) {
        self.borrowed += 1;
        self.last_is_borrowed = true;
    }

    /// Gives back what was taken for attempts that were not sent: the first needs none. What
    /// was borrowed ends by itself.
    pub fn release_unsent(&mut self) {
        let taken = self.count + self.borrowed;
        let unused = taken.saturating_sub(self.sent.saturating_sub(1));
        if unused == 0 {
            return;
        }
        if self.last_is_borrowed {
            self.borrowed = self.borrowed.saturating_sub(unused);
            return;
        }
        let unused = unused.min(self.count);
        self.count -= unused;
        self.service.budget.lock().refund(unused);
    }
}

impl Drop for ResendReservation {
    fn drop(&mut self) {
        let mut budget = self.service.budget.lock();
        let unanswered = self.sent.saturating_sub(self.answered);
        budget.finish_request(self.count, unanswered, wingspur_clock::now());
    }
}
