//! What the links to other boxes call for parts of the frames that they do not handle.

use std::sync::Arc;
use std::time::Instant;

use wingspur_coordination::LinkId;
use wingspur_protocol::{
    LeaseMessages, ResendBudgetUsage, ServerDrainingUpdate, ServerLimitUpdate,
};
use wingspur_state::{SuspectMessage, SuspectUpdate};

use crate::edge_state::EdgeState;
use crate::quotas::resend_leases::ResendBudgetReports;

/// The handlers of what boxes send each other, chosen when the box is assembled.
#[derive(Debug, Clone, Copy)]
pub struct LinkHandlers {
    /// Handles lease requests and replies.
    pub lease_messages: Handler<LeaseMessages>,
    /// Handles the usage of retry budgets at the other side.
    pub resend_budgets: Handler<[ResendBudgetUsage]>,
    /// Handles observations about requests during which servers ended.
    pub suspects: Handler<[SuspectMessage]>,
    /// Handles changed limits of servers.
    pub limits: Handler<[ServerLimitUpdate]>,
    /// Handles that servers are draining.
    pub draining_servers: Handler<[ServerDrainingUpdate]>,
    /// Handles the end of a link.
    pub link_ended: fn(&EdgeState, LinkId),
    /// Returns the observations about requests to send on a new link.
    pub initial_suspects: fn(&EdgeState) -> Vec<SuspectUpdate>,
    /// Returns the usage of retry budgets to send with the frames that are due.
    pub resend_budget_reports: fn(&EdgeState, Instant) -> ResendBudgetReports,
}

/// Handles what a frame carried that came by a link.
pub type Handler<T> = fn(&Arc<EdgeState>, LinkId, &T);
