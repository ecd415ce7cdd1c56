//! Tracks which boxes are live, from the platform's list of boxes, which lags, and from
//! heartbeats.
//!
//! Each box sends heartbeats to a few boxes only: to its successors on a ring, which it
//! watches, and in every second round to a random one. A watched box that stays silent is
//! suspected; suspicions are passed on with heartbeats and expire unless they are
//! renewed. A box counts as down when two others suspect it. The cost for one box does
//! not grow with the fleet. A wrong view does no harm, because a role either may have two
//! owners for a while or is fenced by the store.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wingspur_protocol::{BoxList, BoxState, ListedBox, Suspicion};
use wingspur_state::{BoxId, DataCentreId};

use crate::{RendezvousSet, hash_of};

/// One box's view of the fleet.
#[derive(Debug)]
pub struct Membership {
    own: BoxId,
    settings: MembershipSettings,
    /// The listed boxes except this one, by their position on the ring.
    ring: BTreeMap<(u64, BoxId), ()>,
    peers: HashMap<BoxId, Peer>,
    /// When each suspicion expires, by suspect and observer.
    suspicions: HashMap<(BoxId, BoxId), Instant>,
    round: u64,
    watched: Vec<BoxId>,
    /// The last result of `live_boxes` and when it was computed; `None` after a change.
    live_boxes_cache: Option<(Instant, Arc<RendezvousSet>)>,
}

/// The intervals and timeouts of membership.
#[derive(Debug, Clone, Copy)]
pub struct MembershipSettings {
    /// Time between two rounds of heartbeats.
    pub heartbeat_every: Duration,
    /// Silence after which a watched box is suspected.
    pub suspect_after: Duration,
    /// Time after which a suspicion expires unless it is renewed.
    pub suspicion_ttl: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_every: Duration::from_secs(1),
            suspect_after: Duration::from_millis(2600),
            suspicion_ttl: Duration::from_secs(5),
        }
    }
}

/// A listed box as this box sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerView {
    /// The box's id.
    pub id: BoxId,
    /// The address at which it receives messages of its peers.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: DataCentreId,
}

/// The reason why a message was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageRejection {
    /// The box is not in the platform's list.
    #[error("the sender is not in the list of boxes")]
    Unlisted,
    /// The message was received before, or is too old to tell.
    #[error("the message is a repeat")]
    Replayed,
    /// A message of a later incarnation of the sender was received.
    #[error("the sender has been replaced")]
    Replaced,
}

#[derive(Debug)]
struct Peer {
    listed: ListedBox,
    hash: u64,
    incarnation: u64,
    highest_sequence: u64,
    /// Bitmap of the last 64 sequence numbers that were received, the lowest bit being
    /// the newest: messages may arrive out of order.
    received_window: u64,
    last_received: Option<Instant>,
    /// Since when this box watches it; `None` if it does not.
    watched_since: Option<Instant>,
    announced_leaving: bool,
}

impl Membership {
    /// Creates a view without peers.
    pub fn new(own: BoxId, settings: MembershipSettings) -> Self {
        Self {
            own,
            settings,
            ring: BTreeMap::new(),
            peers: HashMap::new(),
            suspicions: HashMap::new(),
            round: 0,
            watched: Vec::new(),
            live_boxes_cache: None,
        }
    }

    /// Applies the platform's list of boxes.
    pub fn update_listed(&mut self, list: &BoxList) {
        let others = list.boxes.iter().filter(|listed| listed.id != self.own);
        let listed: HashMap<&BoxId, &ListedBox> =
            others.map(|listed| (&listed.id, listed)).collect();
        self.live_boxes_cache = None;
        self.peers.retain(|id, _| listed.contains_key(id));
        for (id, entry) in listed {
            match self.peers.get_mut(id) {
                Some(peer) => peer.listed = entry.clone(),
                None => {
                    self.peers.insert(id.clone(), Peer::new(entry.clone()));
                }
            }
        }
        let by_position = self.peers.keys().map(|id| ((hash_of(id), id.clone()), ()));
        self.ring = by_position.collect();
    }

    /// Checks the sender of a message and counts the message as a sign of life. Fails if
    /// the sender is not listed, the message is a repeat or its incarnation is an old
    /// one.
    pub fn receive(
        &mut self,
        from: &BoxId,
        incarnation: u64,
        sequence: u64,
        now: Instant,
    ) -> Result<(), MessageRejection> {
        let peer = self.peers.get_mut(from).ok_or(MessageRejection::Unlisted)?;
        peer.admit(incarnation, sequence)?;
        peer.last_received = Some(now);
        self.suspicions.remove(&(from.clone(), self.own.clone()));
        Ok(())
    }

    /// Counts a box's reply as a sign of life.
    pub fn record_reply(&mut self, from: &BoxId, now: Instant) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.last_received = Some(now);
            self.suspicions.remove(&(from.clone(), self.own.clone()));
        }
    }

    /// Records whether a box has announced that it is leaving.
    pub fn set_leaving(&mut self, id: &BoxId, leaving: bool) {
        if let Some(peer) = self.peers.get_mut(id)
            && peer.announced_leaving != leaving
        {
            peer.announced_leaving = leaving;
            self.live_boxes_cache = None;
        }
    }

    /// Applies suspicions that were received with a heartbeat.
    pub fn receive_suspicions(&mut self, suspicions: &[Suspicion], now: Instant) {
        for suspicion in suspicions.iter().take(MAX_SUSPICIONS_PER_HEARTBEAT) {
            if suspicion.observer == self.own
                || !self.peers.contains_key(&suspicion.suspect)
            {
                continue;
            }
            let ttl = Duration::from_millis(u64::from(suspicion.ttl_ms));
            let until = now + ttl.min(self.settings.suspicion_ttl);
            let key = (suspicion.suspect.clone(), suspicion.observer.clone());
            let expires = self.suspicions.entry(key).or_insert(until);
            *expires = (*expires).max(until);
        }
    }

    /// Returns the suspicions to send with a heartbeat: those that expire last, each with
    /// its remaining TTL, so that a suspicion that is not renewed expires everywhere.
    pub fn suspicions(&self, now: Instant) -> Vec<Suspicion> {
        let current = self.suspicions.iter().filter(|(_, until)| **until > now);
        let mut current: Vec<Suspicion> = current
            .map(|((suspect, observer), until)| Suspicion {
                suspect: suspect.clone(),
                observer: observer.clone(),
                ttl_ms: (*until - now).as_millis() as u32,
            })
            .collect();
        current.sort_by_key(|suspicion| std::cmp::Reverse(suspicion.ttl_ms));
        current.truncate(MAX_SUSPICIONS_PER_HEARTBEAT);
        current
    }

    /// Starts a round of heartbeats, suspects watched boxes that are silent, and returns
    /// the boxes to send a heartbeat to. `sample` is a random number that selects the
    /// random one.
    pub fn begin_round(&mut self, sample: u64, now: Instant) -> Vec<PeerView> {
        self.round += 1;
        self.suspicions.retain(|_, until| *until > now);
        let watched: Vec<BoxId> = self.successors().cloned().collect();
        for id in std::mem::replace(&mut self.watched, watched.clone()) {
            if !watched.contains(&id)
                && let Some(peer) = self.peers.get_mut(&id)
            {
                peer.watched_since = None;
            }
        }
        for id in &watched {
            let Some(peer) = self.peers.get_mut(id) else {
                continue;
            };
            let since = *peer.watched_since.get_or_insert(now);
            let last_received = peer
                .last_received
                .map_or(since, |last_received| last_received.max(since));
            if now.saturating_duration_since(last_received) >= self.settings.suspect_after
            {
                let key = (id.clone(), self.own.clone());
                self.suspicions
                    .insert(key, now + self.settings.suspicion_ttl);
                self.live_boxes_cache = None;
            }
        }
        let mut targets = watched;
        let others = self.ring.len().max(1) as u64;
        let drawn = self.ring.keys().nth((sample % others) as usize);
        if let Some((_, id)) = drawn
            && self.round.is_multiple_of(RANDOM_EVERY_ROUNDS)
            && !targets.contains(id)
        {
            targets.push(id.clone());
        }
        targets.iter().filter_map(|id| self.view(id)).collect()
    }

    /// Returns whether a box counts as live; false if it is not listed.
    pub fn is_live(&self, id: &BoxId, now: Instant) -> bool {
        let listed = self.peers.get(id);
        *id == self.own || listed.is_some_and(|peer| peer.is_live(&self.down(now)))
    }

    /// Returns all boxes that count as live, including this one.
    ///
    /// While there are suspicions, the result is computed at most once in
    /// `LIVE_BOXES_TTL` unless it is invalidated, because it is needed often while
    /// requests are handled.
    pub fn live_boxes(&mut self, now: Instant) -> Arc<RendezvousSet> {
        // While no box is suspected, only the list and boxes that leave change the
        // result.
        let no_suspicions = self.suspicions.is_empty();
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < LIVE_BOXES_TTL;
        if let Some((at, cached)) = &self.live_boxes_cache
            && (no_suspicions || is_fresh(*at))
        {
            return cached.clone();
        }
        let down = self.down(now);
        let live = self.peers.values().filter(|peer| peer.is_live(&down));
        let hashed = live.map(|peer| (peer.hash, peer.listed.id.clone()));
        let own = (hash_of(&self.own), self.own.clone());
        let live_set = Arc::new(RendezvousSet::from_hashed(hashed.chain([own])));
        self.live_boxes_cache = Some((now, live_set.clone()));
        live_set
    }

    /// Returns the other boxes of one data centre that count as live.
    pub fn live_in(&self, data_centre: &DataCentreId, now: Instant) -> Vec<PeerView> {
        let down = self.down(now);
        let inside = self.peers.values().filter(|peer| {
            peer.listed.data_centre == *data_centre && peer.is_live(&down)
        });
        inside.map(Peer::view).collect()
    }

    /// Returns the data centres of all listed boxes and this box's own, sorted.
    pub fn data_centres(&self, own: &DataCentreId) -> Vec<DataCentreId> {
        let listed = self.peers.values().map(|peer| &peer.listed.data_centre);
        let mut all: Vec<DataCentreId> = listed.chain([own]).cloned().collect();
        all.sort();
        all.dedup();
        all
    }

    /// Returns another listed box by its id.
    pub fn view(&self, id: &BoxId) -> Option<PeerView> {
        self.peers.get(id).map(Peer::view)
    }

    /// Returns up to `count` of the boxes after this one on the ring, `WATCHED_BOXES` at
    /// most. What every box forwards to these reaches all boxes.
    pub fn next_on_ring(&self, count: usize) -> Vec<PeerView> {
        self.successors()
            .take(count)
            .filter_map(|id| self.view(id))
            .collect()
    }

    /// Returns the highest sequence number received from a box, to be echoed back to it;
    /// 0 if there is none.
    pub fn heard_sequence(&self, id: &BoxId) -> u64 {
        self.peers.get(id).map_or(0, |peer| peer.highest_sequence)
    }

    /// Returns the number of listed boxes, including this one.
    pub fn size(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the boxes that enough others suspect. One suspicion is enough in a fleet
    /// of at most three boxes.
    fn down(&self, now: Instant) -> HashSet<&BoxId> {
        let needed = if self.peers.len() < 3 {
            1
        } else {
            MIN_SUSPECTING_BOXES
        };
        let mut counts: HashMap<&BoxId, usize> = HashMap::new();
        for ((suspect, _), until) in &self.suspicions {
            if *until > now {
                *counts.entry(suspect).or_default() += 1;
            }
        }
        let down = counts.into_iter().filter(|(_, count)| *count >= needed);
        down.map(|(id, _)| id).collect()
    }

    /// Returns the boxes after this one on the ring, which it watches.
    ///
    /// Boxes that are down stay watched and keep their positions on the ring. Each box is
    /// watched by `WATCHED_BOXES` others, so that one of these may be down and two still
    /// watch.
    fn successors(&self) -> impl Iterator<Item = &BoxId> {
        let own = (hash_of(&self.own), self.own.clone());
        let after = self.ring.range(own.clone()..);
        let before = self.ring.range(..own);
        after
            .chain(before)
            .map(|((_, id), ())| id)
            .take(WATCHED_BOXES)
    }
}

impl Peer {
    fn new(listed: ListedBox) -> Self {
        Self {
            hash: hash_of(&listed.id),
            listed,
            incarnation: 0,
            highest_sequence: 0,
            received_window: 0,
            last_received: None,
            watched_since: None,
            announced_leaving: false,
        }
    }

    fn is_live(&self, down: &HashSet<&BoxId>) -> bool {
        self.listed.state == BoxState::Live
            && !self.announced_leaving
            && !down.contains(&self.listed.id)
    }

    fn view(&self) -> PeerView {
        PeerView {
            id: self.listed.id.clone(),
            address: self.listed.peer_address,
            data_centre: self.listed.data_centre.clone(),
        }
    }

    /// Checks the incarnation and the sequence number of a message, and records them.
    ///
    /// A box that starts again has a higher incarnation, so that a message with a lower
    /// one comes from an ended instance.
    fn admit(&mut self, incarnation: u64, sequence: u64) -> Result<(), MessageRejection> {
        if incarnation < self.incarnation {
            return Err(MessageRejection::Replaced);
        }
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.highest_sequence = 0;
            self.received_window = 0;
            self.announced_leaving = false;
        }
        if sequence > self.highest_sequence {
            let advance = sequence - self.highest_sequence;
            self.received_window = self
                .received_window
                .checked_shl(advance as u32)
                .unwrap_or(0)
                | 1;
            self.highest_sequence = sequence;
            return Ok(());
        }
        let behind = self.highest_sequence - sequence;
        if behind >= 64 || self.received_window >> behind & 1 == 1 {
            return Err(MessageRejection::Replayed);
        }
        self.received_window |= 1 << behind;
        Ok(())
    }
}

/// Number of boxes that each box watches.
const WATCHED_BOXES: usize = 3;
/// Interval, in rounds, at which a heartbeat also goes to a random box.
const RANDOM_EVERY_ROUNDS: u64 = 2;
/// Number of boxes that must suspect a box before it counts as down.
const MIN_SUSPECTING_BOXES: usize = 2;
/// Time for which the computed set of live boxes is used again while there are
/// suspicions.
const LIVE_BOXES_TTL: Duration = Duration::from_millis(100);
/// Maximum number of suspicions in one heartbeat.
const MAX_SUSPICIONS_PER_HEARTBEAT: usize = 8;
