//! Error messages of the command.

use std::fs;
use std::process::Command;

fn fails(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_meadowhold-rig")).args(arguments).output().unwrap();
    assert!(!output.status.success(), "{arguments:?}");
    String::from_utf8(output.stderr).unwrap()
}

#[test]
fn one_message_names_all_faults_of_a_file() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("day.toml");
    fs::write(&file, "couriers = 0\n[mails]\nrate = \"much\"\n[[trouble]]\nwhat = \"explode\"\n").unwrap();
    let words = fails(&["day", file.to_str().unwrap()]);
    for (place, fault) in [
        ("line 1, couriers", "0 is out of bounds; give 1 to 250"),
        ("line 3, mails.rate", "invalid type: string \"much\""),
        ("line 5, trouble.0.what", "unknown variant `explode`"),
    ] {
        assert!(words.contains(&format!("{place}: {fault}")), "{words}");
    }
    assert_eq!(words.matches("meadowhold-rig: ").count(), 1, "{words}");
    assert!(!words.contains("panicked"), "{words}");
}

#[test]
fn couriers_beyond_the_limits_of_a_day_are_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("day.toml");
    fs::write(&file, "[notes]\ntold = true\n[[trouble]]\nwhat = \"kill\"\nwhich = [3]\n").unwrap();
    let file = file.to_str().unwrap();
    assert!(fails(&["day", file, "--couriers", "2"]).contains("trouble.0.which: there is no 3; give 0 to 1"));
    assert!(fails(&["day", file, "--couriers", "60"]).contains("60 is out of bounds; give 1 to 40"));
}

#[test]
fn invalid_arguments_are_rejected_with_a_message() {
    let rows: [(&[&str], &str); 6] = [
        (&["dance"], "no command dance"),
        (&["day"], "missing argument: the day's file"),
        (&["day", "nowhere.toml"], "nowhere.toml cannot be read"),
        (&["day", "x.toml", "--seed", "much"], "seed"),
        (&["day", "x.toml", "y.toml"], "unexpected argument y.toml;"),
        (&["first", "x"], "unexpected argument x;"),
    ];
    for (arguments, words) in rows {
        let said = fails(arguments);
        assert!(said.contains(words), "{arguments:?}: {said}");
    }
}
