//! Calls endpoints: one task a call, a pool of connections an endpoint. It decides nothing: a call goes
//! where and for as long as the exchange says, and what was seen goes back.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use meadowhold::interface::{Outcome, Time};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep_until, timeout, timeout_at, MissedTickBehavior};

use crate::exchange::{Call, Clock, Letter, Order, Seen, Shared};
use crate::http::{self, Head};
use crate::link::Link;

const MOST_ANSWER: usize = 1 << 20;
/// A served connection is kept if the rest of its answer comes within this time.
const REST: Duration = Duration::from_secs(1);

/// What the calls keep to.
pub struct Limits {
    pub connect: Duration,
    /// The far side closes a connection left idle for so long.
    pub idle: Duration,
    pub connections: usize,
    /// A mail may have two connects out at once.
    pub may_overlap: bool,
}

struct Idle {
    link: Link,
    since: Instant,
}

struct Endpoints {
    shared: Shared,
    clock: Clock,
    limits: Limits,
    /// Idle connections by endpoint, oldest first.
    idle: RefCell<Vec<VecDeque<Idle>>>,
    /// All connections, idle or not.
    open: Cell<usize>,
}

/// A connection that counts as open until it is dropped.
struct Counted {
    link: Option<Link>,
    endpoints: Rc<Endpoints>,
}

impl Drop for Counted {
    fn drop(&mut self) {
        if self.link.is_some() {
            self.endpoints.close(1);
        }
    }
}

pub async fn run(shared: Shared, mut orders: UnboundedReceiver<Order>, limits: Limits) {
    let clock = shared.borrow().clock;
    let endpoints = Endpoints { shared, clock, limits, idle: RefCell::default(), open: Cell::new(0) };
    let endpoints = Rc::new(endpoints);
    // Half of the margin at which idle connections are closed.
    let every = (endpoints.limits.idle / 40).max(Duration::from_millis(5));
    let mut sweep = tokio::time::interval(every);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            order = orders.recv() => match order {
                Some(Order::Call(call)) => {
                    tokio::task::spawn_local(endpoints.clone().call(call));
                }
                Some(Order::LetGo(endpoint)) => endpoints.let_go(endpoint),
                None => return,
            },
            _ = sweep.tick() => endpoints.sweep(),
        }
    }
}

/// The table of answers: what a status says of every mail of the call.
pub fn read_status(head: &Head, several: bool) -> Seen {
    let (outcome, over) = match head.status {
        200 => (Outcome::Relayed, true),
        429 => (Outcome::Refused, false),
        503 if head.over_slots => (Outcome::Unsent, false),
        503 => (Outcome::Refused, false),
        504 => (Outcome::Unsent, false),
        410 => (Outcome::Unsent, true),
        // Unreadable or too much: none of it has run.
        400 | 413 if several => (Outcome::Unsent, false),
        _ => (Outcome::Error, false),
    };
    with_head(outcome, over, head)
}

/// The table of a batch's answers, item by item; a mail that is not named may have run.
pub fn read_item(state: Option<&str>, head: &Head) -> Seen {
    let (outcome, over) = match state {
        Some("ok") => (Outcome::Relayed, true),
        Some("later") => (Outcome::Refused, false),
        Some("gone") => (Outcome::Unsent, true),
        Some("exhausted") => (Outcome::Unsent, false),
        _ => (Outcome::Error, false),
    };
    with_head(outcome, over, head)
}

/// What an answer's head tells goes with each of its mails.
fn with_head(outcome: Outcome, over: bool, head: &Head) -> Seen {
    Seen { outcome, over, wait: head.wait.unwrap_or_default(), load: head.load.clone() }
}

impl Endpoints {
    /// Connections are closed a twentieth before the far side would.
    fn fresh(&self, idle: &Idle) -> bool {
        idle.since.elapsed() < self.limits.idle - self.limits.idle / 20
    }

    fn close(&self, many: usize) {
        self.open.set(self.open.get() - many);
    }

    fn let_go(&self, endpoint: usize) {
        if let Some(pool) = self.idle.borrow_mut().get_mut(endpoint) {
            self.close(pool.len());
            pool.clear();
        }
    }

    fn sweep(&self) {
        for pool in self.idle.borrow_mut().iter_mut() {
            let before = pool.len();
            pool.retain(|idle| self.fresh(idle) && idle.link.usable());
            self.close(before - pool.len());
        }
    }

    /// An idle connection to an endpoint that can still be used, the last one used first.
    fn take(&self, endpoint: usize) -> Option<Link> {
        let mut pools = self.idle.borrow_mut();
        let pool = pools.get_mut(endpoint)?;
        while let Some(idle) = pool.pop_back() {
            if self.fresh(&idle) && idle.link.usable() {
                return Some(idle.link);
            }
            self.close(1);
        }
        None
    }

    fn keep(&self, endpoint: usize, mut counted: Counted) {
        let mut pools = self.idle.borrow_mut();
        if endpoint >= pools.len() {
            pools.resize_with(endpoint + 1, VecDeque::new);
        }
        if let Some(link) = counted.link.take() {
            pools[endpoint].push_back(Idle { link, since: Instant::now() });
        }
    }

    /// Makes room for one more connection by closing the one that has been idle longest.
    fn make_room(&self) -> bool {
        if self.open.get() < self.limits.connections {
            return true;
        }
        let mut pools = self.idle.borrow_mut();
        let oldest = pools.iter_mut().filter(|pool| !pool.is_empty()).min_by_key(|pool| pool[0].since);
        let closed = oldest.and_then(VecDeque::pop_front).is_some();
        self.close(usize::from(closed));
        closed
    }

    async fn connection(self: &Rc<Self>, call: &Call, until: Instant) -> Result<Counted, Outcome> {
        if let Some(link) = self.take(call.endpoint) {
            return Ok(Counted { link: Some(link), endpoints: self.clone() });
        }
        let address = call.address.ok_or(Outcome::Unreached)?;
        if !self.make_room() {
            log::warn!("no room for one more connection to endpoints");
            return Err(Outcome::Unreached);
        }
        self.open.set(self.open.get() + 1);
        let until = until.min(Instant::now() + self.limits.connect);
        match timeout_at(until.into(), Link::open(address)).await {
            Ok(Ok(link)) => Ok(Counted { link: Some(link), endpoints: self.clone() }),
            _ => {
                self.close(1);
                Err(Outcome::Unreached)
            }
        }
    }

    fn tell(&self, letters: &[Letter], seen: &Seen) {
        let mut exchange = self.shared.borrow_mut();
        letters.iter().for_each(|letter| exchange.seen(letter.serial, seen.clone()));
    }

    async fn call(self: Rc<Self>, mut call: Call) {
        let last = call.letters.iter().map(|letter| letter.until).max().unwrap_or_default();
        if !self.limits.may_overlap {
            // A mail whose time-out comes first may go again only once this call is closed.
            call.letters.iter_mut().for_each(|letter| letter.until = last.min(letter.due));
        }
        let until = self.clock.instant(last);
        let mut counted = match self.connection(&call, until).await {
            Ok(counted) => counted,
            Err(outcome) => return self.tell(&call.letters, &Seen::only(outcome)),
        };
        let letters = std::mem::take(&mut call.letters);
        let mut letters = self.shared.borrow_mut().begin(call.endpoint, letters);
        if letters.is_empty() {
            return self.keep(call.endpoint, counted);
        }
        let request = self.request(&call, &letters, until);
        let Some(link) = counted.link.as_mut() else { return };
        // Before the last byte is written nothing can have run.
        if !matches!(timeout_at(until.into(), link.send(&request)).await, Ok(Ok(()))) {
            return self.tell(&letters, &Seen::only(Outcome::Unreached));
        }
        let several = letters.len() > 1;
        let Some(answer) = self.waited(&mut letters, read_answer(link, several)).await else { return };
        match answer {
            Ok((head, body)) => {
                self.report(&letters, &head, body.as_deref());
                let rest = timeout(REST, async {
                    match body {
                        Some(_) => true,
                        None => link.whole(head.body, MOST_ANSWER).await.is_ok(),
                    }
                });
                if head.keep && rest.await == Ok(true) {
                    self.keep(call.endpoint, counted);
                }
            }
            Err(_) => {
                // Guards against a second outcome for a mail that was told of as silent: it may be out again.
                letters.retain(|letter| letter.until > 0);
                self.tell(&letters, &Seen::only(Outcome::Broken));
            }
        }
    }

    fn request(&self, call: &Call, letters: &[Letter], until: Instant) -> BytesMut {
        let letters: Vec<http::Letter> = letters.iter().map(as_sent).collect();
        let host = call.address.map(|address| address.to_string()).unwrap_or_default();
        let wait = until.saturating_duration_since(Instant::now());
        let mut out = BytesMut::new();
        match letters.as_slice() {
            [letter] => http::hook(&mut out, &host, letter, wait),
            letters => http::hook_batch(&mut out, &host, letters, wait),
        }
        out
    }

    /// Waits for an answer, and tells of each mail whose time-out passes before it. `None` once all have:
    /// the connection is then to be closed.
    async fn waited<T>(&self, letters: &mut [Letter], answer: impl Future<Output = T>) -> Option<T> {
        let mut answer = std::pin::pin!(answer);
        loop {
            let next: Time = letters.iter().filter(|l| l.until > 0).map(|l| l.until).min()?;
            tokio::select! {
                biased;
                answer = &mut answer => return Some(answer),
                () = sleep_until(self.clock.instant(next).into()) => {}
            }
            for letter in letters.iter_mut().filter(|l| l.until == next) {
                letter.until = 0; // told
                self.shared.borrow_mut().seen(letter.serial, Seen::only(Outcome::Silent));
            }
        }
    }

    fn report(&self, letters: &[Letter], head: &Head, body: Option<&[u8]>) {
        let items = body.map(|body| http::items(body).unwrap_or_default());
        let mut exchange = self.shared.borrow_mut();
        for letter in letters {
            let seen = match &items {
                Some(items) => {
                    let item = items.iter().find(|item| item.id.as_bytes() == letter.id);
                    read_item(item.map(|item| item.state.as_str()), head)
                }
                None => read_status(head, letters.len() > 1),
            };
            if letter.until > 0 {
                exchange.seen(letter.serial, seen);
            } else if seen.over {
                exchange.relayed_late(letter.serial);
            }
        }
    }
}

/// Ids and keys were found to be plain text when they came.
fn as_sent(letter: &Letter) -> http::Letter<'_> {
    let text = |bytes| std::str::from_utf8(bytes).unwrap_or_default();
    http::Letter { id: text(&letter.id), key: text(&letter.key), body: &letter.body }
}

/// An answer's head; with the body too where a 200 tells of several mails, one by one.
async fn read_answer(link: &mut Link, several: bool) -> io::Result<(Head, Option<BytesMut>)> {
    let head = link.head().await?;
    if several && head.status == 200 {
        let body = link.whole(head.body, MOST_ANSWER).await?;
        return Ok((head, Some(body)));
    }
    Ok((head, None))
}
