//! Stand-ins, load and experiments; not shipped.

mod backend;
mod box_list;
mod demo;
mod fleet;
mod load;
mod store;

pub use backend::{BackendStandIn, Gray, ServerPlan};
pub use box_list::BoxListStandIn;
pub use demo::{DemoOptions, DemoReport, run_demo};
pub use fleet::{Fleet, FleetPlan, ServicePlan, bratislava, small_zagreb, zagreb};
pub use load::{Load, LoadOptions, LoadReport, RequestKind};
pub use store::{StoreFault, StoreStandIn};
