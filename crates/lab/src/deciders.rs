//! Deciders by name: the control module, the oracle and the baselines.

use meadowhold::interface::Settings;
use meadowhold_emulator::baselines::{Baseline, InjectedFault, Style};
use meadowhold_emulator::decider::{control, Decider, DeciderFactory};
use meadowhold_emulator::oracle::Oracle;
use xxhash_rust::xxh3::xxh3_64;

pub const CONTROL: &str = "control";
pub const ORACLE: &str = "oracle";

/// Returns all deciders, as names and descriptions.
pub fn all() -> Vec<(&'static str, &'static str)> {
    let mut all = vec![
        (CONTROL, "the module that the courier runs"),
        (ORACLE, "sees the true state of all: the ceiling"),
    ];
    all.extend(Style::ALL.iter().map(|(name, style)| {
        let description = match style {
            Style::OneTry => "each mail once, to an endpoint at random",
            Style::SharedPool => "one pool of slots, in order of arrival",
            Style::FixedCap => "a quarter of the slots for each destination",
            Style::Gradient => "a limit for each destination by latency and failure",
            Style::Ejection => "endpoints out after five failures, a fifth of retries",
        };
        (*name, description)
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
        format!("unknown decider {name:?}; known deciders are {}", names.join(", "))
    })?;
    Ok(Box::new(move |_: usize, set: Settings| -> Box<dyn Decider> {
        Box::new(Baseline::new(set, style, InjectedFault::Nothing))
    }))
}

/// Identifies the build of the control module: the package version and a hash of `control.rs` and `state.rs` as
/// compiled. It is part of the key of a run.
pub fn build_id() -> String {
    let text = concat!(include_str!("../../../src/control.rs"), include_str!("../../../src/state.rs"));
    format!("{}+{:08x}", env!("CARGO_PKG_VERSION"), xxh3_64(text.as_bytes()) as u32)
}
