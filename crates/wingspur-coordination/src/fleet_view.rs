//! Size of the fleet, whether all other boxes count this one, which shares of the fleet's
//! quotas it may use, and to which hubs it delegates them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wingspur_protocol::{DelegatedShare, FleetStatus, MembershipUpdate};
use wingspur_state::{
    BoxKey, BoxPosition, CoverageRole, DataCentreId, FleetMembership, MembershipState,
};

use crate::fleet_size::MAX_HOLD;
use crate::{
    BoxRegistry, DELEGATION_TTL, FleetConnectivity, FleetSizeTracker, LinkId,
    ShareDelegation, required_contact_time,
};

/// What a box knows of the fleet from its links and from the announcements.
#[derive(Debug)]
pub struct FleetView {
    /// Key of this box.
    own_key: BoxKey,
    links: BTreeMap<LinkId, ObservedLink>,
    size_tracker: FleetSizeTracker,
    registry: BoxRegistry,
    connectivity: FleetConnectivity,
    delegation: ShareDelegation,
    /// This box's data centre.
    own_data_centre: DataCentreId,
    /// Delegations of this box's share of the limits of the servers in each data centre.
    server_delegations: BTreeMap<DataCentreId, ShareDelegation>,
    /// When lost members last delegated their shares to this box, as far as these
    /// delegations have not expired.
    lost_delegations: Vec<(BoxKey, Instant)>,
    /// Delegation state of a data centre that has no entry in `server_delegations` yet.
    initial_delegation: ShareDelegation,
    /// Position of this box among those of its data centre, as its hub last assigned it;
    /// kept while there is no hub.
    position: Option<BoxPosition>,
    /// Since when this box has been the hub of its data centre; `None` if it is not.
    hub_since: Option<Instant>,
}

/// Role of the other side of a link, as seen from this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRole {
    /// A box that reports to this one.
    Member,
    /// The hub that this one reports to.
    OwnHub,
    /// Another hub.
    Hub,
}

/// The box at the other side of a link.
#[derive(Debug, Clone)]
pub struct LinkPeer {
    /// Data centre in which the box runs.
    pub data_centre: DataCentreId,
    /// Key under which the box is counted.
    pub key: BoxKey,
}

/// State of the announcements, and the role that this box has by them.
#[derive(Debug, Clone)]
pub struct AnnouncementView {
    /// Number of announced boxes, including this one. While this box has no link, at
    /// least `reported_fleet_size`.
    pub announced_boxes: usize,
    /// Largest fleet size that an announced box reports; 0 if unknown.
    pub reported_fleet_size: usize,
    /// The other data centres.
    pub data_centres: Vec<DataCentreId>,
    /// The other announced boxes of this box's data centre, which may be its hub.
    pub hub_candidates: Vec<BoxKey>,
    /// Whether this box is the hub of its data centre.
    pub is_hub: bool,
    /// Whether it is the hub in place of another box that it cannot reach.
    pub is_acting_hub: bool,
    /// Age of the view of the announcements; `None` if nothing is known.
    pub age: Option<Duration>,
}

/// Fleet status that a box sends, by the role of the receiver.
#[derive(Debug, Clone, Copy)]
pub struct OutgoingFleetNotes {
    to_member: FleetStatus,
    to_hub: FleetStatus,
}

#[derive(Debug)]
struct ObservedLink {
    data_centre: DataCentreId,
    /// Key of the box at the other side.
    key: BoxKey,
    /// Whether a later instance of that box has linked itself.
    is_superseded: bool,
    role: PeerRole,
    status: FleetStatus,
    /// Latest moment at which the peer is known to have been running; at first, when the
    /// link was added.
    last_seen: Instant,
    /// Latest moment at which the peer is known to have been running and receiving from
    /// this box.
    as_of: Option<Instant>,
    /// When a member last delegated its share to this box.
    delegated_at: Option<Instant>,
    /// Shares that another hub has delegated to this one, with the time of the latest
    /// delegation.
    delegated_shares: BTreeMap<DataCentreId, (f64, Instant)>,
}

impl OutgoingFleetNotes {
    /// Returns the status for a link to a peer of this role.
    pub fn note_for(&self, role: PeerRole) -> FleetStatus {
        match role {
            PeerRole::Member => self.to_member,
            PeerRole::Hub => self.to_hub,
            PeerRole::OwnHub => FleetStatus::default(),
        }
    }
}

impl FleetView {
    /// Creates the view of a box that knows of no other box; `own` is its key.
    pub fn new(own: BoxKey, now: Instant) -> Self {
        Self {
            own_key: own,
            position: None,
            hub_since: None,
            delegation: ShareDelegation::new(now),
            own_data_centre: DataCentreId::default(),
            server_delegations: BTreeMap::new(),
            lost_delegations: Vec::new(),
            initial_delegation: ShareDelegation::new(now),
            links: BTreeMap::new(),
            size_tracker: FleetSizeTracker::default(),
            registry: BoxRegistry::new(own),
            connectivity: FleetConnectivity::default(),
        }
    }

    /// Creates the view of a box that starts together with all others of a fleet that has
    /// never run before.
    pub fn at_first_start(own: BoxKey, now: Instant) -> Self {
        Self {
            connectivity: FleetConnectivity::at_first_start(now),
            delegation: ShareDelegation::at_first_start(now),
            initial_delegation: ShareDelegation::at_first_start(now),
            ..Self::new(own, now)
        }
    }

    /// Sets the data centre of this box.
    pub fn in_data_centre(self, own_data_centre: DataCentreId) -> Self {
        Self {
            own_data_centre,
            ..self
        }
    }

    /// Adds a link to a box.
    pub fn add_link(&mut self, id: LinkId, peer: LinkPeer, role: PeerRole, now: Instant) {
        match role {
            PeerRole::Member => self.registry.add_member(id, peer.key),
            PeerRole::Hub | PeerRole::OwnHub => self.registry.add_hub(id),
        }
        for earlier in self.links.values_mut() {
            if earlier.key == peer.key {
                // The share that the previous instance delegated is now used by the new
                // one, or delegated by it.
                earlier.is_superseded = true;
                earlier.delegated_at = None;
            }
        }
        self.lost_delegations.retain(|(key, _)| *key != peer.key);
        let link = ObservedLink {
            data_centre: peer.data_centre,
            key: peer.key,
            is_superseded: false,
            role,
            status: FleetStatus::default(),
            last_seen: now,
            as_of: None,
            delegated_at: None,
            delegated_shares: BTreeMap::new(),
        };
        self.links.insert(id, link);
    }

    /// Removes a link. The box no longer uses the share of a member at the other side, which
    /// may learn that the link has been closed in order.
    pub fn drop_link(&mut self, id: LinkId, now: Instant) {
        self.links.remove(&id);
        self.registry.drop_link(id, now);
    }

    /// Removes a link that has broken. The other side cannot learn that it was closed in
    /// order, so this box uses the share of a member until the delegation expires: the
    /// member, or its next instance, uses it no sooner.
    pub fn lose_link(&mut self, id: LinkId, now: Instant) {
        let link = self.links.get(&id);
        let lost = link
            .filter(|link| link.role == PeerRole::Member)
            .and_then(|link| Some((link.key, link.delegated_at?)));
        self.lost_delegations.extend(lost);
        self.drop_link(id, now);
    }

    /// Records that the hub on a link no longer uses this box's share. The link may
    /// already have been removed here.
    pub fn release_share(&mut self, id: LinkId, now: Instant) {
        self.delegation.release(id, now);
        for delegation in self.server_delegations.values_mut() {
            delegation.release(id, now);
        }
    }

    /// Applies what another hub reports of itself and its members: first all of them,
    /// then changes.
    pub fn receive_membership(
        &mut self,
        id: LinkId,
        update: &MembershipUpdate,
        announcements: &AnnouncementView,
        now: Instant,
    ) {
        if *update != MembershipUpdate::default() {
            self.registry.receive(id, update, now);
            self.fleet_size(announcements, now);
        }
    }

    /// Returns the changes to this hub and its members that the hub on the link has not
    /// been sent yet, and marks them as sent; empty for other links.
    pub fn membership_updates_for(&mut self, id: LinkId) -> MembershipUpdate {
        match self.links.get(&id).map(|link| link.role) {
            Some(PeerRole::Hub) => self.registry.updates_for(id),
            Some(PeerRole::Member | PeerRole::OwnHub) | None => {
                MembershipUpdate::default()
            }
        }
    }

    /// Applies a status from the other side of a link. `as_of` is a moment at or after
    /// which the status was true; `None` if no such moment is known.
    pub fn receive(
        &mut self,
        id: LinkId,
        status: FleetStatus,
        announcements: &AnnouncementView,
        as_of: Option<Instant>,
        now: Instant,
    ) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let counts = |status: &FleetStatus| (status.boxes, status.counted);
        // A hub with a hundred members receives thousands of frames per second, so the
        // size is recomputed only on a change.
        let changed = counts(&link.status) != counts(&status);
        link.status = status;
        link.last_seen = as_of.unwrap_or(link.last_seen);
        link.as_of = as_of.or(link.as_of);
        if status.delegates_shares && link.role == PeerRole::Member && !link.is_superseded
        {
            link.delegated_at = as_of.or(link.delegated_at);
        }
        if link.role == PeerRole::OwnHub {
            self.position = status.position.or(self.position);
        }
        if status.is_sole_delegate && link.role == PeerRole::OwnHub {
            self.delegation.end_start_wait(now);
        }
        if link.role == PeerRole::OwnHub
            && let Some(as_of) = as_of
            && let Some(contact_age_ms) = status.hub_contact_age_ms
            && let Some(at) =
                as_of.checked_sub(Duration::from_millis(contact_age_ms.into()))
        {
            self.connectivity.note(at);
        }
        if changed {
            self.fleet_size(announcements, now);
        }
    }

    /// Records the present number of boxes and, on a hub, its contact with other hubs.
    /// Returns the status to send on links now, for each role of the peer.
    pub fn outgoing_notes(
        &mut self,
        announcements: &AnnouncementView,
        now: Instant,
    ) -> OutgoingFleetNotes {
        self.record_contact(announcements, now);
        self.update_own_position(announcements, now);
        let age = self.connectivity.age(now).filter(|_| announcements.is_hub);
        let contact_age_ms =
            age.map(|age| age.as_millis().min(u128::from(u32::MAX)) as u32);
        OutgoingFleetNotes {
            to_member: FleetStatus {
                boxes: self.fleet_size(announcements, now) as u32,
                hub_contact_age_ms: contact_age_ms,
                is_sole_delegate: self.is_sole_delegate(announcements, now),
                ..FleetStatus::default()
            },
            to_hub: FleetStatus {
                counted: self.registry.count(now) as u32,
                hub_contact_age_ms: contact_age_ms,
                ..FleetStatus::default()
            },
        }
    }

    /// Returns whether this hub knows that no other box of its data centre holds a
    /// delegation: all boxes that may have been its hub are members of this one, and say
    /// that they hold none.
    ///
    /// Without this a box that restarts cannot use its share for `DELEGATION_TTL`, and
    /// after a loss of all boxes no account is served for as long. Boxes that are not
    /// announced are only hubs of boxes that still have links to them from before, and
    /// then this box has such a link too.
    fn is_sole_delegate(&self, announcements: &AnnouncementView, now: Instant) -> bool {
        let is_current = announcements
            .age
            .is_some_and(|age| age <= MAX_CANDIDATES_AGE);
        let has_hub = self.links_with_role(PeerRole::OwnHub).next().is_some();
        let candidates = &announcements.hub_candidates;
        let is_released = |candidate: &BoxKey| {
            self.links_with_role(PeerRole::Member).any(|link| {
                let is_recent = link
                    .as_of
                    .is_some_and(|at| now.saturating_duration_since(at) < HUB_TIMEOUT);
                link.key == *candidate
                    && !link.is_superseded
                    && is_recent
                    && !link.status.holds_delegations
            })
        };
        announcements.is_hub
            && is_current
            && !has_hub
            && candidates.len() >= MIN_CANDIDATES
            && candidates.iter().all(is_released)
    }

    /// Returns whether a member's delegation to this box is still valid.
    fn is_delegated(link: &ObservedLink, now: Instant) -> bool {
        link.delegated_at.is_some_and(|at| is_valid(at, now))
    }

    /// Records the present number of boxes, and returns the number of boxes in the fleet
    /// as far as this box knows.
    pub fn fleet_size(
        &mut self,
        announcements: &AnnouncementView,
        now: Instant,
    ) -> usize {
        let linked = self.registry.count(now);
        let own_hub = self.links_with_role(PeerRole::OwnHub);
        let own_hub_size = own_hub.map(|link| link.status.boxes).max();
        // Another hub may count a hub of this data centre that this box cannot reach.
        let other_hubs_size = self
            .links_with_role(PeerRole::Hub)
            .map(|link| link.status.counted)
            .max();
        let reported = own_hub_size.max(other_hubs_size).unwrap_or(0);
        let counted = announcements
            .announced_boxes
            .max(linked)
            .max(reported as usize);
        self.size_tracker.record(counted, now)
    }

    /// Returns the fleet size and this box's membership state for a budget that is shared
    /// over `window`. On a hub, also records its contact with other hubs.
    pub fn membership(
        &mut self,
        window: Duration,
        announcements: &AnnouncementView,
        now: Instant,
    ) -> FleetMembership {
        self.record_contact(announcements, now);
        let span = required_contact_time(window);
        // If counts are not kept for the whole span, the slack of the retry budget would
        // be divided by too few boxes.
        let membership = match span <= MAX_HOLD {
            true => self.connectivity.membership_state(window, now),
            false => MembershipState::Disconnected,
        };
        FleetMembership {
            // The size is recorded on each tick, so there is no need to record it on a
            // request.
            boxes: self
                .size_tracker
                .max_within(span, now)
                .max(announcements.announced_boxes),
            state: membership,
        }
    }

    /// Returns what decides which probes of idle servers this box owns.
    pub fn coverage_role(
        &mut self,
        announcements: &AnnouncementView,
        now: Instant,
    ) -> CoverageRole {
        self.update_own_position(announcements, now);
        CoverageRole {
            key: self.own_key,
            position: self.position,
            fleet_boxes: self.fleet_size(announcements, now),
        }
    }

    /// On a hub that assigns positions, assigns this box its own.
    fn update_own_position(&mut self, announcements: &AnnouncementView, now: Instant) {
        self.hub_since = match announcements.is_hub {
            true => self.hub_since.or(Some(now)),
            false => None,
        };
        if self.assigns_positions(now) {
            self.position = self.registry.position(self.own_key);
        }
    }

    /// Whether this box is a hub to which all members have probably linked by now.
    fn assigns_positions(&self, now: Instant) -> bool {
        self.hub_since
            .is_some_and(|since| now.saturating_duration_since(since) >= POSITIONS_DELAY)
    }

    /// Returns the fleet status for a frame that is sent now on a link. To a member, it
    /// assigns a position once all members have probably linked. On the link to its hub, this box delegates its share with it, or renews the delegation, unless
    /// another hub may still use the share.
    pub fn note_for_link(
        &mut self,
        id: LinkId,
        notes: &OutgoingFleetNotes,
        now: Instant,
    ) -> FleetStatus {
        let link = self.links.get(&id);
        let role = link.map_or(PeerRole::Hub, |link| link.role);
        let mut status = notes.note_for(role);
        if role == PeerRole::OwnHub {
            status.delegates_shares = self.delegation.delegate_to(id, now);
            let mut lost = self.lost_delegations.iter();
            status.holds_delegations = lost.any(|(_, at)| is_valid(*at, now))
                || self
                    .links_with_role(PeerRole::Member)
                    .any(|link| Self::is_delegated(link, now));
        }
        let member = link.filter(|_| role == PeerRole::Member);
        let member = member.filter(|_| self.assigns_positions(now));
        status.position = member.and_then(|link| self.registry.position(link.key));
        status
    }

    /// Returns the fraction of a fleet-wide quota that this box may use; 0 if it may use
    /// none now. Also records the present number of boxes and, on a hub, its contact with
    /// other hubs.
    ///
    /// The fraction is the number of shares that this box holds, divided by the number of
    /// boxes: one for itself, unless a hub uses it, and one for each member that
    /// delegates to it. The shares of all boxes never add up to more than the quota, as
    /// long as no box counts fewer boxes than have a share.
    pub fn share(&mut self, announcements: &AnnouncementView, now: Instant) -> f64 {
        self.record_contact(announcements, now);
        self.fleet_size(announcements, now);
        if !self.may_use_share(announcements, now) {
            return 0.0;
        }
        if !self.delegation.is_free(now) && self.is_sole_delegate(announcements, now) {
            self.delegation.end_start_wait(now);
        }
        let delegating = self
            .links_with_role(PeerRole::Member)
            .filter(|link| Self::is_delegated(link, now))
            .count();
        self.lost_delegations.retain(|(_, at)| is_valid(*at, now));
        let delegating = delegating + self.lost_delegations.len();
        let shares = delegating + usize::from(self.delegation.is_free(now));
        let counted = self.size_tracker.max_within(MAX_HOLD, now);
        let boxes = counted
            .max(announcements.announced_boxes)
            .max(announcements.reported_fleet_size)
            .max(shares);
        shares as f64 / boxes as f64
    }

    /// Returns the fraction that this box may use of the limits of the servers in a data
    /// centre: what `share` returns, unless it is delegated to another hub, and the
    /// shares that other hubs delegate to it. The sum is at most 1.
    ///
    /// Each box's share is used by one hub at a time, except for `DELEGATION_TTL` after a
    /// member has moved from one hub to another: the former hub may have delegated the
    /// share to the allocator just before.
    pub fn share_for(
        &mut self,
        data_centre: &DataCentreId,
        announcements: &AnnouncementView,
        now: Instant,
    ) -> f64 {
        let is_free = self.delegation_for(data_centre).is_free(now);
        let own = if is_free {
            self.share(announcements, now)
        } else {
            0.0
        };
        let hubs = self.links_with_role(PeerRole::Hub);
        let delegated = hubs.filter_map(|link| link.delegated_shares.get(data_centre));
        let delegated = delegated
            .filter(|(_, at)| now.saturating_duration_since(*at) < DELEGATION_TTL);
        let delegated: f64 = delegated.map(|(share, _)| share).sum();
        (own + delegated).min(1.0)
    }

    /// Returns the link to the hub that allocates the limits of the servers in a data
    /// centre; `None` if this box allocates them.
    ///
    /// The hub of that data centre is preferred, since most requests to its servers come
    /// from there. If that hub is not reachable, it is the hub of the first data centre,
    /// by name, whose hub is reachable.
    pub fn allocator_for(
        &self,
        data_centre: &DataCentreId,
        now: Instant,
    ) -> Option<LinkId> {
        let hubs = self.links.iter().filter(|(_, link)| {
            let age = now.saturating_duration_since(link.last_seen);
            link.role == PeerRole::Hub && age < HUB_TIMEOUT
        });
        let hubs: Vec<_> = hubs.collect();
        if *data_centre == self.own_data_centre {
            return None;
        }
        let there = hubs
            .iter()
            .find(|(_, link)| link.data_centre == *data_centre);
        let first = hubs.iter().min_by_key(|(_, link)| &link.data_centre);
        let first = first.filter(|(_, link)| link.data_centre < self.own_data_centre);
        there.or(first).map(|(id, _)| **id)
    }

    /// Delegates the shares of this box to the hub on a link, for each data centre for
    /// which that hub is the allocator, and returns them. Leaves out shares that another
    /// hub may still use. Empty unless both boxes are hubs.
    pub fn delegate_shares(
        &mut self,
        id: LinkId,
        announcements: &AnnouncementView,
        now: Instant,
    ) -> Vec<DelegatedShare> {
        let is_peer_hub = self
            .links
            .get(&id)
            .is_some_and(|link| link.role == PeerRole::Hub);
        if !is_peer_hub || !announcements.is_hub {
            return Vec::new();
        }
        let own_share = self.share(announcements, now);
        let mut delegated = Vec::new();
        for name in announcements
            .data_centres
            .iter()
            .filter(|_| own_share > 0.0)
        {
            let is_allocator = self.allocator_for(name, now) == Some(id);
            if is_allocator && self.delegation_for(name).delegate_to(id, now) {
                delegated.push(DelegatedShare {
                    data_centre: name.clone(),
                    share: own_share,
                });
            }
        }
        delegated
    }

    /// Applies the shares that another hub delegates to this one. `as_of` is a moment at
    /// or after which they were delegated; with `None` they are ignored.
    pub fn receive_delegated_shares(
        &mut self,
        id: LinkId,
        delegated: &[DelegatedShare],
        as_of: Option<Instant>,
    ) {
        let (Some(link), Some(as_of)) = (self.links.get_mut(&id), as_of) else {
            return;
        };
        for DelegatedShare {
            data_centre,
            share: fraction,
        } in delegated
        {
            link.delegated_shares
                .insert(data_centre.clone(), (*fraction, as_of));
        }
    }

    fn delegation_for(&mut self, data_centre: &DataCentreId) -> &mut ShareDelegation {
        if !self.server_delegations.contains_key(data_centre) {
            self.server_delegations
                .insert(data_centre.clone(), self.initial_delegation);
        }
        self.server_delegations
            .get_mut(data_centre)
            .expect("the delegation was inserted above")
    }

    /// Returns an upper bound of the age of the newest state received on the present
    /// links; `None` if it is known for none of them.
    pub fn peer_state_age(&self, now: Instant) -> Option<Duration> {
        let as_of = self.links.values().filter_map(|link| link.as_of);
        let newest = as_of.max()?;
        Some(now.saturating_duration_since(newest))
    }

    /// Whether this box may use its share. It must know a lower bound of the fleet size:
    /// from the announcements, or from the links of its hub once these have been up for
    /// long enough. Besides, it must have been in contact recently, or have a view of the
    /// announcements that is recent enough: a box that is cut off from the store and from
    /// a data centre stops using its share before the others cease to count it.
    fn may_use_share(&self, announcements: &AnnouncementView, now: Instant) -> bool {
        let in_contact = self
            .connectivity
            .age(now)
            .is_some_and(|age| age <= MAX_CONTACT_AGE);
        let is_size_known =
            announcements.reported_fleet_size > 1 || self.connectivity.is_settled(now);
        let store_age = announcements.age.unwrap_or(Duration::MAX);
        is_size_known && (in_contact || store_age <= MAX_USE_WITHOUT_STORE)
    }

    /// On a hub, records when it was last in contact with the hubs of all data centres.
    fn record_contact(&mut self, announcements: &AnnouncementView, now: Instant) {
        let is_current = announcements
            .age
            .is_some_and(|age| age <= MAX_ANNOUNCEMENTS_AGE);
        if !announcements.is_hub || !is_current {
            return;
        }
        if announcements.is_acting_hub && announcements.data_centres.is_empty() {
            // The hub that this box replaces may still be running, with members that no
            // box here receives anything from.
            return;
        }
        let last_seen = |data_centre: &DataCentreId| {
            let hubs = self.links_with_role(PeerRole::Hub);
            let there = hubs.filter(|link| link.data_centre == *data_centre);
            there.map(|link| link.last_seen).max()
        };
        let last_seen: Option<Vec<Instant>> =
            announcements.data_centres.iter().map(last_seen).collect();
        if let Some(last_seen) = last_seen {
            self.connectivity
                .note(last_seen.into_iter().min().unwrap_or(now));
        }
    }

    fn links_with_role(&self, role: PeerRole) -> impl Iterator<Item = &ObservedLink> {
        self.links.values().filter(move |link| link.role == role)
    }
}

/// Returns whether a delegation made at that time has not expired.
fn is_valid(delegated_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(delegated_at) < DELEGATION_TTL
}

/// A hub that has been silent for this long is lost or about to be: links time out after
/// the same time.
const HUB_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum age of a hub's view of the announcements for it to know all boxes that may have
/// been the hub of its data centre: a hub reads the store at least this often.
const MAX_CANDIDATES_AGE: Duration = Duration::from_secs(2);
/// Minimum number of other announced boxes in a data centre. With fewer, announcements may
/// have lapsed during an outage of the store while their boxes still run.
const MIN_CANDIDATES: usize = 2;
/// A box that becomes a hub assigns positions after this time. Members link to a new hub
/// one after the other; counted too early, each of them would own the probes of many.
const POSITIONS_DELAY: Duration = Duration::from_secs(2);
/// A box whose last contact with the fleet is older than this counts as cut off.
const MAX_CONTACT_AGE: Duration = Duration::from_secs(2);
/// A box without contact to all data centres stops using its share when its view of the
/// announcements is older than this; the others count it for 15 s longer.
const MAX_USE_WITHOUT_STORE: Duration = Duration::from_secs(45);
const _: () = assert!(MAX_USE_WITHOUT_STORE.as_secs() + 15 <= MAX_HOLD.as_secs());
/// Maximum age of a hub's view of the announcements for the hub to count as in contact.
///
/// If a fleet is cut in two, one part may keep the store and lose sight of the other when
/// its leases expire, 7 s after the cut at the earliest (leases last 10 s and are renewed
/// every 3 s). Boxes that start there then may use slack 16 s later, 23 s after the cut.
/// The other part stops 7 s after the cut plus the 2 s for which a contact holds, so its
/// last resends arrive 12 s after the cut: a window and one second earlier.
const MAX_ANNOUNCEMENTS_AGE: Duration = Duration::from_secs(7);
