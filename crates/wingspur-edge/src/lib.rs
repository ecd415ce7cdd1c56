//! An edge box: forwards callers' requests to backend servers by a catalog of routes and
//! servers, and runs the tasks that this needs.

mod active_bundle;
mod active_link;
mod admission;
mod announce;
mod attempt;
mod catalog_state;
mod catalog_watch;
mod directory_changes;
mod edge_box;
mod edge_state;
mod error_response;
mod evacuation;
mod forwarding;
mod headers;
mod in_flight_requests;
mod lease_messages;
mod links;
mod locks;
mod metrics;
mod notify;
mod operator;
mod path_check;
mod peer_body;
mod peer_exchange;
mod quarantine;
mod quarantine_state;
mod quota_leases;
mod relay_requests;
mod relay_search;
mod relayed_attempt;
mod request;
mod request_error;
mod request_head;
mod request_log;
mod resend_lease_exchange;
mod resend_leases;
mod resend_reservation;
mod response_body;
mod server_hints;
mod services;
mod settings;
mod shutdown;
mod store_calls;
mod suspect_requests;

pub use edge_box::{EdgeBox, EdgeError};
pub use error_response::{RESULT_HEADER, error_response};
pub use headers::{check_framing, strip_hop_by_hop};
pub use locks::{LockRank, RankedMutex, RankedMutexGuard};
pub use metrics::Metrics;
pub use operator::OperatorEndpoint;
pub use settings::{
    CatalogSettings, DrainSettings, FaultInjectionSettings, LogFormat, LogSettings,
    OnceOnlySettings, OwnSources, Settings, SettingsError, TlsSettings, load_settings,
    parse_settings,
};
pub use shutdown::{Shutdown, ShutdownSchedule, shutdown_result};
