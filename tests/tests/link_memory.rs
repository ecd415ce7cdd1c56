//! Memory that both sides of a link use after a long frame was sent.

use std::alloc::System;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use smol::net::TcpListener;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use wingspur_transport::{
    Connector, HttpListener, LinkReceiver, LinkSender, LinkTimeouts, ListenerOptions,
    Workers, accept_link, open_link,
};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const LINKS: usize = 16;
const FRAME_BYTES: usize = 4 << 20;
/// Maximum memory of a link on both sides: buffers of its connection and its receiver.
const MAX_KEPT_BYTES: usize = 256 << 10;
const LINK_TIMEOUT: Duration = Duration::from_secs(30);

fn held_bytes() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated - stats.bytes_deallocated
}

/// Guards against a hub that keeps a copy of the snapshot in the connection of each
/// member.
#[test]
fn links_keep_no_copy_of_a_long_frame() {
    let workers = Workers::start(2);
    let port = TcpListener::bind("127.0.0.1:0");
    let port = smol::block_on(port).expect("a port is free");
    let accepted: Arc<Mutex<Vec<(LinkSender, LinkReceiver)>>> = Arc::default();
    let links = accepted.clone();
    let handler = move |request, _| {
        let links = links.clone();
        async move {
            let (sender, receiver, response) = accept_link(request);
            links.lock().unwrap().push((sender, receiver));
            response
        }
    };
    let options = ListenerOptions::default();
    let listener = HttpListener::start(port, &workers.spawner(), options, handler)
        .expect("it is bound");
    let connector = Connector::new(workers.spawner(), None);
    let timeouts = LinkTimeouts {
        connect: LINK_TIMEOUT,
        reply: LINK_TIMEOUT,
    };
    let (_senders, mut receivers): (Vec<_>, Vec<_>) = (0..LINKS)
        .map(|_| {
            let opening = open_link(&connector, listener.address(), "/", timeouts);
            smol::block_on(opening).expect("it is served")
        })
        .unzip();
    let before = held_bytes();
    let frame = "x".repeat(FRAME_BYTES);
    for (sender, _) in accepted.lock().unwrap().iter() {
        sender.send(&frame).expect("the other side reads");
    }
    for receiver in &mut receivers {
        let received: String = smol::block_on(receiver.next(LINK_TIMEOUT)).expect("sent");
        assert_eq!(received, frame);
    }
    drop(frame);
    let kept = held_bytes().saturating_sub(before) / LINKS;
    assert!(kept <= MAX_KEPT_BYTES, "{kept} bytes per link");
    workers.close();
}
