//! The catalog of routes, servers and boxes, and how it is read from the store.

pub mod active_bundle;
pub mod announce;
pub mod catalog_state;
pub mod catalog_watch;
pub mod directory_changes;
pub mod evacuation;
pub mod store_calls;
