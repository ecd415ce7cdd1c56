//! Backend servers as a catalog announces them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, ServerId, ServerKey};

/// One run of a backend server, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Names this run; a restarted server has another.
    pub id: ServerId,
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
    /// The short name that boxes use among themselves.
    pub fn key(&self) -> ServerKey {
        server_key(&self.id)
    }

    /// Whether another record of the same run differs in nothing but what is left of its
    /// cold start, which each of its first entries tells anew.
    pub fn stands_as(&self, other: &Self) -> bool {
        let Self {
            id,
            service,
            address,
            data_centre,
            slots,
            leaving,
            cold_ms: _,
        } = other;
        (id, service, data_centre) == (&self.id, &self.service, &self.data_centre)
            && (*address, *slots, *leaving) == (self.address, self.slots, self.leaving)
    }
}

/// The short name of a server: the 64-bit FNV-1a hash of its id, alike on every box.
pub fn server_key(id: &str) -> ServerKey {
    id.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// The published constants of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
