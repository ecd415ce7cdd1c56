//! Values as they are written in log lines.

use hyper::header::HeaderValue;

/// Returns the id of a request as text; empty where the caller gave none that is
/// printable.
pub fn id_text(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or_default()
}

/// Rounds a fraction to three decimal places, which are enough in a log line.
pub fn round_for_log(fraction: f64) -> f64 {
    (fraction * 1000.0).round() / 1000.0
}
