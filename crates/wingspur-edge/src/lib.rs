//! An edge box: forwards callers' requests to backend servers by a catalog of routes and
//! servers, and runs the tasks that this needs.

mod catalog;
mod edge_box;
mod edge_state;
mod locks;
mod log_values;
mod notify;
mod operation;
mod path_check;
mod peer_port;
mod peers;
mod proxy;
mod quotas;
mod request_error;
mod services;
mod suspicion;

pub use edge_box::{EdgeBox, EdgeError};
pub use locks::{LockRank, RankedMutex, RankedMutexGuard};
pub use operation::metrics::Metrics;
pub use operation::operator::OperatorEndpoint;
pub use operation::settings::{
    CatalogSettings, DrainSettings, FaultInjectionSettings, LogFormat, LogSettings,
    OnceOnlySettings, OwnSources, Settings, SettingsError, TlsSettings, load_settings,
    parse_settings,
};
pub use operation::shutdown::{Shutdown, ShutdownSchedule, shutdown_result};
pub use proxy::attempt_trace::{AttemptTraces, RefusalTrace, RepetitionCause};
pub use proxy::error_response::error_response;
pub use proxy::headers::{check_framing, strip_hop_by_hop};
pub use proxy::request_body::{BodyLimits, receive_body};
