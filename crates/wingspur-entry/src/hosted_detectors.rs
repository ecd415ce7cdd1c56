//! The judges that a box holds.

use std::collections::HashMap;
use std::time::Instant;

use wingspur_state::{DataCentreId, EjectionRecord, OutlierDetector, Verdict};

use crate::active_bundle::{ActiveBundle, ServiceHandle};

/// The judges that a box holds, by the tag of their service.
#[derive(Debug, Default)]
pub struct HostedDetectors {
    /// One for each service that is judged here.
    pub by_service_tag: HashMap<u64, HostedDetector>,
}

/// A judge with its place in the store and among the boxes.
#[derive(Debug)]
pub struct HostedDetector {
    /// The decisions.
    pub detector: OutlierDetector,
    /// The service's name.
    pub service: String,
    /// The store's revision of the record that the judge holds; none until it was read.
    pub revision: Option<i64>,
    /// Whether the record is being read or written.
    pub syncing: bool,
    /// Reads or writes of it that failed in a row.
    pub failures: u32,
    /// When a box last reported.
    pub last_report_at: Instant,
    /// The verdicts that were last sent out, by data centre.
    sent: HashMap<DataCentreId, Verdict>,
}

impl HostedDetector {
    /// A judge that has not read its record yet.
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

    /// Takes over from this box's table which servers leave: they count for no floor.
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

    /// The service, the revision that was read, and what should be written.
    pub fn pending_write(&self) -> (String, Option<i64>, Option<EjectionRecord>) {
        (
            self.service.clone(),
            self.revision,
            self.detector.pending_record(),
        )
    }

    /// The verdicts that have changed since they were last sent out.
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
            let updates = match sent {
                Some(sent) => *sent != verdict,
                None => !verdict.standings.is_empty(),
            };
            if updates {
                self.sent.insert(data_centre.clone(), verdict.clone());
                changes.push((data_centre, verdict));
            }
        }
        changes
    }
}
