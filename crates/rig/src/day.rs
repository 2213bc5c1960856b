//! A day: a TOML file that sets the number of couriers, their environment, the load and the troubles to inject. All
//! faults of a file are reported at once, each with its line and key.

use serde::{Deserialize, Serialize};
use toml::{Table, Value};

use crate::crowd::Habit;
use crate::relay::AnswerFault;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Day {
    /// One sentence that says what the day tests.
    pub about: String,
    /// Seconds for which mails are handed in.
    pub seconds: f64,
    pub couriers: usize,
    /// Seconds that mails still open at the end of the load may take to end.
    pub settle_s: f64,
    pub mails: Mails,
    pub endpoints: Endpoints,
    pub list: List,
    pub courier: Courier,
    pub notes: Notes,
    pub rules: Rules,
    pub trouble: Vec<Trouble>,
}

/// The load: the mails that clients hand in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mails {
    /// Mails per second over all couriers.
    pub rate: f64,
    /// Clients per courier; each hands in one mail after the other.
    pub clients: usize,
    /// Additional connections that each client keeps open and uses in rotation until they are closed.
    pub spare: usize,
    /// Additional clients per courier that connect, send no request and stay connected for as long as they can.
    pub idle: usize,
    /// Additional clients per courier that hold its places, memory and time for as long as they can, and what they do.
    pub crowd: usize,
    pub crowd_habit: Habit,
    /// Shortest and longest lifetime of a mail, in milliseconds.
    pub time_ms: [u64; 2],
    /// Size of a mail's body in bytes.
    pub body: usize,
    /// Weights of the queue classes in the load.
    pub again: f64,
    pub tagged: f64,
    pub once: f64,
    pub turns: f64,
    /// Keys per client in the ordered queue class.
    pub keys: u64,
    /// Share of the mails taken that their clients withdraw within half a second; endpoints then answer 410.
    pub withdrawn: f64,
    /// Share of the requests that are sent once more, with the same id, on a new connection, when the client's
    /// connection breaks before the answer.
    pub resent: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Endpoints {
    pub destinations: usize,
    /// Endpoints per destination.
    pub each: usize,
    /// Largest number of mails in one call.
    pub batch: usize,
    /// Calls per second that a warm endpoint can serve.
    pub rate: f64,
    /// Calls that an endpoint serves concurrently; further ones get 503.
    pub slots: usize,
    /// Whether calls above the rate get 429 with the time to the end of the second.
    pub limit: bool,
    /// Shortest and longest service time of a call, in milliseconds.
    pub serve_ms: [u64; 2],
    /// Share of the calls that get 500.
    pub errors: f64,
    /// Seconds until an endpoint is warm after an outage, and the share of its rate at which it starts.
    pub cold_s: f64,
    pub cold_from: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct List {
    /// Agents of the list service; courier i uses agent i modulo their number.
    pub agents: usize,
    /// Requests per second that an agent accepts before it answers 503; 0: no limit.
    pub most_asks: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Courier {
    pub slots: usize,
    pub room: usize,
    pub sockets: usize,
    /// Memory limit in millions of bytes.
    pub memory_mb: f64,
    /// Size limit of its folder, in millions of bytes.
    pub disk_mb: f64,
    pub connect_ms: u64,
    /// By how much the system time is stepped between two processes, in seconds.
    pub clock_step_s: i64,
}

/// Faults of the datagrams between couriers, as probabilities.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Notes {
    /// Whether couriers exchange notes at all.
    pub told: bool,
    pub lost: f64,
    pub doubled: f64,
    pub late: f64,
    /// Longest delay in milliseconds; differing delays reorder notes.
    pub late_ms: u64,
}

/// Limits that the judge applies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// How long calls may still arrive after the courier was told that the endpoint drains.
    pub drain_grace_ms: u64,
    /// How long calls may still arrive after the courier was told to wait.
    pub wait_grace_ms: u64,
    /// How long after its deadline a mail may end. The bench allows 350; a loaded machine needs more.
    pub late_ms: u64,
    /// Longest time from a courier's start until it serves.
    pub ready_ms: u64,
    /// Window in seconds over which calls at a cold endpoint are counted, and the multiple of its rate that it bears.
    pub tip_s: f64,
    pub tip_multiple: f64,
    /// Deduplication window in seconds: how long repeats of a tagged mail are dropped.
    pub window_s: f64,
    /// Largest number of list requests in any second, and of new connections at one endpoint in any 100 ms; 0: not
    /// checked.
    pub most_asks: u64,
    pub most_connects: u64,
    /// Longest time for which a running courier may refuse every request, given enough requests; 0: not checked.
    pub serves_ms: u64,
    /// Limit for the 90th percentile of the time from start to ready; 0: not checked.
    pub most_ready_ms: u64,
}

/// A fault to inject into couriers, endpoints, agents or links.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Trouble {
    pub what: Option<What>,
    /// Earliest and latest start, in seconds of the day; one start is drawn for all targets.
    pub at_s: [f64; 2],
    /// Duration in seconds.
    pub for_s: f64,
    /// Share of the couriers, endpoints or agents that are affected; the seed chooses them.
    pub part: f64,
    /// Numbers of the affected targets; replaces `part`.
    pub which: Vec<usize>,
    /// For link faults: which links.
    pub link: Link,
    /// For slow links: delay of each chunk in milliseconds. For `limit`: the wait in the answer.
    pub delay_ms: u64,
    /// For resets: probability per chunk. For errors: share of the calls. For `answers`: share of the answers.
    pub chance: f64,
    /// For `answers`: what happens to an answer.
    pub answer: AnswerFault,
    /// For `kill-in-start`: number of consecutive starts that are killed.
    pub times: usize,
    /// For `signals`: the signals, and the delay in milliseconds before each of them. After a SIGTERM the process is
    /// killed if it does not end in time, as the platform does; the rest of the series then goes to the next process.
    pub signals: Vec<Sent>,
    pub gaps_ms: Vec<u64>,
    /// Send the first signal immediately after the next answer that accepts a mail.
    pub behind_taken: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sent {
    Hup,
    Term,
    Kill,
    /// Not a signal: waits until the process has ended and the next one has been spawned, but not until that one serves.
    Restart,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// SIGKILL; restarted after `for_s`.
    Kill,
    /// SIGTERM, then SIGKILL if the process still runs 3.7 s later; restarted 0.6 s after its end.
    Term,
    /// SIGSTOP, then SIGCONT after `for_s`.
    Stop,
    /// SIGKILL, then `times` more SIGKILLs, each during one of the following starts.
    KillInStart,
    /// SIGKILL; the next start finds an empty folder.
    FolderLost,
    /// A series of signals; after the end of a process the next one is started 0.6 s later.
    Signals,
    /// The list service answers 503, does not answer, serves a stale list, or writes its JSON indented.
    #[serde(rename = "list-503")]
    List503,
    ListSilent,
    ListStale,
    ListIndented,
    /// Endpoints are listed as DRAINING, and as SERVING again after `for_s`.
    Drain,
    /// Endpoints refuse connections and reset open ones; afterwards they are cold.
    Crash,
    /// Like `Crash`, but the list drops the endpoints immediately, and their replacements have new names.
    Replace,
    /// Endpoints answer 503, 500 (to a share of the calls), or 429 with a wait.
    Busy,
    Errors,
    Limit,
    /// Endpoints accept calls but answer none of them until the trouble is over.
    Hang,
    /// Writes to the folder fail, the first of them after a part of its bytes.
    DiskFails,
    /// Links are cut, pass nothing in one direction or both, are slow, or are reset in the middle of a transfer.
    Cut,
    CutRequests,
    CutAnswers,
    Silent,
    Slow,
    ResetRequests,
    ResetAnswers,
    /// A share of the answers is copied, late, missing, merged, split, cut, early or unasked: `answer` says which.
    Answers,
}

impl What {
    pub fn is_process(self) -> bool {
        use What::*;
        matches!(self, Kill | Term | Stop | KillInStart | FolderLost | Signals | DiskFails)
    }

    pub fn is_list(self) -> bool {
        use What::*;
        matches!(self, List503 | ListSilent | ListStale | ListIndented)
    }

    pub fn is_endpoint(self) -> bool {
        use What::*;
        matches!(self, Drain | Crash | Replace | Busy | Errors | Limit | Hang)
    }
}

/// Which of a courier's links: those to the endpoints, the one to the list service, or the one from its clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Link {
    #[default]
    Endpoints,
    List,
    Clients,
}

impl Default for Day {
    fn default() -> Day {
        Day {
            about: String::new(),
            seconds: 6.0,
            couriers: 5,
            settle_s: 25.0,
            mails: Mails::default(),
            endpoints: Endpoints::default(),
            list: List::default(),
            courier: Courier::default(),
            notes: Notes::default(),
            rules: Rules::default(),
            trouble: Vec::new(),
        }
    }
}

impl Default for Mails {
    fn default() -> Mails {
        let (again, tagged, once, turns) = (0.4, 0.25, 0.2, 0.15);
        Mails {
            rate: 60.0,
            clients: 2,
            spare: 0,
            idle: 0,
            crowd: 0,
            crowd_habit: Habit::default(),
            time_ms: [2000, 5000],
            body: 64,
            again,
            tagged,
            once,
            turns,
            keys: 3,
            withdrawn: 0.0,
            resent: 0.0,
        }
    }
}

impl Default for Endpoints {
    fn default() -> Endpoints {
        Endpoints {
            destinations: 2,
            each: 2,
            batch: 1,
            rate: 80.0,
            slots: 64,
            limit: false,
            serve_ms: [5, 30],
            errors: 0.0,
            cold_s: 4.0,
            cold_from: 0.25,
        }
    }
}

impl Default for List {
    fn default() -> List {
        List { agents: 1, most_asks: 0 }
    }
}

impl Default for Courier {
    fn default() -> Courier {
        Courier {
            slots: 16,
            room: 400,
            sockets: 256,
            memory_mb: 192.0,
            disk_mb: 3.0,
            connect_ms: 1000,
            clock_step_s: 0,
        }
    }
}

impl Default for Notes {
    fn default() -> Notes {
        Notes { told: false, lost: 0.0, doubled: 0.0, late: 0.0, late_ms: 200 }
    }
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            drain_grace_ms: 1500,
            wait_grace_ms: 400,
            late_ms: 3000,
            ready_ms: 15_000,
            tip_s: 2.0,
            tip_multiple: 2.0,
            window_s: 8.0,
            most_asks: 0,
            most_connects: 0,
            serves_ms: 0,
            most_ready_ms: 0,
        }
    }
}

impl Default for Trouble {
    fn default() -> Trouble {
        Trouble {
            what: None,
            at_s: [1.0, 2.0],
            for_s: 1.0,
            part: 1.0,
            which: Vec::new(),
            link: Link::Endpoints,
            delay_ms: 100,
            chance: 0.2,
            answer: AnswerFault::Any,
            times: 3,
            signals: Vec::new(),
            gaps_ms: Vec::new(),
            behind_taken: false,
        }
    }
}

/// A fault in a file: its line (0: unknown), its key, and what would be valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub line: usize,
    pub key: String,
    pub words: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match (self.line, self.key.is_empty()) {
            (0, true) => write!(f, "{}", self.words),
            (0, false) => write!(f, "{}: {}", self.key, self.words),
            (line, true) => write!(f, "line {line}: {}", self.words),
            (line, false) => write!(f, "line {line}, {}: {}", self.key, self.words),
        }
    }
}

impl Day {
    /// Parses and checks a file's text; returns all faults that can be found in one pass.
    pub fn read(text: &str) -> Result<Day, Vec<Fault>> {
        read(text, Day::faults)
    }

    /// Checks the values of a day, without line numbers: for days that were changed after their file was read.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        self.check(&mut |key, words| faults.push(Fault { line: 0, key, words }));
        faults
    }

    fn check(&self, fault: &mut dyn FnMut(String, String)) {
        let mut bound = |key: &str, value: f64, low: f64, high: f64| {
            if !(low..=high).contains(&value) {
                fault(key.to_string(), format!("{value} is out of bounds; give {low} to {high}"));
            }
        };
        bound("seconds", self.seconds, 0.5, 600.0);
        bound("couriers", self.couriers as f64, 1.0, 250.0);
        bound("settle_s", self.settle_s, 1.0, 600.0);
        let m = &self.mails;
        bound("mails.rate", m.rate, 0.1, 5000.0);
        bound("mails.clients", m.clients as f64, 1.0, 32.0);
        bound("mails.time_ms", m.time_ms[0] as f64, 100.0, m.time_ms[1] as f64);
        bound("mails.spare", m.spare as f64, 0.0, 32.0);
        bound("mails.idle", m.idle as f64, 0.0, 1000.0);
        bound("mails.crowd", m.crowd as f64, 0.0, 1000.0);
        bound("mails.body", m.body as f64, 0.0, 60_000.0);
        bound("mails.keys", m.keys as f64, 1.0, 1000.0);
        let shares = [("withdrawn", m.withdrawn), ("resent", m.resent)];
        let classes = [("again", m.again), ("tagged", m.tagged), ("once", m.once), ("turns", m.turns)];
        for (key, part) in classes.into_iter().chain(shares) {
            bound(&format!("mails.{key}"), part, 0.0, 1.0);
        }
        bound("mails.again + tagged + once + turns", m.again + m.tagged + m.once + m.turns, 0.01, 4.0);
        let e = &self.endpoints;
        bound("endpoints.destinations", e.destinations as f64, 1.0, 100.0);
        bound("endpoints.each", e.each as f64, 1.0, 100.0);
        bound("endpoints.destinations x each", (e.destinations * e.each) as f64, 1.0, 250.0);
        bound("endpoints.batch", e.batch as f64, 1.0, 64.0);
        bound("endpoints.rate", e.rate, 0.1, 10_000.0);
        bound("endpoints.slots", e.slots as f64, 1.0, 10_000.0);
        bound("endpoints.serve_ms", e.serve_ms[0] as f64, 0.0, e.serve_ms[1] as f64);
        bound("endpoints.errors", e.errors, 0.0, 1.0);
        bound("endpoints.cold_s", e.cold_s, 0.1, 600.0);
        bound("endpoints.cold_from", e.cold_from, 0.01, 1.0);
        bound("list.agents", self.list.agents as f64, 1.0, 8.0);
        bound("courier.slots", self.courier.slots as f64, 1.0, 1000.0);
        bound("courier.room", self.courier.room as f64, 1.0, 100_000.0);
        bound("courier.sockets", self.courier.sockets as f64, 64.0, 4096.0);
        bound("courier.memory_mb", self.courier.memory_mb, 16.0, 100_000.0);
        bound("courier.disk_mb", self.courier.disk_mb, 0.005, 1000.0);
        bound("courier.connect_ms", self.courier.connect_ms as f64, 10.0, 60_000.0);
        let n = &self.notes;
        bound("notes.lost", n.lost, 0.0, 1.0);
        bound("notes.doubled", n.doubled, 0.0, 1.0);
        bound("notes.late", n.late, 0.0, 1.0);
        // Each pair of couriers needs two relay sockets of its own.
        bound("couriers, where notes are told", if n.told { self.couriers as f64 } else { 1.0 }, 1.0, 40.0);
        let r = &self.rules;
        bound("rules.tip_s", r.tip_s, 0.1, 600.0);
        bound("rules.tip_multiple", r.tip_multiple, 0.1, 100.0);
        bound("rules.window_s", r.window_s, 0.0, 3600.0);
        bound("rules.ready_ms", r.ready_ms as f64, 1.0, 600_000.0);
        for (i, t) in self.trouble.iter().enumerate() {
            let key = |name: &str| format!("trouble.{i}.{name}");
            bound(&key("at_s"), t.at_s[0], 0.0, t.at_s[1]);
            bound(&key("at_s"), t.at_s[1], 0.0, self.seconds);
            bound(&key("for_s"), t.for_s, 0.0, self.seconds + self.settle_s);
            bound(&key("part"), t.part, 0.0, 1.0);
            bound(&key("chance"), t.chance, 0.0, 1.0);
            bound(&key("times"), t.times as f64, 1.0, 20.0);
            bound(
                &key("gaps_ms, for each signal one"),
                t.gaps_ms.len() as f64,
                t.signals.len() as f64,
                t.signals.len() as f64,
            );
            bound(
                &key("signals"),
                t.signals.len() as f64,
                if t.what == Some(What::Signals) { 1.0 } else { 0.0 },
                20.0,
            );
            bound(&key("delay_ms"), t.delay_ms as f64, 0.0, 60_000.0);
        }
        for (i, t) in self.trouble.iter().enumerate() {
            let Some(what) = t.what else {
                fault(format!("trouble.{i}.what"), "is not set; give kill, stop, cut, ...".to_string());
                continue;
            };
            let many = self.target_count(what);
            if let Some(which) = t.which.iter().find(|&&which| which >= many) {
                fault(format!("trouble.{i}.which"), format!("there is no {which}; give 0 to {}", many - 1));
            }
        }
    }

    /// Number of possible targets of a trouble.
    pub fn target_count(&self, what: What) -> usize {
        match what {
            what if what.is_list() => self.list.agents,
            what if what.is_endpoint() => self.endpoints.destinations * self.endpoints.each,
            _ => self.couriers,
        }
    }
}

/// Parses a file's text. Returns the values that cannot be decoded and what `check` finds in the others, each fault
/// with its line.
pub(crate) fn read<T: serde::de::DeserializeOwned>(
    text: &str,
    check: impl FnOnce(&T) -> Vec<Fault>,
) -> Result<T, Vec<Fault>> {
    let table: Table = text.parse().map_err(|e: toml::de::Error| {
        let line = e.span().map_or(0, |span| line_of(text, span.start));
        vec![Fault { line, key: String::new(), words: e.message().to_string() }]
    })?;
    let (day, mut faults) = decode_all(table);
    if let Some(day) = day {
        faults.extend(check(&day));
        if faults.is_empty() {
            return Ok(day);
        }
    }
    // A key that cannot be decoded holds its default, so drop the faults that `check` found at that key.
    let mut seen = std::collections::HashSet::new();
    faults.retain(|fault| seen.insert(fault.key.clone()));
    let lines = Lines::of(text);
    for fault in &mut faults {
        fault.line = lines.of_key(&fault.key);
    }
    faults.sort_by_key(|fault| fault.line);
    Err(faults)
}

/// Decodes a table repeatedly, each time without the key that failed last, to find all faults. Every key has a default,
/// so a removed key does not hide other faults.
fn decode_all<T: serde::de::DeserializeOwned>(mut table: Table) -> (Option<T>, Vec<Fault>) {
    let mut faults: Vec<Fault> = Vec::new();
    loop {
        let error = match serde_path_to_error::deserialize::<_, T>(Value::Table(table.clone())) {
            Ok(day) => return (Some(day), faults),
            Err(error) => error,
        };
        let path: Vec<String> = error.path().iter().map(|part| part.to_string()).collect();
        let path: Vec<String> =
            path.into_iter().map(|part| part.trim_matches(['[', ']']).to_string()).collect();
        let words = error.inner().message().trim().to_string();
        let taken = remove_value(&mut table, &path);
        faults.push(Fault { line: 0, key: path.join("."), words });
        if !taken {
            return (None, faults);
        }
    }
}

/// Removes the value at a path from a table; for a path into an array of plain values it removes the whole array.
fn remove_value(table: &mut Table, path: &[String]) -> bool {
    let Some((first, rest)) = path.split_first() else { return false };
    let Some(value) = table.get_mut(first) else { return false };
    let deeper = match (value, rest) {
        (_, []) => false,
        (Value::Table(inner), rest) => return remove_value(inner, rest),
        (Value::Array(items), [index, rest @ ..]) => {
            let item = index.parse().ok().and_then(|index: usize| items.get_mut(index));
            match item {
                Some(Value::Table(inner)) if !rest.is_empty() => return remove_value(inner, rest),
                _ => false,
            }
        }
        _ => false,
    };
    deeper || table.remove(first).is_some()
}

fn line_of(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())].iter().filter(|&&b| b == b'\n').count() + 1
}

/// Line numbers of the keys of a file.
struct Lines(Vec<(String, usize)>);

impl Lines {
    fn of(text: &str) -> Lines {
        let mut lines = Vec::new();
        if let Ok(table) = toml::de::DeTable::parse(text) {
            walk("", table.get_ref(), text, &mut lines);
        }
        Lines(lines)
    }

    /// Line of a key, or of its nearest enclosing table; 0 if the file contains neither.
    fn of_key(&self, key: &str) -> usize {
        let mut key = key;
        loop {
            if let Some((_, line)) = self.0.iter().find(|(known, _)| known == key) {
                return *line;
            }
            match key.rsplit_once('.') {
                Some((outer, _)) => key = outer,
                None => return 0,
            }
        }
    }
}

fn walk(path: &str, table: &toml::de::DeTable, text: &str, lines: &mut Vec<(String, usize)>) {
    for (key, value) in table.iter() {
        let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        let here = below(key.get_ref());
        lines.push((here.clone(), line_of(text, key.span().start)));
        match value.get_ref() {
            toml::de::DeValue::Table(inner) => walk(&here, inner, text, lines),
            toml::de::DeValue::Array(items) => {
                for (i, item) in items.iter().enumerate() {
                    let here = format!("{here}.{i}");
                    lines.push((here.clone(), line_of(text, item.span().start)));
                    if let toml::de::DeValue::Table(inner) = item.get_ref() {
                        walk(&here, inner, text, lines);
                    }
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_faults_of_a_file_are_reported_with_their_lines() {
        let text = "seconds = 4\ncouriers = \"many\"\n[mails]\nlaod = 3\nrate = -2.0\n[[trouble]]\nwhat = \"kill\"\n\
            [[trouble]]\nwhat = \"explode\"\npart = 7.0\n[[trouble]]\nwhat = \"crash\"\nwhich = [9]\n";
        let faults = Day::read(text).unwrap_err();
        let places: Vec<(usize, &str)> = faults.iter().map(|f| (f.line, &f.key[..])).collect();
        let expected = [
            (2, "couriers"),
            (4, "mails.laod"),
            (5, "mails.rate"),
            (9, "trouble.1.what"),
            (10, "trouble.1.part"),
            (13, "trouble.2.which"),
        ];
        assert_eq!(places, expected, "{faults:?}");
    }

    #[test]
    fn invalid_toml_is_reported_with_its_line() {
        let faults = Day::read("seconds = 4\n[mails\n").unwrap_err();
        assert_eq!((faults.len(), faults[0].line), (1, 2), "{faults:?}");
    }
}
