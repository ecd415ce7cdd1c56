//! A fake of the platform's key-value store, with faults that tests can set.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{Head, listen};

/// The fake store.
#[derive(Clone)]
pub struct PlatformStore {
    /// The address at which the store listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

/// A copy of all that the store held at one time.
#[derive(Clone)]
pub struct StoreCopy(State);

/// A fault of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// The store works.
    #[default]
    None,
    /// The store refuses all calls with this status.
    Refuses(u16),
    /// The store executes each call and closes the connection without a response.
    LosesReplies,
    /// The store accepts calls and never responds.
    Silent,
}

#[derive(Clone, Default)]
struct State {
    /// The numbering generation: starts at 1 and grows with each restore from an older
    /// copy.
    era: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String)>,
    /// The history up to this revision is compacted.
    compacted: u64,
    leases: Vec<u64>,
    fault: StoreFault,
    /// The number of watches that are waiting.
    waiting_watches: usize,
    /// How often the waiting watches were cut.
    watch_cuts: usize,
    /// The number of items on a page.
    page: usize,
    /// The number of calls by path.
    calls: BTreeMap<String, usize>,
}

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

impl PlatformStore {
    /// Starts an empty store with pages of `page` items.
    pub fn start(page: usize) -> Self {
        let state = State {
            era: 1,
            page,
            ..State::default()
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let served = state.clone();
        let address = listen(move |head, stream| serve(&served, &head, stream));
        Self { address, state }
    }

    /// Writes a key without a lease, as the operator or a server does.
    pub fn put(&self, key: &str, value: &Value) {
        let bytes = serde_json::to_vec(value).expect("values serialise");
        self.put_bytes(key, &bytes);
    }

    /// Writes a key without a lease, with any bytes as its value.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.lock().put(key, value.to_vec(), 0);
        self.state.1.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.state.1.notify_all();
    }

    /// Writes a key under a new lease, as another box does, and returns the lease.
    pub fn put_leased(&self, key: &str, value: &Value) -> u64 {
        let bytes = serde_json::to_vec(value).expect("values serialise");
        let mut state = self.lock();
        let lease = state.grant_lease();
        state.put(key, bytes, lease);
        drop(state);
        self.state.1.notify_all();
        lease
    }

    /// Ends a lease as if it had expired.
    pub fn end_lease(&self, lease: u64) {
        self.lock().end_lease(lease);
        self.state.1.notify_all();
    }

    /// Compacts all history.
    pub fn compact_history(&self) {
        let mut state = self.lock();
        state.compacted = state.revision;
        state.history.clear();
    }

    /// Returns a copy of all that the store holds, as a backup would.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.lock().clone())
    }

    /// Restores an older copy: what was written since is lost, its revisions and lease
    /// ids are assigned again, and the era grows by one.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.lock();
        let copied = copy.0.clone();
        *state = State {
            era: state.era + 1,
            fault: state.fault,
            waiting_watches: state.waiting_watches,
            watch_cuts: state.watch_cuts,
            calls: std::mem::take(&mut state.calls),
            ..copied
        };
        drop(state);
        self.state.1.notify_all();
    }

    /// Returns the revision of the newest change.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Sets the fault that applies from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
        self.state.1.notify_all();
    }

    /// Cuts the waiting watches once there is one: their connections close without a
    /// response. The key `removed` is removed at the same moment.
    pub fn cut_watches_and_remove(&self, removed: &str) {
        let mut state = self.lock();
        while state.waiting_watches == 0 {
            state = self.state.1.wait(state).expect("no holder panics");
        }
        state.watch_cuts += 1;
        state.remove(removed);
        self.state.1.notify_all();
    }

    /// Returns the keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Returns the lease of a key, 0 for none; `None` where there is no such key.
    pub fn lease_of(&self, key: &str) -> Option<u64> {
        self.lock().items.get(key).map(|item| item.lease)
    }

    /// Returns the value of a key as JSON; `None` where there is no such key.
    pub fn value(&self, key: &str) -> Option<Value> {
        let state = self.lock();
        let item = state.items.get(key)?;
        serde_json::from_slice(&item.value).ok()
    }

    /// Returns the number of calls of a path so far.
    pub fn calls(&self, path: &str) -> usize {
        self.lock().calls.get(path).copied().unwrap_or(0)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no holder panics")
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.history.push((revision, key.to_owned()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned()));
        }
    }

    fn grant_lease(&mut self) -> u64 {
        let lease = 1 + self.leases.iter().max().copied().unwrap_or(0);
        self.leases.push(lease);
        lease
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.retain(|held| *held != lease);
        let under = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = under.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let changes = self
            .history
            .iter()
            .filter(|(revision, key)| *revision > after && key.starts_with(prefix));
        changes
            .map(|(revision, key)| match self.items.get(key) {
                Some(item) if item.revision == *revision => item_json(key, item),
                Some(item) => item_json(key, item),
                None => json!({"key": key, "revision": revision, "deleted": true}),
            })
            .collect()
    }
}

/// Serves one call. Returns whether the connection stays open.
fn serve(
    shared: &Arc<(Mutex<State>, Condvar)>,
    head: &Head,
    stream: &mut TcpStream,
) -> bool {
    let mut state = shared.0.lock().expect("no holder panics");
    *state.calls.entry(head.path.clone()).or_default() += 1;
    let fault = state.fault;
    if let StoreFault::Refuses(status) = fault {
        return reply(stream, state.era, status, &Value::Null);
    }
    if fault == StoreFault::Silent {
        drop(state);
        std::thread::sleep(Duration::from_secs(30));
        return false;
    }
    let mut era = state.era;
    let (status, body) = match (head.method.as_str(), head.path.as_str()) {
        ("GET", "/-/kv-range") => range(&state, head),
        ("GET", "/-/kv-watch") => {
            drop(state);
            let Some((era_at_end, response)) = watch(shared, head) else {
                return false;
            };
            era = era_at_end;
            response
        }
        ("POST", "/-/kv-txn") => transaction(&mut state, head),
        ("POST", "/-/kv-lease") => {
            let lease = state.grant_lease();
            let request: Value = serde_json::from_slice(&head.body).unwrap_or_default();
            (200, json!({"lease": lease, "ttl_ms": request["ttl_ms"]}))
        }
        (method, path) => keep_or_end_lease(&mut state, method, path),
    };
    shared.1.notify_all();
    if fault == StoreFault::LosesReplies {
        return false;
    }
    reply(stream, era, status, &body)
}

fn range(state: &State, head: &Head) -> (u16, Value) {
    let prefix = head.query.get("path_prefix").map_or("", String::as_str);
    let after = head.query.get("after").map_or("", String::as_str);
    let selected = state.items.iter().filter(|(key, _)| {
        key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
    });
    let items: Vec<Value> = selected.map(|(key, item)| item_json(key, item)).collect();
    let more = items.len() > state.page;
    let items: Vec<Value> = items.into_iter().take(state.page).collect();
    let revision = state.revision;
    (
        200,
        json!({"items": items, "more": more, "store_revision": revision}),
    )
}

/// Waits for changes. Returns the era in which the wait ended, with the status and the
/// body; `None` if the watch was cut.
fn watch(
    shared: &Arc<(Mutex<State>, Condvar)>,
    head: &Head,
) -> Option<(u64, (u16, Value))> {
    let number = |name: &str| head.query.get(name).and_then(|text| text.parse().ok());
    let after: u64 = number("after").unwrap_or(0);
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
    let prefix = head.query.get("path_prefix").map_or("", String::as_str);
    let until = Instant::now() + wait;
    let mut state = shared.0.lock().expect("no holder panics");
    let cuts = state.watch_cuts;
    loop {
        if state.watch_cuts > cuts {
            return None;
        }
        let era = state.era;
        if after < state.compacted || after > state.revision {
            return Some((era, (410, Value::Null)));
        }
        if let StoreFault::Refuses(status) = state.fault {
            return Some((era, (status, Value::Null)));
        }
        let events = state.events(prefix, after);
        let remaining = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || remaining.is_zero() {
            let body = json!({"events": events, "store_revision": state.revision});
            return Some((era, (200, body)));
        }
        state.waiting_watches += 1;
        shared.1.notify_all();
        let waited = shared.1.wait_timeout(state, remaining);
        state = waited.expect("no holder panics").0;
        state.waiting_watches -= 1;
    }
}

fn transaction(state: &mut State, head: &Head) -> (u16, Value) {
    let request: Value = serde_json::from_slice(&head.body).unwrap_or_default();
    let rows = |name: &str| request[name].as_array().cloned().unwrap_or_default();
    for condition in rows("conditions") {
        let key = condition["key"].as_str().unwrap_or_default();
        let revision = state.items.get(key).map_or(0, |item| item.revision);
        if condition["revision"].as_u64() != Some(revision) {
            let found = state.items.get(key).map(|item| item_json(key, item));
            return (412, json!({"items": Vec::from_iter(found)}));
        }
    }
    for put in rows("puts") {
        let lease = put["lease"].as_u64().unwrap_or(0);
        if lease != 0 && !state.leases.contains(&lease) {
            return (404, Value::Null);
        }
        let value = STANDARD.decode(put["value"].as_str().unwrap_or_default());
        let key = put["key"].as_str().unwrap_or_default().to_owned();
        state.put(&key, value.unwrap_or_default(), lease);
    }
    for key in rows("removals") {
        state.remove(key.as_str().unwrap_or_default());
    }
    (200, json!({"revision": state.revision}))
}

/// Renews a lease, or ends it for `DELETE`.
fn keep_or_end_lease(state: &mut State, method: &str, path: &str) -> (u16, Value) {
    let lease = path.rsplit('/').next().and_then(|text| text.parse().ok());
    let Some(lease) = lease.filter(|lease| state.leases.contains(lease)) else {
        return (404, Value::Null);
    };
    if method == "DELETE" {
        state.end_lease(lease);
    }
    (200, json!({"ttl_ms": 10_000}))
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "revision": item.revision,
        "create_revision": item.created,
        "lease": item.lease,
    })
}

fn reply(stream: &mut TcpStream, era: u64, status: u16, body: &Value) -> bool {
    let body = body.to_string();
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} Status\r\nstore-era: {era}\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(format!("{head}{body}").as_bytes()).is_ok()
}
