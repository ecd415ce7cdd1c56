//! When a response arrived is known although it is read late.

use std::io::Write;
use std::net::{Ipv4Addr, TcpListener};
use std::time::Duration;

use smol::net::TcpStream;
use wingspur_transport::ResponseArrival;

/// The kernel counts in ticks of up to 10 ms, which are rounded.
const TICK: Duration = Duration::from_millis(20);
const PAUSE: Duration = Duration::from_millis(300);

#[test]
fn response_that_is_read_late_has_arrived_when_its_bytes_came() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let stream = smol::block_on(TcpStream::connect(address)).unwrap();
    let (mut server, _) = listener.accept().unwrap();
    std::thread::sleep(PAUSE);
    let before = wingspur_clock::now();
    server.write_all(b"HTTP/1.1 503 Busy\r\n\r\n").unwrap();
    let after = wingspur_clock::now();
    // The box stands still.
    std::thread::sleep(PAUSE);
    let arrival = ResponseArrival::latest(&stream, Duration::from_secs(1));
    assert!(arrival.at + TICK >= before && arrival.at <= after + TICK);
    assert!(arrival.round_trip < Duration::from_secs(1), "{arrival:?}");
}
