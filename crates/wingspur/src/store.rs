//! Access to the store for the operators' commands.

use std::net::SocketAddr;
use std::time::Duration;

use wingspur_transport::{FaultInjector, HttpClient, StoreClient, Workers};

/// Runs `call` with a client of the store and returns its result.
pub fn with_store<T>(address: SocketAddr, call: impl AsyncFnOnce(StoreClient) -> T) -> T {
    let workers = Workers::start(1);
    let client = HttpClient::new(workers.spawner(), FaultInjector::default());
    let store = StoreClient::new(address, client.into(), TIMEOUT);
    let value = smol::block_on(call(store));
    workers.close();
    value
}

const TIMEOUT: Duration = Duration::from_secs(3);
