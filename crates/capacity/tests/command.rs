//! The command writes the page, and rejects invalid figures with one message and without changing the page.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::{fs, str};

const FIGURES: &str = "target.couriers = { value = 3 }\n";
const PAGE: &str = "# Page\n\n<!-- table: roles -->\n<!-- end -->\n<!-- table: failures -->\n<!-- end -->\n\
    <!-- table: next -->\n<!-- end -->\n<!-- table: slopes -->\n<!-- end -->\nthe author's\n";

/// A folder for one test, with a file of figures and a page.
fn folder(name: &str, figures: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(folder.join("docs/capacity")).unwrap();
    fs::write(folder.join("docs/capacity/capacity.toml"), figures).unwrap();
    fs::write(folder.join("docs/CAPACITY.md"), PAGE).unwrap();
    folder
}

fn run(folder: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_meadowhold-capacity")).arg(folder).output().unwrap()
}

fn page(folder: &Path) -> String {
    fs::read_to_string(folder.join("docs/CAPACITY.md")).unwrap()
}

#[test]
fn a_second_run_leaves_the_page_unchanged() {
    let folder = folder("sound", FIGURES);
    let first = run(&folder);
    assert!(first.status.success(), "{first:?}");
    let written = page(&folder);
    assert!(written.contains("| role | what |") && written.ends_with("the author's\n"), "{written}");
    let second = run(&folder);
    assert!(str::from_utf8(&second.stdout).unwrap().contains("is as the figures have it"), "{second:?}");
    assert_eq!(page(&folder), written);
}

#[test]
fn all_faults_are_reported_and_the_page_stays() {
    let figures = "target.couriers = { value = -3 }\n[slope.list]\nwhat = \"list\"\nof = \"entries\"\n\
        standing = \"measured\"\ntext = \"before\"\nfrom = \"gone.json#list\"\n[slope.bad]\nfitt = 1\n";
    let folder = folder("faults", figures);
    let output = run(&folder);
    let message = str::from_utf8(&output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{message}");
    let places = ["line 1, target.couriers.value", "line 7, slope.list.from", "line 9, slope.bad.fitt"];
    assert!(places.iter().all(|place| message.contains(place)), "{message}");
    assert!(!message.contains("panicked"), "{message}");
    assert_eq!(page(&folder), PAGE);
}

#[test]
fn a_missing_file_is_one_error_message() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("nowhere");
    let output = run(&folder);
    assert_eq!(output.status.code(), Some(1));
    assert!(str::from_utf8(&output.stderr).unwrap().contains("docs/capacity/capacity.toml"));
}
