//! A box that has lost its path to all backend servers serves callers through other boxes.

mod edge;

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use edge::{Caller, Route, configuration, server_entry, wait_until, with_accounts};
use serde_json::Value;
use wingspur_edge::{EdgeBox, Settings};
use wingspur_protocol::{
    BoxRecord, RELAY_HEADER, RELAY_RESULT_HEADER, ReachabilityQuery, ReachabilityReply,
    RelayResult, RelayedRequest, decode_relay_body, decode_relay_header,
    encode_relay_body, encode_relay_header,
};
use wingspur_tests::{Answer, BackendServer, Head, PlatformStore, Reply, call, listen};
use wingspur_transport::{PathFault, Workers};

/// Two boxes of one data centre before three servers.
struct Pair {
    store: PlatformStore,
    servers: Vec<BackendServer>,
    near: EdgeBox,
    far: EdgeBox,
    near_settings: Settings,
    workers: Workers,
}

impl Pair {
    fn start() -> Self {
        Self::start_with(&routes(), |_| Reply::Complete)
    }

    fn start_with(
        configuration: &Value,
        reply: impl Fn(usize) -> Reply + Clone + Send + Sync + 'static,
    ) -> Self {
        let server = |_| BackendServer::start(reply.clone());
        let servers: Vec<_> = (0..3).map(server).collect();
        let store = PlatformStore::start(500);
        store.put("op/config", configuration);
        for (n, server) in servers.iter().enumerate() {
            let entry = server_entry(server.address, "ready");
            store.put(&format!("servers/i-{n}"), &entry);
        }
        let workers = Workers::start(2);
        let near_settings = edge::settings("box-1", store.address);
        let near = edge::start_box_with(near_settings.clone(), &store, &workers);
        let far = edge::start_box("box-2", &store, &workers);
        wait_until("both boxes are ready", || near.is_ready() && far.is_ready());
        Self {
            store,
            servers,
            near,
            far,
            near_settings,
            workers,
        }
    }

    /// Injects a fault of the path to all servers at the near box.
    fn inject(&self, fault: PathFault) {
        inject(&self.near, &self.near_settings, fault);
    }

    /// Cuts the near box off from all servers and waits until it knows its relay.
    fn cut_off(&self) {
        self.inject(PathFault::Refuse);
        wait_until_served(Caller::of(&self.near), "first");
    }

    fn executed_ids(&self) -> Vec<String> {
        let executed = self.servers.iter().map(BackendServer::executed_ids);
        executed.flatten().collect()
    }

    fn close(self) {
        smol::block_on(self.near.close());
        smol::block_on(self.far.close());
        self.workers.close();
        drop(self.store);
    }
}

fn routes() -> Value {
    configuration(1, &[Route::new("read"), Route::new("once_only")])
}

fn inject(at: &EdgeBox, settings: &Settings, fault: PathFault) {
    let mut settings = settings.clone();
    settings.fault_injection.server_path = fault;
    at.reload(settings);
}

/// A box whose reactions to relayed requests are the test's.
struct ScriptedRelay {
    address: SocketAddr,
    taken: Arc<AtomicUsize>,
}

impl ScriptedRelay {
    /// Starts a box that says it reaches every service. `respond` handles each request
    /// that is handed over and returns whether the connection stays open.
    fn start(
        respond: impl Fn(&Head, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let taken = Arc::new(AtomicUsize::new(0));
        let count = taken.clone();
        let address = listen(move |head, stream| {
            if head.headers.contains_key(RELAY_HEADER) {
                count.fetch_add(1, Ordering::SeqCst);
                return respond(&head, stream);
            }
            if head.path != "/reachability" {
                return write_response(stream, "404 Not Found", "", b"");
            }
            let query: ReachabilityQuery = decode_relay_body(&head.body).unwrap();
            let reply = ReachabilityReply {
                reachable: query.services,
                load: 0.0,
                others: Vec::new(),
            };
            write_response(stream, "200 OK", "", &encode_relay_body(&reply))
        });
        Self { address, taken }
    }

    /// Announces the box in the store.
    fn announce(&self, store: &PlatformStore) {
        let record = BoxRecord {
            id: "scripted".into(),
            data_centre: "dc-1".into(),
            peer_address: self.address,
            incarnation: 1,
            capacity: 0,
            fleet_boxes: 2,
        };
        let value = serde_json::to_value(&record).unwrap();
        store.put("wingspur/boxes/scripted", &value);
    }

    fn taken(&self) -> usize {
        self.taken.load(Ordering::SeqCst)
    }
}

/// Returns the header by which a box names the request that its response belongs to.
fn name_of(request: &Head) -> String {
    let id = &request.headers["x-wingspur-request-id"];
    format!("x-wingspur-request-id: {id}\r\n")
}

fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> bool {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat()).is_ok()
}

/// Sends requests until one is served; panics after ten seconds.
fn wait_until_served(caller: Caller, label: &str) {
    let started = Instant::now();
    for n in 0.. {
        if caller.call("once_only", &format!("{label}-{n}")).status == 200 {
            return;
        }
        let waited = started.elapsed();
        assert!(
            waited < Duration::from_secs(10),
            "{label}: nothing is served"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn callers_of_a_box_without_a_path_to_servers_are_served_through_another_box() {
    let faults = [PathFault::Refuse, PathFault::RefuseNew, PathFault::Hold];
    for fault in faults {
        let pair = Pair::start();
        for n in 0..6 {
            let id = format!("before-{n}");
            for running in [&pair.near, &pair.far] {
                let answer = Caller::of(running).call("read", &id);
                assert_eq!(answer.status, 200, "{fault:?} {id}: {answer:?}");
            }
        }
        pair.inject(fault);
        wait_until_served(Caller::of(&pair.near), "first");
        for n in 0..10 {
            for class in ["read", "once_only"] {
                let id = format!("{class}-{n}");
                let answer = Caller::of(&pair.near).call(class, &id);
                assert_eq!(answer.status, 200, "{fault:?} {id}: {answer:?}");
                assert_eq!(answer.body, b"own body", "{fault:?} {id}");
            }
        }
        let executed = pair.executed_ids();
        for n in 0..10 {
            let id = format!("once_only-{n}");
            let runs = executed.iter().filter(|executed| **executed == id).count();
            assert_eq!(runs, 1, "{fault:?} {id}");
        }
        pair.close();
    }
}

#[test]
fn a_box_uses_its_own_path_again_once_it_is_back() {
    let pair = Pair::start();
    pair.cut_off();
    assert_eq!(pair.near.metrics().unreachable_services.get(), 1);
    pair.inject(PathFault::None);
    wait_until("the path is back", || {
        pair.near.metrics().unreachable_services.get() == 0
    });
    let relayed = pair.far.metrics().relayed("taken", "answered");
    for n in 0..6 {
        let id = format!("after-{n}");
        assert_eq!(Caller::of(&pair.near).call("once_only", &id).status, 200);
    }
    assert_eq!(pair.far.metrics().relayed("taken", "answered"), relayed);
    pair.close();
}

#[test]
fn a_relayed_request_is_not_handed_over_again() {
    let pair = Pair::start();
    pair.cut_off();
    let far_settings = edge::settings("box-2", pair.store.address);
    inject(&pair.far, &far_settings, PathFault::Refuse);
    let ran = pair.executed_ids().len();
    for n in 0..5 {
        let answer = Caller::of(&pair.near).call("once_only", &format!("no-path-{n}"));
        assert_eq!(answer.status, 503);
    }
    assert_eq!(pair.executed_ids().len(), ran);
    assert_eq!(pair.far.metrics().relayed("sent", "answered"), 0);
    assert_eq!(pair.far.metrics().relayed("sent", "declined"), 0);
    pair.close();
}

#[test]
fn a_relay_without_a_path_does_not_pass_a_request_on_to_its_own_relay() {
    let pair = Pair::start();
    pair.cut_off();
    let taken = pair.far.metrics().relayed("taken", "answered");
    let relayed = encode_relay_header(&RelayedRequest {
        protocol: 1,
        fleet: "test".into(),
        from: "box-9".into(),
        bundle_version: 1,
        service: "svc".into(),
        attempts_made: 0,
        key: None,
    });
    let headers = [
        ("host", "site.example"),
        ("x-wingspur-request-id", "second-hop"),
        (RELAY_HEADER, relayed.as_str()),
    ];
    let to = pair.near.peer_address();
    let answer = call(to, "POST", "/once_only/a", &headers, b"the body");
    assert_eq!(answer.status, 503);
    let result = &answer.headers[RELAY_RESULT_HEADER];
    let result: RelayResult = decode_relay_header(result.as_bytes()).unwrap();
    assert!(!result.is_taken);
    assert_eq!(pair.far.metrics().relayed("taken", "answered"), taken);
    assert!(!pair.executed_ids().contains(&"second-hop".to_owned()));
    pair.close();
}

#[test]
fn a_request_whose_relay_is_lost_is_in_doubt_and_not_sent_again() {
    let pair = Pair::start();
    let relay = ScriptedRelay::start(|_, _| false);
    relay.announce(&pair.store);
    let far_settings = edge::settings("box-2", pair.store.address);
    inject(&pair.far, &far_settings, PathFault::Refuse);
    pair.inject(PathFault::Refuse);
    let ran = pair.executed_ids().len();
    wait_until("a request is handed to the relay", || {
        let answer = Caller::of(&pair.near).call("once_only", "probing");
        answer.status == 502
    });
    for class in ["read", "once_only"] {
        let before = relay.taken();
        let answer = Caller::of(&pair.near).call(class, &format!("lost-{class}"));
        assert_eq!(answer.status, 502, "{class}");
        assert_eq!(relay.taken(), before + 1, "{class}");
    }
    assert_eq!(pair.executed_ids().len(), ran);
    pair.close();
}

/// Cuts both boxes off from the servers, so that only the scripted relay is left, and
/// waits until a request was handed to it.
fn leave_only(relay: &ScriptedRelay, pair: &Pair) {
    relay.announce(&pair.store);
    let far_settings = edge::settings("box-2", pair.store.address);
    inject(&pair.far, &far_settings, PathFault::Refuse);
    pair.inject(PathFault::Refuse);
    wait_until("a request is handed to the relay", || {
        Caller::of(&pair.near).call("once_only", "probing");
        relay.taken() > 0
    });
}

#[test]
fn a_404_without_a_result_in_place_of_a_relays_response_is_no_promise() {
    let pair = Pair::start();
    // A server that has got the address of a box runs the request and knows no such path.
    let relay = ScriptedRelay::start(|_, stream| {
        write_response(stream, "404 Not Found", "", b"no such path")
    });
    leave_only(&relay, &pair);
    for n in 0..5 {
        let before = relay.taken();
        let answer = Caller::of(&pair.near).call("once_only", &format!("id-{n}"));
        assert_eq!((answer.status, relay.taken()), (502, before + 1));
    }
    pair.close();
}

#[test]
fn a_relays_refusal_is_a_promise_however_its_body_ends() {
    for is_taken in [true, false] {
        for body in [&b"whole"[..], b"cut"] {
            let pair = Pair::start();
            let result = encode_relay_header(&RelayResult {
                is_taken,
                load: 0.0,
            });
            let relay = ScriptedRelay::start(move |request, stream| {
                let head = format!(
                    "HTTP/1.1 503 Service Unavailable\r\n{}wingspur-result: 3002\r\n\
                     {RELAY_RESULT_HEADER}: {result}\r\ncontent-length: 5\r\n\r\n",
                    name_of(request)
                );
                let written = stream.write_all(&[head.as_bytes(), body].concat());
                written.is_ok() && body.len() == 5
            });
            leave_only(&relay, &pair);
            for n in 0..3 {
                let answer = Caller::of(&pair.near).call("once_only", &format!("id-{n}"));
                assert_eq!(answer.status, 503, "{is_taken} {body:?}");
            }
            pair.close();
        }
    }
}

#[test]
fn a_relays_refusal_is_no_promise_if_an_earlier_attempt_is_in_doubt() {
    let reply = Arc::new(Mutex::new(Reply::Complete));
    let current = reply.clone();
    let pair = Pair::start_with(&routes(), move |_| *current.lock().unwrap());
    let result = encode_relay_header(&RelayResult {
        is_taken: true,
        load: 0.0,
    });
    let relay = ScriptedRelay::start(move |request, stream| {
        let name = name_of(request);
        let headers =
            format!("{name}wingspur-result: 3002\r\n{RELAY_RESULT_HEADER}: {result}\r\n");
        write_response(stream, "503 Service Unavailable", &headers, b"")
    });
    leave_only(&relay, &pair);
    let is_relayed = |id: &str| {
        let before = relay.taken();
        let answer = Caller::of(&pair.near).call("read", id);
        answer.status != 200 || relay.taken() > before
    };
    let mut was_relayed = false;
    // The box may give up before it finds the relay.
    for n in 0..20 {
        *reply.lock().unwrap() = Reply::Complete;
        pair.inject(PathFault::None);
        wait_until("the box reaches the servers", || !is_relayed("again"));
        *reply.lock().unwrap() = Reply::Silent;
        let caller = Caller::of(&pair.near);
        let id = format!("doubtful-{n}");
        let sent = id.clone();
        let call = std::thread::spawn(move || caller.call("read", &sent).status);
        let has_run = || pair.executed_ids().contains(&id);
        wait_until("it runs or ends", || has_run() || call.is_finished());
        if !has_run() {
            // The box had not noticed yet that it reaches the servers again.
            assert_eq!(call.join().unwrap(), 503, "{id}");
            continue;
        }
        let before = relay.taken();
        pair.inject(PathFault::Refuse);
        assert_eq!(call.join().unwrap(), 502, "{id}");
        was_relayed |= relay.taken() > before;
        if was_relayed {
            break;
        }
    }
    assert!(was_relayed, "the relay was not asked");
    pair.close();
}

#[test]
fn a_relays_response_to_another_request_is_no_promise() {
    for is_taken in [true, false] {
        let pair = Pair::start();
        let result = encode_relay_header(&RelayResult {
            is_taken,
            load: 0.0,
        });
        let relay = ScriptedRelay::start(move |_, stream| {
            let headers = format!(
                "x-wingspur-request-id: another\r\nwingspur-result: 3002\r\n\
                 {RELAY_RESULT_HEADER}: {result}\r\n"
            );
            write_response(stream, "503 Service Unavailable", &headers, b"")
        });
        leave_only(&relay, &pair);
        let before = relay.taken();
        let answer = Caller::of(&pair.near).call("once_only", "id");
        let told = (answer.status, relay.taken());
        assert_eq!(told, (502, before + 1), "{is_taken}");
        pair.close();
    }
}

/// Starts a relay that refuses each id when it comes first. When it comes again on the
/// same connection, a copy of the refusal precedes its 200.
fn copying_relay(is_taken: bool) -> ScriptedRelay {
    let result = |is_taken| {
        encode_relay_header(&RelayResult {
            is_taken,
            load: 0.0,
        })
    };
    let (refused, served) = (result(is_taken), result(true));
    let refused_on = Mutex::new(HashMap::new());
    ScriptedRelay::start(move |request, stream| {
        let name = name_of(request);
        let peer = stream.peer_addr().ok();
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\n{name}wingspur-result: 3002\r\n\
             {RELAY_RESULT_HEADER}: {refused}\r\ncontent-length: 0\r\n\r\n"
        );
        let own = format!(
            "HTTP/1.1 200 OK\r\n{name}{RELAY_RESULT_HEADER}: {served}\r\n\
             content-length: 3\r\n\r\nran"
        );
        let before = refused_on.lock().unwrap().insert(name, peer);
        let bytes = match before {
            None => refusal,
            Some(first) if first == peer => refusal + &own,
            Some(_) => own,
        };
        stream.write_all(bytes.as_bytes()).is_ok()
    })
}

#[test]
fn copy_of_a_relays_refusal_is_no_promise() {
    for is_taken in [true, false] {
        let pair = Pair::start();
        let relay = copying_relay(is_taken);
        leave_only(&relay, &pair);
        for n in 0..5 {
            let id = format!("id-{n}");
            let call = || Caller::of(&pair.near).call("once_only", &id).status;
            wait_until("the relay refuses it", || {
                let before = relay.taken();
                assert_eq!(call(), 503, "{id} {is_taken}");
                relay.taken() > before
            });
            let mut status = 503;
            wait_until("the relay gets it again", || {
                let before = relay.taken();
                status = call();
                relay.taken() > before
            });
            assert_eq!(status, 200, "{id} {is_taken}");
        }
        pair.close();
    }
}

#[test]
fn a_relays_refusal_that_does_not_name_the_request_is_no_promise() {
    for is_taken in [true, false] {
        let pair = Pair::start();
        let result = encode_relay_header(&RelayResult {
            is_taken,
            load: 0.0,
        });
        let relay = ScriptedRelay::start(move |_, stream| {
            let headers =
                format!("wingspur-result: 3002\r\n{RELAY_RESULT_HEADER}: {result}\r\n");
            write_response(stream, "503 Service Unavailable", &headers, b"")
        });
        leave_only(&relay, &pair);
        for n in 0..3 {
            let before = relay.taken();
            let answer = Caller::of(&pair.near).call("once_only", &format!("id-{n}"));
            let told = (answer.status, relay.taken());
            assert_eq!(told, (502, before + 1), "{is_taken}");
        }
        pair.close();
    }
}

/// The servers are reached by the other box, which must not get the request.
#[test]
fn unnamed_decline_of_a_relay_does_not_send_the_request_to_another() {
    let pair = Pair::start();
    let declined = encode_relay_header(&RelayResult {
        is_taken: false,
        load: 0.0,
    });
    let relay = ScriptedRelay::start(move |_, stream| {
        let headers = format!("{RELAY_RESULT_HEADER}: {declined}\r\n");
        write_response(stream, "503 Service Unavailable", &headers, b"")
    });
    relay.announce(&pair.store);
    pair.cut_off();
    let started = Instant::now();
    for n in 0.. {
        assert!(started.elapsed() < Duration::from_secs(30), "never asked");
        let id = format!("id-{n}");
        let before = relay.taken();
        let answer = Caller::of(&pair.near).call("once_only", &id);
        if relay.taken() > before {
            assert_eq!(answer.status, 502, "{id}");
            assert!(!pair.executed_ids().contains(&id), "{id}");
            break;
        }
    }
    pair.close();
}

#[test]
fn a_request_that_a_relay_has_not_taken_goes_to_another() {
    let pair = Pair::start();
    let declined = encode_relay_header(&RelayResult {
        is_taken: false,
        load: 0.0,
    });
    let relay = ScriptedRelay::start(move |request, stream| {
        let name = name_of(request);
        let headers = format!("{name}{RELAY_RESULT_HEADER}: {declined}\r\n");
        write_response(stream, "503 Service Unavailable", &headers, b"")
    });
    relay.announce(&pair.store);
    pair.cut_off();
    let started = Instant::now();
    let mut served = 0;
    while relay.taken() == 0 {
        assert!(started.elapsed() < Duration::from_secs(30), "never asked");
        let answer = Caller::of(&pair.near).call("once_only", &format!("id-{served}"));
        assert_eq!(answer.status, 200);
        served += 1;
    }
    let executed = pair.executed_ids();
    for n in 0..served {
        let id = format!("id-{n}");
        let runs = executed.iter().filter(|executed| **executed == id).count();
        assert_eq!(runs, 1, "{id}");
    }
    pair.close();
}

#[test]
fn what_a_relay_passes_on_of_a_server_reaches_the_caller_unchanged() {
    let reply = Arc::new(Mutex::new(Reply::Complete));
    let current = reply.clone();
    let pair = Pair::start_with(&routes(), move |_| *current.lock().unwrap());
    pair.cut_off();
    let cases = [
        (Reply::Error, "once_only", 500, "failed"),
        (Reply::Refused, "once_only", 503, "{"),
        (Reply::Close, "once_only", 502, "{"),
        (Reply::Unmarked, "once_only", 502, "{"),
        (Reply::Complete, "read", 200, "own body"),
    ];
    for (n, (server_reply, class, status, body)) in cases.into_iter().enumerate() {
        *reply.lock().unwrap() = server_reply;
        let answer = Caller::of(&pair.near).call(class, &format!("case-{n}"));
        assert_eq!(answer.status, status, "{server_reply:?}");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(text.starts_with(body), "{server_reply:?}: {text}");
        let has_stamp = answer.headers.contains_key("x-wingspur-server-stamp");
        assert_eq!(has_stamp, matches!(status, 200 | 500), "{server_reply:?}");
        assert!(!answer.headers.contains_key(RELAY_RESULT_HEADER));
    }
    pair.close();
}

/// Guards against a relay of an earlier version, which passed on long refusals of servers
/// as they were.
#[test]
fn a_relays_refusal_without_a_result_of_its_own_is_no_promise() {
    let pair = Pair::start();
    let result_line = Arc::new(Mutex::new(String::new()));
    let body_bytes = Arc::new(Mutex::new(0));
    let (sent_line, sent_bytes) = (result_line.clone(), body_bytes.clone());
    let taken = encode_relay_header(&RelayResult {
        is_taken: true,
        load: 0.0,
    });
    let relay = ScriptedRelay::start(move |request, stream| {
        let line = sent_line.lock().unwrap().clone();
        let name = name_of(request);
        let headers = format!("{name}{RELAY_RESULT_HEADER}: {taken}\r\n{line}");
        let body = vec![b'a'; *sent_bytes.lock().unwrap()];
        write_response(stream, "503 Service Unavailable", &headers, &body)
    });
    relay.announce(&pair.store);
    let far_settings = edge::settings("box-2", pair.store.address);
    inject(&pair.far, &far_settings, PathFault::Refuse);
    pair.inject(PathFault::Refuse);
    wait_until("a request is handed to the relay", || {
        Caller::of(&pair.near).call("once_only", "probing");
        relay.taken() > 0
    });
    let cases = [
        ("", 502),
        ("wingspur-result: 3002\r\n", 503),
        ("wingspur-result: 3004\r\n", 502),
        ("wingspur-result: 9\r\n", 502),
    ];
    for length in [0, 2 << 20] {
        for (line, status) in cases {
            *result_line.lock().unwrap() = line.to_owned();
            *body_bytes.lock().unwrap() = length;
            let before = relay.taken();
            let id = format!("refused-{length}-{status}");
            let answer = Caller::of(&pair.near).call("once_only", &id);
            assert_eq!(answer.status, status, "{line:?}, {length} bytes");
            assert_eq!(relay.taken(), before + 1, "{line:?}, {length} bytes");
        }
    }
    pair.close();
}

#[test]
fn the_server_of_a_relayed_request_gets_no_more_time_than_the_caller_waits() {
    let pair = Pair::start();
    pair.cut_off();
    let answer = Caller::of(&pair.near).call("once_only", "timed");
    assert_eq!(answer.status, 200);
    let heads = pair.servers.iter().flat_map(BackendServer::heads);
    let id = |head: &Head| head.headers.get("x-wingspur-request-id").cloned();
    let mut timed = heads.filter(|head| id(head).as_deref() == Some("timed"));
    let head = timed.next().expect("a server got it");
    let left_ms: u64 = head.headers["x-wingspur-request-deadline-ms"]
        .parse()
        .unwrap();
    assert!((3_000..4_000).contains(&left_ms), "{left_ms}");
    assert_eq!(head.body, b"the body");
    assert!(!head.headers.contains_key(RELAY_HEADER));
    assert!(!head.headers.contains_key("x-dropped"));
    pair.close();
}

#[test]
fn a_caller_cannot_pass_for_another_box() {
    let pair = Pair::start();
    let forged = encode_relay_header(&RelayedRequest {
        protocol: 1,
        fleet: "test".into(),
        from: "box-1".into(),
        bundle_version: 1,
        service: "svc".into(),
        attempts_made: 1,
        key: None,
    });
    for server in &pair.servers {
        server.set_headers(&format!("{RELAY_RESULT_HEADER}: {forged}\r\n"));
    }
    let headers = [
        ("host", "site.example"),
        ("x-wingspur-request-id", "forged"),
        (RELAY_HEADER, forged.as_str()),
    ];
    let to = Caller::of(&pair.far).address();
    let answer = call(to, "GET", "/read/a", &headers, b"");
    assert_eq!(answer.status, 200);
    assert!(!answer.headers.contains_key(RELAY_RESULT_HEADER));
    assert_eq!(pair.far.metrics().relayed("taken", "answered"), 0);
    let heads = pair.servers.iter().flat_map(BackendServer::heads);
    assert!(
        heads
            .into_iter()
            .all(|head| !head.headers.contains_key(RELAY_HEADER))
    );
    pair.close();
}

#[test]
fn a_relay_attributes_a_request_to_the_account_of_the_callers_key() {
    let accounts: &[(&str, &[&str])] = &[("school", &["key-1"])];
    let pair = Pair::start_with(&with_accounts(routes(), accounts), |_| Reply::Complete);
    let send = |key: &str, id: &str| -> Answer {
        let key = format!("Bearer {key}");
        let headers = [
            ("host", "site.example"),
            ("x-wingspur-request-id", id),
            ("x-wingspur-request-deadline-ms", "4000"),
            ("authorization", key.as_str()),
            ("x-wingspur-tenant-name", "forged"),
        ];
        let to = Caller::of(&pair.near).address();
        call(to, "POST", "/once_only/a", &headers, b"the body")
    };
    pair.inject(PathFault::Refuse);
    wait_until("requests are relayed", || {
        send("key-1", "early").status == 200
    });
    assert_eq!(send("key-1", "known").status, 200);
    assert_eq!(send("key-2", "unknown").status, 401);
    let heads = pair.servers.iter().flat_map(BackendServer::heads);
    let id = |head: &Head| head.headers.get("x-wingspur-request-id").cloned();
    let mut known = heads.filter(|head| id(head).as_deref() == Some("known"));
    let head = known.next().expect("a server got it");
    assert_eq!(head.headers["x-wingspur-tenant-name"], "school");
    assert!(!head.headers.contains_key("authorization"));
    pair.close();
}

#[test]
fn a_body_that_is_not_kept_streams_through_a_relay() {
    let pair = Pair::start();
    pair.cut_off();
    let body = vec![b'x'; 300 << 10];
    let headers = [
        ("host", "site.example"),
        ("x-wingspur-request-id", "upload"),
        ("x-wingspur-request-deadline-ms", "4000"),
    ];
    let to = Caller::of(&pair.near).address();
    let answer = call(to, "POST", "/once_only/a", &headers, &body);
    assert_eq!(answer.status, 200);
    let heads = pair.servers.iter().flat_map(BackendServer::heads);
    let lengths: Vec<usize> = heads.map(|head| head.body.len()).collect();
    assert!(lengths.contains(&body.len()), "{lengths:?}");
    pair.close();
}

#[test]
fn a_caller_that_leaves_ends_its_request_at_the_relay() {
    let reply = Arc::new(Mutex::new(Reply::Complete));
    let current = reply.clone();
    let pair = Pair::start_with(&routes(), move |_| *current.lock().unwrap());
    pair.cut_off();
    *reply.lock().unwrap() = Reply::Silent;
    let to = Caller::of(&pair.near).address();
    let mut stream = TcpStream::connect(to).unwrap();
    let head = "POST /once_only/a HTTP/1.1\r\nhost: site.example\r\n\
                x-wingspur-request-id: left\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    wait_until("a server runs it", || {
        pair.executed_ids().contains(&"left".to_owned())
    });
    drop(stream);
    wait_until("the relay has ended it", || {
        pair.far.metrics().relayed("taken", "abandoned") == 1
    });
    pair.close();
}

#[test]
fn a_box_that_starts_without_a_path_finds_a_relay() {
    let pair = Pair::start();
    let mut settings = edge::settings("box-3", pair.store.address);
    settings.fault_injection.server_path = PathFault::Refuse;
    let started = edge::start_box_with(settings, &pair.store, &pair.workers);
    wait_until("the box is ready", || started.is_ready());
    wait_until_served(Caller::of(&started), "started");
    smol::block_on(started.close());
    pair.close();
}

/// A response that was under way arrives after the path was lost, and the connection is
/// then reset as well.
#[test]
fn a_connection_that_worked_once_after_the_path_was_lost_does_not_keep_requests_back() {
    let is_slow = Arc::new(AtomicBool::new(false));
    let slow = is_slow.clone();
    let pair = Pair::start_with(&routes(), move |_| {
        if slow.swap(false, Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(300));
        }
        Reply::Complete
    });
    is_slow.store(true, Ordering::SeqCst);
    let caller = Caller::of(&pair.near);
    let slow_call = std::thread::spawn(move || caller.call("once_only", "slow").status);
    wait_until("a server runs it", || !is_slow.load(Ordering::SeqCst));
    pair.inject(PathFault::Hold);
    wait_until_served(Caller::of(&pair.near), "held");
    std::thread::sleep(Duration::from_millis(300));
    pair.inject(PathFault::Refuse);
    assert_eq!(slow_call.join().unwrap(), 200);
    for n in 0..30 {
        for class in ["read", "once_only"] {
            let answer = Caller::of(&pair.near).call(class, &format!("{class}-{n}"));
            assert_eq!(answer.status, 200, "{class}-{n}");
        }
    }
    pair.close();
}
