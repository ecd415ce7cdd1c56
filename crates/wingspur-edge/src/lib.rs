//! An entry box over a catalog: the request path and the tasks around it.

mod active_link;
mod admission;
mod announce;
mod answer_body;
mod attempt;
mod attempts;
mod catalog_state;
mod edge_box;
mod evacuation;
mod exchange;
mod feed;
mod given_up;
mod heads;
mod in_force;
mod lending;
mod lending_frames;
mod links;
mod locks;
mod metrics;
mod notify;
mod operator;
mod quarantine;
mod quarantine_state;
mod refusal;
mod request;
mod request_log;
mod requests_out;
mod resend_loans;
mod resending;
mod server_changes;
mod server_hints;
mod services;
mod settings;
mod shared;
mod stopping;
mod store_calls;
mod suspects;
mod taken_resends;

pub use edge_box::{EdgeBox, EdgeError};
pub use heads::{check_framing, strip_hop_by_hop};
pub use locks::{Rank, Ranked, RankedGuard};
pub use metrics::Metrics;
pub use operator::OperatorPages;
pub use refusal::{RESULT_HEADER, refusal};
pub use settings::{
    CatalogSettings, DrainSettings, LogFormat, LogSettings, OnceOnlySettings, OwnSources,
    Settings, SettingsError, TlsSettings, load_settings, parse_settings,
};
pub use stopping::{StopPlan, Stopping, out_of_time};
