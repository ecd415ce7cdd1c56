//! An entry box: the request path and the background tasks that support it.

mod active_bundle;
mod bundles;
mod claims;
mod concurrency_limiter;
mod detection;
mod entry_box;
mod entry_state;
mod hosted_detectors;
mod operator;
mod peers;
mod proxy;
mod response_body;
mod shard_driver;
mod shards;

pub use entry_box::{EntryBox, ShutdownReport, StartError};
pub use entry_state::Addresses;
