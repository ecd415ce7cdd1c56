//! Starts a box with its listeners and tasks, and stops it in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures_lite::future::zip;
use smol::net::TcpListener;
use wingspur_protocol::HeaderNames;
use wingspur_transport::{
    Catalog, HeadTimeout, HttpListener, ListenerOptions, Spawner, StopSignal,
    StopTrigger, bind_listener, stop_pair,
};

use crate::catalog::announce::{run_announcement, withdraw_announcement};
use crate::catalog::catalog_watch::run_catalog_watch;
use crate::catalog::directory_changes::expire_missing_servers;
use crate::edge_state::EdgeState;
use crate::operation::metrics::Metrics;
use crate::operation::operator::answer_operator;
use crate::operation::settings::Settings;
use crate::operation::shutdown::ShutdownSchedule;
use crate::path_check::run_path_watch;
use crate::peer_port::handle_peer_request;
use crate::peers::link_handlers::LinkHandlers;
use crate::peers::peer_exchange::{run_exchange, run_link_manager};
use crate::peers::relay_search::search_relays;
use crate::proxy::request::handle_request;
use crate::proxy::server_hints::{handle_draining_updates, handle_limit_updates};
use crate::proxy::suspect_requests::{handle_suspect_updates, initial_suspect_updates};
use crate::quotas::quarantine::run_quarantine;
use crate::quotas::quota_leases::{handle_lease_messages, run_quota_leases};
use crate::quotas::resend_lease_exchange::resend_budget_reports;
use crate::suspicion::log_suspicion_changes;

/// A running box.
#[derive(Debug)]
pub struct EdgeBox {
    shared: Arc<EdgeState>,
    callers: HttpListener,
    peers: HttpListener,
    operators: HttpListener,
    collectors: Option<HttpListener>,
    stop: StopTrigger,
    tasks: Vec<smol::Task<()>>,
}

/// Why a box could not start.
#[derive(Debug, thiserror::Error)]
pub enum EdgeError {
    /// A port cannot be bound, or its listener cannot be started.
    #[error("`{field}` {address}: {error}; free the port or choose another")]
    Bind {
        /// The field of the settings.
        field: &'static str,
        /// The address; `0.0.0.0:0` where the listener failed after the port was bound.
        address: SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
}

impl EdgeBox {
    /// Starts a box; it takes callers once it knows a bundle and servers.
    pub async fn start(
        settings: Settings,
        names: HeaderNames,
        catalog: Catalog,
        spawner: &Spawner,
    ) -> Result<Self, EdgeError> {
        let caller_port = bind("caller_address", settings.caller_address)?;
        let peer_port = bind("peer_address", settings.peer_address)?;
        let operator_port = bind("operator_address", settings.operator_address)?;
        let collector_port = match settings.metrics_address {
            Some(address) => Some(bind("metrics_address", address)?),
            None => None,
        };
        let mut settings = settings;
        // Port 0 in the settings means any free port: other boxes are sent the one in
        // use.
        if let Ok(address) = peer_port.local_addr() {
            settings.peer_address = address;
        }
        let shared = EdgeState::new(settings, names, catalog, spawner.clone());
        let shared = Arc::new(shared);
        let options = ListenerOptions::default();
        let caller_shared = shared.clone();
        let handler =
            move |request, from| handle_request(caller_shared.clone(), request, from);
        let caller_shared = shared.clone();
        let caller_options = ListenerOptions {
            head_timeout: HeadTimeout::new(move || caller_shared.head_timeout()),
            ..options.clone()
        };
        let callers = HttpListener::start(caller_port, spawner, caller_options, handler);
        let callers = callers.map_err(|error| listener_error("caller_address", error))?;
        let peer_shared = shared.clone();
        let handlers = link_handlers();
        let handler = move |request, from| {
            handle_peer_request(peer_shared.clone(), request, from, handlers)
        };
        let peers = HttpListener::start(peer_port, spawner, options.clone(), handler);
        let peers = peers.map_err(|error| listener_error("peer_address", error))?;
        let operator_shared = shared.clone();
        let handler = move |request, _| answer_operator(operator_shared.clone(), request);
        let operators =
            HttpListener::start(operator_port, spawner, options.clone(), handler.clone());
        let operators =
            operators.map_err(|error| listener_error("operator_address", error))?;
        let collectors = collector_port
            .map(|port| HttpListener::start(port, spawner, options, handler))
            .transpose();
        let collectors =
            collectors.map_err(|error| listener_error("metrics_address", error))?;
        let (stop, signal) = stop_pair();
        let tasks = vec![
            spawner.spawn(run_catalog_watch(shared.clone(), signal.clone())),
            spawner.spawn(run_announcement(shared.clone(), signal.clone())),
            spawner.spawn(run_link_manager(shared.clone(), handlers, signal.clone())),
            spawner.spawn(run_exchange(shared.clone(), handlers, signal.clone())),
            spawner.spawn(run_quota_leases(shared.clone(), signal.clone())),
            spawner.spawn(run_quarantine(shared.clone(), signal.clone())),
            spawner.spawn(run_path_watch(
                shared.clone(),
                signal.clone(),
                search_relays,
            )),
            spawner.spawn(run_maintenance(shared.clone(), signal)),
        ];
        Ok(Self {
            shared,
            callers,
            peers,
            operators,
            collectors,
            stop,
            tasks,
        })
    }

    /// Returns the address at which the box listens for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address of the operator port.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the address at which the box listens for other boxes.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Whether the box takes callers.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Returns the version of the active bundle; 0 if there is none.
    pub fn bundle_version(&self) -> u64 {
        self.shared.bundle_version()
    }

    /// Returns the box's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Applies changed settings while the box runs; logs the fields that need a restart.
    pub fn reload(&self, settings: Settings) {
        let fixed = self.shared.reload(settings);
        if fixed.is_empty() {
            tracing::info!("settings: reloaded.");
        } else {
            tracing::warn!(?fixed, "settings: reloaded; these fields need a restart.");
        }
    }

    /// Sets the metric of dropped log lines.
    pub fn note_dropped_log_lines(&self, lines: usize) {
        self.shared.metrics.dropped_log_lines.set(lines as i64);
    }

    /// Stops in order: goes on accepting callers for the load balancer's lag, lets the
    /// requests in flight finish, answers the rest when the schedule's time is over, and
    /// closes all ports. Returns how many requests were cut.
    pub async fn close(mut self) -> usize {
        let schedule =
            ShutdownSchedule::new(&self.shared.settings(), wingspur_clock::now());
        schedule.log();
        self.log_open_requests("not ready");
        self.shared.stopping.begin(schedule.answer_by);
        self.shared.links.lock().note_own_stop();
        self.shared.pending_updates.notify();
        // The load balancer notices the stop late, and sends callers until then.
        let accepting = wingspur_clock::sleep_until(schedule.accept_until);
        let accept_time = schedule
            .accept_until
            .saturating_duration_since(wingspur_clock::now());
        zip(
            withdraw_announcement(&self.shared, accept_time.max(PORT_CLOSE_TIMEOUT)),
            accepting,
        )
        .await;
        self.callers.stop_accepting().await;
        self.log_open_requests("listener closed");
        self.drain_requests(schedule.answer_by).await;
        self.shared.stopping.end_requests();
        self.callers.drain(schedule.end).await;
        let cut = self.log_cut_requests();
        self.stop.close();
        for task in self.tasks {
            task.cancel().await;
        }
        let collectors = async {
            if let Some(collectors) = self.collectors {
                collectors.close(PORT_CLOSE_TIMEOUT).await;
            }
        };
        self.peers.close(Duration::ZERO).await;
        zip(self.operators.close(PORT_CLOSE_TIMEOUT), collectors).await;
        tracing::info!(cut, "stop: done.");
        cut
    }

    /// Waits until no request is in flight or `end` is reached; meanwhile logs each
    /// second how many are left.
    async fn drain_requests(&self, end: Instant) {
        loop {
            let until = end.min(wingspur_clock::now() + PROGRESS_LOG_INTERVAL);
            let is_drained = self.callers.drain(until).await
                && self.shared.in_flight.relayed_count() == 0;
            if is_drained || wingspur_clock::now() >= end {
                return;
            }
            self.log_open_requests("waiting");
        }
    }

    /// Logs the requests that the end of the box cuts before their response is complete;
    /// returns how many there are.
    fn log_cut_requests(&self) -> usize {
        self.log_open_requests("end");
        let requests = &self.shared.in_flight;
        for request in requests.oldest(MAX_CUT_REQUEST_LINES) {
            tracing::warn!(
                id = request.id,
                route = request.route,
                server = request.server,
                stage = ?request.stage,
                took_ms = wingspur_clock::since(request.received_at).as_millis() as u64,
                "stop: a request is cut."
            );
        }
        requests.count()
    }

    /// Logs how many requests and connections are still open at a step of the stop.
    fn log_open_requests(&self, step: &str) {
        let counts = self.callers.counts();
        let read = |count: &AtomicUsize| count.load(Ordering::Acquire);
        tracing::info!(
            step,
            requests = self.shared.in_flight.count(),
            connections = read(&counts.connections),
            closed_idle = read(&counts.closed_idle),
            broken = read(&counts.broken),
            oldest = self.shared.in_flight.oldest_text(wingspur_clock::now()),
            "stop: what is out."
        );
    }
}

/// Returns the handlers of what other boxes send, which the links do not know themselves.
fn link_handlers() -> LinkHandlers {
    LinkHandlers {
        lease_messages: handle_lease_messages,
        resend_budgets: |shared, link, usages| {
            let now = wingspur_clock::now();
            shared.resend_leases.lock().record_report(link, usages, now);
        },
        suspects: handle_suspect_updates,
        limits: |shared, link, updates| handle_limit_updates(shared, link, updates),
        draining_servers: |shared, link, updates| {
            handle_draining_updates(shared, link, updates);
        },
        link_ended: |shared, link| shared.resend_leases.lock().forget(link),
        initial_suspects: initial_suspect_updates,
        resend_budget_reports,
    }
}

/// Logs which servers are suspected, closes idle connections, drops servers that stayed
/// away after a store outage, and updates the staleness metric, until the box stops.
async fn run_maintenance(shared: Arc<EdgeState>, stop: StopSignal) {
    let mut last_closed_at = wingspur_clock::now();
    let mut is_stale = false;
    while !stop.is_triggered() {
        wingspur_clock::sleep(MAINTENANCE_INTERVAL).await;
        let now = wingspur_clock::now();
        is_stale = update_staleness(&shared, is_stale, now);
        for service in shared.services.all() {
            log_suspicion_changes(&service);
        }
        if now.saturating_duration_since(last_closed_at) >= IDLE_CLOSE_INTERVAL {
            last_closed_at = now;
            shared.services.close_idle(now);
        }
        expire_missing_servers(&shared, now);
    }
}

/// Updates the metric for the age of the newest state of the store, and logs when it
/// becomes stale or fresh again. Returns whether it is stale.
fn update_staleness(shared: &EdgeState, was_stale: bool, now: Instant) -> bool {
    let mut links = shared.links.lock();
    let (age, is_stale) = (
        links.watch_state().staleness(now),
        links.watch_state().is_lagging(now),
    );
    let (position, is_hub) = (links.position(), links.is_hub(now));
    drop(links);
    let age_ms = age.as_millis() as u64;
    shared.metrics.news_age_ms.set(age_ms as i64);
    match (was_stale, is_stale) {
        (false, true) => {
            tracing::warn!(
                age_ms,
                %position,
                is_hub,
                "store: this box's view of it is stale."
            );
        }
        (true, false) => {
            tracing::info!(
                age_ms,
                %position,
                is_hub,
                "store: this box's view of it is fresh again."
            );
        }
        _ => {}
    }
    is_stale
}

fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, EdgeError> {
    bind_listener(address).map_err(|error| EdgeError::Bind {
        field,
        address,
        error,
    })
}

fn listener_error(field: &'static str, error: std::io::Error) -> EdgeError {
    let address = SocketAddr::from(([0, 0, 0, 0], 0));
    EdgeError::Bind {
        field,
        address,
        error,
    }
}

/// How often `run_maintenance` checks for changes.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// How often connections that have been idle for too long are closed.
const IDLE_CLOSE_INTERVAL: Duration = Duration::from_secs(1);
/// How often a stop logs what it waits for.
const PROGRESS_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Most cut requests that are logged with a line each; normally no more than two are cut.
const MAX_CUT_REQUEST_LINES: usize = 20;
/// How long closing a port may take, and least time for withdrawing the announcement.
const PORT_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
