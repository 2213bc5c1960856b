//! Draws the day of a soak seed: a load with one planned restart and other troubles near it. Uses no clock and no I/O.

use std::fmt;

use fastrand::Rng;

use crate::crowd::Habit;
use crate::day::{Courier, Day, Endpoints, Link, List, Mails, Rules, Sent, Trouble, What};
use crate::relay::AnswerFault;

/// Seed of the random stream for drawing; differs from the streams for the day's load and troubles.
const STREAM: u64 = 0x736f_616b;
const DESTINATIONS: usize = 3;
const ENDPOINTS_EACH: usize = 2;
/// Earliest and latest time of the restart, in seconds of the day.
const RESTART_S: [f64; 2] = [2.5, 3.5];
/// How long the load continues after the restart: beyond the kill, the next start, and the end of the mails that were
/// in progress during the restart.
const AFTER_S: f64 = 7.0;
/// Capacity of all endpoints together, as a multiple of the load.
const HEADROOM: [f64; 2] = [1.2, 4.0];
/// Steps of the system time between two processes, in seconds.
const CLOCK_STEPS_S: [i64; 3] = [-3600, 0, 3600];
/// Number of idle clients, if there are any: more than a courier with the default number of sockets accepts.
const IDLE_CLIENTS: usize = 120;
/// In seconds.
const LONGEST_LIFETIME_S: f64 = 4.0;
/// Shares of the calls that endpoints answer with an error.
const ERRORS: [f64; 3] = [0.0, 0.03, 0.18];
/// Descriptors of a courier.
const SOCKETS: [usize; 4] = [200, 256, 400, 1000];
/// Shares of the mails that are withdrawn, and of the requests that are sent twice.
const WITHDRAWN: [f64; 3] = [0.0, 0.02, 0.1];
const RESENT: [f64; 3] = [0.0, 0.02, 0.1];
/// Share of the seeds with a crowd, its size where the clients are slow and where they send at full speed, and the memory
/// limit then.
const CROWD_SHARE: f64 = 0.4;
const CROWD_CLIENTS: usize = 400;
const FLOODING_CLIENTS: usize = 12;
const LEAST_MEMORY_MB: f64 = 32.0;
/// Shares of the answers that are spoilt, of endpoints and of the list.
const SPOILT_SHARE: [f64; 2] = [0.03, 0.06];
const LIST_SPOILT_SHARE: f64 = 0.2;

/// The day drawn from a seed.
#[derive(Clone, Debug)]
pub struct DrawnDay {
    pub seed: u64,
    pub day: Day,
}

impl DrawnDay {
    /// Draws the day of a seed; deterministic.
    pub fn of(seed: u64) -> DrawnDay {
        let mut chance = Rng::with_seed(seed ^ STREAM);
        let at = between(&mut chance, RESTART_S);
        let mut trouble = vec![restart(&mut chance, at)];
        trouble.extend(hanging_endpoints(&mut chance, at));
        trouble.extend(other_troubles(&mut chance, at));
        let idle = if chance.f64() < 0.25 { IDLE_CLIENTS } else { 0 };
        let mails = load(&mut chance, idle);
        let mut day = Day {
            about: format!("soak, seed {seed}"),
            seconds: at + AFTER_S,
            couriers: 1 + usize::from(chance.f64() < 0.2),
            settle_s: 12.0,
            mails: mails.clone(),
            endpoints: Endpoints {
                destinations: DESTINATIONS,
                each: ENDPOINTS_EACH,
                rate: mails.rate / (DESTINATIONS * ENDPOINTS_EACH) as f64 * between(&mut chance, HEADROOM),
                limit: chance.bool(),
                serve_ms: serve_ms(&mut chance),
                ..Endpoints::default()
            },
            list: List::default(),
            courier: courier(&mut chance),
            rules: Rules { window_s: 1.0, serves_ms: 4000, most_ready_ms: 10_000, ..Rules::default() },
            trouble,
            ..Day::default()
        };
        // Drawn last, so that the rest of a seed's day is what it was before these faults existed.
        day.endpoints.errors = ERRORS[chance.usize(..ERRORS.len())];
        day.trouble.extend(spoilt_answers(&mut chance, &day));
        day.courier.clock_step_s = CLOCK_STEPS_S[chance.usize(..CLOCK_STEPS_S.len())];
        day.courier.sockets = SOCKETS[chance.usize(..SOCKETS.len())];
        day.mails.withdrawn = WITHDRAWN[chance.usize(..WITHDRAWN.len())];
        day.mails.resent = RESENT[chance.usize(..RESENT.len())];
        day.trouble.extend(failing_disk(&mut chance, at));
        day.trouble.extend(late_kills(&mut chance, at));
        draw_crowd(&mut chance, &mut day);
        DrawnDay { seed, day }
    }
}

fn between(chance: &mut Rng, [low, high]: [f64; 2]) -> f64 {
    low + (high - low) * chance.f64()
}

fn load(chance: &mut Rng, idle: usize) -> Mails {
    let rate = between(chance, [100.0, 300.0]);
    let spare = [0, 4][chance.usize(..2)];
    Mails { rate, clients: 12, spare, idle, time_ms: [1500, 4000], ..Mails::default() }
}

/// Short calls, or calls long enough to occupy half or nearly all of the courier's slots at the highest load.
fn serve_ms(chance: &mut Rng) -> [u64; 2] {
    [[5, 40], [40, 160], [100, 300]][chance.usize(..3)]
}

fn courier(chance: &mut Rng) -> Courier {
    // A small size limit makes the courier rewrite its journal again and again.
    let disk_mb = if chance.f64() < 0.3 { 0.5 } else { 3.0 };
    Courier { slots: 64, room: 2000, disk_mb, ..Courier::default() }
}

/// The signals of the restart: those that end the process, and those sent to the next one.
fn restart(chance: &mut Rng, at: f64) -> Trouble {
    use Sent::{Hup, Kill, Restart, Term};
    let series: &[Sent] = match chance.u32(..8) {
        0 | 1 => &[Term],
        2 => &[Hup, Term],
        3 => &[Hup, Term, Hup, Term],
        4 => &[Term, Restart, Term],
        5 => &[Term, Restart, Hup, Term],
        6 => &[Term, Restart, Kill],
        _ => &[Kill, Restart, Kill, Restart, Term],
    };
    // The signals come within milliseconds, or spread over the duration of a shutdown.
    let longest = if chance.bool() { 5 } else { 1500 };
    let mut gaps = Vec::new();
    for (place, _) in series.iter().enumerate() {
        let is_in_start = place > 0 && series[place - 1] == Restart;
        // A signal that arrives before the program has installed its handlers would end it.
        let earliest = if is_in_start { 15 } else { 0 };
        gaps.push(earliest + chance.u64(0..=if is_in_start { 120 } else { longest }));
    }
    Trouble {
        what: Some(What::Signals),
        at_s: [at, at],
        signals: series.to_vec(),
        gaps_ms: gaps,
        behind_taken: chance.bool(),
        ..Trouble::default()
    }
}

/// Endpoints that hang around the time of the signal and until after the shutdown.
fn hanging_endpoints(chance: &mut Rng, at: f64) -> Option<Trouble> {
    // An endpoint's destination is its number modulo the number of destinations.
    let (one, whole, other) = (
        chance.usize(..DESTINATIONS * ENDPOINTS_EACH),
        chance.usize(..DESTINATIONS),
        chance.usize(..ENDPOINTS_EACH),
    );
    let whole = [whole, whole + DESTINATIONS];
    let elsewhere = (whole[0] + 1) % DESTINATIONS + other * DESTINATIONS;
    let which = match chance.u32(..5) {
        0 => Vec::new(),
        1 | 2 => vec![one],
        3 => whole.to_vec(),
        _ => vec![whole[0], whole[1], elsewhere],
    };
    let hangs = !which.is_empty();
    let begin = at + between(chance, [-0.6, 0.3]);
    let lasts = between(chance, [4.0, 6.0]);
    let trouble =
        Trouble { what: Some(What::Hang), at_s: [begin, begin], for_s: lasts, which, ..Trouble::default() };
    hangs.then_some(trouble)
}

/// Up to two other troubles near the restart.
fn other_troubles(chance: &mut Rng, at: f64) -> Vec<Trouble> {
    let mut troubles = Vec::new();
    for _ in 0..chance.usize(..3) {
        let begin = at + between(chance, [-0.5, 3.0]);
        let which = vec![chance.usize(..DESTINATIONS * ENDPOINTS_EACH)];
        let base = Trouble { at_s: [begin, begin], for_s: between(chance, [0.5, 3.0]), ..Trouble::default() };
        troubles.push(match chance.u32(..5) {
            0 => Trouble { what: Some(What::Drain), which, ..base },
            1 => Trouble { what: Some(What::Crash), which, ..base },
            2 => Trouble { what: Some(What::ListSilent), ..base },
            3 => Trouble { what: Some(What::ResetRequests), link: Link::Endpoints, chance: 0.05, ..base },
            _ => Trouble { what: Some(What::ResetAnswers), link: Link::Endpoints, chance: 0.05, ..base },
        });
    }
    troubles
}

/// Writes to the folder that fail for a while, with or without a kill behind them.
fn failing_disk(chance: &mut Rng, at: f64) -> Option<Trouble> {
    let begin = at + between(chance, [-2.0, 5.0]);
    let (fails, lasts) = (chance.f64() < 0.4, between(chance, [0.05, 1.2]));
    let trouble =
        Trouble { what: Some(What::DiskFails), at_s: [begin, begin], for_s: lasts, ..Trouble::default() };
    fails.then_some(trouble)
}

/// Kills behind the planned restart: some 50 ms after a start, or right behind a SIGHUP.
fn late_kills(chance: &mut Rng, at: f64) -> Option<Trouble> {
    use Sent::{Hup, Kill, Restart};
    let series: &[Sent] = match chance.u32(..4) {
        0 => &[Kill, Restart, Kill, Restart, Kill],
        1 => &[Hup, Kill],
        _ => return None,
    };
    let begin = at + between(chance, [4.5, 6.0]);
    let gaps_ms = series.iter().map(|sent| if *sent == Kill { chance.u64(45..60) } else { 0 }).collect();
    Some(Trouble {
        what: Some(What::Signals),
        at_s: [begin, begin],
        signals: series.to_vec(),
        gaps_ms,
        ..Trouble::default()
    })
}

/// On some seeds, clients that hold the courier's places, memory and time; its memory limit is then the platform's least.
fn draw_crowd(chance: &mut Rng, day: &mut Day) {
    if chance.f64() >= CROWD_SHARE {
        return;
    }
    let habit = Habit::ALL[chance.usize(..Habit::ALL.len())];
    day.mails.crowd = if habit.is_at_full_speed() { FLOODING_CLIENTS } else { CROWD_CLIENTS };
    day.mails.crowd_habit = habit;
    day.courier.memory_mb = LEAST_MEMORY_MB;
}

/// Answers that are copied, missing or out of order, for the whole day: those of the endpoints, and on half of the seeds
/// those to notices and list requests too.
fn spoilt_answers(chance: &mut Rng, day: &Day) -> Vec<Trouble> {
    let kinds = [AnswerFault::Any, AnswerFault::Any, AnswerFault::Copied, AnswerFault::CopiedBehindNext];
    let endpoints = Trouble {
        what: Some(What::Answers),
        at_s: [0.0, 0.0],
        for_s: day.seconds + LONGEST_LIFETIME_S,
        chance: between(chance, SPOILT_SHARE),
        answer: kinds[chance.usize(..kinds.len())],
        ..Trouble::default()
    };
    let list = Trouble { link: Link::List, chance: LIST_SPOILT_SHARE, ..endpoints.clone() };
    if chance.bool() {
        vec![endpoints, list]
    } else {
        vec![endpoints]
    }
}

impl fmt::Display for DrawnDay {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let day = &self.day;
        let Mails { rate, spare, idle, .. } = day.mails;
        write!(f, "{} couriers, {rate:.0}/s, {spare} spare, {idle} idle, ", day.couriers)?;
        let Endpoints { rate, limit, serve_ms, errors, .. } = &day.endpoints;
        write!(
            f,
            "endpoints {rate:.0}/s (limit {limit}, errors {errors}) in {serve_ms:?} ms, disk {} MB, clock steps {} s, {} \
             sockets, {} withdrawn, {} resent",
            day.courier.disk_mb,
            day.courier.clock_step_s,
            day.courier.sockets,
            day.mails.withdrawn,
            day.mails.resent
        )?;
        if day.mails.crowd > 0 {
            write!(f, ", {} clients: {:?}", day.mails.crowd, day.mails.crowd_habit)?;
        }
        for trouble in &day.trouble {
            let Some(what) = trouble.what else { continue };
            write!(f, ", {what:?} at {:.2}", trouble.at_s[0])?;
            match what {
                What::Signals => {
                    write!(f, " {:?} after {:?} ms", trouble.signals, trouble.gaps_ms)?;
                    write!(f, "{}", if trouble.behind_taken { " behind +OK" } else { "" })?;
                }
                What::Answers => {
                    write!(f, " {:?} {:.3} at {:?}", trouble.answer, trouble.chance, trouble.link)?
                }
                _ => write!(f, " for {:.1} of {:?}", trouble.for_s, trouble.which)?,
            }
        }
        Ok(())
    }
}
