//! The score of a day: importance delivered in time over importance asked for (over the whole day, in the
//! worst ten seconds and in the worst queue class), less the prices. Also the bound that capacity alone sets.

use hdrhistogram::Histogram;
use meadowhold::interface::{Time, SECOND};
use serde::{Deserialize, Serialize};

use crate::day::Day;
use crate::judge::Broken;
use crate::parts::Mail;
use crate::world::RunResult;

/// Length of the window of which the worst is scored.
const WINDOW: Time = 10 * SECOND;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassFigures {
    pub name: String,
    pub mails: u64,
    pub relayed: u64,
    pub service: f64,
    /// Milliseconds from the client's first try to the answer, for relayed mails.
    pub p50_ms: u64,
    pub p90_ms: u64,
    pub p99_ms: u64,
    pub max_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    pub seed: u64,
    pub couriers: usize,
    pub endpoints: usize,
    pub mails: u64,
    pub relayed: u64,
    /// The score: the weighted service less the prices.
    pub g: f64,
    pub whole: f64,
    pub worst_window: f64,
    /// Start of that window, in seconds.
    pub worst_at_s: f64,
    pub worst_class: f64,
    pub classes: Vec<ClassFigures>,
    /// Work whose answer reached nobody, over the work asked for; then handshakes and refusals over the
    /// number of mails.
    pub waste: f64,
    pub handshakes: f64,
    pub refused: f64,
    pub connects: f64,
    pub silent: u64,
    pub errors: u64,
    pub broken_calls: u64,
    pub unreached: u64,
    pub unsent: u64,
    pub turned_away: u64,
    pub repeats_dropped: u64,
    pub fallen: u64,
    pub over_slots: u64,
    pub peak_out: usize,
    /// Upper bound of the service for any decider; see `capacity_bound`.
    pub bound: f64,
    pub rules_broken: usize,
    pub broken: Vec<Broken>,
    /// Hash of all events, in hexadecimal.
    pub trace: String,
    pub events: u64,
    pub turns: u64,
}

/// Importance that a mail earns when it is relayed at this time.
pub fn worth(day: &Day, mail: &Mail, at: Time) -> f64 {
    let set = &day.classes[usize::from(mail.class)].settings;
    let late = at.saturating_sub(mail.target) as f64;
    if at > mail.deadline + day.answer_grace {
        return 0.0;
    }
    if late <= 0.0 {
        return set.importance;
    }
    if day.settings.half_life_decay {
        let halved = set.importance * 0.5f64.powf(late / set.target_delay.max(1) as f64);
        halved.max(set.importance * set.expiry_importance)
    } else {
        let span = set.lifetime.saturating_sub(set.target_delay).max(1) as f64;
        set.importance * (1.0 - (1.0 - set.expiry_importance) * (late / span).min(1.0))
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        1.0
    }
}

/// Importance asked for and earned, in bins of a tenth of a second by the client's first try.
pub fn importance_by_arrival(day: &Day, mails: &[Mail]) -> Vec<(f64, f64)> {
    let step = SECOND / 10;
    let mut bins = vec![(0.0, 0.0); (day.length / step) as usize + 1];
    for mail in mails {
        let bin = &mut bins[(mail.created_at / step) as usize];
        bin.0 += day.classes[usize::from(mail.class)].settings.importance;
        bin.1 += mail.relayed_at.map_or(0.0, |at| worth(day, mail, at));
    }
    bins
}

/// The ten-second window with the least service: that service, and the window's start in seconds.
fn worst(bins: &[(f64, f64)]) -> (f64, f64) {
    let width = ((WINDOW / (SECOND / 10)) as usize).min(bins.len().max(1));
    let windows = bins.windows(width).enumerate().map(|(start, window)| {
        let (asked, earned) = window.iter().fold((0.0, 0.0), |sum, bin| (sum.0 + bin.0, sum.1 + bin.1));
        (ratio(earned, asked), start as f64 / 10.0)
    });
    windows.fold((1.0, 0.0), |worst, next| if next.0 < worst.0 { next } else { worst })
}

/// The service that capacity alone allows. Each destination does as much work as it could if healthy and warm
/// for the whole day and the longest lifetime after it, and spends it on the mails that earn most for their
/// work. No decider can earn more. Troubles are left out, so that the bound is the same for all deciders.
fn capacity_bound(day: &Day, mails: &[Mail]) -> f64 {
    let mut asked = 0.0;
    let mut wanted: Vec<Vec<(f64, f64)>> = vec![Vec::new(); day.destinations.len()];
    for mail in mails {
        let class = &day.classes[usize::from(mail.class)];
        asked += class.settings.importance;
        let p = mail.destination as usize;
        let work = class.service * day.destinations[p].pace / 1000.0;
        wanted[p].push((class.settings.importance, work));
    }
    let longest = day.classes.iter().map(|c| c.settings.lifetime).max().unwrap_or(0);
    let time = (day.length + longest) as f64 / SECOND as f64;
    let mut earned = 0.0;
    for (p, mails) in wanted.iter_mut().enumerate() {
        let destination = &day.destinations[p];
        let slots: usize = day.endpoints[destination.first..destination.first + destination.count]
            .iter()
            .map(|e| e.slots)
            .sum();
        // A batch takes the work of its longest mail plus a part for each further one.
        let batch = destination.batch as f64;
        let ease = batch / (1.0 + destination.item_work * (batch - 1.0));
        let mut room = slots as f64 * time * ease;
        mails.sort_by(|a, b| (b.0 / b.1).total_cmp(&(a.0 / a.1)));
        for &(importance, work) in mails.iter() {
            let part = (room / work).clamp(0.0, 1.0);
            earned += importance * part;
            room -= work;
        }
    }
    ratio(earned, asked)
}

impl Figures {
    pub fn of(ended: &RunResult) -> Figures {
        let (day, mails, counts) = (&ended.day, &ended.mails, &ended.counts);
        let bins = importance_by_arrival(day, mails);
        let (asked, earned) = bins.iter().fold((0.0, 0.0), |sum, bin| (sum.0 + bin.0, sum.1 + bin.1));
        let classes: Vec<ClassFigures> =
            (0..day.classes.len()).map(|c| class_figures(day, mails, c)).collect();
        let (worst_window, worst_at_s) = worst(&bins);
        let worst_class = classes.iter().map(|c| c.service).fold(1.0, f64::min);
        let whole = ratio(earned, asked);
        let count = mails.len().max(1) as f64;
        let work_asked: f64 = mails.iter().map(|m| day.mean_service(m.destination as usize)).sum();
        let waste = (counts.work - counts.heard_work).max(0.0) / work_asked.max(1.0);
        let (handshakes, refused) = (counts.handshakes as f64 / count, counts.refused as f64 / count);
        let prices = day.prices[0] * waste + day.prices[1] * handshakes + day.prices[2] * refused;
        let mix = [whole, worst_window, worst_class];
        let g = mix.iter().zip(day.weights).map(|(part, weight)| part * weight).sum::<f64>() - prices;
        Figures {
            seed: day.seed,
            couriers: day.couriers.len(),
            endpoints: day.endpoints.len(),
            mails: mails.len() as u64,
            relayed: mails.iter().filter(|m| m.relayed_at.is_some()).count() as u64,
            g,
            whole,
            worst_window,
            worst_at_s,
            worst_class,
            classes,
            waste,
            handshakes,
            refused,
            connects: counts.connects as f64 / count,
            silent: counts.silent,
            errors: counts.errors,
            broken_calls: counts.broken,
            unreached: counts.unreached,
            unsent: counts.unsent,
            turned_away: counts.turned_away,
            repeats_dropped: counts.repeats_dropped,
            fallen: counts.fallen,
            over_slots: counts.over_slots,
            peak_out: ended.peak_out,
            bound: capacity_bound(day, mails),
            rules_broken: ended.judge.count,
            broken: ended.judge.broken.clone(),
            trace: format!("{:016x}", ended.hash),
            events: counts.events,
            turns: counts.turns,
        }
    }
}

/// Milliseconds from arrival to answer for the relayed mails of a queue class.
pub fn latencies(mails: &[Mail], class: usize) -> Histogram<u64> {
    // Two significant digits; the histogram resizes itself and accepts any value.
    let mut histogram = Histogram::new(2).expect("2 is a valid number of significant digits");
    let own = mails.iter().filter(|m| usize::from(m.class) == class);
    for took in own.filter_map(|m| m.relayed_at.map(|at| at - m.created_at)) {
        histogram.saturating_record(took / (SECOND / 1000));
    }
    histogram
}

fn class_figures(day: &Day, mails: &[Mail], class: usize) -> ClassFigures {
    let own = || mails.iter().filter(|m| usize::from(m.class) == class);
    let importance = day.classes[class].settings.importance;
    let count = own().count() as u64;
    let earned: f64 = own().filter_map(|m| m.relayed_at.map(|at| worth(day, m, at))).sum();
    let histogram = latencies(mails, class);
    ClassFigures {
        name: day.classes[class].name.clone(),
        mails: count,
        relayed: histogram.len(),
        service: ratio(earned, importance * count as f64),
        p50_ms: histogram.value_at_quantile(0.5),
        p90_ms: histogram.value_at_quantile(0.9),
        p99_ms: histogram.value_at_quantile(0.99),
        max_ms: histogram.max(),
    }
}
