//! The codecs on complete, split, odd and hostile input.

use std::time::Duration;

use bytes::BytesMut;
use meadowhold::interface::{PeerNote, Time};
use meadowhold_courier::http::{self, Body, Mail, Piece};
use meadowhold_courier::{notes, resp};

#[test]
fn a_command_is_read_wherever_it_is_split() {
    let whole = b"*3\r\n$7\r\nMSG.PUT\r\n$0\r\n\r\n$4\r\na\r\nb\r\n*1\r\n$4\r\nPING\r\n";
    for cut in 0..whole.len() {
        let mut buffer = BytesMut::from(&whole[..cut]);
        let mut commands = Vec::new();
        for more in [&whole[cut..], b""] {
            while let Some(words) = resp::read_command(&mut buffer).unwrap() {
                commands.push(words);
            }
            buffer.extend_from_slice(more);
        }
        let expected: [&[&[u8]]; 2] = [&[b"MSG.PUT", b"", b"a\r\nb"], &[b"PING"]];
        assert_eq!(commands, expected, "cut at {cut}");
        assert!(buffer.is_empty());
    }
}

#[test]
fn inline_commands_are_read() {
    let cases: [(&[u8], &[&[u8]]); 4] =
        [(b"PING\r\n", &[b"PING"]), (b" a  b\n", &[b"a", b"b"]), (b"\r\n", &[]), (b"*0\r\n", &[])];
    for (line, expected) in cases {
        assert_eq!(resp::read_command(&mut BytesMut::from(line)).unwrap().unwrap(), expected);
    }
}

#[test]
fn malformed_commands_are_rejected_with_a_message() {
    let long = [b'x'; 2000];
    let cases: [(&[u8], &str); 9] = [
        (b"*17\r\n", "a command has too many words"),
        (b"*-1\r\n", "a command has too many words"),
        (b"*99999999999999999999\r\n", "a command has too many words"),
        (b"*1\r\n:5\r\n", "a word is no bulk string"),
        (b"*1\r\n$65537\r\n", "a word is too long"),
        (b"*1\r\n$-1\r\n", "a word is too long"),
        (b"*1\r\n$2\r\nabc\r\n", "a word does not end where it should"),
        (b"*2\r\n$40000\r\n", ""),
        (&long, "a line is too long"),
    ];
    for (bytes, words) in cases {
        match resp::read_command(&mut BytesMut::from(bytes)) {
            Err(malformed) => assert_eq!(malformed.0, words),
            Ok(read) => assert_eq!((read, words), (None, "")),
        }
    }
    // Each word is short enough, but not all together.
    let mut many = b"*3\r\n".to_vec();
    for _ in 0..2 {
        many.extend(b"$40000\r\n");
        many.extend([b'x'; 40_000]);
        many.extend(b"\r\n");
    }
    let read = resp::read_command(&mut BytesMut::from(&many[..]));
    assert_eq!(read, Err(resp::Malformed("a command is too long")));
}

/// Parses the head and body of an answer that arrives in two parts.
fn answer(first: &[u8], second: &[u8]) -> Result<(http::Head, Vec<u8>), http::Malformed> {
    let mut buffer = BytesMut::from(first);
    let mut more = Some(second);
    let mut head = None;
    let mut body = Vec::new();
    loop {
        if head.is_none() {
            head = http::read_head(&mut buffer)?;
        }
        if let Some(head) = &mut head {
            match head.body.next(&mut buffer)? {
                Piece::Bytes(bytes) => {
                    body.extend_from_slice(&bytes);
                    continue;
                }
                Piece::Ended => return Ok((head.clone(), body)),
                Piece::More => {}
            }
        }
        match more.take() {
            Some(bytes) => buffer.extend_from_slice(bytes),
            None => return Err(http::Malformed("unfinished")),
        }
    }
}

#[test]
fn an_answer_is_read_wherever_it_is_split() {
    let answers: [(&[u8], u16, &[u8], bool); 5] = [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 200, b"hello", true),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n", 503, b"", true),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n\
              3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nA: b\r\n\r\n",
            200,
            b"hello",
            false,
        ),
        (b"HTTP/1.1 204 No Content\r\n\r\n", 204, b"", true),
        (b"HTTP/1.0 500 Error\r\nContent-Length: 1\r\n\r\nx", 500, b"x", false),
    ];
    for (bytes, status, body, keep_alive) in answers {
        for cut in 0..=bytes.len() {
            let (head, read) = answer(&bytes[..cut], &bytes[cut..]).unwrap();
            assert_eq!((head.status, &read[..], head.keep_alive), (status, body, keep_alive), "cut at {cut}");
        }
    }
}

#[test]
fn headers_of_an_answer_are_read() {
    let head = |fields: &str| {
        http::read_head(&mut BytesMut::from(format!("HTTP/1.1 429 X\r\n{fields}\r\n").as_bytes()))
            .unwrap()
            .unwrap()
    };
    let waits = [("1.25", Some(1250)), ("0", None), ("-3", None), ("NaN", None), ("1e300", Some(3_600_000))];
    for (text, wait) in waits {
        let expected = wait.map(Duration::from_millis);
        assert_eq!(head(&format!("retry-after: {text}\r\n")).retry_after, expected, "{text}");
    }
    let full = head("X-Over-Slots: 1\r\nX-Load: x0=0.4,x1=25\r\n");
    assert!(full.over_slots && !full.keep_alive, "without a length the body ends with the connection");
    assert_eq!(http::pair_value(full.load.as_deref().unwrap(), "x1"), Some("25"));
    assert_eq!(http::pair_value("a=1,b", "b"), None);
}

#[test]
fn malformed_answers_are_rejected() {
    let long = format!("HTTP/1.1 200 OK\r\nA: {}", "x".repeat(20_000));
    let cases: [&[u8]; 7] = [
        b"SSH-2.0-x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxxx",
        long.as_bytes(),
    ];
    for bytes in cases {
        let refused = answer(bytes, b"").unwrap_err();
        assert_ne!(refused.0, "unfinished", "{}", String::from_utf8_lossy(&bytes[..40.min(bytes.len())]));
    }
    let mut body = Body::Trailer;
    let mut endless = BytesMut::from(&[b'x'; 20_000][..]);
    assert_eq!(body.next(&mut endless), Err(http::Malformed("trailer exceeds the size limit")));
}

#[test]
fn requests_follow_the_protocol() {
    let wait = Duration::from_millis(1500);
    let mails = [
        Mail { id: "9b1f", key: "", body: b"hello" },
        Mail { id: "77aa", key: "5c0f", body: &[0, 255, b'\r', b'\n'] },
    ];
    let text = |out: &BytesMut| String::from_utf8_lossy(out).into_owned();
    let mut out = BytesMut::new();
    http::write_hook(&mut out, "h:1", &mails[0], wait);
    let single = "POST /hook HTTP/1.1\r\nHost: h:1\r\nX-Request-Id: 9b1f\r\nX-Deadline: 1.500\r\n\
        Content-Length: 5\r\n\r\nhello";
    assert_eq!(text(&out), single);
    out.clear();
    http::write_hook(&mut out, "h:1", &mails[1], wait);
    assert!(text(&out).contains("\r\nIdempotency-Key: 5c0f\r\n"));
    assert!(out.ends_with(b"\r\n\r\n\0\xff\r\n"), "a body may contain any byte");
    out.clear();
    http::write_hook_batch(&mut out, "h:1", &mails, wait);
    let body =
        "[{\"id\":\"9b1f\",\"body\":\"aGVsbG8=\"},{\"id\":\"77aa\",\"key\":\"5c0f\",\"body\":\"AP8NCg==\"}]";
    assert!(text(&out).ends_with(&format!("Content-Length: {}\r\n\r\n{body}", body.len())), "{}", text(&out));
    let size = |l: &Mail| http::size_in_batch(l.id.as_bytes(), l.key.as_bytes(), l.body);
    assert!(body.len() <= mails.iter().map(size).sum());
}

#[test]
fn malformed_batch_answers_are_rejected_as_a_whole() {
    let items =
        http::read_items(br#"[{"id":"a","state":"ok","more":1},{"id":"b","state":"later"}]"#).unwrap();
    assert_eq!(
        items.iter().map(|i| (&i.id[..], &i.state[..])).collect::<Vec<_>>(),
        [("a", "ok"), ("b", "later")]
    );
    for broken in [&b""[..], b"{}", b"[{\"id\":\"a\"}]", b"[{\"id\":1,\"state\":\"ok\"}]"] {
        assert_eq!(http::read_items(broken), None);
    }
}

#[test]
fn notes_round_trip_and_malformed_ones_are_rejected() {
    // A wait is sent in milliseconds, rounded up, and at most a minute.
    let cases = [
        (PeerNote::Down, PeerNote::Down),
        (PeerNote::Recovered, PeerNote::Recovered),
        (PeerNote::Refusing(0), PeerNote::Refusing(0)),
        (PeerNote::Refusing(3001), PeerNote::Refusing(3010)),
        (PeerNote::Refusing(Time::MAX / 2), PeerNote::Refusing(600_000)),
    ];
    for (told, heard) in cases {
        assert_eq!(notes::decode(&notes::encode(b"e1", told)), Some((&b"e1"[..], heard)));
    }
    let long = [&[1, 1, 0, 0][..], &[b'x'; 201]].concat();
    for odd in [&b""[..], b"\x01\0\0", b"\x01\0\0\0", b"\x02\0\0\0e1", b"\x01\x03\0\0e1", &long] {
        assert_eq!(notes::decode(odd), None, "{odd:?}");
    }
}
