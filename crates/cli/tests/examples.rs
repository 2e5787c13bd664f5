//! The example deployments: imported by the operators' tool, accepted completely, and exported.
//!
//! Guards against examples that no longer match the schema, exports that lose a field, and imports
//! that write part of a bad file.

use std::path::Path;
use std::process::Command;
use std::process::Output;

use hooktrestle_core::rows::ROW_ERRORS;
use hooktrestle_embedded::Fleet;
use hooktrestled::acceptor::Accepted;
use hooktrestled::acceptor::Acceptor;
use hooktrestled::config_sync::read_head;
use hooktrestled::config_sync::read_snapshot;

fn tool(fleet: &Fleet, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hooktrestle"));
    command.args(["--platform", &fleet.fake.url()]).args(arguments).output().unwrap()
}

fn example(name: &str) -> String {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name).display().to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn both_example_deployments_are_accepted_and_survive_export_and_import() {
    for name in ["kivuko", "kettle-pond"] {
        let fleet = Fleet::start().await.unwrap();
        let imported = tool(&fleet, &["import", &example(&format!("{name}/rows.csv"))]);
        assert!(imported.status.success(), "{}", String::from_utf8_lossy(&imported.stderr));
        let accepted = Acceptor::new(fleet.platform.clone()).accept().await.unwrap();
        assert_eq!(accepted, Accepted::Version(1));
        assert!(fleet.platform.rows(ROW_ERRORS, 0).await.unwrap().rows.is_empty());
        let (head, _) = read_head(&fleet.platform).await.unwrap().unwrap();
        let snapshot = read_snapshot(&fleet.platform, &head).await.unwrap();
        assert_eq!(snapshot.backend_servers.len(), 19);
        assert_eq!(snapshot.data_centres.len(), 3);
        assert_eq!(snapshot.accounts.len(), 10);

        let exported = tool(&fleet, &["export"]);
        let file = std::env::temp_dir().join(format!("{}-{name}.csv", std::process::id()));
        std::fs::write(&file, &exported.stdout).unwrap();
        let reimported = tool(&fleet, &["import", &file.display().to_string()]);
        std::fs::remove_file(&file).unwrap();
        assert!(reimported.status.success(), "{}", String::from_utf8_lossy(&reimported.stderr));
        let accepted = Acceptor::new(fleet.platform.clone()).accept().await.unwrap();
        assert_eq!(accepted, Accepted::Nothing, "an export holds just what was imported");
    }
}

#[test]
fn filled_in_settings_templates_are_valid() {
    for template in ["gateway.ini", "sidecar.ini"] {
        let text = std::fs::read_to_string(example(template)).unwrap();
        let filled = text
            .replace("@NAME@", "entry-1")
            .replace("@DATA_CENTRE@", "dar-1")
            .replace("@PORT@", "7101")
            .replace("@BACKEND_PORT@", "8001");
        hooktrestled::settings::parse(template, &filled).unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_rows_are_refused_with_line_field_and_range_and_not_written() {
    let fleet = Fleet::start().await.unwrap();
    let file = std::env::temp_dir().join(format!("{}-bad.csv", std::process::id()));
    std::fs::write(&file, "row,kind,deadline_ms\nservice:a,model,5\nservice:b,model,0\n").unwrap();
    let refused = tool(&fleet, &["import", &file.display().to_string()]);
    std::fs::remove_file(&file).unwrap();
    let message = String::from_utf8_lossy(&refused.stderr);
    assert_eq!(refused.status.code(), Some(1), "{message}");
    assert!(
        message.contains("bad.csv:3: service:b: deadline_ms: 0 given; it must be"),
        "{message}"
    );
    assert!(fleet.platform.rows("rows", 0).await.unwrap().rows.is_empty());

    let misspelt = tool(&fleet, &["set", "service:a", "kind=model", "deadline=5"]);
    let message = String::from_utf8_lossy(&misspelt.stderr);
    assert!(message.contains("has no field `deadline`; did you mean `deadline_ms`?"), "{message}");
    let unknown = tool(&fleet, &["get", "thing:a"]);
    assert!(
        String::from_utf8_lossy(&unknown.stderr).contains("with a kind of data_centre, service")
    );
}
