//! The services that this box sends requests to, with their servers, budgets and
//! connections.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use wingspur_state::{
    AnnouncedStates, Balancer, Bundle, CoverageRole, DataCentreId, FleetRetryBudget,
    FleetSize, Regions, RegistryChange, ResendDemand, RetryAfterSchedule,
    RetryBudgetSettings, ServerKey, ServerPath, ServerRecord, ServiceUrgency, server_key,
};
use wingspur_transport::{BackendConnections, BufferBudget, InjectedPathFault};

use crate::locks::{LockRank, RankedMutex};

/// State that this box keeps for one service. It is kept across bundle versions.
#[derive(Debug)]
pub struct ServiceState {
    /// Name of the service in the bundle.
    pub name: String,
    /// Chooses among its backend servers.
    pub balancer: RankedMutex<Balancer>,
    /// Its retry budget.
    pub budget: RankedMutex<FleetRetryBudget>,
    /// The resends that its requests need, by which scarce ones are allotted.
    pub resend_demand: RankedMutex<ResendDemand>,
    /// Retry times that were given to refused callers.
    pub retry_after_queue: RankedMutex<RetryAfterSchedule>,
    /// What its requests need, for decisions by urgency.
    pub urgency: RankedMutex<ServiceUrgency>,
    /// Whether this box reaches its backend servers.
    pub path: RankedMutex<ServerPath>,
    /// Held while the path is being checked.
    pub path_check: smol::lock::Mutex<()>,
}

/// All services of this box, and the connections to their servers.
#[derive(Debug)]
pub struct Services {
    home: DataCentreId,
    regions: Arc<Regions>,
    budget: RankedMutex<RetryBudgetSettings>,
    by_name: RankedMutex<HashMap<String, Arc<ServiceState>>>,
    /// The service of each announced server.
    by_server: RankedMutex<HashMap<ServerKey, Arc<ServiceState>>>,
    /// Whether there were servers after the latest changes had been applied.
    has_servers: AtomicBool,
    backends: RankedMutex<HashMap<SocketAddr, Arc<BackendConnections>>>,
    /// Data centres whose servers are sent no further requests.
    evacuated: RankedMutex<Arc<BTreeSet<DataCentreId>>>,
    /// What decides which probes of idle servers this box owns.
    coverage_role: RankedMutex<CoverageRole>,
    /// The fault of the path to all servers that is injected now.
    pub path_fault: InjectedPathFault,
    /// The budget for what is buffered of servers' responses.
    buffers: Arc<BufferBudget>,
}

impl ServiceState {
    /// Returns the key of the service's name, which identifies it between boxes.
    pub fn key(&self) -> ServerKey {
        server_key(&self.name)
    }

    /// Returns whether this box reaches the service's servers, as far as it knows.
    pub fn is_reachable(&self) -> bool {
        self.path.lock().is_reachable()
    }
}

impl Services {
    /// Creates a registry without services, for a box in the data centre `home`.
    pub fn new(
        home: DataCentreId,
        regions: Regions,
        budget: RetryBudgetSettings,
        buffers: Arc<BufferBudget>,
    ) -> Self {
        Self {
            home,
            regions: Arc::new(regions),
            budget: RankedMutex::new(LockRank::BudgetSettings, budget),
            by_name: RankedMutex::new(LockRank::Services, HashMap::new()),
            by_server: RankedMutex::new(LockRank::ServersByKey, HashMap::new()),
            has_servers: AtomicBool::new(false),
            backends: RankedMutex::new(LockRank::Backends, HashMap::new()),
            evacuated: RankedMutex::new(LockRank::Evacuated, Arc::default()),
            coverage_role: RankedMutex::new(
                LockRank::CoverageRole,
                CoverageRole::default(),
            ),
            path_fault: InjectedPathFault::default(),
            buffers,
        }
    }

    /// Returns a service by its name; creates it on first use.
    pub fn get(&self, name: &str) -> Arc<ServiceState> {
        let mut services = self.by_name.lock();
        if let Some(service) = services.get(name) {
            return service.clone();
        }
        let budget = *self.budget.lock();
        let regions = self.regions.clone();
        let mut balancer = Balancer::with_regions(self.home.clone(), regions);
        balancer.set_evacuated(self.evacuated());
        balancer.set_coverage_role(*self.coverage_role.lock());
        let service = Arc::new(ServiceState {
            name: name.to_owned(),
            balancer: RankedMutex::new(LockRank::Balancer, balancer),
            budget: RankedMutex::new(LockRank::Budget, FleetRetryBudget::new(budget)),
            resend_demand: RankedMutex::new(
                LockRank::ResendDemand,
                ResendDemand::default(),
            ),
            retry_after_queue: RankedMutex::new(
                LockRank::Returns,
                RetryAfterSchedule::default(),
            ),
            urgency: RankedMutex::new(LockRank::Urgency, ServiceUrgency::default()),
            path: RankedMutex::new(LockRank::ServerPath, ServerPath::default()),
            path_check: smol::lock::Mutex::new(()),
        });
        services.insert(name.to_owned(), service.clone());
        service
    }

    /// Returns the data centres that are evacuated.
    pub fn evacuated(&self) -> Arc<BTreeSet<DataCentreId>> {
        self.evacuated.lock().clone()
    }

    /// Changes the set of evacuated data centres, whose servers are sent no further
    /// requests. Returns the sets before and after the change.
    pub fn update_evacuated(
        &self,
        change: impl FnOnce(&mut BTreeSet<DataCentreId>),
    ) -> (Arc<BTreeSet<DataCentreId>>, Arc<BTreeSet<DataCentreId>>) {
        // The lock is held throughout, so that a service created meanwhile gets the
        // change too.
        let services = self.by_name.lock();
        let before = self.evacuated();
        let mut evacuated = (*before).clone();
        change(&mut evacuated);
        if evacuated == *before {
            return (before.clone(), before);
        }
        let evacuated = Arc::new(evacuated);
        *self.evacuated.lock() = evacuated.clone();
        for service in services.values() {
            service.balancer.lock().set_evacuated(evacuated.clone());
        }
        (before, evacuated)
    }

    /// Changes what decides which probes of idle servers this box owns, for all services,
    /// present and future. Returns whether its position has changed.
    pub fn set_coverage_role(&self, role: CoverageRole) -> bool {
        // The lock is held throughout, so that a service created meanwhile gets the
        // change too.
        let services = self.by_name.lock();
        let before = std::mem::replace(&mut *self.coverage_role.lock(), role);
        if before == role {
            return false;
        }
        for service in services.values() {
            service.balancer.lock().set_coverage_role(role);
        }
        before.position != role.position
    }

    /// Applies changed retry budget settings to all services, present and future.
    pub fn set_budget(&self, settings: RetryBudgetSettings) {
        *self.budget.lock() = settings;
        for service in self.all() {
            service.budget.lock().set_settings(settings);
        }
    }

    /// Returns all services, in no particular order.
    pub fn all(&self) -> Vec<Arc<ServiceState>> {
        self.by_name.lock().values().cloned().collect()
    }

    /// Returns the service with this key of its name; `None` if there is none.
    pub fn by_key(&self, key: ServerKey) -> Option<Arc<ServiceState>> {
        let services = self.by_name.lock();
        let mut matching = services.values().filter(|service| service.key() == key);
        matching.next().cloned()
    }

    /// Returns the service of a server; `None` if the server is not announced.
    pub fn of_server(&self, key: ServerKey) -> Option<Arc<ServiceState>> {
        self.by_server.lock().get(&key).cloned()
    }

    /// Returns the connection pool for a server's address; creates it on first use.
    pub fn backend(&self, address: SocketAddr) -> Arc<BackendConnections> {
        let mut backends = self.backends.lock();
        let path_fault = || self.path_fault.clone();
        let buffers = || self.buffers.clone();
        let create = || {
            Arc::new(BackendConnections::with_path_fault(
                address,
                buffers(),
                path_fault(),
            ))
        };
        backends.entry(address).or_insert_with(create).clone()
    }

    /// Applies changes of the server directory to the balancers, with the announced state
    /// of each server.
    pub fn apply_directory_changes(
        &self,
        changes: &[RegistryChange],
        announced_states: &RankedMutex<AnnouncedStates>,
    ) {
        let now = wingspur_clock::now();
        let upsert = |record: &ServerRecord| {
            let service = self.get(&record.service);
            let mut balancer = service.balancer.lock();
            balancer.upsert(record.clone(), now);
            let announced_state = announced_states.lock().state(record.key());
            balancer.set_announced_state(record.key(), announced_state);
            drop(balancer);
            self.by_server.lock().insert(record.key(), service);
        };
        for change in changes {
            match change {
                RegistryChange::Updated(record) => upsert(record),
                RegistryChange::Restarted { before, record } => {
                    self.forget(before);
                    upsert(record);
                }
                RegistryChange::Removed(record) => self.forget(record),
            }
        }
        // Only now: requests must not come while some services lack their servers.
        let has_servers = !self.by_server.lock().is_empty();
        self.has_servers.store(has_servers, Ordering::Release);
    }

    /// Whether there are servers that requests can be sent to.
    pub fn has_servers(&self) -> bool {
        self.has_servers.load(Ordering::Acquire)
    }

    /// Removes a server instance and the connections to it.
    fn forget(&self, record: &ServerRecord) {
        let service = self.get(&record.service);
        service.balancer.lock().remove(record.key());
        self.by_server.lock().remove(&record.key());
        self.backends.lock().remove(&record.address);
    }

    /// Sets this box's share of each service's connections and retry budget by the fleet
    /// size, and the service's rate limit for servers that warm up.
    pub fn apply_fleet_shares(&self, bundle: &Bundle, fleet_size: FleetSize) {
        for declared in &bundle.services {
            let service = self.get(&declared.name);
            let mut balancer = service.balancer.lock();
            if let Some(connections) = declared.server_connections {
                balancer.set_connection_shares(connections, fleet_size.boxes);
            }
            balancer.set_warmup_rate_limit(declared.cold_requests_per_s);
            drop(balancer);
            service.budget.lock().set_fleet_size(fleet_size);
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_idle(&self, now: Instant) {
        let backends: Vec<_> = self.backends.lock().values().cloned().collect();
        for backend in backends {
            backend.close_idle(now);
        }
    }
}
