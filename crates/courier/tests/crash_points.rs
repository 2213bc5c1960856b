//! What a process that ended at any instant leaves, and what the next makes of it: the journal cut at every byte, a disk
//! that is full at each record, and real processes killed or asked to end where it hurts most.

mod common;
#[path = "common/process.rs"]
mod process;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::TcpListener;
use std::process::{Child, Command};
use std::thread;

use common::{
    answers, command, config, own_address, put, until, Client, Courier, Endpoint, Folder, Platform, Reply, OK,
};
use meadowhold::interface::{Outcome, Time, SECOND};
use meadowhold_courier::exchange::{Answer, ConnectReport};
use meadowhold_courier::journal::Verdict;
use process::{Process, START};
use serde_json::json;

const ALLOWANCE: u64 = 3_000_000;

fn size(folder: &Folder) -> usize {
    fs::metadata(folder.path.join("journal")).unwrap().len() as usize
}

/// What had happened, and how long the file was, when it was promised or sent.
struct Day {
    folder: Folder,
    /// The length from which a message is owed its end, and that at which nothing more is owed.
    owed: BTreeMap<&'static str, (usize, usize)>,
    /// The lengths at which its attempts began, and when the last could not have run after all.
    begun: Vec<(&'static str, usize)>,
    never: BTreeMap<&'static str, usize>,
    handed_back: BTreeMap<&'static str, usize>,
}

/// A day of one process: served, refused and sent again, broken, given up untried, given up and told of, hung up.
fn day() -> Day {
    let folder = Folder::new();
    let mut process = Process::start(&folder, ALLOWANCE, START, None);
    let (mut owed, mut begun) = (BTreeMap::new(), Vec::new());
    let (mut never, mut handed_back) = (BTreeMap::new(), BTreeMap::new());
    let rows: [(&str, &str, &[Outcome]); 6] = [
        ("served", "once", &[Outcome::Relayed]),
        ("refused", "once", &[Outcome::Unreached, Outcome::Relayed]),
        ("broken", "once", &[Outcome::Broken]),
        ("again", "again", &[Outcome::Error, Outcome::Relayed]),
        ("late", "turns", &[Outcome::Silent]),
        ("out", "once", &[]),
    ];
    for (dest, (id, class, outcomes)) in (0..).zip(rows) {
        assert!(matches!(process.put(id, class, dest), Answer::Taken(_)));
        owed.insert(id, (size(&folder), usize::MAX));
        for (i, &outcome) in outcomes.iter().enumerate() {
            let call = process.call().unwrap();
            // Whatever is cut off behind this length, its bytes may go out now.
            assert!(process.begin(&call));
            begun.push((id, size(&folder)));
            let serial = call.mails[0].serial;
            process.exchange.connect_ended(serial, ConnectReport::of(outcome));
            if outcome == Outcome::Unreached && i == 0 {
                never.insert(id, size(&folder));
            }
            if outcome == Outcome::Silent {
                process.exchange.relayed_late(serial);
            }
            process.exchange.turn();
            process.ends().iter().for_each(|(_, verdict)| assert_eq!(*verdict, Verdict::Dead));
            if id == "broken" {
                process.exchange.notice_accepted(serial);
            }
        }
        if id == "out" {
            let call = process.call().unwrap();
            assert!(process.begin(&call));
            begun.push((id, size(&folder)));
        } else {
            owed.get_mut(id).unwrap().1 = size(&folder);
        }
    }
    // Untried until its time is over: handed back, and not heard of yet.
    let call = {
        assert!(matches!(process.put("untried", "once", 9), Answer::Taken(_)));
        owed.insert("untried", (size(&folder), usize::MAX));
        process.pass(5 * SECOND);
        process.calls()
    };
    assert!(call.is_empty());
    assert_eq!(process.ends().len(), 1);
    handed_back.insert("untried", size(&folder));
    Day { folder, owed, begun, never, handed_back }
}

#[test]
fn whichever_byte_of_the_journal_was_the_last_one_nothing_owed_is_dropped_and_nothing_runs_twice() {
    let day = day();
    let whole = fs::read(day.folder.path.join("journal")).unwrap();
    let next = Folder::new();
    for cut in 0..=whole.len() {
        fs::write(next.path.join("journal"), &whole[..cut]).unwrap();
        // Left half written at the same moment.
        fs::write(next.path.join("journal.new"), &whole[..cut / 2]).unwrap();
        let mut process = Process::start(&next, ALLOWANCE, START + SECOND, None);
        let (sent, ends) = process.play(SECOND, Outcome::Relayed);
        let mut settled: BTreeSet<&str> = sent.iter().map(String::as_str).collect();
        settled.extend(ends.iter().map(|(id, _)| id.as_str()));
        for (id, &(from, to)) in &day.owed {
            let owed = from <= cut && cut < to;
            assert!(!owed || settled.contains(id), "cut at {cut}: {id} gets no end");
        }
        for id in ["served", "refused", "broken", "out"] {
            let after = day.never.get(id).copied().unwrap_or(0);
            let last = day.begun.iter().rfind(|(begun, _)| *begun == id).map(|&(_, at)| at);
            let first = day.begun.iter().find(|(begun, _)| *begun == id).map(|&(_, at)| at);
            // Its attempt is on file, and not known to have come to nothing.
            let ran = first.is_some_and(|at| at <= cut && cut < after) || last.is_some_and(|at| at <= cut);
            let times = sent.iter().filter(|sent| *sent == id).count();
            assert!(times <= usize::from(!ran), "cut at {cut}: {id} is sent {times} times");
        }
        for (id, &at) in &day.handed_back {
            assert!(cut < at || !sent.iter().any(|sent| sent == id), "cut at {cut}: {id} was handed back");
        }
        let ended: BTreeSet<&String> = ends.iter().map(|(id, _)| id).collect();
        assert_eq!(ended.len(), ends.len(), "one end each");
        drop(process);
        fs::remove_file(next.path.join("journal")).unwrap();
    }
}

/// Nothing can be written anew on this folder's disk.
fn fill(folder: &Folder) {
    fs::create_dir(folder.path.join("journal.new")).unwrap();
}

fn empty(folder: &Folder) {
    fs::remove_dir(folder.path.join("journal.new")).unwrap();
}

/// A process with 40 messages untried, on a disk that has just become full to its last bytes.
fn full(folder: &Folder) -> Process {
    let mut process = Process::start(folder, 100_000, START, None);
    let spare: Vec<Answer> = (0..20).map(|i| process.put(&format!("spare-{i}"), "once", 1)).collect();
    for i in 0..40 {
        assert!(matches!(process.put(&format!("kept-{i}"), "once", i % 10), Answer::Taken(_)));
    }
    fill(folder);
    let mut gone = 0;
    while let Answer::Taken(serial) = process.put(&format!("gone-{gone}"), "once", 1) {
        process.exchange.withdraw(serial);
        gone += 1;
    }
    assert!((100..2000).contains(&gone), "{gone}");
    // Smaller records fill what a message has left.
    for answer in spare {
        let Answer::Taken(serial) = answer else { panic!("{answer:?}") };
        process.exchange.withdraw(serial);
    }
    process
}

#[test]
fn on_a_full_disk_nothing_is_taken_on_no_call_begins_and_nothing_is_handed_back_that_may_still_be_sent() {
    let folder = Folder::new();
    let mut process = full(&folder);
    let (sent, told) = process.play(2 * SECOND, Outcome::Relayed);
    assert!(sent.is_empty(), "a call begins without its record");
    assert!(!told.is_empty(), "its attempts are used up");
    assert_eq!(process.put("more", "once", 1), Answer::Busy);
    drop(process);
    empty(&folder);
    let mut next = Process::start(&folder, 100_000, START + 3 * SECOND, None);
    let (sent, _) = next.play(SECOND, Outcome::Relayed);
    assert!(told.iter().any(|(id, _)| sent.contains(id)), "the file does not say that it was given up");
    // Whoever hears of a bounce hands its message in anew.
    let twice = told.iter().find(|(id, verdict)| *verdict != Verdict::Dead && sent.contains(id));
    assert_eq!(twice, None, "handed back, and sent all the same");
}

#[test]
fn a_start_on_a_full_disk_gives_what_is_owed_its_end() {
    for torn in [0, 1, 7] {
        let folder = Folder::new();
        let mut process = Process::start(&folder, ALLOWANCE, START, None);
        for (id, dest) in [("out", 1), ("untried", 2)] {
            assert!(matches!(process.put(id, "once", dest), Answer::Taken(_)));
            if id == "out" {
                let call = process.call().unwrap();
                assert!(process.begin(&call));
            }
        }
        drop(process);
        // A record that was being written.
        let path = folder.path.join("journal");
        let mut bytes = fs::read(&path).unwrap();
        bytes.extend(&[0, 0, 0, 9, 1, 2, 3][..torn]);
        fs::write(&path, bytes).unwrap();
        fill(&folder);
        let mut next = Process::start(&folder, ALLOWANCE, START + SECOND, None);
        let (sent, ends) = next.play(SECOND, Outcome::Error);
        assert_eq!(sent, ["untried"], "{torn}");
        assert_eq!(ends.iter().map(|(id, _)| id.as_str()).collect::<Vec<_>>(), ["out", "untried"], "{torn}");
        drop(next);
        // What was noted behind the cut is read.
        let mut last = Process::start(&folder, ALLOWANCE, START + 2 * SECOND, None);
        let (sent, ends) = last.play(SECOND, Outcome::Relayed);
        assert_eq!((sent.len(), ends.len()), (0, 2), "{torn}");
    }
}

#[test]
fn no_repeat_begins_once_its_key_may_be_forgotten_however_long_it_waited_for_a_connection() {
    for restart in [false, true] {
        // (milliseconds from the first attempt to the turn that decides on the repeat, those that its connection
        // takes, whether it begins)
        for (decided, connected, begins) in
            [(800, 150, true), (800, 199, true), (800, 200, false), (850, 400, false)]
        {
            let folder = Folder::new();
            let mut process = Process::start(&folder, ALLOWANCE, START, Some(1_000_000));
            assert!(matches!(process.put("01", "tagged", 1), Answer::Taken(_)));
            let first = process.call().unwrap();
            // The first one's connection took its time too: it is from then that it may have run.
            process.pass(300);
            assert!(process.begin(&first));
            let sent = process.now;
            if restart {
                drop(process);
                process = Process::start(&folder, ALLOWANCE, sent + decided * 10, Some(1_000_000));
            } else {
                process.pass(decided * 10);
                process.exchange.connect_ended(first.mails[0].serial, ConnectReport::of(Outcome::Silent));
            }
            let repeat = process.calls().pop().unwrap();
            assert_eq!(repeat.mails[0].send_before, sent + SECOND, "the last byte's latest time");
            let mut mails = repeat.mails.clone();
            mails[0].times_out_at = Time::MAX;
            process.pass(connected * 10);
            let begun = process.exchange.begin(&repeat, mails).len();
            assert_eq!(begun == 1, begins, "{restart} {decided} {connected}");
        }
    }
}

#[test]
fn after_a_clock_that_was_set_back_no_repeat_is_held_to_be_early() {
    let folder = Folder::new();
    let mut process = Process::start(&folder, ALLOWANCE, START + 10 * SECOND, None);
    assert!(matches!(process.put("01", "tagged", 1), Answer::Taken(_)));
    let call = process.call().unwrap();
    assert!(process.begin(&call));
    drop(process);
    let mut next = Process::start(&folder, ALLOWANCE, START, None);
    let (sent, ends) = next.play(SECOND, Outcome::Relayed);
    assert_eq!((sent, ends.len()), (vec![], 1));
}

/// A courier whose files can grow to so many kilobytes only; a write beyond fails after a part of it.
struct Cramped(Child);

impl Drop for Cramped {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn cramped(folder: &Folder, config: &serde_json::Value) -> Cramped {
    let plain = command(folder, config, "serve");
    let mut shell = Command::new("/bin/bash");
    let limits = "trap '' XFSZ; ulimit -S -f 4; exec \"$0\" serve";
    shell.env_clear().arg("-c").arg(limits).arg(plain.get_program());
    shell.envs(plain.get_envs().filter_map(|(name, value)| Some((name, value?))));
    Cramped(shell.spawn().unwrap())
}

#[test]
fn a_disk_that_is_full_in_the_middle_of_any_record_leaves_whole_ones() {
    // So many bytes more or less, and the file's last ones belong to another record, or to another part of it.
    let runs: Vec<_> = (0..8)
        .map(|run| {
            thread::spawn(move || {
                let (platform, endpoint) = (Platform::new(), Endpoint::new(&[]));
                platform.list("e1", endpoint.address, "single", 7, "SERVING");
                let (folder, listen) = (Folder::new(), own_address());
                let config = config(&platform, listen);
                let process = cramped(&folder, &config);
                answers(listen);
                let mut client = Client::connect(listen).unwrap();
                let (mut taken, mut busy) = (Vec::new(), 0);
                for i in 0..60 {
                    let id = format!("{run}-{i:02}");
                    let body = vec![b'x'; 100 + 17 * run];
                    match &client.say(&put("0", &id, "once", "d=8000,k=5c0f", &body))[..] {
                        "+OK" => taken.push(id),
                        "-BUSY" => busy += 1,
                        other => panic!("{other}"),
                    }
                }
                assert!(taken.len() > 3 && busy > 3, "{run}: {} {busy}", taken.len());
                // The disk has room again.
                let mut raise = Command::new("prlimit");
                raise.args(["--pid", &process.0.id().to_string(), "--fsize=unlimited"]);
                assert!(raise.status().unwrap().success());
                for i in 60..65 {
                    let id = format!("{run}-{i:02}");
                    assert_eq!(client.put(&id, "once", "d=8000,k=5c0f"), "+OK");
                    taken.push(id);
                }
                drop(process);
                let mut courier = Restarted::new(&folder, &config, listen);
                until("all ends", || courier.owes_nothing());
                courier.end();
                let (calls, notices) = (endpoint.ids(), platform.notices());
                for id in &taken {
                    let ends = notices.iter().filter(|(told, _)| told == id).count();
                    let runs = calls.iter().filter(|call| *call == id).count();
                    assert!(runs <= 1 && runs + ends > 0, "{id}: {runs} calls, {ends} notices");
                }
                let refused = calls.iter().filter(|id| !taken.contains(id)).count();
                assert_eq!(refused, 0, "what was refused is not sent");
            })
        })
        .collect();
    runs.into_iter().for_each(|run| run.join().unwrap());
}

/// The next process on a folder.
struct Restarted<'a>(&'a Folder, &'a serde_json::Value, Child);

impl<'a> Restarted<'a> {
    fn new(folder: &'a Folder, config: &'a serde_json::Value, listen: std::net::SocketAddr) -> Restarted<'a> {
        let child = command(folder, config, "serve").spawn().unwrap();
        answers(listen);
        Restarted(folder, config, child)
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

impl Drop for Restarted<'_> {
    fn drop(&mut self) {
        self.end();
    }
}

/// A discovery that takes connections and says nothing.
fn silent() -> (std::net::SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    (listener.local_addr().unwrap(), listener)
}

#[test]
fn asked_to_end_in_its_recovery_it_leaves_nothing_undone_and_nothing_done_twice() {
    let platform = Platform::new();
    let slow = Endpoint::new(&[Reply::After(9000, Box::new(OK))]);
    let endpoint = Endpoint::new(&[]);
    // Known, and wanting nothing yet: what is handed in stays untried.
    platform.list("e1", endpoint.address, "single", 7, "DRAINING");
    platform.list("e2", slow.address, "single", 8, "DRAINING");
    let mut courier = Courier::start(&platform, |_| {});
    let mut client = courier.client();
    for (id, class) in [("01", "once"), ("02", "again"), ("03", "tagged"), ("04", "turns")] {
        assert_eq!(client.put(id, class, "d=20000,k=5c0f"), "+OK");
    }
    assert_eq!(client.put("out", "once", "dest=8,d=20000"), "+OK");
    courier.kill();
    // Discovery says nothing now, and the configuration names both as ready.
    platform.list("e1", endpoint.address, "single", 7, "SERVING");
    platform.list("e2", slow.address, "single", 8, "SERVING");
    let (address, listener) = silent();
    courier.config["known"] = platform.known();
    courier.config["known"]["index"] = json!(1000);
    courier.config["discovery"] = json!(address.to_string());
    // It is asked to end as soon as it asks for the list: no call can have begun.
    let asked = thread::spawn(move || (listener.accept().unwrap(), listener));
    courier.restart();
    let _held = asked.join().unwrap();
    courier.signal("-TERM");
    until("the end", || courier.ended().is_some());
    courier.config["discovery"] = json!(platform.address.to_string());
    courier.restart();
    until("all ends", || courier.owes_nothing());
    let mut ids = endpoint.ids();
    ids.sort();
    assert_eq!(ids, ["01", "02", "03", "04"]);
    assert_eq!((slow.ids(), platform.notices()), (vec!["out".into()], vec![("out".into(), "dead".into())]));
}

#[test]
fn killed_in_its_end_with_calls_out_it_sends_again_only_what_may_run_again() {
    let late = Reply::After(9000, Box::new(OK));
    let (platform, endpoints) =
        (Platform::new(), [(); 3].map(|()| Endpoint::new(std::slice::from_ref(&late))));
    for (group, endpoint) in (7..).zip(&endpoints) {
        platform.list(&format!("e{group}"), endpoint.address, "single", group, "SERVING");
    }
    let mut courier = Courier::start(&platform, |_| {});
    let mut client = courier.client();
    for (i, class) in ["once", "again", "tagged"].iter().enumerate() {
        assert_eq!(client.put(class, class, &format!("d=20000,k=5c0f,dest={}", 7 + i)), "+OK");
        until("its call", || !endpoints[i].calls().is_empty());
    }
    courier.signal("-TERM");
    assert_eq!(client.line(), "", "it has begun to end");
    courier.kill();
    courier.restart();
    until("all ends", || courier.owes_nothing());
    assert_eq!(endpoints[0].calls().len(), 1, "it must not run twice");
    assert!(endpoints[1..].iter().all(|endpoint| endpoint.calls().len() > 1), "they may");
    assert_eq!(platform.notices(), [("once".to_string(), "dead".to_string())]);
}

#[test]
fn killed_with_a_notice_on_its_way_it_tells_it_once_more() {
    let (platform, endpoint) = (Platform::new(), Endpoint::new(&[Reply::Break]));
    platform.list("e1", endpoint.address, "single", 7, "SERVING");
    let mut courier = Courier::start(&platform, |_| {});
    // From here on notices go where they are read and never answered.
    let (address, listener) = silent();
    let mut config = courier.config.clone();
    config["discovery"] = json!(address.to_string());
    let told = thread::spawn(move || {
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
    let _held = told.join().unwrap();
    courier.kill();
    assert_eq!(platform.notices(), []);
    courier.restart();
    until("its end", || courier.owes_nothing());
    assert_eq!(platform.notices(), [("01".to_string(), "dead".to_string())]);
    assert_eq!(endpoint.calls().len(), 1);
}
