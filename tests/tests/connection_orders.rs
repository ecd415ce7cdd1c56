//! Walks through every order of sendings, responses and copies of refusals on connections
//! to one address, and compares what the box believes with what the server has done.

use std::collections::{HashSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};
use wingspur_platform::header_names;
use wingspur_protocol::{HeaderNames, RESULT_HEADER, ResultCode};
use wingspur_state::{AttemptEnd, AttemptLedger, AttemptTarget};
use wingspur_transport::{
    Attribution, ConnectionHistory, RefusalTiming, ResponseArrival, ResponseHead,
    RunEvidence, SentRequest, ServerDeadline,
};

const IDS: [&str; 2] = ["a", "b"];
const MAX_SENDINGS: usize = 3;
const MAX_COPIES: usize = 1;
/// A header that has the same value in every response.
const CONSTANT_HEADER: &str = "x-constant";
const CONSTANT: &str = "constant";

/// An error that the box makes on purpose, to show that the walk finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// A connection is used whatever failed on it, and copies are taken for responses.
    BelievesCopies,
    /// What failed is forgotten when the connection is released.
    ForgetsAtRelease,
    /// Requests and responses are matched by another header than the id.
    ComparesAnotherHeader,
    /// Only the latest request that failed is remembered.
    RemembersLastId,
    /// A relay's connections and responses are not subject to the rule.
    RelayWithoutRule,
    /// A connection is used whatever failed on it.
    UsesAnyConnection,
    /// Copies are taken for responses on the connections that are chosen correctly.
    TrustsItsChoice,
}

const FALSE_PROMISE: &str = "a promise for a request that ran";
const WITHHELD: &str = "a true promise was withheld";

/// Whom the connections lead to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Hop {
    Server,
    Relay,
}

/// A sending of a request on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sending {
    /// The request's index in `IDS`.
    id: usize,
    /// Its number in the ledger of the request.
    attempt: usize,
    /// Whether the connection was first used, and whether the request had failed on it
    /// before, by what the box remembered when it sent the request.
    is_first: bool,
    is_repeated: bool,
    has_run: bool,
    has_response: bool,
    /// Whether the box has read the refusal that answers this sending.
    refusal_read: bool,
}

/// A response that is in transit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Response {
    id: usize,
    /// The sending that it answers; `None` for a copy.
    answers: Option<usize>,
    is_refusal: bool,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Connection {
    /// Whether a response to another request was read since the last sending.
    has_skipped: bool,
    /// The sending that waits for its response.
    current: Option<usize>,
    /// The responses that were read: the request that waited for each, and its status.
    received: Vec<(usize, u16)>,
    sent: usize,
    /// The ids that the server has refused here, of which it may send copies.
    refused: Vec<usize>,
    in_transit: VecDeque<Response>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Send(usize),
    ServerRuns(usize),
    ServerSucceeds(usize),
    ServerRefuses(usize),
    /// The server sends a copy of its refusal of an id.
    ServerCopies(usize, usize),
    Read(usize),
    /// The connection is lost while a sending waits for its response.
    Lost(usize),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    ledgers: [AttemptLedger; IDS.len()],
    sendings: Vec<Sending>,
    /// In the order of their last use.
    connections: Vec<Connection>,
    copies: usize,
}

impl Connection {
    fn is_idle(&self) -> bool {
        self.current.is_none()
    }

    /// Returns what the box remembers of the connection.
    fn history(&self, mutant: Mutant) -> ConnectionHistory {
        let remembered = match mutant {
            Mutant::ForgetsAtRelease => &[],
            Mutant::RemembersLastId => {
                let errors = self.received.iter().rposition(|(_, status)| *status >= 400);
                &self.received[errors.unwrap_or(0)..]
            }
            _ => &self.received[..],
        };
        let mut history = ConnectionHistory::default();
        for _ in 0..self.sent {
            history.record_sent();
        }
        for (id, status) in remembered {
            history.record_response(status_code(*status), Some(&id_value(*id)));
        }
        history
    }
}

impl World {
    fn new() -> Self {
        Self {
            ledgers: Default::default(),
            sendings: Vec::new(),
            connections: Vec::new(),
            copies: 0,
        }
    }

    /// Returns the events that may come next.
    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        // The ids are alike, so the first sending is of the first one.
        let ids = if self.sendings.is_empty() {
            1
        } else {
            IDS.len()
        };
        if self.sendings.len() < MAX_SENDINGS {
            events.extend((0..ids).map(Event::Send));
        }
        for (n, connection) in self.connections.iter().enumerate() {
            events.extend(self.server_events(n, connection));
            if connection.current.is_some() {
                events.push(Event::Lost(n));
                events.extend(connection.in_transit.front().map(|_| Event::Read(n)));
            }
        }
        events
    }

    /// Returns what the server may do next on a connection.
    fn server_events(&self, n: usize, connection: &Connection) -> Vec<Event> {
        let mut events = Vec::new();
        if let Some(current) = connection.current {
            let sending = &self.sendings[current];
            match (sending.has_run, sending.has_response) {
                (false, false) => {
                    events.extend([Event::ServerRuns(n), Event::ServerRefuses(n)]);
                }
                (true, false) => events.push(Event::ServerSucceeds(n)),
                _ => {}
            }
        }
        if self.copies < MAX_COPIES {
            let refused = connection.refused.iter();
            events.extend(refused.map(|id| Event::ServerCopies(n, *id)));
        }
        events
    }

    /// Lets an event happen. Returns the error that the caller sees, if it shows one.
    fn apply(&mut self, event: Event, hop: Hop, mutant: Mutant) -> Option<&'static str> {
        match event {
            Event::Send(id) => self.send(id, hop, mutant),
            Event::ServerRuns(n) => self.current(n).has_run = true,
            Event::ServerSucceeds(n) => self.respond(n, false),
            Event::ServerRefuses(n) => {
                let id = self.current(n).id;
                self.respond(n, true);
                let refused = &mut self.connections[n].refused;
                if !refused.contains(&id) {
                    refused.push(id);
                }
            }
            Event::ServerCopies(n, id) => {
                self.copies += 1;
                let copy = Response {
                    id,
                    answers: None,
                    is_refusal: true,
                };
                self.connections[n].in_transit.push_back(copy);
            }
            Event::Read(n) => self.read(n, hop, mutant),
            Event::Lost(n) => self.close(n, AttemptEnd::InDoubt),
        }
        (0..IDS.len()).find_map(|id| self.error_of(id))
    }

    /// Sends a request on the connection that was used last of those that may be used.
    /// Data that is in transit to the box has not arrived when it looks for any.
    fn send(&mut self, id: usize, hop: Hop, mutant: Mutant) {
        let target = match hop {
            Hop::Server => AttemptTarget::Server(self.sendings.len() as u64),
            Hop::Relay => AttemptTarget::Relay,
        };
        let ledger = &mut self.ledgers[id];
        let attempt = ledger.begin(target);
        if !ledger.start_sending(attempt) {
            ledger.end(attempt, AttemptEnd::NotSent);
            return;
        }
        let is_allowed = |connection: &Connection| {
            let history = connection.history(mutant);
            let ignores_failures =
                ignores_rule(hop, mutant) || mutant == Mutant::UsesAnyConnection;
            connection.is_idle()
                && (ignores_failures || !history.has_failed(Some(&id_value(id))))
        };
        let mut connection = match self.connections.iter().rposition(is_allowed) {
            Some(n) => self.connections.remove(n),
            None => Connection::default(),
        };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let history = connection.history(mutant);
        let usage = history.usage(address, 1, Some(&id_value(id)));
        connection.current = Some(self.sendings.len());
        connection.sent += 1;
        self.connections.push(connection);
        self.sendings.push(Sending {
            id,
            attempt,
            is_first: usage.is_first(),
            is_repeated: usage.is_repeated,
            has_run: false,
            has_response: false,
            refusal_read: false,
        });
    }

    fn respond(&mut self, n: usize, is_refusal: bool) {
        let sending = self.current(n);
        sending.has_response = true;
        let id = sending.id;
        let connection = &mut self.connections[n];
        connection.in_transit.push_back(Response {
            id,
            answers: connection.current,
            is_refusal,
        });
    }

    /// Reads the next response on a connection and judges it by the rules of the box.
    fn read(&mut self, n: usize, hop: Hop, mutant: Mutant) {
        let connection = &mut self.connections[n];
        let (Some(response), Some(current)) =
            (connection.in_transit.pop_front(), connection.current)
        else {
            return;
        };
        let sending = &self.sendings[current];
        let id = sending.id;
        let value = match mutant {
            Mutant::ComparesAnotherHeader => HeaderValue::from_static(CONSTANT),
            _ => id_value(id),
        };
        let trusts = ignores_rule(hop, mutant) || mutant == Mutant::TrustsItsChoice;
        let request = SentRequest {
            id: Some(&value),
            is_first: sending.is_first && !connection.has_skipped,
            is_repeated: sending.is_repeated && !trusts,
        };
        let head = response.head(hop);
        let names = names(mutant);
        connection.received.push((id, head.status.as_u16()));
        if head.attribution(&names, request) == Attribution::Other {
            connection.has_skipped = true;
            if hop == Hop::Relay {
                self.close(n, AttemptEnd::InDoubt);
            }
            return;
        }
        self.sendings[current].refusal_read |=
            response.is_refusal && response.answers == Some(current);
        let evidence = match hop {
            Hop::Server => head.run_evidence(&names, request, prompt_timing()),
            Hop::Relay => head.relayed_run_evidence(&names, request),
        };
        let end = match evidence {
            RunEvidence::Ordinary => AttemptEnd::Answered,
            RunEvidence::NotRun => AttemptEnd::RefusedBeforeRunning,
            RunEvidence::Unproven(_) => AttemptEnd::InDoubt,
        };
        if connection.has_skipped || end == AttemptEnd::InDoubt {
            self.close(n, end);
        } else {
            self.end_attempt(n, end);
        }
    }

    /// Returns the error that the caller of a request sees if the box wants to tell it now
    /// that the request did not run.
    fn error_of(&self, id: usize) -> Option<&'static str> {
        let is_proved = self.ledgers[id].clone().refuse();
        let mut sendings = self.sendings.iter().filter(|sending| sending.id == id);
        if is_proved {
            let has_run = sendings.any(|sending| sending.has_run);
            return has_run.then_some(FALSE_PROMISE);
        }
        let is_known = sendings.all(|sending| sending.refusal_read);
        is_known.then_some(WITHHELD)
    }

    fn close(&mut self, n: usize, end: AttemptEnd) {
        self.end_attempt(n, end);
        self.connections.remove(n);
    }

    fn end_attempt(&mut self, n: usize, end: AttemptEnd) {
        if let Some(current) = self.connections[n].current.take() {
            let sending = &self.sendings[current];
            self.ledgers[sending.id].end(sending.attempt, end);
        }
    }

    fn current(&mut self, n: usize) -> &mut Sending {
        let current = self.connections[n].current;
        &mut self.sendings[current.expect("a sending waits for its response")]
    }
}

impl Response {
    fn head(self, hop: Hop) -> ResponseHead {
        let mut headers = HeaderMap::new();
        headers.insert(header_names().request_id, id_value(self.id));
        headers.insert(CONSTANT_HEADER, HeaderValue::from_static(CONSTANT));
        if self.is_refusal {
            let mark = header_names().not_executed.expect("servers mark refusals");
            headers.insert(mark, HeaderValue::from_static("1"));
            if hop == Hop::Relay {
                headers.insert(RESULT_HEADER, ResultCode::NotSent.number().into());
            }
        }
        ResponseHead {
            status: status_code(if self.is_refusal { 503 } else { 200 }),
            headers,
            body_bytes: Some(0),
        }
    }
}

fn ignores_rule(hop: Hop, mutant: Mutant) -> bool {
    mutant == Mutant::BelievesCopies
        || mutant == Mutant::RelayWithoutRule && hop == Hop::Relay
}

fn names(mutant: Mutant) -> HeaderNames {
    let mut names = header_names();
    if mutant == Mutant::ComparesAnotherHeader {
        names.request_id = CONSTANT_HEADER;
    }
    names
}

fn id_value(id: usize) -> HeaderValue {
    HeaderValue::from_static(IDS[id])
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).expect("the status is in range")
}

/// Returns the timing of a refusal that comes as the request arrives.
fn prompt_timing() -> RefusalTiming {
    let sent = Instant::now();
    RefusalTiming {
        deadline: ServerDeadline::new(sent, Duration::from_secs(1)),
        request_sent_at: Some(sent),
        arrival: ResponseArrival {
            at: sent + Duration::from_millis(1),
            round_trip: Duration::ZERO,
        },
        max_prompt_delay: Duration::from_millis(10),
    }
}

/// Walks through all states that can be reached; returns the first error among `errors`
/// and the events that lead to it, and the number of states.
fn walk(
    hop: Hop,
    mutant: Mutant,
    errors: &[&str],
) -> (Option<(&'static str, Vec<Event>)>, usize) {
    let mut seen = HashSet::new();
    let mut open = vec![(World::new(), Vec::new())];
    while let Some((world, path)) = open.pop() {
        for event in world.events() {
            let mut next = world.clone();
            let error = next.apply(event, hop, mutant);
            let mut path = path.clone();
            path.push(event);
            if let Some(error) = error.filter(|error| errors.contains(error)) {
                return (Some((error, path)), seen.len());
            }
            if seen.insert(next.clone()) {
                open.push((next, path));
            }
        }
    }
    (None, seen.len())
}

#[test]
fn no_order_of_copies_gives_a_false_promise_or_withholds_a_true_one() {
    for hop in [Hop::Server, Hop::Relay] {
        let (error, states) = walk(hop, Mutant::None, &[FALSE_PROMISE, WITHHELD]);
        assert_eq!(error, None, "{hop:?}");
        assert!(states > 10_000, "only {states} states were reached");
    }
}

#[test]
fn each_mutant_is_found() {
    let everywhere = [
        Mutant::BelievesCopies,
        Mutant::ForgetsAtRelease,
        Mutant::ComparesAnotherHeader,
        Mutant::RemembersLastId,
    ];
    let on = |hop| everywhere.map(|mutant| (hop, mutant));
    let mutants = on(Hop::Server).into_iter().chain(on(Hop::Relay));
    for (hop, mutant) in mutants.chain([(Hop::Relay, Mutant::RelayWithoutRule)]) {
        let (error, _) = walk(hop, mutant, &[FALSE_PROMISE]);
        assert!(error.is_some(), "{mutant:?} {hop:?}");
    }
}

#[test]
fn each_of_the_two_locks_alone_prevents_false_promises() {
    for hop in [Hop::Server, Hop::Relay] {
        for mutant in [Mutant::UsesAnyConnection, Mutant::TrustsItsChoice] {
            let (error, _) = walk(hop, mutant, &[FALSE_PROMISE]);
            assert_eq!(error, None, "{mutant:?} {hop:?}");
        }
    }
}

#[test]
fn a_connection_on_which_the_request_failed_costs_true_promises() {
    for hop in [Hop::Server, Hop::Relay] {
        let (error, _) = walk(hop, Mutant::UsesAnyConnection, &[WITHHELD]);
        assert!(error.is_some(), "{hop:?}");
    }
}
