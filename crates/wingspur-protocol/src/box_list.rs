//! The platform's lagging list of live and leaving boxes and backend servers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wingspur_state::{BoxId, DataCentreId};

/// The list as the platform serves it, in JSON.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxList {
    /// The entry boxes.
    pub boxes: Vec<ListedBox>,
    /// Backend servers that are leaving; all others count as live.
    #[serde(default)]
    pub leaving_servers: Vec<ListedServer>,
}

/// An entry box in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBox {
    /// The box's id.
    pub id: BoxId,
    /// Where the box listens for its peers.
    pub peer_address: SocketAddr,
    /// Where the box stands.
    pub data_centre: DataCentreId,
    /// Whether it stays.
    pub state: BoxState,
}

/// Whether a box stays or goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxState {
    /// In service.
    Live,
    /// On its way out.
    Leaving,
}

/// A backend server in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Its address, as in the bundle.
    pub address: SocketAddr,
}
