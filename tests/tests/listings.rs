//! What hubs of many boxes send each of them of the catalog.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wingspur_coordination::{CatalogQueue, ListingFrames, NewsPacer, PendingListing};
use wingspur_protocol::{
    CatalogChange, CatalogChanges, CatalogListing, CatalogUpdate, Frame, FrameContent,
    ListingUpdate, take_frame,
};
use wingspur_state::{Bundle, ServerRecord, StorePosition};

const SERVERS: usize = 2_000;
const BOXES: usize = 200;

fn at(revision: u64) -> StorePosition {
    StorePosition::new(1, revision)
}

fn record(n: usize) -> ServerRecord {
    ServerRecord {
        id: format!("i-{n:08x}"),
        born_ms: 1_700_000_000_000,
        service: "svc".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "dc-1".into(),
        slots: 3,
        leaving: false,
        cold_ms: 0,
    }
}

fn listing(bundle: Option<Arc<Bundle>>) -> Arc<ListingUpdate> {
    Arc::new(ListingUpdate {
        listing: CatalogListing {
            position: at(7),
            bundle,
            servers: (0..SERVERS).map(record).collect(),
            ..CatalogListing::default()
        },
        doubtful_ms: 0,
        missing: Vec::new(),
        returned: Vec::new(),
    })
}

fn bundle(version: u64) -> Arc<Bundle> {
    let text = format!(r#"{{"version": {version}, "fleet": "test", "services": []}}"#);
    Arc::new(serde_json::from_str(&text).unwrap())
}

fn owed(listing: &Arc<ListingUpdate>, bundle_version: u64) -> PendingListing {
    PendingListing {
        listing: listing.clone(),
        bundle_version,
    }
}

#[test]
fn listing_that_many_links_are_owed_is_held_once() {
    let listing = listing(Some(bundle(3)));
    let mut frames = ListingFrames::default();
    let sent: Vec<_> = (0..BOXES)
        .map(|n| frames.frame(&owed(&listing, n as u64 % 2 * 3)))
        .collect();
    assert_eq!(frames.encoded(), 2, "with the bundle and without it");
    let copies: std::collections::BTreeSet<_> =
        sent.iter().map(|frame| frame.bytes().as_ptr()).collect();
    assert_eq!(copies.len(), 2);
    drop(listing);
    frames.tidy();
    let again = self::listing(None);
    frames.frame(&owed(&again, 0));
    assert_eq!(frames.encoded(), 3);
}

#[test]
fn listing_leaves_out_a_bundle_that_the_other_side_has() {
    let listing = listing(Some(bundle(3)));
    let mut frames = ListingFrames::default();
    for (known, expected) in [(2, Some(3)), (3, None), (4, None)] {
        let frame = frames.frame(&owed(&listing, known));
        let mut bytes = frame.bytes().to_vec();
        let frame: Frame = take_frame(&mut bytes).unwrap().unwrap();
        assert_eq!(frame.content, FrameContent::Listing);
        let [CatalogUpdate::Listing(told)] = &frame.catalog[..] else {
            panic!("one listing");
        };
        let peer_version = told.listing.bundle.as_ref().map(|bundle| bundle.version);
        assert_eq!(peer_version, expected);
        assert_eq!(told.listing.servers.len(), SERVERS);
    }
}

#[test]
fn listings_go_out_one_after_the_other() {
    let start = Instant::now();
    let listing = listing(None);
    for (capacity, least_ms, most_ms) in [(1, 140, 160), (10, 14, 16)] {
        let mut pacer = NewsPacer::new(capacity, start);
        assert_eq!(pacer.list_free_in(start), Duration::ZERO);
        pacer.count_listing(&listing, start);
        let gap_ms = pacer.list_free_in(start).as_millis();
        assert!((least_ms..most_ms).contains(&gap_ms), "{gap_ms} ms");
        // News of servers does not wait for listings.
        assert_eq!(pacer.free_in(start), Duration::ZERO);
    }
}

#[test]
fn queued_listing_that_became_known_is_dropped_and_later_changes_stay() {
    let change = CatalogUpdate::Changes {
        changes: CatalogChanges {
            after: at(7),
            position: at(8),
            changes: vec![CatalogChange::ServerGone("i-1".into())],
        },
        doubtful_ms: 0,
    };
    let mut queue = CatalogQueue::new();
    queue.push(&CatalogUpdate::Listing(listing(Some(bundle(3)))), true);
    queue.push(&change, true);
    queue.drop_known_listing(at(6), 3);
    assert!(queue.has_listing(), "an older history");
    queue.drop_known_listing(at(7), 2);
    assert!(queue.has_listing(), "an older bundle");
    queue.drop_known_listing(at(7), 3);
    assert!(!queue.has_listing());
    assert_eq!(queue.take(Instant::now()), [change]);
}

#[test]
fn queued_listing_of_returned_servers_is_never_dropped() {
    let mut told = (*listing(None)).clone();
    told.returned.push("i-1".into());
    let mut queue = CatalogQueue::new();
    queue.push(&CatalogUpdate::Listing(Arc::new(told)), true);
    queue.drop_known_listing(at(9), 9);
    assert!(queue.has_listing());
}
