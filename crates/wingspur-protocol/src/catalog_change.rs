//! A change of the catalog, and the records of boxes and quarantines.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wingspur_state::{
    BoxId, Bundle, BundlePatch, DataCentreId, RequestFingerprint, ServerId, ServerRecord,
    SourceId, StorePosition,
};

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
