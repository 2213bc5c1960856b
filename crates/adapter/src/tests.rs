//! The wire codec and the host: frames both ways, odd and malformed ones.

use super::*;
use meadowhold::interface::{EndpointStatus, LimitReport, Outcome, PeerNote};
use wire::{Event, Reply};

const SETTINGS: &str = "NInstances=2\nFamilyInfo.Slots=4\nLimits.MaxOpen=20\nLimits.MaxAttempts=3\n\
    ResolutionUs=5000\nLimits.ConnectTimeoutUs=1000000\nLimits.KeepaliveUs=5000000\nMembershipMode=push\n\
    Kinds=a,b\nFamilyInfo.KindBatch=4,1\nFamilyInfo.OwnLimits=false,true\nProfiles.count=1\n\
    Profiles.0.Effect=read_like\nProfiles.0.PromiseUs=1000000\nProfiles.0.HardLimitUs=4000000\nNew.Key=1\n";

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|d| u8::from_str_radix(std::str::from_utf8(d).unwrap(), 16).unwrap()).collect()
}

/// A frame of these records (filled up with zeros), at `second`.
fn frame(second: u64, records: &[&str], tail: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for record in records {
        let mut r = hex(record);
        r.resize(wire::EVENT, 0);
        bytes.extend(r);
    }
    bytes.extend(tail);
    let mut whole = ((bytes.len() + 20) as u32).to_be_bytes().to_vec();
    whole.extend((records.len() as u32).to_be_bytes());
    whole.extend((second * 1_000_000).to_be_bytes());
    whole.extend(7u32.to_be_bytes());
    whole.extend(bytes);
    whole
}

fn run(input: &[u8]) -> (Result<(), String>, Vec<u8>) {
    let mut output = Vec::new();
    (serve(input, &mut output), output)
}

fn hello(settings: &str) -> Vec<u8> {
    let entries = hex("0a124a07 1b5b 00 00 0039 01 3f800000 0000000000000000");
    let mut tail = settings.as_bytes().to_vec();
    tail.extend(entries);
    let length = settings.len();
    let census = format!("14 00000000 {length:08x} 00000001");
    frame(
        1,
        &[&format!("32 00000003 0000000000000005 00000000 {length:08x}"), &census, "3c 00000003 02"],
        &tail,
    )
}

#[test]
fn events_are_read() {
    let cases: [(&str, Event); 5] = [
        (
            "46 00000003 5d3a91c4 42640000 01 00 00002ee0 0002 91f03b7c55d20a64 00000000008405da",
            Event::Arrival {
                handle: 0x5d3a91c4,
                dest: 57,
                class: 0,
                item: 0x91f03b7c55d20a64,
                due: 0x8405da / 100,
            },
        ),
        ("1e 00000005 0e6f2b19", Event::Hangup { handle: 0x0e6f2b19 }),
        ("28 00000003 000000000000004d", Event::Alarm),
        ("0a 00000003 0a9011f2 1b84 0001 00000578", Event::Other),
        ("ff 00000003", Event::Other),
    ];
    for (record, expected) in cases {
        let bytes = frame(1, &[record], &[]);
        let read = wire::frame(&bytes).unwrap();
        assert_eq!(read.events().next().unwrap().unwrap().1, expected, "{record}");
    }
    let bytes = frame(
        1,
        &["6e 00000003 5d3a91c4 01 00fe 00 0a124a07 1b5b 0000000c 00004844 02 3f000000 40000000"],
        &[],
    );
    let read = wire::frame(&bytes).unwrap();
    let first = read.events().next().unwrap().unwrap().1;
    match first {
        Event::Settled(s) => {
            assert_eq!(
                (s.handle, s.over, s.outcome, s.wait, s.took),
                (0x5d3a91c4, true, Outcome::Refused, 120, 185)
            );
            assert_eq!(
                wire::report(s.report, Some(0), Some(1)),
                Some(LimitReport { remaining: 0.5, limit: 2.0 })
            );
            assert_eq!(wire::report(s.report, Some(0), Some(2)), None);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn entries_are_read() {
    let entry = wire::entries(&hex("0a9011f2 1b84 01 02 0039 02 3fc00000 00000000005d1420")).next().unwrap();
    assert_eq!(
        (entry.zone, entry.kind, entry.dest, entry.life, entry.rate),
        (1, 2, 57, EndpointStatus::Draining, 1.5)
    );
}

#[test]
fn replies_are_written() {
    let (mut reply, mut out) = (Reply::default(), Vec::new());
    reply.transmit(3, 0x5d3a91c4, [10, 0x12, 0x4a, 7, 0x1b, 0x5b], 800);
    reply.busy(3, 0x0e6f2b19, 2500);
    reply.bail_out(3, "no");
    reply.finish(12, &mut out);
    let expected = "00000003 00000056 0000000c 28 00000003 5d3a91c4 0a124a07 1b5b 00013880 0000000000 \
        78 00000003 0e6f2b19 0003d090 0000000000000000000000 1e 00000003 00000000 00000002 0000000000000000000000 6e6f";
    assert_eq!(out, hex(expected));
    out.clear();
    reply.finish(1, &mut out);
    assert_eq!(out, hex("00000000 0000000c 00000001"));
}

#[test]
fn malformed_input_ends_with_plain_words() {
    let mut long = frame(1, &[], &[]);
    long[7] = 9;
    let cases = [
        (vec![0, 0], "the input ends inside a frame"),
        (hex("00000004"), "a frame is shorter than its header"),
        (hex("00000014 00000000"), "the input ends inside a frame"),
        (long, "a frame ends before its last record"),
        (frame(1, &["14 00000000 00000000 00000001"], &[]), "a record points outside the tail"),
        (
            frame(1, &["32 00000000 0000000000000001 ffffffff ffffffff"], &[]),
            "a record points outside the tail",
        ),
        (frame(1, &["46 00000000 00000001 7fc00000"], &[]), "an arrival names no destination number"),
        (frame(1, &["6e 00000000 00000001 00 0009"], &[]), "an outcome has an unknown reason"),
    ];
    for (input, words) in cases {
        assert_eq!(run(&input).0, Err(words.to_string()));
    }
    assert_eq!(run(&[]), (Ok(()), Vec::new()));
}

#[test]
fn settings_that_are_needed_are_asked_for_by_name() {
    for key in ["FamilyInfo.Slots", "Profiles.0.Effect", "MembershipMode"] {
        let text = SETTINGS.replace(key, "X");
        let (ended, output) = run(&hello(&text));
        assert_eq!((ended, output[12]), (Ok(()), 30));
        assert!(String::from_utf8_lossy(&output).ends_with(&format!("setting {key} is missing")), "{key}");
    }
}

#[test]
fn a_courier_sends_what_arrives_and_forgets_all_when_killed() {
    let arrival = "46 00000003 5d3a91c4 42640000 00 00 00000000 0000 0000000000000000 00000000003d0900";
    let mut input = hello(SETTINGS);
    input.extend(frame(2, &[arrival], &[]));
    let (ended, output) = run(&input);
    assert_eq!((ended, output[12]), (Ok(()), 0), "the hello asks for nothing");
    assert_eq!(output[24..29], hex("28 00000003"), "the mail is sent");
    // The outcome of a mail from before a restart is passed over, as is an instance that is not running.
    input.extend(frame(3, &["50 00000003", "6e 00000003 5d3a91c4 01 0000 00 0a124a07 1b5b", arrival], &[]));
    let (ended, output) = run(&input);
    assert_eq!(ended, Ok(()));
    assert_eq!(output[output.len() - 12..], hex("00000000 0000000c 00000007"));
}

#[test]
fn notes_are_four_bytes_that_are_read_as_they_were_written() {
    let endpoint = [10, 18, 74, 7, 27, 91];
    // Waits are told in tenths of a second, rounded up, six seconds and a bit at most.
    let cases = [
        (PeerNote::Down, PeerNote::Down),
        (PeerNote::Recovered, PeerNote::Recovered),
        (PeerNote::Refusing(0), PeerNote::Refusing(0)),
        (PeerNote::Refusing(1), PeerNote::Refusing(1000)),
        (PeerNote::Refusing(3000), PeerNote::Refusing(3000)),
        (PeerNote::Refusing(900_000), PeerNote::Refusing(63_000)),
    ];
    for (told, heard) in cases {
        let note = wire::note(endpoint, told);
        assert_eq!(wire::noted(&note), Some((wire::short(endpoint), heard)));
    }
    for odd in [&b""[..], b"\x01", b"\0\0\0", b"\0\0\0\xc0", b"\0\0\0\0\0"] {
        assert_eq!(wire::noted(odd), None, "{odd:?}");
    }
    // Endpoints as they are listed: one machine's ports, one port on many machines.
    let all = (0..400u16).map(|i| [10, 18, (i / 20) as u8, (i % 20) as u8, 27, (i % 7) as u8]);
    let names: std::collections::HashSet<u32> = all.map(wire::short).collect();
    assert_eq!(names.len(), 400);
}
