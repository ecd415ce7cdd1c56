//! An entry box: started whole, stopped in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use smol::net::TcpListener;
use wingspur_coordination::MembershipSettings;
use wingspur_edge::{Metrics, Settings, ShutdownSchedule};
use wingspur_transport::{
    FaultInjector, HttpListener, ListenerOptions, Spawner, StopTrigger, TlsError,
    TlsFiles, TlsIdentity, stop_pair,
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
    /// The settings name a catalog, not the product's own sources.
    #[error("`store_address`: missing; add it, `box_list_address` and `keyring`")]
    NoSources,
    /// The identity cannot be used.
    #[error("`tls`: {0}")]
    Identity(#[from] TlsError),
}

/// How a stop went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownReport {
    /// Requests that were cut because the limit was reached.
    pub cut_requests: usize,
}

impl EntryBox {
    /// Starts a box; it takes callers once it has a bundle.
    pub async fn start(
        settings: Settings,
        spawner: &Spawner,
        faults: FaultInjector,
    ) -> Result<Self, StartError> {
        let sources = settings.own_sources.clone().ok_or(StartError::NoSources)?;
        let caller_port = bind("caller_address", settings.caller_address).await?;
        let peer_port = bind("peer_address", settings.peer_address).await?;
        let operator_port = bind("operator_address", settings.operator_address).await?;
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
        let callers = listen(caller_port, spawner, options.clone(), handler)?;
        let peer_shared = shared.clone();
        let handler = move |request, _| handle_peer_request(peer_shared.clone(), request);
        let proven = ListenerOptions {
            identity,
            ..options.clone()
        };
        let peers = listen(peer_port, spawner, proven, handler)?;
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

    /// The addresses it listens on.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            caller: self.callers.address(),
            peer: self.peers.address(),
            operator: self.operators.address(),
        }
    }

    /// Whether it takes callers.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// The version of the bundle in force; 0 for none.
    pub fn bundle_version(&self) -> u64 {
        self.shared.bundle_version()
    }

    /// Servers that it gives no work, or less, as `service/server`.
    pub fn restricted_servers(&self) -> Vec<String> {
        status(&self.shared).out
    }

    /// Its counters.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Once-only shards owned, and operations remembered.
    pub fn once_only_totals(&self) -> (usize, usize) {
        self.shared.shards.owned_totals()
    }

    /// Waits until the box takes callers; false when `patience` is over before.
    pub async fn wait_ready(&self, patience: Duration) -> bool {
        let end = wingspur_clock::now() + patience;
        while !self.is_ready() {
            if wingspur_clock::now() >= end {
                return false;
            }
            wingspur_clock::sleep(READY_POLL).await;
        }
        true
    }

    /// Shows in the metrics how many log lines were dropped.
    pub fn note_dropped_log_lines(&self, lines: usize) {
        self.shared.metrics.dropped_log_lines.set(lines as i64);
    }

    /// Stops as planned: no new callers, all requests in flight to their end.
    pub async fn close(mut self) -> ShutdownReport {
        let plan = ShutdownSchedule::new(&self.shared.settings, wingspur_clock::now());
        plan.log();
        self.shared.stopping.begin(plan.answer_by);
        send_heartbeats(&self.shared);
        // The balancer learns of it late, and sends callers until then.
        wingspur_clock::sleep_until(plan.accept_until).await;
        self.callers.stop_accepting().await;
        self.callers.drain(plan.answer_by).await;
        self.shared.stopping.end_requests();
        self.callers.drain(plan.end).await;
        let cut_requests = self.callers.counts().requests.load(Ordering::Acquire);
        flush_outcomes(&self.shared, SETTLE_LIMIT).await;
        self.stop.close();
        for task in self.tasks {
            task.cancel().await;
        }
        self.peers.close(PORT_LIMIT).await;
        self.operators.close(PORT_LIMIT).await;
        tracing::info!("stop: done, {cut_requests} requests cut.");
        ShutdownReport { cut_requests }
    }

    /// Ends at once, as a crash would: nothing is told, nothing finished.
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
            spawner.spawn(keep_warm(shared.clone())),
            spawner.spawn(keep_identity(shared.clone())),
        ];
        for shard in 0..shared.shards.count() {
            let driving = run_shard_log(shared.clone(), shard, signal.clone());
            tasks.push(spawner.spawn(driving));
        }
        self.tasks = tasks;
    }
}

/// Finds the first bundle and warms the connections; then the box is ready.
async fn start_up(shared: &Arc<EntryState>, stop: &wingspur_transport::StopSignal) {
    read_box_list(shared, &mut None).await;
    load_initial_bundle(shared, stop).await;
    warm(shared).await;
    shared.started.store(true, Ordering::Release);
    tracing::info!("start: ready.");
}

async fn keep_warm(shared: Arc<EntryState>) {
    loop {
        wingspur_clock::sleep(WARM_EVERY).await;
        warm(&shared).await;
    }
}

/// Takes up a new certificate or authority when its file is replaced.
async fn keep_identity(shared: Arc<EntryState>) {
    let Some(identity) = &shared.identity else {
        return;
    };
    loop {
        wingspur_clock::sleep(IDENTITY_EVERY).await;
        match identity.refresh() {
            Ok(true) => tracing::info!("peer: a new certificate is in use."),
            Ok(false) => {}
            Err(error) => tracing::warn!("peer: the former certificate stays: {error}."),
        }
    }
}

async fn warm(shared: &EntryState) {
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

async fn bind(
    field: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Bind {
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
const IDENTITY_EVERY: Duration = Duration::from_secs(5);
const WARM_EVERY: Duration = Duration::from_secs(5);
const READY_POLL: Duration = Duration::from_millis(10);
/// How long the ends of once-only operations may take to be recorded at a stop.
const SETTLE_LIMIT: Duration = Duration::from_secs(2);
const PORT_LIMIT: Duration = Duration::from_secs(1);
