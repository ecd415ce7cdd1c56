//! The catalog of routes, servers and boxes, and how it is read from the store.
//!
//! `edge_state` and `proxy` may import `active_bundle`, `quotas` may import
//! `store_calls`, `peers` may import `catalog_state` and `store_calls`, and `edge_box`
//! any file.

pub mod active_bundle;
pub mod announce;
pub mod catalog_state;
pub mod catalog_watch;
pub mod directory_changes;
pub mod evacuation;
pub mod store_calls;
