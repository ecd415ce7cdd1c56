//! Simulated backend servers, store and box list, load generation and experiments for
//! wingspur. This crate is not shipped.

mod backend;
mod baseline;
mod box_list;
mod capacity;
mod decider;
mod demo;
mod detect;
mod detect_page;
mod faults;
mod fleet;
mod load;
mod price;
mod replay;
mod store;
mod trace;

pub use backend::{BackendStandIn, Gray, ServerPlan};
pub use box_list::BoxListStandIn;
pub use capacity::{
    CapacityReport, ClaimRow, DecisionRow, ProcessRow, measure_claims, measure_decisions,
    measure_processes, render_page,
};
pub use decider::Decider;
pub use demo::{DemoOptions, DemoReport, run_demo};
pub use detect::{DetectCase, DetectRow, User, cases, run_case};
pub use detect_page::{KnobRow, draw_knob, measure_knob, render_detect_page};
pub use faults::{FaultOptions, FaultRow, RoundFault, fault_rows, run_faults};
pub use fleet::{Fleet, FleetPlan, ServicePlan, bratislava, small_zagreb, zagreb};
pub use load::{Load, LoadOptions, LoadReport, RequestKind};
pub use price::{PriceRow, measure_price};
pub use replay::{ReplayReport, replay, service_of};
pub use store::{StoreFault, StoreStandIn};
pub use trace::{
    Fault, FaultKind, Observation, Scenario, TraceSource, read_trace, write_trace,
};
