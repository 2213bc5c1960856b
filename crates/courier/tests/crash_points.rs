//! Recovery after a process that ended at an arbitrary instant: a journal cut at every byte, a disk that is full at each
//! record, and real processes killed or shut down at critical moments.

mod common;
#[path = "common/process.rs"]
mod process;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::TcpListener;
use std::process::{Child, Command};
use std::thread;

use common::{
    command, config, put, unique_address, wait_until, wait_until_ready, Client, Courier, Endpoint, Folder,
    Platform, Reply, OK,
};
use meadowhold::interface::{Outcome, Time, SECOND};
use meadowhold_courier::exchange::{Answer, ConnectReport};
use meadowhold_courier::journal::Verdict;
use process::{Process, START};
use serde_json::json;

const ALLOWANCE: u64 = 3_000_000;

fn journal_size(folder: &Folder) -> usize {
    fs::metadata(folder.path.join("journal")).unwrap().len() as usize
}

/// A journal, and its length at each event of the run that wrote it.
struct RecordedRun {
    folder: Folder,
    /// For each mail, the length from which it is owed and the length from which it is settled.
    owed: BTreeMap<&'static str, (usize, usize)>,
    /// The lengths at which connects began, and those at which it was known that the connect had not run.
    begun: Vec<(&'static str, usize)>,
    never_ran: BTreeMap<&'static str, usize>,
    given_up_at: BTreeMap<&'static str, usize>,
}

/// Runs one process with mails that are relayed, unreached and sent again, broken, retried after an error, relayed late,
/// in flight at the end, and given up untried.
fn recorded_run() -> RecordedRun {
    let folder = Folder::new();
    let mut process = Process::start(&folder, ALLOWANCE, START, None);
    let (mut owed, mut begun) = (BTreeMap::new(), Vec::new());
    let (mut never_ran, mut given_up_at) = (BTreeMap::new(), BTreeMap::new());
    let rows: [(&str, &str, &[Outcome]); 6] = [
        ("relayed", "once", &[Outcome::Relayed]),
        ("refused", "once", &[Outcome::Unreached, Outcome::Relayed]),
        ("broken", "once", &[Outcome::Broken]),
        ("again", "again", &[Outcome::Error, Outcome::Relayed]),
        ("late", "turns", &[Outcome::Silent]),
        ("out", "once", &[]),
    ];
    for (destination, (id, class, outcomes)) in (0..).zip(rows) {
        assert!(matches!(process.put(id, class, destination), Answer::Taken(_)));
        owed.insert(id, (journal_size(&folder), usize::MAX));
        for (i, &outcome) in outcomes.iter().enumerate() {
            let call = process.call().unwrap();
            // From this length on the mail may have been sent.
            assert!(process.begin(&call));
            begun.push((id, journal_size(&folder)));
            let serial = call.mails[0].serial;
            process.exchange.connect_ended(serial, ConnectReport::of(outcome));
            if outcome == Outcome::Unreached && i == 0 {
                never_ran.insert(id, journal_size(&folder));
            }
            if outcome == Outcome::Silent {
                process.exchange.relayed_late(serial);
            }
            process.exchange.turn();
            process.verdicts().iter().for_each(|(_, verdict)| assert_eq!(*verdict, Verdict::Dead));
            if id == "broken" {
                process.exchange.notice_accepted(serial);
            }
        }
        if id == "out" {
            let call = process.call().unwrap();
            assert!(process.begin(&call));
            begun.push((id, journal_size(&folder)));
        } else {
            owed.get_mut(id).unwrap().1 = journal_size(&folder);
        }
    }
    // Not tried within its lifetime: given up, with the notice not yet delivered.
    let call = {
        assert!(matches!(process.put("untried", "once", 9), Answer::Taken(_)));
        owed.insert("untried", (journal_size(&folder), usize::MAX));
        process.advance(5 * SECOND);
        process.calls()
    };
    assert!(call.is_empty());
    assert_eq!(process.verdicts().len(), 1);
    given_up_at.insert("untried", journal_size(&folder));
    RecordedRun { folder, owed, begun, never_ran, given_up_at }
}

#[test]
fn a_journal_cut_at_any_byte_loses_no_owed_mail_and_repeats_no_once_only_mail() {
    let run = recorded_run();
    let whole = fs::read(run.folder.path.join("journal")).unwrap();
    let next = Folder::new();
    for cut in 0..=whole.len() {
        fs::write(next.path.join("journal"), &whole[..cut]).unwrap();
        // A compaction that was cut off at the same time.
        fs::write(next.path.join("journal.new"), &whole[..cut / 2]).unwrap();
        let mut process = Process::start(&next, ALLOWANCE, START + SECOND, None);
        let (sent, ends) = process.run_for(SECOND, Outcome::Relayed);
        let mut settled: BTreeSet<&str> = sent.iter().map(String::as_str).collect();
        settled.extend(ends.iter().map(|(id, _)| id.as_str()));
        for (id, &(from, to)) in &run.owed {
            let owed = from <= cut && cut < to;
            assert!(!owed || settled.contains(id), "cut at {cut}: {id} is lost");
        }
        for id in ["relayed", "refused", "broken", "out"] {
            let after = run.never_ran.get(id).copied().unwrap_or(0);
            let last = run.begun.iter().rfind(|(begun, _)| *begun == id).map(|&(_, at)| at);
            let first = run.begun.iter().find(|(begun, _)| *begun == id).map(|&(_, at)| at);
            // A connect is on file, and it is not known that it did not run.
            let ran = first.is_some_and(|at| at <= cut && cut < after) || last.is_some_and(|at| at <= cut);
            let times = sent.iter().filter(|sent| *sent == id).count();
            assert!(times <= usize::from(!ran), "cut at {cut}: {id} is sent {times} times");
        }
        for (id, &at) in &run.given_up_at {
            assert!(
                cut < at || !sent.iter().any(|sent| sent == id),
                "cut at {cut}: {id} was sent after it was given up"
            );
        }
        let ended: BTreeSet<&String> = ends.iter().map(|(id, _)| id).collect();
        assert_eq!(ended.len(), ends.len(), "one notice for each mail");
        drop(process);
        fs::remove_file(next.path.join("journal")).unwrap();
    }
}

/// Makes compaction fail, as on a full disk: a folder has the name of the new file.
fn block_compaction(folder: &Folder) {
    fs::create_dir(folder.path.join("journal.new")).unwrap();
}

fn unblock_compaction(folder: &Folder) {
    fs::remove_dir(folder.path.join("journal.new")).unwrap();
}

/// A process with 40 untried mails on a disk that has no space left for any record.
fn process_on_full_disk(folder: &Folder) -> Process {
    let mut process = Process::start(folder, 100_000, START, None);
    let spare: Vec<Answer> = (0..20).map(|i| process.put(&format!("spare-{i}"), "once", 1)).collect();
    for i in 0..40 {
        assert!(matches!(process.put(&format!("kept-{i}"), "once", i % 10), Answer::Taken(_)));
    }
    block_compaction(folder);
    let mut gone = 0;
    while let Answer::Taken(serial) = process.put(&format!("gone-{gone}"), "once", 1) {
        process.exchange.withdraw(serial);
        gone += 1;
    }
    assert!((100..2000).contains(&gone), "{gone}");
    // Smaller records fill the space that is too small for a mail.
    for answer in spare {
        let Answer::Taken(serial) = answer else { panic!("{answer:?}") };
        process.exchange.withdraw(serial);
    }
    process
}

#[test]
fn on_a_full_disk_no_mail_is_accepted_no_call_begins_and_no_told_mail_is_sent_later() {
    // Within the mails' time, and past it: then they are told of without a record.
    for (runs_for, is_told) in [(2 * SECOND, false), (6 * SECOND, true)] {
        let folder = Folder::new();
        let mut process = process_on_full_disk(&folder);
        let (sent, ends) = process.run_for(runs_for, Outcome::Relayed);
        assert!(sent.is_empty(), "a call began without a journal record");
        assert_eq!(!ends.is_empty(), is_told, "a notice waits for its record while a later process may call");
        assert_eq!(process.put("more", "once", 1), Answer::Busy);
        drop(process);
        unblock_compaction(&folder);
        let mut next = Process::start(&folder, 100_000, START + runs_for + SECOND, None);
        let (sent, _) = next.run_for(SECOND, Outcome::Relayed);
        assert_eq!(sent.is_empty(), is_told, "what nobody was told of is tried");
        let twice = ends.iter().find(|(id, _)| sent.contains(id));
        assert_eq!(twice, None, "told of, and sent all the same");
    }
}

#[test]
fn owed_mails_are_settled_after_a_start_on_a_full_disk() {
    for torn in [0, 1, 7] {
        let folder = Folder::new();
        let mut process = Process::start(&folder, ALLOWANCE, START, None);
        for (id, destination) in [("out", 1), ("untried", 2)] {
            assert!(matches!(process.put(id, "once", destination), Answer::Taken(_)));
            if id == "out" {
                let call = process.call().unwrap();
                assert!(process.begin(&call));
            }
        }
        drop(process);
        // Part of a record, left by a write that was interrupted.
        let path = folder.path.join("journal");
        let mut bytes = fs::read(&path).unwrap();
        bytes.extend(&[0, 0, 0, 9, 1, 2, 3][..torn]);
        fs::write(&path, bytes).unwrap();
        block_compaction(&folder);
        let mut next = Process::start(&folder, ALLOWANCE, START + SECOND, None);
        let (sent, ends) = next.run_for(SECOND, Outcome::Error);
        assert_eq!(sent, ["untried"], "{torn}");
        assert_eq!(ends.iter().map(|(id, _)| id.as_str()).collect::<Vec<_>>(), ["out", "untried"], "{torn}");
        drop(next);
        // Records that were appended after the truncation are read.
        let mut last = Process::start(&folder, ALLOWANCE, START + 2 * SECOND, None);
        let (sent, ends) = last.run_for(SECOND, Outcome::Relayed);
        assert_eq!((sent.len(), ends.len()), (0, 2), "{torn}");
    }
}

#[test]
fn no_repeat_begins_after_the_dedup_window_even_if_its_connection_was_slow() {
    for restart in [false, true] {
        // (milliseconds from the first connect to the decision to repeat it, milliseconds until the repeat has a
        // connection, whether the repeat begins)
        for (decided, connected, begins) in
            [(800, 150, true), (800, 199, true), (800, 200, false), (850, 400, false)]
        {
            let folder = Folder::new();
            let mut process = Process::start(&folder, ALLOWANCE, START, Some(1_000_000));
            assert!(matches!(process.put("01", "tagged", 1), Answer::Taken(_)));
            let first = process.call().unwrap();
            // The first connect waited for a connection as well: the window starts when it was sent.
            process.advance(300);
            assert!(process.begin(&first));
            let sent = process.now;
            if restart {
                drop(process);
                process = Process::start(&folder, ALLOWANCE, sent + decided * 10, Some(1_000_000));
            } else {
                process.advance(decided * 10);
                process.exchange.connect_ended(first.mails[0].serial, ConnectReport::of(Outcome::Silent));
            }
            let repeat = process.calls().pop().unwrap();
            assert_eq!(repeat.mails[0].send_before, sent + SECOND, "the latest time for the last byte");
            let mut mails = repeat.mails.clone();
            mails[0].times_out_at = Time::MAX;
            process.advance(connected * 10);
            let begun = process.exchange.begin(&repeat, mails).len();
            assert_eq!(begun == 1, begins, "{restart} {decided} {connected}");
        }
    }
}

#[test]
fn after_the_clock_is_set_back_a_tagged_mail_is_not_repeated() {
    let folder = Folder::new();
    let mut process = Process::start(&folder, ALLOWANCE, START + 10 * SECOND, None);
    assert!(matches!(process.put("01", "tagged", 1), Answer::Taken(_)));
    let call = process.call().unwrap();
    assert!(process.begin(&call));
    drop(process);
    let mut next = Process::start(&folder, ALLOWANCE, START, None);
    let (sent, ends) = next.run_for(SECOND, Outcome::Relayed);
    assert_eq!((sent, ends.len()), (vec![], 1));
}

/// A courier with a limit of a few kilobytes on the size of its files; a write across the limit is a partial one.
struct FileSizeLimited(Child);

impl Drop for FileSizeLimited {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_with_file_size_limit(folder: &Folder, config: &serde_json::Value) -> FileSizeLimited {
    let plain = command(folder, config, "serve");
    let mut shell = Command::new("/bin/bash");
    let limits = "trap '' XFSZ; ulimit -S -f 4; exec \"$0\" serve";
    shell.env_clear().arg("-c").arg(limits).arg(plain.get_program());
    shell.envs(plain.get_envs().filter_map(|(name, value)| Some((name, value?))));
    FileSizeLimited(shell.spawn().unwrap())
}

#[test]
fn a_disk_that_fills_up_within_a_record_leaves_only_whole_records() {
    // Bodies of different lengths place the limit in different records and at different offsets within them.
    let runs: Vec<_> = (0..8)
        .map(|run| {
            thread::spawn(move || {
                let (platform, endpoint) = (Platform::new(), Endpoint::new(&[]));
                platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
                let (folder, listen) = (Folder::new(), unique_address());
                let config = config(&platform, listen);
                let process = start_with_file_size_limit(&folder, &config);
                wait_until_ready(listen);
                let mut client = Client::connect(listen).unwrap();
                let (mut taken, mut busy) = (Vec::new(), 0);
                for i in 0..60 {
                    let id = format!("{run}-{i:02}");
                    let body = vec![b'x'; 100 + 17 * run];
                    match &client.request(&put("0", &id, "once", "d=8000,k=5c0f", &body))[..] {
                        "+OK" => taken.push(id),
                        "-BUSY" => busy += 1,
                        other => panic!("{other}"),
                    }
                }
                assert!(taken.len() > 3 && busy > 3, "{run}: {} {busy}", taken.len());
                // Lift the limit.
                let mut raise = Command::new("prlimit");
                raise.args(["--pid", &process.0.id().to_string(), "--fsize=unlimited"]);
                assert!(raise.status().unwrap().success());
                for i in 60..65 {
                    let id = format!("{run}-{i:02}");
                    assert_eq!(client.put(&id, "once", "d=8000,k=5c0f"), "+OK");
                    taken.push(id);
                }
                drop(process);
                let mut courier = RestartedCourier::new(&folder, &config, listen);
                wait_until("settling of all mails", || courier.owes_nothing());
                courier.end();
                let (calls, notices) = (endpoint.ids(), platform.notices());
                for id in &taken {
                    let ends = notices.iter().filter(|(notified, _)| notified == id).count();
                    let runs = calls.iter().filter(|call| *call == id).count();
                    assert!(runs <= 1 && runs + ends > 0, "{id}: {runs} calls, {ends} notices");
                }
                let refused = calls.iter().filter(|id| !taken.contains(id)).count();
                assert_eq!(refused, 0, "a mail that was not accepted was sent");
            })
        })
        .collect();
    runs.into_iter().for_each(|run| run.join().unwrap());
}

/// The next process on the same folder.
struct RestartedCourier<'a>(&'a Folder, &'a serde_json::Value, Child);

impl<'a> RestartedCourier<'a> {
    fn new(
        folder: &'a Folder,
        config: &'a serde_json::Value,
        listen: std::net::SocketAddr,
    ) -> RestartedCourier<'a> {
        let child = command(folder, config, "serve").spawn().unwrap();
        wait_until_ready(listen);
        RestartedCourier(folder, config, child)
    }

    fn owes_nothing(&self) -> bool {
        let output = command(self.0, self.1, "owed").output().unwrap();
        String::from_utf8(output.stdout).unwrap().starts_with("0 mails owed; 0 bytes")
    }

    fn end(&mut self) {
        let _ = self.2.kill();
        let _ = self.2.wait();
    }
}

impl Drop for RestartedCourier<'_> {
    fn drop(&mut self) {
        self.end();
    }
}

/// A discovery server that accepts connections and never answers.
fn unresponsive_discovery() -> (std::net::SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    (listener.local_addr().unwrap(), listener)
}

#[test]
fn a_shutdown_during_recovery_loses_no_mail_and_repeats_none() {
    let platform = Platform::new();
    let slow = Endpoint::new(&[Reply::Delayed(9000, Box::new(OK))]);
    let endpoint = Endpoint::new(&[]);
    // The endpoints are known but draining, so the mails stay untried.
    platform.set_entry("e1", endpoint.address, "single", 7, "DRAINING");
    platform.set_entry("e2", slow.address, "single", 8, "DRAINING");
    let mut courier = Courier::start(&platform, |_| {});
    let mut client = courier.client();
    for (id, class) in [("01", "once"), ("02", "again"), ("03", "tagged"), ("04", "turns")] {
        assert_eq!(client.put(id, class, "d=20000,k=5c0f"), "+OK");
    }
    assert_eq!(client.put("out", "once", "dest=8,d=20000"), "+OK");
    courier.kill();
    // Discovery does not answer now, and the configuration lists both endpoints as serving.
    platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
    platform.set_entry("e2", slow.address, "single", 8, "SERVING");
    let (address, listener) = unresponsive_discovery();
    courier.config["known"] = platform.list_json();
    courier.config["known"]["index"] = json!(1000);
    courier.config["discovery"] = json!(address.to_string());
    // SIGTERM arrives as soon as the courier asks for the list, before any call can begin.
    let asked = thread::spawn(move || (listener.accept().unwrap(), listener));
    courier.restart();
    let _held = asked.join().unwrap();
    courier.signal("-TERM");
    wait_until("exit of the courier", || courier.ended().is_some());
    courier.config["discovery"] = json!(platform.address.to_string());
    courier.restart();
    wait_until("settling of all mails", || courier.owes_nothing());
    let mut ids = endpoint.ids();
    ids.sort();
    assert_eq!(ids, ["01", "02", "03", "04"]);
    assert_eq!((slow.ids(), platform.notices()), (vec!["out".into()], vec![("out".into(), "dead".into())]));
}

#[test]
fn a_kill_during_shutdown_repeats_only_mails_that_may_be_repeated() {
    let late = Reply::Delayed(9000, Box::new(OK));
    let (platform, endpoints) =
        (Platform::new(), [(); 3].map(|()| Endpoint::new(std::slice::from_ref(&late))));
    for (group, endpoint) in (7..).zip(&endpoints) {
        platform.set_entry(&format!("e{group}"), endpoint.address, "single", group, "SERVING");
    }
    let mut courier = Courier::start(&platform, |_| {});
    let mut client = courier.client();
    for (i, class) in ["once", "again", "tagged"].iter().enumerate() {
        assert_eq!(client.put(class, class, &format!("d=20000,k=5c0f,dest={}", 7 + i)), "+OK");
        wait_until("the call", || !endpoints[i].calls().is_empty());
    }
    courier.signal("-TERM");
    assert_eq!(client.read_line(), "", "shutdown has begun");
    courier.kill();
    courier.restart();
    wait_until("settling of all mails", || courier.owes_nothing());
    assert_eq!(endpoints[0].calls().len(), 1, "a once-only mail was repeated");
    assert!(endpoints[1..].iter().all(|endpoint| endpoint.calls().len() > 1), "the others are repeated");
    assert_eq!(platform.notices(), [("once".to_string(), "dead".to_string())]);
}

#[test]
fn a_notice_in_flight_at_a_kill_is_sent_again() {
    let (platform, endpoint) = (Platform::new(), Endpoint::new(&[Reply::CloseConnection]));
    platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
    let mut courier = Courier::start(&platform, |_| {});
    // From here on notices are read and never answered.
    let (address, listener) = unresponsive_discovery();
    let mut config = courier.config.clone();
    config["discovery"] = json!(address.to_string());
    let notice_server = thread::spawn(move || {
        let mut held = Vec::new();
        for stream in listener.incoming().flatten() {
            let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
            held.push(stream);
            let mut line = String::new();
            std::io::BufRead::read_line(&mut reader, &mut line).unwrap();
            if line.starts_with("POST /v1/notices") {
                return held;
            }
        }
        held
    });
    courier.reconfigure(&config.to_string());
    assert_eq!(courier.client().put("01", "once", "d=8000"), "+OK");
    let _held = notice_server.join().unwrap();
    courier.kill();
    assert_eq!(platform.notices(), []);
    courier.restart();
    wait_until("settling of the mail", || courier.owes_nothing());
    assert_eq!(platform.notices(), [("01".to_string(), "dead".to_string())]);
    assert_eq!(endpoint.calls().len(), 1);
}
