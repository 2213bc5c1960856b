//! Each rule's check can fail: a decider that breaks one rule on purpose is detected, with the mail's full
//! history.

use meadowhold::interface::Settings;
use meadowhold_emulator::baselines::{Baseline, InjectedFault, Style};
use meadowhold_emulator::decider::Decider;
use meadowhold_emulator::judge::Rule;
use meadowhold_emulator::scenario::{Figure, Limit, Scenario, Trouble, What};
use meadowhold_emulator::{figures, history};

fn strike(what: What, part: f64, size: f64) -> Trouble {
    let one = Figure::One;
    Trouble { whole: one(1.0), ..Trouble::new(what, one(5.0), one(8.0), one(part), one(size)) }
}

/// A day that puts the rule under stress.
fn day(rule: Rule) -> Scenario {
    let mut s = Scenario { seconds: Figure::One(20.0), ..Scenario::default() };
    s.mails.load = Figure::One(0.7);
    match rule {
        Rule::NoMailLost => {}
        Rule::NoEffectTwice => s.trouble.push(strike(What::Resets, 0.6, 0.6)),
        Rule::DrainsKept => s.trouble.push(strike(What::Drain, 0.4, 1.0)),
        Rule::NotPushedOver => s.trouble.push(strike(What::Crash, 0.4, 1.0)),
        Rule::OrderKept => {
            s.class.iter_mut().for_each(|class| class.in_turn = true);
            s.mails.keys = Figure::One(15.0);
        }
        Rule::WaitsHeeded => {
            s.kind
                .iter_mut()
                .for_each(|kind| (kind.limit, kind.tells_wait) = (Limit::Span, Figure::One(1.0)));
            s.trouble.push(strike(What::Throttle, 0.8, 0.2));
        }
    }
    s
}

#[test]
fn each_rule_is_caught_when_it_is_broken_on_purpose() {
    let cases = [
        (Rule::NoMailLost, InjectedFault::Loses, "never got its final answer"),
        (Rule::NoEffectTwice, InjectedFault::Repeats, "took effect 2 times"),
        (Rule::DrainsKept, InjectedFault::IgnoresDrains, "after it was told of as leaving"),
        (Rule::NotPushedOver, InjectedFault::Floods, "was pushed over"),
        (Rule::OrderKept, InjectedFault::IgnoresOrder, "taken earlier, is not over"),
        (Rule::WaitsHeeded, InjectedFault::IgnoresWaits, "before the end of a told wait"),
    ];
    for (rule, wrong, words) in cases {
        let scenario = day(rule);
        let factory = move |_: usize, set: Settings| -> Box<dyn Decider> {
            Box::new(Baseline::new(set, Style::Gradient, wrong))
        };
        let found = figures(&scenario, 1, &factory);
        let broken = found.broken.iter().find(|b| b.rule == rule);
        let broken = broken.unwrap_or_else(|| panic!("{wrong:?} was not detected: {:?}", found.broken));
        assert!(broken.words.contains(words), "{}", broken.words);
        let told = history(&scenario, 1, &factory, broken.mail);
        assert!(told.iter().any(|line| line.contains("taken on by courier")), "{told:?}");
    }
}

#[test]
fn the_module_keeps_the_rules_on_the_same_days() {
    let rules = [
        Rule::NoMailLost,
        Rule::NoEffectTwice,
        Rule::DrainsKept,
        Rule::NotPushedOver,
        Rule::OrderKept,
        Rule::WaitsHeeded,
    ];
    for rule in rules {
        let found = figures(&day(rule), 1, &meadowhold_emulator::decider::control);
        assert_eq!(found.broken, [], "{rule:?}");
        assert_eq!(found.over_slots, 0, "{rule:?}");
    }
}
