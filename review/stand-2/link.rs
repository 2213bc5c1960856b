//! A link between courier and endpoint with a delay, drawn anew for each piece that is written. Pieces keep their order, as TCP's do.

use super::stand::Chance;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One way, in milliseconds: least and most.
pub type Delays = (u64, u64);

fn draw(chance: &Mutex<Chance>, (least, most): Delays) -> Duration {
    Duration::from_micros(least * 1000 + chance.lock().unwrap().below((most - least) * 1000))
}

/// The endpoint's end of a link.
pub struct Link {
    pub arriving: Arriving,
    answers: Sender<(Instant, Vec<u8>)>,
    last: Instant,
    delays: Delays,
    chance: Arc<Mutex<Chance>>,
    ended: Arc<Mutex<Option<Instant>>>,
}

impl Link {
    pub fn new(stream: TcpStream, delays: Delays, chance: Arc<Mutex<Chance>>) -> std::io::Result<Link> {
        let (back, there) = (stream.try_clone()?, stream);
        let (answers, answers_in) = channel();
        let (requests, requests_in) = channel();
        let ended = Arc::new(Mutex::new(None));
        thread::spawn(move || way_back(back, answers_in));
        let (of, draws) = (ended.clone(), chance.clone());
        thread::spawn(move || way_there(there, requests, of, draws, delays));
        let arriving = Arriving { pieces: requests_in, on_its_way: None, waiting: Vec::new() };
        Ok(Link { arriving, answers, last: Instant::now(), delays, chance, ended })
    }

    /// Writes one piece, which arrives after a delay, and not before those ahead of it.
    pub fn write(&mut self, bytes: &[u8]) {
        self.last = self.last.max(Instant::now() + draw(&self.chance, self.delays));
        let _ = self.answers.send((self.last, bytes.to_vec()));
    }

    /// When the courier ended the connection, or its sending on it.
    pub fn ended(&self) -> Option<Instant> {
        *self.ended.lock().unwrap()
    }
}

fn way_back(mut out: TcpStream, pieces: Receiver<(Instant, Vec<u8>)>) {
    while let Ok((at, bytes)) = pieces.recv() {
        thread::sleep(at.saturating_duration_since(Instant::now()));
        if out.write_all(&bytes).is_err() {
            return;
        }
    }
    let _ = out.shutdown(Shutdown::Write);
}

fn way_there(
    mut from: TcpStream,
    to: Sender<(Instant, Vec<u8>)>,
    ended: Arc<Mutex<Option<Instant>>>,
    chance: Arc<Mutex<Chance>>,
    delays: Delays,
) {
    let mut buffer = vec![0; 1 << 16];
    let mut last = Instant::now();
    loop {
        match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(read) => {
                last = last.max(Instant::now() + draw(&chance, delays));
                if to.send((last, buffer[..read].to_vec())).is_err() {
                    break;
                }
            }
        }
    }
    *ended.lock().unwrap() = Some(Instant::now());
}

/// Reads what has come over the link.
pub struct Arriving {
    pieces: Receiver<(Instant, Vec<u8>)>,
    on_its_way: Option<(Instant, Vec<u8>)>,
    waiting: Vec<u8>,
}

impl Arriving {
    /// Whether anything has arrived that is not read yet.
    pub fn is_waiting(&mut self) -> bool {
        if self.on_its_way.is_none() {
            self.on_its_way = self.pieces.try_recv().ok();
        }
        !self.waiting.is_empty() || self.on_its_way.as_ref().is_some_and(|(at, _)| *at <= Instant::now())
    }

    /// Waits for the next byte; `None` at the end.
    fn byte(&mut self) -> Option<u8> {
        let mut one = [0];
        (self.read(&mut one).ok()? == 1).then_some(one[0])
    }

    /// Reads one request: its head byte by byte, so that nothing behind it is taken.
    pub fn request(&mut self) -> Option<super::stand::Request> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.byte()?);
        }
        let text = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let length = text.split("content-length:").nth(1).and_then(|rest| rest.split("\r\n").next()?.trim().parse().ok());
        for _ in 0..length.unwrap_or(0) {
            head.push(self.byte()?);
        }
        super::stand::read_request(&mut &head[..])
    }
}

impl Read for Arriving {
    fn read(&mut self, out: &mut [u8]) -> std::io::Result<usize> {
        if self.waiting.is_empty() {
            let piece = self.on_its_way.take().or_else(|| self.pieces.recv().ok());
            let Some((at, bytes)) = piece else { return Ok(0) };
            thread::sleep(at.saturating_duration_since(Instant::now()));
            self.waiting = bytes;
        }
        let size = out.len().min(self.waiting.len());
        out[..size].copy_from_slice(&self.waiting[..size]);
        self.waiting.drain(..size);
        Ok(size)
    }
}
