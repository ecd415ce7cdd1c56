//! The settings of a box, all checked before anything starts.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wingspur_protocol::Keyring;
use wingspur_state::{BoxId, DataCentreId, QuotaTolerance, Regions, RetryBudgetSettings};
use wingspur_transport::{PathFault, TlsFiles};

/// The settings of one box.
///
/// The sources of bundles, backend servers and boxes are given either by the fields of
/// [`OwnSources`] (`store_address`, `box_list_address` and `keyring`) or by `catalog`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Settings {
    /// The box's id.
    pub box_id: BoxId,
    /// The data centre of the box.
    pub data_centre: DataCentreId,
    /// The region of each data centre. Data centres that are left out count as near each
    /// other.
    #[serde(default, skip_serializing_if = "Regions::is_empty")]
    pub regions: Regions,
    /// The fleet that the box belongs to.
    pub fleet: String,
    /// The address that serves callers, behind the platform's load balancer.
    pub caller_address: SocketAddr,
    /// The address that serves other boxes.
    pub peer_address: SocketAddr,
    /// The address that serves `/ready`, `/status` and `/metrics` to operators.
    pub operator_address: SocketAddr,
    /// A further address that serves `/metrics`; `None` where there is no separate one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics_address: Option<SocketAddr>,
    /// The product's own sources; `None` where their fields are left out, which is
    /// allowed only with a `catalog`.
    #[serde(flatten)]
    pub own_sources: Option<OwnSources>,
    /// The catalog; `None` where the product's own sources are used.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub catalog: Option<CatalogSettings>,
    /// Whether the whole fleet starts for the first time together with this box, so that
    /// no box has used any of the shared quotas and budgets yet.
    #[serde(default)]
    pub first_start: bool,
    /// The retry budget: how many resends may be sent to a service.
    #[serde(default)]
    pub retry_budget: RetryBudgetSettings,
    /// How far the requests of a client account may exceed its limit.
    #[serde(default)]
    pub quota: QuotaTolerance,
    /// The processor time that the box may use, in cores; 1 is a whole core. Together
    /// with `link_mbps` it determines the share of common work that the box gets, see
    /// [`Settings::capacity`].
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    /// The bandwidth of the box's network link, in megabits per second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// The memory that the box may use, in MiB. A quarter of it is for what the box
    /// buffers of requests and responses, and another one for responses of the store and
    /// of other boxes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// The number of threads for the request path.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: usize,
    /// The maximum size of a request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// The maximum size, in bytes, of a request body that is kept so that it can be
    /// resent.
    #[serde(default = "default_kept_body_bytes")]
    pub kept_body_bytes: u64,
    /// How long a backend server may take, besides the round trip, to refuse a request as
    /// it arrives, in milliseconds. A refusal that comes later does not prove that the
    /// request did not run: it may have waited where a worker of the server takes it.
    #[serde(default = "default_max_prompt_delay_ms")]
    pub max_prompt_delay_ms: u64,
    /// Whether the less urgent requests of a service that is over its capacity are
    /// refused.
    #[serde(default)]
    pub admission_by_urgency: bool,
    /// How the box drains when it stops.
    #[serde(default)]
    pub drain: DrainSettings,
    /// How once-only operations are stored.
    #[serde(default)]
    pub once_only: OnceOnlySettings,
    /// How the box logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Faults that the box injects into itself, to rehearse them.
    #[serde(default)]
    pub fault_injection: FaultInjectionSettings,
    /// The TLS identity of the box towards other boxes; may be left out only where
    /// `peer_address` is a loopback address or there is a `catalog`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<TlsSettings>,
}

/// The addresses of the product's own sources of bundles and boxes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OwnSources {
    /// The address of the key-value service.
    pub store_address: SocketAddr,
    /// The address of the platform's list of boxes.
    pub box_list_address: SocketAddr,
    /// The keys whose signatures on bundles the box accepts.
    pub keyring: Keyring,
}

/// The source of the catalog of bundles, backend servers and boxes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogSettings {
    /// The protocol of the store; `kv` is the only one.
    pub form: String,
    /// The address of the store that holds the catalog.
    pub store_address: SocketAddr,
    /// Peers to ask while the store is unavailable. Some of them may no longer exist.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The PEM files with the TLS identity of the box. They may be replaced while it runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// The trusted certificate authorities.
    pub authorities_path: PathBuf,
    /// The certificate, issued for `box_id` and the peer address.
    pub certificate_path: PathBuf,
    /// The private key of the certificate.
    pub key_path: PathBuf,
}

impl From<&TlsSettings> for TlsFiles {
    fn from(settings: &TlsSettings) -> Self {
        Self {
            authorities: settings.authorities_path.clone(),
            certificate: settings.certificate_path.clone(),
            key: settings.key_path.clone(),
        }
    }
}

/// How a box drains when it stops.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// How long the load balancer may still send requests after `/ready` answers 503, in
    /// milliseconds.
    pub balancer_lag_ms: u64,
    /// How long requests in flight may then take to finish, in milliseconds.
    pub limit_ms: u64,
    /// How long after the stop signal the platform kills the process, in seconds; `None`
    /// where it never does.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kill_after_s: Option<f64>,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            balancer_lag_ms: 2_000,
            limit_ms: 60_000,
            kill_after_s: None,
        }
    }
}

/// How once-only operations are stored; must be the same on all boxes of a fleet.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OnceOnlySettings {
    /// The number of logs that the operations are distributed over.
    pub shards: u32,
    /// The minimum time between two writes to one log, in milliseconds.
    pub commit_every_ms: u64,
    /// How long an operation is remembered, in seconds.
    pub retention_s: u64,
}

impl Default for OnceOnlySettings {
    fn default() -> Self {
        Self {
            shards: 8,
            commit_every_ms: 20,
            retention_s: 24 * 3600,
        }
    }
}

/// Faults that a box injects into itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultInjectionSettings {
    /// The fault of the path to all backend servers.
    pub server_path: PathFault,
}

/// How a box logs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The format of a line.
    pub format: LogFormat,
    /// The log filter, such as `info,wingspur_entry=debug`.
    pub filter: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Human,
            filter: "info".to_owned(),
        }
    }
}

/// The format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text for people.
    Human,
    /// One JSON object per line.
    Json,
}

impl Settings {
    /// Returns the capacity of the box for common work as a multiple of the smallest box
    /// that is planned for, by whichever of processor and link is scarcer. The result is
    /// rounded down and is 0 for a box below that size.
    pub fn capacity(&self) -> u32 {
        let shares =
            (self.cpu_share / MIN_BOX_CPU_SHARE).min(self.link_mbps / MIN_BOX_LINK_MBPS);
        // The addition makes up for rounding: a share like 0.3 has no exact binary form.
        (shares + 0.01) as u32
    }

    /// Returns how many bytes of requests and responses the box may buffer, and as many of
    /// what the store and other boxes send.
    pub fn buffer_bytes(&self) -> usize {
        (self.memory_mb << 20) as usize / 4
    }

    /// Returns how long a backend server may take to refuse a request as it arrives.
    pub fn max_prompt_delay(&self) -> Duration {
        Duration::from_millis(self.max_prompt_delay_ms)
    }

    /// Returns how long the load balancer may still send requests after a stop began. It
    /// is at most half of the time that the stop may take, so that the last requests can
    /// still be answered.
    pub fn balancer_lag(&self) -> Duration {
        let lag = Duration::from_millis(self.drain.balancer_lag_ms);
        self.stop_span().map_or(lag, |span| lag.min(span / 2))
    }

    /// Returns the names of the fields that differ and that only a restart can change.
    pub fn changes_needing_restart(&self, other: &Self) -> Vec<&'static str> {
        let store = |settings: &Self| settings.catalog.as_ref().map(|c| c.store_address);
        let pairs = [
            ("box_id", self.box_id != other.box_id),
            ("data_centre", self.data_centre != other.data_centre),
            ("regions", self.regions != other.regions),
            ("fleet", self.fleet != other.fleet),
            (
                "caller_address",
                self.caller_address != other.caller_address,
            ),
            ("peer_address", self.peer_address != other.peer_address),
            (
                "operator_address",
                self.operator_address != other.operator_address,
            ),
            ("catalog.store_address", store(self) != store(other)),
            (
                "worker_threads",
                self.worker_threads != other.worker_threads,
            ),
        ];
        let differs = pairs.into_iter().filter(|(_, differs)| *differs);
        differs.map(|(name, _)| name).collect()
    }

    /// Returns how long requests in flight may take to finish after
    /// [`balancer_lag`](Self::balancer_lag) is over.
    pub fn drain_limit(&self) -> Duration {
        let limit = Duration::from_millis(self.drain.limit_ms);
        let lag = self.balancer_lag();
        self.stop_span().map_or(limit, |span| limit.min(span - lag))
    }

    /// Returns the part of [`drain_limit`](Self::drain_limit) that is reserved at its end
    /// for writing responses to the requests that have not finished by then.
    pub fn final_response_time(&self) -> Duration {
        FINAL_RESPONSE_TIME.min(self.drain_limit() / 2)
    }

    /// Returns how long a stop may take; `None` where the platform sets no limit.
    fn stop_span(&self) -> Option<Duration> {
        let kill_after = Duration::from_secs_f64(self.drain.kill_after_s?);
        Some(kill_after.saturating_sub(KILL_MARGIN))
    }
}

/// The smallest box that is planned for has a tenth of a core and a link of ten megabits
/// per second.
const MIN_BOX_CPU_SHARE: f64 = 0.1;
const MIN_BOX_LINK_MBPS: f64 = 10.0;
/// A box ends this long before it would be killed, since timers and the last responses
/// can be late.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Time to write the last responses, of a few hundred bytes each. A box that has used up
/// its share of a core is not scheduled for up to a tenth of a second; this allows for
/// two such pauses.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(200);

/// The reasons for refusing settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {error}; check the path", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the read.
        error: std::io::Error,
    },
    /// The file is not JSON.
    #[error("{file}: not JSON: {error}; mend the file at that place")]
    NotJson {
        /// The file.
        file: String,
        /// The error of the parser, with its position.
        error: serde_json::Error,
    },
    /// Some fields are wrong; the text has one line for each.
    #[error("{}", .0.trim_end())]
    Findings(String),
}

/// Reads and checks a settings file. Fails where the file cannot be read or where
/// [`parse_settings`] fails.
pub fn load_settings(path: &Path) -> Result<Settings, SettingsError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            path: path.to_owned(),
            error,
        })?;
    parse_settings(&path.display().to_string(), &text)
}

/// Parses settings and checks them. `file` is the file name that is used in messages.
///
/// All wrong, unknown and missing fields are reported at once; a missing `tls` is
/// reported only when everything else is right.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let not_json = |error| SettingsError::NotJson {
        file: file.to_owned(),
        error,
    };
    let value: Value = serde_json::from_str(text).map_err(not_json)?;
    let mut findings = String::new();
    check_object(&mut findings, file, "", &value, FIELDS);
    if value.get("catalog").is_none() {
        check_own_source_fields(&mut findings, file, &value, OWN_SOURCE_FIELDS);
    }
    if !findings.is_empty() {
        return Err(SettingsError::Findings(findings));
    }
    let settings: Settings = serde_json::from_value(value).map_err(not_json)?;
    let tls_is_optional =
        settings.catalog.is_some() || settings.peer_address.ip().is_loopback();
    if settings.tls.is_none() && !tls_is_optional {
        let fix = "add it, or use a loopback `peer_address`: plain is for loopback only";
        push_finding(&mut findings, file, "tls", "missing", fix);
        return Err(SettingsError::Findings(findings));
    }
    Ok(settings)
}

/// A field that is allowed in an object of the settings.
struct Field {
    name: &'static str,
    kind: Kind,
    required: bool,
}

/// The type of a field's value.
enum Kind {
    Text,
    Address,
    /// A whole number within these bounds.
    Number(u64, u64),
    /// A number from 0 to 1.
    Fraction,
    /// A number that is not negative.
    Amount,
    /// True or false.
    Flag,
    OneOf(&'static [&'static str]),
    Addresses,
    Texts,
    Object(&'static [Field]),
}

const fn required(name: &'static str, kind: Kind) -> Field {
    Field {
        name,
        kind,
        required: true,
    }
}

const fn optional(name: &'static str, kind: Kind) -> Field {
    Field {
        name,
        kind,
        required: false,
    }
}

const FIELDS: &[Field] = &[
    required("box_id", Kind::Text),
    required("data_centre", Kind::Text),
    optional("regions", Kind::Texts),
    required("fleet", Kind::Text),
    required("caller_address", Kind::Address),
    required("peer_address", Kind::Address),
    required("operator_address", Kind::Address),
    optional("metrics_address", Kind::Address),
    optional("store_address", Kind::Address),
    optional("box_list_address", Kind::Address),
    optional("keyring", Kind::Texts),
    optional(
        "catalog",
        Kind::Object(&[
            required("form", Kind::OneOf(&["kv"])),
            required("store_address", Kind::Address),
            optional("seeds", Kind::Addresses),
        ]),
    ),
    optional("first_start", Kind::Flag),
    optional(
        "retry_budget",
        Kind::Object(&[
            required("ratio", Kind::Fraction),
            required("window_s", Kind::Amount),
            required("slack", Kind::Amount),
        ]),
    ),
    optional(
        "quota",
        Kind::Object(&[
            required("window_s", Kind::Amount),
            required("overrun", Kind::Fraction),
            required("slack", Kind::Amount),
        ]),
    ),
    optional("cpu_share", Kind::Amount),
    optional("link_mbps", Kind::Amount),
    optional("memory_mb", Kind::Number(16, 1 << 20)),
    optional("worker_threads", Kind::Number(1, 256)),
    optional("max_body_bytes", Kind::Number(0, u64::MAX)),
    optional("kept_body_bytes", Kind::Number(0, 16 << 20)),
    optional("max_prompt_delay_ms", Kind::Number(0, 600_000)),
    optional("admission_by_urgency", Kind::Flag),
    optional(
        "drain",
        Kind::Object(&[
            optional("balancer_lag_ms", Kind::Number(0, 600_000)),
            optional("limit_ms", Kind::Number(1, 3_600_000)),
            optional("kill_after_s", Kind::Amount),
        ]),
    ),
    optional(
        "once_only",
        Kind::Object(&[
            optional("shards", Kind::Number(1, 4096)),
            optional("commit_every_ms", Kind::Number(1, 10_000)),
            optional("retention_s", Kind::Number(60, 30 * 24 * 3600)),
        ]),
    ),
    optional(
        "tls",
        Kind::Object(&[
            required("authorities_path", Kind::Text),
            required("certificate_path", Kind::Text),
            required("key_path", Kind::Text),
        ]),
    ),
    optional(
        "fault_injection",
        Kind::Object(&[optional(
            "server_path",
            Kind::OneOf(&["none", "refuse", "refuse_new", "hold"]),
        )]),
    ),
    optional(
        "log",
        Kind::Object(&[
            optional("format", Kind::OneOf(&["human", "json"])),
            optional("filter", Kind::Text),
        ]),
    ),
];

/// Fields that are required where there is no `catalog`.
const OWN_SOURCE_FIELDS: &[Field] = &[
    required("store_address", Kind::Address),
    required("box_list_address", Kind::Address),
    required("keyring", Kind::Texts),
];

fn check_object(out: &mut String, file: &str, at: &str, value: &Value, fields: &[Field]) {
    let Value::Object(object) = value else {
        let found = shorten(value);
        return push_finding(out, file, at, &found, "write a JSON object here");
    };
    for (name, value) in object {
        let field_path = join_field_path(at, name);
        match fields.iter().find(|field| field.name == name) {
            Some(field) => check_value(out, file, &field_path, value, &field.kind),
            None => {
                let fix = hint_for_unknown(name, fields);
                push_finding(out, file, &field_path, "an unknown field", &fix);
            }
        }
    }
    for field in fields {
        if field.required && !object.contains_key(field.name) {
            let fix = format!("add it: {}", expected_value(&field.kind));
            push_finding(out, file, &join_field_path(at, field.name), "missing", &fix);
        }
    }
}

fn check_own_source_fields(
    out: &mut String,
    file: &str,
    value: &Value,
    fields: &[Field],
) {
    for field in fields
        .iter()
        .filter(|field| value.get(field.name).is_none())
    {
        let fix = format!("add it, or `catalog`: {}", expected_value(&field.kind));
        push_finding(out, file, field.name, "missing", &fix);
    }
}

fn check_value(out: &mut String, file: &str, at: &str, value: &Value, kind: &Kind) {
    let is_valid = match kind {
        Kind::Text => value.as_str().is_some_and(|text| !text.is_empty()),
        Kind::Address => is_address(value),
        Kind::Number(least, most) => value
            .as_u64()
            .is_some_and(|number| (*least..=*most).contains(&number)),
        Kind::Flag => value.is_boolean(),
        Kind::Fraction => value
            .as_f64()
            .is_some_and(|fraction| (0.0..=1.0).contains(&fraction)),
        Kind::Amount => value.as_f64().is_some_and(|amount| amount >= 0.0),
        Kind::Addresses => value
            .as_array()
            .is_some_and(|all| all.iter().all(is_address)),
        Kind::OneOf(names) => value.as_str().is_some_and(|text| names.contains(&text)),
        Kind::Texts => {
            let object = value.as_object();
            object.is_some_and(|object| object.values().all(Value::is_string))
        }
        Kind::Object(fields) => {
            return check_object(out, file, at, value, fields);
        }
    };
    if !is_valid {
        let fix = format!("write {}", expected_value(kind));
        push_finding(out, file, at, &shorten(value), &fix);
    }
}

fn is_address(value: &Value) -> bool {
    let text = value.as_str();
    text.is_some_and(|text| text.parse::<SocketAddr>().is_ok())
}

fn expected_value(kind: &Kind) -> String {
    match kind {
        Kind::Text => "a text that is not empty".to_owned(),
        Kind::Address => "an IP address and a port, such as \"10.0.0.1:8080\"".to_owned(),
        Kind::Number(least, u64::MAX) => format!("a whole number from {least} up"),
        Kind::Number(least, most) => format!("a whole number from {least} to {most}"),
        Kind::Fraction => "a number from 0 to 1".to_owned(),
        Kind::Flag => "true or false".to_owned(),
        Kind::Amount => "a number from 0 up".to_owned(),
        Kind::Addresses => "a list such as [\"10.0.0.1:8080\"]".to_owned(),
        Kind::OneOf(names) => format!("one of {}", names.join(", ")),
        Kind::Texts => "an object of texts, such as {\"ana\": \"KEY\"}".to_owned(),
        Kind::Object(_) => "an object".to_owned(),
    }
}

/// Returns the hint for an unknown field. A name that differs from a known field only in
/// the unit at its end, or lacks the unit, gets the known field as the suggestion.
fn hint_for_unknown(name: &str, fields: &[Field]) -> String {
    let stem = |name: &str| name.rsplit_once('_').map(|(stem, _)| stem.to_owned());
    let sibling = fields.iter().find(|field| {
        let stems = (stem(field.name), stem(name));
        stems.0.is_some() && stems.0 == stems.1 || stems.0.as_deref() == Some(name)
    });
    if let Some(field) = sibling {
        return format!("write `{}`, in the unit that its name says", field.name);
    }
    let known: Vec<&str> = fields.iter().map(|field| field.name).collect();
    format!("remove it, or use one of {}", known.join(", "))
}

fn push_finding(out: &mut String, file: &str, at: &str, found: &str, fix: &str) {
    let at = if at.is_empty() { "the whole file" } else { at };
    // Writing to a `String` never fails.
    let _ = writeln!(out, "{file}: {at}: found {found}; {fix}");
}

fn join_field_path(at: &str, name: &str) -> String {
    if at.is_empty() {
        name.to_owned()
    } else {
        format!("{at}.{name}")
    }
}

fn shorten(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= 40 {
        return text;
    }
    text.chars().take(40).chain("...".chars()).collect()
}

fn default_cpu_share() -> f64 {
    1.0
}

fn default_link_mbps() -> f64 {
    1000.0
}

fn default_memory_mb() -> u64 {
    256
}

fn default_worker_threads() -> usize {
    2
}

fn default_max_body_bytes() -> u64 {
    64 << 20
}

fn default_max_prompt_delay_ms() -> u64 {
    10
}

fn default_kept_body_bytes() -> u64 {
    64 << 10
}
