//! Clients send further idempotent requests before the first gets its answer, and leave.

use std::time::{Duration, Instant};

use crate::http::connect;
use crate::site::{EntryBox, Folder, Record, Server, configuration, request, route, send};
use crate::store::Store;

const HOST: &str = "jepu9.example";

pub fn run(program: &str, record: &Record, trouble: bool) -> i32 {
    let folder = Folder::new("pipeline");
    let store = Store::start();
    let routes = [route("r-1", HOST, "/lepu270/", "read", "kafi81c")];
    store.put("op/config", &configuration(7, &routes, &["kafi81c"], ""));
    let servers: Vec<Server> = (0..6)
        .map(|n| Server::start(&format!("i-{n}"), "kafi81c", record, |_| Duration::from_millis(800)))
        .collect();
    servers.iter().for_each(|server| server.announce(&store));
    let mut boxes = EntryBox::prepare(1, &store, &folder.0, program);
    boxes[0].start();
    if !boxes[0].wait_ready(Duration::from_secs(10)) {
        return 2;
    }
    std::thread::sleep(Duration::from_secs(4));
    let mut left = Vec::new();
    for n in 0..20 {
        let ids: Vec<String> = (0..3).map(|part| format!("{n:08x}{part:08x}")).collect();
        let Ok(mut stream) = connect(boxes[0].callers) else { return 2 };
        for id in ids.iter().take(if trouble { 3 } else { 1 }) {
            let _ = send(&mut stream, &request("GET", "/lepu270/1", HOST, id, 6000, ""));
        }
        std::thread::sleep(Duration::from_millis(100));
        drop(stream);
        left.push((Instant::now(), ids));
        record.say(&format!("client {n}: leaves"));
    }
    std::thread::sleep(Duration::from_secs(5));
    let arrivals: Vec<_> = servers.iter().flat_map(Server::arrivals).collect();
    let mut late = 0;
    for (at, ids) in &left {
        for arrival in arrivals.iter().filter(|arrival| ids.contains(&arrival.id)) {
            if arrival.at > *at + Duration::from_millis(500) {
                late += 1;
                record.say(&format!("GONE: {} reached a server {} ms after its client had left", arrival.id, (arrival.at - *at).as_millis()));
            }
        }
    }
    record.say(&format!("{} arrivals, {late} over half a second after the client had left", arrivals.len()));
    i32::from(late > 5)
}
