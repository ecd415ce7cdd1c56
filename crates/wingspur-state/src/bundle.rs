//! The bundle: what operators declare about services, servers and routes.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{BundleVersion, ClientAccount, DataCentreId};

/// A versioned description of everything a fleet proxies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The version; a box only ever takes a greater one.
    pub version: BundleVersion,
    /// The fleet that this bundle is for.
    pub fleet: String,
    /// The request header that names the caller's account.
    #[serde(default = "default_account_header")]
    pub account_header: String,
    /// The services, each a concern of its own.
    pub services: Vec<Service>,
    /// What callers may send, and how long they may take.
    #[serde(default)]
    pub caller_limits: CallerLimits,
    /// The client accounts; none where callers need no key.
    #[serde(default)]
    pub client_accounts: Option<Vec<Arc<ClientAccount>>>,
    /// Routes by host and path prefix, which may divide their requests among services.
    ///
    /// It stays the last field: boxes tell each other fields by their place, and one that is
    /// left out would shift those after it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub host_routes: Vec<HostRoute>,
}

/// A route by host and path prefix.
///
/// Among the routes of a host, the one with the longest prefix of the path is taken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostRoute {
    /// The name, for logs.
    pub name: String,
    /// The host as callers name it, without a port.
    pub host: String,
    /// The beginning of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// What kind of work this is.
    pub class: RouteClass,
    /// The services that share the requests, by weight.
    pub targets: Vec<RouteTarget>,
    /// The longest time that a request may be held.
    pub timeout_ms: u64,
    /// The time within which an answer is worth most to its caller.
    pub target_latency_ms: u64,
    /// Servers that one request may be sent to.
    pub max_attempts: u8,
    /// The rank where a service is short of room; 0 goes first.
    pub priority: u8,
    /// Whether callers need no key here.
    #[serde(default)]
    pub open_to_all: bool,
}

/// A service's part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTarget {
    /// The service's name.
    pub service: String,
    /// Its part, relative to the others' weights.
    pub weight: u32,
}

impl RouteTarget {
    /// The target of a route that leads to one service.
    pub fn single(service: String) -> Self {
        Self { service, weight: 1 }
    }
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// The largest head, in bytes.
    pub max_head_bytes: usize,
    /// The largest body, in bytes.
    pub max_body_bytes: u64,
    /// How long a head may take to arrive.
    pub head_timeout_ms: u64,
    /// How long a connection may rest between two requests.
    pub idle_timeout_ms: u64,
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
    /// How much capacity ejections must leave.
    pub floor: Floor,
    /// How eagerly sick servers are ejected.
    #[serde(default)]
    pub detection: Detection,
    /// What one box lets through to the service at once.
    #[serde(default)]
    pub limits: Limits,
    /// Which failed attempts may be made again.
    #[serde(default)]
    pub retry: RetryRules,
    /// The backend servers.
    pub servers: Vec<BackendServer>,
    /// The routes that lead to this service.
    pub routes: Vec<Route>,
    /// Connections that each server accepts, where servers announce themselves.
    #[serde(default)]
    pub server_connections: Option<u32>,
    /// Requests a second that a server bears while it is cold; none where it is not limited.
    #[serde(default)]
    pub cold_requests_per_s: Option<f64>,
}

impl Service {
    /// The slots of all servers together.
    pub fn slots(&self) -> u32 {
        self.servers.iter().map(|server| server.slots).sum()
    }

    /// The slots that ejections must leave in service.
    pub fn floor_slots(&self) -> u32 {
        let percent = u32::from(self.floor.healthy_slots_percent);
        (self.slots() * percent).div_ceil(100)
    }
}

/// The least healthy capacity of a service, which ejections never undercut.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Floor {
    /// The share of the service's slots that must stay in, in percent.
    pub healthy_slots_percent: u8,
}

/// The operators' one knob for detection.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Detection {
    /// False ejections allowed for one server in one day.
    pub false_ejections_per_server_day: f64,
}

impl Default for Detection {
    fn default() -> Self {
        Self {
            false_ejections_per_server_day: 0.01,
        }
    }
}

/// The limits of one box towards one service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests in flight at once.
    pub concurrency: usize,
    /// Requests that may wait for a place.
    pub queue: usize,
    /// Requests a second for one caller account; a burst of two seconds passes.
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

/// Which attempts may be repeated, and how often.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryRules {
    /// Attempts after the first.
    pub retries: u8,
    /// Retries allowed as a share of recent successes, in percent.
    pub budget_percent: u8,
    /// Statuses by which a server declares that it did not run the request.
    pub not_run_statuses: Vec<u16>,
}

impl Default for RetryRules {
    fn default() -> Self {
        Self {
            retries: 2,
            budget_percent: 10,
            not_run_statuses: Vec::new(),
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
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Connections that it accepts from all boxes together.
    pub connections: u32,
}

/// A route: which requests lead to the service, and how they are treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The path; `{name}` stands for one segment, `{*rest}` for all that follow.
    pub path: String,
    /// The methods; a request by any other is refused.
    pub methods: Vec<String>,
    /// What kind of work this is.
    pub class: RouteClass,
    /// Time from arrival to the answer's head (and body, but for downloads).
    pub deadline_ms: u64,
    /// The header with the operation's key, for once-only routes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_header: Option<String>,
}

impl Route {
    /// The deadline as a duration.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// The name of the header that carries the operation's key.
    pub fn key_header(&self) -> &str {
        self.key_header.as_deref().unwrap_or(DEFAULT_KEY_HEADER)
    }
}

/// The kinds of work, each with promises of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteClass {
    /// May be repeated freely.
    Read,
    /// Must run at most once.
    OnceOnly,
    /// A long answer that may be fetched again.
    Download,
}

impl RouteClass {
    /// Whether an attempt that may have run may be made again.
    pub fn is_retry_safe(self) -> bool {
        !matches!(self, Self::OnceOnly)
    }

    /// The class as the bundle spells it, for metric labels.
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
