//! Settings of a VM.

use ebonystand::{Error, Settings, SettingsFault};

const SOUND: &str = r#"{
    "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
    "operator_credential_file": "operator", "region": "utara", "secret_file": "secret",
    "vm": "utara-1", "zone": "utara-a"
}"#;

fn faults(text: &str) -> Vec<String> {
    match Settings::parse(text) {
        Ok(_) => Vec::new(),
        Err(Error::SettingsFaults { faults }) => {
            faults.iter().map(SettingsFault::to_string).collect()
        }
        Err(error) => vec![error.to_string()],
    }
}

#[test]
fn sound_settings_have_no_fault() {
    assert!(faults(SOUND).is_empty());
}

/// An operator has made several mistakes in one file. All are reported at once, each with its
/// path; else each start would show one more.
#[test]
fn every_fault_is_reported_with_its_path() {
    let text = SOUND
        .replace("\"vm\": \"utara-1\", ", "\"color\": 1, ")
        .replace(
            "\"peers\": \"127.0.0.1:0\"",
            "\"peers\": \"here\", \"tls\": true",
        )
        .replace("\"region\"", "\"limits\": {\"requests\": 0}, \"region\"");
    let faults = faults(&text);
    for wanted in [
        "color: no such setting",
        "limits.requests: must be between 1 and 1048576",
        "listen.peers: ",
        "listen.tls: no such setting",
        "vm: is missing",
    ] {
        assert!(
            faults.iter().any(|fault| fault.starts_with(wanted)),
            "{wanted}: {faults:?}"
        );
    }
    assert_eq!(faults.len(), 5, "{faults:?}");
}

#[test]
fn a_text_that_is_no_json_is_one_fault_among_those_of_what_it_lacks() {
    assert!(
        faults("{")
            .iter()
            .any(|fault| fault.starts_with("not JSON: "))
    );
}

/// The platform gives the share of a processor and the number of processors apart, and fractions of
/// an Mbit/s.
#[test]
fn resources_of_the_machine_set_the_capacity() {
    let resources = |text: &str| {
        let text = SOUND.replace("\"region\"", &format!("\"resources\": {text}, \"region\""));
        Settings::parse(&text).map(|settings| settings.resources)
    };
    let small = r#"{"cores": 2, "processor_share": 0.09, "memory_mb": 120, "link_mbps": 7.5}"#;
    let small = resources(small).expect("sound settings");
    assert_eq!(small.capacity.permille(), 75);
    assert_eq!(small.memory_bytes, Some(120_000_000));
    assert_eq!(small.millicores, Some(180));
    let unknown = resources("{}").expect("sound settings");
    assert_eq!(unknown.capacity.permille(), 1_000);
    let text = SOUND.replace(
        "\"region\"",
        r#""resources": {"memory_mb": 0, "link_mbps": -1.0}, "region""#,
    );
    assert_eq!(
        faults(&text),
        [
            "resources.link_mbps: must be above 0",
            "resources.memory_mb: must be above 0"
        ]
    );
}
