//! Tests membership: which senders are accepted, which boxes count as live, and which box
//! owns a role.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use wingspur_coordination::{
    Membership, MembershipSettings, MessageRejection, RendezvousSet,
};
use wingspur_protocol::{
    BoxList, BoxState, ListedBox, PEER_PROTOCOL_VERSION, PeerEnvelope, PeerMessage,
    Suspicion, decode_peer, encode_peer,
};

fn list(count: usize) -> BoxList {
    let listed = |index: usize| ListedBox {
        id: format!("box-{index}"),
        peer_address: ([127, 0, 0, 1], 7002).into(),
        data_centre: "hala-jug".to_owned(),
        state: BoxState::Live,
    };
    BoxList {
        boxes: (0..count).map(listed).collect(),
        ..BoxList::default()
    }
}

fn member(index: usize, count: usize) -> Membership {
    let mut member =
        Membership::new(format!("box-{index}"), MembershipSettings::default());
    member.update_listed(&list(count));
    member
}

#[test]
fn only_listed_boxes_are_heard_and_each_message_once() {
    let mut member = member(0, 5);
    let now = Instant::now();
    let known = "box-1".to_owned();
    let unlisted = member.receive(&"box-9".to_owned(), 1, 1, now);
    assert_eq!(unlisted, Err(MessageRejection::Unlisted));
    assert_eq!(member.receive(&known, 7, 3, now), Ok(()));
    assert_eq!(
        member.receive(&known, 7, 3, now),
        Err(MessageRejection::Replayed)
    );
    assert_eq!(
        member.receive(&known, 7, 2, now),
        Ok(()),
        "messages may arrive out of order"
    );
    assert_eq!(
        member.receive(&known, 7, 2, now),
        Err(MessageRejection::Replayed)
    );
    assert_eq!(member.receive(&known, 7, 100, now), Ok(()));
    assert_eq!(
        member.receive(&known, 7, 30, now),
        Err(MessageRejection::Replayed)
    );
    assert_eq!(
        member.receive(&known, 6, 200, now),
        Err(MessageRejection::Replaced)
    );
    assert_eq!(
        member.receive(&known, 8, 1, now),
        Ok(()),
        "a new incarnation starts its own sequence"
    );
}

#[test]
fn one_suspicion_is_not_enough_and_all_lapse() {
    let mut member = member(0, 8);
    let now = Instant::now();
    let suspected = "box-5".to_owned();
    let observed_by = |observer: &str| Suspicion {
        suspect: suspected.clone(),
        observer: observer.to_owned(),
        ttl_ms: u32::MAX,
    };
    member.receive_suspicions(&[observed_by("box-3")], now);
    assert!(member.is_live(&suspected, now));
    member.receive_suspicions(&[observed_by("box-4")], now);
    assert!(!member.is_live(&suspected, now));
    let live = member.live_boxes(now);
    assert!(!live.ids().any(|id| *id == suspected));
    let later = now + MembershipSettings::default().suspicion_ttl;
    assert!(
        member.is_live(&suspected, later),
        "a suspicion expires unless it is renewed"
    );
}

#[test]
fn a_silent_successor_is_suspected_and_forgiven_when_heard() {
    let mut member = member(0, 8);
    let mut now = Instant::now();
    let watched = member.begin_round(0, now);
    for _ in 0..4 {
        now += Duration::from_secs(1);
        member.begin_round(0, now);
    }
    let suspected: Vec<String> = member
        .suspicions(now)
        .into_iter()
        .map(|suspicion| suspicion.suspect)
        .collect();
    assert_eq!(
        suspected.len(),
        3,
        "exactly the three watched boxes are suspected"
    );
    assert!(watched.iter().all(|peer| suspected.contains(&peer.id)));
    member.record_reply(&watched[0].id, now);
    assert_eq!(member.suspicions(now).len(), 2);
}

#[test]
fn every_box_is_watched_by_three() {
    let mut watchers = std::collections::HashMap::new();
    for index in 0..40 {
        let mut member = member(index, 40);
        for peer in member.begin_round(0, Instant::now()) {
            *watchers.entry(peer.id).or_insert(0) += 1;
        }
    }
    assert_eq!(watchers.len(), 40);
    assert!(watchers.values().all(|count| *count == 3));
}

proptest! {
    /// A role moves only when its owner is removed.
    #[test]
    fn a_role_stays_where_it_is(role in "[a-z]{1,12}", removed in 0..40usize) {
        let ids = |skip: Option<usize>| {
            (0..40).filter(move |index| Some(*index) != skip).map(|index| format!("box-{index}"))
        };
        let all = RendezvousSet::new(ids(None));
        let remaining = RendezvousSet::new(ids(Some(removed)));
        let owner_id = all.owner(&role).unwrap();
        if *owner_id != format!("box-{removed}") {
            prop_assert_eq!(remaining.owner(&role).unwrap(), owner_id);
        }
    }

    /// Bytes that are no message are refused without a panic.
    #[test]
    fn no_bytes_upset_the_reader(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode_peer(&bytes, "zagreb");
    }

    /// A message that is truncated or changed in one byte is refused or read as another
    /// message, without a panic.
    #[test]
    fn damaged_messages_do_not_upset_the_reader(at in 0..200usize, byte in any::<u8>()) {
        let mut bytes = encode_peer(&envelope(PEER_PROTOCOL_VERSION, "zagreb"));
        let at = at % bytes.len();
        let _ = decode_peer(&bytes[..at], "zagreb");
        bytes[at] = byte;
        let _ = decode_peer(&bytes, "zagreb");
    }
}

fn envelope(protocol: u16, fleet: &str) -> PeerEnvelope {
    PeerEnvelope {
        protocol,
        fleet: fleet.to_owned(),
        from: "box-1".to_owned(),
        incarnation: 7,
        sequence: 3,
        message: PeerMessage::FetchParts(vec!["abc".to_owned()]),
    }
}

#[test]
fn other_versions_and_fleets_are_refused() {
    let read = |protocol, fleet| {
        decode_peer(&encode_peer(&envelope(protocol, fleet)), "zagreb").is_ok()
    };
    assert!(read(PEER_PROTOCOL_VERSION, "zagreb"));
    assert!(!read(PEER_PROTOCOL_VERSION + 1, "zagreb"));
    assert!(!read(PEER_PROTOCOL_VERSION, "bratislava"));
}
