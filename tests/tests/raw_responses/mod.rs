//! Responses byte by byte, whole and spoiled.
#![allow(dead_code, reason = "each suite uses a part")]

/// A response as its server sends it. `{own}` stands for the lines with the request's id
/// and the server's stamp.
pub struct Response {
    /// The status line and the fields, with the empty line.
    pub head: &'static str,
    /// What the server sends after the head.
    pub after_head: &'static str,
    /// What it does then.
    pub end: End,
}

/// What the server does after its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It waits for the next request.
    StaysOpen,
    /// It closes the connection.
    Closes,
}

/// Returns a response on a connection that stays open.
pub const fn open(head: &'static str, after_head: &'static str) -> Response {
    Response {
        head,
        after_head,
        end: End::StaysOpen,
    }
}

/// Returns a response that ends with its connection.
pub const fn closing(head: &'static str, after_head: &'static str) -> Response {
    Response {
        head,
        after_head,
        end: End::Closes,
    }
}

/// What servers send in this test, whole or spoiled.
pub const BODY: &str = "the answer of this server!!";
pub const CHUNKED: &str = "1b\r\nthe answer of this server!!\r\n0\r\n\r\n";

/// Heads that no HTTP/1.1 response has.
pub const UNREADABLE_HEADS: &[Response] = &[
    open("HTTP/1.1 000 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.1 099 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.1 20 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.1 2x0 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.1 2000 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/9.9 200 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTQ/1.1 200 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open(
        "HTTP/1.1 200 O\u{1}K\r\n{own}content-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}x a: b\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}x-a : b\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}x\t-a: b\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}x\u{1}a: b\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}x\u{7f}a: b\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}x-a: b\u{0}\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}x-a: b\u{1f}\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    closing("HTTP/1.1 200 OK\r\n{own}content length: 27\r\n\r\n", BODY),
    closing("HTTP/1.1 200 OK\r\n{own}content-length : 27\r\n\r\n", BODY),
    closing(
        "HTTP/1.1 200 OK\r\n{own}content-l\u{1}ngth: 27\r\n\r\n",
        BODY,
    ),
    closing(
        "HTTP/1.1 200 OK\r\n{own}content\u{0}length: 27\r\n\r\n",
        BODY,
    ),
    closing(
        "HTTP/1.1 200 OK\r\n{own}transfer encoding: chunked\r\n\r\n",
        CHUNKED,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}no field\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}: nameless\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}x-a: b\r\n folded\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    closing("HTTP/1.1 200 OK\r\n{own}content-length 27\r\n\r\n", BODY),
];

/// A length or an encoding of the body that is invalid or contradicts another one.
pub const UNREADABLE_LENGTHS: &[Response] = &[
    open("HTTP/1.1 200 OK\r\n{own}content-length: \r\n\r\n", BODY),
    open("HTTP/1.1 200 OK\r\n{own}content-length: 2x\r\n\r\n", BODY),
    open("HTTP/1.1 200 OK\r\n{own}content-length: 2 7\r\n\r\n", BODY),
    open("HTTP/1.1 200 OK\r\n{own}content-length: -27\r\n\r\n", BODY),
    open("HTTP/1.1 200 OK\r\n{own}content-length: 0x1b\r\n\r\n", BODY),
    open("HTTP/1.1 200 OK\r\n{own}content-length: 27.0\r\n\r\n", BODY),
    open(
        "HTTP/1.1 200 OK\r\n{own}content-length: 27, 7\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}content-length: 36893488147419103259\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}content-length: 27\r\ncontent-length: 7\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: gzip\r\n\r\n",
        CHUNKED,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunkee\r\n\r\n",
        CHUNKED,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: \r\n\r\n",
        CHUNKED,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\ncontent-length: 27\r\n\r\n",
        CHUNKED,
    ),
];

/// Responses that end before their bodies do.
pub const CUT_BODIES: &[Response] = &[
    closing("HTTP/1.1 200 OK\r\n{own}content-length: 28\r\n\r\n", BODY),
    closing("HTTP/1.1 200 OK\r\n{own}content-length: 27\r\n\r\n", ""),
    closing(CHUNKED_HEAD, ""),
    closing(CHUNKED_HEAD, "1b\r\nthe answer"),
    closing(CHUNKED_HEAD, "1b\r\nthe answer of this server!!"),
    closing(CHUNKED_HEAD, "1b\r\nthe answer of this server!!\r\n"),
    closing(CHUNKED_HEAD, "1b\r\nthe answer of this server!!\r\n0\r\n"),
    closing(
        CHUNKED_HEAD,
        "1c\r\nthe answer of this server!!\r\n0\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "1a\r\nthe answer of this server!!\r\n0\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "x\r\nthe answer of this server!!\r\n0\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "+1b\r\nthe answer of this server!!\r\n0\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "0x1b\r\nthe answer of this server!!\r\n0\r\n\r\n",
    ),
];

pub const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n";

/// A length with a sign, alone or beside the same one without it.
pub const SIGNED_LENGTHS: &[Response] = &[
    open("HTTP/1.1 200 OK\r\n{own}content-length: +27\r\n\r\n", BODY),
    open("HTTP/1.1 200 OK\r\n{own}content-length: +027\r\n\r\n", BODY),
    open(
        "HTTP/1.1 200 OK\r\n{own}content-length: 27\r\ncontent-length: +27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}content-length: +27\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
];

/// Codings that were not asked for, `chunked` twice, or where HTTP/1.0 has no codings.
pub const CODINGS: &[Response] = &[
    open(
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked, gzip\r\n\r\n",
        CHUNKED,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: gzip, chunked\r\n\r\n",
        CHUNKED,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked, chunked\r\n\r\n",
        CHUNKED,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked,\r\n\r\n",
        CHUNKED,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: gzip\r\n\
         transfer-encoding: chunked\r\n\r\n",
        CHUNKED,
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\
         transfer-encoding: chunked\r\n\r\n",
        CHUNKED,
    ),
    open(
        "HTTP/1.0 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n",
        CHUNKED,
    ),
];

/// Statuses beyond those of HTTP.
pub const STATUSES: &[Response] = &[
    open("HTTP/1.1 600 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.1 700 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.1 999 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
];

/// A chunk header without a size.
pub const SIZELESS_CHUNKS: &[Response] = &[
    open(CHUNKED_HEAD, "\r\nthe answer of this server!!\r\n0\r\n\r\n"),
    open(CHUNKED_HEAD, "\r\n\r\n"),
    open(CHUNKED_HEAD, " \r\n\r\n"),
    open(CHUNKED_HEAD, ";a=b\r\n\r\n"),
    open(
        CHUNKED_HEAD,
        "1b\r\nthe answer of this server!!\r\n\r\n\r\n",
    ),
];

/// Trailers with a line that is no field.
pub const TRAILERS: &[Response] = &[
    open(
        CHUNKED_HEAD,
        "1b\r\nthe answer of this server!!\r\n0\r\nno field\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "1b\r\nthe answer of this server!!\r\n0\r\nx a: b\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "1b\r\nthe answer of this server!!\r\n0\r\nx-a : b\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "1b\r\nthe answer of this server!!\r\n0\r\n: b\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "1b\r\nthe answer of this server!!\r\n0\r\nx\u{1}: b\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "1b\r\nthe answer of this server!!\r\n0\r\nx-a: \u{0}\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "1b\r\nthe answer of this server!!\r\n0\r\nx-a: b\nc\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "1b\r\nthe answer of this server!!\r\n0\r\n x-a: b\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "0\r\nthe answer of this server!!\r\n0\r\n\r\n",
    ),
];

/// Responses after whose end come bytes that begin no other response.
pub const TOO_LONG: &[Response] = &[
    open("HTTP/1.1 200 OK\r\n{own}content-length: 7\r\n\r\n", BODY),
    open("HTTP/1.1 200 OK\r\n{own}content-length: 26\r\n\r\n", BODY),
    closing("HTTP/1.1 200 OK\r\n{own}content-length: 7\r\n\r\n", BODY),
    closing(
        "HTTP/1.1 200 OK\r\n{own}content-length: 7\r\nconnection: close\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 500 Status\r\n{own}content-length: 7\r\n\r\n",
        BODY,
    ),
    open(
        CHUNKED_HEAD,
        "0\r\n\r\n1b\r\nthe answer of this server!!\r\n0\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "a\r\nthe answer\r\n0\r\n\r\n of this server!!",
    ),
    open(
        "HTTP/1.1 200 OK\r\nx-wingspur-request-id: another\r\ncontent-length: 7\r\n\r\n",
        BODY,
    ),
];

/// The same where the head alone is a whole response.
pub const TOO_LONG_FROM_THE_START: &[Response] = &[
    open("HTTP/1.1 200 OK\r\n{own}content-length: 0\r\n\r\n", BODY),
    open("HTTP/1.1 204 No Content\r\n{own}\r\n", BODY),
    open("HTTP/1.1 304 Not Modified\r\n{own}\r\n", BODY),
];

/// Responses that can have no body, whose heads announce one.
pub const BODILESS: &[Response] = &[
    open("HTTP/1.1 204 OK\r\n{own}content-length: 27\r\n\r\n", ""),
    open("HTTP/1.1 204 OK\r\n{own}content-length: x\r\n\r\n", ""),
    open(
        "HTTP/1.1 204 OK\r\n{own}transfer-encoding: chunked\r\n\r\n",
        "",
    ),
    open("HTTP/1.1 304 OK\r\n{own}content-length: x\r\n\r\n", ""),
];

/// Bodies that end with the connection, although the head does not announce that.
pub const UNANNOUNCED_ENDS: &[Response] = &[
    closing("HTTP/1.1 200 OK\r\n{own}\r\n", BODY),
    closing(
        "HTTP/1.1 200 OK\r\n{own}connection: keep-alive\r\n\r\n",
        BODY,
    ),
    closing("HTTP/1.1 200 OK\r\n{own}content-lengxh: 27\r\n\r\n", BODY),
    closing(
        "HTTP/1.1 200 OK\r\n{own}transfer-encodinx: chunked\r\n\r\n",
        CHUNKED,
    ),
    closing(
        "HTTP/1.0 200 OK\r\n{own}connection: keep-alive\r\n\r\n",
        BODY,
    ),
    open("HTTP/1.1 200 OK\r\n{own}content-lengxh: 27\r\n\r\n", BODY),
];

/// Bodies that end with the connection, in whose head a length or an encoding is
/// misspelled.
pub const MISSPELLED: &[Response] = &[
    closing(
        "HTTP/1.1 200 OK\r\n{own}connection: close\r\ncontent-lengxh: 27\r\n\r\n",
        BODY,
    ),
    closing(
        "HTTP/1.1 200 OK\r\n{own}connection: close\r\ncontentlength: 27\r\n\r\n",
        BODY,
    ),
    closing(
        "HTTP/1.1 200 OK\r\n{own}connection: close\r\ncontent--length: 27\r\n\r\n",
        BODY,
    ),
    closing(
        "HTTP/1.1 200 OK\r\n{own}connection: close\r\n\
         transfer-encodinx: chunked\r\n\r\n",
        CHUNKED,
    ),
    closing(
        "HTTP/1.1 200 OK\r\n{own}connection: close\r\n\
         transfre-encoding: chunked\r\n\r\n",
        CHUNKED,
    ),
    closing("HTTP/1.0 200 OK\r\n{own}bontent-length: 27\r\n\r\n", BODY),
];

/// The beginning of one head and a whole second one.
pub const JOINED_HEADS: &[Response] = &[
    open(
        "HTTP/1.1 200 OK\r\ndate: Sun, 06HTTP/1.1 500 Status\r\n\
         {own}content-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\ndate:HTTP/1.1 500 Status\r\n{own}content-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\nx-a: bHTTP/1.1 500\r\n{own}content-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OHTTP/1.1 500 Status\r\n{own}content-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 HTTP/1.1 500 Status\r\n{own}content-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 \u{e9}HTTP/1.0 500 No\r\n{own}content-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 20HTTP/1.1 500 Status\r\n{own}content-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\nx-HTTP/1.1 500 No\r\n{own}content-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 200 OK\r\nHTTP/1.1 500 No\r\n{own}content-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 421 No\r\nx-wingspur-instance-id: i-0HTTP/1.1 200 OK\r\n\
         {own}content-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 503 No\r\nx-wingspur-not-executed: 1HTTP/1.1 200 OK\r\n\
         {own}content-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 103 Hints\r\nlink: </aHTTP/1.1 103 Hints\r\n\r\n\
         HTTP/1.1 200 OK\r\n{own}content-length: 27\r\n\r\n",
        BODY,
    ),
];

/// Bodies without a length after heads some of whose lines end with a line feed alone.
pub const MIXED_LINE_ENDS: &[Response] = &[
    closing("HTTP/1.1 200 OK\r\n{own}connection: close\r\n\n\r\n", BODY),
    closing("HTTP/1.1 200 OK\r\n{own}connection: close\n\r\n\r\n", BODY),
];

/// Complete responses, in every framing that a server may use.
pub const WHOLE: &[Response] = &[
    open("HTTP/1.1 200 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.1 200 OK\r\n{own}content-length: 027\r\n\r\n", BODY),
    open(
        "HTTP/1.1 200 OK\r\n{own}content-length: 27\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open("HTTP/1.1 200 OK\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.1 200\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.0 200 OK\r\n{own}content-length: 27\r\n\r\n", BODY),
    open("HTTP/1.1 200 OK\r\n{own}Content-Length: 27\r\n\r\n", BODY),
    open(
        "HTTP/1.1 200 OK\r\n{own}via: HTTP/1.1 gateway\r\ncontent-length: 27\r\n\r\n",
        BODY,
    ),
    open(
        "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n\
         HTTP/1.1 200 OK\r\n{own}content-length: 27\r\n\r\n",
        BODY,
    ),
    open(CHUNKED_HEAD, CHUNKED),
    open(
        "HTTP/1.1 200 OK\r\n{own}transfer-encoding: Chunked\r\n\r\n",
        CHUNKED,
    ),
    open(
        CHUNKED_HEAD,
        "1B;a=b\r\nthe answer of this server!!\r\n00\r\n\r\n",
    ),
    open(
        CHUNKED_HEAD,
        "a\r\nthe answer\r\n11\r\n of this server!!\r\n0\r\nx-sum: 1\r\nx-b:\r\n\r\n",
    ),
    closing("HTTP/1.1 200 OK\r\n{own}connection: close\r\n\r\n", BODY),
    closing(
        "HTTP/1.1 200 OK\r\n{own}connection: x-a, Close\r\n\r\n",
        BODY,
    ),
    closing("HTTP/1.0 200 OK\r\n{own}\r\n", BODY),
];

/// Complete responses after which another one begins.
pub const FOLLOWED: &[Response] = &[
    open(
        "HTTP/1.1 200 OK\r\n{own}content-length: 27\r\n\r\n",
        "the answer of this server!!HTTP/1.1 500 Status\r\ncontent-length: 0\r\n\r\n",
    ),
    open(
        "HTTP/1.1 200 OK\r\n{own}content-length: 27\r\n\r\n",
        "the answer of this server!!HT",
    ),
    open(
        CHUNKED_HEAD,
        "1b\r\nthe answer of this server!!\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n",
    ),
];
