//! What a connection has carried, by which a response is told from a copy of another one.

use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering};

use hyper::StatusCode;
use hyper::header::HeaderValue;

/// The requests that one connection has carried.
///
/// A server may send copies of a response until the connection ends. A copy names the
/// request of the original, so it is told apart only as long as the connection does not
/// carry this request again.
#[derive(Debug, Default)]
pub struct ConnectionHistory {
    requests: u64,
    /// The requests that got an error response.
    failed: Vec<RequestHash>,
}

/// A hash of a request's id.
type RequestHash = u64;

/// The connection that a request is sent on, and what it carried before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionUse {
    /// The address that it leads to.
    pub address: SocketAddr,
    /// Its number among the connections of this process, from 1.
    pub number: u64,
    /// How many requests it carried before this one.
    pub earlier_requests: u64,
    /// How many of these got an error response.
    pub earlier_errors: usize,
    /// Whether one of these has the same id, so that a response to this request may be a
    /// copy of an earlier one.
    pub is_repeated: bool,
    /// How many idle connections to the address were closed, because the request has
    /// failed on them before.
    pub avoided: usize,
}

impl ConnectionUse {
    /// Whether no request was sent on the connection before.
    pub fn is_first(&self) -> bool {
        self.earlier_requests == 0
    }
}

impl ConnectionHistory {
    /// Records that a request is sent.
    pub fn record_sent(&mut self) {
        self.requests += 1;
    }

    /// Records the status of the response to a request, which may have an id.
    pub fn record_response(&mut self, status: StatusCode, id: Option<&HeaderValue>) {
        let is_error = status.is_client_error() || status.is_server_error();
        if is_error && !self.has_failed(id) && !self.is_full() {
            self.failed.push(hash_of(id));
        }
    }

    /// Returns what was carried before a request that is to be sent now, and that may have
    /// an id. `number` is the connection's own.
    pub fn usage(
        &self,
        address: SocketAddr,
        number: u64,
        id: Option<&HeaderValue>,
    ) -> ConnectionUse {
        ConnectionUse {
            address,
            number,
            earlier_requests: self.requests,
            earlier_errors: self.failed.len(),
            is_repeated: self.has_failed(id),
            avoided: 0,
        }
    }

    /// Whether no request was sent yet.
    pub fn is_unused(&self) -> bool {
        self.requests == 0
    }

    /// Whether no further request may be sent, because its error could not be kept.
    pub fn is_full(&self) -> bool {
        self.failed.len() >= MAX_FAILED
    }

    /// Whether a request, which may have an id, got an error response, so that copies of it
    /// may still arrive.
    pub fn has_failed(&self, id: Option<&HeaderValue>) -> bool {
        !self.failed.is_empty() && self.failed.contains(&hash_of(id))
    }
}

/// Returns the number of a new connection.
pub fn next_connection_number() -> u64 {
    static LAST: AtomicU64 = AtomicU64::new(0);
    LAST.fetch_add(1, Ordering::Relaxed) + 1
}

/// Callers choose the ids, so the hash is keyed. A collision costs a new connection.
fn hash_of(id: Option<&HeaderValue>) -> RequestHash {
    static KEY: LazyLock<RandomState> = LazyLock::new(RandomState::new);
    KEY.hash_one(id.map(HeaderValue::as_bytes))
}

/// The most requests with an error response that a connection carries, which bounds its
/// memory.
const MAX_FAILED: usize = 32;
