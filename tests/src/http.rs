//! A minimal HTTP/1.1 implementation over blocking sockets, for fake servers and callers.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request.
#[derive(Debug, Clone)]
pub struct Head {
    /// The method.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The parameters of the query.
    pub query: BTreeMap<String, String>,
    /// The headers, names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

/// The response that a caller received.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status; 0 where the connection ended without a response.
    pub status: u16,
    /// The headers, names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the body is as long as the head announced.
    pub whole: bool,
}

/// Serves connections until the process ends. A connection closes when `serve` returns
/// false. Returns the address of the listener.
pub fn listen(
    serve: impl Fn(Head, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve_connection(stream, serve.as_ref()));
        }
    });
    address
}

/// Sends a request on a new connection and reads the response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Answer {
    try_call(to, method, path, headers, body).expect("the listener is up")
}

/// Does the same as [`call`], but returns `None` where nothing listens at the address.
pub fn try_call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Answer> {
    let mut stream = TcpStream::connect(to).ok()?;
    let limit = Some(Duration::from_secs(20));
    stream.set_read_timeout(limit).expect("it is a constant");
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let _ = stream.write_all(&[head.as_bytes(), body].concat());
    Some(read_answer(&mut BufReader::new(stream)))
}

fn serve_connection(
    stream: TcpStream,
    serve: &(impl Fn(Head, &mut TcpStream) -> bool + Send + Sync),
) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_request(&mut reader) {
        if !serve(head, &mut writer) {
            let _ = writer.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

/// Reads a request with its body. Returns `None` where the connection ends before the
/// request is complete.
pub fn read_request(reader: &mut impl BufRead) -> Option<Head> {
    let mut request = read_request_head(reader)?;
    request.body = read_body(reader, &request.headers)?;
    Some(request)
}

/// Reads a request up to its body. Returns `None` where the connection ends before that.
pub fn read_request_head(reader: &mut impl BufRead) -> Option<Head> {
    let (line, headers) = read_head(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?, words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Some(Head {
        method: method.to_owned(),
        path: path.to_owned(),
        query: query.split('&').filter_map(query_part).collect(),
        headers,
        body: Vec::new(),
    })
}

/// Reads a response from a connection that stays open. Returns `None` where the
/// connection ends before the response is complete.
pub fn read_keep_alive_response(reader: &mut impl BufRead) -> Option<Answer> {
    let (line, headers) = read_head(reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(reader, &headers)?;
    Some(Answer {
        status,
        headers,
        body,
        whole: true,
    })
}

/// Reads a body that has a length or is chunked; a message without either has an empty
/// body. Returns `None` where the connection ends before the body is complete.
pub fn read_body(
    reader: &mut impl BufRead,
    headers: &BTreeMap<String, String>,
) -> Option<Vec<u8>> {
    let coding = headers.get("transfer-encoding");
    if coding.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        return read_chunks(reader);
    }
    let length = headers.get("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_chunks(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let length = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let start = body.len();
        body.resize(start + length, 0);
        reader.read_exact(&mut body[start..]).ok()?;
        // The line break after the chunk, or the empty line after the last chunk.
        let mut end = [0; 2];
        reader.read_exact(&mut end).ok()?;
        if length == 0 {
            return Some(body);
        }
    }
}

fn read_answer(reader: &mut impl BufRead) -> Answer {
    let Some((line, headers)) = read_head(reader) else {
        return Answer {
            status: 0,
            headers: BTreeMap::new(),
            body: Vec::new(),
            whole: false,
        };
    };
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    let mut body = Vec::new();
    let read = reader.by_ref().take(MAX_KEPT_BYTES).read_to_end(&mut body);
    let beyond = read.and_then(|_| std::io::copy(reader, &mut std::io::sink()));
    let length = beyond.as_ref().map(|beyond| beyond + body.len() as u64);
    let announced: Option<u64> = headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    Answer {
        status: status.unwrap_or(0),
        whole: length.is_ok_and(|length| announced.is_none_or(|all| all == length)),
        headers,
        body,
    }
}

/// The most bytes of a body that are kept; what follows is read and discarded.
const MAX_KEPT_BYTES: u64 = 64 << 20;

fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Some((first.trim_end().to_owned(), headers));
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn query_part(part: &str) -> Option<(String, String)> {
    let (name, value) = part.split_once('=')?;
    Some((name.to_owned(), value.to_owned()))
}
