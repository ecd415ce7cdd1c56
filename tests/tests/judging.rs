//! Outlier detection under random and hostile sequences of reports, restarts and store
//! accesses: no sequence may eject servers below the capacity floor.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use wingspur_bench::{Scenario, service_of};
use wingspur_state::{
    EjectionRecord, EvidenceEntry, EvidenceReport, OutlierDetector, OutlierEvent,
    OutlierStatus, Service,
};

const BOXES: usize = 6;
const SERVERS: usize = 10;
const HOME: &str = "data-centre-0";

fn service(floor_percent: u8) -> Service {
    service_of(&Scenario {
        floor_percent,
        ..Scenario::quiet(SERVERS, BOXES)
    })
}

fn report(sums: &[(u16, u16)]) -> EvidenceReport {
    let entry = |(server, hundredths): &(u16, u16)| EvidenceEntry {
        server: *server,
        observations: 10,
        hundredths: [*hundredths, *hundredths],
    };
    EvidenceReport {
        service_tag: 1,
        span_ms: 1000,
        entries: sums.iter().map(entry).collect(),
    }
}

fn box_id(index: usize) -> String {
    format!("box-{index}")
}

/// One event in the life of two outlier detectors and the store.
#[derive(Debug, Clone)]
enum Event {
    /// A box reports to one of the detectors.
    Report {
        detector: usize,
        from: usize,
        sums: Vec<(u16, u16)>,
    },
    /// Time passes, then both detectors evaluate.
    Pass { ms: u64 },
    /// A detector tries to write its record, which the store accepts only if the detector
    /// has read the latest revision.
    Write { detector: usize },
    /// A detector reads the record.
    Read { detector: usize },
    /// A detector is lost and a new one starts from the record.
    Restart { detector: usize },
    /// A server starts or stops draining.
    Leave { server: usize, leaving: bool },
}

fn event() -> impl Strategy<Value = Event> {
    let sums = proptest::collection::vec((0..12u16, 0..6000u16), 0..8);
    prop_oneof![
        6 => (0..2usize, 0..BOXES, sums)
            .prop_map(|(detector, from, sums)| Event::Report { detector, from, sums }),
        6 => (50..3000u64).prop_map(|ms| Event::Pass { ms }),
        4 => (0..2usize).prop_map(|detector| Event::Write { detector }),
        2 => (0..2usize).prop_map(|detector| Event::Read { detector }),
        1 => (0..2usize).prop_map(|detector| Event::Restart { detector }),
        1 => (0..SERVERS, any::<bool>())
            .prop_map(|(server, leaving)| Event::Leave { server, leaving }),
    ]
}

/// The store's record with its revision, and the revision that each detector last read.
struct Store {
    record: EjectionRecord,
    revision: u64,
    read: [u64; 2],
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// The record always leaves the floor available among the servers that its writer
    /// knew not to be draining.
    #[test]
    fn the_agreed_record_never_undercuts_the_floor(
        floor in 30..95u8,
        history in proptest::collection::vec(event(), 1..120),
    ) {
        let service = service(floor);
        let mut now = Instant::now();
        let mut detectors = [0, 1].map(|_| OutlierDetector::new(&service, 1, None, now));
        let mut store =
            Store { record: EjectionRecord::default(), revision: 0, read: [0, 0] };
        let mut draining = [false; SERVERS];
        for event in history {
            match event {
                Event::Report { detector, from, sums } => {
                    let home = HOME.to_owned();
                    detectors[detector]
                        .record_report(&box_id(from), &home, &report(&sums), now);
                }
                Event::Pass { ms } => {
                    now += Duration::from_millis(ms);
                    detectors.iter_mut().for_each(|detector| {
                        detector.tick(now);
                    });
                }
                Event::Write { detector } => {
                    now += Duration::from_millis(100);
                    detectors[detector].tick(now);
                    let proposal = detectors[detector].pending_record();
                    let current = store.read[detector] == store.revision;
                    if let (Some(record), true) = (proposal, current) {
                        check(&service, &record, &draining)?;
                        store.record = record;
                        store.revision += 1;
                    }
                    store.read[detector] = store.revision;
                    detectors[detector].apply_record(store.record.clone(), now);
                }
                Event::Read { detector } => {
                    store.read[detector] = store.revision;
                    detectors[detector].apply_record(store.record.clone(), now);
                }
                Event::Restart { detector } => {
                    store.read[detector] = store.revision;
                    let record = Some(store.record.clone());
                    detectors[detector] = OutlierDetector::new(&service, 1, record, now);
                    for (server, draining) in draining.iter().enumerate() {
                        detectors[detector].set_draining(server, *draining);
                    }
                }
                Event::Leave { server, leaving: is_draining } => {
                    draining[server] = is_draining;
                    detectors
                        .iter_mut()
                        .for_each(|detector| detector.set_draining(server, is_draining));
                }
            }
        }
    }

    /// A single box with arbitrary reports causes no suspicion while other boxes report
    /// that all servers are healthy.
    #[test]
    fn one_lying_box_ejects_nothing(
        false_reports in proptest::collection::vec(
            proptest::collection::vec((0..12u16, any::<u16>()), 0..12), 1..60),
    ) {
        let service = service(60);
        let mut now = Instant::now();
        let mut detector = OutlierDetector::new(&service, 1, None, now);
        let home = HOME.to_owned();
        for sums in false_reports {
            for honest in 1..BOXES {
                let healthy: Vec<(u16, u16)> =
                    (0..10).map(|server| (server, 0)).collect();
                detector.record_report(&box_id(honest), &home, &report(&healthy), now);
            }
            detector.record_report(&box_id(0), &home, &report(&sums), now);
            now += Duration::from_millis(100);
            let events = detector.tick(now);
            let suspected = |event: &OutlierEvent| matches!(event, OutlierEvent::Suspected(_));
            prop_assert!(!events.iter().any(suspected));
            prop_assert_eq!(detector.available_slots(), 30);
        }
    }
}

/// Checks that a record that ejects any server leaves the floor available.
fn check(
    service: &Service,
    record: &EjectionRecord,
    draining: &[bool],
) -> Result<(), TestCaseError> {
    let servers = service.servers.iter().enumerate();
    let mut servers = servers.filter(|(index, _)| !draining[*index]);
    if !servers.any(|(_, server)| record.ejected.contains(&server.name)) {
        return Ok(());
    }
    let available = |(index, server): (usize, &wingspur_state::BackendServer)| {
        let is_ejected = record.ejected.contains(&server.name);
        (!draining[index] && !is_ejected).then_some(server.slots)
    };
    let slots: u32 = service
        .servers
        .iter()
        .enumerate()
        .filter_map(available)
        .sum();
    prop_assert!(
        slots >= service.floor_slots(),
        "{slots} slots are available, below the floor of {}",
        service.floor_slots()
    );
    Ok(())
}

#[test]
fn with_three_sick_and_room_for_two_the_least_sick_is_only_avoided() {
    let service = service(80);
    let mut now = Instant::now();
    let mut detector = OutlierDetector::new(&service, 1, None, now);
    let home = HOME.to_owned();
    for _ in 0..20 {
        for index in 0..BOXES {
            let mut sums: Vec<(u16, u16)> = (0..10).map(|server| (server, 0)).collect();
            (sums[1].1, sums[4].1, sums[8].1) = (600, 400, 700);
            detector.record_report(&box_id(index), &home, &report(&sums), now);
        }
        now += Duration::from_millis(100);
        detector.tick(now);
        if let Some(record) = detector.pending_record() {
            detector.apply_record(record, now);
        }
    }
    let statuses = detector.verdict(&home).standings;
    let status_of = |server: u16| statuses.iter().find(|(index, _)| *index == server);
    assert_eq!(status_of(8), Some(&(8, OutlierStatus::Excluded)));
    assert_eq!(status_of(1), Some(&(1, OutlierStatus::Excluded)));
    assert_eq!(status_of(4), Some(&(4, OutlierStatus::Suspected)));
    assert_eq!(detector.available_slots(), 24);
}

#[test]
fn a_server_that_one_data_centre_cannot_reach_is_ejected_for_nobody() {
    let service = service(60);
    let mut now = Instant::now();
    let mut detector = OutlierDetector::new(&service, 1, None, now);
    let (cut_off, healthy) = ("data-centre-1".to_owned(), "data-centre-2".to_owned());
    for _ in 0..20 {
        for index in 0..BOXES {
            let is_cut_off = index < 3;
            let sums: Vec<(u16, u16)> = (0..10)
                .map(|server| (server, if is_cut_off && server == 3 { 900 } else { 0 }))
                .collect();
            let home = if is_cut_off { &cut_off } else { &healthy };
            detector.record_report(&box_id(index), home, &report(&sums), now);
        }
        now += Duration::from_millis(100);
        detector.tick(now);
        if let Some(record) = detector.pending_record() {
            detector.apply_record(record, now);
        }
    }
    assert_eq!(
        detector.verdict(&cut_off).standings,
        [(3, OutlierStatus::Suspected)]
    );
    assert_eq!(detector.verdict(&healthy).standings, []);
    assert_eq!(detector.available_slots(), 30);
}
