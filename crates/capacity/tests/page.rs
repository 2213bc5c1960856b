//! The page matches the evaluation of the file, and invalid files are rejected.

use std::fs;
use std::path::PathBuf;

use meadowhold_capacity::evaluate::{Confidence, Evaluation};
use meadowhold_capacity::file::{Evidence, Fault, Figures, Fit, FitKind, Formula};
use meadowhold_capacity::page::{format_number, render, END, TABLES};

fn docs() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn read_source(name: &str) -> Result<String, String> {
    fs::read_to_string(docs().join("capacity").join(name)).map_err(|error| format!("{name}: {error}"))
}

fn figures() -> Figures {
    Figures::read(&read_source("capacity.toml").unwrap(), &read_source)
        .unwrap_or_else(|faults| panic!("{faults:#?}"))
}

/// A page that consists of its tables only.
fn tables(figures: &Figures) -> String {
    let empty: String = TABLES.iter().map(|(name, _)| format!("<!-- table: {name} -->\n{END}\n")).collect();
    render(&empty, figures).unwrap()
}

/// Everything before the table of slopes.
fn without_slopes(figures: &Figures) -> String {
    let tables = tables(figures);
    tables.split("<!-- table: slopes -->").next().unwrap().to_string()
}

fn slopes_of<'a>(formula: &'a Formula, out: &mut Vec<&'a str>) {
    match formula {
        Formula::Number(_) | Formula::Variable(_) => {}
        Formula::Slope { slope, at } => {
            out.push(slope);
            slopes_of(at, out);
        }
        Formula::Sum { sum: parts } | Formula::Product { product: parts } => {
            parts.iter().for_each(|part| slopes_of(part, out));
        }
        Formula::Quotient { over } => over.iter().for_each(|part| slopes_of(part, out)),
    }
}

#[test]
fn the_page_matches_its_figures() {
    let page = fs::read_to_string(docs().join("CAPACITY.md")).unwrap();
    let fresh = render(&page, &figures()).unwrap();
    assert!(page == fresh, "docs/CAPACITY.md differs from its figures: cargo run -p meadowhold-capacity");
}

#[test]
fn a_changed_slope_changes_the_page() {
    let figures = figures();
    let (before, mut changed) = (without_slopes(&figures), 0);
    for cell in &figures.cell {
        let mut used = Vec::new();
        [&cell.formula, &cell.stops].into_iter().flatten().for_each(|formula| slopes_of(formula, &mut used));
        for name in used {
            let mut other = figures.clone();
            let slope = other.slope.get_mut(name).unwrap();
            let Some(fit) = &mut slope.fit else { continue };
            (fit.slope, fit.intercept) = (1.3 * fit.slope, fit.intercept.map(|intercept| 1.3 * intercept));
            slope.points.iter_mut().for_each(|point| point[1] *= 1.3);
            changed += 1;
            assert_ne!(before, without_slopes(&other), "{name}");
        }
    }
    assert!(changed > 0, "no cell depends on a measured slope");
}

#[test]
fn a_changed_figure_of_the_target_changes_the_page() {
    let figures = figures();
    let mut other = figures.clone();
    other.target.get_mut("destinations").unwrap().value *= 2.0;
    assert_ne!(tables(&figures), tables(&other));
}

const SMALL: &str = r#"
target.messages = { value = 1000.0 }
target.room = { value = 100.0 }

[slope.near]
what = "memory"
of = "messages"
unit = "B"
standing = "measured"
text = "before"
command = "run near"
sizes = [10, 1000]
fit = { kind = "linear", slope = 2.0, intercept = 5.0, residual = 0.01 }

[slope.power]
what = "time"
of = "messages"
standing = "measured"
text = "after"
command = "run power"
sizes = [1, 100]
fit = { kind = "power", slope = 3.0, exponent = 2.0, residual = 0.01 }

[slope.both]
what = "memory and time"
of = "messages"
standing = "inferred"
formula = { sum = [{ slope = "near", at = "size" }, { slope = "power", at = "size" }, 1.0] }

[slope.unknown]
what = "disk"
of = "messages"
standing = "not-run"

[[role]]
name = "courier"

[[role]]
name = "ledger"
missing = "it is not there"
next = "make it"

[[cell]]
role = "courier"
column = "state"
unit = "B"
formula = { slope = "near", at = "messages" }
budget = 500.0
carried_by = "a table"

[[cell]]
role = "courier"
column = "messages"
formula = { slope = "power", at = { product = ["messages", 2] } }
carried_by = "missing"
stops = 0.25
next = "carry it"

[[cell]]
role = "courier"
column = "processor"
formula = { slope = "both", at = "room" }
carried_by = "a thread"

[[cell]]
role = "courier"
column = "memory"
formula = { product = [{ slope = "unknown", at = "messages" }, 2.0] }
carried_by = "a table"

[[cell]]
role = "courier"
column = "bytes"

[[cell]]
role = "courier"
column = "disk"
formula = { over = ["messages", "room"] }
carried_by = "a file"

[[failure]]
what = "a machine"
lost = "all"
late = "nothing"
carried_by = "missing"
stops = 0
next = "hold it twice"
"#;

fn no_sources(name: &str) -> Result<String, String> {
    Err(format!("{name}: is not there"))
}

fn small(text: &str) -> Figures {
    Figures::read(text, &no_sources).unwrap_or_else(|faults| panic!("{faults:#?}"))
}

fn faults(text: &str) -> Vec<Fault> {
    Figures::read(text, &no_sources).expect_err("the file has faults")
}

#[test]
fn each_cell_shows_its_value_and_its_confidence() {
    let figures = small(SMALL);
    let evaluation = Evaluation::new(&figures);
    let expected = [
        (Some(2005.0), Confidence::Measured),
        // 2,000 is twenty times the largest measured size.
        (Some(12_000_000.0), Confidence::Extrapolated),
        (Some(30_206.0), Confidence::Inferred),
        (None, Confidence::NotRun),
        (Some(10.0), Confidence::Target),
    ];
    let estimate = evaluation.cells.iter().filter_map(|cell| cell.estimate.as_ref());
    let found: Vec<_> = estimate.map(|estimate| (estimate.value, estimate.confidence)).collect();
    assert_eq!(found, expected);
    assert_eq!(evaluation.cells[0].remaining, Some((500.0 - 2005.0) / 500.0));
    assert_eq!((evaluation.cells[4].estimate.as_ref(), evaluation.not_run), (None, 2));
    let page = tables(&figures);
    for row in [
        "| courier | state | 2,010 B | m, before | 500 B | -3.01 | a table; stops at 0.249 of the target |",
        "| courier | messages a second | 12,000,000 | i! (20 x the largest run), after | | | \
         **missing**: stops at 0.25 of the target |",
        "| courier | processor time | 30,200 | i, before, after | | | a thread |",
        "| courier | memory | not run | – | | | a table |",
        "| courier | bytes a second | none | | | | |",
        "| ledger | all | – | – | | | **missing**: it is not there |",
    ] {
        let squeezed = page.replace("  ", " ");
        assert!(squeezed.contains(row), "{row}\nis not in\n{squeezed}");
    }
}

#[test]
fn a_fit_beyond_its_sizes_is_inferred_and_beyond_ten_times_extrapolated() {
    for (at, confidence) in
        [(1.0, Confidence::Measured), (1000.0, Confidence::Measured), (1000.1, Confidence::Inferred)]
            .into_iter()
            .chain([(10_000.0, Confidence::Inferred), (10_000.1, Confidence::Extrapolated)])
    {
        let mut figures = small(SMALL);
        figures.cell[0].formula =
            Some(Formula::Slope { slope: "near".into(), at: Box::new(Formula::Number(at)) });
        let evaluation = Evaluation::new(&figures);
        assert_eq!(evaluation.cells[0].estimate.as_ref().unwrap().confidence, confidence, "{at}");
    }
}

#[test]
fn shortfalls_without_a_mechanism_come_first_then_the_lowest_share() {
    let mut figures = small(SMALL);
    figures.cell[5].stops = Some(Formula::Number(0.125));
    figures.cell[5].next = "more room".into();
    // A mechanism that reaches nothing still counts as a mechanism.
    figures.cell[2].stops = Some(Formula::Number(0.0));
    figures.cell[2].next = "faster".into();
    let evaluation = Evaluation::new(&figures);
    let order: Vec<_> =
        evaluation.shortfalls.iter().map(|short| (&short.what[..], short.no_mechanism)).collect();
    let parts: Vec<f64> = evaluation.shortfalls.iter().map(|short| short.reached).collect();
    assert_eq!(order[..2], [("ledger", true), ("a machine", true)], "{order:?}");
    assert!(order[2..].iter().all(|short| !short.1), "{order:?}");
    assert_eq!(parts, [0.0, 0.0, 0.0, 0.125, 500.0 / 2005.0, 0.25]);
    // If another cell of the role says what is to be done, it is listed once only.
    figures.cell[2].next = String::new();
    let shortfalls = Evaluation::new(&figures).shortfalls;
    assert_eq!(
        shortfalls.iter().map(|short| short.reached).collect::<Vec<_>>(),
        [0.0, 0.0, 0.125, 500.0 / 2005.0, 0.25]
    );
}

#[test]
fn a_measured_slope_needs_its_command_sizes_and_fit() {
    let text = SMALL
        .replace("command = \"run near\"\n", "")
        .replace("sizes = [1, 100]\n", "")
        .replace("fit = { kind = \"power\", slope = 3.0, exponent = 2.0, residual = 0.01 }\n", "");
    let places: Vec<_> = faults(&text).into_iter().map(|fault| (fault.line > 0, fault.key)).collect();
    let expected = ["slope.near.command", "slope.power.sizes", "slope.power.fit"];
    assert_eq!(places, expected.map(|key| (true, key.to_string())));
}

#[test]
fn a_fit_needs_the_parameters_of_its_kind() {
    for (from, to) in [
        ("kind = \"power\", slope = 3.0, exponent = 2.0", "kind = \"power\", slope = 3.0"),
        ("kind = \"linear\", slope = 2.0, intercept = 5.0", "kind = \"linear\", slope = 2.0, exponent = 5.0"),
        ("kind = \"linear\", slope = 2.0", "kind = \"linear\", slope = nan"),
    ] {
        assert!(SMALL.contains(from));
        let found = faults(&SMALL.replace(from, to));
        assert!(found.len() == 1 && found[0].key.ends_with(".fit"), "{to}: {found:#?}");
    }
}

#[test]
fn all_faults_of_a_file_are_reported_at_once_with_their_lines() {
    let text = SMALL
        .replace("value = 100.0", "value = \"many\"")
        .replace("slope = \"near\", at = \"messages\"", "slope = \"nearly\", at = \"messages\"")
        .replace("at = \"size\" }, 1.0", "at = \"sizes\" }, 1.0")
        .replace("column = \"memory\"", "column = \"memories\"")
        .replace("carried_by = \"a thread\"", "carriedby = \"a thread\"")
        .replace("stops = 0.25\n", "");
    let found = faults(&text);
    let keys: Vec<&str> = found.iter().map(|fault| &fault.key[..]).collect();
    for key in [
        "target.room.value",
        "slope.both.formula",
        "cell.0.formula",
        "cell.1.stops",
        "cell.2.carriedby",
        "cell.2.carried_by",
        "cell.3.column",
        "role.0",
    ] {
        assert!(keys.contains(&key), "{key} is not among {found:#?}");
    }
    assert!(found.iter().all(|fault| fault.line > 0), "{found:#?}");
    let lines: Vec<&str> = text.lines().collect();
    let column = found.iter().find(|fault| fault.key == "cell.3.column").unwrap();
    assert_eq!(lines[column.line - 1], "column = \"memories\"");
}

#[test]
fn formulas_without_a_value_are_faults() {
    for (formula, message) in [
        ("{ over = [1, { sum = [0] }] }", "division by zero"),
        ("{ sum = [] }", "a sum or product needs terms"),
        ("\"size\"", "inferred slope only"),
        ("\"nobody\"", "no figure \"nobody\""),
        ("{ slope = \"near\" }", "expected a number"),
        ("{ slope = \"near\", at = 1, by = 2 }", "expected a number"),
    ] {
        let text = SMALL.replace("{ over = [\"messages\", \"room\"] }", formula);
        let found = faults(&text);
        assert!(found.iter().any(|fault| fault.message.contains(message)), "{formula}: {found:#?}");
    }
    let round =
        SMALL.replace("{ slope = \"power\", at = \"size\" }, 1.0", "{ slope = \"both\", at = \"size\" }");
    let found = faults(&round);
    assert!(found.iter().any(|fault| fault.message.contains("inferred from itself")), "{found:#?}");
}

#[test]
fn a_slope_reads_its_figures_from_a_file_in_the_same_folder() {
    let json = r#"[{"name": "other"}, {"name": "list", "unit": "B", "command": "run list",
        "points": [{"size": 10, "value": 25.0}, {"size": 1000, "value": 2005.0}],
        "fit": {"kind": "linear", "slope": 2.0, "intercept": 5.0, "residual": 0.0},
        "largest": 1000, "stopped_by": "time"}]"#;
    let sources = |name: &str| match name {
        "given.json" => Ok(json.to_string()),
        _ => Err(format!("{name}: is not there")),
    };
    let own = "command = \"run near\"\nsizes = [10, 1000]\n\
        fit = { kind = \"linear\", slope = 2.0, intercept = 5.0, residual = 0.01 }\n";
    assert!(SMALL.contains(own));
    let from = |from: &str| SMALL.replace(own, &format!("from = \"{from}\"\n"));
    let figures = Figures::read(&from("given.json#list"), &sources).unwrap();
    let slope = &figures.slope["near"];
    assert_eq!((&slope.command[..], slope.sizes), ("run list", Some([10.0, 1000.0])));
    assert_eq!(Evaluation::new(&figures).cells[0].estimate.as_ref().unwrap().value, Some(2005.0));
    for (place, message) in [
        ("given.json#lists", "has no entry"),
        ("given.json#other", "missing field"),
        ("gone.json#list", "is not there"),
        ("../given.json#list", "is not the name of a JSON file"),
        ("given.json", "FILE#ENTRY"),
    ] {
        let found = Figures::read(&from(place), &sources).unwrap_err();
        assert!(
            found.iter().any(|f| f.key == "slope.near.from" && f.message.contains(message)),
            "{place}: {found:#?}"
        );
    }
    let twice = SMALL.replace(own, &format!("from = \"given.json#list\"\n{own}"));
    let found = Figures::read(&twice, &sources).unwrap_err();
    assert!(found.iter().any(|f| f.message.contains("remove command, sizes and fit here")), "{found:#?}");
}

/// A file as written by the slopes bench, with entries of two programs.
const BENCH: &str = r#"{"machine": {"cores": 8, "load_at_start": 3.5}, "slopes": [
    {"name": "near", "binary": "old", "size_unit": "messages", "unit": "B", "command": "run both",
     "points": [{"size": 10.0, "value": 25.0, "load": 2.0}, {"size": 1000.0, "value": 2005.0, "load": 30.5,
                 "seen": "nothing"}],
     "fit": {"kind": "linear", "slope": 2.0, "intercept": 5.0, "residual": 0.0},
     "other_fit": null, "last_exponent": 0.95, "largest": 1000.0, "stopped_by": "time"},
    {"name": "near", "binary": "new", "size_unit": "messages", "unit": "B", "command": "run both",
     "points": [{"size": 1.0, "value": 3.0, "load": 1.0}, {"size": 100.0, "value": 300.0, "load": 1.0}],
     "fit": {"kind": "power", "scale": 3.0, "exponent": 1.0, "residual": 0.25},
     "other_fit": {"kind": "linear", "slope": 3.0, "intercept": 0.0, "residual": 0.3},
     "last_exponent": 1.0, "largest": 100.0, "stopped_by": "the bench's largest size"}]}"#;

const NEAR: &str = "command = \"run near\"\nsizes = [10, 1000]\n\
    fit = { kind = \"linear\", slope = 2.0, intercept = 5.0, residual = 0.01 }\n";

fn read_bench(json: &str, from: &str) -> Result<Figures, Vec<Fault>> {
    assert!(SMALL.contains(NEAR));
    let sources = |name: &str| match name {
        "bench.json" => Ok(json.to_string()),
        _ => Err(format!("{name}: is not there")),
    };
    Figures::read(&SMALL.replace(NEAR, &format!("from = \"{from}\"\n")), &sources)
}

#[test]
fn a_slope_reads_its_figures_from_a_bench_file_by_binary() {
    let old = read_bench(BENCH, "bench.json#near@old").unwrap();
    let slope = &old.slope["near"];
    assert_eq!((&slope.command[..], slope.sizes), ("run both", Some([10.0, 1000.0])));
    assert_eq!((slope.loads, &slope.stopped_by[..]), (Some([2.0, 30.5]), "time"));
    assert_eq!(Evaluation::new(&old).cells[0].estimate.as_ref().unwrap().value, Some(2005.0));
    assert!(tables(&old).contains("10 to 1,000 messages; time; load 2 to 30.5"), "{}", tables(&old));
    // The scale of a power law is its value at size 1.
    let new = read_bench(BENCH, "bench.json#near@new").unwrap();
    let evaluation = Evaluation::new(&new);
    let estimate = evaluation.cells[0].estimate.as_ref().unwrap();
    assert_eq!((estimate.value, estimate.confidence), (Some(3000.0), Confidence::Inferred));
    // A unique entry needs no name of a program.
    let alone =
        BENCH.replace("\"name\": \"near\", \"binary\": \"new\"", "\"name\": \"far\", \"binary\": \"new\"");
    assert_eq!(read_bench(&alone, "bench.json#near").unwrap().slope["near"].sizes, Some([10.0, 1000.0]));
}

#[test]
fn a_measured_size_has_its_measured_value_and_no_other_size_has() {
    // Values off the fit, two of them at one size, which give their mean.
    let twice = BENCH.replace(
        "\"seen\": \"nothing\"}]",
        "\"seen\": \"nothing\"}, {\"size\": 1000.0, \"value\": 4005.0, \"load\": 1.0}]",
    );
    for (json, residual, size, value, confidence) in [
        (BENCH, "0.0", 1000.0, Some(2005.0), Confidence::Measured),
        (&twice, "0.0", 1000.0, Some(3005.0), Confidence::Measured),
        (&twice, "0.0", 500.0, Some(1005.0), Confidence::Measured),
        (&twice, "0.0", 2000.0, Some(4005.0), Confidence::Inferred),
        (&twice, "1.5", 1000.0, Some(3005.0), Confidence::Measured),
        (&twice, "1.5", 500.0, None, Confidence::NoFit),
    ] {
        let json = json.replace("\"residual\": 0.0}", &format!("\"residual\": {residual}}}"));
        let mut figures = read_bench(&json, "bench.json#near@old").unwrap();
        figures.target.get_mut("messages").unwrap().value = size;
        let evaluation = Evaluation::new(&figures);
        let estimate = evaluation.cells[0].estimate.as_ref().unwrap();
        assert_eq!((estimate.value, estimate.confidence), (value, confidence), "{residual} at {size}");
    }
}

#[test]
fn bench_files_are_validated() {
    for (json, from, message) in [
        (BENCH.to_string(), "bench.json#near", "has several entries"),
        (BENCH.to_string(), "bench.json#near@none", "has no entry"),
        (
            BENCH.replace("\"size_unit\": \"messages\"", "\"size_unit\": \"entries\""),
            "bench.json#near@old",
            "count",
        ),
        (
            BENCH.replace("\"load\": 2.0}", "\"load\": 2.0, \"by\": 1}"),
            "bench.json#near@old",
            "unknown field `by`",
        ),
        (BENCH.replace("\"load\": 2.0}", "\"note\": 2.0}"), "bench.json#near@old", "unknown field `note`"),
        (BENCH.replace("\"intercept\": 5.0, ", ""), "bench.json#near@old", "missing field `intercept`"),
        (BENCH.replace("\"scale\": 3.0", "\"slope\": 3.0"), "bench.json#near@new", "`slope`"),
        (BENCH.replace("\"kind\": \"power\"", "\"kind\": \"square\""), "bench.json#near@new", "`square`"),
        (BENCH.replace("\"largest\": 1000.0, ", ""), "bench.json#near@old", "missing field `largest`"),
        (BENCH.replace("\"machine\"", "\"machines\""), "bench.json#near@old", "unknown field `machines`"),
        (BENCH.replace("{\"cores\": 8, \"load_at_start\": 3.5}", "8"), "bench.json#near@old", "invalid type"),
    ] {
        let found = read_bench(&json, from).expect_err(message);
        assert!(
            found.iter().any(|f| f.key == "slope.near.from" && f.message.contains(message)),
            "{message}: {found:#?}"
        );
    }
    // A fault in one entry does not affect the others.
    let other = BENCH.replace("\"scale\": 3.0, ", "");
    assert!(read_bench(&other, "bench.json#near@old").is_ok());
    assert!(read_bench(&other, "bench.json#near@new").is_err());
}

#[test]
fn a_fit_with_a_residual_above_one_gives_no_value() {
    for (residual, value, confidence) in [
        ("1.0", Some(2005.0), Confidence::Measured),
        ("1.01", None, Confidence::NoFit),
        ("187.0", None, Confidence::NoFit),
    ] {
        let figures = small(&SMALL.replacen("residual = 0.01", &format!("residual = {residual}"), 1));
        let evaluation = Evaluation::new(&figures);
        let estimate = evaluation.cells[0].estimate.as_ref().unwrap();
        assert_eq!((estimate.value, estimate.confidence), (value, confidence), "{residual}");
        let page = tables(&figures).replace("  ", " ");
        let row = "| courier | state | no fit holds | x, before | 500 B | | a table |";
        assert_eq!(page.contains(row), value.is_none(), "{page}");
        assert_eq!(page.contains("| x: no fit holds | "), value.is_none(), "{page}");
        assert_eq!(evaluation.not_run, if value.is_none() { 4 } else { 2 });
    }
}

#[test]
fn a_slope_not_run_has_no_figures_and_an_inferred_one_needs_its_formula() {
    let text = SMALL
        .replace("standing = \"inferred\"\n", "standing = \"not-run\"\n")
        .replace("standing = \"not-run\"\n\n[[role]]", "standing = \"inferred\"\n\n[[role]]");
    let keys: Vec<String> = faults(&text).into_iter().map(|fault| fault.key).collect();
    assert_eq!(keys, ["slope.both.standing", "slope.unknown.formula"]);
}

#[test]
fn a_page_without_all_markers_is_rejected() {
    let figures = small(SMALL);
    let error = render("<!-- table: roles -->\n<!-- end -->\n<!-- table: next -->", &figures).unwrap_err();
    for name in ["failures", "next", "slopes"] {
        assert!(error.contains(&format!("table: {name}")), "{error}");
    }
    assert!(!error.contains("table: roles"), "{error}");
}

#[test]
fn fits_and_number_formatting() {
    let fit = Fit { kind: FitKind::Linear, slope: 2.0, intercept: Some(1.0), exponent: None, residual: 0.0 };
    assert_eq!(fit.value_at(3.0), 7.0);
    assert_eq!(Fit { kind: FitKind::Power, exponent: Some(0.5), ..fit }.value_at(9.0), 6.0);
    for (value, text) in [
        (0.0, "0"),
        (3_769_230.8, "3,770,000"),
        (415.38, "415"),
        (0.000_012_34, "0.0000123"),
        (999.96, "1,000"),
        (-0.5, "-0.5"),
        (1.0, "1"),
        (25.4, "25.4"),
    ] {
        assert_eq!(format_number(value), text);
    }
    assert_eq!(Evidence::default(), Evidence::NotRun);
}
