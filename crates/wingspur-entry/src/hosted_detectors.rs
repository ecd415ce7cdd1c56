//! The outlier detectors that a box hosts.

use std::collections::HashMap;
use std::time::Instant;

use wingspur_state::{DataCentreId, EjectionRecord, OutlierDetector, Verdict};

use crate::active_bundle::{ActiveBundle, ServiceHandle};

/// The outlier detectors that a box hosts, by the tag of their service.
#[derive(Debug, Default)]
pub struct HostedDetectors {
    /// One detector for each service that this box decides about.
    pub by_service_tag: HashMap<u64, HostedDetector>,
}

/// A detector, with the state of its record in the store and of its verdicts.
#[derive(Debug)]
pub struct HostedDetector {
    /// The detector that decides which servers are ejected.
    pub detector: OutlierDetector,
    /// The service's name.
    pub service: String,
    /// The store's revision of the record that the detector has applied; `None` until the
    /// record was read.
    pub revision: Option<i64>,
    /// Whether the record is being read or written.
    pub syncing: bool,
    /// Number of consecutive failures to sync the record.
    pub failures: u32,
    /// When the last report of a box was received.
    pub last_report_at: Instant,
    /// The verdicts that were last sent out, by data centre.
    sent: HashMap<DataCentreId, Verdict>,
}

impl HostedDetector {
    /// Creates a detector that has not read its record yet.
    pub fn new(handle: &ServiceHandle, tag: u64, now: Instant) -> Self {
        Self {
            detector: OutlierDetector::new(&handle.service, tag, None, now),
            service: handle.service.name.clone(),
            revision: None,
            syncing: false,
            failures: 0,
            last_report_at: now,
            sent: HashMap::new(),
        }
    }

    /// Copies from this box's service table which servers are draining; the detector does
    /// not count them towards the minimum capacity that must not be ejected.
    pub fn sync_leaving_servers(&mut self, bundle: &ActiveBundle) {
        let Some(handle) = bundle.service(&self.service) else {
            return;
        };
        let table = handle.table.lock();
        if table.tag() != self.detector.tag() {
            return;
        }
        for server in 0..handle.service.servers.len() {
            self.detector
                .set_draining(server, table.is_draining(server));
        }
    }

    /// Returns the service, the revision that was read, and the record to write, if any.
    pub fn pending_write(&self) -> (String, Option<i64>, Option<EjectionRecord>) {
        (
            self.service.clone(),
            self.revision,
            self.detector.pending_record(),
        )
    }

    /// Returns the verdicts that have changed since they were last returned.
    /// Empty until the record was read.
    pub fn take_changed_verdicts(
        &mut self,
        data_centres: &[DataCentreId],
    ) -> Vec<(DataCentreId, Verdict)> {
        if self.revision.is_none() {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for data_centre in data_centres.iter().cloned() {
            let verdict = self.detector.verdict(&data_centre);
            let sent = self.sent.get(&data_centre);
            let changed = match sent {
                Some(sent) => *sent != verdict,
                None => !verdict.standings.is_empty(),
            };
            if changed {
                self.sent.insert(data_centre.clone(), verdict.clone());
                changes.push((data_centre, verdict));
            }
        }
        changes
    }
}
