//! The figures of `docs/fleet.md`, printed: `cargo test --release -p meadowhold-fleet --test figures -- --ignored
//! --nocapture`. Asserted here is only what the page promises of them.

mod common;

use common::{at, Net, World};
use meadowhold_fleet::view::Standing;
use meadowhold_fleet::{Time, SECOND};

fn seconds(time: Time) -> f64 {
    time as f64 / SECOND as f64
}

/// Bytes that all together have sent, and datagrams.
fn sent(world: &World) -> (u64, u64) {
    let counts = world.live().into_iter().map(|i| world.node(i).counts());
    counts.fold((0, 0), |sum, counts| (sum.0 + counts.sent_bytes, sum.1 + counts.sent))
}

#[test]
#[ignore = "minutes in a release build; prints figures"]
fn figures_of_fleets_of_three_sizes() {
    for loss in [0.0, 0.05] {
        for (count, seeds) in [(5, 20), (100, 4), (300, 2)] {
            let net = Net { loss, double: loss, delay: (1, if loss > 0.0 { 300 } else { 20 }) };
            let mut rows: [Vec<f64>; 8] = Default::default();
            let mut wronged = 0;
            for seed in 0..seeds {
                let mut world = World::new(count, net, seed);
                rows[0].push(seconds(world.until(60 * SECOND, World::agreed).expect("together")));
                let each = |bytes: u64, over: Time| bytes as f64 / count as f64 / seconds(over);
                rows[1].push(each(sent(&world).0, world.now));
                // Until what the start was told about has been sent for the last time.
                world.run_until(world.now + 30 * SECOND);
                let (start, before) = (world.now, sent(&world));
                while world.now < start + 30 * SECOND {
                    world.run_until(world.now + SECOND / 2);
                    wronged += world.wronged().len();
                }
                let after = sent(&world);
                rows[2].push(each(after.0 - before.0, 30 * SECOND));
                rows[3].push(each(after.1 - before.1, 30 * SECOND));
                world.kill(count / 2);
                let dead = at(count / 2);
                let known =
                    |world: &World, i: usize| world.view(i).member(dead).unwrap().standing == Standing::Down;
                let (killed, live) = (world.now, world.live());
                let first = world.until(60 * SECOND, |world| live.iter().any(|&i| known(world, i)));
                rows[4].push(seconds(first.expect("found by one")));
                world
                    .until(60 * SECOND, |world| live.iter().all(|&i| known(world, i)))
                    .expect("found by all");
                rows[5].push(seconds(world.now - killed));
                world.start(count / 2, common::FIRST + 1_000_000);
                rows[6].push(seconds(world.until(60 * SECOND, World::agreed).expect("found again")));
                world.part(|i| u32::from(i % 5 < 2));
                world.run_until(world.now + 30 * SECOND);
                assert!(world.live().iter().all(|&i| world.view(i).cut_off().0 == (i % 5 < 2)));
                world.part(|_| 0);
                rows[7].push(seconds(world.until(120 * SECOND, World::agreed).expect("healed")));
            }
            println!("{count} members, {loss} lost, {seeds} seeds; wrongly down at {wronged} looks");
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

/// Tells a child process, which runs one size alone, its size and the part of all datagrams that is lost.
const SIZE: &str = "MEADOWHOLD_FLEET_SIZE";
const LOSS: &str = "MEADOWHOLD_FLEET_LOSS";
/// Where the slopes are written to, if it is set.
const SLOPES: &str = "MEADOWHOLD_SLOPES";
const COMMAND: &str =
    "cargo test --release -p meadowhold-fleet --test figures -- --ignored --nocapture --exact \
    figures_towards_the_target";
/// Sizes without loss, and with a twentieth of all datagrams lost and as many doubled.
const SIZES: [(usize, f64); 7] =
    [(100, 0.0), (300, 0.0), (650, 0.0), (1_300, 0.0), (100, 0.05), (300, 0.05), (650, 0.05)];
const TARGET: f64 = 1_300.0;
/// Until the start's news is told, and of rest, in simulated time.
const SETTLES: Time = 240 * SECOND;
const REST: Time = 20 * SECOND;

/// Seconds that this thread has had a processor: on a shared machine the time on the wall says little.
fn busy() -> f64 {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").expect("Linux tells a thread's time");
    stat.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).expect("a count of nanoseconds") / 1e9
}

fn resident_kib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux tells a process's memory");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("VmRSS");
    line.trim().trim_end_matches("kB").trim().parse().expect("a number")
}

/// One size, in a process of its own, so that its memory can be told. Each figure is a line: its name, a tab, its
/// value. Processor time and memory hold the simulated network and its datagrams on their way too: upper bounds.
#[test]
#[ignore = "run by figures_towards_the_target"]
fn figures_of_one_size() {
    let asked = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<f64>().ok());
    let (Some(count), Some(loss)) = (asked(SIZE), asked(LOSS)) else {
        println!("nothing is asked of this size: {SIZE} and {LOSS} are not set");
        return;
    };
    let count = count as usize;
    let net = Net { loss, double: loss, delay: (1, if loss > 0.0 { 300 } else { 20 }) };
    let print = |name: &str, value: f64| println!("{name}\t{value}");
    let each = |amount: f64, over: Time| amount / count as f64 / seconds(over);
    // The harness may have left its own line unfinished.
    println!();
    let (empty, began) = (resident_kib(), busy());
    let mut world = World::new(count, net, 0);
    print("start-known-s", seconds(world.until(60 * SECOND, World::agreed).expect("together")));
    print("start-bytes", each(sent(&world).0 as f64, world.now));
    print("start-processor", each(busy() - began, world.now));
    // Until what the start was told about has been sent for the last time.
    let starting = each(sent(&world).0 as f64, world.now);
    let rests = loop {
        let before = sent(&world).0;
        world.run_until(world.now + 5 * SECOND);
        if each((sent(&world).0 - before) as f64, 5 * SECOND) < starting / 4.0 {
            break true;
        }
        if world.now > SETTLES {
            break false;
        }
    };
    print("start-settled-s", if rests { seconds(world.now) } else { f64::INFINITY });
    let (start, before, mut spent, mut wronged) = (world.now, sent(&world), 0.0, 0);
    while world.now < start + REST {
        let began = busy();
        world.run_until(world.now + SECOND);
        spent += busy() - began;
        wronged += world.wronged().len();
    }
    let after = sent(&world);
    print("rest-bytes", each((after.0 - before.0) as f64, REST));
    print("rest-datagrams", each((after.1 - before.1) as f64, REST));
    print("rest-processor", each(spent, REST));
    print("memory-kib", (resident_kib() - empty) / count as f64);
    print("wrongly-down", wronged as f64);
    world.kill(count / 2);
    let dead = at(count / 2);
    let known = |world: &World, i: usize| world.view(i).member(dead).unwrap().standing == Standing::Down;
    let (killed, live) = (world.now, world.live());
    let first = world.until(60 * SECOND, |world| live.iter().any(|&i| known(world, i)));
    print("killed-first-s", seconds(first.expect("found by one")));
    world.until(60 * SECOND, |world| live.iter().all(|&i| known(world, i))).expect("found by all");
    print("killed-all-s", seconds(world.now - killed));
    world.start(count / 2, common::FIRST + 1_000_000);
    print("back-s", seconds(world.until(60 * SECOND, World::agreed).expect("found again")));
    world.part(|i| u32::from(i % 5 < 2));
    world.run_until(world.now + 15 * SECOND);
    let alone = world.live().iter().filter(|&&i| world.view(i).cut_off().0 == (i % 5 < 2)).count();
    print("parted-knowing", alone as f64 / count as f64);
    let (before, began, parted) = (sent(&world).0, busy(), world.now);
    world.part(|_| 0);
    print("healed-s", seconds(world.until(120 * SECOND, World::agreed).expect("healed")));
    print("healing-bytes", each((sent(&world).0 - before) as f64, (world.now - parted).max(1)));
    print("healing-processor", each(busy() - began, (world.now - parted).max(1)));
}

/// A straight line or a power law through points, whichever leaves the smaller part of each value unexplained (root
/// of the mean square); `b` is the intercept of the one and the exponent of the other.
fn fit(points: &[(f64, f64)]) -> (&'static str, f64, f64, f64) {
    let line = |points: &[(f64, f64)]| {
        let n = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
        let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
        let over: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
        let slope = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum::<f64>() / over;
        (slope, my - slope * mx)
    };
    let unexplained = |law: &dyn Fn(f64) -> f64| {
        let squares = points.iter().map(|&(x, y)| ((law(x) - y) / y).powi(2)).sum::<f64>();
        (squares / points.len() as f64).sqrt()
    };
    let (slope, intercept) = line(points);
    let linear = unexplained(&|x| slope * x + intercept);
    let logs: Vec<_> = points.iter().map(|&(x, y)| (x.ln(), y.ln())).collect();
    let (exponent, scale) = line(&logs);
    let power = unexplained(&|x| scale.exp() * x.powf(exponent));
    if power < linear {
        ("power", scale.exp(), exponent, power)
    } else {
        ("linear", slope, intercept, linear)
    }
}

/// Bytes, processor time, memory and times against the count of members, and their fits. Slopes are written as JSON
/// to the file that `MEADOWHOLD_SLOPES` names.
#[test]
#[ignore = "a quarter of an hour in a release build; prints figures"]
fn figures_towards_the_target() {
    let mut of: Vec<(String, Vec<(f64, f64)>)> = Vec::new();
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
            match of.iter_mut().find(|(known, _)| *known == name) {
                Some((_, points)) => points.push(point),
                None => of.push((name, vec![point])),
            }
        }
        assert!(child.status.success(), "{count} members: {text}{}", String::from_utf8_lossy(&child.stderr));
    }
    let slopes: Vec<_> = of
        .iter()
        .filter(|(_, points)| points.len() > 2 && points.iter().all(|p| p.1 > 0.0 && p.1.is_finite()))
        .map(|(name, points)| {
            let (kind, a, b, residual) = fit(points);
            println!("{name}: {kind} {a} {b}, unexplained {residual}");
            let plain = name.trim_end_matches("-lossy");
            let largest = points.iter().map(|p| p.0).fold(0.0, f64::max);
            let second = if kind == "power" { "exponent" } else { "intercept" };
            let json: Vec<_> =
                points.iter().map(|p| serde_json::json!({"size": p.0, "value": p.1})).collect();
            serde_json::json!({
                "name": name,
                "unit": if plain.ends_with("bytes") { "bytes/s" }
                    else if plain.ends_with("processor") { "s/s" }
                    else if plain.ends_with("kib") { "KiB" }
                    else if plain.ends_with("datagrams") { "1/s" }
                    else if plain.ends_with("-s") { "s" }
                    else { "1" },
                "command": COMMAND,
                "points": json,
                "fit": {"kind": kind, "slope": a, second: b, "residual": residual},
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
