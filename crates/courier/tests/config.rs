//! Output and exit codes of the command: arguments, configuration faults, and the log.

mod common;

use std::fs::{self, File};
use std::net::TcpListener;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

use common::{command, settings, unique_address, wait_until, Folder};
use meadowhold_courier::config::Config;
use meadowhold_courier::journal::Journal;
use serde_json::{json, Value};

const EXAMPLE: &str = include_str!("../../../deploy/example.json");

/// A configuration as the platform provides it, with an additional unknown field.
fn example() -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:6379", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3}, "new": {"to": ["come"]},
        "known": {"index": 3, "snapshot": true, "endpoints": []}, "settings": settings()})
}

fn only_router_state(name: &str) -> Option<String> {
    (name == "ROUTER_STATE").then(|| "state".to_string())
}

/// The error for a configuration, or `None` if it is valid.
fn config_error(text: &[u8], variable: &dyn Fn(&str) -> Option<String>) -> Option<String> {
    Config::read(text, variable).err().map(|error| error.to_string())
}

/// Sets the value at a path such as `/limits/sockets`, or removes it if `value` is `None`.
fn change(config: &mut Value, path: &str, value: Option<Value>) {
    let (above, key) = path.rsplit_once('/').unwrap();
    let above = config.pointer_mut(above).unwrap();
    match (above, value) {
        (Value::Object(map), Some(value)) => drop(map.insert(key.to_string(), value)),
        (Value::Object(map), None) => drop(map.remove(key)),
        (Value::Array(items), Some(value)) => items[key.parse::<usize>().unwrap()] = value,
        _ => panic!("{path} does not exist"),
    }
}

fn exit_code_and_output(command: &mut Command) -> (i32, String, String) {
    let Output { status, stdout, stderr } = command.stdin(Stdio::null()).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (status.code().expect("the process was killed by a signal"), text(stdout), text(stderr))
}

#[test]
fn three_faults_in_a_file_are_reported_in_one_line_with_their_places() {
    type Change = (&'static str, Option<Value>);
    let rows: [([Change; 3], [&str; 3]); 11] = [
        (
            [
                ("/limits/sockets", Some(json!(63))),
                ("/limits/disk_mb", Some(json!(0))),
                ("/listen", Some(json!("here"))),
            ],
            [
                "limits.sockets is under 64",
                "limits.disk_mb is no size",
                "listen or ROUTER_LISTEN is no address: here",
            ],
        ),
        (
            [
                ("/limits/sockets", Some(json!("many"))),
                ("/limits/disk_mb", Some(json!(null))),
                ("/name", Some(json!(4))),
            ],
            [
                "limits.sockets cannot be read: invalid type: string",
                "limits.disk_mb cannot be read: invalid type: null",
                "name cannot be read: invalid type",
            ],
        ),
        (
            [("/limits/sockets", Some(json!(-1))), ("/listen", None), ("/settings", None)],
            ["limits.sockets cannot be read", "listen or ROUTER_LISTEN is not set", "settings is missing"],
        ),
        (
            [
                ("/settings/Limits/MaxOpen", None),
                ("/settings/ResolutionUs", Some(json!("often"))),
                ("/settings/Profiles/2/PromiseUs", Some(json!(u64::MAX))),
            ],
            [
                "setting Limits.MaxOpen is missing",
                "setting ResolutionUs cannot be read",
                "setting Profiles.2.PromiseUs is no time",
            ],
        ),
        (
            [
                ("/settings/Profiles", Some(json!([]))),
                ("/known/index", Some(json!(-4))),
                ("/seed", Some(json!([1]))),
            ],
            ["setting Profiles.count is missing", "known.index cannot be read", "seed cannot be read"],
        ),
        (
            [
                ("/settings", Some(json!(null))),
                ("/known", Some(json!("none"))),
                ("/discovery", Some(json!("127.0.0.1"))),
            ],
            [
                "settings is missing",
                "known cannot be read",
                "discovery or ROUTER_DISCOVERY is no address: 127.0.0.1",
            ],
        ),
        (
            [
                ("/peers", Some(json!({"listen": 7, "others": ["127.0.0.1:1", 1, "127.0.0.1:2", 2]}))),
                ("/limits/sockets", Some(json!(8))),
                ("/discovery", Some(json!(1))),
            ],
            [
                "peers.listen cannot be read",
                "peers.others[1] cannot be read",
                "peers.others[3] cannot be read",
            ],
        ),
        (
            [
                ("/peers", Some(json!({"listne": "127.0.0.1:1", "others": ["a", "127.0.0.1:1", "b"]}))),
                ("/limits/sockets", Some(json!(8))),
                ("/discovery", Some(json!(1))),
            ],
            [
                "peers.listne cannot be read: unknown field",
                "peers.others is no address: a, b",
                "peers.listen not set",
            ],
        ),
        (
            [
                ("/peers", Some(json!({"listen": null, "others": vec!["127.0.0.1:1"; 2049]}))),
                ("/settings/Limits/MayTell", Some(json!("perhaps"))),
                ("/known/endpoints", Some(json!({}))),
            ],
            ["peers.listen not set", "peers.others length", "setting Limits.MayTell cannot be read"],
        ),
        (
            [
                ("/peers", Some(json!({"listen": "127.0.0.1:1", "others": []}))),
                ("/limits", Some(json!("none"))),
                ("/listen", Some(json!({}))),
            ],
            [
                "peers are configured, but setting Limits.MayTell",
                "limits cannot be read: invalid type",
                "listen cannot be read: invalid type",
            ],
        ),
        (
            [
                ("/known/snapshot", Some(json!("yes"))),
                ("/settings/FamilyInfo/KindBatch", Some(json!(["a", "b"]))),
                ("/settings/Profiles/0/Effect", Some(json!("none"))),
            ],
            [
                "known.snapshot cannot be read",
                "setting FamilyInfo.KindBatch cannot be read",
                "setting Profiles.0.Effect cannot be read",
            ],
        ),
    ];
    let folder = Folder::new();
    for (changes, places) in rows {
        let mut config = example();
        for (path, value) in changes {
            change(&mut config, path, value);
        }
        for subcommand in ["check", "serve"] {
            let mut command = command(&folder, &config, subcommand);
            let (code, out, stderr) = exit_code_and_output(command.env_remove("ROUTER_DISCOVERY"));
            assert_eq!((code, &out[..], stderr.lines().count()), (1, "", 1), "{stderr}");
            for place in places {
                let count = stderr.matches(&format!(" {place}")).count();
                assert_eq!(count, 1, "{place} is reported {count} times: {stderr}");
            }
        }
    }
}

#[test]
fn limits_of_the_list_have_defaults_and_are_validated() {
    let read = |config: &Value| Config::read(config.to_string().as_bytes(), &only_router_state);
    let limits = read(&example()).map(|config| config.list_limits).unwrap();
    assert_eq!((limits.entries, limits.bytes), (700_000, 128_000_000));
    let mut config = example();
    (config["limits"]["list_entries"], config["limits"]["list_mb"]) = (json!(9_000), json!(0.5));
    let limits = read(&config).map(|config| config.list_limits).unwrap();
    assert_eq!((limits.entries, limits.bytes), (9_000, 500_000));
    (config["limits"]["list_entries"], config["limits"]["list_mb"]) = (json!(0), json!(0));
    let error = config_error(config.to_string().as_bytes(), &only_router_state).unwrap();
    assert_eq!(error, "limits.list_entries must be at least 1; limits.list_mb is no size");
}

#[test]
fn environment_variables_override_the_file_and_are_named_in_errors() {
    let variables = |name: &str| match name {
        "ROUTER_NAME" => Some("n9".to_string()),
        "ROUTER_LISTEN" => Some("127.0.0.9:1".to_string()),
        name => only_router_state(name),
    };
    let mut file = example();
    file["listen"] = json!("not an address, and not used");
    let config = Config::read(file.to_string().as_bytes(), &variables).unwrap();
    assert_eq!((&config.name[..], &config.listen.to_string()[..]), ("n9", "127.0.0.9:1"));
    assert_eq!((config.discovery.port(), config.sockets, config.disk), (8500, 256, 3_000_000));
    assert_eq!(config.peers, None);

    let wrong = |name: &str| (name == "ROUTER_DISCOVERY").then(|| "nowhere".to_string());
    assert_eq!(
        config_error(example().to_string().as_bytes(), &wrong).unwrap(),
        "ROUTER_STATE is not set; discovery or ROUTER_DISCOVERY is no address: nowhere"
    );
}

#[test]
fn peers_are_read_when_notes_are_allowed() {
    let mut file = example();
    file["settings"]["Limits"]["MayTell"] = json!(true);
    file["peers"] = json!({"listen": "127.0.0.1:1", "others": ["127.0.0.2:1", "127.0.0.3:1"]});
    let peers = Config::read(file.to_string().as_bytes(), &only_router_state).unwrap().peers.unwrap();
    assert_eq!((peers.listen.port(), peers.others.len()), (1, 2));
}

#[test]
fn a_file_truncated_at_any_byte_is_rejected_with_a_position() {
    assert_eq!(config_error(EXAMPLE.as_bytes(), &only_router_state), None);
    let text = EXAMPLE.trim_end().as_bytes();
    for end in 0..text.len() {
        let error = config_error(&text[..end], &only_router_state)
            .unwrap_or_else(|| panic!("accepted when cut at byte {end}"));
        let located = error.contains("EOF while parsing") && error.contains(" at line ");
        assert!(located && error.lines().count() == 1, "at byte {end}: {error}");
    }
    // Trailing characters and invalid UTF-8 are rejected.
    let mut more = text.to_vec();
    more.push(b'}');
    assert!(config_error(&more, &only_router_state).unwrap().contains("trailing characters at line "));
    assert!(config_error(b"{\"name\": \"\xff\"}", &only_router_state).unwrap().contains(" at line 1"));
    // Duplicate keys are reported.
    let twice = EXAMPLE.replacen('{', "{\"name\": \"other\", ", 1);
    assert!(config_error(twice.as_bytes(), &only_router_state).unwrap().contains("duplicate field `name`"));
    assert!(config_error("[".repeat(100_000).as_bytes(), &only_router_state).is_some());
}

/// Collects a JSON pointer to every value.
fn places(value: &Value, at: &str, out: &mut Vec<String>) {
    out.push(at.to_string());
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| places(value, &format!("{at}/{key}"), out)),
        Value::Array(items) => {
            items.iter().enumerate().for_each(|(i, value)| places(value, &format!("{at}/{i}"), out));
        }
        _ => {}
    }
}

#[test]
fn any_value_at_any_place_is_accepted_or_rejected_in_one_line() {
    let mut file: Value = serde_json::from_str(EXAMPLE).unwrap();
    file["settings"]["Limits"]["MayTell"] = json!(true);
    file["peers"] = json!({"listen": "127.0.0.1:1", "others": ["127.0.0.2:1"]});
    let mut all = Vec::new();
    places(&file, "", &mut all);
    let values = [
        json!(null),
        json!(-1),
        json!(1e300),
        json!(u64::MAX),
        json!(""),
        json!("x\ny"),
        json!([{}]),
        json!({"": 1}),
    ];
    let mut rejected = 0;
    file["peers"]["a\nb"] = json!(null);
    assert!(config_error(file.to_string().as_bytes(), &only_router_state)
        .unwrap()
        .contains("peers.a b cannot be read"));
    file["peers"] = json!({"listen": "127.0.0.1:1", "others": vec![1; 100_000]});
    assert!(config_error(file.to_string().as_bytes(), &only_router_state)
        .unwrap()
        .contains("peers.others[31] cannot be"));
    file["peers"]["others"] = json!(["127.0.0.2:1"]);
    for place in all {
        for value in &values {
            let mut file = file.clone();
            *file.pointer_mut(&place).unwrap() = value.clone();
            if let Some(error) = config_error(file.to_string().as_bytes(), &only_router_state) {
                rejected += 1;
                assert!(error.lines().count() == 1, "{place} {value}: {error}");
                let first = place.split('/').nth(1).unwrap_or_default().trim_end_matches('s');
                assert!(error.contains(first), "{place} {value}: {error}");
            }
        }
    }
    assert!(rejected > 100, "only {rejected} were rejected");
}

#[test]
fn each_command_has_its_output_and_exit_code() {
    let version = concat!("meadowhold ", env!("CARGO_PKG_VERSION"), "\n");
    let commands = ["serve", "check", "owed", "relay", "version", "help"];
    // (arguments, exit code, on standard output, on standard error)
    let rows: [(&[&str], i32, &str, &str); 19] = [
        (&[], 0, "owed", ""),
        (&["help"], 0, "owed", ""),
        (&["--help"], 0, "owed", ""),
        (&["-h"], 0, "owed", ""),
        (&["serve", "-h"], 0, "owed", ""),
        (&["version"], 0, version, ""),
        (&["--version"], 0, version, ""),
        (&["-V"], 0, version, ""),
        (&["check", "-V"], 0, version, ""),
        (&["check"], 0, "n1 would serve at 127.0.0.1:6379\nlist and notices: 127.0.0.1:8500; journal: ", ""),
        (&["owed"], 0, "0 mails owed; 0 bytes cannot be read\n", ""),
        (&["owed", "state"], 0, "0 mails owed; 0 bytes cannot be read\n", ""),
        (&["owed", "a"], 1, "", "meadowhold: the journal in a: No such file or directory (os error 2)\n"),
        (&["owed", "a", "b"], 1, "", "meadowhold: unexpected argument 'b' found; see meadowhold help\n"),
        (&["serve", "now"], 1, "", "meadowhold: unexpected argument 'now' found; see meadowhold help\n"),
        (&["check", "--all"], 1, "", "meadowhold: unexpected argument '--all' found; see meadowhold help\n"),
        (&["help", "serve"], 1, "", "meadowhold: unexpected argument 'serve' found; see meadowhold help\n"),
        (&["serv"], 1, "", "meadowhold: unrecognized subcommand 'serv'; see meadowhold help\n"),
        (&["drain"], 1, "", "meadowhold: unrecognized subcommand 'drain'; see meadowhold help\n"),
    ];
    let folder = Folder::new();
    // An empty journal.
    drop(Journal::open(&folder.path.join("state"), 3_000_000).unwrap());
    for (arguments, code, out, stderr) in rows {
        let template = command(&folder, &example(), "check");
        let mut command = Command::new(template.get_program());
        command.args(arguments).current_dir(&folder.path).env_clear();
        command.envs(template.get_envs().filter_map(|(name, value)| Some((name, value?))));
        let got = exit_code_and_output(&mut command);
        assert_eq!((got.0, &got.2[..]), (code, stderr), "{arguments:?}: {got:?}");
        assert!(got.1.contains(out) && got.1.is_empty() == (code != 0), "{arguments:?}: {got:?}");
        if out == "owed" {
            for command in commands {
                assert_eq!(got.1.matches(&format!("\n  {command} ")).count(), 1, "{command}: {}", got.1);
            }
            assert!(
                got.1.contains(
                    "[serve | check | owed [FOLDER] | relay [FILE | status ADDRESS] | version | help]"
                ),
                "{}",
                got.1
            );
            assert_eq!(
                got.1.matches("\n  ").count(),
                commands.len() + 2,
                "unexpected further lines: {}",
                got.1
            );
        }
    }
}

#[test]
fn a_command_names_the_variable_or_file_that_is_missing() {
    let folder = Folder::new();
    let absent = folder.path.join("absent.json");
    let rows = [
        ("check", None, "ROUTER_CONFIG is not set"),
        ("serve", None, "ROUTER_CONFIG is not set"),
        ("serve", Some(""), "ROUTER_CONFIG is not set"),
        ("check", absent.to_str(), "cannot be read: No such file"),
        ("owed", None, "ROUTER_STATE is not set"),
    ];
    for (subcommand, path, expected) in rows {
        let mut command = Command::new(env!("CARGO_BIN_EXE_meadowhold"));
        command.arg(subcommand).env_clear().envs(path.map(|path| ("ROUTER_CONFIG", path)));
        let (code, out, stderr) = exit_code_and_output(&mut command);
        assert_eq!((code, &out[..], stderr.lines().count()), (1, "", 1), "{stderr}");
        assert!(stderr.starts_with("meadowhold: ") && stderr.contains(expected), "{stderr}");
    }
}

/// A process that is killed when dropped.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the log of a courier that fails to read the list a few times and is then told to reload an invalid file.
/// At the most verbose level, the log has lines of all four levels.
fn log_of_failing_courier(rust_log: Option<&str>) -> String {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let (folder, mut config) = (Folder::new(), example());
    config["listen"] = json!(unique_address().to_string());
    config["discovery"] = json!(discovery.local_addr().unwrap().to_string());
    let asked = Arc::new(AtomicUsize::new(0));
    let count = asked.clone();
    thread::spawn(move || {
        for stream in discovery.incoming() {
            drop(stream);
            count.fetch_add(1, Ordering::SeqCst);
        }
    });
    let path = folder.path.join("log");
    let log = || fs::read_to_string(&path).unwrap();
    let mut command = command(&folder, &config, "serve");
    command.env_remove("RUST_LOG").envs(rust_log.map(|rust_log| ("RUST_LOG", rust_log)));
    let mut running = Running(command.stderr(File::create(&path).unwrap()).spawn().unwrap());
    let id = running.0.id().to_string();
    let signal = |name: &str| assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    // The third attempt begins after the second has been logged.
    wait_until("attempts to read the list", || asked.load(Ordering::SeqCst) >= 3);
    fs::write(folder.path.join("config.json"), "{").unwrap();
    signal("-HUP");
    if rust_log != Some("off") {
        wait_until("the error for the invalid file", || log().contains("cannot reload the configuration"));
    }
    signal("-TERM");
    wait_until("its end", || running.0.try_wait().unwrap().is_some());
    log()
}

#[test]
fn rust_log_selects_the_levels_that_are_logged() {
    // (RUST_LOG, the levels that are written)
    let rows: [(Option<&str>, &[&str]); 11] = [
        (None, &["ERROR", "WARN", "INFO"]),
        (Some(""), &["ERROR", "WARN", "INFO"]),
        (Some("off"), &[]),
        (Some("error"), &["ERROR"]),
        (Some("warn"), &["ERROR", "WARN"]),
        (Some("info"), &["ERROR", "WARN", "INFO"]),
        (Some("debug"), &["ERROR", "WARN", "INFO", "DEBUG"]),
        (Some("DEBUG"), &["ERROR", "WARN", "INFO", "DEBUG"]),
        (Some("error,meadowhold_courier::discovery=debug"), &["ERROR", "WARN", "DEBUG"]),
        (Some("debug,meadowhold_courier::discovery=warn"), &["ERROR", "WARN", "INFO"]),
        (Some("info,meadowhold_courier=what"), &["ERROR", "WARN", "INFO"]),
    ];
    thread::scope(|scope| {
        for (rust_log, levels) in rows {
            scope.spawn(move || {
                let log = log_of_failing_courier(rust_log);
                for level in ["ERROR", "WARN", "INFO", "DEBUG"] {
                    let line = |line: &str| line.split_whitespace().nth(1) == Some(level);
                    let written = log.lines().any(line);
                    assert_eq!(written, levels.contains(&level), "{level} at {rust_log:?}: {log}");
                }
                // Lines have a time and a target.
                let has_time_and_target =
                    |line: &str| line.starts_with("[20") && line.contains("Z ") && line.contains("] ");
                assert!(log.lines().all(has_time_and_target), "{log}");
                assert_eq!(
                    log.contains("RUST_LOG: ignoring invalid directive"),
                    rust_log.is_some_and(|w| w.contains("what"))
                );
            });
        }
    });
}
