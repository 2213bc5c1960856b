//! A seed determines the day and its run, whatever runs beside it.

use meadowhold::interface::Settings;
use meadowhold_emulator::baselines::{Baseline, InjectedFault, Style};
use meadowhold_emulator::day::Day;
use meadowhold_emulator::decider::{control, Decider, DeciderFactory};
use meadowhold_emulator::figures::Figures;
use meadowhold_emulator::oracle::Oracle;
use meadowhold_emulator::scenario::{Figure, Scenario, Shape, Trouble, What};
use meadowhold_emulator::world::Options;
use meadowhold_emulator::{figures, run};

fn troubled(what: What, size: f64) -> Scenario {
    let mut s = Scenario { seconds: Figure::One(15.0), ..Scenario::default() };
    s.mails.shape = Shape::Wave;
    let (at, part) = (Figure::Between([4.0, 6.0]), Figure::One(0.3));
    s.trouble.push(Trouble::new(what, at, Figure::One(5.0), part, Figure::One(size)));
    s
}

#[test]
fn a_day_is_the_same_on_one_thread_and_on_four() {
    for scenario in [Scenario::default(), troubled(What::Hang, 1.0), troubled(What::Kill, 1.0)] {
        let alone = figures(&scenario, 3, &control);
        let beside: Vec<Figures> = std::thread::scope(|scope| {
            let runs: Vec<_> = (0..4).map(|_| scope.spawn(|| figures(&scenario, 3, &control))).collect();
            runs.into_iter().map(|run| run.join().expect("a run panicked")).collect()
        });
        assert!(beside.iter().all(|other| *other == alone), "{}", alone.trace);
        assert_ne!(alone.trace, figures(&scenario, 4, &control).trace);
    }
}

#[test]
fn what_a_decider_does_moves_no_draw_of_the_day() {
    let scenario = troubled(What::Errors, 0.8);
    let shared = |_: usize, set: Settings| -> Box<dyn Decider> {
        Box::new(Baseline::new(set, Style::SharedPool, InjectedFault::Nothing))
    };
    let asked = |factory: &DeciderFactory| -> Vec<(u64, u32, u16)> {
        let ended = run(&scenario, 5, factory, Options::default());
        ended.mails.iter().map(|m| (m.created_at, m.destination, m.class)).collect()
    };
    assert_eq!(asked(&control), asked(&shared));
}

#[test]
fn taking_a_trouble_out_leaves_the_others_as_they_were() {
    let mut scenario = troubled(What::Hang, 1.0);
    scenario.trouble.push(Trouble { mark: Some(1), ..scenario.trouble[0].clone() });
    let both = Day::draw(&scenario, 9);
    scenario.trouble.remove(0);
    let one = Day::draw(&scenario, 9);
    assert_eq!(both.troubles[1].endpoints, one.troubles[0].endpoints);
    assert_eq!(both.troubles[1].from, one.troubles[0].from);
}

#[test]
fn every_trouble_can_strike_and_is_over_afterwards() {
    let troubles = [
        (What::Crash, 1.0),
        (What::Hang, 1.0),
        (What::Slow, 8.0),
        (What::Pauses, 300.0),
        (What::Errors, 0.9),
        (What::ClassErrors, 0.9),
        (What::Shut, 1.0),
        (What::Throttle, 0.2),
        (What::Resets, 0.7),
        (What::HalfOpen, 1.0),
        (What::LostAnswers, 0.5),
        (What::IdleClose, 0.2),
        (What::Replace, 1.0),
        (What::Drain, 1.0),
        (What::Flap, 1.0),
        (What::Kill, 1.0),
        (What::Roll, 2.0),
        (What::HotCaller, 0.7),
        (What::HallShift, 0.8),
        (What::Burst, 2.0),
        (What::ListLag, 4.0),
        (What::ListStall, 1.0),
        (What::ListLies, 1.0),
        (What::ListEmpty, 1.0),
        (What::LinkCut, 1.0),
        (What::LinkOneWay, 1.0),
        (What::ClockStep, 800.0),
    ];
    let quiet = figures(&Scenario { seconds: Figure::One(15.0), ..Scenario::default() }, 2, &control);
    for (what, size) in troubles {
        let found = figures(&troubled(what, size), 2, &control);
        assert_ne!(found.trace, quiet.trace, "{what:?} had no effect");
        assert!(found.relayed * 2 > found.mails, "{what:?}: {} of {}", found.relayed, found.mails);
        assert_eq!(found.over_slots, 0, "{what:?}");
    }
}

#[test]
fn the_oracle_does_no_worse_than_the_module() {
    for (what, size) in [(What::Hang, 1.0), (What::Crash, 1.0), (What::Slow, 8.0), (What::Burst, 2.0)] {
        let scenario = troubled(what, size);
        let mean = |factory: &DeciderFactory| {
            (1..=4).map(|seed| figures(&scenario, seed, factory).whole).sum::<f64>()
        };
        let oracle = mean(&|courier, set| Box::new(Oracle::new(set, courier)));
        let module = mean(&control);
        assert!(oracle + 0.04 > module, "{what:?}: oracle {oracle}, module {module}, summed over four days");
        let found = figures(&scenario, 1, &control);
        assert!(found.whole <= found.bound + 1e-9, "service {} above the bound {}", found.whole, found.bound);
    }
}
