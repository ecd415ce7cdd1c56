//! Settings, metrics, shutdown and the operator endpoint.

pub mod metrics;
pub mod operator;
pub mod settings;
pub mod shutdown;
