//! Faults of the network path to backend servers, injected for rehearsals and tests.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use event_listener::{Event, listener};
use futures_lite::FutureExt;
use serde::{Deserialize, Serialize};

/// A fault of the path from this box to all backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[repr(u8)]
pub enum PathFault {
    /// No fault.
    #[default]
    None,
    /// Open connections are reset, and new ones are refused.
    Refuse,
    /// New connections are refused; open ones work on.
    RefuseNew,
    /// New connections are not established, and nothing is received on open ones.
    Hold,
}

/// The path fault that is injected now. Cheap to clone; all clones share the fault.
#[derive(Debug, Clone, Default)]
pub struct InjectedPathFault {
    shared: Arc<SharedFault>,
}

#[derive(Debug, Default)]
struct SharedFault {
    fault: AtomicU8,
    changed: Event,
}

impl InjectedPathFault {
    /// Replaces the fault, also for connections that are open already.
    pub fn set(&self, fault: PathFault) {
        self.shared.fault.store(fault as u8, Ordering::Release);
        self.shared.changed.notify(usize::MAX);
    }

    /// Opens a connection by `connecting` unless the fault prevents it.
    pub async fn connect<T>(
        &self,
        connecting: impl Future<Output = io::Result<T>>,
    ) -> io::Result<T> {
        match self.get() {
            PathFault::None => connecting.await,
            PathFault::Refuse | PathFault::RefuseNew => {
                Err(io::ErrorKind::ConnectionRefused.into())
            }
            PathFault::Hold => futures_lite::future::pending().await,
        }
    }

    /// Performs an operation on an open connection. Fails once the fault resets the
    /// connection, and returns nothing while it holds.
    pub async fn exchange<T>(
        &self,
        operation: impl Future<Output = io::Result<T>>,
    ) -> io::Result<T> {
        let done = operation.or(self.reset()).await;
        while self.get() == PathFault::Hold {
            listener!(self.shared.changed => changed);
            if self.get() == PathFault::Hold {
                changed.await;
            }
        }
        done
    }

    /// Returns whether the fault resets open connections.
    pub fn resets_open(&self) -> bool {
        self.get() == PathFault::Refuse
    }

    /// Resolves with an error once the fault resets open connections.
    async fn reset<T>(&self) -> io::Result<T> {
        loop {
            listener!(self.shared.changed => changed);
            if self.resets_open() {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            changed.await;
        }
    }

    fn get(&self) -> PathFault {
        match self.shared.fault.load(Ordering::Acquire) {
            fault if fault == PathFault::Refuse as u8 => PathFault::Refuse,
            fault if fault == PathFault::RefuseNew as u8 => PathFault::RefuseNew,
            fault if fault == PathFault::Hold as u8 => PathFault::Hold,
            _ => PathFault::None,
        }
    }
}
