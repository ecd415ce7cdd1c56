//! The open connections of a box to its servers go silent for good while long answers are
//! under way. New connections work.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{connect, listen};
use crate::site::{EntryBox, Folder, Record, configuration, request, route, send};
use crate::store::Store;

const HOST: &str = "jepu9.example";
const BODY: usize = 4_000_000;
const DOWNLOADS: usize = 12;
/// The route's `timeout`, the half second that the rule allows after it, and the time that
/// the clients wait.
const TIMEOUT: Duration = Duration::from_millis(5000);
const ALLOWED: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(10);

/// What a client has read of its answer, and when it ended.
#[derive(Default)]
struct Seen {
    bytes: usize,
    status: String,
    ended: Option<Duration>,
}

pub fn run(program: &str, record: &Record, trouble: bool) -> i32 {
    let folder = Folder::new("hang");
    let store = Store::start();
    let route = route("r-1", HOST, "/fiti832/", "download", "yemi37c");
    let routes = [route.replace("\"timeout_ms\":3000", "\"timeout_ms\":5000")];
    store.put("op/config", &configuration(7, &routes, &["yemi37c"], ""));
    let silenced = Arc::new(AtomicU64::new(0));
    for n in 0..6 {
        let server = start_server(&format!("i-{n}"), record);
        let address = start_link(server, silenced.clone());
        let entry = format!("{{\"service\":\"yemi37c\",\"address\":\"{address}\",\"data_centre\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_ms\":0,\"seq_no\":1}}");
        store.put(&format!("servers/i-{n}"), &entry);
    }
    let mut boxes = EntryBox::prepare(1, &store, &folder.0, program);
    boxes[0].start();
    if !boxes[0].wait_ready(Duration::from_secs(10)) {
        record.say("the box is not ready");
        return 2;
    }
    std::thread::sleep(Duration::from_secs(4));

    let seen: Vec<_> = (0..DOWNLOADS).map(|_| Arc::new(Mutex::new(Seen::default()))).collect();
    let began = Instant::now();
    let clients: Vec<_> = seen
        .iter()
        .enumerate()
        .map(|(n, seen)| {
            let (seen, record, address) = (seen.clone(), record.clone(), boxes[0].callers);
            std::thread::spawn(move || download(n, address, &seen, &record))
        })
        .collect();
    std::thread::sleep(Duration::from_millis(800));
    if trouble {
        silenced.fetch_add(1, Ordering::SeqCst);
        record.say("box 1: its open connections to servers go silent");
    }
    std::thread::sleep((began + TIMEOUT + ALLOWED).saturating_duration_since(Instant::now()));
    let mut waiting = 0;
    for (n, seen) in seen.iter().enumerate() {
        let seen = seen.lock().unwrap();
        let is_waiting = seen.ended.is_none();
        waiting += usize::from(is_waiting);
        record.say(&format!(
            "client {n}: {} bytes, {:?}, {}",
            seen.bytes,
            seen.status,
            if is_waiting { "no final answer 0.5 s after the route's timeout" } else { "ended" }
        ));
    }
    // New connections work: a download after the others' timeout is whole.
    let later = Arc::new(Mutex::new(Seen::default()));
    download(DOWNLOADS, boxes[0].callers, &later, record);
    let is_served = later.lock().unwrap().bytes > BODY;
    for client in clients {
        let _ = client.join();
    }
    let whole = seen.iter().filter(|seen| seen.lock().unwrap().bytes > BODY).count();
    record.say(&format!(
        "{DOWNLOADS} downloads: {waiting} without a final answer 0.5 s after their route's timeout, {whole} whole in the end"
    ));
    match (is_served, waiting) {
        (false, _) => 2,
        (true, 8..) => 1,
        (true, _) if !trouble && whole < DOWNLOADS => 2,
        (true, _) => 0,
    }
}

fn download(n: usize, address: SocketAddr, seen: &Mutex<Seen>, record: &Record) {
    let id = format!("{n:016x}");
    let Ok(mut stream) = connect(address) else {
        return record.say(&format!("client {n}: no connection"));
    };
    let sent = Instant::now();
    let _ = send(&mut stream, &request("GET", "/fiti832/1", HOST, &id, DEADLINE.as_millis() as u64, ""));
    record.say(&format!("client {n}: {id} sent"));
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let mut space = vec![0; 64 << 10];
    while sent.elapsed() < DEADLINE {
        let read = stream.read(&mut space);
        let mut seen = seen.lock().unwrap();
        match read {
            Ok(0) => {
                seen.ended = Some(sent.elapsed());
                break;
            }
            Ok(length) => {
                if seen.bytes == 0 {
                    let text = String::from_utf8_lossy(&space[..length.min(15)]);
                    seen.status = text.into_owned();
                }
                seen.bytes += length;
                if seen.bytes > BODY {
                    seen.ended = Some(sent.elapsed());
                    break;
                }
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => {
                seen.ended = Some(sent.elapsed());
                break;
            }
        }
    }
    let seen = seen.lock().unwrap();
    let after = seen.ended.map(|ended| ended.as_millis());
    record.say(&format!("client {n}: {} bytes, ended after {after:?} ms", seen.bytes));
}

/// A server that writes a long answer at some three megabytes a second.
fn start_server(id: &str, record: &Record) -> SocketAddr {
    let (id, record) = (id.to_owned(), record.clone());
    listen(move |request, stream| {
        let request_id = request.header("x-wingspur-request-id").to_owned();
        record.say(&format!("server {id}: runs {request_id}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Wingspur-Request-Id: {request_id}\r\nX-Wingspur-Server-Stamp: {id}.{request_id}\r\nContent-Length: {BODY}\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for piece in vec![b'x'; BODY].chunks(64_000) {
            if stream.write_all(piece).is_err() {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        true
    })
}

/// The link from the box to a server. When `silenced` rises, no byte passes any more on
/// the connections that are open then, and they don't end.
fn start_link(server: SocketAddr, silenced: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(server) else { continue };
            let opened = silenced.load(Ordering::SeqCst);
            for (from, to) in [(&near, &far), (&far, &near)] {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                let silenced = silenced.clone();
                std::thread::spawn(move || pass(from, to, opened, &silenced));
            }
        }
    });
    address
}

fn pass(mut from: TcpStream, mut to: TcpStream, opened: u64, silenced: &AtomicU64) {
    let mut space = vec![0; 16 << 10];
    loop {
        let length = from.read(&mut space).unwrap_or(0);
        while silenced.load(Ordering::SeqCst) > opened {
            std::thread::sleep(Duration::from_millis(100));
        }
        if length == 0 || to.write_all(&space[..length]).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Both);
            let _ = from.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}
