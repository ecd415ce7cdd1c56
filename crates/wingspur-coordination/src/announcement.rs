//! Decides whether and when a box announces itself in the store.

use std::time::Duration;

/// The inputs of the decision whether a box announces itself.
#[derive(Debug, Clone, Copy)]
pub struct AnnouncementInputs {
    /// Number of announced boxes of its data centre that rank ahead of it as hub.
    pub ranked_before: usize,
    /// Its capacity as a hub, in multiples of the smallest supported box.
    pub capacity: u32,
    /// Whether the box is announced now.
    pub announced: bool,
}

/// The next action on a box's announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementStep {
    /// Makes no change.
    Keep,
    /// Announces the box after a random delay of at most this, unless enough other boxes
    /// are announced by then.
    AnnounceWithin(Duration),
    /// Lets the announcement's lease expire, because enough announced boxes rank ahead.
    Lapse,
}

/// Decides whether a box announces itself.
///
/// Only boxes that may become the hub of their data centre are announced. The others
/// cannot be looked up; they get their updates from the hub that they link with. Store
/// calls and the size of a snapshot therefore grow with the number of data centres, not
/// of boxes: with all 443 boxes of a fleet announced, announcements, renewals and the
/// watches that they ended made 3,500 of 4,280 store calls in 50 s without faults, and
/// 443 of the 1,160 entries that each box had to list at its start.
///
/// The maximum delay is shorter for boxes with more capacity, so that of boxes that start
/// together these are already announced when the others decide.
pub fn announcement_step(inputs: &AnnouncementInputs) -> AnnouncementStep {
    if inputs.announced {
        return match inputs.ranked_before < LAPSE_RANK {
            true => AnnouncementStep::Keep,
            false => AnnouncementStep::Lapse,
        };
    }
    let max_delay = match inputs.ranked_before {
        0 => MAX_DELAY_WITHOUT_HUB,
        ranked_before if ranked_before < HUB_CANDIDATES => MAX_DELAY_WITH_HUB,
        _ => return AnnouncementStep::Keep,
    };
    AnnouncementStep::AnnounceWithin(max_delay / inputs.capacity.max(1))
}

/// Returns whether a starting box lists the catalog from the store at once instead of
/// waiting for its hub's snapshot: it may be the hub that others wait for.
///
/// `was_announced` is whether the announcement of its previous instance still exists,
/// `ranked_before` how many announced boxes rank ahead of it as hub.
pub fn lists_catalog_at_start(was_announced: bool, ranked_before: usize) -> bool {
    was_announced || ranked_before < HUB_CANDIDATES
}

/// Returns whether a box that has just started waits for its hub's snapshot instead of
/// listing the catalog itself.
///
/// It waits only for a hub that has a catalog, and for a limited time since its own
/// start: the hub may have just started too, or the store may refuse its requests.
pub fn waits_for_hub_snapshot(hub_has_catalog: bool, since_start: Duration) -> bool {
    hub_has_catalog && since_start < SNAPSHOT_WAIT
}

/// Maximum time since the start for which a box waits for its hub's snapshot. A hub sends
/// snapshots one after the other: with 10,000 servers about 30 a second at 200 Mbit/s.
const SNAPSHOT_WAIT: Duration = Duration::from_secs(8);
/// Number of announced boxes per data centre that may become its hub. If two of them are
/// lost at once, one that the other boxes know still remains.
const HUB_CANDIDATES: usize = 3;
/// Number of higher-ranked boxes from which on an announced box lets its lease expire. It
/// is twice the number of candidates, because a lease that expires and is needed again
/// costs two store calls.
const LAPSE_RANK: usize = 2 * HUB_CANDIDATES;
/// Maximum announcement delay of the smallest box while no box of its data centre is
/// announced. An announcement reaches all boxes in 0.25 s, in which a sixth of the
/// smallest boxes announce themselves too.
const MAX_DELAY_WITHOUT_HUB: Duration = Duration::from_millis(1500);
/// Maximum announcement delay of the smallest box while the data centre has an announced
/// box that can be its hub. There is no hurry then.
const MAX_DELAY_WITH_HUB: Duration = Duration::from_secs(6);
