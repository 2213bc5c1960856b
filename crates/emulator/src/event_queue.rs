//! The queue of pending events, ordered by time; events of the same time keep the order in which they were
//! scheduled.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use meadowhold::interface::Time;

struct Entry<E> {
    at: Time,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    /// Reversed, because `BinaryHeap` pops the greatest entry first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

pub struct EventQueue<E> {
    heap: BinaryHeap<Entry<E>>,
    next: u64,
    now: Time,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), next: 0, now: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Time of the last event popped.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Schedules an event; a time in the past is replaced by the present.
    pub fn schedule(&mut self, at: Time, event: E) {
        self.next += 1;
        self.heap.push(Entry { at: at.max(self.now), number: self.next, event });
    }

    pub fn pop(&mut self) -> Option<(Time, E)> {
        let entry = self.heap.pop()?;
        self.now = entry.at;
        Some((entry.at, entry.event))
    }

    /// Number of events scheduled so far.
    pub fn count(&self) -> u64 {
        self.next
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_come_in_order_of_time_then_of_putting() {
        let mut event_queue = EventQueue::default();
        for (at, event) in [(5, 'c'), (1, 'a'), (5, 'd'), (3, 'b')] {
            event_queue.schedule(at, event);
        }
        let mut seen = String::new();
        while let Some((at, event)) = event_queue.pop() {
            seen.push(event);
            if event == 'b' {
                event_queue.schedule(at - 2, 'x');
            }
        }
        assert_eq!((seen.as_str(), event_queue.now()), ("abxcd", 5));
    }
}
