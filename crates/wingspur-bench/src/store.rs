//! In-memory simulation of the platform's key-value service, with the subset of the etcd
//! v3 JSON interface that is used.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use smol::net::TcpListener;
use wingspur_transport::{HttpListener, ListenerOptions, Spawner};

/// Simulated store on loopback, whose faults can be changed while it runs.
#[derive(Debug)]
pub struct StoreStandIn {
    state: Arc<Mutex<StoreState>>,
    listener: HttpListener,
}

/// Fault that affects all calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    /// Calls work normally.
    #[default]
    None,
    /// No call is answered or takes effect, and open watches are closed.
    Down,
    /// Each call is delayed by this time before it takes effect.
    Slow(Duration),
    /// Writes take effect, but none is answered.
    LoseWriteReplies,
    /// All writes take effect, but every `n`th one is not answered.
    LoseEveryNthReply(u64),
}

#[derive(Debug, Default)]
struct StoreState {
    revision: i64,
    pairs: BTreeMap<Vec<u8>, StoredValue>,
    watches: Vec<Watch>,
    calls: HashMap<&'static str, u64>,
    fault: StoreFault,
    write_count: u64,
}

#[derive(Debug, Clone)]
struct StoredValue {
    value: Vec<u8>,
    mod_revision: i64,
}

#[derive(Debug)]
struct Watch {
    key: Vec<u8>,
    sender: async_channel::Sender<Bytes>,
}

type StoreBody = UnsyncBoxBody<Bytes, std::convert::Infallible>;

impl StoreStandIn {
    /// Starts an empty store on a free loopback port.
    pub async fn start(spawner: &Spawner) -> std::io::Result<Self> {
        let socket = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let state = Arc::new(Mutex::new(StoreState::default()));
        let shared = state.clone();
        let handler = move |request, _| handle_call(shared.clone(), request);
        let options = ListenerOptions::default();
        let listener = HttpListener::start(socket, spawner, options, handler)?;
        Ok(Self { state, listener })
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Sets the current fault; [`StoreFault::Down`] also closes all open watches.
    pub fn set_fault(&self, fault: StoreFault) {
        let mut state = self.lock();
        state.fault = fault;
        if fault == StoreFault::Down {
            state.watches.clear();
        }
    }

    /// Returns the number of calls so far by kind; a watch counts when it is opened.
    pub fn calls(&self) -> HashMap<&'static str, u64> {
        self.lock().calls.clone()
    }

    /// Returns the number of open watches.
    pub fn open_watches(&self) -> usize {
        let mut state = self.lock();
        state.watches.retain(|watch| !watch.sender.is_closed());
        state.watches.len()
    }

    /// Returns the keys that start with a prefix, with the lengths of their values in
    /// bytes.
    pub fn sizes(&self, prefix: &str) -> Vec<(String, usize)> {
        let state = self.lock();
        let matching = state
            .pairs
            .iter()
            .filter(|(k, _)| k.starts_with(prefix.as_bytes()));
        matching
            .map(|(key, stored)| {
                (
                    String::from_utf8_lossy(key).into_owned(),
                    stored.value.len(),
                )
            })
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, StoreState> {
        self.state.lock().expect("no holder panics")
    }
}

async fn handle_call(
    state: Arc<Mutex<StoreState>>,
    request: Request<Incoming>,
) -> Response<StoreBody> {
    let path = request.uri().path().to_owned();
    let fault = state.lock().expect("no holder panics").fault;
    match fault {
        StoreFault::Down => futures_lite::future::pending::<()>().await,
        StoreFault::Slow(time) => {
            smol::Timer::after(time).await;
        }
        StoreFault::None
        | StoreFault::LoseWriteReplies
        | StoreFault::LoseEveryNthReply(_) => {}
    }
    let body = request
        .into_body()
        .collect()
        .await
        .map(|body| body.to_bytes());
    let body: Option<Value> = body.ok().and_then(|b| serde_json::from_slice(&b).ok());
    let Some(body) = body else {
        return plain_response(StatusCode::BAD_REQUEST, "not JSON");
    };
    let reply = {
        let mut state = state.lock().expect("no holder panics");
        match path.as_str() {
            "/v3/kv/range" => CallReply::Read(state.range(&body)),
            "/v3/kv/txn" => CallReply::Wrote(state.txn(&body), state.loses_reply()),
            "/v3/kv/deleterange" => {
                CallReply::Wrote(state.delete_range(&body), state.loses_reply())
            }
            "/v3/watch" => return state.watch(&body),
            _ => return plain_response(StatusCode::NOT_FOUND, "not in the subset"),
        }
    };
    let (reply, is_reply_lost) = match reply {
        CallReply::Read(value) => (value, false),
        CallReply::Wrote(value, is_reply_lost) => (value, is_reply_lost),
    };
    if is_reply_lost {
        futures_lite::future::pending::<()>().await;
    }
    match reply {
        Some(value) => plain_response(StatusCode::OK, &value.to_string()),
        None => {
            plain_response(StatusCode::BAD_REQUEST, "a field is missing or too large")
        }
    }
}

/// Reply of a call, `None` if the call is invalid; for a write also whether the reply is
/// lost.
enum CallReply {
    Read(Option<Value>),
    Wrote(Option<Value>, bool),
}

impl StoreState {
    fn range(&mut self, body: &Value) -> Option<Value> {
        self.count("range");
        let key = decode_field(body, "key")?;
        let kvs: Vec<Value> = match decode_field(body, "range_end") {
            Some(end) => self.pairs.range(key..end).map(kv_json).collect(),
            None => self
                .pairs
                .get_key_value(&key)
                .map(kv_json)
                .into_iter()
                .collect(),
        };
        Some(json!({ "header": self.header(), "kvs": kvs }))
    }

    fn txn(&mut self, body: &Value) -> Option<Value> {
        self.count("txn");
        let holds = body["compare"].as_array()?.iter().all(|compare| {
            let key = decode_field(compare, "key").unwrap_or_default();
            let required_revision = compare["mod_revision"]
                .as_str()
                .and_then(|r| r.parse().ok());
            let current_revision =
                self.pairs.get(&key).map_or(0, |stored| stored.mod_revision);
            required_revision == Some(current_revision)
        });
        let operations = if holds {
            &body["success"]
        } else {
            &body["failure"]
        };
        let mut responses = Vec::new();
        for operation in operations.as_array()? {
            if let Some(put) = operation.get("requestPut") {
                self.put(decode_field(put, "key")?, decode_field(put, "value")?)?;
                responses.push(json!({ "response_put": {} }));
            } else if let Some(range) = operation.get("requestRange") {
                let key = decode_field(range, "key")?;
                let found = self.pairs.get_key_value(&key).map(kv_json);
                let kvs: Vec<Value> = found.into_iter().collect();
                responses.push(json!({ "response_range": { "kvs": kvs } }));
            }
        }
        let header = self.header();
        Some(json!({ "header": header, "succeeded": holds, "responses": responses }))
    }

    fn delete_range(&mut self, body: &Value) -> Option<Value> {
        self.count("delete");
        let (from, to) = (decode_field(body, "key")?, decode_field(body, "range_end")?);
        let deleted: Vec<Vec<u8>> =
            self.pairs.range(from..to).map(|(k, _)| k.clone()).collect();
        self.revision += 1;
        for key in &deleted {
            self.pairs.remove(key);
        }
        Some(json!({ "header": self.header(), "deleted": deleted.len().to_string() }))
    }

    fn put(&mut self, key: Vec<u8>, value: Vec<u8>) -> Option<()> {
        if value.len() > MAX_VALUE_BYTES {
            return None;
        }
        self.revision += 1;
        let stored = StoredValue {
            value,
            mod_revision: self.revision,
        };
        let event =
            json!({ "result": { "events": [{ "kv": kv_json((&key, &stored)) }] } });
        let line = Bytes::from(format!("{event}\n"));
        self.watches.retain(|watch| {
            watch.key != key || watch.sender.try_send(line.clone()).is_ok()
        });
        self.pairs.insert(key, stored);
        Some(())
    }

    fn watch(&mut self, body: &Value) -> Response<StoreBody> {
        self.count("watch");
        let create = &body["create_request"];
        let Some(key) = decode_field(create, "key") else {
            return plain_response(StatusCode::BAD_REQUEST, "no key");
        };
        let start = create["start_revision"]
            .as_str()
            .and_then(|r| r.parse().ok());
        let (sender, receiver) =
            async_channel::bounded::<Bytes>(MAX_BUFFERED_WATCH_LINES);
        let created = Bytes::from_static(b"{\"result\":{\"created\":true}}\n");
        // The channel is still empty, so this cannot fail.
        let _ = sender.try_send(created);
        if let Some(stored) = self.pairs.get(&key)
            && start.is_some_and(|start: i64| start > 0 && stored.mod_revision >= start)
        {
            let event =
                json!({ "result": { "events": [{ "kv": kv_json((&key, stored)) }] } });
            let _ = sender.try_send(Bytes::from(format!("{event}\n")));
        }
        self.watches.push(Watch { key, sender });
        let frames = futures_lite::StreamExt::map(receiver, |line| Ok(Frame::data(line)));
        Response::new(StreamBody::new(frames).boxed_unsync())
    }

    /// Counts a write, and returns whether the current fault suppresses its reply.
    fn loses_reply(&mut self) -> bool {
        self.write_count += 1;
        match self.fault {
            StoreFault::LoseWriteReplies => true,
            StoreFault::LoseEveryNthReply(n) => self.write_count.is_multiple_of(n.max(1)),
            StoreFault::None | StoreFault::Down | StoreFault::Slow(_) => false,
        }
    }

    fn count(&mut self, kind: &'static str) {
        *self.calls.entry(kind).or_default() += 1;
    }

    fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }
}

fn kv_json((key, stored): (&Vec<u8>, &StoredValue)) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&stored.value),
        "mod_revision": stored.mod_revision.to_string(),
    })
}

fn decode_field(value: &Value, field: &str) -> Option<Vec<u8>> {
    STANDARD.decode(value.get(field)?.as_str()?).ok()
}

fn plain_response(status: StatusCode, text: &str) -> Response<StoreBody> {
    let body = Full::new(Bytes::copy_from_slice(text.as_bytes()));
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Length of the longest value that the store accepts.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Number of unread lines that a watch may have; one more closes it.
const MAX_BUFFERED_WATCH_LINES: usize = 1024;
