//! Sends quota lease requests and replies to other boxes.

use wingspur_coordination::QuotaMessage;

use crate::edge_state::EdgeState;

/// Sends each lease request or reply on its link, or queues it for the link's next frame.
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
            Err(error) => {
                tracing::debug!(%error, "lending: lease message not sent.")
            }
        }
    }
}
