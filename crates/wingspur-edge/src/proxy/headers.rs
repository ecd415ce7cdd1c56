//! Removal of hop-by-hop headers, and the check that the framing of a request is
//! unambiguous.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING,
};
use wingspur_protocol::ResultCode;

/// Removes the hop-by-hop headers, which concern a single connection only: the fixed ones
/// and those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(*name);
    }
}

/// Checks that two implementations cannot disagree on where the request ends. Fails with
/// [`ResultCode::BadFraming`] for more than one `Content-Length`, and for one together
/// with `Transfer-Encoding`.
pub fn check_framing(headers: &HeaderMap) -> Result<(), ResultCode> {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let chunked = headers.contains_key(TRANSFER_ENCODING);
    if lengths > 1 || (chunked && lengths > 0) {
        return Err(ResultCode::BadFraming);
    }
    Ok(())
}

const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
