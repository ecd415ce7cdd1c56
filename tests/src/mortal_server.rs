//! Backend servers that end when they begin to run a certain request, and come back as new.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, read_request};

/// A place at which one server runs after the other: each ends by the first request that
/// does it harm, and the next one starts when it is told to.
#[derive(Clone)]
pub struct MortalServer {
    shared: Arc<Shared>,
}

/// One run of the server.
#[derive(Debug, Clone)]
pub struct ServerRun {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it has ended.
    pub ended: bool,
    /// What arrived, with when.
    pub arrivals: Vec<(Instant, Head)>,
}

struct Shared {
    harms: fn(&Head) -> bool,
    /// How long a run of a request takes.
    work: Duration,
    runs: Mutex<Vec<Running>>,
}

struct Running {
    told: ServerRun,
    stop: Arc<AtomicBool>,
    streams: Vec<TcpStream>,
}

impl MortalServer {
    /// Starts a server whose requests take `work`, and which ends as soon as it begins to
    /// run a request that `harms` it.
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

    /// Starts the next run at an address of its own; returns it.
    pub fn start_again(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let address = listener.local_addr().expect("it is bound");
        listener
            .set_nonblocking(true)
            .expect("loopback sockets can be");
        let stop = Arc::new(AtomicBool::new(false));
        let running = Running {
            told: ServerRun {
                address,
                ended: false,
                arrivals: Vec::new(),
            },
            stop: stop.clone(),
            streams: Vec::new(),
        };
        let number = {
            let mut runs = self.runs_now();
            runs.push(running);
            runs.len() - 1
        };
        let server = self.clone();
        thread::spawn(move || server.accept(&listener, number, &stop));
        address
    }

    /// What became of each run, the first first.
    pub fn runs(&self) -> Vec<ServerRun> {
        self.runs_now().iter().map(|run| run.told.clone()).collect()
    }

    /// Whether the last run has ended.
    pub fn has_ended(&self) -> bool {
        let runs = self.runs_now();
        runs.last().is_none_or(|run| run.told.ended)
    }

    /// Ends the last run for a reason of its own.
    pub fn end(&self) {
        let number = self.runs_now().len() - 1;
        self.end_run(number);
    }

    fn accept(&self, listener: &TcpListener, number: usize, stop: &AtomicBool) {
        while !stop.load(Ordering::Acquire) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_EVERY);
                continue;
            };
            let kept = stream.try_clone().expect("descriptors are left");
            stream.set_nonblocking(false).expect("it is a socket");
            self.runs_now()[number].streams.push(kept);
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
                let mut runs = self.runs_now();
                runs[number].told.arrivals.push((Instant::now(), head));
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

    /// Closes the port first, so that nobody who sees a connection break off finds it open.
    fn end_run(&self, number: usize) {
        let (stop, address) = {
            let runs = self.runs_now();
            (runs[number].stop.clone(), runs[number].told.address)
        };
        stop.store(true, Ordering::Release);
        while TcpStream::connect(address).is_ok() {
            thread::sleep(ACCEPT_EVERY);
        }
        let mut runs = self.runs_now();
        let run = &mut runs[number];
        run.told.ended = true;
        for stream in run.streams.drain(..) {
            // One that its caller has closed is closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn runs_now(&self) -> MutexGuard<'_, Vec<Running>> {
        self.shared.runs.lock().expect("no holder panics")
    }
}

const ACCEPT_EVERY: Duration = Duration::from_millis(1);
