//! Observes and checks whether this box reaches the backend servers of its services.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};

use rand::RngExt;
use wingspur_state::{PathChange, ServerKey, ServerRecord};
use wingspur_transport::StopSignal;

use crate::edge_state::EdgeState;
use crate::services::ServiceState;

/// Records that a new connection to a server was opened.
pub fn record_connected(
    shared: &EdgeState,
    service: &Arc<ServiceState>,
    server: ServerKey,
) {
    let now = wingspur_clock::now();
    let mut balancer = service.balancer.lock();
    balancer.record_connected(server, now);
    let servers = balancer.server_count();
    drop(balancer);
    let change = service.path.lock().record_connected(server, servers, now);
    apply_change(shared, service, change, now);
}

/// Records that no connection to a server could be opened.
pub fn record_unreached(
    shared: &EdgeState,
    service: &Arc<ServiceState>,
    server: ServerKey,
) {
    let now = wingspur_clock::now();
    let servers = service.balancer.lock().server_count();
    let change = service.path.lock().record_unreached(server, servers, now);
    apply_change(shared, service, change, now);
}

/// Checks in the background whether this box still reaches the service, unless that is
/// known or was checked a moment ago.
pub fn check_path_soon(shared: &Arc<EdgeState>, service: &Arc<ServiceState>) {
    let now = wingspur_clock::now();
    let path = service.path.lock();
    let is_within = |age: Option<Duration>, limit| age.is_some_and(|age| age < limit);
    let is_known = !path.is_reachable()
        || is_within(path.checked_ago(now), CHECK_INTERVAL)
        || is_within(path.connected_ago(now), EVIDENCE_TTL)
        || is_within(path.response_ago(now), EVIDENCE_TTL);
    drop(path);
    if is_known {
        return;
    }
    let (shared, service) = (shared.clone(), service.clone());
    let spawner = shared.spawner.clone();
    spawner.detach(async move {
        check_path(&shared, &service).await;
    });
}

/// Returns whether this box reaches the service. Unless a connection was opened a moment
/// ago, tries to open one to some servers.
pub async fn check_path(shared: &Arc<EdgeState>, service: &Arc<ServiceState>) -> bool {
    let _running = service.path_check.lock().await;
    let now = wingspur_clock::now();
    let (avoid, is_known): (Vec<ServerKey>, bool) = {
        let path = service.path.lock();
        let is_recent = |age: Option<Duration>| age.is_some_and(|age| age < CHECKED_TTL);
        let is_known =
            is_recent(path.checked_ago(now)) || is_recent(path.connected_ago(now));
        (
            path.unreached(now).collect(),
            is_known || !path.is_reachable(),
        )
    };
    if is_known {
        return service.is_reachable();
    }
    let servers = service.balancer.lock().servers_to_check(
        SERVERS_TO_CHECK,
        &avoid,
        &mut rand::rng(),
    );
    let count = servers.len();
    let probes = servers.into_iter().enumerate().map(|(n, server)| {
        // One connection is enough where the path works.
        probe(shared, service, server, CHECK_STAGGER * n as u32)
    });
    let is_reached = any_succeeds(probes.collect()).await;
    service.path.lock().record_check(wingspur_clock::now());
    let is_reachable = service.is_reachable();
    shared.metrics.count_path_check(is_reached);
    tracing::info!(
        service = service.name,
        servers = count,
        is_reached,
        is_reachable,
        took_ms = wingspur_clock::since(now).as_millis() as u64,
        "path: checked."
    );
    is_reachable
}

/// Returns whether this box reaches any other service, so that the path is not at fault
/// where all servers of one service fail. Where there is none, the path is only at fault
/// if the service has several servers.
pub async fn reaches_other_service(
    shared: &Arc<EdgeState>,
    service: &Arc<ServiceState>,
) -> bool {
    let mut others = shared.services.all();
    others.retain(|other| {
        other.name != service.name && other.balancer.lock().server_count() > 0
    });
    let has_others = !others.is_empty();
    for other in others.iter().take(SERVICES_TO_CHECK) {
        if check_path(shared, other).await {
            return true;
        }
    }
    !has_others && service.balancer.lock().server_count() < MIN_REFERENCE_SERVERS
}

/// A probe of one server; resolves to whether it was reached.
type Probe<'a> = Pin<Box<dyn Future<Output = bool> + Send + 'a>>;

/// Opens a connection to a server after a delay and records the result.
fn probe<'a>(
    shared: &'a EdgeState,
    service: &'a Arc<ServiceState>,
    server: Arc<ServerRecord>,
    delay: Duration,
) -> Probe<'a> {
    Box::pin(async move {
        wingspur_clock::sleep(delay).await;
        let backend = shared.services.backend(server.address);
        let is_reached = backend.check(PROBE_TIMEOUT).await.is_ok();
        match is_reached {
            true => record_connected(shared, service, server.key()),
            false => record_unreached(shared, service, server.key()),
        }
        is_reached
    })
}

/// Returns true as soon as one of the probes succeeds, and false once all have failed.
async fn any_succeeds(mut probes: Vec<Probe<'_>>) -> bool {
    std::future::poll_fn(|context| {
        let mut is_reached = false;
        probes.retain_mut(|probe| match probe.as_mut().poll(context) {
            Poll::Ready(result) => {
                is_reached |= result;
                false
            }
            Poll::Pending => true,
        });
        match is_reached || probes.is_empty() {
            true => Poll::Ready(is_reached),
            false => Poll::Pending,
        }
    })
    .await
}

/// While services are unreachable, calls `search_relays` with them and probes servers,
/// until the box stops.
pub async fn run_path_watch(
    shared: Arc<EdgeState>,
    stop: StopSignal,
    search_relays: impl Fn(&Arc<EdgeState>, &[Arc<ServiceState>]),
) {
    let mut probes_due = HashMap::new();
    while !stop.is_triggered() {
        let lost = lost_services(&shared);
        let pause = if lost.is_empty() {
            IDLE_TICK
        } else {
            LOST_TICK
        };
        probes_due.retain(|key, _| lost.iter().any(|service| service.key() == *key));
        if !lost.is_empty() {
            search_relays(&shared, &lost);
        }
        for service in lost {
            probe_if_due(&shared, &service, &mut probes_due);
        }
        shared.path_changed.wait(pause).await;
    }
}

fn lost_services(shared: &EdgeState) -> Vec<Arc<ServiceState>> {
    let mut services = shared.services.all();
    services.retain(|service| !service.is_reachable());
    services
}

/// Probes one server of an unreachable service, at most once in an interval.
fn probe_if_due(
    shared: &Arc<EdgeState>,
    service: &Arc<ServiceState>,
    probes_due: &mut HashMap<ServerKey, Instant>,
) {
    let now = wingspur_clock::now();
    let due = probes_due
        .entry(service.key())
        .or_insert(now + PROBE_INTERVAL);
    if now < *due {
        return;
    }
    // The random part keeps boxes that lost their paths together from probing together.
    *due = now + PROBE_INTERVAL.mul_f64(rand::rng().random_range(0.75..1.25));
    let avoid: Vec<ServerKey> = service.path.lock().unreached(now).collect();
    let servers = service
        .balancer
        .lock()
        .servers_to_check(1, &avoid, &mut rand::rng());
    let Some(server) = servers.into_iter().next() else {
        let change = service.path.lock().record_no_servers(now);
        return apply_change(shared, service, change, now);
    };
    let (shared, service) = (shared.clone(), service.clone());
    let spawner = shared.spawner.clone();
    spawner.detach(async move {
        probe(&shared, &service, server, Duration::ZERO).await;
    });
}

fn apply_change(
    shared: &EdgeState,
    service: &Arc<ServiceState>,
    change: Option<PathChange>,
    now: Instant,
) {
    let Some(change) = change else { return };
    let mut balancer = service.balancer.lock();
    balancer.discard_path_evidence(now);
    let served_elsewhere = balancer.served_elsewhere_ago(now);
    drop(balancer);
    let age_ms = |age: Option<Duration>| age.map(|age| age.as_millis() as u64);
    match change {
        PathChange::Lost {
            unreached,
            connected_ago,
        } => {
            shared.metrics.unreachable_services.inc();
            shared.relays.directory.lock().hasten_query();
            tracing::warn!(
                service = service.name,
                unreached,
                connected_ms_ago = age_ms(connected_ago),
                served_elsewhere_ms_ago = age_ms(served_elsewhere),
                "path: lost."
            );
        }
        PathChange::Regained { lost_for } => {
            shared.metrics.unreachable_services.dec();
            tracing::info!(
                service = service.name,
                lost_ms = lost_for.as_millis() as u64,
                "path: regained."
            );
            shared.relays.close_unused(&shared.services);
        }
    }
    shared.pending_updates.notify();
    shared.path_changed.notify();
}

/// The number of servers by which a path is checked.
const SERVERS_TO_CHECK: usize = 3;
/// The number of other services by which a path is checked.
const SERVICES_TO_CHECK: usize = 2;
/// The number of servers of a single service from which on the failure of all of them
/// speaks against the path.
const MIN_REFERENCE_SERVERS: usize = 3;
/// The delay between the connections of a check, so that usually only one is opened.
const CHECK_STAGGER: Duration = Duration::from_millis(25);
/// How long a probe waits for its connection. The round trip to the farthest region takes
/// 60 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);
/// How long the result of a check stands.
const CHECKED_TTL: Duration = Duration::from_millis(100);
/// How long a new connection or a response speaks against a lost path.
const EVIDENCE_TTL: Duration = Duration::from_millis(300);
/// Shortest interval between two checks that were not asked for by a request.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Mean interval between two probes of an unreachable service.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// How often unreachable services are looked after, and how often the box looks for any.
const LOST_TICK: Duration = Duration::from_millis(50);
const IDLE_TICK: Duration = Duration::from_secs(1);
