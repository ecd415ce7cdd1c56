//! Starts an entry box, and shuts it down in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use smol::net::TcpListener;
use wingspur_coordination::MembershipSettings;
use wingspur_edge::{Metrics, Settings, ShutdownSchedule};
use wingspur_transport::{
    FaultInjector, HeadTimeout, HttpListener, ListenerOptions, Spawner, StopTrigger,
    TlsError, TlsFiles, TlsIdentity, bind_listener, stop_pair,
};

use crate::bundles::{load_initial_bundle, run_pointer_watch};
use crate::claims::flush_outcomes;
use crate::detection::run_detection;
use crate::entry_state::{Addresses, EntryState};
use crate::operator::{handle_operator_request, status};
use crate::peers::{
    handle_peer_request, read_box_list, run_box_list, run_heartbeats, send_heartbeats,
};
use crate::proxy::Proxy;
use crate::shard_driver::run_shard_log;

/// A running entry box.
#[derive(Debug)]
pub struct EntryBox {
    shared: Arc<EntryState>,
    callers: HttpListener,
    peers: HttpListener,
    operators: HttpListener,
    stop: StopTrigger,
    tasks: Vec<smol::Task<()>>,
}

/// Why a box could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("`{field}` {address}: {error}; free the port or choose another")]
    Bind {
        /// The field of the settings.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        error: std::io::Error,
    },
    /// The settings name a catalog instead of a store and a box list.
    #[error("`store_address`: missing; add it, `box_list_address` and `keyring`")]
    NoSources,
    /// The TLS identity cannot be loaded.
    #[error("`tls`: {0}")]
    Identity(#[from] TlsError),
}

/// The result of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownReport {
    /// Requests that were cut off because the time limit was reached.
    pub cut_requests: usize,
}

impl EntryBox {
    /// Starts a box; it accepts callers' requests once it has a bundle. Fails when an
    /// address cannot be bound, the TLS identity cannot be loaded or the sources are
    /// missing.
    pub async fn start(
        settings: Settings,
        spawner: &Spawner,
        faults: FaultInjector,
    ) -> Result<Self, StartError> {
        let sources = settings.own_sources.clone().ok_or(StartError::NoSources)?;
        let caller_port = bind("caller_address", settings.caller_address)?;
        let peer_port = bind("peer_address", settings.peer_address)?;
        let operator_port = bind("operator_address", settings.operator_address)?;
        let files = settings.tls.as_ref().map(TlsFiles::from);
        let identity = files.map(TlsIdentity::load).transpose()?.map(Arc::new);
        let shared = EntryState::new(
            settings,
            sources,
            spawner.clone(),
            &faults,
            identity.clone(),
        );
        let shared = Arc::new(shared);
        let proxy = Proxy::new(shared.clone());
        let options = ListenerOptions::default();
        let handler = move |request, from| proxy.clone().answer(request, from);
        let caller_shared = shared.clone();
        let caller_options = ListenerOptions {
            head_timeout: HeadTimeout::new(move || caller_shared.head_timeout()),
            ..options.clone()
        };
        let callers = listen(caller_port, spawner, caller_options, handler)?;
        let peer_shared = shared.clone();
        let handler = move |request, _| handle_peer_request(peer_shared.clone(), request);
        let peer_options = ListenerOptions {
            identity,
            ..options.clone()
        };
        let peers = listen(peer_port, spawner, peer_options, handler)?;
        let operator_shared = shared.clone();
        let handler =
            move |request, _| handle_operator_request(operator_shared.clone(), request);
        let operators = listen(operator_port, spawner, options, handler)?;
        let (stop, _) = stop_pair();
        let mut entry_box = Self {
            shared,
            callers,
            peers,
            operators,
            stop,
            tasks: Vec::new(),
        };
        entry_box.start_tasks();
        Ok(entry_box)
    }

    /// Returns the addresses that the box listens on.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            caller: self.callers.address(),
            peer: self.peers.address(),
            operator: self.operators.address(),
        }
    }

    /// Returns whether the box is ready for callers' requests.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Returns the version of the active bundle, or 0 if there is none.
    pub fn bundle_version(&self) -> u64 {
        self.shared.bundle_version()
    }

    /// Returns the servers that get no or fewer requests, as `service/server`.
    pub fn restricted_servers(&self) -> Vec<String> {
        status(&self.shared).out
    }

    /// Returns the box's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Returns how many once-only shards the box owns, and how many operations their logs
    /// hold.
    pub fn once_only_totals(&self) -> (usize, usize) {
        self.shared.shards.owned_totals()
    }

    /// Waits until the box is ready; returns `false` if it is not within `timeout`.
    pub async fn wait_ready(&self, timeout: Duration) -> bool {
        let end = wingspur_clock::now() + timeout;
        while !self.is_ready() {
            if wingspur_clock::now() >= end {
                return false;
            }
            wingspur_clock::sleep(READY_POLL_INTERVAL).await;
        }
        true
    }

    /// Sets the metric of dropped log lines.
    pub fn note_dropped_log_lines(&self, lines: usize) {
        self.shared.metrics.dropped_log_lines.set(lines as i64);
    }

    /// Shuts down gracefully: stops accepting connections after a grace period, lets the
    /// requests in flight finish within the time limit, and then stops all tasks.
    pub async fn close(mut self) -> ShutdownReport {
        let schedule =
            ShutdownSchedule::new(&self.shared.settings, wingspur_clock::now());
        schedule.log();
        self.shared.stopping.begin(schedule.answer_by);
        send_heartbeats(&self.shared);
        // The load balancer notices the shutdown late and sends connections until then.
        wingspur_clock::sleep_until(schedule.accept_until).await;
        self.callers.stop_accepting().await;
        self.callers.drain(schedule.answer_by).await;
        self.shared.stopping.end_requests();
        self.callers.drain(schedule.end).await;
        let cut_requests = self.callers.counts().requests.load(Ordering::Acquire);
        flush_outcomes(&self.shared, OUTCOME_FLUSH_TIMEOUT).await;
        self.stop.close();
        for task in self.tasks {
            task.cancel().await;
        }
        self.peers.close(LISTENER_CLOSE_TIMEOUT).await;
        self.operators.close(LISTENER_CLOSE_TIMEOUT).await;
        tracing::info!("stop: done, {cut_requests} requests cut.");
        ShutdownReport { cut_requests }
    }

    /// Stops at once, as a crash would: no peer is notified and no request is finished.
    pub fn abort(self) {
        self.stop.close();
        drop(self.tasks);
        drop(self.callers);
        drop(self.peers);
        drop(self.operators);
    }

    fn start_tasks(&mut self) {
        let (stop, signal) = stop_pair();
        self.stop = stop;
        let shared = self.shared.clone();
        let spawner = self.shared.spawner.clone();
        let every = MembershipSettings::default().heartbeat_every;
        let starting = (shared.clone(), signal.clone());
        let mut tasks = vec![
            spawner.spawn(async move { start_up(&starting.0, &starting.1).await }),
            spawner.spawn(run_box_list(shared.clone(), signal.clone())),
            spawner.spawn(run_heartbeats(shared.clone(), every, signal.clone())),
            spawner.spawn(run_pointer_watch(shared.clone(), signal.clone())),
            spawner.spawn(run_detection(shared.clone(), signal.clone())),
            spawner.spawn(run_connection_warming(shared.clone())),
            spawner.spawn(run_identity_refresh(shared.clone())),
        ];
        for shard in 0..shared.shards.count() {
            let log_task = run_shard_log(shared.clone(), shard, signal.clone());
            tasks.push(spawner.spawn(log_task));
        }
        self.tasks = tasks;
    }
}

/// Reads the box list, loads the first bundle and opens connections; then the box is
/// ready.
async fn start_up(shared: &Arc<EntryState>, stop: &wingspur_transport::StopSignal) {
    read_box_list(shared, &mut None).await;
    load_initial_bundle(shared, stop).await;
    warm_connections(shared).await;
    shared.started.store(true, Ordering::Release);
    tracing::info!("start: ready.");
}

async fn run_connection_warming(shared: Arc<EntryState>) {
    loop {
        wingspur_clock::sleep(WARMING_INTERVAL).await;
        warm_connections(&shared).await;
    }
}

/// Reloads the certificate and the authorities whenever their files are replaced.
async fn run_identity_refresh(shared: Arc<EntryState>) {
    let Some(identity) = &shared.identity else {
        return;
    };
    loop {
        wingspur_clock::sleep(IDENTITY_REFRESH_INTERVAL).await;
        match identity.refresh() {
            Ok(true) => tracing::info!("peer: a new certificate is in use."),
            Ok(false) => {}
            Err(error) => {
                tracing::warn!("peer: the TLS files were not reloaded: {error}.")
            }
        }
    }
}

async fn warm_connections(shared: &EntryState) {
    let Some(bundle) = shared.active_bundle() else {
        return;
    };
    for handle in &bundle.services {
        for pool in &handle.pools {
            pool.keep_warm(WARM_CONNECTIONS, wingspur_clock::now())
                .await;
        }
    }
}

fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    bind_listener(address).map_err(|error| StartError::Bind {
        field,
        address,
        error,
    })
}

fn listen<H, F, B>(
    port: TcpListener,
    spawner: &Spawner,
    options: ListenerOptions,
    handler: H,
) -> Result<HttpListener, StartError>
where
    H: Fn(hyper::Request<hyper::body::Incoming>, SocketAddr) -> F
        + Clone
        + Send
        + Sync
        + 'static,
    F: Future<Output = hyper::Response<B>> + Send + 'static,
    B: hyper::body::Body<Data = hyper::body::Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let address = port.local_addr();
    HttpListener::start(port, spawner, options, handler).map_err(|error| {
        let address = address.unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)));
        StartError::Bind {
            field: "address",
            address,
            error,
        }
    })
}

/// Idle connections kept to each backend server.
const WARM_CONNECTIONS: usize = 1;
const IDENTITY_REFRESH_INTERVAL: Duration = Duration::from_secs(5);
const WARMING_INTERVAL: Duration = Duration::from_secs(5);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum wait at a shutdown until the outcomes of once-only operations are recorded.
const OUTCOME_FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
const LISTENER_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
