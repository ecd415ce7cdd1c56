//! A request of which no byte was written has not run, whatever became of its connection.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use hyper::Method;
use wingspur_transport::{
    BackendConnections, BufferBudget, ResponseError, ReusePolicy, SendBody,
};

const REQUEST: &[u8] = b"POST /a HTTP/1.1\r\nhost: site.example\r\n\r\n";

/// Opens a connection, lets `serve` do something with the server's end of it, and sends a
/// request after that.
fn send_after(serve: impl FnOnce(TcpStream)) -> Result<u16, ResponseError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connections = BackendConnections::new(
        listener.local_addr().unwrap(),
        BufferBudget::unlimited(),
    );
    smol::block_on(async {
        let timeout = Duration::from_secs(5);
        let connected = connections.connect(ReusePolicy::Any, None, timeout).await;
        let mut connection = connected.unwrap();
        serve(listener.accept().unwrap().0);
        let body = SendBody::empty();
        let response =
            connection.send_request(REQUEST.to_vec(), body, &Method::POST, None);
        response.await.map(|head| head.status.as_u16())
    })
}

/// Closes a stream so that its other side gets a reset.
fn reset(stream: TcpStream) {
    let linger = Some(Duration::ZERO);
    socket2::SockRef::from(&stream).set_linger(linger).unwrap();
    drop(stream);
}

#[test]
fn a_connection_that_was_reset_before_the_request_leaves_no_doubt() {
    let sent = send_after(|stream| {
        reset(stream);
        // The kernel may deliver the reset later than the call returns.
        std::thread::sleep(Duration::from_millis(100));
    });
    assert!(matches!(sent, Err(ResponseError::NotSent(_))), "{sent:?}");
}

#[test]
fn a_connection_that_was_closed_before_the_request_is_in_doubt() {
    // The bytes are written before the server's reset is received.
    let sent = send_after(drop);
    assert!(matches!(sent, Err(ResponseError::Broken(_))), "{sent:?}");
}

#[test]
fn a_connection_that_is_reset_after_a_part_of_the_request_is_in_doubt() {
    let sent = send_after(|mut stream| {
        std::thread::spawn(move || {
            stream.read_exact(&mut [0]).unwrap();
            reset(stream);
        });
    });
    assert!(matches!(sent, Err(ResponseError::Broken(_))), "{sent:?}");
}

#[test]
fn a_response_before_the_request_was_written_is_read() {
    let sent = send_after(|mut stream| {
        let early = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(early).unwrap();
        std::mem::forget(stream);
    });
    assert_eq!(sent.unwrap(), 503);
}
