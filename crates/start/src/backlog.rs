//! The mails that an earlier process took on: in which order and when they are offered to the decisions.
//! By importance, then by the end of their time; mails of one key in the order in which they were taken on.
//! At a pace that is spread over a stated time at most, and each before a quarter of what was left of its own
//! has passed. The order is kept strictly: one that is pressed takes those before it along.

use std::collections::HashMap;

use meadowhold::interface::{Time, SECOND};

/// Part of its time that a mail may wait to be offered, as one over.
const WAIT_DIVISOR: Time = 4;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Mail {
    pub serial: u64,
    pub importance: f64,
    /// The end of its time.
    pub due: Time,
    /// Mails of the same key keep the order of their serials.
    pub key: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Mails a second that this courier may send on: its part of what the destinations bear; 0: not known.
    pub mails_per_second: f64,
    /// All are offered within this time.
    pub max_duration: Time,
    /// So many are offered at once: what one call carries. Guards against calls that carry one mail each.
    pub batch: usize,
}

/// What is still to be offered, last one first.
#[derive(Debug, Default)]
pub struct Backlog {
    queue: Vec<(Time, u64)>,
}

impl Backlog {
    /// `now`: when the journal has been read. What is past its end comes first and at once: it only needs its
    /// final answer. The others are offered as late as may be, until there is a pace.
    pub fn new(now: Time, mut mails: Vec<Mail>) -> Backlog {
        mails.sort_by(|a, b| {
            let is_live = |mail: &Mail| mail.due > now;
            let ordering = is_live(a).cmp(&is_live(b)).then(b.importance.total_cmp(&a.importance));
            ordering.then(a.due.cmp(&b.due)).then(a.serial.cmp(&b.serial))
        });
        restore_key_order(now, &mut mails);
        // From the last on: nobody is offered later than one behind him that is pressed.
        let mut latest = Time::MAX;
        let queue = mails.iter().rev().map(|mail| {
            latest = latest.min(now + mail.due.saturating_sub(now) / WAIT_DIVISOR);
            (latest, mail.serial)
        });
        Backlog { queue: queue.collect() }
    }

    /// From now on they are offered at this pace, or earlier.
    pub fn set_pace(&mut self, now: Time, pace: Pace) {
        let batch = pace.batch.max(1);
        // What is due at once takes nobody's place in the pace.
        let waiting = self.queue.iter().filter(|&&(at, _)| at > now).count();
        let gap_by_duration = pace.max_duration as f64 / waiting.div_ceil(batch).max(1) as f64;
        let gap_by_capacity = SECOND as f64 * batch as f64 / pace.mails_per_second;
        let gap =
            if pace.mails_per_second > 0.0 { gap_by_duration.min(gap_by_capacity) } else { gap_by_duration };
        for (i, (at, _)) in self.queue.iter_mut().rev().skip_while(|(at, _)| *at <= now).enumerate() {
            *at = (*at).min(now + (gap * (i / batch) as f64) as Time);
        }
    }

    /// When the next one is to be offered.
    pub fn wake(&self) -> Option<Time> {
        self.queue.last().map(|&(at, _)| at)
    }

    /// Takes out the next one that is due to be offered.
    pub fn pop_due(&mut self, now: Time) -> Option<u64> {
        let (_, serial) = self.queue.pop_if(|&mut (at, _)| at <= now)?;
        Some(serial)
    }

    /// The mails that are still to be offered.
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

/// Mails of one key change places among themselves. Those past their end stay where they are: nothing runs for
/// them any more.
fn restore_key_order(now: Time, mails: &mut [Mail]) {
    let mut places: HashMap<u64, Vec<usize>> = HashMap::new();
    for (i, mail) in mails.iter().enumerate().filter(|(_, mail)| mail.due > now) {
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

    fn mail(serial: u64, importance: f64, due: Time, key: Option<u64>) -> Mail {
        Mail { serial, importance, due, key }
    }

    /// Each mail's serial and when it was offered, with turns at the asked-for times.
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
        // (mails, offered in this order at these times)
        type Row = (Vec<Mail>, Vec<(u64, Time)>);
        let rows: Vec<Row> = vec![
            (vec![], vec![]),
            (vec![mail(1, 1.0, 50_000, None)], vec![(1, 1000)]),
            // Importance, then the end, then the serial; evenly over the time.
            (
                vec![
                    mail(1, 1.0, 60_000, None),
                    mail(2, 1.0, 50_000, None),
                    mail(3, 9.0, 70_000, None),
                    mail(4, 1.0, 50_000, None),
                ],
                vec![(3, 1000), (2, 1625), (4, 2250), (1, 2875)],
            ),
            // Past its end: first, and it takes nobody's place in the pace.
            (
                vec![mail(1, 9.0, 60_000, None), mail(2, 0.1, 900, None), mail(3, 9.0, 61_000, None)],
                vec![(2, 1000), (1, 1000), (3, 2250)],
            ),
            // A pressed one takes those before it along.
            (
                vec![
                    mail(1, 9.0, 60_000, None),
                    mail(2, 8.0, 60_000, None),
                    mail(3, 1.0, 1400, None),
                    mail(4, 0.5, 60_000, None),
                ],
                vec![(1, 1000), (2, 1100), (3, 1100), (4, 2875)],
            ),
            // Mails of one key as they were taken on, whatever their ends.
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
        // Fifty a second, two at once: 40 ms between them, as long as all are offered within the time.
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
                    let due = if r.bool() { now + r.u64(1..600) } else { r.u64(now - 9000..now + 90_000) };
                    let key = r.bool().then(|| r.u64(0..6));
                    mail(serial as u64, f64::from(r.u8(0..4)), due, key)
                })
                .collect();
            let batch = r.usize(0..8);
            let pace =
                Pace { mails_per_second: f64::from(r.u8(0..200)), max_duration: r.u64(0..5000), batch };
            let mut backlog = Backlog::new(now, mails.clone());
            // Until there is a pace nothing is missed either.
            let paced_at = now + if r.bool() { 0 } else { r.u64(0..4000) };
            let mut seen = Vec::new();
            while let Some(at) = backlog.wake().filter(|&at| at < paced_at) {
                seen.extend(backlog.pop_due(at).map(|serial| (serial, at)));
            }
            backlog.set_pace(paced_at, pace);
            seen.extend(offered(backlog));
            assert_eq!(seen.len(), mails.len(), "seed {seed}: each once");
            let of = |serial: u64| &mails[serial as usize];
            let mut all: Vec<u64> = seen.iter().map(|s| s.0).collect();
            for pair in seen.windows(2) {
                let (a, b) = (of(pair[0].0), of(pair[1].0));
                assert!(pair[0].1 <= pair[1].1);
                if a.due > now && b.due > now && a.key.is_none() && b.key.is_none() {
                    assert!((b.importance, a.due) <= (a.importance, b.due) || b.importance < a.importance);
                }
            }
            for (i, a) in seen.iter().enumerate() {
                let mail = of(a.0);
                assert!(a.1 <= paced_at + pace.max_duration, "seed {seed}: within the stated time");
                if mail.due > now {
                    assert!(a.1 < mail.due && a.1 <= now + (mail.due - now) / 4, "seed {seed}: in time");
                } else {
                    assert_eq!(a.1, now, "seed {seed}: at once");
                }
                for b in &seen[i + 1..] {
                    let later = of(b.0);
                    let keyed = mail.key.is_some() && mail.key == later.key;
                    assert!(!keyed || mail.due <= now || mail.serial < later.serial, "seed {seed}: by key");
                }
            }
            all.sort_unstable();
            assert!(all.iter().enumerate().all(|(i, &serial)| serial == i as u64), "seed {seed}: none twice");
        }
    }
}
