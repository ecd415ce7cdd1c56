//! Whether a box announces itself, and when.

use std::time::Duration;

/// What a box knows when it decides whether to be announced.
#[derive(Debug, Clone, Copy)]
pub struct AnnouncementInputs {
    /// Announced boxes of its data centre that go before it as a hub.
    pub ranked_before: usize,
    /// What it can carry for others, in shares of the least box that is planned for.
    pub capacity: u32,
    /// Whether it is announced.
    pub announced: bool,
}

/// What a box does about its announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementStep {
    /// It stays as it is.
    Keep,
    /// It is announced, unless others are within this time.
    AnnounceWithin(Duration),
    /// Its lease may lapse: others stand before it.
    Lapse,
}

/// Decides whether a box announces itself.
///
/// Only those are announced that may become the hub of their data centre; the others are
/// found by nobody, and hear the hub that they link with. So calls of the store and the
/// bytes of each listing grow with the data centres and not with the boxes: announcements,
/// renewals and the watches that they ended were 3,500 of the 4,280 calls of 443 boxes on a
/// quiet day of 50 s, and 443 of the 1,160 entries that each box had to list to start.
///
/// Boxes that start together draw their time from a span that is shorter for the stronger
/// ones, so that these are announced when the others ask themselves.
pub fn announcement_step(inputs: &AnnouncementInputs) -> AnnouncementStep {
    if inputs.announced {
        return match inputs.ranked_before < LAPSING_BEFORE {
            true => AnnouncementStep::Keep,
            false => AnnouncementStep::Lapse,
        };
    }
    let span = match inputs.ranked_before {
        0 => SPAN_WITHOUT_ANY,
        before if before < CANDIDATES => SPAN_WITH_SOME,
        _ => return AnnouncementStep::Keep,
    };
    AnnouncementStep::AnnounceWithin(span / inputs.capacity.max(1))
}

/// Whether a box that starts lists the whole catalog at once, rather than wait for its hub
/// to tell it: it may be the hub that others wait for. `was_announced` tells whether it
/// still is from its last run, `before` how many boxes go before it as the hub.
pub fn lists_catalog_at_start(was_announced: bool, before: usize) -> bool {
    was_announced || before < CANDIDATES
}

/// Whether a box that has just started waits for its hub's listing, rather than list the
/// catalog itself: only for a hub that has one, and for a bounded time since its start. A
/// hub may have just started too, or the store may turn it away.
pub fn waits_for_hub_snapshot(hub_has_catalog: bool, since_start: Duration) -> bool {
    hub_has_catalog && since_start < LISTING_WAIT
}

/// A hub sends listings one after the other: at 200 megabits a second some thirty a second
/// before 10,000 servers.
const LISTING_WAIT: Duration = Duration::from_secs(8);
/// Boxes of a data centre that may become its hub: the loss of two at once still leaves one
/// that the others know.
const CANDIDATES: usize = 3;
/// Twice as many are left announced: a lease that lapses and is missed costs two calls.
const LAPSING_BEFORE: usize = 2 * CANDIDATES;
/// With nobody to link with: news takes a quarter of a second to all, in which a sixth of
/// the least boxes are announced.
const SPAN_WITHOUT_ANY: Duration = Duration::from_millis(1500);
/// With a hub there is time.
const SPAN_WITH_SOME: Duration = Duration::from_secs(6);
