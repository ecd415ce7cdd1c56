//! Work on boxes: stopped in series, started again, told to reload, added.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::RngExt;
use rustix::process::Signal;

use super::{BUDGET, Later, Play, PlayedBox};
use crate::boxes::{BoxSpec, SoakBox};
use crate::planned::callers::BoxView;
use crate::planned::record::{BoxIndex, Life};
use crate::planned::servers::spawn;
use crate::planned::watching::watch_box;

impl Play<'_> {
    /// Stops the next box of a series, while it answers requests if that comes soon.
    pub(super) fn go_on_with_series(&mut self, number: usize, now: Instant) {
        let series = &self.series[number];
        let Some(index) = series.boxes.front().copied().filter(|_| series.due <= now)
        else {
            return;
        };
        let waited = now.saturating_duration_since(series.due);
        let next = &self.boxes[index];
        let busy = next.view.in_flight.load(Ordering::Relaxed) > 0;
        let away = self.boxes.iter().filter(|b| !b.takes_callers()).count();
        let held_up = !next.takes_callers() || away >= self.boxes.len() / 2;
        if next.for_good || waited > SERIES_PATIENCE {
            self.series[number].boxes.pop_front();
            return;
        }
        if held_up || (!busy && waited < BUSY_PATIENCE) {
            return;
        }
        self.stop(index);
        let series = &mut self.series[number];
        series.boxes.pop_front();
        series.due = now + series.gap;
    }

    pub(super) fn stop(&mut self, index: BoxIndex) {
        let stopped = &mut self.boxes[index];
        let Some(life) = stopped.lives.last_mut().filter(|life| life.told.is_none())
        else {
            return;
        };
        life.told = Some(Instant::now());
        stopped.process.stop();
        let in_flight = stopped.view.in_flight.load(Ordering::Relaxed);
        self.note(format!(
            "box-{index} is told to stop, {in_flight} in flight"
        ));
        if self.setup.tells_twice {
            let after = self.random.random_range(0..MOST_BETWEEN_SIGNALS_MS);
            self.plan(Duration::from_millis(after), Later::TellAgain(index));
        }
    }

    /// Tells a box to stop that is stopping already, as two operators at once would.
    pub(super) fn tell_again(&mut self, index: BoxIndex) {
        if !self.boxes[index].stops() {
            return;
        }
        self.boxes[index].process.signal(Signal::TERM);
        self.note(format!("box-{index} is told to stop once more"));
    }

    /// Notes which processes have ended; those that were told to are started again.
    pub(super) fn note_ends(&mut self) {
        for index in 0..self.boxes.len() {
            let ended = &mut self.boxes[index];
            let runs = ended.process.runs();
            let open = ended.lives.last_mut().filter(|life| life.ended.is_none());
            let Some(life) = open else { continue };
            if runs {
                life.seen = Instant::now();
                continue;
            }
            let well = ended.process.ended().is_some_and(|status| status.success());
            life.ended = Some(Instant::now());
            life.well = well;
            let comes_back = !ended.for_good;
            self.note(format!("box-{index} has ended"));
            if comes_back {
                let pause = self.random.random_range(50..700);
                self.plan(Duration::from_millis(pause), Later::Start(index));
            }
        }
    }

    pub(super) fn start_box(&mut self, index: BoxIndex) {
        let started = &mut self.boxes[index];
        if started.for_good && !started.lives.is_empty() {
            return;
        }
        started.lives.push(Life {
            started: Instant::now(),
            seen: Instant::now(),
            told: None,
            ended: None,
            well: true,
        });
        started.process.start();
        self.note(format!("box-{index} is started"));
    }

    /// Tells most boxes to read their settings; one that starts could not hear it yet.
    pub(super) fn reload(&mut self, changed: bool) {
        let filter = ["info", "info,hyper=warn", "info,wingspur_edge=info"];
        let filter = filter[self.random.random_range(0..filter.len())];
        for index in 0..self.boxes.len() {
            let told = &mut self.boxes[index];
            if self.random.random_bool(0.2) || !(told.takes_callers() || told.stops()) {
                continue;
            }
            if changed {
                told.process.set_filter(filter);
            }
            told.process.signal(Signal::HUP);
        }
    }

    pub(super) fn add_box(&mut self) {
        let index = self.boxes.len();
        let shares = &self.schedule.cpu_shares;
        let spec = BoxSpec {
            id: format!("box-{index}"),
            data_centre: self.data_centre(index),
            // A box that is added later is as strong as the strongest can be.
            cpu_share: shares.get(index).copied().unwrap_or(1.0),
            kill_after_s: Some(GRACE.as_secs_f64()),
            budget: BUDGET,
        };
        let address = self.store.address;
        let process = SoakBox::new(&spec, &self.setup.program, address, self.folder);
        let view = Arc::new(BoxView {
            index,
            callers: process.callers,
            takes_callers: AtomicBool::new(false),
            in_flight: Default::default(),
        });
        let operators = process.operators;
        let (watched, readings) = (view.clone(), self.readings.clone());
        let stop = self.stop_watching.clone();
        let watching = move || watch_box(&watched, operators, &readings, &stop);
        self.watchers.push(spawn(watching));
        self.boxes.push(PlayedBox {
            process,
            view: view.clone(),
            lives: Vec::new(),
            for_good: false,
        });
        self.start_box(index);
        self.views.write().expect("no holder panics").push(view);
    }
}

/// When the platform would kill a box that was told to stop.
pub const GRACE: Duration = Duration::from_secs(8);
/// How long a series waits for its next box to answer a request.
const BUSY_PATIENCE: Duration = Duration::from_millis(300);
/// How long it waits for the box to be back, and for enough others.
const SERIES_PATIENCE: Duration = Duration::from_secs(6);
/// A stop takes half a second and what is in flight.
const MOST_BETWEEN_SIGNALS_MS: u64 = 1500;
