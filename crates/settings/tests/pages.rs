//! Tests of the example files and of the generated documentation page.

use berylmount_settings::{settings_table, ProcessSettings};
use std::{fs, path::PathBuf};

const TABLE_MARKER: &str = "<!-- table -->\n";

fn repository(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path)
}

#[test]
fn examples_parse_and_name_every_required_key() {
    for name in ["authority", "association"] {
        let path = repository(&format!("examples/{name}.json"));
        let text = fs::read_to_string(path).unwrap();
        let settings = ProcessSettings::parse(&text).unwrap();
        assert_eq!(settings.entry.max_header, 16 << 10);
        for line in settings_table().lines().skip(2) {
            let key = line.split('`').nth(1).unwrap();
            let last = key.rsplit('.').next().unwrap();
            let optional = ["callers_advertised", "peer_advertised"].contains(&last);
            assert!(
                optional || text.contains(&format!("\"{last}\"")),
                "{name} lacks {key}"
            );
        }
    }
}

#[test]
fn page_agrees_with_the_reader() {
    let path = repository("docs/SETTINGS.md");
    let page = fs::read_to_string(&path).unwrap();
    let (head, table) = page.split_once(TABLE_MARKER).unwrap();
    if std::env::var_os("BLESS").is_some() {
        fs::write(&path, format!("{head}{TABLE_MARKER}{}", settings_table())).unwrap();
    } else {
        assert_eq!(
            table,
            settings_table(),
            "run BLESS=1 cargo test -p berylmount-settings"
        );
    }
}
