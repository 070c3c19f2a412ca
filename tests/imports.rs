//! Checks that there are no import cycles: in each package of the workspace, sibling modules must not use each other in
//! a cycle. A folder counts as one module, at each depth; a module and its own submodules may use each other. The check
//! reads the text of `use` lines and of all other paths that begin with `crate`, `self` or `super`.
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// The path of a module from the package's root; empty for the root itself.
type Module = Vec<String>;

/// For each module, the siblings that it or one of its submodules uses.
type Uses = BTreeMap<Module, BTreeSet<Module>>;

/// The `src` folders of all packages of the workspace.
fn source_folders() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut folders = vec![root.join("src")];
    for parent in [root.to_path_buf(), root.join("crates"), root.join("lab")] {
        let entries = std::fs::read_dir(&parent).expect("a folder of packages").flatten();
        let sources = entries.filter(|e| e.path().join("Cargo.toml").is_file()).map(|e| e.path().join("src"));
        folders.extend(sources.filter(|source| source.is_dir()));
    }
    folders.sort();
    folders.dedup();
    folders
}

/// Adds the modules below a folder to `found`, each with its text without comments; `parent` is the module of the
/// folder itself. Files named `tests.rs` are skipped.
fn modules(folder: &Path, parent: &Module, found: &mut BTreeMap<Module, String>) {
    for entry in std::fs::read_dir(folder).expect("a source folder").flatten() {
        let path = entry.path();
        let stem = path.file_stem().expect("a name").to_string_lossy().into_owned();
        let mut module = parent.clone();
        if path.is_dir() {
            module.push(stem);
            modules(&path, &module, found);
        } else if path.extension().is_some_and(|e| e == "rs") && stem != "tests" {
            if !matches!(stem.as_str(), "mod" | "lib" | "main") {
                module.push(stem);
            }
            let text = std::fs::read_to_string(&path).expect("a source file");
            let code: Vec<&str> = text.lines().map(|line| line.split("//").next().unwrap_or("")).collect();
            found.entry(module).or_default().push_str(&code.join("\n"));
        }
    }
}

/// The paths in a text that begin with `crate`, `self` or `super`; a path with
/// braces counts as one path for each name within them, at any depth.
fn paths(text: &str) -> Vec<Vec<String>> {
    let is_name = |c: char| c.is_alphanumeric() || c == '_';
    let mut found = Vec::new();
    for (at, _) in text.match_indices("::") {
        let first_name = text[..at].rsplit(|c| !is_name(c)).next().unwrap_or("");
        let before = &text[..at - first_name.len()];
        if !matches!(first_name, "crate" | "self" | "super") || before.ends_with("::") {
            continue;
        }
        let path_text = &text[at - first_name.len()..];
        let end = path_text.find(|c| !is_name(c) && c != ':').unwrap_or(path_text.len());
        let prefix: Vec<String> =
            path_text[..end].split("::").filter(|n| !n.is_empty()).map(String::from).collect();
        let braced = path_text[end..].strip_prefix('{').and_then(|rest| rest.split(';').next());
        let Some(braced) = braced.filter(|_| path_text[..end].ends_with("::")) else {
            found.push(prefix);
            continue;
        };
        let names = braced.split(|c| !is_name(c)).filter(|name| !name.is_empty());
        found.extend(names.map(|name| [prefix.clone(), vec![name.to_string()]].concat()));
    }
    found
}

/// The innermost module of `all` that a path written in `module` passes through.
fn target(module: &Module, path: &[String], all: &BTreeMap<Module, String>) -> Module {
    let mut full = module.clone();
    for name in path {
        match name.as_str() {
            "crate" => full.clear(),
            "self" => {}
            "super" => drop(full.pop()),
            _ => full.push(name.clone()),
        }
    }
    while !all.contains_key(&full) && !full.is_empty() {
        full.pop();
    }
    full
}

/// Collects the siblings that each module or one of its submodules uses.
fn uses(all: &BTreeMap<Module, String>) -> Uses {
    let mut uses = Uses::new();
    for (module, text) in all {
        for path in paths(text) {
            let target = target(module, &path, all);
            let shared_depth = module.iter().zip(&target).take_while(|(a, b)| a == b).count();
            if shared_depth < module.len() && shared_depth < target.len() {
                let entry = uses.entry(module[..=shared_depth].to_vec()).or_default();
                entry.insert(target[..=shared_depth].to_vec());
            }
        }
    }
    uses
}

/// The modules that a module uses directly or indirectly.
fn reached(uses: &Uses, from: &Module) -> BTreeSet<Module> {
    let mut reached = BTreeSet::new();
    let mut unvisited = vec![from.clone()];
    while let Some(module) = unvisited.pop() {
        let next = uses.get(&module).into_iter().flatten();
        unvisited.extend(next.filter(|n| reached.insert((*n).clone())).cloned());
    }
    reached
}

/// The import cycles, each as the names of all modules that use each other directly or indirectly.
fn cycles(uses: &Uses) -> BTreeSet<BTreeSet<String>> {
    let reached_by_module: BTreeMap<&Module, BTreeSet<Module>> =
        uses.keys().map(|m| (m, reached(uses, m))).collect();
    let mut cycles = BTreeSet::new();
    for (module, reached) in reached_by_module.iter().filter(|(module, reached)| reached.contains(**module)) {
        let cycle =
            reached.iter().filter(|other| reached_by_module.get(other).is_some_and(|r| r.contains(*module)));
        cycles.insert(cycle.map(|m| m.join("::")).collect());
    }
    cycles
}

#[test]
fn no_modules_import_each_other_in_a_cycle() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut module_count = 0;
    let mut found = BTreeSet::new();
    for folder in source_folders() {
        let mut all = BTreeMap::new();
        modules(&folder, &Module::new(), &mut all);
        module_count += all.len();
        let name = folder.strip_prefix(root).expect("under the root").to_string_lossy().into_owned();
        found.extend(cycles(&uses(&all)).into_iter().map(|cycle| (name.clone(), cycle)));
    }
    assert!(module_count > 100, "{module_count} modules read");
    assert!(found.is_empty(), "import cycles: {found:?}");
}

#[test]
fn a_cycle_is_found_through_braces_and_submodules() {
    let source = [
        ("a", "use crate::b::{inner::Thing, other};"),
        ("b", "use self::inner::Thing;"),
        ("b::inner", "fn f() { crate::c::call() } // crate::d::unused"),
        ("c", "use super::a::call;"),
        ("d", "use crate::a::call;"),
    ];
    let module = |name: &str| name.split("::").map(String::from).collect::<Module>();
    let code = |text: &str| text.split("//").next().unwrap_or("").to_string();
    let all: BTreeMap<Module, String> =
        source.iter().map(|(name, text)| (module(name), code(text))).collect();
    let cycle = ["a", "b", "c"].iter().map(ToString::to_string).collect();
    assert_eq!(cycles(&uses(&all)), BTreeSet::from([cycle]));
}
