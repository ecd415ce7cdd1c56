//! The program itself, before a stand-in of the store and one server.
#![allow(dead_code, reason = "each suite uses a part")]

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use wingspur_tests::{Answer, BackendServer, PlatformStore, Reply, call};

/// A running box, ended by its id whatever the test does.
pub struct Program {
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Its only server.
    pub server: BackendServer,
    operators: SocketAddr,
    child: Child,
    settings: PathBuf,
    _store: PlatformStore,
}

impl Program {
    /// Starts it before a server that replies so, and waits until it takes callers.
    pub fn start(reply: Reply, drain: &Value, stdout: Stdio) -> Self {
        let store = PlatformStore::start(500);
        let server = BackendServer::start(move |_| reply);
        store.put("op/config", &configuration());
        store.put("servers/i-1", &server_entry(server.address));
        let (callers, operators) = (free_address(), free_address());
        let settings = json!({
            "box_id": "box-1", "data_centre": "dc-1", "fleet": "test",
            "caller_address": callers, "peer_address": free_address(),
            "operator_address": operators,
            "catalog": {"form": "kv", "store_address": store.address},
            "drain": drain,
            "log": {"format": "json", "filter": "info"},
        });
        let name = format!("wingspur-{}.json", callers.port());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_wingspur"))
            .arg("run")
            .arg(&path)
            .stdout(stdout)
            .spawn()
            .unwrap();
        let program = Self {
            callers,
            server,
            operators,
            child,
            settings: path,
            _store: store,
        };
        let up = || TcpStream::connect(operators).is_ok();
        wait_until("the box is up", || {
            up() && program.get("/ready").status == 200
        });
        program
    }

    /// Reads its operators' port.
    pub fn get(&self, path: &str) -> Answer {
        call(self.operators, "GET", path, &[("host", "box")], b"")
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill_process(Pid::from_raw(id).unwrap(), signal).unwrap();
    }

    /// Its exit code, once it has ended.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // It may have ended, and its settings may be gone, both of which is well.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Waits for something that must come; a minute is for ever here.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = wingspur_clock::now();
    while !holds() {
        assert!(
            wingspur_clock::since(started) < Duration::from_secs(60),
            "never: {what}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn configuration() -> Value {
    json!({
        "version": 1,
        "host_routes": [{
            "name": "r", "host": "site.example", "path_prefix": "/",
            "class": "read", "timeout_ms": 10_000, "target_latency_ms": 1000,
            "priority": 1, "max_attempts": 2, "service": "svc",
        }],
        "services": [{"name": "svc", "server_connections": 100}],
        "limits": {
            "max_head_bytes": 16384, "max_body_bytes": 1048576,
            "head_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
    })
}

fn server_entry(address: SocketAddr) -> Value {
    json!({
        "service": "svc", "address": address, "data_centre": "dc-1",
        "slots": 64, "state": "ready", "cold_ms": 0,
    })
}

/// Returns an address that stays free until the box listens there: no other test or
/// connection uses its loopback address.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high, low, NEXT.fetch_add(1, Ordering::Relaxed));
    let listener = TcpListener::bind((ip, 0)).unwrap();
    listener.local_addr().unwrap()
}
