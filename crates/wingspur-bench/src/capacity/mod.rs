//! Capacity: how resource use grows with size, measured on one machine, and the page made
//! from it.

mod decisions;
mod fit;
mod page;
mod processes;

pub use decisions::{DecisionRow, measure_decisions};
pub use page::{CapacityReport, render_page};
pub use processes::{
    BoxProcesses, ClaimRow, ProcessRow, measure_claims, measure_processes,
    start_processes,
};
