//! The services that this box sends work to, with what it knows of each.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use wingspur_state::{
    AnnouncedStates, Balancer, Bundle, DataCentreId, FleetRetryBudget, FleetSize,
    Regions, RegistryChange, RetryAfterSchedule, RetryBudgetSettings, ServerKey,
    ServerRecord,
};
use wingspur_transport::BackendConnections;

use crate::locks::{LockRank, RankedMutex};

/// One service as this box sees it; outlives the bundles that name it.
#[derive(Debug)]
pub struct ServiceState {
    /// The name.
    pub name: String,
    /// Its backend servers.
    pub balancer: RankedMutex<Balancer>,
    /// Its retry budget.
    pub budget: RankedMutex<FleetRetryBudget>,
    /// What refused callers were promised.
    pub retry_after_queue: RankedMutex<RetryAfterSchedule>,
}

/// All services, and the connections to their servers.
#[derive(Debug)]
pub struct Services {
    home: DataCentreId,
    regions: Arc<Regions>,
    budget: RankedMutex<RetryBudgetSettings>,
    by_name: RankedMutex<HashMap<String, Arc<ServiceState>>>,
    /// The service of each announced server.
    by_server: RankedMutex<HashMap<ServerKey, Arc<ServiceState>>>,
    backends: RankedMutex<HashMap<SocketAddr, Arc<BackendConnections>>>,
    /// The data centres whose servers get nothing more.
    evacuated: RankedMutex<Arc<BTreeSet<DataCentreId>>>,
}

impl Services {
    /// No services yet.
    pub fn new(
        home: DataCentreId,
        regions: Regions,
        budget: RetryBudgetSettings,
    ) -> Self {
        Self {
            home,
            regions: Arc::new(regions),
            budget: RankedMutex::new(LockRank::BudgetSettings, budget),
            by_name: RankedMutex::new(LockRank::Services, HashMap::new()),
            by_server: RankedMutex::new(LockRank::ServersByKey, HashMap::new()),
            backends: RankedMutex::new(LockRank::Backends, HashMap::new()),
            evacuated: RankedMutex::new(LockRank::Evacuated, Arc::default()),
        }
    }

    /// A service by its name, made when it is first asked for.
    pub fn get(&self, name: &str) -> Arc<ServiceState> {
        let mut services = self.by_name.lock();
        if let Some(service) = services.get(name) {
            return service.clone();
        }
        let budget = *self.budget.lock();
        let regions = self.regions.clone();
        let mut balancer = Balancer::with_regions(self.home.clone(), regions);
        balancer.set_evacuated(self.evacuated());
        let service = Arc::new(ServiceState {
            name: name.to_owned(),
            balancer: RankedMutex::new(LockRank::Balancer, balancer),
            budget: RankedMutex::new(LockRank::Budget, FleetRetryBudget::new(budget)),
            retry_after_queue: RankedMutex::new(
                LockRank::Returns,
                RetryAfterSchedule::default(),
            ),
        });
        services.insert(name.to_owned(), service.clone());
        service
    }

    /// The data centres that are evacuated.
    pub fn evacuated(&self) -> Arc<BTreeSet<DataCentreId>> {
        self.evacuated.lock().clone()
    }

    /// Changes which data centres are evacuated: their servers get nothing more. Returns
    /// which were before and which are now.
    pub fn change_evacuated(
        &self,
        change: impl FnOnce(&mut BTreeSet<DataCentreId>),
    ) -> (Arc<BTreeSet<DataCentreId>>, Arc<BTreeSet<DataCentreId>>) {
        // Held throughout, so that a service that is made meanwhile has the change too.
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

    /// Takes up changed settings of the retry budget.
    pub fn set_budget(&self, settings: RetryBudgetSettings) {
        *self.budget.lock() = settings;
        for service in self.all() {
            service.budget.lock().set_settings(settings);
        }
    }

    /// All services.
    pub fn all(&self) -> Vec<Arc<ServiceState>> {
        self.by_name.lock().values().cloned().collect()
    }

    /// The service of a server; none for a server that is not announced.
    pub fn of_server(&self, key: ServerKey) -> Option<Arc<ServiceState>> {
        self.by_server.lock().get(&key).cloned()
    }

    /// The connections to a server's address.
    pub fn backend(&self, address: SocketAddr) -> Arc<BackendConnections> {
        let mut backends = self.backends.lock();
        let fresh = || Arc::new(BackendConnections::new(address));
        backends.entry(address).or_insert_with(fresh).clone()
    }

    /// Takes in what became of servers, each with how it stands by what it has said.
    pub fn apply_directory_changes(
        &self,
        changes: &[RegistryChange],
        standings: &RankedMutex<AnnouncedStates>,
    ) {
        let now = wingspur_clock::now();
        let put = |record: &ServerRecord| {
            let service = self.get(&record.service);
            let mut balancer = service.balancer.lock();
            balancer.upsert(record.clone(), now);
            let standing = standings.lock().state(record.key());
            balancer.set_announced_state(record.key(), standing);
            drop(balancer);
            self.by_server.lock().insert(record.key(), service);
        };
        for change in changes {
            match change {
                RegistryChange::Updated(record) => put(record),
                RegistryChange::Restarted { before, record } => {
                    self.forget(before);
                    put(record);
                }
                RegistryChange::Removed(record) => self.forget(record),
            }
        }
    }

    /// Forgets a run of a server, with the connections to it.
    fn forget(&self, record: &ServerRecord) {
        let service = self.get(&record.service);
        service.balancer.lock().remove(record.key());
        self.by_server.lock().remove(&record.key());
        self.backends.lock().remove(&record.address);
    }

    /// Divides each service's connections and budget among the boxes.
    pub fn apply_fleet_shares(&self, bundle: &Bundle, division: FleetSize) {
        for declared in &bundle.services {
            let service = self.get(&declared.name);
            let mut balancer = service.balancer.lock();
            if let Some(connections) = declared.server_connections {
                balancer.set_connection_shares(connections, division.boxes);
            }
            balancer.set_warmup_rate_limit(declared.cold_requests_per_s);
            drop(balancer);
            service.budget.lock().set_division(division);
        }
    }

    /// Closes connections that have rested too long.
    pub fn close_idle(&self, now: Instant) {
        let backends: Vec<_> = self.backends.lock().values().cloned().collect();
        for backend in backends {
            backend.close_idle(now);
        }
    }
}
