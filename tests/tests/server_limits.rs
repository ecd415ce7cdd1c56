//! Servers in need that name in their answers what they take from all boxes together.
//!
//! Two of sixteen servers named limits of 1 and 1.6 requests a second and got 27 and 19 in four
//! seconds from boxes that had passed on such answers. Nothing in the program read the header:
//! the first one got 42 requests in the eight seconds from then on, from eleven boxes, and 36 in
//! the eight before; all of them were first attempts, and it turned none away.

mod edge;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use edge::{Route, configuration, server_entry, start_box, wait_until};
use wingspur_edge::EdgeBox;
use wingspur_tests::{Answer, BackendServer, PlatformStore, Reply, call};
use wingspur_transport::Workers;

/// Some boxes before some servers, all linked with each other.
struct Fleet {
    _store: PlatformStore,
    boxes: Vec<EdgeBox>,
    servers: Vec<BackendServer>,
    workers: Workers,
    asked: AtomicUsize,
}

impl Fleet {
    fn start(boxes: usize, servers: usize) -> Self {
        Self::start_with(boxes, servers, |_| Reply::Whole)
    }

    fn start_with(boxes: usize, servers: usize, reply: fn(usize) -> Reply) -> Self {
        let store = PlatformStore::start(500);
        let routes = [Route::new("read"), Route::new("once_only")];
        store.put("op/config", &configuration(1, &routes));
        let servers: Vec<_> = (0..servers).map(|_| BackendServer::start(reply)).collect();
        for (n, server) in servers.iter().enumerate() {
            let entry = server_entry(server.address, "ready");
            store.put(&format!("servers/i-{n}"), &entry);
        }
        let workers = Workers::start(4);
        let ids = (0..boxes).map(|n| format!("box-{n}"));
        let boxes: Vec<_> = ids.map(|id| start_box(&id, &store, &workers)).collect();
        for running in &boxes {
            wait_until("all boxes are ready", || running.is_ready());
        }
        thread::sleep(LINKED_AFTER);
        Self {
            _store: store,
            boxes,
            servers,
            workers,
            asked: AtomicUsize::new(0),
        }
    }

    /// Asks the boxes in turn.
    fn ask(&self, class: &str) -> Answer {
        let turn = self.asked.fetch_add(1, Ordering::Relaxed);
        let running = &self.boxes[turn % self.boxes.len()];
        let id = format!("id-{turn}");
        let headers = [
            ("host", "site.example"),
            ("x-wingspur-request-id", id.as_str()),
            ("x-wingspur-request-deadline-ms", "4000"),
        ];
        let method = if class == "read" { "GET" } else { "POST" };
        let path = format!("/{class}/a");
        call(running.caller_address(), method, &path, &headers, b"")
    }

    /// Asks for a while, some callers at a time; returns the statuses.
    fn ask_for(&self, class: &str, span: Duration) -> Vec<u16> {
        let until = Instant::now() + span;
        let ask = || {
            let mut statuses = Vec::new();
            while Instant::now() < until {
                statuses.push(self.ask(class).status);
                thread::sleep(ASKED_EVERY);
            }
            statuses
        };
        thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(ask)).collect();
            let told = callers.into_iter().flat_map(|caller| caller.join());
            told.flatten().collect()
        })
    }

    fn close(self) {
        for running in self.boxes {
            smol::block_on(running.close());
        }
        self.workers.close();
    }
}

/// The most that arrived at a server in any four seconds from a moment on.
fn fullest(server: &BackendServer, from: Instant) -> usize {
    let arrivals = server.arrivals();
    let at: Vec<_> = arrivals.into_iter().map(|(at, _)| at).collect();
    let counted = at.iter().enumerate().filter(|(_, first)| **first >= from);
    let counts = counted.map(|(index, first)| {
        let later = &at[index..];
        later.partition_point(|at| *at <= *first + WINDOW)
    });
    counts.max().unwrap_or(0)
}

/// Half as much again as the limit allows, and five requests.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

#[test]
fn a_limit_that_a_server_names_is_one_for_all_boxes() {
    let fleet = Fleet::start(3, 4);
    for class in ["read", "once_only"] {
        let named = Instant::now();
        fleet.servers[0].say("server-limit: 1.5\r\n");
        let statuses = fleet.ask_for(class, Duration::from_secs(8));
        let most = fullest(&fleet.servers[0], named + TOLD_WITHIN);
        assert!(most <= allowed(1.5), "{class}: {most} in four seconds");
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert_eq!(served, statuses.len(), "{class}: the others have room");
    }
    fleet.close();
}

const CALLERS: usize = 6;
const ASKED_EVERY: Duration = Duration::from_millis(100);
const WINDOW: Duration = Duration::from_secs(4);
/// Boxes are linked by then.
const LINKED_AFTER: Duration = Duration::from_secs(2);
/// All boxes have passed on such an answer, or heard of one, by then.
const TOLD_WITHIN: Duration = Duration::from_secs(3);
