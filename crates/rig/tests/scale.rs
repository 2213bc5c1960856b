//! The scale run: a small day with each trouble, couriers with simulated defects, and checks that no process or folder
//! outlives a run.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use meadowhold_rig::scale::day::{Day, Defect, DefectiveCourier, Machine, Mode};
use meadowhold_rig::scale::gauge;
use meadowhold_rig::scale::report::Report;
use meadowhold_rig::scale::run::{run, Programs};
use meadowhold_rig::scale::tracker::Rule;

const RIG: &str = env!("CARGO_BIN_EXE_meadowhold-rig");

fn programs() -> &'static Programs {
    static PROGRAMS: OnceLock<Programs> = OnceLock::new();
    PROGRAMS.get_or_init(|| {
        let build = escargot::CargoBuild::new().package("meadowhold-courier").bin("meadowhold");
        let courier = build.run().expect("the courier builds").path().to_path_buf();
        Programs { courier, rig: RIG.into(), folder: gauge::folder() }
    })
}

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("days").join(name)
}

fn read(name: &str) -> Day {
    Day::read(&fs::read_to_string(file(name)).unwrap()).unwrap()
}

fn day() -> Day {
    read("scale-small.toml")
}

/// The small day without troubles, with defective couriers.
fn calm(wrong: &[(usize, Defect)]) -> Day {
    let wrong = wrong.iter().map(|&(courier, how)| DefectiveCourier { courier, how }).collect();
    let mut day = Day { trouble: Vec::new(), wrong, ..day() };
    // Shorter limits: changes that never take effect are waited for until the limit.
    (day.rules.in_force_s, day.rules.on_file_s) = (4.0, 4.0);
    day
}

fn report(day: &Day) -> Report {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let report = runtime.block_on(run(day, 1, programs(), false)).unwrap();
    println!("{report}");
    report
}

#[test]
fn every_change_takes_effect_and_is_saved_everywhere_in_each_trouble() {
    let day = day();
    let report = report(&day);
    assert!(report.kept(), "{report}");
    let names: Vec<&str> = report.phases.iter().map(|phase| phase.name.as_str()).collect();
    assert_eq!(names[..2], ["rest", "changes"]);
    assert_eq!(names[2..], ["zone", "rack", "region", "kill", "stop", "slow", "silent", "source"]);
    // Each trouble affected the expected number of couriers, and all of them recovered.
    let befallen: Vec<usize> = report.phases.iter().map(|phase| phase.befallen).collect();
    assert_eq!(befallen, [0, 0, 21, 21, 21, 20, 20, 20, 20, 43]);
    assert!(report.phases[2..].iter().all(|phase| phase.back_s.is_some() && phase.changes > 0));
    for phase in &report.phases {
        assert!(phase.hollow.resident > 1e4 && phase.real.resident > 1e6, "{phase:?}");
        let times = &phase.in_force;
        assert!(
            phase.befallen == 43 || times.last_s.is_some_and(|last| times.half_s <= Some(last)),
            "{phase:?}"
        );
    }
    // Traffic was counted while there were changes, and the real couriers delivered mails and were restarted.
    let changes = report.phase("changes").unwrap();
    assert!(changes.hollow.from_source > 0.0 && changes.real.from_source > 0.0, "{changes:?}");
    assert_eq!((report.messages.starts, report.membership.nodes), (5, 43));
    assert!(report.messages.taken > 100 && report.messages.delivered > 100, "{report}");
}

#[test]
fn every_change_takes_effect_and_is_saved_everywhere_in_each_trouble_behind_relays() {
    let day = read("scale-relays-small.toml");
    let report = report(&day);
    assert!(report.kept(), "{report}");
    let befallen: Vec<(&str, usize)> =
        report.phases.iter().map(|phase| (phase.name.as_str(), phase.befallen)).collect();
    // A relay's trouble exempts no courier from the rules.
    let expected =
        [("rest", 0), ("changes", 0), ("relay", 0), ("zone", 21), ("relay-stop", 0), ("source", 43)];
    assert_eq!(befallen, expected);
    assert!(report.phases[2..].iter().all(|phase| phase.changes > 0));
    // Relays are measured separately, and they send more than they receive.
    for phase in &report.phases {
        assert!(phase.relay.couriers == 3 && phase.relay.resident > 1e6, "{phase:?}");
        let [asked, told] = phase.followed;
        // The killed relay requests the whole list from its source, once: 402 entries of 100 to 200 bytes.
        let whole = if phase.name == "relay" { phase.relay.from_source * 3.0 * phase.seconds } else { 0.0 };
        assert!(phase.name != "relay" || (40_200.0..80_400.0).contains(&whole), "{phase:?}");
        let passed_on = phase.relay.from_source - whole / 3.0 / phase.seconds;
        assert!(asked > 0.0 && told > passed_on, "{phase:?}");
    }
    // Couriers get the list only from relays, so the byte counts at both ends of the links are equal.
    let changes = report.phase("changes").unwrap();
    let couriers = changes.hollow.from_source * 40.0 + changes.real.from_source * 3.0;
    let relays = changes.followed[1] * 3.0;
    assert!((couriers - relays).abs() <= relays / 1000.0, "{couriers} {relays}");
    // Couriers that lost their relay resumed at another one without a new snapshot: traffic does not exceed that of the
    // changes alone.
    let each_second = |name: &str| report.phase(name).map(|phase| phase.hollow.from_source).unwrap();
    assert!(each_second("relay") < 1.5 * each_second("changes"), "{report}");
    assert!(each_second("relay-stop") < 1.5 * each_second("changes"), "{report}");
    // The relays keep sending while one of them is away.
    let passed_on = |name: &str| report.phase(name).map(|phase| phase.followed[1]).unwrap();
    assert!(passed_on("relay") > passed_on("changes") / 4.0, "{report}");
    assert_eq!((report.messages.starts, report.membership.nodes), (4, 43));
    assert!(report.messages.taken > 100 && report.messages.delivered > 100, "{report}");
}

#[test]
fn defective_couriers_fail_the_run_behind_relays() {
    let mut day = Day { relays: read("scale-relays-small.toml").relays, ..calm(&[]) };
    day.destinations = 400;
    day.wrong = [(17, Defect::HoldsOld), (18, Defect::TooEarly), (30, Defect::Mute)]
        .map(|(courier, how)| DefectiveCourier { courier, how })
        .to_vec();
    day.rules.start_s = 6.0;
    let report = report(&day);
    let words = |rule: Rule| {
        let broken = report.broken.iter().filter(move |broken| broken.rule == rule);
        broken.map(|broken| broken.words.as_str()).collect::<Vec<_>>()
    };
    // Each defect breaks its own rule, and no other courier breaks any.
    for (rule, own) in [
        (Rule::HoldsWhatItSays, "1 couriers, such as 17"),
        (Rule::NotTooEarly, "courier 18 says"),
        (Rule::InForceInTime, "30"),
    ] {
        let words = words(rule);
        assert!(!words.is_empty(), "{rule:?}: {report}");
        let once = |words: &&str| words.contains(own) || words.contains("is not in force at 1 couriers");
        assert!(words.iter().all(once), "{rule:?}: {report}");
    }
    assert_eq!(report.breaks(Rule::Sound), 0, "{report}");
}

#[test]
fn untouched_the_whole_list_is_told_at_each_change() {
    let mut day = calm(&[]);
    day.source.mode = Mode::Untouched;
    day.rules.in_force_s = 20.0;
    let report = report(&day);
    assert!(report.kept(), "{report}");
    // Two changes per second, each with 62 entries of more than a hundred bytes.
    let changes = report.phase("changes").unwrap();
    assert!(changes.hollow.from_source * changes.seconds > 2.0 * 6200.0, "{changes:?}");
}

#[test]
fn a_courier_that_reports_a_version_but_keeps_the_old_one_fails_the_run() {
    let report = report(&calm(&[(17, Defect::HoldsOld)]));
    assert!(!report.kept() && report.breaks(Rule::HoldsWhatItSays) > 0, "{report}");
    assert_eq!((report.breaks(Rule::NotTooEarly), report.breaks(Rule::InForceInTime)), (0, 0), "{report}");
    assert!(report.broken.iter().all(|broken| broken.words.contains("1 couriers, such as 17")), "{report}");
}

#[test]
fn a_courier_that_reports_too_early_fails_the_run() {
    let report = report(&calm(&[(17, Defect::TooEarly)]));
    assert!(!report.kept() && report.breaks(Rule::NotTooEarly) > 0, "{report}");
    assert_eq!(
        (report.breaks(Rule::HoldsWhatItSays), report.breaks(Rule::InForceInTime)),
        (0, 0),
        "{report}"
    );
    assert!(report.broken.iter().all(|broken| broken.words.contains("courier 17 says")), "{report}");
}

#[test]
fn a_courier_that_never_reports_fails_the_run() {
    let mut day = calm(&[(17, Defect::Mute)]);
    day.rules.start_s = 6.0;
    let report = report(&day);
    assert!(!report.kept() && report.breaks(Rule::InForceInTime) > 0, "{report}");
    assert_eq!((report.breaks(Rule::HoldsWhatItSays), report.breaks(Rule::NotTooEarly)), (0, 0), "{report}");
}

#[test]
fn a_list_that_couriers_refuse_is_reported_with_its_size() {
    let mut day = calm(&[]);
    day.destinations = 9000;
    day.list_entries = Some(8192);
    let report = report(&day);
    let words = report.refused.as_deref().unwrap_or_default();
    assert!(
        words.starts_with("the list is refused at 9002 entries: the list has more than 8192 entries"),
        "{report}"
    );
    assert!(!report.kept() && report.phases.is_empty(), "{report}");
}

fn fails(arguments: &[&str]) -> String {
    let output = Command::new(RIG).args(arguments).output().unwrap();
    assert!(!output.status.success(), "{arguments:?}");
    String::from_utf8(output.stderr).unwrap()
}

#[test]
fn all_faults_of_a_day_are_reported_before_anything_is_started() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("day.toml");
    let text = "couriers = 5000\nprocesses = 400\n[messages]\nrate = -1.0\n[[trouble]]\nwhat = \"flood\"\n\
        [[trouble]]\nwhat = \"zone\"\nwhich = 6\n[[wrong]]\ncourier = 3\nhow = \"mute\"\n";
    fs::write(&file, text).unwrap();
    let words = fails(&["scale", file.to_str().unwrap()]);
    for fault in [
        "line 1, couriers: 5000 is out of bounds; give 1 to 2000",
        "line 2, processes: 400 is out of bounds; give 21 to 198",
        "line 4, messages.rate: -1 is out of bounds",
        "line 6, trouble.0.what: unknown variant `flood`",
        "line 9, trouble.1.which: there is nothing in 6",
        "line 11, wrong.0.courier: 3 is out of bounds; give 20 to 4999",
    ] {
        assert!(words.contains(fault), "{fault} in {words}");
    }
    assert_eq!(words.matches("meadowhold-rig: ").count(), 1, "{words}");
    let text = "processes = 190\n[relays]\ncount = 9\n[[trouble]]\nwhat = \"relay\"\nwhich = 9\n\
        [[trouble]]\nwhat = \"relay-stop\"\nwhich = 8\n";
    fs::write(&file, text).unwrap();
    let words = fails(&["scale", file.to_str().unwrap()]);
    for fault in [
        "line 1, processes: 190 is out of bounds; give 21 to 189",
        "line 6, trouble.0.which: there is nothing in 9",
    ] {
        assert!(words.contains(fault), "{fault} in {words}");
    }
    assert!(!words.contains("trouble.1"), "{words}");
    let rows: [(&[&str], &str); 5] = [
        (&["scale", "nowhere.toml"], "nowhere.toml cannot be read"),
        (&["scale", "--points", "100,many"], "--points"),
        (&["scale", "--points", "100", "--couriers", "3"], "give --couriers or --points"),
        (&["scale", "--points", "100,9999"], "9999 is out of bounds"),
        (&["hollow"], "missing argument: the couriers' file"),
    ];
    for (arguments, words) in rows {
        let said = fails(arguments);
        assert!(said.contains(words), "{arguments:?}: {said}");
    }
}

#[test]
fn all_limits_of_the_machine_that_a_day_exceeds_are_reported_together() {
    let day = Day { destinations: 300_000, ..Day::default() };
    let small = Machine { memory: 1 << 30, disk: 1 << 30, disk_in_memory: false, descriptors: 256 };
    let faults = day.missing_resources(&small);
    let keys: Vec<&str> = faults.iter().map(|fault| fault.key.as_str()).collect();
    assert_eq!(keys, ["couriers", "destinations", "couriers"], "{faults:?}");
    let large = Machine { memory: 1 << 42, disk: 1 << 42, disk_in_memory: false, descriptors: 1 << 20 };
    assert_eq!(day.missing_resources(&large), []);
    // Files on an in-memory file system count as memory.
    let day = Day { destinations: 8000, ..day };
    let memory = 2 * day.memory();
    let in_memory =
        |disk_in_memory| day.missing_resources(&Machine { memory, disk_in_memory, ..large }).len();
    assert_eq!((in_memory(false), in_memory(true)), (0, 1));
}

#[test]
fn couriers_are_spread_over_processes_zones_and_regions() {
    let day = Day::default();
    let places = day.places();
    assert_eq!(places.len(), 40);
    let all: Vec<usize> = places.iter().flat_map(|place| place.couriers.clone()).collect();
    assert_eq!(all, (0..1300).collect::<Vec<_>>());
    let sizes: Vec<usize> = places.iter().map(|place| place.couriers.len()).collect();
    assert_eq!((&sizes[..20], &sizes[20..]), (&[1; 20][..], &[64; 20][..]));
    assert!((0..6).all(|zone| places.iter().any(|place| !place.real && place.zone == zone)));
    assert!(places.iter().all(|place| place.region == place.zone % 2));
    for couriers in [1, 21, 100, 650] {
        let day = day.at(couriers);
        assert_eq!(day.faults(), [], "{couriers}");
        assert_eq!(day.places().iter().map(|place| place.couriers.len()).sum::<usize>(), couriers);
        assert!(day.places().iter().all(|place| place.couriers.len() <= 64));
    }
}

/// Child processes of a process, each with its start time, because process ids are reused.
fn children(of: u32) -> Vec<(u32, String)> {
    let stat = |id: u32| {
        let line = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let rest: Vec<String> = line.rsplit_once(')')?.1.split_whitespace().map(str::to_string).collect();
        Some((rest[0].clone(), rest[1].parse::<u32>().ok()?, rest[19].clone()))
    };
    let all =
        fs::read_dir("/proc").unwrap().filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    let own = all.filter_map(|id: u32| {
        let (state, parent, start) = stat(id)?;
        (parent == of && state != "Z").then_some((id, start))
    });
    own.collect()
}

fn runs((id, start): &(u32, String)) -> bool {
    let line = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let rest: Vec<&str> =
        line.rsplit_once(')').map(|(_, rest)| rest.split_whitespace().collect()).unwrap_or_default();
    rest.first().is_some_and(|state| *state != "Z") && rest.get(19).is_some_and(|other| other == start)
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(30);
    while !holds() {
        assert!(Instant::now() < end, "{what} in time");
        std::thread::sleep(Duration::from_millis(10));
    }
}

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn nothing_outlives_a_run_that_is_called_off_or_killed() {
    programs();
    // Two processes of hollow couriers, three real couriers and the guard; the second day adds three relays.
    let days = [("scale-small.toml", 6), ("scale-relays-small.toml", 9)];
    for (signal, (day, many)) in
        ["-TERM", "-INT", "-KILL"].map(|signal| days.map(|day| (signal, day))).concat()
    {
        let folders = tempfile::tempdir().unwrap();
        let mut command = Command::new(RIG);
        // The command expects the courier's binary in its own folder; `programs` has built it there.
        command.arg("scale").arg(file(day)).arg("--folder").arg(folders.path());
        command.arg("--out").arg(folders.path().join("out.json")).stdout(Stdio::null()).stderr(Stdio::null());
        let mut running = Running(command.spawn().unwrap());
        let id = running.0.id();
        until("all processes", || children(id).len() == many || running.0.try_wait().unwrap().is_some());
        let started = children(id);
        assert_eq!(started.len(), many, "{signal} {day}");
        assert!(Command::new("kill").args([signal, &id.to_string()]).status().unwrap().success());
        until("the run's end", || running.0.try_wait().unwrap().is_some());
        until("the end of what it had started", || !started.iter().any(runs));
        until("no folder", || fs::read_dir(folders.path()).unwrap().next().is_none());
    }
}
