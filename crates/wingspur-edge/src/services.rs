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

use crate::locks::{Rank, Ranked};

/// One service as this box sees it; outlives the bundles that name it.
#[derive(Debug)]
pub struct ServiceState {
    /// The name.
    pub name: String,
    /// Its backend servers.
    pub balancer: Ranked<Balancer>,
    /// Its retry budget.
    pub budget: Ranked<FleetRetryBudget>,
    /// What refused callers were promised.
    pub returns: Ranked<RetryAfterSchedule>,
}

/// All services, and the connections to their servers.
#[derive(Debug)]
pub struct Services {
    home: DataCentreId,
    regions: Arc<Regions>,
    budget: Ranked<RetryBudgetSettings>,
    by_name: Ranked<HashMap<String, Arc<ServiceState>>>,
    /// The service of each announced server.
    by_server: Ranked<HashMap<ServerKey, Arc<ServiceState>>>,
    backends: Ranked<HashMap<SocketAddr, Arc<BackendConnections>>>,
    /// The data centres whose servers get nothing more.
    evacuated: Ranked<Arc<BTreeSet<DataCentreId>>>,
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
            budget: Ranked::new(Rank::BudgetSettings, budget),
            by_name: Ranked::new(Rank::Services, HashMap::new()),
            by_server: Ranked::new(Rank::ServersByKey, HashMap::new()),
            backends: Ranked::new(Rank::Backends, HashMap::new()),
            evacuated: Ranked::new(Rank::Evacuated, Arc::default()),
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
            balancer: Ranked::new(Rank::Balancer, balancer),
            budget: Ranked::new(Rank::Budget, FleetRetryBudget::new(budget)),
            returns: Ranked::new(Rank::Returns, RetryAfterSchedule::default()),
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
    pub fn follow(
        &self,
        changes: &[RegistryChange],
        standings: &Ranked<AnnouncedStates>,
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
    pub fn share(&self, bundle: &Bundle, division: FleetSize) {
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
