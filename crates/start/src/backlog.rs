//! Orders and paces the mails that an earlier process took on, as they are offered to the decisions. They are
//! ordered by importance, then by deadline; mails of one key keep the order in which they were taken on. They are
//! spread over a given time at most, and each is offered before a quarter of its remaining lifetime has passed.
//! The order is strict: an urgent mail pulls forward those ahead of it.

use std::collections::HashMap;

use meadowhold::interface::{Time, SECOND};

/// A mail is offered within its remaining lifetime divided by this.
const WAIT_DIVISOR: Time = 4;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Mail {
    pub serial: u64,
    pub importance: f64,
    /// Deadline: the end of its lifetime.
    pub deadline: Time,
    /// Mails of the same key keep the order of their serial numbers.
    pub key: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// This courier's share of the destinations' capacity; 0: not known.
    pub mails_per_second: f64,
    /// All mails are offered within this time.
    pub max_duration: Time,
    /// Number of mails offered at once: as many as one call carries. Mails offered one at a time would go out in
    /// calls of one mail each.
    pub batch: usize,
}

/// The mails still to be offered.
#[derive(Debug, Default)]
pub struct Backlog {
    /// Time of the offer and serial number, in reverse order.
    queue: Vec<(Time, u64)>,
}

impl Backlog {
    /// `now` is when the journal has been read. Expired mails come first and at once: they only need their final
    /// answer. The others are offered as late as possible until a pace is set.
    pub fn new(now: Time, mut mails: Vec<Mail>) -> Backlog {
        mails.sort_by(|a, b| {
            let is_live = |mail: &Mail| mail.deadline > now;
            let ordering = is_live(a).cmp(&is_live(b)).then(b.importance.total_cmp(&a.importance));
            ordering.then(a.deadline.cmp(&b.deadline)).then(a.serial.cmp(&b.serial))
        });
        restore_key_order(now, &mut mails);
        // From the last to the first: none is offered later than a more urgent one behind it.
        let mut latest = Time::MAX;
        let queue = mails.iter().rev().map(|mail| {
            latest = latest.min(now + mail.deadline.saturating_sub(now) / WAIT_DIVISOR);
            (latest, mail.serial)
        });
        Backlog { queue: queue.collect() }
    }

    /// From now on mails are offered at this pace, or earlier.
    pub fn set_pace(&mut self, now: Time, pace: Pace) {
        let batch = pace.batch.max(1);
        // Mails due at once do not count towards the pace.
        let waiting = self.queue.iter().filter(|&&(at, _)| at > now).count();
        let gap_by_duration = pace.max_duration as f64 / waiting.div_ceil(batch).max(1) as f64;
        let gap_by_capacity = SECOND as f64 * batch as f64 / pace.mails_per_second;
        let gap =
            if pace.mails_per_second > 0.0 { gap_by_duration.min(gap_by_capacity) } else { gap_by_duration };
        for (i, (at, _)) in self.queue.iter_mut().rev().skip_while(|(at, _)| *at <= now).enumerate() {
            *at = (*at).min(now + (gap * (i / batch) as f64) as Time);
        }
    }

    /// When the next mail is to be offered.
    pub fn wake(&self) -> Option<Time> {
        self.queue.last().map(|&(at, _)| at)
    }

    /// Removes and returns the next mail that is due to be offered.
    pub fn pop_due(&mut self, now: Time) -> Option<u64> {
        let (_, serial) = self.queue.pop_if(|&mut (at, _)| at <= now)?;
        Some(serial)
    }

    /// The serial numbers of the mails still to be offered.
    pub fn waiting(&self) -> impl Iterator<Item = u64> + '_ {
        self.queue.iter().map(|&(_, serial)| serial)
    }

    pub fn len(&self) -> usize {
        self.queue.len()
    }

    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

/// Reorders the mails of each key among the places that they occupy, by serial number. Expired mails stay where
/// they are: they are not delivered any more.
fn restore_key_order(now: Time, mails: &mut [Mail]) {
    let mut places: HashMap<u64, Vec<usize>> = HashMap::new();
    for (i, mail) in mails.iter().enumerate().filter(|(_, mail)| mail.deadline > now) {
        if let Some(key) = mail.key {
            places.entry(key).or_default().push(i);
        }
    }
    for places in places.values().filter(|places| places.len() > 1) {
        let mut sorted: Vec<Mail> = places.iter().map(|&i| mails[i].clone()).collect();
        sorted.sort_by_key(|mail| mail.serial);
        for (&i, mail) in places.iter().zip(sorted) {
            mails[i] = mail;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PACE: Pace = Pace { mails_per_second: 0.0, max_duration: 2500, batch: 1 };

    fn mail(serial: u64, importance: f64, deadline: Time, key: Option<u64>) -> Mail {
        Mail { serial, importance, deadline, key }
    }

    /// The serial number and offer time of each mail, polled at the times of `wake`.
    fn offered(mut backlog: Backlog) -> Vec<(u64, Time)> {
        let mut seen = Vec::new();
        while let Some(now) = backlog.wake() {
            while let Some(serial) = backlog.pop_due(now) {
                seen.push((serial, now));
            }
        }
        seen
    }

    #[test]
    fn order_and_times_of_small_backlogs() {
        // (mails, expected order and times)
        type Row = (Vec<Mail>, Vec<(u64, Time)>);
        let rows: Vec<Row> = vec![
            (vec![], vec![]),
            (vec![mail(1, 1.0, 50_000, None)], vec![(1, 1000)]),
            // By importance, deadline and serial number; evenly over the duration.
            (
                vec![
                    mail(1, 1.0, 60_000, None),
                    mail(2, 1.0, 50_000, None),
                    mail(3, 9.0, 70_000, None),
                    mail(4, 1.0, 50_000, None),
                ],
                vec![(3, 1000), (2, 1625), (4, 2250), (1, 2875)],
            ),
            // An expired mail comes first and does not count towards the pace.
            (
                vec![mail(1, 9.0, 60_000, None), mail(2, 0.1, 900, None), mail(3, 9.0, 61_000, None)],
                vec![(2, 1000), (1, 1000), (3, 2250)],
            ),
            // An urgent mail pulls forward those ahead of it.
            (
                vec![
                    mail(1, 9.0, 60_000, None),
                    mail(2, 8.0, 60_000, None),
                    mail(3, 1.0, 1400, None),
                    mail(4, 0.5, 60_000, None),
                ],
                vec![(1, 1000), (2, 1100), (3, 1100), (4, 2875)],
            ),
            // Mails of one key keep their order, whatever their deadlines.
            (vec![mail(1, 1.0, 70_000, Some(5)), mail(2, 1.0, 60_000, Some(5))], vec![(1, 1000), (2, 2250)]),
        ];
        for (mails, expected) in rows {
            let mut backlog = Backlog::new(1000, mails.clone());
            backlog.set_pace(1000, PACE);
            assert_eq!(offered(backlog), expected, "{mails:?}");
        }
    }

    #[test]
    fn a_batch_is_offered_together_within_capacity_and_duration() {
        let times = |many: u64, pace: Pace| {
            let mut backlog = Backlog::new(1000, (0..many).map(|i| mail(i, 1.0, 900_000, None)).collect());
            backlog.set_pace(1000, pace);
            offered(backlog).into_iter().map(|seen| seen.1).collect::<Vec<_>>()
        };
        assert_eq!(times(5, Pace { batch: 2, ..PACE }), [1000, 1000, 1833, 1833, 2666]);
        // 50 per second in pairs: one pair every 40 ms, if all are offered within the duration that way.
        assert_eq!(
            times(5, Pace { mails_per_second: 50.0, batch: 2, ..PACE }),
            [1000, 1000, 1400, 1400, 1800]
        );
        assert_eq!(times(3, Pace { mails_per_second: 1.0, ..PACE }), [1000, 1833, 2666]);
    }

    #[test]
    fn any_backlog_is_offered_completely_in_order_and_in_time() {
        for seed in 0..2000 {
            let mut r = fastrand::Rng::with_seed(seed);
            let now = 1_000_000;
            let mails: Vec<Mail> = (0..r.usize(0..120))
                .map(|serial| {
                    let deadline =
                        if r.bool() { now + r.u64(1..600) } else { r.u64(now - 9000..now + 90_000) };
                    let key = r.bool().then(|| r.u64(0..6));
                    mail(serial as u64, f64::from(r.u8(0..4)), deadline, key)
                })
                .collect();
            let batch = r.usize(0..8);
            let pace =
                Pace { mails_per_second: f64::from(r.u8(0..200)), max_duration: r.u64(0..5000), batch };
            let mut backlog = Backlog::new(now, mails.clone());
            // Deadlines hold also before a pace is set.
            let paced_at = now + if r.bool() { 0 } else { r.u64(0..4000) };
            let mut seen = Vec::new();
            while let Some(at) = backlog.wake().filter(|&at| at < paced_at) {
                seen.extend(backlog.pop_due(at).map(|serial| (serial, at)));
            }
            backlog.set_pace(paced_at, pace);
            seen.extend(offered(backlog));
            assert_eq!(seen.len(), mails.len(), "seed {seed}: each mail once");
            let of = |serial: u64| &mails[serial as usize];
            let mut all: Vec<u64> = seen.iter().map(|s| s.0).collect();
            for pair in seen.windows(2) {
                let (a, b) = (of(pair[0].0), of(pair[1].0));
                assert!(pair[0].1 <= pair[1].1);
                if a.deadline > now && b.deadline > now && a.key.is_none() && b.key.is_none() {
                    assert!(
                        (b.importance, a.deadline) <= (a.importance, b.deadline)
                            || b.importance < a.importance
                    );
                }
            }
            for (i, a) in seen.iter().enumerate() {
                let mail = of(a.0);
                assert!(a.1 <= paced_at + pace.max_duration, "seed {seed}: within the duration");
                if mail.deadline > now {
                    assert!(
                        a.1 < mail.deadline && a.1 <= now + (mail.deadline - now) / 4,
                        "seed {seed}: in time"
                    );
                } else {
                    assert_eq!(a.1, now, "seed {seed}: at once");
                }
                for b in &seen[i + 1..] {
                    let later = of(b.0);
                    let keyed = mail.key.is_some() && mail.key == later.key;
                    assert!(
                        !keyed || mail.deadline <= now || mail.serial < later.serial,
                        "seed {seed}: by key"
                    );
                }
            }
            all.sort_unstable();
            assert!(all.iter().enumerate().all(|(i, &serial)| serial == i as u64), "seed {seed}: none twice");
        }
    }
}
