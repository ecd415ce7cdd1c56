//! What the other side of a link sees when a box ends it or breaks it off, and who uses
//! the share of a member whose link is lost.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smol::net::TcpListener;
use wingspur_coordination::{
    AnnouncementView, DELEGATION_TTL, FleetView, LinkPeer, PeerRole,
};
use wingspur_protocol::FleetStatus;
use wingspur_transport::{
    Connector, HttpListener, LinkError, LinkReceiver, LinkSender, LinkTimeouts,
    ListenerOptions, Workers, accept_link, open_link,
};

const LINK_TIMEOUT: Duration = Duration::from_secs(10);

/// Opens a link and returns what its opener sees after the other side has ended it.
fn seen_after(end: fn(LinkSender)) -> LinkError {
    let workers = Workers::start(2);
    let port = TcpListener::bind("127.0.0.1:0");
    let port = smol::block_on(port).expect("a port is free");
    let accepted: Arc<Mutex<Vec<(LinkSender, LinkReceiver)>>> = Arc::default();
    let links = accepted.clone();
    let handler = move |request, _| {
        let links = links.clone();
        async move {
            let (sender, receiver, response) = accept_link(request);
            links.lock().unwrap().push((sender, receiver));
            response
        }
    };
    let options = ListenerOptions::default();
    let listener = HttpListener::start(port, &workers.spawner(), options, handler)
        .expect("it is bound");
    let connector = Connector::new(workers.spawner(), None);
    let timeouts = LinkTimeouts {
        connect: LINK_TIMEOUT,
        reply: LINK_TIMEOUT,
    };
    let opening = open_link(&connector, listener.address(), "/", timeouts);
    let (_sender, mut receiver) = smol::block_on(opening).expect("it is served");
    let (sender, _receiver) = accepted.lock().unwrap().pop().expect("it was accepted");
    end(sender);
    let received = smol::block_on(receiver.next::<u32>(LINK_TIMEOUT));
    workers.close();
    received.expect_err("no frame was sent")
}

/// Guards against shares used twice: a member that sees the normal end of a link uses its
/// share itself, while the hub that broke it off still does.
#[test]
fn a_link_that_is_broken_off_is_not_seen_to_end_normally() {
    assert!(matches!(seen_after(LinkSender::close), LinkError::Ended));
    let broken = seen_after(LinkSender::abort);
    assert!(matches!(broken, LinkError::Gone), "{broken}");
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A hub of a fleet of two boxes, with a member that delegates its share at `start`.
fn hub_with_member(start: Instant) -> (FleetView, AnnouncementView) {
    let announcements = AnnouncementView {
        announced_boxes: 2,
        reported_fleet_size: 2,
        data_centres: Vec::new(),
        hub_candidates: Vec::new(),
        is_hub: true,
        is_acting_hub: false,
        age: Some(Duration::ZERO),
    };
    let mut hub = FleetView::at_first_start(1, start).in_data_centre("dc-1".into());
    let peer = LinkPeer {
        data_centre: "dc-1".into(),
        key: 2,
    };
    hub.add_link(7, peer, PeerRole::Member, start);
    let status = FleetStatus {
        delegates_shares: true,
        ..FleetStatus::default()
    };
    hub.receive(7, status, &announcements, Some(start), start);
    (hub, announcements)
}

/// Guards against tokens that nobody mints: the share of a member that was lost was unused
/// until its next instance could use it, which refused requests below the limit.
#[test]
fn the_share_of_a_lost_member_is_used_until_its_delegation_expires() {
    let start = Instant::now();
    let (mut hub, announcements) = hub_with_member(start);
    assert_eq!(hub.share(&announcements, start + ms(100)), 1.0);
    hub.lose_link(7, start + ms(100));
    let last = start + DELEGATION_TTL - ms(1);
    assert_eq!(hub.share(&announcements, last), 1.0);
    assert_eq!(hub.share(&announcements, start + DELEGATION_TTL), 0.5);
}

/// A member that learns of the end of a link uses its share at once.
#[test]
fn the_share_of_a_member_is_not_used_after_a_link_was_closed() {
    let start = Instant::now();
    let (mut hub, announcements) = hub_with_member(start);
    hub.drop_link(7, start + ms(100));
    assert_eq!(hub.share(&announcements, start + ms(100)), 0.5);
}
