//! The store, as the operators' commands use it.

use std::net::SocketAddr;
use std::time::Duration;

use wingspur_transport::{FaultInjector, HttpClient, StoreClient, Workers};

/// Calls the store from a command.
pub fn with_store<T>(address: SocketAddr, call: impl AsyncFnOnce(StoreClient) -> T) -> T {
    let workers = Workers::start(1);
    let exchange = HttpClient::new(workers.spawner(), FaultInjector::default());
    let store = StoreClient::new(address, exchange.into(), TIMEOUT);
    let value = smol::block_on(call(store));
    workers.close();
    value
}

const TIMEOUT: Duration = Duration::from_secs(3);
