//! The bundle: what operators declare about services, servers and routes.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{BundleVersion, ClientAccount, DataCentreId};

/// A versioned description of everything a fleet proxies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The version; a box only activates a bundle with a greater one than its active
    /// bundle.
    pub version: BundleVersion,
    /// The fleet that this bundle is for.
    pub fleet: String,
    /// The request header that names the caller's account.
    #[serde(default = "default_account_header")]
    pub account_header: String,
    /// The services, each with its own servers, limits and rules.
    pub services: Vec<Service>,
    /// Limits on the size and duration of what callers send.
    #[serde(default)]
    pub caller_limits: CallerLimits,
    /// The client accounts; `None` where callers need no key.
    #[serde(default)]
    pub client_accounts: Option<Vec<Arc<ClientAccount>>>,
    /// Routes by host and path prefix, which may divide their requests among services.
    ///
    /// This must stay the last field: boxes send each other the fields by position, and
    /// one that is left out would shift those after it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub host_routes: Vec<HostRoute>,
}

/// A route by host and path prefix.
///
/// Among the routes of a host, the one with the longest matching prefix of the path is
/// used.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostRoute {
    /// The name, for logs.
    pub name: String,
    /// The host as in the caller's request, without a port.
    pub host: String,
    /// The prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// The class of the route's requests.
    pub class: RouteClass,
    /// The services that share the requests, by weight.
    pub targets: Vec<RouteTarget>,
    /// The maximum time that a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// The latency target in milliseconds: an answer within it is worth most to its
    /// caller.
    pub target_latency_ms: u64,
    /// The maximum number of servers that one request may be sent to.
    pub max_attempts: u8,
    /// The priority where a service is short of capacity; requests with 0 are served
    /// first.
    pub priority: u8,
    /// Whether callers need no key here.
    #[serde(default)]
    pub open_to_all: bool,
}

/// A service with its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTarget {
    /// The service's name.
    pub service: String,
    /// The service's share, relative to the weights of the route's other targets.
    pub weight: u32,
}

impl RouteTarget {
    /// Returns the target of a route that leads to one service only.
    pub fn single(service: String) -> Self {
        Self { service, weight: 1 }
    }
}

/// Limits on the size and duration of what a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// The maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// How long a request's head may take to arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// How long a connection may be idle between two requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl CallerLimits {
    /// Returns how long a request's head may take to arrive.
    pub fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_timeout_ms)
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 64 << 10,
            max_body_bytes: 64 << 20,
            head_timeout_ms: 30_000,
            idle_timeout_ms: 60_000,
        }
    }
}

/// One service: its backend servers, routes and rules.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name, unique in the bundle.
    pub name: String,
    /// The capacity that ejections must leave.
    pub floor: Floor,
    /// How readily failing servers are ejected.
    #[serde(default)]
    pub detection: Detection,
    /// The limits of one box for this service.
    #[serde(default)]
    pub limits: Limits,
    /// Which failed attempts may be retried, and how often.
    #[serde(default)]
    pub retry: RetryRules,
    /// The backend servers.
    pub servers: Vec<BackendServer>,
    /// The routes that lead to this service.
    pub routes: Vec<Route>,
    /// Connections that each server accepts, where servers announce themselves; otherwise
    /// `None`.
    #[serde(default)]
    pub server_connections: Option<u32>,
    /// Requests per second that a cold server can handle; `None` where they are not
    /// limited.
    #[serde(default)]
    pub cold_requests_per_s: Option<f64>,
}

impl Service {
    /// Returns the number of slots of all servers together.
    pub fn slots(&self) -> u32 {
        self.servers.iter().map(|server| server.slots).sum()
    }

    /// Returns the number of slots that ejections must leave in service, rounded up.
    pub fn floor_slots(&self) -> u32 {
        let percent = u32::from(self.floor.healthy_slots_percent);
        (self.slots() * percent).div_ceil(100)
    }
}

/// The minimum healthy capacity of a service; no ejection reduces it further.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Floor {
    /// The share of the service's slots that must stay in service, in percent.
    pub healthy_slots_percent: u8,
}

/// The operators' only setting for the detection of failing servers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Detection {
    /// False ejections allowed per server and day.
    pub false_ejections_per_server_day: f64,
}

impl Default for Detection {
    fn default() -> Self {
        Self {
            false_ejections_per_server_day: 0.01,
        }
    }
}

/// The limits of one box for one service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// The maximum number of requests in flight at once.
    pub concurrency: usize,
    /// The maximum number of requests that wait until others finish.
    pub queue: usize,
    /// Requests per second for one caller account; a burst of two seconds' worth is
    /// allowed.
    pub account_requests_per_s: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            concurrency: 256,
            queue: 256,
            account_requests_per_s: 100.0,
        }
    }
}

/// Which attempts may be retried, and how often.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryRules {
    /// The maximum number of attempts after the first.
    pub retries: u8,
    /// Retries allowed as a share of recent successes, in percent.
    pub budget_percent: u8,
    /// Statuses by which a server declares that it did not run the request.
    pub not_run_statuses: Vec<u16>,
    /// Whether the servers refuse requests so that no worker can run what is refused,
    /// however long it has waited. Otherwise only a refusal on arrival proves that the
    /// request did not run.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub atomic_refusals: bool,
}

impl Default for RetryRules {
    fn default() -> Self {
        Self {
            retries: 2,
            budget_percent: 10,
            not_run_statuses: Vec::new(),
            atomic_refusals: false,
        }
    }
}

/// A backend server of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// The name, unique in its service.
    pub name: String,
    /// The IP address and port.
    pub address: std::net::SocketAddr,
    /// The data centre in which the server runs.
    pub data_centre: DataCentreId,
    /// Requests that the server works on at once.
    pub slots: u32,
    /// Connections that the server accepts from all boxes together.
    pub connections: u32,
}

/// A route: which requests lead to the service, and how they are treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The path; `{name}` matches one segment, `{*rest}` all segments that follow.
    pub path: String,
    /// The methods; a request with any other method is refused.
    pub methods: Vec<String>,
    /// The class of the route's requests.
    pub class: RouteClass,
    /// Time from a request's arrival to the end of its response, in milliseconds; for
    /// downloads to the end of the response's head.
    pub deadline_ms: u64,
    /// The header with the operation's key, for once-only routes; the default is
    /// `idempotency-key`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_header: Option<String>,
}

impl Route {
    /// Returns the deadline as a duration.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns the name of the header that carries the operation's key.
    pub fn key_header(&self) -> &str {
        self.key_header.as_deref().unwrap_or(DEFAULT_KEY_HEADER)
    }
}

/// The classes of requests, each with its own guarantees.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteClass {
    /// May be resent freely.
    Read,
    /// Must run at most once.
    OnceOnly,
    /// A long answer that may be fetched again.
    Download,
}

impl RouteClass {
    /// Returns whether an attempt that may have run at a server may be retried.
    pub fn is_retry_safe(self) -> bool {
        !matches!(self, Self::OnceOnly)
    }

    /// Returns the class as spelt in the bundle, for metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::OnceOnly => "once_only",
            Self::Download => "download",
        }
    }
}

const DEFAULT_KEY_HEADER: &str = "idempotency-key";

fn default_account_header() -> String {
    "x-account".to_owned()
}
