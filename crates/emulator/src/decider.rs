//! What may decide in the emulator: the module itself, and others beside it for comparison.

use meadowhold::control::{Control, Health};
use meadowhold::interface::{Action, Input, Settings, Time};

/// The true state of the world, for deciders that are allowed to see it; no courier is.
pub trait WorldView {
    /// Time until the answer of a call that would go out now, in tenths of a millisecond, and the chance that it is
    /// served; nothing if it would surely fail.
    fn answer_in(&self, courier: usize, endpoint: usize, class: usize) -> Option<(f64, f64)>;
}

/// One courier's decisions: `Control`, or what is compared with it.
pub trait Decider {
    /// One turn: inputs in order, actions into the buffer; returns when the next turn is wanted at the latest.
    fn step(
        &mut self,
        now: Time,
        inputs: &[Input],
        out: &mut Vec<Action>,
        view: &dyn WorldView,
    ) -> Option<Time>;

    /// Whether a call that was decided on may still begin.
    fn may_call(&self, endpoint: usize, now: Time) -> bool;

    /// What is held of an endpoint, for plots; nothing where no standing is kept.
    fn health(&self, _endpoint: usize) -> Option<Health> {
        None
    }

    /// The cap on a destination's calls in flight, the calls and the mails parked, for plots.
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

/// Makes the decider of one courier's process: its number, its settings.
pub type DeciderFactory = dyn Fn(usize, Settings) -> Box<dyn Decider> + Sync;

pub fn control(_: usize, settings: Settings) -> Box<dyn Decider> {
    Box::new(Control::new(settings))
}
