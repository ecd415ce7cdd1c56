//! Planned work on boxes: stopping them in series, starting them again, reloading and
//! adding them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::RngExt;
use rustix::process::Signal;

use super::{BUDGET, FollowUp, Play, PlayedBox};
use crate::boxes::{BoxSpec, SoakBox};
use crate::planned::callers::BoxView;
use crate::planned::record::{BoxIndex, BoxInstance};
use crate::planned::servers::spawn;
use crate::planned::watching::watch_box;

impl Play<'_> {
    /// Stops the next box of a series once it is due, preferably while it has requests in
    /// flight. Skips a box that is removed or that cannot be stopped in time.
    pub(super) fn continue_series(&mut self, number: usize, now: Instant) {
        let series = &self.series[number];
        let Some(index) = series.boxes.front().copied().filter(|_| series.due <= now)
        else {
            return;
        };
        let overdue = now.saturating_duration_since(series.due);
        let next = &self.boxes[index];
        let has_requests = next.view.in_flight.load(Ordering::Relaxed) > 0;
        let out_of_rotation = self.boxes.iter().filter(|b| !b.in_rotation()).count();
        let is_blocked = !next.in_rotation() || out_of_rotation >= self.boxes.len() / 2;
        if next.is_removed || overdue > MAX_SERIES_WAIT {
            self.series[number].boxes.pop_front();
            return;
        }
        if is_blocked || (!has_requests && overdue < MAX_WAIT_FOR_REQUEST) {
            return;
        }
        self.stop(index);
        let series = &mut self.series[number];
        series.boxes.pop_front();
        series.due = now + series.gap;
    }

    pub(super) fn stop(&mut self, index: BoxIndex) {
        let stopped = &mut self.boxes[index];
        let Some(instance) = stopped
            .instances
            .last_mut()
            .filter(|instance| instance.stop_sent.is_none())
        else {
            return;
        };
        instance.stop_sent = Some(Instant::now());
        stopped.process.stop();
        let in_flight = stopped.view.in_flight.load(Ordering::Relaxed);
        self.log_work(format!(
            "box-{index} is told to stop, {in_flight} in flight"
        ));
        if self.setup.tells_twice {
            let after = self.random.random_range(0..MAX_BETWEEN_SIGNALS_MS);
            self.plan(Duration::from_millis(after), FollowUp::StopAgain(index));
        }
    }

    /// Sends SIGTERM once more to a box that is stopping already, as two operators at
    /// once would.
    pub(super) fn stop_again(&mut self, index: BoxIndex) {
        if !self.boxes[index].is_stopping() {
            return;
        }
        self.boxes[index].process.signal(Signal::TERM);
        self.log_work(format!("box-{index} is told to stop once more"));
    }

    /// Records which processes have ended, and plans the start of each box that is not
    /// removed.
    pub(super) fn record_ended_processes(&mut self) {
        for index in 0..self.boxes.len() {
            let played = &mut self.boxes[index];
            let is_running = played.process.is_running();
            let unfinished = played
                .instances
                .last_mut()
                .filter(|instance| instance.ended.is_none());
            let Some(instance) = unfinished else { continue };
            if is_running {
                instance.last_seen_running = Instant::now();
                continue;
            }
            let exited_cleanly = played
                .process
                .exit_status()
                .is_some_and(|status| status.success());
            instance.ended = Some(Instant::now());
            instance.exited_cleanly = exited_cleanly;
            let is_restarted = !played.is_removed;
            self.log_work(format!("box-{index} has ended"));
            if is_restarted {
                let pause = self.random.random_range(50..700);
                self.plan(Duration::from_millis(pause), FollowUp::Start(index));
            }
        }
    }

    pub(super) fn start_box(&mut self, index: BoxIndex) {
        let started = &mut self.boxes[index];
        if started.is_removed && !started.instances.is_empty() {
            return;
        }
        started.instances.push(BoxInstance {
            started: Instant::now(),
            last_seen_running: Instant::now(),
            stop_sent: None,
            ended: None,
            exited_cleanly: true,
        });
        started.process.start();
        self.log_work(format!("box-{index} is started"));
    }

    /// Sends SIGHUP to most boxes, after changing their log filter if `changed`. A box
    /// that is starting is left out, since it cannot handle the signal yet.
    pub(super) fn reload(&mut self, changed: bool) {
        let filter = ["info", "info,hyper=warn", "info,wingspur_edge=info"];
        let filter = filter[self.random.random_range(0..filter.len())];
        for index in 0..self.boxes.len() {
            let reloaded = &mut self.boxes[index];
            if self.random.random_bool(0.2)
                || !(reloaded.in_rotation() || reloaded.is_stopping())
            {
                continue;
            }
            if changed {
                reloaded.process.set_filter(filter);
            }
            reloaded.process.signal(Signal::HUP);
        }
    }

    pub(super) fn add_box(&mut self) {
        let index = self.boxes.len();
        let shares = &self.schedule.cpu_shares;
        let spec = BoxSpec {
            id: format!("box-{index}"),
            data_centre: self.data_centre(index),
            // A box that is added later gets a greater share than any initial box.
            cpu_share: shares.get(index).copied().unwrap_or(1.0),
            kill_after_s: Some(KILL_AFTER.as_secs_f64()),
            budget: BUDGET,
            max_prompt_delay_ms: None,
        };
        let address = self.store.address;
        let process = SoakBox::new(&spec, &self.setup.program, address, self.folder);
        let view = Arc::new(BoxView {
            index,
            caller_address: process.caller_address,
            in_rotation: AtomicBool::new(false),
            in_flight: Default::default(),
        });
        let operator_address = process.operator_address;
        let (watched, readings) = (view.clone(), self.readings.clone());
        let stop = self.stop_watching.clone();
        let watching = move || watch_box(&watched, operator_address, &readings, &stop);
        self.watchers.push(spawn(watching));
        self.boxes.push(PlayedBox {
            process,
            view: view.clone(),
            instances: Vec::new(),
            is_removed: false,
        });
        self.start_box(index);
        self.views.write().expect("no holder panics").push(view);
    }
}

/// Time after the stop signal at which the platform would kill a box.
pub const KILL_AFTER: Duration = Duration::from_secs(8);
/// How long a series waits for its next box to have a request in flight.
const MAX_WAIT_FOR_REQUEST: Duration = Duration::from_millis(300);
/// How long a series waits for its next box, and for more than half of all boxes, to be
/// in rotation.
const MAX_SERIES_WAIT: Duration = Duration::from_secs(6);
/// A stop takes half a second and the time of the requests in flight.
const MAX_BETWEEN_SIGNALS_MS: u64 = 1500;
