//! Prints the figures of `docs/fleet.md`: `cargo test --release -p meadowhold-fleet --test figures --
//! --ignored --nocapture`. The assertions cover only what that page promises.

mod common;

use common::{at, NetworkFaults, Simulation};
use meadowhold_fleet::view::MemberState;
use meadowhold_fleet::{Time, SECOND};

fn seconds(time: Time) -> f64 {
    time as f64 / SECOND as f64
}

/// Bytes and datagrams that all members together have sent.
fn sent(sim: &Simulation) -> (u64, u64) {
    let counts = sim.live().into_iter().map(|i| sim.node(i).counts());
    counts.fold((0, 0), |sum, counts| (sum.0 + counts.sent_bytes, sum.1 + counts.sent))
}

#[test]
#[ignore = "minutes in a release build; prints figures"]
fn figures_of_fleets_of_three_sizes() {
    for loss in [0.0, 0.05] {
        for (count, seeds) in [(5, 20), (100, 4), (300, 2)] {
            let net = NetworkFaults { loss, duplicate: loss, delay: (1, if loss > 0.0 { 300 } else { 20 }) };
            let mut rows: [Vec<f64>; 8] = Default::default();
            let mut wrongly_down = 0;
            for seed in 0..seeds {
                let mut sim = Simulation::new(count, net, seed);
                rows[0].push(seconds(sim.until(60 * SECOND, Simulation::converged).expect("together")));
                let per_member = |bytes: u64, interval: Time| bytes as f64 / count as f64 / seconds(interval);
                rows[1].push(per_member(sent(&sim).0, sim.now));
                // Until updates about the start are no longer retransmitted.
                sim.run_until(sim.now + 30 * SECOND);
                let (start, before) = (sim.now, sent(&sim));
                while sim.now < start + 30 * SECOND {
                    sim.run_until(sim.now + SECOND / 2);
                    wrongly_down += sim.wrongly_down().len();
                }
                let after = sent(&sim);
                rows[2].push(per_member(after.0 - before.0, 30 * SECOND));
                rows[3].push(per_member(after.1 - before.1, 30 * SECOND));
                sim.kill(count / 2);
                let dead = at(count / 2);
                let learned =
                    |sim: &Simulation, i: usize| sim.view(i).member(dead).unwrap().state == MemberState::Down;
                let (killed, live) = (sim.now, sim.live());
                let first = sim.until(60 * SECOND, |sim| live.iter().any(|&i| learned(sim, i)));
                rows[4].push(seconds(first.expect("found by one")));
                sim.until(60 * SECOND, |sim| live.iter().all(|&i| learned(sim, i))).expect("found by all");
                rows[5].push(seconds(sim.now - killed));
                sim.start(count / 2, common::FIRST_START_MS + 1_000_000);
                rows[6].push(seconds(sim.until(60 * SECOND, Simulation::converged).expect("found again")));
                sim.partition(|i| u32::from(i % 5 < 2));
                sim.run_until(sim.now + 30 * SECOND);
                assert!(sim.live().iter().all(|&i| sim.view(i).cut_off().0 == (i % 5 < 2)));
                sim.partition(|_| 0);
                rows[7].push(seconds(sim.until(120 * SECOND, Simulation::converged).expect("healed")));
            }
            println!("{count} members, {loss} lost, {seeds} seeds; wrongly down at {wrongly_down} looks");
            let names = [
                "s until all know all",
                "bytes/s each sends until then",
                "bytes/s each sends at rest",
                "datagrams/s each sends at rest",
                "s until one knows of one killed",
                "s until all know",
                "s until all know it back",
                "s until two parts (2:3) are one",
            ];
            for (name, mut row) in names.into_iter().zip(rows) {
                row.sort_by(f64::total_cmp);
                println!("  {:8.1} median {:8.1} most: {name}", row[row.len() / 2], row[row.len() - 1]);
            }
        }
    }
}

/// Environment variables that tell a child process, which runs a single size, that size and the share of
/// datagrams that is lost.
const SIZE: &str = "MEADOWHOLD_FLEET_SIZE";
const LOSS: &str = "MEADOWHOLD_FLEET_LOSS";
/// Names the file to which slopes are written, if set.
const SLOPES: &str = "MEADOWHOLD_SLOPES";
const COMMAND: &str =
    "cargo test --release -p meadowhold-fleet --test figures -- --ignored --nocapture --exact \
    figures_towards_the_target";
/// Sizes without loss, and sizes with 5% of all datagrams lost and 5% duplicated.
const SIZES: [(usize, f64); 7] =
    [(100, 0.0), (300, 0.0), (650, 0.0), (1_300, 0.0), (100, 0.05), (300, 0.05), (650, 0.05)];
const TARGET: f64 = 1_300.0;
/// Maximum time until updates about the start are no longer retransmitted, and length of the idle phase, in
/// simulated time.
const SETTLE_LIMIT: Time = 240 * SECOND;
const IDLE: Time = 20 * SECOND;

/// Processor time of this thread in seconds: wall-clock time means little on a shared machine.
fn thread_cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").expect("Linux tells a thread's time");
    stat.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).expect("a count of nanoseconds") / 1e9
}

fn resident_kib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux tells a process's memory");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("VmRSS");
    line.trim().trim_end_matches("kB").trim().parse().expect("a number")
}

/// Runs one size in a process of its own, so that its memory can be measured. Each figure is printed as a
/// line with a name, a tab and a value. Processor time and memory include the simulated network and the
/// datagrams in flight, so they are upper bounds.
#[test]
#[ignore = "run by figures_towards_the_target"]
fn figures_of_one_size() {
    let env_number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<f64>().ok());
    let (Some(count), Some(loss)) = (env_number(SIZE), env_number(LOSS)) else {
        println!("nothing is asked of this size: {SIZE} and {LOSS} are not set");
        return;
    };
    let count = count as usize;
    let net = NetworkFaults { loss, duplicate: loss, delay: (1, if loss > 0.0 { 300 } else { 20 }) };
    let print = |name: &str, value: f64| println!("{name}\t{value}");
    let per_member = |amount: f64, interval: Time| amount / count as f64 / seconds(interval);
    // The test harness may have left its own line unfinished.
    println!();
    let (empty, cpu_start) = (resident_kib(), thread_cpu_seconds());
    let mut sim = Simulation::new(count, net, 0);
    print("start-known-s", seconds(sim.until(60 * SECOND, Simulation::converged).expect("together")));
    print("start-bytes", per_member(sent(&sim).0 as f64, sim.now));
    print("start-processor", per_member(thread_cpu_seconds() - cpu_start, sim.now));
    // Until updates about the start are no longer retransmitted.
    let starting = per_member(sent(&sim).0 as f64, sim.now);
    let settled = loop {
        let before = sent(&sim).0;
        sim.run_until(sim.now + 5 * SECOND);
        if per_member((sent(&sim).0 - before) as f64, 5 * SECOND) < starting / 4.0 {
            break true;
        }
        if sim.now > SETTLE_LIMIT {
            break false;
        }
    };
    print("start-settled-s", if settled { seconds(sim.now) } else { f64::INFINITY });
    let (start, before, mut cpu, mut wrongly_down) = (sim.now, sent(&sim), 0.0, 0);
    while sim.now < start + IDLE {
        let cpu_start = thread_cpu_seconds();
        sim.run_until(sim.now + SECOND);
        cpu += thread_cpu_seconds() - cpu_start;
        wrongly_down += sim.wrongly_down().len();
    }
    let after = sent(&sim);
    print("rest-bytes", per_member((after.0 - before.0) as f64, IDLE));
    print("rest-datagrams", per_member((after.1 - before.1) as f64, IDLE));
    print("rest-processor", per_member(cpu, IDLE));
    print("memory-kib", (resident_kib() - empty) / count as f64);
    print("wrongly-down", wrongly_down as f64);
    sim.kill(count / 2);
    let dead = at(count / 2);
    let learned = |sim: &Simulation, i: usize| sim.view(i).member(dead).unwrap().state == MemberState::Down;
    let (killed, live) = (sim.now, sim.live());
    let first = sim.until(60 * SECOND, |sim| live.iter().any(|&i| learned(sim, i)));
    print("killed-first-s", seconds(first.expect("found by one")));
    sim.until(60 * SECOND, |sim| live.iter().all(|&i| learned(sim, i))).expect("found by all");
    print("killed-all-s", seconds(sim.now - killed));
    sim.start(count / 2, common::FIRST_START_MS + 1_000_000);
    print("back-s", seconds(sim.until(60 * SECOND, Simulation::converged).expect("found again")));
    sim.partition(|i| u32::from(i % 5 < 2));
    sim.run_until(sim.now + 15 * SECOND);
    let detecting = sim.live().iter().filter(|&&i| sim.view(i).cut_off().0 == (i % 5 < 2)).count();
    print("parted-knowing", detecting as f64 / count as f64);
    let (before, cpu_start, healing_start) = (sent(&sim).0, thread_cpu_seconds(), sim.now);
    sim.partition(|_| 0);
    print("healed-s", seconds(sim.until(120 * SECOND, Simulation::converged).expect("healed")));
    print("healing-bytes", per_member((sent(&sim).0 - before) as f64, (sim.now - healing_start).max(1)));
    print(
        "healing-processor",
        per_member(thread_cpu_seconds() - cpu_start, (sim.now - healing_start).max(1)),
    );
}

/// Fits a line and a power law to the points and returns the one with the smaller relative residual (root
/// mean square); `b` is the intercept of a line and the exponent of a power law.
fn fit(points: &[(f64, f64)]) -> (&'static str, f64, f64, f64) {
    let line = |points: &[(f64, f64)]| {
        let n = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
        let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
        let over: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
        let slope = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum::<f64>() / over;
        (slope, my - slope * mx)
    };
    let relative_residual = |law: &dyn Fn(f64) -> f64| {
        let squares = points.iter().map(|&(x, y)| ((law(x) - y) / y).powi(2)).sum::<f64>();
        (squares / points.len() as f64).sqrt()
    };
    let (slope, intercept) = line(points);
    let linear = relative_residual(&|x| slope * x + intercept);
    let logs: Vec<_> = points.iter().map(|&(x, y)| (x.ln(), y.ln())).collect();
    let (exponent, scale) = line(&logs);
    let power = relative_residual(&|x| scale.exp() * x.powf(exponent));
    if power < linear {
        ("power", scale.exp(), exponent, power)
    } else {
        ("linear", slope, intercept, linear)
    }
}

/// Bytes, processor time, memory and durations against the number of members, with their fits. Slopes are
/// written as JSON to the file named by `MEADOWHOLD_SLOPES`.
#[test]
#[ignore = "a quarter of an hour in a release build; prints figures"]
fn figures_towards_the_target() {
    let mut series: Vec<(String, Vec<(f64, f64)>)> = Vec::new();
    for (count, loss) in SIZES {
        let child = std::process::Command::new(std::env::current_exe().expect("this program"))
            .args(["--ignored", "--nocapture", "--exact", "figures_of_one_size"])
            .envs([(SIZE, count.to_string()), (LOSS, loss.to_string())])
            .output()
            .expect("this program starts");
        let text = String::from_utf8_lossy(&child.stdout).into_owned();
        println!("{count} members, {loss} lost, seed 0");
        for (name, value) in text.lines().filter_map(|line| line.split_once('\t')) {
            println!("  {name}: {value}");
            let name = if loss > 0.0 { format!("member-{name}-lossy") } else { format!("member-{name}") };
            let point = (count as f64, value.parse::<f64>().expect("a number"));
            match series.iter_mut().find(|(known, _)| *known == name) {
                Some((_, points)) => points.push(point),
                None => series.push((name, vec![point])),
            }
        }
        assert!(child.status.success(), "{count} members: {text}{}", String::from_utf8_lossy(&child.stderr));
    }
    let slopes: Vec<_> = series
        .iter()
        .filter(|(_, points)| points.len() > 2 && points.iter().all(|p| p.1 > 0.0 && p.1.is_finite()))
        .map(|(name, points)| {
            let (kind, a, b, residual) = fit(points);
            println!("{name}: {kind} {a} {b}, unexplained {residual}");
            let metric = name.trim_end_matches("-lossy");
            let largest = points.iter().map(|p| p.0).fold(0.0, f64::max);
            let second_parameter = if kind == "power" { "exponent" } else { "intercept" };
            let json: Vec<_> =
                points.iter().map(|p| serde_json::json!({"size": p.0, "value": p.1})).collect();
            serde_json::json!({
                "name": name,
                "unit": if metric.ends_with("bytes") { "bytes/s" }
                    else if metric.ends_with("processor") { "s/s" }
                    else if metric.ends_with("kib") { "KiB" }
                    else if metric.ends_with("datagrams") { "1/s" }
                    else if metric.ends_with("-s") { "s" }
                    else { "1" },
                "command": COMMAND,
                "points": json,
                "fit": {"kind": kind, "slope": a, second_parameter: b, "residual": residual},
                "largest": largest,
                "stopped_by": if largest < TARGET { "time: a longer run" } else { "" },
            })
        })
        .collect();
    if let Ok(file) = std::env::var(SLOPES) {
        let text = serde_json::to_string_pretty(&slopes).expect("plain values");
        std::fs::write(&file, text + "\n").unwrap_or_else(|error| panic!("{file}: {error}"));
    }
}
