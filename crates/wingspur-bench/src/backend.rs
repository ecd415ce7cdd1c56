//! A stand-in of a backend server, with slots, load reports and gray faults.

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

/// A stand-in backend server.
#[derive(Debug)]
pub struct BackendStandIn {
    state: Arc<ServerState>,
    listener: HttpListener,
}

/// How a stand-in server works.
#[derive(Debug, Clone, Copy)]
pub struct ServerPlan {
    /// Requests that it works on at once.
    pub slots: usize,
    /// The median time of one request, in milliseconds.
    pub median_ms: f64,
    /// The standard deviation of that time's logarithm.
    pub deviation_ln: f64,
}

/// What is wrong with a server's real work; its health answers are always good.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Gray {
    /// Nothing.
    #[default]
    Well,
    /// Work stalls for ever.
    Stall,
    /// Work takes so many times longer.
    Slow(f64),
    /// This share of the work fails at once.
    Errors(f64),
    /// Work stalls in every other period.
    Flap(Duration),
}

#[derive(Debug)]
struct ServerState {
    plan: ServerPlan,
    gray: Mutex<(Gray, Instant)>,
    places: Semaphore,
    waiting: AtomicUsize,
    draining: AtomicBool,
    runs: Mutex<HashMap<String, u32>>,
    requests: AtomicU64,
    last_work: Mutex<Option<Instant>>,
}

type ServerBody = UnsyncBoxBody<Bytes, std::convert::Infallible>;

impl BackendStandIn {
    /// Starts a well server on a free loopback port.
    pub async fn start(spawner: &Spawner, plan: ServerPlan) -> std::io::Result<Self> {
        let port = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let state = Arc::new(ServerState {
            plan,
            gray: Mutex::new((Gray::Well, Instant::now())),
            places: Semaphore::new(plan.slots),
            waiting: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            runs: Mutex::default(),
            requests: AtomicU64::new(0),
            last_work: Mutex::new(None),
        });
        let shared = state.clone();
        let handler = move |request, _| answer(shared.clone(), request);
        let options = ListenerOptions::default();
        let listener = HttpListener::start(port, spawner, options, handler)?;
        Ok(Self { state, listener })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Makes the server sick, or well again.
    pub fn set_gray(&self, gray: Gray) {
        *self.state.gray.lock().expect("no holder panics") = (gray, Instant::now());
    }

    /// Has the server say that it leaves.
    pub fn set_draining(&self, draining: bool) {
        self.state.draining.store(draining, Ordering::Release);
    }

    /// Requests for real work that arrived so far.
    pub fn requests(&self) -> u64 {
        self.state.requests.load(Ordering::Relaxed)
    }

    /// When the last request for real work arrived.
    pub fn last_work(&self) -> Option<Instant> {
        *self.state.last_work.lock().expect("no holder panics")
    }

    /// How often each operation ran, by its key.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.state.runs.lock().expect("no holder panics").clone()
    }

    /// Forgets the runs counted so far.
    pub fn clear_runs(&self) {
        self.state.runs.lock().expect("no holder panics").clear();
    }
}

impl ServerState {
    fn gray(&self) -> Gray {
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

    fn work_time(&self, factor: f64) -> Duration {
        let mut random = rand::rng();
        // Box and Muller: two even draws make one normal draw.
        let (a, b): (f64, f64) = (random.random(), random.random());
        let normal =
            (-2.0 * (1.0 - a).ln()).sqrt() * (2.0 * std::f64::consts::PI * b).cos();
        let ms = self.plan.median_ms * (self.plan.deviation_ln * normal).exp() * factor;
        Duration::from_secs_f64(ms / 1000.0)
    }

    fn utilisation(&self) -> f64 {
        let waiting = self.waiting.load(Ordering::Relaxed) as f64;
        (waiting / self.plan.slots as f64).min(1.0)
    }
}

async fn answer(
    state: Arc<ServerState>,
    request: Request<Incoming>,
) -> Response<ServerBody> {
    if request.uri().path() == "/health" {
        return plain(StatusCode::OK, Bytes::from_static(b"ok"));
    }
    state.requests.fetch_add(1, Ordering::Relaxed);
    *state.last_work.lock().expect("no holder panics") = Some(Instant::now());
    if state.waiting.load(Ordering::Relaxed) >= state.plan.slots * QUEUE_PER_SLOT {
        return plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"shed"));
    }
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map(|body| body.to_bytes())
        .unwrap_or_default();
    let _waiting = WaitGuard::enter(&state.waiting);
    let _place = state.places.acquire().await;
    if let Some(key) = parts.headers.get("idempotency-key")
        && let Ok(key) = key.to_str()
    {
        let mut runs = state.runs.lock().expect("no holder panics");
        *runs.entry(key.to_owned()).or_default() += 1;
    }
    match state.gray() {
        Gray::Stall => futures_lite::future::pending::<()>().await,
        Gray::Errors(share) if rand::random::<f64>() < share => {
            return plain(
                StatusCode::INTERNAL_SERVER_ERROR,
                Bytes::from_static(b"bad"),
            );
        }
        Gray::Slow(factor) => {
            smol::Timer::after(state.work_time(factor)).await;
        }
        Gray::Well | Gray::Errors(_) | Gray::Flap(_) => {
            smol::Timer::after(state.work_time(1.0)).await;
        }
    }
    let mut response = make_answer(&parts.headers, body);
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
        let yes = HeaderValue::from_static("1");
        response.headers_mut().insert("wingspur-draining", yes);
    }
    response
}

/// The answer names the request that it belongs to; large ones throughout.
fn make_answer(headers: &hyper::HeaderMap, body: Bytes) -> Response<ServerBody> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let id = text("x-echo").unwrap_or("none").to_owned();
    let Some(bytes) = text("x-answer-bytes").and_then(|text| text.parse::<u64>().ok())
    else {
        let echo = if body.is_empty() {
            Bytes::from(id)
        } else {
            body
        };
        return plain(StatusCode::OK, echo);
    };
    let chunk = Bytes::from(id.repeat(CHUNK_BYTES / id.len().max(1) + 1));
    let frames = futures_lite::stream::unfold(bytes, move |left| {
        let chunk = chunk.clone();
        async move {
            if left == 0 {
                return None;
            }
            let length = left.min(chunk.len() as u64);
            let frame = Frame::data(chunk.slice(..length as usize));
            Some((Ok(frame), left - length))
        }
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    response
        .headers_mut()
        .insert("content-length", HeaderValue::from(bytes));
    response
}

fn plain(status: StatusCode, body: Bytes) -> Response<ServerBody> {
    let mut response = Response::new(Full::new(body).boxed_unsync());
    *response.status_mut() = status;
    response
}

struct WaitGuard<'a>(&'a AtomicUsize);

impl<'a> WaitGuard<'a> {
    fn enter(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Beyond this the server sheds load.
const QUEUE_PER_SLOT: usize = 20;
const CHUNK_BYTES: usize = 32 << 10;
