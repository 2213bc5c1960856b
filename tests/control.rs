//! The decisions, case by case: each rule in its awkward case, the cap, the hold, waits, outages and returns.

use meadowhold::control::{Control, Health};
use meadowhold::interface::{
    AcceptedMail, Action, ConnectResult, Effect, EndpointStatus, Input, Kind, LimitReport, ListEntry,
    Outcome, PeerNote, QueueClass, Settings, Time, SECOND,
};

const REDELIVERABLE: usize = 0;
const TAGGED: usize = 1;
const ONCE_ONLY: usize = 2;
const BATCHED: usize = 0;
const SINGLE: usize = 1;
const APART: usize = 2;

fn queue_class(effect: Effect, importance: f64) -> QueueClass {
    let (window, target, lifetime) = (4 * SECOND, 2 * SECOND, 10 * SECOND);
    let (by_zone, late_worth, in_turn) = (false, 0.2, false);
    QueueClass {
        effect,
        dedup_by_zone: by_zone,
        dedup_window: window,
        target_delay: target,
        lifetime,
        importance,
        expiry_importance: late_worth,
        ordered: in_turn,
    }
}

fn settings() -> Settings {
    Settings {
        seed: 7,
        couriers: 2,
        slots: 8,
        max_mails: 40,
        max_connects: 4,
        timer_resolution: 50,
        connection_timeout: SECOND,
        idle_timeout: 10 * SECOND,
        max_poll_delay: 10 * SECOND,
        cold_capacity: 0.2,
        warm_up: 10 * SECOND,
        overload_multiple: 2.0,
        overload_duration: 2 * SECOND,
        ordering_gap: SECOND,
        list_has_rates: true,
        kinds: [(4, false), (1, false), (1, true)]
            .map(|(batch, apart)| Kind { max_batch: batch, per_endpoint_limits: apart })
            .to_vec(),
        classes: vec![
            queue_class(Effect::Redeliverable, 1.0),
            queue_class(Effect::Tagged, 1.0),
            queue_class(Effect::OnceOnly, 4.0),
        ],
        ..Settings::default()
    }
}

/// One courier; what it does in a turn is what `at` returns.
struct Rig {
    control: Control,
    next: usize,
}

impl Rig {
    /// Destination 0 has `ends` endpoints of a kind.
    fn new(set: Settings, kind: usize, ends: usize, rate: f64) -> Rig {
        Rig::started(0, set, kind, ends, rate)
    }

    /// The same of a process that starts later.
    fn started(ms: Time, set: Settings, kind: usize, ends: usize, rate: f64) -> Rig {
        let mut rig = Rig { control: Control::new(set), next: 0 };
        let mut list = vec![Input::ListBegin { complete: true }];
        list.extend((0..ends).map(|endpoint| listed(endpoint, kind, EndpointStatus::Ready, rate)));
        list.push(Input::ListEnd);
        rig.at(ms, &list);
        rig
    }

    fn at(&mut self, ms: Time, inputs: &[Input]) -> Vec<Action> {
        let mut out = Vec::new();
        self.control.step(SECOND + ms * 10, inputs, &mut out);
        out
    }

    fn arrival(&mut self, ms: Time, class: usize) -> Input {
        self.next += 1;
        let since = SECOND + ms * 10;
        Input::AcceptedMail(AcceptedMail {
            mail: self.next - 1,
            class,
            submitted_at: since,
            deadline: since + 10 * SECOND,
            ..AcceptedMail::default()
        })
    }

    fn arrive(&mut self, ms: Time, class: usize, count: usize) -> Vec<Action> {
        let inputs: Vec<Input> = (0..count).map(|_| self.arrival(ms, class)).collect();
        self.at(ms, &inputs)
    }

    /// Gives every connect of a turn, and those that follow at once, this outcome; tells them turn by turn.
    fn settle(&mut self, ms: Time, acts: &[Action], outcome: Outcome) -> Vec<Vec<(usize, usize)>> {
        let (mut turns, mut sent) = (Vec::new(), connects(acts));
        while !sent.is_empty() {
            let ends: Vec<Input> = sent.iter().map(|c| ended(c.0, outcome, 2)).collect();
            turns.push(sent);
            sent = connects(&self.at(ms, &ends));
        }
        turns
    }

    /// Everything sent is relayed after `took` ms, again and again, so that the destination is known.
    fn warm(&mut self, from: Time, took: Time, rounds: usize) -> Time {
        let mut ms = from;
        for _ in 0..rounds {
            let mut sent = connects(&self.arrive(ms, REDELIVERABLE, 1));
            while let Some((mail, _)) = sent.pop() {
                ms += took;
                sent.extend(connects(&self.at(ms, &[ended(mail, Outcome::Relayed, took)])));
            }
        }
        ms
    }
}

fn listed(endpoint: usize, kind: usize, life: EndpointStatus, rate: f64) -> Input {
    Input::ListEntry(ListEntry { endpoint, destination: 0, zone: endpoint, kind, status: life, rate })
}

#[test]
fn once_only_mails_wait_while_several_of_an_endpoints_latest_answers_were_errors() {
    for (errors, goes) in [(1, true), (3, false)] {
        let mut rig = Rig::new(settings(), SINGLE, 1, 40.0);
        let mut ms = rig.warm(0, 100, 6);
        let mut sent = connects(&rig.arrive(ms, REDELIVERABLE, 1));
        for outcome in std::iter::repeat_n(Outcome::Error, errors).chain([Outcome::Relayed]) {
            while sent.is_empty() {
                ms += 50;
                sent = connects(&rig.at(ms, &[]));
            }
            ms += 10;
            sent = connects(&rig.at(ms, &[ended(sent[0].0, outcome, 10)]));
        }
        // It is back, or well: its last answer was good.
        let once = rig.arrive(ms, ONCE_ONLY, 1);
        let later: Vec<Action> = (1..30).flat_map(|i| rig.at(ms + 50 * i, &[])).collect();
        let sent = connects(&once).len() + connects(&later).len();
        assert_eq!(sent > 0, goes, "{errors}");
    }
}

#[test]
fn what_breaks_on_a_kept_connection_is_no_sign_and_once_only_mails_go_on_new_ones_for_a_while() {
    let mut rig = Rig::new(settings(), SINGLE, 1, 0.0);
    let mut ms = rig.warm(0, 100, 6);
    for (kept, served, well, fresh) in
        [(true, 0, true, true), (true, 60, true, false), (false, 0, false, false)]
    {
        let sent = connects(&rig.arrive(ms, REDELIVERABLE, 1));
        let broken = ConnectResult {
            mail: sent[0].0,
            outcome: Outcome::Broken,
            finished: false,
            retry_after: 0,
            duration: 50,
            reused_connection: kept,
            limit_report: None,
        };
        // At once if it says nothing of the endpoint; else a quarter of the time to make a connection later.
        let again = connects(&rig.at(ms + 5, &[Input::ConnectResult(broken)]));
        assert_eq!(again.len(), usize::from(kept), "{kept}");
        assert!(connects(&rig.at(ms + 250, &[])).is_empty());
        let again = if kept { again } else { connects(&rig.at(ms + 260, &[])) };
        assert_eq!(again.len(), 1, "{kept}");
        if well {
            rig.at(ms + 100, &[ended(again[0].0, Outcome::Relayed, 95)]);
        }
        ms = rig.warm(ms + 100, 100, served);
        let acts = rig.arrive(ms, ONCE_ONLY, 1);
        let goes = acts.iter().any(|act| matches!(act, Action::Connect { new_connection: true, .. }));
        assert_eq!((connects(&acts).len(), goes), (usize::from(well), fresh), "{kept} {served}");
        let acts = rig.settle(ms + 100, &acts, Outcome::Relayed);
        ms += 100 + acts.len() as Time;
    }
}

#[test]
fn calls_refused_together_are_one_refusal_and_one_call_goes_first_after_it() {
    for wait in [0, 300] {
        let mut rig = Rig::new(settings(), SINGLE, 1, 0.0);
        let ms = rig.warm(0, 100, 6);
        let sent = connects(&rig.arrive(ms, REDELIVERABLE, 2));
        let refused: Vec<Input> = sent.iter().map(|c| told(c.0, Outcome::Refused, 20, wait)).collect();
        assert_eq!((refused.len(), connects(&rig.at(ms + 20, &refused)).len()), (2, 0));
        // One usual latency, not two, where no wait was told; else as long as was told.
        let back = ms + 20 + wait.max(110);
        assert!(connects(&rig.at(back - 30, &[])).is_empty(), "{wait}");
        assert_eq!(connects(&rig.at(back + 5, &[])).len(), 1, "{wait}");
    }
}

#[test]
fn a_short_life_makes_a_mail_urgent_and_says_nothing_of_the_endpoint_that_it_runs_out_at() {
    let mut rig = Rig::new(Settings { slots: 1, ..settings() }, SINGLE, 1, 0.0);
    let ms = rig.warm(0, 100, 6);
    let first = connects(&rig.arrive(ms, REDELIVERABLE, 1));
    rig.arrive(ms, REDELIVERABLE, 1);
    let short = |mail, left: Time| {
        let since = SECOND + ms * 10;
        Input::AcceptedMail(AcceptedMail {
            mail,
            submitted_at: since,
            deadline: since + left * 10,
            ..AcceptedMail::default()
        })
    };
    rig.next += 1;
    let brief = rig.next - 1;
    rig.at(ms, &[short(brief, 700)]);
    let next = connects(&rig.at(ms + 100, &[ended(first[0].0, Outcome::Relayed, 100)]));
    assert_eq!(next, [(brief, 0)]);
    let next = connects(&rig.at(ms + 120, &[ended(brief, Outcome::Silent, 20)]));
    assert_eq!(next.len(), 1, "an answer was not overdue: no sign of trouble");
}

/// The whole list names only this one.
fn only(endpoint: usize, kind: usize) -> [Input; 3] {
    [Input::ListBegin { complete: true }, listed(endpoint, kind, EndpointStatus::Ready, 40.0), Input::ListEnd]
}

#[test]
fn an_index_comes_back_a_warm_up_after_its_endpoint_left_and_not_before_its_call_ends() {
    let free = |acts: &[Action]| acts.iter().any(|act| matches!(act, Action::FreeEndpoint(0)));
    for (out, kind, heeded) in [(false, SINGLE, true), (true, SINGLE, true), (false, APART, false)] {
        let mut rig = Rig::new(settings(), kind, 1, 0.0);
        let sent = connects(&rig.arrive(0, REDELIVERABLE, 1 + usize::from(out)));
        let refused = sent.iter().skip(usize::from(out)).map(|c| told(c.0, Outcome::Refused, 2, 15_000));
        rig.at(1, &refused.collect::<Vec<_>>());
        let acts = rig.at(5, &only(1, kind));
        rig.settle(6, &acts, Outcome::Relayed);
        assert!(!free(&acts) && !free(&rig.at(9_900, &[])));
        assert_eq!(free(&rig.at(10_100, &[])), !out);
        if out {
            assert!(free(&rig.at(10_200, &[ended(sent[0].0, Outcome::Error, 10_200)])));
        }
        // Another endpoint under the old index: a destination's wait holds for it too, a route's own does not.
        rig.at(10_300, &only(0, kind));
        let mut sent = connects(&rig.arrive(10_310, REDELIVERABLE, 1));
        (0..100).for_each(|i| sent.extend(connects(&rig.at(10_320 + 20 * i, &[]))));
        assert_eq!(sent.is_empty(), heeded, "{out} {kind}");
    }
}

#[test]
fn who_was_told_a_long_wait_comes_back_as_to_one_that_is_cold() {
    // (wait told, most calls in the second after it): a span's end is no outage, a shut door is one.
    for (wait, least, most) in [(1_500, 8, 100), (6_000, 1, 6)] {
        let mut rig = Rig::new(settings(), SINGLE, 2, 20.0);
        let mut ms = rig.warm(0, 100, 6);
        let sent = connects(&rig.arrive(ms, REDELIVERABLE, 1));
        rig.at(ms + 10, &[told(sent[0].0, Outcome::Refused, 10, wait)]);
        ms += 10 + wait;
        let mut calls = 0;
        for step in 0..100u64 {
            let acts = rig.arrive(ms + 10 * step, REDELIVERABLE, usize::from(step < 20));
            calls += rig.settle(ms + 10 * step + 5, &acts, Outcome::Relayed).concat().len();
        }
        assert!((least..=most).contains(&calls), "{wait} ms: {calls}");
    }
}

#[test]
fn a_spoilt_answer_may_have_run_and_says_nothing_of_its_endpoint() {
    let mut rig = Rig::new(settings(), SINGLE, 1, 0.0);
    for (ms, class, ends) in [(0, REDELIVERABLE, false), (10, ONCE_ONLY, true)] {
        let sent = connects(&rig.arrive(ms, class, 1));
        let acts = rig.at(ms + 1, &[ended(sent[0].0, Outcome::Spoilt, 1)]);
        assert_eq!(acts.contains(&Action::Bounce { mail: sent[0].0 }), ends, "{acts:?}");
        assert_eq!(connects(&acts).len(), usize::from(!ends), "sent again at once: {acts:?}");
        for (mail, _) in connects(&acts) {
            rig.at(ms + 2, &[ended(mail, Outcome::Relayed, 1)]);
        }
    }
}

fn ended(mail: usize, outcome: Outcome, took: Time) -> Input {
    told(mail, outcome, took, 0)
}

fn told(mail: usize, outcome: Outcome, took: Time, wait: Time) -> Input {
    let over = outcome == Outcome::Relayed;
    Input::ConnectResult(ConnectResult {
        mail,
        outcome,
        finished: over,
        retry_after: wait * 10,
        duration: took * 10,
        reused_connection: false,
        limit_report: None,
    })
}

fn connects(actions: &[Action]) -> Vec<(usize, usize)> {
    let sent = actions.iter().filter_map(|a| match *a {
        Action::Connect { mail, endpoint, .. } => Some((mail, endpoint)),
        _ => None,
    });
    sent.collect()
}

fn deferred(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Defer { .. }))
}

fn bounced(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Bounce { .. }))
}

#[test]
fn an_unmeasured_destination_starts_at_the_clamp() {
    for (slots, clamp) in [(8, 6), (4, 3), (2, 1), (1, 1)] {
        let mut rig = Rig::new(Settings { slots, ..settings() }, SINGLE, 1, 0.0);
        assert_eq!(connects(&rig.arrive(0, REDELIVERABLE, 20)).len(), clamp, "{slots} slots");
    }
}

#[test]
fn the_cap_follows_littles_law_and_grows_by_one_for_each_served_call() {
    let mut rig = Rig::new(settings(), SINGLE, 1, 0.0);
    let ms = rig.warm(0, 100, 40) + 60_000;
    // Long quiet: the rate has faded, and the tail is a tenth of a second. Ten at once count as five a second:
    // 5 x 0.1 x 4/3, twice over as arriving and as held, rounded up.
    let sent = connects(&rig.arrive(ms, REDELIVERABLE, 10));
    assert!((1..=3).contains(&sent.len()), "{}", sent.len());
    // One served: its slot, and one more.
    let more = connects(&rig.at(ms + 100, &[ended(sent[0].0, Outcome::Relayed, 100)]));
    assert_eq!(more.len(), 2);
}

#[test]
fn a_mail_over_the_cap_is_sent_when_a_call_ends() {
    let mut rig = Rig::new(settings(), SINGLE, 1, 0.0);
    let sent = connects(&rig.arrive(0, REDELIVERABLE, 7));
    assert_eq!(sent.len(), 6);
    assert_eq!(connects(&rig.at(10, &[])), []);
    for outcome in [Outcome::Relayed, Outcome::Unsent, Outcome::CalledOff] {
        let mut rig = Rig::new(settings(), SINGLE, 1, 0.0);
        let sent = connects(&rig.arrive(0, REDELIVERABLE, 7));
        let ends: Vec<Input> = sent.iter().map(|c| ended(c.0, outcome, 10)).collect();
        assert!(!connects(&rig.at(10, &ends)).is_empty(), "{outcome:?}");
    }
}

#[test]
fn a_sick_destination_gets_half_of_the_slots_at_most() {
    let mut rig = Rig::new(settings(), SINGLE, 3, 0.0);
    let sent = connects(&rig.arrive(0, REDELIVERABLE, 4));
    assert_eq!(sent.len(), 4);
    rig.at(10, &[ended(sent[0].0, Outcome::Error, 10)]);
    let mut out = 3;
    for ms in 11..40 {
        out += connects(&rig.arrive(ms, REDELIVERABLE, 2)).len();
    }
    assert!(out <= 4, "{out}");
}

#[test]
fn what_may_follow_each_outcome() {
    use Outcome::{Broken, CalledOff, Error, Refused, Silent, Unreached, Unsent};
    // (queue class, outcome, sent again, deferred at the end, bounced at once)
    let cases = [
        (REDELIVERABLE, Error, true, true, false),
        (REDELIVERABLE, Silent, true, true, false),
        (TAGGED, Broken, true, true, false),
        (TAGGED, CalledOff, true, true, false),
        (ONCE_ONLY, Refused, true, true, false),
        (ONCE_ONLY, Unreached, true, true, false),
        (ONCE_ONLY, Unsent, true, true, false),
        (ONCE_ONLY, Error, false, false, true),
        (ONCE_ONLY, Silent, false, false, true),
        (ONCE_ONLY, Broken, false, false, true),
        (ONCE_ONLY, CalledOff, false, false, true),
    ];
    for (class, outcome, again, refusable, lost) in cases {
        let mut rig = Rig::new(settings(), SINGLE, 2, 0.0);
        let ms = rig.warm(0, 50, 3);
        let sent = connects(&rig.arrive(ms, class, 1));
        let answer = rig.at(ms + 50, &[ended(sent[0].0, outcome, 50)]);
        assert_eq!(bounced(&answer), lost, "{class} {outcome:?}");
        let (mut sends, mut handed_back) = (0, false);
        for later in 1..2200 {
            let mut acts = rig.at(ms + 50 + later * 5, &[]);
            if later == 1 {
                acts.extend(answer.iter().copied());
            }
            while !acts.is_empty() {
                handed_back |= deferred(&acts);
                let out = connects(&acts);
                sends += out.len();
                let ends: Vec<Input> = out.iter().map(|c| ended(c.0, Unreached, 1)).collect();
                acts = if ends.is_empty() { Vec::new() } else { rig.at(ms + 50 + later * 5, &ends) };
            }
        }
        assert_eq!((sends > 0, handed_back), (again, refusable), "{class} {outcome:?}");
        assert!(sends <= 3, "{class} {outcome:?}: at most four connects in all, {sends} more");
    }
}

#[test]
fn a_tagged_mail_is_sent_again_only_within_its_window() {
    // The window of 4 s less the second that its connect may take.
    for (silent_at, again) in [(2650, true), (2760, false), (3000, false), (3900, false)] {
        let mut rig = Rig::new(settings(), SINGLE, 1, 0.0);
        let sent = connects(&rig.arrive(0, TAGGED, 1));
        let acts = rig.at(silent_at, &[ended(sent[0].0, Outcome::Silent, silent_at)]);
        // After a failure the endpoint rests for a quarter of that second.
        let mut later = rig.at(silent_at + 260, &[]);
        later.extend(acts.iter().copied());
        assert_eq!(!connects(&later).is_empty(), again, "{silent_at}");
        assert_eq!(deferred(&later), !again);
    }
}

#[test]
fn every_mail_is_answered_before_its_time_is_up() {
    let mut rig = Rig::new(settings(), SINGLE, 0, 0.0);
    rig.arrive(0, ONCE_ONLY, 1);
    assert!(!deferred(&rig.at(9900, &[])));
    assert!(deferred(&rig.at(9990, &[])));
}

#[test]
fn woken_only_when_asked_for_it_still_answers_in_time() {
    for resolution in [1, 50, 2000] {
        let mut control = Control::new(Settings { timer_resolution: resolution, ..settings() });
        let (mut now, mut out) = (SECOND, Vec::new());
        let arrival = Input::AcceptedMail(AcceptedMail {
            class: ONCE_ONLY,
            deadline: now + 10 * SECOND,
            ..AcceptedMail::default()
        });
        let mut wake = control.step(now, &[arrival], &mut out);
        while let Some(at) = wake {
            now = at;
            wake = control.step(now, &[Input::Wakeup], &mut out);
        }
        assert!(deferred(&out) && now < 11 * SECOND, "{resolution}: {now}");
    }
}

#[test]
fn a_hung_up_mail_is_forgotten_when_its_connect_has_ended() {
    let mut rig = Rig::new(settings(), SINGLE, 1, 0.0);
    rig.arrive(0, REDELIVERABLE, 1);
    assert!(!rig.at(5, &[Input::ClientGone { mail: 0 }]).contains(&Action::FreeMail(0)));
    assert_eq!(rig.at(9, &[ended(0, Outcome::Silent, 9)]), [Action::FreeMail(0)]);
    assert_eq!(rig.at(9, &[ended(0, Outcome::Silent, 9), Input::ClientGone { mail: 9 }]), []);
}

#[test]
fn waits_hold_for_the_unit_that_told_them() {
    // (kind, endpoints that may be used during the wait)
    for (kind, others) in [(SINGLE, 0), (BATCHED, 0), (APART, 1)] {
        let mut rig = Rig::new(settings(), kind, 2, 100.0);
        let (mail, endpoint) = connects(&rig.arrive(0, ONCE_ONLY, 1))[0];
        let mut used = connects(&rig.at(10, &[told(mail, Outcome::Refused, 10, 500)]));
        // A newcomer shares the wait too, unless routes are apart.
        let grown = [
            Input::ListBegin { complete: false },
            listed(1 - endpoint, kind, EndpointStatus::Ready, 100.0),
            Input::ListEnd,
        ];
        used.extend(connects(&rig.at(20, &grown)));
        for ms in (14..410).step_by(4) {
            let acts = rig.arrive(ms, REDELIVERABLE, 1);
            used.extend(rig.settle(ms + 2, &acts, Outcome::Relayed).concat());
        }
        assert!(used.iter().all(|c| c.1 != endpoint), "{kind}");
        assert_eq!(usize::from(!used.is_empty()), others, "{kind}");
        let after = (0..600).any(|i| {
            let acts = rig.arrive(600 + i * 5, REDELIVERABLE, 1);
            rig.settle(602 + i * 5, &acts, Outcome::Relayed).concat().iter().any(|c| c.1 == endpoint)
        });
        assert!(after, "{kind}");
    }
}

#[test]
fn a_wait_told_to_one_mail_of_a_call_counts() {
    let mut rig = Rig::new(settings(), BATCHED, 1, 100.0);
    let sent = connects(&rig.arrive(0, REDELIVERABLE, 2));
    assert_eq!(sent.len(), 2);
    let both = [told(sent[0].0, Outcome::Refused, 9, 500), told(sent[1].0, Outcome::Refused, 9, 0)];
    rig.at(10, &both);
    assert_eq!(connects(&rig.arrive(400, REDELIVERABLE, 3)), []);
}

#[test]
fn draining_and_gone_endpoints_get_nothing_new() {
    let whole =
        [Input::ListBegin { complete: true }, listed(1, SINGLE, EndpointStatus::Ready, 0.0), Input::ListEnd];
    let drain = [
        Input::ListBegin { complete: false },
        listed(0, SINGLE, EndpointStatus::Draining, 0.0),
        Input::ListEnd,
    ];
    let gone = [
        Input::ListBegin { complete: false },
        listed(0, SINGLE, EndpointStatus::Removed, 0.0),
        Input::ListEnd,
    ];
    for news in [whole, drain, gone] {
        let mut rig = Rig::new(settings(), SINGLE, 2, 0.0);
        let parked = connects(&rig.arrive(0, REDELIVERABLE, 20));
        rig.at(5, &news);
        let ends: Vec<Input> = parked.iter().map(|c| ended(c.0, Outcome::Relayed, 5)).collect();
        let sent = connects(&rig.at(6, &ends));
        assert!(!sent.is_empty() && sent.iter().all(|c| c.1 == 1));
    }
}

#[test]
fn a_silent_endpoint_is_doubted_before_its_time_out_and_spares_once_only_mails() {
    let mut rig = Rig::new(settings(), SINGLE, 1, 0.0);
    let ms = rig.warm(0, 100, 30);
    rig.arrive(ms, REDELIVERABLE, 1);
    assert_eq!(connects(&rig.arrive(ms + 600, ONCE_ONLY, 1)), []);
    // A mail that may be repeated tries it, with pauses in between.
    let tried: usize =
        (0..8).map(|i| connects(&rig.arrive(ms + 1000 + i * 10, REDELIVERABLE, 1)).len()).sum();
    assert_eq!(tried, 1);
}

#[test]
fn one_long_call_among_served_ones_is_no_sign_of_trouble() {
    let mut rig = Rig::new(settings(), SINGLE, 1, 0.0);
    let ms = rig.warm(0, 100, 30);
    rig.arrive(ms, REDELIVERABLE, 1);
    rig.warm(ms + 10, 90, 1);
    assert_eq!(connects(&rig.arrive(ms + 125, ONCE_ONLY, 1)).len(), 1);
}

#[test]
fn a_returning_endpoint_is_sent_its_cold_share_and_more_as_it_warms() {
    let mut rig = Rig::new(settings(), SINGLE, 1, 20.0);
    let mut ms = rig.warm(0, 20, 10);
    for _ in 0..3 {
        ms += 2500;
        let acts = rig.arrive(ms, REDELIVERABLE, 1);
        rig.settle(ms + 5, &acts, Outcome::Unreached);
    }
    // Down now. It comes back, and every call is served at once.
    let mut per_second = [0; 12];
    for step in 0..2400u64 {
        let acts = rig.arrive(ms + 3000 + step * 5, TAGGED, usize::from(step % 4 == 0));
        let turns = rig.settle(ms + 3002 + step * 5, &acts, Outcome::Relayed);
        per_second[(step / 200) as usize] += turns.concat().len();
    }
    // Twice the capacity may come, from two couriers: at most the even part of 20 x 2 x 0.2 at first.
    assert!((1..=5).contains(&per_second[0]), "{per_second:?}");
    assert!(per_second[4] > per_second[0] && per_second[4] <= 12, "{per_second:?}");
    assert!(per_second[11] > 20, "{per_second:?}");
}

#[test]
fn mails_of_one_key_go_one_at_a_time_in_order_and_rest_after_silence() {
    let mut rig = Rig::new(settings(), SINGLE, 2, 0.0);
    let keyed = |rig: &mut Rig| match rig.arrival(0, TAGGED) {
        Input::AcceptedMail(taken) => Input::AcceptedMail(AcceptedMail { key: Some(0), ..taken }),
        other => other,
    };
    let three = [keyed(&mut rig), keyed(&mut rig), keyed(&mut rig)];
    assert_eq!(connects(&rig.at(0, &three)).iter().map(|c| c.0).collect::<Vec<_>>(), [0]);
    let second = connects(&rig.at(50, &[ended(0, Outcome::Relayed, 50)]));
    assert_eq!(second.iter().map(|c| c.0).collect::<Vec<_>>(), [1]);
    // The client of the second leaves; its connect ends in silence, and the key rests.
    assert_eq!(connects(&rig.at(60, &[Input::ClientGone { mail: 1 }])), []);
    assert_eq!(connects(&rig.at(100, &[ended(1, Outcome::Silent, 50)])), []);
    assert_eq!(connects(&rig.at(1000, &[])), []);
    assert_eq!(connects(&rig.at(1101, &[])).iter().map(|c| c.0).collect::<Vec<_>>(), [2]);
    let end = rig.at(1200, &[ended(2, Outcome::Relayed, 99)]);
    assert!(end.contains(&Action::FreeKey(0)));
}

#[test]
fn refusals_slow_the_pace_and_a_paced_call_is_filled() {
    let mut rig = Rig::new(settings(), BATCHED, 1, 4.0);
    let mut calls = Vec::new();
    for step in 0..400u64 {
        let acts = rig.arrive(step * 5, REDELIVERABLE, usize::from(step % 10 == 0));
        let turns = rig.settle(step * 5 + 2, &acts, Outcome::Relayed);
        calls.extend(turns.iter().map(Vec::len));
    }
    // Two seconds at the even share of two calls a second, a little more while mails wait: full calls.
    assert!((3..=6).contains(&calls.len()) && calls[1..3] == [4, 4], "{calls:?}");
    let mut rig = Rig::new(settings(), SINGLE, 1, 0.0);
    let ms = rig.warm(0, 5, 200);
    let (mail, _) = connects(&rig.arrive(ms, REDELIVERABLE, 1))[0];
    rig.at(ms + 5, &[ended(mail, Outcome::Refused, 5)]);
    // What was sent before a pace was kept is no debt: a slower pace, not a stop.
    assert!((1..20).any(|i| !connects(&rig.at(ms + 50 + i * 5, &[])).is_empty()));
}

#[test]
fn the_list_is_asked_for_and_asked_again_after_a_failure() {
    let mut control = Control::new(Settings { poll_list: true, ..settings() });
    let mut out = Vec::new();
    control.step(SECOND, &[], &mut out);
    assert_eq!(out, [Action::RequestList]);
    out.clear();
    let wake = control.step(SECOND + 10, &[Input::ListFailed], &mut out).unwrap();
    assert_eq!(out, []);
    assert!(wake > SECOND + 10 && wake <= SECOND + 10 + settings().max_poll_delay);
    control.step(wake, &[], &mut out);
    assert_eq!(out, [Action::RequestList]);
}

#[test]
fn a_full_room_gives_up_what_is_worth_least_at_once_with_a_time_to_come_back() {
    let mut rig = Rig::new(Settings { max_retry_after: SECOND, ..settings() }, SINGLE, 0, 0.0);
    let acts: Vec<Action> =
        (0..14).flat_map(|_| [rig.arrive(0, ONCE_ONLY, 1), rig.arrive(0, TAGGED, 2)]).flatten().collect();
    let given_up: Vec<usize> = acts
        .iter()
        .filter_map(|a| match *a {
            Action::Defer { mail, retry_after: pause } => {
                assert_eq!(pause, SECOND);
                Some(mail)
            }
            _ => None,
        })
        .collect();
    assert_eq!(given_up.len(), 42 - 38);
    assert!(given_up.iter().all(|mail| mail % 3 != 0), "{given_up:?}");
}

#[test]
fn a_told_limit_that_sinks_takes_the_pace_with_it() {
    // (limit told from the fifth second on, calls in the five seconds after that at most)
    for (limit, least, most) in [(8.0, 20, 60), (0.8, 1, 6)] {
        let mut rig = Rig::new(Settings { list_has_rates: false, ..settings() }, BATCHED, 1, 0.0);
        let mut calls = [0, 0];
        for step in 0..2000u64 {
            let mut sent = connects(&rig.arrive(step * 5, REDELIVERABLE, usize::from(step % 10 == 0)));
            while !sent.is_empty() {
                calls[usize::from(step >= 1000)] += 1;
                let told = LimitReport { remaining: 0.5, limit: if step >= 1000 { limit } else { 8.0 } };
                let relayed = |mail| ConnectResult {
                    mail,
                    outcome: Outcome::Relayed,
                    finished: true,
                    retry_after: 0,
                    duration: 20,
                    reused_connection: false,
                    limit_report: Some(told),
                };
                let ends: Vec<Input> = sent.iter().map(|c| Input::ConnectResult(relayed(c.0))).collect();
                sent = connects(&rig.at(step * 5 + 2, &ends));
            }
        }
        assert!((least..=most).contains(&calls[1]), "{limit}: {calls:?}");
    }
}

#[test]
fn connections_are_closed_while_connects_find_nobody_and_kept_again_after_that() {
    for (outcome, closed) in [(Outcome::Unreached, true), (Outcome::Error, false)] {
        let mut rig = Rig::new(Settings { couriers: 20, ..settings() }, SINGLE, 4, 0.0);
        let ms = rig.warm(0, 50, 3);
        let mut sent = connects(&rig.arrive(ms, REDELIVERABLE, 1));
        for _ in 0..2 {
            sent = connects(&rig.at(ms + 50, &[ended(sent[0].0, outcome, 50)]));
        }
        let acts = rig.at(ms + 90, &[ended(sent[0].0, Outcome::Relayed, 40)]);
        assert_eq!(acts.contains(&Action::CloseIdle(sent[0].1)), closed, "{outcome:?}");
        let later = rig.warm(ms + 9000, 50, 40);
        let sent = connects(&rig.arrive(later, REDELIVERABLE, 1));
        let acts = rig.at(later + 50, &[ended(sent[0].0, Outcome::Relayed, 50)]);
        assert!(!acts.iter().any(|a| matches!(a, Action::CloseIdle(_))), "{outcome:?}");
    }
}

#[test]
fn after_a_refusal_many_couriers_come_back_at_different_times_and_few_at_the_end_of_the_wait() {
    // (couriers, queue class, all of them are back within a second after the wait)
    let cases = [(2, TAGGED, true), (2, ONCE_ONLY, true), (200, TAGGED, false), (200, ONCE_ONLY, false)];
    let mut soon = Vec::new();
    for (couriers, class, prompt) in cases {
        let mut back = Vec::new();
        for seed in 0..8 {
            // Of many, each has under a call a lifetime.
            let mut rig = Rig::new(Settings { couriers, seed, ..settings() }, BATCHED, 1, 19.0);
            let (mail, _) = connects(&rig.arrive(0, class, 1))[0];
            rig.at(10, &[told(mail, Outcome::Refused, 10, 500)]);
            back.extend((102..1990).find(|i| !connects(&rig.at(i * 5, &[])).is_empty()).map(|i| i * 5));
        }
        assert!(back.iter().all(|&ms| ms >= 510), "{back:?}");
        assert_eq!(back.len() == 8 && back.iter().all(|&ms| ms < 1510), prompt, "{couriers}: {back:?}");
        soon.push(back.iter().filter(|&&ms| ms < 5510).count());
    }
    // What is worth most comes back first.
    assert!(soon[3] > soon[2], "{soon:?}");
}

#[test]
fn hundreds_of_couriers_keep_to_a_limit_by_turns_from_their_first_moment() {
    // Each has more mails than its share of two routes, 20 calls a second each, from the start or after a restart.
    // (couriers that start anew in the middle, calls at a route in any half second at most)
    for (anew, most) in [(0, 15), (100, 15)] {
        let set = |me| Settings {
            couriers: 100,
            courier_index: me,
            seed: me as u64,
            max_mails: 2000,
            ..settings()
        };
        let mut fleet: Vec<Rig> = (0..100).map(|me| Rig::new(set(me), APART, 2, 20.0)).collect();
        let mut calls = [[0usize; 40]; 2];
        for step in 0..400u64 {
            if step == 203 {
                (0..anew).for_each(|me| fleet[me] = Rig::started(step * 50, set(me), APART, 2, 20.0));
            }
            for rig in &mut fleet {
                let acts = rig.arrive(step * 50, REDELIVERABLE, usize::from(step % 10 == 0));
                for (_, route) in rig.settle(step * 50, &acts, Outcome::Relayed).concat() {
                    calls[route][step as usize / 10] += 1;
                }
            }
        }
        let peak = calls.iter().flatten().max().unwrap();
        assert!(*peak <= most, "{anew}: {calls:?}");
        let all: usize = calls.iter().flatten().sum();
        assert!(all >= if anew > 0 { 640 } else { 760 }, "{anew}: {all} of 800");
    }
}

#[test]
fn a_mail_that_would_be_handed_back_unsent_is_turned_away_at_the_door() {
    // (limit, couriers, class and number of those that wait, class of the newcomer, turned away). At a turn in five
    // seconds, six of a newcomer's ten seconds take one that waits; without a limit a room of 40 is full at 39.
    let cases = [
        (20.0, 100, REDELIVERABLE, 1, REDELIVERABLE, false),
        (20.0, 100, REDELIVERABLE, 2, REDELIVERABLE, true),
        (20.0, 100, REDELIVERABLE, 2, ONCE_ONLY, false),
        (20.0, 100, ONCE_ONLY, 2, REDELIVERABLE, true),
        (0.0, 2, REDELIVERABLE, 37, REDELIVERABLE, false),
        (0.0, 2, REDELIVERABLE, 38, REDELIVERABLE, true),
        (0.0, 2, REDELIVERABLE, 38, ONCE_ONLY, false),
        (0.0, 2, ONCE_ONLY, 38, REDELIVERABLE, true),
    ];
    for (rate, couriers, waiting, count, class, away) in cases {
        let mut rig = Rig::new(Settings { couriers, ..settings() }, SINGLE, 1, rate);
        rig.arrive(0, waiting, count);
        let turned = rig.control.would_reject(0, class, 11 * SECOND);
        assert_eq!(turned, away, "{rate} {waiting} {count} {class}");
    }
}

#[test]
fn routes_with_a_rate_are_filled_by_it_though_one_is_cheaper() {
    // Without a rate all go by the cheap route; with one, the part that it can take.
    for (rate, least, most) in [(0.0, 40, 40), (4.0, 15, 30)] {
        // Under a call a lifetime for each, so that no turns are waited for.
        let mut set = Settings { couriers: 40, zone_fees: vec![0.0, 0.06], ..settings() };
        set.classes.iter_mut().for_each(|class| class.lifetime = 4 * SECOND);
        let mut cheap = 0;
        for seed in 0..40 {
            let mut rig = Rig::new(Settings { seed, ..set.clone() }, APART, 2, rate);
            cheap += usize::from(connects(&rig.arrive(0, TAGGED, 1))[0].1 == 0);
        }
        assert!((least..=most).contains(&cheap), "{rate}: {cheap}");
    }
}

#[test]
fn trials_of_many_couriers_at_a_down_endpoint_are_spread_over_what_it_can_take_cold() {
    // 20 calls a second, a fifth of it when cold: few couriers try often, each of many seldom.
    for (couriers, least, most) in [(2, 3, 100), (200, 0, 1)] {
        let mut rig = Rig::new(Settings { couriers, ..settings() }, SINGLE, 1, 20.0);
        let mut tried = 0;
        for step in 0..1800u64 {
            let acts = rig.arrive(step * 5, REDELIVERABLE, usize::from(step % 50 == 0));
            tried +=
                rig.settle(step * 5 + 1, &acts, Outcome::Unreached).concat().len() * usize::from(step > 200);
        }
        assert!((least..=most).contains(&tried), "{couriers}: {tried}");
    }
}

#[test]
fn a_newcomer_of_a_failing_destination_warms_up_and_one_of_a_well_one_does_not() {
    for (outcome, least, most) in [(Outcome::Relayed, 12, 12), (Outcome::Unreached, 1, 2)] {
        let mut rig = Rig::new(settings(), SINGLE, 1, 20.0);
        let sent = connects(&rig.arrive(0, TAGGED, 1));
        rig.at(5, &[ended(sent[0].0, outcome, 5)]);
        let whole = Input::ListBegin { complete: true };
        rig.at(10, &[whole, listed(1, SINGLE, EndpointStatus::Ready, 20.0), Input::ListEnd]);
        let acts = rig.arrive(1000, TAGGED, 12);
        let sent = rig.settle(1002, &acts, Outcome::Relayed).concat().len();
        assert!((least..=most).contains(&sent), "{outcome:?}: {sent}");
    }
}

#[test]
fn couriers_differ_in_the_endpoint_that_they_try_first() {
    let first =
        |seed| connects(&Rig::new(Settings { seed, ..settings() }, SINGLE, 2, 0.0).arrive(0, TAGGED, 1))[0].1;
    let seconds: usize = (0..40).map(first).sum();
    assert!((10..=30).contains(&seconds), "{seconds}");
}

#[test]
fn a_mail_of_an_earlier_process_goes_on_where_it_was() {
    let now = SECOND + 50_000;
    // (class, connects used, seconds since the send of the first that may have run, what becomes of it)
    let rows = [
        (REDELIVERABLE, 1, Some(9), "sent"),
        (REDELIVERABLE, 4, None, "deferred"),
        (TAGGED, 1, Some(2), "sent"),
        (TAGGED, 1, Some(3), "deferred"),
        (TAGGED, 1, Some(5), "deferred"),
        (ONCE_ONLY, 1, None, "sent"),
        (ONCE_ONLY, 1, Some(1), "bounced"),
    ];
    for (class, connects, since, expected) in rows {
        let mut rig = Rig::new(settings(), SINGLE, 2, 0.0);
        let ran = since.map(|seconds| (now - seconds.min(5) * SECOND, 0));
        let mail = AcceptedMail {
            class,
            connects_used: connects,
            first_run: ran,
            deadline: now + 4 * SECOND,
            ..AcceptedMail::default()
        };
        let acts = rig.at(5000, &[Input::AcceptedMail(mail)]);
        let became = match acts[0] {
            Action::Connect { .. } => "sent",
            Action::Defer { .. } => "deferred",
            Action::Bounce { .. } => "bounced",
            _ => "?",
        };
        assert_eq!(became, expected, "{class} {connects} {since:?}");
    }
}

#[test]
fn a_key_rests_after_a_restart_but_not_the_mail_whose_connect_was_out() {
    let now = SECOND;
    let mail = |mail, connects, ran| {
        let due = now + 10 * SECOND;
        Input::AcceptedMail(AcceptedMail {
            mail,
            class: TAGGED,
            key: Some(0),
            deadline: due,
            connects_used: connects,
            first_run: ran,
            ..AcceptedMail::default()
        })
    };
    let rested = Input::KeyInFlight { key: 0, at: now };
    let mut rig = Rig::new(settings(), SINGLE, 2, 0.0);
    let sent = connects(&rig.at(0, &[mail(0, 1, Some((now, 0))), mail(1, 0, None), rested.clone()]));
    assert_eq!(sent.iter().map(|c| c.0).collect::<Vec<_>>(), [0]);
    assert_eq!(connects(&rig.at(50, &[ended(0, Outcome::Relayed, 50)])), []);
    assert_eq!(connects(&rig.at(1001, &[])).iter().map(|c| c.0).collect::<Vec<_>>(), [1]);
    // A key that only rests is given back at its end.
    let mut rig = Rig::new(settings(), SINGLE, 2, 0.0);
    assert_eq!(rig.at(0, &[rested]), []);
    assert_eq!(rig.at(1000, &[]), [Action::FreeKey(0)]);
}

#[test]
fn a_call_may_begin_unless_its_endpoint_leaves_or_waits() {
    let mut rig = Rig::new(settings(), SINGLE, 2, 0.0);
    let now = |ms: Time| SECOND + ms * 10;
    assert!(rig.control.may_call(0, now(0)));
    let (mail, endpoint) = connects(&rig.arrive(0, REDELIVERABLE, 1))[0];
    let refused = ConnectResult {
        mail,
        outcome: Outcome::Refused,
        finished: false,
        retry_after: 2 * SECOND,
        duration: 50,
        reused_connection: false,
        limit_report: None,
    };
    rig.at(5, &[Input::ConnectResult(refused)]);
    let other = 1 - endpoint;
    assert!(!rig.control.may_call(endpoint, now(2004)) && !rig.control.may_call(other, now(2004)));
    assert!(rig.control.may_call(endpoint, now(2006)));
    rig.at(2007, &[listed(endpoint, SINGLE, EndpointStatus::Draining, 0.0)]);
    assert!(!rig.control.may_call(endpoint, now(2008)) && rig.control.may_call(other, now(2008)));
}

fn heard(endpoint: usize, news: PeerNote) -> Input {
    Input::PeerNote { endpoint, note: news }
}

/// Turns of 5 ms from here, with nothing new, until something is sent; the time, or `None` after `most` ms.
fn first_sent(rig: &mut Rig, from: Time, most: Time) -> Option<Time> {
    (1..=most / 5).map(|i| from + 5 * i).find(|&ms| !connects(&rig.at(ms, &[])).is_empty())
}

#[test]
fn a_note_that_a_destination_is_full_holds_its_mails_for_the_wait_and_a_spread() {
    for wait in [0, 300] {
        let mut least = Time::MAX;
        let mut most = 0;
        for seed in 0..20 {
            let set = Settings { seed, peer_notes: true, ..settings() };
            let mut rig = Rig::new(set, SINGLE, 2, 40.0);
            // Twenty refusals told at once over a limit of forty a second: half a second of it, spread fourfold.
            let notes = vec![heard(0, PeerNote::Refusing(wait * 10)); 20];
            rig.at(10, &notes);
            let at_once = !connects(&rig.arrive(10, REDELIVERABLE, 1)).is_empty();
            let sent = if at_once { 10 } else { first_sent(&mut rig, 10, 9000).unwrap() };
            (least, most) = (least.min(sent), most.max(sent));
        }
        assert!(least >= 10 + wait && most > 500 + wait && most <= 2100 + wait, "{wait}: {least} to {most}");
    }
}

#[test]
fn notes_of_what_is_out_and_back_move_the_standing_and_odd_ones_move_nothing() {
    // (notes with their times in ms, standing after them)
    let cases: [(&[(Time, PeerNote)], Health); 7] = [
        (&[(100, PeerNote::Down)], Health::Down),
        (&[(100, PeerNote::Down), (200, PeerNote::Down)], Health::Down),
        // Back before an outage could leave it cold; and after that.
        (&[(100, PeerNote::Down), (1000, PeerNote::Recovered)], Health::Healthy),
        (&[(100, PeerNote::Down), (2500, PeerNote::Recovered)], Health::Recovering),
        // Out again while it returns is no false alarm, however soon it is back.
        (
            &[
                (100, PeerNote::Down),
                (2500, PeerNote::Recovered),
                (2600, PeerNote::Down),
                (2700, PeerNote::Recovered),
            ],
            Health::Recovering,
        ),
        (&[(100, PeerNote::Recovered)], Health::Healthy),
        (&[(100, PeerNote::Refusing(0))], Health::Healthy),
    ];
    for (notes, standing) in cases {
        let mut rig = Rig::new(Settings { peer_notes: true, ..settings() }, SINGLE, 1, 40.0);
        for &(ms, news) in notes {
            rig.at(ms, &[heard(0, news), heard(70, news)]);
        }
        assert_eq!(rig.control.health(0), Some(standing), "{notes:?}");
        assert_eq!(rig.control.health(70), None);
    }
}

#[test]
fn couriers_tell_of_refusals_and_of_what_lost_calls_and_only_where_they_may() {
    // What two calls in a row end as, and what is told.
    let cases: [(Outcome, &[PeerNote]); 4] = [
        (Outcome::Error, &[PeerNote::Down]),
        (Outcome::Silent, &[PeerNote::Down]),
        // Full tables look the same, and nothing is lost.
        (Outcome::Unreached, &[]),
        (Outcome::Refused, &[PeerNote::Refusing(0), PeerNote::Refusing(0)]),
    ];
    for (may_tell, (outcome, expected)) in [true, false].into_iter().flat_map(|may| cases.map(|c| (may, c))) {
        let mut rig = Rig::new(Settings { peer_notes: may_tell, ..settings() }, SINGLE, 1, 40.0);
        let mut ms = rig.warm(0, 100, 6);
        let (mut news, mut sent) = (Vec::new(), connects(&rig.arrive(ms, REDELIVERABLE, 1)));
        for _ in 0..2 {
            while sent.is_empty() {
                ms += 5;
                sent = connects(&rig.at(ms, &[]));
            }
            ms += 2000;
            let acts = rig.at(ms, &[ended(sent[0].0, outcome, 2000)]);
            news.extend(acts.iter().filter_map(|a| match *a {
                Action::SendNote { note: news, .. } => Some(news),
                _ => None,
            }));
            sent = connects(&acts);
        }
        assert_eq!(news, if may_tell { expected } else { &[] }, "{outcome:?}");
    }
}

#[test]
fn a_full_room_makes_way_where_the_destination_is_down() {
    let mut set = Settings { max_mails: 20, slots: 2, ..settings() };
    set.classes[TAGGED].importance = 1.5;
    let mut rig = Rig::new(set, SINGLE, 1, 0.0);
    let other = |endpoint, dest| {
        Input::ListEntry(ListEntry {
            endpoint,
            destination: dest,
            zone: 0,
            kind: SINGLE,
            status: EndpointStatus::Ready,
            rate: 0.0,
        })
    };
    rig.at(0, &[Input::ListBegin { complete: false }, other(1, 1), Input::ListEnd]);
    // Destination 0 finds nobody, again and again; the mails there earn more than those for the other.
    let mut acts = rig.arrive(0, TAGGED, 8);
    for ms in [5, 300, 600, 2000] {
        let ends: Vec<Input> = connects(&acts).iter().map(|c| ended(c.0, Outcome::Unreached, 5)).collect();
        acts = rig.at(ms, &ends);
    }
    assert_eq!(rig.control.health(0), Some(Health::Down));
    // As many for the other as bring the room to its mark and over it.
    let (first, mut gone) = (rig.next, Vec::new());
    for n in 0..14 {
        rig.next += 1;
        let since = SECOND + (2000 + n) * 10;
        let taken = AcceptedMail {
            mail: rig.next - 1,
            destination: 1,
            submitted_at: since,
            deadline: since + 10 * SECOND,
            ..AcceptedMail::default()
        };
        for act in rig.at(2000 + n, &[Input::AcceptedMail(taken)]) {
            if let Action::Defer { mail, .. } | Action::Bounce { mail } = act {
                gone.push(mail);
            }
        }
    }
    assert!(!gone.is_empty() && gone.iter().all(|&mail| mail < first), "{gone:?} of {first}");
}

#[test]
fn what_is_left_of_the_limit_says_how_long_couriers_spread_after_its_refusal() {
    // (left, told wait in ms, longest time until the next call in ms): a hundred couriers, a limit of ten.
    let cases = [(0.0, 0, 5000), (0.5, 0, 500), (0.5, 2500, 7600)];
    let longest = cases.map(|(left, wait, _)| {
        let times = (0..40).map(|seed| {
            let mut set = Settings { seed, couriers: 100, ..settings() };
            set.classes[REDELIVERABLE].importance = 4.0;
            // Under a call a lifetime for each.
            set.classes.iter_mut().for_each(|class| class.lifetime = 9 * SECOND);
            let mut rig = Rig::new(set, SINGLE, 1, 10.0);
            let sent = connects(&rig.arrive(0, REDELIVERABLE, 1));
            let mut end = told(sent[0].0, Outcome::Refused, 20, wait);
            if let Input::ConnectResult(end) = &mut end {
                end.limit_report = Some(LimitReport { remaining: left, limit: 10.0 });
            }
            rig.at(20, &[end]);
            first_sent(&mut rig, 20, 9500).unwrap() - 20
        });
        times.max().unwrap()
    });
    for ((left, wait, most), longest) in cases.into_iter().zip(longest) {
        assert!(longest <= most + 10 && longest > most * 2 / 3, "{left} {wait}: {longest}");
    }
}

#[test]
fn connections_that_would_hardly_be_used_again_are_closed_after_any_answer() {
    // (what a call ends as, mails in the ten seconds before, closed)
    let cases = [
        (Outcome::Relayed, 1, true),
        (Outcome::Refused, 1, true),
        (Outcome::Error, 1, true),
        (Outcome::Relayed, 20, false),
        (Outcome::Unreached, 1, false),
    ];
    for (outcome, mails, closed) in cases {
        let set = Settings { idle_timeout: SECOND, ..settings() };
        let mut rig = Rig::new(set, SINGLE, 1, 0.0);
        let ms = rig.warm(0, 10, mails - 1);
        let sent = connects(&rig.arrive(ms, REDELIVERABLE, 1));
        let acts = rig.at(ms + 20, &[ended(sent[0].0, outcome, 20)]);
        assert_eq!(acts.contains(&Action::CloseIdle(0)), closed, "{outcome:?} {mails}");
    }
}

#[test]
fn a_pace_from_the_start_needs_several_calls_a_target_delay() {
    // Two seconds of target delay, two couriers: a share of one call in it goes by turns, of half a call more than
    // two at a pace; with under a call a lifetime there is neither.
    for (rate, goes) in [(0.15, 3), (1.0, 0), (2.5, 1)] {
        let mut rig = Rig::new(settings(), BATCHED, 1, rate);
        let mut sent = 0;
        for i in 0..3 {
            let acts = rig.arrive(i * 100, REDELIVERABLE, 1);
            sent += connects(&acts).len();
        }
        assert_eq!(sent, goes, "{rate}");
    }
}

#[test]
fn a_connection_that_is_open_is_preferred_where_new_ones_have_a_price() {
    for (price, to) in [(0.0, 1), (0.05, 0)] {
        let set = Settings { handshake_cost: price, ..settings() };
        let mut rig = Rig::new(set, SINGLE, 2, 40.0);
        // Both are measured, the second quicker; long after, a call goes to the first while the second drains.
        let ends: Vec<Input> = connects(&rig.arrive(0, REDELIVERABLE, 2))
            .iter()
            .map(|&(mail, end)| ended(mail, Outcome::Relayed, 100 - 40 * end as Time))
            .collect();
        assert_eq!(ends.len(), 2);
        rig.at(100, &ends);
        let changed =
            |life| [Input::ListBegin { complete: false }, listed(1, SINGLE, life, 40.0), Input::ListEnd];
        rig.at(20_000, &changed(EndpointStatus::Draining));
        let alone = connects(&rig.arrive(20_005, REDELIVERABLE, 1))[0];
        assert_eq!(alone.1, 0);
        rig.at(20_105, &[ended(alone.0, Outcome::Relayed, 100)]);
        rig.at(20_110, &changed(EndpointStatus::Ready));
        assert_eq!(connects(&rig.arrive(20_200, REDELIVERABLE, 1))[0].1, to, "{price}");
    }
}

#[test]
fn refusals_by_an_endpoint_that_never_served_are_backed_off_from_too() {
    // The limit is not listed; nothing was served anywhere, or by a sister alone.
    for served in [false, true] {
        let mut rig = Rig::new(settings(), SINGLE, 2, 0.0);
        let first = rig.arrive(0, REDELIVERABLE, 2);
        let (mut ms, mut refused, mut last) = (100, 0, 0);
        let mut sent = connects(&first);
        if served {
            let (mail, _) = sent.remove(0);
            rig.at(100, &[ended(mail, Outcome::Relayed, 100)]);
        } else {
            sent.truncate(1);
        }
        while ms < 1100 {
            let ends: Vec<Input> = sent.iter().map(|c| ended(c.0, Outcome::Refused, 5)).collect();
            refused += ends.len();
            last = if ends.is_empty() { last } else { ms };
            ms += 5;
            sent = connects(&rig.at(ms, &ends));
        }
        // A tenth of a second, or a quarter of the time to connect, doubling: not one in each round trip.
        assert!((1..=6).contains(&refused), "{served}: {refused}, the last at {last} ms");
    }
}
