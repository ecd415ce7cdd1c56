//! Starts boxes on loopback against a simulated platform store.
#![allow(dead_code, reason = "each suite uses a part")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use wingspur_edge::{EdgeBox, Settings, parse_settings};
use wingspur_platform::{catalog, header_names};
use wingspur_state::RetryBudgetSettings;
use wingspur_tests::{Answer, BackendServer, PlatformStore, call};
use wingspur_transport::{FaultInjector, HttpClient, PathFault, Workers};

/// Resends allowed for each request: enough never to run out.
const AMPLE_RESENDS: f64 = 1000.0;

/// One box with its store and its worker threads.
pub struct Deployment {
    /// The store.
    pub store: PlatformStore,
    running: EdgeBox,
    workers: Workers,
}

/// A route of the one service; its class is its name and its prefix.
#[derive(Debug, Clone)]
pub struct Route {
    /// The class.
    pub class: &'static str,
    /// The route's timeout in milliseconds.
    pub timeout_ms: u64,
}

/// A box that reaches the servers, and one that hands its requests to the first, with a
/// once-only route.
pub struct DirectAndRelayed {
    _store: PlatformStore,
    boxes: [EdgeBox; 2],
    workers: Workers,
}

/// Sends requests to a box and waits for the responses.
#[derive(Clone, Copy)]
pub struct Caller(SocketAddr);

impl Route {
    /// Creates a route with a timeout of 10 s.
    pub fn new(class: &'static str) -> Self {
        Self {
            class,
            timeout_ms: 10_000,
        }
    }
}

impl Deployment {
    /// Starts a box with some servers and waits until it is ready.
    pub fn start(servers: &[BackendServer], routes: &[Route]) -> Self {
        Self::start_with_resends(servers, routes, AMPLE_RESENDS)
    }

    /// Does the same with the given number of resends allowed for each request.
    pub fn start_with_resends(
        servers: &[BackendServer],
        routes: &[Route],
        resends: f64,
    ) -> Self {
        Self::start_with(servers, routes, |store| {
            with_resends(settings("box-1", store), resends)
        })
    }

    /// Does the same with the given drain settings.
    pub fn start_with_drain(
        servers: &[BackendServer],
        routes: &[Route],
        drain: Value,
    ) -> Self {
        Self::start_with(servers, routes, |store| {
            let settings = settings("box-1", store);
            let mut changed =
                serde_json::to_value(settings).expect("settings are serializable");
            changed["drain"] = drain;
            parse_settings("test", &changed.to_string()).expect("the settings are valid")
        })
    }

    /// Starts a box with some servers and the operator's configuration.
    pub fn start_configured(servers: &[BackendServer], configuration: &Value) -> Self {
        Self::start_by(servers, configuration, |store| {
            with_resends(settings("box-1", store), AMPLE_RESENDS)
        })
    }

    /// Starts a box that refuses less urgent requests under overload.
    pub fn start_with_urgency(servers: &[BackendServer], configuration: &Value) -> Self {
        Self::start_by(servers, configuration, |store| Settings {
            admission_by_urgency: true,
            ..with_resends(settings("box-1", store), AMPLE_RESENDS)
        })
    }

    fn start_with(
        servers: &[BackendServer],
        routes: &[Route],
        settings: impl FnOnce(SocketAddr) -> Settings,
    ) -> Self {
        Self::start_by(servers, &configuration(1, routes), settings)
    }

    /// Starts a box with some servers, each given by the id and the address of its catalog
    /// entry.
    pub fn start_with_entries(
        entries: &[(String, SocketAddr)],
        routes: &[Route],
    ) -> Self {
        Self::start_entries(entries, &configuration(1, routes), |store| {
            with_resends(settings("box-1", store), AMPLE_RESENDS)
        })
    }

    fn start_by(
        servers: &[BackendServer],
        configuration: &Value,
        settings: impl FnOnce(SocketAddr) -> Settings,
    ) -> Self {
        let servers = servers.iter().enumerate();
        let entries: Vec<_> = servers
            .map(|(n, server)| (format!("i-{n}"), server.address))
            .collect();
        Self::start_entries(&entries, configuration, settings)
    }

    fn start_entries(
        entries: &[(String, SocketAddr)],
        configuration: &Value,
        settings: impl FnOnce(SocketAddr) -> Settings,
    ) -> Self {
        let store = PlatformStore::start(500);
        store.put("op/config", configuration);
        for (id, address) in entries {
            let entry = server_entry(*address, "ready");
            store.put(&format!("servers/{id}"), &entry);
        }
        let workers = Workers::start(2);
        let settings = settings(store.address);
        let running = start_box_with(settings, &store, &workers);
        wait_until("the box is ready", || running.is_ready());
        Self {
            store,
            running,
            workers,
        }
    }

    /// Announces a server and waits until the box has received the announcement.
    pub fn announce(&self, id: &str, address: SocketAddr, state: &str) {
        let entry = server_entry(address, state);
        self.store.put(&format!("servers/{id}"), &entry);
        self.wait_for_updates();
    }

    /// Writes the operator's next configuration and waits until the box has activated it.
    pub fn roll_out(&self, configuration: &Value) {
        self.store.put("op/config", configuration);
        let version = configuration["version"]
            .as_u64()
            .expect("the configuration has a version");
        let is_active = || self.running.bundle_version() >= version;
        wait_until("the box has activated the configuration", is_active);
    }

    /// Waits until the box has received all changes so far: it puts a configuration with
    /// the next version and waits until that is active.
    pub fn wait_for_updates(&self) {
        let version = self.running.bundle_version() + 1;
        let routes = [Route::new("read"), Route::new("once_only")];
        self.store
            .put("op/config", &configuration(version, &routes));
        let is_active = || self.running.bundle_version() >= version;
        wait_until("the box has activated the configuration", is_active);
    }

    /// Returns the value of a counter, by its name with its labels; 0 if there is none.
    pub fn counter(&self, name: &str) -> u64 {
        let metrics = String::from_utf8(self.running.metrics().render());
        let metrics = metrics.expect("metrics are text");
        let mut values = metrics.lines().filter_map(|line| line.strip_prefix(name));
        let value = values.next().map(|value| value.trim().parse());
        value.map_or(0, |value| value.expect("counters are whole numbers"))
    }

    /// Returns a caller of the box.
    pub fn caller(&self) -> Caller {
        Caller::of(&self.running)
    }

    /// Sends a request to the route of a class.
    pub fn call(&self, class: &str, id: &str) -> Answer {
        self.caller().call(class, id)
    }

    /// Stops the box gracefully; returns how many requests were cut off.
    pub fn close(self) -> usize {
        let cut = smol::block_on(self.running.close());
        self.workers.close();
        cut
    }
}

impl Caller {
    /// Creates a caller of a box.
    pub fn of(running: &EdgeBox) -> Self {
        Self(running.caller_address())
    }

    /// Returns the address that callers connect to.
    pub fn address(self) -> SocketAddr {
        self.0
    }

    /// Sends a request to the route of a class: a `POST` for a once-only route, else a
    /// `GET`.
    pub fn call(self, class: &str, id: &str) -> Answer {
        let method = match class {
            "once_only" => "POST",
            _ => "GET",
        };
        let headers = [
            ("host", "site.example"),
            ("x-wingspur-request-id", id),
            ("x-wingspur-request-deadline-ms", "4000"),
            ("x-kept", "yes"),
            ("x-dropped", "yes"),
            ("connection", "x-dropped"),
        ];
        let body: &[u8] = if method == "POST" { b"the body" } else { b"" };
        call(self.0, method, &format!("/{class}/a?q=1"), &headers, body)
    }
}

/// Starts a box that reads a store.
pub fn start_box(id: &str, store: &PlatformStore, workers: &Workers) -> EdgeBox {
    let settings = with_resends(settings(id, store.address), AMPLE_RESENDS);
    start_box_with(settings, store, workers)
}

/// Starts a box that reads a store, with the given settings.
pub fn start_box_with(
    settings: Settings,
    store: &PlatformStore,
    workers: &Workers,
) -> EdgeBox {
    let spawner = workers.spawner();
    let exchange = HttpClient::new(spawner.clone(), FaultInjector::default());
    let timeout = Duration::from_millis(1500);
    let lease = Duration::from_secs(10);
    let catalog = catalog(store.address, exchange.into(), timeout, lease);
    let starting = EdgeBox::start(settings, header_names(), catalog, &spawner);
    smol::block_on(starting).expect("the ports are free")
}

/// Starts a box that reaches the servers, and one without a path to them, which hands its
/// requests to the first.
pub fn start_direct_and_relayed(
    store: &PlatformStore,
    workers: &Workers,
) -> [EdgeBox; 2] {
    start_direct_and_relayed_with(store, workers, |settings| settings)
}

/// Does the same with changed settings.
pub fn start_direct_and_relayed_with(
    store: &PlatformStore,
    workers: &Workers,
    change: impl Fn(Settings) -> Settings,
) -> [EdgeBox; 2] {
    let direct = with_resends(settings("box-direct", store.address), AMPLE_RESENDS);
    let mut relayed = settings("box-relayed", store.address);
    relayed.fault_injection.server_path = PathFault::Refuse;
    [direct, relayed].map(|settings| start_box_with(change(settings), store, workers))
}

impl DirectAndRelayed {
    /// Starts the boxes with some servers, which `serves` must show to be in use: it is
    /// called for each box until it holds.
    pub fn start(servers: &[SocketAddr], serves: impl Fn(Caller) -> bool) -> Self {
        let store = PlatformStore::start(500);
        store.put("op/config", &configuration(1, &[Route::new("once_only")]));
        for (n, address) in servers.iter().enumerate() {
            let entry = server_entry(*address, "ready");
            store.put(&format!("servers/i-{n}"), &entry);
        }
        let workers = Workers::start(2);
        let boxes = start_direct_and_relayed(&store, &workers);
        let pair = Self {
            _store: store,
            boxes,
            workers,
        };
        for caller in pair.callers() {
            wait_until("the box serves", || serves(caller));
        }
        pair
    }

    /// Returns a caller of each box.
    pub fn callers(&self) -> [Caller; 2] {
        self.boxes.each_ref().map(Caller::of)
    }

    /// Stops the boxes gracefully.
    pub fn close(self) {
        let [direct, relayed] = self.boxes;
        smol::block_on(relayed.close());
        smol::block_on(direct.close());
        self.workers.close();
    }
}

/// Returns an address that is never connected to.
pub fn any_address() -> SocketAddr {
    "127.0.0.1:9".parse().expect("it is a constant")
}

/// Returns settings of a box on loopback, with a short drain.
pub fn settings(id: &str, store: SocketAddr) -> Settings {
    let text = json!({
        "box_id": id,
        "data_centre": "dc-1",
        "fleet": "test",
        "caller_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "operator_address": "127.0.0.1:0",
        "catalog": {"form": "kv", "store_address": store},
        "drain": {"balancer_lag_ms": 100, "limit_ms": 5000},
        // More than any pause of the machine.
        "max_prompt_delay_ms": 60_000,
    });
    parse_settings("test", &text.to_string()).expect("the settings are valid")
}

/// Starts a box of a data centre that reads a store.
pub fn start_box_in(
    data_centre: &str,
    id: &str,
    store: &PlatformStore,
    workers: &Workers,
) -> EdgeBox {
    let mut settings = with_resends(settings(id, store.address), AMPLE_RESENDS);
    settings.data_centre = data_centre.to_owned();
    start_box_with(settings, store, workers)
}

/// Sets the retry budget so that the first request allows the given number of resends. A
/// box that has just started has no slack, and half of what its requests earn counts at
/// once.
fn with_resends(mut settings: Settings, resends: f64) -> Settings {
    settings.retry_budget = RetryBudgetSettings {
        ratio: 2.0 * resends,
        window_s: 60.0,
        slack: 0.0,
    };
    settings
}

/// Returns a configuration as the operator writes it.
pub fn configuration(version: u64, routes: &[Route]) -> Value {
    let row = |route: &Route| {
        json!({
            "name": format!("r-{}", route.class),
            "host": "site.example",
            "path_prefix": format!("/{}/", route.class),
            "class": route.class,
            "timeout_ms": route.timeout_ms,
            "target_latency_ms": 1000,
            "priority": 1,
            "max_attempts": 2,
            "service": "svc",
        })
    };
    let rows: Vec<Value> = routes.iter().map(row).collect();
    json!({
        "version": version,
        "host_routes": rows,
        "services": [{"name": "svc", "server_connections": 100}],
        "limits": {
            "max_head_bytes": 16384,
            "max_body_bytes": 1048576,
            "head_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    })
}

/// Returns the configuration with client accounts, each given by its name and keys.
pub fn with_accounts(mut configuration: Value, accounts: &[(&str, &[&str])]) -> Value {
    let row = |(name, keys): &(&str, &[&str])| json!({"name": name, "keys": keys});
    let rows: Vec<Value> = accounts.iter().map(row).collect();
    configuration["client_accounts"] = rows.into();
    configuration
}

/// Returns a catalog entry as a server writes it.
pub fn server_entry(address: SocketAddr, state: &str) -> Value {
    json!({
        "service": "svc",
        "address": address,
        "data_centre": "dc-1",
        "version": "v1",
        "slots": 4,
        "state": state,
        "cold_ms": 0,
        "seq_no": 1,
    })
}

/// Waits until a condition holds; panics after a minute.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(
            started.elapsed() < Duration::from_secs(60),
            "did not happen within a minute: {what}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}
