//! A box's settings, checked whole before anything starts.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wingspur_protocol::Keyring;
use wingspur_state::{BoxId, DataCentreId, QuotaTolerance, Regions, RetryBudgetSettings};
use wingspur_transport::TlsFiles;

/// The settings of one box.
///
/// Where bundles, servers and boxes are announced stands either in the product's own
/// fields, `store_address`, `box_list_address` and `keyring`, or in `catalog`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Settings {
    /// The box's id.
    pub box_id: BoxId,
    /// Where the box stands.
    pub data_centre: DataCentreId,
    /// The region of each data centre; those that are left out are all near each other.
    #[serde(default, skip_serializing_if = "Regions::is_empty")]
    pub regions: Regions,
    /// The fleet it belongs to.
    pub fleet: String,
    /// Where callers come in, behind the platform's balancer.
    pub caller_address: SocketAddr,
    /// Where other boxes come in.
    pub peer_address: SocketAddr,
    /// Where operators read `/ready`, `/status` and `/metrics`.
    pub operator_address: SocketAddr,
    /// Where `/metrics` is read besides, if that has a place of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics_address: Option<SocketAddr>,
    /// The product's own sources; none where there is a catalog.
    #[serde(flatten)]
    pub own: Option<OwnSources>,
    /// The catalog; none where the product's own sources are used.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub catalog: Option<CatalogSettings>,
    /// Whether the whole fleet starts with this box for the first time: nobody has spent
    /// anything of what it shares yet.
    #[serde(default)]
    pub first_start: bool,
    /// What resends a service may be asked to bear.
    #[serde(default)]
    pub retry_budget: RetryBudgetSettings,
    /// How far requests of a client account may pass its limit.
    #[serde(default)]
    pub quota: QuotaTolerance,
    /// The box's share of a processor core, 1 for a whole one; its part in what boxes do
    /// together follows from this and its link.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    /// The bandwidth of the box's link, in megabits a second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Threads for the request path.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: usize,
    /// The longest request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Request bodies up to this are kept, so that they can be sent again.
    #[serde(default = "default_kept_body_bytes")]
    pub kept_body_bytes: u64,
    /// How the box stops.
    #[serde(default)]
    pub drain: DrainSettings,
    /// How once-only requests are kept.
    #[serde(default)]
    pub once_only: OnceOnlySettings,
    /// How the box logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Who the box is towards other boxes; may be left out on loopback only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tls: Option<TlsSettings>,
}

/// Where the product's own bundles and lists of boxes are found.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OwnSources {
    /// The key-value service.
    pub store_address: SocketAddr,
    /// The platform's list of boxes.
    pub box_list_address: SocketAddr,
    /// Whose bundles the box accepts.
    pub keyring: Keyring,
}

/// Where a catalog of bundles, backend servers and boxes is found.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogSettings {
    /// The form in which it speaks.
    pub form: String,
    /// The store that holds it.
    pub store_address: SocketAddr,
    /// Peers to ask while the store is away; they may be gone.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Where the box finds its identity, in PEM files that may be replaced while it runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// The authorities that are trusted.
    pub authorities_path: PathBuf,
    /// The certificate, naming `box_id` and the peer address.
    pub certificate_path: PathBuf,
    /// The certificate's key.
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

/// How a box stops.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// How long the balancer may still send callers after `/ready` says no.
    pub balancer_lag_ms: u64,
    /// How long requests in flight may take to finish.
    pub limit_ms: u64,
    /// When the platform kills a process that was told to stop; none where it never does.
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

/// How once-only requests are kept; the same on all boxes of a fleet.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OnceOnlySettings {
    /// The logs that operations are spread over.
    pub shards: u32,
    /// Least time between two writes of one log.
    pub commit_every_ms: u64,
    /// How long an operation is remembered.
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

/// How a box logs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The form of a line.
    pub format: LogFormat,
    /// What is logged, in the form `info,wingspur_entry=debug`.
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

/// The form of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    Human,
    /// One JSON object a line.
    Json,
}

impl Settings {
    /// How much the box can carry for others: in shares of the least box that is planned
    /// for, by whichever of processor and link is scarcer.
    pub fn capacity(&self) -> u32 {
        let shares = (self.cpu_share / LEAST_CPU_SHARE).min(self.link_mbps / LEAST_MBPS);
        // A little more, since a share like 0.3 has no exact form.
        (shares + 0.01) as u32
    }

    /// How long the balancer may still send callers; half of a stop at most, so that what
    /// comes last can still be answered.
    pub fn balancer_lag(&self) -> Duration {
        let lag = Duration::from_millis(self.drain.balancer_lag_ms);
        self.stop_span().map_or(lag, |span| lag.min(span / 2))
    }

    /// Fields that differ and that only a restart can change.
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

    /// How long requests in flight may take to finish after that.
    pub fn drain_limit(&self) -> Duration {
        let limit = Duration::from_millis(self.drain.limit_ms);
        let lag = self.balancer_lag();
        self.stop_span().map_or(limit, |span| limit.min(span - lag))
    }

    /// How much of that is for writing the answers to requests that were not over by then.
    pub fn final_response_time(&self) -> Duration {
        LAST_ANSWERS.min(self.drain_limit() / 2)
    }

    /// How long a stop may take, where the platform sets an end to it.
    fn stop_span(&self) -> Option<Duration> {
        let kill_after = Duration::from_secs_f64(self.drain.kill_after_s?);
        Some(kill_after.saturating_sub(KILL_MARGIN))
    }
}

/// The least box: a tenth of a core, and a link of ten megabits a second.
const LEAST_CPU_SHARE: f64 = 0.1;
const LEAST_MBPS: f64 = 10.0;
/// A box ends this long before it would be killed: timers and the last answers are late.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Time to write the last answers, a few hundred bytes each: a box that has used up its share
/// of a core stands still for up to a tenth of a second, here twice.
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// Why settings were refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {error}; check the path", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// The file is not JSON.
    #[error("{file}: not JSON: {error}; mend the file at that place")]
    NotJson {
        /// The file.
        file: String,
        /// Where and why.
        error: serde_json::Error,
    },
    /// Fields are wrong; a line for each.
    #[error("{}", .0.trim_end())]
    Findings(String),
}

/// Reads and checks a settings file.
pub fn load_settings(path: &Path) -> Result<Settings, SettingsError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            path: path.to_owned(),
            error,
        })?;
    parse_settings(&path.display().to_string(), &text)
}

/// Checks settings and reports all findings at once; `file` is for the messages.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let not_json = |error| SettingsError::NotJson {
        file: file.to_owned(),
        error,
    };
    let value: Value = serde_json::from_str(text).map_err(not_json)?;
    let mut findings = String::new();
    check_object(&mut findings, file, "", &value, FIELDS);
    if value.get("catalog").is_none() {
        require(&mut findings, file, &value, OWN_FIELDS);
    }
    if !findings.is_empty() {
        return Err(SettingsError::Findings(findings));
    }
    let settings: Settings = serde_json::from_value(value).map_err(not_json)?;
    let private = settings.catalog.is_some() || settings.peer_address.ip().is_loopback();
    if settings.tls.is_none() && !private {
        let fix = "add it, or use a loopback `peer_address`: plain is for loopback only";
        finding(&mut findings, file, "tls", "missing", fix);
        return Err(SettingsError::Findings(findings));
    }
    Ok(settings)
}

/// A field that settings may have.
struct Field {
    name: &'static str,
    kind: Kind,
    required: bool,
}

/// What a field holds.
enum Kind {
    Text,
    Address,
    /// A whole number within these bounds.
    Number(u64, u64),
    /// A number from 0 to 1.
    Fraction,
    /// A number from 0 up.
    Amount,
    /// True or false.
    Flag,
    OneOf(&'static [&'static str]),
    Addresses,
    Texts,
    Object(&'static [Field]),
}

const fn must(name: &'static str, kind: Kind) -> Field {
    Field {
        name,
        kind,
        required: true,
    }
}

const fn may(name: &'static str, kind: Kind) -> Field {
    Field {
        name,
        kind,
        required: false,
    }
}

const FIELDS: &[Field] = &[
    must("box_id", Kind::Text),
    must("data_centre", Kind::Text),
    may("regions", Kind::Texts),
    must("fleet", Kind::Text),
    must("caller_address", Kind::Address),
    must("peer_address", Kind::Address),
    must("operator_address", Kind::Address),
    may("metrics_address", Kind::Address),
    may("store_address", Kind::Address),
    may("box_list_address", Kind::Address),
    may("keyring", Kind::Texts),
    may(
        "catalog",
        Kind::Object(&[
            must("form", Kind::OneOf(&["kv"])),
            must("store_address", Kind::Address),
            may("seeds", Kind::Addresses),
        ]),
    ),
    may("first_start", Kind::Flag),
    may(
        "retry_budget",
        Kind::Object(&[
            must("ratio", Kind::Fraction),
            must("window_s", Kind::Amount),
            must("slack", Kind::Amount),
        ]),
    ),
    may(
        "quota",
        Kind::Object(&[
            must("window_s", Kind::Amount),
            must("overrun", Kind::Fraction),
            must("slack", Kind::Amount),
        ]),
    ),
    may("cpu_share", Kind::Amount),
    may("link_mbps", Kind::Amount),
    may("worker_threads", Kind::Number(1, 256)),
    may("max_body_bytes", Kind::Number(0, u64::MAX)),
    may("kept_body_bytes", Kind::Number(0, 16 << 20)),
    may(
        "drain",
        Kind::Object(&[
            may("balancer_lag_ms", Kind::Number(0, 600_000)),
            may("limit_ms", Kind::Number(1, 3_600_000)),
            may("kill_after_s", Kind::Amount),
        ]),
    ),
    may(
        "once_only",
        Kind::Object(&[
            may("shards", Kind::Number(1, 4096)),
            may("commit_every_ms", Kind::Number(1, 10_000)),
            may("retention_s", Kind::Number(60, 30 * 24 * 3600)),
        ]),
    ),
    may(
        "tls",
        Kind::Object(&[
            must("authorities_path", Kind::Text),
            must("certificate_path", Kind::Text),
            must("key_path", Kind::Text),
        ]),
    ),
    may(
        "log",
        Kind::Object(&[
            may("format", Kind::OneOf(&["human", "json"])),
            may("filter", Kind::Text),
        ]),
    ),
];

/// Fields that must stand where there is no catalog.
const OWN_FIELDS: &[Field] = &[
    must("store_address", Kind::Address),
    must("box_list_address", Kind::Address),
    must("keyring", Kind::Texts),
];

fn check_object(out: &mut String, file: &str, at: &str, value: &Value, fields: &[Field]) {
    let Value::Object(object) = value else {
        let found = shorten(value);
        return finding(out, file, at, &found, "write a JSON object here");
    };
    for (name, value) in object {
        let place = join(at, name);
        match fields.iter().find(|field| field.name == name) {
            Some(field) => check_value(out, file, &place, value, &field.kind),
            None => {
                let fix = hint_for_unknown(name, fields);
                finding(out, file, &place, "an unknown field", &fix);
            }
        }
    }
    for field in fields {
        if field.required && !object.contains_key(field.name) {
            let fix = format!("add it: {}", wanted(&field.kind));
            finding(out, file, &join(at, field.name), "missing", &fix);
        }
    }
}

fn require(out: &mut String, file: &str, value: &Value, fields: &[Field]) {
    for field in fields
        .iter()
        .filter(|field| value.get(field.name).is_none())
    {
        let fix = format!("add it, or `catalog`: {}", wanted(&field.kind));
        finding(out, file, field.name, "missing", &fix);
    }
}

fn check_value(out: &mut String, file: &str, at: &str, value: &Value, kind: &Kind) {
    let fits = match kind {
        Kind::Text => value.as_str().is_some_and(|text| !text.is_empty()),
        Kind::Address => is_address(value),
        Kind::Number(least, most) => value
            .as_u64()
            .is_some_and(|number| (*least..=*most).contains(&number)),
        Kind::Flag => value.is_boolean(),
        Kind::Fraction => value
            .as_f64()
            .is_some_and(|part| (0.0..=1.0).contains(&part)),
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
    if !fits {
        let fix = format!("write {}", wanted(kind));
        finding(out, file, at, &shorten(value), &fix);
    }
}

fn is_address(value: &Value) -> bool {
    let text = value.as_str();
    text.is_some_and(|text| text.parse::<SocketAddr>().is_ok())
}

fn wanted(kind: &Kind) -> String {
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

/// A field of the right stem and the wrong unit is told so.
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

fn finding(out: &mut String, file: &str, at: &str, found: &str, fix: &str) {
    let at = if at.is_empty() { "the whole file" } else { at };
    // Writing to a string does not fail.
    let _ = writeln!(out, "{file}: {at}: found {found}; {fix}");
}

fn join(at: &str, name: &str) -> String {
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

fn default_worker_threads() -> usize {
    2
}

fn default_max_body_bytes() -> u64 {
    64 << 20
}

fn default_kept_body_bytes() -> u64 {
    64 << 10
}
