//! The quotas of a fleet, and a box's role and links in allocating them.

use wingspur_protocol::LeasedResource;
use wingspur_state::{DataCentreId, QuotaTerms};

use crate::LinkId;

/// This box's role and links in the allocation of quotas.
#[derive(Debug, Default)]
pub struct QuotaTopology {
    /// The hub that it is a member of; `None` if it is a hub itself.
    pub own_hub: Option<LinkId>,
    /// The links that it asks when its own share is used up: the hubs of other data
    /// centres, or its own hub if it has one. A box with a hub asks it this way only for
    /// other boxes that use this box as a hub.
    pub allocators: Vec<LinkId>,
    /// Its share of all quotas, including the shares delegated to it.
    pub share: f64,
    /// Its shares of the quotas that the hub of one data centre allocates for all boxes;
    /// empty if it is a member of a hub.
    pub data_centres: Vec<DataCentreQuota>,
}

/// A box's share of the quotas that the hub of one data centre allocates for all boxes.
#[derive(Debug, Clone, PartialEq)]
pub struct DataCentreQuota {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// This box's share, including the shares delegated to it.
    pub share: f64,
    /// The link to the hub that allocates them; `None` if this box does or that hub is
    /// not connected.
    pub allocator: Option<LinkId>,
}

/// The hubs that allocate a quota.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuotaAllocator {
    /// Each hub allocates the shares of its members.
    EachHub,
    /// The hub of one data centre allocates the shares of all boxes.
    DataCentreHub(DataCentreId),
}

/// The current terms of a quota and its allocator.
#[derive(Debug, Clone, PartialEq)]
pub struct Quota {
    /// The rate and burst over all boxes.
    pub terms: QuotaTerms,
    /// The hubs that allocate it.
    pub allocator: QuotaAllocator,
}

/// Looks up the quota of a resource; returns `None` if the resource or its limit does not
/// exist.
pub type FindQuota<'a> = &'a dyn Fn(LeasedResource) -> Option<Quota>;

impl QuotaTopology {
    /// Returns this box's share of a quota.
    pub fn share_of(&self, quota: &Quota) -> f64 {
        match &quota.allocator {
            QuotaAllocator::EachHub => self.share,
            QuotaAllocator::DataCentreHub(name) => self
                .data_centre(name)
                .map_or(self.share, |data_centre| data_centre.share),
        }
    }

    /// Returns the hubs that this box may ask for more of a quota.
    pub fn allocators_of(&self, quota: &Quota) -> Vec<LinkId> {
        match &quota.allocator {
            QuotaAllocator::EachHub => self.allocators.clone(),
            QuotaAllocator::DataCentreHub(name) => {
                let data_centre = self.data_centre(name);
                data_centre
                    .and_then(|data_centre| data_centre.allocator)
                    .into_iter()
                    .collect()
            }
        }
    }

    fn data_centre(&self, name: &DataCentreId) -> Option<&DataCentreQuota> {
        self.data_centres
            .iter()
            .find(|data_centre| data_centre.data_centre == *name)
    }

    /// Returns whether the box at a link allocates quotas to this one.
    pub fn is_allocator(&self, link: LinkId) -> bool {
        let allocators = self
            .data_centres
            .iter()
            .filter_map(|data_centre| data_centre.allocator);
        self.allocators.contains(&link)
            || allocators.into_iter().any(|allocator| allocator == link)
    }
}
