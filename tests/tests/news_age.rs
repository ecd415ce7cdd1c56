//! Guards against stale catalog updates being taken for fresh. The frames of a weak hub
//! waited for seconds in its connections, and members counted their age from arrival, so
//! they used the former configuration and a server that had left 2.9 s before.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wingspur_coordination::{CatalogFreshnessTracker, LinkClock};
use wingspur_protocol::{
    CatalogChange, CatalogFreshness, LinkTimestamps, decode_next_frame, encode_frame,
};
use wingspur_state::{BoxId, Bundle, BundlePatch, HostRoute, RouteClass, RouteTarget};

/// Transit time of a frame of the hub that is sent at a given time.
type Transit = fn(Duration) -> Duration;

/// A member reads the store itself once its newest update is older than this.
const MAX_STALENESS: Duration = Duration::from_millis(1800);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Simulates a hub that reads all the time and sends to a member ten times per second.
/// Returns the longest time for which the newest update of the member was older than the
/// limit while it did not read the store itself.
fn longest_staleness(transit: Transit) -> Duration {
    let start = Instant::now();
    let mut member = CatalogFreshnessTracker::new(BoxId::from("member"), start);
    let fresh = CatalogFreshness {
        reader: Some(BoxId::from("hub")),
        age_ms: 0,
        is_read_failing: false,
        ..CatalogFreshness::default()
    };
    let (mut hub_clock, mut own_clock) = (LinkClock::new(start), LinkClock::new(start));
    let mut in_transit: Vec<(Duration, Duration, LinkTimestamps)> = Vec::new();
    let (mut newest, mut stale, mut longest) = (Duration::ZERO, Duration::ZERO, ms(0));
    for tick in 0..1000 {
        let now = ms(10) * tick;
        if tick % 10 == 0 {
            // The member's own frames reach the hub at once.
            hub_clock.receive(&own_clock.send(start + now));
            // Frames of one connection do not overtake each other.
            let before = in_transit.last().map_or(ms(0), |(_, arrives, _)| *arrives);
            let arrives = (now + transit(now)).max(before);
            in_transit.push((now, arrives, hub_clock.send(start + now)));
        }
        let arrived = in_transit.iter().filter(|(_, arrives, _)| *arrives == now);
        for (written, _, timestamps) in arrived {
            newest = newest.max(*written);
            own_clock.receive(timestamps);
            if let Some(as_of) = own_clock.peer_state_as_of() {
                member.receive(1, &fresh, as_of);
            }
        }
        let reads = member.should_watch_store(false, 3, start + now);
        stale = if now > newest + MAX_STALENESS && !reads {
            stale + ms(10)
        } else {
            ms(0)
        };
        longest = longest.max(stale);
    }
    longest
}

#[test]
fn news_that_waited_on_its_way_is_not_taken_for_fresh() {
    let prompt = |_| ms(0);
    let slower_and_slower = |now: Duration| now.mul_f64(0.4);
    let three_seconds = |now| if now < ms(2000) { ms(0) } else { ms(3000) };
    let transits: [(&str, Transit); 3] = [
        ("prompt", prompt),
        ("slower and slower", slower_and_slower),
        ("three seconds late", three_seconds),
    ];
    for (name, transit) in transits {
        let stale = longest_staleness(transit);
        assert_eq!(stale, ms(0), "{name}: a stale catalog was taken for fresh");
    }
}

#[test]
fn news_is_no_older_than_the_newest_frame_that_the_other_side_had() {
    let start = Instant::now();
    let (mut ours, mut theirs) = (LinkClock::new(start), LinkClock::new(start));
    assert_eq!(
        ours.peer_state_as_of(),
        None,
        "no frame was acknowledged yet"
    );
    let first = ours.send(start + ms(100));
    theirs.receive(&first);
    let answer = theirs.send(start + ms(150));
    assert_eq!(ours.unanswered(), 1);
    ours.receive(&answer);
    assert_eq!(ours.peer_state_as_of(), Some(start + ms(100)));
    assert_eq!(ours.unanswered(), 0);
    ours.send(start + ms(400));
    ours.send(start + ms(500));
    ours.receive(&theirs.send(start + ms(4_000)));
    assert_eq!(
        ours.peer_state_as_of(),
        Some(start + ms(100)),
        "neither frame has arrived"
    );
    assert_eq!(ours.oldest_unanswered_age(start + ms(4_000)), ms(3_600));
}

#[test]
fn the_age_of_the_newest_news_shows_whoever_read_it() {
    let start = Instant::now();
    let mut tracker = CatalogFreshnessTracker::new(BoxId::from("own"), start);
    let reported = CatalogFreshness {
        reader: Some(BoxId::from("hub")),
        age_ms: 300,
        is_read_failing: false,
        ..CatalogFreshness::default()
    };
    tracker.receive(1, &reported, start + ms(1_000));
    assert_eq!(tracker.staleness(start + ms(1_500)), ms(800));
    assert!(!tracker.is_lagging(start + ms(1_900)));
    assert!(tracker.is_lagging(start + ms(2_000)));
    tracker.record_store_reply(start + ms(2_000));
    assert_eq!(tracker.staleness(start + ms(2_050)), ms(50));
}

fn route(number: usize, timeout_ms: u64) -> HostRoute {
    HostRoute {
        name: format!("route-{number}"),
        host: format!("host-{}.example", number % 40),
        path_prefix: format!("/path-{number}/"),
        class: RouteClass::Read,
        targets: vec![RouteTarget::single("reads".to_owned())],
        timeout_ms,
        target_latency_ms: 800,
        max_attempts: 2,
        priority: 1,
        open_to_all: false,
    }
}

fn bundle(version: u64, host_routes: Vec<HostRoute>) -> Bundle {
    Bundle {
        version,
        fleet: "fleet".to_owned(),
        account_header: "account".to_owned(),
        services: Vec::new(),
        host_routes,
        client_accounts: None,
        caller_limits: Default::default(),
    }
}

fn sorted(mut bundle: Bundle) -> Bundle {
    bundle
        .host_routes
        .sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
    bundle
}

#[test]
fn a_patch_leads_from_one_bundle_to_the_next_and_from_no_other() {
    let before = bundle(20, (0..1420).map(|n| route(n, 3000)).collect());
    let mut routes = before.host_routes.clone();
    routes[7].timeout_ms = 2500;
    routes.remove(100);
    routes.insert(3, route(2000, 3000));
    let after = bundle(23, routes);
    let patch = BundlePatch::between(&before, &after).expect("no prefix occurs twice");
    assert_eq!((patch.before, patch.version()), (20, 23));
    let patched = patch
        .apply(&before)
        .expect("the patch starts from this bundle");
    assert_eq!(sorted(patched), sorted(after.clone()));
    assert_eq!(patch.apply(&after), None);
    let full_bytes = encode_frame(&after).len();
    let patch_bytes = encode_frame(&patch).len();
    assert!(
        patch_bytes * 100 < full_bytes,
        "{patch_bytes} of {full_bytes} bytes"
    );
}

#[test]
fn bundles_and_patches_are_read_between_boxes_as_they_were_written() {
    let empty = bundle(1, Vec::new());
    let full = bundle(2, vec![route(1, 3000)]);
    let patches = [
        BundlePatch::between(&empty, &full),
        BundlePatch::between(&full, &empty),
        BundlePatch::between(&empty, &empty),
    ];
    let patches = patches.into_iter().flatten();
    let patches = patches.map(|patch| CatalogChange::BundlePatch(Arc::new(patch)));
    let bundles = [empty.clone(), full.clone()];
    let bundles = bundles.map(|bundle| CatalogChange::Bundle(Arc::new(bundle)));
    let changes: Vec<CatalogChange> = patches.chain(bundles).collect();
    assert_eq!(changes.len(), 5);
    for change in changes {
        let mut bytes = encode_frame(&change);
        let read = decode_next_frame(&mut bytes).map_err(|error| error.to_string());
        assert_eq!(read, Ok(Some(change)));
    }
}

#[test]
fn a_bundle_in_which_the_order_of_routes_counts_is_told_whole() {
    let once = bundle(1, vec![route(1, 3000)]);
    let twice = bundle(2, vec![route(1, 3000), route(1, 2000)]);
    assert_eq!(BundlePatch::between(&once, &twice), None);
    assert_eq!(BundlePatch::between(&twice, &once), None);
}
