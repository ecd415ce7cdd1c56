//! Server records as boxes send them: the names of services and data centres stand once, and
//! each record tells their places.

use std::borrow::Cow;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use wingspur_state::{ServerId, ServerRecord};

use crate::CatalogChange;

/// A list of server records, for `#[serde(with)]`.
pub mod records {
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
    use wingspur_state::ServerRecord;

    use super::{CompactRecord, Names};

    /// Writes the names, and the records that point at them.
    pub fn serialize<S: Serializer>(
        records: &[ServerRecord],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut names = Names::default();
        let records = records.iter().map(|record| names.compact(record));
        let records: Vec<CompactRecord> = records.collect();
        (names.list, records).serialize(serializer)
    }

    /// Reads what `serialize` has written.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<ServerRecord>, D::Error> {
        let (names, records) =
            <(Vec<String>, Vec<CompactRecord>)>::deserialize(deserializer)?;
        let records = records.into_iter().map(|record| record.expand(&names));
        records.collect::<Result<_, _>>().map_err(de::Error::custom)
    }
}

/// A list of catalog changes, for `#[serde(with)]`.
pub mod changes {
    use std::borrow::Cow;

    use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

    use super::{CompactChange, Names};
    use crate::CatalogChange;

    /// Writes the names, and the changes that point at them.
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

    /// Reads what `serialize` has written.
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

/// A change whose server, if it has one, is compact.
#[derive(Debug, Serialize, Deserialize)]
enum CompactChange<'a> {
    #[serde(rename = "s")]
    Server(CompactRecord),
    #[serde(rename = "o")]
    Other(Cow<'a, CatalogChange>),
}

/// A server record that points at the names of its service and data centre.
#[derive(Debug, Serialize, Deserialize)]
struct CompactRecord {
    id: ServerId,
    born_ms: u64,
    service: usize,
    /// The IP address and the port, in network order.
    address: ByteBuf,
    data_centre: usize,
    slots: u32,
    leaving: bool,
    cold_ms: u64,
}

/// Names in the order in which they were first met.
#[derive(Debug, Default)]
struct Names {
    list: Vec<String>,
    places: HashMap<String, usize>,
}

/// Why a record cannot be expanded.
#[derive(Debug, thiserror::Error)]
enum CompactError {
    /// It points at a name that was not sent.
    #[error("server record points at name {place} of {names}")]
    UnknownName { place: usize, names: usize },
    /// Its address is neither IPv4 nor IPv6.
    #[error("server address has {0} bytes, not 6 or 18")]
    AddressLength(usize),
}

impl Names {
    fn place(&mut self, name: &str) -> usize {
        if let Some(place) = self.places.get(name) {
            return *place;
        }
        let place = self.list.len();
        self.list.push(name.to_owned());
        self.places.insert(name.to_owned(), place);
        place
    }

    fn compact(&mut self, record: &ServerRecord) -> CompactRecord {
        CompactRecord {
            id: record.id.clone(),
            born_ms: record.born_ms,
            service: self.place(&record.service),
            address: address_bytes(record.address),
            data_centre: self.place(&record.data_centre),
            slots: record.slots,
            leaving: record.leaving,
            cold_ms: record.cold_ms,
        }
    }
}

impl CompactRecord {
    fn expand(self, names: &[String]) -> Result<ServerRecord, CompactError> {
        let name = |place: usize| {
            let unknown = CompactError::UnknownName {
                place,
                names: names.len(),
            };
            names.get(place).cloned().ok_or(unknown)
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
    let wrong = CompactError::AddressLength(bytes.len());
    let Some((ip, port)) = bytes.split_last_chunk::<PORT_BYTES>() else {
        return Err(wrong);
    };
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        IpAddr::V4(Ipv4Addr::from(octets))
    } else if let Ok(octets) = <[u8; 16]>::try_from(ip) {
        IpAddr::V6(Ipv6Addr::from(octets))
    } else {
        return Err(wrong);
    };
    Ok(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}

const PORT_BYTES: usize = 2;
