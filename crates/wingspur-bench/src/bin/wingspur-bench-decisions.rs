//! Measures the memory and the time that decisions take at several sizes, and prints them
//! as JSON rows.
//!
//! It is a separate program because its allocator counts every allocation, which slows
//! down code that allocates on many threads.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use wingspur_bench::{DecisionRow, Scenario, service_of};
use wingspur_coordination::{Membership, MembershipSettings, RendezvousSet};
use wingspur_protocol::{BoxList, BoxState, ListedBox, Manifest};
use wingspur_state::{
    AccountLimiter, AttemptOutcome, Bundle, CallerLimits, EvidenceEntry, EvidenceReport,
    Floor, Limits, OutlierDetector, RetryRules, Route, RouteClass, RouteTable, Service,
    ServiceTable,
};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;

fn main() {
    let rows = measure_decisions();
    println!("{}", serde_json::to_string(&rows).expect("rows serialise"));
}

/// Measures every decision at several sizes.
fn measure_decisions() -> Vec<DecisionRow> {
    let mut rows = Vec::new();
    for size in [1_000, 6_500, 13_000, 26_000, 52_000] {
        rows.push(routes(size));
    }
    for size in [500, 2_000, 9_000, 37_000] {
        rows.push(servers(size));
    }
    for size in [10_000, 40_000, 160_000, 290_000] {
        rows.push(accounts(size));
    }
    for size in [40, 400, 1_600, 4_300] {
        rows.push(membership(size));
        rows.push(placement(size));
        rows.push(detector_report(size));
        rows.push(detector_tick(size));
    }
    for size in [3, 75, 300, 1_200] {
        rows.push(manifest(size));
    }
    rows
}

fn routes(size: usize) -> DecisionRow {
    let bundle = bundle_with(size.div_ceil(44), 44, 1);
    let region = Region::new(ALLOCATOR);
    let table = RouteTable::new(&bundle).expect("the paths are distinct");
    let bytes = allocated_bytes(&region);
    let mut random = SmallRng::seed_from_u64(1);
    let paths: Vec<String> = (0..1000)
        .map(|_| {
            let service = random.random_range(0..bundle.services.len());
            format!("/s{service}/r{}/item/77", random.random_range(0..44))
        })
        .collect();
    let mut next = 0;
    let operation_us = time_us(|| {
        next = (next + 1) % paths.len();
        black_box(table.find("GET", &paths[next]));
    });
    row("route lookup", size, bytes, operation_us)
}

/// Measures the tables of `size` servers, thirty per service. The operation is one tick
/// of all tables.
fn servers(size: usize) -> DecisionRow {
    let service = Arc::new(service_of(&Scenario::quiet(30, 40)));
    let region = Region::new(ALLOCATOR);
    let mut tables: Vec<ServiceTable> = (0..size.div_ceil(30))
        .map(|tag| ServiceTable::new(service.clone(), tag as u64, "data-centre-0", 40))
        .collect();
    let bytes = allocated_bytes(&region);
    let mut now = Instant::now();
    // A box with 88 requests a second has about four per tick, at random servers.
    let mut random = SmallRng::seed_from_u64(1);
    let mut tick = || {
        for _ in 0..REQUESTS_PER_TICK {
            let table = random.random_range(0..tables.len());
            let server = random.random_range(0..30);
            let attempt = tables[table].begin(server, now);
            let end = now + Duration::from_millis(20);
            tables[table].finish(attempt, AttemptOutcome::Answered, end);
        }
        now += Duration::from_millis(50);
        for table in &mut tables {
            black_box(table.tick(now));
        }
    };
    // Warms up until the number of busy tables no longer grows.
    (0..100).for_each(|_| tick());
    let operation_us = time_us(tick);
    row("tick of all server tables", size, bytes, operation_us)
}

fn accounts(size: usize) -> DecisionRow {
    let region = Region::new(ALLOCATOR);
    let mut limiter = AccountLimiter::default();
    let start = Instant::now();
    // Each account sends one request in ten minutes, evenly distributed.
    let interval = Duration::from_secs(600) / size as u32;
    for account in 0..size {
        let now = start + interval * account as u32;
        limiter.take(account as u64, 10.0, now);
    }
    let bytes = allocated_bytes(&region);
    let mut account = 0;
    let mut now = start + Duration::from_secs(600);
    let operation_us = time_us(|| {
        account = (account + 7919) % size;
        now += interval;
        black_box(limiter.take(account as u64, 10.0, now));
    });
    row("account limit", size, bytes, operation_us)
}

fn membership(size: usize) -> DecisionRow {
    let list = BoxList {
        boxes: boxes(size),
        ..BoxList::default()
    };
    let region = Region::new(ALLOCATOR);
    let mut membership =
        Membership::new("box-0".to_owned(), MembershipSettings::default());
    membership.update_listed(&list);
    let bytes = allocated_bytes(&region);
    let mut now = Instant::now();
    let mut heartbeat_sample = 0u64;
    let operation_us = time_us(|| {
        now += Duration::from_millis(500);
        heartbeat_sample = heartbeat_sample.wrapping_add(77);
        black_box(membership.begin_round(heartbeat_sample, now));
        black_box(membership.live_boxes(now));
    });
    row("membership round", size, bytes, operation_us)
}

fn placement(size: usize) -> DecisionRow {
    let region = Region::new(ALLOCATOR);
    let candidates = RendezvousSet::new(boxes(size).into_iter().map(|listed| listed.id));
    let bytes = allocated_bytes(&region);
    let operation_us = time_us(|| {
        black_box(candidates.owner("judge/exam-pages"));
    });
    row("placement", size, bytes, operation_us)
}

/// Measures an outlier detector of thirty servers with the evidence of `size` boxes. The
/// operation is one report.
fn detector_report(size: usize) -> DecisionRow {
    let (mut detector, report, now, bytes) = loaded_detector(size);
    let mut index = 0;
    let operation_us = time_us(|| {
        index = (index + 1) % size;
        let from = format!("box-{index}");
        detector.record_report(&from, &"data-centre-0".to_owned(), &report, now);
    });
    row("judge hears a report", size, bytes, operation_us)
}

/// Measures one tick of the same outlier detector.
fn detector_tick(size: usize) -> DecisionRow {
    let (mut detector, _, mut now, bytes) = loaded_detector(size);
    // Nine batches of three ticks are 27 ticks or 2.7 s of simulated time, within which
    // the reports don't expire.
    let operation_us = time_us_of(3, || {
        now += Duration::from_millis(100);
        black_box(detector.tick(now));
    });
    row("judge step", size, bytes, operation_us)
}

/// Returns an outlier detector with reports of `size` boxes, one of these reports, the
/// time at which they were recorded, and the bytes that the detector holds.
fn loaded_detector(size: usize) -> (OutlierDetector, EvidenceReport, Instant, f64) {
    let service = service_of(&Scenario::quiet(30, size));
    let now = Instant::now();
    let region = Region::new(ALLOCATOR);
    let mut detector = OutlierDetector::new(&service, 1, None, now);
    let entry = |server| EvidenceEntry {
        server,
        observations: 2,
        hundredths: [10, 0],
    };
    let entries = (0..30).step_by(3).map(entry).collect();
    let report = EvidenceReport {
        service_tag: 1,
        span_ms: 1000,
        entries,
    };
    for index in 0..size {
        detector.record_report(
            &format!("box-{index}"),
            &"data-centre-0".to_owned(),
            &report,
            now,
        );
    }
    (detector, report, now, allocated_bytes(&region))
}

/// Measures the manifest of a bundle of `size` services. The bytes are its size when
/// sent.
fn manifest(size: usize) -> DecisionRow {
    let bundle = bundle_with(size, 44, 31);
    let (manifest, _) = Manifest::split(&bundle).expect("a bundle serialises");
    let text = serde_json::to_string(&manifest).expect("a manifest serialises");
    let operation_us = time_us_of(5, || {
        black_box(Manifest::split(&bundle).expect("a bundle serialises"));
    });
    row(
        "manifest of services",
        size,
        text.len() as f64,
        operation_us,
    )
}

fn bundle_with(services: usize, routes: usize, servers: usize) -> Bundle {
    let service = |index: usize| {
        let mut service: Service = service_of(&Scenario::quiet(servers, 40));
        service.name = format!("service-{index}");
        service.floor = Floor {
            healthy_slots_percent: 60,
        };
        service.limits = Limits::default();
        service.retry = RetryRules::default();
        let route = |route: usize| Route {
            path: format!("/s{index}/r{route}/item/{{id}}"),
            methods: vec!["GET".to_owned()],
            class: RouteClass::Read,
            deadline_ms: 2000,
            key_header: None,
        };
        service.routes = (0..routes).map(route).collect();
        service
    };
    Bundle {
        version: 1,
        fleet: "capacity".to_owned(),
        account_header: "x-account".to_owned(),
        services: (0..services).map(service).collect(),
        host_routes: Vec::new(),
        client_accounts: None,
        caller_limits: CallerLimits::default(),
    }
}

fn boxes(size: usize) -> Vec<ListedBox> {
    let listed = |index: usize| ListedBox {
        id: format!("box-{index}"),
        peer_address: ([127, 0, 0, 1], 7002).into(),
        data_centre: format!("data-centre-{}", index % 16),
        state: BoxState::Live,
    };
    (0..size).map(listed).collect()
}

/// Returns the bytes that were allocated in the region and not freed.
fn allocated_bytes(region: &Region<'_, std::alloc::System>) -> f64 {
    let change = region.change();
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
        + change.bytes_reallocated as f64
}

fn row(what: &str, size: usize, bytes: f64, operation_us: f64) -> DecisionRow {
    DecisionRow {
        what: what.to_owned(),
        size,
        bytes,
        operation_us,
    }
}

/// Requests of one box per tick: 380,000 requests/s over 4,300 boxes, at 20 ticks/s.
const REQUESTS_PER_TICK: usize = 4;

fn time_us(operation: impl FnMut()) -> f64 {
    time_us_of(200, operation)
}

/// Returns the median over nine batches of the mean time of one operation, in
/// microseconds.
fn time_us_of(batch: u32, mut operation: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..9)
        .map(|_| {
            let start = Instant::now();
            for _ in 0..batch {
                operation();
            }
            start.elapsed().as_secs_f64() * 1e6 / f64::from(batch)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}
