//! When a service counts as unreachable from a box, and when as reachable again.

use std::time::{Duration, Instant};

use wingspur_state::{PathChange, ServerPath};

const SERVERS: usize = 5;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A path over which connections to three servers have failed.
fn lost(now: Instant) -> ServerPath {
    let mut path = ServerPath::default();
    for server in 0..3 {
        path.record_unreached(server, SERVERS, now);
    }
    assert!(!path.is_reachable());
    path
}

#[test]
fn two_crashed_servers_do_not_make_a_service_unreachable() {
    let now = Instant::now();
    let mut path = ServerPath::default();
    for n in 0..10 {
        assert_eq!(path.record_unreached(n % 2, SERVERS, now), None);
    }
    assert!(path.is_reachable());
}

#[test]
fn three_unreached_servers_in_a_row_make_a_service_unreachable() {
    let now = Instant::now();
    let mut path = ServerPath::default();
    path.record_connected(9, SERVERS, now);
    assert_eq!(path.record_unreached(0, SERVERS, now + ms(10)), None);
    assert_eq!(path.record_unreached(1, SERVERS, now + ms(20)), None);
    let change = path.record_unreached(2, SERVERS, now + ms(30));
    let stated = PathChange::Lost {
        unreached: 3,
        connected_ago: Some(ms(30)),
    };
    assert_eq!(change, Some(stated));
    assert_eq!(path.record_unreached(3, SERVERS, now + ms(40)), None);
}

#[test]
fn a_new_connection_in_between_shows_that_the_path_works() {
    let now = Instant::now();
    let mut path = ServerPath::default();
    for server in 0..20 {
        path.record_unreached(server, 40, now);
        path.record_unreached(server + 1, 40, now);
        path.record_connected(server + 2, 40, now);
    }
    assert!(path.is_reachable());
}

#[test]
fn failures_far_apart_say_nothing_about_the_path() {
    let now = Instant::now();
    let mut path = ServerPath::default();
    for server in 0..10 {
        let at = now + ms(1_100) * server as u32;
        path.record_unreached(server, SERVERS, at);
    }
    assert!(path.is_reachable());
}

#[test]
fn a_service_of_one_server_is_unreachable_with_it() {
    let now = Instant::now();
    let mut path = ServerPath::default();
    assert!(path.record_unreached(0, 1, now).is_some());
    assert!(path.record_connected(0, 1, now).is_some());
    assert!(path.is_reachable());
}

#[test]
fn a_path_is_back_after_two_servers_in_a_row_were_reached() {
    let now = Instant::now();
    let mut path = lost(now);
    assert_eq!(path.record_connected(0, SERVERS, now + ms(100)), None);
    assert_eq!(path.record_unreached(1, SERVERS, now + ms(200)), None);
    assert_eq!(path.record_connected(0, SERVERS, now + ms(300)), None);
    assert_eq!(path.record_connected(0, SERVERS, now + ms(400)), None);
    let change = path.record_connected(2, SERVERS, now + ms(500));
    let stated = PathChange::Regained { lost_for: ms(500) };
    assert_eq!(change, Some(stated));
    assert_eq!(path.unreached(now + ms(500)).count(), 0);
}

#[test]
fn a_service_without_servers_is_not_unreachable() {
    let now = Instant::now();
    let mut path = lost(now);
    assert!(path.record_no_servers(now + ms(10)).is_some());
    assert!(path.is_reachable());
}
