//! Distinguishes a faulty server from a problem that affects many servers at once.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{ServerIndex, Service};

/// Which servers have raised suspicion scores at the same time.
///
/// If half of a service's servers have them, the cause is the service, the network or a
/// change, and ejecting servers would not help. If most servers of a data centre have
/// them, it may only be slow at present: a suspicion must last until the change of its
/// latency is known.
#[derive(Debug)]
pub struct CorrelatedSuspicion {
    is_service_wide: bool,
    is_in_raised_group: Vec<bool>,
}

impl CorrelatedSuspicion {
    /// Compares the suspicion score of each server with `raised_at`; `groups` are the
    /// servers of each data centre.
    pub fn new(
        scores: impl Iterator<Item = f64>,
        groups: &[Vec<ServerIndex>],
        raised_at: f64,
    ) -> Self {
        let is_raised: Vec<bool> = scores.map(|score| score >= raised_at).collect();
        let count = is_raised.iter().filter(|is_raised| **is_raised).count();
        let is_service_wide =
            is_raised.len() >= MIN_SERVERS_TO_COMPARE && count * 2 >= is_raised.len();
        let mut is_in_raised_group = vec![false; is_raised.len()];
        for group in groups
            .iter()
            .filter(|group| group.len() >= MIN_SERVERS_TO_COMPARE)
        {
            let count = group.iter().filter(|server| is_raised[**server]).count();
            if count * 4 >= group.len() * 3 {
                group
                    .iter()
                    .for_each(|server| is_in_raised_group[*server] = true);
            }
        }
        Self {
            is_service_wide,
            is_in_raised_group,
        }
    }

    /// Returns whether a server whose score has been over the ejection threshold for the
    /// time `over` may be suspected.
    pub fn allows(&self, server: ServerIndex, over: Duration) -> bool {
        let delay = if self.is_in_raised_group[server] {
            GROUP_SUSPICION_DELAY
        } else {
            Duration::ZERO
        };
        !self.is_service_wide && over >= delay
    }
}

/// Returns the servers of each data centre.
pub fn servers_by_data_centre(service: &Service) -> Vec<Vec<ServerIndex>> {
    let mut groups: BTreeMap<&str, Vec<ServerIndex>> = BTreeMap::new();
    for (index, server) in service.servers.iter().enumerate() {
        groups.entry(&server.data_centre).or_default().push(index);
    }
    groups.into_values().collect()
}

/// A suspicion score counts as raised from this fraction of the ejection threshold.
pub const RAISED_SCORE_RATIO: f64 = 0.25;
const MIN_SERVERS_TO_COMPARE: usize = 3;
/// The change of a data centre's latency is known after this time.
const GROUP_SUSPICION_DELAY: Duration = Duration::from_millis(2500);
