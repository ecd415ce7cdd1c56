//! Requests that come at any moment of a planned stop are answered by their server, or
//! reach none.

mod edge;

use std::collections::BTreeSet;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use edge::{Caller, Route, configuration, server_entry, wait_until};
use serde_json::json;
use wingspur_bench::small_zagreb;
use wingspur_edge::{DrainSettings, EdgeBox};
use wingspur_entry::EntryBox;
use wingspur_tests::{PlatformStore, listen, read_keep_alive_response};
use wingspur_transport::{FaultInjector, PathFault, Workers};

/// A box that reaches the servers, and one that hands its requests to it.
struct Fleet {
    store: PlatformStore,
    arrived: Arc<Mutex<BTreeSet<String>>>,
    direct: EdgeBox,
    relayed: EdgeBox,
    workers: Workers,
}

/// A box as its callers see it.
#[derive(Debug, Clone, Copy)]
struct Target {
    address: SocketAddr,
    sources: Sources,
}

/// Where a box has its routes and servers from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sources {
    Catalog,
    Own,
}

/// What a caller does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Habit {
    /// Sends one once-only request on a connection that was used long before.
    Kept,
    /// Sends one request after the other until the connection is closed or the play ends.
    Busy,
    /// Sends two reads at once.
    Pipelines,
    /// Sends a once-only request whose body takes [`SLOW_TIME`].
    Uploads,
    /// Reads a long response for [`SLOW_TIME`].
    Downloads,
}

/// A request that got no response from its server.
struct Unanswered {
    habit: Habit,
    id: String,
    sent_ms: u128,
    status: Option<u16>,
}

impl Unanswered {
    fn describe(&self) -> String {
        let Self {
            habit,
            id,
            sent_ms,
            status,
        } = self;
        format!("{habit:?}: {id} sent at {sent_ms} ms, status {status:?}")
    }
}

impl Fleet {
    fn start() -> Self {
        let store = PlatformStore::start(500);
        let routes = ["once_only", "read", "download"].map(Route::new);
        store.put("op/config", &configuration(1, &routes));
        let arrived = Arc::new(Mutex::new(BTreeSet::new()));
        for n in 0..SERVERS {
            let mut entry = server_entry(start_server(arrived.clone()), "ready");
            entry["slots"] = json!(50);
            store.put(&format!("servers/i-{n}"), &entry);
        }
        let workers = Workers::start(2);
        let start = |id: &str, fault| {
            let mut settings = edge::settings(id, store.address);
            settings.drain.balancer_lag_ms = LAG.as_millis() as u64;
            settings.drain.limit_ms = 10_000;
            settings.fault_injection.server_path = fault;
            edge::start_box_with(settings, &store, &workers)
        };
        let direct = start("box-direct", PathFault::None);
        let relayed = start("box-relayed", PathFault::Refuse);
        let fleet = Self {
            store,
            arrived,
            direct,
            relayed,
            workers,
        };
        for running in [&fleet.direct, &fleet.relayed] {
            wait_until("the box serves", || {
                Caller::of(running).call("read", "first").status == 200
            });
        }
        fleet
    }

    /// Lets callers of each habit begin at moments spread over the stop of the given
    /// boxes, and checks that no request reached a server without a response from it.
    fn play(self, stops_direct: bool, stops_relayed: bool, to_relayed: bool) {
        let called = if to_relayed {
            &self.relayed
        } else {
            &self.direct
        };
        let callers = start_callers(Target {
            address: Caller::of(called).address(),
            sources: Sources::Catalog,
        });
        std::thread::sleep(WARM_TIME);
        let Self {
            store,
            arrived,
            direct,
            relayed,
            workers,
        } = self;
        let stop = |running: EdgeBox, stops| {
            std::thread::spawn(move || match stops {
                true => {
                    smol::block_on(running.close());
                    None
                }
                false => Some(running),
            })
        };
        let stopping = [stop(direct, stops_direct), stop(relayed, stops_relayed)];
        let unanswered = join_all(callers);
        for running in stopping {
            let running = running.join().expect("a stop does not panic");
            running.map(|running| smol::block_on(running.close()));
        }
        workers.close();
        drop(store);
        assert_none_lost(&unanswered, &arrived.lock().unwrap());
    }
}

type Callers = Vec<std::thread::JoinHandle<Vec<Unanswered>>>;

/// Starts callers of each habit, which begin at moments spread over the stop.
fn start_callers(to: Target) -> Callers {
    let began = Instant::now();
    let callers = HABITS.iter().flat_map(|habit| {
        (0..CALLERS).map(move |n| {
            let at = SPREAD.mul_f64(f64::from(n) / f64::from(CALLERS));
            std::thread::spawn(move || call_at(*habit, n, to, began, at))
        })
    });
    callers.collect()
}

/// Returns the requests that got no response from their server.
fn join_all(callers: Callers) -> Vec<Unanswered> {
    let callers = callers.into_iter();
    let unanswered = callers.flat_map(|caller| caller.join().expect("none panics"));
    unanswered.collect()
}

fn assert_none_lost(unanswered: &[Unanswered], arrived: &BTreeSet<String>) {
    let lost = unanswered.iter().filter(|call| arrived.contains(&call.id));
    let lost: Vec<String> = lost.map(Unanswered::describe).collect();
    let all = arrived.len();
    assert!(all > usize::from(CALLERS), "only {all} requests arrived");
    assert!(lost.is_empty(), "{} of {all}: {lost:#?}", lost.len());
}

/// Starts a server that works for a while on each request.
fn start_server(arrived: Arc<Mutex<BTreeSet<String>>>) -> SocketAddr {
    listen(move |head, stream| {
        let id = &head.headers["x-wingspur-request-id"];
        arrived.lock().unwrap().insert(id.clone());
        std::thread::sleep(WORK_TIME);
        let length =
            if head.path.starts_with("/download") || head.path.starts_with("/archive") {
                LONG_BYTES
            } else {
                100
            };
        let response = format!(
            "HTTP/1.1 200 OK\r\nx-wingspur-request-id: {id}\r\n\
             x-wingspur-server-stamp: stamp\r\ncontent-length: {length}\r\n\r\n"
        );
        let body = vec![b'a'; length];
        stream
            .write_all(&[response.as_bytes(), &body].concat())
            .is_ok()
    })
}

/// Calls a box from a moment on, as the habit says; returns the requests that got no
/// response from their server.
fn call_at(
    habit: Habit,
    number: u16,
    to: Target,
    began: Instant,
    at: Duration,
) -> Vec<Unanswered> {
    let id = |step: usize| format!("{habit:?}-{number}-{step}");
    let request = |class: &str, step| request(to.sources, class, &id(step));
    let send = |reader: &BufReader<TcpStream>, class: &str, step| {
        let mut stream = reader.get_ref();
        stream.write_all(request(class, step).as_bytes())
    };
    let mut reader = BufReader::new(TcpStream::connect(to.address).unwrap());
    let limit = Some(Duration::from_secs(30));
    reader.get_ref().set_read_timeout(limit).unwrap();
    let mut unanswered = Vec::new();
    let mut receive = |reader: &mut BufReader<TcpStream>, id, sent: Instant| {
        let response = read_keep_alive_response(reader);
        let status = response.as_ref().map(|response| response.status);
        let closes = response.is_none_or(|response| {
            response.headers.get("connection") == Some(&"close".to_owned())
        });
        if status != Some(200) {
            let sent_ms = sent.duration_since(began).as_millis();
            unanswered.push(Unanswered {
                habit,
                id,
                sent_ms,
                status,
            });
        }
        closes
    };
    if send(&reader, "read", 0).is_err() || receive(&mut reader, id(0), Instant::now()) {
        return unanswered;
    }
    std::thread::sleep(
        (began + WARM_TIME + at).saturating_duration_since(Instant::now()),
    );
    let sent = Instant::now();
    match habit {
        Habit::Kept => {
            let _ = send(&reader, "once_only", 1);
            receive(&mut reader, id(1), sent);
        }
        Habit::Busy => {
            for step in 1.. {
                let sent = Instant::now();
                let _ = send(&reader, "once_only", step);
                let is_over = began.elapsed() > WARM_TIME + 2 * SPREAD;
                if receive(&mut reader, id(step), sent) || is_over {
                    break;
                }
            }
        }
        Habit::Pipelines => {
            let both = [request("read", 1), request("read", 2)].concat();
            let _ = reader.get_ref().write_all(both.as_bytes());
            if !receive(&mut reader, id(1), sent) {
                receive(&mut reader, id(2), sent);
            }
        }
        Habit::Uploads => {
            let head = request("once_only", 1);
            let head = head.replace("content-length: 0", "transfer-encoding: chunked");
            let _ = reader.get_ref().write_all(head.as_bytes());
            for _ in 0..4 {
                std::thread::sleep(SLOW_TIME / 4);
                let _ = reader.get_ref().write_all(b"4\r\npart\r\n");
            }
            let _ = reader.get_ref().write_all(b"0\r\n\r\n");
            receive(&mut reader, id(1), sent);
        }
        Habit::Downloads => {
            let _ = send(&reader, "download", 1);
            let slow = SlowReader(reader.into_inner());
            let mut reader = BufReader::with_capacity(64 << 10, slow);
            let response = read_keep_alive_response(&mut reader);
            if response.is_none_or(|response| response.status != 200) {
                unanswered.push(Unanswered {
                    habit,
                    id: id(1),
                    sent_ms: sent.duration_since(began).as_millis(),
                    status: None,
                });
            }
        }
    }
    unanswered
}

fn request(sources: Sources, class: &str, id: &str) -> String {
    let method = if class == "once_only" { "POST" } else { "GET" };
    let path = match (sources, class) {
        (Sources::Catalog, class) => format!("/{class}/a"),
        (Sources::Own, "once_only") => "/submit/a".to_owned(),
        (Sources::Own, "read") => "/exam/a".to_owned(),
        (Sources::Own, _) => "/archive/a".to_owned(),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: site.example\r\nidempotency-key: {id}\r\n\
         x-wingspur-request-id: {id}\r\n\
         content-length: 0\r\n\r\n"
    )
}

/// Reads a long response over [`SLOW_TIME`].
struct SlowReader(TcpStream);

impl Read for SlowReader {
    fn read(&mut self, block: &mut [u8]) -> std::io::Result<usize> {
        let read = self.0.read(block)?;
        std::thread::sleep(SLOW_TIME.mul_f64(read as f64 / LONG_BYTES as f64));
        Ok(read)
    }
}

const HABITS: [Habit; 5] = [
    Habit::Kept,
    Habit::Busy,
    Habit::Pipelines,
    Habit::Uploads,
    Habit::Downloads,
];
/// Callers of each habit.
const CALLERS: u16 = 24;
const SERVERS: usize = 4;
/// How long boxes accept callers after the stop has begun.
const LAG: Duration = Duration::from_millis(800);
/// The moments at which callers begin lie within so much time from the stop on.
const SPREAD: Duration = Duration::from_millis(1600);
const WARM_TIME: Duration = Duration::from_millis(500);
const WORK_TIME: Duration = Duration::from_millis(100);
const SLOW_TIME: Duration = Duration::from_millis(600);
/// More than a box buffers of a response.
const LONG_BYTES: usize = 3 << 20;

#[test]
fn stop_of_a_box_loses_no_request() {
    Fleet::start().play(true, false, false);
}

#[test]
fn stop_of_a_box_that_hands_its_requests_over_loses_none() {
    Fleet::start().play(false, true, true);
}

#[test]
fn stop_of_a_relay_loses_no_request() {
    Fleet::start().play(true, false, true);
}

#[test]
fn stop_of_a_box_and_its_relay_loses_no_request() {
    Fleet::start().play(true, true, true);
}

#[test]
fn stop_of_a_box_over_own_sources_loses_no_request() {
    let arrived = Arc::new(Mutex::new(BTreeSet::new()));
    let workers = Workers::start(4);
    let spawner = workers.spawner();
    smol::block_on(async {
        let mut fleet = wingspur_bench::Fleet::start(small_zagreb(1), &spawner)
            .await
            .unwrap();
        let publishing = fleet.publish_next(|bundle| {
            for server in bundle.services.iter_mut().flat_map(|s| &mut s.servers) {
                server.address = start_server(arrived.clone());
            }
        });
        let version = publishing.await.unwrap();
        assert!(fleet.wait_in_force(version, Duration::from_secs(20)).await);
        fleet.stop_box(0).await;
        let mut settings = fleet.settings()[0].clone();
        settings.drain = DrainSettings {
            balancer_lag_ms: LAG.as_millis() as u64,
            limit_ms: 10_000,
            kill_after_s: None,
        };
        let starting = EntryBox::start(settings, &spawner, FaultInjector::default());
        let running = starting.await.unwrap();
        assert!(running.wait_ready(Duration::from_secs(20)).await);
        let callers = start_callers(Target {
            address: running.addresses().caller,
            sources: Sources::Own,
        });
        smol::Timer::after(WARM_TIME).await;
        running.close().await;
        let unanswered = smol::unblock(move || join_all(callers)).await;
        assert_none_lost(&unanswered, &arrived.lock().unwrap());
        fleet.close().await;
    });
    workers.close();
}
