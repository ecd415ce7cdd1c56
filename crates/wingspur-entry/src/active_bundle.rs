//! The active bundle, with everything that the request path needs from it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wingspur_protocol::{Manifest, SignedBundle};
use wingspur_state::{
    Bundle, RouteClass, RouteConflict, RouteMatch, RouteTable, Service, ServiceTable,
};
use wingspur_transport::{BackendPool, Spawner};

use crate::concurrency_limiter::ConcurrencyLimiter;
use wingspur_edge::{LockRank, RankedMutex};

/// An active bundle; a newer one replaces it as a whole.
#[derive(Debug)]
pub struct ActiveBundle {
    /// The bundle as it was signed.
    pub signed: SignedBundle,
    /// Its manifest.
    pub manifest: Manifest,
    /// The bytes of its parts by digest, to serve to peers that lack them.
    pub parts: HashMap<String, Vec<u8>>,
    /// The header that names the caller's account.
    pub account_header: String,
    /// How long the head of a caller's request may take to arrive.
    pub head_timeout: Duration,
    /// The route table.
    pub routes: RouteTable,
    /// The services, in the bundle's order.
    pub services: Vec<Arc<ServiceHandle>>,
    /// When it was activated.
    pub activated_at: Instant,
}

/// A service of the active bundle.
#[derive(Debug)]
pub struct ServiceHandle {
    /// The service as the bundle declares it.
    pub service: Arc<Service>,
    /// The state of its servers.
    pub table: RankedMutex<ServiceTable>,
    /// The connections to each server.
    pub pools: Vec<Arc<BackendPool>>,
    limiters: HashMap<RouteClass, ConcurrencyLimiter>,
}

impl ActiveBundle {
    /// Builds the active bundle from a checked one. Connection pools and the state of
    /// services are taken over from the previous bundle. Fails when routes conflict.
    pub fn new(
        signed: SignedBundle,
        manifest: Manifest,
        parts: HashMap<String, Vec<u8>>,
        bundle: Bundle,
        previous: Option<&ActiveBundle>,
        context: &BoxContext<'_>,
    ) -> Result<Self, RouteConflict> {
        let routes = RouteTable::new(&bundle)?;
        let mut pools = previous.map(ActiveBundle::pools).unwrap_or_default();
        let mut services = Vec::with_capacity(bundle.services.len());
        for (service, part) in bundle.services.into_iter().zip(&manifest.parts) {
            let tag = service_tag(&part.digest);
            let old = previous.and_then(|previous| previous.service(&service.name));
            let handle = ServiceHandle::new(service, tag, old, &mut pools, context);
            services.push(Arc::new(handle));
        }
        Ok(Self {
            signed,
            manifest,
            parts,
            account_header: bundle.account_header,
            head_timeout: bundle.caller_limits.head_timeout(),
            routes,
            services,
            activated_at: wingspur_clock::now(),
        })
    }

    /// Returns the service of this name; `None` if the bundle has none.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceHandle>> {
        self.services
            .iter()
            .find(|handle| handle.service.name == name)
    }

    /// Finds the route of a request: `None` if no route has the path, `Some(None)` if the
    /// path exists but not for this method.
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
        context: &BoxContext<'_>,
    ) -> Self {
        let service = Arc::new(service);
        let mut table =
            ServiceTable::new(service.clone(), tag, context.data_centre, context.boxes);
        if let Some(old) = old {
            table.inherit_state(&old.table.lock());
        }
        let pool_of = |server: &wingspur_state::BackendServer| {
            let spawner = context.spawner.clone();
            let new_pool = || Arc::new(BackendPool::new(server.address, spawner));
            pools.entry(server.address).or_insert_with(new_pool).clone()
        };
        let pools = service.servers.iter().map(pool_of).collect();
        let classes = [RouteClass::Read, RouteClass::OnceOnly, RouteClass::Download];
        let limiters =
            classes.map(|class| (class, ConcurrencyLimiter::new(&service.limits)));
        Self {
            table: RankedMutex::new(LockRank::ServiceTable, table),
            pools,
            limiters: limiters.into(),
            service,
        }
    }

    /// Returns the concurrency limiter of a route class.
    pub fn limiter(&self, class: RouteClass) -> &ConcurrencyLimiter {
        &self.limiters[&class]
    }
}

/// The box's data centre, and how many boxes share the servers.
#[derive(Debug, Clone, Copy)]
pub struct BoxContext<'a> {
    /// The box's data centre.
    pub data_centre: &'a str,
    /// Number of boxes in the box list.
    pub boxes: u32,
    /// Starts the tasks of connections.
    pub spawner: &'a Spawner,
}

/// Returns the first 64 bits of a part's digest, or 0 if it is no hexadecimal digest.
fn service_tag(digest: &str) -> u64 {
    let start = digest.get(..16).unwrap_or_default();
    u64::from_str_radix(start, 16).unwrap_or_default()
}
