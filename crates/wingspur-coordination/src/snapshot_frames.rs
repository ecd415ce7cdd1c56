//! Listings of the catalog as links are sent them: encoded once for all links.

use std::sync::{Arc, Weak};

use wingspur_protocol::{
    CatalogSnapshotUpdate, CatalogUpdate, EncodedFrame, Frame, FrameContent,
};
use wingspur_state::BundleVersion;

/// Encoded listings, for as long as a link is still owed one.
///
/// A listing grows with the servers, and the links of a hub with the boxes; one copy for each
/// link would grow with their product.
#[derive(Debug, Default)]
pub struct SnapshotFrameCache {
    kept: Vec<Kept>,
    /// How many were encoded so far.
    encoded: usize,
}

/// A listing that one link is owed.
#[derive(Debug, Clone)]
pub struct PendingSnapshot {
    /// The listing.
    pub listing: Arc<CatalogSnapshotUpdate>,
    /// The version of the bundle that is in force at the other side; one that it has is left
    /// out.
    pub bundle_version: BundleVersion,
}

#[derive(Debug)]
struct Kept {
    listing: Weak<CatalogSnapshotUpdate>,
    with_bundle: bool,
    frame: EncodedFrame,
}

impl SnapshotFrameCache {
    /// The frame that tells a listing.
    pub fn frame(&mut self, pending: &PendingSnapshot) -> EncodedFrame {
        let with_bundle = pending.with_bundle();
        let is_same = |kept: &&Kept| {
            let is_listing = std::ptr::eq(kept.listing.as_ptr(), &*pending.listing);
            is_listing && kept.with_bundle == with_bundle
        };
        if let Some(kept) = self.kept.iter().find(is_same) {
            return kept.frame.clone();
        }
        let frame = pending.encode();
        self.encoded += 1;
        self.kept.push(Kept {
            listing: Arc::downgrade(&pending.listing),
            with_bundle,
            frame: frame.clone(),
        });
        frame
    }

    /// Forgets the listings that no link is owed any more.
    pub fn evict_unused(&mut self) {
        self.kept.retain(|kept| kept.listing.strong_count() > 0);
    }

    /// How many listings were encoded so far.
    pub fn encoded_count(&self) -> usize {
        self.encoded
    }
}

impl PendingSnapshot {
    fn with_bundle(&self) -> bool {
        let bundle = self.listing.snapshot.bundle.as_ref();
        bundle.is_some_and(|bundle| bundle.version > self.bundle_version)
    }

    fn encode(&self) -> EncodedFrame {
        let listing = match self.with_bundle() {
            true => self.listing.clone(),
            false => {
                let mut listing = (*self.listing).clone();
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
