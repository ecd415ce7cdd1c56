//! A stand-in of the platform's list of boxes and servers, which lags.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::Response;
use hyper::body::Bytes;
use smol::net::TcpListener;
use wingspur_protocol::BoxList;
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
        let handler = move |_, _| {
            let list = shared
                .lock()
                .expect("no holder panics")
                .show(Instant::now());
            let body = serde_json::to_vec(&list).expect("a list serialises");
            async move { Response::new(Full::new(Bytes::from(body))) }
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

impl ListState {
    fn show(&mut self, now: Instant) -> BoxList {
        let due = self.coming.iter().filter(|(at, _)| *at <= now).count();
        if let Some((_, list)) = self.coming.drain(..due).next_back() {
            self.shown = list;
        }
        self.shown.clone()
    }
}
