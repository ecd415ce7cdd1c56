//! Tracks the hub to which a box delegates its share of fleet-wide quotas.

use std::time::{Duration, Instant};

use crate::LinkId;

/// Ensures that a box's quota share is used by only one at a time: by the hub that it was
/// last delegated to, or by the box itself.
///
/// A hub may use a member's share for `DELEGATION_TTL` from the moment at which the
/// member delegated it; the member renews the delegation with each frame. The member
/// delegates to another hub, or uses its share itself, only when that time has passed
/// since its last delegation, or when the hub has closed the link in order, since the hub
/// releases the share before it does. A box that has just started waits as long, because
/// a delegation of its previous instance may still be valid, unless the whole fleet
/// starts for the first time or no box holds such a delegation.
#[derive(Debug, Clone, Copy)]
pub struct ShareDelegation {
    delegate: Option<LinkId>,
    /// The time from which on no hub uses the share.
    free_from: Instant,
}

impl ShareDelegation {
    /// Creates the state of a box that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            delegate: None,
            free_from: now + DELEGATION_TTL,
        }
    }

    /// Creates the state of a box that starts now, together with the whole fleet and for
    /// the first time.
    pub fn at_first_start(now: Instant) -> Self {
        Self {
            delegate: None,
            free_from: now,
        }
    }

    /// Delegates the share to the hub at a link, or renews the delegation, with a frame
    /// that is sent now. Returns false, with no effect, while another hub may still use
    /// the share.
    pub fn delegate_to(&mut self, link: LinkId, now: Instant) -> bool {
        if self.delegate != Some(link) && !self.is_free(now) {
            return false;
        }
        self.delegate = Some(link);
        self.free_from = now + DELEGATION_TTL;
        true
    }

    /// Records that the hub at a link has released the share.
    pub fn release(&mut self, link: LinkId, now: Instant) {
        if self.delegate == Some(link) {
            self.free_from = now;
        }
    }

    /// Records that no box holds a delegation of this box's previous instance. Has no
    /// effect once this instance has delegated its share.
    pub fn end_start_wait(&mut self, now: Instant) {
        if self.delegate.is_none() {
            self.free_from = self.free_from.min(now);
        }
    }

    /// Returns whether no hub uses the share any more.
    pub fn is_free(&self, now: Instant) -> bool {
        now >= self.free_from
    }
}

/// Time for which a hub may use a member's share without a renewal. A heartbeat each way
/// takes up to 0.45 s, and longer on boxes with a tenth of a core. The share grants
/// nothing for this time after the member's hub is lost or the member has started.
pub const DELEGATION_TTL: Duration = Duration::from_millis(800);
