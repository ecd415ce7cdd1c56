//! A planned stop of an entry box while requests are in flight.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use wingspur_bench::{Fleet, Gray, small_zagreb};
use wingspur_edge::DrainSettings;
use wingspur_entry::EntryBox;
use wingspur_transport::{FaultInjector, Workers};

/// Guards against requests that are cut without a response when the drain limit of a stop
/// ends: the limit ended the wait for them, and nothing responded to their callers.
#[test]
fn a_request_that_outlasts_the_stop_is_answered_before_the_entry_box_ends() {
    for head in [
        "GET /exam/p HTTP/1.1\r\nhost: site.example\r\n",
        "POST /submit/1 HTTP/1.1\r\nhost: site.example\r\nidempotency-key: k-1\r\n",
    ] {
        let (status, cut) = stop_with_stalled_servers(head);
        assert_eq!(status, 504, "{head}");
        assert_eq!(cut, 0, "{head}");
    }
}

fn stop_with_stalled_servers(head: &'static str) -> (u16, usize) {
    let workers = Workers::start(4);
    let spawner = workers.spawner();
    let result = smol::block_on(async {
        let mut fleet = Fleet::start(small_zagreb(1), &spawner).await.unwrap();
        fleet.stop_box(0).await;
        let mut settings = fleet.settings()[0].clone();
        settings.drain = DrainSettings {
            balancer_lag_ms: 100,
            limit_ms: 800,
            kill_after_s: None,
        };
        let starting = EntryBox::start(settings, &spawner, FaultInjector::default());
        let running = starting.await.unwrap();
        assert!(running.wait_ready(Duration::from_secs(20)).await);
        let servers = || fleet.servers.iter().flatten();
        servers().for_each(|server| server.set_gray(Gray::Stall));
        let before: u64 = servers().map(|server| server.requests()).sum();
        let caller_address = running.addresses().caller;
        let calling = std::thread::spawn(move || status_of(caller_address, head));
        while servers().map(|server| server.requests()).sum::<u64>() == before {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        let cut = running.close().await.cut_requests;
        (calling.join().expect("the caller's thread panicked"), cut)
    });
    workers.close();
    result
}

/// Returns the status of the response; 0 where the connection closes without one.
fn status_of(caller_address: SocketAddr, head: &str) -> u16 {
    let mut stream = TcpStream::connect(caller_address).unwrap();
    // Longer than the stop and than the deadlines of the routes.
    let timeout = Some(Duration::from_secs(6));
    stream.set_read_timeout(timeout).unwrap();
    let request = format!("{head}content-length: 0\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut line = String::new();
    let read = BufReader::new(stream).read_line(&mut line).unwrap_or(0);
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    if read > 0 { status.unwrap_or(0) } else { 0 }
}
