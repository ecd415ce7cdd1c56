//! Messages between peers: sends heartbeats, answers incoming messages and reads the box
//! list.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use wingspur_coordination::PeerView;
use wingspur_protocol::{
    BoxList, BundleOffer, Heartbeat, ListedServer, PeerEnvelope, PeerMessage, PeerReply,
    decode_peer, encode_peer,
};
use wingspur_transport::{PeerCertificate, StopSignal};

use crate::bundles::fetch_if_newer;
use crate::detection;
use crate::entry_state::{EntryState, PEER_PATH};
use crate::operator::status;

/// Answers a request on the peer port.
pub async fn handle_peer_request(
    shared: Arc<EntryState>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    if request.method() != Method::POST || request.uri().path() != PEER_PATH {
        return refuse(&shared, "wrong_path", StatusCode::NOT_FOUND);
    }
    let certificate = request.extensions().get::<PeerCertificate>().cloned();
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES)
        .collect()
        .await;
    let Ok(body) = body else {
        return refuse(&shared, "oversized", StatusCode::PAYLOAD_TOO_LARGE);
    };
    let envelope = match decode_peer(&body.to_bytes(), &shared.settings.fleet) {
        Ok(envelope) => envelope,
        Err(error) => {
            tracing::debug!("peer: refused: {error}.");
            return refuse(&shared, "unreadable", StatusCode::BAD_REQUEST);
        }
    };
    // A status request is read-only and may come from an operator's command, which
    // runs outside the fleet.
    if envelope.message != PeerMessage::Status {
        if certificate.is_some_and(|certificate| !certificate.matches_box(&envelope.from))
        {
            tracing::warn!("peer: the certificate does not name {}.", envelope.from);
            return refuse(&shared, "wrong_certificate", StatusCode::FORBIDDEN);
        }
        let PeerEnvelope {
            from,
            incarnation,
            sequence,
            ..
        } = &envelope;
        let mut membership = shared.membership.lock();
        let received =
            membership.receive(from, *incarnation, *sequence, wingspur_clock::now());
        drop(membership);
        if let Err(refusal) = received {
            tracing::debug!("peer: {from} refused: {refusal}.");
            return refuse(&shared, "not_admitted", StatusCode::FORBIDDEN);
        }
    }
    let reply = answer_message(&shared, envelope).await;
    Response::new(Full::new(Bytes::from(encode_peer(&reply))))
}

async fn answer_message(shared: &Arc<EntryState>, envelope: PeerEnvelope) -> PeerReply {
    let peer = shared.peer(&envelope.from);
    match (envelope.message, peer) {
        (PeerMessage::Status, _) => PeerReply::Status(status(shared)),
        (PeerMessage::Heartbeat(heartbeat), Some(peer)) => {
            let reply = own_heartbeat(shared, &peer);
            receive_heartbeat(shared, heartbeat, &peer);
            PeerReply::Heartbeat(reply)
        }
        (PeerMessage::Newer(version), Some(peer)) => {
            fetch_if_newer(shared, version, peer);
            PeerReply::Done
        }
        (PeerMessage::FetchParts(digests), _) => {
            PeerReply::Parts(parts(shared, &digests))
        }
        (PeerMessage::FetchBundle, _) => {
            let active = shared.active_bundle();
            let offer = active.map(|b| BundleOffer {
                signed: b.signed.clone(),
            });
            PeerReply::Bundle(offer)
        }
        (PeerMessage::Evidence(reports), Some(peer)) => {
            PeerReply::Verdicts(detection::receive_evidence(shared, &reports, &peer))
        }
        (PeerMessage::Verdicts(verdicts), Some(_)) => {
            detection::apply_verdicts(shared, &verdicts);
            PeerReply::Done
        }
        (PeerMessage::Claim(request), _) => {
            PeerReply::Claim(shared.shards.claim(request).await)
        }
        (PeerMessage::Outcome(report), _) => {
            match shared.shards.record_outcome(&report) {
                true => PeerReply::Done,
                false => PeerReply::Refused("this box does not own the shard".to_owned()),
            }
        }
        (_, None) => PeerReply::Refused("the sender is not in the list".to_owned()),
    }
}

/// Sends heartbeats until the box stops.
pub async fn run_heartbeats(shared: Arc<EntryState>, every: Duration, stop: StopSignal) {
    while !stop.is_triggered() {
        send_heartbeats(&shared);
        wingspur_clock::sleep(every).await;
    }
}

/// Sends one round of heartbeats.
pub fn send_heartbeats(shared: &Arc<EntryState>) {
    let random = rand::random();
    let targets = shared
        .membership
        .lock()
        .begin_round(random, wingspur_clock::now());
    for peer in targets {
        let shared = shared.clone();
        let spawner = shared.spawner.clone();
        spawner.detach(async move {
            let message = PeerMessage::Heartbeat(own_heartbeat(&shared, &peer));
            let reply = shared.request_peer(&peer, message, HEARTBEAT_TIMEOUT).await;
            if let Some(PeerReply::Heartbeat(heartbeat)) = reply {
                receive_heartbeat(&shared, heartbeat, &peer);
            }
        });
    }
}

/// Reads the platform's box list periodically until the box stops.
pub async fn run_box_list(shared: Arc<EntryState>, stop: StopSignal) {
    let mut validator = None;
    while !stop.is_triggered() {
        read_box_list(&shared, &mut validator).await;
        wingspur_clock::sleep(BOX_LIST_INTERVAL).await;
    }
}

/// Reads the platform's box list once and applies it, if it has changed since the one
/// with this validator. If it cannot be fetched or decoded, the previous list stays in
/// use.
pub async fn read_box_list(shared: &EntryState, validator: &mut Option<String>) {
    let address = shared.sources.box_list_address;
    let known = validator.as_deref();
    let response = shared
        .box_list_client
        .get_if_modified(address, "/boxes", known, BOX_LIST_TIMEOUT)
        .await;
    let (bytes, new_validator) = match response {
        Ok(Some(changed)) => changed,
        Ok(None) => return,
        Err(error) => {
            tracing::debug!("list: the platform's list was not fetched: {error}.");
            return;
        }
    };
    let list = match serde_json::from_slice::<BoxList>(&bytes) {
        Ok(list) => list,
        Err(error) => {
            tracing::warn!("list: the platform's list is invalid: {error}.");
            return;
        }
    };
    *validator = new_validator;
    shared.membership.lock().update_listed(&list);
    let Some(bundle) = shared.active_bundle() else {
        return;
    };
    for handle in &bundle.services {
        let mut table = handle.table.lock();
        for (index, server) in handle.service.servers.iter().enumerate() {
            let same = |listed: &ListedServer| listed.address == server.address;
            let leaving = list.leaving_servers.iter().any(same);
            table.set_listed_draining(index, leaving);
        }
    }
}

fn own_heartbeat(shared: &EntryState, to: &PeerView) -> Heartbeat {
    let membership = shared.membership.lock();
    let heard_sequence = membership.heard_sequence(&to.id);
    let suspicions = membership.suspicions(wingspur_clock::now());
    drop(membership);
    Heartbeat {
        bundle_version: shared.bundle_version(),
        heard_sequence,
        leaving: shared.stopping.has_begun(),
        suspicions,
    }
}

fn receive_heartbeat(shared: &Arc<EntryState>, heartbeat: Heartbeat, peer: &PeerView) {
    let mut membership = shared.membership.lock();
    membership.set_leaving(&peer.id, heartbeat.leaving);
    membership.receive_suspicions(&heartbeat.suspicions, wingspur_clock::now());
    drop(membership);
    fetch_if_newer(shared, heartbeat.bundle_version, peer.clone());
}

fn parts(shared: &EntryState, digests: &[String]) -> Vec<(String, serde_bytes::ByteBuf)> {
    let Some(bundle) = shared.active_bundle() else {
        return Vec::new();
    };
    let part = |digest: &String| {
        let bytes = bundle.parts.get(digest)?.clone();
        Some((digest.clone(), serde_bytes::ByteBuf::from(bytes)))
    };
    digests.iter().filter_map(part).collect()
}

fn refuse(
    shared: &EntryState,
    reason: &str,
    status: StatusCode,
) -> Response<Full<Bytes>> {
    shared
        .metrics
        .peer_refusals
        .with_label_values(&[reason])
        .inc();
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Maximum size of a message that a box accepts from a peer.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);
const BOX_LIST_INTERVAL: Duration = Duration::from_secs(2);
const BOX_LIST_TIMEOUT: Duration = Duration::from_secs(1);
