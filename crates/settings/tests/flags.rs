//! Guards against settings that are ignored without an error or read from the wrong source, and
//! against errors that name one fault at a time.

use argh::FromArgs;
use dandelionroad_settings::EndpointFlags;
use dandelionroad_settings::EngineKind;
use dandelionroad_settings::EntryFlags;
use dandelionroad_settings::LogFormat;
use dandelionroad_settings::SettingFault;

const VARIABLES: &[(&str, &str)] = &[
    ("DANDELIONROAD_NAME", "entry-1"),
    ("DANDELIONROAD_ZONE", "talca"),
    ("DANDELIONROAD_TABLE_URL", "http://127.0.0.1:8100/"),
    ("DANDELIONROAD_OBJECT_URL", "http://127.0.0.1:8100"),
    ("DANDELIONROAD_HOSTS_URL", "http://127.0.0.1:8100"),
    ("DANDELIONROAD_ADMIN_TOKEN", "secret"),
    ("DANDELIONROAD_LOG_FORMAT", "json"),
    ("DANDELIONROAD_SEEDS", ""),
];

fn variable(name: &str) -> Option<String> {
    let found = VARIABLES.iter().find(|(known, _)| *known == name);
    found.map(|(_, value)| (*value).to_owned())
}

#[test]
fn entry_flags_take_precedence_over_variables_and_defaults() {
    let args = ["--zone", "curico", "--drain-notice-ms", "50"];
    let flags = EntryFlags::from_args(&["entry"], &args).unwrap();
    let settings = flags.read(&variable).unwrap();
    assert_eq!(settings.zone, "curico");
    assert_eq!(settings.drain_notice_ms, 50);
    assert_eq!(settings.cluster, "dandelionroad");
    assert_eq!(settings.name, "entry-1");
    assert_eq!(settings.host, "entry-1");
    assert_eq!(settings.table_url, "http://127.0.0.1:8100");
    assert_eq!(settings.log_format, LogFormat::Json);
    assert_eq!(settings.admin_token, "secret");
    assert_eq!(settings.step_deadline_ms, 500);
    assert_eq!(settings.public_listen.port(), 8_080);
    assert!(settings.seeds.is_empty());
}

#[test]
fn entry_flags_report_all_faults_at_once() {
    let args = [
        "--name",
        "Entry 1",
        "--table-url",
        "127.0.0.1:8100",
        "--log-level",
        "loud",
    ];
    let flags = EntryFlags::from_args(&["entry"], &args).unwrap();
    let error = flags.read(&|_| None).unwrap_err();
    let missing = |fault: &&SettingFault| matches!(fault, SettingFault::Missing { .. });
    assert_eq!(error.faults.iter().filter(missing).count(), 3);
    assert_eq!(error.faults.len(), 7);
    let text = error.to_string();
    for part in [
        "--name (DANDELIONROAD_NAME) is \"Entry 1\"; set it to a name",
        "--zone (DANDELIONROAD_ZONE) is missing",
        "--log-level (DANDELIONROAD_LOG_LEVEL) is \"loud\"; set it to debug, info",
        "the environment variable DANDELIONROAD_ADMIN_TOKEN is missing",
    ] {
        assert!(text.contains(part), "{part:?} is not in {text}");
    }
}

#[test]
fn endpoint_flags_check_engine_kind_address_and_numbers() {
    let read = |args: &[&str]| {
        let flags = EndpointFlags::from_args(&["endpoint"], args).unwrap();
        flags.read(&variable)
    };
    let engine = [
        "--engine-url",
        "http://127.0.0.1:9",
        "--engine-kind",
        "whole-model",
    ];
    let settings = read(&engine).unwrap();
    assert_eq!(settings.engine_kind, EngineKind::WholeModel);
    for (flag, value) in [
        ("--cluster", "North 1"),
        ("--internal-listen", "0.0.0.0:7401"),
        ("--concurrency", "0"),
        ("--queue-units", "many"),
        ("--seeds", "127.0.0.1:1,localhost"),
    ] {
        let error = read(&[engine[0], engine[1], engine[2], engine[3], flag, value]).unwrap_err();
        assert_eq!(error.faults.len(), 1, "{error}");
        assert!(error.to_string().contains(value), "{error}");
    }
    assert_eq!(
        read(&["--engine-kind", "toaster"])
            .unwrap_err()
            .faults
            .len(),
        2
    );
}

#[test]
fn entry_help_names_every_flag_and_its_variable_rule() {
    let help = EntryFlags::from_args(&["dandelionroad", "entry"], &["--help"]).unwrap_err();
    assert!(help.status.is_ok());
    for part in [
        "--drain-notice-ms",
        "DANDELIONROAD_TABLE_URL",
        "DANDELIONROAD_ADMIN_TOKEN",
    ] {
        assert!(
            help.output.contains(part),
            "{part:?} is not in {}",
            help.output
        );
    }
}
