//! The bundle in force, with all that the request path needs of it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use wingspur_protocol::{Manifest, SignedBundle};
use wingspur_state::{
    Bundle, RouteClass, RouteConflict, RouteMatch, RouteTable, Service, ServiceTable,
};
use wingspur_transport::{BackendPool, Spawner};

use crate::concurrency_limiter::ConcurrencyLimiter;
use wingspur_edge::{LockRank, RankedMutex};

/// A bundle in force; swapped whole for the next one.
#[derive(Debug)]
pub struct ActiveBundle {
    /// The bundle as it was signed.
    pub signed: SignedBundle,
    /// Its manifest.
    pub manifest: Manifest,
    /// Its parts' bytes, by digest, for peers that lack them.
    pub parts: HashMap<String, Vec<u8>>,
    /// The header that names the caller's account.
    pub account_header: String,
    /// The route table.
    pub routes: RouteTable,
    /// The services, in the bundle's order.
    pub services: Vec<Arc<ServiceHandle>>,
    /// Since when it is in force.
    pub activated_at: Instant,
}

/// A service in force.
#[derive(Debug)]
pub struct ServiceHandle {
    /// The service as the bundle declares it.
    pub service: Arc<Service>,
    /// Its table.
    pub table: RankedMutex<ServiceTable>,
    /// The connections to each server.
    pub pools: Vec<Arc<BackendPool>>,
    concerns: HashMap<RouteClass, ConcurrencyLimiter>,
}

impl ActiveBundle {
    /// Puts a checked bundle together; learns from the one before it.
    pub fn new(
        signed: SignedBundle,
        manifest: Manifest,
        parts: HashMap<String, Vec<u8>>,
        bundle: Bundle,
        before: Option<&ActiveBundle>,
        place: &BoxContext<'_>,
    ) -> Result<Self, RouteConflict> {
        let routes = RouteTable::new(&bundle)?;
        let mut pools = before.map(ActiveBundle::pools).unwrap_or_default();
        let mut services = Vec::with_capacity(bundle.services.len());
        for (service, part) in bundle.services.into_iter().zip(&manifest.parts) {
            let tag = tag_of(&part.digest);
            let old = before.and_then(|before| before.service(&service.name));
            let handle = ServiceHandle::new(service, tag, old, &mut pools, place);
            services.push(Arc::new(handle));
        }
        Ok(Self {
            signed,
            manifest,
            parts,
            account_header: bundle.account_header,
            routes,
            services,
            activated_at: wingspur_clock::now(),
        })
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceHandle>> {
        self.services
            .iter()
            .find(|handle| handle.service.name == name)
    }

    /// Finds the route of a request.
    pub fn match_route(&self, method: &str, path: &str) -> Option<Option<RouteMatch>> {
        self.routes.find(method, path)
    }

    fn pools(&self) -> HashMap<SocketAddr, Arc<BackendPool>> {
        let mut pools = HashMap::new();
        for handle in &self.services {
            for (server, pool) in handle.service.servers.iter().zip(&handle.pools) {
                pools.insert(server.address, pool.clone());
            }
        }
        pools
    }
}

impl ServiceHandle {
    fn new(
        service: Service,
        tag: u64,
        old: Option<&Arc<ServiceHandle>>,
        pools: &mut HashMap<SocketAddr, Arc<BackendPool>>,
        place: &BoxContext<'_>,
    ) -> Self {
        let service = Arc::new(service);
        let mut table =
            ServiceTable::new(service.clone(), tag, place.data_centre, place.boxes);
        if let Some(old) = old {
            table.inherit_state(&old.table.lock());
        }
        let pool_of = |server: &wingspur_state::BackendServer| {
            let spawner = place.spawner.clone();
            let fresh = || Arc::new(BackendPool::new(server.address, spawner));
            pools.entry(server.address).or_insert_with(fresh).clone()
        };
        let pools = service.servers.iter().map(pool_of).collect();
        let classes = [RouteClass::Read, RouteClass::OnceOnly, RouteClass::Download];
        let concerns =
            classes.map(|class| (class, ConcurrencyLimiter::new(&service.limits)));
        Self {
            table: RankedMutex::new(LockRank::ServiceTable, table),
            pools,
            concerns: concerns.into(),
            service,
        }
    }

    /// The places of one class of work.
    pub fn limiter(&self, class: RouteClass) -> &ConcurrencyLimiter {
        &self.concerns[&class]
    }
}

/// Where the box stands, and how many share the servers.
#[derive(Debug, Clone, Copy)]
pub struct BoxContext<'a> {
    /// The box's data centre.
    pub data_centre: &'a str,
    /// Boxes in the list.
    pub boxes: u32,
    /// Starts connections' tasks.
    pub spawner: &'a Spawner,
}

/// The first 64 bits of a part's digest.
fn tag_of(digest: &str) -> u64 {
    let start = digest.get(..16).unwrap_or_default();
    u64::from_str_radix(start, 16).unwrap_or_default()
}
