//! Read access to the decisions, for plots, audits and the process that carries out the calls. No decision is
//! made here.

use super::{Control, Health};
use crate::interface::Time;
use crate::state::MailState;

/// Reports a stored count that differs from a recount.
fn agree(faults: &mut Vec<String>, what: impl FnOnce() -> String, stored: usize, counted: usize) {
    if stored != counted {
        faults.push(format!("{}: {stored} kept, {counted} counted", what()));
    }
}

impl Control {
    /// The health of an endpoint, if it is known.
    pub fn health(&self, endpoint: usize) -> Option<Health> {
        self.endpoints.get(endpoint).filter(|e| e.known).map(|e| e.health)
    }

    /// A destination's cap on calls in flight, its calls in flight and its queued mails.
    pub fn destination_load(&self, destination: usize) -> Option<(usize, usize, usize)> {
        self.destinations
            .get(destination)
            .map(|d| (self.call_cap(destination), d.calls_in_flight, d.queued()))
    }

    /// Slots taken by calls with a mail without an outcome.
    pub fn slots_taken(&self) -> usize {
        self.calls_in_flight
    }

    /// Mails without a final answer, queued or in flight.
    pub fn open_mails(&self) -> usize {
        self.open_mails
    }

    /// Mails whose index is in use, including those that have ended and wait for an outcome.
    pub fn mail_indices_in_use(&self) -> usize {
        self.mails.iter().filter(|m| m.state != MailState::Unused).count()
    }

    /// Mails without an outcome, summed over the calls that carry them.
    pub fn mails_in_flight(&self) -> usize {
        self.calls.iter().map(|call| call.pending_mails).sum()
    }

    /// The slot and the endpoint of the call that carries a mail.
    pub fn call_of(&self, mail: usize) -> Option<(usize, usize)> {
        let m =
            self.mails.get(mail).filter(|m| matches!(m.state, MailState::InFlight | MailState::Finished))?;
        Some((m.call, self.calls[m.call].endpoint))
    }

    /// Calls in flight to an endpoint.
    pub fn calls_in_flight(&self, endpoint: usize) -> usize {
        self.endpoints.get(endpoint).map_or(0, |e| e.calls_in_flight)
    }

    /// Whether the scope of an endpoint is on hold.
    pub fn is_on_hold(&self, endpoint: usize, now: Time) -> bool {
        self.endpoints.get(endpoint).is_some_and(|e| now < self.limit_scopes[e.limit_scope].hold_until)
    }

    /// Recounts the state of the decisions from other parts of it, and describes each difference.
    pub fn audit(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut pending = vec![0; self.calls.len()];
        let (mut by_endpoint, mut overdue) = (vec![0; self.endpoints.len()], vec![0; self.endpoints.len()]);
        let mut by_destination = vec![0; self.destinations.len()];
        for call in self.calls.iter().filter(|call| call.pending_mails > 0) {
            by_endpoint[call.endpoint] += 1;
            overdue[call.endpoint] += usize::from(call.overdue);
            by_destination[self.endpoints[call.endpoint].destination] += 1;
        }
        agree(&mut faults, || "slots taken".into(), self.calls_in_flight, by_endpoint.iter().sum());
        for (endpoint, e) in self.endpoints.iter().enumerate() {
            agree(
                &mut faults,
                || format!("calls out to endpoint {endpoint}"),
                e.calls_in_flight,
                by_endpoint[endpoint],
            );
            agree(
                &mut faults,
                || format!("overdue calls to endpoint {endpoint}"),
                e.overdue_calls,
                overdue[endpoint],
            );
        }
        for (destination, d) in self.destinations.iter().enumerate() {
            agree(
                &mut faults,
                || format!("calls out to destination {destination}"),
                d.calls_in_flight,
                by_destination[destination],
            );
        }
        // How often a mail is in a queue of its destination, and in that of its key.
        let mut entries = vec![(0, 0); self.mails.len()];
        for (destination, queue) in
            self.destinations.iter().enumerate().flat_map(|(i, d)| d.queues.iter().map(move |l| (i, l)))
        {
            for &mail in queue {
                match self.mails.get(mail) {
                    Some(m) if m.state == MailState::Queued && m.destination == destination => {
                        entries[mail].0 += 1
                    }
                    _ => faults.push(format!(
                        "a queue of destination {destination} holds mail {mail}, which is not queued there"
                    )),
                }
            }
        }
        for (key, k) in self.keys.iter().enumerate() {
            for &mail in &k.queue {
                match self.mails.get(mail) {
                    Some(m) if m.state != MailState::Unused && m.key == Some(key) => entries[mail].1 += 1,
                    _ => faults.push(format!(
                        "the queue of key {key} holds mail {mail}, which does not belong to it"
                    )),
                }
            }
        }
        let mut open = 0;
        for (mail, m) in self.mails.iter().enumerate().filter(|(_, m)| m.state != MailState::Unused) {
            let queued = usize::from(m.state == MailState::Queued);
            open += usize::from(m.state != MailState::Finished);
            agree(&mut faults, || format!("entries of mail {mail} in lines"), queued, entries[mail].0);
            let has_key = usize::from(m.key.is_some());
            agree(
                &mut faults,
                || format!("entries of mail {mail} in lines of keys"),
                has_key,
                entries[mail].1,
            );
            if queued == 0 {
                pending[m.call] += 1;
                let call_destination = self.endpoints[self.calls[m.call].endpoint].destination;
                if call_destination != m.destination {
                    faults.push(format!(
                        "mail {mail} of destination {} is out to destination {call_destination}",
                        m.destination
                    ));
                }
            }
        }
        agree(&mut faults, || "open mails".into(), self.open_mails, open);
        for (i, call) in self.calls.iter().enumerate() {
            agree(&mut faults, || format!("mails of the call in slot {i}"), call.pending_mails, pending[i]);
        }
        faults
    }

    /// Corrupts one count or queue, so that a test can show that the audit finds it. Returns false if there
    /// is nothing to corrupt.
    #[cfg(any(debug_assertions, feature = "spoil"))]
    pub fn corrupt(&mut self, what: &str) -> bool {
        let queued = self.mails.iter().position(|m| m.state == MailState::Queued);
        let call = self.calls.iter().position(|c| c.pending_mails > 0);
        let queue = |c: &mut Control, mail: usize| {
            let destination = c.mails[mail].destination;
            c.destinations[destination]
                .queues
                .iter()
                .position(|queue| queue.contains(&mail))
                .map(|queue| (destination, queue))
        };
        match (what, queued, call) {
            ("slots", ..) => self.calls_in_flight += 1,
            ("open", ..) => self.open_mails += 1,
            ("calls to a destination", _, Some(call)) => {
                let destination = self.endpoints[self.calls[call].endpoint].destination;
                self.destinations[destination].calls_in_flight += 1;
            }
            ("calls to an endpoint", _, Some(call)) => {
                let endpoint = self.calls[call].endpoint;
                self.endpoints[endpoint].calls_in_flight += 1;
            }
            ("mails of a call", _, Some(call)) => self.calls[call].pending_mails += 1,
            ("a line that lost a mail" | "a line with a mail twice", Some(mail), _) => {
                let Some((destination, queue)) = queue(self, mail) else { return false };
                let queue = &mut self.destinations[destination].queues[queue];
                match what {
                    "a line that lost a mail" => queue.retain(|&other| other != mail),
                    _ => queue.push(mail),
                }
            }
            ("the line of a key", ..) => {
                let Some(key) = self.keys.iter_mut().find(|k| !k.queue.is_empty()) else { return false };
                key.queue.pop();
            }
            ("a mail's destination", _, Some(call)) => {
                let in_flight =
                    |m: &&mut crate::state::Mail| m.state == MailState::InFlight && m.call == call;
                let Some(mail) = self.mails.iter_mut().find(in_flight) else { return false };
                mail.destination = if mail.destination == 0 { 1 } else { 0 };
            }
            _ => return false,
        }
        true
    }
}
