//! One box: the program of the deploy file as a process, with settings on loopback.

use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Wire;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

pub struct EntryBox {
    child: Child,
    program: String,
    settings: PathBuf,
    pub callers: SocketAddr,
    operator: SocketAddr,
    pub log: PathBuf,
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it is bound")
}

impl EntryBox {
    /// Starts a box with the settings that the deploy file's template gives it.
    pub fn start(program: &str, folder: &Path, id: &str, zone: &str, store: SocketAddr) -> Self {
        let peers = free_address();
        Self::start_at(program, folder, (id, zone), store, peers, &[peers])
    }

    /// Does the same with an address for other boxes, and with seeds.
    pub fn start_at(
        program: &str,
        folder: &Path,
        (id, zone): (&str, &str),
        store: SocketAddr,
        peers: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(",");
        let callers = free_address();
        let (operator, metrics) = (free_address(), free_address());
        let settings = format!(
            r#"{{"box_id":"{id}","data_centre":"{zone}","regions":{{"z1":"r1","z2":"r1","z3":"r1"}},
"fleet":"platform","caller_address":"{callers}","peer_address":"{peers}",
"operator_address":"{operator}","metrics_address":"{metrics}","cpu_share":0.2,
"link_mbps":1000.0,"memory_mb":260,"worker_threads":1,
"catalog":{{"form":"kv","store_address":"{store}","seeds":[{seeds}]}},
"first_start":true,"retry_budget":{{"ratio":0.2,"window_s":10,"slack":60}},
"quota":{{"window_s":5,"overrun":0.1,"slack":20}},
"drain":{{"balancer_lag_ms":2500,"kill_after_s":6}},
"log":{{"format":"json","filter":"info"}}}}"#
        );
        let path = folder.join(format!("{id}.json"));
        fs::write(&path, settings).expect("the folder is writable");
        let log = folder.join(format!("{id}.log"));
        let child = spawn(program, &path, &log);
        Self { child, program: program.to_owned(), settings: path, callers, operator, log }
    }

    /// Kills the process and starts it again after `pause`, at the same addresses.
    pub fn kill_and_restart(&mut self, pause: Duration) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        std::thread::sleep(pause);
        self.restart();
    }

    /// Starts the process again after it was killed.
    pub fn restart(&mut self) {
        let text = fs::read_to_string(&self.settings).unwrap_or_default();
        let text = text.replace("\"first_start\":true", "\"first_start\":false");
        let _ = fs::write(&self.settings, text);
        self.child = spawn(&self.program, &self.settings, &self.log);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the box says that it is ready; false if it doesn't within `limit`.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        use std::io::Write;
        let Ok(stream) = TcpStream::connect(self.operator) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut wire = Wire::new(stream);
        let asked = wire.stream.write_all(b"GET /ready HTTP/1.1\r\nhost: box\r\n\r\n");
        asked.is_ok() && wire.read().is_ok_and(|message| message.status() == 200)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child of this one that was not waited for yet.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(status.to_string())
    }
}

fn spawn(program: &str, settings: &Path, log: &Path) -> Child {
    let output = fs::OpenOptions::new().create(true).append(true).open(log);
    let output = output.expect("the folder is writable");
    let errors = output.try_clone().expect("the file is open");
    let child = Command::new(program)
        .arg("run")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn();
    child.expect("the program starts")
}

impl Drop for EntryBox {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
