//! One link that stands, with what is still to be told on it.

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

/// A link that stands.
#[derive(Debug)]
pub struct ActiveLink {
    /// The box at the other side.
    pub peer: BoxRecord,
    /// What it is to this one.
    pub kind: LinkKind,
    /// Whether this box opened it, and as what.
    pub opened_as: Option<LinkRole>,
    /// Where frames go.
    pub sender: LinkSender,
    /// What was sent when, and what the other side had of that.
    pub clock: LinkClock,
    /// What it has not been told yet of the catalog.
    pub catalog: CatalogQueue,
    /// Whether it is to be asked for a listing.
    pub wants_listing: bool,
    /// The version that is in force at the other side, as far as it has told.
    pub bundle_version: BundleVersion,
    /// What it is asked and answered of loans that nobody waits for.
    pub lending: LeaseMessages,
    /// What it has not been told yet of requests under which servers ended.
    pub suspects: Vec<SuspectUpdate>,
    /// What it has not been told yet of servers' limits.
    pub limits: BTreeMap<ServerKey, ServerLimitChange>,
    /// The servers that leave of which it has not been told yet, with since when.
    pub leaving_servers: BTreeMap<ServerKey, Instant>,
    /// What it is to be told once.
    pub initial_state: Option<InitialState>,
    /// Whether it knows the servers, so that what is told of them means something there.
    pub has_catalog: bool,
    /// Whether it was told that this box stops.
    pub leaving_sent: bool,
    /// The newest era of the store that it was told.
    pub sent_era: StoreEra,
    /// When the last frame was sent.
    pub last_sent_at: Instant,
    /// When the last one with news of servers and services was.
    pub updates_sent_at: Instant,
}

/// What the other side of a new link should know.
#[derive(Debug, Default)]
pub struct InitialState {
    /// Whether the other side has just started and knows no server yet.
    pub peer_is_new: bool,
    /// Of backend servers.
    pub health: Vec<(ServerKey, HealthSnapshot)>,
    /// Of requests under which servers ended.
    pub suspects: Vec<SuspectUpdate>,
    /// Of servers' limits.
    pub limits: Vec<ServerLimitChange>,
    /// Of servers that leave, with since when.
    pub leaving_servers: Vec<(ServerKey, Instant)>,
}

impl ActiveLink {
    /// Whether so much is on its way that more would only wait behind it.
    pub fn is_window_full(&self) -> bool {
        self.clock.unanswered() >= MOST_UNANSWERED
    }

    /// Whether something is to be told that no digest tells.
    pub fn has_own_updates(&self) -> bool {
        !self.suspects.is_empty()
            || !self.limits.is_empty()
            || !self.leaving_servers.is_empty()
    }

    /// What the other side is to this box, as far as the fleet's view goes.
    pub fn peer_relation(&self) -> PeerRole {
        match (self.opened_as, self.kind) {
            (Some(LinkRole::Member), _) => PeerRole::OwnHub,
            (_, LinkKind::Member) => PeerRole::Member,
            (_, LinkKind::Hub) => PeerRole::Hub,
        }
    }

    /// Whether a listing is queued that has to wait for its turn.
    pub fn is_snapshot_delayed(&self, pacer: &UpdatePacer, now: Instant) -> bool {
        self.catalog.has_listing() && !pacer.snapshot_delay(now).is_zero()
    }

    /// Whether what is told of servers means something at the other side: it knows them, or
    /// is sent them first.
    pub fn accepts_server_updates(&self, pacer: &UpdatePacer, now: Instant) -> bool {
        self.has_catalog || !self.is_snapshot_delayed(pacer, now)
    }

    /// How long until what is queued of the catalog may go out; none where nothing has to.
    pub fn catalog_due_in(&self, pacer: &UpdatePacer, now: Instant) -> Option<Duration> {
        let due = self.catalog.due_in(now)?;
        Some(match self.catalog.has_listing() {
            true => due.max(pacer.snapshot_delay(now)),
            false => due,
        })
    }

    /// The listing that the other side is owed. It leaves out a bundle that the other side
    /// has: a hub that has just taken over would owe each member the whole bundle.
    pub fn take_snapshot(&mut self) -> Option<PendingSnapshot> {
        let listing = self.catalog.take_listing()?;
        self.has_catalog = true;
        Some(PendingSnapshot {
            listing,
            bundle_version: self.bundle_version,
        })
    }

    /// Whether it is the link that was planned.
    pub fn matches_plan(&self, planned: &PlannedLink) -> bool {
        self.peer.id == planned.to.id
            && self.peer.incarnation == planned.to.incarnation
            && self.opened_as == Some(planned.role)
    }
}

/// Frames in flight that the other side has not acknowledged. With one each 50 ms and an
/// acknowledgement with each heartbeat at the latest, four are usual. Further frames would
/// queue in the connection and be stale on arrival: a frame is composed when it is sent.
const MOST_UNANSWERED: usize = 8;
