//! The compact encoding of server records between boxes: each name of a service or data
//! centre is written once, and the records refer to it by index.

use std::borrow::Cow;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use wingspur_state::{ServerId, ServerRecord};

use crate::CatalogChange;

/// Serialises a list of server records, for `#[serde(with)]`.
pub mod records {
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
    use wingspur_state::ServerRecord;

    use super::{CompactRecord, Names};

    /// Writes the names, and the records that refer to them by index.
    pub fn serialize<S: Serializer>(
        records: &[ServerRecord],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut names = Names::default();
        let records = records.iter().map(|record| names.compact(record));
        let records: Vec<CompactRecord> = records.collect();
        (names.list, records).serialize(serializer)
    }

    /// Reads the encoding that `serialize` writes. Fails on an unknown name or an invalid
    /// address.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<ServerRecord>, D::Error> {
        let (names, records) =
            <(Vec<String>, Vec<CompactRecord>)>::deserialize(deserializer)?;
        let records = records.into_iter().map(|record| record.expand(&names));
        records.collect::<Result<_, _>>().map_err(de::Error::custom)
    }
}

/// Serialises a list of catalog changes, for `#[serde(with)]`.
pub mod changes {
    use std::borrow::Cow;

    use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

    use super::{CompactChange, Names};
    use crate::CatalogChange;

    /// Writes the names, and the changes that refer to them by index.
    pub fn serialize<S: Serializer>(
        changes: &[CatalogChange],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut names = Names::default();
        let changes = changes.iter().map(|change| match change {
            CatalogChange::Server(record) => CompactChange::Server(names.compact(record)),
            other => CompactChange::Other(Cow::Borrowed(other)),
        });
        let changes: Vec<CompactChange> = changes.collect();
        (names.list, changes).serialize(serializer)
    }

    /// Reads the encoding that `serialize` writes. Fails on an unknown name or an invalid
    /// address.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<CatalogChange>, D::Error> {
        let (names, changes) =
            <(Vec<String>, Vec<CompactChange>)>::deserialize(deserializer)?;
        let changes = changes.into_iter().map(|change| match change {
            CompactChange::Server(record) => {
                record.expand(&names).map(CatalogChange::Server)
            }
            CompactChange::Other(other) => Ok(other.into_owned()),
        });
        changes.collect::<Result<_, _>>().map_err(de::Error::custom)
    }
}

/// A catalog change in which a server record has the compact form.
#[derive(Debug, Serialize, Deserialize)]
enum CompactChange<'a> {
    #[serde(rename = "s")]
    Server(CompactRecord),
    #[serde(rename = "o")]
    Other(Cow<'a, CatalogChange>),
}

/// A server record in which `service` and `data_centre` are indices into the list of
/// names.
#[derive(Debug, Serialize, Deserialize)]
struct CompactRecord {
    id: ServerId,
    born_ms: u64,
    service: usize,
    /// The IP address and the port, in network byte order.
    address: ByteBuf,
    data_centre: usize,
    slots: u32,
    leaving: bool,
    cold_ms: u64,
}

/// The names in the order of their first use.
#[derive(Debug, Default)]
struct Names {
    list: Vec<String>,
    indices: HashMap<String, usize>,
}

/// The reasons why a compact record is invalid.
#[derive(Debug, thiserror::Error)]
enum CompactError {
    /// The record refers to a name that is not in the list.
    #[error("server record refers to name index {index}, but the list has {names} names")]
    UnknownName { index: usize, names: usize },
    /// The address is neither IPv4 nor IPv6.
    #[error("server address has {0} bytes, not 6 or 18")]
    AddressLength(usize),
}

impl Names {
    /// Returns the index of a name; adds it to the list on its first use.
    fn index_of(&mut self, name: &str) -> usize {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.list.len();
        self.list.push(name.to_owned());
        self.indices.insert(name.to_owned(), index);
        index
    }

    fn compact(&mut self, record: &ServerRecord) -> CompactRecord {
        CompactRecord {
            id: record.id.clone(),
            born_ms: record.born_ms,
            service: self.index_of(&record.service),
            address: address_bytes(record.address),
            data_centre: self.index_of(&record.data_centre),
            slots: record.slots,
            leaving: record.leaving,
            cold_ms: record.cold_ms,
        }
    }
}

impl CompactRecord {
    fn expand(self, names: &[String]) -> Result<ServerRecord, CompactError> {
        let name = |index: usize| {
            let unknown = CompactError::UnknownName {
                index,
                names: names.len(),
            };
            names.get(index).cloned().ok_or(unknown)
        };
        Ok(ServerRecord {
            service: name(self.service)?,
            data_centre: name(self.data_centre)?,
            address: read_address(&self.address)?,
            id: self.id,
            born_ms: self.born_ms,
            slots: self.slots,
            leaving: self.leaving,
            cold_ms: self.cold_ms,
        })
    }
}

fn address_bytes(address: SocketAddr) -> ByteBuf {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    ByteBuf::from(bytes)
}

fn read_address(bytes: &[u8]) -> Result<SocketAddr, CompactError> {
    let invalid = CompactError::AddressLength(bytes.len());
    let Some((ip, port)) = bytes.split_last_chunk::<PORT_BYTES>() else {
        return Err(invalid);
    };
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        IpAddr::V4(Ipv4Addr::from(octets))
    } else if let Ok(octets) = <[u8; 16]>::try_from(ip) {
        IpAddr::V6(Ipv6Addr::from(octets))
    } else {
        return Err(invalid);
    };
    Ok(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}

const PORT_BYTES: usize = 2;
