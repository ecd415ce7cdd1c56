//! Connections on which a request has failed are not used for that request again.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use hyper::header::HeaderValue;
use wingspur_tests::listen;
use wingspur_transport::{
    BackendConnection, BackendConnections, BufferBudget, ReusePolicy, SendBody,
};

const TIMEOUT: Duration = Duration::from_secs(10);
/// How many ids that failed a connection keeps.
const MAX_FAILED: usize = 32;

/// Starts a server that refuses every request.
fn start_refusing_server() -> SocketAddr {
    listen(|_, stream| {
        let refusal = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(refusal).is_ok()
    })
}

fn connections() -> BackendConnections {
    BackendConnections::new(start_refusing_server(), BufferBudget::unlimited())
}

fn id(number: usize) -> HeaderValue {
    HeaderValue::from_str(&format!("id-{number}")).expect("the id is valid")
}

async fn connect(
    connections: &BackendConnections,
    id: Option<&HeaderValue>,
) -> BackendConnection {
    let connecting = connections.connect(ReusePolicy::Any, id, TIMEOUT);
    connecting.await.expect("the server accepts")
}

/// Sends a request, which fails, and releases the connection.
async fn fail(
    connections: &BackendConnections,
    mut connection: BackendConnection,
    id: Option<&HeaderValue>,
) {
    let head = b"GET / HTTP/1.1\r\n\r\n".to_vec();
    let sending = connection.send_request(head, SendBody::empty(), &Method::GET, id);
    assert_eq!(sending.await.expect("the server responds").status, 503);
    connections.release(connection);
}

#[test]
fn request_does_not_use_a_connection_on_which_it_failed() {
    smol::block_on(async {
        let connections = connections();
        let (failed, other) = (id(1), id(2));
        let older = connect(&connections, Some(&failed)).await;
        let number = older.usage(None).number;
        let newer = connect(&connections, Some(&other)).await;
        fail(&connections, older, Some(&failed)).await;
        fail(&connections, newer, Some(&other)).await;
        assert!(connections.has_idle(ReusePolicy::Any, Some(&failed)));
        let used = connect(&connections, Some(&other)).await;
        assert_eq!(used.usage(None).number, number, "the newest is left out");
        fail(&connections, used, Some(&other)).await;
        assert!(!connections.has_idle(ReusePolicy::Any, Some(&other)));
        let fresh = connect(&connections, Some(&other)).await;
        assert!(fresh.usage(Some(&other)).is_first());
        assert_eq!(connections.opened(), 3);
    });
}

#[test]
fn request_without_an_id_that_failed_closes_its_connection() {
    smol::block_on(async {
        let connections = connections();
        let connection = connect(&connections, None).await;
        fail(&connections, connection, None).await;
        assert!(!connections.has_idle(ReusePolicy::Any, Some(&id(1))));
    });
}

#[test]
fn connection_is_used_for_a_bounded_number_of_ids_that_fail() {
    smol::block_on(async {
        let connections = connections();
        for number in 0..=MAX_FAILED {
            let id = id(number);
            let connection = connect(&connections, Some(&id)).await;
            fail(&connections, connection, Some(&id)).await;
            let expected = if number < MAX_FAILED { 1 } else { 2 };
            assert_eq!(connections.opened(), expected, "{number}");
        }
    });
}
