//! One open link to another box, with what is still to be sent on it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wingspur_coordination::{
    CatalogQueue, LinkClock, LinkKind, PeerRole, PendingSnapshot, PlannedLink,
    UpdatePacer,
};
use wingspur_protocol::{BoxRecord, LeaseMessages, LinkRole};
use wingspur_state::{
    BundleVersion, HealthSnapshot, ServerKey, ServerLimitChange, StoreEra, SuspectUpdate,
};
use wingspur_transport::LinkSender;

/// An open link to another box.
#[derive(Debug)]
pub struct ActiveLink {
    /// The box at the other side.
    pub peer: BoxRecord,
    /// Whether the link is to a member of this box or to a hub.
    pub kind: LinkKind,
    /// This box's role on a link that it opened; `None` if the other side opened it.
    pub opened_as: Option<LinkRole>,
    /// The sending side of the link.
    pub sender: LinkSender,
    /// When frames were sent, and which of them the other side has acknowledged.
    pub clock: LinkClock,
    /// Catalog updates that are still to be sent.
    pub catalog: CatalogQueue,
    /// Whether the next frame asks the other side for a catalog snapshot.
    pub wants_snapshot: bool,
    /// The version of the other side's active bundle, as it last reported; 0 if none or
    /// unknown.
    pub bundle_version: BundleVersion,
    /// Lease requests and replies that no request waits for; they go with the next frame.
    pub lease_messages: LeaseMessages,
    /// Observations still to be sent about requests during which servers ended.
    pub suspects: Vec<SuspectUpdate>,
    /// Changed limits of servers that are still to be sent.
    pub limits: BTreeMap<ServerKey, ServerLimitChange>,
    /// Draining servers still to be sent, with the time since when they drain.
    pub draining_servers: BTreeMap<ServerKey, Instant>,
    /// State that is to be sent once, if it was not sent yet.
    pub initial_state: Option<InitialState>,
    /// Whether the other side knows the servers, so that it can use updates about them.
    pub has_catalog: bool,
    /// Whether the last frame said that this box is stopping.
    pub leaving_sent: bool,
    /// The newest era of the store that was sent.
    pub sent_era: StoreEra,
    /// When the last regular frame was sent.
    pub last_sent_at: Instant,
    /// When the last frame with updates about servers and services was sent.
    pub updates_sent_at: Instant,
}

/// State that is sent once to the other side of a new link.
#[derive(Debug, Default)]
pub struct InitialState {
    /// Whether the other side has just started and knows no server yet.
    pub peer_is_new: bool,
    /// The health of backend servers.
    pub health: Vec<(ServerKey, HealthSnapshot)>,
    /// Observations about requests during which servers ended.
    pub suspects: Vec<SuspectUpdate>,
    /// The current limits of servers.
    pub limits: Vec<ServerLimitChange>,
    /// Draining servers, with the time since when they drain.
    pub draining_servers: Vec<(ServerKey, Instant)>,
}

impl ActiveLink {
    /// Whether so many frames are unacknowledged that further ones would only queue
    /// behind them.
    pub fn is_window_full(&self) -> bool {
        self.clock.unanswered() >= MAX_UNACKNOWLEDGED_FRAMES
    }

    /// Whether there are updates about servers that are not part of the tallies.
    pub fn has_own_updates(&self) -> bool {
        !self.suspects.is_empty()
            || !self.limits.is_empty()
            || !self.draining_servers.is_empty()
    }

    /// Returns what the other side is to this box: its own hub, a member or another hub.
    pub fn peer_relation(&self) -> PeerRole {
        match (self.opened_as, self.kind) {
            (Some(LinkRole::Member), _) => PeerRole::OwnHub,
            (_, LinkKind::Member) => PeerRole::Member,
            (_, LinkKind::Hub) => PeerRole::Hub,
        }
    }

    /// Whether a catalog snapshot is queued that the pacer does not allow to go out yet.
    pub fn is_snapshot_delayed(&self, pacer: &UpdatePacer, now: Instant) -> bool {
        self.catalog.has_snapshot() && !pacer.snapshot_delay(now).is_zero()
    }

    /// Whether the other side can use updates about servers: it knows the servers, or a
    /// queued snapshot may go out before the updates.
    pub fn accepts_server_updates(&self, pacer: &UpdatePacer, now: Instant) -> bool {
        self.has_catalog || !self.is_snapshot_delayed(pacer, now)
    }

    /// Returns how long until the queued catalog updates may go out; `None` if none has
    /// to.
    pub fn catalog_due_in(&self, pacer: &UpdatePacer, now: Instant) -> Option<Duration> {
        let due = self.catalog.due_in(now)?;
        Some(match self.catalog.has_snapshot() {
            true => due.max(pacer.snapshot_delay(now)),
            false => due,
        })
    }

    /// Takes the queued catalog snapshot, `None` if there is none. The bundle version
    /// goes with it so that a bundle that the other side already has is left out:
    /// otherwise a hub that has just taken over would send the whole bundle to each
    /// member.
    pub fn take_snapshot(&mut self) -> Option<PendingSnapshot> {
        let snapshot = self.catalog.take_snapshot()?;
        self.has_catalog = true;
        Some(PendingSnapshot {
            snapshot,
            bundle_version: self.bundle_version,
        })
    }

    /// Whether this is the planned link: the same instance of the box, and opened in that
    /// role.
    pub fn matches_plan(&self, planned: &PlannedLink) -> bool {
        self.peer.id == planned.to.id
            && self.peer.incarnation == planned.to.incarnation
            && self.opened_as == Some(planned.role)
    }
}

/// Window size: unacknowledged frames at which a link is full. With one each 50 ms and an
/// acknowledgement with each heartbeat at the latest, four are usual. Further frames
/// would queue in the connection and be stale on arrival: a frame is composed when it is
/// sent.
const MAX_UNACKNOWLEDGED_FRAMES: usize = 8;
