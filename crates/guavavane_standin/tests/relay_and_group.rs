//! The relay's silent cuts, and the signals of a process group.

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

const LIMIT: Duration = Duration::from_secs(20);
const SILENCE: Duration = Duration::from_millis(200);

/// A server that sends back what it gets.
fn echo_server() -> SocketAddr {
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
fn a_cut_is_silent_and_what_was_sent_arrives_once_it_heals() {
    let relay = TcpRelay::start("127.0.0.1:0".parse().unwrap(), echo_server()).unwrap();
    let mut stream = TcpStream::connect(relay.address()).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    let mut echo = [0; 4];
    stream.write_all(b"slip").unwrap();
    stream.read_exact(&mut echo).unwrap();
    for mode in [RelayMode::Drop, RelayMode::DropForward, RelayMode::DropBack] {
        relay.set_mode(mode);
        stream.write_all(b"late").unwrap();
        stream.set_read_timeout(Some(SILENCE)).unwrap();
        assert!(stream.read_exact(&mut echo).is_err(), "{mode:?}");
        relay.set_mode(RelayMode::Pass);
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        stream.read_exact(&mut echo).unwrap();
        assert_eq!(&echo, b"late");
    }
    relay.set_mode(RelayMode::Close);
    assert_eq!(stream.read(&mut echo).unwrap(), 0);
}

#[test]
fn a_group_signals_its_processes_by_id() {
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
    group.wait_for_exit("first", LIMIT).unwrap();
    group.kill("second").unwrap();
    assert!(!group.is_running("second"));
    group.restart("second").unwrap();
    assert!(group.is_running("second"));
}

#[test]
fn pools_never_share_an_address() {
    let mut first = AddressPool::new();
    let mut second = AddressPool::new();
    assert_ne!(first.ip(), second.ip());
    assert_ne!(first.take().unwrap(), first.take().unwrap());
    TcpListener::bind(second.take().unwrap()).unwrap();
}

#[test]
fn a_cut_of_one_process_leaves_the_others_connected() {
    let relay = TcpRelay::start("127.0.0.1:0".parse().unwrap(), echo_server()).unwrap();
    let mut stream = TcpStream::connect(relay.address()).unwrap();
    let mut echo = [0; 4];
    for (process, silent) in [
        (None, false),
        (Some(std::process::id()), true),
        (Some(1), false),
    ] {
        relay.cut_process(process);
        stream.write_all(b"slip").unwrap();
        let wait = if silent { SILENCE } else { LIMIT };
        stream.set_read_timeout(Some(wait)).unwrap();
        assert_eq!(stream.read_exact(&mut echo).is_err(), silent);
        if silent {
            relay.cut_process(None);
            stream.set_read_timeout(Some(LIMIT)).unwrap();
            stream.read_exact(&mut echo).unwrap();
        }
    }
}
