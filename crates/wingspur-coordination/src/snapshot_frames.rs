//! Catalog snapshots as links are sent them, encoded once for all links.

use std::sync::{Arc, Weak};

use wingspur_protocol::{
    CatalogSnapshotUpdate, CatalogUpdate, EncodedFrame, Frame, FrameContent,
};
use wingspur_state::BundleVersion;

/// Encoded snapshots, kept as long as a link still has to be sent one.
///
/// The size of a snapshot grows with the number of servers, and the number of links of a
/// hub with the number of boxes; one copy for each link would grow with the product of
/// both.
#[derive(Debug, Default)]
pub struct SnapshotFrameCache {
    cached: Vec<CachedFrame>,
    /// Number of snapshots encoded so far.
    encoded: usize,
}

/// A snapshot that has yet to be sent on one link.
#[derive(Debug, Clone)]
pub struct PendingSnapshot {
    /// The snapshot.
    pub snapshot: Arc<CatalogSnapshotUpdate>,
    /// Version of the bundle that is active at the other side. The bundle of the snapshot
    /// is left out unless it is newer.
    pub bundle_version: BundleVersion,
}

#[derive(Debug)]
struct CachedFrame {
    snapshot: Weak<CatalogSnapshotUpdate>,
    with_bundle: bool,
    frame: EncodedFrame,
}

impl SnapshotFrameCache {
    /// Returns the encoded frame of a snapshot, which is encoded only if no link has
    /// needed it yet.
    pub fn frame(&mut self, pending: &PendingSnapshot) -> EncodedFrame {
        let with_bundle = pending.with_bundle();
        let is_same = |cached: &&CachedFrame| {
            let is_same_listing =
                std::ptr::eq(cached.snapshot.as_ptr(), &*pending.snapshot);
            is_same_listing && cached.with_bundle == with_bundle
        };
        if let Some(cached) = self.cached.iter().find(is_same) {
            return cached.frame.clone();
        }
        let frame = pending.encode();
        self.encoded += 1;
        self.cached.push(CachedFrame {
            snapshot: Arc::downgrade(&pending.snapshot),
            with_bundle,
            frame: frame.clone(),
        });
        frame
    }

    /// Evicts the snapshots that no link has to be sent any more.
    pub fn evict_unused(&mut self) {
        self.cached
            .retain(|cached| cached.snapshot.strong_count() > 0);
    }

    /// Returns the number of snapshots encoded so far.
    pub fn encoded_count(&self) -> usize {
        self.encoded
    }
}

impl PendingSnapshot {
    fn with_bundle(&self) -> bool {
        let bundle = self.snapshot.snapshot.bundle.as_ref();
        bundle.is_some_and(|bundle| bundle.version > self.bundle_version)
    }

    fn encode(&self) -> EncodedFrame {
        let listing = match self.with_bundle() {
            true => self.snapshot.clone(),
            false => {
                let mut listing = (*self.snapshot).clone();
                listing.snapshot.bundle = None;
                Arc::new(listing)
            }
        };
        EncodedFrame::new(&Frame {
            catalog: vec![CatalogUpdate::Snapshot(listing)],
            content: FrameContent::Snapshot,
            ..Frame::default()
        })
    }
}
