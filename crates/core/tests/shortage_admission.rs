//! Guards against an order of refusals that contradicts the ranks, and against callers that are sent away for
//! longer than engines lack room.

mod chain_support;

use dandelionroad_core::chain::ChainFinder;
use dandelionroad_core::chain::ChainStage;
use dandelionroad_core::chain::FinderRequest;
use dandelionroad_core::chain::FoundChain;
use dandelionroad_core::relay::AdmissionVerdict;
use dandelionroad_core::relay::CapacityQueue;
use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::relay::ShortageAdmission;
use dandelionroad_core::relay::ShortageControl;
use dandelionroad_core::relay::ShortageRequest;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::time::MilliTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::chain_support::NOW;
use crate::chain_support::SERVICE;
use crate::chain_support::record;
use crate::chain_support::shape;
use crate::chain_support::table;

/// The hash of the service in the queue.
const SERVICE_KEY: u64 = 7;

/// The target times of the ranks, in milliseconds.
const TARGETS: [u64; 3] = [500, 500, 1_000];

/// The prompt tokens that the engines prefill in a millisecond, and the time for which a request runs after that.
const PREFILL_PER_MS: f64 = 100.0;
const RUN_MS: u64 = 800;

/// The step of the replay, in milliseconds.
const STEP_MS: u64 = 10;

/// A request in the replay.
struct ReplayRequest {
    request: ShortageRequest,
    account: u64,
    prompt: f64,
    /// Its number in the queue and the end of its wait.
    queued: Option<(u64, MilliTime)>,
    /// Whether it returned after a refusal.
    has_returned: bool,
}

/// A request at the engines.
struct RunningRequest {
    stages: Vec<ChainStage>,
    tokens: f64,
    prompt: f64,
    prefill_end: MilliTime,
    is_prefilling: bool,
}

/// Returns three classes that differ by the priorities of their routes.
fn control() -> ShortageControl {
    let classes = (0..).zip(TARGETS);
    let classes = classes.map(|(priority, target_ms)| (1, priority, target_ms));
    ShortageControl::new(classes.collect()).unwrap()
}

/// What became of the requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankTally {
    arrived: u32,
    served: u32,
    /// Refused again after its return.
    lost: u32,
}

/// One process in front of a chain of engines with a queue for prefill.
struct Replay {
    table: EngineTable,
    queue: CapacityQueue,
    admission: ShortageAdmission,
    waiting: Vec<ReplayRequest>,
    running: Vec<RunningRequest>,
    /// The refused callers with the times of their returns.
    returning: Vec<(MilliTime, ReplayRequest)>,
    tallies: [RankTally; 3],
    prefill_free_at: MilliTime,
    now: MilliTime,
    return_times: Vec<(u8, u64)>,
}

impl Replay {
    fn new() -> Replay {
        let layers = (0..4).map(|index| LayerRange::new(index * 20, index * 20 + 20));
        let records = layers.zip(1..);
        let records = records.map(|(layers, number)| record(number, "a", "large", layers));
        Replay {
            table: table(records.collect()),
            queue: CapacityQueue::new(),
            admission: ShortageAdmission::new(control()),
            waiting: Vec::new(),
            running: Vec::new(),
            returning: Vec::new(),
            tallies: [RankTally::default(); 3],
            prefill_free_at: NOW,
            now: NOW,
            return_times: Vec::new(),
        }
    }

    fn arrive(&mut self, rank: u8, account: u64, prompt: f64, answer: f64) {
        let target_ms = TARGETS[usize::from(rank)];
        self.tallies[usize::from(rank)].arrived += 1;
        self.handle(ReplayRequest {
            request: ShortageRequest {
                rank,
                tokens: prompt + answer,
                target_ms,
                gap_target_ms: 250,
                arrival: self.now,
                deadline: self.now.plus(20_000),
            },
            account,
            prompt,
            queued: None,
            has_returned: false,
        });
    }

    fn handle(&mut self, mut replay: ReplayRequest) {
        let request = replay.request;
        self.admission
            .record_arrival(request.rank, request.tokens, self.now);
        let is_held_up = self.queue.holds_up_priority(SERVICE_KEY, request.rank);
        if !is_held_up && let Some(chain) = self.find(&request) {
            return self.start(&replay, chain);
        }
        let ahead = self.queue.tokens_ahead(SERVICE_KEY, request.rank);
        let room_wait_ms = self.room_wait_ms(&request);
        match self
            .admission
            .decide(&request, room_wait_ms, ahead, self.now)
        {
            AdmissionVerdict::Wait(end) => {
                let (rank, account) = (request.rank, replay.account);
                let number = self.queue.add(SERVICE_KEY, rank, account, request.tokens);
                replay.queued = Some((number, end));
                self.waiting.push(replay);
            }
            AdmissionVerdict::Refuse => self.refuse(replay),
        }
    }

    fn refuse(&mut self, mut replay: ReplayRequest) {
        let room_wait_ms = self.room_wait_ms(&replay.request);
        let return_ms = self.admission.book_return(
            &replay.request,
            room_wait_ms,
            self.queue.run_ms(),
            self.now,
        );
        self.return_times.push((replay.request.rank, return_ms));
        if replay.has_returned {
            self.tallies[usize::from(replay.request.rank)].lost += 1;
            return;
        }
        replay.has_returned = true;
        replay.queued = None;
        self.returning.push((self.now.plus(return_ms), replay));
    }

    fn start(&mut self, replay: &ReplayRequest, chain: FoundChain) {
        self.tallies[usize::from(replay.request.rank)].served += 1;
        let prefill_ms = (replay.prompt / PREFILL_PER_MS) as u64;
        let prefill_end = self.prefill_free_at.max(self.now).plus(prefill_ms);
        self.prefill_free_at = prefill_end;
        let tokens = replay.request.tokens;
        for stage in &chain.stages {
            let units = tokens * f64::from(stage.layers.len());
            self.table.add_request(&stage.id, units);
            self.table.add_prefill(&stage.id, replay.prompt);
        }
        self.running.push(RunningRequest {
            stages: chain.stages,
            tokens,
            prompt: replay.prompt,
            prefill_end,
            is_prefilling: true,
        });
    }

    /// Ends what is due, lets callers return and serves the queue.
    fn step(&mut self) {
        self.now = self.now.plus(STEP_MS);
        let now = self.now;
        let mut running = std::mem::take(&mut self.running);
        for request in &mut running {
            if request.is_prefilling && request.prefill_end <= now {
                request.is_prefilling = false;
                let ids = request.stages.iter().map(|stage| &stage.id);
                ids.for_each(|id| self.table.remove_prefill(id, request.prompt));
            }
        }
        let is_over = |request: &mut RunningRequest| request.prefill_end.plus(RUN_MS) <= now;
        for request in running.extract_if(.., is_over) {
            for stage in &request.stages {
                let units = request.tokens * f64::from(stage.layers.len());
                self.table.remove_request(&stage.id, units);
            }
            self.queue.record_run(RUN_MS);
        }
        self.running = running;
        let due = self.returning.extract_if(.., |(time, _)| *time <= now);
        let due: Vec<ReplayRequest> = due.map(|(_, replay)| replay).collect();
        for mut replay in due {
            replay.request.arrival = now;
            self.handle(replay);
        }
        self.serve_queue();
    }

    fn serve_queue(&mut self) {
        let mut index = 0;
        while index < self.waiting.len() {
            let (number, end) = self.waiting[index].queued.unwrap();
            let request = self.waiting[index].request;
            let chain = match self.queue.is_turn(number) {
                true => self.find(&request),
                false => None,
            };
            if chain.is_none() && self.now < end {
                index += 1;
                continue;
            }
            self.queue.remove(number);
            let replay = self.waiting.remove(index);
            match chain {
                Some(chain) => self.start(&replay, chain),
                None => self.refuse(replay),
            }
            // Those before it may be next now.
            index = 0;
        }
    }

    fn find(&self, request: &ShortageRequest) -> Option<FoundChain> {
        ChainFinder::new(&self.table, SERVICE, &shape()).find(&self.finder_request(request))
    }

    fn room_wait_ms(&self, request: &ShortageRequest) -> Option<f64> {
        ChainFinder::new(&self.table, SERVICE, &shape())
            .room_wait_ms(&self.finder_request(request), self.queue.run_ms())
    }

    fn finder_request(&self, request: &ShortageRequest) -> FinderRequest<'static> {
        FinderRequest {
            tokens: request.tokens,
            is_resumed: false,
            ignores_refusals: false,
            zone: "a",
            excluded: &[],
            may_cross: false,
            limits: self.admission.limits(request.rank, 0.0, self.now),
            seed: 0,
            now: NOW,
        }
    }

    /// Plays arrivals at a multiple of the rate that the engines can prefill, for some seconds.
    fn play(&mut self, load: f64, seconds: u64, random: &mut ChaCha8Rng) {
        for _ in 0..seconds * 1_000 / STEP_MS {
            let per_step = load * PREFILL_PER_MS * STEP_MS as f64 / 780.0;
            for _ in 0..random.random_range(0.0..2.0 * per_step + 1.0) as u32 {
                let rank = [0, 0, 0, 1, 1, 2][random.random_range(0..6)];
                let prompt = random.random_range(200.0..1_360.0);
                self.arrive(rank, random.random_range(1..9), prompt, 200.0);
            }
            self.step();
        }
    }
}

fn lost_share(tally: RankTally) -> f64 {
    f64::from(tally.lost) / f64::from(tally.arrived.max(1))
}

/// Guards against urgent requests that are refused more often than less urgent ones, by more than 1 in 100, in a burst of 1.6 times
/// the load that the engines can take.
#[test]
fn decide_order_in_burst() {
    for seed in 0..5 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut replay = Replay::new();
        replay.play(0.7, 5, &mut random);
        replay.play(1.6, 6, &mut random);
        replay.play(0.7, 10, &mut random);
        let [urgent, middle, least] = replay.tallies;
        let text = format!("seed {seed}: {:?}", replay.tallies);
        assert!(lost_share(urgent) <= lost_share(middle) + 0.01, "{text}");
        assert!(lost_share(middle) <= lost_share(least) + 0.01, "{text}");
        assert!(lost_share(urgent) <= 0.01, "{text}");
        assert!(least.served * 4 >= least.arrived, "{text}");
    }
}

/// Guards against a start of all callers at once that is taken for a long shortage: callers would be sent away for
/// seconds after the engines have room again.
#[test]
fn book_return_after_start_of_all() {
    let mut replay = Replay::new();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    // All callers of two seconds come at once.
    let herd = (2_000.0 * PREFILL_PER_MS * 0.7 / 780.0) as u32;
    for number in 0..herd {
        replay.arrive((number % 3) as u8, u64::from(number % 8), 780.0, 200.0);
    }
    replay.play(0.7, 8, &mut random);
    // The engines prefill the prompts of the herd in 1.4 s, and those that come meanwhile in 4.7 s in all.
    let longest = replay.return_times.iter().map(|(_, time)| *time).max();
    assert!(longest.unwrap() <= 4_700, "{longest:?}");
    let of = |rank| {
        let times = replay.return_times.iter();
        let times: Vec<u64> = times
            .filter(|(known, _)| *known == rank)
            .map(|(_, time)| *time)
            .collect();
        times.iter().sum::<u64>() / times.len().max(1) as u64
    };
    assert!(of(0) <= of(2), "mean {} and {} ms", of(0), of(2));
    assert_eq!(replay.tallies[0].lost, 0, "{:?}", replay.tallies);
}
