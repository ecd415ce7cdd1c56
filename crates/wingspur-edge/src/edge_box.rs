//! An entry box over a catalog: started whole, stopped in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures_lite::future::zip;
use smol::net::TcpListener;
use wingspur_protocol::HeaderNames;
use wingspur_transport::{
    Catalog, HttpListener, ListenerOptions, Spawner, StopSignal, StopTrigger, stop_pair,
};

use crate::announce::{run_announcement, withdraw_announcement};
use crate::catalog_watch::run_catalog_watch;
use crate::directory_changes::expire_missing_servers;
use crate::edge_state::EdgeState;
use crate::metrics::Metrics;
use crate::operator::answer_operator;
use crate::peer_exchange::{
    handle_peer_request, log_suspicion_changes, run_exchange, run_link_manager,
};
use crate::quarantine::run_quarantine;
use crate::quota_leases::run_quota_leases;
use crate::request::handle_request;
use crate::settings::Settings;
use crate::shutdown::ShutdownSchedule;

/// A running entry box.
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
    /// A port cannot be had.
    #[error("`{field}` {address}: {error}; free the port or choose another")]
    Bind {
        /// The settings' field.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
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
        let caller_port = bind("caller_address", settings.caller_address).await?;
        let peer_port = bind("peer_address", settings.peer_address).await?;
        let operator_port = bind("operator_address", settings.operator_address).await?;
        let collector_port = match settings.metrics_address {
            Some(address) => Some(bind("metrics_address", address).await?),
            None => None,
        };
        let mut settings = settings;
        // Other boxes are told the port that was found, where any would do.
        if let Ok(address) = peer_port.local_addr() {
            settings.peer_address = address;
        }
        let shared = EdgeState::new(settings, names, catalog, spawner.clone());
        let shared = Arc::new(shared);
        let options = ListenerOptions::default();
        let caller_shared = shared.clone();
        let handler =
            move |request, from| handle_request(caller_shared.clone(), request, from);
        let callers = HttpListener::start(caller_port, spawner, options.clone(), handler);
        let callers = callers.map_err(|error| lost("caller_address", error))?;
        let peer_shared = shared.clone();
        let handler = move |request, _| handle_peer_request(peer_shared.clone(), request);
        let peers = HttpListener::start(peer_port, spawner, options.clone(), handler);
        let peers = peers.map_err(|error| lost("peer_address", error))?;
        let operator_shared = shared.clone();
        let handler = move |request, _| answer_operator(operator_shared.clone(), request);
        let operators =
            HttpListener::start(operator_port, spawner, options.clone(), handler.clone());
        let operators = operators.map_err(|error| lost("operator_address", error))?;
        let collectors = collector_port
            .map(|port| HttpListener::start(port, spawner, options, handler))
            .transpose();
        let collectors = collectors.map_err(|error| lost("metrics_address", error))?;
        let (stop, signal) = stop_pair();
        let tasks = vec![
            spawner.spawn(run_catalog_watch(shared.clone(), signal.clone())),
            spawner.spawn(run_announcement(shared.clone(), signal.clone())),
            spawner.spawn(run_link_manager(shared.clone(), signal.clone())),
            spawner.spawn(run_exchange(shared.clone(), signal.clone())),
            spawner.spawn(run_quota_leases(shared.clone(), signal.clone())),
            spawner.spawn(run_quarantine(shared.clone(), signal.clone())),
            spawner.spawn(tidy(shared.clone(), signal)),
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

    /// Where callers come in.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where operators read.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Where other boxes come in.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Whether it takes callers.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// The version of the bundle in force; 0 for none.
    pub fn bundle_version(&self) -> u64 {
        self.shared.bundle_version()
    }

    /// The counters.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Takes up changed settings while it runs.
    pub fn reload(&self, settings: Settings) {
        let fixed = self.shared.reload(settings);
        if fixed.is_empty() {
            tracing::info!("settings: reloaded.");
        } else {
            tracing::warn!(?fixed, "settings: reloaded; these fields need a restart.");
        }
    }

    /// Shows in the metrics how many log lines were dropped.
    pub fn note_dropped_log_lines(&self, lines: usize) {
        self.shared.metrics.dropped_log_lines.set(lines as i64);
    }

    /// Stops as planned: no new callers, all requests in flight to their end; returns
    /// how many were cut.
    pub async fn close(mut self) -> usize {
        let plan = ShutdownSchedule::new(&self.shared.settings(), wingspur_clock::now());
        plan.log();
        self.log_out("not ready");
        self.shared.stopping.begin(plan.answer_by);
        self.shared.links.lock().note_own_stop();
        self.shared.pending_updates.notify();
        // The balancer learns of it late, and sends callers until then.
        let accepting = wingspur_clock::sleep_until(plan.accept_until);
        let limit = plan
            .accept_until
            .saturating_duration_since(wingspur_clock::now());
        zip(
            withdraw_announcement(&self.shared, limit.max(PORT_LIMIT)),
            accepting,
        )
        .await;
        self.callers.stop_accepting().await;
        self.log_out("listener closed");
        self.finish(plan.answer_by).await;
        self.shared.stopping.end_requests();
        self.callers.drain(plan.end).await;
        let cut = self.note_cut();
        self.stop.close();
        for task in self.tasks {
            task.cancel().await;
        }
        let collectors = async {
            if let Some(collectors) = self.collectors {
                collectors.close(PORT_LIMIT).await;
            }
        };
        self.peers.close(Duration::ZERO).await;
        zip(self.operators.close(PORT_LIMIT), collectors).await;
        tracing::info!(cut, "stop: done.");
        cut
    }

    /// Waits until all requests are over, or some time, and tells each second which are not.
    async fn finish(&self, end: Instant) {
        loop {
            let until = end.min(wingspur_clock::now() + TELL_EVERY);
            if self.callers.drain(until).await || wingspur_clock::now() >= end {
                return;
            }
            self.log_out("waiting");
        }
    }

    /// Tells which requests have no whole answer now that the box ends; returns how many.
    fn note_cut(&self) -> usize {
        self.log_out("end");
        let requests = &self.shared.in_flight;
        for row in requests.oldest(MOST_CUT_LINES) {
            tracing::warn!(
                id = row.id,
                route = row.route,
                server = row.server,
                stage = ?row.stage,
                took_ms = wingspur_clock::since(row.began).as_millis() as u64,
                "stop: a request is cut."
            );
        }
        requests.count()
    }

    /// Tells how many requests and connections are out at a step of the stop.
    fn log_out(&self, step: &str) {
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

/// Logs which servers are suspected and closes connections that have rested, until the box
/// stops.
async fn tidy(shared: Arc<EdgeState>, stop: StopSignal) {
    let mut closed = wingspur_clock::now();
    let mut news_is_late = false;
    while !stop.is_triggered() {
        wingspur_clock::sleep(TIDY_EVERY).await;
        let now = wingspur_clock::now();
        news_is_late = watch_news(&shared, news_is_late, now);
        for service in shared.services.all() {
            log_suspicion_changes(&service);
        }
        if now.saturating_duration_since(closed) >= CLOSE_EVERY {
            closed = now;
            shared.services.close_idle(now);
        }
        expire_missing_servers(&shared, now);
    }
}

/// Shows how old the newest news of the store is, and tells when it becomes late; whether it
/// is.
fn watch_news(shared: &EdgeState, was_late: bool, now: Instant) -> bool {
    let mut links = shared.links.lock();
    let (age, is_late) = (
        links.watch_state().staleness(now),
        links.watch_state().is_lagging(now),
    );
    let (position, is_hub) = (links.position(), links.is_hub(now));
    drop(links);
    let age_ms = age.as_millis() as u64;
    shared.metrics.news_age_ms.set(age_ms as i64);
    match (was_late, is_late) {
        (false, true) => {
            tracing::warn!(age_ms, %position, is_hub, "store: its news is late.");
        }
        (true, false) => {
            tracing::info!(
                age_ms,
                %position,
                is_hub,
                "store: its news is in time again."
            );
        }
        _ => {}
    }
    is_late
}

async fn bind(
    field: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, EdgeError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| EdgeError::Bind {
        field,
        address,
        error,
    })
}

fn lost(field: &'static str, error: std::io::Error) -> EdgeError {
    let address = SocketAddr::from(([0, 0, 0, 0], 0));
    EdgeError::Bind {
        field,
        address,
        error,
    }
}

const TIDY_EVERY: Duration = Duration::from_millis(250);
const CLOSE_EVERY: Duration = Duration::from_secs(1);
/// How often a stop tells what it waits for.
const TELL_EVERY: Duration = Duration::from_secs(1);
/// So many requests that are cut have a line each; more than two were not seen.
const MOST_CUT_LINES: usize = 20;
const PORT_LIMIT: Duration = Duration::from_millis(200);
