//! A simulated list of boxes and servers of the platform, which publishes updates with a
//! delay.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Request, Response, StatusCode};
use smol::net::TcpListener;
use wingspur_protocol::{BoxList, sha256_hex};
use wingspur_transport::{HttpListener, ListenerOptions, Spawner};

/// A simulated box list. An update is served only after a fixed lag.
#[derive(Debug)]
pub struct BoxListStandIn {
    state: Arc<Mutex<ListState>>,
    listener: HttpListener,
}

#[derive(Debug, Default)]
struct ListState {
    lag: Duration,
    published: BoxList,
    /// Updates in the order in which they were set, with the time from which each is
    /// served.
    pending: Vec<(Instant, BoxList)>,
}

impl BoxListStandIn {
    /// Starts an empty list on a free loopback port. Updates are served `lag` after they
    /// are set.
    pub async fn start(spawner: &Spawner, lag: Duration) -> std::io::Result<Self> {
        let port = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let state = Arc::new(Mutex::new(ListState {
            lag,
            ..ListState::default()
        }));
        let shared = state.clone();
        let handler = move |request: Request<Incoming>, _| {
            let list = shared
                .lock()
                .expect("no holder panics")
                .publish_due(Instant::now());
            let response = respond(&request, &list);
            async move { response }
        };
        let options = ListenerOptions::default();
        let listener = HttpListener::start(port, spawner, options, handler)?;
        Ok(Self { state, listener })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Sets the list, which is served once the lag has passed.
    pub fn set(&self, list: BoxList) {
        let mut state = self.state.lock().expect("no holder panics");
        let due_at = Instant::now() + state.lag;
        state.pending.push((due_at, list));
    }

    /// Sets the list without the lag and discards updates that are still pending.
    pub fn set_now(&self, list: BoxList) {
        let mut state = self.state.lock().expect("no holder panics");
        state.pending.clear();
        state.published = list;
    }
}

/// Returns the list with an `ETag`, or status 304 if the caller already has this list.
fn respond(request: &Request<Incoming>, list: &BoxList) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(list).expect("a list serialises");
    let validator = format!("\"{}\"", &sha256_hex(&body)[..16]);
    let cached = request.headers().get(IF_NONE_MATCH);
    if cached.is_some_and(|cached| cached.as_bytes() == validator.as_bytes()) {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = StatusCode::NOT_MODIFIED;
        return response;
    }
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let validator = HeaderValue::from_str(&validator).expect("a digest is a valid value");
    response.headers_mut().insert(ETAG, validator);
    response
}

impl ListState {
    /// Applies the updates whose lag has passed, and returns the list to serve.
    fn publish_due(&mut self, now: Instant) -> BoxList {
        let due = self
            .pending
            .iter()
            .filter(|(due_at, _)| *due_at <= now)
            .count();
        if let Some((_, list)) = self.pending.drain(..due).next_back() {
            self.published = list;
        }
        self.published.clone()
    }
}
