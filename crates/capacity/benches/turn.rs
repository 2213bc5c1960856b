//! Processor time of one turn of the decisions, by the number of known destinations and by the number of
//! mails held: `cargo bench -p meadowhold-capacity --bench turn -- --out FILE.json`. Measures the decisions
//! alone, in simulated time, without sockets, journal or clients. Cargo runs the bench in crates/capacity,
//! and relative paths start there.
#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use fastrand::Rng;
use meadowhold::control::Control;
use meadowhold::interface::{
    AcceptedMail, Action, ConnectResult, Effect, EndpointStatus, Input, Kind, ListEntry, Outcome, QueueClass,
    Settings, Time, SECOND,
};
use meadowhold_rig::slopes::{load_average, Row, Slope};
use serde_json::json;

const DESTINATIONS: [usize; 6] = [100, 1_000, 8_000, 30_000, 100_000, 300_000];
const HELD_MAILS: [usize; 4] = [1_000, 3_000, 10_000, 30_000];
/// Time between turns and mails accepted per turn: 400 mails a second.
const TURN_INTERVAL: Time = 50;
const ARRIVALS_PER_TURN: usize = 2;
/// Share of destinations that are down, as in the target.
const DOWN_SHARE: f64 = 0.023;
const WARM_UP_TURNS: usize = 400;
const MEASURED_TURNS: usize = 4_000;
/// Maximum duration of each measuring phase of one size.
const MAX_DURATION: Duration = Duration::from_secs(3);

fn settings(max_mails: usize) -> Settings {
    let class = QueueClass {
        effect: Effect::Redeliverable,
        dedup_by_zone: false,
        dedup_window: 5 * SECOND,
        target_delay: 2 * SECOND,
        lifetime: 86_400 * SECOND,
        importance: 1.0,
        expiry_importance: 0.0,
        ordered: false,
    };
    Settings {
        seed: 1,
        couriers: 1,
        slots: 64,
        max_mails,
        // Mails that cannot be delivered stay held: no connect is the last one.
        max_connects: 1_000_000_000,
        timer_resolution: TURN_INTERVAL,
        connection_timeout: SECOND,
        idle_timeout: 5 * SECOND,
        cold_capacity: 0.25,
        warm_up: 4 * SECOND,
        overload_multiple: 2.0,
        overload_duration: 2 * SECOND,
        ordering_gap: 6 * SECOND / 10,
        list_has_rates: true,
        kinds: vec![Kind { max_batch: 1, per_endpoint_limits: false }],
        classes: vec![class],
        ..Settings::default()
    }
}

/// The decisions with simulated endpoints that answer by the next turn; the first `down` destinations are
/// unreachable.
struct Simulation {
    control: Control,
    down: usize,
    now: Time,
    next_mail: usize,
    free_mails: Vec<usize>,
    /// The destination of each mail, by mail index.
    destination_of: Vec<usize>,
    inputs: Vec<Input>,
    actions: Vec<Action>,
    relayed: usize,
    unreached: usize,
    given_up: usize,
}

impl Simulation {
    fn new(destinations: usize, down: usize, max_mails: usize) -> Simulation {
        let listed = |destination| {
            Input::ListEntry(ListEntry {
                endpoint: destination,
                destination,
                zone: 0,
                kind: 0,
                status: EndpointStatus::Ready,
                rate: 1000.0,
            })
        };
        let inputs = std::iter::once(Input::ListBegin { complete: true })
            .chain((0..destinations).map(listed))
            .chain([Input::ListEnd])
            .collect();
        Simulation {
            control: Control::new(settings(max_mails)),
            down,
            now: SECOND,
            next_mail: 0,
            free_mails: Vec::new(),
            destination_of: Vec::new(),
            inputs,
            actions: Vec::new(),
            relayed: 0,
            unreached: 0,
            given_up: 0,
        }
    }

    fn accept(&mut self, destination: usize) {
        let mail = self.free_mails.pop().unwrap_or_else(|| {
            self.next_mail += 1;
            self.destination_of.push(0);
            self.next_mail - 1
        });
        self.destination_of[mail] = destination;
        let (submitted_at, deadline) = (self.now, self.now + 86_400 * SECOND);
        self.inputs.push(Input::AcceptedMail(AcceptedMail {
            mail,
            destination,
            submitted_at,
            deadline,
            ..AcceptedMail::default()
        }));
    }

    fn turn(&mut self) {
        let inputs = std::mem::take(&mut self.inputs);
        self.control.step(self.now, &inputs, &mut self.actions);
        self.now += TURN_INTERVAL;
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Connect { mail, .. } => {
                    let is_down = self.destination_of[mail] < self.down;
                    let (outcome, finished) =
                        if is_down { (Outcome::Unreached, false) } else { (Outcome::Relayed, true) };
                    self.relayed += usize::from(finished);
                    self.unreached += usize::from(is_down);
                    let (retry_after, duration, reused_connection, limit_report) =
                        (0, TURN_INTERVAL, false, None);
                    self.inputs.push(Input::ConnectResult(ConnectResult {
                        mail,
                        outcome,
                        finished,
                        retry_after,
                        duration,
                        reused_connection,
                        limit_report,
                    }));
                }
                Action::Defer { .. } | Action::Bounce { .. } => self.given_up += 1,
                Action::FreeMail(mail) => self.free_mails.push(mail),
                _ => {}
            }
        }
    }

    /// Mean processor time of a turn in microseconds, over many turns with mails for destinations that are
    /// up.
    fn measure(&mut self, destinations: usize) -> Result<(f64, String), String> {
        let mut rng = Rng::with_seed(destinations as u64);
        let mut run_turns = |simulation: &mut Simulation, limit: usize| {
            let (start, mut count) = (Instant::now(), 0);
            while count < limit && start.elapsed() < MAX_DURATION {
                (0..ARRIVALS_PER_TURN)
                    .for_each(|_| simulation.accept(rng.usize(simulation.down..destinations)));
                simulation.turn();
                count += 1;
            }
            count
        };
        run_turns(self, WARM_UP_TURNS);
        let (before, relayed, unreached) = (thread_cpu_seconds()?, self.relayed, self.unreached);
        let count = run_turns(self, MEASURED_TURNS);
        let used = thread_cpu_seconds()? - before;
        let (relayed, unreached) = (self.relayed - relayed, self.unreached - unreached);
        if relayed == 0 {
            return Err("no mail was relayed".to_string());
        }
        let summary = format!(
            "{count} turns, {relayed} delivered, {unreached} attempts refused, {} given up",
            self.given_up
        );
        Ok((used * 1e6 / count as f64, summary))
    }
}

/// Processor time of this thread in seconds.
fn thread_cpu_seconds() -> Result<f64, String> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").map_err(|e| e.to_string())?;
    let first = text.split_whitespace().next().and_then(|nanoseconds| nanoseconds.parse::<f64>().ok());
    first
        .map(|nanoseconds| nanoseconds / 1e9)
        .ok_or_else(|| "/proc/thread-self/schedstat has no processor time".to_string())
}

fn by_destinations(destinations: usize) -> Result<(f64, String), String> {
    Simulation::new(destinations, 0, 10_000).measure(destinations)
}

/// Holds this many mails for the 2.3% of all destinations that are down.
fn by_held_mails(mails: usize) -> Result<(f64, String), String> {
    let destinations = DESTINATIONS[DESTINATIONS.len() - 1];
    let down = (destinations as f64 * DOWN_SHARE) as usize;
    let mut simulation = Simulation::new(destinations, down, 2 * mails + 10_000);
    (0..mails).for_each(|mail| simulation.accept(mail % down));
    simulation.measure(destinations)
}

type Measure = fn(usize) -> Result<(f64, String), String>;

const SLOPES: [(&str, &str, &[usize], Measure); 2] = [
    ("turn", "destinations", &DESTINATIONS, by_destinations),
    ("turn-held", "messages held", &HELD_MAILS, by_held_mails),
];

fn run() -> Result<(), String> {
    let mut arguments = pico_args::Arguments::from_env();
    // Guards against a minute of load when benches are only checked, as by `cargo test --all-targets`.
    if !arguments.contains("--bench") {
        println!("turn: run by cargo bench");
        return Ok(());
    }
    let out: Option<PathBuf> = arguments.opt_value_from_str("--out").map_err(|e| e.to_string())?;
    if let Some(rest) = arguments.finish().first() {
        return Err(format!("unexpected argument: {}", rest.to_string_lossy()));
    }
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let machine = json!({"cores": cores, "load_at_start": load_average()});
    let command = "cargo bench -p meadowhold-capacity --bench turn";
    let mut slopes = Vec::new();
    for (name, of, sizes, measure) in SLOPES {
        let mut rows = Vec::new();
        for &size in sizes {
            let (value, summary) = measure(size)?;
            eprintln!("{name} at {size}: {value} us, {summary}");
            rows.push(Row::new(size, value, summary));
        }
        let unit = "us of processor a turn, two messages coming in at each";
        let slope = Slope::new((name, "linked"), (of, unit), command, rows, "the bench's largest size");
        println!("{}", slope.table());
        slopes.push(slope);
    }
    if let Some(out) = out {
        let text = serde_json::to_string_pretty(&json!({"machine": machine, "slopes": slopes}));
        std::fs::write(&out, text.map_err(|e| e.to_string())? + "\n")
            .map_err(|e| format!("{}: {e}", out.display()))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("turn: {message}");
            ExitCode::FAILURE
        }
    }
}
