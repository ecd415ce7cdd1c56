//! An entry box over a catalog: the request path and the tasks around it.

mod answer_body;
mod attempt;
mod attempts;
mod edge_box;
mod feed;
mod in_force;
mod locks;
mod metrics;
mod operator;
mod refusal;
mod request;
mod services;
mod settings;
mod shared;

pub use edge_box::{EdgeBox, EdgeError};
pub use locks::{Rank, Ranked, RankedGuard};
pub use metrics::Metrics;
pub use refusal::{RESULT_HEADER, refusal};
pub use settings::{
    CatalogSettings, DrainSettings, LogFormat, LogSettings, OnceOnlySettings, OwnSources,
    Settings, SettingsError, TlsSettings, load_settings, parse_settings,
};
