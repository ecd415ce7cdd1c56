//! A caller is told that a once-only request did not run only if its server has proved it,
//! in whatever shape the proof arrives.

mod edge;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};

use edge::{Caller, Route, configuration, server_entry, wait_until};
use wingspur_edge::{EdgeBox, Settings};
use wingspur_platform::header_names;
use wingspur_tests::{
    BackendServer, Body, EchoedId, Framing, PlatformStore, Preamble, Reply, ResponseShape,
};
use wingspur_transport::{
    RefusalTiming, ResponseArrival, ResponseHead, RunEvidence, SentRequest,
    ServerDeadline, UnprovenReason, Workers,
};

/// A box that reaches the servers, and one that hands its requests to it.
struct Fleet {
    _store: PlatformStore,
    servers: Vec<BackendServer>,
    reply: Arc<Mutex<Reply>>,
    direct: EdgeBox,
    relayed: EdgeBox,
    workers: Workers,
}

/// What a caller was told, and how often the request ran.
#[derive(Debug)]
struct Outcome {
    /// The status; 0 where the connection ended without a response.
    status: u16,
    /// The number that the box gives its own responses.
    result: Option<String>,
    ran: usize,
}

impl Fleet {
    fn start(timeout_ms: u64) -> Self {
        Self::start_with(timeout_ms, |settings| settings)
    }

    /// Starts boxes with changed settings.
    fn start_with(timeout_ms: u64, change: impl Fn(Settings) -> Settings) -> Self {
        let store = PlatformStore::start(500);
        let routes = [Route {
            class: "once_only",
            timeout_ms,
        }];
        store.put("op/config", &configuration(1, &routes));
        let reply = Arc::new(Mutex::new(Reply::Complete));
        let servers: Vec<_> = (0..2)
            .map(|_| {
                let reply = reply.clone();
                BackendServer::start(move |_| *reply.lock().unwrap())
            })
            .collect();
        for (n, server) in servers.iter().enumerate() {
            let entry = server_entry(server.address, "ready");
            store.put(&format!("servers/i-{n}"), &entry);
        }
        let workers = Workers::start(2);
        let [direct, relayed] =
            edge::start_direct_and_relayed_with(&store, &workers, change);
        let fleet = Self {
            _store: store,
            servers,
            reply,
            direct,
            relayed,
            workers,
        };
        for (n, caller) in fleet.callers().into_iter().enumerate() {
            wait_until("the box serves", || {
                caller.call("once_only", &format!("first-{n}")).status == 200
            });
        }
        fleet
    }

    /// Returns a caller of the box with a path to the servers, and one of the other.
    fn callers(&self) -> [Caller; 2] {
        [&self.direct, &self.relayed].map(Caller::of)
    }

    /// Sends a once-only request directly and one through a relay while the servers
    /// handle requests so, and returns the outcomes.
    fn outcomes(&self, name: &str, reply: Reply) -> [Outcome; 2] {
        self.outcomes_with_body(name, reply, NO_BODY)
    }

    /// Does the same for a request with this body.
    fn outcomes_with_body(&self, name: &str, reply: Reply, body: &str) -> [Outcome; 2] {
        let mut of_relay = false;
        self.callers().map(|caller| {
            let id = format!("{name}-{of_relay}");
            of_relay = true;
            // Leaves a connection behind that the next request is sent on.
            let before = caller.call("once_only", &format!("{id}-before"));
            assert_eq!(before.status, 200, "{id}");
            *self.reply.lock().unwrap() = reply;
            let (status, result) = call_and_discard(caller.address(), &id, body);
            *self.reply.lock().unwrap() = Reply::Complete;
            let ran = self.servers.iter().flat_map(BackendServer::executed_ids);
            let ran = ran.filter(|ran| *ran == id).count();
            Outcome {
                status,
                result,
                ran,
            }
        })
    }

    fn assert_promised(&self, name: &str, shape: ResponseShape) {
        for outcome in self.outcomes(name, Reply::Shaped(shape)) {
            let is_promise = outcome.status == 503 && outcome.result.is_some();
            assert!(is_promise && outcome.ran == 0, "{name}: {outcome:?}");
        }
    }

    fn assert_not_promised(&self, name: &str, shape: ResponseShape) {
        for outcome in self.outcomes(name, Reply::Shaped(shape)) {
            let is_in_doubt = matches!(outcome.status, 502 | 504);
            assert!(is_in_doubt && outcome.ran <= 1, "{name}: {outcome:?}");
        }
    }

    fn close(self) {
        smol::block_on(self.relayed.close());
        smol::block_on(self.direct.close());
        self.workers.close();
    }
}

/// Sends a once-only request, discards the body of its response, and returns the status
/// and the box's own result number.
fn call_and_discard(to: SocketAddr, id: &str, body: &str) -> (u16, Option<String>) {
    let mut stream = TcpStream::connect(to).unwrap();
    let request = format!(
        "POST /once_only/a HTTP/1.1\r\nhost: site.example\r\nconnection: close\r\n\
         x-wingspur-request-id: {id}\r\n{body}"
    );
    stream.write_all(request.as_bytes()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut reader = BufReader::new(stream);
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(length) if length > 2 => lines.push(line),
            _ => break,
        }
    }
    let until = Instant::now() + Duration::from_secs(3);
    let mut block = vec![0; 64 << 10];
    while Instant::now() < until && reader.read(&mut block).is_ok_and(|read| read > 0) {}
    let status = lines.first().and_then(|line| line.split(' ').nth(1));
    let result = lines
        .iter()
        .find_map(|line| line.strip_prefix("wingspur-result: "));
    (
        status.map_or(0, |status| status.parse().unwrap()),
        result.map(|result| result.trim().to_owned()),
    )
}

/// Returns the timing of a refusal that arrives after a delay, of a request that was sent
/// at once to a server with this time.
fn timing(given: Duration, delay: Duration) -> RefusalTiming {
    let sent = Instant::now();
    RefusalTiming {
        deadline: ServerDeadline::new(sent, given),
        request_sent_at: Some(sent),
        arrival: ResponseArrival {
            at: sent + delay,
            round_trip: ROUND_TRIP,
        },
        max_prompt_delay: MAX_PROMPT_DELAY,
    }
}

/// Judges a head with these ids, received at once in response to a request whose server
/// has ample time.
fn evidence(
    status: u16,
    is_marked: bool,
    echoed: &[&'static str],
    id: Option<&HeaderValue>,
    is_first: bool,
) -> RunEvidence {
    let timing = timing(Duration::from_millis(AMPLE_TIMEOUT_MS), Duration::ZERO);
    let request = SentRequest {
        id,
        is_first,
        is_repeated: false,
    };
    evidence_with(timing, status, is_marked, echoed, request)
}

/// Judges a marked refusal with this timing.
fn timed_evidence(timing: RefusalTiming, status: u16) -> RunEvidence {
    let id = HeaderValue::from_static("own");
    let request = SentRequest {
        id: Some(&id),
        is_first: true,
        is_repeated: false,
    };
    evidence_with(timing, status, true, &["own"], request)
}

/// Judges a head with these ids, received in response to a request with this timing.
fn evidence_with(
    timing: RefusalTiming,
    status: u16,
    is_marked: bool,
    echoed: &[&'static str],
    request: SentRequest<'_>,
) -> RunEvidence {
    let names = header_names();
    let mut headers = HeaderMap::new();
    for id in echoed {
        headers.append(names.request_id, HeaderValue::from_static(id));
    }
    if is_marked {
        let mark = names.not_executed.expect("the platform has a mark");
        headers.insert(mark, HeaderValue::from_static("1"));
    }
    let head = ResponseHead {
        status: StatusCode::from_u16(status).unwrap(),
        headers,
        body_bytes: None,
    };
    head.run_evidence(&names, request, timing)
}

/// How long a server may take to refuse on arrival, besides the round trip.
const MAX_PROMPT_DELAY: Duration = Duration::from_millis(10);
const ROUND_TRIP: Duration = Duration::from_millis(3);
/// A request that its server never answers ends soon.
const SHORT_TIMEOUT_MS: u64 = 1_000;
/// More than any pause of the machine: a refusal that counts only once its body has ended
/// is told as 504.
const AMPLE_TIMEOUT_MS: u64 = 60_000;
const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::UntilClose];
/// The last lines of a head, and the body after it.
const NO_BODY: &str = "content-length: 0\r\n\r\n";
/// Boxes keep a short body of unknown length.
const CHUNKED_BODY: &str = "transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
/// More than a box keeps of a request body.
const STREAMED_BYTES: usize = 100_000;
/// More than a box buffers of a response.
const LONG_BYTES: usize = 2 << 20;

/// Returns the last line of a head, and a body that boxes pass on as it arrives.
fn streamed_body() -> String {
    let bytes = "a".repeat(STREAMED_BYTES);
    format!(
        "transfer-encoding: chunked\r\n\r\n{STREAMED_BYTES:x}\r\n{bytes}\r\n0\r\n\r\n"
    )
}

/// Bodies that arrive, that end early, that fall silent and that never end.
const BODIES: [Body; 7] = [
    Body::Whole(0),
    Body::Whole(LONG_BYTES),
    Body::CutAfter(100),
    Body::CutAfter(LONG_BYTES),
    Body::SilentAfter(100),
    Body::SilentAfter(LONG_BYTES),
    Body::Endless,
];

#[test]
fn unmarked_refusal_of_any_length_is_no_promise() {
    let fleet = Fleet::start(SHORT_TIMEOUT_MS);
    for framing in FRAMINGS {
        for body in BODIES {
            let shape = ResponseShape {
                framing,
                body,
                ..ResponseShape::new(503, false)
            };
            fleet.assert_not_promised(&format!("{framing:?}-{body:?}"), shape);
        }
    }
    for status in [408, 429] {
        for body in [Body::Whole(8), Body::Whole(LONG_BYTES)] {
            let shape = ResponseShape {
                body,
                ..ResponseShape::new(status, false)
            };
            fleet.assert_not_promised(&format!("{status}-{body:?}"), shape);
        }
    }
    fleet.close();
}

/// The timer of the server refuses what one of its workers starts in the same moment.
#[test]
fn refusal_at_the_deadline_is_no_promise() {
    assert_run_once_and_told(&[504], SHORT_TIMEOUT_MS, Reply::RefusedAtDeadline);
}

/// The server sheds from its queue what one of its workers starts in the same moment.
#[test]
fn refusal_after_a_wait_is_no_promise() {
    let wait = Duration::from_millis(300);
    assert_run_once_and_told(&[502], AMPLE_TIMEOUT_MS, Reply::RefusedAfter(wait));
}

/// The deadline passes earlier by the server's count than by the box's.
#[test]
fn refusal_ahead_of_the_deadline_is_no_promise() {
    let wait = Duration::from_millis(SHORT_TIMEOUT_MS - 100);
    // The machine may stand still until the deadline.
    assert_run_once_and_told(&[502, 504], SHORT_TIMEOUT_MS, Reply::RefusedAfter(wait));
}

/// Checks what callers are told of requests that run once although they are refused, with
/// bodies of every kind, directly and through a relay.
fn assert_run_once_and_told(statuses: &[u16], timeout_ms: u64, reply: Reply) {
    let fleet = Fleet::start_with(timeout_ms, |settings| Settings {
        max_prompt_delay_ms: 50,
        ..settings
    });
    let streamed = streamed_body();
    let bodies = [
        ("empty", NO_BODY),
        ("chunked", CHUNKED_BODY),
        ("streamed", &streamed),
    ];
    for (name, body) in bodies {
        for outcome in fleet.outcomes_with_body(name, reply, body) {
            let is_right = statuses.contains(&outcome.status) && outcome.ran == 1;
            assert!(is_right, "{name}: {outcome:?}");
        }
    }
    fleet.close();
}

#[test]
fn marked_refusal_is_a_promise_however_its_body_ends() {
    let fleet = Fleet::start(AMPLE_TIMEOUT_MS);
    for framing in FRAMINGS {
        for body in BODIES {
            let shape = ResponseShape {
                framing,
                body,
                ..ResponseShape::new(503, true)
            };
            fleet.assert_promised(&format!("{framing:?}-{body:?}"), shape);
        }
    }
    fleet.close();
}

#[test]
fn marked_refusal_is_a_promise_with_any_error_status() {
    let fleet = Fleet::start(AMPLE_TIMEOUT_MS);
    for status in [400, 408, 429, 500, 503, 504] {
        for body in [Body::Whole(8), Body::Whole(LONG_BYTES)] {
            let shape = ResponseShape {
                body,
                ..ResponseShape::new(status, true)
            };
            fleet.assert_promised(&format!("{status}-{body:?}"), shape);
        }
    }
    fleet.close();
}

#[test]
fn refusal_that_arrives_byte_by_byte_is_judged_as_if_whole() {
    let fleet = Fleet::start(AMPLE_TIMEOUT_MS);
    let split = |is_marked| ResponseShape {
        is_split: true,
        ..ResponseShape::new(503, is_marked)
    };
    fleet.assert_promised("marked", split(true));
    fleet.assert_not_promised("unmarked", split(false));
    fleet.close();
}

#[test]
fn refusal_that_does_not_name_the_request_is_no_promise() {
    let fleet = Fleet::start(SHORT_TIMEOUT_MS);
    for id in [EchoedId::Missing, EchoedId::Other] {
        for body in [Body::Whole(0), Body::Whole(LONG_BYTES)] {
            let shape = ResponseShape {
                id,
                body,
                runs: true,
                ..ResponseShape::new(503, true)
            };
            fleet.assert_not_promised(&format!("{id:?}-{body:?}"), shape);
        }
    }
    fleet.close();
}

#[test]
fn refusal_with_two_ids_is_no_promise() {
    let id = HeaderValue::from_static("own");
    let judge =
        |status, is_marked, echoed| evidence(status, is_marked, echoed, Some(&id), true);
    let unnamed = RunEvidence::Unproven(UnprovenReason::Unnamed);
    for (echoed, expected) in [
        (&["own"][..], RunEvidence::NotRun),
        (&["own", "own"], RunEvidence::NotRun),
        (&["own", "other"], unnamed),
        (&["other", "own"], unnamed),
        (&["other"], unnamed),
        (&[""], unnamed),
        (&[], unnamed),
    ] {
        assert_eq!(judge(503, true, echoed), expected, "{echoed:?}");
        assert_eq!(judge(421, false, echoed), expected, "{echoed:?}");
    }
}

#[test]
fn refusal_of_a_request_without_an_id_counts_on_a_new_connection() {
    let judge = |status, is_marked, echoed, is_first| {
        evidence(status, is_marked, echoed, None, is_first)
    };
    let unnamed = RunEvidence::Unproven(UnprovenReason::Unnamed);
    assert_eq!(judge(400, true, &[], true), RunEvidence::NotRun);
    assert_eq!(judge(400, true, &[], false), unnamed);
    assert_eq!(judge(400, true, &["other"], true), unnamed);
    let unmarked = RunEvidence::Unproven(UnprovenReason::Unmarked);
    assert_eq!(judge(503, false, &[], true), unmarked);
    assert_eq!(judge(400, false, &[], true), RunEvidence::Ordinary);
}

#[test]
fn refusal_counts_only_before_the_deadline_that_its_server_was_given() {
    let given = Duration::from_micros(100_900);
    let judge = |ms, status| {
        let patient = RefusalTiming {
            max_prompt_delay: Duration::from_secs(60),
            ..timing(given, Duration::from_millis(ms))
        };
        timed_evidence(patient, status)
    };
    let at_deadline = RunEvidence::Unproven(UnprovenReason::AtDeadline);
    for status in [408, 429, 500, 503] {
        for ms in [0, 50, 90] {
            assert_eq!(judge(ms, status), RunEvidence::NotRun, "{status} {ms}");
        }
        // The clock of the server may be 10 ms ahead, and the response takes a while.
        for ms in [91, 100, 101, 500] {
            assert_eq!(judge(ms, status), at_deadline, "{status} {ms}");
        }
    }
}

#[test]
fn refusal_counts_only_if_it_comes_as_the_request_arrives() {
    let given = Duration::from_millis(AMPLE_TIMEOUT_MS);
    let judge = |ms, status| {
        let delay = Duration::from_millis(ms);
        timed_evidence(timing(given, delay), status)
    };
    let delayed = RunEvidence::Unproven(UnprovenReason::Delayed);
    for status in [408, 429, 500, 503] {
        for ms in [0, 3, 13] {
            assert_eq!(judge(ms, status), RunEvidence::NotRun, "{status} {ms}");
        }
        for ms in [14, 100, 30_000] {
            assert_eq!(judge(ms, status), delayed, "{status} {ms}");
        }
    }
    // These are about the request itself, and are found in its head.
    for status in [400, 413, 421] {
        let late_ms = 2 * AMPLE_TIMEOUT_MS;
        assert_eq!(judge(late_ms, status), RunEvidence::NotRun, "{status}");
    }
}

/// The caller, not the server, lets the rest of a body wait.
#[test]
fn refusal_of_a_slow_body_counts_after_its_head_or_its_end() {
    let given = Duration::from_millis(AMPLE_TIMEOUT_MS);
    let ms = Duration::from_millis;
    let judge = |refused_ms, sent_ms: Option<u64>| {
        let timing = timing(given, ms(refused_ms));
        let sent = timing.deadline.sent_at();
        let request_sent_at = sent_ms.map(|sent_ms| sent + ms(sent_ms));
        let timing = RefusalTiming {
            request_sent_at,
            ..timing
        };
        timed_evidence(timing, 503)
    };
    let delayed = RunEvidence::Unproven(UnprovenReason::Delayed);
    assert_eq!(judge(5, None), RunEvidence::NotRun, "by its head");
    assert_eq!(judge(2_000, None), delayed, "before its end");
    assert_eq!(judge(2_005, Some(2_000)), RunEvidence::NotRun, "whole");
    assert_eq!(judge(2_100, Some(2_000)), delayed, "after a wait");
}

#[test]
fn surplus_refusal_before_the_response_does_not_make_the_request_run_twice() {
    let fleet = Fleet::start(SHORT_TIMEOUT_MS);
    let after = |id| ResponseShape {
        preamble: Preamble::SurplusRefusal(id),
        ..ResponseShape::new(200, false)
    };
    fleet.assert_not_promised("unnamed", after(EchoedId::Missing));
    for outcome in fleet.outcomes("named", Reply::Shaped(after(EchoedId::Other))) {
        assert_eq!((outcome.status, outcome.ran), (200, 1));
    }
    fleet.close();
}

#[test]
fn mark_in_an_interim_response_is_no_refusal() {
    let fleet = Fleet::start(SHORT_TIMEOUT_MS);
    let shape = ResponseShape {
        preamble: Preamble::MarkedInterim,
        ..ResponseShape::new(200, false)
    };
    for outcome in fleet.outcomes("interim", Reply::Shaped(shape)) {
        assert_eq!((outcome.status, outcome.ran), (200, 1));
    }
    fleet.close();
}

#[test]
fn mark_in_a_successful_response_is_no_promise() {
    let fleet = Fleet::start(SHORT_TIMEOUT_MS);
    for body in [Body::Whole(8), Body::Whole(LONG_BYTES)] {
        let shape = ResponseShape {
            body,
            runs: true,
            ..ResponseShape::new(200, true)
        };
        fleet.assert_not_promised(&format!("{body:?}"), shape);
    }
    fleet.close();
}

#[test]
fn long_misdirected_response_is_a_promise() {
    let fleet = Fleet::start(SHORT_TIMEOUT_MS);
    let shape = ResponseShape {
        runs: false,
        body: Body::Whole(LONG_BYTES),
        ..ResponseShape::new(421, false)
    };
    // The servers count as replaced afterwards, so that one request shows it.
    let caller = Caller::of(&fleet.direct);
    *fleet.reply.lock().unwrap() = Reply::Shaped(shape);
    let (status, result) = call_and_discard(caller.address(), "misdirected", NO_BODY);
    assert_eq!(status, 503, "{result:?}");
    assert!(result.is_some());
    fleet.close();
}
