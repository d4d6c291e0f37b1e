//! Guards against streams that end because their head was silent for a second, although it goes on and no other
//! endpoint takes the request.

use dandelionroad_core::ident::AccountName;
use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::ident::ModelName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::outcome::RequestOutcome;
use dandelionroad_core::stream::ChainRoute;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::RouteStage;
use dandelionroad_core::stream::StopReason;
use dandelionroad_core::stream::StreamAction;
use dandelionroad_core::stream::StreamEvent;
use dandelionroad_core::stream::StreamFailure;
use dandelionroad_core::stream::StreamLimits;
use dandelionroad_core::stream::StreamMachine;
use dandelionroad_core::stream::StreamOrder;
use dandelionroad_core::time::MilliTime;

/// The number of tokens of the answer.
const TOKENS: u32 = 6;

/// The number of tokens before the silence.
const FIRST_TOKENS: u32 = 2;

/// The length of a silence within which the head is asked again.
const SILENCE_MS: u64 = 1_200;

/// The length of a silence that ends while a route is sought for the first time.
const SHORT_SILENCE_MS: u64 = 900;

const LIMITS: StreamLimits = StreamLimits {
    silence_ms: 300,
    reopen_ms: 500,
    max_attempts: 16,
    route_retry_ms: 200,
};

fn order() -> StreamOrder {
    StreamOrder {
        request: RequestIdent::parse("request").unwrap(),
        attempt: 0,
        account: AccountName::parse("account").unwrap(),
        weight: 1,
        priority: 0,
        model: ModelName::parse("model").unwrap(),
        version: 1,
        fingerprint: String::new(),
        suspect: false,
        route: ChainRoute { stages: Vec::new() },
        prompt: "two knots".to_owned(),
        sent: Vec::new(),
        max_tokens: TOKENS,
        deadline_in_ms: 0,
    }
}

/// A request whose first head is silent for a while; all other endpoints refuse it.
struct SilentHead {
    machine: StreamMachine,
    now: MilliTime,
    /// The end of the silence.
    silent_until: MilliTime,
    has_head: bool,
    /// The endpoints beside the silent one.
    others: Vec<EndpointName>,
    /// The attempt and the endpoint of the open stream.
    open: Option<(u32, EndpointName)>,
    /// The attempt in which the silent endpoint has gone on.
    resumed: Option<u32>,
    delivered: Vec<String>,
    end: Option<StreamAction>,
}

impl SilentHead {
    /// Starts a request at the silent head, if there is one, or else at a number of endpoints that refuse it.
    fn start(has_head: bool, other_count: usize) -> SilentHead {
        let now = MilliTime::from_millis(0);
        let name = |index| EndpointName::parse(&format!("other-{index}")).unwrap();
        let (machine, actions) = StreamMachine::start(LIMITS, order(), now.plus(10_000), now);
        let mut request = SilentHead {
            machine,
            now,
            silent_until: now,
            has_head,
            others: (0..other_count).map(name).collect(),
            open: None,
            resumed: None,
            delivered: Vec::new(),
            end: None,
        };
        request.run(actions);
        request
    }

    /// Plays a request at the silent head beside a number of endpoints that refuse it.
    fn play(other_count: usize, silence_ms: u64) -> SilentHead {
        let mut request = SilentHead::start(true, other_count);
        request.send_tokens(FIRST_TOKENS);
        request.silent_until = request.now.plus(silence_ms);
        while !request.machine.is_done() {
            let silence_end = request.silent_until.max(request.now);
            let next = request.machine.next_tick();
            if request.waits_for_silent_head() && silence_end <= next {
                request.now = silence_end;
                request.resumed = request.open.as_ref().map(|(attempt, _)| *attempt);
                request.send_tokens(TOKENS);
                continue;
            }
            request.now = next.max(request.now);
            let actions = request.machine.tick(request.now);
            request.run(actions);
        }
        request
    }

    fn silent_name() -> EndpointName {
        EndpointName::parse("silent").unwrap()
    }

    fn waits_for_silent_head(&self) -> bool {
        let open = self.open.as_ref();
        open.is_some_and(|(attempt, head)| {
            *head == SilentHead::silent_name() && self.resumed != Some(*attempt)
        })
    }

    /// Sends all tokens up to a number, and the end with the last one.
    fn send_tokens(&mut self, count: u32) {
        let attempt = self.open.as_ref().unwrap().0;
        for position in self.delivered.len() as u32..count {
            if position + 1 == TOKENS {
                let end = StreamEvent::End {
                    attempt,
                    position: TOKENS,
                    reason: StopReason::Length,
                };
                self.handle(end);
            }
            self.handle(StreamEvent::Token {
                attempt,
                position,
                text: position.to_string(),
            });
        }
    }

    fn handle(&mut self, event: StreamEvent) {
        let actions = self.machine.handle_event(event, self.now);
        self.run(actions);
    }

    fn run(&mut self, actions: Vec<StreamAction>) {
        for action in actions {
            match action {
                StreamAction::ChooseRoute { .. } => {
                    let route = self.choose_route();
                    let actions = self.machine.handle_route(route, self.now);
                    self.run(actions);
                }
                StreamAction::Open { order, .. } => {
                    let attempt = order.attempt;
                    let head = order.route.stages[0].endpoint.clone();
                    let is_refused = self.others.contains(&head);
                    self.open = Some((attempt, head));
                    if is_refused {
                        self.now = self.now.plus(5);
                        self.handle(StreamEvent::Refused {
                            attempt,
                            reason: RefusalReason::Overloaded,
                            retry_after_ms: 1_000,
                        });
                    }
                }
                StreamAction::Deliver { text } => self.delivered.push(text),
                StreamAction::CountCrash { .. } => unreachable!("nothing crashes"),
                StreamAction::Finish { .. } | StreamAction::Fail(_) => self.end = Some(action),
            }
        }
    }

    /// Chooses the silent endpoint if it isn't excluded, or the first of the others.
    fn choose_route(&self) -> Option<ChainRoute> {
        let silent = SilentHead::silent_name();
        let head = self.has_head.then_some(&silent);
        let mut names = head.into_iter().chain(&self.others);
        let name = names.find(|name| !self.machine.excluded().contains(name))?;
        let stage = RouteStage {
            endpoint: name.clone(),
            address: name.to_string(),
            range: LayerRange::new(0, 12),
        };
        Some(ChainRoute {
            stages: vec![stage],
        })
    }

    fn check(&self) {
        let end = StreamAction::Finish {
            reason: StopReason::Length,
            tokens: TOKENS,
        };
        assert_eq!(self.end, Some(end), "after {} ms", self.now.as_millis());
        let tokens: Vec<String> = (0..TOKENS).map(|token| token.to_string()).collect();
        assert_eq!(self.delivered, tokens);
    }
}

/// The head goes on while no other route exists. Guards against tokens that are dropped while one is sought.
#[test]
fn silent_head_goes_on_without_other_route() {
    let request = SilentHead::play(0, SHORT_SILENCE_MS);
    request.check();
    // It goes on in the attempt of its reopening, at the end of its silence.
    assert_eq!(request.open.unwrap().0, 1);
    assert_eq!(request.now.as_millis(), SHORT_SILENCE_MS);
}

/// More endpoints than a request may have attempts refuse it within the silence. Guards against refusals that use up the
/// attempts, which ends the stream.
#[test]
fn refusals_leave_attempts_for_silent_head() {
    for others in [1, 8, 15, 16, 40] {
        SilentHead::play(others, SILENCE_MS).check();
    }
}

/// Guards against an end to the refusals that lets a full service be asked without a pause until the deadline.
#[test]
fn refused_request_is_asked_at_interval() {
    let request = SilentHead::play(40, 20_000);
    let most = u64::from(LIMITS.max_attempts) + 2 + 10_000 / LIMITS.route_retry_ms;
    assert!(u64::from(request.machine.order().attempt) <= most);
}

/// Guards against a request that ends as one that may have run although all endpoints have refused it.
#[test]
fn refused_request_has_not_run() {
    for others in [1, 15, 16, 17, 40] {
        let request = SilentHead::start(false, others);
        let end = StreamAction::Fail(StreamFailure {
            outcome: RequestOutcome::NotRun,
            reason: RefusalReason::Overloaded,
            retry_after_ms: 1_000,
        });
        assert_eq!(request.end, Some(end), "{others} endpoints");
    }
}
