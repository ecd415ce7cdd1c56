//! A small deployment on loopback: the store, servers, boxes as processes, and the record.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, get, listen_until};
use crate::store::Store;

/// What was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn say(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A request that a server has received.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
}

/// A backend server: runs each request for a while and answers as the pages say.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    beats: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
}

impl Server {
    /// Starts a server; `work` says how long a request takes.
    pub fn start(
        id: &str,
        service: &str,
        record: &Record,
        work: impl Fn(&Request) -> Duration + Send + Sync + 'static,
    ) -> Self {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let (served, own_id, record) = (arrivals.clone(), id.to_owned(), record.clone());
        let ended = Arc::new(AtomicBool::new(false));
        let address = listen_until(ended.clone(), move |request, stream| {
            let request_id = request.header("x-wingspur-request-id").to_owned();
            let expected = request.header("x-wingspur-expected-instance");
            if !expected.is_empty() && expected != own_id {
                record.say(&format!("server {own_id}: {request_id} is for {expected}, 421"));
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Wingspur-Request-Id: {request_id}\r\nX-Wingspur-Instance-Id: {own_id}\r\nContent-Length: 0\r\n\r\n"
                );
                return stream.write_all(head.as_bytes()).is_ok();
            }
            record.say(&format!("server {own_id}: runs {request_id} {} {}", request.method, request.path));
            let at = Instant::now();
            served.lock().unwrap().push(Arrival { at, id: request_id.clone() });
            std::thread::sleep(work(&request));
            let body = format!("{own_id} ran {request_id}");
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Wingspur-Request-Id: {request_id}\r\nX-Wingspur-Server-Stamp: {own_id}.{request_id}\r\nX-Wingspur-Server-Load: 0,0,8\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(head.as_bytes()).is_ok()
        });
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            arrivals,
            beats: Arc::new(AtomicBool::new(true)),
            ended,
        }
    }

    pub fn entry(&self, seq_no: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"data_centre\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_ms\":0,\"seq_no\":{seq_no}}}",
            self.service, self.address
        )
    }

    /// Writes the server's entry now and about every 1.5 s.
    pub fn announce(&self, store: &Store) {
        static PLACE: AtomicU64 = AtomicU64::new(0);
        let (server, store) = (self.clone(), store.clone());
        store.put(&format!("servers/{}", server.id), &server.entry(1));
        let offset = 300 * (PLACE.fetch_add(1, Ordering::Relaxed) % 5);
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(offset));
            for seq_no in 2.. {
                std::thread::sleep(Duration::from_millis(1500));
                if !server.beats.load(Ordering::SeqCst) {
                    return;
                }
                store.put(&format!("servers/{}", server.id), &server.entry(seq_no));
            }
        });
    }

    /// Leaves without saying `draining`: the entry goes, the server serves on.
    pub fn withdraw(&self, store: &Store) {
        self.beats.store(false, Ordering::SeqCst);
        store.remove(&format!("servers/{}", self.id));
    }

    /// Ends: what runs here is lost, and connections are refused.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }
}

/// A box: the process that the deploy file starts, with the filled template.
pub struct EntryBox {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    program: String,
    log: PathBuf,
    child: Option<Child>,
}

/// Addresses that were free a moment ago.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let held: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    std::array::from_fn(|place| held[place].local_addr().expect("it is bound"))
}

impl EntryBox {
    /// Writes the settings of some boxes into `folder`.
    pub fn prepare(count: usize, store: &Store, folder: &str, program: &str) -> Vec<Self> {
        let ports: Vec<[SocketAddr; 4]> = (0..count).map(|_| free_addresses()).collect();
        let seeds = ports.iter().take(3).map(|ports| format!("\"{}\"", ports[1]));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let boxes = ports.into_iter().enumerate();
        let boxes = boxes.map(|(place, [callers, peers, ready, metrics])| {
            let name = format!("front-zone-a-{}", place + 1);
            let settings = PathBuf::from(format!("{folder}/{name}.json"));
            let entry = Self {
                callers,
                ready,
                peers,
                program: program.to_owned(),
                log: PathBuf::from(format!("{folder}/{name}.log")),
                child: None,
                settings,
                name,
            };
            let text = entry.text(metrics, store.door(place), &seeds, true);
            std::fs::write(&entry.settings, text).expect("the folder can be written");
            entry
        });
        boxes.collect()
    }

    fn text(
        &self,
        metrics: SocketAddr,
        store: SocketAddr,
        seeds: &str,
        first_start: bool,
    ) -> String {
        format!(
            r#"{{
  "box_id": "{}", "data_centre": "zone-a", "regions": {{"zone-a":"region-a"}},
  "fleet": "platform", "caller_address": "{}", "peer_address": "{}",
  "operator_address": "{}", "metrics_address": "{metrics}",
  "cpu_share": 0.2, "link_mbps": 1000.0, "worker_threads": 1,
  "catalog": {{"form": "kv", "store_address": "{store}", "seeds": [{seeds}]}},
  "first_start": {first_start},
  "retry_budget": {{"ratio": 0.2, "window_s": 10, "slack": 58}},
  "quota": {{"window_s": 5, "overrun": 0.1, "slack": 20}},
  "drain": {{"balancer_lag_ms": 2500, "kill_after_s": 6}},
  "log": {{"format": "json", "filter": "info"}}
}}"#,
            self.name, self.callers, self.peers, self.ready
        )
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the folder can be written");
        let child = Command::new(&self.program)
            .arg("run")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file has handles"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the program is built"));
    }

    /// Marks that a later start is not the first of the whole system.
    pub fn note_started(&self) {
        let text = std::fs::read_to_string(&self.settings).expect("it was written");
        let text = text.replace("\"first_start\": true", "\"first_start\": false");
        std::fs::write(&self.settings, text).expect("the folder can be written");
    }

    pub fn is_ready(&self) -> bool {
        get(self.ready, "/ready").is_some_and(|answer| answer.status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(25));
        }
        false
    }

    /// Ends the process at once, as SIGKILL does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for EntryBox {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder that is removed at the end.
pub struct Folder(pub String);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("wingspur-review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path.to_string_lossy().into_owned())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The configuration: the routes as JSON, and the services.
pub fn configuration(version: u64, routes: &[String], services: &[&str], extra: &str) -> String {
    let services = services.iter().map(|name| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"server_connections\":330,\"protocol\":\"h1\",\"tls\":false}}")
    });
    format!(
        "{{\"version\":{version},\"host_routes\":[{}],\"services\":[{}],\"limits\":{{\"max_head_bytes\":16384,\"max_body_bytes\":67108864,\"head_timeout_ms\":3000,\"idle_timeout_ms\":15000}}{extra}}}",
        routes.join(","),
        services.collect::<Vec<_>>().join(",")
    )
}

pub fn route(name: &str, host: &str, prefix: &str, class: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{host}\",\"path_prefix\":\"{prefix}\",\"class\":\"{class}\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2}}"
    )
}

/// A request as a client sends it.
pub fn request(method: &str, path: &str, host: &str, id: &str, deadline_ms: u64, body: &str) -> String {
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Wingspur-Request-Id: {id}\r\nX-Wingspur-Request-Deadline-Ms: {deadline_ms}\r\n{length}\r\n{body}"
    )
}

pub fn send(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(text.as_bytes())
}
