//! The judges that a box holds.

use std::collections::HashMap;
use std::time::Instant;

use wingspur_state::{DataCentreId, EjectionRecord, OutlierDetector, Verdict};

use crate::in_force::{InForce, ServiceHandle};

/// The judges that a box holds, by the tag of their service.
#[derive(Debug, Default)]
pub struct Judges {
    /// One for each service that is judged here.
    pub seats: HashMap<u64, JudgeSeat>,
}

/// A judge with its place in the store and among the boxes.
#[derive(Debug)]
pub struct JudgeSeat {
    /// The decisions.
    pub judge: OutlierDetector,
    /// The service's name.
    pub service: String,
    /// The store's revision of the record that the judge holds; none until it was read.
    pub revision: Option<i64>,
    /// Whether the record is being read or written.
    pub syncing: bool,
    /// Reads or writes of it that failed in a row.
    pub failures: u32,
    /// When a box last reported.
    pub heard: Instant,
    /// The verdicts that were last sent out, by data centre.
    sent: HashMap<DataCentreId, Verdict>,
}

impl JudgeSeat {
    /// A judge that has not read its record yet.
    pub fn new(handle: &ServiceHandle, tag: u64, now: Instant) -> Self {
        Self {
            judge: OutlierDetector::new(&handle.service, tag, None, now),
            service: handle.service.name.clone(),
            revision: None,
            syncing: false,
            failures: 0,
            heard: now,
            sent: HashMap::new(),
        }
    }

    /// Takes over from this box's table which servers leave: they count for no floor.
    pub fn follow_leaving(&mut self, bundle: &InForce) {
        let Some(handle) = bundle.service(&self.service) else {
            return;
        };
        let table = handle.table.lock();
        if table.tag() != self.judge.tag() {
            return;
        }
        for server in 0..handle.service.servers.len() {
            self.judge.set_leaving(server, table.is_leaving(server));
        }
    }

    /// The service, the revision that was read, and what should be written.
    pub fn wish(&self) -> (String, Option<i64>, Option<EjectionRecord>) {
        (
            self.service.clone(),
            self.revision,
            self.judge.pending_record(),
        )
    }

    /// The verdicts that have changed since they were last sent out.
    pub fn take_changes(
        &mut self,
        data_centres: &[DataCentreId],
    ) -> Vec<(DataCentreId, Verdict)> {
        if self.revision.is_none() {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for data_centre in data_centres.iter().cloned() {
            let verdict = self.judge.verdict(&data_centre);
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
