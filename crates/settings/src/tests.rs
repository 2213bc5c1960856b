//! Both forms of the settings, and what is out of order in them.

use super::*;
use serde_json::json;

const LINES: &str = "NInstances=2\nFamilyInfo.Slots=4\nLimits.MaxOpen=20\nLimits.MaxAttempts=3\n\
    ResolutionUs=5000\nLimits.ConnectTimeoutUs=1000000\nLimits.KeepaliveUs=5000000\nMembershipMode=push\n\
    Kinds=a_b,c\nFamilyInfo.KindBatch=4,1\nFamilyInfo.OwnLimits=false,true\nProfiles.count=1\n\
    Telemetry.How=inline\nTelemetry.Fields=x1,x0\nProfiles.0.Name=n\nProfiles.0.Effect=read_like\n\
    Profiles.0.PromiseUs=1000000\nProfiles.0.HardLimitUs=4000000\nProfiles.0.Worth=1.5\nDcs=\n";

#[test]
fn json_says_what_the_lines_say() {
    let profile = json!({"Name": "n", "Effect": "read_like", "PromiseUs": 1_000_000,
        "HardLimitUs": 4_000_000, "Worth": 1.5, "New": [1, {"a": null}]});
    let json = json!({"NInstances": 2, "FamilyInfo": {"Slots": 4, "KindBatch": [4, 1],
        "OwnLimits": [false, true]}, "Limits": {"MaxOpen": 20, "MaxAttempts": 3,
        "ConnectTimeoutUs": 1_000_000, "KeepaliveUs": 5_000_000}, "ResolutionUs": 5000, "Dcs": [],
        "MembershipMode": "push", "Kinds": ["a b", "c"], "Profiles": [profile], "Projects": [],
        "Telemetry": {"How": "inline", "Fields": ["x1", "x0"]}});
    let (lines, json) = (decode(9, LINES.as_bytes()).unwrap(), decode_json(9, &json).unwrap());
    assert_eq!(format!("{lines:?}"), format!("{json:?}"));
    assert_eq!(
        (json.report, &json.kinds[0][..], json.settings.idle_timeout),
        ([Some(1), Some(0)], "a_b", 50_000)
    );
}

#[test]
fn absurd_settings_are_refused_by_name() {
    let cases = [
        ("Limits.ConnectTimeoutUs=1000000", "Limits.ConnectTimeoutUs=99999999999999999", "is no time"),
        ("Profiles.0.Worth=1.5", "Profiles.0.Worth=inf", "is not a number"),
        ("Profiles.count=1", "Profiles.count=0", "setting Profiles.count is missing"),
        ("FamilyInfo.Slots=4", "FamilyInfo.Slots=-4", "setting FamilyInfo.Slots cannot be read"),
        ("Profiles.count=1", "Profiles.count=257", "setting Profiles.count is over 256"),
    ];
    for (old, new, words) in cases {
        let refused = decode(9, LINES.replace(old, new).as_bytes()).err().unwrap();
        assert!(refused.contains(words), "{refused}");
    }
}

#[test]
fn all_that_is_out_of_order_is_told_at_once_each_place_once() {
    let json = json!({"NInstances": "two", "FamilyInfo": {"Slots": 4, "KindBatch": ["x", "y"]},
        "Limits": {"MaxOpen": 20, "MaxAttempts": 3}, "ResolutionUs": 5000, "MembershipMode": "push",
        "Profiles": [{"Name": "n", "Effect": "odd", "PromiseUs": -1, "HardLimitUs": 4_000_000}]});
    assert_eq!(
        decode_json(9, &json).unwrap_err().to_string(),
        "setting FamilyInfo.KindBatch cannot be read; setting NInstances cannot be read; \
         setting Limits.ConnectTimeoutUs is missing; setting Profiles.0.Effect cannot be read; \
         setting Profiles.0.PromiseUs cannot be read"
    );
    let nothing = decode_json(9, &json!({})).unwrap_err();
    assert_eq!(nothing.0.len(), 8, "{nothing}");
}
