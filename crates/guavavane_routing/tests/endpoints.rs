//! Invariants of endpoint choice under generated announcements, outages, failures and delays.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bolero::produce;
use indexmap::IndexMap;
use indexmap::IndexSet;

use guavavane_model::prelude::*;
use guavavane_protocol::prelude::*;
use guavavane_routing::prelude::*;
use guavavane_testing::for_each_value;

const WORKER_COUNT: u8 = 5;
const SLOT_COUNT: u16 = 2;
const ANNOUNCEMENT_EXPIRY_MS: u64 = 1_500;
const REQUEST_TIMEOUT_MS: u64 = 1_000;
const MESSAGE_DELAY_MAX: Duration = Duration::from_millis(3_000);
const QUEUE_MAX: usize = 4;
const REQUESTS_MAX: usize = 12;

fn name<N: for<'a> TryFrom<&'a str, Error = NameError>>(text: String) -> N {
    N::try_from(text.as_str()).unwrap()
}

/// Last valid announcement of an agent, recorded independently of the table under test.
#[derive(Clone, Copy)]
struct AnnouncedState {
    incarnation: u64,
    sequence: u64,
    is_ready: bool,
    expires_at: BootTime,
    replaced_at: BootTime,
}

struct Harness {
    now: BootTime,
    settings: RoutingSettings,
    router: RequestRouter,
    announced: IndexMap<u8, AnnouncedState>,
    /// Version of the last status of each data centre, and whether it is out of service.
    data_centres: IndexMap<u8, (u64, bool)>,
    open: Vec<DispatchRequest>,
    /// Dispatched attempts that are not proven not to have run.
    unproven_attempts: IndexSet<RequestAttempt>,
    /// Whether all attempts end without a reply.
    drops_all_replies: bool,
    deadlines: IndexMap<RequestId, BootTime>,
    in_flight: usize,
    sequence: u64,
}

impl Harness {
    fn new() -> Self {
        let mut settings = RoutingSettings::new(name("dc-0".to_owned()), 3);
        settings.queue_max = QUEUE_MAX;
        settings.requests_max = REQUESTS_MAX;
        settings.ejection_consecutive_failures = 2;
        settings.budget_tokens_max = 1;
        Self {
            now: BootTime::from_millis(10_000),
            router: RequestRouter::new(settings.clone()),
            settings,
            announced: IndexMap::new(),
            data_centres: IndexMap::new(),
            open: Vec::new(),
            unproven_attempts: IndexSet::new(),
            drops_all_replies: false,
            deadlines: IndexMap::new(),
            in_flight: 0,
            sequence: 0,
        }
    }

    fn apply_action(&mut self, [action, argument]: [u8; 2]) {
        match action {
            0..=69 => self.request(argument),
            70..=139 => self.reply(argument),
            140..=189 => self.announce(argument % WORKER_COUNT, argument / WORKER_COUNT),
            190..=204 => self.set_data_centre(argument % 2, argument / 2),
            205..=255 => self.advance(u64::from(argument)),
        }
        self.check();
    }

    fn request(&mut self, argument: u8) {
        self.sequence += 1;
        let id = RequestId {
            entry: IncarnationId(1),
            sequence: self.sequence,
        };
        let deadline = self.now + Duration::from_millis(REQUEST_TIMEOUT_MS);
        self.deadlines.insert(id, deadline);
        self.in_flight += 1;
        let request = CallerRequest {
            id,
            service: ServiceKey {
                environment: name("production".to_owned()),
                service: name("despacho".to_owned()),
            },
            method: "GET".to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            deadline,
            idempotent: argument.is_multiple_of(2),
            may_hedge: argument.is_multiple_of(4),
            claim: None,
        };
        self.step(RouterInput::Request(Box::new(request)));
    }

    fn reply(&mut self, argument: u8) {
        if self.open.is_empty() {
            return;
        }
        let index = usize::from(argument) % self.open.len();
        let call = self.open.swap_remove(index);
        let answer = |status| {
            AttemptResult::Reply(DispatchReply::Answered(HttpResponse {
                status,
                headers: Vec::new(),
                body: Vec::new(),
            }))
        };
        let result = match argument % 8 {
            _ if self.drops_all_replies => AttemptResult::NoReply,
            0 | 1 => answer(503),
            2 => AttemptResult::Unseen,
            3 => AttemptResult::Reply(DispatchReply::Refused(RefusalReason::Busy)),
            4 => AttemptResult::NoReply,
            _ => answer(200),
        };
        let refused = matches!(
            result,
            AttemptResult::Unseen | AttemptResult::Reply(DispatchReply::Refused(_))
        );
        if refused {
            self.unproven_attempts.swap_remove(&call.attempt);
        }
        self.step(RouterInput::Reply(call.attempt, result));
    }

    /// Announces with the next sequence number, an old one, or another incarnation.
    fn announce(&mut self, worker: u8, choice: u8) {
        let last = self
            .announced
            .get(&worker)
            .copied()
            .unwrap_or(AnnouncedState {
                incarnation: 1,
                sequence: 10,
                is_ready: true,
                expires_at: BootTime::default(),
                replaced_at: BootTime::default(),
            });
        // A message of a replaced incarnation arrives within `MESSAGE_DELAY_MAX` of the
        // replacement.
        let is_recently_replaced = self.now.saturating_since(last.replaced_at) < MESSAGE_DELAY_MAX;
        let (incarnation, sequence) = match choice % 8 {
            0 => (last.incarnation + 1, 1),
            1 => (last.incarnation, last.sequence.saturating_sub(1)),
            2 if is_recently_replaced => (last.incarnation - 1, last.sequence + 7),
            _ => (last.incarnation, last.sequence + 1),
        };
        let is_ready = !(choice / 8).is_multiple_of(3);
        let is_stale = incarnation < last.incarnation
            || (incarnation == last.incarnation
                && sequence <= last.sequence
                && self.announced.contains_key(&worker));
        let announced = AnnouncedState {
            incarnation,
            sequence,
            is_ready,
            expires_at: self.now + Duration::from_millis(ANNOUNCEMENT_EXPIRY_MS),
            replaced_at: if incarnation > last.incarnation && self.announced.contains_key(&worker) {
                self.now
            } else {
                last.replaced_at
            },
        };
        if !is_stale {
            self.announced.insert(worker, announced);
        }
        let announcement = announcement(worker, announced);
        self.step(RouterInput::Announcement(Box::new(announcement)));
    }

    fn set_data_centre(&mut self, data_centre: u8, choice: u8) {
        let (version, _) = self
            .data_centres
            .get(&data_centre)
            .copied()
            .unwrap_or_default();
        let out = choice.is_multiple_of(2);
        // One status in four is an older one that arrives late.
        let sent_version = match choice % 4 {
            3 => version.saturating_sub(1),
            _ => version + 1,
        };
        if sent_version > version {
            self.data_centres.insert(data_centre, (sent_version, out));
        }
        if sent_version == version {
            return;
        }
        let status = DataCentreStatus {
            name: name(format!("dc-{data_centre}")),
            out,
            version: sent_version,
        };
        self.step(RouterInput::DataCentres(vec![status]));
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        self.step(RouterInput::Tick);
    }

    fn step(&mut self, input: RouterInput) {
        for action in self.router.step(self.now, input) {
            match action {
                RouterAction::Dispatch { call, .. } => {
                    self.check_dispatch(&call);
                    self.unproven_attempts.insert(call.attempt);
                    self.open.push(*call);
                }
                RouterAction::Finish { .. } => self.in_flight -= 1,
                _ => {}
            }
        }
    }

    fn check_dispatch(&self, call: &DispatchRequest) {
        let worker = worker_of(&call.target.endpoint);
        let announced = &self.announced[&worker];
        assert!(
            announced.is_ready,
            "attempt for an endpoint that is leaving"
        );
        assert!(
            self.now < announced.expires_at,
            "attempt for an expired endpoint"
        );
        assert_eq!(call.target.incarnation.0, announced.incarnation);
        let out = self.data_centres.get(&(worker % 2));
        assert!(
            !out.is_some_and(|(_, out)| *out),
            "attempt for a data centre that is out of service"
        );
        let remaining = self.deadlines[&call.attempt.request].saturating_since(self.now);
        let dispatched_timeout = Duration::from_millis(u64::from(call.deadline_ms));
        assert!(
            dispatched_timeout < remaining,
            "the dispatched deadline is not shorter"
        );
        let has_same_target = |other: &&DispatchRequest| other.target == call.target;
        let open = self.open.iter().filter(has_same_target).count();
        assert!(open < usize::from(SLOT_COUNT), "more attempts than slots");
    }

    fn check(&self) {
        let counts = self.router.counts();
        assert_eq!(counts.requests, self.in_flight);
        assert!(counts.queued <= QUEUE_MAX && counts.requests <= REQUESTS_MAX);
        assert_eq!(counts.attempts, self.open.len());
        let settings = &self.settings;
        let percent = u64::from(settings.retry_percent + settings.hedge_percent);
        let repeats_max = 2 * u64::from(settings.budget_tokens_max) + self.sequence * percent / 100;
        // A refused attempt has cost its endpoint nothing, so the next attempt uses its token.
        let ids: IndexSet<RequestId> = self.unproven_attempts.iter().map(|a| a.request).collect();
        let repeats = (self.unproven_attempts.len() - ids.len()) as u64;
        assert!(repeats <= repeats_max, "{repeats} repeats");
        let live = || {
            self.router
                .table()
                .endpoints()
                .filter(|e| e.is_live(self.now))
        };
        let ejected = live().filter(|e| e.health.is_ejected(self.now)).count();
        let percent = self.settings.ejection_percent_max as usize;
        assert!(
            ejected * 100 <= live().count() * percent,
            "more endpoints ejected than allowed"
        );
    }
}

fn worker_of(endpoint: &EndpointName) -> u8 {
    endpoint
        .as_str()
        .trim_start_matches("endpoint-")
        .parse()
        .unwrap()
}

fn announcement(worker: u8, announced: AnnouncedState) -> EndpointAnnouncement {
    EndpointAnnouncement {
        worker: name(format!("worker-{worker}")),
        data_centre: name(format!("dc-{}", worker % 2)),
        rack: name("rack-0".to_owned()),
        address: format!("10.0.0.{worker}:1").parse().unwrap(),
        incarnation: IncarnationId(announced.incarnation),
        sequence: announced.sequence,
        expiry_ms: ANNOUNCEMENT_EXPIRY_MS as u32,
        endpoints: vec![EndpointStatus {
            name: name(format!("endpoint-{worker}")),
            environment: name("production".to_owned()),
            service: name("despacho".to_owned()),
            state: match announced.is_ready {
                true => EndpointState::Ready,
                false => EndpointState::Leaving,
            },
            slots: SLOT_COUNT,
            outstanding: 0,
        }],
    }
}

/// Guards against attempts for endpoints that are leaving, expired, replaced or in a data centre
/// that is out of service, and against exceeded limits of slots, queues and ejections. 400
/// generated sequences.
#[test]
fn work_goes_only_to_live_endpoints_within_bounds() {
    for_each_value(
        400,
        produce::<Vec<[u8; 2]>>().with().len(20_usize..500),
        |actions| {
            let mut harness = Harness::new();
            for action in actions {
                harness.apply_action(*action);
            }
        },
    );
}

/// Guards against a retry storm when no attempt gets a reply: retries and hedges must stay within
/// their percentage of the requests. 200 generated sequences.
#[test]
fn retries_and_hedges_stay_within_their_budgets() {
    for_each_value(
        200,
        produce::<Vec<[u8; 2]>>().with().len(100_usize..500),
        |actions| {
            let mut harness = Harness::new();
            harness.drops_all_replies = true;
            for [action, argument] in actions {
                harness.announce(argument % WORKER_COUNT, 15);
                // Only requests, lost replies and short steps of time.
                match action {
                    0..=119 => harness.request(0),
                    120..=219 => harness.reply(*argument),
                    220..=255 => harness.advance(u64::from(argument % 16)),
                }
                harness.check();
            }
        },
    );
}
