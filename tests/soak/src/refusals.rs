//! Sends once-only requests to real boxes while servers respond in every shape, and
//! compares what callers were told with what ran.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;
use wingspur_tests::{
    BackendServer, Body, EchoedId, Framing, PlatformStore, Preamble, Reply, ResponseShape,
};

use crate::boxes::{BoxSpec, SoakBox, fetch_json};
use crate::promises::RETRY_BUDGET;

/// How a request reaches the servers, and what happens to its box meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Path {
    Direct,
    /// The box has no path to the servers and hands the request to another one.
    Relayed,
    /// The box gets SIGTERM while the request is in flight.
    Stopping,
    /// The box is suspended while the request is in flight.
    Suspended,
}

/// What a caller was told, and when.
#[derive(Debug)]
struct CallerOutcome {
    /// The status; 0 if the connection ended without one, `None` if nothing came in time.
    status: Option<u16>,
    /// When the response or the connection ended; `None` if neither did in time.
    ended_after: Option<Duration>,
}

/// The boxes, the store and the servers.
struct Stage {
    store: PlatformStore,
    servers: Vec<BackendServer>,
    reply: Arc<Mutex<Reply>>,
    near: SoakBox,
    far: SoakBox,
    next_id: usize,
    /// Counts up when all servers are announced as new instances.
    generation: usize,
}

/// Sends each shape over each path. Prints a line for each case and returns whether all
/// promises held.
pub fn play_refusals(program: PathBuf, max_prompt_delay_ms: Option<u64>) -> bool {
    let folder = std::env::temp_dir().join(format!("refusals-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder for logs can be made");
    println!("logs: {}", folder.display());
    let mut stage = Stage::start(&program, &folder, max_prompt_delay_ms);
    let mut broken = 0;
    for path in [Path::Direct, Path::Relayed, Path::Stopping, Path::Suspended] {
        stage.prepare(path);
        for shape in shapes(path) {
            broken += usize::from(!stage.play(path, shape));
        }
    }
    stage.close();
    println!("{broken} cases broken");
    broken == 0
}

fn shapes(path: Path) -> Vec<ResponseShape> {
    let mut shapes = Vec::new();
    let framings = [
        Framing::Length,
        Framing::Chunked,
        Framing::TinyChunks,
        Framing::UntilClose,
    ];
    let bodies = [
        Body::Whole(8),
        Body::Whole(LONG_BYTES),
        Body::CutAfter(100),
        Body::CutAfter(LONG_BYTES),
        Body::SilentAfter(100),
        Body::SilentAfter(LONG_BYTES),
        Body::Endless,
    ];
    let is_disturbed = matches!(path, Path::Stopping | Path::Suspended);
    for is_marked in [false, true] {
        let of_503 = ResponseShape::new(503, is_marked);
        for framing in framings {
            for body in bodies {
                let is_tiny_and_long =
                    framing == Framing::TinyChunks && is_longer_than(body, 1000);
                let is_left_out = is_disturbed && framing != Framing::Length;
                if !is_tiny_and_long && !is_left_out {
                    shapes.push(ResponseShape {
                        framing,
                        body,
                        ..of_503
                    });
                }
            }
        }
        if is_disturbed {
            continue;
        }
        for status in [408, 421, 429, 500, 200] {
            for body in [Body::Whole(8), Body::Whole(LONG_BYTES)] {
                let shape = ResponseShape::new(status, is_marked);
                // By the protocol, a server that answers 421 has not run the request. A mark
                // in a success contradicts it.
                let runs = (shape.runs && status != 421) || status == 200;
                shapes.push(ResponseShape {
                    runs,
                    body,
                    ..shape
                });
            }
        }
        shapes.push(ResponseShape {
            is_split: true,
            ..of_503
        });
        for id in [EchoedId::Other, EchoedId::Missing] {
            shapes.push(ResponseShape { id, ..of_503 });
        }
    }
    if is_disturbed {
        return shapes;
    }
    let preambles = [
        Preamble::SurplusRefusal(EchoedId::Other),
        Preamble::SurplusRefusal(EchoedId::Missing),
        Preamble::MarkedInterim,
        Preamble::EndlessHeaderLines,
        Preamble::EndlessHeaderValue,
        Preamble::EndlessEmptyLines,
        Preamble::EndlessInterim,
        Preamble::EndlessSurplus,
        Preamble::EndlessGarbage,
    ];
    shapes.extend(preambles.map(|preamble| ResponseShape {
        preamble,
        ..ResponseShape::new(200, false)
    }));
    for body in [
        Body::EndlessExtension(100),
        Body::EndlessTrailers(LONG_BYTES),
    ] {
        shapes.push(ResponseShape {
            framing: Framing::Chunked,
            body,
            ..ResponseShape::new(200, false)
        });
    }
    for framing in framings {
        shapes.push(ResponseShape {
            framing,
            body: Body::Endless,
            ..ResponseShape::new(200, false)
        });
    }
    shapes
}

fn is_longer_than(body: Body, bytes: usize) -> bool {
    match body {
        Body::Whole(length) | Body::CutAfter(length) | Body::SilentAfter(length) => {
            length > bytes
        }
        Body::Endless => false,
        Body::EndlessExtension(length) | Body::EndlessTrailers(length) => length > bytes,
    }
}

impl Stage {
    fn start(
        program: &std::path::Path,
        folder: &std::path::Path,
        max_prompt_delay_ms: Option<u64>,
    ) -> Self {
        let store = PlatformStore::start(500);
        let reply = Arc::new(Mutex::new(Reply::Complete));
        let servers: Vec<_> = (0..SERVERS)
            .map(|_| {
                let reply = reply.clone();
                BackendServer::start(move |_| *reply.lock().expect("no holder panics"))
            })
            .collect();
        let new_box = |id: &str| {
            let spec = BoxSpec {
                id: id.to_owned(),
                data_centre: "dc-1".to_owned(),
                cpu_share: 1.0,
                kill_after_s: None,
                budget: RETRY_BUDGET,
                max_prompt_delay_ms,
            };
            SoakBox::new(&spec, program, store.address, folder)
        };
        let (near, far) = (new_box("box-near"), new_box("box-far"));
        let mut stage = Self {
            store,
            servers,
            reply,
            near,
            far,
            next_id: 0,
            generation: 0,
        };
        stage.configure();
        stage.announce_servers();
        stage.near.start();
        stage.far.start();
        stage
    }

    fn configure(&self) {
        let routes = ["read", "once_only"].map(|class| {
            json!({
                "name": class, "host": "site.example",
                "path_prefix": format!("/{class}/"), "class": class,
                "timeout_ms": ROUTE_TIMEOUT.as_millis() as u64,
                "target_latency_ms": 500, "priority": 1, "max_attempts": 2,
                "service": "svc",
            })
        });
        let configuration = json!({
            "version": 1,
            "host_routes": routes,
            "services": [{"name": "svc", "server_connections": 300}],
            "limits": {
                "max_head_bytes": 16384, "max_body_bytes": 1048576,
                "head_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
        });
        self.store.put("op/config", &configuration);
    }

    /// Announces the servers as new instances, since a box stops using an instance that
    /// has answered 421.
    fn announce_servers(&mut self) {
        let last = self.generation;
        self.generation += 1;
        for (n, server) in self.servers.iter().enumerate() {
            let entry = json!({
                "service": "svc", "address": server.address, "data_centre": "dc-1",
                "slots": 8, "state": "ready", "cold_ms": 0,
            });
            self.store.remove(&format!("servers/i-{n}-{last}"));
            let key = format!("servers/i-{n}-{}", self.generation);
            self.store.put(&key, &entry);
        }
    }

    fn prepare(&mut self, path: Path) {
        let fault = match path {
            Path::Relayed => "refuse",
            _ => "none",
        };
        self.near.set_server_path(fault);
        self.restore();
    }

    /// Waits until the near box runs and a request to it is served.
    fn restore(&mut self) {
        *self.reply.lock().expect("no holder panics") = Reply::Complete;
        let until = Instant::now() + MAX_RESTORE;
        while Instant::now() < until {
            self.near.set_suspended(false);
            self.near.start();
            self.far.start();
            let is_ready = fetch_json(self.near.operator_address, "/ready").is_some();
            if is_ready && self.call("/read/a").status == Some(200) {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        println!("the box does not serve");
    }

    /// Sends one request and prints what its caller was told. Returns whether that was
    /// true and in time.
    fn play(&mut self, path: Path, shape: ResponseShape) -> bool {
        self.restore();
        *self.reply.lock().expect("no holder panics") = Reply::Shaped(shape);
        let disturbing = self.disturb_soon(path);
        let outcome = self.call("/once_only/a");
        if let Some(disturbing) = disturbing {
            disturbing.join().expect("the thread does not panic");
            self.near.set_suspended(false);
        }
        *self.reply.lock().expect("no holder panics") = Reply::Complete;
        if shape.status == 421 {
            self.announce_servers();
        }
        let late = Instant::now() + LET_GO;
        while self.responding() > 0 && Instant::now() < late {
            std::thread::sleep(Duration::from_millis(10));
        }
        let id = format!("id-{}", self.next_id);
        let ran = self.times_run(&id);
        let promised = matches!(outcome.status, Some(408 | 421 | 429 | 503));
        let bound = match path {
            Path::Suspended => ROUTE_TIMEOUT + END_GRACE + SUSPENSION,
            _ => ROUTE_TIMEOUT + END_GRACE,
        };
        let mut faults = Vec::new();
        if promised && ran > 0 {
            faults.push("PROMISED BUT RAN");
        }
        if ran > 1 {
            faults.push("RAN TWICE");
        }
        if !promised && ran == 0 && !shape.runs && shape.id == EchoedId::Own {
            faults.push("withheld");
        }
        if outcome.ended_after.is_none_or(|after| after > bound) {
            faults.push("NO END");
        }
        if self.responding() > 0 {
            faults.push("SERVER HELD");
        }
        println!(
            "{path:?} {id} status={} id={:?} marked={} {:?} {:?} {:?} split={}: told {:?} \
             after {:?} ms, ran {ran} {}",
            shape.status,
            shape.id,
            shape.is_marked,
            shape.preamble,
            shape.framing,
            shape.body,
            shape.is_split,
            outcome.status,
            outcome.ended_after.map(|after| after.as_millis()),
            faults.join(", ")
        );
        faults.is_empty()
    }

    fn disturb_soon(&mut self, path: Path) -> Option<std::thread::JoinHandle<()>> {
        let pid = self.near.pid()?;
        let signal = move |signal| {
            let _ = rustix::process::kill_process(pid, signal);
        };
        use rustix::process::Signal;
        match path {
            Path::Direct | Path::Relayed => None,
            Path::Stopping => Some(std::thread::spawn(move || {
                std::thread::sleep(DISTURBED_AFTER);
                signal(Signal::TERM);
            })),
            Path::Suspended => Some(std::thread::spawn(move || {
                std::thread::sleep(DISTURBED_AFTER);
                signal(Signal::STOP);
                std::thread::sleep(SUSPENSION);
                signal(Signal::CONT);
            })),
        }
    }

    fn call(&mut self, path: &str) -> CallerOutcome {
        self.next_id += 1;
        let id = format!("id-{}", self.next_id);
        call_and_discard(self.near.caller_address, path, &id)
    }

    fn times_run(&self, id: &str) -> usize {
        let ran = self.servers.iter().flat_map(BackendServer::executed_ids);
        ran.filter(|ran| ran == id).count()
    }

    fn responding(&self) -> usize {
        self.servers.iter().map(BackendServer::responding).sum()
    }

    fn close(self) {
        self.near.kill();
        self.far.kill();
    }
}

/// Sends a request and discards the body of the response.
fn call_and_discard(to: SocketAddr, path: &str, id: &str) -> CallerOutcome {
    let sent = Instant::now();
    let nothing = CallerOutcome {
        status: Some(0),
        ended_after: Some(Duration::ZERO),
    };
    let Ok(mut stream) = TcpStream::connect(to) else {
        return nothing;
    };
    let method = if path.starts_with("/read") {
        "GET"
    } else {
        "POST"
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: site.example\r\nconnection: close\r\n\
         x-wingspur-request-id: {id}\r\nx-wingspur-request-deadline-ms: 4000\r\n\
         content-length: 0\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    let until = sent + MAX_CALL;
    let mut status = None;
    let mut block = vec![0; 64 << 10];
    while Instant::now() < until {
        let read = match status {
            None => reader.read_line(&mut line),
            Some(_) => reader.read(&mut block),
        };
        match read {
            Ok(0) => {
                return CallerOutcome {
                    status: status.or(Some(0)),
                    ended_after: Some(sent.elapsed()),
                };
            }
            Ok(_) if status.is_none() => {
                status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
            }
            Ok(_) => {}
            Err(error) if is_timeout(&error) => {}
            Err(_) => {
                return CallerOutcome {
                    status: status.or(Some(0)),
                    ended_after: Some(sent.elapsed()),
                };
            }
        }
    }
    CallerOutcome {
        status,
        ended_after: None,
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock)
}

const SERVERS: usize = 2;
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long after the route's timeout a caller must have the end of its response.
const END_GRACE: Duration = Duration::from_millis(500);
/// For how long a caller waits for that end.
const MAX_CALL: Duration = Duration::from_millis(2500);
/// How long after the end of the call the box may still hold its server.
const LET_GO: Duration = Duration::from_millis(500);
const DISTURBED_AFTER: Duration = Duration::from_millis(100);
const SUSPENSION: Duration = Duration::from_millis(1500);
const MAX_RESTORE: Duration = Duration::from_secs(15);
/// More than a box buffers of a response.
const LONG_BYTES: usize = 2 << 20;
