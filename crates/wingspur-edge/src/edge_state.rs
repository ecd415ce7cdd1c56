//! The state that all tasks of a box share.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wingspur_coordination::QuotaLeaseManager;
use wingspur_protocol::{BoxRecord, HeaderNames};
use wingspur_state::{
    AnnouncedStates, Bundle, FleetMembership, ServerRegistry, SuspectRequests,
};
use wingspur_transport::{Announcement, BufferBudget, Catalog, Connector, Spawner};

use crate::catalog::active_bundle::ActiveBundle;
use crate::locks::{LockRank, RankedMutex};
use crate::notify::Notify;
use crate::operation::metrics::Metrics;
use crate::operation::settings::Settings;
use crate::operation::shutdown::Shutdown;
use crate::peers::links::Links;
use crate::peers::relays::Relays;
use crate::proxy::in_flight_requests::InFlightRequests;
use crate::quotas::quarantine_state::QuarantineState;
use crate::quotas::resend_leases::ResendLeases;
use crate::services::Services;

/// The state that all tasks of a box share.
#[derive(Debug)]
pub struct EdgeState {
    /// Counters and gauges.
    pub metrics: Metrics,
    /// The header names of callers and servers.
    pub header_names: HeaderNames,
    /// Client of the store, in which bundles, servers and boxes are announced.
    pub catalog: Catalog,
    /// The services and their servers.
    pub services: Services,
    /// The announced servers.
    pub directory: RankedMutex<ServerRegistry>,
    /// The links to other boxes.
    pub links: RankedMutex<Links>,
    /// Quota leases for the limits of client accounts and servers.
    pub quota_leases: RankedMutex<QuotaLeaseManager>,
    /// The retry budgets that other boxes report, and the leases requested from them.
    pub resend_leases: RankedMutex<ResendLeases>,
    /// What servers have announced about themselves: limits, backoff and draining.
    pub announced_states: RankedMutex<AnnouncedStates>,
    /// The requests during which servers have ended.
    pub suspect_requests: RankedMutex<SuspectRequests>,
    /// Which requests in quarantine may be sent, and the permits for that.
    pub quarantine: RankedMutex<QuarantineState>,
    /// Notified when quota lease requests are pending, of this box or of others.
    pub quota_lease_pending: Notify,
    /// How this box is announced in the store; `None` if it is not.
    pub announcement: RankedMutex<Option<Announcement>>,
    /// Notified when the announcement may have to change.
    pub announcement_due: Notify,
    /// Notified when the store was restored from an older copy.
    pub store_restored: Notify,
    /// Opens connections to other boxes.
    pub connector: Connector,
    /// Starts tasks.
    pub spawner: Spawner,
    /// Notified when there are updates to send to other boxes.
    pub pending_updates: Notify,
    /// Notified when some of these updates should not wait for the next tick.
    pub urgent_updates: Notify,
    /// Notified when the planned links may have changed.
    pub link_plan_changed: Notify,
    /// The boxes that forward requests for this one.
    pub relays: Relays,
    /// Notified when this box has lost or regained the path to a service.
    pub path_changed: Notify,
    /// The budget for what is buffered of requests and responses.
    pub buffers: Arc<BufferBudget>,
    /// The requests in flight.
    pub in_flight: Arc<InFlightRequests>,
    /// When the box started.
    pub started_at: Instant,
    /// Whether the box is stopping, and by when requests must be answered.
    pub stopping: Shutdown,
    active_bundle: RankedMutex<Option<Arc<ActiveBundle>>>,
    settings: RankedMutex<Arc<Settings>>,
}

impl EdgeState {
    /// Creates the state of a box that has no bundle, no servers and no links yet.
    pub fn new(
        settings: Settings,
        names: HeaderNames,
        catalog: Catalog,
        spawner: Spawner,
    ) -> Self {
        // A random number, since a clock may jump and repeat a value.
        let incarnation = rand::random();
        let own = BoxRecord {
            id: settings.box_id.clone(),
            data_centre: settings.data_centre.clone(),
            peer_address: settings.peer_address,
            incarnation,
            capacity: settings.capacity(),
            fleet_boxes: 0,
        };
        let (home, regions) = (settings.data_centre.clone(), settings.regions.clone());
        let buffers = BufferBudget::new(settings.buffer_bytes());
        let budget = settings.retry_budget;
        let services = Services::new(home, regions, budget, buffers.clone());
        services
            .path_fault
            .set(settings.fault_injection.server_path);
        Self {
            metrics: Metrics::new(),
            header_names: names,
            catalog,
            services,
            directory: RankedMutex::new(LockRank::Directory, ServerRegistry::default()),
            links: RankedMutex::new(
                LockRank::Links,
                Links::new(
                    own,
                    settings.link_mbps,
                    settings.first_start,
                    wingspur_clock::now(),
                ),
            ),
            quota_leases: RankedMutex::new(
                LockRank::Lending,
                QuotaLeaseManager::new(wingspur_clock::now()),
            ),
            resend_leases: RankedMutex::new(
                LockRank::ResendLoans,
                ResendLeases::default(),
            ),
            announced_states: RankedMutex::new(
                LockRank::Standings,
                AnnouncedStates::default(),
            ),
            suspect_requests: RankedMutex::new(
                LockRank::Suspects,
                SuspectRequests::default(),
            ),
            quarantine: RankedMutex::new(
                LockRank::Quarantine,
                QuarantineState::new(incarnation),
            ),
            quota_lease_pending: Notify::new(),
            announcement: RankedMutex::new(LockRank::Announcement, None),
            announcement_due: Notify::new(),
            store_restored: Notify::new(),
            connector: Connector::new(spawner.clone(), None),
            spawner,
            pending_updates: Notify::new(),
            urgent_updates: Notify::new(),
            link_plan_changed: Notify::new(),
            relays: Relays::new(
                settings.data_centre.clone(),
                settings.regions.clone(),
                buffers.clone(),
            ),
            path_changed: Notify::new(),
            buffers,
            in_flight: InFlightRequests::new(),
            started_at: wingspur_clock::now(),
            stopping: Shutdown::new(),
            active_bundle: RankedMutex::new(LockRank::InForce, None),
            settings: RankedMutex::new(LockRank::Settings, Arc::new(settings)),
        }
    }

    /// Returns the current settings of the box.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.lock().clone()
    }

    /// Applies changed settings; returns the names of changed fields that need a restart.
    pub fn reload(&self, new: Settings) -> Vec<&'static str> {
        let old = self.settings();
        let fixed = old.changes_needing_restart(&new);
        self.services.set_budget(new.retry_budget);
        self.buffers.set_limit(new.buffer_bytes());
        self.inject_faults(&old, &new);
        *self.settings.lock() = Arc::new(new);
        fixed
    }

    fn inject_faults(&self, old: &Settings, new: &Settings) {
        let (before, fault) = (old.fault_injection, new.fault_injection);
        if before == fault {
            return;
        }
        self.services.path_fault.set(fault.server_path);
        tracing::warn!(server_path = ?fault.server_path, "settings: injected faults changed.");
    }

    /// Returns the active bundle; `None` before the first.
    pub fn active_bundle(&self) -> Option<Arc<ActiveBundle>> {
        self.active_bundle.lock().clone()
    }

    /// Returns how long the head of a caller's request may take to arrive.
    pub fn head_timeout(&self) -> Duration {
        let active = self.active_bundle();
        let limits = active.map(|active| active.bundle.caller_limits);
        limits.unwrap_or_default().head_timeout()
    }

    /// Returns the version of the active bundle; 0 if there is none.
    pub fn bundle_version(&self) -> u64 {
        self.active_bundle().map_or(0, |bundle| bundle.version())
    }

    /// Activates a bundle if it is newer than the active one; returns whether it did.
    /// `source` is where it came from, for the log.
    pub fn activate_bundle(&self, bundle: Arc<Bundle>, source: &str) -> bool {
        let mut active = self.active_bundle.lock();
        let before = active.as_ref().map_or(0, |old| old.version());
        if bundle.version <= before {
            return false;
        }
        let version = bundle.version;
        let new = ActiveBundle::new(bundle, active.as_deref(), &self.services);
        let routes = new.bundle.host_routes.len();
        *active = Some(Arc::new(new));
        drop(active);
        self.metrics.bundle_version.set(version as i64);
        tracing::info!(version, before, routes, source, "bundle: in force.");
        true
    }

    /// Whether the box takes callers: it is not stopping, has a bundle and servers, and
    /// can enforce the limits of client accounts.
    pub fn is_ready(&self) -> bool {
        !self.stopping.has_begun()
            && self.bundle_version() > 0
            && self.services.has_servers()
            && self.can_enforce_account_limits()
    }

    /// Whether this box can enforce the limits of client accounts, if any has one. A box
    /// that is cut off from the others has only a small share of the quotas, so its
    /// callers are better served by other boxes.
    fn can_enforce_account_limits(&self) -> bool {
        let active = self.active_bundle();
        let is_needed = active.is_some_and(|bundle| bundle.has_limited_accounts);
        let peer_state_age = self.links.lock().peer_state_age(wingspur_clock::now());
        !is_needed || peer_state_age.is_some_and(|age| age <= MAX_PEER_STATE_AGE)
    }

    /// Recomputes this box's share of connections and retry budgets from the fleet's
    /// size.
    pub fn update_fleet_shares(&self) {
        let fleet_size = self.links.lock().fleet_size(wingspur_clock::now());
        if let Some(active) = self.active_bundle() {
            self.services.apply_fleet_shares(&active.bundle, fleet_size);
        }
    }

    /// Returns this box's contact with the fleet and the fleet's size over the window of
    /// the retry budget, from which its share of the budget's slack follows.
    pub fn fleet_membership(&self) -> FleetMembership {
        let window_s = self.settings().retry_budget.window_s;
        let window = Duration::from_secs_f64(window_s);
        self.links
            .lock()
            .fleet_membership(window, wingspur_clock::now())
    }
}

/// A box whose newest state from any other is older counts as cut off; a change of hubs
/// takes less time.
const MAX_PEER_STATE_AGE: Duration = Duration::from_millis(2500);
