//! The memory file: what is stored, its size, and which files are ignored.

use super::*;

const NOW: Time = 17_000_000_000_000;

fn memory() -> Memory {
    let kept = |i: u64| KeptEntry {
        name: format!("s-{i}"),
        address: format!("10.1.0.{i}:6379"),
        status: "SERVING".to_string(),
        weight: 12.5,
        group: i % 3,
        ..KeptEntry::default()
    };
    let sight =
        Observation { at: NOW - 50, out: true, back_at: 0, wait_until: NOW + 9, tail: 700, pace: 3.5 };
    Memory {
        saved_at: NOW,
        deployment: "ours".to_string(),
        index: 41,
        endpoints: (1..4).map(kept).collect(),
        sights: vec![KeptSight::new("s-1", &sight)],
    }
}

fn folder(name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("meadowhold-memory-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

#[test]
fn a_saved_file_is_loaded_and_replaced_atomically() {
    let folder = folder("saved");
    assert_eq!(load(&folder, 3_000_000, NOW), None);
    // A process killed while writing leaves an incomplete temporary file.
    fs::write(folder.join(TEMPORARY_FILE), b"half").unwrap();
    for index in [41, 42] {
        let memory = Memory { index, ..memory() };
        save(&folder, 3_000_000, &memory).unwrap();
        assert_eq!(load(&folder, 3_000_000, NOW), Some(memory.clone()));
        assert_eq!(memory.sights[0].sight().tail, 700);
    }
    assert!(!folder.join(TEMPORARY_FILE).exists());
    // A file over its share of the folder is not written, and the old one stays; nor is such a file read.
    assert!(save(&folder, 10_000, &Memory { index: 43, ..memory() }).is_err());
    assert_eq!(load(&folder, 3_000_000, NOW).unwrap().index, 42);
    assert_eq!(load(&folder, 10_000, NOW), None);
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_file_truncated_or_changed_at_any_byte_is_ignored() {
    let good = memory().bytes().unwrap();
    assert_eq!(Memory::read(&good, NOW), Ok(memory()));
    for cut in 0..good.len() {
        assert!(Memory::read(&good[..cut], NOW).is_err(), "cut at {cut}");
    }
    for at in 0..good.len() {
        for bit in 0..8 {
            let mut bytes = good.clone();
            bytes[at] ^= 1 << bit;
            assert!(Memory::read(&bytes, NOW).is_err(), "byte {at}, bit {bit}");
        }
    }
    let mut longer = good.clone();
    longer.push(b' ');
    assert!(Memory::read(&longer, NOW).is_err());
}

#[test]
fn a_newer_or_forged_file_is_ignored_with_a_reason() {
    let anew = |body: &[u8], version: &str| {
        let mut out = format!("{MAGIC}{version}\n").into_bytes();
        out.extend_from_slice(&(body.len() as u32).to_be_bytes());
        out.extend_from_slice(&crc32fast::hash(body).to_be_bytes());
        [&out, body].concat()
    };
    let text = serde_json::to_string(&memory()).unwrap();
    assert!(Memory::read(&anew(text.as_bytes(), "1"), NOW).is_ok());
    let swap = |from: &str, to: &str| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    };
    // (body, version, reason)
    let rows = [
        (text.clone(), "2", "it was written by a later version"),
        (text.clone(), "x", "it is not a memory file"),
        (text.clone(), "0", "it is not a memory file"),
        ("[]".to_string(), "1", "it cannot be parsed"),
        (swap("\"index\":41", "\"index\":0"), "1", "its list has no version"),
        (swap("s-2", "s-1"), "1", "its list is invalid"),
        (swap("s-2", ""), "1", "its list is invalid"),
        (swap("12.5", "-1"), "1", "its list is invalid"),
        (swap("\"pace\":3.5", "\"pace\":-3.5"), "1", "its sights of endpoints are invalid"),
        (swap("\"saved_at\":17", "\"saved_at\":18"), "1", "its time is in the future"),
        (swap("\"saved_at\":17", "\"saved_at\":16"), "1", "its sights of endpoints are invalid"),
    ];
    for (body, version, reason) in rows {
        assert_eq!(Memory::read(&anew(body.as_bytes(), version), NOW), Err(reason), "{body}");
    }
}

#[test]
fn a_start_begins_with_the_newer_list() {
    let known = |index| List { index, snapshot: true, endpoints: Vec::new() };
    // (stored version, configured version, version and entries to start with)
    for (kept, known_at, from, entries) in
        [(None, 7, 7, 0), (Some(41), 7, 41, 3), (Some(41), 41, 41, 0), (Some(41), 50, 50, 0)]
    {
        let kept = kept.map(|index| Memory { index, ..memory() });
        let list = Memory::newer(kept, known(known_at));
        assert_eq!((list.index, list.endpoints.len(), list.snapshot), (from, entries, true));
    }
}

/// Guards against a change of the list that is not on file although it is in force: right behind another change, with a
/// version that another list had, or behind a save that failed.
#[test]
fn each_change_of_the_list_is_saved_at_once_and_again_after_a_failure() {
    let folder = folder("keeper");
    let entry = |name: &str, status: &str| {
        Entry::from(KeptEntry { name: name.to_string(), status: status.to_string(), ..KeptEntry::default() })
    };
    let list = |index, snapshot, endpoints| List { index, snapshot, endpoints };
    let load_version = |now| {
        let memory = load(&folder, 3_000_000, now)?;
        Some((memory.index, memory.endpoints.into_iter().map(|kept| kept.name).collect::<Vec<_>>()))
    };
    let names = |index, names: &[&str]| Some((index, names.iter().map(|n| n.to_string()).collect()));
    let mut store = ListStore::new(&folder, 3_000_000, "ours".to_string());
    store.apply_list(&list(0, true, vec![entry("a", "SERVING")]));
    store.save(NOW);
    assert_eq!((load_version(NOW), store.next_attempt()), (None, None), "no version");
    store.apply_list(&list(5, true, vec![entry("a", "SERVING"), entry("b", "SERVING")]));
    store.save(NOW);
    assert_eq!((load_version(NOW), store.next_attempt()), (names(5, &["a", "b"]), None));
    store.apply_list(&list(6, false, vec![entry("a", "DELETED"), entry("c", "DRAINING")]));
    store.save(NOW);
    assert_eq!(load_version(NOW), names(6, &["b", "c"]), "right behind the change before");
    // A registry that restarted its versions has a lower one; its whole list replaces the list.
    store.apply_list(&list(2, true, vec![entry("d", "SERVING")]));
    store.save(NOW);
    assert_eq!(load_version(NOW), names(2, &["d"]));
    store.apply_list(&list(2, true, vec![entry("e", "SERVING")]));
    store.save(NOW);
    assert_eq!(load_version(NOW), names(2, &["e"]), "another list of the same version");
    // The folder fails for a while.
    fs::create_dir(folder.join(TEMPORARY_FILE)).unwrap();
    store.apply_list(&list(7, false, vec![entry("f", "SERVING")]));
    store.save(NOW);
    assert_eq!((load_version(NOW), store.failures()), (names(2, &["e"]), 1));
    let retry_at = NOW + SAVE_RETRY_INTERVAL;
    assert_eq!(store.next_attempt(), Some(retry_at));
    fs::remove_dir(folder.join(TEMPORARY_FILE)).unwrap();
    store.save(retry_at - 1);
    assert_eq!(load_version(NOW), names(2, &["e"]), "too soon after a failure");
    store.save(retry_at);
    assert_eq!((load_version(NOW), store.next_attempt()), (names(7, &["e", "f"]), None));
    // A list that is on file is not written again.
    fs::remove_file(folder.join(FILE)).unwrap();
    store.apply_list(&list(7, true, vec![entry("e", "SERVING"), entry("f", "SERVING")]));
    store.save(NOW + 9 * SECOND);
    assert_eq!(load_version(NOW + 9 * SECOND), None);
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn together_with_the_journal_the_file_stays_within_the_allowance() {
    // The owed mails and the file of the journal at their largest, and both files of the list, each in whole blocks.
    let allowance = 3_000_000;
    assert!(allowance / 100 * (34 + 46) + 2 * (max_len(allowance) + BLOCK) + 4 * BLOCK < allowance);
}

#[test]
fn a_file_of_another_deployment_or_an_earlier_version_is_ignored() {
    let settings = meadowhold_rig::scripted::settings();
    let decoded = |change: fn(&mut serde_json::Value)| {
        let mut settings = settings.clone();
        change(&mut settings);
        deployment(&meadowhold_settings::decode_json(1, &settings).unwrap())
    };
    let ours = decoded(|_| {});
    let kept = Memory { deployment: ours.clone(), ..memory() };
    let file = Memory::read(&kept.bytes().unwrap(), NOW).unwrap();
    // The list stays valid when the fleet's size, limits and costs change.
    let grown = decoded(|s| (s["NInstances"], s["Limits"]["MaxOpen"]) = (300.into(), 9.into()));
    assert_eq!((grown == ours, file.clone().for_deployment(&ours)), (true, Some(kept)));
    let others = [
        decoded(|s| s["Profiles"][0]["Name"] = "renamed".into()),
        decoded(|s| s["Profiles"][2]["Effect"] = "read_like".into()),
        decoded(|s| s["Dcs"] = serde_json::json!(["b", "a"])),
        decoded(|s| s["Kinds"] = serde_json::json!(["other", "many"])),
    ];
    others.iter().for_each(|other| assert_eq!(file.clone().for_deployment(other), None, "{other}"));
    // A file of an earlier version, without `deployment`.
    let mut old = serde_json::to_value(memory()).unwrap();
    old.as_object_mut().unwrap().remove("deployment");
    let old: Memory = serde_json::from_value(old).unwrap();
    assert_eq!((old.index, old.for_deployment(&ours)), (41, None));
}
