//! Lease requests and replies that a box is to send to others.

use wingspur_protocol::{LeaseMessages, QuotaLeaseReply, QuotaLeaseRequest};

use crate::LinkId;

/// Messages for the caller to send once it has released the lock on the state.
pub type QuotaMessages = Vec<QuotaMessage>;

/// A lease request to another box, or a reply.
#[derive(Debug)]
pub struct QuotaMessage {
    /// The link on which it is sent.
    pub link: LinkId,
    /// The lease requests and replies in it.
    pub messages: LeaseMessages,
    /// Whether a caller's request waits for it. A message that is not urgent is sent with
    /// the next frame.
    pub urgent: bool,
}

impl QuotaMessage {
    /// Creates a message with a lease request.
    pub fn request(link: LinkId, request: QuotaLeaseRequest) -> Self {
        let lease_messages = LeaseMessages {
            requests: vec![request],
            ..LeaseMessages::default()
        };
        Self {
            link,
            messages: lease_messages,
            urgent: request.on_demand_count > 0,
        }
    }

    /// Creates a message with the reply to a lease request.
    pub fn reply(link: LinkId, reply: QuotaLeaseReply, urgent: bool) -> Self {
        let lease_messages = LeaseMessages {
            replies: vec![reply],
            ..LeaseMessages::default()
        };
        Self {
            link,
            messages: lease_messages,
            urgent,
        }
    }
}
