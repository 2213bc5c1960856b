//! Runs the `meadowhold-lab` binary as a user or a script does.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_meadowhold-lab")).args(args).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn scenarios() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn scenario(name: &str) -> String {
    scenarios().join(name).display().to_string()
}

#[test]
fn results_do_not_depend_on_the_number_of_threads() {
    let days = ["quiet.toml", "dark-hall.toml", "roll.toml"].map(scenario);
    let run = |threads: &str| {
        let mut args = vec!["--threads", threads, "run", "--seeds", "1..3", "--format", "json"];
        args.extend(["--set", "seconds=8", "--set", "partners=6"]);
        args.extend(days.iter().map(String::as_str));
        let output = lab(&args);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
        text(&output.stdout)
    };
    let single_threaded = run("1");
    assert_eq!(single_threaded.lines().count(), 9);
    assert!(single_threaded == run("2") && single_threaded == run("4"));
}

/// Runs the scenarios at a reduced rate and with few destinations, without the `grown*` ones, which have 200
/// couriers. The exit code is 0 only if the judge found no broken rule.
#[test]
fn control_breaks_no_rule_on_the_small_scenarios_of_the_library() {
    let files: Vec<PathBuf> =
        std::fs::read_dir(scenarios()).unwrap().map(|entry| entry.unwrap().path()).collect();
    let small = |path: &&PathBuf| {
        let name = path.file_name().unwrap().to_string_lossy();
        name.ends_with(".toml") && !name.starts_with("grown")
    };
    let small: Vec<String> = files.iter().filter(small).map(|path| path.display().to_string()).collect();
    assert!(small.len() >= 12);
    let mut args = vec!["run", "--seeds", "1..2", "--set", "mails.full_rate=70", "--set", "partners=9"];
    args.extend(small.iter().map(String::as_str));
    let output = lab(&args);
    assert_eq!(output.status.code(), Some(0), "{}{}", text(&output.stdout), text(&output.stderr));
}

/// Regression test: on these days a supplier order took effect twice, because the decision to repeat it was made as
/// its deduplication window ended.
#[test]
fn days_that_used_to_break_a_rule_break_none() {
    for (day, seed) in [("roll.toml", "4"), ("in-turn.toml", "5")] {
        let output = lab(&["run", &scenario(day), "--seeds", seed]);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
    }
}

#[test]
fn interrupted_sweep_resumes_without_rerunning_finished_days() {
    let folder = tempfile::tempdir().unwrap();
    let out = folder.path().join("sweep.jsonl").display().to_string();
    let day = scenario("hang.toml");
    let mut args = vec!["sweep", &day, "--vary", "mails.load=0.4,0.6", "--seeds", "1..3", "--out", &out];
    args.extend(["--set", "seconds=14", "--set", "partners=5"]);
    assert_eq!(lab(&args).status.code(), Some(0));
    let uninterrupted = std::fs::read_to_string(&out).unwrap();
    assert_eq!(uninterrupted.lines().count(), 6);
    // Simulates an interruption in the middle of the third line.
    let line_ends: Vec<usize> = uninterrupted.match_indices('\n').map(|(at, _)| at).collect();
    std::fs::write(&out, &uninterrupted[..line_ends[1] + 40]).unwrap();
    let output = lab(&args);
    assert!(text(&output.stdout).contains("4 of 6 days run now"), "{}", text(&output.stdout));
    let resumed = std::fs::read_to_string(&out).unwrap();
    assert!(resumed.starts_with(&uninterrupted[..=line_ends[1]]));
    let sorted = |text: &str| {
        let mut lines: Vec<String> = text.lines().map(String::from).collect();
        lines.sort();
        lines
    };
    assert_eq!(sorted(&uninterrupted), sorted(&resumed));
}

#[test]
fn invalid_input_exits_with_a_message_and_code_2() {
    let folder = tempfile::tempdir().unwrap();
    let invalid = folder.path().join("wrong.toml");
    std::fs::write(&invalid, "seconds = 10\n[courier]\nleast_slots = 0\n[mails]\nfull_rate = 1e9\n").unwrap();
    let invalid = invalid.display().to_string();
    let quiet = scenario("quiet.toml");
    let cases: [(&[&str], &str); 7] = [
        (&["run", &invalid], "wrong.toml:3: courier.least_slots: 0 is out of bounds"),
        (&["check", &invalid], "wrong.toml:5: mails.full_rate"),
        (&["run", "nowhere.toml"], "nowhere.toml"),
        (&["run", &quiet, "--decider", "best"], "unknown decider \"best\""),
        (&["run", &quiet, "--seeds", "1", "--out", "/dev/full"], "cannot write a result"),
        (&["compare", "control", "oracle"], "--scenario"),
        (&["replay", &quiet, "--mail", "99999999"], "--mail"),
    ];
    for (args, expected) in cases {
        let output = lab(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        let stderr = text(&output.stderr);
        assert!(stderr.contains(expected) && !stderr.contains("panicked"), "{args:?}: {stderr}");
    }
}

#[test]
fn hunt_finds_and_shrinks_rule_violations_of_a_baseline() {
    let folder = tempfile::tempdir().unwrap();
    let library = folder.path().join("library");
    std::fs::create_dir(&library).unwrap();
    let day = "seconds = 12\npartners = 5\n[mails]\nload = 0.7\n[[trouble]]\nwhat = \"hang\"\nat_s = 3\nfor_s = 4\npart = 0.4\n";
    std::fs::write(library.join("hang.toml"), day).unwrap();
    let keep = |name: &str| folder.path().join(name).display().to_string();
    let library = library.display().to_string();
    let hunt = |threads: &str, kept: &str| {
        let args = ["--threads", threads, "hunt", "--library", &library, "--decider", "ejection", "--rules"];
        let output =
            lab(&[&args[..], &["--runs", "24", "--seconds", "600", "--shrink-runs", "40", "--keep", kept]]
                .concat());
        assert_eq!(output.status.code(), Some(1), "{}", text(&output.stderr));
        text(&output.stdout)
            .lines()
            .filter(|line| line.starts_with("near"))
            .map(String::from)
            .collect::<Vec<_>>()
    };
    let (one, four) = (keep("one"), keep("four"));
    let found = hunt("1", &one);
    assert!(!found.is_empty() && found == hunt("4", &four));
    for file in std::fs::read_dir(&one).unwrap() {
        let path = file.unwrap().path().display().to_string();
        // The file includes the seed, so a replay breaks the rule again.
        assert_eq!(lab(&["replay", &path, "--decider", "ejection"]).status.code(), Some(1), "{path}");
    }
}

#[test]
fn plot_writes_all_charts_and_a_self_contained_page() {
    let folder = tempfile::tempdir().unwrap();
    let out = folder.path().display().to_string();
    let day = scenario("dark-hall.toml");
    let output = lab(&["plot", &day, "--seed", "2", "--set", "partners=6", "--out", &out, "--format", "all"]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let files: Vec<PathBuf> = text(&output.stdout).lines().map(PathBuf::from).collect();
    assert_eq!(files.len(), 11);
    for file in &files {
        assert!(std::fs::metadata(file).unwrap().len() > 2_000, "{}", file.display());
    }
    let page = std::fs::read_to_string(files.last().unwrap()).unwrap();
    assert!(page.matches("<svg").count() == 5 && page.contains("<h2>Mail"));
    assert!(!page.contains("src=") && !page.contains("<link") && !page.contains("href="));
}
