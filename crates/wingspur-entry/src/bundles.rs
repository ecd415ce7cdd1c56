//! Bundles on a box: from the store or a peer, checked, in force, spread on.

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

/// Why a bundle was not put in force.
#[derive(Debug, thiserror::Error)]
pub enum BundleRefusal {
    /// One as new, or newer, is in force.
    #[error("version {0} is not newer")]
    NotNewer(u64),
    /// It is of another fleet.
    #[error("it is for fleet `{0}`")]
    WrongFleet(String),
    /// The sign-off does not hold, or the records cannot be read.
    #[error(transparent)]
    Invalid(#[from] PublishError),
    /// It is not sound.
    #[error("it is not sound: {0}")]
    Unsound(String),
    /// The peer did not give all of its parts.
    #[error("the peer did not give all of its parts")]
    PartsMissing,
}

impl BundleRefusal {
    fn label(&self) -> &'static str {
        match self {
            Self::NotNewer(_) => "not_newer",
            Self::WrongFleet(_) => "wrong_fleet",
            Self::Invalid(_) => "invalid",
            Self::Unsound(_) => "unsound",
            Self::PartsMissing => "parts_missing",
        }
    }
}

/// Fetches a version from a peer if it is newer and nobody has told of it just now.
pub fn fetch_if_newer(shared: &Arc<EntryState>, version: BundleVersion, peer: PeerView) {
    if version <= shared.bundle_version() || !shared.begin_fetch(version) {
        return;
    }
    let shared = shared.clone();
    let spawner = shared.spawner.clone();
    spawner.detach(async move {
        fetch_from(&shared, &peer).await;
        shared.end_fetch(version);
    });
}

/// Takes a peer's offer if it is newer, and spreads it on.
async fn take_offer(shared: &Arc<EntryState>, offer: BundleOffer, from: &PeerView) {
    let taken = async {
        let manifest = accept_manifest(shared, &offer.signed)?;
        let parts = fetch_parts(shared, &manifest, from).await?;
        put_in_force(shared, offer.signed, manifest, parts)
    };
    note_refusal(shared, taken.await);
}

/// Asks a peer that has a newer bundle for it.
async fn fetch_from(shared: &Arc<EntryState>, peer: &PeerView) {
    let reply = shared
        .request_peer(peer, PeerMessage::FetchBundle, FETCH_TIMEOUT)
        .await;
    if let Some(PeerReply::Bundle(Some(offer))) = reply {
        take_offer(shared, offer, peer).await;
    }
}

/// Looks into the store for a newer bundle.
pub async fn fetch_from_store(shared: &Arc<EntryState>) -> Result<i64, StoreError> {
    shared.count_store_call("pointer_read");
    let pointer = match load_pointer(&shared.store, &shared.keys).await {
        Ok(pointer) => pointer,
        Err(PublishError::Store(error)) => return Err(error),
        Err(error) => {
            note_refusal(shared, Err(error.into()));
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
        Err(error) => note_refusal(shared, Err(error.into())),
        Ok((signed, parts)) => {
            let taken = accept_manifest(shared, &signed)
                .and_then(|manifest| put_in_force(shared, signed, manifest, parts));
            note_refusal(shared, taken);
        }
    }
    Ok(revision)
}

/// Finds the first bundle: the store's, or with the store down the greatest that the
/// peers have.
pub async fn load_initial_bundle(shared: &Arc<EntryState>, stop: &StopSignal) {
    while shared.bundle_version() == 0 && !stop.is_triggered() {
        if let Err(error) = fetch_from_store(shared).await {
            tracing::warn!("bundle: the store has none for us: {error}.");
        }
        if shared.bundle_version() == 0 {
            ask_peers(shared).await;
        }
        if shared.bundle_version() == 0 {
            wingspur_clock::sleep(FIRST_RETRY).await;
        }
    }
}

/// Watches the pointer for as long as this box is a reader of its data centre.
pub async fn run_pointer_watch(shared: Arc<EntryState>, stop: StopSignal) {
    let mut failures = 0u32;
    while !stop.is_triggered() {
        if !is_reader(&shared) {
            wingspur_clock::sleep(READER_CHECK).await;
            continue;
        }
        match watch_once(&shared, &stop).await {
            Ok(()) => failures = 0,
            Err(error) => {
                failures = failures.saturating_add(1);
                tracing::debug!("bundle: the watch is lost: {error}.");
                wingspur_clock::sleep(backoff(failures)).await;
            }
        }
    }
}

/// A pause that doubles to half a minute, drawn between a half and the whole of it.
pub fn backoff(failures: u32) -> Duration {
    let whole = BACKOFF_FIRST * 2u32.pow(failures.min(8));
    whole
        .min(BACKOFF_MOST)
        .mul_f64(0.5 + rand::random::<f64>() / 2.0)
}

async fn watch_once(
    shared: &Arc<EntryState>,
    stop: &StopSignal,
) -> Result<(), StoreError> {
    let revision = fetch_from_store(shared).await?;
    let key = shared.keys.pointer();
    shared.count_store_call("watch");
    let mut watch = shared.store.watch(&key, revision + 1).await?;
    // A watch can go dead without a word: it is opened anew after a while, and the pointer
    // read, whatever it says.
    let end = wingspur_clock::now() + WATCH_AT_MOST;
    while !stop.is_triggered() && is_reader(shared) && wingspur_clock::now() < end {
        let events = watch.next(WATCH_PATIENCE).await?;
        if events.is_some_and(|events| !events.is_empty()) {
            fetch_from_store(shared).await?;
        }
    }
    Ok(())
}

fn is_reader(shared: &EntryState) -> bool {
    let home = &shared.settings.data_centre;
    let own = &shared.settings.box_id;
    let others = shared
        .membership
        .lock()
        .live_in(home, wingspur_clock::now());
    let ids = others.into_iter().map(|peer| peer.id);
    let inside = RendezvousSet::new(ids.chain([own.clone()]));
    inside.is_in_top(&format!("reader/{home}"), READERS, own)
}

async fn ask_peers(shared: &Arc<EntryState>) {
    for peer in random_peers(shared, START_PEERS) {
        fetch_from(shared, &peer).await;
    }
}

/// Checks a manifest's sign-off, fleet and version.
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

fn put_in_force(
    shared: &Arc<EntryState>,
    signed: SignedBundle,
    manifest: Manifest,
    parts: HashMap<String, Vec<u8>>,
) -> Result<(), BundleRefusal> {
    let version = manifest.version;
    let bundle = assemble_bundle(&manifest, &parts)?;
    if let Some(finding) = check_bundle(&bundle).first() {
        return Err(BundleRefusal::Unsound(finding.to_string()));
    }
    let before = shared.active_bundle();
    let boxes = shared.membership.lock().size() as u32;
    let place = BoxContext {
        data_centre: &shared.settings.data_centre,
        boxes,
        spawner: &shared.spawner,
    };
    let in_force =
        ActiveBundle::new(signed, manifest, parts, bundle, before.as_deref(), &place)
            .map_err(|clash| BundleRefusal::Unsound(clash.to_string()))?;
    if !shared.activate_if_newer(in_force) {
        return Err(BundleRefusal::NotNewer(version));
    }
    tracing::info!("bundle: version {version} is in force.");
    shared.spawner.detach(spread(shared.clone(), version));
    Ok(())
}

/// Tells some peers of a bundle that has just come in force; they do the same.
async fn spread(shared: Arc<EntryState>, version: BundleVersion) {
    // Random boxes make it fast, the next ones on the ring make it sure.
    let mut peers = shared.membership.lock().next_on_ring(SPREAD_ON_RING);
    peers.extend(random_peers(&shared, SPREAD_AT_RANDOM));
    for peer in peers {
        let shared = shared.clone();
        let spawner = shared.spawner.clone();
        spawner.detach(async move {
            let message = PeerMessage::Newer(version);
            shared.request_peer(&peer, message, FETCH_TIMEOUT).await;
        });
    }
}

/// Gets the parts that no bundle in force has had from the peer that offered.
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
    for some in missing.chunks(PARTS_AT_ONCE) {
        let message = PeerMessage::FetchParts(some.to_vec());
        let reply = shared.request_peer(from, message, FETCH_TIMEOUT).await;
        let Some(PeerReply::Parts(given)) = reply else {
            return Err(BundleRefusal::PartsMissing);
        };
        for (digest, bytes) in given {
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
    // One more than wanted: this box itself may be among those drawn.
    let drawn = ids.sample(&mut rand::rng(), count + 1);
    drawn.filter_map(|id| shared.peer(id)).take(count).collect()
}

fn note_refusal(shared: &EntryState, taken: Result<(), BundleRefusal>) {
    let Err(refusal) = taken else { return };
    shared
        .metrics
        .bundle_refusals
        .with_label_values(&[refusal.label()])
        .inc();
    if !matches!(refusal, BundleRefusal::NotNewer(_)) {
        tracing::warn!("bundle: refused: {refusal}.");
    }
}

/// Boxes of a data centre that watch the pointer.
const READERS: usize = 2;
const READER_CHECK: Duration = Duration::from_secs(1);
const WATCH_PATIENCE: Duration = Duration::from_secs(1);
const WATCH_AT_MOST: Duration = Duration::from_secs(5);
const FIRST_RETRY: Duration = Duration::from_millis(300);
const START_PEERS: usize = 5;
const SPREAD_ON_RING: usize = 2;
const SPREAD_AT_RANDOM: usize = 3;
const PARTS_AT_ONCE: usize = 64;
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
const BACKOFF_FIRST: Duration = Duration::from_millis(200);
const BACKOFF_MOST: Duration = Duration::from_secs(30);
