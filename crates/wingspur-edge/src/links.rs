//! The links of this box: whom it hears, what it tells whom.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wingspur_coordination::{
    CatalogQueue, FeedView, FleetCount, LinkId, LinkKind, LinkPlanner, NewsReader,
    OWN_LINK, PlannedLink, Rollup, SourceNews,
};
use wingspur_protocol::{
    BoxRecord, CatalogUpdate, Digest, FeedState, Frame, LinkRole, Revision,
};
use wingspur_state::{
    BoxId, BudgetHistory, FleetDivision, HealthNote, ServerKey, SourceId,
};
use wingspur_transport::LinkSender;

/// The links of this box, with what is still to be told on each.
#[derive(Debug)]
pub struct Links {
    own: BoxRecord,
    rollup: Rollup,
    news: NewsReader,
    planner: LinkPlanner,
    feed: FeedView,
    active: BTreeMap<LinkId, ActiveLink>,
    fleet: FleetCount,
    next_id: LinkId,
    /// Whether this box is stopping.
    leaving: bool,
    /// Whether there is news that should not wait for the next tick.
    urgent: bool,
}

/// A link that stands.
#[derive(Debug)]
struct ActiveLink {
    peer: BoxRecord,
    kind: LinkKind,
    /// Whether this box opened it, and as what.
    opened_as: Option<LinkRole>,
    sender: LinkSender,
    catalog: CatalogQueue,
    wants_listing: bool,
    greeting: Option<Greeting>,
    told_leaving: bool,
    sent: Instant,
    /// The boxes that the other side last told of.
    boxes: u32,
}

/// What the other side of a new link should know.
#[derive(Debug, Default)]
pub struct Greeting {
    /// Of backend servers.
    pub health: Vec<(ServerKey, HealthNote)>,
    /// Of what was sent to each service lately.
    pub sent_lately: Vec<(u64, BudgetHistory)>,
}

/// What a tick has to say on one link.
#[derive(Debug)]
pub struct Outgoing {
    /// The link.
    pub link: LinkId,
    /// Where it goes.
    pub sender: LinkSender,
    /// What it says.
    pub frame: Frame,
}

impl Links {
    /// No links yet.
    pub fn new(own: BoxRecord, now: Instant) -> Self {
        Self {
            rollup: Rollup::new(own.incarnation),
            news: NewsReader::default(),
            planner: LinkPlanner::new(own.clone()),
            feed: FeedView::new(own.id.clone(), now),
            active: BTreeMap::new(),
            fleet: FleetCount::default(),
            next_id: OWN_LINK + 1,
            leaving: false,
            urgent: false,
            own,
        }
    }

    /// Whether this box knows no other, linked or announced.
    pub fn is_alone(&self) -> bool {
        self.is_unlinked() && self.planner.size() == 1
    }

    /// Whether this box has just started and knows nothing of the catalog.
    pub fn is_starting(&self) -> bool {
        self.revision() == 0
    }

    /// Whether no link stands.
    pub fn is_unlinked(&self) -> bool {
        self.active.is_empty()
    }

    /// This box as it announces itself.
    pub fn own(&self) -> &BoxRecord {
        &self.own
    }

    /// Whom the box should keep links with.
    pub fn planner(&mut self) -> &mut LinkPlanner {
        &mut self.planner
    }

    /// How the box stands with the store.
    pub fn feed(&mut self) -> &mut FeedView {
        &mut self.feed
    }

    /// Whether this box is the hub of its data centre, as far as it knows.
    pub fn is_hub(&self, now: Instant) -> bool {
        let plan = self.planner.plan(now);
        !plan.iter().any(|link| link.role == LinkRole::Member)
    }

    /// Takes up a link; `opened_as` where this box opened it.
    pub fn add(
        &mut self,
        peer: BoxRecord,
        opened_as: Option<LinkRole>,
        peer_role: Option<LinkRole>,
        sender: LinkSender,
        now: Instant,
    ) -> LinkId {
        let id = self.next_id;
        self.next_id += 1;
        let kind = match peer_role {
            Some(LinkRole::Member) => LinkKind::Member,
            Some(LinkRole::Hub) | None => LinkKind::Hub,
        };
        self.rollup.add_link(id, kind);
        if kind == LinkKind::Hub {
            // Members are not announced, and so are no hub for others.
            self.planner.put(peer.clone());
        }
        self.planner.reached(&peer.id);
        let link = ActiveLink {
            peer,
            kind,
            opened_as,
            sender,
            catalog: CatalogQueue::new(),
            wants_listing: false,
            greeting: None,
            told_leaving: false,
            sent: now,
            boxes: 1,
        };
        self.active.insert(id, link);
        id
    }

    /// Gives up a link; returns the sources that are not heard any more.
    pub fn remove(&mut self, id: LinkId) -> Vec<SourceId> {
        let Some(link) = self.active.remove(&id) else {
            return Vec::new();
        };
        link.sender.close();
        self.feed.forget(id);
        self.rollup.drop_link(id);
        self.take_lost()
    }

    /// The sources that are not heard any more, forgotten here.
    pub fn take_lost(&mut self) -> Vec<SourceId> {
        let lost = self.rollup.take_lost();
        for source in &lost {
            self.news.forget(*source);
        }
        lost
    }

    /// Planned links that do not stand yet, and links opened here that are not planned any
    /// more, once the planned ones stand.
    pub fn differences(&self, now: Instant) -> (Vec<PlannedLink>, Vec<LinkId>) {
        let plan = self.planner.plan(now);
        let stands =
            |planned: &PlannedLink| self.active.values().any(|link| link.serves(planned));
        let missing: Vec<PlannedLink> = plan
            .iter()
            .filter(|planned| !stands(planned))
            .cloned()
            .collect();
        if !missing.is_empty() {
            return (missing, Vec::new());
        }
        let unplanned = self.active.iter().filter(|(_, link)| {
            let planned = plan.iter().any(|planned| link.serves(planned));
            link.opened_as.is_some() && !planned
        });
        (missing, unplanned.map(|(id, _)| *id).collect())
    }

    /// Takes in what this box itself has seen.
    pub fn hear_own(&mut self, digest: &Digest) {
        self.rollup.hear(OWN_LINK, digest);
    }

    /// Takes in digests that came by a link; returns the news for this box's own tables.
    pub fn hear(&mut self, id: LinkId, digests: &[Digest]) -> Vec<SourceNews> {
        for digest in digests {
            self.rollup.hear(id, digest);
        }
        let own = self.rollup.compose(OWN_LINK);
        own.iter().map(|digest| self.news.read(digest)).collect()
    }

    /// News that came about without a digest, as when a member went.
    pub fn own_news(&mut self) -> Vec<SourceNews> {
        self.hear(OWN_LINK, &[])
    }

    /// Queues news of the catalog for all links but the one that it came by; `urgent` where
    /// it changes anything.
    pub fn spread(&mut self, update: &CatalogUpdate, urgent: bool, from: Option<LinkId>) {
        for (id, link) in &mut self.active {
            if Some(*id) != from {
                link.catalog.push(update, urgent);
            }
        }
    }

    /// Queues news of the catalog for one link.
    pub fn tell(&mut self, id: LinkId, update: CatalogUpdate) {
        if let Some(link) = self.active.get_mut(&id) {
            link.catalog.push(&update, true);
        }
    }

    /// Queues what the other side of a new link should know.
    pub fn greet(&mut self, id: LinkId, greeting: Greeting) {
        if let Some(link) = self.active.get_mut(&id) {
            link.greeting = Some(greeting);
        }
    }

    /// Notes that this box is stopping.
    pub fn note_own_stop(&mut self) {
        self.leaving = true;
    }

    /// Notes that the other side of a link is stopping.
    ///
    /// Its frames still arrive on a link that has been given up here; they tell nothing more,
    /// and above all nothing of this box.
    pub fn note_peer_stop(&mut self, id: LinkId) {
        if let Some(link) = self.active.get(&id) {
            self.planner.remove(&link.peer.id);
        }
    }

    /// Notes that there is news which should not wait for the next tick.
    pub fn note_urgent(&mut self) {
        self.urgent = true;
    }

    /// Asks the other side of a link for a listing.
    pub fn ask_for_listing(&mut self, id: LinkId) {
        if let Some(link) = self.active.get_mut(&id) {
            link.wants_listing = true;
        }
    }

    /// What is to be sent now: news, and a sign of life where there was none for long.
    pub fn take_frames(&mut self, now: Instant) -> Vec<Outgoing> {
        let feed = self.feed.state(now);
        let hurry = std::mem::take(&mut self.urgent);
        let home_gap = self.home_gap();
        let (fleet_boxes, boxes_here) = (self.fleet_boxes(now) as u32, self.boxes_here());
        let mut frames = Vec::new();
        for (id, link) in &mut self.active {
            let age = now.saturating_duration_since(link.sent);
            let away = link.peer.data_centre != self.own.data_centre;
            let gap = if away { AWAY_GAP } else { home_gap };
            let gap = if hurry { gap / HURRY } else { gap };
            let due = age >= gap && self.rollup.has_news(*id);
            let catalog_due = link.catalog.due_in(now).is_some_and(|due| due.is_zero());
            let urgent = catalog_due
                || link.wants_listing
                || link.greeting.is_some()
                || (self.leaving && !link.told_leaving);
            if !due && !urgent && age < HEARTBEAT {
                continue;
            }
            link.sent = now;
            link.told_leaving = self.leaving;
            let greeting = link.greeting.take().unwrap_or_default();
            let digests = if due {
                self.rollup.compose(*id)
            } else {
                Vec::new()
            };
            frames.push(Outgoing {
                link: *id,
                sender: link.sender.clone(),
                frame: Frame {
                    digests,
                    catalog: link.catalog.take(now),
                    feed: feed.clone(),
                    boxes: match link.kind {
                        LinkKind::Member => fleet_boxes,
                        LinkKind::Hub => boxes_here,
                    },
                    wants_listing: std::mem::take(&mut link.wants_listing),
                    leaving: self.leaving,
                    health: greeting.health,
                    sent_lately: greeting.sent_lately,
                },
            });
        }
        frames
    }

    /// When `take_frames` should be called again, if nothing happens before.
    pub fn next_tick(&self, now: Instant) -> Duration {
        let home_gap = self.home_gap();
        let due = |(id, link): (&LinkId, &ActiveLink)| {
            let away = link.peer.data_centre != self.own.data_centre;
            let news_gap = if away { AWAY_GAP } else { home_gap };
            let gap = if self.rollup.has_news(*id) {
                news_gap
            } else {
                HEARTBEAT
            };
            let due = (link.sent + gap).saturating_duration_since(now);
            due.min(link.catalog.due_in(now).unwrap_or(due))
        };
        let next = self.active.iter().map(due).min();
        next.unwrap_or(HEARTBEAT).max(LEAST_TICK)
    }

    /// How often news goes to a box of the same data centre: a hub of many tells each of
    /// them less often, so that its link and processor bear them all.
    fn home_gap(&self) -> Duration {
        let links = self.active.len() as u32;
        HOME_GAP.max(Duration::from_secs(1) * links / MOST_FRAMES_PER_S)
    }

    /// The boxes of the fleet, as far as this one knows.
    pub fn fleet_boxes(&mut self, now: Instant) -> usize {
        let counted = self.counted_boxes();
        self.fleet.follow(counted, now)
    }

    /// How many boxes links and announcements tell of now.
    fn counted_boxes(&self) -> usize {
        let announced = self.planner.size();
        if self.is_unlinked() {
            return announced.max(self.planner.announced_fleet());
        }
        let own_hub = self.active.values().find(|link| link.is_to_own_hub());
        let linked = match own_hub {
            Some(hub) => hub.boxes,
            None => self.boxes_here() + self.boxes_elsewhere(),
        };
        announced.max(linked as usize)
    }

    /// The boxes that the hubs of other data centres count.
    fn boxes_elsewhere(&self) -> u32 {
        let links = self.active.values();
        let hubs = links.filter(|link| link.kind == LinkKind::Hub);
        hubs.map(|link| link.boxes).sum()
    }

    /// How many boxes this one counts for its data centre.
    fn boxes_here(&self) -> u32 {
        let members = self.active.values();
        let members = members.filter(|link| link.kind == LinkKind::Member);
        members.count() as u32 + 1
    }

    /// Notes how many boxes the other side of a link tells of.
    pub fn note_boxes(&mut self, id: LinkId, boxes: u32) {
        if let Some(link) = self.active.get_mut(&id) {
            link.boxes = boxes;
        }
    }

    /// How the fleet is divided, as far as its counts are concerned.
    pub fn division(&mut self, now: Instant) -> FleetDivision {
        let boxes = self.fleet_boxes(now);
        self.planner.division(boxes, now)
    }

    /// Notes how the other side of a link stands with the store, unless the link has been
    /// given up here: nothing would ever take that back.
    pub fn note_feed(&mut self, id: LinkId, state: &FeedState, now: Instant) {
        if self.active.contains_key(&id) {
            self.feed.note(id, state, now);
        }
    }

    /// Who is linked, for logs.
    pub fn peer(&self, id: LinkId) -> Option<&BoxId> {
        self.active.get(&id).map(|link| &link.peer.id)
    }

    /// The number of links, and of members among them.
    pub fn counts(&self) -> (usize, usize) {
        let members = self
            .active
            .values()
            .filter(|link| link.kind == LinkKind::Member);
        (self.active.len(), members.count())
    }

    /// The newest revision that this box knows.
    pub fn revision(&self) -> Revision {
        self.feed.revision()
    }
}

impl ActiveLink {
    fn is_to_own_hub(&self) -> bool {
        self.opened_as == Some(LinkRole::Member)
    }

    fn serves(&self, planned: &PlannedLink) -> bool {
        self.peer.id == planned.to.id
            && self.peer.incarnation == planned.to.incarnation
            && self.opened_as == Some(planned.role)
    }
}

/// How often news may go to a box of the same data centre: a request takes several times as
/// long, so a view that old still tells who is busy.
const HOME_GAP: Duration = Duration::from_millis(50);
/// Frames that a hub sends in a second: with four kilobytes each, a tenth of a link of a
/// hundred megabits.
const MOST_FRAMES_PER_S: u32 = 320;
/// News that should not wait goes out after so small a part of the usual gap.
const HURRY: u32 = 5;
/// How often news may go to another data centre, where each byte is priced.
const AWAY_GAP: Duration = Duration::from_millis(100);
/// A link without news is heard so often.
const HEARTBEAT: Duration = Duration::from_millis(300);
const LEAST_TICK: Duration = Duration::from_millis(10);
