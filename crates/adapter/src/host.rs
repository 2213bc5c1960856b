//! Hosts many couriers in one process. Each has its own decision state and index tables; only the numbered
//! endpoint lists are shared.

use std::collections::HashMap;

use meadowhold::control::Control;
use meadowhold::interface::{AcceptedMail, Action, ConnectResult, Input, ListEntry, Time};
use meadowhold::interner::Interner;
use meadowhold_settings::{decode, time_from_us, Decoded};

use crate::wire::{self, Address, Event, Frame, Malformed, Reply};

struct Courier {
    control: Control,
    /// Positions of the limit report's two values, as in the settings.
    report_positions: [Option<usize>; 2],
    /// By queue class: whether its mails are delivered in order by key. The keys of other mails are ignored.
    ordered: Vec<bool>,
    mails: Interner<u32>,
    endpoints: Interner<Address>,
    /// Endpoint addresses by the short names used in notes.
    by_short_name: HashMap<u32, Address>,
    destinations: Interner<u16>,
    keys: Interner<u64>,
    /// The earliest timer that has been set and has not fired.
    timer: Option<Time>,
    inputs: Vec<Input>,
}

#[derive(Default)]
pub struct Host {
    couriers: Vec<Option<Courier>>,
    /// Endpoint lists by the numbers that list updates name.
    lists: Vec<Vec<wire::Entry>>,
    actions: Vec<Action>,
    reply: Reply,
    /// Couriers with an event in this frame, in the order of their first event.
    pending: Vec<usize>,
}

/// Limits on the numbers that size the tables here, so that a bad number cannot exhaust memory; far above those
/// in use.
const MAX_COURIERS: usize = 1 << 16;
const MAX_LISTS: usize = 256;

impl Host {
    pub fn process_frame(&mut self, frame: &Frame, out: &mut Vec<u8>) -> Result<(), Malformed> {
        let now = time_from_us(frame.clock_us);
        for event in frame.events() {
            let (instance, event) = event?;
            self.handle_event(instance as usize, event, now)?;
        }
        for i in 0..self.pending.len() {
            let index = self.pending[i];
            if let Some(courier) = &mut self.couriers[index] {
                courier.decide(index as u32, now, &mut self.actions, &mut self.reply);
            }
        }
        self.pending.clear();
        self.reply.finish(frame.number, out);
        Ok(())
    }

    fn handle_event(&mut self, index: usize, event: Event, now: Time) -> Result<(), Malformed> {
        if let Event::EndpointList { number, entries } = event {
            let number = number as usize;
            if number >= MAX_LISTS {
                return Err("the number of an endpoint list is out of range");
            }
            if number >= self.lists.len() {
                self.lists.resize_with(number + 1, Vec::new);
            }
            self.lists[number].clear();
            self.lists[number].extend(wire::decode_entries(entries));
            return Ok(());
        }
        if index >= MAX_COURIERS {
            return Err("an event has an instance number out of range");
        }
        if index >= self.couriers.len() {
            self.couriers.resize_with(index + 1, || None);
        }
        match event {
            Event::Start { seed, info } => {
                self.couriers[index] = match decode(seed, info) {
                    Ok(decoded) => Some(Courier::new(decoded)),
                    Err(problem) => {
                        self.reply.reject_settings(index as u32, &problem);
                        None
                    }
                }
            }
            Event::Crash => self.couriers[index] = None,
            event => {
                let Some(courier) = &mut self.couriers[index] else { return Ok(()) };
                courier.add_input(event, &self.lists, now)?;
            }
        }
        if !self.pending.contains(&index) {
            self.pending.push(index);
        }
        Ok(())
    }
}

impl Courier {
    fn new(decoded: Decoded) -> Courier {
        Courier {
            ordered: decoded.settings.classes.iter().map(|c| c.ordered).collect(),
            control: Control::new(decoded.settings),
            report_positions: decoded.report_positions,
            mails: Interner::default(),
            endpoints: Interner::default(),
            by_short_name: HashMap::new(),
            destinations: Interner::default(),
            keys: Interner::default(),
            timer: None,
            inputs: Vec::new(),
        }
    }

    fn add_input(&mut self, event: Event, lists: &[Vec<wire::Entry>], now: Time) -> Result<(), Malformed> {
        let input = match event {
            Event::ListUpdate { scope: 3, .. } => Input::ListFailed,
            Event::ListUpdate { scope, list } => {
                let list = lists
                    .get(list as usize)
                    .ok_or("a list update names an endpoint list that was not sent")?;
                self.inputs.push(Input::ListBegin { complete: scope != 0 });
                for e in list {
                    let endpoint = self.endpoints.intern(e.endpoint);
                    self.by_short_name.insert(wire::short_name(e.endpoint), e.endpoint);
                    let destination = self.destinations.intern(e.destination);
                    let (zone, kind, status, rate) = (e.zone, e.kind, e.status, e.rate);
                    self.inputs.push(Input::ListEntry(ListEntry {
                        endpoint,
                        destination,
                        zone,
                        kind,
                        status,
                        rate,
                    }));
                }
                Input::ListEnd
            }
            Event::Arrival { handle, destination, class, key, deadline } => {
                Input::AcceptedMail(AcceptedMail {
                    mail: self.mails.intern(handle),
                    destination: self.destinations.intern(destination),
                    class,
                    key: (key != 0 && self.ordered.get(class) == Some(&true)).then(|| self.keys.intern(key)),
                    submitted_at: now,
                    deadline,
                    ..AcceptedMail::default()
                })
            }
            Event::Hangup { handle } => match self.mails.get(&handle) {
                Some(mail) => Input::ClientGone { mail },
                None => return Ok(()),
            },
            Event::TimerFired => {
                self.timer = self.timer.filter(|&at| at > now);
                Input::Wakeup
            }
            Event::ConnectEnded(s) => match self.mails.get(&s.handle) {
                Some(mail) => Input::ConnectResult(ConnectResult {
                    mail,
                    outcome: s.outcome,
                    finished: s.is_final,
                    retry_after: s.retry_after,
                    duration: s.duration,
                    reused_connection: false,
                    limit_report: wire::limit_report(
                        s.report,
                        self.report_positions[0],
                        self.report_positions[1],
                    ),
                }),
                None => return Ok(()),
            },
            Event::Note { body } => {
                let decoded = wire::decode_note(body);
                let Some((endpoint, note)) = decoded.and_then(|(name, note)| {
                    Some((self.endpoints.get(self.by_short_name.get(&name)?)?, note))
                }) else {
                    return Ok(());
                };
                Input::PeerNote { endpoint, note }
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
            self.write_action(instance, action, reply);
        }
        if let Some(at) = wake.filter(|&at| self.timer.is_none_or(|set| at < set)) {
            self.timer = Some(at);
            reply.set_timer(instance, at);
        }
    }

    fn write_action(&mut self, instance: u32, action: Action, reply: &mut Reply) {
        match action {
            Action::Connect { mail, endpoint, timeout, .. } => {
                if let (Some(&m), Some(&e)) = (self.mails.id(mail), self.endpoints.id(endpoint)) {
                    reply.connect(instance, m, e, timeout);
                }
            }
            Action::Defer { mail, retry_after } => {
                if let Some(&m) = self.mails.id(mail) {
                    reply.defer(instance, m, retry_after);
                }
            }
            Action::Bounce { mail } => {
                if let Some(&m) = self.mails.id(mail) {
                    reply.bounce(instance, m);
                }
            }
            Action::CloseIdle(endpoint) => {
                if let Some(&e) = self.endpoints.id(endpoint) {
                    reply.close_idle(instance, e);
                }
            }
            Action::SendNote { endpoint, note } => {
                if let Some(&e) = self.endpoints.id(endpoint) {
                    reply.send_note(instance, &wire::encode_note(e, note));
                }
            }
            Action::RequestList => reply.watch_list(instance),
            Action::FreeMail(mail) => self.mails.release(mail),
            Action::FreeKey(key) => self.keys.release(key),
            Action::FreeEndpoint(endpoint) => self.endpoints.release(endpoint),
        }
    }
}
