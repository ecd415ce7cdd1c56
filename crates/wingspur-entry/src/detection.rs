//! Reports evidence about servers to the outlier detectors, and sends their verdicts to
//! the boxes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use wingspur_coordination::PeerView;
use wingspur_protocol::{PeerMessage, PeerReply};
use wingspur_state::{
    BoxId, DataCentreId, EVIDENCE_TICK, EjectionRecord, EvidenceReport, OutlierEvent,
    Verdict,
};
use wingspur_transport::{StopSignal, StoreError, WriteOutcome};

use crate::active_bundle::{ActiveBundle, ServiceHandle};
use crate::bundles::backoff;
use crate::entry_state::EntryState;
use crate::hosted_detectors::HostedDetector;

/// Reports evidence and runs the detectors that this box hosts, until the box stops.
pub async fn run_detection(shared: Arc<EntryState>, stop: StopSignal) {
    let mut idle = true;
    while !stop.is_triggered() {
        // Wake-ups cause most of the CPU use of an idle box, so it ticks less often.
        wingspur_clock::sleep(if idle { IDLE_TICK } else { EVIDENCE_TICK }).await;
        let Some(bundle) = shared.active_bundle() else {
            continue;
        };
        idle = report(&shared, &bundle) & run_detectors(&shared, &bundle);
    }
}

/// Adds a peer's evidence to the detectors hosted here, and returns their verdicts.
pub fn receive_evidence(
    shared: &EntryState,
    reports: &[EvidenceReport],
    from: &PeerView,
) -> Vec<Verdict> {
    let Some(bundle) = shared.active_bundle() else {
        return Vec::new();
    };
    receive(shared, &bundle, reports, &from.id, &from.data_centre)
}

/// Applies verdicts to the services of the active bundle.
pub fn apply_verdicts(shared: &EntryState, verdicts: &[Verdict]) {
    let Some(bundle) = shared.active_bundle() else {
        return;
    };
    let now = wingspur_clock::now();
    for handle in &bundle.services {
        let mut table = handle.table.lock();
        let tag = table.tag();
        for verdict in verdicts.iter().filter(|verdict| verdict.service_tag == tag) {
            table.apply(verdict, now);
        }
    }
}

/// Sends the collected evidence to the box that hosts each service's detector, in one
/// message for each box. Returns whether no service had any work.
fn report(shared: &Arc<EntryState>, bundle: &ActiveBundle) -> bool {
    let now = wingspur_clock::now();
    let mut idle = true;
    let mut by_owner: HashMap<BoxId, Vec<EvidenceReport>> = HashMap::new();
    let mut live = None;
    for handle in &bundle.services {
        let report = {
            let mut table = handle.table.lock();
            idle &= table.is_idle(now);
            table.tick(now)
        };
        let Some(report) = report else { continue };
        let live = live.get_or_insert_with(|| shared.live_boxes());
        let role = format!("judge/{}", handle.service.name);
        let owner = live.owner(&role);
        let owner = owner.unwrap_or(&shared.settings.box_id).clone();
        by_owner.entry(owner).or_default().push(report);
    }
    for (owner, reports) in by_owner {
        let Some(peer) = shared.peer(&owner) else {
            let data_centre = &shared.settings.data_centre;
            let verdicts = receive(shared, bundle, &reports, &owner, data_centre);
            apply_verdicts(shared, &verdicts);
            continue;
        };
        let state = shared.clone();
        shared.spawner.detach(async move {
            let message = PeerMessage::Evidence(reports);
            let reply = state.request_peer(&peer, message, REPORT_TIMEOUT).await;
            if let Some(PeerReply::Verdicts(verdicts)) = reply {
                apply_verdicts(&state, &verdicts);
            }
        });
    }
    idle
}

fn receive(
    shared: &EntryState,
    bundle: &ActiveBundle,
    reports: &[EvidenceReport],
    from: &BoxId,
    data_centre: &DataCentreId,
) -> Vec<Verdict> {
    let now = wingspur_clock::now();
    let mut detectors = shared.outlier_detectors.lock();
    let mut verdicts = Vec::with_capacity(reports.len());
    for report in reports {
        let tag_of = |handle: &&Arc<ServiceHandle>| handle.table.lock().tag();
        let tag = report.service_tag;
        let Some(handle) = bundle.services.iter().find(|handle| tag_of(handle) == tag)
        else {
            continue;
        };
        let hosted = detectors
            .by_service_tag
            .entry(tag)
            .or_insert_with(|| HostedDetector::new(handle, tag, now));
        hosted.last_report_at = now;
        hosted
            .detector
            .record_report(from, data_centre, report, now);
        // Before the shared record was read, a detector does not know which servers are
        // ejected, and gives no verdict.
        if hosted.revision.is_some() {
            verdicts.push(hosted.detector.verdict(data_centre));
        }
    }
    verdicts
}

/// Ticks the detectors hosted here, sends changed verdicts and starts syncing records.
/// Returns whether this box hosts none.
fn run_detectors(shared: &Arc<EntryState>, bundle: &ActiveBundle) -> bool {
    if shared.outlier_detectors.lock().by_service_tag.is_empty() {
        return true;
    }
    let now = wingspur_clock::now();
    let mut to_sync = Vec::new();
    let mut changed = Vec::new();
    let data_centres = shared
        .membership
        .lock()
        .data_centres(&shared.settings.data_centre);
    {
        let mut detectors = shared.outlier_detectors.lock();
        detectors.by_service_tag.retain(|_, hosted| {
            now.saturating_duration_since(hosted.last_report_at) < DETECTOR_TTL
        });
        for (tag, hosted) in &mut detectors.by_service_tag {
            hosted.sync_leaving_servers(bundle);
            for event in hosted.detector.tick(now) {
                record_event(shared, &hosted.service, &event);
            }
            changed.extend(hosted.take_changed_verdicts(&data_centres));
            let needs_sync =
                hosted.revision.is_none() || hosted.detector.pending_record().is_some();
            if needs_sync && !hosted.syncing {
                hosted.syncing = true;
                to_sync.push(*tag);
            }
        }
    }
    send_changes(shared, changed);
    for tag in to_sync {
        shared.spawner.detach(sync_record(shared.clone(), tag));
    }
    false
}

/// Synchronises a detector with the shared record in the store, and pauses after a
/// failure.
async fn sync_record(shared: Arc<EntryState>, tag: u64) {
    let pause = match sync_once(&shared, tag).await {
        Ok(()) => Duration::ZERO,
        Err(error) => {
            tracing::debug!("judge: the ejection record cannot be synced: {error}.");
            let mut detectors = shared.outlier_detectors.lock();
            let Some(hosted) = detectors.by_service_tag.get_mut(&tag) else {
                return;
            };
            hosted.failures = hosted.failures.saturating_add(1);
            backoff(hosted.failures)
        }
    };
    wingspur_clock::sleep(pause).await;
    if let Some(hosted) = shared.outlier_detectors.lock().by_service_tag.get_mut(&tag) {
        hosted.syncing = false;
    }
}

async fn sync_once(shared: &EntryState, tag: u64) -> Result<(), StoreError> {
    let Some((service, revision, proposal)) = ({
        let detectors = shared.outlier_detectors.lock();
        detectors
            .by_service_tag
            .get(&tag)
            .map(HostedDetector::pending_write)
    }) else {
        return Ok(());
    };
    let key = shared.keys.ejections(&service);
    if let (Some(revision), Some(proposal)) = (revision, proposal) {
        let value = serde_json::to_vec(&proposal)?;
        shared.count_store_call("record_write");
        // Whether the write succeeded, was refused or got no reply: the read that follows
        // shows the current record.
        let written = shared.store.put_if(&key, &value, revision).await;
        if let Ok(WriteOutcome::Refused(_)) = written {
            tracing::info!("judge: another box wrote the record of {service} first.");
        }
    }
    shared.count_store_call("record_read");
    let current = shared.store.get(&key).await?;
    let revision = current.as_ref().map_or(0, |pair| pair.mod_revision);
    let record: EjectionRecord = match current {
        Some(pair) => decode_record(&service, &pair.value),
        None => EjectionRecord::default(),
    };
    let mut detectors = shared.outlier_detectors.lock();
    if let Some(hosted) = detectors.by_service_tag.get_mut(&tag) {
        hosted.failures = 0;
        hosted.revision = Some(revision);
        hosted.detector.apply_record(record, wingspur_clock::now());
    }
    Ok(())
}

/// Decodes the agreed ejections of a service. What cannot be decoded counts as empty, so
/// that the next agreement replaces it.
fn decode_record(service: &str, value: &[u8]) -> EjectionRecord {
    serde_json::from_slice(value).unwrap_or_else(|error| {
        tracing::warn!(
            "judge: the ejection record of {service} counts as empty, since it cannot be \
             decoded: {error}."
        );
        EjectionRecord::default()
    })
}

/// Sends the changed verdicts of each data centre to all its live boxes.
fn send_changes(shared: &Arc<EntryState>, changes: Vec<(DataCentreId, Verdict)>) {
    let mut by_data_centre: HashMap<DataCentreId, Vec<Verdict>> = HashMap::new();
    for (data_centre, verdict) in changes {
        by_data_centre.entry(data_centre).or_default().push(verdict);
    }
    for (data_centre, verdicts) in by_data_centre {
        if data_centre == shared.settings.data_centre {
            apply_verdicts(shared, &verdicts);
        }
        let peers = shared
            .membership
            .lock()
            .live_in(&data_centre, wingspur_clock::now());
        for peer in peers {
            let (state, message) =
                (shared.clone(), PeerMessage::Verdicts(verdicts.clone()));
            shared.spawner.detach(async move {
                state.request_peer(&peer, message, REPORT_TIMEOUT).await;
            });
        }
    }
}

fn record_event(shared: &EntryState, service: &str, event: &OutlierEvent) {
    let (name, server) = match event {
        OutlierEvent::Suspected(server) => ("suspected", server),
        OutlierEvent::OnTrial(server) => ("on_trial", server),
        OutlierEvent::Returned(server) => ("returned", server),
    };
    shared
        .metrics
        .judge_events
        .with_label_values(&[service, name])
        .inc();
    tracing::info!("judge: server {server} of {service} is {name}.");
}

/// Interval between two ticks of a box without work.
const IDLE_TICK: Duration = Duration::from_millis(250);
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// A detector that has received no report for this long is removed from this box.
const DETECTOR_TTL: Duration = Duration::from_secs(10);
