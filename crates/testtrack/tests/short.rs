//! A short form of the scale run: tens of hollow nodes and three core nodes in one process, counters only; and what the
//! run and the table say of wrong input.

use assert_matches::assert_matches;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use testtrack::error::TrackError;
use testtrack::{hollow, layout, measure, run, table};
use trackbed::config::{Command, LocalConfig};

const CORES: usize = 3;
const NODES: usize = 24;
const LIMIT: Duration = Duration::from_secs(40);

fn folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("testtrack-short-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn tens_of_hollow_nodes_come_into_step_and_say_little() {
    let (folder, run) = (folder(), std::process::id());
    for index in 0..CORES {
        let data = folder.join(format!("data-{index}"));
        std::fs::create_dir_all(&data).unwrap();
        let path = folder.join(format!("core-{index}.json"));
        std::fs::write(&path, layout::core_settings(run, CORES, index, &data.display().to_string())).unwrap();
        // Each core node on a thread and a loop of its own; it ends with the test's process.
        std::thread::spawn(move || {
            let config = LocalConfig::read(&path).unwrap();
            signalbox::node::run(Command { path, level: log::LevelFilter::Warn, config }).is_ok()
        });
    }
    for index in 0..NODES {
        let text = layout::node_settings(run, CORES, index, index);
        std::fs::write(hollow::settings_path(&folder, 0, index), text).unwrap();
    }
    std::thread::spawn(move || {
        let body = layout::configuration(1, NODES, 4.0);
        let begun = Instant::now();
        let put = |index: usize| {
            measure::http(layout::control_plane(run, index), "PUT", "/v1/configuration", Some("0"), &body)
        };
        for index in (0..CORES).cycle() {
            if put(index).is_some_and(|(status, _)| status == 200) || begun.elapsed() > LIMIT {
                return;
            }
            std::thread::yield_now();
        }
    });
    let mut told = String::new();
    let begun = Instant::now();
    trackbed::kernel::run(async {
        let nodes = hollow::start(&folder, 0);
        assert_eq!(nodes.len(), NODES);
        loop {
            told = hollow::standing(&nodes);
            let field = |name: &str| measure::number(&told, name).unwrap();
            let in_step = field("assured") == NODES as f64
                && field("configuration") == 1.0
                && field("endpoints") == NODES as f64
                && field("peers") == (NODES + CORES - 1) as f64;
            if in_step || begun.elapsed() > LIMIT {
                assert!(in_step, "not in step after {LIMIT:?}: {told}");
                return;
            }
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    })
    .unwrap();
    let spent = begun.elapsed().as_secs_f64().max(1.0);
    let each = |name: &str| measure::number(&told, name).unwrap() / NODES as f64;
    // What meeting takes, and what each second after it does.
    let within = |name: &str, to_meet: f64, a_second: f64| {
        assert!(each(name) < to_meet + a_second * spent, "{name}: {told} in {spent} s");
    };
    within("datagrams", 150.0, 10.0);
    within("datagram_bytes", 40_000.0, 4_000.0);
    within("calls", 80.0, 10.0);
    within("call_bytes", 8_000.0, 2_000.0);
    std::fs::remove_dir_all(&folder).unwrap();
}

fn plan(sizes: Option<&str>, cores: Option<&str>, out: Option<&str>) -> Result<run::Plan, TrackError> {
    run::Plan::read(sizes, cores, Some(PathBuf::from("/no/such/folder")), out.map(PathBuf::from))
}

#[test]
fn what_a_run_lacks_is_told_before_anything_starts() {
    assert_matches!(plan(Some("10,20,40"), None, Some("x")), Err(TrackError::Option { option: "sizes", .. }));
    assert_matches!(plan(Some("10,20,40,70"), None, Some("x")), Err(TrackError::Option { option: "sizes", .. }));
    assert_matches!(plan(Some("ten"), None, Some("x")), Err(TrackError::Option { option: "sizes", .. }));
    assert_matches!(plan(None, Some("2"), Some("x")), Err(TrackError::Option { option: "cores", .. }));
    assert_matches!(plan(None, None, None), Err(TrackError::Option { option: "out", .. }));
    let good = plan(None, None, Some("x")).unwrap();
    assert_matches!(run::check(&good), Err(TrackError::NoProgram { .. }));
    let remedy = TrackError::Descriptors { wanted: 9, there: 1 }.to_string();
    assert!(remedy.contains("ulimit -n") && remedy.contains("--sizes"));
}

#[test]
fn the_line_is_found_and_foreign_files_are_told_apart() {
    let (constant, slope) = table::fit(&[(10.0, 25.0), (20.0, 45.0), (40.0, 85.0)]);
    assert!((constant - 5.0).abs() < 1e-9 && (slope - 2.0).abs() < 1e-9);
    assert_matches!(table::of_files(&["/no/such/file"]), Err(TrackError::Unreadable { .. }));
    let path = std::env::temp_dir().join(format!("testtrack-foreign-{}", std::process::id()));
    std::fs::write(&path, "{\"size\":10}\n").unwrap();
    let name = path.display().to_string();
    assert_matches!(table::of_files(&[&name]), Err(TrackError::Unreadable { .. }));
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn the_page_says_what_the_recorded_runs_say() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/CAPACITY.md")).unwrap();
    let runs = ["run-1.jsonl", "run-2.jsonl"].map(|name| root.join("docs/capacity").join(name).display().to_string());
    let table = table::of_files(&[&runs[0], &runs[1]]).unwrap();
    let (_, rest) = page.split_once("<!-- table -->\n").unwrap();
    let (shown, _) = rest.split_once("\n<!-- end of the table -->").unwrap();
    assert_eq!(shown.trim(), table.trim(), "make the table anew with testtrack table");
}
