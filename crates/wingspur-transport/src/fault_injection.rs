//! Fault injection in the store and peer clients, for tests. Each fault affects either
//! the request or the response.

use std::fmt::{self, Debug, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Fault that is injected into one HTTP call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// The request is lost before it reaches the receiver.
    DropRequest,
    /// The request reaches the receiver, but its response is lost.
    DropReply,
    /// The request is sent after this delay.
    Delay(Duration),
}

/// Selects the fault to inject into each call. The default, as in production, injects
/// none.
#[derive(Clone, Default)]
pub struct FaultInjector {
    select: Option<Arc<dyn Fn(SocketAddr) -> InjectedFault + Send + Sync>>,
}

impl FaultInjector {
    /// Creates an injector that selects the fault by the address of the receiver.
    pub fn new(
        select: impl Fn(SocketAddr) -> InjectedFault + Send + Sync + 'static,
    ) -> Self {
        Self {
            select: Some(Arc::new(select)),
        }
    }

    /// Returns the fault to inject into a call to `to`.
    pub fn fault_for(&self, to: SocketAddr) -> InjectedFault {
        self.select
            .as_ref()
            .map_or(InjectedFault::None, |select| select(to))
    }
}

impl Debug for FaultInjector {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("LinkFaults")
            .field("set", &self.select.is_some())
            .finish()
    }
}
