//! A request that ends each server which begins to run it, sent again and again.
//!
//! Its caller got a 502 and asked again, at whichever box. A box counted the servers of one
//! try only, and judged servers, not requests: `attempt: failed. end=InDoubt reason="the answer
//! broke off: unexpected end of file"` at one server and 56 ms later at the next, then the same
//! at other boxes under new ids. After three servers had ended, the request was sent to 13
//! servers more; 28 of a service of nine ended in 15 seconds, and what was out at them, up to
//! 13 requests at a time, was lost with them.

mod edge;

use std::thread;
use std::time::{Duration, Instant};

use edge::{Route, configuration, server_entry, start_box, wait_until};
use wingspur_edge::EdgeBox;
use wingspur_tests::{Answer, Head, MortalServer, PlatformStore, call};
use wingspur_transport::Workers;

/// Some boxes before some servers that end by the request to `FATAL`.
struct Fleet {
    store: PlatformStore,
    boxes: Vec<EdgeBox>,
    servers: Vec<MortalServer>,
    workers: Workers,
}

impl Fleet {
    fn start(boxes: usize, servers: usize) -> Self {
        let store = PlatformStore::start(500);
        store.put("op/config", &configuration(1, &[Route::new("read")]));
        let servers: Vec<_> = (0..servers)
            .map(|_| MortalServer::start(ends_servers, WORK))
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
        // Boxes that start together are linked within two seconds.
        thread::sleep(LINKED_AFTER);
        Self {
            store,
            boxes,
            servers,
            workers,
        }
    }

    /// Brings back the servers that have ended, as new ones.
    fn bring_back(&self) {
        for (n, server) in self.servers.iter().enumerate() {
            if server.has_ended() {
                let gone = server.runs().len() - 1;
                self.store.remove(&format!("servers/i-{n}-{gone}"));
                server.start_again();
                announce(&self.store, n, server);
            }
        }
        let version = self.boxes[0].bundle_version() + 1;
        let told = configuration(version, &[Route::new("read")]);
        self.store.put("op/config", &told);
        let heard = |running: &EdgeBox| running.bundle_version() >= version;
        wait_until("all have heard", || self.boxes.iter().all(heard));
    }

    /// Asks one of the boxes, in turn.
    fn ask(&self, turn: usize, path: &str) -> Answer {
        let running = &self.boxes[turn % self.boxes.len()];
        ask(running, path, &format!("id-{turn}-{path}"))
    }

    /// When requests to a path arrived at servers, the first first.
    fn arrivals(&self, path: &str) -> Vec<Instant> {
        let runs = self.servers.iter().flat_map(MortalServer::runs);
        let arrivals = runs.flat_map(|run| run.arrivals);
        let wanted = arrivals.filter(|(_, head)| head.path == path);
        let mut at: Vec<_> = wanted.map(|(at, _)| at).collect();
        at.sort();
        at
    }

    fn ended(&self) -> usize {
        let runs = self.servers.iter().flat_map(MortalServer::runs);
        runs.filter(|run| run.ended).count()
    }

    fn close(self) {
        for running in self.boxes {
            smol::block_on(running.close());
        }
        self.workers.close();
    }
}

fn announce(store: &PlatformStore, n: usize, server: &MortalServer) {
    let runs = server.runs();
    let run = runs.last().expect("it has started");
    let key = format!("servers/i-{n}-{}", runs.len() - 1);
    store.put(&key, &server_entry(run.address, "ready"));
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
        fleet.bring_back();
    }
    // All boxes may have heard of it after this, and must have.
    thread::sleep(HEARD_WITHIN);
    let before = fleet.arrivals(FATAL).len();
    for _ in 0..TRIES {
        let answer = fleet.ask(turn, FATAL);
        assert_ne!(answer.status, 200);
        let well = fleet.ask(turn, &format!("/read/{turn}"));
        assert_eq!(well.status, 200, "others are served meanwhile");
        turn += 1;
        fleet.bring_back();
    }
    let more = fleet.arrivals(FATAL).len() - before;
    assert!(more <= 3, "{more} servers more were sent it");
    let refused = fleet.ask(turn, FATAL);
    assert_eq!(refused.status, 503, "it is told that it has not run");
    fleet.close();
}

/// What is out at a server that ends is broken off with the request that ends it, time and
/// again; but it is answered whole as soon as it runs beside no such request.
#[test]
fn a_request_that_ran_beside_one_that_ends_servers_is_still_served() {
    let fleet = Fleet::start(3, 1);
    let beside = "/read/beside";
    for turn in 0..6 {
        let running = &fleet.boxes[turn % fleet.boxes.len()];
        let arrived = fleet.arrivals(beside).len();
        thread::scope(|scope| {
            scope.spawn(|| ask(running, beside, &format!("beside-{turn}")));
            wait_until("it is out", || fleet.arrivals(beside).len() > arrived);
            fleet.ask(turn, FATAL);
        });
        fleet.bring_back();
    }
    for turn in 0..fleet.boxes.len() {
        assert_eq!(fleet.ask(turn, beside).status, 200, "at box {turn}");
        assert_eq!(fleet.ask(turn, FATAL).status, 503, "at box {turn}");
    }
    assert!(fleet.arrivals(FATAL).len() <= 6);
    fleet.close();
}

/// Servers end for other reasons as well. With four in a row under one request, all that is
/// known of it is what is known of one that ends servers, and it has been let through twice
/// since; at the third time it is answered, and that clears it everywhere.
#[test]
fn a_request_that_was_out_at_servers_that_ended_is_still_served() {
    let fleet = Fleet::start(3, 1);
    let unlucky = "/read/unlucky";
    for turn in 0..4 {
        let running = &fleet.boxes[turn % fleet.boxes.len()];
        let arrived = fleet.arrivals(unlucky).len();
        thread::scope(|scope| {
            scope.spawn(|| ask(running, unlucky, &format!("unlucky-{turn}")));
            wait_until("it is out", || fleet.arrivals(unlucky).len() > arrived);
            fleet.servers[0].end();
        });
        fleet.bring_back();
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
        fleet.bring_back();
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
/// How long a server takes for a request.
const WORK: Duration = Duration::from_millis(200);
/// Boxes are linked by then.
const LINKED_AFTER: Duration = Duration::from_secs(2);
/// What one box has seen, all others have heard.
const HEARD_WITHIN: Duration = Duration::from_secs(3);
/// How often its caller comes again afterwards.
const TRIES: usize = 12;
