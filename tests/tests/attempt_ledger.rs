//! Walks through every order of the events of up to three attempts, and compares the
//! promise that a request did not run with a model of the servers.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use wingspur_state::{AttemptEnd, AttemptLedger, AttemptTarget};
use wingspur_transport::{
    Attribution, DeclaredRefusals, RefusalTiming, ResponseArrival, RunEvidence,
    ServerDeadline, declared_run_evidence,
};

const MAX_ATTEMPTS: usize = 3;
/// The time that a server is given.
const SERVER_TIMEOUT: Duration = Duration::from_secs(1);

/// An error that the box makes on purpose, to show that the walk finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// The record that an attempt begins to write is forgotten.
    ForgetsSending,
    /// The request is written before it is recorded that it will be.
    WritesBeforeRecording,
    /// The request is written although the promise was given.
    WritesAfterPromise,
    /// An attempt that is dropped is recorded as not sent.
    DropsAsUnsent,
    /// An error after the first byte counts as one before it.
    TakesErrorsAsUnsent,
    /// A refusal of one attempt is recorded for the one before it.
    ConfusesAttempts,
    /// Only the latest attempt decides.
    AsksLatestAttempt,
    /// A refusal that was read is recorded as in doubt.
    WithholdsRefusals,
    /// A failed connection is recorded as in doubt.
    DoubtsFailedConnections,
    /// A refusal at the server's deadline is recorded as a proof.
    BelievesLateRefusals,
    /// A refusal out of the server's queue is recorded as a proof.
    BelievesWaitingServers,
}

const MUTANTS: [Mutant; 11] = [
    Mutant::ForgetsSending,
    Mutant::WritesBeforeRecording,
    Mutant::WritesAfterPromise,
    Mutant::DropsAsUnsent,
    Mutant::TakesErrorsAsUnsent,
    Mutant::ConfusesAttempts,
    Mutant::AsksLatestAttempt,
    Mutant::WithholdsRefusals,
    Mutant::DoubtsFailedConnections,
    Mutant::BelievesLateRefusals,
    Mutant::BelievesWaitingServers,
];

/// What has become of an attempt, as nobody sees it whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Attempt {
    stage: Stage,
    server: Server,
    /// Whether the box has read the server's refusal.
    refusal_read: bool,
    /// Whether any byte of the request has left the box.
    is_written: bool,
}

/// What the box does about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    Connecting,
    /// One of the two steps of sending, recording and writing, is done.
    HalfSent,
    Waiting,
    Over,
}

/// What a server, or the server behind a relay, does with the request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Server {
    /// Whether the request is in its queue, where a worker may take it.
    has_queued: bool,
    has_run: bool,
    response: Option<Response>,
}

/// What a server has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Response {
    /// The outcome of the request.
    Outcome,
    /// A refusal that was decided before the request was in the queue.
    RefusedOnArrival,
    /// A refusal of what is in the queue, with time left.
    RefusedAfterWait,
    /// A refusal of what is in the queue, at the deadline.
    RefusedAtDeadline,
}

impl Response {
    /// Returns how long after the request was sent the response is received.
    fn delay(self) -> Duration {
        match self {
            Self::RefusedOnArrival => Duration::from_millis(1),
            Self::Outcome | Self::RefusedAfterWait => SERVER_TIMEOUT / 2,
            Self::RefusedAtDeadline => SERVER_TIMEOUT,
        }
    }

    /// Returns how an attempt with this response ends by the rules of the box.
    fn attempt_end(self) -> AttemptEnd {
        if self == Self::Outcome {
            return AttemptEnd::Answered;
        }
        let sent = Instant::now();
        let timing = RefusalTiming {
            deadline: ServerDeadline::new(sent, SERVER_TIMEOUT),
            request_sent_at: Some(sent),
            arrival: ResponseArrival {
                at: sent + self.delay(),
                round_trip: Duration::ZERO,
            },
            max_prompt_delay: Duration::from_millis(10),
        };
        let declared = DeclaredRefusals {
            statuses: &[503],
            are_atomic: false,
        };
        let status = StatusCode::SERVICE_UNAVAILABLE;
        match declared_run_evidence(status, declared, Attribution::Own, timing) {
            RunEvidence::NotRun => AttemptEnd::RefusedBeforeRunning,
            _ => AttemptEnd::InDoubt,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Begin(AttemptTarget),
    ConnectionFails(usize),
    FirstStep(usize),
    SecondStep(usize),
    /// The connection fails at the write, which takes no byte.
    WriteTakesNothing(usize),
    ServerQueues(usize),
    /// A worker takes the request, also one that another part of the server refuses.
    ServerRuns(usize),
    ServerResponds(usize, Response),
    ReadResponse(usize),
    /// The connection is lost, or the deadline passes.
    Lost(usize),
    /// The attempt is dropped: the box stops, or its caller leaves.
    Dropped(usize),
    /// The box wants to tell its caller that the request did not run.
    Refuse,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    ledger: AttemptLedger,
    attempts: Vec<Attempt>,
    is_promised: bool,
}

impl World {
    fn new() -> Self {
        Self {
            ledger: AttemptLedger::default(),
            attempts: Vec::new(),
            is_promised: false,
        }
    }

    /// Returns the events that may come next.
    fn events(&self) -> Vec<Event> {
        let mut events = vec![Event::Refuse];
        if self.attempts.len() < MAX_ATTEMPTS {
            let server = AttemptTarget::Server(self.attempts.len() as u64);
            events.extend([server, AttemptTarget::Relay].map(Event::Begin));
        }
        for (n, attempt) in self.attempts.iter().enumerate() {
            if attempt.is_written {
                events.extend(attempt.server.events(n));
            }
            match attempt.stage {
                Stage::Connecting => {
                    let next = [Event::ConnectionFails(n), Event::FirstStep(n)];
                    events.extend(next);
                    events.push(Event::Dropped(n));
                }
                Stage::HalfSent => {
                    events.extend([Event::SecondStep(n), Event::WriteTakesNothing(n)]);
                }
                Stage::Waiting => {
                    events.extend([Event::Lost(n), Event::Dropped(n)]);
                    let response = attempt.server.response;
                    events.extend(response.map(|_| Event::ReadResponse(n)));
                }
                Stage::Over => {}
            }
        }
        events
    }

    /// Lets an event happen. Returns the error that the caller sees, if it shows one.
    fn apply(&mut self, event: Event, mutant: Mutant) -> Option<&'static str> {
        match event {
            Event::Begin(target) => {
                self.ledger.begin(target);
                self.attempts.push(Attempt {
                    stage: Stage::Connecting,
                    server: Server::default(),
                    refusal_read: false,
                    is_written: false,
                });
            }
            Event::ConnectionFails(n) => self.end(
                n,
                match mutant {
                    Mutant::DoubtsFailedConnections => AttemptEnd::InDoubt,
                    _ => AttemptEnd::NotSent,
                },
            ),
            Event::FirstStep(n) => {
                self.attempts[n].stage = Stage::HalfSent;
                match mutant {
                    Mutant::WritesBeforeRecording => self.attempts[n].is_written = true,
                    _ => self.record_sending(n, mutant),
                }
            }
            Event::SecondStep(n) => {
                self.attempts[n].stage = Stage::Waiting;
                match mutant {
                    Mutant::WritesBeforeRecording => self.record_sending(n, mutant),
                    _ => self.attempts[n].is_written = true,
                }
            }
            Event::WriteTakesNothing(n) => {
                self.attempts[n].is_written = false;
                self.end(n, AttemptEnd::NotSent);
            }
            Event::ServerQueues(n) => self.attempts[n].server.has_queued = true,
            Event::ServerRuns(n) => self.attempts[n].server.has_run = true,
            Event::ServerResponds(n, response) => {
                self.attempts[n].server.response = Some(response);
            }
            Event::ReadResponse(n) => {
                let response = self.attempts[n].server.response?;
                self.read(n, response, mutant);
            }
            Event::Lost(n) => self.end(
                n,
                match mutant {
                    Mutant::TakesErrorsAsUnsent => AttemptEnd::NotSent,
                    _ => AttemptEnd::InDoubt,
                },
            ),
            Event::Dropped(n) => {
                self.attempts[n].stage = Stage::Over;
                if mutant == Mutant::DropsAsUnsent {
                    self.ledger.end(n, AttemptEnd::NotSent);
                }
            }
            Event::Refuse => return self.refuse(mutant),
        }
        let has_run = self.attempts.iter().any(|attempt| attempt.server.has_run);
        (self.is_promised && has_run).then_some("a promise for a request that ran")
    }

    fn read(&mut self, n: usize, response: Response, mutant: Mutant) {
        use Response::*;
        let is_true_refusal = response == RefusedOnArrival;
        self.attempts[n].refusal_read |= is_true_refusal;
        let end = match (mutant, response) {
            (Mutant::BelievesLateRefusals, RefusedAtDeadline)
            | (Mutant::BelievesWaitingServers, RefusedAfterWait) => {
                AttemptEnd::RefusedBeforeRunning
            }
            (Mutant::WithholdsRefusals, RefusedOnArrival) => AttemptEnd::InDoubt,
            (_, response) => response.attempt_end(),
        };
        self.end(n, end);
        if mutant == Mutant::ConfusesAttempts && is_true_refusal {
            self.ledger.end(n.saturating_sub(1), end);
        }
    }

    fn record_sending(&mut self, n: usize, mutant: Mutant) {
        if mutant == Mutant::ForgetsSending {
            return;
        }
        if !self.ledger.start_sending(n) && mutant != Mutant::WritesAfterPromise {
            self.end(n, AttemptEnd::NotSent);
        }
    }

    fn end(&mut self, n: usize, end: AttemptEnd) {
        self.attempts[n].stage = Stage::Over;
        self.ledger.end(n, end);
    }

    fn refuse(&mut self, mutant: Mutant) -> Option<&'static str> {
        let is_proved = match mutant {
            Mutant::AsksLatestAttempt => self.attempts.last().is_none_or(is_not_run),
            _ => self.ledger.refuse(),
        };
        self.is_promised |= is_proved;
        let is_true = self.attempts.iter().all(is_not_run);
        (!is_proved && is_true).then_some("a true promise was withheld")
    }
}

impl Server {
    /// Returns what the server may do next with the request of an attempt.
    fn events(self, n: usize) -> Vec<Event> {
        let mut events = Vec::new();
        if self == Self::default() {
            events.push(Event::ServerQueues(n));
            events.push(Event::ServerResponds(n, Response::RefusedOnArrival));
        }
        if !self.has_queued {
            return events;
        }
        if !self.has_run {
            events.push(Event::ServerRuns(n));
        }
        if self.response.is_none() {
            let refusals = [Response::RefusedAfterWait, Response::RefusedAtDeadline];
            let outcome = self.has_run.then_some(Response::Outcome);
            let responses = refusals.into_iter().chain(outcome);
            events.extend(responses.map(|response| Event::ServerResponds(n, response)));
        }
        events
    }
}

/// Whether the box can know that an attempt has not run and will not.
fn is_not_run(attempt: &Attempt) -> bool {
    let may_write = attempt.stage == Stage::HalfSent;
    attempt.refusal_read || !(attempt.is_written || may_write)
}

/// Walks through all states that can be reached; returns the first error and the events
/// that lead to it, and the number of states.
fn walk(mutant: Mutant) -> (Option<(&'static str, Vec<Event>)>, usize) {
    let mut seen = HashSet::new();
    let mut open = vec![(World::new(), Vec::new())];
    while let Some((world, path)) = open.pop() {
        for event in world.events() {
            let mut next = world.clone();
            let mut path = path.clone();
            path.push(event);
            if let Some(error) = next.apply(event, mutant) {
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
fn no_order_of_events_gives_a_false_promise_or_withholds_a_true_one() {
    let (error, states) = walk(Mutant::None);
    assert_eq!(error, None);
    assert!(states > 10_000, "only {states} states were reached");
}

#[test]
fn each_mutant_is_found() {
    for mutant in MUTANTS {
        let (error, _) = walk(mutant);
        assert!(error.is_some(), "{mutant:?}");
    }
}

#[test]
fn a_relay_that_has_refused_has_spent_all_attempts() {
    let mut ledger = AttemptLedger::default();
    let attempt = ledger.begin(AttemptTarget::Relay);
    assert!(ledger.start_sending(attempt));
    ledger.end(attempt, AttemptEnd::RefusedBeforeRunning);
    assert!(ledger.is_relayed() && !ledger.is_unsent());
    assert!(ledger.refuse());
}

#[test]
fn an_attempt_that_was_not_sent_spends_no_server() {
    let mut ledger = AttemptLedger::default();
    for (server, end) in [
        (1, AttemptEnd::NotSent),
        (2, AttemptEnd::RefusedBeforeRunning),
    ] {
        let attempt = ledger.begin(AttemptTarget::Server(server));
        assert!(ledger.start_sending(attempt));
        ledger.end(attempt, end);
    }
    assert_eq!(ledger.servers().collect::<Vec<_>>(), [2]);
    let counts = ledger.counts();
    assert_eq!((counts.unsent, counts.refused, counts.in_doubt), (1, 1, 0));
}
