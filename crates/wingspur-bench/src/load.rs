//! Open-loop load: each request has its time, however late the one before it is.

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
    BackendPool, FaultInjector, HttpClient, SendBody, SendFailure, Spawner,
};

/// Sends load to some addresses, as the platform's balancer would.
#[derive(Debug)]
pub struct Load {
    spawner: Spawner,
    targets: Vec<Target>,
    /// Ends with the load.
    _watching: Vec<smol::Task<()>>,
}

/// Where load goes, as long as it is ready.
#[derive(Debug, Clone)]
struct Target {
    pool: Arc<BackendPool>,
    ready: Arc<AtomicBool>,
}

/// What to send.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Requests a second, spread evenly.
    pub rate_per_s: f64,
    /// For how long.
    pub duration: Duration,
    /// The kinds of request, with their weights.
    pub mix: Vec<(RequestKind, f64)>,
}

/// A kind of request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestKind {
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: &'static str,
    /// Whether each carries a fresh operation key, and this share is sent twice.
    pub once_only_repeats: Option<f64>,
    /// For downloads: the answer's length.
    pub answer_bytes: Option<u64>,
}

impl RequestKind {
    /// A plain request.
    pub fn new(method: &'static str, path: &'static str) -> Self {
        Self {
            method,
            path,
            once_only_repeats: None,
            answer_bytes: None,
        }
    }
}

/// What came of it.
#[derive(Debug, Clone, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers of backend servers.
    pub answered: u64,
    /// Answers of backend servers that are errors.
    pub errors: u64,
    /// Refusals, by result code.
    pub refused: BTreeMap<u16, u64>,
    /// Connections that failed without any answer to a request that was sent.
    pub broken: u64,
    /// Requests that could not be sent: no box was there.
    pub unsent: u64,
    /// Answers that are not the request's own.
    pub foreign: u64,
    /// Latency from the time that the request was due, in milliseconds.
    pub p50_ms: f64,
    /// As above.
    pub p99_ms: f64,
    /// As above.
    pub p999_ms: f64,
    /// Keys of once-only requests that were told `not_run`.
    #[serde(skip)]
    pub not_run_keys: Vec<String>,
    /// Keys of once-only requests that ended in any other way.
    #[serde(skip)]
    pub other_keys: Vec<String>,
}

#[derive(Debug)]
struct Tally {
    report: LoadReport,
    latency: Histogram<u64>,
}

impl Load {
    /// A load on these addresses, whatever they say.
    pub fn new(spawner: &Spawner, addresses: &[SocketAddr]) -> Self {
        let target = |address: &SocketAddr| Target {
            pool: Arc::new(BackendPool::new(*address, spawner.clone())),
            ready: Arc::new(AtomicBool::new(true)),
        };
        Self {
            spawner: spawner.clone(),
            targets: addresses.iter().map(target).collect(),
            _watching: Vec::new(),
        }
    }

    /// A load on those boxes of a fleet that say they are ready.
    pub fn balanced(spawner: &Spawner, settings: &[Settings]) -> Self {
        let addresses: Vec<SocketAddr> = settings
            .iter()
            .map(|settings| settings.caller_address)
            .collect();
        let mut load = Self::new(spawner, &addresses);
        let exchange =
            Arc::new(HttpClient::new(spawner.clone(), FaultInjector::default()));
        for (target, settings) in load.targets.iter().zip(settings) {
            let watching = watch(
                exchange.clone(),
                settings.operator_address,
                target.ready.clone(),
            );
            load._watching.push(spawner.spawn(watching));
        }
        load
    }

    fn draw_pool(&self) -> Arc<BackendPool> {
        let ready: Vec<&Target> = self
            .targets
            .iter()
            .filter(|t| t.ready.load(Ordering::Acquire))
            .collect();
        let index = rand::rng().random_range(0..ready.len().max(1));
        ready.get(index).unwrap_or(&&self.targets[0]).pool.clone()
    }

    /// Sends the load and waits for all answers.
    pub async fn run(&self, options: &LoadOptions) -> LoadReport {
        let tally = Arc::new(Mutex::new(Tally::new()));
        let start = Instant::now();
        let total = (options.rate_per_s * options.duration.as_secs_f64()) as u64;
        let mut tasks = Vec::new();
        for number in 0..total {
            let due = start + Duration::from_secs_f64(number as f64 / options.rate_per_s);
            if due > Instant::now() {
                smol::Timer::at(due).await;
            }
            let kind = draw(&options.mix);
            let pool = self.draw_pool();
            let key = kind.once_only_repeats.map(|_| random_id());
            let repeat = kind
                .once_only_repeats
                .is_some_and(|share| rand::random::<f64>() < share);
            if repeat {
                let pool = self.draw_pool();
                let (kind, key, tally) = (kind.clone(), key.clone(), tally.clone());
                tasks.push(self.spawner.spawn(send_one(pool, kind, key, due, tally)));
            }
            tasks.push(
                self.spawner
                    .spawn(send_one(pool, kind, key, due, tally.clone())),
            );
        }
        for task in tasks {
            task.await;
        }
        let tally = Arc::try_unwrap(tally).expect("all tasks have ended");
        tally.into_inner().expect("no holder panics").close()
    }
}

impl LoadReport {
    /// Keys of which every request was told `not_run`.
    pub fn keys_not_run(&self) -> HashSet<&String> {
        let others: HashSet<&String> = self.other_keys.iter().collect();
        let not_run = self.not_run_keys.iter();
        not_run.filter(|key| !others.contains(key)).collect()
    }
}

impl Tally {
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
        let latency = Histogram::new(3).expect("three digits are allowed");
        Self { report, latency }
    }

    fn close(self) -> LoadReport {
        let at = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1000.0;
        LoadReport {
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            ..self.report
        }
    }
}

/// Asks a box for its readiness as often as a balancer would.
async fn watch(exchange: Arc<HttpClient>, operator: SocketAddr, ready: Arc<AtomicBool>) {
    loop {
        let got = exchange.get(operator, "/ready", READY_EVERY * 5).await;
        ready.store(got.is_ok(), Ordering::Release);
        smol::Timer::after(READY_EVERY).await;
    }
}

async fn send_one(
    pool: Arc<BackendPool>,
    kind: RequestKind,
    key: Option<String>,
    due: Instant,
    tally: Arc<Mutex<Tally>>,
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
    let request = request.body(body).expect("the kinds are constants");
    let ended = exchange(&pool, request).await;
    let took_us = due.elapsed().as_micros() as u64;
    let mut tally = tally.lock().expect("no holder panics");
    tally.report.sent += 1;
    let (status, code, body) = match ended {
        Ended::Answered(status, code, body) => (status, code, body),
        Ended::Broken => {
            tally.report.broken += 1;
            tally.report.other_keys.extend(key);
            return;
        }
        Ended::Unsent => {
            tally.report.unsent += 1;
            return;
        }
    };
    // Values above the histogram's range do not occur: deadlines bound them.
    let _ = tally.latency.record(took_us.max(1));
    if let Some(code) = code {
        *tally.report.refused.entry(code).or_default() += 1;
        let not_run = body.windows(9).any(|window| window == b"\"not_run\"");
        match not_run {
            true => tally.report.not_run_keys.extend(key),
            false => tally.report.other_keys.extend(key),
        }
        return;
    }
    tally.report.other_keys.extend(key);
    if status >= 500 {
        tally.report.errors += 1;
        return;
    }
    tally.report.answered += 1;
    let own = match kind.answer_bytes {
        Some(bytes) => body.len() as u64 == bytes && body.starts_with(id.as_bytes()),
        None => body == id.as_bytes(),
    };
    tally.report.foreign += u64::from(!own);
}

/// How a request ended: with its status, result code and body, or without an answer.
enum Ended {
    Answered(u16, Option<u16>, Bytes),
    Broken,
    Unsent,
}

async fn exchange(pool: &BackendPool, request: Request<SendBody>) -> Ended {
    let (response, lease) = match pool.send(request).await {
        Ok(answered) => answered,
        Err(SendFailure::NotSent { .. }) => return Ended::Unsent,
        Err(SendFailure::MaybeSent(_)) => return Ended::Broken,
    };
    let status = response.status().as_u16();
    let code = response.headers().get("wingspur-result");
    let code = code.and_then(|value| value.to_str().ok()?.parse().ok());
    let Ok(body) = response.into_body().collect().await else {
        return Ended::Broken;
    };
    pool.release(lease);
    Ended::Answered(status, code, body.to_bytes())
}

fn draw(mix: &[(RequestKind, f64)]) -> RequestKind {
    let total: f64 = mix.iter().map(|(_, weight)| weight).sum();
    let mut at = rand::random::<f64>() * total;
    for (kind, weight) in mix {
        at -= weight;
        if at < 0.0 {
            return kind.clone();
        }
    }
    mix[mix.len() - 1].0.clone()
}

fn random_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// How often readiness is asked for.
const READY_EVERY: Duration = Duration::from_millis(50);
