//! The bundle in force, with what the request path needs of it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use wingspur_state::{
    AccountTable, Bundle, ClientAccount, HostRoute, HostRoutes, RouteClass, ServiceTime,
};

use crate::locks::{LockRank, RankedMutex};
use crate::services::{ServiceState, Services};

/// A bundle in force; swapped whole for the next one.
#[derive(Debug)]
pub struct ActiveBundle {
    /// The bundle.
    pub bundle: Arc<Bundle>,
    /// Since when it is in force.
    pub since: Instant,
    /// The client accounts by their keys; none where callers need none.
    pub accounts: Option<Arc<AccountTable>>,
    /// Whether any of them has a limit.
    pub has_limited_accounts: bool,
    hosts: HostRoutes,
    routes: Vec<Arc<ActiveRoute>>,
}

/// A route with the services it leads to and what has been learned of it.
#[derive(Debug)]
pub struct ActiveRoute {
    /// The route as the bundle declares it.
    pub route: HostRoute,
    /// The services, with the sum of the weights up to and with each.
    targets: Vec<(u32, Arc<ServiceState>)>,
    /// What has been learned; goes over to the next bundle.
    pub stats: Arc<RouteStats>,
}

/// What has been learned of a route's requests.
#[derive(Debug)]
pub struct RouteStats {
    typical_us: AtomicU64,
    answer_bytes: AtomicU64,
    service_time: RankedMutex<ServiceTime>,
    /// Where the next request falls among the targets.
    turn: AtomicU64,
}

impl ActiveBundle {
    /// Puts a bundle together; takes over what was learned under the one before it.
    pub fn new(bundle: Arc<Bundle>, before: Option<&Self>, services: &Services) -> Self {
        let known: HashMap<&str, &Arc<ActiveRoute>> = before
            .into_iter()
            .flat_map(|before| &before.routes)
            .map(|active| (active.route.name.as_str(), active))
            .collect();
        let active = |route: &HostRoute| {
            let learned = known.get(route.name.as_str());
            let learned = learned.map(|active| active.stats.clone());
            let fresh = || Arc::new(RouteStats::new(route));
            Arc::new(ActiveRoute {
                targets: targets(route, services),
                stats: learned.unwrap_or_else(fresh),
                route: route.clone(),
            })
        };
        Self {
            accounts: accounts(&bundle, before),
            has_limited_accounts: has_limited_accounts(&bundle),
            hosts: HostRoutes::new(&bundle.host_routes),
            routes: bundle.host_routes.iter().map(active).collect(),
            bundle,
            since: wingspur_clock::now(),
        }
    }

    /// The version.
    pub fn version(&self) -> u64 {
        self.bundle.version
    }

    /// Finds the route of a request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ActiveRoute>> {
        self.hosts.find(host, path).map(|index| &self.routes[index])
    }
}

impl ActiveRoute {
    /// The service that takes the next request, by the weights.
    pub fn next_service(&self) -> &Arc<ServiceState> {
        let whole = self.targets.last().map_or(1, |(sum, _)| *sum).max(1);
        let turn = self.stats.next_turn();
        let at = ((turn * f64::from(whole)) as u32).min(whole - 1);
        let target = self.targets.iter().find(|(sum, _)| at < *sum);
        let (_, service) = target.unwrap_or(&self.targets[0]);
        service
    }

    /// The longest time that a request may be held.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.route.timeout_ms)
    }
}

impl RouteStats {
    fn new(route: &HostRoute) -> Self {
        let target = Duration::from_millis(route.target_latency_ms);
        let typical = target.mul_f64(FIRST_TYPICAL_SHARE);
        let bytes = match route.class {
            RouteClass::Download => FIRST_DOWNLOAD_BYTES,
            RouteClass::Read | RouteClass::OnceOnly => FIRST_ANSWER_BYTES,
        };
        Self {
            typical_us: AtomicU64::new(typical.as_micros() as u64),
            answer_bytes: AtomicU64::new(bytes),
            service_time: RankedMutex::new(LockRank::ServiceTime, ServiceTime::new()),
            // Boxes begin at different points, so that few requests of each still add up.
            turn: AtomicU64::new(rand::random()),
        }
    }

    /// How long a good answer usually takes.
    pub fn typical_latency(&self) -> Duration {
        Duration::from_micros(self.typical_us.load(Ordering::Relaxed))
    }

    /// How long an answer usually is, in bytes.
    pub fn answer_bytes(&self) -> u64 {
        self.answer_bytes.load(Ordering::Relaxed)
    }

    /// How good answers spread around the time expected of them.
    pub fn service_time(&self) -> ServiceTime {
        *self.service_time.lock()
    }

    /// Takes in that a good answer took `ratio` times what was expected of its server.
    pub fn record_latency_ratio(&self, ratio: f64) {
        self.service_time.lock().record(ratio);
    }

    /// Takes in a good answer.
    pub fn record_response(&self, took: Duration, bytes: u64) {
        // Stragglers must not stretch what counts as usual.
        let took = took.min(self.typical_latency() * MOST_STRETCH);
        blend(&self.typical_us, took.as_micros() as u64);
        blend(&self.answer_bytes, bytes);
    }

    /// A point between 0 and 1, spread evenly over the calls (a golden-ratio sequence).
    fn next_turn(&self) -> f64 {
        let turn = self.turn.fetch_add(GOLDEN_STEP, Ordering::Relaxed);
        (turn >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The table of the bundle's accounts; the one before where none has changed, as with most
/// bundles: it is long where accounts are many.
fn accounts(bundle: &Bundle, before: Option<&ActiveBundle>) -> Option<Arc<AccountTable>> {
    let new = bundle.client_accounts.as_ref()?;
    let known = before.and_then(|before| {
        let old = before.bundle.client_accounts.as_ref()?;
        is_same_list(old, new).then(|| before.accounts.clone())?
    });
    known.or_else(|| Some(Arc::new(AccountTable::new(new))))
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
    let weighty = route.targets.iter().filter(|target| target.weight > 0);
    weighty
        .map(|target| {
            sum += target.weight;
            (sum, services.get(&target.service))
        })
        .collect()
}

fn blend(figure: &AtomicU64, seen: u64) {
    let old = figure.load(Ordering::Relaxed) as f64;
    let new = old + LEARNING_WEIGHT * (seen as f64 - old);
    figure.store(new as u64, Ordering::Relaxed);
}

/// Before any answer came, it is taken to need this share of the target latency.
const FIRST_TYPICAL_SHARE: f64 = 0.3;
const FIRST_ANSWER_BYTES: u64 = 1 << 10;
const FIRST_DOWNLOAD_BYTES: u64 = 64 << 10;
/// A box sees about one request of a route a second: ten of them make the figure.
const LEARNING_WEIGHT: f64 = 0.1;
const MOST_STRETCH: u32 = 4;
/// The golden ratio's fraction of 2^64.
const GOLDEN_STEP: u64 = 0x9e37_79b9_7f4a_7c15;
