//! The contents of a catalog: the bundle, backend servers, boxes, quarantines and
//! evacuations.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wingspur_state::{
    BoxId, Bundle, BundlePatch, DataCentreId, RequestFingerprint, ServerId, ServerRecord,
    SourceId, StorePosition,
};

use crate::compact_servers;

/// The full contents of a catalog at one position in the store's history.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogSnapshot {
    /// The position of the last change that the snapshot includes.
    pub position: StorePosition,
    /// The active bundle; `None` if there is no valid one. Between boxes it is also
    /// `None` where the receiver already has the bundle.
    pub bundle: Option<Arc<Bundle>>,
    /// The backend servers.
    #[serde(with = "compact_servers::records")]
    pub servers: Vec<ServerRecord>,
    /// The boxes.
    pub boxes: Vec<BoxRecord>,
    /// The requests in quarantine.
    pub quarantines: Vec<QuarantineRecord>,
    /// The evacuated data centres, to whose servers nothing is sent.
    #[serde(default)]
    pub evacuated: Vec<DataCentreId>,
}

/// The changes between two positions of the same era of the store's history, in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogChanges {
    /// The position that the changes follow.
    pub after: StorePosition,
    /// The position of the last change that is included.
    pub position: StorePosition,
    /// The changes, oldest first.
    #[serde(with = "compact_servers::changes")]
    pub changes: Vec<CatalogChange>,
}

/// A change of the catalog.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CatalogChange {
    /// A bundle was accepted.
    Bundle(Arc<Bundle>),
    /// A bundle was accepted; only its differences from the previous bundle are sent.
    BundlePatch(Arc<BundlePatch>),
    /// A backend server's entry was added or changed.
    Server(ServerRecord),
    /// A backend server's entry was removed.
    ServerGone(ServerId),
    /// A box's entry was added or changed.
    Box(BoxRecord),
    /// A box's entry was removed.
    BoxGone(BoxId),
    /// A request was put in quarantine, or one more trial of it was permitted.
    Quarantine(QuarantineRecord),
    /// The quarantine of a request ended.
    QuarantineEnded(RequestFingerprint),
    /// A data centre was evacuated: nothing more may be sent to its backend servers.
    Evacuated(DataCentreId),
    /// The evacuation of a data centre ended: its backend servers may be used again.
    EvacuationEnded(DataCentreId),
}

/// A request that may be sent only with a permit, because servers ended while they ran
/// it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// The request.
    pub request: RequestFingerprint,
    /// The number of trials that were permitted since the quarantine began.
    pub tries: u32,
    /// The instance of the box that wrote this count.
    pub counted_by: SourceId,
    /// The position in the store's history at which this record was written.
    pub position: StorePosition,
}

/// The announcement of an entry box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRecord {
    /// The id of the box.
    pub id: BoxId,
    /// The data centre that the box is in.
    pub data_centre: DataCentreId,
    /// The address at which the box accepts connections of other boxes.
    pub peer_address: SocketAddr,
    /// A random number that identifies the box's current process, new at each start.
    pub incarnation: u64,
    /// How much work the box can do for other boxes. The box with the highest capacity in
    /// a data centre is its hub.
    #[serde(default)]
    pub capacity: u32,
    /// The number of boxes in the fleet as far as this box knows; 0 for unknown. Most
    /// boxes are not announced, and a starting box must know its share of the fleet's
    /// quotas before it hears from a hub.
    #[serde(default)]
    pub fleet_boxes: u32,
}
