//! Links to other boxes, and what boxes send each other over them.

pub mod active_link;
pub mod lease_messages;
pub mod link_handlers;
pub mod links;
pub mod peer_exchange;
pub mod relay_search;
pub mod relays;
