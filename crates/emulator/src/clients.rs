//! Clients. Mails arrive from the day's own random stream, independent of the fate of earlier ones. Clients
//! hand mails in again after a deferral or a courier's crash, and some hang up. The front (a load balancer)
//! chooses the courier and learns with a delay which couriers are alive.

use meadowhold::interface::{AcceptedMail, Effect, Input, Time, SECOND};

use crate::chance::{Purpose, Stream};
use crate::judge::Rule;
use crate::parts::{Answer, Event, Mail, Stage, NO_COURIER};
use crate::scenario::Shape;
use crate::world::World;

/// Time within which all mails of a clump arrive.
const CLUMP_WITHIN: Time = SECOND / 20;
/// Number of dead couriers after which a client gives up.
const MAX_MISSES: u8 = 8;

impl World<'_> {
    /// The current arrival rate as a multiple of the day's mean.
    fn rate_factor(&self, now: Time) -> f64 {
        let (m, t) = (&self.day.mails, now as f64 / self.day.length.max(1) as f64);
        let turn = std::f64::consts::TAU;
        let shape = match m.shape {
            Shape::Steady => 1.0,
            Shape::Wave => 1.0 + m.swing * (turn * 2.0 * t).sin(),
            Shape::Day => 1.0 - m.swing * (turn * (t + 0.25)).sin(),
            Shape::Bursts if now % (6 * SECOND) < SECOND => 1.0 + 2.0 * m.swing,
            Shape::Bursts => 1.0 - 0.4 * m.swing,
        };
        (shape * self.burst).max(1e-3)
    }

    pub fn next_mail(&mut self, now: Time) {
        let m = &self.day.mails;
        let (clumps, clump) = (m.clumps, m.clump.max(1.0));
        let starts = (1.0 - clumps) + clumps / clump;
        let gap =
            self.arrivals.exponential() / (m.rate * self.rate_factor(now) * starts).max(1e-9) * SECOND as f64;
        let at = now + gap.min(1e12) as Time;
        if at < self.day.length {
            self.event_queue.schedule(at, Event::NextArrival);
        }
        if now == 0 {
            return; // the first gap starts at time 0
        }
        let place = self.arrivals.unit() * self.traffic_sums.last().copied().unwrap_or(0.0);
        let destination =
            self.traffic_sums.partition_point(|&sum| sum <= place).min(self.traffic_sums.len() - 1) as u32;
        if self.arrivals.chance(clumps / clump / starts) {
            let left = (clump * (0.5 + self.arrivals.unit())).round().max(1.0) as u32;
            self.clump(now, destination, left);
        } else {
            self.create_mail(now, destination);
        }
    }

    pub fn clump(&mut self, now: Time, destination: u32, left: u32) {
        self.create_mail(now, destination);
        if left > 1 {
            self.event_queue.schedule(
                now + CLUMP_WITHIN / Time::from(left),
                Event::Clump { destination, left: left - 1 },
            );
        }
    }

    fn create_mail(&mut self, now: Time, destination: u32) {
        if now >= self.day.length {
            return; // the day ends within a clump
        }
        let number = self.mails.len() as u32;
        let d = &mut Stream::new(self.day.seed, Purpose::Mail, u64::from(number));
        let place = d.unit() * self.class_sums.last().copied().unwrap_or(1.0);
        let class = self.class_sums.partition_point(|&sum| sum <= place).min(self.class_sums.len() - 1);
        let set = &self.day.classes[class].settings;
        let short = d.chance(self.day.mails.short_lived);
        let part = if short { self.day.mails.short_part } else { 1.0 };
        let (any_zone, moved, key) = (d.below(self.day.zones.len()), d.unit(), d.unit());
        // Squaring the draw makes some keys far more frequent than others.
        let key = (key * key * self.day.mails.keys as f64) as u32;
        let shifted = self.zone_shifts.last().map(|&t| &self.day.troubles[t]).filter(|t| moved < t.size);
        let deadline = now + ((set.lifetime as f64 * part) as Time).max(1);
        self.mails.push(Mail {
            destination,
            class: class as u16,
            zone: shifted.map_or(any_zone, |t| t.zone) as u16,
            key: set.ordered.then_some(key),
            created_at: now,
            deadline,
            target: now + set.target_delay,
            stage: Stage::WithClient,
            courier: NO_COURIER,
            index: 0,
            accepted_at: 0,
            tries: 0,
            misses: 0,
            connects: 0,
            first_run: None,
            active_call: None,
            accept_number: 0,
            effects: 0,
            answers: 0,
            relayed_at: None,
        });
        self.trace.record_event(now, 1, [number, destination]);
        self.trace
            .record_history(now, number, || format!("comes, for partner {destination}, queue class {class}"));
        if d.chance(self.day.mails.hang_up) {
            let at = now + (d.unit() * (deadline - now) as f64) as Time;
            self.event_queue.schedule(at, Event::HangUp { mail: number, tries: 1 });
        }
        self.submit(now, number);
    }

    /// The client hands its mail to the front, which chooses a courier.
    pub fn submit(&mut self, now: Time, mail: u32) {
        let m = &self.mails[mail as usize];
        if m.stage != Stage::WithClient {
            return;
        }
        if now >= m.deadline {
            self.mails[mail as usize].stage = Stage::Closed;
            return;
        }
        let index = u64::from(mail) << 8 | u64::from(m.tries) << 4 | u64::from(m.misses);
        let d = &mut Stream::new(self.day.seed, Purpose::Front, index);
        let courier = self.choose_courier(d, mail);
        let way = 5 + d.below(10) as Time;
        self.event_queue.schedule(now + way, Event::HandIn { mail, courier: courier as u32 });
    }

    fn choose_courier(&self, d: &mut Stream, mail: u32) -> usize {
        let m = &self.mails[mail as usize];
        let all = self.couriers.len();
        let (any, near, hot) = (d.below(all), d.unit(), d.unit());
        // The first courier at or after a drawn start that the front believes alive and that satisfies
        // `fits`.
        let from = |start: usize, fits: &dyn Fn(usize) -> bool| {
            (0..all).map(|i| (start + i) % all).find(|&c| self.front_alive[c] && fits(c))
        };
        // All mails of a key go to the same courier while it is alive.
        if let Some(key) = m.key {
            return from(key as usize % all, &|_| true).unwrap_or(any);
        }
        let hot = self.hot_troubles.iter().map(|&t| &self.day.troubles[t]).find(|t| hot < t.size);
        if let Some(t) = hot.filter(|t| !t.couriers.is_empty()) {
            let start = t.couriers[(near * t.couriers.len() as f64) as usize];
            return from(start, &|c| t.couriers.contains(&c)).unwrap_or(any);
        }
        let zone = usize::from(m.zone);
        let near = (self.day.mails.by_zone || !self.zone_shifts.is_empty())
            .then(|| from(any, &|c| self.couriers[c].zone == zone))
            .flatten();
        near.or_else(|| from(any, &|_| true)).unwrap_or(any)
    }

    pub fn hand_in(&mut self, now: Time, mail: u32, courier: u32) {
        let c = &self.couriers[courier as usize];
        let m = &self.mails[mail as usize];
        if m.stage != Stage::WithClient {
            return;
        }
        let pause = self.day.mails.pause;
        if !c.alive {
            // No courier accepted the mail, so this does not count as one of the client's tries.
            let m = &mut self.mails[mail as usize];
            m.misses += 1;
            if m.misses < MAX_MISSES {
                self.event_queue.schedule(now + pause / 2, Event::Resubmit { mail });
            } else {
                m.stage = Stage::Closed;
            }
            return;
        }
        if c.mails_held >= self.day.settings.max_mails {
            self.counts.turned_away += 1;
            self.trace
                .record_history(now, mail, || format!("turned away by courier {courier}: its room is full"));
            self.mails[mail as usize].tries += 1;
            self.schedule_retry(now, mail, 0);
            return;
        }
        self.mails_accepted += 1;
        let (turn, c) = (self.mails_accepted, &mut self.couriers[courier as usize]);
        c.mails_held += 1;
        let index = c.assign_index(mail);
        let m = &mut self.mails[mail as usize];
        m.tries += 1;
        (m.stage, m.courier, m.index, m.accepted_at, m.accept_number) =
            (Stage::Accepted, courier, index, now, turn);
        (m.connects, m.first_run, m.active_call, m.answers) = (0, None, None, 0);
        self.trace.record_event(now, 2, [mail, courier]);
        self.trace.record_history(now, mail, || format!("taken on by courier {courier}"));
        self.give_to_decider(courier as usize, mail);
    }

    /// Passes a mail to the decider: newly accepted, or taken over from an earlier process.
    pub fn give_to_decider(&mut self, courier: usize, mail: u32) {
        let m = &self.mails[mail as usize];
        if let Some(key) = m.key {
            self.judge.enqueue(courier as u32, key, mail);
        }
        let taken = AcceptedMail {
            mail: m.index as usize,
            destination: m.destination as usize,
            class: usize::from(m.class),
            key: m.key.map(|key| key as usize),
            submitted_at: m.accepted_at,
            deadline: m.deadline,
            connects_used: usize::from(m.connects),
            first_run: m.first_run.map(|(at, zone)| (at, usize::from(zone))),
        };
        self.push_input(courier, Input::AcceptedMail(taken));
    }

    pub fn hang_up(&mut self, now: Time, mail: u32, tries: u8) {
        let m = &self.mails[mail as usize];
        if m.stage == Stage::WithClient {
            self.mails[mail as usize].stage = Stage::Closed;
            return;
        }
        let courier = m.courier as usize;
        if m.stage != Stage::Accepted || m.tries > tries || !self.couriers[courier].alive {
            return;
        }
        let index = m.index as usize;
        self.trace.record_history(now, mail, || "its client hangs up".to_string());
        self.finish(now, mail, Answer::HungUp);
        self.push_input(courier, Input::ClientGone { mail: index });
    }

    /// Records the final answer of a mail (or that its client has gone) and has the judge check it.
    pub fn finish(&mut self, now: Time, mail: u32, answer: Answer) {
        let grace = self.day.answer_grace;
        let m = &mut self.mails[mail as usize];
        self.trace.record_event(now, 3 + answer as u8, [mail, m.courier]);
        let (courier, deadline) = (m.courier, m.deadline);
        let c = &mut self.couriers[courier as usize];
        if m.stage == Stage::Accepted {
            c.mails_held -= 1;
        }
        m.answers += 1;
        let twice = m.answers > 1;
        m.stage = Stage::Closed;
        if answer == Answer::Relayed && m.relayed_at.is_none() {
            m.relayed_at = Some(now);
        }
        // A mail that a later process took over may be answered after its deadline, and so may one whose
        // deadline passed while its courier's clock stood still.
        let deadline_seen = deadline.max(c.paused_until.min(now));
        let late = now > deadline_seen + grace && m.accepted_at >= c.started && answer != Answer::HungUp;
        self.trace.record_history(now, mail, || format!("{answer:?} by courier {courier}").to_lowercase());
        if twice {
            self.judge.record_violation(
                Rule::NoMailLost,
                now,
                mail,
                courier,
                "a second final answer".to_string(),
            );
        } else if late {
            let words = format!("its final answer came {} ms after its time was up", (now - deadline) / 10);
            self.judge.record_violation(Rule::NoMailLost, now, mail, courier, words);
        }
        self.leave_key_queue(mail);
    }

    /// A closed mail with no connect in flight no longer blocks later mails of its key.
    pub fn leave_key_queue(&mut self, mail: u32) {
        let m = &self.mails[mail as usize];
        if let (Some(key), None) = (m.key, m.active_call) {
            if m.stage != Stage::Accepted {
                self.judge.dequeue(m.courier, key, mail);
            }
        }
    }

    /// After a deferral or a rejection for lack of room, the client hands the mail in again if it has tries
    /// and time left.
    pub fn schedule_retry(&mut self, now: Time, mail: u32, retry_after: Time) {
        let m = &mut self.mails[mail as usize];
        let index = u64::from(mail) << 8 | u64::from(m.tries) << 4 | 15;
        let d = &mut Stream::new(self.day.seed, Purpose::Front, index);
        let heeds = d.chance(self.day.mails.heed);
        let own = (self.day.mails.pause as f64 * (0.5 + d.unit())) as Time;
        let pause = if heeds { own.max(retry_after) } else { own };
        m.stage = Stage::Closed;
        let set = &self.day.classes[usize::from(m.class)].settings;
        if set.effect == Effect::Tagged && self.day.mails.careful {
            // The client cannot know whether the mail has run, so it comes back only within the deduplication
            // window, with a deadline inside it. The connection timeout is subtracted because the courier
            // does not know that this is a repeat.
            let spare = self.day.settings.connection_timeout;
            m.deadline = m.deadline.min((m.created_at + set.dedup_window).saturating_sub(spare));
        }
        if usize::from(m.tries) <= self.day.mails.retries && now + pause < m.deadline {
            m.stage = Stage::WithClient;
            self.event_queue.schedule(now + pause, Event::Resubmit { mail });
        }
    }

    /// Mails that a crashed courier held without a journal are handed in again, unless they may have run and
    /// must not be repeated.
    pub fn resubmit_after_crash(&mut self, now: Time, mail: u32) {
        let pause = self.day.mails.after_death;
        let m = &mut self.mails[mail as usize];
        let effect = self.day.classes[usize::from(m.class)].settings.effect;
        m.stage = Stage::Closed;
        if m.first_run.is_none() || effect == Effect::Redeliverable {
            m.stage = Stage::WithClient;
            m.answers = 0;
            self.event_queue.schedule(now + pause, Event::Resubmit { mail });
        }
    }

    /// At the end of the day every accepted mail must be closed.
    pub fn check_all_closed(&mut self) {
        let now = self.event_queue.now();
        for mail in 0..self.mails.len() as u32 {
            let m = &self.mails[mail as usize];
            if m.stage == Stage::Accepted && self.couriers[m.courier as usize].alive {
                let words = "it never got its final answer".to_string();
                self.judge.record_violation(Rule::NoMailLost, now, mail, m.courier, words);
            }
        }
    }
}
