//! Shared by the baselines and the oracle: call slots (connects of one turn to one endpoint form one call),
//! and the rules on what may be repeated.

use meadowhold::interface::{Effect, Settings, Time};

/// The element at an index; the list grows as needed.
pub fn entry_mut<T: Default>(list: &mut Vec<T>, index: usize) -> &mut T {
    if index >= list.len() {
        list.resize_with(index + 1, T::default);
    }
    &mut list[index]
}

/// Whether a mail may be sent again, and whether its client may be told that a retry is harmless. `ran` holds
/// the send time and zone of the first connect that may have run. A repeat must start early enough to connect
/// within the deduplication window.
pub fn may_retry(set: &Settings, now: Time, class: usize, ran: Option<(Time, usize)>) -> (bool, bool) {
    let c = &set.classes[class];
    match (ran, c.effect) {
        (None, _) | (_, Effect::Redeliverable) => (true, true),
        (Some((sent, _)), Effect::Tagged) => {
            (now + set.connection_timeout < sent + c.dedup_window, !c.dedup_by_zone)
        }
        (Some(_), Effect::OnceOnly) => (false, false),
    }
}

#[derive(Default)]
pub struct CallSlots {
    /// Connects without an outcome, by call; 0 marks a free entry.
    calls: Vec<usize>,
    free: Vec<usize>,
    out: usize,
    turn: u64,
    /// By endpoint: turn and index of its latest call, and the number of connects in it.
    latest: Vec<(u64, usize, usize)>,
}

impl CallSlots {
    pub fn next_turn(&mut self) {
        self.turn += 1;
    }

    pub fn out(&self) -> usize {
        self.out
    }

    /// Connects that this turn has added to the latest call to an endpoint.
    pub fn connects(&self, endpoint: usize) -> usize {
        self.latest.get(endpoint).filter(|l| l.0 == self.turn).map_or(0, |l| l.2)
    }

    /// Whether one more mail could go to an endpoint, in a call of this turn or in a free slot.
    pub fn has_room(&self, endpoint: usize, batch: usize, most: usize) -> bool {
        (1..batch).contains(&self.connects(endpoint)) || self.out < most
    }

    /// Adds a mail to a call to an endpoint; returns the index of the call.
    pub fn take(&mut self, endpoint: usize, batch: usize) -> usize {
        if endpoint >= self.latest.len() {
            self.latest.resize(endpoint + 1, (0, 0, 0));
        }
        let (turn, call, connects) = self.latest[endpoint];
        if turn == self.turn && connects < batch {
            self.latest[endpoint].2 += 1;
            self.calls[call] += 1;
            return call;
        }
        let call = self.free.pop().unwrap_or_else(|| {
            self.calls.push(0);
            self.calls.len() - 1
        });
        self.calls[call] = 1;
        self.out += 1;
        self.latest[endpoint] = (self.turn, call, 1);
        call
    }

    /// Records the outcome of a connect; returns whether its call has ended.
    pub fn finish_connect(&mut self, call: usize) -> bool {
        self.calls[call] -= 1;
        let ended = self.calls[call] == 0;
        if ended {
            self.out -= 1;
            self.free.push(call);
        }
        ended
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn connects_of_a_turn_share_a_slot_up_to_the_batch() {
        let mut slots = CallSlots::default();
        slots.next_turn();
        let calls = [slots.take(3, 2), slots.take(3, 2), slots.take(3, 2), slots.take(4, 2)];
        assert_eq!((calls, slots.out()), ([0, 0, 1, 2], 3));
        assert!(slots.has_room(4, 2, 3) && !slots.has_room(5, 2, 3));
        assert_eq!([slots.finish_connect(0), slots.finish_connect(0)], [false, true]);
        slots.next_turn();
        assert_eq!((slots.take(3, 2), slots.out()), (0, 3));
    }
}
