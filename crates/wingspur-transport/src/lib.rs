//! Sockets: listeners, backend connections, the store client and the peer client.

mod answer_head;
mod backend;
mod body;
mod catalog;
mod exchange;
mod faults;
mod link;
mod listener;
mod pool;
mod publish;
mod server_hints;
mod store;
mod tls;
mod workers;

pub use backend::{
    AnswerError, AnswerHead, Backend, BackendConnection, ConnectError, Reuse,
};
pub use body::{BodyError, SendBody, poll_whole};
pub use catalog::{
    Announcement, Catalog, CatalogAnswer, CatalogError, CatalogFuture, EraReading,
    LeaseId, StoreLease, TryCounted,
};
pub use exchange::{Connector, Exchange, ExchangeError, ExchangeTotals, Reply};
pub use faults::{LinkFault, LinkFaults};
pub use link::{
    LinkBody, LinkError, LinkPatience, LinkReceiver, LinkSender, accept_link,
    empty_link_body, open_link,
};
pub use listener::{HttpListener, ListenerCounts, ListenerOptions};
pub use pool::{BackendPool, Lease, SendFailure};
pub use publish::{
    PublishError, Published, accept_bundle, assemble, load_bundle, load_pointer,
    submit_bundle,
};
pub use store::{
    KeyValue, RangeResult, StoreClient, StoreError, WatchStream, WriteOutcome,
};
pub use tls::{PeerCertificate, TlsError, TlsFiles, TlsIdentity};
pub use workers::{Spawner, StopSignal, StopTrigger, Workers, stop_pair};
