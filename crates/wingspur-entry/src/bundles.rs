//! Fetches bundles from the store or from a peer, checks and activates them, and
//! announces them to other peers.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use wingspur_coordination::{PeerView, RendezvousSet};
use wingspur_protocol::{
    BundleOffer, Manifest, PeerMessage, PeerReply, SignedBundle, sha256_hex,
    verify_bundle,
};
use wingspur_state::{BoxId, BundleVersion, check_bundle};
use wingspur_transport::{
    PublishError, StopSignal, StoreError, assemble_bundle, load_bundle, load_pointer,
};

use crate::active_bundle::{ActiveBundle, BoxContext};
use crate::entry_state::EntryState;

/// Why a bundle was not activated.
#[derive(Debug, thiserror::Error)]
pub enum BundleRefusal {
    /// The active bundle has the same or a newer version.
    #[error("version {0} is not newer")]
    NotNewer(u64),
    /// It belongs to another fleet.
    #[error("it is for fleet `{0}`")]
    WrongFleet(String),
    /// The signature is invalid, or the records cannot be read.
    #[error(transparent)]
    Invalid(#[from] PublishError),
    /// It fails the checks of its content.
    #[error("it fails the checks: {0}")]
    FailedChecks(String),
    /// The peer did not send all of its parts.
    #[error("the peer did not send all of its parts")]
    PartsMissing,
}

impl BundleRefusal {
    fn label(&self) -> &'static str {
        match self {
            Self::NotNewer(_) => "not_newer",
            Self::WrongFleet(_) => "wrong_fleet",
            Self::Invalid(_) => "invalid",
            Self::FailedChecks(_) => "unsound",
            Self::PartsMissing => "parts_missing",
        }
    }
}

/// Starts fetching a peer's bundle if `version` is newer than the active one. Does
/// nothing while a fetch of this version or of a newer one is in progress.
pub fn fetch_if_newer(shared: &Arc<EntryState>, version: BundleVersion, peer: PeerView) {
    if version <= shared.bundle_version() || !shared.begin_fetch(version) {
        return;
    }
    let shared = shared.clone();
    let spawner = shared.spawner.clone();
    spawner.detach(async move {
        fetch_from_peer(&shared, &peer).await;
        shared.end_fetch(version);
    });
}

/// Activates a bundle offered by a peer if it is newer, and announces it to other peers.
async fn activate_offer(shared: &Arc<EntryState>, offer: BundleOffer, from: &PeerView) {
    let result = async {
        let manifest = accept_manifest(shared, &offer.signed)?;
        let parts = fetch_parts(shared, &manifest, from).await?;
        activate(shared, offer.signed, manifest, parts)
    };
    record_refusal(shared, result.await);
}

/// Requests the active bundle of a peer and activates it if it is newer.
async fn fetch_from_peer(shared: &Arc<EntryState>, peer: &PeerView) {
    let reply = shared
        .request_peer(peer, PeerMessage::FetchBundle, FETCH_TIMEOUT)
        .await;
    if let Some(PeerReply::Bundle(Some(offer))) = reply {
        activate_offer(shared, offer, peer).await;
    }
}

/// Reads the pointer in the store, and loads and activates the bundle if it is newer.
/// Returns the pointer's revision, or 0 if there is no valid pointer. Fails when a call
/// of the store fails; a refused bundle is logged and counted.
pub async fn fetch_from_store(shared: &Arc<EntryState>) -> Result<i64, StoreError> {
    shared.count_store_call("pointer_read");
    let pointer = match load_pointer(&shared.store, &shared.keys).await {
        Ok(pointer) => pointer,
        Err(PublishError::Store(error)) => return Err(error),
        Err(error) => {
            record_refusal(shared, Err(error.into()));
            return Ok(0);
        }
    };
    let Some((pointer, revision)) = pointer else {
        return Ok(0);
    };
    if pointer.version <= shared.bundle_version() {
        return Ok(revision);
    }
    let known = known_parts(shared);
    shared.count_store_call("bundle_read");
    let loaded = load_bundle(&shared.store, &shared.keys, &pointer, &known).await;
    match loaded {
        Err(PublishError::Store(error)) => return Err(error),
        Err(error) => record_refusal(shared, Err(error.into())),
        Ok((signed, parts)) => {
            let result = accept_manifest(shared, &signed)
                .and_then(|manifest| activate(shared, signed, manifest, parts));
            record_refusal(shared, result);
        }
    }
    Ok(revision)
}

/// Loads the first bundle after a start and retries until one is active or the box stops:
/// from the store, or the newest one of a few random peers if the store is unavailable or
/// has none.
pub async fn load_initial_bundle(shared: &Arc<EntryState>, stop: &StopSignal) {
    while shared.bundle_version() == 0 && !stop.is_triggered() {
        if let Err(error) = fetch_from_store(shared).await {
            tracing::warn!("bundle: the store cannot be read at the start: {error}.");
        }
        if shared.bundle_version() == 0 {
            fetch_from_random_peers(shared).await;
        }
        if shared.bundle_version() == 0 {
            wingspur_clock::sleep(FIRST_BUNDLE_RETRY_PAUSE).await;
        }
    }
}

/// Watches the pointer in the store while this box is one of the watchers of its data
/// centre. Runs until the box stops.
pub async fn run_pointer_watch(shared: Arc<EntryState>, stop: StopSignal) {
    let mut failures = 0u32;
    while !stop.is_triggered() {
        if !is_pointer_watcher(&shared) {
            wingspur_clock::sleep(WATCHER_CHECK_INTERVAL).await;
            continue;
        }
        match watch_pointer(&shared, &stop).await {
            Ok(()) => failures = 0,
            Err(error) => {
                failures = failures.saturating_add(1);
                tracing::debug!("bundle: the watch on the pointer failed: {error}.");
                wingspur_clock::sleep(backoff(failures)).await;
            }
        }
    }
}

/// Returns the pause before the next retry: it doubles with each failure, up to 30 s, and
/// is drawn at random between half of this and all of it.
pub fn backoff(failures: u32) -> Duration {
    let pause = BACKOFF_FIRST * 2u32.pow(failures.min(8));
    pause
        .min(BACKOFF_MAX)
        .mul_f64(0.5 + rand::random::<f64>() / 2.0)
}

async fn watch_pointer(
    shared: &Arc<EntryState>,
    stop: &StopSignal,
) -> Result<(), StoreError> {
    let revision = fetch_from_store(shared).await?;
    let key = shared.keys.pointer();
    shared.count_store_call("watch");
    let mut watch = shared.store.watch(&key, revision + 1).await?;
    // A watch can fail without an error. It is therefore reopened after a maximum age,
    // and the pointer is read again whether or not the watch reported a change.
    let end = wingspur_clock::now() + WATCH_MAX_AGE;
    while !stop.is_triggered()
        && is_pointer_watcher(shared)
        && wingspur_clock::now() < end
    {
        let events = watch.next(WATCH_POLL_TIMEOUT).await?;
        if events.is_some_and(|events| !events.is_empty()) {
            fetch_from_store(shared).await?;
        }
    }
    Ok(())
}

fn is_pointer_watcher(shared: &EntryState) -> bool {
    let data_centre = &shared.settings.data_centre;
    let own = &shared.settings.box_id;
    let others = shared
        .membership
        .lock()
        .live_in(data_centre, wingspur_clock::now());
    let ids = others.into_iter().map(|peer| peer.id);
    let candidates = RendezvousSet::new(ids.chain([own.clone()]));
    candidates.is_in_top(&format!("reader/{data_centre}"), POINTER_WATCHERS, own)
}

async fn fetch_from_random_peers(shared: &Arc<EntryState>) {
    for peer in random_peers(shared, FIRST_BUNDLE_PEERS) {
        fetch_from_peer(shared, &peer).await;
    }
}

/// Checks a manifest's signature, fleet and version.
fn accept_manifest(
    shared: &EntryState,
    signed: &SignedBundle,
) -> Result<Manifest, BundleRefusal> {
    let manifest =
        verify_bundle(signed, &shared.sources.keyring).map_err(PublishError::from)?;
    if manifest.fleet != shared.settings.fleet {
        return Err(BundleRefusal::WrongFleet(manifest.fleet));
    }
    if manifest.version <= shared.bundle_version() {
        return Err(BundleRefusal::NotNewer(manifest.version));
    }
    Ok(manifest)
}

fn activate(
    shared: &Arc<EntryState>,
    signed: SignedBundle,
    manifest: Manifest,
    parts: HashMap<String, Vec<u8>>,
) -> Result<(), BundleRefusal> {
    let version = manifest.version;
    let bundle = assemble_bundle(&manifest, &parts)?;
    if let Some(finding) = check_bundle(&bundle).first() {
        return Err(BundleRefusal::FailedChecks(finding.to_string()));
    }
    let previous = shared.active_bundle();
    let boxes = shared.membership.lock().size() as u32;
    let context = BoxContext {
        data_centre: &shared.settings.data_centre,
        boxes,
        spawner: &shared.spawner,
    };
    let active = ActiveBundle::new(
        signed,
        manifest,
        parts,
        bundle,
        previous.as_deref(),
        &context,
    )
    .map_err(|conflict| BundleRefusal::FailedChecks(conflict.to_string()))?;
    if !shared.activate_if_newer(active) {
        return Err(BundleRefusal::NotNewer(version));
    }
    tracing::info!("bundle: version {version} is in force.");
    shared.spawner.detach(announce(shared.clone(), version));
    Ok(())
}

/// Announces a newly activated bundle to some peers, which do the same in turn.
async fn announce(shared: Arc<EntryState>, version: BundleVersion) {
    // Random peers spread it fast; the next peers on the ring make sure that it reaches
    // every box.
    let mut peers = shared.membership.lock().next_on_ring(ANNOUNCE_RING_PEERS);
    peers.extend(random_peers(&shared, ANNOUNCE_RANDOM_PEERS));
    for peer in peers {
        let shared = shared.clone();
        let spawner = shared.spawner.clone();
        spawner.detach(async move {
            let message = PeerMessage::Newer(version);
            shared.request_peer(&peer, message, FETCH_TIMEOUT).await;
        });
    }
}

/// Fetches the parts that the active bundle lacks from the peer that made the offer.
async fn fetch_parts(
    shared: &EntryState,
    manifest: &Manifest,
    from: &PeerView,
) -> Result<HashMap<String, Vec<u8>>, BundleRefusal> {
    let mut parts = known_parts(shared);
    let wanted = manifest.parts.iter().map(|part| part.digest.clone());
    let missing: Vec<String> = wanted
        .filter(|digest| !parts.contains_key(digest))
        .collect();
    for digests in missing.chunks(PARTS_PER_REQUEST) {
        let message = PeerMessage::FetchParts(digests.to_vec());
        let reply = shared.request_peer(from, message, FETCH_TIMEOUT).await;
        let Some(PeerReply::Parts(received)) = reply else {
            return Err(BundleRefusal::PartsMissing);
        };
        for (digest, bytes) in received {
            if sha256_hex(&bytes) == digest {
                parts.insert(digest, bytes.into_vec());
            }
        }
    }
    let needed: HashSet<&String> =
        manifest.parts.iter().map(|part| &part.digest).collect();
    parts.retain(|digest, _| needed.contains(digest));
    if parts.len() < needed.len() {
        return Err(BundleRefusal::PartsMissing);
    }
    Ok(parts)
}

fn known_parts(shared: &EntryState) -> HashMap<String, Vec<u8>> {
    shared
        .active_bundle()
        .map(|bundle| bundle.parts.clone())
        .unwrap_or_default()
}

fn random_peers(shared: &EntryState, count: usize) -> Vec<PeerView> {
    let live = shared.live_boxes();
    let ids: Vec<&BoxId> = live.ids().collect();
    // Draws one more than `count`, since this box itself may be among those drawn.
    let drawn = ids.sample(&mut rand::rng(), count + 1);
    drawn.filter_map(|id| shared.peer(id)).take(count).collect()
}

fn record_refusal(shared: &EntryState, result: Result<(), BundleRefusal>) {
    let Err(refusal) = result else { return };
    shared
        .metrics
        .bundle_refusals
        .with_label_values(&[refusal.label()])
        .inc();
    if !matches!(refusal, BundleRefusal::NotNewer(_)) {
        tracing::warn!("bundle: refused: {refusal}.");
    }
}

/// Number of boxes of a data centre that watch the pointer in the store.
const POINTER_WATCHERS: usize = 2;
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
const WATCH_POLL_TIMEOUT: Duration = Duration::from_secs(1);
const WATCH_MAX_AGE: Duration = Duration::from_secs(5);
const FIRST_BUNDLE_RETRY_PAUSE: Duration = Duration::from_millis(300);
const FIRST_BUNDLE_PEERS: usize = 5;
const ANNOUNCE_RING_PEERS: usize = 2;
const ANNOUNCE_RANDOM_PEERS: usize = 3;
const PARTS_PER_REQUEST: usize = 64;
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
const BACKOFF_FIRST: Duration = Duration::from_millis(200);
const BACKOFF_MAX: Duration = Duration::from_secs(30);
