//! What one turn of the decisions costs in processor time, by the destinations that are known and by the
//! messages that are held: `cargo bench -p meadowhold-capacity --bench turn -- --out FILE.json`. The decisions
//! alone, in simulated time, without sockets, journal or doors; Cargo runs it in crates/capacity: paths begin
//! there.
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
const HELD: [usize; 4] = [1_000, 3_000, 10_000, 30_000];
/// From one turn to the next, and what comes in at each: 400 messages a second.
const STEP: Time = 50;
const COMING: usize = 2;
/// Of the destinations, as many are down as of the target's.
const DOWN: f64 = 0.023;
const WARM: usize = 400;
const TURNS: usize = 4_000;
/// A size is looked at no longer.
const LONGEST: Duration = Duration::from_secs(3);

fn settings(room: usize) -> Settings {
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
        max_mails: room,
        // What cannot be delivered stays held: no attempt is the last one.
        max_connects: 1_000_000_000,
        timer_resolution: STEP,
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

/// The decisions among endpoints that answer in the next turn; those of the first `down` destinations refuse.
struct World {
    control: Control,
    down: usize,
    now: Time,
    next: usize,
    free: Vec<usize>,
    /// Of the messages by their indices: their destinations.
    of: Vec<usize>,
    inputs: Vec<Input>,
    actions: Vec<Action>,
    delivered: usize,
    refused: usize,
    given_up: usize,
}

impl World {
    fn new(destinations: usize, down: usize, room: usize) -> World {
        let listed = |dest| {
            Input::ListEntry(ListEntry {
                endpoint: dest,
                destination: dest,
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
        World {
            control: Control::new(settings(room)),
            down,
            now: SECOND,
            next: 0,
            free: Vec::new(),
            of: Vec::new(),
            inputs,
            actions: Vec::new(),
            delivered: 0,
            refused: 0,
            given_up: 0,
        }
    }

    fn take(&mut self, dest: usize) {
        let mail = self.free.pop().unwrap_or_else(|| {
            self.next += 1;
            self.of.push(0);
            self.next - 1
        });
        self.of[mail] = dest;
        let (since, due) = (self.now, self.now + 86_400 * SECOND);
        self.inputs.push(Input::AcceptedMail(AcceptedMail {
            mail,
            destination: dest,
            submitted_at: since,
            deadline: due,
            ..AcceptedMail::default()
        }));
    }

    fn turn(&mut self) {
        let inputs = std::mem::take(&mut self.inputs);
        self.control.step(self.now, &inputs, &mut self.actions);
        self.now += STEP;
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Connect { mail, .. } => {
                    let refuses = self.of[mail] < self.down;
                    let (outcome, over) =
                        if refuses { (Outcome::Unreached, false) } else { (Outcome::Relayed, true) };
                    self.delivered += usize::from(over);
                    self.refused += usize::from(refuses);
                    let (wait, took, kept, report) = (0, STEP, false, None);
                    self.inputs.push(Input::ConnectResult(ConnectResult {
                        mail,
                        outcome,
                        finished: over,
                        retry_after: wait,
                        duration: took,
                        reused_connection: kept,
                        limit_report: report,
                    }));
                }
                Action::Defer { .. } | Action::Bounce { .. } => self.given_up += 1,
                Action::FreeMail(mail) => self.free.push(mail),
                _ => {}
            }
        }
    }

    /// Processor time of a turn, in microseconds, over many of them with messages for what is up.
    fn look(&mut self, destinations: usize) -> Result<(f64, String), String> {
        let mut chance = Rng::with_seed(destinations as u64);
        let mut turns = |world: &mut World, most: usize| {
            let (start, mut count) = (Instant::now(), 0);
            while count < most && start.elapsed() < LONGEST {
                (0..COMING).for_each(|_| world.take(chance.usize(world.down..destinations)));
                world.turn();
                count += 1;
            }
            count
        };
        turns(self, WARM);
        let (before, delivered, refused) = (ran()?, self.delivered, self.refused);
        let count = turns(self, TURNS);
        let used = ran()? - before;
        let (delivered, refused) = (self.delivered - delivered, self.refused - refused);
        if delivered == 0 {
            return Err("nothing was delivered".to_string());
        }
        let words = format!(
            "{count} turns, {delivered} delivered, {refused} attempts refused, {} given up",
            self.given_up
        );
        Ok((used * 1e6 / count as f64, words))
    }
}

/// Seconds that this thread has been on a processor.
fn ran() -> Result<f64, String> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").map_err(|e| e.to_string())?;
    let first = text.split_whitespace().next().and_then(|nanoseconds| nanoseconds.parse::<f64>().ok());
    first.map(|nanoseconds| nanoseconds / 1e9).ok_or_else(|| "no processor time is told".to_string())
}

fn by_destinations(destinations: usize) -> Result<(f64, String), String> {
    World::new(destinations, 0, 10_000).look(destinations)
}

/// So many messages held for 2.3 hundredths of all destinations of the target.
fn by_held(held: usize) -> Result<(f64, String), String> {
    let destinations = DESTINATIONS[DESTINATIONS.len() - 1];
    let down = (destinations as f64 * DOWN) as usize;
    let mut world = World::new(destinations, down, 2 * held + 10_000);
    (0..held).for_each(|message| world.take(message % down));
    world.look(destinations)
}

type Measure = fn(usize) -> Result<(f64, String), String>;

const SLOPES: [(&str, &str, &[usize], Measure); 2] = [
    ("turn", "destinations", &DESTINATIONS, by_destinations),
    ("turn-held", "messages held", &HELD, by_held),
];

fn run() -> Result<(), String> {
    let mut arguments = pico_args::Arguments::from_env();
    // Guards against a minute of load where benches are only tried, as by `cargo test --all-targets`.
    if !arguments.contains("--bench") {
        println!("turn: run by cargo bench");
        return Ok(());
    }
    let out: Option<PathBuf> = arguments.opt_value_from_str("--out").map_err(|e| e.to_string())?;
    if let Some(rest) = arguments.finish().first() {
        return Err(format!("what is {}?", rest.to_string_lossy()));
    }
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let machine = json!({"cores": cores, "load_at_start": load_average()});
    let command = "cargo bench -p meadowhold-capacity --bench turn";
    let mut slopes = Vec::new();
    for (name, of, sizes, measure) in SLOPES {
        let mut rows = Vec::new();
        for &size in sizes {
            let (value, seen) = measure(size)?;
            eprintln!("{name} at {size}: {value} us, {seen}");
            rows.push(Row::new(size, value, seen));
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
        Err(words) => {
            eprintln!("turn: {words}");
            ExitCode::FAILURE
        }
    }
}
