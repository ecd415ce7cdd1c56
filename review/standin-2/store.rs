//! The platform's store: keys with revisions, watches, leases, and reads that may be some
//! seconds old.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Wire, split_target};
use crate::json::{Json, base64, from_base64};

/// One change: when it was made, its key, and the new value with its lease.
struct Change {
    at: Instant,
    revision: u64,
    key: String,
    value: Option<(Vec<u8>, u64)>,
}

#[derive(Default)]
struct State {
    /// All changes, oldest first; revisions count from 1 without a gap.
    changes: Vec<Change>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// Whether calls get no answer and are not done.
    is_silent: bool,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    options: StoreOptions,
    cheap_reads: Arc<AtomicU64>,
}

#[derive(Clone, Copy)]
pub struct StoreOptions {
    /// The most items on a page.
    pub page: usize,
    /// How far behind the second replica is that answers every other cheap read, the
    /// first one included; zero for none.
    pub behind: Duration,
}

type Items = BTreeMap<String, (Vec<u8>, u64, u64, u64)>;

impl Store {
    pub fn start(options: StoreOptions) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let store = Self {
            address: listener.local_addr().expect("it is bound"),
            state: Arc::default(),
            options,
            cheap_reads: Arc::default(),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                expiring.expire_leases();
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.change(key, Some((value.as_bytes().to_vec(), 0)));
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.change(key, None);
        self.state.1.notify_all();
    }

    /// The keys that begin with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let items = state.items(state.revision());
        items.into_keys().filter(|key| key.starts_with(prefix)).collect()
    }

    /// From now on calls get no answer and are not done, or are served again.
    /// An outage of the kind `silent lapse`: all leases run out meanwhile.
    pub fn lapse(&self) {
        let mut state = self.state.0.lock().unwrap();
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        for lease in leases {
            state.end_lease(lease);
        }
    }

    pub fn set_silent(&self, is_silent: bool) {
        self.state.0.lock().unwrap().is_silent = is_silent;
    }

    fn is_silent(&self) -> bool {
        self.state.0.lock().unwrap().is_silent
    }

    /// Keeps a connection open, on which nothing is said any more, for longer than a case
    /// lasts.
    fn say_nothing(&self, wire: Wire) {
        std::thread::sleep(Duration::from_secs(150));
        drop(wire);
    }

    fn expire_leases(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            state.end_lease(lease);
        }
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(message) = wire.read() {
            if self.is_silent() {
                return self.say_nothing(wire);
            }
            let (status, body) = self.call(&message);
            if self.is_silent() {
                return self.say_nothing(wire);
            }
            if wire.answer(status, "content-type: application/json\r\n", body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, message: &Message) -> (u16, String) {
        let (path, query) = split_target(&message.first[1]);
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let body = String::from_utf8_lossy(&message.body).into_owned();
        let body = Json::parse(&body).unwrap_or(Json::Null);
        match (message.first[0].as_str(), path.as_str()) {
            ("GET", "/-/kv-range") => {
                let cheap = field("serializable") == "1";
                self.range(&field("path_prefix"), &field("after"), cheap)
            }
            ("GET", "/-/kv-key") => {
                let state = self.state.0.lock().unwrap();
                match state.items(state.revision()).get(&field("key")) {
                    Some(item) => (200, item_json(&field("key"), item)),
                    None => (404, "null".to_owned()),
                }
            }
            ("GET", "/-/kv-watch") => self.watch(
                &field("path_prefix"),
                field("after").parse().unwrap_or(0),
                Duration::from_millis(field("wait_ms").parse().unwrap_or(0)),
            ),
            ("POST", "/-/kv-txn") => self.transact(&body),
            ("POST", "/-/kv-lease") => {
                let mut state = self.state.0.lock().unwrap();
                state.next_lease += 1;
                let (lease, ttl_ms) = (state.next_lease, body.get("ttl_ms").number());
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            (method, path) => {
                let lease = path.rsplit('/').next().and_then(|text| text.parse().ok());
                let mut state = self.state.0.lock().unwrap();
                let Some((until, ttl)) = lease.and_then(|l: u64| state.leases.get_mut(&l)) else {
                    return (404, "null".to_owned());
                };
                *until = Instant::now() + *ttl;
                let ttl_ms = ttl.as_millis();
                if method == "DELETE" {
                    state.end_lease(lease.unwrap_or(0));
                }
                (200, format!("{{\"ttl_ms\":{ttl_ms}}}"))
            }
        }
    }

    fn range(&self, prefix: &str, after: &str, cheap: bool) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let mut revision = state.revision();
        if cheap && !self.options.behind.is_zero() {
            let turn = self.cheap_reads.fetch_add(1, Ordering::Relaxed);
            if turn % 2 == 0 {
                revision = state.revision_before(self.options.behind);
            }
        }
        let items = state.items(revision);
        let selected: Vec<String> = items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let more = selected.len() > self.options.page;
        let page = &selected[..selected.len().min(self.options.page)];
        (
            200,
            format!(
                "{{\"items\":[{}],\"more\":{more},\"store_revision\":{revision}}}",
                page.join(",")
            ),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let revision = state.revision();
            if after > revision {
                return (410, "null".to_owned());
            }
            let events: Vec<String> = state.changes[after as usize..]
                .iter()
                .filter(|change| change.key.starts_with(prefix))
                .map(change_json)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let body = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
                return (200, body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        let items = state.items(state.revision());
        for condition in body.get("conditions").list() {
            let key = condition.get("key").text();
            let found = items.get(key);
            if found.map_or(0, |item| item.1) != condition.get("revision").number() {
                let found = found.map_or(String::new(), |item| item_json(key, item));
                return (412, format!("{{\"items\":[{found}]}}"));
            }
        }
        for put in body.get("puts").list() {
            let lease = put.get("lease").number();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "null".to_owned());
            }
        }
        for put in body.get("puts").list() {
            let value = from_base64(put.get("value").text());
            let lease = put.get("lease").number();
            state.change(put.get("key").text(), Some((value, lease)));
        }
        for key in body.get("removals").list() {
            state.change(key.text(), None);
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision()))
    }
}

impl State {
    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    fn revision_before(&self, age: Duration) -> u64 {
        let known = self.changes.iter().filter(|change| change.at.elapsed() >= age);
        known.count().max(1) as u64
    }

    fn change(&mut self, key: &str, value: Option<(Vec<u8>, u64)>) {
        if value.is_none() && !self.items(self.revision()).contains_key(key) {
            return;
        }
        let revision = self.revision() + 1;
        self.changes.push(Change {
            at: Instant::now(),
            revision,
            key: key.to_owned(),
            value,
        });
    }

    /// The items at a revision: value, last change, creation and lease.
    fn items(&self, revision: u64) -> Items {
        let mut items = Items::new();
        for change in &self.changes[..revision as usize] {
            match &change.value {
                None => {
                    items.remove(&change.key);
                }
                Some((value, lease)) => {
                    let created = items.get(&change.key).map_or(change.revision, |item| item.2);
                    let item = (value.clone(), change.revision, created, *lease);
                    items.insert(change.key.clone(), item);
                }
            }
        }
        items
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let items = self.items(self.revision());
        for (key, item) in items {
            if item.3 == lease {
                self.change(&key, None);
            }
        }
    }
}

fn item_json(key: &str, item: &(Vec<u8>, u64, u64, u64)) -> String {
    let (value, revision, created, lease) = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"create_revision\":{created},\"lease\":{lease}}}",
        base64(value)
    )
}

fn change_json(change: &Change) -> String {
    match &change.value {
        Some((value, lease)) => {
            item_json(&change.key, &(value.clone(), change.revision, change.revision, *lease))
        }
        None => format!(
            "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
            change.key, change.revision
        ),
    }
}
