//! A TCP proxy in front of a backend server that holds bytes back, delays them or resets
//! connections, and can lead to another server later.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::planned::spawn;

/// A network path to a backend server.
#[derive(Clone)]
pub struct Path {
    /// The address that boxes connect to.
    pub address: SocketAddr,
    shared: Arc<Mutex<PathState>>,
}

/// What the path does to some of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PathFault {
    /// Nothing.
    None,
    /// Bytes to the server are held back and delivered when the fault ends, even if the
    /// box has closed the connection by then.
    HoldRequests,
    /// Bytes from the server are held back.
    HoldResponses,
    /// Bytes are held back in both directions.
    Hold,
    /// Some blocks of bytes come late, as after lost packets.
    Lossy,
    /// The box's connection is reset once the server has received some of a request.
    ResetAfterRequest,
    /// The box's connection is reset as soon as it is open, as by a server with too many.
    ResetOpening,
    /// All connections are reset and new ones too, as by a server that has crashed.
    Down,
}

#[derive(Debug)]
struct PathState {
    target: SocketAddr,
    fault: PathFault,
    /// Share of the connections that the fault affects.
    share: f64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToBox,
}

/// One connection through the path.
struct Relayed {
    path: Arc<Mutex<PathState>>,
    /// Position of the connection among all, to decide whether a fault affects it.
    draw: f64,
    is_reset: AtomicBool,
    near: TcpStream,
    far: TcpStream,
}

impl Path {
    /// Starts a path to a server.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let address = listener.local_addr().expect("the listener is bound");
        let shared = Arc::new(Mutex::new(PathState {
            target,
            fault: PathFault::None,
            share: 0.0,
        }));
        let path = shared.clone();
        spawn(move || {
            for near in listener.incoming().flatten() {
                let path = path.clone();
                spawn(move || relay(path, near));
            }
        });
        Self { address, shared }
    }

    /// Begins a fault that affects a share of the connections, open ones included.
    pub fn set_fault(&self, fault: PathFault, share: f64) {
        let mut state = self.shared.lock().expect("no holder panics");
        (state.fault, state.share) = (fault, share);
    }

    /// Makes new connections lead to another server.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.lock().expect("no holder panics").target = target;
    }
}

fn relay(path: Arc<Mutex<PathState>>, near: TcpStream) {
    let draw = rand::rng().random_range(0.0..1.0);
    let target = path.lock().expect("no holder panics").target;
    if matches!(
        fault_of(&path, draw),
        PathFault::ResetOpening | PathFault::Down
    ) {
        return reset(&near);
    }
    let Ok(far) = TcpStream::connect(target) else {
        return reset(&near);
    };
    for stream in [&near, &far] {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(CHECK_INTERVAL));
    }
    let relayed = Arc::new(Relayed {
        path,
        draw,
        is_reset: AtomicBool::new(false),
        near,
        far,
    });
    let to_box = relayed.clone();
    spawn(move || to_box.pump(Direction::ToBox));
    relayed.pump(Direction::ToServer);
}

impl Relayed {
    fn pump(&self, direction: Direction) {
        let (mut from, mut to) = match direction {
            Direction::ToServer => (&self.near, &self.far),
            Direction::ToBox => (&self.far, &self.near),
        };
        let mut buffer = [0; BLOCK_BYTES];
        loop {
            let length = match from.read(&mut buffer) {
                Ok(length) => length,
                // A pause of the process interrupts a read with a timeout.
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::WouldBlock | ErrorKind::Interrupted
                    ) =>
                {
                    if self.is_over() {
                        return;
                    }
                    continue;
                }
                // A reset by one side reaches the other side after what was sent before.
                Err(_) => 0,
            };
            self.delay(direction);
            if self.is_over() {
                return;
            }
            if length == 0 {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            if to.write_all(&buffer[..length]).is_err() {
                return reset(from);
            }
            let resets = fault_of(&self.path, self.draw) == PathFault::ResetAfterRequest;
            if direction == Direction::ToServer && resets {
                std::thread::sleep(short_delay());
                self.is_reset.store(true, Ordering::Release);
                return reset(&self.near);
            }
        }
    }

    /// Waits for as long as the fault holds bytes back.
    fn delay(&self, direction: Direction) {
        let is_lossy = fault_of(&self.path, self.draw) == PathFault::Lossy;
        if is_lossy && rand::rng().random_bool(LOSS_SHARE) {
            std::thread::sleep(RETRANSMISSION_DELAY);
        }
        let until = Instant::now() + LONGEST_HOLD;
        while Instant::now() < until {
            let is_held = match fault_of(&self.path, self.draw) {
                PathFault::Hold => true,
                PathFault::HoldRequests => direction == Direction::ToServer,
                PathFault::HoldResponses => direction == Direction::ToBox,
                _ => false,
            };
            if !is_held {
                return;
            }
            std::thread::sleep(HOLD_CHECK_INTERVAL);
        }
    }

    /// Whether the connection was reset; resets it if the server is down.
    fn is_over(&self) -> bool {
        if fault_of(&self.path, self.draw) == PathFault::Down {
            self.is_reset.store(true, Ordering::Release);
            reset(&self.near);
            reset(&self.far);
        }
        self.is_reset.load(Ordering::Acquire)
    }
}

fn fault_of(path: &Mutex<PathState>, draw: f64) -> PathFault {
    let state = path.lock().expect("no holder panics");
    match draw < state.share {
        true => state.fault,
        false => PathFault::None,
    }
}

/// Resets a connection: its other side gets an error instead of an end.
pub fn reset(stream: &TcpStream) {
    // Disconnecting sends a reset at once, also while other threads use the stream.
    let _ = rustix::net::connect_unspec(stream);
    let _ = stream.shutdown(Shutdown::Both);
}

fn short_delay() -> Duration {
    Duration::from_millis(rand::rng().random_range(0..30))
}

const BLOCK_BYTES: usize = 16 << 10;
/// How soon a connection without traffic notices that it was reset.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
const HOLD_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const LONGEST_HOLD: Duration = Duration::from_secs(20);
const LOSS_SHARE: f64 = 0.3;
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(220);
