//! The table of versions, and what tells one configuration from another.

use super::*;
use serde_json::json;

const MOMENTS: [Moment; 3] = [Start, RunsWithout, RunsWith];
const ORDERS: [Order; 6] = [Without, Unreadable, Newer, Same, Other, Older];

fn whole(change: impl FnOnce(&mut Value)) -> Whole {
    let mut value = json!({"name": "n1", "listen": "127.0.0.1:1", "seed": "1", "version": 7,
        "discovery": "127.0.0.1:2", "limits": {"sockets": 256, "disk_mb": 3}, "known": {"index": 1},
        "settings": {"Kinds": ["a", "b"], "FamilyInfo": {"Slots": 4, "OwnLimits": [true, false]},
        "MembershipMode": "push", "Weights": "nominal", "Limits": {"MaxOpen": 9}}});
    change(&mut value);
    Whole::of(&value).unwrap()
}

fn numbered(version: Value) -> Whole {
    whole(|value| value["version"] = version)
}

#[test]
fn all_that_may_be_is_listed_once() {
    for moment in MOMENTS {
        for order in ORDERS {
            for held in [false, true] {
                let rows = TABLE.iter().filter(|row| (row.0, row.1, row.2) == (held, moment, order)).count();
                // What runs by a version holds one, and only what is held can be compared with.
                let may = held || moment != RunsWith && !matches!(order, Same | Other | Older);
                assert_eq!(rows, usize::from(may), "{held} {moment:?} {order:?}");
            }
        }
    }
}

#[test]
fn a_version_is_taken_whole_if_it_is_newer_and_without_fault_and_never_otherwise() {
    let held = numbered(json!(7)).stamp().unwrap();
    let fault = || Faults::from([("limits.sockets".to_string(), "is under 64".to_string())]);
    let offers = [
        (Some(numbered(Value::Null)), Without),
        (Some(numbered(json!("8"))), Unreadable),
        (Some(numbered(json!(0))), Unreadable),
        (Some(numbered(json!(8.5))), Unreadable),
        (Some(numbered(json!(-8))), Unreadable),
        (None, Unreadable),
        (Some(numbered(json!(8))), Newer),
        (Some(numbered(json!(u64::MAX))), Newer),
        (Some(numbered(json!(7))), Same),
        (Some(whole(|value| value["settings"]["Limits"]["MaxOpen"] = json!(10))), Other),
        (Some(numbered(json!(6))), Older),
    ];
    for (offered, expected) in offers {
        assert_eq!(order(Some(&held), offered.as_ref()), expected);
        for moment in MOMENTS {
            for faults in [Faults::new(), fault()] {
                let step = decide(moment, Some(&held), offered.as_ref(), faults.clone());
                let takes = expected == Newer || moment == RunsWithout && expected == Same;
                assert_eq!(step == Step::Take, takes && faults.is_empty(), "{moment:?} {expected:?}");
                if let Step::TurnDown(reasons) = step {
                    assert!(!reasons.is_empty() || expected == Unreadable);
                    assert!(faults.keys().all(|place| reasons.contains_key(place)), "every fault is told");
                }
            }
        }
    }
    // Without any version all is as it was.
    for moment in [Start, RunsWithout] {
        for faults in [Faults::new(), fault()] {
            assert_eq!(decide(moment, None, Some(&numbered(Value::Null)), faults.clone()), Step::AsBefore);
            assert_eq!(decide(moment, None, None, faults), Step::AsBefore);
        }
    }
}

#[test]
fn spaces_and_the_order_of_keys_make_no_other_content() {
    let one = Whole::read(br#"{"version": 3, "settings": {"a": 1, "b": [1, 2]}}"#).unwrap();
    let same = Whole::read(b"{\"settings\":{\"b\":[1,2],\n\"a\":1},\"version\":3}").unwrap();
    let other = Whole::read(br#"{"version": 3, "settings": {"a": 1, "b": [2, 1]}}"#).unwrap();
    assert_eq!(one, same);
    assert_ne!(one.content, other.content);
    assert_eq!(Whole::read(b"[]"), None);
}

#[test]
fn what_cannot_change_without_a_start_is_named_and_nothing_else() {
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
    let running = whole(|_| ());
    for (path, value, places) in rows {
        let other = whole(|whole| *whole.pointer_mut(path).unwrap() = value);
        let found: Vec<String> = running.needs_start(&other).into_keys().collect();
        assert_eq!(found, places, "{path}");
    }
    let gone = whole(|value| drop(value.as_object_mut().unwrap().remove("seed")));
    assert_eq!(running.needs_start(&gone).into_keys().collect::<Vec<_>>(), ["seed"]);
    let peers = whole(|value| value["peers"] = json!({"listen": "127.0.0.1:5", "others": []}));
    assert_eq!(running.needs_start(&peers).into_keys().collect::<Vec<_>>(), ["peers"]);
}

#[test]
fn a_kind_that_was_gone_comes_back_as_it_was_or_not_without_a_start() {
    let first = whole(|_| ());
    let without = whole(|value| value["settings"]["Kinds"] = json!(["c"]));
    let otherwise = whole(|value| value["settings"]["FamilyInfo"]["OwnLimits"] = json!([false]));
    let now = without.after(first.clone());
    assert_eq!(now.needs_start(&first), Faults::new());
    let words = now.needs_start(&otherwise).into_values().collect::<Vec<_>>();
    assert_eq!(words, ["cannot change without a start for a"]);
}
