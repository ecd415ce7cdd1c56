//! Receives the body of a caller's request.

use std::future::Future;
use std::sync::Arc;

use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use wingspur_protocol::ResultCode;
use wingspur_transport::{BufferBudget, LeasedBuffer, SendBody, StreamedBody};

/// The limits of a request body, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// The longest body that is accepted.
    pub max_bytes: u64,
    /// The longest body that is kept so that it can be sent again.
    pub max_kept_bytes: u64,
}

/// Keeps a short body, so that it can be sent again, if the budget for buffers allows;
/// streams a longer one.
///
/// Fails if the body's known length exceeds the limit, if it is not received completely,
/// or if it is still being received when `expired` completes.
pub async fn receive_body(
    body: Incoming,
    limits: BodyLimits,
    buffers: &Arc<BufferBudget>,
    expired: impl Future,
) -> Result<SendBody, ResultCode> {
    if body.is_end_stream() {
        return Ok(SendBody::empty());
    }
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > limits.max_bytes) {
        return Err(ResultCode::TooLarge);
    }
    if length.is_some_and(|length| length > limits.max_kept_bytes) {
        return Ok(SendBody::Stream(StreamedBody {
            beginning: None,
            rest: body,
            max_rest_bytes: limits.max_bytes,
        }));
    }
    let received = keep_body(body, limits, buffers.clone());
    let expired = async {
        expired.await;
        Err(ResultCode::DeadlineBeforeSend)
    };
    received.or(expired).await
}

/// Receives a body to its end. Once it is longer than what may be kept, or than the budget
/// allows, the rest of it is streamed.
async fn keep_body(
    mut body: Incoming,
    limits: BodyLimits,
    buffers: Arc<BufferBudget>,
) -> Result<SendBody, ResultCode> {
    let mut kept = LeasedBuffer::new(buffers);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ResultCode::BadFraming)?;
        let data = frame.into_data().unwrap_or_default();
        let is_leased = kept.extend(&data);
        let kept_bytes = kept.len() as u64;
        let max_rest_bytes = limits.max_bytes.checked_sub(kept_bytes);
        let max_rest_bytes = max_rest_bytes.ok_or(ResultCode::TooLarge)?;
        if !is_leased || kept_bytes > limits.max_kept_bytes {
            return Ok(SendBody::Stream(StreamedBody {
                beginning: Some(kept.into_bytes()),
                rest: body,
                max_rest_bytes,
            }));
        }
    }
    Ok(match kept.is_empty() {
        true => SendBody::empty(),
        false => SendBody::buffered(kept.into_bytes()),
    })
}
