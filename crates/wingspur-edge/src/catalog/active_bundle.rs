//! The active configuration bundle, with the lookup tables that the request path needs.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use wingspur_state::{
    AccountTable, Bundle, ClientAccount, HostRoute, HostRoutes, RouteClass, ServiceTime,
};

use crate::locks::{LockRank, RankedMutex};
use crate::services::{ServiceState, Services};

/// The bundle in use. It is never changed, but replaced as a whole by the next one.
#[derive(Debug)]
pub struct ActiveBundle {
    /// The bundle itself.
    pub bundle: Arc<Bundle>,
    /// When it became active.
    pub since: Instant,
    /// The client accounts by their keys; `None` if the bundle has no accounts, so that
    /// callers need no key.
    pub accounts: Option<Arc<AccountTable>>,
    /// Whether any account has a rate limit.
    pub has_limited_accounts: bool,
    hosts: HostRoutes,
    routes: Vec<Arc<ActiveRoute>>,
}

/// A route with its target services and learned statistics.
#[derive(Debug)]
pub struct ActiveRoute {
    /// The route as the bundle declares it.
    pub route: HostRoute,
    /// The target services, each with the sum of the weights up to and including its own.
    targets: Vec<(u32, Arc<ServiceState>)>,
    /// Learned statistics, kept across bundle versions.
    pub stats: Arc<RouteStats>,
}

/// Response time and size statistics of a route, learned from its responses.
#[derive(Debug)]
pub struct RouteStats {
    typical_us: AtomicU64,
    response_bytes: AtomicU64,
    service_time: RankedMutex<ServiceTime>,
    /// Position of the next request among the targets, in units of 2^-64.
    cursor: AtomicU64,
}

impl ActiveBundle {
    /// Prepares a bundle for use. Routes that the bundle `before` has under the same name
    /// keep their statistics.
    pub fn new(bundle: Arc<Bundle>, before: Option<&Self>, services: &Services) -> Self {
        let previous_routes: HashMap<&str, &Arc<ActiveRoute>> = before
            .into_iter()
            .flat_map(|before| &before.routes)
            .map(|route| (route.route.name.as_str(), route))
            .collect();
        let activate = |route: &HostRoute| {
            let previous_stats = previous_routes.get(route.name.as_str());
            let previous_stats = previous_stats.map(|route| route.stats.clone());
            let new_stats = || Arc::new(RouteStats::new(route));
            Arc::new(ActiveRoute {
                targets: targets(route, services),
                stats: previous_stats.unwrap_or_else(new_stats),
                route: route.clone(),
            })
        };
        Self {
            accounts: accounts(&bundle, before),
            has_limited_accounts: has_limited_accounts(&bundle),
            hosts: HostRoutes::new(&bundle.host_routes),
            routes: bundle.host_routes.iter().map(activate).collect(),
            bundle,
            since: wingspur_clock::now(),
        }
    }

    /// Returns the version of the bundle.
    pub fn version(&self) -> u64 {
        self.bundle.version
    }

    /// Finds the route of a request by its host and path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ActiveRoute>> {
        self.hosts.find(host, path).map(|index| &self.routes[index])
    }
}

impl ActiveRoute {
    /// Returns the service for the next request, so that services get requests by their
    /// weights.
    pub fn next_service(&self) -> &Arc<ServiceState> {
        let total_weight = self.targets.last().map_or(1, |(sum, _)| *sum).max(1);
        let fraction = self.stats.next_fraction();
        let offset = ((fraction * f64::from(total_weight)) as u32).min(total_weight - 1);
        let target = self.targets.iter().find(|(sum, _)| offset < *sum);
        let (_, service) = target.unwrap_or(&self.targets[0]);
        service
    }

    /// Returns the target service with this name; `None` if the route has no such one.
    pub fn service_named(&self, name: &str) -> Option<&Arc<ServiceState>> {
        let mut services = self.targets.iter().map(|(_, service)| service);
        services.find(|service| service.name == name)
    }

    /// Returns the longest time that a request may take.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.route.timeout_ms)
    }
}

impl RouteStats {
    fn new(route: &HostRoute) -> Self {
        let target = Duration::from_millis(route.target_latency_ms);
        let typical = target.mul_f64(INITIAL_LATENCY_SHARE);
        let bytes = match route.class {
            RouteClass::Download => INITIAL_DOWNLOAD_BYTES,
            RouteClass::Read | RouteClass::OnceOnly => INITIAL_RESPONSE_BYTES,
        };
        Self {
            typical_us: AtomicU64::new(typical.as_micros() as u64),
            response_bytes: AtomicU64::new(bytes),
            service_time: RankedMutex::new(LockRank::ServiceTime, ServiceTime::new()),
            // Boxes start at different points, so that the weights hold over the fleet
            // even if each box has few requests.
            cursor: AtomicU64::new(rand::random()),
        }
    }

    /// Returns the usual duration of a successful response.
    pub fn typical_latency(&self) -> Duration {
        Duration::from_micros(self.typical_us.load(Ordering::Relaxed))
    }

    /// Returns the usual size of a successful response in bytes.
    pub fn response_bytes(&self) -> u64 {
        self.response_bytes.load(Ordering::Relaxed)
    }

    /// Returns the distribution of successful response times relative to the expected
    /// ones.
    pub fn service_time(&self) -> ServiceTime {
        *self.service_time.lock()
    }

    /// Records that a successful response took `ratio` times as long as expected of its
    /// server.
    pub fn record_latency_ratio(&self, ratio: f64) {
        self.service_time.lock().record(ratio);
    }

    /// Adds the duration and size of a successful response to the averages.
    pub fn record_response(&self, duration: Duration, bytes: u64) {
        // Limits the influence of very slow responses on the average.
        let duration = duration.min(self.typical_latency() * MAX_LATENCY_FACTOR);
        update_average(&self.typical_us, duration.as_micros() as u64);
        update_average(&self.response_bytes, bytes);
    }

    /// Returns the next value of an evenly spread sequence from 0 to 1 (golden-ratio
    /// sequence).
    fn next_fraction(&self) -> f64 {
        let cursor = self.cursor.fetch_add(GOLDEN_RATIO_STEP, Ordering::Relaxed);
        (cursor >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Returns the table of the bundle's accounts; `None` if it has no accounts. The table of
/// the previous bundle is reused if no account has changed, as in most bundles, because
/// the table is large in deployments with many accounts.
fn accounts(bundle: &Bundle, before: Option<&ActiveBundle>) -> Option<Arc<AccountTable>> {
    let new = bundle.client_accounts.as_ref()?;
    let unchanged = before.and_then(|before| {
        let old = before.bundle.client_accounts.as_ref()?;
        is_same_list(old, new).then(|| before.accounts.clone())?
    });
    unchanged.or_else(|| Some(Arc::new(AccountTable::new(new))))
}

fn has_limited_accounts(bundle: &Bundle) -> bool {
    let mut accounts = bundle.client_accounts.iter().flatten();
    accounts.any(|account| account.is_limited())
}

fn is_same_list(old: &[Arc<ClientAccount>], new: &[Arc<ClientAccount>]) -> bool {
    let mut pairs = old.iter().zip(new);
    old.len() == new.len() && pairs.all(|(old, new)| Arc::ptr_eq(old, new))
}

fn targets(route: &HostRoute, services: &Services) -> Vec<(u32, Arc<ServiceState>)> {
    let mut sum = 0;
    let weighted = route.targets.iter().filter(|target| target.weight > 0);
    weighted
        .map(|target| {
            sum += target.weight;
            (sum, services.get(&target.service))
        })
        .collect()
}

fn update_average(average: &AtomicU64, sample: u64) {
    let old = average.load(Ordering::Relaxed) as f64;
    let new = old + AVERAGE_WEIGHT * (sample as f64 - old);
    average.store(new as u64, Ordering::Relaxed);
}

/// Share of the target latency that is assumed as the usual duration before any response.
const INITIAL_LATENCY_SHARE: f64 = 0.3;
const INITIAL_RESPONSE_BYTES: u64 = 1 << 10;
const INITIAL_DOWNLOAD_BYTES: u64 = 64 << 10;
/// Weight of a new response in the averages, which therefore reflect about the last ten
/// responses. A box handles about one request per second on a route.
const AVERAGE_WEIGHT: f64 = 0.1;
const MAX_LATENCY_FACTOR: u32 = 4;
/// Fractional part of the golden ratio, in units of 2^-64.
const GOLDEN_RATIO_STEP: u64 = 0x9e37_79b9_7f4a_7c15;
