//! A request body in chunks is kept as one of known length is, and arrives whole.

mod edge;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use edge::{Deployment, Route};
use wingspur_tests::{BackendServer, Reply, read_keep_alive_response};

/// Sends a once-only request with a body in chunks; returns the status.
fn call_in_chunks(to: SocketAddr, id: &str, body: &[u8]) -> u16 {
    let mut stream = TcpStream::connect(to).unwrap();
    let limit = Some(Duration::from_secs(20));
    stream.set_read_timeout(limit).unwrap();
    let head = format!(
        "POST /once_only/a HTTP/1.1\r\nhost: site.example\r\n\
         x-wingspur-request-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    for piece in body.chunks(body.len().div_ceil(3).max(1)) {
        let size = format!("{:x}\r\n", piece.len());
        let chunk = [size.as_bytes(), piece, b"\r\n"].concat();
        // The box may have refused a body that is too long.
        let _ = stream.write_all(&chunk);
    }
    let _ = stream.write_all(b"0\r\n\r\n");
    let response = read_keep_alive_response(&mut BufReader::new(stream));
    response.map_or(0, |response| response.status)
}

fn body(length: usize) -> Vec<u8> {
    (0..length).map(|at| b'a' + (at % 23) as u8).collect()
}

/// Guards against a body that is gone after a first server has refused the request.
#[test]
fn refused_request_in_chunks_is_sent_to_the_next_server() {
    let has_refused = Arc::new(AtomicBool::new(false));
    let servers = [0, 1].map(|_| {
        let has_refused = has_refused.clone();
        BackendServer::start(move |_| match has_refused.swap(true, Ordering::SeqCst) {
            false => Reply::Refused,
            true => Reply::Complete,
        })
    });
    let deployment = Deployment::start(&servers, &[Route::new("once_only")]);
    let address = deployment.caller().address();
    for length in [0, 1_000, 24_000, 60_000] {
        has_refused.store(false, Ordering::SeqCst);
        let id = format!("id-{length}");
        assert_eq!(call_in_chunks(address, &id, &body(length)), 200, "{id}");
        let heads = servers.iter().flat_map(BackendServer::heads);
        let arrivals: Vec<_> = heads
            .filter(|head| head.headers["x-wingspur-request-id"] == id)
            .collect();
        assert_eq!(arrivals.len(), 2, "{id}");
        for arrival in arrivals {
            assert!(arrival.body == body(length), "{id}");
        }
    }
    deployment.close();
}

#[test]
fn long_body_in_chunks_is_passed_on_whole() {
    let server = BackendServer::start(|_| Reply::Complete);
    let deployment = Deployment::start(&[server], &[Route::new("once_only")]);
    let address = deployment.caller().address();
    for length in [65_536, 65_537, 100_000, 1_000_000] {
        assert_eq!(
            call_in_chunks(address, "id", &body(length)),
            200,
            "{length}"
        );
    }
    assert_ne!(call_in_chunks(address, "id", &body(1_100_000)), 200);
    deployment.close();
}
