//! The variants of a site under `deploy/sites/`: each can be read, and each differs from the others in what it is for.
use std::collections::BTreeSet;
use std::path::Path;
use toml::{Table, Value};

fn variants() -> Vec<(String, Table)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/sites");
    let mut found: Vec<(String, Table)> = std::fs::read_dir(folder)
        .expect("the folder of the variants")
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| path.extension().is_some_and(|e| e == "toml"))
        .map(|path| {
            let text = std::fs::read_to_string(&path).expect("readable");
            let table = text.parse().unwrap_or_else(|e| panic!("{}: {e}", path.display()));
            (path.file_stem().expect("a name").to_string_lossy().into_owned(), table)
        })
        .collect();
    found.sort_by(|a, b| a.0.cmp(&b.0));
    found
}

fn at<'a>(table: &'a Table, path: &str) -> &'a Value {
    let mut keys = path.split('.');
    let mut value = table.get(keys.next().expect("a key")).unwrap_or_else(|| panic!("{path} is missing"));
    for key in keys {
        value = value.get(key).unwrap_or_else(|| panic!("{path} is missing"));
    }
    value
}

fn classes<'a>(table: &'a Table, key: &str) -> Vec<&'a str> {
    let classes = at(table, "class").as_array().expect("classes");
    classes.iter().filter_map(|c| c.get(key)?.as_str()).collect()
}

#[test]
fn each_variant_is_named_as_its_file_and_they_share_no_name() {
    let all = variants();
    assert!(all.len() >= 2, "two variants at least");
    let mut seen = BTreeSet::new();
    for (file, table) in &all {
        assert_eq!(at(table, "name").as_str(), Some(&file[..]));
        let zones = at(table, "net.zones").as_array().expect("zones").iter().filter_map(Value::as_str);
        let tiers = at(table, "tier").as_array().expect("tiers");
        let kinds = tiers.iter().flat_map(|t| t["kind"].as_array().expect("kinds"));
        let kinds = kinds.filter_map(|k| k["name"].as_str());
        for name in zones.chain(kinds).chain(classes(table, "name")) {
            // Those of the first deployment, too, are none of theirs.
            let first = ["east", "west", "standard", "history-files", "bid-status", "bid-submit"];
            assert!(!first.contains(&name) && seen.insert(name.to_string()), "{file}: {name} is not its own");
        }
    }
}

#[test]
fn the_variants_differ_in_the_figures_that_they_exist_for() {
    let all = variants();
    let figures = [
        "rules.drain_grace_ms",
        "rules.fall_multiple",
        "rules.fall_ms",
        "allow.max_attempts",
        "allow.retry_after",
        "allow.second_copies",
        "clients.max_retry_after_ms",
        "prices.waste",
        "prices.origin",
        "fam.purge_grace_ms",
        "fam.siblings",
    ];
    for (n, (file, table)) in all.iter().enumerate() {
        for (other, against) in &all[n + 1..] {
            for path in figures {
                assert_ne!(at(table, path), at(against, path), "{file} and {other}: {path}");
            }
            let effects = |t| classes(t, "effect").into_iter().collect::<BTreeSet<_>>();
            assert_ne!(effects(table), effects(against), "{file} and {other}: the mix of effects");
        }
        let figure = |class: &Value, key: &str| class.get(key).and_then(Value::as_integer);
        let all: Vec<_> = at(table, "class").as_array().expect("classes").iter().collect();
        let deadlines: BTreeSet<_> =
            all.iter().map(|c| figure(c, "deadline_ms").expect("a deadline")).collect();
        assert_eq!(deadlines.len(), all.len(), "{file}: each class has a deadline of its own");
    }
}
