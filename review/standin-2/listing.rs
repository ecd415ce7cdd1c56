//! A box starts while two replicas answer the store's cheap reads by turns, one of which is
//! some seconds behind. A server whose entry has just gone must get nothing.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::entry_box::EntryBox;
use crate::http::Wire;
use crate::server::{Runs, Server};
use crate::store::{Store, StoreOptions};
use crate::{Outcome, Play};

/// The services, each with the number of its servers, in the order of the servers' ids.
const SERVICES: [(&str, usize); 3] = [("svc-b", 26), ("svc-c", 26), ("svc-a", 8)];
const SLOTS: usize = 3;
const WORK: Duration = Duration::from_millis(1500);
const HEARTBEAT: Duration = Duration::from_millis(1500);
const DRAIN: Duration = Duration::from_secs(2);
const CONTACT: Duration = Duration::from_secs(3);

fn entry(server: &Server, service: &str, seq_no: u64) -> String {
    format!(
        r#"{{"service":"{service}","address":"{}","data_centre":"z1","version":"v1","slots":{SLOTS},"state":"ready","cold_ms":0,"seq_no":{seq_no}}}"#,
        server.address
    )
}

fn configuration() -> String {
    let services = SERVICES.map(|(name, _)| {
        format!(r#"{{"name":"{name}","health_path":"/health","server_connections":360}}"#)
    });
    let routes = SERVICES.map(|(name, _)| {
        format!(
            r#"{{"name":"r-{name}","host":"site.example","path_prefix":"/{name}/","class":"once_only","timeout_ms":6000,"target_latency_ms":2000,"priority":1,"service":"{name}","max_attempts":2}}"#
        )
    });
    format!(
        r#"{{"version":1,"host_routes":[{}],"services":[{}],"limits":{{"max_head_bytes":16384,"max_body_bytes":1048576,"head_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

pub fn play(play: &Play) -> Outcome {
    let record = &play.record;
    let behind = match play.has_trouble {
        true => Duration::from_secs(4),
        false => Duration::ZERO,
    };
    let store = Store::start(StoreOptions { page: 50, behind });
    store.put("op/config", &configuration());
    let runs: Runs = Arc::default();
    let mut servers = Vec::new();
    let services = SERVICES.iter().flat_map(|(name, count)| vec![*name; *count]);
    for (index, service) in services.enumerate() {
        let server = Server::start(&format!("i-{index:04x}"), SLOTS, WORK, &runs);
        store.put(&format!("servers/{}", server.id), &entry(&server, service, 0));
        servers.push((server, service));
    }
    // The last entry of all stands on the second page.
    let (leaving, _) = servers.pop().expect("there are servers");
    let seq_no = beat(&store, servers.clone());
    std::thread::sleep(Duration::from_secs(5));

    store.remove(&format!("servers/{}", leaving.id));
    leaving.leave();
    let gone_at = Instant::now();
    record.write(&format!("the entry of server {} is gone; it serves on", leaving.id));
    std::thread::sleep(Duration::from_secs(2));

    let mut started = EntryBox::start(&play.program, &play.folder, "box-1", "z1", store.address);
    let box_at = Instant::now();
    record.write("the box starts");
    if !started.wait_until_ready(Duration::from_secs(10)) {
        record.write("the box does not become ready");
        return Outcome::CouldNotRun;
    }
    record.write("the box is ready");
    std::thread::sleep((CONTACT + Duration::from_secs(1)).saturating_sub(box_at.elapsed()));

    let traffic_at = Instant::now();
    let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let mut callers = Vec::new();
    let ending = leaving.clone();
    let ender = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(1400));
        ending.end();
    });
    for number in 0..60 {
        let id = format!("{number:016x}");
        let (answers, record, to) = (answers.clone(), record.clone(), started.callers);
        callers.push(std::thread::spawn(move || {
            let status = post(to, &id);
            record.write(&format!("request {id} was answered with {status}"));
            answers.lock().unwrap().push((id, status));
        }));
        std::thread::sleep(Duration::from_millis(80));
    }
    for caller in callers {
        let _ = caller.join();
    }
    let _ = ender.join();
    seq_no.store(true, Ordering::SeqCst);
    if let Some(status) = started.has_ended() {
        record.write(&format!("the box has ended: {status}"));
        return Outcome::CouldNotRun;
    }

    let answers = answers.lock().unwrap();
    let status_of = |id: &str| answers.iter().find(|(known, _)| known == id).map(|(_, s)| *s);
    let mut late = 0;
    let mut lost = 0;
    for run in runs.lock().unwrap().iter() {
        if run.server != leaving.id {
            continue;
        }
        let since_gone = run.at.duration_since(gone_at);
        let status = status_of(&run.request).unwrap_or(0);
        record.write(&format!(
            "request {} ran at server {} {:.1} s after its entry was gone, sent {:.1} s after the box started; its caller got {status}",
            run.request,
            run.server,
            since_gone.as_secs_f64(),
            run.at.duration_since(box_at).as_secs_f64(),
        ));
        if since_gone > DRAIN && run.at >= traffic_at {
            late += 1;
            lost += u32::from(!run.answered);
        }
    }
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    record.write(&format!(
        "{} requests, {served} served; {late} reached the server that was gone, {lost} of these were lost with it",
        answers.len()
    ));
    println!("{served} of {} served, {late} reached the server that was gone, {lost} lost", answers.len());
    if served == 0 {
        return Outcome::CouldNotRun;
    }
    match late {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// Writes the entries of servers again each heartbeat, until the returned flag is set.
fn beat(store: &Store, servers: Vec<(Server, &'static str)>) -> Arc<AtomicBool> {
    let stop: Arc<AtomicBool> = Arc::default();
    let (stopped, store) = (stop.clone(), store.clone());
    std::thread::spawn(move || {
        for seq_no in 1.. {
            std::thread::sleep(HEARTBEAT);
            if stopped.load(Ordering::SeqCst) {
                return;
            }
            for (server, service) in &servers {
                store.put(&format!("servers/{}", server.id), &entry(server, service, seq_no));
            }
        }
    });
    stop
}

fn post(to: std::net::SocketAddr, id: &str) -> u16 {
    let Ok(stream) = TcpStream::connect(to) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    let mut wire = Wire::new(stream);
    let request = format!(
        "POST /svc-a/order HTTP/1.1\r\nhost: site.example\r\nx-wingspur-request-id: {id}\r\nx-wingspur-request-deadline-ms: 6000\r\ncontent-length: 5\r\n\r\norder"
    );
    if wire.stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    wire.read().map_or(0, |answer| answer.status())
}
