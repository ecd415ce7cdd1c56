//! The judge under arbitrary and hostile histories.

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

/// One thing that happens to the two judges and the store.
#[derive(Debug, Clone)]
enum Happening {
    /// A box reports to one of the judges.
    Report {
        judge: usize,
        from: usize,
        sums: Vec<(u16, u16)>,
    },
    /// Time passes, and both judges step.
    Pass { ms: u64 },
    /// A judge tries to write its proposal on what it last read.
    Write { judge: usize },
    /// A judge reads the record.
    Read { judge: usize },
    /// A judge is lost and begins anew from the record.
    Restart { judge: usize },
    /// A server leaves, or is back.
    Leave { server: usize, leaving: bool },
}

fn happening() -> impl Strategy<Value = Happening> {
    let sums = proptest::collection::vec((0..12u16, 0..6000u16), 0..8);
    prop_oneof![
        6 => (0..2usize, 0..BOXES, sums)
            .prop_map(|(judge, from, sums)| Happening::Report { judge, from, sums }),
        6 => (50..3000u64).prop_map(|ms| Happening::Pass { ms }),
        4 => (0..2usize).prop_map(|judge| Happening::Write { judge }),
        2 => (0..2usize).prop_map(|judge| Happening::Read { judge }),
        1 => (0..2usize).prop_map(|judge| Happening::Restart { judge }),
        1 => (0..SERVERS, any::<bool>())
            .prop_map(|(server, leaving)| Happening::Leave { server, leaving }),
    ]
}

/// The store's record with its revision, and the revision that each judge read.
struct Agreed {
    record: EjectionRecord,
    revision: u64,
    read: [u64; 2],
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Whatever happens, the agreed record leaves the floor in service, among the servers
    /// that its writer knew not to be leaving.
    #[test]
    fn the_agreed_record_never_undercuts_the_floor(
        floor in 30..95u8,
        history in proptest::collection::vec(happening(), 1..120),
    ) {
        let service = service(floor);
        let mut now = Instant::now();
        let mut judges = [0, 1].map(|_| OutlierDetector::new(&service, 1, None, now));
        let mut agreed =
            Agreed { record: EjectionRecord::default(), revision: 0, read: [0, 0] };
        let mut leaving = [false; SERVERS];
        for happening in history {
            match happening {
                Happening::Report { judge, from, sums } => {
                    let home = HOME.to_owned();
                    judges[judge].record_report(&box_id(from), &home, &report(&sums), now);
                }
                Happening::Pass { ms } => {
                    now += Duration::from_millis(ms);
                    judges.iter_mut().for_each(|judge| {
                        judge.tick(now);
                    });
                }
                Happening::Write { judge } => {
                    now += Duration::from_millis(100);
                    judges[judge].tick(now);
                    let proposal = judges[judge].pending_record();
                    let current = agreed.read[judge] == agreed.revision;
                    if let (Some(record), true) = (proposal, current) {
                        check(&service, &record, &leaving)?;
                        agreed.record = record;
                        agreed.revision += 1;
                    }
                    agreed.read[judge] = agreed.revision;
                    judges[judge].apply_record(agreed.record.clone(), now);
                }
                Happening::Read { judge } => {
                    agreed.read[judge] = agreed.revision;
                    judges[judge].apply_record(agreed.record.clone(), now);
                }
                Happening::Restart { judge } => {
                    agreed.read[judge] = agreed.revision;
                    let record = Some(agreed.record.clone());
                    judges[judge] = OutlierDetector::new(&service, 1, record, now);
                    for (server, leaving) in leaving.iter().enumerate() {
                        judges[judge].set_leaving(server, *leaving);
                    }
                }
                Happening::Leave { server, leaving: leaves } => {
                    leaving[server] = leaves;
                    judges.iter_mut().for_each(|judge| judge.set_leaving(server, leaves));
                }
            }
        }
    }

    /// One box alone, saying what it likes, ejects nothing where others report too.
    #[test]
    fn one_lying_box_ejects_nothing(
        lies in proptest::collection::vec(
            proptest::collection::vec((0..12u16, any::<u16>()), 0..12), 1..60),
    ) {
        let service = service(60);
        let mut now = Instant::now();
        let mut judge = OutlierDetector::new(&service, 1, None, now);
        let home = HOME.to_owned();
        for sums in lies {
            for honest in 1..BOXES {
                let well: Vec<(u16, u16)> = (0..10).map(|server| (server, 0)).collect();
                judge.record_report(&box_id(honest), &home, &report(&well), now);
            }
            judge.record_report(&box_id(0), &home, &report(&sums), now);
            now += Duration::from_millis(100);
            let events = judge.tick(now);
            let suspected = |event: &OutlierEvent| matches!(event, OutlierEvent::Suspected(_));
            prop_assert!(!events.iter().any(suspected));
            prop_assert_eq!(judge.available_slots(), 30);
        }
    }
}

/// A record that takes any server away must leave the floor.
fn check(
    service: &Service,
    record: &EjectionRecord,
    leaving: &[bool],
) -> Result<(), TestCaseError> {
    let taken = service.servers.iter().enumerate();
    let mut taken = taken.filter(|(index, _)| !leaving[*index]);
    if !taken.any(|(_, server)| record.ejected.contains(&server.name)) {
        return Ok(());
    }
    let stays = |(index, server): (usize, &wingspur_state::BackendServer)| {
        let out = record.ejected.contains(&server.name);
        (!leaving[index] && !out).then_some(server.slots)
    };
    let slots: u32 = service.servers.iter().enumerate().filter_map(stays).sum();
    prop_assert!(
        slots >= service.floor_slots(),
        "{slots} slots stay of a floor of {}",
        service.floor_slots()
    );
    Ok(())
}

#[test]
fn with_three_sick_and_room_for_two_the_least_sick_is_only_avoided() {
    let service = service(80);
    let mut now = Instant::now();
    let mut judge = OutlierDetector::new(&service, 1, None, now);
    let home = HOME.to_owned();
    for _ in 0..20 {
        for index in 0..BOXES {
            let mut sums: Vec<(u16, u16)> = (0..10).map(|server| (server, 0)).collect();
            (sums[1].1, sums[4].1, sums[8].1) = (600, 400, 700);
            judge.record_report(&box_id(index), &home, &report(&sums), now);
        }
        now += Duration::from_millis(100);
        judge.tick(now);
        if let Some(record) = judge.pending_record() {
            judge.apply_record(record, now);
        }
    }
    let standings = judge.verdict(&home).standings;
    let of = |server: u16| standings.iter().find(|(index, _)| *index == server);
    assert_eq!(of(8), Some(&(8, OutlierStatus::Excluded)));
    assert_eq!(of(1), Some(&(1, OutlierStatus::Excluded)));
    assert_eq!(of(4), Some(&(4, OutlierStatus::Suspected)));
    assert_eq!(judge.available_slots(), 24);
}

#[test]
fn a_server_that_one_data_centre_cannot_reach_is_ejected_for_nobody() {
    let service = service(60);
    let mut now = Instant::now();
    let mut judge = OutlierDetector::new(&service, 1, None, now);
    let (cut, well) = ("data-centre-1".to_owned(), "data-centre-2".to_owned());
    for _ in 0..20 {
        for index in 0..BOXES {
            let feels = index < 3;
            let sums: Vec<(u16, u16)> = (0..10)
                .map(|server| (server, if feels && server == 3 { 900 } else { 0 }))
                .collect();
            let home = if feels { &cut } else { &well };
            judge.record_report(&box_id(index), home, &report(&sums), now);
        }
        now += Duration::from_millis(100);
        judge.tick(now);
        if let Some(record) = judge.pending_record() {
            judge.apply_record(record, now);
        }
    }
    assert_eq!(
        judge.verdict(&cut).standings,
        [(3, OutlierStatus::Suspected)]
    );
    assert_eq!(judge.verdict(&well).standings, []);
    assert_eq!(judge.available_slots(), 30);
}
