//! The interface of deciders in the emulator: `Control`, and others to compare it with.

use meadowhold::control::{Control, Health};
use meadowhold::interface::{Action, Input, Settings, Time};

/// The true state of the world, for deciders that may see it; real couriers cannot.
pub trait WorldView {
    /// Expected time until the answer to a call sent now, in tenths of a millisecond, and its chance of
    /// success; `None` if it is certain to fail.
    fn answer_in(&self, courier: usize, endpoint: usize, class: usize) -> Option<(f64, f64)>;
}

/// The decisions of one courier, by `Control` or a decider compared with it.
pub trait Decider {
    /// Takes one turn: reads the inputs in order, appends actions to `out`, and returns the latest time for
    /// the next turn.
    fn step(
        &mut self,
        now: Time,
        inputs: &[Input],
        out: &mut Vec<Action>,
        view: &dyn WorldView,
    ) -> Option<Time>;

    /// Whether a call that was decided on may still start.
    fn may_call(&self, endpoint: usize, now: Time) -> bool;

    /// The decider's view of an endpoint's health, for plots; `None` if it keeps none.
    fn health(&self, _endpoint: usize) -> Option<Health> {
        None
    }

    /// For plots: the cap on a destination's calls in flight, those calls, and the parked mails.
    fn destination_load(&self, _dest: usize) -> Option<(usize, usize, usize)> {
        None
    }
}

impl Decider for Control {
    fn step(
        &mut self,
        now: Time,
        inputs: &[Input],
        out: &mut Vec<Action>,
        _: &dyn WorldView,
    ) -> Option<Time> {
        Control::step(self, now, inputs, out)
    }

    fn may_call(&self, endpoint: usize, now: Time) -> bool {
        Control::may_call(self, endpoint, now)
    }

    fn health(&self, endpoint: usize) -> Option<Health> {
        Control::health(self, endpoint)
    }

    fn destination_load(&self, destination: usize) -> Option<(usize, usize, usize)> {
        Control::destination_load(self, destination)
    }
}

/// Creates the decider of one courier process from the courier's index and its settings.
pub type DeciderFactory = dyn Fn(usize, Settings) -> Box<dyn Decider> + Sync;

pub fn control(_: usize, settings: Settings) -> Box<dyn Decider> {
    Box::new(Control::new(settings))
}
