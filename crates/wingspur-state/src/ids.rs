//! Type aliases for the ids that several modules use.

/// Identifies a box; unique in a fleet, and reused by the box's replacement.
pub type BoxId = String;
/// Identifies a data centre, as spelt in the settings and the bundle.
pub type DataCentreId = String;
/// Identifies a region.
pub type RegionId = String;
/// The region of each data centre.
pub type Regions = std::collections::BTreeMap<DataCentreId, RegionId>;
/// The version of a bundle; it only increases.
pub type BundleVersion = u64;
/// The index of a service in the active bundle.
pub type ServiceIndex = usize;
/// The index of a backend server in its service.
pub type ServerIndex = usize;
/// Identifies an attempt within one box.
pub type AttemptId = u64;
/// Identifies a backend server; a new instance of the server may keep the id.
pub type ServerId = String;
/// Identifies one instance of a backend server in tables and between boxes; see
/// `server_key`.
pub type ServerKey = u64;
/// The hash of a `BoxId`, which identifies the box in messages between boxes.
pub type BoxKey = u64;
/// Identifies the instance of a box that reports other boxes' work, such as a hub: the
/// box's incarnation.
pub type SourceId = u64;
