//! Evidence on its way to the judges, and verdicts on their way back.

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

/// Weighs, reports and judges until the box stops.
pub async fn run_detection(shared: Arc<EntryState>, stop: StopSignal) {
    let mut idle = true;
    while !stop.is_triggered() {
        // Waking up is what an idle box spends most on.
        wingspur_clock::sleep(if idle { IDLE_TICK } else { EVIDENCE_TICK }).await;
        let Some(bundle) = shared.active_bundle() else {
            continue;
        };
        idle = report(&shared, &bundle) & judge(&shared, &bundle);
    }
}

/// Adds a peer's evidence to the judges held here, and gives their verdicts.
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

/// Puts verdicts in force here.
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

/// Sends what was seen to each service's judge, one message a box; true when no service
/// had any work.
fn report(shared: &Arc<EntryState>, bundle: &ActiveBundle) -> bool {
    let now = wingspur_clock::now();
    let mut idle = true;
    let mut by_judge: HashMap<BoxId, Vec<EvidenceReport>> = HashMap::new();
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
        let holder = live.owner(&role);
        let holder = holder.unwrap_or(&shared.settings.box_id).clone();
        by_judge.entry(holder).or_default().push(report);
    }
    for (holder, reports) in by_judge {
        let Some(peer) = shared.peer(&holder) else {
            let home = &shared.settings.data_centre;
            let verdicts = receive(shared, bundle, &reports, &holder, home);
            apply_verdicts(shared, &verdicts);
            continue;
        };
        let asking = shared.clone();
        shared.spawner.detach(async move {
            let message = PeerMessage::Evidence(reports);
            let reply = asking.request_peer(&peer, message, REPORT_TIMEOUT).await;
            if let Some(PeerReply::Verdicts(verdicts)) = reply {
                apply_verdicts(&asking, &verdicts);
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
    let mut judges = shared.outlier_detectors.lock();
    let mut verdicts = Vec::with_capacity(reports.len());
    for report in reports {
        let tagged = |handle: &&Arc<ServiceHandle>| handle.table.lock().tag();
        let tag = report.service_tag;
        let Some(handle) = bundle.services.iter().find(|handle| tagged(handle) == tag)
        else {
            continue;
        };
        let seat = judges
            .by_service_tag
            .entry(tag)
            .or_insert_with(|| HostedDetector::new(handle, tag, now));
        seat.last_report_at = now;
        seat.detector.record_report(from, data_centre, report, now);
        // Without the agreed record a judge cannot say who is out, and says nothing.
        if seat.revision.is_some() {
            verdicts.push(seat.detector.verdict(data_centre));
        }
    }
    verdicts
}

/// Steps the judges held here, and carries out what follows; true when none is held.
fn judge(shared: &Arc<EntryState>, bundle: &ActiveBundle) -> bool {
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
        let mut judges = shared.outlier_detectors.lock();
        judges.by_service_tag.retain(|_, seat| {
            now.saturating_duration_since(seat.last_report_at) < SEAT_TTL
        });
        for (tag, seat) in &mut judges.by_service_tag {
            seat.sync_leaving_servers(bundle);
            for event in seat.detector.tick(now) {
                note(shared, &seat.service, &event);
            }
            changed.extend(seat.take_changed_verdicts(&data_centres));
            let wanted =
                seat.revision.is_none() || seat.detector.pending_record().is_some();
            if wanted && !seat.syncing {
                seat.syncing = true;
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

/// Brings a judge and the agreed record in the store together.
async fn sync_record(shared: Arc<EntryState>, tag: u64) {
    let pause = match sync_once(&shared, tag).await {
        Ok(()) => Duration::ZERO,
        Err(error) => {
            tracing::debug!("judge: the record cannot be had: {error}.");
            let mut judges = shared.outlier_detectors.lock();
            let Some(seat) = judges.by_service_tag.get_mut(&tag) else {
                return;
            };
            seat.failures = seat.failures.saturating_add(1);
            backoff(seat.failures)
        }
    };
    wingspur_clock::sleep(pause).await;
    if let Some(seat) = shared.outlier_detectors.lock().by_service_tag.get_mut(&tag) {
        seat.syncing = false;
    }
}

async fn sync_once(shared: &EntryState, tag: u64) -> Result<(), StoreError> {
    let Some((service, revision, proposal)) = ({
        let judges = shared.outlier_detectors.lock();
        judges
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
        // Whether it was written, refused or lost: the read that follows tells.
        let written = shared.store.put_if(&key, &value, revision).await;
        if let Ok(WriteOutcome::Refused(_)) = written {
            tracing::info!("judge: another judge of {service} wrote first.");
        }
    }
    shared.count_store_call("record_read");
    let present = shared.store.get(&key).await?;
    let revision = present.as_ref().map_or(0, |pair| pair.mod_revision);
    let record: EjectionRecord = match present {
        Some(pair) => serde_json::from_slice(&pair.value)?,
        None => EjectionRecord::default(),
    };
    let mut judges = shared.outlier_detectors.lock();
    if let Some(seat) = judges.by_service_tag.get_mut(&tag) {
        seat.failures = 0;
        seat.revision = Some(revision);
        seat.detector.apply_record(record, wingspur_clock::now());
    }
    Ok(())
}

/// Tells every box of each data centre what has changed.
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
            let (telling, message) =
                (shared.clone(), PeerMessage::Verdicts(verdicts.clone()));
            shared.spawner.detach(async move {
                telling.request_peer(&peer, message, REPORT_TIMEOUT).await;
            });
        }
    }
}

fn note(shared: &EntryState, service: &str, event: &OutlierEvent) {
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

/// Between two looks of a box without work.
const IDLE_TICK: Duration = Duration::from_millis(250);
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// A judge that nobody reports to any more gives up its seat.
const SEAT_TTL: Duration = Duration::from_secs(10);
