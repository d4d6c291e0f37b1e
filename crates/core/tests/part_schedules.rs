//! Random schedules of several processes that count the lost engines of prompt parts and report them to each
//! other.

use dandelionroad_core::relay::PartLedger;
use dandelionroad_core::relay::PartReport;
use dandelionroad_core::relay::PartVerdict;
use dandelionroad_core::relay::PromptPart;
use dandelionroad_core::time::MilliTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const START: MilliTime = MilliTime::from_millis(100_000);

fn part(id: &str) -> PromptPart {
    PromptPart::new("knots", id)
}

/// A report on its way between two processes.
struct SentReport {
    arrival: MilliTime,
    sender: usize,
    receiver: usize,
    report: PartReport,
}

/// The state of a random schedule.
struct Schedule {
    random: ChaCha8Rng,
    ledgers: Vec<PartLedger>,
    now: MilliTime,
    engines: usize,
    /// The reports under way.
    sent: Vec<SentReport>,
}

impl Schedule {
    fn new(seed: u64, processes: usize) -> Schedule {
        Schedule {
            random: ChaCha8Rng::seed_from_u64(seed),
            ledgers: vec![PartLedger::new(); processes],
            now: START,
            engines: 0,
            sent: Vec::new(),
        }
    }

    /// Lets time pass; reports arrive, and each is lost with a probability of one in twenty.
    fn advance(&mut self, wait_ms: u64) {
        self.now = self.now.plus(wait_ms);
        let now = self.now;
        let arrived = self.sent.extract_if(.., |sent| sent.arrival <= now);
        for sent in arrived.collect::<Vec<SentReport>>() {
            if let Some(answer) = self.ledgers[sent.receiver].merge(&sent.report, now) {
                self.send(sent.receiver, sent.sender, answer);
            }
        }
        let is_repeat = self.random.random_bool(0.1);
        for sender in 0..self.ledgers.len() {
            for report in self.ledgers[sender].take_reports(is_repeat, now) {
                for receiver in (0..self.ledgers.len()).filter(|index| *index != sender) {
                    self.send(sender, receiver, report.clone());
                }
            }
            self.ledgers[sender].expire(now);
        }
    }

    fn send(&mut self, sender: usize, receiver: usize, report: PartReport) {
        if self.random.random_bool(0.95) {
            let delay_ms = self.random.random_range(1..60);
            self.sent.push(SentReport {
                arrival: self.now.plus(delay_ms),
                sender,
                receiver,
                report,
            });
        }
    }

    /// Crashes an engine on which the given runs had not begun to answer.
    fn crash(&mut self, runs: &[(usize, Vec<PromptPart>)]) {
        self.engines += 1;
        let engine = format!("e{}", self.engines);
        for (process, parts) in runs {
            self.ledgers[*process].record_crash(parts, &engine, self.now);
        }
    }

    fn any_process(&mut self) -> usize {
        let count = self.ledgers.len();
        self.random.random_range(0..count)
    }

    fn sound_parts(&mut self) -> Vec<PromptPart> {
        vec![part(&format!("f{}", self.random.random_range(0..60)))]
    }
}

/// Requests with a fatal part come at several processes among sound ones that share the first parts; reports
/// are delayed and lost. Guards against more than five crashes, and against a sound part that stays refused.
#[test]
fn part_schedules_random_fatal_part() {
    for seed in 0..2_000 {
        let mut schedule = Schedule::new(seed, 4);
        let mut crashes = 0;
        for turn in 0..400 {
            schedule.advance(25);
            let process = schedule.any_process();
            let sound = schedule.sound_parts();
            let now = schedule.now;
            if schedule.ledgers[process].admit(&sound, process as u32, now) != PartVerdict::Refused
            {
                schedule.ledgers[process].record_served(&sound, now);
            }
            if turn < 50 || turn % 8 != 0 {
                continue;
            }
            let process = schedule.any_process();
            let mut fatal = schedule.sound_parts();
            fatal.push(part("bad"));
            let verdict = schedule.ledgers[process].admit(&fatal, process as u32, now);
            if verdict == PartVerdict::Refused {
                continue;
            }
            crashes += 1;
            let mut runs = vec![(process, fatal)];
            for _ in 0..schedule.random.random_range(0..6) {
                let neighbor = schedule.any_process();
                runs.push((neighbor, schedule.sound_parts()));
            }
            schedule.crash(&runs);
        }
        assert!(crashes <= 5, "seed {seed}: {crashes} crashes");
        for index in 0..60 {
            let sound = [part(&format!("f{index}"))];
            for ledger in &schedule.ledgers {
                let verdict = ledger.verdict(&sound);
                assert_ne!(verdict, PartVerdict::Refused, "seed {seed}: f{index}");
            }
        }
    }
}

/// Engines are lost at random for 20 s, with sound runs on them, and broken runs are retried on engines that may be
/// lost as well. Guards against refusing sound requests, and against sound parts that stay refused once
/// probes were possible.
#[test]
fn part_schedules_random_losses() {
    const LOSSY_TURNS: usize = 800;
    const TURNS: usize = LOSSY_TURNS + 12_000;
    for seed in 0..100 {
        let mut schedule = Schedule::new(seed, 4);
        let mut refused = 0;
        for turn in 0..TURNS {
            schedule.advance(25);
            let process = schedule.any_process();
            let sound = schedule.sound_parts();
            let now = schedule.now;
            let verdict = schedule.ledgers[process].admit(&sound, process as u32, now);
            let is_lossy = turn < LOSSY_TURNS;
            if verdict == PartVerdict::Refused {
                refused += usize::from(is_lossy);
            } else if !is_lossy || schedule.random.random_bool(0.98) {
                schedule.ledgers[process].record_served(&sound, now);
            } else {
                let mut runs = vec![(process, sound)];
                for _ in 0..schedule.random.random_range(0..6) {
                    let neighbor = schedule.any_process();
                    runs.push((neighbor, schedule.sound_parts()));
                }
                schedule.crash(&runs);
                if schedule.random.random_bool(0.3) {
                    schedule.crash(&runs);
                }
            }
        }
        // Sound requests must be served at least half as often as without losses.
        assert!(refused * 2 <= LOSSY_TURNS, "seed {seed}: {refused} refused");
        // A part that was never served and was in runs on five lost engines can't be told from a fatal one.
        for ledger in &mut schedule.ledgers {
            let refused = ledger.take_reports(true, schedule.now);
            let mut engines = refused.iter().map(|report| report.crashes.len());
            assert!(engines.all(|count| count >= 5), "seed {seed}: {refused:?}");
        }
    }
}
