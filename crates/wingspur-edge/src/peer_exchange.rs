//! Keeps the links that should stand, and the news going over them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use rand::seq::SliceRandom;
use wingspur_coordination::{LinkId, PlannedLink, SnapshotFrameCache, SourceUpdate};
use wingspur_protocol::{
    CatalogUpdate, Frame, FrameContent, Hello, LINK_PROTOCOL_VERSION, LinkRole,
    TallyUpdate,
};
use wingspur_state::{SourceId, server_key};
use wingspur_transport::{
    LinkBody, LinkError, LinkReceiver, LinkSender, LinkTimeouts, StopSignal, accept_link,
    empty_link_body, open_link,
};

use crate::active_link::InitialState;
use crate::catalog_state::{apply_peer_update, catch_up_update, current_snapshot};
use crate::edge_state::EdgeState;
use crate::links::OutgoingFrame;
use crate::quota_leases::handle_lease_messages;
use crate::request_log::round_for_log;
use crate::resend_lease_exchange::resend_budget_reports;
use crate::server_hints::{handle_leaving_updates, handle_limit_updates};
use crate::services::ServiceState;
use crate::store_calls::handle_store_era;
use crate::suspect_requests::{handle_suspect_updates, initial_suspect_updates};

/// Opens and closes links until the box stops.
pub async fn run_link_manager(shared: Arc<EdgeState>, stop: StopSignal) {
    let started = wingspur_clock::now();
    while !stop.is_triggered() {
        let (mut missing, unplanned) =
            shared.links.lock().diff_plan(wingspur_clock::now());
        if shared.links.lock().is_starting() {
            // Nothing is known yet: only a hub has something to tell.
            missing.retain(|planned| planned.role == LinkRole::Member);
        }
        for id in unplanned {
            drop_link(&shared, id, "another hub took its place");
        }
        let mut all_stand = true;
        for planned in missing {
            all_stand &= keep_link(&shared, planned).await;
        }
        if shared.links.lock().is_alone() && wingspur_clock::since(started) >= SEEDS_AFTER
        {
            ask_seeds(&shared).await;
        }
        shared.update_fleet_shares();
        // The next best box may do at once.
        let pause = if all_stand { REPLAN_EVERY } else { REPLAN_SOON };
        shared.link_plan_changed.wait(pause).await;
    }
}

/// Asks the seeds who else is there, until one answers.
async fn ask_seeds(shared: &Arc<EdgeState>) {
    let settings = shared.settings();
    let seeds = settings.catalog.iter().flat_map(|catalog| &catalog.seeds);
    let mut seeds: Vec<_> = seeds.collect();
    // Boxes that start together do not all press on the first.
    seeds.shuffle(&mut rand::rng());
    for seed in seeds
        .into_iter()
        .filter(|seed| **seed != settings.peer_address)
    {
        match open(shared, *seed, LinkRole::Member).await {
            Ok(opened) => {
                tracing::info!(%seed, "peer: a seed answers.");
                return take_up(shared, opened, LinkRole::Member);
            }
            Err(error) => tracing::info!(%seed, %error, "peer: a seed is silent."),
        }
    }
}

/// Sends news over the links until the box stops.
pub async fn run_exchange(shared: Arc<EdgeState>, stop: StopSignal) {
    let mut listings = SnapshotFrameCache::default();
    while !stop.is_triggered() {
        let pause = shared.links.lock().next_tick(wingspur_clock::now());
        if shared.pending_updates.wait(pause).await {
            // What happens at about the same time goes in one frame.
            let gap = shared.links.lock().next_tick(wingspur_clock::now());
            shared.urgent_updates.wait(gap.min(GATHER)).await;
        }
        tick(&shared, &mut listings);
    }
}

/// Answers a request on the peer port.
pub async fn handle_peer_request(
    shared: Arc<EdgeState>,
    request: Request<Incoming>,
) -> Response<LinkBody> {
    if request.method() != Method::POST || request.uri().path() != LINK_PATH {
        shared.metrics.count_peer_refusal("wrong_path");
        let mut response = Response::new(empty_link_body());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let (sender, receiver, response) = accept_link(request);
    let spawner = shared.spawner.clone();
    spawner.detach(serve_link(shared, sender, receiver));
    response
}

/// Opens a planned link; whether it stands.
async fn keep_link(shared: &Arc<EdgeState>, planned: PlannedLink) -> bool {
    let to = planned.to;
    match open(shared, to.peer_address, planned.role).await {
        Ok(opened) => {
            tracing::info!(peer = %to.id, role = ?planned.role, "peer: linked.");
            take_up(shared, opened, planned.role);
            true
        }
        Err(error) => {
            tracing::info!(peer = %to.id, %error, "peer: cannot be reached.");
            let mut links = shared.links.lock();
            match links.is_starting() {
                true => links
                    .planner()
                    .back_off_briefly(&to.id, wingspur_clock::now()),
                false => links.planner().back_off(&to.id, wingspur_clock::now()),
            }
            false
        }
    }
}

/// A link that this box has opened, with the other side's greeting.
type Opened = (LinkSender, LinkReceiver, Hello);

async fn open(
    shared: &EdgeState,
    to: SocketAddr,
    role: LinkRole,
) -> Result<Opened, LinkError> {
    let starting = shared.links.lock().is_starting();
    let patience = LinkTimeouts {
        connect: if starting {
            START_CONNECT_TIMEOUT
        } else {
            CONNECT_TIMEOUT
        },
        answer: OPEN_TIMEOUT,
    };
    let opened = open_link(&shared.connector, to, LINK_PATH, patience).await;
    let (sender, mut receiver) = opened?;
    sender.send(&own_hello(shared, role))?;
    let hello: Hello = receiver.next(OPEN_TIMEOUT).await?;
    check(shared, &hello)?;
    Ok((sender, receiver, hello))
}

/// Takes up a link that was opened here, and reads it in a task of its own.
fn take_up(shared: &Arc<EdgeState>, opened: Opened, role: LinkRole) {
    let (sender, receiver, hello) = opened;
    let (peer, now) = (hello.from.clone(), wingspur_clock::now());
    let id = shared.links.lock().add(peer, Some(role), None, sender, now);
    greet(shared, id, &hello);
    shared
        .spawner
        .detach(read_link(shared.clone(), id, receiver));
}

/// Serves a link that another box opened.
async fn serve_link(
    shared: Arc<EdgeState>,
    sender: LinkSender,
    mut receiver: LinkReceiver,
) {
    let hello = match receiver.next::<Hello>(OPEN_TIMEOUT).await {
        Ok(hello) => hello,
        Err(error) => {
            tracing::info!(%error, "peer: a link without a greeting.");
            return shared.metrics.count_peer_refusal("no_greeting");
        }
    };
    if let Err(error) = check(&shared, &hello) {
        tracing::warn!(peer = %hello.from.id, %error, "peer: a link was refused.");
        return shared.metrics.count_peer_refusal("not_admitted");
    }
    if sender.send(&own_hello(&shared, LinkRole::Hub)).is_err() {
        return;
    }
    let id = admit(&shared, &hello, sender);
    greet(&shared, id, &hello);
    read_link(shared, id, receiver).await;
}

fn admit(shared: &EdgeState, hello: &Hello, sender: LinkSender) -> LinkId {
    let mut links = shared.links.lock();
    let role = Some(hello.role);
    links.add(
        hello.from.clone(),
        None,
        role,
        sender,
        wingspur_clock::now(),
    )
}

/// Brings the other side up to date, if it is behind.
fn greet(shared: &Arc<EdgeState>, id: LinkId, hello: &Hello) {
    let theirs = hello.position;
    if theirs.era() > 0 {
        handle_store_era(shared, theirs.era(), "peer");
    }
    let now = wingspur_clock::now();
    if let Some(update) = catch_up_update(shared, theirs, hello.bundle_version, now) {
        shared.links.lock().send_update(id, update);
    }
    let has_started = theirs.is_start();
    let greeting = greeting(shared, has_started);
    shared.links.lock().queue_initial_state(id, greeting);
    shared.pending_updates.notify();
}

/// What a box is told by which this one links; what is made of servers only where it has
/// just started: the others have heard that, and it is most of a greeting.
fn greeting(shared: &EdgeState, has_started: bool) -> InitialState {
    let now = wingspur_clock::now();
    let mut greeting = InitialState {
        peer_is_new: has_started,
        suspects: initial_suspect_updates(shared),
        ..InitialState::default()
    };
    let standings = shared.announced_states.lock();
    greeting.limits = standings.limits.current_limits();
    greeting.leaving_servers = standings.draining();
    drop(standings);
    let services = match has_started {
        true => shared.services.all(),
        false => Vec::new(),
    };
    for service in services {
        greeting
            .health
            .extend(service.balancer.lock().health_snapshots(now));
    }
    greeting
}

/// Takes over what the other side of a new link knows.
fn adopt_greeting(shared: &EdgeState, frame: &Frame, now: Instant) {
    for (key, note) in &frame.health {
        if let Some(service) = shared.services.of_server(*key) {
            service
                .balancer
                .lock()
                .merge_health_snapshot(*key, note, now);
        }
    }
}

async fn read_link(shared: Arc<EdgeState>, id: LinkId, mut receiver: LinkReceiver) {
    loop {
        match receiver.next::<Frame>(SILENCE).await {
            Ok(frame) => take_frame(&shared, id, frame),
            Err(error) => {
                if matches!(error, LinkError::Ended) {
                    let now = wingspur_clock::now();
                    shared.links.lock().record_orderly_close(id, now);
                }
                let opened_here = shared.links.lock().peer(id).cloned();
                if let (Some(peer), LinkError::Silent(_)) = (opened_here, &error) {
                    shared
                        .links
                        .lock()
                        .planner()
                        .back_off(&peer, wingspur_clock::now());
                }
                return drop_link(&shared, id, &error.to_string());
            }
        }
    }
}

fn take_frame(shared: &Arc<EdgeState>, id: LinkId, mut frame: Frame) {
    let now = wingspur_clock::now();
    let updates = std::mem::take(&mut frame.catalog);
    match frame.content {
        FrameContent::Snapshot => return apply_updates(shared, id, updates, now),
        FrameContent::LeaseMessages => {
            return handle_lease_messages(shared, id, &frame.lease_messages);
        }
        FrameContent::All => handle_lease_messages(shared, id, &frame.lease_messages),
    }
    if frame.catalog_freshness.era > 0 {
        handle_store_era(shared, frame.catalog_freshness.era, "peer");
    }
    apply_updates(shared, id, updates, now);
    shared
        .resend_leases
        .lock()
        .record_report(id, &frame.resend_budgets);
    let mut links = shared.links.lock();
    links.note_frame(id, &frame, now);
    let updates = links.receive(id, &frame.tally_updates);
    let lost = links.remove_lost_sources();
    let passes_on = links.link_counts().0 > 1;
    drop(links);
    forget_sources(shared, &lost);
    apply_tallies(shared, &updates, now);
    adopt_greeting(shared, &frame, now);
    handle_suspect_updates(shared, id, &frame.suspects);
    handle_limit_updates(shared, id, &frame.limits);
    handle_leaving_updates(shared, id, &frame.draining_servers);
    if frame.leaving {
        shared.links.lock().note_peer_stop(id);
        shared.link_plan_changed.notify();
    }
    if frame.wants_snapshot {
        let listing = current_snapshot(shared, now);
        shared.links.lock().send_update(id, listing);
    }
    if passes_on || frame.wants_snapshot {
        shared.pending_updates.notify();
    }
}

fn apply_updates(
    shared: &Arc<EdgeState>,
    id: LinkId,
    updates: Vec<CatalogUpdate>,
    now: Instant,
) {
    for update in updates {
        apply_peer_update(shared, update, Some(id), now);
    }
}

fn drop_link(shared: &Arc<EdgeState>, id: LinkId, reason: &str) {
    let mut links = shared.links.lock();
    let peer = links.peer(id).cloned();
    let lost = links.remove(id);
    let updates = links.own_updates();
    drop(links);
    shared.resend_leases.lock().forget(id);
    if let Some(peer) = peer {
        tracing::info!(%peer, reason, "peer: link ended.");
    }
    forget_sources(shared, &lost);
    apply_tallies(shared, &updates, wingspur_clock::now());
    shared.link_plan_changed.notify();
    shared.pending_updates.notify();
}

/// Gathers what this box has seen, and sends what is due.
fn tick(shared: &Arc<EdgeState>, listings: &mut SnapshotFrameCache) {
    let now = wingspur_clock::now();
    let digest = own_digest(shared);
    let bundle_version = shared.bundle_version();
    let rooms = resend_budget_reports(shared, now);
    let mut links = shared.links.lock();
    if !digest.servers.is_empty() || !digest.services.is_empty() {
        links.receive_own(&digest);
    }
    let frames = links.take_frames(bundle_version, &rooms, now);
    let stuck = links.unresponsive(now);
    links.expire_snapshot(now);
    drop(links);
    for id in stuck {
        drop_link(shared, id, &LinkError::SendQueueFull.to_string());
    }
    for outgoing in frames {
        if let Err(error) = send(shared, &outgoing, listings) {
            drop_link(shared, outgoing.link, &error.to_string());
        }
    }
    listings.evict_unused();
}

/// Sends a frame, and the listing that goes before it.
fn send(
    shared: &EdgeState,
    outgoing: &OutgoingFrame,
    listings: &mut SnapshotFrameCache,
) -> Result<(), LinkError> {
    if let Some(pending) = &outgoing.listing {
        let listing = listings.frame(pending);
        let bytes = outgoing.sender.send_encoded(&listing)?;
        shared.metrics.count_frame(bytes);
    }
    let bytes = outgoing.sender.send(&outgoing.frame)?;
    shared.metrics.count_frame(bytes);
    Ok(())
}

fn own_digest(shared: &EdgeState) -> TallyUpdate {
    let mut digest = TallyUpdate::default();
    for service in shared.services.all() {
        digest
            .servers
            .extend(service.balancer.lock().take_changes());
        if let Some(tally) = service.budget.lock().take_change() {
            digest.services.push((server_key(&service.name), tally));
        }
    }
    digest
}

/// Lets this box's tables take in what others have seen.
fn apply_tallies(shared: &EdgeState, updates: &[SourceUpdate], now: Instant) {
    for source in updates {
        for (keyed, counts) in &source.servers {
            if let Some(service) = shared.services.of_server(keyed.0) {
                let mut balancer = service.balancer.lock();
                balancer.apply_remote(source.source, *keyed, counts, now);
            }
        }
        for service in shared.services.all() {
            send_urgent_on_suspect(shared, &service);
        }
        for service in shared.services.all() {
            let key = server_key(&service.name);
            let counted = source.services.iter().find(|(other, _)| *other == key);
            let mut budget = service.budget.lock();
            match counted {
                Some((_, tally)) => budget.merge_remote_counts(*tally, now),
                None => budget.record_report(now),
            }
        }
    }
}

/// Lets the news go out at once if a server has turned suspect.
pub fn send_urgent_on_suspect(shared: &EdgeState, service: &ServiceState) {
    if service.balancer.lock().take_new_suspicion() {
        log_suspicion_changes(service);
        shared.links.lock().mark_urgent();
        shared.urgent_updates.notify();
        shared.pending_updates.notify();
    }
}

/// Logs which servers of a service this box has begun, or ceased, to suspect.
pub fn log_suspicion_changes(service: &ServiceState) {
    for turned in service
        .balancer
        .lock()
        .take_suspicion_changes(wingspur_clock::now())
    {
        let outcome = if turned.is_suspected {
            "suspected"
        } else {
            "trusted again"
        };
        tracing::info!(
            server = %turned.server.id,
            service = service.name,
            failure_share = round_for_log(turned.failure_probability),
            sent_ms_ago = turned.last_request_at.as_millis() as u64,
            "server: {outcome}."
        );
    }
}

fn forget_sources(shared: &EdgeState, lost: &[SourceId]) {
    for service in shared.services.all() {
        let mut balancer = service.balancer.lock();
        lost.iter()
            .for_each(|source| balancer.forget_source(*source));
    }
}

fn own_hello(shared: &EdgeState, role: LinkRole) -> Hello {
    let fleet = shared.settings().fleet.clone();
    let bundle_version = shared.bundle_version();
    let links = shared.links.lock();
    Hello {
        protocol: LINK_PROTOCOL_VERSION,
        fleet,
        from: links.own().clone(),
        role,
        position: links.position(),
        bundle_version,
    }
}

fn check(shared: &EdgeState, hello: &Hello) -> Result<(), LinkError> {
    let ours = hello.protocol == LINK_PROTOCOL_VERSION;
    match ours && hello.fleet == shared.settings().fleet {
        true => Ok(()),
        false => Err(LinkError::Gone),
    }
}

/// Where boxes open links.
const LINK_PATH: &str = "/link";
/// A connection within a region is up in milliseconds; a lost opening packet is only sent
/// again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Boxes that start together meet hubs whose machines have no power yet; those that wait for
/// one are ready later than the others.
const START_CONNECT_TIMEOUT: Duration = Duration::from_millis(80);
const OPEN_TIMEOUT: Duration = Duration::from_millis(700);
/// The store tells who is there; seeds are for when it is silent.
const SEEDS_AFTER: Duration = Duration::from_secs(1);
/// Five signs of life in a row are missing.
const SILENCE: Duration = Duration::from_millis(1000);
const REPLAN_EVERY: Duration = Duration::from_millis(500);
const REPLAN_SOON: Duration = Duration::from_millis(10);
/// A frame waits at most so long for more to put into it.
const GATHER: Duration = Duration::from_millis(50);
