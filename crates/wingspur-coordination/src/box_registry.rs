//! Registry of the boxes in the fleet, each counted once.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use wingspur_protocol::MembershipUpdate;
use wingspur_state::{BoxKey, BoxPosition};

use crate::LinkId;

/// Boxes that this one is linked to or that other hubs report.
///
/// While one hub replaces another, both count the members that move. Adding up numbers
/// would overestimate the fleet, and a share of its quotas would be used by nobody, so
/// boxes are counted by key. A restarted box keeps its key: its new instance uses the
/// share only once the previous instance no longer can.
#[derive(Debug)]
pub struct BoxRegistry {
    links: BTreeMap<LinkId, LinkBoxes>,
    /// Number of links over which each box is counted now.
    link_counts: HashMap<BoxKey, u32>,
    /// Boxes that no link counts any more, with the time at which the last link stopped
    /// counting them.
    departed: HashMap<BoxKey, Instant>,
    /// This box and its members.
    own_boxes: BTreeSet<BoxKey>,
}

#[derive(Debug, Default)]
struct LinkBoxes {
    /// Key of the member at the other side; `None` for a hub.
    member: Option<BoxKey>,
    /// Boxes that are counted over this link.
    counted: BTreeSet<BoxKey>,
    /// Boxes that the other side has been sent; `None` before the first update.
    sent: Option<BTreeSet<BoxKey>>,
}

impl BoxRegistry {
    /// Creates a registry that counts only this box.
    pub fn new(own: BoxKey) -> Self {
        Self {
            links: BTreeMap::new(),
            link_counts: HashMap::from([(own, 1)]),
            departed: HashMap::new(),
            own_boxes: BTreeSet::from([own]),
        }
    }

    /// Adds a link to a member.
    pub fn add_member(&mut self, link: LinkId, member: BoxKey) {
        let link_boxes = LinkBoxes {
            member: Some(member),
            ..LinkBoxes::default()
        };
        self.links.insert(link, link_boxes);
        self.own_boxes.insert(member);
        self.add(link, member);
    }

    /// Adds a link to another hub, which will send the boxes that it counts.
    pub fn add_hub(&mut self, link: LinkId) {
        self.links.insert(link, LinkBoxes::default());
    }

    /// Removes a link and what it counts.
    pub fn drop_link(&mut self, link: LinkId, now: Instant) {
        let Some(link_boxes) = self.links.remove(&link) else {
            return;
        };
        for key in link_boxes.counted {
            self.release(key, now);
        }
        let mut others = self.links.values();
        if let Some(member) = link_boxes.member
            && !others.any(|other| other.member == Some(member))
        {
            self.own_boxes.remove(&member);
        }
    }

    /// Applies the boxes that another hub counts.
    pub fn receive(&mut self, link: LinkId, update: &MembershipUpdate, now: Instant) {
        let Some(link_boxes) = self.links.get(&link) else {
            return;
        };
        let mut removed = update.left.clone();
        if update.is_full {
            removed.extend(link_boxes.counted.iter().copied());
        }
        for key in &update.joined {
            self.add(link, *key);
        }
        for key in removed {
            let stays = update.is_full && update.joined.contains(&key);
            let link_boxes = self.links.get_mut(&link);
            if !stays
                && link_boxes.is_some_and(|link_boxes| link_boxes.counted.remove(&key))
            {
                self.release(key, now);
            }
        }
    }

    /// Returns the changes to this box and its members that another hub has not been sent
    /// yet.
    pub fn updates_for(&mut self, link: LinkId) -> MembershipUpdate {
        let Some(link_boxes) = self.links.get_mut(&link) else {
            return MembershipUpdate::default();
        };
        if link_boxes.sent.as_ref() == Some(&self.own_boxes) {
            return MembershipUpdate::default();
        }
        let is_first = link_boxes.sent.is_none();
        let sent = link_boxes.sent.take().unwrap_or_default();
        let update = MembershipUpdate {
            is_full: is_first,
            joined: self.own_boxes.difference(&sent).copied().collect(),
            left: sent.difference(&self.own_boxes).copied().collect(),
        };
        link_boxes.sent = Some(self.own_boxes.clone());
        update
    }

    /// Returns the position of a box among this one and its members, in the order of
    /// their keys; `None` if it is not one of them.
    pub fn position(&self, key: BoxKey) -> Option<BoxPosition> {
        self.own_boxes.contains(&key).then(|| BoxPosition {
            index: self.own_boxes.range(..key).count() as u32,
            count: self.own_boxes.len() as u32,
        })
    }

    /// Returns the number of boxes that are counted now or were within `DEPARTED_TTL`.
    ///
    /// Members that are moving between two hubs are counted by neither, but still use
    /// their quota.
    pub fn count(&mut self, now: Instant) -> usize {
        self.departed
            .retain(|_, at| now.saturating_duration_since(*at) < DEPARTED_TTL);
        self.link_counts.len() + self.departed.len()
    }

    fn add(&mut self, link: LinkId, key: BoxKey) {
        let Some(link_boxes) = self.links.get_mut(&link) else {
            return;
        };
        if link_boxes.counted.insert(key) {
            *self.link_counts.entry(key).or_default() += 1;
            self.departed.remove(&key);
        }
    }

    fn release(&mut self, key: BoxKey, now: Instant) {
        let Some(link_count) = self.link_counts.get_mut(&key) else {
            return;
        };
        *link_count -= 1;
        if *link_count == 0 {
            self.link_counts.remove(&key);
            self.departed.insert(key, now);
        }
    }
}

/// How long a box still counts after the last link has stopped counting it. A box that
/// has no hub for longer has lost contact, and uses no slack.
const DEPARTED_TTL: Duration = Duration::from_secs(4);
