//! Links to other boxes, and what boxes send each other over them.
//!
//! `edge_state` may import the state (`links`, `relays`), `quotas` may import
//! `lease_messages`, `proxy` may import `relay_search`, and `edge_box` and `peer_port`
//! any file. These files import nothing of `proxy`, and of `quotas` only the values in
//! `resend_leases`; they call the others through `link_handlers`.

pub mod active_link;
pub mod lease_messages;
pub mod link_handlers;
pub mod links;
pub mod peer_exchange;
pub mod relay_search;
pub mod relays;
