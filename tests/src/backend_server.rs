//! A fake backend server on loopback whose reply to each request is set by the test.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Head, listen};
use crate::response_shape::ResponseShape;

/// A fake backend server.
pub struct BackendServer {
    /// The address at which the server listens.
    pub address: SocketAddr,
    ran: Arc<Mutex<Vec<String>>>,
    heads: Arc<Mutex<Vec<(Instant, Head)>>>,
    /// Header lines for all responses.
    extra_headers: Arc<Mutex<String>>,
    /// Number of responses that are being sent.
    responding: Arc<AtomicUsize>,
}

/// How the server handles a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The request runs, and the response is complete.
    Complete,
    /// The request runs, and the response is an error 500.
    Error,
    /// The request is refused before it runs, with the header that states so.
    Refused,
    /// The same at the deadline that the server was given, and it runs at that moment.
    RefusedAtDeadline,
    /// The same after it has waited for this long, and it runs at that moment.
    RefusedAfter(Duration),
    /// The request is refused with 503 without that header, so it may have run.
    Unmarked,
    /// The request is refused with 421, as for another instance of the server.
    Misdirected,
    /// The request runs, and the connection closes without a response.
    Close,
    /// The request runs, and the connection closes within the response body.
    Truncated,
    /// The request runs, and the bytes sent are not a response.
    Garbage,
    /// The request runs, and the successful response lacks the server's stamp.
    NoStamp,
    /// The request runs, and a response to another request comes before its own.
    SurplusFirst,
    /// The request runs, and a response to another request follows its own.
    SurplusAfter,
    /// The request runs, and no response is sent.
    Silent,
    /// The response has this shape.
    Shaped(ResponseShape),
}

impl Reply {
    /// Whether the server runs the request.
    pub fn runs(self) -> bool {
        match self {
            Self::Refused | Self::Misdirected => false,
            Self::Shaped(shape) => shape.runs,
            _ => true,
        }
    }
}

impl BackendServer {
    /// Starts a server; `reply` returns how to handle each request, by its number from 0.
    pub fn start(reply: impl Fn(usize) -> Reply + Send + Sync + 'static) -> Self {
        let ran = Arc::new(Mutex::new(Vec::new()));
        let heads = Arc::new(Mutex::new(Vec::new()));
        let extra_headers = Arc::new(Mutex::new(String::new()));
        let (served_ran, served_heads) = (ran.clone(), heads.clone());
        let served_headers = extra_headers.clone();
        let responding = Arc::new(AtomicUsize::new(0));
        let served_responding = responding.clone();
        let address = listen(move |head, stream| {
            let mut heads = served_heads.lock().expect("no holder panics");
            let reply = reply(heads.len());
            heads.push((Instant::now(), head.clone()));
            drop(heads);
            if reply.runs() {
                let id = head.headers.get("x-wingspur-request-id").cloned();
                let mut ran = served_ran.lock().expect("no holder panics");
                ran.push(id.unwrap_or_default());
            }
            let extra = served_headers.lock().expect("no holder panics").clone();
            served_responding.fetch_add(1, Ordering::AcqRel);
            let stays_open = answer(reply, &head, &extra, stream);
            served_responding.fetch_sub(1, Ordering::AcqRel);
            stays_open
        });
        Self {
            address,
            ran,
            heads,
            extra_headers,
            responding,
        }
    }

    /// Adds header lines to all responses from now on, each with its line break. They
    /// replace those of an earlier call.
    pub fn set_headers(&self, lines: &str) {
        *self.extra_headers.lock().expect("no holder panics") = lines.to_owned();
    }

    /// Returns the number of responses that are being sent.
    pub fn responding(&self) -> usize {
        self.responding.load(Ordering::Acquire)
    }

    /// Returns the ids of the requests that ran, in order.
    pub fn executed_ids(&self) -> Vec<String> {
        self.ran.lock().expect("no holder panics").clone()
    }

    /// Returns the requests that arrived, in order.
    pub fn heads(&self) -> Vec<Head> {
        let heads = self.heads.lock().expect("no holder panics");
        heads.iter().map(|(_, head)| head.clone()).collect()
    }

    /// Returns the time of arrival and the id of each request, in order.
    pub fn arrivals(&self) -> Vec<(Instant, String)> {
        let heads = self.heads.lock().expect("no holder panics");
        let id_of = |head: &Head| head.headers.get("x-wingspur-request-id").cloned();
        let named = heads
            .iter()
            .map(|(at, head)| (*at, id_of(head).unwrap_or_default()));
        named.collect()
    }
}

/// Writes the response to a request. Returns whether the connection stays open.
fn answer(reply: Reply, head: &Head, extra: &str, stream: &mut TcpStream) -> bool {
    let id = head.headers.get("x-wingspur-request-id");
    let id = id.map_or("", String::as_str);
    let own = complete_response(id, "200 OK", extra, "own body");
    let foreign = complete_response("of-another", "200 OK", extra, "not yours");
    match reply {
        Reply::Complete => write(stream, &own),
        Reply::Error => write(
            stream,
            &complete_response(id, "500 Internal Server Error", extra, "failed"),
        ),
        Reply::Refused | Reply::RefusedAtDeadline | Reply::RefusedAfter(_) => {
            std::thread::sleep(match reply {
                Reply::RefusedAtDeadline => time_given(head),
                Reply::RefusedAfter(wait) => wait,
                _ => Duration::ZERO,
            });
            let mark = format!("x-wingspur-not-executed: 1\r\n{extra}");
            write(
                stream,
                &empty_response(id, "503 Service Unavailable", &mark),
            )
        }
        Reply::Unmarked => write(
            stream,
            &empty_response(id, "503 Service Unavailable", extra),
        ),
        Reply::Misdirected => write(
            stream,
            &empty_response(id, "421 Misdirected Request", extra),
        ),
        Reply::Close => false,
        Reply::Truncated => {
            write(stream, &own[..own.len() - 3]);
            false
        }
        Reply::Garbage => {
            write(stream, "\u{1}\u{2} no protocol at all\r\n\r\n");
            false
        }
        Reply::NoStamp => write(stream, &empty_response(id, "200 OK", extra)),
        Reply::SurplusFirst => write(stream, &format!("{foreign}{own}")),
        Reply::SurplusAfter => write(stream, &format!("{own}{foreign}")),
        Reply::Silent => {
            std::thread::sleep(Duration::from_secs(30));
            false
        }
        Reply::Shaped(shape) => shape.send(id, extra, stream),
    }
}

/// Returns the time that the server is given for a request.
fn time_given(head: &Head) -> Duration {
    let text = head.headers.get("x-wingspur-request-deadline-ms");
    let timeout_ms = text.and_then(|text| text.parse().ok());
    timeout_ms.map_or(Duration::ZERO, Duration::from_millis)
}

/// Returns a complete response with the server's stamp.
fn complete_response(id: &str, status: &str, extra: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-wingspur-request-id: {id}\r\n\
         x-wingspur-server-stamp: stamp\r\n{extra}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a response without a stamp or a body.
fn empty_response(id: &str, status: &str, header: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-wingspur-request-id: {id}\r\n{header}content-length: 0\r\n\r\n"
    )
}

fn write(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}
