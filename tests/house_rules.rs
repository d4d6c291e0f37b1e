//! Checks the rules of the house style that rustfmt and clippy can't express.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// The maximum number of lines of a source file.
const MAX_LINES: usize = 400;

/// Guards against imports with braces or outside their group, unsorted derives, tests outside of
/// test folders, and files that are too long.
#[test]
fn sources_follow_house_rules() {
    let mut files = Vec::new();
    for folder in ["src", "crates", "platform", "tests"] {
        collect_sources(
            &Path::new(env!("CARGO_MANIFEST_DIR")).join(folder),
            &mut files,
        );
    }
    assert!(files.len() > 10, "found only {} source files", files.len());
    let mut findings = Vec::new();
    for file in &files {
        let text = fs::read_to_string(file).expect("source files are readable");
        check_source(file, &text, &mut findings);
    }
    assert!(findings.is_empty(), "{}", findings.join("\n"));
}

/// Names of the platform's protocol that have no other meaning, in lower case.
const PLATFORM_NAMES: [&str; 23] = [
    "x-deadline-ms",
    "x-token-counts",
    "x-prefix-hash",
    "x-length-hint",
    "x-expect-instance",
    "x-expect-version",
    "x-tenant",
    "x-request-priority",
    "x-hop-count",
    "x-not-executed",
    "x-response-signature",
    "x-weight-versions",
    "at-server",
    "server-leaving",
    "rows-get",
    "rows-feed",
    "rows-tx",
    "apikeys",
    "kvtokenbytes",
    "gapaimms",
    "readx",
    "dandelionroad_boot",
    "revokewhenpartitioned",
];

/// Guards against names of the platform's protocol outside the folder `platform`, which alone
/// translates between them and the names of the product.
#[test]
fn product_without_platform_names() {
    let mut files = Vec::new();
    for folder in ["src", "crates"] {
        collect_sources(
            &Path::new(env!("CARGO_MANIFEST_DIR")).join(folder),
            &mut files,
        );
    }
    let mut findings = Vec::new();
    for file in &files {
        let text = fs::read_to_string(file).expect("source files are readable");
        let text = text.to_ascii_lowercase();
        for name in PLATFORM_NAMES {
            if text.contains(name) {
                findings.push(format!(
                    "{} contains the platform name {name}; use the name of the product",
                    file.display()
                ));
            }
        }
    }
    assert!(findings.is_empty(), "{}", findings.join("\n"));
}

fn collect_sources(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("source folders are readable") {
        let path = entry.expect("folder entries are readable").path();
        if path.is_dir() {
            collect_sources(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

fn check_source(file: &Path, text: &str, findings: &mut Vec<String>) {
    let mut report = |line: usize, fault: &str| {
        findings.push(format!("{}:{line}: {fault}", file.display()));
    };
    let is_test = file.components().any(|part| part.as_os_str() == "tests");
    if text.lines().count() > MAX_LINES {
        report(MAX_LINES, "file is too long; split it by concern");
    }
    let mut last_import: Option<(usize, u8)> = None;
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        if let Some(target) = line.strip_prefix("use ") {
            if target.contains('{') {
                report(number, "import one item a line");
            }
            let group = import_group(target);
            if let Some((last, last_group)) = last_import {
                if last + 1 == number && last_group != group {
                    report(number, "separate import groups by a blank line");
                }
                if last + 2 >= number && group < last_group {
                    report(number, "order import groups as std, external, own");
                }
            }
            last_import = Some((number, group));
        }
        if let Some(names) = line.trim().strip_prefix("#[derive(")
            && !is_sorted_derive(names)
        {
            report(number, "sort derives alphabetically");
        }
        if !is_test && (line.contains("#[cfg(test)]") || line.trim().starts_with("#[test]")) {
            report(number, "move tests into a tests folder");
        }
    }
}

fn import_group(target: &str) -> u8 {
    let head = target.split([':', ';', ' ']).next().unwrap_or_default();
    match head {
        "std" | "core" | "alloc" => 0,
        "crate" | "super" | "self" => 2,
        _ => 1,
    }
}

fn is_sorted_derive(names: &str) -> bool {
    let names = names.trim_end_matches(")]").split(',');
    let last_segments = names.map(|name| name.trim().rsplit("::").next().unwrap_or_default());
    last_segments.filter(|name| !name.is_empty()).is_sorted()
}
