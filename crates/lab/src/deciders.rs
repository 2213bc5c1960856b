//! The deciders by name.

use meadowhold::interface::Settings;
use meadowhold_emulator::baselines::{Baseline, InjectedFault, Style};
use meadowhold_emulator::decider::{control, Decider, DeciderFactory};
use meadowhold_emulator::oracle::Oracle;
use xxhash_rust::xxh3::xxh3_64;

pub const CONTROL: &str = "control";
pub const ORACLE: &str = "oracle";

/// Names and what they stand for.
pub fn all() -> Vec<(&'static str, &'static str)> {
    let mut all = vec![
        (CONTROL, "the module that the courier runs"),
        (ORACLE, "sees the true state of all: the ceiling"),
    ];
    all.extend(Style::ALL.iter().map(|(name, style)| {
        let words = match style {
            Style::OneTry => "each mail once, to an endpoint at random",
            Style::SharedPool => "one pool of slots, in order of arrival",
            Style::FixedCap => "a quarter of the slots for each destination",
            Style::Gradient => "a limit for each destination by latency and failure",
            Style::Ejection => "endpoints out after five failures, a fifth of retries",
        };
        (*name, words)
    }));
    all
}

pub fn maker(name: &str) -> Result<Box<DeciderFactory>, String> {
    if name == CONTROL {
        return Ok(Box::new(control));
    }
    if name == ORACLE {
        return Ok(Box::new(|courier: usize, set: Settings| -> Box<dyn Decider> {
            Box::new(Oracle::new(set, courier))
        }));
    }
    let style = Style::ALL.iter().find(|(style, _)| *style == name).map(|(_, style)| *style);
    let style = style.ok_or_else(|| {
        let names: Vec<&str> = all().iter().map(|(name, _)| *name).collect();
        format!("no decider {name:?}; there are {}", names.join(", "))
    })?;
    Ok(Box::new(move |_: usize, set: Settings| -> Box<dyn Decider> {
        Box::new(Baseline::new(set, style, InjectedFault::Nothing))
    }))
}

/// Which text decides: the version, and a fingerprint of the module's files as they were built.
pub fn build() -> String {
    let text = concat!(include_str!("../../../src/control.rs"), include_str!("../../../src/state.rs"));
    format!("{}+{:08x}", env!("CARGO_PKG_VERSION"), xxh3_64(text.as_bytes()) as u32)
}
