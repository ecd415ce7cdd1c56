//! When a box that has just started may use its share of the fleet's quotas, and that no
//! share is counted twice.

use std::time::{Duration, Instant};

use wingspur_coordination::{
    AnnouncementView, DELEGATION_TTL, FleetView, LinkId, LinkPeer, PeerRole,
};
use wingspur_protocol::FleetStatus;
use wingspur_state::BoxKey;

const HUB: BoxKey = 1;
const CANDIDATES: [BoxKey; 2] = [2, 3];
const MEMBER: BoxKey = 4;
const FLEET_BOXES: usize = 4;

fn announcements(is_hub: bool) -> AnnouncementView {
    AnnouncementView {
        announced_boxes: FLEET_BOXES,
        reported_fleet_size: FLEET_BOXES,
        data_centres: Vec::new(),
        hub_candidates: CANDIDATES.to_vec(),
        is_hub,
        is_acting_hub: false,
        age: Some(Duration::ZERO),
    }
}

fn peer(key: BoxKey) -> LinkPeer {
    LinkPeer {
        data_centre: "a".into(),
        key,
    }
}

/// Returns a hub to which the given boxes are linked as members that delegate nothing.
fn hub_with_members(members: &[BoxKey], now: Instant) -> FleetView {
    let mut hub = FleetView::new(HUB, now);
    for key in members {
        hub.add_link(*key, peer(*key), PeerRole::Member, now);
        receive(&mut hub, *key, FleetStatus::default(), now);
    }
    hub
}

fn receive(hub: &mut FleetView, id: LinkId, status: FleetStatus, now: Instant) {
    hub.receive(id, status, &announcements(true), Some(now), now);
}

fn is_sole_delegate(hub: &mut FleetView, now: Instant) -> bool {
    let notes = hub.outgoing_notes(&announcements(true), now);
    notes.note_for(PeerRole::Member).is_sole_delegate
}

/// Returns whether a member that started at `started` delegates its share to a hub that
/// has sent `status`.
fn delegates_after(status: FleetStatus, started: Instant, now: Instant) -> bool {
    let mut member = FleetView::new(MEMBER, started);
    let known = announcements(false);
    member.add_link(1, peer(HUB), PeerRole::OwnHub, now);
    member.receive(1, status, &known, Some(now), now);
    let notes = member.outgoing_notes(&known, now);
    member.note_for_link(1, &notes, now).delegates_shares
}

/// After a loss of all boxes no account was served for 0.8 s, although no box held a
/// delegation any more.
#[test]
fn member_delegates_at_once_if_no_other_box_holds_its_share() {
    let started = Instant::now();
    let now = started + Duration::from_millis(100);
    let sole = FleetStatus {
        is_sole_delegate: true,
        ..FleetStatus::default()
    };
    assert!(delegates_after(sole, started, now));
    assert!(!delegates_after(FleetStatus::default(), started, now));
    let waited = started + DELEGATION_TTL;
    assert!(delegates_after(FleetStatus::default(), started, waited));
}

#[test]
fn hub_uses_its_own_share_at_once_if_no_other_box_holds_it() {
    let now = Instant::now();
    let mut hub = hub_with_members(&CANDIDATES, now);
    assert_eq!(hub.share(&announcements(true), now), 0.25);
    let mut hub = hub_with_members(&CANDIDATES[..1], now);
    assert_eq!(hub.share(&announcements(true), now), 0.0);
}

#[test]
fn hub_is_not_the_sole_delegate_while_a_candidate_may_hold_delegations() {
    let now = Instant::now();
    let mut hub = hub_with_members(&CANDIDATES, now);
    assert!(is_sole_delegate(&mut hub, now));
    let holding = FleetStatus {
        holds_delegations: true,
        ..FleetStatus::default()
    };
    receive(&mut hub, CANDIDATES[0], holding, now);
    assert!(!is_sole_delegate(&mut hub, now));

    let mut hub = hub_with_members(&CANDIDATES, now);
    let silent = now + Duration::from_secs(1);
    assert!(!is_sole_delegate(&mut hub, silent), "candidates are silent");

    let mut hub = hub_with_members(&CANDIDATES, now);
    hub.add_link(9, peer(9), PeerRole::OwnHub, now);
    assert!(!is_sole_delegate(&mut hub, now), "the hub has a hub itself");

    let mut hub = hub_with_members(&CANDIDATES, now);
    let outdated = AnnouncementView {
        age: Some(Duration::from_secs(5)),
        ..announcements(true)
    };
    let note = hub.outgoing_notes(&outdated, now);
    assert!(!note.note_for(PeerRole::Member).is_sole_delegate);
}

#[test]
fn member_reports_the_delegations_that_it_holds() {
    let now = Instant::now();
    let known = announcements(false);
    let mut former_hub = FleetView::new(CANDIDATES[0], now);
    former_hub.add_link(1, peer(HUB), PeerRole::OwnHub, now);
    former_hub.add_link(2, peer(MEMBER), PeerRole::Member, now);
    let delegating = FleetStatus {
        delegates_shares: true,
        ..FleetStatus::default()
    };
    former_hub.receive(2, delegating, &known, Some(now), now);
    let mut reports = |at: Instant| {
        let notes = former_hub.outgoing_notes(&known, at);
        former_hub.note_for_link(1, &notes, at).holds_delegations
    };
    assert!(reports(now));
    assert!(!reports(now + DELEGATION_TTL));
}

#[test]
fn share_of_a_restarted_member_is_counted_once() {
    let now = Instant::now();
    let mut hub = hub_with_members(&CANDIDATES, now);
    let delegating = FleetStatus {
        delegates_shares: true,
        ..FleetStatus::default()
    };
    for link in [20, 21] {
        hub.add_link(link, peer(MEMBER), PeerRole::Member, now);
        receive(&mut hub, link, delegating, now);
    }
    // A frame of the previous instance that is read late.
    receive(&mut hub, 20, delegating, now);
    assert_eq!(hub.share(&announcements(true), now), 0.5);
}

/// A hub uses the share of a member whose link has broken, until the next instance of the
/// member delegates it again.
#[test]
fn share_of_a_lost_member_is_counted_until_its_next_instance_links_itself() {
    let now = Instant::now();
    let mut hub = hub_with_members(&CANDIDATES, now);
    let delegating = FleetStatus {
        delegates_shares: true,
        ..FleetStatus::default()
    };
    hub.add_link(20, peer(MEMBER), PeerRole::Member, now);
    receive(&mut hub, 20, delegating, now);
    hub.lose_link(20, now);
    assert_eq!(hub.share(&announcements(true), now), 0.5);
    hub.add_link(21, peer(MEMBER), PeerRole::Member, now);
    assert_eq!(hub.share(&announcements(true), now), 0.25);
    receive(&mut hub, 21, delegating, now);
    assert_eq!(hub.share(&announcements(true), now), 0.5);
}
