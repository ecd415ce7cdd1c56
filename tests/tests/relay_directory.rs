//! Which boxes are asked for a way to a service, and which one gets a request.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use wingspur_coordination::RelayDirectory;
use wingspur_protocol::BoxRecord;
use wingspur_state::Regions;

const SERVICE: u64 = 7;
/// Other boxes are served now.
const SERVED: Option<Duration> = Some(Duration::ZERO);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn record(n: usize, data_centre: &str, capacity: u32) -> BoxRecord {
    BoxRecord {
        id: format!("{data_centre}-{n}"),
        data_centre: data_centre.into(),
        peer_address: format!("10.0.0.{}:9", n + 1).parse().unwrap(),
        incarnation: 1,
        capacity,
        fleet_boxes: 0,
    }
}

/// Twelve boxes in each of two data centres.
fn fleet() -> Vec<BoxRecord> {
    let near = (0..12).map(|n| record(n, "near", 2));
    near.chain((0..12).map(|n| record(n, "far", 2))).collect()
}

fn ids(boxes: &[BoxRecord]) -> BTreeSet<String> {
    boxes.iter().map(|record| record.id.to_string()).collect()
}

#[test]
fn boxes_that_declined_are_not_asked_again_at_once_and_all_are_asked_in_turn() {
    let (now, mut random) = (Instant::now(), StdRng::seed_from_u64(1));
    let mut directory = RelayDirectory::new("near".into(), Regions::new());
    let mut asked = BTreeSet::new();
    for step in 0..4 {
        let at = now + ms(100) * step;
        let boxes = directory.boxes_to_ask(&[SERVICE], &fleet(), SERVED, at, &mut random);
        for record in &boxes {
            assert!(asked.insert(record.id.clone()), "{} twice", record.id);
            directory.record_declined(SERVICE, &record.id, at);
        }
    }
    let near = asked.iter().filter(|id| id.starts_with("near"));
    assert!(near.count() >= 5);
}

#[test]
fn queries_are_rare_while_the_service_is_down() {
    let mut random = StdRng::seed_from_u64(1);
    let down = Some(Duration::from_secs(5));
    for (served_ago, most) in [(SERVED, 55), (down, 11)] {
        let start = Instant::now();
        let mut directory = RelayDirectory::new("near".into(), Regions::new());
        let mut queries = 0;
        for step in 0..400 {
            let at = start + ms(50) * step;
            let boxes =
                directory.boxes_to_ask(&[SERVICE], &fleet(), served_ago, at, &mut random);
            queries += usize::from(!boxes.is_empty());
            for record in boxes {
                directory.record_declined(SERVICE, &record.id, at);
            }
        }
        assert!(queries <= most, "{queries} in 20 s, served: {served_ago:?}");
    }
}

#[test]
fn boxes_are_asked_at_once_when_another_box_is_served_again() {
    let (now, mut random) = (Instant::now(), StdRng::seed_from_u64(1));
    let mut directory = RelayDirectory::new("near".into(), Regions::new());
    let down = Some(Duration::from_secs(5));
    let mut asked = |at, served_ago| {
        let at = now + ms(at);
        directory.boxes_to_ask(&[SERVICE], &fleet(), served_ago, at, &mut random)
    };
    assert!(!asked(0, down).is_empty());
    assert!(asked(400, down).is_empty());
    assert!(!asked(450, Some(ms(20))).is_empty());
    assert!(asked(460, Some(ms(30))).is_empty(), "twice for one report");
}

#[test]
fn a_relay_of_this_data_centre_comes_first() {
    let (now, mut random) = (Instant::now(), StdRng::seed_from_u64(2));
    let mut directory = RelayDirectory::new("near".into(), Regions::new());
    directory.record_reply(record(0, "far", 5), &[SERVICE], 0.0, now);
    let pick = directory.pick(SERVICE, &[], now, &mut random).unwrap();
    assert_eq!(pick.id, "far-0");
    directory.record_reply(record(3, "near", 1), &[SERVICE], 0.9, now);
    for _ in 0..20 {
        let pick = directory.pick(SERVICE, &[], now, &mut random).unwrap();
        assert_eq!(pick.data_centre, "near");
    }
    let declined = [record(3, "near", 1).id];
    let pick = directory
        .pick(SERVICE, &declined, now, &mut random)
        .unwrap();
    assert_eq!(pick.data_centre, "far");
}

#[test]
fn a_loaded_relay_gets_few_requests_and_a_full_one_none() {
    let (now, mut random) = (Instant::now(), StdRng::seed_from_u64(3));
    let mut directory = RelayDirectory::new("near".into(), Regions::new());
    for (n, load) in [0.1, 0.1, 0.1, 0.9, 1.0].into_iter().enumerate() {
        directory.record_reply(record(n, "near", 2), &[SERVICE], load, now);
    }
    let mut counts = [0; 5];
    for _ in 0..1000 {
        let pick = directory.pick(SERVICE, &[], now, &mut random).unwrap();
        counts[usize::from(pick.peer_address.ip().to_string().as_bytes()[7] - b'1')] += 1;
    }
    assert_eq!(counts[4], 0);
    assert!(counts[3] < 150, "{counts:?}");
    assert!(counts[..3].iter().all(|count| *count > 200), "{counts:?}");
}

#[test]
fn a_relay_that_is_not_confirmed_is_dropped() {
    let (now, mut random) = (Instant::now(), StdRng::seed_from_u64(4));
    let mut directory = RelayDirectory::new("near".into(), Regions::new());
    directory.record_reply(record(0, "near", 2), &[SERVICE], 0.0, now);
    let later = now + ms(3_000);
    assert!(directory.pick(SERVICE, &[], later, &mut random).is_none());
}

#[test]
fn requests_spread_to_named_boxes_with_less_load() {
    let (now, mut random) = (Instant::now(), StdRng::seed_from_u64(5));
    let mut directory = RelayDirectory::new("near".into(), Regions::new());
    let announced: Vec<_> = fleet().into_iter().take(2).collect();
    let named: Vec<_> = fleet().into_iter().skip(2).take(8).collect();
    let mut asked = BTreeSet::new();
    for step in 0..12 {
        let at = now + ms(1_000) * step;
        let boxes =
            directory.boxes_to_ask(&[SERVICE], &announced, SERVED, at, &mut random);
        asked.append(&mut ids(&boxes));
        directory.record_named(named.clone(), at);
        for record in boxes {
            let is_announced = announced.iter().any(|other| other.id == record.id);
            let load = if is_announced { 0.9 } else { 0.1 };
            directory.record_reply(record, &[SERVICE], load, at);
        }
    }
    assert_eq!(asked.len(), 10, "{asked:?}");
    let at = now + ms(1_000) * 12;
    let picks = (0..500).map(|_| directory.pick(SERVICE, &[], at, &mut random).unwrap());
    let is_named = |pick: &BoxRecord| named.iter().any(|record| record.id == pick.id);
    let loaded = picks.filter(|pick| !is_named(pick)).count();
    assert!(loaded < 50, "{loaded} of 500");
}

#[test]
fn only_a_few_boxes_are_asked_at_once_in_a_large_fleet() {
    let (now, mut random) = (Instant::now(), StdRng::seed_from_u64(6));
    let mut directory = RelayDirectory::new("near".into(), Regions::new());
    let fleet = (0..4300).map(|n| record(n % 200, &format!("dc-{n}"), 1));
    let fleet: Vec<_> = fleet.into_iter().collect();
    let boxes = directory.boxes_to_ask(&[SERVICE], &fleet, SERVED, now, &mut random);
    assert!(boxes.len() <= 8, "{}", boxes.len());
}

#[test]
fn a_box_without_reports_from_others_asks_again_soon() {
    let (now, mut random) = (Instant::now(), StdRng::seed_from_u64(7));
    let mut directory = RelayDirectory::new("near".into(), Regions::new());
    for step in 0..5 {
        let at = now + ms(400) * step;
        let boxes = directory.boxes_to_ask(&[SERVICE], &fleet(), None, at, &mut random);
        assert!(!boxes.is_empty(), "after {} ms", 400 * step);
    }
}

#[test]
fn boxes_of_another_region_are_not_asked() {
    let (now, mut random) = (Instant::now(), StdRng::seed_from_u64(8));
    let regions: Regions = [("near", "one"), ("far", "two")]
        .map(|(data_centre, region)| (data_centre.into(), region.into()))
        .into();
    let mut directory = RelayDirectory::new("near".into(), regions);
    let boxes = directory.boxes_to_ask(&[SERVICE], &fleet(), SERVED, now, &mut random);
    assert!(!boxes.is_empty());
    assert!(boxes.iter().all(|record| record.data_centre == "near"));
}
