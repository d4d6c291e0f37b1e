//! An engine's registration is removed just after the machine that reads the list has been lost for good. The other
//! machines must send the engine nothing more within `drainMs`.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use standins_3::endpoint::Endpoint;
use standins_3::has_trouble;
use standins_3::http::call_once;
use standins_3::record::Record;
use standins_3::site::Ports;
use standins_3::site::Site;
use standins_3::site::SiteSettings;
use standins_3::site::TempFolder;
use standins_3::store::Store;
use standins_3::store::StoreMode;

/// The bounds of the sheet, in milliseconds.
const DRAIN_MS: u64 = 4_000;
const STABLE_WINDOW_MS: u64 = 5_000;

/// The length of the outage of the store: the longest one of the sheet's days.
const OUTAGE: Duration = Duration::from_secs(8);

/// The most outages, and the time after each of them.
const MAX_OUTAGES: usize = 4;
const AFTER_OUTAGE: Duration = Duration::from_secs(3);

/// The time after which the lost machine is replaced, as in the sheet's days.
const REPLACEMENT: Duration = Duration::from_secs(4);

/// The time for which the engine that leaves goes on after the store has accepted it: `drainMs` and a little longer.
const LINGER: Duration = Duration::from_millis(4_500);

/// The time that a request takes at an engine.
const WORK: Duration = Duration::from_millis(60);

/// The pause between two requests of a client, besides the time of the answer.
const PAUSE: Duration = Duration::from_millis(40);

/// The number of clients at each machine.
const CLIENTS: usize = 8;

const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"book\",\"host\":\"{HOST}\",\"prefix\":\"/puxa403/\",\
         \"kind\":\"unsafe\",\"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":2,\
         \"service\":\"pedidos\",\"maxAttempts\":1,\"public\":false,\"sticky\":false,\
         \"resumable\":false,\"gapAimMs\":0}}],\
         \"services\":[{{\"name\":\"pedidos\",\"healthPath\":\"/health\",\"maxConns\":680,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn settings(name: &str, host: Ipv4Addr, ports: Ports, store: SocketAddr, cpu_share: &str) -> SiteSettings {
    let settings = SiteSettings::new(name, "talca", host, ports, store);
    settings
        .with("limits.cpuShare", cpu_share)
        .with("bounds.drainMs", "4000")
        .with("bounds.stableWindowMs", "5000")
        .with("bounds.configApplyMs", "4000")
        .with("bounds.ackMs", "8000")
        .with("bounds.outerMs", "8000")
        .with("bounds.catchUpS", "6")
        .with("bounds.recoverS", "15")
        .with("bounds.passMs", "200")
        .with("bounds.budgetSlack", "390")
}

/// Sends requests to a machine, one after the other, until `is_done`.
///
/// Returns the times at which requests failed that may have run.
fn run_client(
    front: SocketAddr,
    name: String,
    is_done: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    record: Arc<Record>,
) -> Vec<Instant> {
    let mut failures = Vec::new();
    for number in 0_u64.. {
        if is_done.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("{name}-{number}");
        let key = format!("Bearer {KEY}");
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", "1500"),
            ("Authorization", key.as_str()),
        ];
        sent.fetch_add(1, Ordering::SeqCst);
        let sent_at = record.now_ms();
        let answer = call_once(front, "POST", "/puxa403/2f", &headers, b"order", Duration::from_millis(1_500));
        record.line(&format!(
            "client {id} to {front}: sent at {sent_at}, status {} {}",
            answer.status, answer.fault
        ));
        if answer.status != 200 && answer.status != 503 {
            failures.push(Instant::now());
        }
        sleep(PAUSE);
    }
    failures
}

fn main() -> ExitCode {
    let record = Arc::new(Record::create("review/14/record.txt"));
    let folder = TempFolder::create("14");
    let hosts: Vec<Ipv4Addr> = (1..=4).map(|last| Ipv4Addr::new(127, 31, 0, last)).collect();
    let ports = Ports::pick(&hosts);
    let store = Store::create();
    let store_host = Ipv4Addr::new(127, 31, 1, 1);
    store.put("op", "config", &config());
    let endpoints: Vec<Arc<Endpoint>> = (1..=5)
        .map(|number| {
            let host = Ipv4Addr::new(127, 31, 2, number);
            Endpoint::start(&store, &format!("i-{number}"), "pedidos", "talca", host, WORK)
        })
        .collect();
    let sites: Vec<Site> = ["0.5", "0.19", "0.19"]
        .iter()
        .enumerate()
        .map(|(index, share)| {
            let name = format!("front-talca-{}", index + 1);
            let store_address = store.open_for(&name, store_host);
            let settings = settings(&name, hosts[index], ports, store_address, share);
            Site::start(settings, &folder)
        })
        .collect();
    if !sites.iter().all(Site::wait_ready) {
        record.say("the machines don't get ready");
        return ExitCode::from(2);
    }
    record.say("all machines are ready");
    let (is_done, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let mut clients = Vec::new();
    for site in &sites[1..] {
        for number in 0..CLIENTS {
            let name = format!("{}-{number}", site.host());
            let (front, is_done, sent) = (site.front(), Arc::clone(&is_done), Arc::clone(&sent));
            let record = Arc::clone(&record);
            clients.push(std::thread::spawn(move || run_client(front, name, is_done, sent, record)));
        }
    }
    sleep(Duration::from_secs(2));
    // Which machine reads the list first after an outage is a matter of some milliseconds. An outage after which another
    // machine than the reader has read it counts for nothing here, and is followed by a further one.
    for _ in 0..if has_trouble() { MAX_OUTAGES } else { 0 } {
        record.say("the store is down");
        store.set_mode(StoreMode::Busy);
        sleep(OUTAGE);
        let before = store.list_reads.lock().unwrap().len();
        store.set_mode(StoreMode::Sound);
        record.say("the store is back");
        sleep(AFTER_OUTAGE);
        let reads = store.list_reads.lock().unwrap();
        let largest = &sites[0].settings.fields["nodeName"];
        if reads[before..].iter().all(|(_, machine)| machine == largest) {
            break;
        }
    }
    // Twice the stable window, so that all machines are in touch long before the engine leaves.
    sleep(Duration::from_millis(2 * STABLE_WINDOW_MS));
    // The machine that reads the list is the one of the last read.
    let reader = || {
        let reads = store.list_reads.lock().unwrap();
        reads.last().map(|(_, machine)| machine.clone()).unwrap_or_default()
    };
    let before = store.list_reads.lock().unwrap().len();
    let until = Instant::now() + Duration::from_secs(5);
    while store.list_reads.lock().unwrap().len() == before && Instant::now() < until {
        sleep(Duration::from_millis(1));
    }
    let reader = reader();
    sleep(Duration::from_millis(15));
    let leaving = &endpoints[4];
    if has_trouble() {
        if sites[0].settings.fields["nodeName"] != reader {
            record.say(&format!("the list is read by {reader}, not by the largest machine"));
            return ExitCode::from(2);
        }
        sites[0].kill();
        record.say(&format!("machine {reader}, which reads the list, is lost for good"));
    }
    let left_at = Instant::now();
    store.remove("servers", &leaving.id);
    record.say(&format!("the store accepts that {} leaves", leaving.id));
    sleep(REPLACEMENT);
    let replacement = has_trouble().then(|| {
        let store_address = store.open_for("front-talca-4", store_host);
        let settings = settings("front-talca-4", hosts[3], ports, store_address, "0.5");
        Site::start(settings, &folder)
    });
    sleep(LINGER - REPLACEMENT);
    leaving.stop();
    sleep(Duration::from_secs(1));
    is_done.store(true, Ordering::SeqCst);
    let failures = clients.into_iter().flat_map(|client| client.join().unwrap_or_default());
    let failed = failures.filter(|at| *at > left_at).count();
    drop(replacement);
    let mut late = 0;
    let mut in_time = 0;
    for arrival in leaving.arrivals.lock().unwrap().iter() {
        if arrival.at <= left_at {
            continue;
        }
        let after_ms = arrival.at.duration_since(left_at).as_millis() as u64;
        record.line(&format!(
            "{} reaches {} {after_ms} ms after the store accepted that it leaves",
            arrival.request, leaving.id
        ));
        if after_ms > DRAIN_MS { late += 1 } else { in_time += 1 }
    }
    record.say(&format!(
        "{} requests sent; {in_time} reached the engine within {DRAIN_MS} ms after it left, {late} later; \
         {failed} requests failed after it left that may have run",
        sent.load(Ordering::SeqCst)
    ));
    if late > 0 {
        record.say("DRAIN is broken");
        return ExitCode::from(1);
    }
    record.say("DRAIN holds");
    ExitCode::SUCCESS
}
