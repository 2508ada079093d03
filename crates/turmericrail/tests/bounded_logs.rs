//! Guards against a log that grows without limit, that one frequent event fills, or that blocks
//! calls when its reader stops. Lines beyond the limits are dropped instead.

mod forward_support;

use std::io::Write;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use forward_support::ForwardInstance;
use turmericrail::bounded_log::BoundedLog;

/// Capacity of a pipe, beyond which writes block.
const PIPE_CAPACITY_BYTES: usize = 64 * 1024;

#[test]
fn frequent_event() {
    let mut log = BoundedLog::default();
    for number in 0..1_000 {
        log.write_all(format!("event=often number={number}\n").as_bytes()).unwrap();
    }
    log.write_all(b"event=seldom\n").unwrap();
    std::thread::sleep(Duration::from_millis(1_050));
    let text = String::from_utf8(log.take_pending()).unwrap();
    assert_eq!(text.matches("event=often").count(), 200);
    assert!(text.contains("event=seldom"));
    assert!(text.contains("event=log_left_out of=often lines=800"), "{text}");
}

#[test]
fn full_buffer() {
    let mut log = BoundedLog::default();
    let padding = "x".repeat(100_000);
    for number in 0..10 {
        log.write_all(format!("event=e{number} text={padding}\n").as_bytes()).unwrap();
    }
    assert!(log.take_pending().len() <= 512 * 1024);
}

#[test]
fn full_pipe() {
    // Nothing reads the log and its pipe is full from the start; calls must still be answered.
    let instance = ForwardInstance::start("stuffed");
    let settings = std::fs::read_to_string(&instance.settings_path).unwrap();
    let new_settings = settings.lines().map(|line| match line.split_once(": ") {
        Some((key, _)) if key.ends_with("_address") && key != "store_address" => {
            format!("{key}: {}\n", turmericrail_fakes::ports::free_address().unwrap())
        }
        Some((key @ "handover_port", _)) => {
            format!("{key}: {}\n", turmericrail_fakes::ports::free_address().unwrap().port())
        }
        _ => format!("{line}\n"),
    });
    let new_settings: String = new_settings.collect();
    let path = instance.settings_path.with_file_name("stuffed.yaml");
    std::fs::write(&path, &new_settings).unwrap();
    let address = |key: &str| {
        let line = new_settings.lines().find_map(|line| line.strip_prefix(key)).unwrap();
        line.parse::<std::net::SocketAddr>().unwrap()
    };
    let (_reader, mut writer) = std::io::pipe().unwrap();
    writer.write_all(&[b'x'; PIPE_CAPACITY_BYTES]).unwrap();
    let mut process = Command::new(env!("CARGO_BIN_EXE_turmericrail"))
        .arg("--forward")
        .arg(&path)
        .stdout(Stdio::from(writer))
        .spawn()
        .unwrap();
    let ready_address = address("ready_address: ");
    forward_support::wait_for("readiness", || {
        instance.get_page(ready_address, "/ready").is_some_and(|reply| reply.status() == 200)
    });
    let caller_address = address("caller_address: ");
    let started = Instant::now();
    for _ in 0..1_500 {
        // Without a server each call is refused at once and logged.
        assert!(instance.get_page(caller_address, "/read/x").is_some());
    }
    let elapsed = started.elapsed();
    process.kill().unwrap();
    process.wait().unwrap();
    assert!(elapsed < Duration::from_secs(15), "{elapsed:?}");
}
