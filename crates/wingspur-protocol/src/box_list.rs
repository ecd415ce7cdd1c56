//! The platform's list of live and leaving boxes and of draining backend servers. The
//! list may be out of date.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wingspur_state::{BoxId, DataCentreId};

/// The list as the platform serves it, in JSON.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxList {
    /// The entry boxes.
    pub boxes: Vec<ListedBox>,
    /// Backend servers that are draining; all others count as live.
    #[serde(default)]
    pub leaving_servers: Vec<ListedServer>,
}

/// An entry box in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBox {
    /// The box's id.
    pub id: BoxId,
    /// The address at which the box accepts connections of other boxes.
    pub peer_address: SocketAddr,
    /// The data centre that the box is in.
    pub data_centre: DataCentreId,
    /// Whether the box is in service or stopping.
    pub state: BoxState,
}

/// Whether a box is in service or stopping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxState {
    /// The box is in service.
    Live,
    /// The box is about to stop.
    Leaving,
}

/// A backend server in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Its address, as in the bundle.
    pub address: SocketAddr,
}
