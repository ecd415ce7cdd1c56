//! A seam in the store and peer clients where tests put faults, one way each.

use std::fmt::{self, Debug, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What happens to one exchange on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum InjectedFault {
    /// Nothing.
    #[default]
    None,
    /// The request is lost before it arrives.
    DropRequest,
    /// The request arrives, and its reply is lost.
    DropReply,
    /// The request waits first.
    Delay(Duration),
}

/// Decides, for each exchange, which fault befalls it; none in production.
#[derive(Clone, Default)]
pub struct FaultInjector {
    decide: Option<Arc<dyn Fn(SocketAddr) -> InjectedFault + Send + Sync>>,
}

impl FaultInjector {
    /// Faults by the receiver's address.
    pub fn new(
        decide: impl Fn(SocketAddr) -> InjectedFault + Send + Sync + 'static,
    ) -> Self {
        Self {
            decide: Some(Arc::new(decide)),
        }
    }

    /// The fault of an exchange with `to`.
    pub fn fault_for(&self, to: SocketAddr) -> InjectedFault {
        self.decide
            .as_ref()
            .map_or(InjectedFault::None, |decide| decide(to))
    }
}

impl Debug for FaultInjector {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("LinkFaults")
            .field("set", &self.decide.is_some())
            .finish()
    }
}
