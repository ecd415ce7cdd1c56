//! The boxes: real processes, started, stopped and ended by their ids only.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rand::RngExt;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

/// One box, running or not.
pub struct SoakBox {
    /// Where callers come in.
    pub callers: SocketAddr,
    /// Where operators read.
    pub operators: SocketAddr,
    /// Whether it stands still.
    pub frozen: bool,
    /// Whether it was told to stop.
    stopping: bool,
    id: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    running: Option<Child>,
}

impl SoakBox {
    /// A box that is not started yet; its files go into `folder`.
    pub fn new(id: &str, program: &Path, store: SocketAddr, folder: &Path) -> Self {
        let (callers, operators) = (free_address(), free_address());
        let settings = json!({
            "box_id": id,
            "data_centre": "dc-1",
            "fleet": "soak",
            "caller_address": callers,
            "peer_address": free_address(),
            "operator_address": operators,
            "worker_threads": 1,
            "catalog": {"form": "kv", "store_address": store},
            "retry_budget": {
                "ratio": RETRY_RATIO, "window_s": RETRY_WINDOW.as_secs_f64(), "slack": RETRY_SLACK,
            },
            "drain": {"balancer_lag_ms": 500, "limit_ms": 8000},
            "log": {"format": "json", "filter": "info"},
        });
        let path = folder.join(format!("{id}.json"));
        std::fs::write(&path, settings.to_string()).expect("the folder takes files");
        Self {
            callers,
            operators,
            frozen: false,
            stopping: false,
            id: id.to_owned(),
            program: program.to_owned(),
            settings: path,
            log: folder.join(format!("{id}.log")),
            running: None,
        }
    }

    /// Starts the box, unless it runs.
    pub fn start(&mut self) {
        self.reap();
        if self.running.is_some() {
            return;
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the folder takes files");
        let mut command = Command::new(&self.program);
        command.arg("run").arg(&self.settings);
        command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null());
        let started = command.spawn();
        self.running =
            Some(started.unwrap_or_else(|error| panic!("{}: {error}", self.id)));
        self.stopping = false;
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&mut self, signal: Signal) {
        self.reap();
        if let Some(child) = &self.running
            && let Some(pid) = Pid::from_raw(child.id() as i32)
        {
            // It may have ended just now.
            let _ = kill_process(pid, signal);
        }
    }

    /// Tells the process to stop; a second signal would end it at once.
    pub fn stop(&mut self) {
        if !self.stopping {
            self.signal(Signal::TERM);
            self.stopping = true;
        }
    }

    /// Lets the process stand still, or go on.
    pub fn freeze(&mut self, frozen: bool) {
        self.signal(if frozen { Signal::STOP } else { Signal::CONT });
        self.frozen = frozen;
    }

    /// Whether the process runs.
    pub fn runs(&mut self) -> bool {
        self.reap();
        self.running.is_some()
    }

    /// Ends the process.
    pub fn close(mut self) {
        if let Some(mut child) = self.running.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn reap(&mut self) {
        if let Some(child) = &mut self.running
            && !matches!(child.try_wait(), Ok(None))
        {
            self.running = None;
        }
    }
}

/// A port that is free now, and that the kernel gives to no connection while the box is down.
fn free_address() -> SocketAddr {
    loop {
        let port = rand::rng().random_range(BELOW_EPHEMERAL);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

const BELOW_EPHEMERAL: std::ops::Range<u16> = 12_000..32_000;

/// The retry budget of the service, as the boxes are told.
pub const RETRY_RATIO: f64 = 0.2;
/// The budget's window.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// What may be sent again in any window whatever the requests.
pub const RETRY_SLACK: f64 = 40.0;
