//! Evacuated data centres, and cold servers, which must get only few requests.

mod edge;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use edge::{Caller, Route, configuration, server_entry, start_box_in, wait_until};
use serde_json::{Value, json};
use wingspur_edge::EdgeBox;
use wingspur_tests::{Answer, BackendServer, PlatformStore, Reply};
use wingspur_transport::Workers;

/// Three boxes and four servers, spread over two data centres.
struct Fleet {
    store: PlatformStore,
    boxes: Vec<EdgeBox>,
    servers: Vec<BackendServer>,
    workers: Workers,
    request_count: AtomicUsize,
}

impl Fleet {
    fn start(prepare: impl FnOnce(&PlatformStore)) -> Self {
        let store = PlatformStore::start(500);
        store.put("op/config", &configuration_of(1));
        let servers: Vec<_> = (0..4)
            .map(|_| BackendServer::start(|_| Reply::Complete))
            .collect();
        let fleet = Self {
            store,
            boxes: Vec::new(),
            servers,
            workers: Workers::start(4),
            request_count: AtomicUsize::new(0),
        };
        for n in 0..fleet.servers.len() {
            fleet.announce(n, 0);
        }
        prepare(&fleet.store);
        fleet.with_boxes(3)
    }

    fn with_boxes(mut self, boxes: usize) -> Self {
        for n in 0..boxes {
            let data_centre = data_centre(n);
            let id = format!("box-{n}");
            let running = start_box_in(&data_centre, &id, &self.store, &self.workers);
            self.boxes.push(running);
        }
        for running in &self.boxes {
            wait_until("all boxes are ready", || running.is_ready());
        }
        thread::sleep(LINK_SETUP_TIME);
        self
    }

    /// Writes the entry of a server that is ready and stays cold for `cold_ms`.
    fn announce(&self, n: usize, cold_ms: u64) {
        self.announce_as(n, "ready", cold_ms);
    }

    fn announce_as(&self, n: usize, state: &str, cold_ms: u64) {
        let mut entry = server_entry(self.servers[n].address, state);
        entry["data_centre"] = json!(data_centre(n));
        entry["cold_ms"] = json!(cold_ms);
        self.store.put(&format!("servers/i-{n}"), &entry);
    }

    fn send_request(&self) -> Answer {
        let turn = self.request_count.fetch_add(1, Ordering::Relaxed);
        let running = &self.boxes[turn % self.boxes.len()];
        let id = format!("id-{turn}");
        Caller::of(running).call("read", &id)
    }

    /// Sends requests for a while; returns how many responses had status 200, and how
    /// many had another one.
    fn send_requests_for(&self, span: Duration) -> (usize, usize) {
        let until = Instant::now() + span;
        let send = || {
            let (mut good, mut other) = (0, 0);
            while Instant::now() < until {
                match self.send_request().status {
                    200 => good += 1,
                    _ => other += 1,
                }
            }
            (good, other)
        };
        thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(send)).collect();
            let counts = callers.into_iter().map(|caller| caller.join().unwrap());
            counts.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
        })
    }

    /// Returns the number of requests that arrived at a server from a moment on.
    fn arrived_since(&self, n: usize, moment: Instant) -> usize {
        let arrivals = self.servers[n].arrivals();
        arrivals.iter().filter(|(at, _)| *at >= moment).count()
    }

    /// Returns the largest number of requests that arrived at a server in any one second
    /// from a moment on.
    fn max_requests_per_second(&self, n: usize, from: Instant) -> usize {
        let arrivals = self.servers[n].arrivals();
        let times: Vec<_> = arrivals.into_iter().map(|(at, _)| at).collect();
        let times: Vec<_> = times.into_iter().filter(|at| *at >= from).collect();
        let counts = times.iter().enumerate().map(|(index, first)| {
            times[index..].partition_point(|at| *at < *first + Duration::from_secs(1))
        });
        counts.max().unwrap_or(0)
    }

    fn close(self) {
        for running in self.boxes {
            smol::block_on(running.close());
        }
        self.workers.close();
    }
}

fn data_centre(n: usize) -> String {
    format!("dc-{}", 1 + n % 2)
}

fn configuration_of(version: u64) -> Value {
    let mut configuration = configuration(version, &[Route::new("read")]);
    configuration["services"][0]["cold_requests_per_s"] = json!(COLD_PER_S);
    configuration
}

#[test]
fn servers_of_an_evacuated_data_centre_get_nothing_until_it_is_taken_back() {
    let fleet = Fleet::start(|_| {});
    let started = Instant::now();
    fleet.send_requests_for(Duration::from_millis(500));
    assert!([0, 2].iter().any(|n| fleet.arrived_since(*n, started) > 0));
    fleet.store.put("op/evacuate/dc-1", &json!({}));
    thread::sleep(PROPAGATION_TIME);
    let evacuated = Instant::now();
    let (good, other) = fleet.send_requests_for(Duration::from_millis(700));
    assert!(good > 0 && other == 0, "{good} good, {other} other");
    for n in [0, 2] {
        assert_eq!(fleet.arrived_since(n, evacuated), 0, "server {n}");
    }
    // After the evacuation ends, its servers handle everything while the other data
    // centre is evacuated.
    fleet.store.remove("op/evacuate/dc-1");
    fleet.store.put("op/evacuate/dc-2", &json!({}));
    thread::sleep(PROPAGATION_TIME);
    let ended = Instant::now();
    let (good, other) = fleet.send_requests_for(Duration::from_millis(700));
    assert!(good > 0 && other == 0, "{good} good, {other} other");
    for n in [1, 3] {
        assert_eq!(fleet.arrived_since(n, ended), 0, "server {n}");
    }
    fleet.close();
}

#[test]
fn evacuation_binds_boxes_that_start_later_and_servers_that_join_later() {
    let fleet = Fleet::start(|store| store.put("op/evacuate/dc-1", &json!({})));
    let started = Instant::now();
    // Server 0 is announced again and is still in the evacuated data centre.
    fleet.announce(0, 10);
    thread::sleep(PROPAGATION_TIME);
    let (good, other) = fleet.send_requests_for(Duration::from_millis(700));
    assert!(good > 0 && other == 0, "{good} good, {other} other");
    for n in [0, 2] {
        assert_eq!(fleet.arrived_since(n, started), 0, "server {n}");
    }
    fleet.close();
}

#[test]
fn requests_are_refused_at_once_where_all_data_centres_are_evacuated() {
    let fleet = Fleet::start(|store| {
        store.put("op/evacuate/dc-1", &json!({}));
        store.put("op/evacuate/dc-2", &json!({}));
    });
    let answer = fleet.send_request();
    assert_eq!(answer.status, 503);
    fleet.close();
}

#[test]
fn cold_server_gets_no_more_than_it_bears_from_all_boxes() {
    let fleet = Fleet::start(|_| {});
    fleet.send_requests_for(Duration::from_millis(300));
    // Server 1 becomes cold while it is running.
    fleet.announce(1, 8_000);
    thread::sleep(PROPAGATION_TIME);
    let limit_known_at = Instant::now();
    let (good, other) = fleet.send_requests_for(Duration::from_millis(2_000));
    assert!(good > 0 && other == 0, "{good} good, {other} other");
    let busiest = fleet.max_requests_per_second(1, limit_known_at);
    let allowed = (COLD_PER_S * 1.5 + 8.0) as usize;
    assert!(
        busiest <= allowed,
        "{busiest} requests in one second at the cold server, {allowed} allowed"
    );
    // Which of the warm servers get more depends on the balancing of the boxes.
    let others = [0, 2, 3].map(|n| fleet.max_requests_per_second(n, limit_known_at));
    assert!(
        others.iter().any(|busiest| *busiest > allowed),
        "no warm server got more requests than a cold one may: {others:?}"
    );
    // Server 1 is warm again and, with the others evacuated or leaving, handles all
    // requests alone.
    fleet.announce(1, 0);
    fleet.announce_as(3, "leaving", 0);
    fleet.store.put("op/evacuate/dc-1", &json!({}));
    thread::sleep(PROPAGATION_TIME);
    let warm_known_at = Instant::now();
    fleet.send_requests_for(Duration::from_millis(1_000));
    assert!(
        fleet.max_requests_per_second(1, warm_known_at) > allowed,
        "the server is still limited although it is warm again"
    );
    fleet.close();
}

const COLD_PER_S: f64 = 5.5;
const CALLERS: usize = 4;
/// The time after which all boxes are linked with each other.
const LINK_SETUP_TIME: Duration = Duration::from_secs(2);
/// The time after which a change in the store has reached all boxes.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_500);
