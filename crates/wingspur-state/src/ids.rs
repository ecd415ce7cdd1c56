//! Type aliases for the ids that cross module borders.

/// Names an entry box; unique in a fleet, reused by the box's replacement.
pub type BoxId = String;
/// Names a data centre, as the settings and the bundle spell it.
pub type DataCentreId = String;
/// Names a region.
pub type RegionId = String;
/// The region of each data centre.
pub type Regions = std::collections::BTreeMap<DataCentreId, RegionId>;
/// The version of a bundle; only ever grows.
pub type BundleVersion = u64;
/// The position of a service in the bundle in force.
pub type ServiceIndex = usize;
/// The position of a backend server in its service.
pub type ServerIndex = usize;
/// Numbers an attempt within one box.
pub type AttemptId = u64;
/// Names one run of a backend server.
pub type ServerId = String;
/// Stands for a `ServerId` in tables and between boxes; see `server_key`.
pub type ServerKey = u64;
/// Stands for a `BoxId` between boxes: the hash of it.
pub type BoxKey = u64;
/// Names who tells of other boxes' work: a hub's start.
pub type SourceId = u64;
