//! What a catalog announces: the bundle, backend servers and boxes.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wingspur_state::{
    BoxId, Bundle, BundlePatch, DataCentreId, RequestFingerprint, ServerId, ServerRecord,
    SourceId, StorePosition,
};

use crate::compact_servers;

/// All that a catalog announces, as of a point in the store's history.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogSnapshot {
    /// Changes up to this one are in.
    pub position: StorePosition,
    /// The bundle in force, if there is a sound one; between boxes none as well where the
    /// other side has it.
    pub bundle: Option<Arc<Bundle>>,
    /// The backend servers.
    #[serde(with = "compact_servers::records")]
    pub servers: Vec<ServerRecord>,
    /// The boxes.
    pub boxes: Vec<BoxRecord>,
    /// The requests in quarantine.
    pub quarantines: Vec<QuarantineRecord>,
    /// The data centres that are evacuated.
    #[serde(default)]
    pub evacuated: Vec<DataCentreId>,
}

/// Changes after one point in the store's history and up to another of the same era, in
/// order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogChanges {
    /// What the changes come on top of.
    pub after: StorePosition,
    /// Changes up to this one are in.
    pub position: StorePosition,
    /// The changes.
    #[serde(with = "compact_servers::changes")]
    pub changes: Vec<CatalogChange>,
}

/// One change of what is announced.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CatalogChange {
    /// A bundle was accepted.
    Bundle(Arc<Bundle>),
    /// The same, told by what it changes of the one before it.
    BundlePatch(Arc<BundlePatch>),
    /// A backend server is new, or its entry has changed.
    Server(ServerRecord),
    /// A backend server's entry has vanished.
    ServerGone(ServerId),
    /// A box is new, or its entry has changed.
    Box(BoxRecord),
    /// A box's entry has vanished.
    BoxGone(BoxId),
    /// A request is in quarantine, or was let through once more.
    Quarantine(QuarantineRecord),
    /// A request is in quarantine no more.
    QuarantineEnded(RequestFingerprint),
    /// Nothing more may be sent to the backend servers of a data centre.
    Evacuated(DataCentreId),
    /// The backend servers of a data centre may be used again.
    EvacuationEnded(DataCentreId),
}

/// A request that may be sent with a permit only, since servers have ended under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// The request.
    pub request: RequestFingerprint,
    /// How often it was let through since it is in quarantine.
    pub tries: u32,
    /// The box that has counted that, by its start.
    pub counted_by: SourceId,
    /// Where in the store's history this was written.
    pub position: StorePosition,
}

/// An entry box as it announces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRecord {
    /// The box.
    pub id: BoxId,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Where it hears its peers.
    pub peer_address: SocketAddr,
    /// Drawn anew at each start.
    pub incarnation: u64,
    /// How much it can carry for other boxes; the strongest of a data centre is its hub.
    #[serde(default)]
    pub capacity: u32,
    /// How many boxes the fleet has, as far as this one knows; 0 for unknown. Most boxes
    /// are not announced, and one that starts must know its share before it hears a hub.
    #[serde(default)]
    pub fleet_boxes: u32,
}
