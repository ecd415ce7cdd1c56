//! The platform's metadata store, as the pages describe it. Reads with `serializable=1`
//! may be some seconds old: how old is set per page of a listing.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Request, listen};
use crate::json::{Json, base64, unbase64};

/// The store. Each box calls it at an address of its own, so that the store knows whose
/// watch it cuts.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes: the revision, the key and the item as JSON.
    history: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// What the store held after each change.
    past: Vec<(Instant, u64, BTreeMap<String, Item>)>,
    /// How old a serializable read is; the first entry counts for first pages, the second
    /// for all further ones.
    stale: (Duration, Duration),
    log: Vec<String>,
    /// The most items of a page.
    page: usize,
    /// Rises when all waiting watches are cut.
    cuts: u64,
    /// The boxes whose watches are waiting.
    waiting: Vec<usize>,
}

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Store {
    pub fn start() -> Self {
        let state = State { page: 500, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let expiring = shared.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                expire(&mut expiring.0.lock().unwrap());
                expiring.1.notify_all();
            }
        });
        Self { shared }
    }

    /// Returns a new address of the store, for the box with this number.
    pub fn door(&self, entry: usize) -> SocketAddr {
        let served = self.shared.clone();
        listen(move |request, stream| serve(&served, entry, &request, stream))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    pub fn put(&self, key: &str, value: &str) {
        self.lock().put(key, value.as_bytes().to_vec(), 0);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.shared.1.notify_all();
    }

    /// Sets how old serializable reads are: of first pages, and of further pages.
    pub fn set_stale(&self, first: Duration, further: Duration) {
        self.lock().stale = (first, further);
    }

    /// Sets the most items of a page; the pages allow about 500.
    pub fn set_page(&self, items: usize) {
        self.lock().page = items;
    }

    /// Cuts the watches that are waiting, as soon as there is one: their connections close
    /// without an answer. Returns whose they were.
    pub fn cut_watches(&self) -> Vec<usize> {
        let until = Instant::now() + Duration::from_secs(2);
        while Instant::now() < until {
            let mut state = self.lock();
            let waiting = state.waiting.clone();
            if !waiting.is_empty() {
                state.cuts += 1;
                drop(state);
                self.shared.1.notify_all();
                return waiting;
            }
            drop(state);
            std::thread::sleep(Duration::from_millis(1));
        }
        Vec::new()
    }

    pub fn take_log(&self) -> Vec<String> {
        std::mem::take(&mut self.lock().log)
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
        self.remember();
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!(
                "{{\"key\":\"{key}\",\"revision\":{},\"deleted\":true}}",
                self.revision
            );
            self.history.push((self.revision, key.to_owned(), event));
            self.remember();
        }
    }

    fn remember(&mut self) {
        let now = Instant::now();
        self.past.push((now, self.revision, self.items.clone()));
        // One state older than the oldest read is kept.
        let oldest = now - Duration::from_secs(10);
        let old = self.past.iter().filter(|(at, ..)| *at < oldest).count();
        self.past.drain(..old.saturating_sub(1));
    }

    fn as_of(&self, age: Duration) -> (u64, BTreeMap<String, Item>) {
        let at = Instant::now() - age;
        let known = self.past.iter().rev().find(|(written, ..)| *written <= at);
        match (age.is_zero(), known) {
            (false, Some((_, revision, items))) => (*revision, items.clone()),
            (false, None) => (0, BTreeMap::new()),
            (true, _) => (self.revision, self.items.clone()),
        }
    }
}

fn expire(state: &mut State) {
    let now = Instant::now();
    let over = state.leases.iter().filter(|(_, (until, _))| *until <= now);
    let over: Vec<u64> = over.map(|(id, _)| *id).collect();
    over.into_iter().for_each(|lease| end_lease(state, lease));
}

fn end_lease(state: &mut State, lease: u64) {
    state.leases.remove(&lease);
    let under = state.items.iter().filter(|(_, item)| item.lease == lease);
    let keys: Vec<String> = under.map(|(key, _)| key.clone()).collect();
    keys.iter().for_each(|key| state.remove(key));
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create_revision\":{},\"lease\":{}}}",
        base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn serve(
    shared: &(Mutex<State>, Condvar),
    entry: usize,
    request: &Request,
    stream: &mut TcpStream,
) -> bool {
    let (status, body) = match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/-/kv-range") => range(&mut shared.0.lock().unwrap(), request),
        ("GET", "/-/kv-key") => {
            let state = shared.0.lock().unwrap();
            match state.items.get(request.parameter("key")) {
                Some(item) => (200, item_json(request.parameter("key"), item)),
                None => (404, "{}".to_owned()),
            }
        }
        ("GET", "/-/kv-watch") => match watch(shared, entry, request) {
            Some(answer) => answer,
            None => return false,
        },
        ("POST", "/-/kv-txn") => transact(&mut shared.0.lock().unwrap(), &request.body),
        ("POST", "/-/kv-lease") => {
            let body = Json::parse(&request.body);
            let ttl_ms = body.as_ref().and_then(|body| body.get("ttl_ms")).map_or(0, Json::number);
            let ttl = Duration::from_millis(ttl_ms);
            let mut state = shared.0.lock().unwrap();
            state.next_lease += 1;
            let lease = state.next_lease;
            state.leases.insert(lease, (Instant::now() + ttl, ttl));
            (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
        }
        ("POST", path) if path.starts_with("/-/kv-keep/") => {
            let lease = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
            match shared.0.lock().unwrap().leases.get_mut(&lease) {
                Some((until, ttl)) => {
                    *until = Instant::now() + *ttl;
                    (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                }
                None => (404, "{}".to_owned()),
            }
        }
        ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
            let lease = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
            end_lease(&mut shared.0.lock().unwrap(), lease);
            (200, "{}".to_owned())
        }
        _ => (404, "{}".to_owned()),
    };
    shared.1.notify_all();
    let head = format!(
        "HTTP/1.1 {status} Status\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).is_ok()
}

/// One page: at most 500 items or 1 MB, and at least one item.
fn range(state: &mut State, request: &Request) -> (u16, String) {
    let (prefix, after) = (request.parameter("path_prefix"), request.parameter("after"));
    let age = match (request.parameter("serializable"), after) {
        ("1", "") => state.stale.0,
        ("1", _) => state.stale.1,
        _ => Duration::ZERO,
    };
    let (revision, items) = state.as_of(age);
    let chosen = items
        .iter()
        .filter(|(key, _)| key.starts_with(prefix) && (after.is_empty() || key.as_str() > after));
    let (mut page, mut bytes, mut more) = (Vec::new(), 0, false);
    for (key, item) in chosen {
        let text = item_json(key, item);
        if !page.is_empty() && (page.len() >= state.page || bytes + text.len() > 1_000_000) {
            more = true;
            break;
        }
        bytes += text.len();
        page.push(text);
    }
    let serializable = request.parameter("serializable") == "1";
    state.log.push(format!(
        "store: range prefix={prefix:?} after={after:?} serializable={serializable} age_ms={} store_revision={revision} newest={} items={} more={more}",
        age.as_millis(),
        state.revision,
        page.len()
    ));
    let items = page.join(",");
    (200, format!("{{\"items\":[{items}],\"more\":{more},\"store_revision\":{revision}}}"))
}

/// Waits for changes; `None` where the watch is cut.
fn watch(
    shared: &(Mutex<State>, Condvar),
    entry: usize,
    request: &Request,
) -> Option<(u16, String)> {
    let prefix = request.parameter("path_prefix");
    let after: u64 = request.parameter("after").parse().unwrap_or(0);
    let wait = request.parameter("wait_ms").parse().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait);
    let mut state = shared.0.lock().unwrap();
    let cuts = state.cuts;
    loop {
        let events: Vec<&str> = state
            .history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
            .map(|(.., event)| event.as_str())
            .collect();
        let remaining = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || remaining.is_zero() {
            let body = format!(
                "{{\"events\":[{}],\"store_revision\":{}}}",
                events.join(","),
                state.revision
            );
            return Some((200, body));
        }
        state.waiting.push(entry);
        state = shared.1.wait_timeout(state, remaining).unwrap().0;
        let place = state.waiting.iter().position(|waiting| *waiting == entry);
        place.map(|place| state.waiting.swap_remove(place));
        if state.cuts != cuts {
            return None;
        }
    }
}

fn transact(state: &mut State, body: &[u8]) -> (u16, String) {
    let Some(body) = Json::parse(body) else {
        return (400, "{}".to_owned());
    };
    let rows = |name: &str| body.get(name).map_or(&[][..], Json::list);
    let field = |row: &Json, name: &str| row.get(name).map_or("", Json::text).to_owned();
    for row in rows("conditions") {
        let key = field(row, "key");
        let item = state.items.get(&key);
        if row.get("revision").map_or(0, Json::number) != item.map_or(0, |item| item.revision) {
            let found = item.map(|item| item_json(&key, item)).unwrap_or_default();
            return (412, format!("{{\"items\":[{found}]}}"));
        }
    }
    for row in rows("puts") {
        let lease = row.get("lease").map_or(0, Json::number);
        if lease != 0 && !state.leases.contains_key(&lease) {
            return (404, "{}".to_owned());
        }
        state.put(&field(row, "key"), unbase64(&field(row, "value")), lease);
    }
    for row in rows("removals") {
        state.remove(row.text());
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}
