//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A message as it was read: the words of its first line, its headers and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: Vec<String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read of it beyond the last message.
pub struct Wire {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn more(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16384];
        let length = self.stream.read(&mut bytes)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.more()?;
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.more()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads the head of a message, without its body.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let first = self.line()?;
        let mut message = Message {
            first: first.splitn(3, ' ').map(str::to_owned).collect(),
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                message.headers.insert(name, value.trim().to_owned());
            }
        }
    }

    /// Reads the body that belongs to a head.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.header("transfer-encoding").contains("chunked") {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.take(size)?;
                message.body.extend_from_slice(&chunk);
                self.line()?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = self.take(length)?;
        Ok(())
    }

    /// Reads a whole message.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message)?;
        Ok(message)
    }

    /// Writes an answer with its length.
    pub fn answer(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status} Status\r\n{headers}content-length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// Splits a target into its path and its query, decoded.
pub fn split_target(target: &str) -> (String, HashMap<String, String>) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    let fields = fields.map(|(name, value)| (name.to_owned(), decode(value)));
    (path.to_owned(), fields.collect())
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
