//! What all parts of an entry box share.

use std::sync::Arc;
use std::time::Duration;

use wingspur_coordination::QuotaLeaseManager;
use wingspur_protocol::{BoxRecord, HeaderNames};
use wingspur_state::{
    AnnouncedStates, Bundle, FleetMembership, ServerRegistry, SuspectRequests,
};
use wingspur_transport::{Announcement, Catalog, Connector, Spawner};

use crate::active_bundle::ActiveBundle;
use crate::in_flight_requests::InFlightRequests;
use crate::links::Links;
use crate::locks::{LockRank, RankedMutex};
use crate::metrics::Metrics;
use crate::notify::Notify;
use crate::quarantine_state::QuarantineState;
use crate::resend_leases::ResendLeases;
use crate::services::Services;
use crate::settings::Settings;
use crate::shutdown::Shutdown;

/// What all parts of an entry box share.
#[derive(Debug)]
pub struct EdgeState {
    /// Counters and gauges.
    pub metrics: Metrics,
    /// The header names of callers and servers.
    pub header_names: HeaderNames,
    /// Where bundles, servers and boxes are announced.
    pub catalog: Catalog,
    /// The services and their servers.
    pub services: Services,
    /// The announced servers.
    pub directory: RankedMutex<ServerRegistry>,
    /// The links to other boxes.
    pub links: RankedMutex<Links>,
    /// What is lent and borrowed of client accounts' allowances.
    pub quota_leases: RankedMutex<QuotaLeaseManager>,
    /// Who has room for resends, and what is lent of them.
    pub resend_leases: RankedMutex<ResendLeases>,
    /// What servers have said of themselves.
    pub announced_states: RankedMutex<AnnouncedStates>,
    /// The requests under which servers have ended.
    pub suspect_requests: RankedMutex<SuspectRequests>,
    /// What is let through of those that are in quarantine.
    pub quarantine: RankedMutex<QuarantineState>,
    /// Rung when a question of another box waits for an answer.
    pub quota_lease_pending: Notify,
    /// How this box is announced, if it is.
    pub announcement: RankedMutex<Option<Announcement>>,
    /// Rung when that may have to change.
    pub announcement_due: Notify,
    /// Rung when the store has come back from an older copy.
    pub store_restored: Notify,
    /// Opens connections to other boxes.
    pub connector: Connector,
    /// Starts tasks.
    pub spawner: Spawner,
    /// Rung when there is something to tell other boxes.
    pub pending_updates: Notify,
    /// Rung when some of that should not wait for the next tick.
    pub urgent_updates: Notify,
    /// Rung when links may have to change.
    pub link_plan_changed: Notify,
    /// The requests that are not over.
    pub in_flight: Arc<InFlightRequests>,
    /// Whether the box is stopping, and by when.
    pub stopping: Shutdown,
    in_force: RankedMutex<Option<Arc<ActiveBundle>>>,
    settings: RankedMutex<Arc<Settings>>,
}

impl EdgeState {
    /// A box that knows nothing yet.
    pub fn new(
        settings: Settings,
        names: HeaderNames,
        catalog: Catalog,
        spawner: Spawner,
    ) -> Self {
        // Drawn, not read from a clock that may jump.
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
        let services = Services::new(home, regions, settings.retry_budget);
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
            in_flight: InFlightRequests::new(),
            stopping: Shutdown::new(),
            in_force: RankedMutex::new(LockRank::InForce, None),
            settings: RankedMutex::new(LockRank::Settings, Arc::new(settings)),
        }
    }

    /// The box's settings as they stand now.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.lock().clone()
    }

    /// Takes up changed settings; returns the fields that only a restart can change.
    pub fn reload(&self, new: Settings) -> Vec<&'static str> {
        let old = self.settings();
        let fixed = old.changes_needing_restart(&new);
        self.services.set_budget(new.retry_budget);
        *self.settings.lock() = Arc::new(new);
        fixed
    }

    /// The bundle in force.
    pub fn active_bundle(&self) -> Option<Arc<ActiveBundle>> {
        self.in_force.lock().clone()
    }

    /// The version in force; 0 for none.
    pub fn bundle_version(&self) -> u64 {
        self.active_bundle().map_or(0, |bundle| bundle.version())
    }

    /// Puts a bundle in force if it is newer than what is.
    pub fn activate_bundle(&self, bundle: Arc<Bundle>, source: &str) -> bool {
        let mut in_force = self.in_force.lock();
        let before = in_force.as_ref().map_or(0, |old| old.version());
        if bundle.version <= before {
            return false;
        }
        let version = bundle.version;
        let new = ActiveBundle::new(bundle, in_force.as_deref(), &self.services);
        let routes = new.bundle.host_routes.len();
        *in_force = Some(Arc::new(new));
        drop(in_force);
        self.metrics.bundle_version.set(version as i64);
        tracing::info!(version, before, routes, source, "bundle: in force.");
        true
    }

    /// Whether the box takes callers.
    pub fn is_ready(&self) -> bool {
        !self.stopping.has_begun()
            && self.bundle_version() > 0
            && !self.directory.lock().is_empty()
            && self.can_count()
    }

    /// Whether this box can tell what client accounts may ask for, if it must: one that is
    /// cut off from the others has a small part only, and its callers are better served
    /// elsewhere.
    fn can_count(&self) -> bool {
        let in_force = self.active_bundle();
        let must = in_force.is_some_and(|now| now.has_limited_accounts);
        let heard_age = self.links.lock().peer_state_age(wingspur_clock::now());
        !must || heard_age.is_some_and(|age| age <= CUT_OFF)
    }

    /// Divides connections and budgets among the boxes that are announced now.
    pub fn update_fleet_shares(&self) {
        let division = self.links.lock().division(wingspur_clock::now());
        if let Some(in_force) = self.active_bundle() {
            self.services.apply_fleet_shares(&in_force.bundle, division);
        }
    }

    /// How this box stands with the fleet now, as far as the retry budget's slack goes.
    pub fn fleet_membership(&self) -> FleetMembership {
        let window_s = self.settings().retry_budget.window_s;
        let window = Duration::from_secs_f64(window_s);
        self.links
            .lock()
            .fleet_membership(window, wingspur_clock::now())
    }
}

/// A change of hubs takes less.
const CUT_OFF: Duration = Duration::from_millis(2500);
