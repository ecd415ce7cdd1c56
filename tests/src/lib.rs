//! Helpers shared by the tests: fakes of the platform's store and of backend servers.

mod backend_server;
mod http;
mod mortal_server;
mod platform_store;
mod response_shape;

pub use backend_server::{BackendServer, Reply};
pub use http::{
    Answer, Head, call, listen, read_body, read_keep_alive_response, read_request_head,
    try_call,
};
pub use mortal_server::{CrashingServer, ServerInstance};
pub use platform_store::{PlatformStore, StoreCopy, StoreFault};
pub use response_shape::{Body, EchoedId, Framing, Preamble, ResponseShape};
