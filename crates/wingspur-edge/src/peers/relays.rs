//! The boxes that forward requests for this one, and the connections to them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use wingspur_coordination::RelayDirectory;
use wingspur_state::{DataCentreId, Regions};
use wingspur_transport::{BackendConnections, BufferBudget};

use crate::locks::{LockRank, RankedMutex};
use crate::services::Services;

/// The relays of this box, and its connections to them.
#[derive(Debug)]
pub struct Relays {
    /// Which boxes reach the services that this one does not.
    pub directory: RankedMutex<RelayDirectory>,
    connections: RankedMutex<HashMap<SocketAddr, Arc<BackendConnections>>>,
    /// The budget for what is buffered of their responses.
    buffers: Arc<BufferBudget>,
}

impl Relays {
    /// Starts without relays; `data_centre` is the one of this box, and `regions` are
    /// those of all data centres. What is buffered of their responses counts in the budget.
    pub fn new(
        data_centre: DataCentreId,
        regions: Regions,
        buffers: Arc<BufferBudget>,
    ) -> Self {
        let directory = RelayDirectory::new(data_centre, regions);
        Self {
            directory: RankedMutex::new(LockRank::Relays, directory),
            connections: RankedMutex::new(LockRank::RelayConnections, HashMap::new()),
            buffers,
        }
    }

    /// Returns the connections to a relay.
    pub fn connections(&self, address: SocketAddr) -> Arc<BackendConnections> {
        let mut connections = self.connections.lock();
        let create = || Arc::new(BackendConnections::new(address, self.buffers.clone()));
        connections.entry(address).or_insert_with(create).clone()
    }

    /// Forgets all relays and closes the connections to them, unless there is still a
    /// service that this box does not reach.
    pub fn close_unused(&self, services: &Services) {
        if services.all().iter().any(|service| !service.is_reachable()) {
            return;
        }
        self.directory.lock().clear();
        self.connections.lock().clear();
    }
}
