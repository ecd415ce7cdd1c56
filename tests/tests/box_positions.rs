//! The positions by which boxes own probes of idle servers, as hubs assign them. Guards
//! against members that own the probes of others while not all have linked to a new hub,
//! and against members that own none while there is no hub.

use std::time::{Duration, Instant};

use wingspur_coordination::{AnnouncementView, FleetView, LinkPeer, PeerRole};
use wingspur_protocol::FleetStatus;
use wingspur_state::{BoxKey, BoxPosition};

const OWN_KEY: BoxKey = 50;
/// Longer than a hub waits for its members to link.
const SETTLED: Duration = Duration::from_millis(2_100);

fn view_of(is_hub: bool) -> AnnouncementView {
    AnnouncementView {
        announced_boxes: 3,
        reported_fleet_size: 0,
        data_centres: Vec::new(),
        hub_candidates: Vec::new(),
        is_hub,
        is_acting_hub: false,
        age: Some(Duration::ZERO),
    }
}

fn peer(key: BoxKey) -> LinkPeer {
    LinkPeer {
        data_centre: "here".into(),
        key,
    }
}

fn position(index: u32, count: u32) -> Option<BoxPosition> {
    Some(BoxPosition { index, count })
}

/// Returns the position that a hub sends on a link.
fn sent_to(hub: &mut FleetView, link: u64, now: Instant) -> Option<BoxPosition> {
    let notes = hub.outgoing_notes(&view_of(true), now);
    hub.note_for_link(link, &notes, now).position
}

#[test]
fn a_hub_numbers_itself_and_its_members_once_they_have_linked() {
    let start = Instant::now();
    let mut hub = FleetView::new(OWN_KEY, start);
    hub.add_link(1, peer(70), PeerRole::Member, start);
    hub.add_link(2, peer(30), PeerRole::Member, start);
    assert_eq!(sent_to(&mut hub, 1, start), None, "not all may have linked");
    assert_eq!(hub.coverage_role(&view_of(true), start).position, None);
    let later = start + SETTLED;
    assert_eq!(sent_to(&mut hub, 1, later), position(2, 3));
    assert_eq!(sent_to(&mut hub, 2, later), position(0, 3));
    let own = hub.coverage_role(&view_of(true), later);
    assert_eq!(own.position, position(1, 3));
    hub.drop_link(2, later);
    assert_eq!(sent_to(&mut hub, 1, later), position(1, 2), "one is lost");
}

#[test]
fn other_hubs_and_boxes_that_are_no_hub_are_sent_and_send_no_position() {
    let start = Instant::now();
    let mut hub = FleetView::new(OWN_KEY, start);
    hub.add_link(1, peer(70), PeerRole::Hub, start);
    hub.add_link(2, peer(30), PeerRole::Member, start);
    let _ = sent_to(&mut hub, 1, start);
    assert_eq!(sent_to(&mut hub, 1, start + SETTLED), None);
    let notes = hub.outgoing_notes(&view_of(false), start + 2 * SETTLED);
    let status = hub.note_for_link(2, &notes, start + 2 * SETTLED);
    assert_eq!(status.position, None, "another box is the hub now");
}

#[test]
fn a_member_keeps_its_position_until_a_hub_sends_another() {
    let start = Instant::now();
    let member = view_of(false);
    let mut view = FleetView::new(OWN_KEY, start);
    view.add_link(1, peer(70), PeerRole::OwnHub, start);
    let status = |position| FleetStatus {
        boxes: 3,
        position,
        ..FleetStatus::default()
    };
    view.receive(1, status(position(1, 3)), &member, Some(start), start);
    let role = view.coverage_role(&member, start);
    assert_eq!((role.key, role.fleet_boxes), (OWN_KEY, 3));
    assert_eq!(role.position, position(1, 3));
    view.drop_link(1, start);
    let later = start + SETTLED;
    assert_eq!(
        view.coverage_role(&member, later).position,
        position(1, 3),
        "its hub is lost"
    );
    view.add_link(2, peer(80), PeerRole::OwnHub, later);
    view.receive(2, status(None), &member, Some(later), later);
    assert_eq!(
        view.coverage_role(&member, later).position,
        position(1, 3),
        "the new hub has not assigned any"
    );
    view.receive(2, status(position(0, 2)), &member, Some(later), later);
    assert_eq!(view.coverage_role(&member, later).position, position(0, 2));
}
