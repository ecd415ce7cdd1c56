//! Blocking HTTP/1.1 over TCP for the stand-ins: requests are read whole, answers are
//! written as the caller of these functions asks for.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn parameter(&self, name: &str) -> &str {
        find(&self.query, name)
    }
}

fn find<'a>(rows: &'a [(String, String)], name: &str) -> &'a str {
    rows.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
}

/// Accepts connections until the process ends; `serve` gets each whole request and says
/// whether the connection goes on.
pub fn listen(
    serve: impl Fn(Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    listen_until(Arc::new(AtomicBool::new(false)), serve)
}

/// Does the same until `ended` is set: then connections are refused, and those that are
/// open are closed.
pub fn listen_until(
    ended: Arc<AtomicBool>,
    serve: impl Fn(Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    listener.set_nonblocking(true).expect("a socket can be non-blocking");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        let mut open = Vec::new();
        while !ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            open.extend(stream.try_clone());
            let serve = serve.clone();
            std::thread::spawn(move || serve_connection(stream, serve.as_ref()));
        }
        drop(listener);
        for stream in open {
            let _ = stream.shutdown(Shutdown::Both);
        }
    });
    address
}

fn serve_connection(
    stream: TcpStream,
    serve: &(impl Fn(Request, &mut TcpStream) -> bool + Send + Sync),
) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if !serve(request, &mut writer) {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

fn line(reader: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    let length = reader.read_line(&mut text).ok()?;
    (length > 0 && text.ends_with('\n')).then(|| text.trim_end().to_owned())
}

fn headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            return Some(headers);
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").contains("chunked") {
        loop {
            let size = usize::from_str_radix(line(reader)?.trim(), 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            line(reader)?;
            if size == 0 {
                return Some(body);
            }
            body.extend(chunk);
        }
    }
    let length = find(headers, "content-length").parse().unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let first = line(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?, words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|part| {
        let (name, value) = part.split_once('=')?;
        Some((name.to_owned(), unescape(value)))
    });
    let query = query.collect();
    let headers = headers(reader)?;
    let body = body(reader, &headers)?;
    Some(Request {
        method: method.to_owned(),
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// The status of an answer that a client has read whole.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    pub status: u16,
}

/// Reads an answer; `Err` has the bytes that came where they are no whole answer.
pub fn read_answer(stream: &mut TcpStream) -> Result<Answer, Vec<u8>> {
    let mut seen = Vec::new();
    let mut reader = BufReader::new(Tap { stream, seen: &mut seen });
    let answer = try_read_answer(&mut reader);
    drop(reader);
    answer.ok_or(seen)
}

fn try_read_answer(reader: &mut impl BufRead) -> Option<Answer> {
    let first = line(reader)?;
    let mut words = first.split(' ');
    if words.next()? != "HTTP/1.1" {
        return None;
    }
    let status = words.next()?.parse().ok()?;
    let headers = headers(reader)?;
    body(reader, &headers)?;
    Some(Answer { status })
}

struct Tap<'a> {
    stream: &'a mut TcpStream,
    seen: &'a mut Vec<u8>,
}

impl Read for Tap<'_> {
    fn read(&mut self, space: &mut [u8]) -> std::io::Result<usize> {
        let length = self.stream.read(space)?;
        self.seen.extend_from_slice(&space[..length]);
        Ok(length)
    }
}

/// Opens a connection to a box as a client does.
pub fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    Ok(stream)
}

pub fn get(to: SocketAddr, path: &str) -> Option<Answer> {
    let mut stream = connect(to).ok()?;
    let head = format!("GET {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    read_answer(&mut stream).ok()
}
