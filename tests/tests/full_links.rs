//! Guards against two boxes that wait for each other. A box sends no frames while eight
//! are unacknowledged; after a link had stalled both ways for 0.4 s neither side
//! acknowledged, the link timed out after 1 s, and the member left out its hub for 2 s.

mod edge;

use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use edge::{Route, configuration, start_box, wait_until};
use futures_lite::FutureExt;
use wingspur_protocol::{
    BoxRecord, Frame, Hello, LINK_PROTOCOL_VERSION, LinkRole, LinkTimestamps,
};
use wingspur_state::StorePosition;
use wingspur_tests::PlatformStore;
use wingspur_transport::{
    HttpListener, LinkReceiver, LinkSender, ListenerOptions, Workers, accept_link,
};

/// Serves a link as a hub that receives nothing at first: it sends eight frames without
/// an acknowledgement and then stops, since no more may be unacknowledged. Returns the
/// time until the other side has acknowledged all of them; `None` if it does not.
async fn serve(
    record: BoxRecord,
    sender: LinkSender,
    mut receiver: LinkReceiver,
) -> Option<Duration> {
    receiver.next::<Hello>(RECEIVE_TIMEOUT).await.ok()?;
    let hello = Hello {
        protocol: LINK_PROTOCOL_VERSION,
        fleet: "test".into(),
        from: record,
        role: LinkRole::Hub,
        position: StorePosition::default(),
        bundle_version: 0,
    };
    sender.send(&hello).ok()?;
    for count in 1..=MAX_UNANSWERED {
        let link_timestamps = LinkTimestamps {
            sent_ms: count,
            heard_ms: None,
        };
        let frame = Frame {
            timestamps: link_timestamps,
            ..Frame::default()
        };
        sender.send(&frame).ok()?;
        smol::Timer::after(FRAME_INTERVAL).await;
    }
    let started = Instant::now();
    loop {
        let frame = receiver.next::<Frame>(RECEIVE_TIMEOUT).await.ok()?;
        if frame.timestamps.heard_ms == Some(MAX_UNANSWERED) {
            return Some(started.elapsed());
        }
    }
}

#[test]
fn a_box_that_waits_for_an_answer_still_gives_its_own() {
    let store = PlatformStore::start(500);
    let workers = Workers::start(2);
    let port = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let record = BoxRecord {
        id: "hub".into(),
        data_centre: "dc-1".into(),
        peer_address: port.local_addr().expect("it is bound"),
        incarnation: 1,
        capacity: 1000,
        fleet_boxes: 2,
    };
    let outcome: Arc<Mutex<Option<Option<Duration>>>> = Arc::default();
    let (on, noted, own) = (workers.spawner(), outcome.clone(), record.clone());
    let handler = move |request, _| {
        let (on, noted, own) = (on.clone(), noted.clone(), own.clone());
        async move {
            let (sender, receiver, response) = accept_link(request);
            on.detach(async move {
                let ended = serve(own, sender, receiver);
                let expired = async {
                    smol::Timer::after(RECEIVE_TIMEOUT).await;
                    None
                };
                let ended = ended.or(expired).await;
                noted.lock().unwrap().get_or_insert(ended);
            });
            response
        }
    };
    let port = smol::net::TcpListener::try_from(port).expect("it is bound");
    let options = ListenerOptions::default();
    let _listener = HttpListener::start(port, &workers.spawner(), options, handler)
        .expect("it is bound");
    store.put("op/config", &configuration(1, &[Route::new("read")]));
    let value = serde_json::to_value(&record).expect("records serialise");
    store.put("wingspur/boxes/hub", &value);
    let running = start_box("box-1", &store, &workers);
    wait_until("the link has ended", || outcome.lock().unwrap().is_some());
    let outcome = outcome.lock().unwrap().flatten();
    smol::block_on(running.close());
    workers.close();
    assert!(
        outcome.is_some(),
        "the box never acknowledged the last frame"
    );
}

/// Number of frames that a box sends without an acknowledgement.
const MAX_UNANSWERED: u32 = 8;
/// Longer than the heartbeat interval of 0.2 s, so that the box has sent its own eight
/// frames by then.
const FRAME_INTERVAL: Duration = Duration::from_millis(240);
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);
