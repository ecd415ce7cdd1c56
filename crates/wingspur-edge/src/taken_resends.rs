//! What one request has taken from its service's retry budget.

use std::sync::Arc;
use std::time::Instant;

use wingspur_state::{BudgetAnswer, FleetStanding, ResendUse};

use crate::services::ServiceState;

/// What a request has taken from the retry budget; counts as arrived when it is dropped.
pub struct TakenResends {
    service: Arc<ServiceState>,
    count: u32,
    /// Attempts that were sent.
    pub sent: u32,
    /// Those of them that a server has answered.
    pub answered: u32,
}

impl TakenResends {
    /// Nothing taken yet.
    pub fn none(service: Arc<ServiceState>) -> Self {
        Self {
            service,
            count: 0,
            sent: 0,
            answered: 0,
        }
    }

    /// Takes one more, if the budget allows it.
    pub fn take(&mut self, use_: ResendUse, standing: FleetStanding) -> BudgetAnswer {
        let mut budget = self.service.budget.lock();
        let answer = budget.take(use_, standing, Instant::now());
        self.count += u32::from(answer.allowed);
        answer
    }

    /// Gives back what was taken for attempts that were not sent: the first needs none.
    pub fn give_back_unsent(&mut self) {
        let unused = self.count.saturating_sub(self.sent.saturating_sub(1));
        self.count -= unused;
        self.service.budget.lock().take_back(unused);
    }
}

impl Drop for TakenResends {
    fn drop(&mut self) {
        let mut budget = self.service.budget.lock();
        let unanswered = self.sent.saturating_sub(self.answered);
        budget.end(self.count, unanswered, Instant::now());
    }
}
