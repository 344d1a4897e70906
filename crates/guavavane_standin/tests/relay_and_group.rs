//! Partitions through the relay, signals of the process group, and addresses of the pools.

#![allow(clippy::unwrap_used)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

use guavavane_standin::prelude::AddressPool;
use guavavane_standin::prelude::ProcessGroup;
use guavavane_standin::prelude::ProcessPlan;
use guavavane_standin::prelude::RelayMode;
use guavavane_standin::prelude::TcpRelay;

/// Timeout for an event that must happen.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which nothing may arrive through a dropped connection.
const SILENCE: Duration = Duration::from_millis(200);

/// Starts a server that echoes all bytes and returns its address.
fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            std::thread::spawn(move || {
                let mut reader = stream.try_clone().unwrap();
                let _ = std::io::copy(&mut reader, &mut stream);
            });
        }
    });
    address
}

#[test]
fn dropped_bytes_arrive_after_the_partition_heals() {
    let relay = TcpRelay::start("127.0.0.1:0".parse().unwrap(), start_echo_server()).unwrap();
    let mut stream = TcpStream::connect(relay.address()).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut echo = [0; 4];
    stream.write_all(b"slip").unwrap();
    stream.read_exact(&mut echo).unwrap();
    for mode in [RelayMode::Drop, RelayMode::DropForward, RelayMode::DropBack] {
        relay.set_mode(mode);
        stream.write_all(b"late").unwrap();
        stream.set_read_timeout(Some(SILENCE)).unwrap();
        assert!(stream.read_exact(&mut echo).is_err(), "{mode:?}");
        relay.set_mode(RelayMode::Pass);
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.read_exact(&mut echo).unwrap();
        assert_eq!(&echo, b"late");
    }
    relay.set_mode(RelayMode::Close);
    assert_eq!(stream.read(&mut echo).unwrap(), 0);
}

#[test]
fn group_freezes_terminates_kills_and_restarts_single_processes() {
    let mut group = ProcessGroup::new("signals", Path::new("/bin")).unwrap();
    for name in ["first", "second"] {
        group
            .spawn(ProcessPlan::new(name, "sleep").argument(60))
            .unwrap();
    }
    group.freeze("first").unwrap();
    group.send_sigterm("first").unwrap();
    assert!(group.is_running("first"));
    group.thaw("first").unwrap();
    group.wait_for_exit("first", TIMEOUT).unwrap();
    group.kill("second").unwrap();
    assert!(!group.is_running("second"));
    group.restart("second").unwrap();
    assert!(group.is_running("second"));
}

#[test]
fn pools_use_different_addresses() {
    let mut first = AddressPool::new();
    let mut second = AddressPool::new();
    assert_ne!(first.ip(), second.ip());
    assert_ne!(first.take().unwrap(), first.take().unwrap());
    TcpListener::bind(second.take().unwrap()).unwrap();
}

#[test]
fn cut_of_one_process_leaves_other_processes_connected() {
    let relay = TcpRelay::start("127.0.0.1:0".parse().unwrap(), start_echo_server()).unwrap();
    let mut stream = TcpStream::connect(relay.address()).unwrap();
    let mut echo = [0; 4];
    for (process, is_cut) in [
        (None, false),
        (Some(std::process::id()), true),
        (Some(1), false),
    ] {
        relay.cut_process(process);
        stream.write_all(b"slip").unwrap();
        let read_timeout = if is_cut { SILENCE } else { TIMEOUT };
        stream.set_read_timeout(Some(read_timeout)).unwrap();
        assert_eq!(stream.read_exact(&mut echo).is_err(), is_cut);
        if is_cut {
            relay.cut_process(None);
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            stream.read_exact(&mut echo).unwrap();
        }
    }
}
