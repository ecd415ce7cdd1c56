//! The requests that a box has taken and not finished, for whoever asks why it waits.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use wingspur_state::RequestFingerprint;

use crate::locks::{LockRank, RankedMutex};

/// All requests that were taken and are not over.
#[derive(Debug)]
pub struct InFlightRequests {
    rows: RankedMutex<BTreeMap<u64, InFlightRequest>>,
    next: AtomicU64,
}

/// One request's place among them, until the last holder lets go of it.
#[derive(Debug)]
pub struct InFlightGuard {
    requests: Arc<InFlightRequests>,
    number: u64,
    was_sent: AtomicBool,
}

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStage {
    /// Its body is still coming, or no server has been picked yet.
    Taken,
    /// A server has it, or had it last.
    Sent,
    /// The beginning of the answer has been passed on.
    Answering,
}

/// What is told of a request.
#[derive(Debug, Clone)]
pub struct InFlightRequest {
    /// The caller's id for it; empty where there is none.
    pub id: String,
    /// Its route; empty before one was found.
    pub route: String,
    /// The server that was sent it last; empty before that.
    pub server: String,
    /// What tells it from other requests, once it was sent.
    pub fingerprint: Option<RequestFingerprint>,
    /// How far it has come.
    pub stage: RequestStage,
    /// When its head came.
    pub began: Instant,
}

impl InFlightRequests {
    /// No request yet.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            rows: RankedMutex::new(LockRank::RequestsOut, BTreeMap::new()),
            next: AtomicU64::new(0),
        })
    }

    /// Notes a request whose head has come.
    pub fn register(self: &Arc<Self>, id: &str, began: Instant) -> Arc<InFlightGuard> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let row = InFlightRequest {
            id: id.to_owned(),
            route: String::new(),
            server: String::new(),
            fingerprint: None,
            stage: RequestStage::Taken,
            began,
        };
        self.rows.lock().insert(number, row);
        Arc::new(InFlightGuard {
            requests: self.clone(),
            number,
            was_sent: AtomicBool::new(false),
        })
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.rows.lock().len()
    }

    /// The oldest few, oldest first.
    pub fn oldest(&self, most: usize) -> Vec<InFlightRequest> {
        self.rows.lock().values().take(most).cloned().collect()
    }

    /// The requests that were sent to a server last, and are not over.
    pub fn sent_to(&self, server: &str) -> Vec<RequestFingerprint> {
        let rows = self.rows.lock();
        let there = rows
            .values()
            .filter(|row| row.server == server && row.stage != RequestStage::Taken);
        there.filter_map(|row| row.fingerprint).collect()
    }

    /// The oldest few as one field of a log line.
    pub fn oldest_text(&self, now: Instant) -> String {
        let mut text = String::new();
        for row in self.oldest(MOST_IN_A_LINE) {
            let age_ms = now.saturating_duration_since(row.began).as_millis();
            let InFlightRequest {
                id,
                route,
                server,
                stage,
                ..
            } = row;
            // Writing to a string does not fail.
            let _ = write!(text, "{id} {route} {server} {stage:?} {age_ms} ms; ");
        }
        text
    }
}

impl InFlightGuard {
    /// Notes the route.
    pub fn routed(&self, route: &str) {
        self.change(|row| row.route = route.to_owned());
    }

    /// Notes that a server is sent the request.
    pub fn sent(&self, server: &str, fingerprint: RequestFingerprint) {
        self.was_sent.store(true, Ordering::Release);
        self.change(|row| {
            row.stage = RequestStage::Sent;
            row.fingerprint = Some(fingerprint);
            row.server = server.to_owned();
        });
    }

    /// Notes that the answer is being passed on while it comes.
    pub fn answering(&self) {
        self.change(|row| row.stage = RequestStage::Answering);
    }

    /// Whether any server was sent the request, so that it may have run.
    pub fn was_sent(&self) -> bool {
        self.was_sent.load(Ordering::Acquire)
    }

    /// The server that was sent it last; empty before that.
    pub fn server(&self) -> String {
        let rows = self.requests.rows.lock();
        let row = rows.get(&self.number);
        row.map_or(String::new(), |row| row.server.clone())
    }

    fn change(&self, change: impl FnOnce(&mut InFlightRequest)) {
        if let Some(row) = self.requests.rows.lock().get_mut(&self.number) {
            change(row);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.requests.rows.lock().remove(&self.number);
    }
}

/// A line names this many: the boxes of a played day had two at the most when they ended.
const MOST_IN_A_LINE: usize = 4;
