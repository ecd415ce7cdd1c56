//! Simulated backend server with slots, load reports and gray failures.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use rand::RngExt;
use smol::lock::Semaphore;
use smol::net::TcpListener;
use wingspur_transport::{HttpListener, ListenerOptions, Spawner};

/// Simulated backend server, which listens on loopback.
#[derive(Debug)]
pub struct BackendStandIn {
    state: Arc<ServerState>,
    listener: HttpListener,
}

/// Capacity and response time of a simulated server.
#[derive(Debug, Clone, Copy)]
pub struct ServerPlan {
    /// Number of requests that the server works on at the same time.
    pub slots: usize,
    /// Median processing time of a request, in milliseconds.
    pub median_ms: f64,
    /// Standard deviation of the natural logarithm of the processing time.
    pub deviation_ln: f64,
}

/// Gray failure of a server: how its real work fails while its health answers stay good.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Gray {
    /// The server is healthy.
    #[default]
    Well,
    /// Requests are never answered.
    Stall,
    /// Processing times are multiplied by this factor.
    Slow(f64),
    /// Requests fail with this probability, without any processing time.
    Errors(f64),
    /// Requests whose processing begins in every other period of this length, beginning
    /// with the first one, are never answered.
    Flap(Duration),
}

#[derive(Debug)]
struct ServerState {
    plan: ServerPlan,
    gray: Mutex<(Gray, Instant)>,
    free_slots: Semaphore,
    outstanding: AtomicUsize,
    draining: AtomicBool,
    runs: Mutex<HashMap<String, u32>>,
    requests: AtomicU64,
    last_work: Mutex<Option<Instant>>,
}

type ServerBody = UnsyncBoxBody<Bytes, std::convert::Infallible>;

impl BackendStandIn {
    /// Starts a healthy server on a free loopback port.
    pub async fn start(spawner: &Spawner, plan: ServerPlan) -> std::io::Result<Self> {
        let socket = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let state = Arc::new(ServerState {
            plan,
            gray: Mutex::new((Gray::Well, Instant::now())),
            free_slots: Semaphore::new(plan.slots),
            outstanding: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            runs: Mutex::default(),
            requests: AtomicU64::new(0),
            last_work: Mutex::new(None),
        });
        let shared = state.clone();
        let handler = move |request, _| handle_request(shared.clone(), request);
        let options = ListenerOptions::default();
        let listener = HttpListener::start(socket, spawner, options, handler)?;
        Ok(Self { state, listener })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Puts a gray failure into effect, or ends it with [`Gray::Well`].
    pub fn set_gray(&self, gray: Gray) {
        *self.state.gray.lock().expect("no holder panics") = (gray, Instant::now());
    }

    /// Sets whether responses announce that the server is draining.
    pub fn set_draining(&self, draining: bool) {
        self.state.draining.store(draining, Ordering::Release);
    }

    /// Returns the number of requests received so far, health checks not counted.
    pub fn requests(&self) -> u64 {
        self.state.requests.load(Ordering::Relaxed)
    }

    /// Returns when the last request that is not a health check arrived, or `None` before
    /// the first one.
    pub fn last_work(&self) -> Option<Instant> {
        *self.state.last_work.lock().expect("no holder panics")
    }

    /// Returns how often each operation ran, by its operation key.
    ///
    /// An operation counts as run once it has a slot, even if it then stalls or fails.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.state.runs.lock().expect("no holder panics").clone()
    }

    /// Clears the counts that [`Self::runs`] returns.
    pub fn clear_runs(&self) {
        self.state.runs.lock().expect("no holder panics").clear();
    }
}

impl ServerState {
    /// Returns the failure in effect now, where `Flap` is resolved to `Stall` or `Well`.
    fn current_failure(&self) -> Gray {
        let (gray, since) = *self.gray.lock().expect("no holder panics");
        match gray {
            Gray::Flap(period) => {
                let periods = since.elapsed().as_secs_f64() / period.as_secs_f64();
                if (periods as u64).is_multiple_of(2) {
                    Gray::Stall
                } else {
                    Gray::Well
                }
            }
            other => other,
        }
    }

    /// Draws a log-normally distributed processing time and multiplies it by the factor.
    fn draw_processing_time(&self, factor: f64) -> Duration {
        let mut random = rand::rng();
        // Box-Muller transform: two uniform draws give one normally distributed value.
        let (a, b): (f64, f64) = (random.random(), random.random());
        let normal =
            (-2.0 * (1.0 - a).ln()).sqrt() * (2.0 * std::f64::consts::PI * b).cos();
        let ms = self.plan.median_ms * (self.plan.deviation_ln * normal).exp() * factor;
        Duration::from_secs_f64(ms / 1000.0)
    }

    /// Returns the outstanding requests as a fraction of the slots, at most 1.
    fn utilisation(&self) -> f64 {
        let outstanding = self.outstanding.load(Ordering::Relaxed) as f64;
        (outstanding / self.plan.slots as f64).min(1.0)
    }
}

async fn handle_request(
    state: Arc<ServerState>,
    request: Request<Incoming>,
) -> Response<ServerBody> {
    if request.uri().path() == "/health" {
        return plain_response(StatusCode::OK, Bytes::from_static(b"ok"));
    }
    state.requests.fetch_add(1, Ordering::Relaxed);
    *state.last_work.lock().expect("no holder panics") = Some(Instant::now());
    if state.outstanding.load(Ordering::Relaxed)
        >= state.plan.slots * MAX_OUTSTANDING_PER_SLOT
    {
        return plain_response(
            StatusCode::SERVICE_UNAVAILABLE,
            Bytes::from_static(b"shed"),
        );
    }
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map(|body| body.to_bytes())
        .unwrap_or_default();
    let _outstanding = OutstandingGuard::enter(&state.outstanding);
    let _slot = state.free_slots.acquire().await;
    if let Some(key) = parts.headers.get("idempotency-key")
        && let Ok(key) = key.to_str()
    {
        let mut runs = state.runs.lock().expect("no holder panics");
        *runs.entry(key.to_owned()).or_default() += 1;
    }
    match state.current_failure() {
        Gray::Stall => futures_lite::future::pending::<()>().await,
        Gray::Errors(share) if rand::random::<f64>() < share => {
            return plain_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                Bytes::from_static(b"bad"),
            );
        }
        Gray::Slow(factor) => {
            smol::Timer::after(state.draw_processing_time(factor)).await;
        }
        Gray::Well | Gray::Errors(_) | Gray::Flap(_) => {
            smol::Timer::after(state.draw_processing_time(1.0)).await;
        }
    }
    let mut response = make_response(&parts.headers, body);
    let report = format!(
        "JSON {{\"application_utilization\":{:.3}}}",
        state.utilisation()
    );
    if let Ok(report) = HeaderValue::from_str(&report) {
        response
            .headers_mut()
            .insert("endpoint-load-metrics", report);
    }
    if state.draining.load(Ordering::Acquire) {
        let draining = HeaderValue::from_static("1");
        response.headers_mut().insert("wingspur-draining", draining);
    }
    response
}

/// Makes the response of a successful request.
///
/// It echoes the request body or, if that is empty, the `x-echo` header, so that the
/// caller can tell whose response it is. With `x-answer-bytes` the body has that length
/// and repeats the `x-echo` value.
fn make_response(headers: &hyper::HeaderMap, body: Bytes) -> Response<ServerBody> {
    let header_text =
        |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let id = header_text("x-echo").unwrap_or("none").to_owned();
    let Some(bytes) =
        header_text("x-answer-bytes").and_then(|text| text.parse::<u64>().ok())
    else {
        let echo = if body.is_empty() {
            Bytes::from(id)
        } else {
            body
        };
        return plain_response(StatusCode::OK, echo);
    };
    let chunk = Bytes::from(id.repeat(CHUNK_BYTES / id.len().max(1) + 1));
    let frames = futures_lite::stream::unfold(bytes, move |remaining| {
        let chunk = chunk.clone();
        async move {
            if remaining == 0 {
                return None;
            }
            let length = remaining.min(chunk.len() as u64);
            let frame = Frame::data(chunk.slice(..length as usize));
            Some((Ok(frame), remaining - length))
        }
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    response
        .headers_mut()
        .insert("content-length", HeaderValue::from(bytes));
    response
}

fn plain_response(status: StatusCode, body: Bytes) -> Response<ServerBody> {
    let mut response = Response::new(Full::new(body).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Counts a request as outstanding until it is dropped.
struct OutstandingGuard<'a>(&'a AtomicUsize);

impl<'a> OutstandingGuard<'a> {
    fn enter(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for OutstandingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Number of outstanding requests, queued or in progress, for each slot from which on the
/// server answers 503.
const MAX_OUTSTANDING_PER_SLOT: usize = 20;
/// Approximate length of a chunk of a generated response body.
const CHUNK_BYTES: usize = 32 << 10;
