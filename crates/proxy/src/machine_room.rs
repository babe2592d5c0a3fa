//! The room of this machine and of the others, measured and told.

use latchwheel_clock::process;
use latchwheel_core::headroom::{
    Headroom, HeadroomChange, HeadroomGauge, MachineCapacity, PeerHeadroom, PeerHeadroomCounts, ProcessUsage,
};
use latchwheel_core::identity::NodeId;
use latchwheel_core::time::Instant;
use latchwheel_events::{emit, Event};
use latchwheel_protocol::v1;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time between two lines that tell the least room.
const LINE_EVERY: Duration = Duration::from_secs(10);
/// Turns of the process that a request waits for at least: its head, a keeper's answer,
/// the head of the server's answer, and its first piece.
const TURNS_OF_A_REQUEST: u32 = 4;

/// What is known of machines and their room; nothing until limits are set.
#[derive(Debug, Default)]
pub struct MachineRoom {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    gauge: Option<HeadroomGauge>,
    elsewhere: PeerHeadroom,
    busy_since: Option<Instant>,
    least: Headroom,
    line_at: Option<Instant>,
}

impl MachineRoom {
    /// The limits of this machine; its room is measured from now on.
    pub fn set_capacity(&self, capacity: MachineCapacity) {
        self.lock().gauge = capacity.has_limits().then(|| HeadroomGauge::new(capacity));
    }

    /// What is left of this machine's limits; `None` where they are not known.
    pub fn own(&self) -> Option<Headroom> {
        self.lock().gauge.as_ref().map(HeadroomGauge::headroom)
    }

    /// The other nodes that tell their room.
    pub fn others(&self, now: Instant) -> PeerHeadroomCounts {
        self.lock().elsewhere.all(now)
    }

    /// A task ran so much later than it was due; answers are in time within `target`.
    pub(crate) fn note_delay(&self, now: Instant, delay: Duration, target: Duration) {
        if let Some(gauge) = &mut self.lock().gauge {
            gauge.note_delay(now, delay, target / TURNS_OF_A_REQUEST);
        }
    }

    /// Looks now and then at what the process uses.
    pub(crate) fn look(&self, now: Instant, keeps_servers: bool) {
        let mut state = self.lock();
        if state.gauge.as_ref().is_some_and(|gauge| gauge.sample_is_due(now)) {
            state.look(now, keeps_servers);
        }
    }

    /// Another node told its room.
    pub(crate) fn note_told(&self, now: Instant, from: NodeId, told: &v1::MachineRoom) {
        let percent = u8::try_from(told.percent).unwrap_or(u8::MAX);
        self.lock().elsewhere.note(now, from, percent, told.busy);
    }

    /// A sum over all nodes told of their rooms.
    pub(crate) fn note_sum(&self, now: Instant, rooms: PeerHeadroomCounts) {
        self.lock().elsewhere.note_sum(now, rooms);
    }

    /// What others are told of this machine.
    pub(crate) fn message(&self) -> Option<v1::MachineRoom> {
        let state = self.lock();
        let gauge = state.gauge.as_ref()?;
        Some(v1::MachineRoom { percent: gauge.headroom().least().into(), busy: gauge.is_busy() })
    }

    /// All nodes that tell their room, this one among them.
    pub(crate) fn sum(&self, now: Instant) -> PeerHeadroomCounts {
        let state = self.lock();
        let mut rooms = state.elsewhere.counts_from_reports(now);
        if let Some(gauge) = &state.gauge {
            rooms.nodes += 1;
            rooms.busy += u32::from(gauge.is_busy());
        }
        rooms
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn look(&mut self, now: Instant, keeps_servers: bool) {
        let Some(gauge) = &mut self.gauge else { return };
        let change = gauge.note_usage(now, &usage());
        let (room, delay) = (gauge.headroom(), gauge.delay());
        match change {
            Some(HeadroomChange::Busy) => self.note_busy(now, room, delay),
            Some(HeadroomChange::Free) => self.note_free(now, room),
            None => {}
        }
        self.least = self.least.min_of_each(&room);
        self.tell_least(now, keeps_servers);
    }

    fn note_busy(&mut self, now: Instant, room: Headroom, delay: Duration) {
        self.busy_since = Some(now);
        let others = self.elsewhere.all(now);
        let Headroom { processor, delay: delay_left, memory, descriptors } = room;
        let delay_ms = delay.as_millis() as u64;
        let (others, others_busy) = (others.nodes, others.busy);
        let delay = delay_left;
        emit("", &Event::MachineBusy { processor, delay, memory, descriptors, delay_ms, others, others_busy });
    }

    fn note_free(&mut self, now: Instant, room: Headroom) {
        let since = self.busy_since.take().unwrap_or(now);
        let busy_ms = now.since(since).as_millis() as u64;
        emit("", &Event::MachineFree { room: room.least(), busy_ms });
    }

    fn tell_least(&mut self, now: Instant, keeps_servers: bool) {
        let line_at = *self.line_at.get_or_insert(now);
        if now.since(line_at) < LINE_EVERY {
            return;
        }
        self.line_at = Some(now);
        let Headroom { processor, delay, memory, descriptors } = std::mem::take(&mut self.least);
        emit("", &Event::MachineRoom { processor, delay, memory, descriptors, keeps_servers });
    }
}

fn usage() -> ProcessUsage {
    ProcessUsage {
        processor_time: process::processor_time(),
        memory_bytes: process::resident_bytes(),
        descriptors: process::open_descriptors(),
    }
}
