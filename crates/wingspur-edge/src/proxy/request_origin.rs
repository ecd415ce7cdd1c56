//! Who has sent a request to this box: a caller, or another box.

use std::sync::Arc;

use hyper::header::HeaderMap;
use wingspur_protocol::RelayedRequest;
use wingspur_state::KeyDigest;

use crate::catalog::active_bundle::ActiveRoute;
use crate::proxy::admission::bearer_key;
use crate::services::ServiceState;

/// Who has sent a request to this box.
#[derive(Debug, Clone)]
pub enum RequestOrigin {
    /// A caller.
    Caller,
    /// Another box, which has admitted it and counted it against the account's limit.
    Relayed(Arc<RelayedRequest>),
}

impl RequestOrigin {
    /// Returns what the other box says of the request; `None` for one of a caller.
    pub fn relayed(&self) -> Option<&RelayedRequest> {
        match self {
            Self::Caller => None,
            Self::Relayed(relayed) => Some(relayed),
        }
    }

    /// Returns the digest of the caller's key.
    pub fn key(&self, headers: &HeaderMap) -> Option<KeyDigest> {
        match self {
            Self::Caller => bearer_key(headers),
            Self::Relayed(relayed) => relayed.key,
        }
    }

    /// Returns the service for the request. For a relayed one it is that which the other
    /// box has chosen, so that the weights of the services hold over the fleet.
    pub fn service<'a>(&self, route: &'a ActiveRoute) -> &'a Arc<ServiceState> {
        let chosen = self.relayed().map(|relayed| relayed.service.as_str());
        let chosen = chosen.and_then(|name| route.service_named(name));
        chosen.unwrap_or_else(|| route.next_service())
    }
}
