//! A fake backend server that ends when it starts to run a harmful request, and that can
//! be started again as a new instance.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, read_request};

/// A sequence of server instances. Each one ends at the first harmful request, and the
/// next one starts when the test asks for it.
#[derive(Clone)]
pub struct CrashingServer {
    shared: Arc<Shared>,
}

/// One instance of the server.
#[derive(Debug, Clone)]
pub struct ServerInstance {
    /// The address at which the instance listens.
    pub address: SocketAddr,
    /// Whether the instance has ended.
    pub ended: bool,
    /// The requests that arrived, with the time of each.
    pub arrivals: Vec<(Instant, Head)>,
}

struct Shared {
    /// Whether a request ends the instance that runs it.
    harms: fn(&Head) -> bool,
    /// How long a request runs.
    work: Duration,
    runs: Mutex<Vec<Running>>,
}

struct Running {
    record: ServerInstance,
    stop: Arc<AtomicBool>,
    streams: Vec<TcpStream>,
}

impl CrashingServer {
    /// Starts a server whose requests take `work`, and which ends as soon as it starts to
    /// run a request for which `harms` returns true.
    pub fn start(harms: fn(&Head) -> bool, work: Duration) -> Self {
        let shared = Shared {
            harms,
            work,
            runs: Mutex::default(),
        };
        let server = Self {
            shared: Arc::new(shared),
        };
        server.start_again();
        server
    }

    /// Starts the next instance at a new address, which is returned.
    pub fn start_again(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let address = listener.local_addr().expect("it is bound");
        listener
            .set_nonblocking(true)
            .expect("loopback sockets can be");
        let stop = Arc::new(AtomicBool::new(false));
        let running = Running {
            record: ServerInstance {
                address,
                ended: false,
                arrivals: Vec::new(),
            },
            stop: stop.clone(),
            streams: Vec::new(),
        };
        let number = {
            let mut runs = self.lock_runs();
            runs.push(running);
            runs.len() - 1
        };
        let server = self.clone();
        thread::spawn(move || server.accept(&listener, number, &stop));
        address
    }

    /// Returns the state of each instance, oldest first.
    pub fn runs(&self) -> Vec<ServerInstance> {
        self.lock_runs()
            .iter()
            .map(|run| run.record.clone())
            .collect()
    }

    /// Returns whether the newest instance has ended.
    pub fn has_ended(&self) -> bool {
        let runs = self.lock_runs();
        runs.last().is_none_or(|run| run.record.ended)
    }

    /// Ends the newest instance without a harmful request.
    pub fn end(&self) {
        let number = self.lock_runs().len() - 1;
        self.end_run(number);
    }

    fn accept(&self, listener: &TcpListener, number: usize, stop: &AtomicBool) {
        while !stop.load(Ordering::Acquire) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let kept = stream.try_clone().expect("descriptors are left");
            stream.set_nonblocking(false).expect("it is a socket");
            self.lock_runs()[number].streams.push(kept);
            let server = self.clone();
            thread::spawn(move || server.serve(stream, number));
        }
    }

    fn serve(&self, stream: TcpStream, number: usize) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_request(&mut reader) {
            let harms = (self.shared.harms)(&head);
            let id = head.headers.get("x-wingspur-request-id").cloned();
            {
                let mut runs = self.lock_runs();
                runs[number].record.arrivals.push((Instant::now(), head));
            }
            if harms {
                return self.end_run(number);
            }
            thread::sleep(self.shared.work);
            let id = id.unwrap_or_default();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-wingspur-request-id: {id}\r\n\
                 x-wingspur-server-stamp: stamp\r\ncontent-length: 4\r\n\r\nwell"
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Ends an instance. It closes the port before the connections, so that a peer that
    /// sees a connection close cannot connect again.
    fn end_run(&self, number: usize) {
        let (stop, address) = {
            let runs = self.lock_runs();
            (runs[number].stop.clone(), runs[number].record.address)
        };
        stop.store(true, Ordering::Release);
        while TcpStream::connect(address).is_ok() {
            thread::sleep(ACCEPT_INTERVAL);
        }
        let mut runs = self.lock_runs();
        let run = &mut runs[number];
        run.record.ended = true;
        for stream in run.streams.drain(..) {
            // Fails if the caller has already closed the connection.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn lock_runs(&self) -> MutexGuard<'_, Vec<Running>> {
        self.shared.runs.lock().expect("no holder panics")
    }
}

const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);
