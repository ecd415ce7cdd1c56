//! An entry box: the request path and the tasks around it.

mod answer;
mod bundles;
mod claims;
mod concern;
mod detection;
mod entry_box;
mod in_force;
mod judges;
mod locks;
mod metrics;
mod operator;
mod peers;
mod proxy;
mod relay;
mod settings;
mod shard_driver;
mod shards;
mod shared;

pub use entry_box::{EntryBox, StartError, StopReport};
pub use settings::{
    DrainSettings, LogFormat, LogSettings, OnceOnlySettings, Settings, SettingsError,
    TlsSettings, load_settings, parse_settings,
};
pub use shared::Addresses;
