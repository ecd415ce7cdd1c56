//! Which box is taken for a hub, and until when: a box that stops, and one that only heard so.
//!
//! A hub that is told to stop says so in each of its frames. Its members leave it at once, but
//! go on reading what is still under way on the link that they have given up. A frame that
//! came in on such a link made its reader take itself for the one that stops: it told its own
//! members so for the rest of its life, they left it, and caught it from it. In one day of
//! planned stops 101 boxes of a fleet of 106 said that they were stopping and were not, 23,670
//! of the 36,549 frames with that word were false, and boxes with a link of ten megabits were
//! hubs of whole data centres when a large configuration came.

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

/// A hub that says what the test wants, and keeps what it is told.
#[derive(Clone)]
struct StandInHub {
    record: BoxRecord,
    told: Arc<Mutex<Told>>,
}

/// What a hub was told.
#[derive(Debug, Default)]
struct Told {
    frames: Vec<Frame>,
    /// Links that their openers have given up, and on which the farewell has gone out since.
    given_up: usize,
}

impl StandInHub {
    /// Starts a hub that is stronger than others by its capacity.
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
        let told = Arc::new(Mutex::new(Told::default()));
        let hub = Self { record, told };
        let serving = hub.clone();
        let on = spawner.clone();
        let handler = move |request, _| {
            let (hub, on) = (serving.clone(), on.clone());
            async move {
                let (sender, receiver, response) = accept_link(request);
                on.detach(hub.serve(sender, receiver));
                response
            }
        };
        let port = smol::net::TcpListener::try_from(port).expect("it is bound");
        let options = ListenerOptions::default();
        let listener = HttpListener::start(port, spawner, options, handler);
        (hub, listener.expect("it is bound"))
    }

    /// Greets, gives a sign of life now and then, and says farewell once it is given up.
    async fn serve(self, sender: LinkSender, mut receiver: LinkReceiver) {
        let Ok(_) = receiver.next::<Hello>(PATIENCE).await else {
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
        while let Ok(frame) = receiver.next::<Frame>(PATIENCE).await {
            let answer = Frame {
                timestamps: LinkTimestamps {
                    sent_ms: 0,
                    heard_ms: Some(frame.timestamps.sent_ms),
                },
                ..Frame::default()
            };
            self.told.lock().unwrap().frames.push(frame);
            if sender.send(&answer).is_err() {
                return;
            }
        }
        let farewell = Frame {
            leaving: true,
            ..Frame::default()
        };
        if sender.send(&farewell).is_ok() {
            self.told.lock().unwrap().given_up += 1;
        }
    }

    fn frames(&self) -> usize {
        self.told.lock().unwrap().frames.len()
    }

    fn was_given_up(&self) -> bool {
        self.told.lock().unwrap().given_up > 0
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
    let (former, _former_port) = StandInHub::start("box-a", 1000, &workers.spawner());
    let (next, _next_port) = StandInHub::start("box-b", 2000, &workers.spawner());
    store.put("op/config", &configuration(1, &[Route::new("read")]));
    former.announce(&store);
    let running = start_box("box-1", &store, &workers);
    wait_until("the box has its hub", || former.frames() > 0);
    next.announce(&store);
    wait_until("it leaves it for a stronger one", || former.was_given_up());
    let (before, enough) = (next.frames(), 4);
    wait_until("the new one is told more", || {
        next.frames() >= before + enough
    });
    let told = next.told.lock().unwrap();
    let false_words = told.frames.iter().filter(|frame| frame.leaving).count();
    assert_eq!(false_words, 0, "of {} frames", told.frames.len());
    drop(told);
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
        // The weakest draw their moment from the longest span.
        (settings.cpu_share, settings.link_mbps) = (0.1, 10.0);
        start_box_with(settings, &store, &workers)
    };
    let boxes: Vec<EdgeBox> = (0..6).map(start).collect();
    wait_until("one is announced", || !store.keys(BOX_KEYS).is_empty());
    let close = |running: EdgeBox| thread::spawn(move || smol::block_on(running.close()));
    let closing: Vec<_> = boxes.into_iter().map(close).collect();
    thread::sleep(LAG - Duration::from_millis(100));
    assert_eq!(store.keys(BOX_KEYS), Vec::<String>::new());
    for closing in closing {
        closing.join().expect("a stop ends");
    }
    workers.close();
}

/// Where boxes are announced.
const BOX_KEYS: &str = "wingspur/boxes/";
/// How long a box that stops serves on: longer than the 1.5 s from which boxes that start draw
/// the moment of their announcement.
const LAG: Duration = Duration::from_secs(2);
/// A box gives a sign of life each 0.2 s.
const PATIENCE: Duration = Duration::from_secs(5);
