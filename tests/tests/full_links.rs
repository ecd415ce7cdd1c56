//! What a box still says on a link whose other side has not answered for a while.
//!
//! A box holds its frames back once eight of them are unanswered, and an answer is a frame
//! too. When a link stood still in both directions for as long as both sides took to send
//! eight frames, 0.4 s between boxes of one data centre, each side had the other's frames
//! afterwards and did not say so: both waited for an answer until the silence of a second
//! ended the link, and the member passed its hub over for two seconds.

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

/// Serves a link as a hub to which nothing gets through at first: it says eight times that
/// it has heard nothing, and then no more, since that is as many as may be unanswered. Tells
/// how long it takes until the other side says to have had all of them; none if it does not.
async fn serve(
    record: BoxRecord,
    sender: LinkSender,
    mut receiver: LinkReceiver,
) -> Option<Duration> {
    receiver.next::<Hello>(PATIENCE).await.ok()?;
    let hello = Hello {
        protocol: LINK_PROTOCOL_VERSION,
        fleet: "test".into(),
        from: record,
        role: LinkRole::Hub,
        position: StorePosition::default(),
        bundle_version: 0,
    };
    sender.send(&hello).ok()?;
    for count in 1..=MOST_UNANSWERED {
        let stamps = LinkTimestamps {
            sent_ms: count,
            heard_ms: None,
        };
        let frame = Frame {
            timestamps: stamps,
            ..Frame::default()
        };
        sender.send(&frame).ok()?;
        smol::Timer::after(GAP).await;
    }
    let waits = Instant::now();
    loop {
        let frame = receiver.next::<Frame>(PATIENCE).await.ok()?;
        if frame.timestamps.heard_ms == Some(MOST_UNANSWERED) {
            return Some(waits.elapsed());
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
                    smol::Timer::after(PATIENCE).await;
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
    wait_until("the link is over", || outcome.lock().unwrap().is_some());
    let outcome = outcome.lock().unwrap().flatten();
    smol::block_on(running.close());
    workers.close();
    assert!(
        outcome.is_some(),
        "the box never said to have had the last frame"
    );
}

/// As many as a box sends without an answer.
const MOST_UNANSWERED: u32 = 8;
/// A sign of life without news comes each 0.2 s; slower, so that the box has sent its own
/// eight by then.
const GAP: Duration = Duration::from_millis(240);
const PATIENCE: Duration = Duration::from_secs(5);
