//! Checks the six rules. The judge is told what was accepted, sent, executed and answered, and what each
//! courier was told and when. It does not rely on anything a decider reports about itself.

use std::collections::{HashMap, VecDeque};

use meadowhold::interface::Time;
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each mail gets exactly one final answer, before its deadline, and is not sent after it.
    NoMailLost,
    NoEffectTwice,
    DrainsKept,
    NotPushedOver,
    OrderKept,
    WaitsHeeded,
}

/// A violation of a rule: the mail concerned (or one of the call's), the time, and a description.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Broken {
    pub rule: Rule,
    /// Tenths of a millisecond from the start of the day.
    pub at: Time,
    pub mail: u32,
    pub courier: u32,
    pub words: String,
}

/// Mails of one key at one courier that are not closed or have a connect in flight, in the order of
/// acceptance.
#[derive(Default)]
struct KeyQueue {
    mails: VecDeque<u32>,
    hold_until: Time,
}

#[derive(Default)]
pub struct Judge {
    pub broken: Vec<Broken>,
    /// Number of violations; `broken` keeps only the first `MAX_BROKEN_KEPT`.
    pub count: usize,
    /// By courier, and by scope, endpoint or key. Never iterated, so the hash order cannot influence a run.
    waits: HashMap<(u32, usize), (u32, Time)>,
    draining: HashMap<(u32, usize), (u32, Time)>,
    outages_seen: HashMap<(u32, usize), u32>,
    key_queues: HashMap<(u32, u32), KeyQueue>,
}

/// Number of violations that are kept in full; later ones are only counted.
const MAX_BROKEN_KEPT: usize = 20;

impl Judge {
    pub fn record_violation(&mut self, rule: Rule, at: Time, mail: u32, courier: u32, words: String) {
        self.count += 1;
        if self.broken.len() < MAX_BROKEN_KEPT {
            self.broken.push(Broken { rule, at, mail, courier, words });
        }
    }

    /// A courier's process has read that it must not call a scope before `until`.
    pub fn wait_read(&mut self, courier: u32, process: u32, scope: usize, until: Time) {
        let told = self.waits.entry((courier, scope)).or_insert((process, until));
        // A wait applies only to the process that was told of it.
        *told = if told.0 == process { (process, told.1.max(until)) } else { (process, until) };
    }

    /// A courier's process has read that an endpoint is draining or removed, or ready (again).
    pub fn status_read(&mut self, courier: u32, process: u32, endpoint: usize, ready: bool, now: Time) {
        if ready {
            self.draining.remove(&(courier, endpoint));
        } else {
            let told = self.draining.entry((courier, endpoint)).or_insert((process, now));
            *told = if told.0 == process { *told } else { (process, now) };
        }
    }

    /// A courier saw a call fail or be refused at a scope during this outage.
    pub fn saw_outage(&mut self, courier: u32, scope: usize, outage: u32) {
        self.outages_seen.insert((courier, scope), outage);
    }

    pub fn saw_this_outage(&self, courier: u32, scope: usize, outage: u32) -> bool {
        self.outages_seen.get(&(courier, scope)) == Some(&outage)
    }

    /// The first byte of a call is sent.
    pub fn sent(
        &mut self,
        (courier, process): (u32, u32),
        (endpoint, scope): (usize, usize),
        mail: u32,
        now: Time,
        grace: Time,
    ) {
        match self.waits.get(&(courier, scope)) {
            Some(&(told, until)) if told == process && now < until => {
                let words =
                    format!("a call went out {} ms before the end of a told wait", (until - now) / 10);
                self.record_violation(Rule::WaitsHeeded, now, mail, courier, words);
            }
            _ => {}
        }
        match self.draining.get(&(courier, endpoint)) {
            Some(&(told, at)) if told == process && now > at + grace => {
                let words =
                    format!("endpoint {endpoint} was sent a call {} ms after it was told of as leaving", {
                        (now - at) / 10
                    });
                self.record_violation(Rule::DrainsKept, now, mail, courier, words);
            }
            _ => {}
        }
    }

    pub fn enqueue(&mut self, courier: u32, key: u32, mail: u32) {
        self.key_queues.entry((courier, key)).or_default().mails.push_back(mail);
    }

    /// A mail is closed and has no connect in flight.
    pub fn dequeue(&mut self, courier: u32, key: u32, mail: u32) {
        if let Some(line) = self.key_queues.get_mut(&(courier, key)) {
            line.mails.retain(|&m| m != mail);
        }
    }

    /// A connect ended but may still be running at the endpoint, so first connects of its key wait until
    /// `until`.
    pub fn hold_key(&mut self, courier: u32, key: u32, until: Time) {
        let line = self.key_queues.entry((courier, key)).or_default();
        line.hold_until = line.hold_until.max(until);
    }

    /// The courier's process has ended. Its mails are queued again when a new process takes them over, if it
    /// does.
    pub fn clear_key(&mut self, courier: u32, key: u32) {
        if let Some(line) = self.key_queues.get_mut(&(courier, key)) {
            line.mails.clear();
        }
    }

    pub fn sent_in_order(&mut self, courier: u32, key: u32, mail: u32, again: bool, now: Time) {
        let Some(line) = self.key_queues.get(&(courier, key)) else { return };
        let words = match line.mails.front() {
            Some(&first) if first != mail => {
                format!("key {key}: sent while mail {first}, taken earlier, is not over or has a connect out")
            }
            _ if !again && now < line.hold_until => {
                format!("key {key}: sent {} ms before the end of its rest", (line.hold_until - now) / 10)
            }
            _ => return,
        };
        self.record_violation(Rule::OrderKept, now, mail, courier, words);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_told_wait_binds_the_process_that_was_told() {
        let mut judge = Judge::default();
        judge.wait_read(1, 0, 7, 500);
        judge.wait_read(1, 0, 7, 300);
        for (courier, process, scope, now, broken) in
            [(1, 0, 7, 499, 1), (1, 0, 7, 500, 1), (1, 1, 7, 100, 1), (2, 0, 7, 100, 1), (1, 0, 8, 100, 1)]
        {
            judge.sent((courier, process), (0, scope), 3, now, 0);
            assert_eq!(judge.count, broken, "courier {courier} at {now}");
        }
        assert_eq!(judge.broken[0].rule, Rule::WaitsHeeded);
    }

    #[test]
    fn a_drain_has_its_grace_and_can_be_taken_back() {
        let mut judge = Judge::default();
        judge.status_read(0, 0, 4, false, 100);
        judge.status_read(0, 0, 4, false, 900);
        judge.sent((0, 0), (4, 0), 1, 600, 500);
        assert_eq!(judge.count, 0);
        judge.sent((0, 0), (4, 0), 1, 601, 500);
        assert_eq!(judge.count, 1);
        judge.status_read(0, 0, 4, true, 1_000);
        judge.sent((0, 0), (4, 0), 1, 9_999, 500);
        assert_eq!(judge.count, 1);
    }

    #[test]
    fn order_is_by_taking_and_rests_bind_first_connects_alone() {
        let mut judge = Judge::default();
        judge.enqueue(0, 5, 10);
        judge.enqueue(0, 5, 11);
        judge.sent_in_order(0, 5, 10, false, 1);
        assert_eq!(judge.count, 0);
        judge.sent_in_order(0, 5, 11, false, 2);
        assert_eq!(judge.count, 1);
        judge.hold_key(0, 5, 100);
        judge.dequeue(0, 5, 10);
        judge.sent_in_order(0, 5, 11, true, 3);
        assert_eq!(judge.count, 1);
        judge.sent_in_order(0, 5, 11, false, 99);
        judge.sent_in_order(0, 5, 11, false, 100);
        assert_eq!(judge.count, 2);
    }
}
