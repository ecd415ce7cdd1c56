//! What boxes send each other: tally updates that are counted once, the choice of hubs,
//! and which boxes read the store.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_coordination::{
    AnnouncementInputs, AnnouncementStep, CatalogFreshnessTracker, CatalogQueue,
    FleetSizeTracker, LinkKind, LinkPlanner, OWN_LINK, RecentChanges, Rollup,
    TallyUpdateReader, UpdatePacer, announcement_step, lists_catalog_at_start,
    waits_for_hub_snapshot,
};
use wingspur_protocol::{
    BoxRecord, CatalogChange, CatalogChanges, CatalogFreshness, CatalogUpdate, LinkRole,
    TallyUpdate,
};
use wingspur_state::{BoxId, ServerTally, ServiceTally, StorePosition};

fn digest(source: u64, whole: bool, good: u32, in_flight: u32) -> TallyUpdate {
    let tally = ServerTally {
        good,
        in_flight,
        ..ServerTally::default()
    };
    let counts = ServiceTally {
        requests: good,
        ..ServiceTally::default()
    };
    TallyUpdate {
        source,
        is_full: whole,
        servers: vec![(7, tally)],
        services: vec![(1, counts)],
    }
}

fn record(id: &str, data_centre: &str) -> BoxRecord {
    BoxRecord {
        id: id.into(),
        data_centre: data_centre.into(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        incarnation: 1,
        capacity: 1,
        fleet_boxes: 0,
    }
}

#[test]
fn a_member_hears_all_others_and_not_itself() {
    let mut hub = Rollup::new(100);
    hub.add_link(1, LinkKind::Member);
    hub.add_link(2, LinkKind::Member);
    hub.compose(1);
    hub.compose(2);
    hub.receive(1, &digest(0, false, 5, 2));
    hub.receive(OWN_LINK, &digest(0, false, 3, 1));
    let digests = hub.compose(2);
    assert_eq!(digests[0].servers[0].1.good, 8);
    assert_eq!(digests[0].servers[0].1.in_flight, 3);
    let to_sender = hub.compose(1);
    assert_eq!(to_sender[0].servers[0].1.good, 3);
    assert_eq!(to_sender[0].servers[0].1.in_flight, 1);
}

#[test]
fn what_a_lost_member_had_out_is_forgotten_and_what_it_counted_stays() {
    let mut hub = Rollup::new(100);
    hub.add_link(1, LinkKind::Member);
    hub.add_link(2, LinkKind::Member);
    hub.receive(1, &digest(0, false, 5, 2));
    hub.drop_link(1);
    let digests = hub.compose(2);
    assert_eq!(
        (
            digests[0].servers[0].1.good,
            digests[0].servers[0].1.in_flight
        ),
        (5, 0)
    );
}

#[test]
fn a_member_that_comes_back_is_not_counted_twice() {
    let mut hub = Rollup::new(100);
    hub.add_link(9, LinkKind::Member);
    hub.add_link(1, LinkKind::Member);
    hub.receive(1, &digest(0, true, 50, 0));
    hub.receive(1, &digest(0, false, 52, 0));
    hub.drop_link(1);
    hub.add_link(2, LinkKind::Member);
    hub.receive(2, &digest(0, true, 52, 0));
    hub.receive(2, &digest(0, false, 53, 0));
    let digests = hub.compose(9);
    assert_eq!(
        digests[0].services[0].1.requests, 3,
        "only counts after its first digest"
    );
}

#[test]
fn other_hubs_are_passed_on_to_members_but_not_to_hubs() {
    let mut hub = Rollup::new(100);
    hub.add_link(1, LinkKind::Member);
    hub.add_link(2, LinkKind::Hub);
    hub.add_link(3, LinkKind::Hub);
    hub.receive(2, &digest(200, false, 4, 0));
    let sources = |digests: Vec<TallyUpdate>| -> Vec<u64> {
        digests.iter().map(|digest| digest.source).collect()
    };
    assert!(sources(hub.compose(1)).contains(&200));
    assert!(!sources(hub.compose(3)).contains(&200));
}

#[test]
fn a_hub_that_has_gone_is_forgotten_by_the_members_of_other_hubs() {
    let mut hub = Rollup::new(100);
    hub.add_link(1, LinkKind::Member);
    hub.add_link(2, LinkKind::Hub);
    let mut member = Rollup::new(300);
    member.add_link(5, LinkKind::Hub);
    hub.receive(2, &digest(200, true, 4, 26));
    for update in hub.compose(1) {
        member.receive(5, &update);
    }
    let sources = |digests: &[TallyUpdate]| -> Vec<u64> {
        digests.iter().map(|digest| digest.source).collect()
    };
    assert!(sources(&member.compose(OWN_LINK)).contains(&200));
    hub.drop_link(2);
    assert_eq!(hub.take_lost_sources(), [200]);
    assert!(hub.has_updates(1));
    for update in hub.compose(1) {
        member.receive(5, &update);
    }
    assert_eq!(
        member.take_lost_sources(),
        [200],
        "its requests in flight must not be counted any more"
    );
    assert!(!hub.has_updates(1) || !sources(&hub.compose(1)).contains(&200));
}

#[test]
fn a_source_that_moved_to_another_link_is_not_lost_with_the_old_one() {
    let mut member = Rollup::new(300);
    member.add_link(5, LinkKind::Hub);
    member.add_link(6, LinkKind::Hub);
    member.receive(5, &digest(200, true, 4, 2));
    member.receive(6, &digest(200, true, 4, 2));
    member.drop_link(5);
    assert_eq!(member.take_lost_sources(), Vec::<u64>::new());
    member.drop_link(6);
    assert_eq!(member.take_lost_sources(), [200]);
}

#[test]
fn a_reader_of_news_takes_the_first_digest_as_the_baseline() {
    let mut reader = TallyUpdateReader::default();
    let first = reader.read(&digest(5, true, 40, 1));
    assert_eq!(first.servers[0].1.good, 0);
    let next = reader.read(&digest(5, false, 43, 1));
    assert_eq!(next.servers[0].1.good, 3);
}

#[test]
fn each_data_centre_has_one_hub_and_hubs_link_once() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let data_centre = |at: usize| if at < 3 { "dc-1" } else { "dc-2" };
    let all: Vec<BoxRecord> = names
        .iter()
        .enumerate()
        .map(|(at, name)| record(name, data_centre(at)))
        .collect();
    let now = Instant::now();
    let mut hubs = Vec::new();
    let mut opened = 0;
    for own in &all {
        let mut planner = LinkPlanner::new(own.clone());
        planner.replace(all.clone(), now);
        let plan = planner.plan(now);
        let member = plan.iter().any(|link| link.role == LinkRole::Member);
        if !member {
            hubs.push(own.data_centre.clone());
            opened += plan.len();
        }
    }
    hubs.sort();
    assert_eq!(hubs, ["dc-1", "dc-2"]);
    assert_eq!(opened, 1, "exactly one of two hubs opens the link");
}

#[test]
fn a_hub_that_cannot_be_reached_is_passed_over_for_a_while() {
    let now = Instant::now();
    let all: Vec<BoxRecord> = ["a", "b", "c"]
        .iter()
        .map(|id| record(id, "dc-1"))
        .collect();
    let mut planner = LinkPlanner::new(all[0].clone());
    planner.replace(all.clone(), now);
    let first = planner.plan(now);
    let Some(link) = first.first() else {
        // This box is the hub itself, so there is no link to back off from.
        return assert_eq!(planner.rank(), 0);
    };
    planner.back_off(&link.to.id.clone(), now);
    assert_ne!(planner.plan(now), first);
    assert_eq!(planner.plan(now + Duration::from_secs(60)), first);
}

/// A planner of a box that is linked with its hub and knows a second, weaker box.
fn linked_with_the_strong(now: Instant) -> (LinkPlanner, BoxRecord, BoxRecord) {
    let strong = BoxRecord {
        capacity: 5,
        ..record("strong", "dc-1")
    };
    let weak = BoxRecord {
        capacity: 2,
        ..record("weak", "dc-1")
    };
    let mut planner = LinkPlanner::new(record("own", "dc-1"));
    planner.replace(vec![strong.clone(), weak.clone()], now);
    planner.note_linked(&strong.id);
    (planner, strong, weak)
}

#[test]
fn a_hub_that_is_heard_stays_the_hub_though_its_announcement_has_lapsed() {
    let now = Instant::now();
    let hub =
        |planner: &LinkPlanner, at| planner.plan(at).first().map(|l| l.to.id.clone());
    // The hub is disconnected from the store: its removal arrives as a change, or as a
    // snapshot without it.
    for by_listing in [false, true] {
        let (mut planner, strong, weak) = linked_with_the_strong(now);
        match by_listing {
            true => planner.replace(vec![weak.clone()], now),
            false => planner.remove(&strong.id, now),
        }
        let soon = now + Duration::from_secs(10);
        assert_eq!(hub(&planner, soon), Some(strong.id.clone()));
        assert_eq!(
            planner.rank(),
            1,
            "other boxes announce themselves in its place"
        );
        // Boxes that start now know only the weak one: the data centre must not stay
        // divided for long.
        let late = now + Duration::from_secs(60);
        assert_eq!(hub(&planner, late), Some(weak.id.clone()));
        planner.note_unlinked(&strong.id);
        assert_eq!(hub(&planner, soon), Some(weak.id));
    }
}

#[test]
fn a_hub_that_says_that_it_stops_is_left_at_once() {
    let now = Instant::now();
    let (mut planner, strong, weak) = linked_with_the_strong(now);
    planner.remove(&strong.id, now);
    planner.note_stopping(&strong);
    let plan = planner.plan(now);
    assert_eq!(plan.first().map(|link| &link.to.id), Some(&weak.id));
}

#[test]
fn two_hubs_that_both_try_in_vain_do_not_wait_for_each_other() {
    let now = Instant::now();
    let mut freshness = CatalogFreshnessTracker::new(BoxId::from("own"), now);
    freshness.record_store_failure();
    let other_tries = CatalogFreshness {
        reader: None,
        age_ms: 0,
        is_read_failing: true,
        ..CatalogFreshness::default()
    };
    freshness.receive(1, &other_tries, now);
    assert!(
        !freshness.may_defer_read(true),
        "a hub always tries to read"
    );
    assert!(
        freshness.may_defer_read(false),
        "a member leaves reading to its hub"
    );
    freshness.forget(1);
    assert!(
        !freshness.may_defer_read(false),
        "no other box tries to read"
    );
}

#[test]
fn a_member_reads_the_store_itself_once_its_feed_is_stale() {
    let now = Instant::now();
    let mut freshness = CatalogFreshnessTracker::new(BoxId::from("own"), now);
    let fresh = CatalogFreshness {
        reader: Some(BoxId::from("hub")),
        age_ms: 100,
        is_read_failing: false,
        ..CatalogFreshness::default()
    };
    freshness.receive(1, &fresh, now);
    assert!(!freshness.should_watch_store(false, 0, now + Duration::from_millis(500)));
    assert!(freshness.should_watch_store(false, 0, now + Duration::from_millis(2000)));
    assert!(
        freshness.should_watch_store(true, 0, now),
        "a hub always watches the store"
    );
}

#[test]
fn members_of_one_hub_read_one_after_the_other() {
    let now = Instant::now();
    let begins = |name: usize| {
        let mut freshness =
            CatalogFreshnessTracker::new(BoxId::from(format!("box-{name}")), now);
        // Most boxes are not announced and have the same rank.
        let reads = |ms: &u64| {
            freshness.should_watch_store(false, 4, now + Duration::from_millis(*ms))
        };
        (0..3000)
            .step_by(10)
            .find(reads)
            .expect("the box reads within three seconds")
    };
    let mut begun: Vec<u64> = (0..40).map(begins).collect();
    begun.sort();
    let (first, last) = (begun[0], begun[39]);
    assert!(last <= 1700, "the last one reads after {last} ms");
    let early = begun.iter().filter(|at| **at <= first + 50).count();
    assert!(early <= 13, "{early} of 40 read within 50 ms of the first");
}

#[test]
fn what_a_box_has_read_itself_does_not_come_back_as_another_reader() {
    let now = Instant::now();
    let mut freshness = CatalogFreshnessTracker::new(BoxId::from("own"), now);
    let echo = CatalogFreshness {
        reader: Some(BoxId::from("own")),
        age_ms: 0,
        is_read_failing: false,
        ..CatalogFreshness::default()
    };
    freshness.receive(1, &echo, now + Duration::from_secs(2));
    assert!(freshness.should_watch_store(false, 0, now + Duration::from_secs(2)));
}

#[test]
fn a_run_that_stops_does_not_come_back_by_a_listing_and_the_next_run_counts() {
    let now = Instant::now();
    let hub = |incarnation| BoxRecord {
        capacity: 5,
        incarnation,
        ..record("hub", "dc-1")
    };
    let linked_with =
        |planner: &LinkPlanner| planner.plan(now).first().map(|link| link.to.incarnation);
    let mut planner = LinkPlanner::new(record("own", "dc-1"));
    planner.upsert(hub(1));
    assert_eq!(linked_with(&planner), Some(1));
    planner.note_stopping(&hub(1));
    assert_eq!(linked_with(&planner), None);
    planner.replace(vec![hub(1)], now);
    assert_eq!(
        linked_with(&planner),
        None,
        "the sender of the snapshot has not received the stop"
    );
    planner.upsert(hub(2));
    assert_eq!(linked_with(&planner), Some(2));
    planner.note_stopping(&hub(1));
    assert_eq!(
        linked_with(&planner),
        Some(2),
        "a late update of its former instance"
    );
}

#[test]
fn the_strongest_box_of_a_data_centre_is_its_hub() {
    let now = Instant::now();
    let names = ["a", "b", "c", "d", "e"];
    for strongest in names {
        let all = names.map(|id| BoxRecord {
            capacity: if id == strongest { 5 } else { 1 },
            ..record(id, "dc-1")
        });
        for own in &all {
            let mut planner = LinkPlanner::new(own.clone());
            planner.replace(all.to_vec(), now);
            let plan = planner.plan(now);
            let hub = plan.first().map_or(&own.id, |link| &link.to.id);
            assert_eq!(**hub, *strongest);
        }
    }
}

fn at(revision: u64) -> StorePosition {
    StorePosition::new(1, revision)
}

fn changes(after: u64, revision: u64, gone: &[&str]) -> CatalogUpdate {
    let gone = gone
        .iter()
        .map(|id| CatalogChange::ServerGone(id.to_string()));
    let changes = CatalogChanges {
        after: at(after),
        position: at(revision),
        changes: gone.collect(),
    };
    CatalogUpdate::Changes {
        changes,
        doubtful_ms: 0,
    }
}

#[test]
fn a_box_that_is_a_little_behind_is_told_the_changes_that_it_lacks() {
    let mut recent = RecentChanges::default();
    recent.record(&changes(10, 12, &["a"]));
    recent.record(&changes(12, 12, &[]));
    recent.record(&changes(11, 15, &["b", "c"]));
    let CatalogUpdate::Changes { changes: all, .. } = changes(10, 15, &["a", "b", "c"])
    else {
        unreachable!()
    };
    assert_eq!(recent.since(at(10)), Some(all));
    let of = |revision| {
        recent
            .since(at(revision))
            .map(|missing| missing.changes.len())
    };
    assert_eq!(of(12), Some(2));
    assert_eq!(of(9), None, "some of the missing changes are not kept");
    assert_eq!(of(15), None, "no change is missing");
}

#[test]
fn changes_that_do_not_follow_on_those_before_begin_anew() {
    let mut recent = RecentChanges::default();
    recent.record(&changes(10, 12, &["a"]));
    recent.record(&changes(14, 15, &["c"]));
    assert_eq!(recent.since(at(10)), None);
    assert_eq!(recent.since(at(12)), None);
    assert_eq!(
        recent.since(at(14)).map(|missing| missing.changes.len()),
        Some(1)
    );
    for revision in 15..2000 {
        recent.record(&changes(revision, revision + 1, &["d"]));
    }
    assert_eq!(recent.since(at(14)), None);
    assert_eq!(
        recent.since(at(1500)).map(|missing| missing.changes.len()),
        Some(500)
    );
}

#[test]
fn counts_that_go_back_are_no_news() {
    let mut reader = TallyUpdateReader::default();
    reader.read(&digest(3, false, 7, 0));
    let updates = reader.read(&digest(3, false, 5, 2));
    let (_, tally) = updates.servers[0];
    assert_eq!((tally.good, tally.in_flight), (0, 2));
    let next = reader.read(&digest(3, false, 6, 0));
    assert_eq!(next.servers[0].1.good, 1);
}

#[test]
fn requests_counted_by_a_service_that_go_back_earn_no_budget() {
    let counted = |requests| TallyUpdate {
        source: 3,
        services: vec![(
            9,
            ServiceTally {
                requests,
                ..ServiceTally::default()
            },
        )],
        ..TallyUpdate::default()
    };
    let mut reader = TallyUpdateReader::default();
    reader.read(&counted(70));
    assert_eq!(
        reader.read(&counted(50)).services[0].1,
        ServiceTally::default()
    );
    assert_eq!(reader.read(&counted(71)).services[0].1.requests, 1);
}

#[test]
fn a_source_heard_on_two_ways_earns_no_budget_by_going_back_and_forth() {
    let counted = |requests: u32, resends: u32| TallyUpdate {
        source: 3,
        services: vec![(
            9,
            ServiceTally {
                requests,
                resends,
                ..ServiceTally::default()
            },
        )],
        ..TallyUpdate::default()
    };
    let mut reader = TallyUpdateReader::default();
    // One path leaves out 110 requests and 10 resends; the sums of both begin near zero.
    reader.read(&counted(2u32.wrapping_sub(110), 2u32.wrapping_sub(10)));
    let (mut requests, mut resends) = (0, 0);
    for step in 0..7u32 {
        for (less, fewer) in [(0, 0), (110, 10)] {
            let all = 3 + step;
            let digest = counted(all.wrapping_sub(less), all.wrapping_sub(fewer));
            let (_, updates) = reader.read(&digest).services[0];
            requests += updates.requests;
            resends += updates.resends;
        }
    }
    assert!(
        requests <= 117,
        "{requests} requests counted, seven of them new"
    );
    assert!(resends >= 7, "{resends} resends counted, seven of them new");
}

#[test]
fn a_source_that_was_forgotten_and_goes_on_tells_no_life_long_counts_as_news() {
    let counted = |whole, keys: &[u64], requests| TallyUpdate {
        source: 3,
        is_full: whole,
        services: keys
            .iter()
            .map(|key| {
                let tally = ServiceTally {
                    requests,
                    ..ServiceTally::default()
                };
                (*key, tally)
            })
            .collect(),
        ..TallyUpdate::default()
    };
    let mut reader = TallyUpdateReader::default();
    reader.read(&counted(true, &[8, 9], 400));
    reader.forget(3);
    // It continues with what has changed: first one service, then the other.
    reader.read(&counted(false, &[8], 410));
    let other = reader.read(&counted(false, &[9], 420));
    assert_eq!(
        other.services[0].1.requests, 0,
        "counted before it was forgotten"
    );
    let next = reader.read(&counted(false, &[9], 423));
    assert_eq!(next.services[0].1.requests, 3);
    // A source that has sent all its counts starts from zero with each new service.
    reader.read(&counted(true, &[8, 9], 430));
    let new = reader.read(&counted(false, &[10], 5));
    assert_eq!(new.services[0].1.requests, 5);
}

/// A change of the catalog that follows the revision `after`.
fn change(after: u64, id: &str) -> CatalogUpdate {
    CatalogUpdate::Changes {
        changes: CatalogChanges {
            after: at(after),
            position: at(after + 1),
            changes: vec![CatalogChange::ServerGone(id.into())],
        },
        doubtful_ms: 0,
    }
}

#[test]
fn box_that_starts_does_not_wait_for_a_hub_that_has_nothing_to_send() {
    let wait = |has_catalog, seconds| {
        waits_for_hub_snapshot(has_catalog, Duration::from_secs(seconds))
    };
    assert!(
        wait(true, 0) && wait(true, 7),
        "its hub may have to send many other boxes one first"
    );
    assert!(!wait(true, 8), "its hub takes too long");
    assert!(
        !wait(false, 0) && !wait(false, 7),
        "its hub has no catalog either"
    );
}

/// A tally update of servers with good responses only, and of one that fails.
fn busy_digest(
    servers: std::ops::Range<u64>,
    good: u32,
    failing: Option<u64>,
) -> TallyUpdate {
    let tally = |failed| ServerTally {
        good,
        failed,
        ..ServerTally::default()
    };
    let mut tallies: Vec<_> = servers.map(|key| (key, tally(0))).collect();
    tallies.extend(failing.map(|key| (key, tally(1))));
    TallyUpdate {
        servers: tallies,
        ..TallyUpdate::default()
    }
}

#[test]
fn failing_servers_are_told_before_all_others_and_nothing_is_left_out() {
    let mut hub = Rollup::new(100);
    for link in [1, 2] {
        hub.add_link(link, LinkKind::Member);
        hub.compose(link);
    }
    hub.receive(1, &busy_digest(0..1_000, 3, Some(5_000)));
    assert!(hub.has_failures(2));
    let digests = hub.compose_within(2, 10);
    let keys: Vec<u64> = digests[0].servers.iter().map(|(key, _)| *key).collect();
    assert_eq!(keys.len(), 10);
    assert!(keys.contains(&5_000));
    assert!(!hub.has_failures(2));
    let mut received = keys;
    while hub.has_updates(2) {
        for digest in hub.compose_within(2, 100) {
            assert!(digest.servers.len() <= 100);
            received.extend(digest.servers.iter().map(|(key, _)| *key));
        }
    }
    received.sort_unstable();
    let all: Vec<u64> = (0..1_000).chain([5_000]).collect();
    assert_eq!(received, all);
}

#[test]
fn servers_that_change_all_the_time_each_have_their_turn() {
    let mut hub = Rollup::new(100);
    hub.add_link(1, LinkKind::Member);
    hub.add_link(2, LinkKind::Member);
    hub.compose(2);
    let mut received = std::collections::BTreeSet::new();
    for round in 0..10 {
        hub.receive(1, &busy_digest(0..1_000, round + 1, None));
        for digest in hub.compose_within(2, 100) {
            received.extend(digest.servers.iter().map(|(key, _)| *key));
        }
    }
    assert_eq!(received.len(), 1_000);
}

#[test]
fn first_digest_of_a_link_in_parts_does_not_tell_of_the_end_of_its_source() {
    let mut hub = Rollup::new(100);
    hub.add_link(1, LinkKind::Member);
    hub.receive(1, &busy_digest(0..50, 1, Some(7_000)));
    hub.add_link(2, LinkKind::Member);
    assert!(hub.compose_within(2, 0).is_empty());
    let first = hub.compose_within(2, 20);
    assert!(first[0].is_full && first[0].servers.len() == 20);
    let second = hub.compose_within(2, 100);
    assert!(!second[0].is_full && second[0].servers.len() == 31);
    assert!(!hub.has_updates(2));
}

/// Returns the time in milliseconds, in steps of 10 ms, until the failure of a server has
/// been sent to the last of a hub's members while requests begin and end at all servers.
fn failure_update_ms(members: u64, servers: u64, changes_per_s: u64) -> u64 {
    const FAILS_AT_MS: u64 = 5_000;
    let start = Instant::now();
    let mut hub = Rollup::new(100);
    let mut pacer = UpdatePacer::new(5, start);
    let gap_ms = (members * 1_000 / 320).max(50);
    (1..=members).for_each(|id| hub.add_link(id, LinkKind::Member));
    let mut sent_ms: Vec<u64> = vec![0; members as usize];
    let mut reached = std::collections::BTreeSet::new();
    let mut random = StdRng::seed_from_u64(1);
    let mut counts = vec![ServerTally::default(); servers as usize + 1];
    for ms in (0..20_000).step_by(10) {
        let now = start + Duration::from_millis(ms);
        let changed: Vec<u64> = (0..changes_per_s / 100)
            .map(|_| random.random_range(0..servers))
            .collect();
        changed
            .iter()
            .for_each(|key| counts[*key as usize].good += 1);
        let mut digest = TallyUpdate {
            servers: changed
                .iter()
                .map(|key| (*key, counts[*key as usize]))
                .collect(),
            ..TallyUpdate::default()
        };
        if ms == FAILS_AT_MS {
            counts[servers as usize].failed = 1;
            digest.servers.push((servers, counts[servers as usize]));
        }
        hub.receive(OWN_LINK, &digest);
        let mut links: Vec<u64> = (1..=members).collect();
        links.sort_by_key(|id| sent_ms[*id as usize - 1]);
        for id in links {
            let is_free = pacer.update_delay(now).is_zero();
            let is_due = ms >= sent_ms[id as usize - 1] + gap_ms;
            if !is_due || !(is_free || hub.has_failures(id)) {
                continue;
            }
            let frames_per_s = members as f64 * 1_000.0 / gap_ms as f64;
            let most = if is_free {
                pacer.max_servers_per_frame(frames_per_s)
            } else {
                0
            };
            let digests = hub.compose_within(id, most);
            pacer.record_update(&digests, now);
            sent_ms[id as usize - 1] = ms;
            let sent = digests.iter().flat_map(|digest| &digest.servers);
            if sent.filter(|(_, tally)| tally.failed > 0).count() > 0 {
                reached.insert(id);
            }
        }
        if ms >= FAILS_AT_MS && reached.len() as u64 == members {
            return ms - FAILS_AT_MS;
        }
    }
    u64::MAX
}

/// Guards against late updates of failures: sent together with all other changes, a
/// failure reached the last of 200 members after 1.5 and 2.3 s.
#[test]
fn failure_is_told_to_all_members_of_a_large_hub_within_a_gap() {
    assert!(failure_update_ms(10, 300, 100) <= 60);
    assert!(failure_update_ms(200, 2_000, 660) <= 640);
    assert!(
        failure_update_ms(200, 4_000, 660) <= 640,
        "twice the servers"
    );
}

#[test]
fn a_wave_of_catalog_changes_is_told_in_few_frames_and_whole() {
    let start = Instant::now();
    let mut queue = CatalogQueue::new();
    let (mut frames, mut received) = (0, Vec::new());
    let mut send = |queue: &mut CatalogQueue, now| {
        frames += 1;
        for update in queue.take(now) {
            let CatalogUpdate::Changes { changes, .. } = update else {
                panic!("no snapshot was queued");
            };
            assert_eq!(changes.after, at(received.len() as u64));
            received.extend(changes.changes);
        }
    };
    for n in 0..115u64 {
        let now = start + Duration::from_millis(4 * n);
        queue.push(&change(n, &format!("i-{n}")), true);
        if queue.due_in(now).is_some_and(|due| due.is_zero()) {
            send(&mut queue, now);
        }
    }
    send(&mut queue, start + Duration::from_millis(520));
    assert!(frames <= 10, "{frames} frames");
    assert_eq!(received.len(), 115);
    assert_eq!(received[114], CatalogChange::ServerGone("i-114".into()));
}

#[test]
fn a_change_goes_at_once_and_a_mere_revision_waits() {
    let now = Instant::now();
    let mut queue = CatalogQueue::new();
    queue.push(&change(0, "i-1"), false);
    assert_eq!(queue.due_in(now), None);
    queue.push(&change(1, "i-2"), true);
    assert_eq!(queue.due_in(now), Some(Duration::ZERO));
    assert_eq!(queue.take(now).len(), 1, "both changes in one update");
    assert_eq!(queue.due_in(now), None);
}

/// Returns the capacities of the boxes that announce themselves when all start together
/// and each receives the announcements of the others late.
fn announced_boxes(strong: usize, weak: usize, seed: u64) -> Vec<u32> {
    const ANNOUNCEMENT_DELAY_MS: u64 = 250;
    let mut random = StdRng::seed_from_u64(seed);
    let capacities = (0..strong + weak).map(|n| if n < strong { 5 } else { 1 });
    let mut planned: Vec<(u64, u32)> = capacities
        .map(|capacity| {
            let inputs = AnnouncementInputs {
                ranked_before: 0,
                capacity,
                announced: false,
            };
            let AnnouncementStep::AnnounceWithin(span) = announcement_step(&inputs)
            else {
                panic!("no box is announced yet");
            };
            let at = span.mul_f64(random.random());
            (at.as_millis() as u64, capacity)
        })
        .collect();
    planned.sort_unstable();
    let mut announced: Vec<(u64, u32)> = Vec::new();
    for (at, capacity) in planned {
        let received = announced
            .iter()
            .filter(|(sent_ms, _)| sent_ms + ANNOUNCEMENT_DELAY_MS <= at);
        let inputs = AnnouncementInputs {
            ranked_before: received.filter(|(_, other)| *other >= capacity).count(),
            capacity,
            announced: false,
        };
        if announcement_step(&inputs) != AnnouncementStep::Keep {
            announced.push((at, capacity));
        }
    }
    announced
        .into_iter()
        .map(|(_, capacity)| capacity)
        .collect()
}

#[test]
fn of_boxes_that_start_together_the_strong_and_few_others_are_announced() {
    for seed in 0..20 {
        let announced = announced_boxes(3, 85, seed);
        let strong = announced.iter().filter(|capacity| **capacity == 5).count();
        assert_eq!(strong, 3);
        assert!(
            announced.len() <= 40,
            "{} of 88 boxes announced",
            announced.len()
        );
        let alike = announced_boxes(0, 12, seed);
        assert!(
            (3..=12).contains(&alike.len()),
            "{} of 12 boxes announced",
            alike.len()
        );
    }
}

#[test]
fn a_box_with_enough_announced_before_it_is_not_and_lets_its_lease_lapse() {
    let step = |before, announced| {
        announcement_step(&AnnouncementInputs {
            ranked_before: before,
            capacity: 1,
            announced,
        })
    };
    assert_eq!(step(3, false), AnnouncementStep::Keep);
    assert_eq!(step(5, true), AnnouncementStep::Keep);
    assert_eq!(step(6, true), AnnouncementStep::Lapse);
    let AnnouncementStep::AnnounceWithin(alone) = step(0, false) else {
        panic!("a single box announces itself");
    };
    let AnnouncementStep::AnnounceWithin(with_hub) = step(2, false) else {
        panic!("two announced boxes are too few");
    };
    assert!(alone < with_hub);
}

#[test]
fn only_boxes_that_may_be_the_hub_list_at_their_start() {
    assert!(
        lists_catalog_at_start(false, 2),
        "there may be no box before it"
    );
    assert!(
        lists_catalog_at_start(true, 5),
        "other boxes wait for its snapshot"
    );
    assert!(
        !lists_catalog_at_start(false, 3),
        "its hub sends it the catalog"
    );
}

#[test]
fn the_size_of_the_fleet_falls_only_after_a_while() {
    let start = Instant::now();
    let mut fleet = FleetSizeTracker::default();
    assert_eq!(fleet.record(443, start), 443);
    let moved = start + Duration::from_secs(2);
    assert_eq!(fleet.record(20, moved), 443, "its members have yet to link");
    assert_eq!(fleet.record(450, moved), 450);
    assert_eq!(fleet.record(20, moved + Duration::from_secs(11)), 20);
}
