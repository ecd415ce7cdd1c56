//! A backend server: works on some requests at once, queues a few more, and answers with
//! its stamp.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::Wire;

/// A request that a server has begun to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub server: String,
    pub request: String,
    /// Whether its whole answer was sent.
    pub answered: bool,
}

/// What all servers have run, in order.
pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    work: Duration,
    slots: usize,
    runs: Runs,
    running: Arc<AtomicUsize>,
    is_leaving: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(id: &str, slots: usize, work: Duration, runs: &Runs) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("it is bound"),
            work,
            slots,
            runs: runs.clone(),
            running: Arc::default(),
            is_leaving: Arc::default(),
            has_ended: Arc::default(),
            streams: Arc::default(),
        };
        let served = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(clone) = stream.try_clone() {
                    served.streams.lock().unwrap().push(clone);
                }
                let server = served.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// From now on all answers say that the server leaves.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends the server: its port is closed and its connections break off.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the listener, so that it is dropped.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(message) = wire.read() {
            let id = message.header("x-wingspur-request-id").to_owned();
            let leaving = match self.is_leaving.load(Ordering::SeqCst) {
                true => "server-leaving: 1\r\n",
                false => "",
            };
            let running = self.running.fetch_add(1, Ordering::SeqCst);
            let load = format!(
                "x-wingspur-request-id: {id}\r\nx-wingspur-server-load: {running},0,{}\r\n{leaving}",
                self.slots
            );
            let expected = message.header("x-wingspur-expected-instance");
            let sent = if !expected.is_empty() && expected != self.id {
                wire.answer(421, &load, b"")
            } else if running >= self.slots {
                let refused = format!("{load}x-wingspur-not-executed: 1\r\n");
                wire.answer(503, &refused, b"")
            } else {
                let place = {
                    let mut runs = self.runs.lock().unwrap();
                    runs.push(Run {
                        at: Instant::now(),
                        server: self.id.clone(),
                        request: id.clone(),
                        answered: false,
                    });
                    runs.len() - 1
                };
                std::thread::sleep(self.work);
                let stamp = format!("{load}x-wingspur-server-stamp: s-{}\r\n", self.id);
                let sent = match self.has_ended.load(Ordering::SeqCst) {
                    true => Err(std::io::ErrorKind::BrokenPipe.into()),
                    false => wire.answer(200, &stamp, b"done"),
                };
                self.runs.lock().unwrap()[place].answered = sent.is_ok();
                sent
            };
            self.running.fetch_sub(1, Ordering::SeqCst);
            if sent.is_err() {
                return;
            }
        }
    }
}
