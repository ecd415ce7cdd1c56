//! What a hub sends of the catalog to many members.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wingspur_coordination::{
    CatalogQueue, PendingSnapshot, SnapshotFrameCache, UpdatePacer,
};
use wingspur_protocol::{
    CatalogChange, CatalogChanges, CatalogSnapshot, CatalogSnapshotUpdate, CatalogUpdate,
    Frame, FrameContent, decode_next_frame, encode_frame,
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

fn listing(bundle: Option<Arc<Bundle>>) -> Arc<CatalogSnapshotUpdate> {
    Arc::new(CatalogSnapshotUpdate {
        snapshot: CatalogSnapshot {
            position: at(7),
            bundle,
            servers: (0..SERVERS).map(record).collect(),
            ..CatalogSnapshot::default()
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

fn pending(listing: &Arc<CatalogSnapshotUpdate>, bundle_version: u64) -> PendingSnapshot {
    PendingSnapshot {
        snapshot: listing.clone(),
        bundle_version,
    }
}

#[test]
fn listing_that_many_links_are_owed_is_held_once() {
    let listing = listing(Some(bundle(3)));
    let mut frames = SnapshotFrameCache::default();
    let sent: Vec<_> = (0..BOXES)
        .map(|n| frames.frame(&pending(&listing, n as u64 % 2 * 3)))
        .collect();
    assert_eq!(frames.encoded_count(), 2, "with the bundle and without it");
    let copies: std::collections::BTreeSet<_> =
        sent.iter().map(|frame| frame.bytes().as_ptr()).collect();
    assert_eq!(copies.len(), 2);
    drop(listing);
    frames.evict_unused();
    let again = self::listing(None);
    frames.frame(&pending(&again, 0));
    assert_eq!(frames.encoded_count(), 3);
}

#[test]
fn listing_leaves_out_a_bundle_that_the_other_side_has() {
    let listing = listing(Some(bundle(3)));
    let mut frames = SnapshotFrameCache::default();
    for (known, expected) in [(2, Some(3)), (3, None), (4, None)] {
        let frame = frames.frame(&pending(&listing, known));
        let mut bytes = frame.bytes().to_vec();
        let frame: Frame = decode_next_frame(&mut bytes).unwrap().unwrap();
        assert_eq!(frame.content, FrameContent::Snapshot);
        let [CatalogUpdate::Snapshot(received)] = &frame.catalog[..] else {
            panic!("one snapshot");
        };
        let peer_version = received
            .snapshot
            .bundle
            .as_ref()
            .map(|bundle| bundle.version);
        assert_eq!(peer_version, expected);
        assert_eq!(received.snapshot.servers.len(), SERVERS);
    }
}

#[test]
fn listings_go_out_one_after_the_other() {
    let start = Instant::now();
    let listing = listing(None);
    for (capacity, min_ms, max_ms) in [(1, 88, 100), (10, 9, 10)] {
        let mut pacer = UpdatePacer::new(capacity, start);
        assert_eq!(pacer.snapshot_delay(start), Duration::ZERO);
        pacer.record_snapshot(&listing, start);
        let gap_ms = pacer.snapshot_delay(start).as_millis();
        assert!((min_ms..max_ms).contains(&gap_ms), "{gap_ms} ms");
        // Tally updates do not wait for snapshots.
        assert_eq!(pacer.update_delay(start), Duration::ZERO);
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
    queue.push(&CatalogUpdate::Snapshot(listing(Some(bundle(3)))), true);
    queue.push(&change, true);
    queue.drop_known_snapshot(at(6), 3);
    assert!(queue.has_snapshot(), "the peer knows an older history");
    queue.drop_known_snapshot(at(7), 2);
    assert!(queue.has_snapshot(), "the peer has an older bundle");
    queue.drop_known_snapshot(at(7), 3);
    assert!(!queue.has_snapshot());
    assert_eq!(queue.take(Instant::now()), [change]);
}

#[test]
fn queued_listing_of_returned_servers_is_never_dropped() {
    let mut update = (*listing(None)).clone();
    update.returned.push("i-1".into());
    let mut queue = CatalogQueue::new();
    queue.push(&CatalogUpdate::Snapshot(Arc::new(update)), true);
    queue.drop_known_snapshot(at(9), 9);
    assert!(queue.has_snapshot());
}

/// Returns records as servers announce them, with IPv4 and IPv6 addresses.
fn announced_records() -> Vec<ServerRecord> {
    let record = |n: usize| ServerRecord {
        id: format!("i-{n:010x}"),
        service: ["predaja-api", "pitanja-web"][n % 2].into(),
        data_centre: ["hala-jug", "hala-sredina", "hala-istok"][n % 3].into(),
        address: match n {
            0 => "[2001:db8::7]:8693".parse().unwrap(),
            _ => "10.3.70.216:8687".parse().unwrap(),
        },
        leaving: n.is_multiple_of(5),
        cold_ms: n as u64 % 4 * 1_000,
        ..record(n)
    };
    (0..SERVERS).map(record).collect()
}

/// Guards against records that repeat the names of their service and data centre, which
/// took 70 bytes each.
#[test]
fn server_records_take_forty_bytes_each_between_boxes() {
    let servers = announced_records();
    let listing = CatalogSnapshot {
        position: at(7),
        servers: servers.clone(),
        ..CatalogSnapshot::default()
    };
    let changes = CatalogChanges {
        after: at(7),
        position: at(8),
        changes: servers.iter().cloned().map(CatalogChange::Server).collect(),
    };
    let (listed, changed) = (encode_frame(&listing).len(), encode_frame(&changes).len());
    assert!(listed <= 40 * SERVERS, "{listed} bytes");
    // Each change also contains its kind.
    assert!(changed <= 44 * SERVERS, "{changed} bytes");
}

#[test]
fn listings_and_changes_are_read_as_they_were_written() {
    let servers = announced_records();
    let listing = CatalogSnapshot {
        position: at(7),
        bundle: Some(bundle(3)),
        servers: servers.clone(),
        evacuated: vec!["hala-jug".into()],
        ..CatalogSnapshot::default()
    };
    let mut bytes = encode_frame(&listing);
    let read = decode_next_frame(&mut bytes).map_err(|error| error.to_string());
    assert_eq!(read, Ok(Some(listing)));
    let mut catalog_changes: Vec<_> =
        servers.into_iter().map(CatalogChange::Server).collect();
    catalog_changes.insert(3, CatalogChange::ServerGone("i-3".into()));
    catalog_changes.push(CatalogChange::Evacuated("hala-jug".into()));
    let changes = CatalogChanges {
        after: at(7),
        position: at(8),
        changes: catalog_changes,
    };
    let mut bytes = encode_frame(&changes);
    let read = decode_next_frame(&mut bytes).map_err(|error| error.to_string());
    assert_eq!(read, Ok(Some(changes)));
}

#[test]
fn record_that_points_at_no_name_is_refused() {
    let names: Vec<String> = vec!["svc".into()];
    let address = serde_bytes::ByteBuf::from(vec![10, 0, 0, 1, 0, 80]);
    let record = |data_centre: usize| {
        (
            "i-1",
            0u64,
            0usize,
            &address,
            data_centre,
            3u32,
            false,
            0u64,
        )
    };
    let read = |data_centre: usize| {
        let listing = (
            at(7),
            Option::<Bundle>::None,
            (&names, [record(data_centre)]),
            [(); 0],
            [(); 0],
            [(); 0],
        );
        let mut bytes = encode_frame(&listing);
        decode_next_frame::<CatalogSnapshot>(&mut bytes)
    };
    let known = read(0).unwrap().expect("the frame is complete");
    assert_eq!(known.servers[0].data_centre, "svc");
    let error = read(1).unwrap_err().to_string();
    assert!(
        error.contains("refers to name index 1, but the list has 1 names"),
        "{error}"
    );
}
