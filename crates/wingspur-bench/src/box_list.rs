//! A stand-in of the platform's list of boxes and servers, which lags.

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

/// The stand-in: what is set shows only after the lag.
#[derive(Debug)]
pub struct BoxListStandIn {
    state: Arc<Mutex<ListState>>,
    listener: HttpListener,
}

#[derive(Debug, Default)]
struct ListState {
    lag: Duration,
    shown: BoxList,
    coming: Vec<(Instant, BoxList)>,
}

impl BoxListStandIn {
    /// Starts an empty list on a free loopback port.
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
                .show(Instant::now());
            let response = answer(&request, &list);
            async move { response }
        };
        let options = ListenerOptions::default();
        let listener = HttpListener::start(port, spawner, options, handler)?;
        Ok(Self { state, listener })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Sets the list; it shows after the lag.
    pub fn set(&self, list: BoxList) {
        let mut state = self.state.lock().expect("no holder panics");
        let at = Instant::now() + state.lag;
        state.coming.push((at, list));
    }

    /// Sets the list at once.
    pub fn set_now(&self, list: BoxList) {
        let mut state = self.state.lock().expect("no holder panics");
        state.coming.clear();
        state.shown = list;
    }
}

/// The list with a validator, or word that the caller has it already.
fn answer(request: &Request<Incoming>, list: &BoxList) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(list).expect("a list serialises");
    let validator = format!("\"{}\"", &sha256_hex(&body)[..16]);
    let known = request.headers().get(IF_NONE_MATCH);
    if known.is_some_and(|known| known.as_bytes() == validator.as_bytes()) {
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
    fn show(&mut self, now: Instant) -> BoxList {
        let due = self.coming.iter().filter(|(at, _)| *at <= now).count();
        if let Some((_, list)) = self.coming.drain(..due).next_back() {
            self.shown = list;
        }
        self.shown.clone()
    }
}
