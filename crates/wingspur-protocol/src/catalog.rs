//! The contents of a catalog: the bundle, backend servers, boxes, quarantines and
//! evacuations.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wingspur_state::{Bundle, DataCentreId, ServerRecord, StorePosition};

use crate::{BoxRecord, CatalogChange, QuarantineRecord, compact_servers};

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
