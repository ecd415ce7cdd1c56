//! Receives the body of a caller's request.

use std::future::Future;
use std::sync::Arc;

use futures_lite::FutureExt;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use wingspur_protocol::ResultCode;
use wingspur_transport::{BufferBudget, SendBody, UNLEASED_BYTES};

/// The limits of a request body, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// The longest body that is accepted.
    pub max_bytes: u64,
    /// The longest body that is kept so that it can be sent again.
    pub max_kept_bytes: u64,
}

/// Keeps a short body, so that it can be sent again, if the budget for buffers allows;
/// streams a longer one, or one of unknown length.
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
    let kept_bytes = length.filter(|length| *length <= limits.max_kept_bytes);
    let lease = kept_bytes.and_then(|length| {
        let lease = buffers.lease((length as usize).saturating_sub(UNLEASED_BYTES))?;
        Some((length as usize, lease))
    });
    let Some((length, lease)) = lease else {
        return Ok(SendBody::Stream(body, limits.max_bytes));
    };
    let collecting = Limited::new(body, length).collect();
    let received = async { collecting.await.map_err(|_| ResultCode::BadFraming) };
    let expired = async {
        expired.await;
        Err(ResultCode::DeadlineBeforeSend)
    };
    let collected = received.or(expired).await?;
    Ok(SendBody::buffered(lease.hold(collected.to_bytes())))
}
