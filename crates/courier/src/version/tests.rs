//! The rules for versions of the settings, and the comparison of configurations.

use super::*;
use serde_json::json;

const STATES: [CourierState; 3] = [Starting, RunningUnversioned, RunningVersioned];
const COMPARISONS: [Comparison; 6] = [Unversioned, Unreadable, Newer, Same, Conflicting, Older];

fn fingerprint(change: impl FnOnce(&mut Value)) -> Fingerprint {
    let mut value = json!({"name": "n1", "listen": "127.0.0.1:1", "seed": "1", "version": 7,
        "discovery": "127.0.0.1:2", "limits": {"sockets": 256, "disk_mb": 3}, "known": {"index": 1},
        "settings": {"Kinds": ["a", "b"], "FamilyInfo": {"Slots": 4, "OwnLimits": [true, false]},
        "MembershipMode": "push", "Weights": "nominal", "Limits": {"MaxOpen": 9}}});
    change(&mut value);
    Fingerprint::of(&value).unwrap()
}

fn with_version(version: Value) -> Fingerprint {
    fingerprint(|value| value["version"] = version)
}

#[test]
fn every_possible_combination_has_exactly_one_rule() {
    for state in STATES {
        for comparison in COMPARISONS {
            for held in [false, true] {
                let rows =
                    RULES.iter().filter(|row| (row.0, row.1, row.2) == (held, state, comparison)).count();
                // A courier that runs with a version holds one, and a comparison needs a held version.
                let may =
                    held || state != RunningVersioned && !matches!(comparison, Same | Conflicting | Older);
                assert_eq!(rows, usize::from(may), "{held} {state:?} {comparison:?}");
            }
        }
    }
}

#[test]
fn a_version_is_applied_only_if_it_is_newer_and_has_no_faults() {
    let held = with_version(json!(7)).version_id().unwrap();
    let fault = || Faults::from([("limits.sockets".to_string(), "is under 64".to_string())]);
    let candidates = [
        (Some(with_version(Value::Null)), Unversioned),
        (Some(with_version(json!("8"))), Unreadable),
        (Some(with_version(json!(0))), Unreadable),
        (Some(with_version(json!(8.5))), Unreadable),
        (Some(with_version(json!(-8))), Unreadable),
        (None, Unreadable),
        (Some(with_version(json!(8))), Newer),
        (Some(with_version(json!(u64::MAX))), Newer),
        (Some(with_version(json!(7))), Same),
        (Some(fingerprint(|value| value["settings"]["Limits"]["MaxOpen"] = json!(10))), Conflicting),
        (Some(with_version(json!(6))), Older),
    ];
    for (candidate, expected) in candidates {
        assert_eq!(compare(Some(&held), candidate.as_ref()), expected);
        for state in STATES {
            for faults in [Faults::new(), fault()] {
                let decision = decide(state, Some(&held), candidate.as_ref(), faults.clone());
                let takes = expected == Newer || state == RunningUnversioned && expected == Same;
                assert_eq!(decision == Decision::Apply, takes && faults.is_empty(), "{state:?} {expected:?}");
                if let Decision::Reject(reasons) = decision {
                    assert!(!reasons.is_empty() || expected == Unreadable);
                    assert!(
                        faults.keys().all(|place| reasons.contains_key(place)),
                        "every fault is reported"
                    );
                }
            }
        }
    }
    // Without any version, configurations are handled as unversioned.
    for state in [Starting, RunningUnversioned] {
        for faults in [Faults::new(), fault()] {
            assert_eq!(
                decide(state, None, Some(&with_version(Value::Null)), faults.clone()),
                Decision::HandleUnversioned
            );
            assert_eq!(decide(state, None, None, faults), Decision::HandleUnversioned);
        }
    }
}

#[test]
fn white_space_and_key_order_do_not_change_the_content() {
    let one = Fingerprint::read(br#"{"version": 3, "settings": {"a": 1, "b": [1, 2]}}"#).unwrap();
    let same = Fingerprint::read(b"{\"settings\":{\"b\":[1,2],\n\"a\":1},\"version\":3}").unwrap();
    let other = Fingerprint::read(br#"{"version": 3, "settings": {"a": 1, "b": [2, 1]}}"#).unwrap();
    assert_eq!(one, same);
    assert_ne!(one.content, other.content);
    assert_eq!(Fingerprint::read(b"[]"), None);
}

#[test]
fn exactly_the_changes_that_need_a_restart_are_reported() {
    let rows: [(&str, Value, &[&str]); 16] = [
        ("/version", json!(8), &[]),
        ("/discovery", json!("127.0.0.1:3"), &[]),
        ("/settings/Limits/MaxOpen", json!(1), &[]),
        ("/settings/FamilyInfo/Slots", json!(1), &[]),
        ("/settings/Weights", json!("rough"), &[]),
        ("/settings/Kinds", json!(["a", "b", "c"]), &[]),
        ("/settings/Kinds", json!(["c"]), &[]),
        ("/name", json!("n2"), &["name"]),
        ("/listen", json!("127.0.0.1:4"), &["listen"]),
        ("/seed", json!("2"), &["seed"]),
        ("/known", json!({"index": 2}), &["known"]),
        ("/limits", json!({"sockets": 257, "disk_mb": 4}), &["limits.disk_mb", "limits.sockets"]),
        ("/settings/Weights", json!("none"), &["setting Weights"]),
        ("/settings/MembershipMode", json!("ask"), &["setting MembershipMode"]),
        ("/settings/Limits", json!({"MayDuplicate": true}), &["setting Limits.MayDuplicate"]),
        ("/settings/FamilyInfo/OwnLimits", json!([false, true]), &["setting FamilyInfo.OwnLimits"]),
    ];
    let running = fingerprint(|_| ());
    for (path, value, places) in rows {
        let other = fingerprint(|whole| *whole.pointer_mut(path).unwrap() = value);
        let found: Vec<String> = running.restart_required(&other).into_keys().collect();
        assert_eq!(found, places, "{path}");
    }
    let gone = fingerprint(|value| drop(value.as_object_mut().unwrap().remove("seed")));
    assert_eq!(running.restart_required(&gone).into_keys().collect::<Vec<_>>(), ["seed"]);
    let peers = fingerprint(|value| value["peers"] = json!({"listen": "127.0.0.1:5", "others": []}));
    assert_eq!(running.restart_required(&peers).into_keys().collect::<Vec<_>>(), ["peers"]);
}

#[test]
fn a_kind_that_comes_back_with_other_limits_needs_a_restart() {
    let first = fingerprint(|_| ());
    let without = fingerprint(|value| value["settings"]["Kinds"] = json!(["c"]));
    let otherwise = fingerprint(|value| value["settings"]["FamilyInfo"]["OwnLimits"] = json!([false]));
    let now = without.retain_kinds_of(first.clone());
    assert_eq!(now.restart_required(&first), Faults::new());
    let words = now.restart_required(&otherwise).into_values().collect::<Vec<_>>();
    assert_eq!(words, ["cannot change without a restart for a"]);
}
