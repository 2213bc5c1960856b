//! What can be seen of the decisions from outside: by plots, audits, and whoever carries the calls. Nothing is decided
//! here.

use super::{Control, Health};
use crate::interface::Time;
use crate::state::Place;

/// Says where what is kept is not what was counted.
fn agree(faults: &mut Vec<String>, what: impl FnOnce() -> String, kept: usize, counted: usize) {
    if kept != counted {
        faults.push(format!("{}: {kept} kept, {counted} counted", what()));
    }
}

impl Control {
    /// What an endpoint is held to be.
    pub fn health(&self, endpoint: usize) -> Option<Health> {
        self.endpoints.get(endpoint).filter(|e| e.known).map(|e| e.standing)
    }

    /// A destination's cap, calls out and parked mails.
    pub fn destination_load(&self, dest: usize) -> Option<(usize, usize, usize)> {
        self.dests.get(dest).map(|d| (self.cap(dest), d.out, d.waiting()))
    }

    /// Slots taken, by calls that have a mail without an outcome.
    pub fn slots_taken(&self) -> usize {
        self.out
    }

    /// Mails that are owed an end, parked or out.
    pub fn open_mails(&self) -> usize {
        self.open
    }

    /// Mails whose index is in use; those too that are over, with an outcome still to come.
    pub fn mail_indices_in_use(&self) -> usize {
        self.mails.iter().filter(|m| m.place != Place::Free).count()
    }

    /// Mails without an outcome, summed over the calls that they went with.
    pub fn mails_in_flight(&self) -> usize {
        self.calls.iter().map(|call| call.left).sum()
    }

    /// The slot and the endpoint of the call that a mail is out with.
    pub fn call_of(&self, mail: usize) -> Option<(usize, usize)> {
        let m = self.mails.get(mail).filter(|m| matches!(m.place, Place::Out | Place::Over))?;
        Some((m.call, self.calls[m.call].endpoint))
    }

    /// Calls out to an endpoint.
    pub fn calls_in_flight(&self, endpoint: usize) -> usize {
        self.endpoints.get(endpoint).map_or(0, |e| e.out)
    }

    /// Whether the unit of an endpoint is to be left alone.
    pub fn is_on_hold(&self, endpoint: usize, now: Time) -> bool {
        self.endpoints.get(endpoint).is_some_and(|e| now < self.units[e.unit].hold_until)
    }

    /// Counts the books of the decisions another way than they are kept, and says in words where the two differ.
    pub fn audit(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut left = vec![0; self.calls.len()];
        let (mut at, mut late) = (vec![0; self.endpoints.len()], vec![0; self.endpoints.len()]);
        let mut to = vec![0; self.dests.len()];
        for call in self.calls.iter().filter(|call| call.left > 0) {
            at[call.endpoint] += 1;
            late[call.endpoint] += usize::from(call.late);
            to[self.endpoints[call.endpoint].dest] += 1;
        }
        agree(&mut faults, || "slots taken".into(), self.out, at.iter().sum());
        for (endpoint, e) in self.endpoints.iter().enumerate() {
            agree(&mut faults, || format!("calls out to endpoint {endpoint}"), e.out, at[endpoint]);
            agree(&mut faults, || format!("late calls to endpoint {endpoint}"), e.late, late[endpoint]);
        }
        for (dest, d) in self.dests.iter().enumerate() {
            agree(&mut faults, || format!("calls out to destination {dest}"), d.out, to[dest]);
        }
        // How often a mail stands in a line of its destination, and in that of its key.
        let mut stands = vec![(0, 0); self.mails.len()];
        for (dest, line) in
            self.dests.iter().enumerate().flat_map(|(i, d)| d.lines.iter().map(move |l| (i, l)))
        {
            for &mail in line {
                match self.mails.get(mail) {
                    Some(m) if m.place == Place::Parked && m.dest == dest => stands[mail].0 += 1,
                    _ => faults
                        .push(format!("a line of destination {dest} holds mail {mail}, not parked there")),
                }
            }
        }
        for (key, k) in self.keys.iter().enumerate() {
            for &mail in &k.line {
                match self.mails.get(mail) {
                    Some(m) if m.place != Place::Free && m.key == Some(key) => stands[mail].1 += 1,
                    _ => faults
                        .push(format!("the line of key {key} holds mail {mail}, which is none of its own")),
                }
            }
        }
        let mut open = 0;
        for (mail, m) in self.mails.iter().enumerate().filter(|(_, m)| m.place != Place::Free) {
            let parked = usize::from(m.place == Place::Parked);
            open += usize::from(m.place != Place::Over);
            agree(&mut faults, || format!("places of mail {mail} in lines"), parked, stands[mail].0);
            let keyed = usize::from(m.key.is_some());
            agree(&mut faults, || format!("places of mail {mail} in lines of keys"), keyed, stands[mail].1);
            if parked == 0 {
                left[m.call] += 1;
                let of = self.endpoints[self.calls[m.call].endpoint].dest;
                if of != m.dest {
                    faults.push(format!("mail {mail} of destination {} is out to destination {of}", m.dest));
                }
            }
        }
        agree(&mut faults, || "open mails".into(), self.open, open);
        for (i, call) in self.calls.iter().enumerate() {
            agree(&mut faults, || format!("mails of the call in slot {i}"), call.left, left[i]);
        }
        faults
    }

    /// Spoils one book, so that a test can show that the audit sees it; false where there is nothing to spoil.
    #[cfg(any(debug_assertions, feature = "spoil"))]
    pub fn corrupt(&mut self, what: &str) -> bool {
        let parked = self.mails.iter().position(|m| m.place == Place::Parked);
        let call = self.calls.iter().position(|c| c.left > 0);
        let line = |c: &mut Control, mail: usize| {
            let dest = c.mails[mail].dest;
            c.dests[dest].lines.iter().position(|line| line.contains(&mail)).map(|line| (dest, line))
        };
        match (what, parked, call) {
            ("slots", ..) => self.out += 1,
            ("open", ..) => self.open += 1,
            ("calls to a destination", _, Some(call)) => {
                let dest = self.endpoints[self.calls[call].endpoint].dest;
                self.dests[dest].out += 1;
            }
            ("calls to an endpoint", _, Some(call)) => {
                let endpoint = self.calls[call].endpoint;
                self.endpoints[endpoint].out += 1;
            }
            ("mails of a call", _, Some(call)) => self.calls[call].left += 1,
            ("a line that lost a mail" | "a line with a mail twice", Some(mail), _) => {
                let Some((dest, line)) = line(self, mail) else { return false };
                let line = &mut self.dests[dest].lines[line];
                match what {
                    "a line that lost a mail" => line.retain(|&other| other != mail),
                    _ => line.push(mail),
                }
            }
            ("the line of a key", ..) => {
                let Some(key) = self.keys.iter_mut().find(|k| !k.line.is_empty()) else { return false };
                key.line.pop();
            }
            ("a mail's destination", _, Some(call)) => {
                let out = |m: &&mut crate::state::Mail| m.place == Place::Out && m.call == call;
                let Some(mail) = self.mails.iter_mut().find(out) else { return false };
                mail.dest = if mail.dest == 0 { 1 } else { 0 };
            }
            _ => return false,
        }
        true
    }
}
