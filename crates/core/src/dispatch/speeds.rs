//! Speed data of servers: their slowdown and step time (time between two pieces of an answer),
//! from responses to this node and from the updates that other nodes send to the tracker of a
//! server.

use super::slowdown::SpeedUpdate;
use super::{Dispatcher, Placement, ServerShare};
use crate::time::Instant;
use std::time::Duration;

/// Smallest number of pieces of an answer that updates the step time.
const MIN_MEASURED_PIECES: u32 = 8;

impl Dispatcher {
    /// Records the slowdown that a server reported, if it did.
    pub(super) fn note_reported_slowdown(&mut self, now: Instant, server: &str, percent: Option<u32>) {
        let (Some(percent), Some(server)) = (percent, self.servers.get_mut(server)) else { return };
        let cost = self.services.entry(server.service.clone()).or_default();
        server.speed.note_slowdown(now, percent, cost.slowdown_validity.get_or_insert_default());
        server.speed_update.slowdown = server.speed.reported(now);
        self.tracked.note_change(server.key);
    }

    /// Records that an answer of `pieces` pieces is complete; the last piece arrived `time`
    /// after the first.
    pub fn note_pieces(&mut self, now: Instant, placement: &Placement, pieces: u32, time: Duration) {
        if pieces < MIN_MEASURED_PIECES {
            return;
        }
        let Some(server) = self.servers.get_mut(&placement.server) else { return };
        let step = time / (pieces - 1);
        server.speed_update.step = Some(step);
        let key = server.key;
        self.note_step(now, &placement.server, step);
        self.tracked.note_change(key);
    }

    /// Records the time between two pieces at a server. Ignored if no server of the service
    /// reports its slowdown.
    fn note_step(&mut self, now: Instant, server: &str, step: Duration) {
        let Some(server) = self.servers.get_mut(server) else { return };
        let Some(cost) = self.services.get_mut(&server.service) else { return };
        let Some(validity) = cost.slowdown_validity else { return };
        let at_usual_speed = step.as_secs_f64() / server.speed.slowdown(now, &validity);
        let ratio = cost.note_step(at_usual_speed);
        server.speed.note_step(ratio);
    }

    /// Removes the speed data from the shares of other nodes and records it.
    pub(super) fn take_speed_updates(&mut self, now: Instant, shares: &mut [ServerShare]) {
        for share in shares {
            let update = std::mem::take(&mut share.speed);
            if update != SpeedUpdate::default() {
                self.note_speed_update(now, share, update);
            }
        }
    }

    fn note_speed_update(&mut self, now: Instant, share: &ServerShare, update: SpeedUpdate) {
        let Some(id) = self.ids.get(&share.server).cloned() else { return };
        let Some(server) = self.servers.get_mut(&id) else { return };
        if let Some(slowdown) = update.slowdown {
            let cost = self.services.entry(server.service.clone()).or_default();
            let validity = cost.slowdown_validity.get_or_insert_default();
            server.speed.note_slowdown(now - slowdown.age, slowdown.percent, validity);
        }
        if let Some(step) = update.step {
            self.note_step(now, &id, step);
        }
    }

    /// Adds speed data that was not sent yet to shares for trackers.
    pub(super) fn add_speed_updates(&mut self, now: Instant, shares: &mut [ServerShare]) {
        for share in shares {
            let server = self.ids.get(&share.server).and_then(|id| self.servers.get_mut(id));
            let Some(server) = server else { continue };
            let update = std::mem::take(&mut server.speed_update);
            let slowdown = update.slowdown.and_then(|_| server.speed.reported(now));
            share.speed = SpeedUpdate { slowdown, step: update.step };
        }
    }
}
