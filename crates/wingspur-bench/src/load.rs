//! Open-loop load: each request is sent at its scheduled time, whether or not earlier
//! ones have been answered.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Bytes;
use rand::RngExt;
use serde::Serialize;
use std::collections::{BTreeMap, HashSet};
use wingspur_edge::Settings;
use wingspur_transport::{
    BackendPool, FaultInjector, HttpClient, PoolReuse, SendBody, SendFailure, Spawner,
};

/// Load generator that sends each request to a random ready address, as the platform's
/// balancer would.
#[derive(Debug)]
pub struct Load {
    spawner: Spawner,
    targets: Vec<Target>,
    /// Tasks that poll readiness; dropping them cancels them.
    _readiness_tasks: Vec<smol::Task<()>>,
}

/// Address that receives load while it is ready.
#[derive(Debug, Clone)]
struct Target {
    pool: Arc<BackendPool>,
    ready: Arc<AtomicBool>,
}

/// Rate, duration and mix of a load.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Requests per second, sent at equal intervals.
    pub rate_per_s: f64,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// The kinds of request, with their relative weights. Not empty.
    pub mix: Vec<(RequestKind, f64)>,
}

/// A kind of request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestKind {
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: &'static str,
    /// Probability that a once-only request is sent twice with the same operation key.
    /// Each operation has a new key. `None` for requests without an operation key.
    pub once_only_repeats: Option<f64>,
    /// Length of the requested response in bytes, for downloads. `None` for a response
    /// that echoes the request.
    pub answer_bytes: Option<u64>,
}

impl RequestKind {
    /// Creates a kind of request without operation key or response length.
    pub fn new(method: &'static str, path: &'static str) -> Self {
        Self {
            method,
            path,
            once_only_repeats: None,
            answer_bytes: None,
        }
    }
}

/// Results of a load.
#[derive(Debug, Clone, Serialize)]
pub struct LoadReport {
    /// Number of requests that ended, including those in `broken` and `unsent`.
    pub sent: u64,
    /// Complete responses with a status below 500 that carry no result code.
    pub answered: u64,
    /// Complete responses with a status of 500 or above that carry no result code.
    pub errors: u64,
    /// Refusals by a box (responses that carry a result code), by that code.
    pub refused: BTreeMap<u16, u64>,
    /// Requests that may have been sent, but got no complete response.
    pub broken: u64,
    /// Requests that could not be sent, for instance because no box listened.
    pub unsent: u64,
    /// Responses counted in `answered` whose body is not the one expected.
    pub foreign: u64,
    /// Median latency from the time that the request was due, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same latency.
    pub p99_ms: f64,
    /// 99.9th percentile of the same latency.
    pub p999_ms: f64,
    /// Keys of once-only requests whose response said `not_run`.
    #[serde(skip)]
    pub not_run_keys: Vec<String>,
    /// Keys of once-only requests that ended in any other way, except those that could
    /// not be sent.
    #[serde(skip)]
    pub other_keys: Vec<String>,
}

#[derive(Debug)]
struct LoadStats {
    report: LoadReport,
    latency: Histogram<u64>,
}

impl Load {
    /// Creates a generator that sends to all addresses and ignores readiness.
    pub fn new(spawner: &Spawner, addresses: &[SocketAddr]) -> Self {
        let target = |address: &SocketAddr| Target {
            pool: Arc::new(BackendPool::new(*address, spawner.clone())),
            ready: Arc::new(AtomicBool::new(true)),
        };
        Self {
            spawner: spawner.clone(),
            targets: addresses.iter().map(target).collect(),
            _readiness_tasks: Vec::new(),
        }
    }

    /// Creates a generator that sends to those boxes of a fleet that report ready.
    ///
    /// Boxes count as ready until their first poll has ended.
    pub fn balanced(spawner: &Spawner, settings: &[Settings]) -> Self {
        let addresses: Vec<SocketAddr> = settings
            .iter()
            .map(|settings| settings.caller_address)
            .collect();
        let mut load = Self::new(spawner, &addresses);
        let client = Arc::new(HttpClient::new(spawner.clone(), FaultInjector::default()));
        for (target, settings) in load.targets.iter().zip(settings) {
            let polling = poll_readiness(
                client.clone(),
                settings.operator_address,
                target.ready.clone(),
            );
            load._readiness_tasks.push(spawner.spawn(polling));
        }
        load
    }

    /// Draws one of the ready targets, or takes the first target if none is ready.
    fn draw_pool(&self) -> Arc<BackendPool> {
        let ready: Vec<&Target> = self
            .targets
            .iter()
            .filter(|t| t.ready.load(Ordering::Acquire))
            .collect();
        let index = rand::rng().random_range(0..ready.len().max(1));
        ready.get(index).unwrap_or(&&self.targets[0]).pool.clone()
    }

    /// Sends the load and waits until every request has ended.
    pub async fn run(&self, options: &LoadOptions) -> LoadReport {
        let stats = Arc::new(Mutex::new(LoadStats::new()));
        let start = Instant::now();
        let total = (options.rate_per_s * options.duration.as_secs_f64()) as u64;
        let mut tasks = Vec::new();
        for number in 0..total {
            let due = start + Duration::from_secs_f64(number as f64 / options.rate_per_s);
            if due > Instant::now() {
                smol::Timer::at(due).await;
            }
            let kind = draw_kind(&options.mix);
            let pool = self.draw_pool();
            let key = kind.once_only_repeats.map(|_| random_id());
            let repeat = kind
                .once_only_repeats
                .is_some_and(|share| rand::random::<f64>() < share);
            if repeat {
                let pool = self.draw_pool();
                let (kind, key, stats) = (kind.clone(), key.clone(), stats.clone());
                tasks.push(self.spawner.spawn(send_one(pool, kind, key, due, stats)));
            }
            tasks.push(
                self.spawner
                    .spawn(send_one(pool, kind, key, due, stats.clone())),
            );
        }
        for task in tasks {
            task.await;
        }
        let stats = Arc::try_unwrap(stats).expect("all tasks have ended");
        stats.into_inner().expect("no holder panics").into_report()
    }
}

impl LoadReport {
    /// Returns the keys for which every request that was sent got `not_run`.
    pub fn keys_not_run(&self) -> HashSet<&String> {
        let other_keys: HashSet<&String> = self.other_keys.iter().collect();
        let not_run = self.not_run_keys.iter();
        not_run.filter(|key| !other_keys.contains(key)).collect()
    }
}

impl LoadStats {
    fn new() -> Self {
        let report = LoadReport {
            sent: 0,
            answered: 0,
            errors: 0,
            refused: BTreeMap::new(),
            broken: 0,
            unsent: 0,
            foreign: 0,
            p50_ms: 0.0,
            p99_ms: 0.0,
            p999_ms: 0.0,
            not_run_keys: Vec::new(),
            other_keys: Vec::new(),
        };
        let latency =
            Histogram::new(3).expect("a precision of three significant digits is valid");
        Self { report, latency }
    }

    fn into_report(self) -> LoadReport {
        let quantile_ms =
            |quantile| self.latency.value_at_quantile(quantile) as f64 / 1000.0;
        LoadReport {
            p50_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
            ..self.report
        }
    }
}

/// Polls the readiness of a box as often as a balancer would, until it is cancelled.
async fn poll_readiness(
    client: Arc<HttpClient>,
    operator_address: SocketAddr,
    ready: Arc<AtomicBool>,
) {
    loop {
        let response = client
            .get(operator_address, "/ready", READINESS_POLL_INTERVAL * 5)
            .await;
        ready.store(response.is_ok(), Ordering::Release);
        smol::Timer::after(READINESS_POLL_INTERVAL).await;
    }
}

async fn send_one(
    pool: Arc<BackendPool>,
    kind: RequestKind,
    key: Option<String>,
    due: Instant,
    stats: Arc<Mutex<LoadStats>>,
) {
    let id = random_id();
    let mut request = Request::builder()
        .method(kind.method)
        .uri(kind.path)
        .header("host", "bench")
        .header("x-echo", &id);
    if let Some(key) = &key {
        request = request.header("idempotency-key", key);
    }
    if let Some(bytes) = kind.answer_bytes {
        request = request.header("x-answer-bytes", bytes);
    }
    let body = match kind.method {
        "POST" => SendBody::buffered(Bytes::from(id.clone())),
        _ => SendBody::empty(),
    };
    let request = request
        .body(body)
        .expect("request kinds are constants that form valid requests");
    let outcome = send_request(&pool, request).await;
    let latency_us = due.elapsed().as_micros() as u64;
    let mut stats = stats.lock().expect("no holder panics");
    stats.report.sent += 1;
    let (status, code, body) = match outcome {
        RequestOutcome::Answered(status, code, body) => (status, code, body),
        RequestOutcome::Interrupted => {
            stats.report.broken += 1;
            stats.report.other_keys.extend(key);
            return;
        }
        RequestOutcome::Unsent => {
            stats.report.unsent += 1;
            return;
        }
    };
    // Deadlines bound the latency, so no value exceeds the histogram's range.
    let _ = stats.latency.record(latency_us.max(1));
    if let Some(code) = code {
        *stats.report.refused.entry(code).or_default() += 1;
        let not_run = body.windows(9).any(|window| window == b"\"not_run\"");
        match not_run {
            true => stats.report.not_run_keys.extend(key),
            false => stats.report.other_keys.extend(key),
        }
        return;
    }
    stats.report.other_keys.extend(key);
    if status >= 500 {
        stats.report.errors += 1;
        return;
    }
    stats.report.answered += 1;
    let is_matching = match kind.answer_bytes {
        Some(bytes) => body.len() as u64 == bytes && body.starts_with(id.as_bytes()),
        None => body == id.as_bytes(),
    };
    stats.report.foreign += u64::from(!is_matching);
}

/// How a request ended.
enum RequestOutcome {
    /// Complete response with its status, result code and body.
    Answered(u16, Option<u16>, Bytes),
    /// The request may have been sent, but got no complete response.
    Interrupted,
    /// The request was not sent.
    Unsent,
}

async fn send_request(pool: &BackendPool, request: Request<SendBody>) -> RequestOutcome {
    let (response, lease) = match pool.send(request, None, PoolReuse::Any).await {
        Ok(leased) => leased,
        Err(SendFailure::NotSent { .. }) => return RequestOutcome::Unsent,
        Err(SendFailure::MaybeSent(_)) => return RequestOutcome::Interrupted,
    };
    let status = response.status().as_u16();
    let code = response.headers().get("wingspur-result");
    let code = code.and_then(|value| value.to_str().ok()?.parse().ok());
    let Ok(body) = response.into_body().collect().await else {
        return RequestOutcome::Interrupted;
    };
    pool.release(lease);
    RequestOutcome::Answered(status, code, body.to_bytes())
}

/// Draws a kind of request with probabilities in proportion to the weights.
fn draw_kind(mix: &[(RequestKind, f64)]) -> RequestKind {
    let total: f64 = mix.iter().map(|(_, weight)| weight).sum();
    let mut remaining = rand::random::<f64>() * total;
    for (kind, weight) in mix {
        remaining -= weight;
        if remaining < 0.0 {
            return kind.clone();
        }
    }
    mix[mix.len() - 1].0.clone()
}

fn random_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Pause between two polls of readiness; a poll times out after five times this.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(50);
