//! To which hub a box leaves its part of the fleet's allowances.

use std::time::{Duration, Instant};

use crate::LinkId;

/// A box's part is used by one at a time: the hub that it was left to last, or the box.
///
/// A hub uses the part of a member for `DELEGATED_FOR` from the moment at which the member
/// said so; the member says so with each frame. It says so to another hub, or uses its part
/// itself, no sooner than that time after it last did, or once the hub has ended the link in
/// order: it gives up the part first. A box that has just started waits as long, unless the
/// whole fleet starts for the first time: what its former run said may still count.
#[derive(Debug, Clone, Copy)]
pub struct ShareDelegation {
    to: Option<LinkId>,
    /// From when on nobody else uses the part.
    free_from: Instant,
}

impl ShareDelegation {
    /// A box that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            to: None,
            free_from: now + DELEGATION_TTL,
        }
    }

    /// A box that starts now with the whole fleet, for the first time.
    pub fn at_first_start(now: Instant) -> Self {
        Self {
            to: None,
            free_from: now,
        }
    }

    /// Whether a frame that is sent now may leave the part to the hub at a link; notes it.
    pub fn delegate_to(&mut self, link: LinkId, now: Instant) -> bool {
        if self.to != Some(link) && !self.is_free(now) {
            return false;
        }
        self.to = Some(link);
        self.free_from = now + DELEGATION_TTL;
        true
    }

    /// Takes in that the hub at a link has given the part up.
    pub fn release(&mut self, link: LinkId, now: Instant) {
        if self.to == Some(link) {
            self.free_from = now;
        }
    }

    /// Whether nobody else uses the part any more.
    pub fn is_free(&self, now: Instant) -> bool {
        now >= self.free_from
    }
}

/// For how long a hub uses a member's part without news of it: a sign of life each way takes
/// up to 0.45 s, and more where boxes have a tenth of a core. The member's part earns nothing
/// for as long when its hub is lost, or it has just started.
pub const DELEGATION_TTL: Duration = Duration::from_millis(800);
