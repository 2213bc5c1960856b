//! Measures the slopes of one courier: `cargo bench -p meadowhold-rig --bench slopes -- --what list --out FILE.json`.
//! Several `--binary [NAME=]PATH` are measured alternately, size by size; without this option, the courier of the
//! current source is built. `--sizes N,N,...` limits each slope to these sizes. Cargo runs the bench in crates/rig, and
//! relative paths start there.
#![forbid(unsafe_code)]

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use meadowhold_rig::scripted::Endpoint;
use meadowhold_rig::slopes::{
    become_courier, config, load_average, request_end, Client, Courier, Deadline, RefusingAddress, Registry,
    Row, Slope, Stopped, BECOME_COURIER, MAX_SLOPE_TIME,
};
use serde_json::json;

/// Sizes of lists, up to that of the whole world.
const DESTINATIONS: [usize; 8] = [100, 300, 1_000, 3_000, 8_000, 30_000, 100_000, 300_000];
const HELD_MAILS: [usize; 6] = [500, 1_500, 5_000, 15_000, 50_000, 200_000];
const REWRITE_MAILS: [usize; 5] = [1_000, 3_000, 10_000, 30_000, 100_000];
/// The number of unreachable destinations over which held mails are distributed.
const UNREACHABLE: usize = 100;
/// Time limit for a courier to apply its first list.
const LIST_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval over which a courier's processor time is measured.
const MEASURING_TIME: Duration = Duration::from_secs(10);
/// Time limit for four rewrites of the journal.
const REWRITE_TIMEOUT: Duration = Duration::from_secs(100);
/// Mails per second of all clients together, and the number of clients.
const RATE: usize = 400;
const CLIENTS: usize = 4;
const CHANGES_A_SECOND: u32 = 20;
/// Folder limit in MB with room for the list of the whole world: a courier may use 8% of its folder for the list.
const LISTS_MB: f64 = 1_000.0;
/// A courier that is running or runnable for more than this fraction of the time does not keep up.
const SATURATED: f64 = 0.95;

type Names = &'static [(&'static str, &'static str, &'static str)];

/// Slopes measured by the same runs, each with its name and the units of size and value.
struct Sweep {
    slopes: Names,
    sizes: &'static [usize],
    measure: fn(&Path, usize, Deadline) -> Result<Vec<Measured>, Stopped>,
}

/// One value of a run with further observations, or the reason why there is none at this size, which ends its slope.
type Measured = Result<(f64, String), Stopped>;

const SWEEPS: [Sweep; 5] = [
    Sweep {
        slopes: &[
            ("list", "entries", "s of processor from the start until the last entry is known"),
            ("list-refused", "entries", "of a core while the list is refused"),
            ("memory", "destinations", "bytes resident, idle"),
            ("idle", "destinations", "of a core, idle"),
            ("memory-most", "destinations", "bytes resident at the most, the list taken up"),
            ("list-bytes", "entries", "bytes of the whole list, as sent"),
            ("list-file", "entries", "bytes of the kept list on file"),
        ],
        sizes: &DESTINATIONS,
        measure: measure_lists,
    },
    Sweep {
        slopes: &[("message", "destinations", "us of processor a message, at 400 a second")],
        sizes: &DESTINATIONS,
        measure: measure_messages,
    },
    Sweep {
        slopes: &[
            ("change", "destinations", "ms of processor a change of the list, at 20 a second, less idle"),
            ("change-bytes", "destinations", "bytes a change on the watch"),
        ],
        sizes: &DESTINATIONS,
        measure: measure_changes,
    },
    Sweep {
        slopes: &[
            ("held", "messages held", "of a core, all destinations unreachable"),
            ("held-memory", "messages held", "bytes resident"),
            ("held-file", "messages held", "bytes of the journal"),
            ("held-taking", "messages held", "s of processor to take them on"),
            ("start", "messages held", "s from the start after SIGKILL to the first PONG"),
        ],
        sizes: &HELD_MAILS,
        measure: measure_held,
    },
    Sweep {
        slopes: &[
            ("rewriting", "messages held", "s of the longest stall while the journal is written anew"),
            ("rewriting-bytes", "messages held", "bytes rewritten a byte taken on"),
        ],
        sizes: &REWRITE_MAILS,
        measure: measure_rewrites,
    },
];

fn no_value(words: &str) -> Measured {
    Err(Stopped(words.to_string()))
}

/// A courier with its stand-ins, and the processor time that it used until it knew the last entry of its list.
struct StartedCourier {
    registry: Registry,
    courier: Courier,
    /// `None` if it did not know the entry within `LIST_TIMEOUT`.
    known: Option<f64>,
}

fn start_with_list(
    binary: &Path,
    deadline: Deadline,
    registry: Registry,
    last: usize,
    (room, disk_mb): (usize, f64),
) -> Result<StartedCourier, Stopped> {
    let discovery = registry.address;
    let start = Instant::now();
    let mut courier = Courier::start(binary, |listen| config(listen, discovery, room, disk_mb))?;
    courier.ready(deadline, start, LIST_TIMEOUT)?;
    let (mut client, mut known) = (Client::connect(courier.listen, u32::MAX)?, None);
    while known.is_none() && start.elapsed() < LIST_TIMEOUT {
        deadline.sleep(Duration::from_millis(20))?;
        courier.check()?;
        if client.hand_in([last].into_iter())?.taken == 1 {
            known = Some(courier.processor_use()?.processor);
        }
    }
    Ok(StartedCourier { registry, courier, known })
}

impl StartedCourier {
    /// # Errors
    /// If the list was not applied.
    fn require_list(self) -> Result<StartedCourier, Stopped> {
        match self.known {
            Some(_) => Ok(self),
            None => Err(Stopped("the list is refused whole".to_string())),
        }
    }
}

fn measure_lists(binary: &Path, destinations: usize, deadline: Deadline) -> Result<Vec<Measured>, Stopped> {
    let endpoint = Endpoint::new(&[]);
    let registry = Registry::new(destinations, endpoint.address)?;
    let StartedCourier { registry, courier, known } =
        start_with_list(binary, deadline, registry, destinations, (1_000, LISTS_MB))?;
    let first_bytes = registry.request_counts().whole_bytes;
    // The list is stored a second after it was applied.
    deadline.sleep(Duration::from_secs(3))?;
    let (asked, resident, before) =
        (registry.request_counts(), courier.resident()?, courier.processor_use()?);
    deadline.sleep(MEASURING_TIME)?;
    let (after, end) = (courier.processor_use()?, registry.request_counts());
    let share = after.share_since(before);
    let seconds = (after.at - before.at).as_secs_f64();
    let asks = (end.asks - asked.asks) as f64 / seconds;
    let bytes = (end.whole_bytes + end.watch_bytes - asked.whole_bytes - asked.watch_bytes) as f64 / seconds;
    let words = format!("{asks:.1} asks, {bytes:.0} bytes sent a second");
    let length = format!("{} bytes sent", asked.whole_bytes / asked.asks.max(1));
    let kept = courier.stored_list_size().map(|bytes| (bytes as f64, String::new()));
    Ok(match known {
        Some(taken) => vec![
            Ok((taken, String::new())),
            no_value("taken whole"),
            Ok((resident as f64, String::new())),
            Ok((share, words)),
            Ok((courier.peak_resident()? as f64, String::new())),
            Ok((first_bytes as f64, String::new())),
            kept,
        ],
        None => {
            let refused = "the list is refused whole";
            vec![
                no_value(refused),
                Ok((share, format!("{words}; {length} an ask"))),
                no_value(refused),
                no_value(refused),
                no_value(refused),
                no_value(refused),
                no_value(refused),
            ]
        }
    })
}

fn measure_messages(
    binary: &Path,
    destinations: usize,
    deadline: Deadline,
) -> Result<Vec<Measured>, Stopped> {
    let endpoint = Endpoint::new(&[]);
    let registry = Registry::new(destinations, endpoint.address)?;
    let held =
        start_with_list(binary, deadline, registry, destinations, (10_000, LISTS_MB))?.require_list()?;
    let listen = held.courier.listen;
    let delivered = || endpoint.calls.lock().map_or(0, |calls| calls.len());
    let (warm, end) = (Duration::from_secs(2), Duration::from_secs(2) + MEASURING_TIME);
    let start = Instant::now();
    let load = |number: usize| {
        let mut chance = fastrand::Rng::with_seed(number as u64);
        let mut client = Client::connect(listen, number as u32)?;
        let gap = Duration::from_secs(1) * CLIENTS as u32 / RATE as u32;
        let (mut at, mut taken, mut others) = (gap * number as u32 / CLIENTS as u32, 0, 0);
        while at < end {
            deadline.check()?;
            std::thread::sleep(at.saturating_sub(start.elapsed()));
            let heard = client.hand_in([chance.usize(1..=destinations)].into_iter())?;
            (taken, others) = (taken + heard.taken, others + heard.busy + heard.failed);
            at += gap;
        }
        Ok::<_, Stopped>((taken, others))
    };
    let (tally, used) = std::thread::scope(|scope| {
        let load = &load;
        let clients: Vec<_> = (0..CLIENTS).map(|number| scope.spawn(move || load(number))).collect();
        let look = || {
            deadline.sleep(warm.saturating_sub(start.elapsed()))?;
            let before = (held.courier.processor_use()?, delivered());
            deadline.sleep(MEASURING_TIME)?;
            Ok::<_, Stopped>((before, (held.courier.processor_use()?, delivered())))
        };
        let used = look();
        let mut tally = (0, 0);
        for client in clients {
            let (taken, others) = client.join().map_err(|_| Stopped("a client has failed".to_string()))??;
            tally = (tally.0 + taken, tally.1 + others);
        }
        Ok::<_, Stopped>((tally, used?))
    })?;
    let ((before, had), (after, has)) = used;
    let count = has - had;
    if count == 0 {
        return Err(Stopped("nothing was delivered".to_string()));
    }
    let cost = (after.processor - before.processor) * 1e6 / count as f64;
    let rate = count as f64 / (after.at - before.at).as_secs_f64();
    let wanted = after.runnable_share_since(before);
    let words = format!(
        "{rate:.0} delivered a second, {} refused of {}; ran or in line for a core {wanted:.2} of the time",
        tally.1,
        tally.0 + tally.1
    );
    Ok(vec![Ok((cost, words))])
}

fn measure_changes(binary: &Path, destinations: usize, deadline: Deadline) -> Result<Vec<Measured>, Stopped> {
    let endpoint = Endpoint::new(&[]);
    let registry = Registry::new(destinations, endpoint.address)?;
    let StartedCourier { registry, courier, .. } =
        start_with_list(binary, deadline, registry, destinations, (1_000, LISTS_MB))?.require_list()?;
    deadline.sleep(Duration::from_secs(3))?;
    let before = courier.processor_use()?;
    deadline.sleep(MEASURING_TIME / 2)?;
    let (idle, asked) = (courier.processor_use()?, registry.request_counts());
    let mut chance = fastrand::Rng::with_seed(destinations as u64);
    let count = CHANGES_A_SECOND * MEASURING_TIME.as_secs() as u32;
    for number in 0..count {
        deadline
            .sleep((idle.at + MEASURING_TIME * number / count).saturating_duration_since(Instant::now()))?;
        registry.change(chance.usize(1..=destinations), endpoint.address, 500.0 + 1000.0 * chance.f64());
    }
    deadline.sleep((idle.at + MEASURING_TIME).saturating_duration_since(Instant::now()))?;
    let (after, end) = (courier.processor_use()?, registry.request_counts());
    let share = after.share_since(idle) - idle.share_since(before);
    let cost = share * (after.at - idle.at).as_secs_f64() * 1e3 / f64::from(count);
    let bytes = (end.watch_bytes - asked.watch_bytes) as f64 / f64::from(count);
    // If the watch was lost, the courier has requested the whole list, which is no cost of a change.
    let asks = end.asks - asked.asks;
    if asks > 0 {
        let words = format!("{asks} asks meanwhile: the watch was lost");
        return Ok(vec![no_value(&words), no_value(&words)]);
    }
    let words = format!("{:.4} of a core; idle {:.4}", after.share_since(idle), idle.share_since(before));
    Ok(vec![Ok((cost, words)), Ok((bytes, String::new()))])
}

/// Stored size of a held mail in bytes according to `journal::max_stored_size`, by which the courier computes its
/// capacity.
const STORED_MAIL_BYTES: f64 = 340.0;

/// Hands in mails for the destinations 1 to `UNREACHABLE` in turn until `count` of them have been taken.
fn fill(courier: &mut Courier, count: usize, deadline: Deadline) -> Result<(), Stopped> {
    let mut client = Client::connect(courier.listen, u32::MAX - 1)?;
    let (mut taken, mut last) = (0, Instant::now());
    while taken < count {
        deadline.check()?;
        courier.check()?;
        let some = (taken..count).take(64).map(|number| 1 + number % UNREACHABLE);
        let heard = client.hand_in(some)?;
        if heard.taken > 0 {
            last = Instant::now();
        }
        taken += heard.taken;
        if last.elapsed() > Duration::from_secs(10) {
            return Err(Stopped(format!("after {taken} messages no more were taken on in 10 s")));
        }
    }
    Ok(())
}

fn measure_held(binary: &Path, count: usize, deadline: Deadline) -> Result<Vec<Measured>, Stopped> {
    let refusing = RefusingAddress::new()?;
    let registry = Registry::new(UNREACHABLE, refusing.address)?;
    let disk_mb = (count as f64 * STORED_MAIL_BYTES / 0.3 / 1e6).max(3.0);
    let StartedCourier { registry: _registry, mut courier, .. } =
        start_with_list(binary, deadline, registry, UNREACHABLE, (count * 2 + 1_000, disk_mb))?
            .require_list()?;
    let before = courier.processor_use()?;
    fill(&mut courier, count, deadline)?;
    let filled = courier.processor_use()?;
    let (taking, took) = (filled.processor - before.processor, filled.at - before.at);
    let file = courier.journal()?.1;
    deadline.sleep(Duration::from_secs(2))?;
    let begin = courier.processor_use()?;
    deadline.sleep(MEASURING_TIME / 2)?;
    let used = courier.processor_use()?;
    let (share, wanted) = (used.share_since(begin), used.runnable_share_since(begin));
    let (resident, later) = (courier.resident()?, courier.journal()?.1);
    let at = courier.restart_after_kill()?;
    let start = courier.ready(deadline, at, Duration::from_secs(60))?;
    let used = courier.processor_use()?.processor;
    let words = format!("ran or in line for a core {wanted:.2} of the time");
    let share = if wanted < SATURATED {
        Ok((share, words))
    } else {
        no_value(&format!("a core is full: {share:.2}, {words}"))
    };
    Ok(vec![
        share,
        Ok((resident as f64, format!("{:.0} bytes each", resident as f64 / count as f64))),
        Ok((file as f64, format!("{:.0} bytes each; 7 s later {later} bytes", file as f64 / count as f64))),
        Ok((taking, format!("{:.2} s by the clock", took.as_secs_f64()))),
        Ok((start.as_secs_f64(), format!("{used:.2} s of processor"))),
    ])
}

/// A rewrite of the journal: when it was seen, the journal's size in bytes then, and the number of mails taken so far.
type Rewrite = (Instant, u64, usize);

fn measure_rewrites(binary: &Path, count: usize, deadline: Deadline) -> Result<Vec<Measured>, Stopped> {
    let (refusing, endpoint) = (RefusingAddress::new()?, Endpoint::new(&[]));
    let reached = UNREACHABLE + 1;
    let registry = Registry::new(reached, refusing.address)?;
    registry.change(reached, endpoint.address, 1e6);
    // The held mails use 0.30 of the folder's limit; 0.34 is allowed, and at 0.44 the journal is rewritten.
    let disk_mb = count as f64 * STORED_MAIL_BYTES / 0.3 / 1e6;
    let StartedCourier { registry: _registry, mut courier, .. } =
        start_with_list(binary, deadline, registry, reached, (count * 2 + 1_000, disk_mb))?.require_list()?;
    fill(&mut courier, count, deadline)?;
    let (listen, done, taken) = (courier.listen, AtomicBool::new(false), AtomicUsize::new(0));
    let mut seen: Vec<Rewrite> = Vec::new();
    let pings = std::thread::scope(|scope| {
        let stream = scope.spawn(|| {
            let mut client = Client::connect(listen, 1)?;
            while !done.load(Ordering::Relaxed) {
                taken.fetch_add(client.hand_in([reached; 8].into_iter())?.taken, Ordering::Relaxed);
            }
            Ok::<_, Stopped>(())
        });
        let pinged = scope.spawn(|| {
            let (mut client, mut pings) = (Client::connect(listen, 2)?, Vec::new());
            while !done.load(Ordering::Relaxed) {
                let start = Instant::now();
                pings.push((start, client.ping()?));
                std::thread::sleep(Duration::from_millis(1));
            }
            Ok::<_, Stopped>(pings)
        });
        let (start, mut watched) = (Instant::now(), courier.journal());
        let mut looked = Ok(());
        while looked.is_ok() && seen.len() < 4 && start.elapsed() < REWRITE_TIMEOUT {
            std::thread::sleep(Duration::from_millis(1));
            let now = courier.journal();
            if let (Ok((file, bytes)), Ok((before, _))) = (&now, &watched) {
                if file != before {
                    seen.push((Instant::now(), *bytes, taken.load(Ordering::Relaxed)));
                }
            }
            watched = now;
            looked = deadline.check();
        }
        done.store(true, Ordering::Relaxed);
        let failed = |_| Stopped("a client has failed".to_string());
        let (streamed, pinged) = (stream.join().map_err(failed), pinged.join().map_err(failed));
        looked?;
        streamed??;
        pinged?
    })?;
    courier.check()?;
    let ([first, .., last], true) = (&seen[..], seen.len() > 1) else {
        let (taken, delivered) = (taken.into_inner(), endpoint.calls.lock().map_or(0, |calls| calls.len()));
        let words = format!(
            "{} rewrites in {REWRITE_TIMEOUT:?}, {taken} taken on, {delivered} delivered",
            seen.len()
        );
        return Ok(vec![no_value(&words), no_value(&words)]);
    };
    // A rewrite is seen within a few milliseconds of its end.
    let near = Duration::from_millis(10);
    let longest = |of: bool| {
        let beside = |ping: &&(Instant, Duration)| {
            let hit = |rewrite: &Rewrite| ping.0 <= rewrite.0 && rewrite.0 <= ping.0 + ping.1 + near;
            seen.iter().any(hit) == of
        };
        pings.iter().filter(beside).map(|ping| ping.1.as_secs_f64()).fold(0.0, f64::max)
    };
    let bytes: u64 = seen[1..].iter().map(|rewrite| rewrite.1).sum();
    let taken_on = (last.2 - first.2) as f64 * STORED_MAIL_BYTES;
    let (begin, end) = (first.0, last.0);
    let words = format!("{} rewrites of {:.1} MB", seen.len(), first.1 as f64 / 1e6);
    let stall = format!("{words}; otherwise {:.4} s at the longest", longest(false));
    let over = format!(
        "{words}; {:.0} taken on in {:.1} s",
        taken_on / STORED_MAIL_BYTES,
        (end - begin).as_secs_f64()
    );
    let ratio = if taken_on > 0.0 {
        Ok((bytes as f64 / taken_on, over))
    } else {
        no_value("nothing was taken on between rewrites")
    };
    Ok(vec![Ok((longest(true), stall)), ratio])
}

/// The rows of one slope of one binary so far.
#[derive(Default)]
struct Series {
    rows: Vec<Row>,
    stopped: Option<String>,
}

impl Sweep {
    /// Measures all binaries at each size in turn, so that they run under the same conditions of the machine.
    fn run(
        &self,
        binaries: &[(String, PathBuf)],
        command: &str,
        wanted: &dyn Fn(&str) -> bool,
        sizes: &[usize],
    ) -> Vec<Slope> {
        let mut series: Vec<Vec<Series>> = binaries.iter().map(|_| Vec::new()).collect();
        let mut ended: Vec<bool> = vec![false; binaries.len()];
        series.iter_mut().for_each(|series| series.resize_with(self.slopes.len(), Series::default));
        let mut bounds: Vec<Duration> = vec![MAX_SLOPE_TIME; binaries.len()];
        for &size in self.sizes.iter().filter(|size| sizes.is_empty() || sizes.contains(size)) {
            for (place, (name, binary)) in binaries.iter().enumerate() {
                if ended[place] {
                    continue;
                }
                let start = Instant::now();
                let measured = (self.measure)(binary, size, Deadline::new(bounds[place]));
                bounds[place] = bounds[place].saturating_sub(start.elapsed());
                let seen = measured.unwrap_or_else(|stopped| {
                    ended[place] = true;
                    vec![Err(stopped); self.slopes.len()]
                });
                for ((series, slope), seen) in series[place].iter_mut().zip(self.slopes).zip(seen) {
                    match seen {
                        Ok((value, words)) => {
                            eprintln!("{} ({name}) at {size}: {value} {words}", slope.0);
                            series.rows.push(Row::new(size, value, words));
                            series.stopped = None;
                        }
                        Err(words) => {
                            eprintln!("{} ({name}) at {size}: none, {words}", slope.0);
                            series.stopped.get_or_insert_with(|| format!("{words} (at {size})"));
                        }
                    }
                }
            }
        }
        let largest = "the bench's largest size";
        let mut slopes = Vec::new();
        for ((name, _), series) in binaries.iter().zip(series) {
            for (&(slope, size_unit, unit), series) in self.slopes.iter().zip(series) {
                if wanted(slope) {
                    let stopped = series.stopped.as_deref().unwrap_or(largest);
                    slopes.push(Slope::new((slope, name), (size_unit, unit), command, series.rows, stopped));
                }
            }
        }
        slopes
    }
}

fn all_slopes() -> impl Iterator<Item = &'static str> {
    SWEEPS.iter().flat_map(|sweep| sweep.slopes.iter().map(|slope| slope.0))
}

/// Parses `NAME=PATH`, or a path whose file name is used as the name.
fn parse_binary(text: &str) -> (String, PathBuf) {
    match text.split_once('=') {
        Some((name, path)) => (name.to_string(), path.into()),
        None => {
            let path = PathBuf::from(text);
            (path.file_name().unwrap_or_default().to_string_lossy().into_owned(), path)
        }
    }
}

fn machine() -> serde_json::Value {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let kb = text.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0);
    json!({"cores": cores, "memory_mb": kb / 1024, "load_at_start": load_average()})
}

/// On SIGINT or SIGTERM, ends the bench at its next wait, so that folders are removed; couriers end in any case.
fn handle_signals() -> std::io::Result<()> {
    use tokio::signal::unix::{signal, SignalKind};
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
    std::thread::spawn(move || {
        runtime.block_on(async {
            if let (Ok(mut int), Ok(mut term)) =
                (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
            {
                tokio::select! { _ = int.recv() => {}, _ = term.recv() => {} }
                request_end();
            }
        });
    });
    Ok(())
}

fn run() -> Result<(), String> {
    let mut arguments = pico_args::Arguments::from_env();
    let benched = arguments.contains("--bench");
    let what: Option<String> = arguments.opt_value_from_str("--what").map_err(|e| e.to_string())?;
    // Avoids minutes of load when benches are only built and started, as by `cargo test --all-targets`.
    if !benched && what.is_none() {
        println!("slopes: run by cargo bench");
        return Ok(());
    }
    let out: Option<PathBuf> = arguments.opt_value_from_str("--out").map_err(|e| e.to_string())?;
    let sizes: Option<String> = arguments.opt_value_from_str("--sizes").map_err(|e| e.to_string())?;
    let texts: Vec<String> = arguments.values_from_str("--binary").map_err(|e| e.to_string())?;
    if let Some(rest) = arguments.finish().first() {
        return Err(format!("what is {}?", rest.to_string_lossy()));
    }
    let what: Vec<&str> = what.iter().flat_map(|what| what.split(',')).collect();
    if let Some(unknown) = what.iter().find(|name| all_slopes().all(|slope| slope != **name)) {
        return Err(format!("no slope {unknown}; there are {}", all_slopes().collect::<Vec<_>>().join(",")));
    }
    let sizes: Vec<usize> = sizes
        .iter()
        .flat_map(|sizes| sizes.split(','))
        .map(|size| size.parse().map_err(|e| format!("--sizes {size}: {e}")))
        .collect::<Result<_, String>>()?;
    let known = |size: &usize| SWEEPS.iter().any(|sweep| sweep.sizes.contains(size));
    if let Some(unknown) = sizes.iter().find(|size| !known(size)) {
        return Err(format!("no slope has the size {unknown}"));
    }
    let mut binaries: Vec<(String, PathBuf)> = texts.iter().map(|text| parse_binary(text)).collect();
    if binaries.is_empty() {
        let built =
            escargot::CargoBuild::new().package("meadowhold-courier").bin("meadowhold").release().run();
        binaries.push(("today".to_string(), built.map_err(|e| e.to_string())?.path().to_path_buf()));
    }
    handle_signals().map_err(|e| e.to_string())?;
    let wanted = |name: &str| what.is_empty() || what.contains(&name);
    let mut command = "cargo bench -p meadowhold-rig --bench slopes".to_string();
    let joined = sizes.iter().map(usize::to_string).collect::<Vec<_>>().join(",");
    for (flag, words) in [("--what", what.join(",")), ("--sizes", joined)] {
        if !words.is_empty() {
            let begin = if command.contains(" -- ") { "" } else { " --" };
            command += &format!("{begin} {flag} {words}");
        }
    }
    let (machine, mut slopes) = (machine(), Vec::new());
    for sweep in SWEEPS.iter().filter(|sweep| sweep.slopes.iter().any(|slope| wanted(slope.0))) {
        for slope in sweep.run(&binaries, &command, &wanted, &sizes) {
            println!("{}", slope.table());
            slopes.push(slope);
        }
        // The results so far are written after each sweep, so that a later error does not lose them.
        if let Some(out) = &out {
            let text = serde_json::to_string_pretty(&json!({"machine": machine, "slopes": slopes}));
            let text = text.map_err(|e| e.to_string())? + "\n";
            std::fs::write(out, text).map_err(|e| format!("{}: {e}", out.display()))?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    let words: Vec<_> = std::env::args_os().collect();
    if let [_, become_courier_arg, parent, binary] = &words[..] {
        if become_courier_arg == BECOME_COURIER {
            let parent = parent.to_str().and_then(|parent| parent.parse().ok()).unwrap_or(0);
            eprintln!("{}", become_courier(parent, Path::new(binary)));
            return ExitCode::FAILURE;
        }
    }
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(words) => {
            eprintln!("slopes: {words}");
            ExitCode::FAILURE
        }
    }
}
