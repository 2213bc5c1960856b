//! Many couriers in one process: each with its own doors and decisions. They share the numbered lists only.

use std::collections::HashMap;

use meadowhold::control::Control;
use meadowhold::interface::{AcceptedMail, Action, ConnectResult, Input, ListEntry, Time};
use meadowhold::interner::Interner;
use meadowhold_settings::{decode, tenths, Decoded};

use crate::wire::{self, Address, Event, Frame, Malformed, Reply};

struct Courier {
    control: Control,
    report: [Option<usize>; 2],
    /// Queue classes that keep their order; a key on any other mail says nothing.
    in_turn: Vec<bool>,
    mails: Interner<u32>,
    endpoints: Interner<Address>,
    /// Endpoints by the short names that notes use.
    named: HashMap<u32, Address>,
    dests: Interner<u16>,
    keys: Interner<u64>,
    /// Earliest timer that is still to fire.
    timer: Option<Time>,
    inputs: Vec<Input>,
}

#[derive(Default)]
pub struct Host {
    couriers: Vec<Option<Courier>>,
    lists: Vec<Vec<wire::Entry>>,
    actions: Vec<Action>,
    reply: Reply,
    /// Couriers with an event in this batch, in the order of their first.
    woken: Vec<usize>,
}

/// Bounds on what numbers may grow tables here, far above what the wire uses.
const MOST_COURIERS: usize = 1 << 16;
const MOST_LISTS: usize = 256;

impl Host {
    pub fn round(&mut self, frame: &Frame, out: &mut Vec<u8>) -> Result<(), Malformed> {
        let now = tenths(frame.clock_us);
        for event in frame.events() {
            let (instance, event) = event?;
            self.take(instance as usize, event, now)?;
        }
        for i in 0..self.woken.len() {
            let index = self.woken[i];
            if let Some(courier) = &mut self.couriers[index] {
                courier.decide(index as u32, now, &mut self.actions, &mut self.reply);
            }
        }
        self.woken.clear();
        self.reply.finish(frame.number, out);
        Ok(())
    }

    fn take(&mut self, index: usize, event: Event, now: Time) -> Result<(), Malformed> {
        if let Event::Census { number, entries } = event {
            let number = number as usize;
            if number >= MOST_LISTS {
                return Err("a census has a number out of range");
            }
            if number >= self.lists.len() {
                self.lists.resize_with(number + 1, Vec::new);
            }
            self.lists[number].clear();
            self.lists[number].extend(wire::entries(entries));
            return Ok(());
        }
        if index >= MOST_COURIERS {
            return Err("an event has an instance number out of range");
        }
        if index >= self.couriers.len() {
            self.couriers.resize_with(index + 1, || None);
        }
        match event {
            Event::Hello { seed, info } => {
                self.couriers[index] = match decode(seed, info) {
                    Ok(decoded) => Some(Courier::new(decoded)),
                    Err(words) => {
                        self.reply.bail_out(index as u32, &words);
                        None
                    }
                }
            }
            Event::Crash => self.couriers[index] = None,
            event => {
                let Some(courier) = &mut self.couriers[index] else { return Ok(()) };
                courier.take(event, &self.lists, now)?;
            }
        }
        if !self.woken.contains(&index) {
            self.woken.push(index);
        }
        Ok(())
    }
}

impl Courier {
    fn new(decoded: Decoded) -> Courier {
        Courier {
            in_turn: decoded.settings.classes.iter().map(|c| c.ordered).collect(),
            control: Control::new(decoded.settings),
            report: decoded.report,
            mails: Interner::default(),
            endpoints: Interner::default(),
            named: HashMap::new(),
            dests: Interner::default(),
            keys: Interner::default(),
            timer: None,
            inputs: Vec::new(),
        }
    }

    fn take(&mut self, event: Event, lists: &[Vec<wire::Entry>], now: Time) -> Result<(), Malformed> {
        let input = match event {
            Event::View { scope: 3, .. } => Input::ListFailed,
            Event::View { scope, census } => {
                let list = lists.get(census as usize).ok_or("a view names a census that never came")?;
                self.inputs.push(Input::ListBegin { complete: scope != 0 });
                for e in list {
                    let endpoint = self.endpoints.intern(e.endpoint);
                    self.named.insert(wire::short(e.endpoint), e.endpoint);
                    let dest = self.dests.intern(e.dest);
                    let (zone, kind, life, rate) = (e.zone, e.kind, e.life, e.rate);
                    self.inputs.push(Input::ListEntry(ListEntry {
                        endpoint,
                        destination: dest,
                        zone,
                        kind,
                        status: life,
                        rate,
                    }));
                }
                Input::ListEnd
            }
            Event::Arrival { handle, dest, class, item, due } => Input::AcceptedMail(AcceptedMail {
                mail: self.mails.intern(handle),
                destination: self.dests.intern(dest),
                class,
                key: (item != 0 && self.in_turn.get(class) == Some(&true)).then(|| self.keys.intern(item)),
                submitted_at: now,
                deadline: due,
                ..AcceptedMail::default()
            }),
            Event::Hangup { handle } => match self.mails.get(&handle) {
                Some(mail) => Input::ClientGone { mail },
                None => return Ok(()),
            },
            Event::Alarm => {
                self.timer = self.timer.filter(|&at| at > now);
                Input::Wakeup
            }
            Event::Settled(s) => match self.mails.get(&s.handle) {
                Some(mail) => Input::ConnectResult(ConnectResult {
                    mail,
                    outcome: s.outcome,
                    finished: s.over,
                    retry_after: s.wait,
                    duration: s.took,
                    reused_connection: false,
                    limit_report: wire::report(s.report, self.report[0], self.report[1]),
                }),
                None => return Ok(()),
            },
            Event::Message { body } => {
                let note = wire::noted(body);
                let Some((endpoint, news)) =
                    note.and_then(|(name, news)| Some((self.endpoints.get(self.named.get(&name)?)?, news)))
                else {
                    return Ok(());
                };
                Input::PeerNote { endpoint, note: news }
            }
            _ => return Ok(()),
        };
        self.inputs.push(input);
        Ok(())
    }

    fn decide(&mut self, instance: u32, now: Time, actions: &mut Vec<Action>, reply: &mut Reply) {
        let wake = self.control.step(now, &self.inputs, actions);
        self.inputs.clear();
        for action in actions.drain(..) {
            self.put(instance, action, reply);
        }
        if let Some(at) = wake.filter(|&at| self.timer.is_none_or(|set| at < set)) {
            self.timer = Some(at);
            reply.after(instance, at);
        }
    }

    fn put(&mut self, instance: u32, action: Action, reply: &mut Reply) {
        match action {
            Action::Connect { mail, endpoint, timeout, .. } => {
                if let (Some(&m), Some(&e)) = (self.mails.id(mail), self.endpoints.id(endpoint)) {
                    reply.transmit(instance, m, e, timeout);
                }
            }
            Action::Defer { mail, retry_after: pause } => {
                if let Some(&m) = self.mails.id(mail) {
                    reply.busy(instance, m, pause);
                }
            }
            Action::Bounce { mail } => {
                if let Some(&m) = self.mails.id(mail) {
                    reply.finish_error(instance, m);
                }
            }
            Action::CloseIdle(endpoint) => {
                if let Some(&e) = self.endpoints.id(endpoint) {
                    reply.let_go(instance, e);
                }
            }
            Action::SendNote { endpoint, note: news } => {
                if let Some(&e) = self.endpoints.id(endpoint) {
                    reply.publish(instance, &wire::note(e, news));
                }
            }
            Action::RequestList => reply.watch(instance),
            Action::FreeMail(mail) => self.mails.release(mail),
            Action::FreeKey(key) => self.keys.release(key),
            Action::FreeEndpoint(endpoint) => self.endpoints.release(endpoint),
        }
    }
}
