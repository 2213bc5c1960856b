//! The incremental reader of lists returns what serde_json parses from the whole text, wherever the text is split.

use meadowhold_courier::discovery::List;
use meadowhold_courier::entries::Update;
use meadowhold_courier::reader::{Limits, ReadError, Reader};
use proptest::prelude::*;
use serde_json::{json, Value};

/// The objects in these pieces, whether there was white space outside them, and the bytes of an incomplete one.
fn read(pieces: &[&[u8]], limits: Limits) -> Result<(Vec<Update>, bool, usize), ReadError> {
    let (mut reader, mut found, mut blank) = (Reader::new(limits), Vec::new(), false);
    for piece in pieces {
        blank |= reader.read(piece, |update| {
            found.push(update);
            Ok(())
        })?;
    }
    Ok((found, blank, reader.pending()))
}

fn whole(text: &[u8]) -> Result<(Vec<Update>, bool, usize), ReadError> {
    read(&[text], Limits::default())
}

fn pieces<'a>(text: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (text.len() + 1)).collect();
    cuts.sort_unstable();
    let ends = cuts.iter().copied().chain([text.len()]);
    ends.scan(0, |from, to| Some(&text[std::mem::replace(from, to)..to])).collect()
}

fn by_serde(text: &[u8]) -> Option<Update> {
    serde_json::from_slice::<List>(text).ok().as_ref().map(Update::from)
}

/// Strings with everything that JSON strings may hold: quotes, brackets, backslashes, control and non-ASCII characters.
fn text() -> impl Strategy<Value = String> {
    prop_oneof![
        4 => "[a-z0-9:.-]{0,20}",
        1 => proptest::collection::vec(any::<char>(), 0..8).prop_map(|chars| chars.into_iter().collect()),
        1 => "[\\\\\"{}\\[\\],: \n\t]{0,12}",
        1 => Just("endpoints".to_string()),
    ]
}

fn junk() -> impl Strategy<Value = Value> {
    let leaf =
        prop_oneof![Just(Value::Null), any::<bool>().prop_map(Value::from), text().prop_map(Value::from)];
    leaf.prop_recursive(3, 16, 4, |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            proptest::collection::vec((text(), inner), 0..4)
                .prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

/// An entry, which may have missing fields, fields of the wrong type or unknown ones, or not be an entry at all.
fn entry() -> impl Strategy<Value = Value> {
    let status = prop_oneof![
        3 => Just("SERVING".to_string()), 1 => Just("DRAINING".to_string()),
        1 => Just("DELETED".to_string()), 1 => text(),
    ];
    let fields = (text(), text(), text(), any::<u64>(), status, any::<f64>(), any::<u64>());
    let spoil = (any::<[bool; 4]>(), 0..12usize, junk());
    let made = (fields, spoil).prop_map(|((name, address, zone, group, status, weight, since), spoil)| {
        let (drop, wrong, junk) = spoil;
        let mut entry = json!({"name": name, "address": address, "zone": zone, "type": zone, "group": group,
            "status": status, "weight": weight, "since_ms": since});
        for (field, _) in ["address", "zone", "weight", "since_ms"].iter().zip(drop).filter(|(_, drop)| *drop)
        {
            entry.as_object_mut().unwrap().remove(*field);
        }
        let names = ["name", "group", "status", "weight", "since_ms", "note", "endpoints"];
        if let Some(field) = names.get(wrong) {
            entry[*field] = junk;
        }
        entry
    });
    prop_oneof![8 => made, 1 => junk()]
}

/// The text of a whole list or of changes: fields in any order, also unknown ones, indented or not.
fn list() -> impl Strategy<Value = String> {
    let entries = proptest::collection::vec(entry(), 0..8);
    let fields = (any::<u64>(), any::<bool>(), entries, junk(), 0..4usize);
    (fields, Just(vec![0, 1, 2, 3]).prop_shuffle(), any::<bool>()).prop_map(|(fields, order, indented)| {
        let (index, snapshot, entries, junk, missing) = fields;
        let write = |value: &Value| match indented {
            true => serde_json::to_string_pretty(value).unwrap(),
            false => value.to_string(),
        };
        let values = [
            ("\"index\"", write(&json!(index))),
            ("\"snapshot\"", write(&json!(snapshot))),
            // The key may be written with an escape.
            (if indented { "\"endpoints\"" } else { "\"end\\u0070oints\"" }, write(&json!(entries))),
            ("\"note\"", write(&junk)),
        ];
        let shown = order.into_iter().filter(|&field| field != missing + 1 || field == 2);
        let colon = if indented { " :\n " } else { ":" };
        let fields: Vec<String> =
            shown.map(|field| format!("{}{colon}{}", values[field].0, values[field].1)).collect();
        format!("{{{}}}", fields.join(if indented { " ,\n  " } else { "," }))
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 768,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x11ce),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_list_read_in_pieces_equals_what_serde_json_reads(text in list(), cuts in proptest::collection::vec(any::<usize>(), 0..12)) {
        let expected = by_serde(text.as_bytes()).expect("a list");
        let (found, blank, pending) = read(&pieces(text.as_bytes(), &cuts), Limits::default()).unwrap();
        prop_assert_eq!((found, blank, pending), (vec![expected], false, 0));
    }

    #[test]
    fn a_list_with_a_changed_byte_is_read_as_serde_json_reads_it(
        text in list(), at in any::<usize>(), byte in 0x20..0x7fu8, cuts in proptest::collection::vec(any::<usize>(), 0..4)
    ) {
        let mut text = text.into_bytes();
        let at = at % text.len();
        text[at] = byte;
        let found = read(&pieces(&text, &cuts), Limits::default()).ok().filter(|(found, _, pending)| found.len() == 1 && *pending == 0);
        prop_assert_eq!(found.map(|(mut found, ..)| found.remove(0)), by_serde(&text));
    }

    #[test]
    fn a_watch_yields_one_update_for_each_object(
        texts in proptest::collection::vec((list(), "[ \n]{0,3}"), 0..4), tail in list(), cut in any::<usize>(),
        cuts in proptest::collection::vec(any::<usize>(), 0..8)
    ) {
        let before: String = texts.iter().map(|(text, space)| format!("{text}{space}")).collect();
        // Followed by part of one more object, which yields nothing.
        let cut = (0..=cut % tail.len()).rev().find(|&cut| tail.is_char_boundary(cut)).unwrap();
        let said = format!("{before}{}", &tail[..cut]);
        let expected: Vec<_> = serde_json::Deserializer::from_str(&before).into_iter::<List>().map(|l| Update::from(&l.unwrap())).collect();
        let (found, blank, pending) = read(&pieces(said.as_bytes(), &cuts), Limits::default()).unwrap();
        prop_assert_eq!(found, expected);
        prop_assert_eq!((blank, pending), (texts.iter().any(|(_, space)| !space.is_empty()), cut));
    }
}

fn small() -> String {
    let entry = |i: usize| json!({"name": format!("e\"{i}\\"), "address": "127.0.0.1:1", "group": i, "status": "SERVING"});
    serde_json::to_string_pretty(&json!({"note": ["]", {"endpoints": [1]}], "endpoints": [entry(1), entry(2)], "snapshot": true, "index": 7})).unwrap()
}

#[test]
fn a_list_truncated_at_any_byte_yields_nothing() {
    let text = small();
    let (found, ..) = whole(text.as_bytes()).unwrap();
    assert_eq!(found, [by_serde(text.as_bytes()).unwrap()]);
    assert_eq!((found[0].index, found[0].whole, found[0].entries.len()), (7, true, 2));
    for cut in 0..text.len() {
        let (found, _, pending) = whole(&text.as_bytes()[..cut]).unwrap();
        assert_eq!((found, pending), (vec![], cut), "{cut}");
        // The same result byte by byte.
        let bytes: Vec<&[u8]> = text.as_bytes()[..cut].chunks(1).collect();
        assert_eq!(read(&bytes, Limits::default()).unwrap().0, []);
    }
}

#[test]
fn malformed_lists_are_rejected_as_serde_json_rejects_them() {
    let rows = [
        "x",
        "12",
        "\"x\"",
        "}",
        "]",
        "{}x",
        "[[", // an array of arrays that does not end
        r#"{"endpoints":[,{"name":"a","group":1}]}"#,
        r#"{"endpoints":[{"name":"a","group":1},]}"#,
        r#"{"endpoints":[{"name":"a","group":1}}"#,
        r#"{"endpoints":[{"name":"a","group":1]]}"#,
        r#"{"endpoints":[{"name":"a" "group":1}]}"#,
        r#"{"endpoints":[1 2]}"#,
        r#"{"endpoints":[],"endpoints":[]}"#,
        r#"{"endpoints":{}}"#,
        r#"{"endpoints":null}"#,
        r#"{"endpoints" []}"#,
        r#"{"index":-1}"#,
        r#"{"index":1,}"#,
        r#"{"index":1 "snapshot":true}"#,
        r#"{"index":1,"index":2}"#,
        r#"{,"index":1}"#,
        r#"{"endpoints"::[]}"#,
    ];
    for text in rows {
        let read = whole(text.as_bytes());
        let refused = !matches!(&read, Ok((found, _, 0)) if found.len() == 1);
        assert!(refused && by_serde(text.as_bytes()).is_none(), "{text}: {read:?}");
    }
    // Unusual, but valid.
    for text in [
        "{}",
        r#"[5,true,[{"name":"a","group":1}]]"#,
        r#"{"endpoints":[]}"#,
        "{\"endpoints\" : [ \n ] }",
        r#"{"endpoints":[1,"x",[],{}]}"#,
        r#"{"endpoints":[["a","127.0.0.1:1","z","k",3,"SERVING",1.0,0]]}"#,
        r#"{"endpoints":[{"name":"a","name":"b","group":1}]}"#,
        r#"{"x":"endpoints","endpoints":[{"name":"a","group":1}]}"#,
    ] {
        assert_eq!(whole(text.as_bytes()).unwrap().0, [by_serde(text.as_bytes()).unwrap()], "{text}");
    }
}

#[test]
fn limits_apply_to_entries_bytes_one_entry_and_the_rest_of_the_object() {
    let list = |count: usize, note: &str| {
        let entry =
            |i: usize| json!({"name": format!("e{i}"), "group": i, "status": "SERVING", "note": note});
        json!({"index": 1, "snapshot": true, "endpoints": (0..count).map(entry).collect::<Vec<_>>()})
            .to_string()
    };
    let limits = |entries, bytes| Limits { entries, bytes };
    let words = |text: &str, limits| match read(&[text.as_bytes()], limits) {
        Ok((found, ..)) => found[0].entries.len().to_string(),
        Err(ReadError::OverLimit(words)) => words,
        Err(ReadError::Unreadable(e)) => format!("unreadable: {e}"),
    };
    let (three, four) = (list(3, ""), list(4, ""));
    assert_eq!(words(&three, limits(3, 9999)), "3");
    assert_eq!(words(&four, limits(3, 9999)), "the list has more than 3 entries (limits.list_entries)");
    assert_eq!(words(&four, limits(4, four.len())), "4");
    let past = words(&four, limits(4, 200));
    assert_eq!(past, "the list is longer than 0.0002 MB (limits.list_mb)");
    assert!(four.len() > 200);
    // The limits apply to each object, not to all of them together.
    let twice = format!("{three}\n{three}");
    assert_eq!(read(&[twice.as_bytes()], limits(3, three.len())).unwrap().0.len(), 2);
    // An entry that is too long is skipped, and the others are kept.
    let mut long: Value = serde_json::from_str(&three).unwrap();
    long["endpoints"][1]["note"] = json!("x".repeat(20_000));
    let (found, ..) = whole(long.to_string().as_bytes()).unwrap();
    assert_eq!(found[0].entries.iter().map(|entry| entry.name).collect::<Vec<_>>(), ["e0", "e2"]);
    // The text besides the entries has a limit of its own, wherever it is.
    for text in [
        format!("{{\"note\":\"{}", "x".repeat(70_000)),
        format!("{{{}", " ".repeat(70_000)),
        "[".repeat(70_000),
    ] {
        assert!(matches!(whole(text.as_bytes()), Err(ReadError::Unreadable(_))));
    }
}
