//! Checks bounds on the size of source files, functions and lines, and the documentation at the head of files.
use std::path::Path;

/// The bounds for the source files of a folder and its subfolders.
struct Bounds {
    /// The folder, from the root of the workspace.
    folder: &'static str,
    /// Minimum number of files; shows that the check reads the right folder.
    min_files: usize,
    /// Minimum number of functions; shows that the check finds them.
    min_functions: usize,
    /// Maximum number of lines of a file.
    max_file_lines: usize,
    /// Maximum number of lines of a function.
    max_function_lines: usize,
    /// Maximum number of characters of a line.
    max_columns: usize,
}

/// The decision module, which is audited.
const DECISION_MODULE: Bounds = Bounds {
    folder: "src",
    min_files: 16,
    min_functions: 151,
    max_file_lines: 700,
    max_function_lines: 80,
    max_columns: 110,
};

/// The gateway's core and configuration. rustfmt limits code to 110 columns, and comments are wrapped at 120. The
/// schemas under `deploy/` contain the line breaks of some of these comments, so rewrapping those changes the schemas.
const CORE: Bounds = Bounds {
    folder: "gateway/src/core",
    min_files: 10,
    min_functions: 30,
    max_file_lines: 700,
    max_function_lines: 80,
    max_columns: 120,
};
const CONFIGURATION: Bounds =
    Bounds { folder: "gateway/src/config", min_files: 8, min_functions: 24, ..CORE };

/// The protocol drivers: codecs and sessions without I/O.
const PLATFORM_FRONT: Bounds = Bounds {
    folder: "gateway/src/thrift",
    min_files: 10,
    min_functions: 45,
    max_file_lines: 300,
    max_function_lines: 50,
    max_columns: 120,
};
const STORE_WIRE: Bounds =
    Bounds { folder: "gateway/src/resp", min_files: 8, min_functions: 30, ..PLATFORM_FRONT };
const SIGNED_FRONT: Bounds = Bounds {
    folder: "gateway/src/signed",
    min_files: 20,
    min_functions: 70,
    max_file_lines: 360,
    ..PLATFORM_FRONT
};
/// The event loop, whose main module holds the gateway's state.
const EVENT_LOOP: Bounds = Bounds {
    folder: "gateway/src/net",
    min_files: 18,
    min_functions: 120,
    max_file_lines: 500,
    max_function_lines: 65,
    max_columns: 120,
};
/// The gateway's view of the hierarchy and its membership.
const HIERARCHY: Bounds = Bounds {
    folder: "gateway/src/hierarchy",
    min_files: 8,
    min_functions: 50,
    max_file_lines: 300,
    max_function_lines: 40,
    max_columns: 120,
};
const MEMBERSHIP: Bounds = Bounds { folder: "gateway/src/membership", min_files: 10, ..HIERARCHY };
/// The operators' console.
const CONSOLE: Bounds =
    Bounds { folder: "gateway/src/console", min_files: 6, min_functions: 40, ..HIERARCHY };
/// The clocks, and the encoding of times on wires.
const CLOCK: Bounds = Bounds { folder: "gateway/src/clock", min_files: 6, min_functions: 46, ..HIERARCHY };
/// The hand-over between the processes of a gateway during an upgrade.
const UPGRADE: Bounds =
    Bounds { folder: "gateway/src/upgrade", min_files: 4, min_functions: 27, ..HIERARCHY };
/// The admin socket.
const ADMIN: Bounds = Bounds { folder: "gateway/src/admin", min_files: 3, min_functions: 18, ..HIERARCHY };
/// The command line.
const COMMAND_LINE: Bounds =
    Bounds { folder: "gateway/src/cli", min_files: 4, min_functions: 19, ..HIERARCHY };
/// Crash-safe files.
const DURABLE_FILE: Bounds =
    Bounds { folder: "gateway/src/durable_file", min_files: 4, min_functions: 59, ..HIERARCHY };
/// The communication with the other gateways of a tier.
const PEERS: Bounds = Bounds { folder: "gateway/src/peers", min_files: 5, min_functions: 42, ..HIERARCHY };

/// The package of the endpoint list.
const ENDPOINTS: Bounds = Bounds {
    folder: "crates/endpoints/src",
    min_files: 21,
    min_functions: 121,
    max_file_lines: 300,
    max_function_lines: 40,
    max_columns: 120,
};

/// The package of operators' functions.
const OPERATIONS: Bounds =
    Bounds { folder: "crates/operations/src", min_files: 13, min_functions: 75, ..ENDPOINTS };

/// The package of the distribution of events.
const DISTRIBUTION: Bounds = Bounds {
    folder: "crates/distribution/src",
    min_files: 45,
    min_functions: 360,
    max_file_lines: 300,
    max_function_lines: 40,
    max_columns: 120,
};

/// The package of the failure detector, the leases and the store health among the gateways of a tier.
const CLUSTER: Bounds = Bounds {
    folder: "crates/cluster/src",
    min_files: 18,
    min_functions: 156,
    max_file_lines: 330,
    max_function_lines: 50,
    max_columns: 120,
};

/// The drivers of the distribution of events: the relay daemon, the gateway's events, and the reader of event streams.
const RELAY: Bounds =
    Bounds { folder: "gateway/src/relay", min_files: 15, min_functions: 129, ..DISTRIBUTION };
const EVENTS: Bounds =
    Bounds { folder: "gateway/src/events", min_files: 6, min_functions: 12, ..DISTRIBUTION };
const EVENT_STREAM: Bounds =
    Bounds { folder: "gateway/src/event_stream", min_files: 6, min_functions: 20, ..DISTRIBUTION };
/// The trials of the laboratory, and its capacity page.
const TRIALS: Bounds = Bounds {
    folder: "lab/src/trial",
    min_files: 77,
    min_functions: 470,
    max_file_lines: 330,
    max_function_lines: 50,
    max_columns: 120,
};
const CAPACITY_PAGE: Bounds = Bounds {
    folder: "lab/src/capacity",
    min_files: 14,
    min_functions: 62,
    max_file_lines: 300,
    max_function_lines: 40,
    ..TRIALS
};

/// The laboratory: stand-ins, hollow gateways and followers, the fault harness, the load, and the preloaded library of
/// faults with its plan.
const STAND_INS: Bounds = Bounds {
    folder: "lab/src/stand",
    min_files: 32,
    min_functions: 201,
    max_file_lines: 300,
    max_function_lines: 60,
    max_columns: 120,
};
const HOLLOW_GATEWAYS: Bounds =
    Bounds { folder: "lab/src/hollow", min_files: 7, min_functions: 33, ..STAND_INS };
const FAULT_HARNESS: Bounds =
    Bounds { folder: "lab/src/faults", min_files: 12, min_functions: 56, ..STAND_INS };
const LOAD: Bounds = Bounds { folder: "lab/src/load", min_files: 5, min_functions: 27, ..STAND_INS };
const FOLLOWERS: Bounds =
    Bounds { folder: "lab/src/followers", min_files: 2, min_functions: 16, ..STAND_INS };
const FAULT_LIBRARY: Bounds =
    Bounds { folder: "lab/preload/src", min_files: 7, min_functions: 61, ..STAND_INS };
const FAULT_PLAN: Bounds =
    Bounds { folder: "lab/fault-plan/src", min_files: 3, min_functions: 12, ..STAND_INS };
/// The folders of the laboratory.
const LABORATORY: [Bounds; 7] =
    [STAND_INS, HOLLOW_GATEWAYS, FAULT_HARNESS, LOAD, FOLLOWERS, FAULT_LIBRARY, FAULT_PLAN];

/// A source file with its path from the root of the workspace.
struct SourceFile {
    name: String,
    text: String,
}

/// A function with its first line and its number of lines.
struct Function<'a> {
    signature: &'a str,
    lines: usize,
}

/// The source files of a folder and its subfolders.
fn source_files(folder: &str) -> Vec<SourceFile> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let (mut folders, mut files) = (vec![root.join(folder)], Vec::new());
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let name = path.strip_prefix(root).expect("under the root").display().to_string();
            files.push(SourceFile { name, text: std::fs::read_to_string(path).expect("a text") });
        }
    }
    files
}

/// The functions of a text, found by rustfmt's indentation.
fn functions(text: &str) -> Vec<Function<'_>> {
    let lines: Vec<&str> = text.lines().collect();
    let is_start = |line: &str| {
        let line = line.trim_start();
        !line.starts_with("//") && (line.starts_with("fn ") || line.contains(" fn ")) && line.contains('(')
    };
    let length = |start: usize| {
        let indentation = lines[start].len() - lines[start].trim_start().len();
        let end = format!("{}}}", " ".repeat(indentation));
        lines[start..].iter().position(|line| *line == end).expect("the end of a function") + 1
    };
    let starts = (0..lines.len()).filter(|&at| is_start(lines[at]));
    starts.map(|at| Function { signature: lines[at], lines: length(at) }).collect()
}

/// Checks the files of a folder against its bounds.
fn check(bounds: &Bounds) {
    let files = source_files(bounds.folder);
    assert!(files.len() >= bounds.min_files, "{}: {} files", bounds.folder, files.len());
    let mut function_count = 0;
    for SourceFile { name, text } in &files {
        let lines = text.lines().count();
        assert!(lines <= bounds.max_file_lines, "{name}: {lines} lines");
        let wide = text.lines().find(|line| line.chars().count() > bounds.max_columns);
        assert!(wide.is_none(), "{name}: {wide:?}");
        for Function { signature, lines } in functions(text) {
            assert!(lines <= bounds.max_function_lines, "{name}: {signature}: {lines} lines");
            function_count += 1;
        }
    }
    assert!(function_count >= bounds.min_functions, "{}: {function_count} functions", bounds.folder);
}

#[test]
fn the_module_stays_short_enough_to_audit() {
    check(&DECISION_MODULE);
    let logic = include_str!("../src/logic.rs");
    assert!(logic.lines().take(3).any(|l| l.contains("src/interface.rs")));
}

/// Audits read the files that `policy` in the deploy file names: it must name every file of the decision logic except
/// those whose head says that nothing is decided there.
#[test]
fn the_policy_names_every_file_with_decisions() {
    let deploy = include_str!("../deploy/balancer.toml");
    let policy = deploy.lines().find(|line| line.starts_with("policy = ")).expect("the policy");
    for SourceFile { name, text } in source_files(DECISION_MODULE.folder) {
        if !name.starts_with("src/logic") || name.ends_with("tests.rs") {
            continue;
        }
        let head: String = text.lines().take_while(|l| l.starts_with("//!")).map(|l| &l[3..]).collect();
        let plain = head.to_lowercase().contains("nothing is decided here");
        assert_ne!(plain, policy.contains(&format!("\"{name}\"")), "{name}");
    }
}

#[test]
fn files_and_functions_of_the_core_and_the_configuration_stay_short() {
    check(&CORE);
    check(&CONFIGURATION);
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for former in ["core.rs", "config.rs"] {
        assert!(!root.join("gateway/src").join(former).exists(), "{former} is a folder");
    }
}

#[test]
fn files_functions_and_lines_of_the_drivers_and_the_event_loop_are_short() {
    [PLATFORM_FRONT, STORE_WIRE, SIGNED_FRONT, EVENT_LOOP].iter().for_each(check);
}

/// A driver that uses the event loop would create an import cycle.
#[test]
fn the_drivers_know_neither_the_event_loop_nor_the_connections() {
    for Bounds { folder, .. } in [PLATFORM_FRONT, STORE_WIRE, SIGNED_FRONT] {
        for SourceFile { name, text } in source_files(folder) {
            for module in ["crate::net", "crate::connection", "crate::sockets", "std::net::Tcp"] {
                assert!(!text.contains(module), "{name} uses {module}");
            }
        }
    }
}

#[test]
fn files_functions_and_lines_of_the_control_side_are_short() {
    check(&HIERARCHY);
    check(&MEMBERSHIP);
    check(&CONSOLE);
    check(&CLOCK);
    check(&UPGRADE);
    check(&PEERS);
    check(&ADMIN);
    check(&COMMAND_LINE);
    check(&DURABLE_FILE);
}

#[test]
fn files_functions_and_lines_of_operations_are_short() {
    check(&OPERATIONS);
}

/// The source files of a folder, except test files.
fn sources_without_tests(folder: &str) -> Vec<SourceFile> {
    source_files(folder).into_iter().filter(|file| !file.name.ends_with("tests.rs")).collect()
}

/// Checks that a source file begins with its documentation and holds no tests.
fn check_head(SourceFile { name, text }: &SourceFile) {
    assert!(text.starts_with("//! "), "{name} begins with its documentation");
    assert!(!text.contains("#[test]"), "{name}: tests live in test files");
}

#[test]
fn files_functions_and_lines_of_the_endpoints_are_short() {
    check(&ENDPOINTS);
}

#[test]
fn each_module_of_the_endpoints_says_what_it_is_for_and_has_no_tests_inside() {
    source_files(ENDPOINTS.folder).iter().for_each(check_head);
}

#[test]
fn files_functions_and_lines_of_the_cluster_are_short() {
    check(&CLUSTER);
}

#[test]
fn each_module_of_the_cluster_says_what_it_is_for_and_has_no_tests_inside() {
    sources_without_tests(CLUSTER.folder).iter().for_each(check_head);
}

#[test]
fn files_functions_and_lines_of_the_events_distribution_are_short() {
    check(&DISTRIBUTION);
    check(&RELAY);
    check(&EVENTS);
    check(&EVENT_STREAM);
}

#[test]
fn each_module_of_the_events_distribution_says_what_it_is_for_and_has_no_tests_inside() {
    source_files(DISTRIBUTION.folder).iter().for_each(check_head);
}

#[test]
fn files_functions_and_lines_of_the_trials_and_the_capacity_page_are_short() {
    check(&TRIALS);
    check(&CAPACITY_PAGE);
    let files =
        [TRIALS, CAPACITY_PAGE].iter().flat_map(|bounds| source_files(bounds.folder)).collect::<Vec<_>>();
    for SourceFile { name, text } in files {
        assert!(text.starts_with("//! "), "{name} begins with its documentation");
        assert!(!text.contains("too_many_lines"), "{name}: no function may be exempt from the bound");
    }
}

#[test]
fn files_functions_and_lines_of_the_laboratory_are_short() {
    LABORATORY.iter().for_each(check);
}

#[test]
fn each_module_of_the_laboratory_says_what_it_is_for_and_has_no_tests_inside() {
    for folder in LABORATORY.iter().map(|bounds| bounds.folder) {
        sources_without_tests(folder).iter().for_each(check_head);
    }
}
