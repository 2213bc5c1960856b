//! The tool as a person or a script uses it.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn lab(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_meadowhold-lab")).args(words).output().unwrap()
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
        let mut words = vec!["--threads", threads, "run", "--seeds", "1..3", "--format", "json"];
        words.extend(["--set", "seconds=8", "--set", "partners=6"]);
        words.extend(days.iter().map(String::as_str));
        let output = lab(&words);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
        text(&output.stdout)
    };
    let alone = run("1");
    assert_eq!(alone.lines().count(), 9);
    assert!(alone == run("2") && alone == run("4"));
}

/// A minute of small seeded days with the judge on.
#[test]
fn the_module_keeps_the_rules_on_every_day_of_the_library() {
    let files: Vec<PathBuf> =
        std::fs::read_dir(scenarios()).unwrap().map(|entry| entry.unwrap().path()).collect();
    let small = |path: &&PathBuf| {
        let name = path.file_name().unwrap().to_string_lossy();
        name.ends_with(".toml") && !name.starts_with("grown")
    };
    let small: Vec<String> = files.iter().filter(small).map(|path| path.display().to_string()).collect();
    assert!(small.len() >= 12);
    let mut words = vec!["run", "--seeds", "1..2", "--set", "mails.full_rate=70", "--set", "partners=9"];
    words.extend(small.iter().map(String::as_str));
    let output = lab(&words);
    assert_eq!(output.status.code(), Some(0), "{}{}", text(&output.stdout), text(&output.stderr));
}

/// Each broke a rule once: a supplier order took effect twice, its repeat decided on as its window ended.
#[test]
fn days_that_once_broke_a_rule_break_none() {
    for (day, seed) in [("roll.toml", "4"), ("in-turn.toml", "5")] {
        let output = lab(&["run", &scenario(day), "--seeds", seed]);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
    }
}

#[test]
fn an_interrupted_sweep_goes_on_where_it_was() {
    let folder = tempfile::tempdir().unwrap();
    let out = folder.path().join("sweep.jsonl").display().to_string();
    let day = scenario("hang.toml");
    let mut words = vec!["sweep", &day, "--vary", "mails.load=0.4,0.6", "--seeds", "1..3", "--out", &out];
    words.extend(["--set", "seconds=14", "--set", "partners=5"]);
    assert_eq!(lab(&words).status.code(), Some(0));
    let whole = std::fs::read_to_string(&out).unwrap();
    assert_eq!(whole.lines().count(), 6);
    // Two lines were finished when it was cut off in the middle of the third.
    let ends: Vec<usize> = whole.match_indices('\n').map(|(at, _)| at).collect();
    std::fs::write(&out, &whole[..ends[1] + 40]).unwrap();
    let output = lab(&words);
    assert!(text(&output.stdout).contains("4 of 6 days run now"), "{}", text(&output.stdout));
    let again = std::fs::read_to_string(&out).unwrap();
    assert!(again.starts_with(&whole[..=ends[1]]));
    let sorted = |text: &str| {
        let mut lines: Vec<String> = text.lines().map(String::from).collect();
        lines.sort();
        lines
    };
    assert_eq!(sorted(&whole), sorted(&again));
}

#[test]
fn what_cannot_be_used_ends_with_words_and_two() {
    let folder = tempfile::tempdir().unwrap();
    let wrong = folder.path().join("wrong.toml");
    std::fs::write(&wrong, "seconds = 10\n[courier]\nleast_slots = 0\n[mails]\nfull_rate = 1e9\n").unwrap();
    let wrong = wrong.display().to_string();
    let quiet = scenario("quiet.toml");
    let cases: [(&[&str], &str); 7] = [
        (&["run", &wrong], "wrong.toml:3: courier.least_slots: 0 is out of bounds"),
        (&["check", &wrong], "wrong.toml:5: mails.full_rate"),
        (&["run", "nowhere.toml"], "nowhere.toml"),
        (&["run", &quiet, "--decider", "best"], "no decider \"best\""),
        (&["run", &quiet, "--seeds", "1", "--out", "/dev/full"], "can't be written"),
        (&["compare", "control", "oracle"], "--scenario"),
        (&["replay", &quiet, "--mail", "99999999"], "--mail"),
    ];
    for (words, told) in cases {
        let output = lab(words);
        assert_eq!(output.status.code(), Some(2), "{words:?}");
        let stderr = text(&output.stderr);
        assert!(stderr.contains(told) && !stderr.contains("panicked"), "{words:?}: {stderr}");
    }
}

#[test]
fn a_hunt_finds_what_a_baseline_breaks_and_cuts_it_down() {
    let folder = tempfile::tempdir().unwrap();
    let library = folder.path().join("library");
    std::fs::create_dir(&library).unwrap();
    let day = "seconds = 12\npartners = 5\n[mails]\nload = 0.7\n[[trouble]]\nwhat = \"hang\"\nat_s = 3\nfor_s = 4\npart = 0.4\n";
    std::fs::write(library.join("hang.toml"), day).unwrap();
    let keep = |name: &str| folder.path().join(name).display().to_string();
    let library = library.display().to_string();
    let hunt = |threads: &str, kept: &str| {
        let words = ["--threads", threads, "hunt", "--library", &library, "--decider", "ejection", "--rules"];
        let output =
            lab(&[&words[..], &["--runs", "24", "--seconds", "600", "--shrink-runs", "40", "--keep", kept]]
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
        // A found day is a scenario of its own, with its seed, and breaks the rule again.
        assert_eq!(lab(&["replay", &path, "--decider", "ejection"]).status.code(), Some(1), "{path}");
    }
}

#[test]
fn a_day_is_drawn_and_its_page_needs_nothing_else() {
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
