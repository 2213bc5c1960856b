//! Calls endpoints: one task a call, a pool of connections an endpoint. It decides nothing: a call goes
//! where and for as long as the exchange says, and what was seen goes back.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use meadowhold::interface::{Outcome, Time};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout_at, Interval, MissedTickBehavior};

use crate::exchange::{Call, CallMail, Clock, ConnectReport, Order, Shared};
use crate::http::{self, Body, Head};
use crate::link::HttpConnection;

const MAX_ANSWER: usize = 1 << 20;
/// What the system says when descriptors or ports have run out here (ENFILE, EMFILE, EADDRNOTAVAIL).
const EXHAUSTED: [i32; 3] = [23, 24, 99];

/// What the calls keep to.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub connect_timeout: Duration,
    /// The far side closes a connection left idle for so long.
    pub idle_timeout: Duration,
    pub max_connections: usize,
    /// A mail may have two connects out at once.
    pub may_overlap: bool,
}

struct Idle {
    link: HttpConnection,
    since: Instant,
}

struct Endpoints {
    shared: Shared,
    clock: Clock,
    limits: Cell<Limits>,
    /// Idle connections by place, oldest first.
    idle: RefCell<BTreeMap<u64, VecDeque<Idle>>>,
    /// All connections, idle or not.
    open: Cell<usize>,
    /// A connection was closed, or could be.
    freed: Notify,
}

/// A connection that counts as open until it is dropped.
struct CountedConnection {
    link: Option<HttpConnection>,
    endpoints: Rc<Endpoints>,
    /// It has served an earlier call.
    kept: bool,
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        if self.link.is_some() {
            self.endpoints.close(1);
        }
    }
}

pub async fn run(shared: Shared, mut orders: UnboundedReceiver<Order>, limits: Limits) {
    let clock = shared.borrow().clock;
    let endpoints = Endpoints {
        shared,
        clock,
        limits: Cell::new(limits),
        idle: RefCell::default(),
        open: Cell::new(0),
        freed: Notify::new(),
    };
    let endpoints = Rc::new(endpoints);
    let mut sweep = sweep_timer(limits.idle_timeout);
    loop {
        tokio::select! {
            order = orders.recv() => match order {
                Some(Order::Call(call)) => {
                    tokio::task::spawn_local(endpoints.clone().call(call));
                }
                Some(Order::CloseIdle(place)) => endpoints.close_idle(place),
                Some(Order::SetTimeouts { connect_timeout, idle_timeout }) => {
                    sweep = sweep_timer(idle_timeout);
                    endpoints.limits.set(Limits { connect_timeout, idle_timeout, ..endpoints.limits.get() });
                }
                None => return,
            },
            _ = sweep.tick() => endpoints.sweep(),
        }
    }
}

/// Half of the margin at which idle connections are closed.
fn sweep_timer(idle: Duration) -> Interval {
    let mut sweep = tokio::time::interval((idle / 40).max(Duration::from_millis(5)));
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    sweep
}

/// The table of answers: what a status says of every mail of the call. `kept`: its connection served before.
pub fn result_by_status(head: &Head, is_batch: bool, kept: bool) -> ConnectReport {
    let (outcome, over) = match head.status {
        200 => (Outcome::Relayed, true),
        429 => (Outcome::Refused, false),
        503 if head.over_slots => (Outcome::Unsent, false),
        // Guards against a full table of connections that is taken for a limit, so that all keep theirs: who is
        // turned away with a new connection got none.
        503 if !head.keep_alive && !kept => (Outcome::Unreached, false),
        503 => (Outcome::Refused, false),
        504 => (Outcome::Unsent, false),
        410 => (Outcome::Unsent, true),
        // Unreadable or too much: none of it has run.
        400 | 413 if is_batch => (Outcome::Unsent, false),
        _ => (Outcome::Error, false),
    };
    result_with_head(outcome, over, head)
}

/// The table of a batch's answers, item by item; a mail that is not named may have run.
pub fn result_by_item(state: Option<&str>, head: &Head) -> ConnectReport {
    let (outcome, over) = match state {
        Some("ok") => (Outcome::Relayed, true),
        Some("later") => (Outcome::Refused, false),
        Some("gone") => (Outcome::Unsent, true),
        Some("exhausted") => (Outcome::Unsent, false),
        _ => (Outcome::Error, false),
    };
    result_with_head(outcome, over, head)
}

/// What an answer's head tells goes with each of its mails.
fn result_with_head(outcome: Outcome, over: bool, head: &Head) -> ConnectReport {
    ConnectReport {
        wait: head.retry_after.unwrap_or_default(),
        load: head.load.clone(),
        over,
        ..ConnectReport::of(outcome)
    }
}

impl Endpoints {
    /// Connections are closed a twentieth before the far side would.
    fn is_reusable(&self, idle: &Idle) -> bool {
        let idle_for = self.limits.get().idle_timeout;
        idle.since.elapsed() < idle_for - idle_for / 20
    }

    fn close(&self, many: usize) {
        self.open.set(self.open.get() - many);
        (0..many).for_each(|_| self.freed.notify_one());
    }

    fn close_idle(&self, incarnation: u64) {
        if let Some(pool) = self.idle.borrow_mut().remove(&incarnation) {
            self.close(pool.len());
        }
    }

    fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, pool| {
            let before = pool.len();
            pool.retain(|idle| self.is_reusable(idle) && idle.link.usable());
            self.close(before - pool.len());
            !pool.is_empty()
        });
    }

    /// An idle connection to a place that can still be used, the last one used first.
    fn take_idle(&self, incarnation: u64) -> Option<HttpConnection> {
        let mut pools = self.idle.borrow_mut();
        let pool = pools.get_mut(&incarnation)?;
        while let Some(idle) = pool.pop_back() {
            if self.is_reusable(&idle) && idle.link.usable() {
                return Some(idle.link);
            }
            self.close(1);
        }
        None
    }

    /// Keeps a connection for further calls. Guards against one to a place that was left while its call was
    /// out: whoever is there now is somebody else.
    fn return_idle(&self, call: &Call, mut counted: CountedConnection) {
        let current = self.shared.borrow().is_current(call);
        if let Some(link) = if current { counted.link.take() } else { None } {
            let idle = Idle { link, since: Instant::now() };
            self.idle.borrow_mut().entry(call.incarnation).or_default().push_back(idle);
            self.freed.notify_one();
        }
    }

    /// Makes room for one more connection by closing the one that has been idle longest.
    fn make_room(&self) -> bool {
        if self.open.get() < self.limits.get().max_connections {
            return true;
        }
        let mut pools = self.idle.borrow_mut();
        let oldest = pools.values_mut().filter(|pool| !pool.is_empty()).min_by_key(|pool| pool[0].since);
        let closed = oldest.and_then(VecDeque::pop_front).is_some();
        self.close(usize::from(closed));
        closed
    }

    async fn connection(self: &Rc<Self>, call: &Call, until: Instant) -> Result<CountedConnection, Outcome> {
        loop {
            if let Some(link) = if call.new_connection { None } else { self.take_idle(call.incarnation) } {
                return Ok(CountedConnection { link: Some(link), endpoints: self.clone(), kept: true });
            }
            if self.make_room() {
                break;
            }
            // Guards against calls that are told of as failed, and mails that use up their connects, for want of
            // a descriptor here: they wait for one.
            let freed = timeout_at(until.into(), self.freed.notified()).await;
            freed.map_err(|_| Outcome::Unsent)?;
        }
        let address = call.address.ok_or(Outcome::Unreached)?;
        self.open.set(self.open.get() + 1);
        let until = until.min(Instant::now() + self.limits.get().connect_timeout);
        match timeout_at(until.into(), HttpConnection::open(address)).await {
            Ok(Ok(link)) => Ok(CountedConnection { link: Some(link), endpoints: self.clone(), kept: false }),
            failed => {
                self.close(1);
                // Guards against an endpoint that is held to be out because we have no descriptor left.
                let ours =
                    matches!(failed, Ok(Err(e)) if e.raw_os_error().is_some_and(|e| EXHAUSTED.contains(&e)));
                Err(if ours { Outcome::Unsent } else { Outcome::Unreached })
            }
        }
    }

    async fn call(self: Rc<Self>, mut call: Call) {
        let last = call.mails.iter().map(|mail| mail.until).max().unwrap_or_default();
        if !self.limits.get().may_overlap {
            // A mail whose time-out comes first may go again only once this call is closed.
            call.mails.iter_mut().for_each(|mail| mail.until = last.min(mail.due));
        }
        let until = self.clock.instant(last);
        let mut mails = std::mem::take(&mut call.mails);
        let Some(connection) = self.expire_until_ready(&mut mails, self.connection(&call, until)).await
        else {
            return;
        };
        let mut counted = match connection {
            Ok(counted) => counted,
            Err(outcome) => return self.report_result(&mails, &ConnectReport::of(outcome)),
        };
        let mut mails = self.shared.borrow_mut().begin(&call, mails);
        if mails.is_empty() {
            return self.return_idle(&call, counted);
        }
        let request = self.request(&call, &mails, until);
        let Some(link) = counted.link.as_mut() else { return };
        // Before the last byte is written nothing can have run. Guards against a write that stands still past the
        // end of one of its messages, or until a key may be forgotten: after that none of it must run.
        let ends = mails.iter().map(|mail| mail.due.min(mail.latest)).min().unwrap_or(last);
        let written_by = until.min(self.clock.instant(ends));
        if !matches!(timeout_at(written_by.into(), link.send(&request)).await, Ok(Ok(()))) {
            return self.report_result(&mails, &ConnectReport::of(Outcome::Unreached));
        }
        let is_batch = mails.len() > 1;
        let Some(answer) = self.wait_for_answer(&mut mails, read_answer(link, is_batch)).await else {
            return;
        };
        // Guards against an answer that crosses an end: it may be to what was given up, not to what is waited for.
        let now = self.clock.now();
        let spans_expiry = mails.iter().any(|mail| mail.due <= now);
        match answer {
            Answer::Read(head, _) if spans_expiry => {
                self.report_result(&mails, &result_with_head(Outcome::Spoilt, false, &head))
            }
            Answer::Unread(Outcome::Relayed) if spans_expiry => {
                self.report_result(&mails, &ConnectReport::of(Outcome::Spoilt))
            }
            Answer::Read(head, body) => {
                self.report_answer(&mails, &head, body.as_deref(), counted.kept);
                let whole = body.is_some() || link.read_body(head.body, MAX_ANSWER).await.is_ok();
                if head.keep_alive && whole {
                    self.return_idle(&call, counted);
                }
            }
            // Closed: what else has come, or will, belongs to no call.
            Answer::Unread(outcome) => {
                self.report_result(
                    &mails,
                    &ConnectReport { kept: counted.kept, ..ConnectReport::of(outcome) },
                );
            }
        }
    }

    fn request(&self, call: &Call, mails: &[CallMail], until: Instant) -> BytesMut {
        let mails: Vec<http::Mail> = mails.iter().map(as_sent).collect();
        let host = call.address.map(|address| address.to_string()).unwrap_or_default();
        let wait = until.saturating_duration_since(Instant::now());
        let mut out = BytesMut::new();
        match mails.as_slice() {
            [mail] => http::write_hook(&mut out, &host, mail, wait),
            mails => http::write_hook_batch(&mut out, &host, mails, wait),
        }
        out
    }

    /// Waits for what a call needs before it can begin, and tells of each message whose end comes before that.
    /// `None` once all have. Guards against an end that is owed at once and waits for a connection that others
    /// of its call have more time for.
    async fn expire_until_ready<T>(
        &self,
        mails: &mut Vec<CallMail>,
        ready: impl Future<Output = T>,
    ) -> Option<T> {
        let mut ready = std::pin::pin!(ready);
        loop {
            let next = mails.iter().map(|mail| mail.due).min()?;
            tokio::select! {
                biased;
                ready = &mut ready => return Some(ready),
                () = sleep_until(self.clock.instant(next).into()) => {}
            }
            let (over, left) = std::mem::take(mails).into_iter().partition(|mail| mail.due == next);
            *mails = left;
            self.report_result(&over, &ConnectReport::of(Outcome::Unsent));
        }
    }

    /// Waits for an answer, and tells of each mail whose time-out passes before it. `None` once all have:
    /// the connection is then to be closed.
    async fn wait_for_answer<T>(&self, mails: &mut [CallMail], answer: impl Future<Output = T>) -> Option<T> {
        let mut answer = std::pin::pin!(answer);
        loop {
            let next: Time = mails.iter().filter(|l| l.until > 0).map(|l| l.until).min()?;
            tokio::select! {
                biased;
                answer = &mut answer => return Some(answer),
                () = sleep_until(self.clock.instant(next).into()) => {}
            }
            for mail in mails.iter_mut().filter(|l| l.until == next) {
                mail.until = 0; // told
                self.shared.borrow_mut().connect_ended(mail.serial, ConnectReport::of(Outcome::Silent));
            }
        }
    }

    fn report_answer(&self, mails: &[CallMail], head: &Head, body: Option<&[u8]>, kept: bool) {
        let is_batch = mails.len() > 1;
        let items = body
            .filter(|_| is_batch && head.status == 200)
            .map(|body| http::read_items(body).unwrap_or_default());
        for mail in mails {
            let result = match &items {
                Some(items) => {
                    let item = items.iter().find(|item| item.id.as_bytes() == mail.id);
                    result_by_item(item.map(|item| item.state.as_str()), head)
                }
                None => result_by_status(head, is_batch, kept),
            };
            self.report_result(std::slice::from_ref(mail), &result);
        }
    }

    /// Guards against a second outcome for a mail that was told of as silent: it may be out again, and only
    /// its end is news.
    fn report_result(&self, mails: &[CallMail], result: &ConnectReport) {
        let mut exchange = self.shared.borrow_mut();
        for mail in mails {
            if mail.until > 0 {
                exchange.connect_ended(mail.serial, result.clone());
            } else if result.over {
                exchange.relayed_late(mail.serial);
            }
        }
    }
}

/// Ids and keys were found to be plain text when they came.
fn as_sent(mail: &CallMail) -> http::Mail<'_> {
    let text = |bytes| std::str::from_utf8(bytes).unwrap_or_default();
    http::Mail { id: text(&mail.id), key: text(&mail.key), body: &mail.body }
}

/// What came back on a call.
enum Answer {
    /// Its head, and its body where that has been read.
    Read(Head, Option<BytesMut>),
    /// It cannot be read, or there is none.
    Unread(Outcome),
}

/// Reads an answer as far as it must be read to be believed. A single mail is relayed once the first line says
/// so; what tells of several, or that nothing has run, counts only when all of it can be read: a call whose
/// answer is spoilt may have run.
async fn read_answer(link: &mut HttpConnection, is_batch: bool) -> Answer {
    let head = match link.read_head().await {
        Ok(head) => head,
        Err(_) if !is_batch && link.has_ok_status_line() => return Answer::Unread(Outcome::Relayed),
        Err(e) => return Answer::Unread(read_error_outcome(&e)),
    };
    // Where the end of the connection is the end of the body there is nothing to wait for.
    let unrun = head.status != 200 && head.body != Body::UntilClose;
    if unrun || (is_batch && head.status == 200) {
        return match link.read_body(head.body, MAX_ANSWER).await {
            Ok(body) => Answer::Read(head, Some(body)),
            Err(e) => Answer::Unread(read_error_outcome(&e)),
        };
    }
    Answer::Read(head, None)
}

fn read_error_outcome(e: &io::Error) -> Outcome {
    match e.kind() {
        io::ErrorKind::InvalidData | io::ErrorKind::TimedOut => Outcome::Spoilt,
        _ => Outcome::Broken,
    }
}
