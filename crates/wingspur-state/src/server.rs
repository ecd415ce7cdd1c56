//! Backend servers as a catalog announces them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, ServerId, ServerKey};

/// One run of a backend server, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Names the server; one that starts again may keep it.
    pub id: ServerId,
    /// When this run began, as the server tells it in milliseconds of its own clock: greater
    /// for each later run under the same id. 0 where servers do not tell.
    pub born_ms: u64,
    /// The service that it belongs to.
    pub service: String,
    /// The IP address and port; a later run of another service may have the same.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes no new work and is about to end.
    pub leaving: bool,
    /// For how much longer it is slow from its start, in milliseconds.
    pub cold_ms: u64,
}

impl ServerRecord {
    /// The short name that boxes use among themselves: another one for each run, so that
    /// nothing that is known or told of an earlier run counts for this one.
    pub fn key(&self) -> ServerKey {
        match self.born_ms {
            0 => server_key(&self.id),
            born_ms => fnv1a(server_key(&self.id), &born_ms.to_be_bytes()),
        }
    }

    /// Whether another record of the same run differs in nothing but what is left of its
    /// cold start, which each of its first entries tells anew.
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

/// The short name of a server or service: the 64-bit FNV-1a hash of its id, alike on every
/// box.
pub fn server_key(id: &str) -> ServerKey {
    fnv1a(FNV_OFFSET, id.as_bytes())
}

/// Goes on with a 64-bit FNV-1a hash.
fn fnv1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// The published constants of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
