//! An entry box: the request path and the tasks around it.

mod bundles;
mod claims;
mod concern;
mod detection;
mod entry_box;
mod in_force;
mod judges;
mod operator;
mod peers;
mod proxy;
mod relay;
mod shard_driver;
mod shards;
mod shared;

pub use entry_box::{EntryBox, StartError, StopReport};
pub use shared::Addresses;
