//! Writes configurations as an operator does, and records each version with its routes
//! and when it was written.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use wingspur_tests::PlatformStore;

use crate::planned::record::{ServiceIndex, Version};

/// A route that callers use.
pub struct Route {
    /// Name of the route, and first segment of its path.
    pub name: &'static str,
    /// Kind of the requests of the route.
    pub kind: RouteKind,
    /// Weight of the route when callers draw a route.
    pub share: u32,
}

/// Kind of the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests that may be sent again.
    Read,
    /// Requests that must run at most once.
    OnceOnly,
    /// Requests that may be sent again and have long responses.
    Download,
}

/// The operator of one play.
pub struct Operator {
    /// All configurations written so far, oldest first.
    pub versions: Vec<Version>,
    moved_to: ServiceIndex,
    weights: [u32; 2],
    timeout_ms: u64,
}

/// A change of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The timeout of all routes changes.
    Timeout,
    /// The route `move` leads to another service.
    Route,
    /// The weights of the route `split` change.
    Weights,
}

impl Operator {
    /// Writes the first configuration.
    pub fn start(store: &PlatformStore) -> Self {
        let mut operator = Self {
            versions: Vec::new(),
            moved_to: CHOICES,
            weights: [1, 1],
            timeout_ms: MIN_TIMEOUT_MS,
        };
        operator.write(store);
        operator
    }

    /// Writes a new configuration.
    pub fn change(&mut self, change: Change, store: &PlatformStore) {
        match change {
            Change::Timeout => {
                self.timeout_ms = MIN_TIMEOUT_MS + (self.timeout_ms + 170) % 600;
            }
            Change::Route => self.moved_to = CHOICES + ARCHIVE - self.moved_to,
            Change::Weights => self.weights = [self.weights[1] % 3 + 1, self.weights[0]],
        }
        self.write(store);
    }

    fn write(&mut self, store: &PlatformStore) {
        // Version numbers rise in uneven steps, since they need not be consecutive.
        let previous = self.versions.last().map_or(0, |version| version.number);
        let number = previous + 1 + previous % 3;
        let written = Instant::now();
        store.put("op/config", &self.configuration(number));
        self.versions.push(Version {
            number,
            written,
            acknowledged: Instant::now(),
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
                "head_timeout_ms": 3000,
                "idle_timeout_ms": IDLE_TIMEOUT.as_millis() as u64,
            },
        })
    }

    fn route(&self, route: &Route) -> Value {
        let class = match route.kind {
            RouteKind::Read => "read",
            RouteKind::OnceOnly => "once_only",
            RouteKind::Download => "download",
        };
        let mut fields = json!({
            "name": route.name, "host": HOST, "path_prefix": format!("/{}/", route.name),
            "class": class, "timeout_ms": self.timeout_ms, "target_latency_ms": 1000,
            "priority": 1, "max_attempts": 3,
        });
        let services = self.services_of(route);
        match services.len() {
            1 => fields["service"] = json!(SERVICES[services[0]]),
            _ => {
                let targets = services.iter().zip(self.weights);
                let targets = targets.map(|(service, weight)| {
                    json!({"service": SERVICES[*service], "weight": weight})
                });
                fields["targets"] = targets.collect();
            }
        }
        fields
    }
}

/// Names of the services.
pub const SERVICES: [&str; 3] = ["reads", "choices", "archive"];
const READS: ServiceIndex = 0;
const CHOICES: ServiceIndex = 1;
const ARCHIVE: ServiceIndex = 2;

/// Routes of every configuration.
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

/// Host name of all routes.
pub const HOST: &str = "site.example";
/// How long a client connection may be idle before the box closes it.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Shortest timeout that any version of a route has; the longest is less than 600 ms
/// longer.
pub const MIN_TIMEOUT_MS: u64 = 2800;
