//! Starts, signals and kills the boxes, which are real processes. Each signal goes to one
//! process id.

use std::collections::BTreeSet;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;

use rand::RngExt;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use wingspur_tests::try_call;

use crate::budget::Budget;

/// Settings that differ from box to box.
pub struct BoxSpec {
    /// Box id.
    pub id: String,
    /// Data centre of the box.
    pub data_centre: String,
    /// Share of a CPU core. The box with the greatest share in a data centre becomes its
    /// hub.
    pub cpu_share: f64,
    /// Seconds after the stop signal at which the platform would kill the box; `None` for
    /// never.
    pub kill_after_s: Option<f64>,
    /// Retry budget in the settings of the box.
    pub budget: Budget,
    /// How long a server may take to refuse on arrival; `None` for the box's default.
    pub max_prompt_delay_ms: Option<u64>,
}

/// One box, whether its process is running or not.
pub struct SoakBox {
    /// Address for client requests.
    pub caller_address: SocketAddr,
    /// Address of the operator interface.
    pub operator_address: SocketAddr,
    /// Whether the process is suspended by SIGSTOP.
    pub suspended: bool,
    /// Whether SIGTERM was sent to the current process.
    stop_signalled: bool,
    id: String,
    program: PathBuf,
    settings: Value,
    path: PathBuf,
    log: PathBuf,
    running: Option<Child>,
    exit_status: Option<ExitStatus>,
}

impl SoakBox {
    /// Creates a box without starting it. Its settings file and its log go into `folder`.
    pub fn new(spec: &BoxSpec, program: &Path, store: SocketAddr, folder: &Path) -> Self {
        let (caller_address, operator_address) = (free_address(), free_address());
        let mut settings = json!({
            "box_id": spec.id,
            "data_centre": spec.data_centre,
            "fleet": "soak",
            "caller_address": caller_address,
            "peer_address": free_address(),
            "operator_address": operator_address,
            "worker_threads": 1,
            "cpu_share": spec.cpu_share,
            "catalog": {"form": "kv", "store_address": store},
            "retry_budget": {
                "ratio": spec.budget.ratio,
                "window_s": spec.budget.window.as_secs_f64(),
                "slack": spec.budget.slack,
            },
            "drain": {"balancer_lag_ms": 500, "limit_ms": 8000},
            "log": {"format": "json", "filter": "info"},
        });
        if let Some(kill_after_s) = spec.kill_after_s {
            settings["drain"]["kill_after_s"] = json!(kill_after_s);
        }
        if let Some(max_prompt_delay_ms) = spec.max_prompt_delay_ms {
            settings["max_prompt_delay_ms"] = json!(max_prompt_delay_ms);
        }
        let created = Self {
            caller_address,
            operator_address,
            suspended: false,
            stop_signalled: false,
            id: spec.id.clone(),
            program: program.to_owned(),
            path: folder.join(format!("{}.json", spec.id)),
            log: folder.join(format!("{}.log", spec.id)),
            settings,
            running: None,
            exit_status: None,
        };
        created.write_settings();
        created
    }

    /// Writes another log filter into the settings file, without signalling the box to
    /// reload.
    pub fn set_filter(&mut self, filter: &str) {
        self.settings["log"]["filter"] = json!(filter);
        self.write_settings();
    }

    /// Returns the exit status of the last process that ended, or `None` if none has
    /// ended or its status could not be read.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.reap();
        self.exit_status
    }

    /// Injects a fault of the path to all servers, or ends it with `none`, and tells the
    /// box to reload.
    pub fn set_server_path(&mut self, fault: &str) {
        self.settings["fault_injection"]["server_path"] = json!(fault);
        self.write_settings();
        self.signal(Signal::HUP);
    }

    fn write_settings(&self) {
        let written = std::fs::write(&self.path, self.settings.to_string());
        written.expect("the folder is writable");
    }

    /// Starts the process, unless it is running already.
    pub fn start(&mut self) {
        self.reap();
        if self.running.is_some() {
            return;
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the folder is writable");
        // Why a box does not start stands on its standard error alone.
        let errors = log.try_clone().expect("a file can be shared");
        let mut command = Command::new(&self.program);
        command.arg("run").arg(&self.path);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        let started = command.spawn();
        self.running =
            Some(started.unwrap_or_else(|error| panic!("{}: {error}", self.id)));
        self.stop_signalled = false;
    }

    /// Returns the id of the process, if it is running.
    pub fn pid(&mut self) -> Option<Pid> {
        self.reap();
        let child = self.running.as_ref()?;
        Pid::from_raw(child.id() as i32)
    }

    /// Returns the most memory that the current process has used, in bytes; 0 if it is not
    /// running.
    pub fn peak_memory(&mut self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let path = format!("/proc/{}/status", pid.as_raw_nonzero());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.split_whitespace().next());
        kib.and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) * 1024
    }

    /// Sends a signal to the process, if it is running.
    pub fn signal(&mut self, signal: Signal) {
        if let Some(pid) = self.pid() {
            // Fails if the process has ended in the meantime, which is harmless.
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGTERM to the process; further calls do nothing until it is started again.
    pub fn stop(&mut self) {
        if !self.stop_signalled {
            self.signal(Signal::TERM);
            self.stop_signalled = true;
        }
    }

    /// Returns whether the process was told to stop and has not ended yet.
    pub fn is_stopping(&mut self) -> bool {
        self.is_running() && self.stop_signalled
    }

    /// Suspends the process with SIGSTOP, or resumes it with SIGCONT.
    pub fn set_suspended(&mut self, suspended: bool) {
        self.signal(if suspended {
            Signal::STOP
        } else {
            Signal::CONT
        });
        self.suspended = suspended;
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.reap();
        self.running.is_some()
    }

    /// Kills the process, if it is running, and waits until it has ended.
    pub fn kill(mut self) {
        if let Some(mut child) = self.running.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn reap(&mut self) {
        let Some(child) = &mut self.running else {
            return;
        };
        match child.try_wait() {
            Ok(None) => {}
            Ok(exit_status) => {
                self.exit_status = exit_status;
                self.running = None;
            }
            Err(error) => {
                eprintln!("{}: its end cannot be read: {error}", self.id);
                self.running = None;
            }
        }
    }
}

/// Fetches a page of a box's operator interface as JSON. Returns `None` if the box does
/// not respond or the status is not 200.
pub fn fetch_json(operator_address: SocketAddr, path: &str) -> Option<Value> {
    let response = try_call(operator_address, "GET", path, &[("host", "box")], b"")?;
    let body = serde_json::from_slice(&response.body).unwrap_or_default();
    (response.status == 200).then_some(body)
}

/// Returns an address with a port that is free now, and that was not returned before. The
/// port lies below the ephemeral range, so the kernel assigns it to no connection while
/// the box is down.
fn free_address() -> SocketAddr {
    static RETURNED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let mut returned = RETURNED.lock().expect("no holder panics");
    loop {
        let port = rand::rng().random_range(PORTS_BELOW_EPHEMERAL);
        let address = SocketAddr::from((own_loopback_ip(), port));
        if TcpListener::bind(address).is_ok() && returned.insert(port) {
            return address;
        }
    }
}

/// Returns a loopback address that differs between soaks that run at the same time. Else
/// a box of one could get the port of a box of the other that is down, and its requests.
fn own_loopback_ip() -> [u8; 4] {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    [127, 64 + high % 64, low, 1]
}

const PORTS_BELOW_EPHEMERAL: std::ops::Range<u16> = 12_000..32_000;
