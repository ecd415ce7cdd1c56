//! Which boxes live: the platform's lagging list joined with heartbeats.
//!
//! Each box sends heartbeats to a few boxes only: its successors on a ring, which it
//! watches, and now and then one at random. A watched box that stays silent is suspected; the
//! suspicion travels on heartbeats and lapses unless it is renewed. A box is down when
//! two others suspect it. The cost for one box does not grow with the fleet, and a
//! wrong view does no harm: roles are soft, or fenced by the store.

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
    /// The listed boxes but this one, by their place on the ring.
    ring: BTreeMap<(u64, BoxId), ()>,
    peers: HashMap<BoxId, Peer>,
    /// Who suspects whom, and until when.
    suspicions: HashMap<(BoxId, BoxId), Instant>,
    round: u64,
    watched: Vec<BoxId>,
    /// The last answer of `live`, and when it was worked out; none after a change.
    roster: Option<(Instant, Arc<RendezvousSet>)>,
}

/// The times of membership.
#[derive(Debug, Clone, Copy)]
pub struct MembershipSettings {
    /// Time between two rounds of heartbeats.
    pub heartbeat_every: Duration,
    /// Silence after which a watched box is suspected.
    pub suspect_after: Duration,
    /// A suspicion lapses after this unless it is renewed.
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
    /// The box.
    pub id: BoxId,
    /// Where it hears its peers.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreId,
}

/// Why a message's sender was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageRejection {
    /// The box is not in the platform's list.
    #[error("the sender is not in the list of boxes")]
    Unlisted,
    /// The message was heard before, or one after it was.
    #[error("the message is a repeat")]
    Replayed,
    /// The sender's place was taken by a later incarnation.
    #[error("the sender has been replaced")]
    Replaced,
}

#[derive(Debug)]
struct Peer {
    listed: ListedBox,
    hash: u64,
    incarnation: u64,
    newest_sequence: u64,
    /// Which of the last 64 sequences were heard: messages may overtake each other.
    window: u64,
    heard: Option<Instant>,
    /// Since when it is watched without a sign of life.
    watched_since: Option<Instant>,
    says_leaving: bool,
}

impl Membership {
    /// A view without peers.
    pub fn new(own: BoxId, settings: MembershipSettings) -> Self {
        Self {
            own,
            settings,
            ring: BTreeMap::new(),
            peers: HashMap::new(),
            suspicions: HashMap::new(),
            round: 0,
            watched: Vec::new(),
            roster: None,
        }
    }

    /// Takes in the platform's list.
    pub fn update_listed(&mut self, list: &BoxList) {
        let others = list.boxes.iter().filter(|listed| listed.id != self.own);
        let listed: HashMap<&BoxId, &ListedBox> =
            others.map(|listed| (&listed.id, listed)).collect();
        self.roster = None;
        self.peers.retain(|id, _| listed.contains_key(id));
        for (id, entry) in listed {
            match self.peers.get_mut(id) {
                Some(peer) => peer.listed = entry.clone(),
                None => {
                    self.peers.insert(id.clone(), Peer::new(entry.clone()));
                }
            }
        }
        let placed = self.peers.keys().map(|id| ((hash_of(id), id.clone()), ()));
        self.ring = placed.collect();
    }

    /// Checks a message's sender and counts it as a sign of life.
    pub fn receive(
        &mut self,
        from: &BoxId,
        incarnation: u64,
        sequence: u64,
        now: Instant,
    ) -> Result<(), MessageRejection> {
        let peer = self.peers.get_mut(from).ok_or(MessageRejection::Unlisted)?;
        peer.admit(incarnation, sequence)?;
        peer.heard = Some(now);
        self.suspicions.remove(&(from.clone(), self.own.clone()));
        Ok(())
    }

    /// Counts an answer of a box as a sign of life.
    pub fn record_reply(&mut self, from: &BoxId, now: Instant) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.heard = Some(now);
            self.suspicions.remove(&(from.clone(), self.own.clone()));
        }
    }

    /// Notes that a box says it is leaving.
    pub fn set_leaving(&mut self, id: &BoxId, leaving: bool) {
        if let Some(peer) = self.peers.get_mut(id)
            && peer.says_leaving != leaving
        {
            peer.says_leaving = leaving;
            self.roster = None;
        }
    }

    /// Takes in suspicions that came with a heartbeat.
    pub fn receive_suspicions(&mut self, suspicions: &[Suspicion], now: Instant) {
        for suspicion in suspicions.iter().take(MOST_SUSPICIONS) {
            if suspicion.observer == self.own
                || !self.peers.contains_key(&suspicion.suspect)
            {
                continue;
            }
            let ttl = Duration::from_millis(u64::from(suspicion.ttl_ms));
            let until = now + ttl.min(self.settings.suspicion_ttl);
            let key = (suspicion.suspect.clone(), suspicion.observer.clone());
            let held = self.suspicions.entry(key).or_insert(until);
            *held = (*held).max(until);
        }
    }

    /// The suspicions to send along; they thin out as they age.
    pub fn suspicions(&self, now: Instant) -> Vec<Suspicion> {
        let running = self.suspicions.iter().filter(|(_, until)| **until > now);
        let mut running: Vec<Suspicion> = running
            .map(|((of, by), until)| Suspicion {
                suspect: of.clone(),
                observer: by.clone(),
                ttl_ms: (*until - now).as_millis() as u32,
            })
            .collect();
        running.sort_by_key(|suspicion| std::cmp::Reverse(suspicion.ttl_ms));
        running.truncate(MOST_SUSPICIONS);
        running
    }

    /// Starts a round: whom to send a heartbeat. `lot` picks the random one.
    pub fn begin_round(&mut self, lot: u64, now: Instant) -> Vec<PeerView> {
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
            let heard = peer.heard.map_or(since, |heard| heard.max(since));
            if now.saturating_duration_since(heard) >= self.settings.suspect_after {
                let key = (id.clone(), self.own.clone());
                self.suspicions
                    .insert(key, now + self.settings.suspicion_ttl);
                self.roster = None;
            }
        }
        let mut targets = watched;
        let others = self.ring.len().max(1) as u64;
        let drawn = self.ring.keys().nth((lot % others) as usize);
        if let Some((_, id)) = drawn
            && self.round.is_multiple_of(RANDOM_EVERY)
            && !targets.contains(id)
        {
            targets.push(id.clone());
        }
        targets.iter().filter_map(|id| self.view(id)).collect()
    }

    /// Whether a listed box counts as living.
    pub fn is_live(&self, id: &BoxId, now: Instant) -> bool {
        let listed = self.peers.get(id);
        *id == self.own || listed.is_some_and(|peer| peer.stays(&self.down(now)))
    }

    /// All boxes that count as living, this one included.
    ///
    /// Worked out anew at most once in `ROSTER_TTL`: the request path asks often.
    pub fn live_boxes(&mut self, now: Instant) -> Arc<RendezvousSet> {
        // While nobody is suspected, only the list and those who leave change it.
        let quiet = self.suspicions.is_empty();
        let fresh = |at: Instant| now.saturating_duration_since(at) < ROSTER_TTL;
        if let Some((at, roster)) = &self.roster
            && (quiet || fresh(*at))
        {
            return roster.clone();
        }
        let down = self.down(now);
        let live = self.peers.values().filter(|peer| peer.stays(&down));
        let hashed = live.map(|peer| (peer.hash, peer.listed.id.clone()));
        let own = (hash_of(&self.own), self.own.clone());
        let roster = Arc::new(RendezvousSet::from_hashed(hashed.chain([own])));
        self.roster = Some((now, roster.clone()));
        roster
    }

    /// Other boxes of one data centre that count as living.
    pub fn live_in(&self, data_centre: &DataCentreId, now: Instant) -> Vec<PeerView> {
        let down = self.down(now);
        let inside = self
            .peers
            .values()
            .filter(|peer| peer.listed.data_centre == *data_centre && peer.stays(&down));
        inside.map(Peer::view).collect()
    }

    /// The data centres of all listed boxes, and this box's own.
    pub fn data_centres(&self, own: &DataCentreId) -> Vec<DataCentreId> {
        let listed = self.peers.values().map(|peer| &peer.listed.data_centre);
        let mut all: Vec<DataCentreId> = listed.chain([own]).cloned().collect();
        all.sort();
        all.dedup();
        all
    }

    /// A box by its id.
    pub fn view(&self, id: &BoxId) -> Option<PeerView> {
        self.peers.get(id).map(Peer::view)
    }

    /// The boxes after this one on the ring: if every box tells its own, all are told.
    pub fn next_on_ring(&self, count: usize) -> Vec<PeerView> {
        self.successors()
            .take(count)
            .filter_map(|id| self.view(id))
            .collect()
    }

    /// The sequence last heard from a box, for echoing it back; 0 for none.
    pub fn heard_sequence(&self, id: &BoxId) -> u64 {
        self.peers.get(id).map_or(0, |peer| peer.newest_sequence)
    }

    /// The number of listed boxes, this one included.
    pub fn size(&self) -> usize {
        self.peers.len() + 1
    }

    /// The boxes that enough others suspect.
    fn down(&self, now: Instant) -> HashSet<&BoxId> {
        let needed = if self.peers.len() < 3 {
            1
        } else {
            LEAST_SUSPECTING
        };
        let mut counts: HashMap<&BoxId, usize> = HashMap::new();
        for ((of, _), until) in &self.suspicions {
            if *until > now {
                *counts.entry(of).or_default() += 1;
            }
        }
        let down = counts.into_iter().filter(|(_, count)| *count >= needed);
        down.map(|(id, _)| id).collect()
    }

    /// The boxes after this one on the ring, which it watches.
    ///
    /// Boxes that are down stay watched, and the ring goes on behind them, so that
    /// everyone who lives always has two who watch.
    fn successors(&self) -> impl Iterator<Item = &BoxId> {
        let own = (hash_of(&self.own), self.own.clone());
        let after = self.ring.range(own.clone()..);
        let before = self.ring.range(..own);
        after.chain(before).map(|((_, id), ())| id).take(WATCHED)
    }
}

impl Peer {
    fn new(listed: ListedBox) -> Self {
        Self {
            hash: hash_of(&listed.id),
            listed,
            incarnation: 0,
            newest_sequence: 0,
            window: 0,
            heard: None,
            watched_since: None,
            says_leaving: false,
        }
    }

    fn stays(&self, down: &HashSet<&BoxId>) -> bool {
        self.listed.state == BoxState::Live
            && !self.says_leaving
            && !down.contains(&self.listed.id)
    }

    fn view(&self) -> PeerView {
        PeerView {
            id: self.listed.id.clone(),
            address: self.listed.peer_address,
            data_centre: self.listed.data_centre.clone(),
        }
    }

    /// Incarnations grow with the time of the start; an older one is a leftover.
    fn admit(&mut self, incarnation: u64, sequence: u64) -> Result<(), MessageRejection> {
        if incarnation < self.incarnation {
            return Err(MessageRejection::Replaced);
        }
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.newest_sequence = 0;
            self.window = 0;
            self.says_leaving = false;
        }
        if sequence > self.newest_sequence {
            let ahead = sequence - self.newest_sequence;
            self.window = self.window.checked_shl(ahead as u32).unwrap_or(0) | 1;
            self.newest_sequence = sequence;
            return Ok(());
        }
        let behind = self.newest_sequence - sequence;
        if behind >= 64 || self.window >> behind & 1 == 1 {
            return Err(MessageRejection::Replayed);
        }
        self.window |= 1 << behind;
        Ok(())
    }
}

/// Boxes that each box watches.
const WATCHED: usize = 3;
/// In every so many rounds a heartbeat goes to a box at random as well.
const RANDOM_EVERY: u64 = 2;
/// Boxes that must agree before one counts as down.
const LEAST_SUSPECTING: usize = 2;
/// How long the roster of living boxes is used again.
const ROSTER_TTL: Duration = Duration::from_millis(100);
/// Suspicions on one heartbeat.
const MOST_SUSPICIONS: usize = 8;
