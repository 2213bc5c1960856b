//! Tests versions and the store against a model: the history of a source, and relays that lag, stall, begin a new
//! epoch or are restored from an old file. Versions must never go back, and each must be complete.

use std::collections::{BTreeMap, HashSet};

use bytes::Bytes;
use meadowhold_catalog::content::ContentHash;
use meadowhold_catalog::store::{partition, Bounds, CatalogEntry, Store};
use meadowhold_catalog::versions::{validate, EntrySummary, Offer, Verdict, Version, Versions, MAX_FAULTS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

type Content = BTreeMap<String, (u64, String)>;

const PARTITIONS: u32 = 7;

fn text(name: &str, destination: u64, words: &str) -> String {
    format!("{{\"name\":\"{name}\",\"group\":{destination},\"words\":\"{words}\"}}")
}

fn item(name: &str, destination: u64, words: &str) -> CatalogEntry {
    let text = Bytes::from(text(name, destination, words));
    CatalogEntry { name: name.to_string(), destination, text, removed: false }
}

fn removed(name: &str) -> CatalogEntry {
    let text = Bytes::from(format!("{{\"name\":\"{name}\",\"group\":0,\"status\":\"DELETED\"}}"));
    CatalogEntry { name: name.to_string(), destination: 0, text, removed: true }
}

/// The versions of a source in order, with their content, over several epochs.
#[derive(Clone, Debug)]
struct History {
    versions: Vec<(Version, Content)>,
}

#[derive(Clone, Debug)]
enum Edit {
    Set(u8, u64, u8),
    Drop(u8),
    /// The source begins a new epoch at this index.
    Anew(u64),
}

fn edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        8 => (0_u8..12, 0_u64..9, any::<u8>()).prop_map(|(n, d, w)| Edit::Set(n, d, w)),
        3 => (0_u8..12).prop_map(Edit::Drop),
        1 => (1_u64..30).prop_map(Edit::Anew),
    ]
}

fn history() -> impl Strategy<Value = History> {
    proptest::collection::vec(edit(), 1..40).prop_map(|edits| {
        let (mut version, mut content) = (Version { epoch: 1, index: 5 }, Content::new());
        let mut versions = vec![(version, content.clone())];
        for edit in edits {
            version.index += 1;
            match edit {
                Edit::Set(n, d, w) => drop(content.insert(format!("e{n}"), (d, w.to_string()))),
                Edit::Drop(n) => drop(content.remove(&format!("e{n}"))),
                Edit::Anew(index) => version = Version { epoch: version.epoch + 1, index },
            }
            versions.push((version, content.clone()));
        }
        History { versions }
    })
}

/// An offer of a relay: the version at this place of the history, as a snapshot or as changes since `back` places
/// before.
#[derive(Clone, Debug)]
struct OfferSpec {
    place: usize,
    back: Option<usize>,
    /// The changes are the difference of both versions: the relay never had those in between.
    ends_alone: bool,
}

fn offer_spec() -> impl Strategy<Value = OfferSpec> {
    let back = prop_oneof![1 => Just(None), 2 => (1_usize..4).prop_map(Some)];
    (any::<prop::sample::Index>(), back, any::<bool>()).prop_map(|(place, back, ends_alone)| OfferSpec {
        place: place.index(1000),
        back,
        ends_alone,
    })
}

/// The offer of a correct relay, and its entries.
fn offer(history: &History, spec: &OfferSpec) -> (Offer, Vec<CatalogEntry>) {
    let place = spec.place % history.versions.len();
    let (version, content) = &history.versions[place];
    let all = content.iter().map(|(name, (destination, words))| item(name, *destination, words));
    // Changes are within one epoch.
    let base = spec.back.and_then(|back| history.versions.get(place.checked_sub(back)?));
    let Some((base, before)) = base.filter(|(base, _)| base.epoch == version.epoch) else {
        return (Offer { version: *version, after: None }, all.collect());
    };
    // A relay that had the versions in between also sends what changed and changed back.
    let steps = history.versions[..=place].windows(2).rev();
    let changed: HashSet<&String> = steps
        .take(spec.back.unwrap_or_default())
        .flat_map(|pair| {
            let names = pair[0].1.keys().chain(pair[1].1.keys());
            names.filter(|name| pair[0].1.get(*name) != pair[1].1.get(*name))
        })
        .filter(|name| !spec.ends_alone || before.get(*name) != content.get(*name))
        .collect();
    let mut items: Vec<CatalogEntry> = all.filter(|item| changed.contains(&item.name)).collect();
    items.extend(changed.iter().filter(|name| !content.contains_key(**name)).map(|name| removed(name)));
    (Offer { version: *version, after: Some(base.index) }, items)
}

/// The texts of all entries in a store, sorted.
fn held(store: &mut Store) -> Vec<String> {
    let whole = store.snapshot().unwrap();
    let all: String = whole.texts.iter().map(|text| std::str::from_utf8(text).unwrap()).collect();
    let all = format!("[{}]", all.strip_prefix(',').unwrap_or_default());
    let mut texts: Vec<String> = split(&all[1..all.len() - 1]);
    texts.sort();
    texts
}

/// Splits concatenated entries, whose texts have no nested braces.
fn split(text: &str) -> Vec<String> {
    text.split_inclusive('}').map(|one| one.trim_start_matches(',').to_string()).collect()
}

fn texts(content: &Content) -> Vec<String> {
    let mut texts: Vec<String> = content.iter().map(|(n, (d, w))| text(n, *d, w)).collect();
    texts.sort();
    texts
}

fn bounds(window: usize) -> Bounds {
    Bounds { entries: 1000, bytes: 100_000, window }
}

/// Runs the offers through `judge`, the function under test. Checks that the held version never goes back and that
/// the content after each applied offer is that of the version in the history.
fn model(
    history: &History,
    specs: &[OfferSpec],
    judge: impl Fn(&Offer, Option<Version>) -> Verdict,
) -> Result<(), String> {
    let (mut version, mut content): (Option<Version>, Content) = (None, Content::new());
    for spec in specs {
        let (offer, items) = offer(history, spec);
        if judge(&offer, version) != Verdict::Apply {
            continue;
        }
        if version.is_some_and(|version| offer.version < version) {
            return Err(format!("went back from {version:?} to {:?}", offer.version));
        }
        if offer.after.is_none() {
            content.clear();
        }
        for item in items {
            content.remove(&item.name);
            if !item.removed {
                let text = String::from_utf8(item.text.to_vec()).unwrap();
                let words = text.rsplit('"').nth(1).unwrap().to_string();
                content.insert(item.name, (item.destination, words));
            }
        }
        version = Some(offer.version);
        let truth = history.versions.iter().rev().find(|(v, _)| *v == offer.version).unwrap();
        if truth.1 != content {
            return Err(format!("{:?} is incomplete", offer.version));
        }
    }
    Ok(())
}

fn correct(offer: &Offer, held: Option<Version>) -> Verdict {
    Versions::new(held).judge(offer, Vec::new())
}

/// The same cases in each run; set `PROPTEST_CASES` for more.
fn seeded() -> ProptestConfig {
    ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn versions_never_go_back_and_are_complete(
        history in history(),
        specs in proptest::collection::vec(offer_spec(), 0..60),
    ) {
        prop_assert_eq!(model(&history, &specs, correct), Ok(()));
    }

    #[test]
    fn a_store_holds_what_the_source_held_and_brings_followers_up_to_date(
        history in history(),
        specs in proptest::collection::vec(offer_spec(), 1..60),
        window in 0_usize..40,
        parts in proptest::collection::hash_set(0..PARTITIONS, 0..5),
    ) {
        let mut store = Store::new(PARTITIONS, bounds(window));
        let mut versions = Versions::default();
        // Followers that stayed at an earlier version of the held epoch: step, index and content.
        let mut followers: Vec<(u64, u64, BTreeMap<String, String>)> = Vec::new();
        for spec in &specs {
            let (offer, items) = offer(&history, spec);
            let before = store.version();
            let expected = versions.apply(&offer, Vec::new());
            let verdict = store.apply(&offer, items);
            prop_assert_eq!(&verdict, &expected);
            prop_assert!(store.version() >= before, "went back");
            let Some(version) = store.version() else { continue };
            let truth = &history.versions.iter().find(|(v, _)| *v == version).unwrap().1;
            prop_assert_eq!(held(&mut store), texts(truth));
            if verdict != Verdict::Apply {
                continue;
            }
            if before.is_some_and(|before| before.epoch != version.epoch) {
                // In a new epoch all need the snapshot, whatever index they name.
                for (_, index, _) in &followers {
                    prop_assert_eq!(store.step_at_index(*index), None);
                }
                followers.clear();
            }
            for (step, index, content) in &mut followers {
                // An open watch is known by its step; a new request by its index, or by its content too.
                let by_content = store.step_at_content(*index, hash_of(content));
                for from in [Some(*step), store.step_at_index(*index), by_content] {
                    let mut now = content.clone();
                    match from.and_then(|from| store.changes_since(from, None)) {
                        Some(delta) => for one in split(std::str::from_utf8(&delta.text).unwrap()) {
                            let name = one.split('"').nth(3).unwrap().to_string();
                            now.remove(&name);
                            if !one.contains("DELETED") {
                                now.insert(name, one);
                            }
                        },
                        // Too far behind: the snapshot.
                        None => {
                            now = truth.iter().map(|(n, (d, w))| (n.clone(), text(n, *d, w))).collect();
                        }
                    }
                    let mut now: Vec<String> = now.into_values().collect();
                    now.sort();
                    prop_assert_eq!(now, texts(truth));
                }
            }
            let content = truth.iter().map(|(n, (d, w))| (n.clone(), text(n, *d, w))).collect();
            followers.push((store.step(), version.index, content));
            // A follower from another relay, with a version that was never held here, needs the snapshot.
            for (other, _) in history.versions.iter().filter(|(other, _)| other.epoch == version.epoch) {
                let was_here = followers.iter().any(|(_, index, _)| *index == other.index);
                prop_assert!(was_here || store.step_at_index(other.index).is_none());
            }
        }
        // A partition holds the entries of its destinations, and its hash does not depend on its history.
        if let Some(version) = store.version() {
            let truth = &history.versions.iter().find(|(v, _)| *v == version).unwrap().1;
            let mut again = Store::new(PARTITIONS, bounds(100));
            let items = truth.iter().rev().map(|(n, (d, w))| item(n, *d, w)).collect();
            again.apply(&Offer { version, after: None }, items);
            prop_assert_eq!(again.hash(), store.hash());
            for &p in &parts {
                let part = &store.partitions()[p as usize];
                let mut of_part = split(std::str::from_utf8(part.text()).unwrap());
                of_part.sort();
let of = |(_, (destination, _)): &(&String, &(u64, String))| partition(*destination, PARTITIONS) == p;
                let mine: Content = truth.iter().filter(of).map(|(n, e)| (n.clone(), e.clone())).collect();
                prop_assert_eq!(of_part, texts(&mine));
                prop_assert_eq!(part.hash, again.partitions()[p as usize].hash);
                prop_assert!(part.version <= version);
            }
            if let Some(delta) = store.changes_since(store.step(), Some(&parts)) {
                prop_assert_eq!(delta.entries, 0);
            }
        }
    }
}

/// Shows that the model can fail: for each variant of the verdicts with one rule broken, a seeded search finds a
/// violation.
#[test]
fn the_model_detects_faulty_verdicts() {
    type Broken = fn(&Offer, Option<Version>) -> Verdict;
    let broken: [(&str, Broken); 5] = [
        ("applies an older snapshot", |offer, held| match (offer.after, held) {
            (None, Some(held)) if offer.version < held => Verdict::Apply,
            _ => correct(offer, held),
        }),
        ("compares the index only", |offer, held| {
            let at = |version: Version| Version { epoch: 0, ..version };
            correct(&Offer { version: at(offer.version), ..*offer }, held.map(at))
        }),
        ("applies changes over a gap", |offer, held| match (offer.after, held) {
            (Some(_), Some(held)) if offer.version > held && offer.version.epoch == held.epoch => {
                Verdict::Apply
            }
            _ => correct(offer, held),
        }),
        ("applies changes based on an earlier version", |offer, held| match (offer.after, held) {
            (Some(after), Some(held)) if after < held.index && offer.version > held => {
                match correct(offer, None) {
                    Verdict::RequestSnapshot if offer.version.epoch == held.epoch => Verdict::Apply,
                    other => other,
                }
            }
            _ => correct(offer, held),
        }),
        ("applies changes of a newer epoch", |offer, held| match (offer.after, held) {
            (Some(_), Some(held)) if offer.version.epoch > held.epoch => Verdict::Apply,
            _ => correct(offer, held),
        }),
    ];
    use proptest::strategy::ValueTree;
    use proptest::test_runner::{Config, TestRunner};
    let mut runner = TestRunner::new(Config { rng_seed: RngSeed::Fixed(7), ..Config::default() });
    let specs = proptest::collection::vec(offer_spec(), 0..60);
    let cases: Vec<_> = (0..400)
        .map(|_| {
            let history = history().new_tree(&mut runner).unwrap().current();
            (history, specs.new_tree(&mut runner).unwrap().current())
        })
        .collect();
    for (name, judge) in broken {
        assert!(
            cases.iter().any(|(history, specs)| model(history, specs, judge).is_err()),
            "not detected: {name}"
        );
    }
    assert!(cases.iter().all(|(history, specs)| model(history, specs, correct).is_ok()));
}

#[test]
fn verdicts() {
    use Verdict::{Apply, Ignore, RequestSnapshot};
    let at = |epoch, index| Version { epoch, index };
    let rows = [
        // held, offered, after, verdict
        (None, at(0, 5), None, Apply),
        (None, at(0, 5), Some(4), RequestSnapshot),
        (Some(at(0, 5)), at(0, 4), None, Ignore),
        (Some(at(0, 5)), at(0, 4), Some(3), Ignore),
        (Some(at(0, 5)), at(0, 5), None, Apply),
        (Some(at(0, 5)), at(0, 5), Some(5), Apply),
        (Some(at(0, 5)), at(0, 5), Some(4), Ignore),
        (Some(at(0, 5)), at(0, 9), None, Apply),
        (Some(at(0, 5)), at(0, 9), Some(5), Apply),
        (Some(at(0, 5)), at(0, 9), Some(2), RequestSnapshot),
        (Some(at(0, 5)), at(0, 9), Some(6), RequestSnapshot),
        (Some(at(1, 5)), at(0, 9), None, Ignore),
        (Some(at(1, 5)), at(0, 9), Some(5), Ignore),
        (Some(at(1, 5)), at(2, 1), None, Apply),
        (Some(at(1, 5)), at(2, 9), Some(5), RequestSnapshot),
    ];
    for (held, version, after, verdict) in rows {
        let offer = Offer { version, after };
        let mut versions = Versions::new(held);
        assert_eq!(versions.apply(&offer, Vec::new()), verdict, "{held:?} {offer:?}");
        assert_eq!(versions.held(), if verdict == Apply { Some(version) } else { held });
    }
}

#[test]
fn every_fault_is_reported_with_its_path_and_nothing_is_applied() {
    let offer = Offer { version: Version { epoch: 0, index: 0 }, after: None };
    let long = "n".repeat(2000);
    let names = ["a", "", "a", &long, "b"];
    let summaries = names.iter().map(|name| EntrySummary { name, length: 10 });
    let found = validate(&offer, summaries, 4, 49);
    let told: Vec<String> = found.iter().map(ToString::to_string).collect();
    let expected = [
        "endpoints are too large in total",
        "endpoints are too many",
        "index must not be 0",
        "endpoints[1].name is empty",
        "endpoints[2].name is a duplicate",
        "endpoints[3].name is too long",
    ];
    assert_eq!(told, expected);
    let many = validate(&offer, (0..1000).map(|_| EntrySummary { name: "", length: 1 }), 4, 49);
    assert_eq!(many.len(), MAX_FAULTS);

    let mut store = Store::new(PARTITIONS, Bounds { entries: 2, bytes: 1000, window: 8 });
    let first = Offer { version: Version { epoch: 0, index: 3 }, after: None };
    assert_eq!(store.apply(&first, vec![item("a", 1, "x"), item("b", 2, "y")]), Verdict::Apply);
    let (before, hash) = (held(&mut store), store.hash());
    let next = Offer { version: Version { epoch: 0, index: 4 }, after: Some(3) };
    let verdict = store.apply(&next, vec![item("a", 1, "z"), item("c", 3, "w")]);
    assert!(matches!(&verdict, Verdict::Reject(faults) if faults.len() == 1), "{verdict:?}");
    assert_eq!((held(&mut store), store.hash(), store.version()), (before, hash, Some(first.version)));
}

#[test]
fn partitions_are_stable_across_releases_and_spread_evenly() {
    // Fixed values: with another hash, followers of some partitions would look in the wrong ones.
    let first: Vec<u32> = (0..6).map(|destination| partition(destination, 1024)).collect();
    assert_eq!(first, FIRST);
    let mut counts = vec![0_u32; 1024];
    (0..300_000_u64).for_each(|destination| counts[partition(destination, 1024) as usize] += 1);
    let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    // Expected: 293 each, within six standard deviations.
    assert!(*least > 293 - 103 && *most < 293 + 103, "{least} to {most}");
}

const FIRST: [u32; 6] = [217, 302, 579, 637, 376, 908];

#[test]
fn followers_share_texts_that_are_encoded_once() {
    let mut store = Store::new(PARTITIONS, bounds(100));
    let whole = Offer { version: Version { epoch: 0, index: 1 }, after: None };
    store.apply(&whole, (0..50).map(|n| item(&format!("e{n}"), n, "x")).collect());
    let step = store.step();
    let next = Offer { version: Version { epoch: 0, index: 2 }, after: Some(1) };
    let before = store.snapshot().unwrap();
    store.apply(&next, vec![item("e3", 3, "y")]);
    let (one, other) = (store.changes_since(step, None).unwrap(), store.changes_since(step, None).unwrap());
    assert_eq!(one.text.as_ptr(), other.text.as_ptr());
    // Two versions share the pieces that did not change.
    let after = store.snapshot().unwrap();
    let same = before.texts.iter().zip(&*after.texts).filter(|(a, b)| a.as_ptr() == b.as_ptr()).count();
    assert_eq!(same, PARTITIONS as usize - 1);
    let of: HashSet<u32> = (0..PARTITIONS).filter(|&p| p != partition(3, PARTITIONS)).collect();
    assert_eq!(store.changes_since(step, Some(&of)).unwrap().entries, 0);
}

fn hash_of(content: &BTreeMap<String, String>) -> u64 {
    let mut hash = ContentHash::default();
    content.iter().for_each(|(name, text)| hash.insert(name, text.as_bytes()));
    hash.value()
}
