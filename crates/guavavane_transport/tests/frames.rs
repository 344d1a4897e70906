//! Tests that malformed and foreign frames are refused, and that the error of a failed call says
//! whether a handler may have received it.
//!
//! An error that wrongly rules this out would let the caller run the same request twice.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

use std::time::Duration;

use bolero::produce;

use guavavane_model::prelude::CellId;
use guavavane_model::prelude::IncarnationId;
use guavavane_protocol::call::CallKind;
use guavavane_protocol::call::FRAME_MAX_BYTES;
use guavavane_protocol::replica::JoinReply;
use guavavane_protocol::replica::JoinRequest;
use guavavane_testing::for_each_value;
use guavavane_transport::codec::check_frame;
use guavavane_transport::codec::decode_message;
use guavavane_transport::codec::encode_message;
use guavavane_transport::codec::frame_message;
use guavavane_transport::prelude::CallClient;
use guavavane_transport::prelude::CallServer;
use guavavane_transport::prelude::CodecError;
use guavavane_transport::prelude::FrameIdentity;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

fn identity(cell: u16) -> FrameIdentity {
    FrameIdentity {
        cell: CellId(cell),
        incarnation: IncarnationId(7),
    }
}

fn join_request() -> JoinRequest {
    JoinRequest {
        replica: 3,
        address: "127.0.0.1:9".parse().unwrap(),
    }
}

#[test]
fn corrupted_frames_never_pass_with_another_length() {
    let message = encode_message(&join_request()).unwrap();
    let frame = frame_message(identity(1), CallKind::Join, &message).unwrap();
    for_each_value(
        5_000,
        produce::<(u16, u8, bool)>(),
        |(position, flipped_bits, truncated)| {
            let mut corrupted = frame.clone();
            let position = usize::from(*position) % corrupted.len();
            if *truncated {
                corrupted.truncate(position);
            } else {
                corrupted[position] ^= flipped_bits;
            }
            let checked = check_frame(identity(1), &corrupted);
            if *truncated {
                assert!(
                    checked.is_err(),
                    "a frame truncated to {position} bytes passed"
                );
            }
            if let Ok(checked) = checked {
                assert_eq!(checked.message.len(), message.len());
                let _ = decode_message::<JoinRequest>(&checked.message);
            }
        },
    );
}

#[test]
fn frames_of_other_cells_and_oversized_messages_are_refused() {
    let message = encode_message(&join_request()).unwrap();
    let frame = frame_message(identity(2), CallKind::Join, &message).unwrap();
    let error = check_frame(identity(1), &frame).unwrap_err();
    assert_eq!(error, CodecError::Cell(CellId(2)));
    let oversized = vec![0; FRAME_MAX_BYTES + 1];
    let error = frame_message(identity(1), CallKind::Join, &oversized).unwrap_err();
    assert_eq!(error, CodecError::Oversized(FRAME_MAX_BYTES + 1));
}

#[test]
fn a_call_gets_its_reply_and_a_dropped_call_counts_as_received() {
    let server = CallServer::start("127.0.0.1:0".parse().unwrap(), identity(1), 8).unwrap();
    let address = server.address();
    let calls = server.calls().clone();
    let handler = std::thread::spawn(move || {
        let call = calls.recv().unwrap();
        assert_eq!(call.decode::<JoinRequest>().unwrap(), join_request());
        call.reply
            .send::<JoinRequest>(&JoinReply::Accepted)
            .unwrap();
        drop(calls.recv().unwrap());
    });
    let client = CallClient::new(identity(1));
    assert_eq!(
        client.call(address, &join_request(), CALL_TIMEOUT),
        Ok(JoinReply::Accepted)
    );
    let dropped = client
        .call(address, &join_request(), CALL_TIMEOUT)
        .unwrap_err();
    assert!(
        !dropped.is_unprocessed(),
        "a handler received the call: {dropped}"
    );
    handler.join().unwrap();
}

#[test]
fn a_call_of_another_cell_or_to_a_closed_port_counts_as_not_received() {
    let server = CallServer::start("127.0.0.1:0".parse().unwrap(), identity(1), 8).unwrap();
    let foreign_client = CallClient::new(identity(2));
    let refused = foreign_client
        .call(server.address(), &join_request(), CALL_TIMEOUT)
        .unwrap_err();
    assert!(refused.is_unprocessed(), "{refused}");
    let address = server.address();
    drop(server);
    let client = CallClient::new(identity(1));
    let mut failed = client
        .call(address, &join_request(), CALL_TIMEOUT)
        .unwrap_err();
    // The thread of the transport closes the listener shortly after the drop: until then, calls
    // may still connect. 200 tries at intervals of 10 ms wait for 2 s.
    for _ in 0..200 {
        if failed.is_unprocessed() {
            break;
        }
        std::thread::sleep(Duration::from_millis(10));
        failed = client
            .call(address, &join_request(), CALL_TIMEOUT)
            .unwrap_err();
    }
    assert!(failed.is_unprocessed(), "{failed}");
}
