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

use edge::{Caller, Route, configuration, server_entry, start_box_in, wait_until};
use wingspur_edge::EdgeBox;
use wingspur_tests::{Answer, BackendServer, PlatformStore, Reply};
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
        let boxes = (0..boxes).map(|n| {
            let data_centre = format!("dc-{}", 1 + n % DATA_CENTRES);
            start_box_in(&data_centre, &format!("box-{n}"), &store, &workers)
        });
        let boxes: Vec<_> = boxes.collect();
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
        Caller::of(running).call(class, &id)
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

/// Errors and rejections name the limit as good answers do, and so do answers to requests that
/// are sent again.
#[test]
fn a_limit_is_heard_from_errors_and_rejections_as_well() {
    let fleet = Fleet::start_with(3, 4, |number| match number % 3 {
        0 => Reply::Shed,
        1 => Reply::Error,
        _ => Reply::Whole,
    });
    let named = Instant::now();
    fleet.servers[0].say("server-limit: 1\r\n");
    fleet.ask_for("read", Duration::from_secs(8));
    let most = fullest(&fleet.servers[0], named + TOLD_WITHIN);
    assert!(most <= allowed(1.0), "{most} in four seconds");
    fleet.close();
}

#[test]
fn where_all_servers_are_at_their_limits_callers_are_told_when_to_come_back() {
    let fleet = Fleet::start(2, 2);
    for server in &fleet.servers {
        server.say("server-limit: 0.5\r\n");
    }
    let named = Instant::now();
    fleet.ask_for("once_only", Duration::from_secs(5));
    let answers: Vec<_> = (0..20).map(|_| fleet.ask("once_only")).collect();
    for server in &fleet.servers {
        let most = fullest(server, named + TOLD_WITHIN);
        assert!(most <= allowed(0.5), "{most} in four seconds");
    }
    let refused = answers.iter().filter(|answer| answer.status == 503);
    let refused: Vec<_> = refused.collect();
    assert!(!refused.is_empty(), "more is asked for than they take");
    for answer in refused {
        assert_eq!(answer.headers["wingspur-result"], "2006");
        let after: f64 = answer.headers["retry-after"].parse().expect("a number");
        assert!(after > 0.0);
    }
    fleet.close();
}

/// The answer is the server's, so callers see the header as it gave it.
#[test]
fn callers_are_shown_what_the_server_said() {
    let fleet = Fleet::start(1, 1);
    fleet.servers[0].say("Server-Limit: 2.50\r\n");
    let answer = fleet.ask("read");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers["server-limit"], "2.50");
    fleet.close();
}

/// The server stands in one of three data centres, whose hub holds its limit.
#[test]
fn what_a_server_takes_is_used_from_all_data_centres() {
    let fleet = Fleet::start(6, 4);
    fleet.servers[0].say("server-limit: 2\r\n");
    fleet.ask_for("once_only", Duration::from_secs(4));
    let before = fleet.servers[0].arrivals().len();
    fleet.ask_for("once_only", Duration::from_secs(8));
    let got = fleet.servers[0].arrivals().len() - before;
    // Sixteen are allowed; a machine that is busy asks for fewer.
    assert!(got >= 8, "{got} in eight seconds");
    fleet.close();
}

#[test]
fn a_server_that_names_none_any_more_is_sent_its_share_again() {
    let fleet = Fleet::start(6, 4);
    fleet.servers[0].say("server-limit: 0\r\n");
    fleet.ask_for("read", Duration::from_secs(4));
    fleet.servers[0].say("");
    wait_until("it is sent its share", || {
        let before = fleet.servers[0].arrivals().len();
        fleet.ask_for("read", Duration::from_secs(1));
        fleet.servers[0].arrivals().len() >= before + 5
    });
    fleet.close();
}

/// What is no plain decimal number says neither that there is a limit nor that there is none.
#[test]
fn odd_values_change_nothing() {
    let fleet = Fleet::start(2, 1);
    let odd = [
        "server-limit: soon\r\n",
        "server-limit: -1\r\n",
        "server-limit:\r\n",
    ];
    for odd in odd {
        fleet.servers[0].say(odd);
        let before = fleet.servers[0].arrivals().len();
        let statuses = fleet.ask_for("read", Duration::from_secs(1));
        assert!(statuses.iter().all(|status| *status == 200), "{odd:?}");
        let more = fleet.servers[0].arrivals().len() - before;
        assert_eq!(more, statuses.len(), "{odd:?}");
    }
    let heard = |event: &str| {
        let counted = fleet.boxes.iter().map(|running| {
            let metrics = String::from_utf8(running.metrics().render());
            let metrics = metrics.expect("it is text");
            let name = format!("wingspur_server_limits_total{{event=\"{event}\"}}");
            metrics
                .lines()
                .filter(|line| line.starts_with(&name))
                .count()
        });
        counted.sum::<usize>()
    };
    assert_eq!(heard("unreadable"), 2, "both boxes say so");
    assert_eq!(heard("named"), 0);
    fleet.close();
}

const DATA_CENTRES: usize = 3;
const CALLERS: usize = 6;
const ASKED_EVERY: Duration = Duration::from_millis(100);
const WINDOW: Duration = Duration::from_secs(4);
/// Boxes are linked by then.
const LINKED_AFTER: Duration = Duration::from_secs(2);
/// All boxes have passed on such an answer, or heard of one, by then.
const TOLD_WITHIN: Duration = Duration::from_secs(3);
