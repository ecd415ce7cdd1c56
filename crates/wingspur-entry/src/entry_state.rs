//! What all parts of a box share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use wingspur_coordination::{Membership, MembershipSettings, PeerView, RendezvousSet};
use wingspur_protocol::{
    PEER_PROTOCOL_VERSION, PeerEnvelope, PeerMessage, PeerReply, StoreKeys, encode_peer,
};
use wingspur_state::{AccountLimiter, BoxId};
use wingspur_transport::{FaultInjector, HttpClient, Spawner, StoreClient, TlsIdentity};

use wingspur_edge::{LockRank, Metrics, OwnSources, RankedMutex, Settings, Shutdown};

use crate::active_bundle::ActiveBundle;
use crate::hosted_detectors::HostedDetectors;
use crate::shards::Shards;

/// What all parts of a box share.
#[derive(Debug)]
pub struct EntryState {
    /// The box's settings.
    pub settings: Settings,
    /// Where bundles and lists of boxes are found.
    pub sources: OwnSources,
    /// Starts tasks.
    pub spawner: Spawner,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Connections to peers.
    pub peer_client: HttpClient,
    /// Connections to the box list.
    pub box_list_client: HttpClient,
    /// Who the box is towards its peers.
    pub identity: Option<Arc<TlsIdentity>>,
    /// Connections to the store.
    pub store_exchange: Arc<HttpClient>,
    /// The store.
    pub store: StoreClient,
    /// The store's keys of this fleet.
    pub keys: StoreKeys,
    /// Who lives.
    pub membership: RankedMutex<Membership>,
    /// The judges that this box holds.
    pub outlier_detectors: RankedMutex<HostedDetectors>,
    /// The once-only shards that this box holds.
    pub shards: Shards,
    /// The buckets of caller accounts.
    pub accounts: RankedMutex<AccountLimiter>,
    /// Drawn anew at each start: the time of the start in microseconds.
    pub incarnation: u64,
    /// Ends of once-only operations that no owner has taken yet.
    pub undelivered_outcomes: AtomicUsize,
    /// Whether the box is stopping, and by when.
    pub stopping: Shutdown,
    /// Whether the box has started up.
    pub started: AtomicBool,
    in_force: RankedMutex<Option<Arc<ActiveBundle>>>,
    sequence: AtomicU64,
    fetching: AtomicU64,
}

/// The addresses that a box listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For other boxes.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

impl EntryState {
    /// A box that has not started yet.
    pub fn new(
        settings: Settings,
        sources: OwnSources,
        spawner: Spawner,
        faults: &FaultInjector,
        identity: Option<Arc<TlsIdentity>>,
    ) -> Self {
        let store_exchange = Arc::new(HttpClient::new(spawner.clone(), faults.clone()));
        let exchange = store_exchange.clone();
        let store = StoreClient::new(sources.store_address, exchange, STORE_TIMEOUT);
        let membership =
            Membership::new(settings.box_id.clone(), MembershipSettings::default());
        let incarnation = unix_time().as_micros() as u64;
        Self {
            peer_client: HttpClient::new(spawner.clone(), faults.clone())
                .with_identity(identity.clone()),
            box_list_client: HttpClient::new(spawner.clone(), faults.clone()),
            identity,
            store_exchange,
            store,
            keys: StoreKeys::new(&settings.fleet),
            metrics: Metrics::new(),
            membership: RankedMutex::new(LockRank::Membership, membership),
            outlier_detectors: RankedMutex::new(
                LockRank::Judges,
                HostedDetectors::default(),
            ),
            shards: Shards::new(&settings, incarnation),
            accounts: RankedMutex::new(LockRank::Accounts, AccountLimiter::default()),
            incarnation,
            undelivered_outcomes: AtomicUsize::new(0),
            stopping: Shutdown::new(),
            started: AtomicBool::new(false),
            in_force: RankedMutex::new(LockRank::InForce, None),
            sequence: AtomicU64::new(0),
            fetching: AtomicU64::new(0),
            settings,
            sources,
            spawner,
        }
    }

    /// The bundle in force.
    pub fn active_bundle(&self) -> Option<Arc<ActiveBundle>> {
        self.in_force.lock().clone()
    }

    /// Puts a bundle in force if it is newer than what is.
    pub fn activate_if_newer(&self, bundle: ActiveBundle) -> bool {
        let mut in_force = self.in_force.lock();
        let version = bundle.manifest.version;
        if in_force
            .as_ref()
            .is_some_and(|old| old.manifest.version >= version)
        {
            return false;
        }
        self.metrics.bundle_version.set(version as i64);
        *in_force = Some(Arc::new(bundle));
        true
    }

    /// The version in force; 0 for none.
    pub fn bundle_version(&self) -> u64 {
        self.active_bundle()
            .map_or(0, |bundle| bundle.manifest.version)
    }

    /// Whether a fetch of this version may begin: one at a time for each version, so that
    /// many who tell of it bring about one transfer.
    pub fn begin_fetch(&self, version: u64) -> bool {
        self.fetching.fetch_max(version, Ordering::AcqRel) < version
    }

    /// Ends a fetch; if it brought nothing, the next who tells of it is asked.
    pub fn end_fetch(&self, version: u64) {
        let none = self.bundle_version();
        let ended = Ordering::AcqRel;
        // A later version that is being fetched meanwhile stays.
        let _ = self
            .fetching
            .compare_exchange(version, none, ended, Ordering::Acquire);
    }

    /// Whether the box takes callers.
    pub fn is_ready(&self) -> bool {
        self.started.load(Ordering::Acquire)
            && !self.stopping.has_begun()
            && self.bundle_version() > 0
    }

    /// Sends a message to a peer and returns its reply.
    pub async fn request_peer(
        &self,
        peer: &PeerView,
        message: PeerMessage,
        timeout: Duration,
    ) -> Option<PeerReply> {
        if self.identity.is_none() && !peer.address.ip().is_loopback() {
            tracing::warn!("peer: {} is not on loopback and `tls` is not set.", peer.id);
            return None;
        }
        let body = encode_peer(&self.envelope(message));
        let reply = self
            .peer_client
            .post(peer.address, PEER_PATH, body, timeout)
            .await;
        match reply {
            Ok(bytes) => {
                self.membership
                    .lock()
                    .record_reply(&peer.id, wingspur_clock::now());
                rmp_serde::from_slice(&bytes).ok()
            }
            Err(error) => {
                tracing::debug!("peer: {} did not answer: {error}.", peer.id);
                None
            }
        }
    }

    /// Boxes that count as living.
    pub fn live_boxes(&self) -> Arc<RendezvousSet> {
        self.membership.lock().live_boxes(wingspur_clock::now())
    }

    /// A peer by its id; none for this box itself.
    pub fn peer(&self, id: &BoxId) -> Option<PeerView> {
        self.membership.lock().view(id)
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, kind: &str) {
        self.metrics.store_calls.with_label_values(&[kind]).inc();
    }

    fn envelope(&self, message: PeerMessage) -> PeerEnvelope {
        PeerEnvelope {
            protocol: PEER_PROTOCOL_VERSION,
            fleet: self.settings.fleet.clone(),
            from: self.settings.box_id.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            message,
        }
    }
}

/// The time since the Unix epoch; for retention and incarnations, never for fencing.
pub fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Where peers post their messages.
pub const PEER_PATH: &str = "/peer";
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
