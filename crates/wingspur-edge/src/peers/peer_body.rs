//! The body of a response on the peer port.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Bytes, Frame, SizeHint};
use wingspur_transport::{BodyError, LinkBody};

use crate::proxy::response_body::ResponseBody;

/// The body of a response to another box.
pub enum PeerBody {
    /// The frames of a link.
    Link(LinkBody),
    /// A message, or the response to a relayed request.
    Response(ResponseBody),
}

impl Body for PeerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Link(body) => Pin::new(body).poll_frame(context),
            Self::Response(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Link(body) => body.is_end_stream(),
            Self::Response(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Link(body) => body.size_hint(),
            Self::Response(body) => body.size_hint(),
        }
    }
}
