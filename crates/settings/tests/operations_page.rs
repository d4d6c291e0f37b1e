//! Guards against settings that `docs/OPERATIONS.md` does not list, or lists with another default,
//! because a flag changes and the page does not.

use argh::FromArgs;
use dandelionroad_settings::EndpointFlags;
use dandelionroad_settings::EntryFlags;

#[test]
fn operations_page_lists_every_flag_with_its_default() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(path).unwrap();
    let entry = EntryFlags::from_args(&["entry"], &["--help"])
        .unwrap_err()
        .output;
    let endpoint = EndpointFlags::from_args(&["endpoint"], &["--help"])
        .unwrap_err()
        .output;
    let mut count = 0;
    for help in [entry, endpoint] {
        let start = help.find("Options:").unwrap();
        let end = help.find("--help, help").unwrap();
        for option in help[start..end].split("\n  --").skip(1) {
            let words: Vec<&str> = option.split_whitespace().collect();
            let row = format!("| `--{}` |", words[0]);
            let row = page.lines().find(|line| line.starts_with(&row));
            let row = row.unwrap_or_else(|| panic!("--{} is not on the page", words[0]));
            if let Some(index) = words.iter().position(|word| *word == "default:") {
                let default = words[index + 1];
                let is_listed = default == "the" || row.contains(default);
                assert!(is_listed, "{default} is not in {row}");
            }
            count += 1;
        }
    }
    assert!(count > 30, "found only {count} flags");
}
