//! A backend server on loopback that does what each request is told to meet.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Head, listen};

/// A backend server.
pub struct BackendServer {
    /// Where it listens.
    pub address: SocketAddr,
    ran: Arc<Mutex<Vec<String>>>,
    heads: Arc<Mutex<Vec<(Instant, Head)>>>,
    says: Arc<Mutex<String>>,
}

/// What a request meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// It runs, and the answer is whole.
    Whole,
    /// It runs, and the server says that it failed.
    Error,
    /// It is refused before it runs, with the mark that says so.
    Shed,
    /// It is refused by 503 without the mark: it may have run.
    Unmarked,
    /// It is for another incarnation.
    Misdirected,
    /// It runs, and the connection closes without an answer.
    Close,
    /// It runs, and the answer breaks off in its body.
    Cut,
    /// It runs, and the bytes are no answer.
    Garbage,
    /// It runs, and the success lacks the server's stamp.
    NoStamp,
    /// It runs, and an answer to another request comes before its own.
    SurplusFirst,
    /// It runs, and an answer to another request follows its own.
    SurplusAfter,
    /// It runs, and never answers.
    Silent,
}

impl BackendServer {
    /// Starts a server; `reply` says what each request meets, by its number from 0.
    pub fn start(reply: impl Fn(usize) -> Reply + Send + Sync + 'static) -> Self {
        let ran = Arc::new(Mutex::new(Vec::new()));
        let heads = Arc::new(Mutex::new(Vec::new()));
        let says = Arc::new(Mutex::new(String::new()));
        let (ran_here, heads_here) = (ran.clone(), heads.clone());
        let says_here = says.clone();
        let address = listen(move |head, stream| {
            let mut heads = heads_here.lock().expect("no holder panics");
            let reply = reply(heads.len());
            heads.push((Instant::now(), head.clone()));
            drop(heads);
            if !matches!(reply, Reply::Shed | Reply::Misdirected) {
                let id = head.headers.get("x-wingspur-request-id").cloned();
                let mut ran = ran_here.lock().expect("no holder panics");
                ran.push(id.unwrap_or_default());
            }
            let said = says_here.lock().expect("no holder panics").clone();
            answer(reply, &head, &said, stream)
        });
        Self {
            address,
            ran,
            heads,
            says,
        }
    }

    /// Puts header lines into all answers from now on, each with its line break.
    pub fn say(&self, lines: &str) {
        *self.says.lock().expect("no holder panics") = lines.to_owned();
    }

    /// The ids of the requests that ran, in order.
    pub fn ran(&self) -> Vec<String> {
        self.ran.lock().expect("no holder panics").clone()
    }

    /// The requests that arrived, in order.
    pub fn heads(&self) -> Vec<Head> {
        let heads = self.heads.lock().expect("no holder panics");
        heads.iter().map(|(_, head)| head.clone()).collect()
    }

    /// When each request arrived, with its id, in order.
    pub fn arrivals(&self) -> Vec<(Instant, String)> {
        let heads = self.heads.lock().expect("no holder panics");
        let id_of = |head: &Head| head.headers.get("x-wingspur-request-id").cloned();
        let named = heads
            .iter()
            .map(|(at, head)| (*at, id_of(head).unwrap_or_default()));
        named.collect()
    }
}

/// Writes what a request meets; whether the connection stays.
fn answer(reply: Reply, head: &Head, said: &str, stream: &mut TcpStream) -> bool {
    let id = head.headers.get("x-wingspur-request-id");
    let id = id.map_or("", String::as_str);
    let own = whole(id, "200 OK", said, "own body");
    let foreign = whole("of-another", "200 OK", said, "not yours");
    match reply {
        Reply::Whole => write(stream, &own),
        Reply::Error => write(
            stream,
            &whole(id, "500 Internal Server Error", said, "failed"),
        ),
        Reply::Shed => {
            let mark = format!("x-wingspur-not-executed: 1\r\n{said}");
            write(stream, &plain(id, "503 Service Unavailable", &mark))
        }
        Reply::Unmarked => write(stream, &plain(id, "503 Service Unavailable", said)),
        Reply::Misdirected => write(stream, &plain(id, "421 Misdirected Request", said)),
        Reply::Close => false,
        Reply::Cut => {
            write(stream, &own[..own.len() - 3]);
            false
        }
        Reply::Garbage => {
            write(stream, "\u{1}\u{2} no protocol at all\r\n\r\n");
            false
        }
        Reply::NoStamp => write(stream, &plain(id, "200 OK", said)),
        Reply::SurplusFirst => write(stream, &format!("{foreign}{own}")),
        Reply::SurplusAfter => write(stream, &format!("{own}{foreign}")),
        Reply::Silent => {
            std::thread::sleep(Duration::from_secs(30));
            false
        }
    }
}

/// An answer with the server's stamp.
fn whole(id: &str, status: &str, said: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-wingspur-request-id: {id}\r\n\
         x-wingspur-server-stamp: stamp\r\n{said}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// An answer without a stamp or a body.
fn plain(id: &str, status: &str, header: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-wingspur-request-id: {id}\r\n{header}content-length: 0\r\n\r\n"
    )
}

fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}
