//! The path of a request: admission, forwarding to backend servers, and the response.
//!
//! `edge_state` may import `in_flight_requests`, `catalog` may import `server_hints` and
//! `suspect_requests`, and `edge_box` and `peer_port` any file. `lib` re-exports
//! `error_response`, `headers` and `request_body`.

pub mod admission;
pub mod attempt;
pub mod attempt_trace;
pub mod error_response;
pub mod forwarding;
pub mod headers;
pub mod in_flight_requests;
pub mod relay_requests;
pub mod relayed_attempt;
pub mod request;
pub mod request_body;
pub mod request_head;
pub mod request_log;
pub mod request_origin;
pub mod resend_reservation;
pub mod response_body;
pub mod server_hints;
pub mod suspect_requests;
