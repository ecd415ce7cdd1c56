//! Callers that connect in the same moment, as after the loss of boxes, all get through.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use wingspur_transport::bind_listener;

#[test]
fn callers_that_connect_at_once_wait_to_be_accepted() {
    let limit = std::fs::read_to_string("/proc/sys/net/core/somaxconn");
    let limit = limit.ok().and_then(|text| text.trim().parse().ok());
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let listener = bind_listener(any).unwrap();
    let address = listener.local_addr().unwrap();
    // Nothing is accepted: a caller beyond the queue gets no connection at all.
    let callers = (0..limit.unwrap_or(CALLERS).min(CALLERS)).map(|n| {
        let connected = TcpStream::connect_timeout(&address, Duration::from_secs(10));
        connected.unwrap_or_else(|error| panic!("caller {n}: {error}"))
    });
    let callers: Vec<TcpStream> = callers.collect();
    assert!(!callers.is_empty());
}

const CALLERS: usize = 400;
