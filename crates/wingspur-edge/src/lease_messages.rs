//! Sends what boxes ask and answer of loans.

use wingspur_coordination::QuotaMessage;

use crate::edge_state::EdgeState;

/// Sends what there is to ask and to answer.
pub fn send_lease_messages(
    shared: &EdgeState,
    messages: impl IntoIterator<Item = QuotaMessage>,
) {
    for message in messages {
        let outgoing = shared.links.lock().lease_frame(message);
        let Some(outgoing) = outgoing else { continue };
        match outgoing.sender.send(&outgoing.frame) {
            Ok(bytes) => shared.metrics.count_frame(bytes),
            // The link's own task notices that it has ended.
            Err(error) => tracing::debug!(%error, "lending: not sent."),
        }
    }
}
