//! Guards against boxes that announce a stop that is not their own. A box that still read
//! a link it had given up took the farewell of its former hub for its own and sent it to
//! its members, so the error spread: to 101 of 106 boxes on a day of planned stops.

mod edge;

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use edge::{Route, configuration, settings, start_box, start_box_with, wait_until};
use wingspur_edge::EdgeBox;
use wingspur_protocol::{
    BoxRecord, Frame, Hello, LINK_PROTOCOL_VERSION, LinkRole, LinkTimestamps,
};
use wingspur_state::StorePosition;
use wingspur_tests::PlatformStore;
use wingspur_transport::{
    HttpListener, LinkReceiver, LinkSender, ListenerOptions, Spawner, Workers,
    accept_link,
};

/// A hub that behaves as the test requires, and keeps the frames that it receives.
#[derive(Clone)]
struct ScriptedHub {
    record: BoxRecord,
    received: Arc<Mutex<Received>>,
}

/// What a hub has received.
#[derive(Debug, Default)]
struct Received {
    frames: Vec<Frame>,
    /// Number of links that their openers have given up, and on which the farewell has
    /// been sent since.
    abandoned_links: usize,
}

impl ScriptedHub {
    /// Starts a hub whose capacity decides whether it is preferred to others.
    fn start(id: &str, capacity: u32, spawner: &Spawner) -> (Self, HttpListener) {
        let port = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address: SocketAddr = port.local_addr().expect("it is bound");
        let record = BoxRecord {
            id: id.into(),
            data_centre: "dc-1".into(),
            peer_address: address,
            incarnation: 1,
            capacity,
            fleet_boxes: 3,
        };
        let received = Arc::new(Mutex::new(Received::default()));
        let hub = Self { record, received };
        let serving = hub.clone();
        let links = spawner.clone();
        let handler = move |request, _| {
            let (hub, links) = (serving.clone(), links.clone());
            async move {
                let (sender, receiver, response) = accept_link(request);
                links.detach(hub.serve(sender, receiver));
                response
            }
        };
        let port = smol::net::TcpListener::try_from(port).expect("it is bound");
        let options = ListenerOptions::default();
        let listener = HttpListener::start(port, spawner, options, handler);
        (hub, listener.expect("it is bound"))
    }

    /// Sends the hello, responds to each frame, and sends the farewell once the opener
    /// has given up the link.
    async fn serve(self, sender: LinkSender, mut receiver: LinkReceiver) {
        let Ok(_) = receiver.next::<Hello>(RECEIVE_TIMEOUT).await else {
            return;
        };
        let hello = Hello {
            protocol: LINK_PROTOCOL_VERSION,
            fleet: "test".into(),
            from: self.record.clone(),
            role: LinkRole::Hub,
            position: StorePosition::default(),
            bundle_version: 0,
        };
        sender.send(&hello).expect("the link has just come up");
        while let Ok(frame) = receiver.next::<Frame>(RECEIVE_TIMEOUT).await {
            let answer = Frame {
                timestamps: LinkTimestamps {
                    sent_ms: 0,
                    heard_ms: Some(frame.timestamps.sent_ms),
                },
                ..Frame::default()
            };
            self.received.lock().unwrap().frames.push(frame);
            if sender.send(&answer).is_err() {
                return;
            }
        }
        let farewell = Frame {
            leaving: true,
            ..Frame::default()
        };
        if sender.send(&farewell).is_ok() {
            self.received.lock().unwrap().abandoned_links += 1;
        }
    }

    fn frames(&self) -> usize {
        self.received.lock().unwrap().frames.len()
    }

    fn was_abandoned(&self) -> bool {
        self.received.lock().unwrap().abandoned_links > 0
    }

    fn announce(&self, store: &PlatformStore) {
        let record = serde_json::to_value(&self.record).expect("records serialise");
        store.put(&format!("{BOX_KEYS}{}", self.record.id), &record);
    }
}

#[test]
fn a_box_that_hears_a_farewell_on_a_link_that_it_gave_up_does_not_take_it_for_its_own() {
    let store = PlatformStore::start(500);
    let workers = Workers::start(2);
    let (former, _former_port) = ScriptedHub::start("box-a", 1000, &workers.spawner());
    let (next, _next_port) = ScriptedHub::start("box-b", 2000, &workers.spawner());
    store.put("op/config", &configuration(1, &[Route::new("read")]));
    former.announce(&store);
    let running = start_box("box-1", &store, &workers);
    wait_until("the box is linked to its hub", || former.frames() > 0);
    next.announce(&store);
    wait_until("the box leaves it for a stronger hub", || {
        former.was_abandoned()
    });
    let (before, enough) = (next.frames(), 4);
    wait_until("the new hub receives more frames", || {
        next.frames() >= before + enough
    });
    let received = next.received.lock().unwrap();
    let false_farewells = received.frames.iter().filter(|frame| frame.leaving).count();
    assert_eq!(false_farewells, 0, "of {} frames", received.frames.len());
    drop(received);
    smol::block_on(running.close());
    workers.close();
}

#[test]
fn a_box_that_stops_is_not_announced_any_more() {
    let store = PlatformStore::start(500);
    let workers = Workers::start(2);
    store.put("op/config", &configuration(1, &[Route::new("read")]));
    let start = |n: usize| -> EdgeBox {
        let mut settings = settings(&format!("box-{n}"), store.address);
        settings.drain.balancer_lag_ms = LAG.as_millis() as u64;
        // The weakest boxes draw the time of their announcement from the longest span.
        (settings.cpu_share, settings.link_mbps) = (0.1, 10.0);
        start_box_with(settings, &store, &workers)
    };
    let boxes: Vec<EdgeBox> = (0..6).map(start).collect();
    wait_until("a box is announced", || !store.keys(BOX_KEYS).is_empty());
    let close = |running: EdgeBox| thread::spawn(move || smol::block_on(running.close()));
    let closing: Vec<_> = boxes.into_iter().map(close).collect();
    thread::sleep(LAG - Duration::from_millis(100));
    assert_eq!(store.keys(BOX_KEYS), Vec::<String>::new());
    for closing in closing {
        closing.join().expect("a stop ends");
    }
    workers.close();
}

/// Prefix of the keys under which boxes are announced.
const BOX_KEYS: &str = "wingspur/boxes/";
/// How long a stopping box continues to serve: longer than the 1.5 s from which starting
/// boxes draw the time of their announcement.
const LAG: Duration = Duration::from_secs(2);
/// Long compared with the heartbeat interval of 0.2 s.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);
