//! Helpers shared by the suite.
