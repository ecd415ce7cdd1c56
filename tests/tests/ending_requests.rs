//! Guards against a request that ends every server that runs it: its caller gets a 502
//! and repeats it, and boxes that judge only servers try the next one each time. A
//! harmless request that was in flight at those servers must still be served.

mod edge;

use std::thread;
use std::time::{Duration, Instant};

use edge::{Route, configuration, server_entry, start_box, wait_until};
use wingspur_edge::EdgeBox;
use wingspur_tests::{Answer, CrashingServer, Head, PlatformStore, call};
use wingspur_transport::Workers;

/// Boxes in front of servers that end when they run the request to `FATAL`.
struct Fleet {
    store: PlatformStore,
    boxes: Vec<EdgeBox>,
    servers: Vec<CrashingServer>,
    workers: Workers,
}

impl Fleet {
    fn start(boxes: usize, servers: usize) -> Self {
        let store = PlatformStore::start(500);
        store.put("op/config", &configuration(1, &[Route::new("read")]));
        let servers: Vec<_> = (0..servers)
            .map(|_| CrashingServer::start(ends_servers, WORK))
            .collect();
        for (n, server) in servers.iter().enumerate() {
            announce(&store, n, server);
        }
        let workers = Workers::start(4);
        let ids = (0..boxes).map(|n| format!("box-{n}"));
        let boxes: Vec<_> = ids.map(|id| start_box(&id, &store, &workers)).collect();
        for running in &boxes {
            wait_until("all boxes are ready", || running.is_ready());
        }
        // Waits until the boxes, which start together, are linked.
        thread::sleep(LINK_TIME);
        Self {
            store,
            boxes,
            servers,
            workers,
        }
    }

    /// Restarts the servers that have ended, as new instances.
    fn restart_ended(&self) {
        for (n, server) in self.servers.iter().enumerate() {
            if server.has_ended() {
                let ended_instance = server.runs().len() - 1;
                self.store
                    .remove(&format!("servers/i-{n}-{ended_instance}"));
                server.start_again();
                announce(&self.store, n, server);
            }
        }
        let version = self.boxes[0].bundle_version() + 1;
        let bundle = configuration(version, &[Route::new("read")]);
        self.store.put("op/config", &bundle);
        let has_bundle = |running: &EdgeBox| running.bundle_version() >= version;
        wait_until("all boxes have the new bundle", || {
            self.boxes.iter().all(has_bundle)
        });
    }

    /// Sends a request to one of the boxes, in turn.
    fn ask(&self, turn: usize, path: &str) -> Answer {
        let running = &self.boxes[turn % self.boxes.len()];
        ask(running, path, &format!("id-{turn}-{path}"))
    }

    /// Returns when requests to a path arrived at servers, sorted.
    fn arrivals(&self, path: &str) -> Vec<Instant> {
        let runs = self.servers.iter().flat_map(CrashingServer::runs);
        let arrivals = runs.flat_map(|instance| instance.arrivals);
        let wanted = arrivals.filter(|(_, head)| head.path == path);
        let mut at: Vec<_> = wanted.map(|(at, _)| at).collect();
        at.sort();
        at
    }

    fn ended(&self) -> usize {
        let runs = self.servers.iter().flat_map(CrashingServer::runs);
        runs.filter(|instance| instance.ended).count()
    }

    fn close(self) {
        for running in self.boxes {
            smol::block_on(running.close());
        }
        self.workers.close();
    }
}

fn announce(store: &PlatformStore, n: usize, server: &CrashingServer) {
    let runs = server.runs();
    let instance = runs.last().expect("it has started");
    let key = format!("servers/i-{n}-{}", runs.len() - 1);
    store.put(&key, &server_entry(instance.address, "ready"));
}

fn ask(running: &EdgeBox, path: &str, id: &str) -> Answer {
    let headers = [
        ("host", "site.example"),
        ("x-wingspur-request-id", id),
        ("x-wingspur-request-deadline-ms", "4000"),
    ];
    call(running.caller_address(), "GET", path, &headers, b"")
}

fn ends_servers(head: &Head) -> bool {
    head.path == FATAL
}

#[test]
fn a_request_that_ended_three_servers_ends_three_more_at_most() {
    let fleet = Fleet::start(3, 6);
    let mut turn = 0;
    while fleet.ended() < 3 {
        fleet.ask(turn, FATAL);
        turn += 1;
        fleet.restart_ended();
    }
    // By then all boxes must have received the update.
    thread::sleep(UPDATE_TIME);
    let before = fleet.arrivals(FATAL).len();
    for _ in 0..REPEATS {
        let answer = fleet.ask(turn, FATAL);
        assert_ne!(answer.status, 200);
        let other = fleet.ask(turn, &format!("/read/{turn}"));
        assert_eq!(other.status, 200, "other requests are served meanwhile");
        turn += 1;
        fleet.restart_ended();
    }
    let more = fleet.arrivals(FATAL).len() - before;
    assert!(more <= 3, "it was sent to {more} more servers");
    let refused = fleet.ask(turn, FATAL);
    assert_eq!(
        refused.status, 503,
        "the caller learns that the request has not run"
    );
    fleet.close();
}

/// A harmless request is interrupted each time it runs beside one that ends the server.
/// It must not be quarantined for good: it gets a complete response once it runs without
/// the other.
#[test]
fn a_request_that_ran_beside_one_that_ends_servers_is_still_served() {
    let fleet = Fleet::start(3, 1);
    let beside = "/read/beside";
    for turn in 0..6 {
        let running = &fleet.boxes[turn % fleet.boxes.len()];
        let arrived = fleet.arrivals(beside).len();
        thread::scope(|scope| {
            scope.spawn(|| ask(running, beside, &format!("beside-{turn}")));
            wait_until("the request is in flight", || {
                fleet.arrivals(beside).len() > arrived
            });
            fleet.ask(turn, FATAL);
        });
        fleet.restart_ended();
    }
    for turn in 0..fleet.boxes.len() {
        assert_eq!(fleet.ask(turn, beside).status, 200, "at box {turn}");
        assert_eq!(fleet.ask(turn, FATAL).status, 503, "at box {turn}");
    }
    assert!(fleet.arrivals(FATAL).len() <= 6);
    fleet.close();
}

/// A harmless request is in flight at four servers in a row that end for other reasons,
/// and so looks like one that ends servers. Its third trial gets a complete response,
/// which clears it on all boxes.
#[test]
fn a_request_that_was_out_at_servers_that_ended_is_still_served() {
    let fleet = Fleet::start(3, 1);
    let unlucky = "/read/unlucky";
    for turn in 0..4 {
        let running = &fleet.boxes[turn % fleet.boxes.len()];
        let arrived = fleet.arrivals(unlucky).len();
        thread::scope(|scope| {
            scope.spawn(|| ask(running, unlucky, &format!("unlucky-{turn}")));
            wait_until("the request is in flight", || {
                fleet.arrivals(unlucky).len() > arrived
            });
            fleet.servers[0].end();
        });
        fleet.restart_ended();
    }
    for turn in 0..2 * fleet.boxes.len() {
        let answer = fleet.ask(turn, unlucky);
        assert_eq!(answer.status, 200, "at box {turn}");
    }
    fleet.close();
}

#[test]
fn quarantine_lost_by_a_store_restore_is_written_again() {
    let fleet = Fleet::start(3, 6);
    let copy = fleet.store.copy();
    let is_known = || !fleet.store.keys("wingspur/quarantine/").is_empty();
    let mut turn = 0;
    while !is_known() {
        fleet.ask(turn, FATAL);
        turn += 1;
        fleet.restart_ended();
    }
    fleet.store.restore(&copy);
    for (n, server) in fleet.servers.iter().enumerate() {
        announce(&fleet.store, n, server);
    }
    wait_until("the store holds the quarantine again", is_known);
    fleet.close();
}

/// The request that ends servers.
const FATAL: &str = "/read/fatal";
/// Time that a server takes for a request.
const WORK: Duration = Duration::from_millis(200);
/// Time within which boxes that start together are linked.
const LINK_TIME: Duration = Duration::from_secs(2);
/// Time within which all boxes receive what one box has observed.
const UPDATE_TIME: Duration = Duration::from_secs(3);
/// Number of times that the caller repeats the request afterwards.
const REPEATS: usize = 12;
