//! The state that all parts of a box share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use wingspur_coordination::{Membership, MembershipSettings, PeerView, RendezvousSet};
use wingspur_protocol::{
    PEER_PROTOCOL_VERSION, PeerEnvelope, PeerMessage, PeerReply, StoreKeys, encode_peer,
};
use wingspur_state::{AccountLimiter, BoxId, CallerLimits};
use wingspur_transport::{
    BufferBudget, FaultInjector, HttpClient, Spawner, StoreClient, TlsIdentity,
};

use wingspur_edge::{LockRank, Metrics, OwnSources, RankedMutex, Settings, Shutdown};

use crate::active_bundle::ActiveBundle;
use crate::hosted_detectors::HostedDetectors;
use crate::shards::Shards;

/// The state that all parts of a box share.
#[derive(Debug)]
pub struct EntryState {
    /// The box's settings.
    pub settings: Settings,
    /// The addresses of the store and of the box list, and the keyring.
    pub sources: OwnSources,
    /// Starts tasks.
    pub spawner: Spawner,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// The budget for what is buffered of requests.
    pub buffers: Arc<BufferBudget>,
    /// HTTP client for peers.
    pub peer_client: HttpClient,
    /// HTTP client for the box list.
    pub box_list_client: HttpClient,
    /// The TLS identity towards peers; `None` without TLS.
    pub identity: Option<Arc<TlsIdentity>>,
    /// HTTP client for the store.
    pub store_http: Arc<HttpClient>,
    /// The store.
    pub store: StoreClient,
    /// The store's keys of this fleet.
    pub keys: StoreKeys,
    /// The boxes of the fleet, and which of them are alive.
    pub membership: RankedMutex<Membership>,
    /// The outlier detectors that this box hosts.
    pub outlier_detectors: RankedMutex<HostedDetectors>,
    /// The once-only shards, with the logs of those that this box owns.
    pub shards: Shards,
    /// The token buckets of client accounts.
    pub accounts: RankedMutex<AccountLimiter>,
    /// Identifies one lifetime of the process: its start time in microseconds since the
    /// Unix epoch.
    pub incarnation: u64,
    /// Number of outcomes of once-only operations that no owner has accepted yet.
    pub undelivered_outcomes: AtomicUsize,
    /// Whether the box is shutting down, and until when.
    pub stopping: Shutdown,
    /// Whether the start is complete.
    pub started: AtomicBool,
    active: RankedMutex<Option<Arc<ActiveBundle>>>,
    sequence: AtomicU64,
    fetching_version: AtomicU64,
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
    /// Creates the state of a box that has not started yet.
    pub fn new(
        settings: Settings,
        sources: OwnSources,
        spawner: Spawner,
        faults: &FaultInjector,
        identity: Option<Arc<TlsIdentity>>,
    ) -> Self {
        let buffer_bytes = settings.buffer_bytes();
        let responses = BufferBudget::new(buffer_bytes);
        let new_client = || {
            let client = HttpClient::new(spawner.clone(), faults.clone());
            client.with_buffers(responses.clone())
        };
        let store_http = Arc::new(new_client());
        let client = store_http.clone();
        let store = StoreClient::new(sources.store_address, client, STORE_TIMEOUT);
        let membership =
            Membership::new(settings.box_id.clone(), MembershipSettings::default());
        let incarnation = unix_time().as_micros() as u64;
        Self {
            buffers: BufferBudget::new(buffer_bytes),
            peer_client: new_client().with_identity(identity.clone()),
            box_list_client: new_client(),
            identity,
            store_http,
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
            active: RankedMutex::new(LockRank::InForce, None),
            sequence: AtomicU64::new(0),
            fetching_version: AtomicU64::new(0),
            settings,
            sources,
            spawner,
        }
    }

    /// Returns the active bundle; `None` before the first one.
    pub fn active_bundle(&self) -> Option<Arc<ActiveBundle>> {
        self.active.lock().clone()
    }

    /// Returns how long the head of a caller's request may take to arrive.
    pub fn head_timeout(&self) -> Duration {
        let active = self.active_bundle();
        let timeout = active.map(|active| active.head_timeout);
        timeout.unwrap_or_else(|| CallerLimits::default().head_timeout())
    }

    /// Activates a bundle if it is newer than the active one; returns whether it was.
    pub fn activate_if_newer(&self, bundle: ActiveBundle) -> bool {
        let mut active = self.active.lock();
        let version = bundle.manifest.version;
        if active
            .as_ref()
            .is_some_and(|old| old.manifest.version >= version)
        {
            return false;
        }
        self.metrics.bundle_version.set(version as i64);
        *active = Some(Arc::new(bundle));
        true
    }

    /// Returns the version of the active bundle, or 0 if there is none.
    pub fn bundle_version(&self) -> u64 {
        self.active_bundle()
            .map_or(0, |bundle| bundle.manifest.version)
    }

    /// Marks the fetch of a version as begun and returns `true`, unless a fetch of this
    /// or a newer version is in progress. Many peers that announce a version thus cause
    /// only one transfer.
    pub fn begin_fetch(&self, version: u64) -> bool {
        self.fetching_version.fetch_max(version, Ordering::AcqRel) < version
    }

    /// Ends a fetch; if it failed, the next announcement of the version starts another.
    pub fn end_fetch(&self, version: u64) {
        let active_version = self.bundle_version();
        let on_success = Ordering::AcqRel;
        // The mark of a newer version that is being fetched meanwhile stays.
        let _ = self.fetching_version.compare_exchange(
            version,
            active_version,
            on_success,
            Ordering::Acquire,
        );
    }

    /// Returns whether the box is ready for callers' requests.
    pub fn is_ready(&self) -> bool {
        self.started.load(Ordering::Acquire)
            && !self.stopping.has_begun()
            && self.bundle_version() > 0
    }

    /// Sends a message to a peer and returns its reply. `None` if the peer cannot be
    /// reached or does not reply within `timeout`, if its reply cannot be decoded, or if
    /// it is not on loopback and TLS is not set.
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

    /// Returns the boxes that are considered alive.
    pub fn live_boxes(&self) -> Arc<RendezvousSet> {
        self.membership.lock().live_boxes(wingspur_clock::now())
    }

    /// Returns the peer of this id; `None` for this box itself.
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

/// Returns the time since the Unix epoch. It serves for retention and incarnations, never
/// for fencing.
pub fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// The path to which peers post their messages.
pub const PEER_PATH: &str = "/peer";
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
