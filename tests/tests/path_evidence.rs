//! What a box reports of servers that it cannot reach.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use wingspur_state::{
    Balancer, ExpectedLatency, HealthOutcome, PickRequest, ServerKey, ServerRecord,
    ServerTally, ServiceLoad, ServiceTime,
};

fn record(id: &str, data_centre: &str) -> ServerRecord {
    ServerRecord {
        id: id.into(),
        born_ms: 0,
        service: "svc".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: data_centre.into(),
        slots: 4,
        leaving: false,
        cold_ms: 0,
    }
}

/// Four servers in the first data centre, two in the second.
fn balancer(now: Instant) -> Balancer {
    let mut balancer = Balancer::new("dc-1".into());
    for n in 0..4 {
        balancer.upsert(record(&format!("i-{n}"), "dc-1"), now);
    }
    for n in 4..6 {
        balancer.upsert(record(&format!("i-{n}"), "dc-2"), now);
    }
    balancer
}

fn key(n: usize) -> ServerKey {
    record(&format!("i-{n}"), "dc-1").key()
}

fn expected() -> ExpectedLatency {
    let mut service_time = ServiceTime::new();
    for ratio in [0.7, 0.9, 1.0, 1.1, 1.3].repeat(10) {
        service_time.record(ratio);
    }
    ExpectedLatency {
        baseline_ms: 200.0,
        healthy_ms: 200.0,
        service_time,
    }
}

fn fail_connection(balancer: &mut Balancer, server: ServerKey, now: Instant) {
    let id = balancer.begin(server, expected(), now);
    balancer.end(id, HealthOutcome::Unreached, now);
}

fn reported(balancer: &mut Balancer, server: ServerKey) -> ServerTally {
    let tallies = balancer.tallies();
    let tally = tallies.into_iter().find(|(key, _)| *key == server);
    tally.map_or(ServerTally::default(), |(_, tally)| tally)
}

#[test]
fn failed_connections_of_a_box_without_a_path_are_not_reported_as_refusals() {
    let now = Instant::now();
    let mut balancer = balancer(now);
    for n in 0..6 {
        fail_connection(&mut balancer, key(n), now);
    }
    for n in 0..6 {
        assert_eq!(reported(&mut balancer, key(n)).refused, 0, "server {n}");
    }
}

#[test]
fn a_failed_connection_is_reported_once_another_server_is_reached() {
    let now = Instant::now();
    let mut balancer = balancer(now);
    fail_connection(&mut balancer, key(0), now);
    balancer.record_connected(key(1), now + Duration::from_millis(20));
    assert_eq!(reported(&mut balancer, key(0)).refused, 1);
    balancer.record_connected(key(2), now + Duration::from_millis(40));
    assert_eq!(reported(&mut balancer, key(0)).refused, 1, "counted once");
}

#[test]
fn a_connection_to_another_data_centre_confirms_no_failure() {
    let now = Instant::now();
    let mut balancer = balancer(now);
    fail_connection(&mut balancer, key(0), now);
    balancer.record_connected(key(4), now + Duration::from_millis(20));
    assert_eq!(reported(&mut balancer, key(0)).refused, 0);
}

#[test]
fn silence_over_a_lost_path_is_not_reported() {
    let now = Instant::now();
    let mut balancer = balancer(now);
    let id = balancer.begin(key(0), expected(), now);
    let later = now + Duration::from_secs(2);
    assert!(balancer.update_silence_evidence(id, later));
    balancer.discard_path_evidence(later);
    assert_eq!(reported(&mut balancer, key(0)).silence_quarters, 0);
    let much_later = later + Duration::from_secs(1);
    assert!(!balancer.update_silence_evidence(id, much_later));
    balancer.end(id, HealthOutcome::Failed, much_later);
    assert_eq!(reported(&mut balancer, key(0)).failed, 0);
}

/// Idle servers must look idle to other boxes, which then probe them.
#[test]
fn a_server_to_which_another_box_failed_to_connect_does_not_count_as_used() {
    let start = Instant::now();
    let mut cut_off = balancer(start);
    let mut sound = balancer(start);
    let now = start + Duration::from_secs(5);
    for n in 0..6 {
        fail_connection(&mut cut_off, key(n), now);
    }
    for (server, tally) in cut_off.tallies() {
        sound.apply_remote(7, (server, tally), &tally, now);
    }
    let request = PickRequest {
        retry_safe: true,
        typical_latency: Duration::from_millis(200),
        cross_data_centre_cost: Duration::from_millis(30),
        tried: &[],
        service_load: ServiceLoad {
            requests_per_s: 50.0,
            failure_ratio: 0.0,
            unreported_requests: 0.0,
        },
    };
    let pick = sound.pick(&request, now, &mut StdRng::seed_from_u64(1));
    let unused_for = pick.map(|pick| pick.unused_for);
    assert_eq!(unused_for, Some(Duration::from_secs(5)));
}
