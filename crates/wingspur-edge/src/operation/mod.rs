//! Settings, metrics, shutdown and the operator endpoint.
//!
//! Any file may import these but `operator`, which only `edge_box` may import.

pub mod metrics;
pub mod operator;
pub mod settings;
pub mod shutdown;
