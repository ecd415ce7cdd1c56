//! The catalog's records of backend servers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, ServerId, ServerKey};

/// One instance of a backend server, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// The id of the server; a restarted server may keep it.
    pub id: ServerId,
    /// The start time of this instance, in milliseconds of the server's own clock:
    /// greater for each later instance with the same id. 0 if the server does not report
    /// it.
    pub born_ms: u64,
    /// The service that it belongs to.
    pub service: String,
    /// The IP address and port; a later instance of another service may have the same.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: DataCentreId,
    /// Requests that it processes at the same time.
    pub slots: u32,
    /// Whether it is draining: it takes no new requests and is about to end.
    pub leaving: bool,
    /// For how much longer it is slow after its start, in milliseconds.
    pub cold_ms: u64,
}

impl ServerRecord {
    /// Returns the key that boxes use in their messages. It differs for each instance, so
    /// that what is known or reported of an earlier instance does not apply to this one.
    pub fn key(&self) -> ServerKey {
        match self.born_ms {
            0 => server_key(&self.id),
            born_ms => fnv1a(server_key(&self.id), &born_ms.to_be_bytes()),
        }
    }

    /// Returns whether another record of the same instance differs in at most the
    /// remaining cold time, which each of the first catalog entries after a start states
    /// anew.
    pub fn eq_ignoring_cold(&self, other: &Self) -> bool {
        let Self {
            id,
            born_ms,
            service,
            address,
            data_centre,
            slots,
            leaving,
            cold_ms: _,
        } = other;
        (id, service, data_centre) == (&self.id, &self.service, &self.data_centre)
            && (*address, *slots, *leaving) == (self.address, self.slots, self.leaving)
            && *born_ms == self.born_ms
    }
}

/// Returns the key of a server or service: the 64-bit FNV-1a hash of its id, which is the
/// same on every box.
pub fn server_key(id: &str) -> ServerKey {
    fnv1a(FNV_OFFSET, id.as_bytes())
}

/// Extends a 64-bit FNV-1a hash by some bytes.
fn fnv1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// The published constants of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
