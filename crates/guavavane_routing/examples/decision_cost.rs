//! Measures the cost of a routing decision and of a new endpoint for several numbers of
//! endpoints.
//!
//! Run with `cargo run --release -p guavavane_routing --example decision_cost`.

use std::time::Duration;
use std::time::Instant;

use guavavane_model::prelude::*;
use guavavane_protocol::prelude::*;
use guavavane_routing::prelude::*;

const DECISION_COUNT: u32 = 200_000;
const ENDPOINT_COUNTS: [usize; 6] = [11, 33, 100, 1_000, 10_000, 34_000];
const STALL_TIMEOUT: Duration = Duration::from_millis(200);

fn name<N: for<'a> TryFrom<&'a str, Error = NameError>>(text: &str) -> N {
    N::try_from(text).expect("the example uses valid names")
}

fn announcement(index: usize) -> EndpointAnnouncement {
    EndpointAnnouncement {
        worker: name(&format!("worker-{index}")),
        data_centre: name(&format!("dc-{}", index % 3)),
        rack: name("rack"),
        address: format!("10.0.{}.{}:1", index / 250, index % 250)
            .parse()
            .expect("the example uses valid addresses"),
        incarnation: IncarnationId(index as u64),
        sequence: 1,
        expiry_ms: 600_000,
        endpoints: vec![EndpointStatus {
            name: name(&format!("endpoint-{index}")),
            environment: name("production"),
            service: name("despacho"),
            state: EndpointState::Ready,
            slots: 8,
            outstanding: (index % 5) as u16,
        }],
    }
}

fn main() {
    let now = BootTime::from_millis(1_000);
    let data_centre: DataCentreName = name("dc-0");
    let settings = RoutingSettings::new(data_centre.clone(), 1);
    let service = ServiceKey {
        environment: name("production"),
        service: name("despacho"),
    };
    println!("endpoints ns_per_decision new_endpoint_us");
    for count in ENDPOINT_COUNTS {
        let mut table = EndpointTable::new(data_centre.clone(), count);
        for index in 0..count.saturating_sub(1) {
            table.apply_announcement(now, announcement(index));
        }
        let started = Instant::now();
        table.apply_announcement(now, announcement(count - 1));
        let announcement_time = started.elapsed();
        let mut chooser = EndpointChooser::new(1);
        let started = Instant::now();
        for _ in 0..DECISION_COUNT {
            let outcome = chooser.choose(now, &settings, &table, &service, &[], STALL_TIMEOUT);
            std::hint::black_box(outcome);
        }
        let decision_time = started.elapsed() / DECISION_COUNT;
        println!(
            "{count} {} {}",
            decision_time.as_nanos(),
            announcement_time.as_micros()
        );
    }
}
