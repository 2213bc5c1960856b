//! The bench adapter: reads frames of events, runs the decisions of each courier concerned, and writes one
//! reply per frame.
#![forbid(unsafe_code)]

mod host;
mod wire;

use std::io::{self, Read, Write};
use std::process::ExitCode;

/// Processes frames until the input ends; an end within a frame is an error.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let (mut bytes, mut reply) = (Vec::new(), Vec::new());
    loop {
        bytes.resize(4, 0);
        match read_full(&mut input, &mut bytes)? {
            0 => return Ok(()),
            4 => {}
            _ => return Err("the input ends inside a frame".to_string()),
        }
        let length = wire::frame_length(&bytes).ok_or("the length of a frame is missing")??;
        let rest = (&mut input).take(length as u64 - 4).read_to_end(&mut bytes);
        if rest.map_err(|e| e.to_string())? != length - 4 {
            return Err("the input ends inside a frame".to_string());
        }
        reply.clear();
        host.process_frame(&wire::decode_frame(&bytes)?, &mut reply)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
    }
}

/// Fills `bytes`, unless the input ends first; returns how many bytes were read.
fn read_full(input: &mut impl Read, bytes: &mut [u8]) -> Result<usize, String> {
    let mut have = 0;
    while have < bytes.len() {
        match input.read(&mut bytes[have..]) {
            Ok(0) => break,
            Ok(n) => have += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e.to_string()),
        }
    }
    Ok(have)
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("meadowhold-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
