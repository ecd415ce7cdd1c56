//! The operator: writes configurations, and keeps which were in force when.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use wingspur_tests::PlatformStore;

use crate::planned::record::{ServiceIndex, Version};

/// A route that callers use.
pub struct Route {
    /// Its name, and its path's first part.
    pub name: &'static str,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// Its part of the requests.
    pub share: u32,
}

/// What may be done with the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// They may be repeated.
    Read,
    /// They run at most once.
    OnceOnly,
    /// They may be repeated, and their answers are long.
    Download,
}

/// The operator of one play.
pub struct Operator {
    /// The configurations so far.
    pub versions: Vec<Version>,
    moved_to: ServiceIndex,
    weights: [u32; 2],
    timeout_ms: u64,
}

/// A change of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Other timeouts.
    Timeout,
    /// A route leads to another service.
    Route,
    /// The parts of a route that is split change.
    Weights,
}

impl Operator {
    /// Writes the first configuration.
    pub fn start(store: &PlatformStore) -> Self {
        let mut operator = Self {
            versions: Vec::new(),
            moved_to: CHOICES,
            weights: [1, 1],
            timeout_ms: LEAST_TIMEOUT_MS,
        };
        operator.write(store);
        operator
    }

    /// Writes a new configuration.
    pub fn change(&mut self, change: Change, store: &PlatformStore) {
        match change {
            Change::Timeout => {
                self.timeout_ms = LEAST_TIMEOUT_MS + (self.timeout_ms + 170) % 600;
            }
            Change::Route => self.moved_to = CHOICES + ARCHIVE - self.moved_to,
            Change::Weights => self.weights = [self.weights[1] % 3 + 1, self.weights[0]],
        }
        self.write(store);
    }

    fn write(&mut self, store: &PlatformStore) {
        // Versions rise by uneven steps.
        let before = self.versions.last().map_or(0, |version| version.number);
        let number = before + 1 + before % 3;
        let written = Instant::now();
        store.put("op/config", &self.configuration(number));
        self.versions.push(Version {
            number,
            written,
            taken: Instant::now(),
            services: ROUTES.iter().map(|route| self.services_of(route)).collect(),
        });
    }

    fn services_of(&self, route: &Route) -> Vec<ServiceIndex> {
        match route.name {
            "read" => vec![READS],
            "once" => vec![CHOICES],
            "split" => vec![READS, ARCHIVE],
            "move" => vec![self.moved_to],
            _ => vec![ARCHIVE],
        }
    }

    fn configuration(&self, version: u64) -> Value {
        let services =
            SERVICES.map(|name| json!({"name": name, "server_connections": 400}));
        let routes: Vec<Value> = ROUTES.iter().map(|route| self.route(route)).collect();
        json!({
            "version": version,
            "host_routes": routes,
            "services": services,
            "limits": {
                "max_head_bytes": 16384, "max_body_bytes": 1048576,
                "head_timeout_ms": 3000, "idle_timeout_ms": IDLE_LIMIT.as_millis() as u64,
            },
        })
    }

    fn route(&self, route: &Route) -> Value {
        let class = match route.kind {
            RouteKind::Read => "read",
            RouteKind::OnceOnly => "once_only",
            RouteKind::Download => "download",
        };
        let mut written = json!({
            "name": route.name, "host": HOST, "path_prefix": format!("/{}/", route.name),
            "class": class, "timeout_ms": self.timeout_ms, "target_latency_ms": 1000,
            "priority": 1, "max_attempts": 3,
        });
        let services = self.services_of(route);
        match services.len() {
            1 => written["service"] = json!(SERVICES[services[0]]),
            _ => {
                let targets = services.iter().zip(self.weights);
                let targets = targets.map(|(service, weight)| {
                    json!({"service": SERVICES[*service], "weight": weight})
                });
                written["targets"] = targets.collect();
            }
        }
        written
    }
}

/// The services.
pub const SERVICES: [&str; 3] = ["reads", "choices", "archive"];
const READS: ServiceIndex = 0;
const CHOICES: ServiceIndex = 1;
const ARCHIVE: ServiceIndex = 2;

/// The routes.
pub const ROUTES: [Route; 5] = [
    route("read", RouteKind::Read, 40),
    route("once", RouteKind::OnceOnly, 25),
    route("split", RouteKind::Read, 14),
    route("move", RouteKind::Read, 14),
    route("file", RouteKind::Download, 7),
];

const fn route(name: &'static str, kind: RouteKind, share: u32) -> Route {
    Route { name, kind, share }
}

/// The host of all routes.
pub const HOST: &str = "site.example";
/// How long a caller's connection may rest.
pub const IDLE_LIMIT: Duration = Duration::from_millis(3000);
/// The shortest time that any route has; the longest has 600 ms more.
pub const LEAST_TIMEOUT_MS: u64 = 2800;
