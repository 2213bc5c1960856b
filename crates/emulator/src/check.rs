//! Checks scenarios before a day is drawn. Each fault names its place in the file and a remedy. Each bound is
//! stated once, in a table row.

use crate::scenario::{Figure, Scenario, What};

/// A fault of a scenario: its place, what was found, and how to correct it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the key, such as `mails.full_rate` or `trouble.2.hall`.
    pub path: String,
    pub found: String,
    pub remedy: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.found, self.remedy)
    }
}

/// Maximum size of a day; a larger one would not finish or not fit in memory.
pub const MAX_MAILS: f64 = 20e6;
pub const MAX_ENDPOINTS: f64 = 100_000.0;
pub const MOST_COURIERS: f64 = 10_000.0;
/// Couriers x endpoints, because each courier keeps state for each endpoint.
pub const MAX_PAIRS: f64 = 60e6;
const DAY_S: f64 = 86_400.0;

#[derive(Default)]
struct Checks(Vec<Fault>);

impl Checks {
    fn fault(&mut self, path: &str, found: impl Into<String>, remedy: impl Into<String>) {
        self.0.push(Fault { path: path.to_string(), found: found.into(), remedy: remedy.into() });
    }

    fn figure(&mut self, path: &str, figure: Figure, low: f64, high: f64) {
        let (from, to) = (figure.low(), figure.high());
        if !(from.is_finite() && to.is_finite()) {
            self.fault(path, "not a finite number", format!("give {low} to {high}"));
        } else if from > to {
            self.fault(path, format!("the range [{from}, {to}] is reversed"), "put the lower end first");
        } else if from < low || to > high {
            let found = if from < low { from } else { to };
            self.fault(path, format!("{found} is out of bounds"), format!("give {low} to {high}"));
        }
    }

    fn value(&mut self, path: &str, value: f64, low: f64, high: f64) {
        self.figure(path, Figure::One(value), low, high);
    }
}

/// All faults of a scenario, in the order of the file.
pub fn faults(s: &Scenario) -> Vec<Fault> {
    let mut c = Checks::default();
    c.figure("seconds", s.seconds, 1.0, DAY_S);
    c.figure("couriers", s.couriers, 1.0, MOST_COURIERS);
    c.figure("partners", s.partners, 1.0, MAX_ENDPOINTS);
    check_zones_and_mails(&mut c, s);
    check_classes(&mut c, s);
    check_kinds(&mut c, s);
    check_courier(&mut c, s);
    check_rules(&mut c, s);
    check_troubles(&mut c, s);
    if c.0.is_empty() {
        check_sizes(&mut c, s);
    }
    c.0
}

fn check_zones_and_mails(c: &mut Checks, s: &Scenario) {
    if s.halls.names.is_empty() || s.halls.names.len() > 64 {
        c.fault("halls.names", format!("{} halls", s.halls.names.len()), "name 1 to 64 halls");
    }
    if let Some(duplicate) = duplicate(&s.halls.names) {
        c.fault("halls.names", format!("duplicate name {duplicate}"), "give each hall a unique name");
    }
    c.figure("halls.same_ms", s.halls.same_ms, 0.0, 10_000.0);
    c.figure("halls.cross_ms", s.halls.cross_ms, 0.0, 10_000.0);
    c.figure("halls.jitter", s.halls.jitter, 0.0, 5.0);
    let m = &s.mails;
    c.figure("mails.full_rate", m.full_rate, 0.001, 1e6);
    c.figure("mails.load", m.load, 0.0, 20.0);
    c.figure("mails.swing", m.swing, 0.0, 1.0);
    c.figure("mails.uneven", m.uneven, 0.0, 3.0);
    c.figure("mails.clumps", m.clumps, 0.0, 1.0);
    c.figure("mails.clump", m.clump, 1.0, 10_000.0);
    c.figure("mails.retries", m.retries, 0.0, 20.0);
    c.figure("mails.pause_ms", m.pause_ms, 1.0, 600_000.0);
    c.figure("mails.heed", m.heed, 0.0, 1.0);
    c.figure("mails.after_death_ms", m.after_death_ms, 1.0, 600_000.0);
    c.figure("mails.hang_up", m.hang_up, 0.0, 1.0);
    c.figure("mails.short_lived", m.short_lived, 0.0, 1.0);
    c.figure("mails.short_part", m.short_part, 0.01, 1.0);
    c.figure("mails.keys", m.keys, 1.0, 1e6);
    c.figure("mails.front_notice_s", m.front_notice_s, 0.0, 600.0);
}

fn check_classes(c: &mut Checks, s: &Scenario) {
    if s.class.is_empty() || s.class.len() > 64 {
        c.fault("class", format!("{} queue classes", s.class.len()), "name 1 to 64 queue classes");
    }
    let names: Vec<String> = s.class.iter().map(|class| class.name.clone()).collect();
    if let Some(duplicate) = duplicate(&names) {
        let found = format!("duplicate name {duplicate:?}");
        c.fault("class", found, "give each queue class a unique name");
    }
    for (i, class) in s.class.iter().enumerate() {
        let at = |key: &str| format!("class.{i}.{key}");
        if class.name.is_empty() {
            c.fault(&at("name"), "no name", "name the queue class");
        }
        c.figure(&at("share"), class.share, 0.0, 1e6);
        c.figure(&at("service_ms"), class.service_ms, 0.1, 600_000.0);
        c.figure(&at("spread"), class.spread, 0.0, 5.0);
        c.value(&at("target_ms"), class.target_ms, 1.0, 86_400_000.0);
        c.value(&at("lifetime_ms"), class.lifetime_ms, 1.0, 86_400_000.0);
        if class.lifetime_ms < class.target_ms {
            let found = format!("{} ms, less than the target delay", class.lifetime_ms);
            c.fault(&at("lifetime_ms"), found, format!("give at least {}", class.target_ms));
        }
        c.value(&at("importance"), class.importance, 0.0, 1e6);
        c.value(&at("late_worth"), class.late_worth, 0.0, 1.0);
        c.value(&at("window_ms"), class.window_ms, 0.0, 86_400_000.0);
        if class.effect == crate::scenario::Effect::Tagged && class.window_ms <= 0.0 {
            c.fault(
                &at("window_ms"),
                "a tagged class without a window",
                "give the time for which repeats are recognized",
            );
        }
    }
    if !s.class.is_empty() && s.class.iter().all(|class| class.share.high() <= 0.0) {
        c.fault("class.0.share", "no queue class has a share", "give one of them a share above 0");
    }
}

fn check_kinds(c: &mut Checks, s: &Scenario) {
    if s.kind.is_empty() || s.kind.len() > 64 {
        c.fault("kind", format!("{} kinds", s.kind.len()), "name 1 to 64 kinds of partner");
    }
    for (i, kind) in s.kind.iter().enumerate() {
        let at = |key: &str| format!("kind.{i}.{key}");
        c.figure(&at("share"), kind.share, 0.0, 1e6);
        c.value(&at("lean"), kind.lean, -1.0, 1.0);
        c.figure(&at("span_ms"), kind.span_ms, 10.0, 600_000.0);
        c.figure(&at("headroom"), kind.headroom, 0.01, 1_000.0);
        c.figure(&at("least_rate"), kind.least_rate, 0.01, 1e6);
        c.figure(&at("spare"), kind.spare, 0.1, 1_000.0);
        c.figure(&at("tells_wait"), kind.tells_wait, 0.0, 1.0);
        c.figure(&at("wait_ms"), kind.wait_ms, 0.0, 600_000.0);
        c.value(&at("batch"), kind.batch as f64, 1.0, 1_000.0);
        c.figure(&at("item_work"), kind.item_work, 0.0, 1.0);
        c.figure(&at("connections"), kind.connections, 0.0, 1e6);
        c.figure(&at("endpoints"), kind.endpoints, 1.0, 1_000.0);
        c.figure(&at("pace"), kind.pace, 0.0, 5.0);
        c.figure(&at("queue_s"), kind.queue_s, 0.0, 600.0);
        c.figure(&at("cold_from"), kind.cold_from, 0.01, 1.0);
        c.figure(&at("cold_s"), kind.cold_s, 0.0, 3_600.0);
        c.figure(&at("error_share"), kind.error_share, 0.0, 1.0);
    }
    if !s.kind.is_empty() && s.kind.iter().all(|kind| kind.share.high() <= 0.0) {
        c.fault("kind.0.share", "no kind of partner has a share", "give one of them a share above 0");
    }
}

fn check_courier(c: &mut Checks, s: &Scenario) {
    let k = &s.courier;
    c.figure("courier.slots_room", k.slots_room, 0.01, 1_000.0);
    c.value("courier.least_slots", k.least_slots as f64, 1.0, 65_536.0);
    c.figure("courier.hold_s", k.hold_s, 0.01, 86_400.0);
    c.value("courier.least_room", k.least_room as f64, 1.0, 1e6);
    c.value("courier.resolution_ms", k.resolution_ms, 0.1, 1_000.0);
    c.value("courier.connect_timeout_ms", k.connect_timeout_ms, 1.0, 600_000.0);
    c.figure("courier.handshake_turns", k.handshake_turns, 0.0, 10.0);
    c.value("courier.keep_idle_s", k.keep_idle_s, 0.0, 86_400.0);
    c.value("courier.max_connects", k.max_connects as f64, 1.0, 1_000.0);
    c.value("courier.max_pause_ms", k.max_pause_ms, 0.0, 600_000.0);
    c.value("courier.turn_gap_ms", k.turn_gap_ms, 0.0, 600_000.0);
    c.figure("courier.down_s", k.down_s, 0.0, 86_400.0);
    for (i, &fee) in k.fees.iter().enumerate() {
        c.value(&format!("courier.fees.{i}"), fee, 0.0, 1.0);
    }
    c.figure("list.lag_s", s.list.lag_s, 0.0, 3_600.0);
    c.figure("list.spread_s", s.list.spread_s, 0.0, 3_600.0);
    c.figure("list.rate_wrong", s.list.rate_wrong, 0.0, 5.0);
    c.value("list.ask_within_s", s.list.ask_within_s, 0.1, 3_600.0);
}

fn check_rules(c: &mut Checks, s: &Scenario) {
    c.value("rules.drain_grace_ms", s.rules.drain_grace_ms, 0.0, 600_000.0);
    c.value("rules.tip_multiple", s.rules.tip_multiple, 1.0, 1_000.0);
    c.value("rules.tip_s", s.rules.tip_s, 0.1, 3_600.0);
    c.value("rules.answer_grace_ms", s.rules.answer_grace_ms, 0.0, 60_000.0);
    let g = &s.goal;
    for (key, weight) in
        [("whole", g.whole), ("worst_window", g.worst_window), ("worst_class", g.worst_class)]
    {
        c.value(&format!("goal.{key}"), weight, 0.0, 1e3);
    }
    if g.whole + g.worst_window + g.worst_class <= 0.0 {
        c.fault("goal.whole", "no weight is above 0", "give one of the three a weight");
    }
    c.value("goal.waste_price", g.waste_price, 0.0, 10.0);
    c.value("goal.handshake_price", g.handshake_price, 0.0, 10.0);
    c.value("goal.refused_price", g.refused_price, 0.0, 10.0);
}

fn check_troubles(c: &mut Checks, s: &Scenario) {
    for (i, t) in s.trouble.iter().enumerate() {
        let at = |key: &str| format!("trouble.{i}.{key}");
        c.figure(&at("at_s"), t.at_s, 0.0, DAY_S);
        c.figure(&at("for_s"), t.for_s, 0.0, DAY_S);
        c.figure(&at("part"), t.part, 0.0, 1.0);
        c.figure(&at("whole"), t.whole, 0.0, 1.0);
        let (low, high) = match t.what {
            What::Errors | What::ClassErrors | What::Resets | What::LostAnswers => (0.0, 1.0),
            What::Throttle | What::HotCaller | What::HallShift => (0.0, 1.0),
            What::Slow | What::Burst => (0.01, 1_000.0),
            What::Flap => (0.1, 3_600.0),
            What::Pauses | What::ClockStep => (0.0, 60_000.0),
            _ => (0.0, 3_600.0),
        };
        c.figure(&at("size"), t.size, low, high);
        let names = |all: &[String]| all.join(", ");
        let unknown = |name: &Option<String>, all: &[String]| {
            name.clone().filter(|name| !all.contains(name)).map(|name| format!("{name:?} is not defined"))
        };
        if let Some(found) = unknown(&t.hall, &s.halls.names) {
            c.fault(&at("hall"), found, format!("one of {}", names(&s.halls.names)));
        }
        let kinds: Vec<String> = s.kind.iter().map(|kind| kind.name.clone()).collect();
        if let Some(found) = unknown(&t.kind, &kinds) {
            c.fault(&at("kind"), found, format!("one of {}", names(&kinds)));
        }
        let classes: Vec<String> = s.class.iter().map(|class| class.name.clone()).collect();
        if let Some(found) = unknown(&t.class, &classes) {
            c.fault(&at("class"), found, format!("one of {}", names(&classes)));
        }
        let partners = s.partners.low() as usize;
        if let Some(&p) = t.partners.iter().find(|&&p| p >= partners) {
            c.fault(&at("partners"), format!("no partner {p}"), format!("give indices below {partners}"));
        }
        let couriers = s.couriers.low() as usize;
        if let Some(&k) = t.couriers.iter().find(|&&k| k >= couriers) {
            c.fault(&at("couriers"), format!("no courier {k}"), format!("give indices below {couriers}"));
        }
        let link = matches!(t.what, What::LinkCut | What::LinkOneWay);
        if link && s.halls.names.len() < 2 {
            c.fault(&at("what"), "a link trouble with a single hall", "name a second hall");
        }
    }
}

/// Checks total sizes, once each figure is valid by itself.
fn check_sizes(c: &mut Checks, s: &Scenario) {
    let bursts = s.trouble.iter().filter(|t| t.what == What::Burst).map(|t| t.size.high().max(1.0));
    let most: f64 = bursts.fold(1.0, f64::max);
    let mails = s.mails.full_rate.high() * s.mails.load.high() * s.seconds.high() * most;
    if mails > MAX_MAILS {
        let found = format!("up to {mails:.0} mails in the day");
        c.fault("mails.full_rate", found, format!("at most {MAX_MAILS:.0}: a shorter day or fewer mails"));
    }
    let ends = s.kind.iter().map(|kind| kind.endpoints.high()).fold(0.0, f64::max) * s.partners.high();
    if ends > MAX_ENDPOINTS {
        c.fault("partners", format!("up to {ends:.0} endpoints"), format!("at most {MAX_ENDPOINTS:.0}"));
    }
    let pairs = ends * s.couriers.high();
    if pairs > MAX_PAIRS {
        let found = format!("couriers times endpoints is up to {pairs:.0}");
        c.fault("couriers", found, format!("at most {MAX_PAIRS:.0}"));
    }
}

fn duplicate(names: &[String]) -> Option<&String> {
    names.iter().enumerate().find(|(i, name)| names[..*i].contains(name)).map(|(_, name)| name)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::{Figure, Trouble};

    #[test]
    fn the_default_values_can_be_drawn() {
        assert_eq!(faults(&Scenario::default()), []);
    }

    #[test]
    fn impossible_days_are_refused_with_their_place() {
        type Edit = fn(&mut Scenario);
        let cases: [(&str, Edit); 12] = [
            ("partners", |s| s.partners = Figure::One(0.0)),
            ("courier.least_slots", |s| s.courier.least_slots = 0),
            ("seconds", |s| s.seconds = Figure::One(-3.0)),
            ("mails.full_rate", |s| s.mails.full_rate = Figure::One(1e9)),
            ("mails.full_rate", |s| (s.mails.full_rate, s.seconds) = (Figure::One(1e6), Figure::One(3600.0))),
            ("mails.load", |s| s.mails.load = Figure::One(f64::NAN)),
            ("halls.same_ms", |s| s.halls.same_ms = Figure::Between([5.0, 2.0])),
            ("class.0.lifetime_ms", |s| s.class[0].lifetime_ms = 10.0),
            ("class", |s| s.class[1].name = s.class[0].name.clone()),
            ("kind", |s| s.kind.clear()),
            ("couriers", |s| (s.couriers, s.partners) = (Figure::One(9e3), Figure::One(9e3))),
            ("trouble.0.hall", |s| {
                let at = Figure::One(1.0);
                let mut trouble = Trouble::new(What::Crash, at, at, at, at);
                trouble.hall = Some("south".into());
                s.trouble.push(trouble);
            }),
        ];
        for (path, edit) in cases {
            let mut scenario = Scenario::default();
            edit(&mut scenario);
            let found = faults(&scenario);
            assert_eq!(found.first().map(|f| f.path.as_str()), Some(path), "{found:?}");
        }
    }
}
