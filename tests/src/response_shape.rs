//! Responses of every framing and length, whole, cut off or without an end.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// What a server sends in response to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseShape {
    /// Whether the server runs the request.
    pub runs: bool,
    /// What comes before the response.
    pub preamble: Preamble,
    /// The status.
    pub status: u16,
    /// The request id in the head.
    pub id: EchoedId,
    /// Whether the head states that the request did not run.
    pub is_marked: bool,
    /// How the end of the body is recognized.
    pub framing: Framing,
    /// The body.
    pub body: Body,
    /// Whether the head is sent one byte at a time.
    pub is_split: bool,
    /// The pause after each piece of what has no end.
    pub pause: Duration,
}

/// What a server sends before its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preamble {
    /// Nothing.
    None,
    /// A refusal with this id that belongs to no request in progress.
    SurplusRefusal(EchoedId),
    /// An interim response, which states that the request did not run.
    MarkedInterim,
    /// Header lines without end.
    EndlessHeaderLines,
    /// One header value without end.
    EndlessHeaderValue,
    /// Empty lines without end.
    EndlessEmptyLines,
    /// Interim responses without end.
    EndlessInterim,
    /// Complete responses to another request without end.
    EndlessSurplus,
    /// Bytes that are no HTTP, without end.
    EndlessGarbage,
}

/// The request id in the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EchoedId {
    /// The id of the request.
    Own,
    /// The id of another request.
    Other,
    /// No id.
    Missing,
}

/// How the end of a body is recognized.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By the last chunk; chunks of 16 KiB.
    Chunked,
    /// By the last chunk; chunks of one byte, each in a packet of its own.
    TinyChunks,
    /// By the end of the connection.
    UntilClose,
}

/// The body of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// Complete, with this many bytes.
    Whole(usize),
    /// The connection closes after this many bytes, before the body is complete.
    CutAfter(usize),
    /// Nothing more is sent after this many bytes, and the connection stays open.
    SilentAfter(usize),
    /// Bytes without end.
    Endless,
    /// After this many bytes, an extension of a chunk header without end.
    EndlessExtension(usize),
    /// After this many bytes, trailer lines without end.
    EndlessTrailers(usize),
}

impl ResponseShape {
    /// Creates a short response to the request that ran or, if it is marked, did not.
    pub fn new(status: u16, is_marked: bool) -> Self {
        Self {
            runs: !is_marked,
            preamble: Preamble::None,
            status,
            id: EchoedId::Own,
            is_marked,
            framing: Framing::Length,
            body: Body::Whole(8),
            is_split: false,
            pause: Duration::ZERO,
        }
    }

    /// Sends the response to the request with this id; `extra` are further header lines.
    /// Returns whether the connection stays open.
    pub fn send(self, id: &str, extra: &str, stream: &mut TcpStream) -> bool {
        let _ = stream.set_write_timeout(Some(MAX_ENDLESS));
        self.try_send(id, extra, stream).unwrap_or(false)
    }

    fn try_send(
        self,
        id: &str,
        extra: &str,
        stream: &mut TcpStream,
    ) -> std::io::Result<bool> {
        self.send_preamble(id, stream)?;
        let head = self.head(self.status, self.id, self.is_marked, id, extra);
        match self.is_split {
            true => send_bytewise(head.as_bytes(), stream)?,
            false => stream.write_all(head.as_bytes())?,
        }
        self.send_body(stream)
    }

    fn send_preamble(self, id: &str, stream: &mut TcpStream) -> std::io::Result<()> {
        match self.preamble {
            Preamble::None => Ok(()),
            Preamble::SurplusRefusal(surplus_id) => {
                let surplus = Self {
                    framing: Framing::Length,
                    body: Body::Whole(0),
                    ..self
                };
                let head = surplus.head(503, surplus_id, true, id, "");
                stream.write_all(head.as_bytes())
            }
            Preamble::MarkedInterim => {
                let head = format!(
                    "HTTP/1.1 103 Early Hints\r\nx-wingspur-request-id: {id}\r\n\
                     x-wingspur-not-executed: 1\r\n\r\n"
                );
                stream.write_all(head.as_bytes())
            }
            Preamble::EndlessHeaderLines => {
                stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\n")?;
                self.repeat(
                    b"x-filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
                    stream,
                )
            }
            Preamble::EndlessHeaderValue => {
                stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nx-filler: ")?;
                self.repeat(&[b'a'; 4096], stream)
            }
            Preamble::EndlessEmptyLines => self.repeat(b"\r\n", stream),
            Preamble::EndlessInterim => {
                self.repeat(b"HTTP/1.1 102 Processing\r\n\r\n", stream)
            }
            Preamble::EndlessSurplus => {
                let surplus = Self::new(503, true);
                let head = surplus.head(503, EchoedId::Other, true, id, "");
                let surplus = [head.as_bytes(), &[b'a'; 8]].concat();
                self.repeat(&surplus, stream)
            }
            Preamble::EndlessGarbage => self.repeat(&[1, 2, 3, b'\n'], stream),
        }
    }

    fn head(
        self,
        status: u16,
        echoed: EchoedId,
        is_marked: bool,
        id: &str,
        extra: &str,
    ) -> String {
        let id_line = match echoed {
            EchoedId::Own => format!("x-wingspur-request-id: {id}\r\n"),
            EchoedId::Other => "x-wingspur-request-id: of-another\r\n".to_owned(),
            EchoedId::Missing => String::new(),
        };
        let mark = match is_marked {
            true => "x-wingspur-not-executed: 1\r\n",
            false => "x-wingspur-server-stamp: stamp\r\n",
        };
        let framing = match (self.framing, self.body) {
            (Framing::Length, Body::Whole(length)) => {
                format!("content-length: {length}\r\n")
            }
            (Framing::Length, _) => format!("content-length: {}\r\n", 1u64 << 50),
            (Framing::Chunked | Framing::TinyChunks, _) => {
                "transfer-encoding: chunked\r\n".to_owned()
            }
            (Framing::UntilClose, _) => "connection: close\r\n".to_owned(),
        };
        format!("HTTP/1.1 {status} Status\r\n{id_line}{mark}{extra}{framing}\r\n")
    }

    fn send_body(self, stream: &mut TcpStream) -> std::io::Result<bool> {
        let is_chunked = matches!(self.framing, Framing::Chunked | Framing::TinyChunks);
        match self.body {
            Body::Whole(length) => {
                self.send_part(length, stream)?;
                if is_chunked {
                    stream.write_all(b"0\r\n\r\n")?;
                }
                Ok(self.framing != Framing::UntilClose)
            }
            Body::CutAfter(length) => {
                self.send_part(length, stream)?;
                Ok(false)
            }
            Body::SilentAfter(length) => {
                self.send_part(length, stream)?;
                wait_for_close(stream);
                Ok(false)
            }
            Body::Endless => {
                let until = Instant::now() + MAX_ENDLESS;
                while Instant::now() < until {
                    self.send_part(1, stream)?;
                    let bulk = usize::from(self.framing != Framing::TinyChunks);
                    self.send_part(bulk * PIECE_BYTES, stream)?;
                    std::thread::sleep(self.pause);
                }
                Ok(false)
            }
            Body::EndlessExtension(length) => {
                self.send_part(length, stream)?;
                stream.write_all(b"5;ext=")?;
                self.repeat(&[b'a'; 512], stream)?;
                Ok(false)
            }
            Body::EndlessTrailers(length) => {
                self.send_part(length, stream)?;
                stream.write_all(b"0\r\n")?;
                self.repeat(b"x-trailer: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n", stream)?;
                Ok(false)
            }
        }
    }

    /// Sends `length` bytes of the body in its framing.
    fn send_part(self, length: usize, stream: &mut TcpStream) -> std::io::Result<()> {
        let mut rest = length;
        while rest > 0 {
            let piece = rest.min(match self.framing {
                Framing::TinyChunks => 1,
                _ => PIECE_BYTES,
            });
            let bytes: Vec<u8> = (length - rest..length - rest + piece)
                .map(|at| OWN_BODY[at % OWN_BODY.len()])
                .collect();
            match self.framing {
                Framing::Length | Framing::UntilClose => stream.write_all(&bytes)?,
                Framing::Chunked | Framing::TinyChunks => {
                    let size = format!("{piece:x}\r\n").into_bytes();
                    stream.write_all(&[&size, bytes.as_slice(), b"\r\n"].concat())?;
                }
            }
            rest -= piece;
        }
        Ok(())
    }

    /// Writes the same bytes until the peer closes the connection, or for
    /// [`MAX_ENDLESS`].
    fn repeat(self, bytes: &[u8], stream: &mut TcpStream) -> std::io::Result<()> {
        let block = bytes.repeat(1 + PIECE_BYTES / bytes.len());
        let until = Instant::now() + MAX_ENDLESS;
        while Instant::now() < until {
            stream.write_all(&block)?;
            std::thread::sleep(self.pause);
        }
        Err(std::io::ErrorKind::TimedOut.into())
    }
}

fn send_bytewise(bytes: &[u8], stream: &mut TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    for byte in bytes {
        stream.write_all(&[*byte])?;
        std::thread::yield_now();
    }
    Ok(())
}

/// Waits until the peer closes the connection, at most for [`MAX_ENDLESS`].
fn wait_for_close(stream: &mut TcpStream) {
    let _ = stream.set_read_timeout(Some(MAX_ENDLESS));
    let _ = stream.read(&mut [0]);
}

/// The longest time for which something without end is sent.
const MAX_ENDLESS: Duration = Duration::from_secs(60);
const PIECE_BYTES: usize = 16 << 10;
/// Repeated in each body; a body of this length is what callers of a fake server expect.
const OWN_BODY: &[u8] = b"own body";
