//! Network code: listeners, connections to backend servers, the store client and the peer
//! client.

mod accepted_stream;
mod backend;
mod body;
mod buffer_budget;
mod catalog;
mod checked_stream;
mod connection_history;
mod fair_stream;
mod fault_injection;
mod http_client;
mod link;
mod listener;
mod path_fault;
mod pool;
mod publish;
mod refusal_timing;
mod response_arrival;
mod response_error;
mod response_head;
mod run_evidence;
mod send_window;
mod server_deadline;
mod server_hints;
mod store;
mod tls;
mod vectored_io;
mod workers;

pub use accepted_stream::HeadTimeout;
pub use backend::{
    BackendConnection, BackendConnections, ConnectError, ConnectionCloser, ResponseHead,
    ReusePolicy,
};
pub use body::{BodyError, SendBody, StreamedBody, poll_buffered};
pub use buffer_budget::{BufferBudget, LeasedBuffer};
pub use catalog::{
    Announcement, Catalog, CatalogError, CatalogFuture, CatalogResponse,
    ConditionalWriteResult, LeaseId, ReportedEra, StoreLease,
};
pub use connection_history::{ConnectionHistory, ConnectionUse};
pub use fault_injection::{FaultInjector, InjectedFault};
pub use http_client::{
    Connector, HttpClient, HttpClientError, HttpClientTotals, HttpResponse,
};
pub use link::{
    LinkBody, LinkError, LinkReceiver, LinkSender, LinkTimeouts, accept_link,
    empty_link_body, open_link,
};
pub use listener::{HttpListener, ListenerCounts, ListenerOptions, bind_listener};
pub use path_fault::{InjectedPathFault, PathFault};
pub use pool::{BackendPool, PoolReuse, PooledConnection, SendFailure};
pub use publish::{
    PublishError, Published, accept_bundle, assemble_bundle, load_bundle, load_pointer,
    submit_bundle,
};
pub use refusal_timing::RefusalTiming;
pub use response_arrival::ResponseArrival;
pub use response_error::ResponseError;
pub use run_evidence::{
    Attribution, DeclaredRefusals, ResponseNaming, RunEvidence, SentRequest,
    UnprovenReason, declared_run_evidence,
};
pub use send_window::SendWindow;
pub use server_deadline::ServerDeadline;
pub use store::{
    KeyValue, RangeResult, StoreClient, StoreError, WatchStream, WriteOutcome,
};
pub use tls::{PeerCertificate, TlsError, TlsFiles, TlsIdentity};
pub use workers::{Spawner, StopSignal, StopTrigger, Workers, stop_pair};
