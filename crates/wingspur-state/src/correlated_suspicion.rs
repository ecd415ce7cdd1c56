//! Telling a sick server from what befalls many servers at once.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{ServerIndex, Service};

/// Which servers look uneasy at the same time.
///
/// When half of a service is uneasy, it is the service, the network or a change, and no
/// ejection would help. When a whole data centre is, it may only be slow: suspicion must
/// last until the present shift of its latency is known.
#[derive(Debug)]
pub struct Unease {
    whole_service: bool,
    in_uneasy_group: Vec<bool>,
}

impl Unease {
    /// Looks at the evidence against each server.
    pub fn new(
        scores: impl Iterator<Item = f64>,
        groups: &[Vec<ServerIndex>],
        uneasy_at: f64,
    ) -> Self {
        let uneasy: Vec<bool> = scores.map(|score| score >= uneasy_at).collect();
        let count = uneasy.iter().filter(|uneasy| **uneasy).count();
        let whole_service = uneasy.len() >= LEAST_TO_COMPARE && count * 2 >= uneasy.len();
        let mut in_uneasy_group = vec![false; uneasy.len()];
        for group in groups
            .iter()
            .filter(|group| group.len() >= LEAST_TO_COMPARE)
        {
            let count = group.iter().filter(|server| uneasy[**server]).count();
            if count * 4 >= group.len() * 3 {
                group
                    .iter()
                    .for_each(|server| in_uneasy_group[*server] = true);
            }
        }
        Self {
            whole_service,
            in_uneasy_group,
        }
    }

    /// Whether a server that has been over the threshold for so long may be suspected.
    pub fn allows(&self, server: ServerIndex, over: Duration) -> bool {
        let patience = if self.in_uneasy_group[server] {
            GROUP_PATIENCE
        } else {
            Duration::ZERO
        };
        !self.whole_service && over >= patience
    }
}

/// The servers of each data centre.
pub fn groups_of(service: &Service) -> Vec<Vec<ServerIndex>> {
    let mut groups: BTreeMap<&str, Vec<ServerIndex>> = BTreeMap::new();
    for (index, server) in service.servers.iter().enumerate() {
        groups.entry(&server.data_centre).or_default().push(index);
    }
    groups.into_values().collect()
}

/// A server is uneasy at this share of the threshold.
pub const UNEASY_SHARE: f64 = 0.25;
const LEAST_TO_COMPARE: usize = 3;
/// The present shift is known after this.
const GROUP_PATIENCE: Duration = Duration::from_millis(2500);
