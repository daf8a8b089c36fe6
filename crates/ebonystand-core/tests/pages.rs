//! The pages name what the code has.

use {
    ebonystand_core::{Document, Key, KeyHash, OperatorError},
    serde_json::Value,
    std::{collections::BTreeSet, fs, path::Path},
};

const API: &str = include_str!("../../../docs/API.md");
const CONFIGURATION: &str = include_str!("../../../docs/CONFIGURATION.md");
const EXAMPLE: &str = include_str!("../../../examples/seremban-jaya.json");
const PROOFS: &str = include_str!("../../../docs/PROOFS.md");
const REFUSAL_CODES: &str = include_str!("../src/refusal_code.rs");

/// Paths of all leaves, with `NAME`, `PRESET`, `REGION` and `[]` in place of what operators choose.
fn paths(path: &str, value: &Value, found: &mut BTreeSet<String>) {
    let chosen = match path {
        "keys" | "regions" | "services" | "upstreams" | "workspaces" => Some("NAME"),
        "presets" => Some("PRESET"),
        "regions.NAME.links" => Some("REGION"),
        _ => None,
    };
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let name = chosen.unwrap_or(name);
                let dot = if path.is_empty() { "" } else { "." };
                paths(&format!("{path}{dot}{name}"), value, found);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for item in items {
                paths(&format!("{path}[]"), item, found);
            }
        }
        _ => drop(found.insert(path.to_owned())),
    }
}

#[test]
fn the_configuration_page_names_each_field_of_the_document() {
    let mut document: Document = serde_json::from_str(EXAMPLE).expect("a document");
    let key = Key {
        hash: KeyHash::from_secret("s"),
        withdrawn: false,
        workspace: "w".into(),
    };
    document.keys.insert("k".into(), key);
    let value = serde_json::to_value(&document).expect("JSON");
    let mut found = BTreeSet::new();
    paths("", &value, &mut found);
    assert!(found.len() > 30, "{found:?}");
    let absent: Vec<_> = found
        .iter()
        .filter(|path| !CONFIGURATION.contains(&format!("| `{path}` |")))
        .collect();
    assert!(absent.is_empty(), "{absent:?}");
}

#[test]
fn the_api_page_names_each_refusal_code() {
    let codes: Vec<_> = REFUSAL_CODES
        .lines()
        .filter_map(|line| line.trim().strip_prefix("#[display(\"")?.split('"').next())
        .collect();
    assert!(codes.len() >= 19, "{codes:?}");
    for code in codes {
        assert!(API.contains(&format!("| `{code}` |")), "{code}");
    }
}

#[test]
fn the_api_page_names_each_error_of_the_operators_interface() {
    let errors = [
        OperatorError::BadBody { reason: "r".into() },
        OperatorError::NoLeader {
            may_have_been_applied: true,
        },
        OperatorError::Unauthorized,
        OperatorError::UnknownKey { key: "k".into() },
        OperatorError::UnknownPath,
    ];
    for error in errors {
        let json = serde_json::to_value(&error).expect("JSON");
        let row = format!(
            "| `{}` | {} |",
            json["error"].as_str().expect("a name"),
            error.status()
        );
        assert!(API.contains(&row), "{row}");
    }
}

#[test]
fn each_test_that_the_proofs_name_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let named = PROOFS
        .split('`')
        .filter_map(|text| text.split_once(".rs::"));
    let named = named.collect::<BTreeSet<_>>();
    assert!(named.len() > 30, "{named:?}");
    for (file, test) in named {
        let path = match file.split_once('/') {
            Some(("core", rest)) => format!("crates/ebonystand-core/tests/{rest}.rs"),
            Some(("daemon", rest)) => format!("crates/ebonystand/tests/integration/{rest}.rs"),
            _ => format!("{file}.rs"),
        };
        let text = fs::read_to_string(root.join(&path)).expect(&path);
        assert!(text.contains(&format!("fn {test}(")), "{path}: {test}");
    }
}

#[test]
fn the_configuration_page_names_each_setting_of_a_vm() {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("../ebonystand/src");
    for (file, section) in [
        ("gateway/settings", "gateway."),
        ("group_settings", "group."),
        ("limits", "limits."),
        ("listen", "listen."),
        ("log_settings", "log."),
        ("settings", ""),
    ] {
        let code = fs::read_to_string(src.join(file).with_extension("rs")).expect(file);
        let calls = code.split("reader.").skip(1);
        let names = calls.filter(|call| !call.starts_with("section"));
        let names = names.filter_map(|call| call.split_once("(\"")?.1.split('"').next());
        for name in names {
            assert!(
                CONFIGURATION.contains(&format!("`{section}{name}`")),
                "{section}{name}"
            );
        }
    }
}
