//! Opens, serves and closes the links to other boxes, and exchanges frames over them.

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

use crate::catalog::catalog_state::{
    apply_peer_update, catch_up_update, current_snapshot,
};
use crate::catalog::store_calls::handle_store_era;
use crate::edge_state::EdgeState;
use crate::peers::active_link::InitialState;
use crate::peers::link_handlers::LinkHandlers;
use crate::peers::links::OutgoingFrame;
use crate::suspicion::report_new_suspicion;

/// Opens and closes links until the box stops.
pub async fn run_link_manager(
    shared: Arc<EdgeState>,
    handlers: LinkHandlers,
    stop: StopSignal,
) {
    let started = wingspur_clock::now();
    while !stop.is_triggered() {
        let (mut missing, unplanned) =
            shared.links.lock().diff_plan(wingspur_clock::now());
        if shared.links.lock().is_starting() {
            // A box without a catalog can learn only from its hub, so it links as a
            // member only.
            missing.retain(|planned| planned.role == LinkRole::Member);
        }
        for id in unplanned {
            drop_link(&shared, handlers, id, "another hub took its place");
        }
        let mut all_open = true;
        for planned in missing {
            all_open &= open_planned_link(&shared, handlers, planned).await;
        }
        if shared.links.lock().is_alone() && wingspur_clock::since(started) >= SEED_DELAY
        {
            link_to_seed(&shared, handlers).await;
        }
        shared.update_fleet_shares();
        // After a failure the plan names the next best box, which may be reached at once.
        let pause = if all_open {
            REPLAN_INTERVAL
        } else {
            REPLAN_RETRY_DELAY
        };
        shared.link_plan_changed.wait(pause).await;
    }
}

/// Links as a member to the first seed box that can be reached, in random order.
async fn link_to_seed(shared: &Arc<EdgeState>, handlers: LinkHandlers) {
    let settings = shared.settings();
    let seeds = settings.catalog.iter().flat_map(|catalog| &catalog.seeds);
    let mut seeds: Vec<_> = seeds.collect();
    // The order is random so that boxes that start together don't all connect to the
    // first.
    seeds.shuffle(&mut rand::rng());
    for seed in seeds
        .into_iter()
        .filter(|seed| **seed != settings.peer_address)
    {
        match open_with_hello(shared, *seed, LinkRole::Member).await {
            Ok(opened) => {
                tracing::info!(%seed, "peer: linked to a seed box.");
                return add_opened_link(shared, handlers, opened, LinkRole::Member);
            }
            Err(error) => {
                tracing::info!(%seed, %error, "peer: cannot link to a seed box.")
            }
        }
    }
}

/// Sends frames over the links until the box stops.
pub async fn run_exchange(
    shared: Arc<EdgeState>,
    handlers: LinkHandlers,
    stop: StopSignal,
) {
    let mut snapshot_frames = SnapshotFrameCache::default();
    while !stop.is_triggered() {
        let pause = shared.links.lock().next_tick(wingspur_clock::now());
        if shared.pending_updates.wait(pause).await {
            // Waits a little, so that updates of about the same time go in one frame.
            let gap = shared.links.lock().next_tick(wingspur_clock::now());
            shared.urgent_updates.wait(gap.min(BATCH_WAIT)).await;
        }
        tick(&shared, handlers, &mut snapshot_frames);
    }
}

/// Opens a link for a request on the peer port; answers 404 to one for anything else.
pub fn open_peer_link(
    shared: Arc<EdgeState>,
    request: Request<Incoming>,
    handlers: LinkHandlers,
) -> Response<LinkBody> {
    if request.method() != Method::POST || request.uri().path() != LINK_PATH {
        shared.metrics.count_peer_refusal("wrong_path");
        let mut response = Response::new(empty_link_body());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let (sender, receiver, response) = accept_link(request);
    let spawner = shared.spawner.clone();
    spawner.detach(serve_link(shared, handlers, sender, receiver));
    response
}

/// Opens a planned link and returns whether that succeeded. A box that cannot be reached
/// is left out of the plan for a while.
async fn open_planned_link(
    shared: &Arc<EdgeState>,
    handlers: LinkHandlers,
    planned: PlannedLink,
) -> bool {
    let to = planned.to;
    match open_with_hello(shared, to.peer_address, planned.role).await {
        Ok(opened) => {
            tracing::info!(peer = %to.id, role = ?planned.role, "peer: linked.");
            add_opened_link(shared, handlers, opened, planned.role);
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

/// A link that this box has opened, with the other side's hello.
type Opened = (LinkSender, LinkReceiver, Hello);

async fn open_with_hello(
    shared: &EdgeState,
    to: SocketAddr,
    role: LinkRole,
) -> Result<Opened, LinkError> {
    let starting = shared.links.lock().is_starting();
    let timeouts = LinkTimeouts {
        connect: if starting {
            START_CONNECT_TIMEOUT
        } else {
            CONNECT_TIMEOUT
        },
        reply: OPEN_TIMEOUT,
    };
    let opened = open_link(&shared.connector, to, LINK_PATH, timeouts).await;
    let (sender, mut receiver) = opened?;
    sender.send(&own_hello(shared, role))?;
    let hello: Hello = receiver.next(OPEN_TIMEOUT).await?;
    hello
        .check(&shared.settings().fleet)
        .map_err(LinkError::from)?;
    Ok((sender, receiver, hello))
}

/// Adds a link that this box opened, and reads it in a task of its own.
fn add_opened_link(
    shared: &Arc<EdgeState>,
    handlers: LinkHandlers,
    opened: Opened,
    role: LinkRole,
) {
    let (sender, receiver, hello) = opened;
    let (peer, now) = (hello.from.clone(), wingspur_clock::now());
    let id = shared.links.lock().add(peer, Some(role), None, sender, now);
    queue_updates_for_new_link(shared, handlers, id, &hello);
    shared
        .spawner
        .detach(read_link(shared.clone(), handlers, id, receiver));
}

/// Serves a link that another box opened.
async fn serve_link(
    shared: Arc<EdgeState>,
    handlers: LinkHandlers,
    sender: LinkSender,
    mut receiver: LinkReceiver,
) {
    let hello = match receiver.next::<Hello>(OPEN_TIMEOUT).await {
        Ok(hello) => hello,
        Err(error) => {
            tracing::info!(%error, "peer: no valid hello on a new link.");
            return shared.metrics.count_peer_refusal("no_greeting");
        }
    };
    if let Err(error) = hello.check(&shared.settings().fleet) {
        tracing::warn!(peer = %hello.from.id, %error, "peer: a link was refused.");
        return shared.metrics.count_peer_refusal("not_admitted");
    }
    if sender.send(&own_hello(&shared, LinkRole::Hub)).is_err() {
        return;
    }
    let id = admit(&shared, &hello, sender);
    queue_updates_for_new_link(&shared, handlers, id, &hello);
    read_link(shared, handlers, id, receiver).await;
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

/// Queues the catalog updates that the other side of a new link lacks, and its initial
/// state.
fn queue_updates_for_new_link(
    shared: &Arc<EdgeState>,
    handlers: LinkHandlers,
    id: LinkId,
    hello: &Hello,
) {
    let peer_position = hello.position;
    if peer_position.era() > 0 {
        handle_store_era(shared, peer_position.era(), "peer");
    }
    let now = wingspur_clock::now();
    if let Some(update) =
        catch_up_update(shared, peer_position, hello.bundle_version, now)
    {
        shared.links.lock().send_update(id, update);
    }
    let peer_is_new = peer_position.is_start();
    let initial_state = initial_state(shared, handlers, peer_is_new);
    shared.links.lock().queue_initial_state(id, initial_state);
    shared.pending_updates.notify();
}

/// Returns the state to send once on a new link. Server health is included only if the
/// other side has just started: other boxes have it already, and it is most of the
/// initial state.
fn initial_state(
    shared: &EdgeState,
    handlers: LinkHandlers,
    peer_is_new: bool,
) -> InitialState {
    let now = wingspur_clock::now();
    let mut initial_state = InitialState {
        peer_is_new,
        suspects: (handlers.initial_suspects)(shared),
        ..InitialState::default()
    };
    let announced_states = shared.announced_states.lock();
    initial_state.limits = announced_states.limits.current_limits();
    initial_state.draining_servers = announced_states.draining();
    drop(announced_states);
    let services = match peer_is_new {
        true => shared.services.all(),
        false => Vec::new(),
    };
    for service in services {
        initial_state
            .health
            .extend(service.balancer.lock().health_snapshots(now));
    }
    initial_state
}

/// Merges the server health that the other side of a new link sent into the balancers.
fn merge_health(shared: &EdgeState, frame: &Frame, now: Instant) {
    for (key, snapshot) in &frame.health {
        if let Some(service) = shared.services.of_server(*key) {
            service
                .balancer
                .lock()
                .merge_health_snapshot(*key, snapshot, now);
        }
    }
}

async fn read_link(
    shared: Arc<EdgeState>,
    handlers: LinkHandlers,
    id: LinkId,
    mut receiver: LinkReceiver,
) {
    loop {
        match receiver.next::<Frame>(RECEIVE_TIMEOUT).await {
            Ok(frame) => handle_frame(&shared, handlers, id, frame),
            Err(error) => {
                if matches!(error, LinkError::Ended) {
                    let now = wingspur_clock::now();
                    shared.links.lock().record_orderly_close(id, now);
                }
                let peer = shared.links.lock().peer(id).cloned();
                if let (Some(peer), LinkError::Silent(_)) = (peer, &error) {
                    shared
                        .links
                        .lock()
                        .planner()
                        .back_off(&peer, wingspur_clock::now());
                }
                let is_broken = matches!(error, LinkError::Gone);
                return end_link(&shared, handlers, id, &error.to_string(), is_broken);
            }
        }
    }
}

fn handle_frame(
    shared: &Arc<EdgeState>,
    handlers: LinkHandlers,
    id: LinkId,
    mut frame: Frame,
) {
    let now = wingspur_clock::now();
    let updates = std::mem::take(&mut frame.catalog);
    match frame.content {
        FrameContent::Snapshot => return apply_updates(shared, id, updates, now),
        FrameContent::LeaseMessages => {
            return (handlers.lease_messages)(shared, id, &frame.lease_messages);
        }
        FrameContent::All => (handlers.lease_messages)(shared, id, &frame.lease_messages),
    }
    if frame.catalog_freshness.era > 0 {
        handle_store_era(shared, frame.catalog_freshness.era, "peer");
    }
    apply_updates(shared, id, updates, now);
    (handlers.resend_budgets)(shared, id, &frame.resend_budgets);
    let mut links = shared.links.lock();
    links.note_frame(id, &frame, now);
    let updates = links.receive(id, &frame.tally_updates);
    let lost = links.remove_lost_sources();
    let has_other_links = links.link_counts().0 > 1;
    drop(links);
    forget_sources(shared, &lost);
    apply_tallies(shared, &updates, now);
    merge_health(shared, &frame, now);
    (handlers.suspects)(shared, id, &frame.suspects);
    (handlers.limits)(shared, id, &frame.limits);
    (handlers.draining_servers)(shared, id, &frame.draining_servers);
    if frame.leaving {
        shared.links.lock().note_peer_stop(id);
        shared.link_plan_changed.notify();
    }
    if frame.wants_snapshot {
        let snapshot = current_snapshot(shared, now);
        shared.links.lock().send_update(id, snapshot);
    }
    if has_other_links || frame.wants_snapshot {
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

fn drop_link(shared: &Arc<EdgeState>, handlers: LinkHandlers, id: LinkId, reason: &str) {
    end_link(shared, handlers, id, reason, false);
}

/// Removes a link. `is_broken` says that its connection has failed.
fn end_link(
    shared: &Arc<EdgeState>,
    handlers: LinkHandlers,
    id: LinkId,
    reason: &str,
    is_broken: bool,
) {
    let mut links = shared.links.lock();
    let peer = links.peer(id).cloned();
    let lost = match is_broken {
        true => links.remove_broken(id),
        false => links.remove(id),
    };
    let updates = links.own_updates();
    drop(links);
    (handlers.link_ended)(shared, id);
    if let Some(peer) = peer {
        tracing::info!(%peer, reason, "peer: link ended.");
    }
    forget_sources(shared, &lost);
    apply_tallies(shared, &updates, wingspur_clock::now());
    shared.link_plan_changed.notify();
    shared.pending_updates.notify();
}

/// Collects this box's own tallies, sends the frames that are due, and drops links on
/// which the other side does not respond.
fn tick(
    shared: &Arc<EdgeState>,
    handlers: LinkHandlers,
    snapshot_frames: &mut SnapshotFrameCache,
) {
    let now = wingspur_clock::now();
    let own_tallies = take_own_tallies(shared);
    let bundle_version = shared.bundle_version();
    let resend_budgets = (handlers.resend_budget_reports)(shared, now);
    let mut links = shared.links.lock();
    let coverage_role = links.coverage_role(now);
    if !own_tallies.servers.is_empty() || !own_tallies.services.is_empty() {
        links.receive_own(&own_tallies);
    }
    let frames = links.take_frames(bundle_version, &resend_budgets, now);
    let unresponsive = links.unresponsive(now);
    links.expire_snapshot(now);
    drop(links);
    if shared.services.set_coverage_role(coverage_role) {
        let position = coverage_role.position;
        tracing::info!(
            box_index = position.map(|position| position.index),
            box_count = position.map(|position| position.count),
            fleet_boxes = coverage_role.fleet_boxes,
            "coverage: this box has another position."
        );
    }
    for id in unresponsive {
        drop_link(shared, handlers, id, &LinkError::SendQueueFull.to_string());
    }
    for outgoing in frames {
        if let Err(error) = send(shared, &outgoing, snapshot_frames) {
            drop_link(shared, handlers, outgoing.link, &error.to_string());
        }
    }
    snapshot_frames.evict_unused();
}

/// Sends a frame, preceded by the catalog snapshot if there is one.
fn send(
    shared: &EdgeState,
    outgoing: &OutgoingFrame,
    snapshot_frames: &mut SnapshotFrameCache,
) -> Result<(), LinkError> {
    if let Some(pending) = &outgoing.snapshot {
        let snapshot = snapshot_frames.frame(pending);
        let bytes = outgoing.sender.send_encoded(&snapshot)?;
        shared.metrics.count_frame(bytes);
    }
    let bytes = outgoing.sender.send(&outgoing.frame)?;
    shared.metrics.count_frame(bytes);
    Ok(())
}

fn take_own_tallies(shared: &EdgeState) -> TallyUpdate {
    let mut update = TallyUpdate::default();
    for service in shared.services.all() {
        update
            .servers
            .extend(service.balancer.lock().take_changes());
        if let Some(tally) = service.budget.lock().take_change() {
            update.services.push((server_key(&service.name), tally));
        }
    }
    update
}

/// Applies the tallies of other boxes to this box's balancers and retry budgets.
fn apply_tallies(shared: &EdgeState, updates: &[SourceUpdate], now: Instant) {
    for source in updates {
        for (keyed, counts) in &source.servers {
            if let Some(service) = shared.services.of_server(keyed.0) {
                let mut balancer = service.balancer.lock();
                balancer.apply_remote(source.source, *keyed, counts, now);
            }
        }
        for service in shared.services.all() {
            report_new_suspicion(shared, &service);
        }
        for service in shared.services.all() {
            let key = server_key(&service.name);
            let service_tally = source.services.iter().find(|(other, _)| *other == key);
            let mut budget = service.budget.lock();
            match service_tally {
                Some((_, tally)) => budget.merge_remote_counts(*tally, now),
                None => budget.record_report(now),
            }
        }
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

/// Path of the requests by which boxes open links.
const LINK_PATH: &str = "/link";
/// A connection within a region is established in milliseconds, and a lost first packet
/// is resent only after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Shorter while the box starts: when boxes start together, a hub's machine may not have
/// power yet, and a box that waited for it would be ready later than the others.
const START_CONNECT_TIMEOUT: Duration = Duration::from_millis(80);
/// How long the other side may take to respond to a new link, and then to send its hello.
const OPEN_TIMEOUT: Duration = Duration::from_millis(700);
/// How long after its start a box without any known peer turns to the seeds. Normally the
/// store names the other boxes; the seeds are for when it is unavailable.
const SEED_DELAY: Duration = Duration::from_secs(1);
/// A link on which nothing was received for so long has lost five heartbeats in a row,
/// and is dropped.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1000);
/// How often the links are compared with the plan if nothing notifies of a change.
const REPLAN_INTERVAL: Duration = Duration::from_millis(500);
const REPLAN_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Longest wait of a frame for further updates to go with it.
const BATCH_WAIT: Duration = Duration::from_millis(50);
