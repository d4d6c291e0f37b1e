//! The project's program, started by the deploy file's command with a settings file of the platform's format.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::call_once;

/// The program that `deploy/system.toml` names; the scripts run in the repository's root.
const PROGRAM: &str = "target/release/dandelionroad-site";

/// The time within which a process must be ready after its start.
const READY_TIME: Duration = Duration::from_secs(20);

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// The option of `prctl` that sets the signal a process gets when its parent ends, and the number of SIGKILL.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// The ports of all machines, which are free on each loopback address of the case.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    /// The first of the ports between the machines.
    pub first: u16,
}

impl Ports {
    /// Picks ports that are free on all addresses.
    pub fn pick(hosts: &[Ipv4Addr]) -> Ports {
        for _ in 0..100 {
            let probe = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let first = probe.local_addr().unwrap().port();
            drop(probe);
            let ports = first..first.saturating_add(18);
            let is_free = |host: &Ipv4Addr| {
                ports.clone().all(|port| TcpListener::bind((*host, port)).is_ok())
            };
            if first < 65_000 && hosts.iter().all(is_free) {
                return Ports { front: first, ready: first + 1, first: first + 2 };
            }
        }
        panic!("no free ports");
    }
}

/// The settings of one machine.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    pub fields: BTreeMap<String, String>,
}

impl SiteSettings {
    /// Creates the settings of a front machine, with the bounds of the sheet of the first deployments.
    pub fn new(name: &str, zone: &str, host: Ipv4Addr, ports: Ports, store: SocketAddr) -> SiteSettings {
        let mut settings = SiteSettings { fields: BTreeMap::new() };
        let (front, ready, first) = (ports.front, ports.ready, ports.first);
        for (field, value) in [
            ("nodeName", name.to_owned()),
            ("role", "entry".to_owned()),
            ("machineClass", "front".to_owned()),
            ("serves", "front".to_owned()),
            ("ip", host.to_string()),
            ("zone", zone.to_owned()),
            ("region", "maule".to_owned()),
            ("listen.front", format!("{host}:{front}")),
            ("listen.ready", format!("{host}:{ready}")),
            ("portRange", format!("{first},{}", first + 15)),
            ("seeds", String::new()),
            ("bootstrap", "true".to_owned()),
            ("limits.cpuShare", "0.19".to_owned()),
            ("limits.cores", "1".to_owned()),
            ("limits.memoryMb", "260".to_owned()),
            ("limits.maxFds", "4100".to_owned()),
            ("limits.linkMbps", "1000.0".to_owned()),
            ("discovery", "platform".to_owned()),
            ("entry", "virtual_ip".to_owned()),
            ("heartbeatMs", "1200".to_owned()),
            ("bounds.seedLagS", "3".to_owned()),
            ("bounds.reuseAfterS", "2".to_owned()),
            ("bounds.stableWindowMs", "3000".to_owned()),
            ("bounds.ackMs", "4000".to_owned()),
            ("bounds.catchUpS", "4".to_owned()),
            ("bounds.drainMs", "2000".to_owned()),
            ("bounds.graceS", "8".to_owned()),
            ("bounds.lossSlackMs", "200".to_owned()),
            ("bounds.configApplyMs", "2000".to_owned()),
            ("bounds.rollbackSlackMs", "250".to_owned()),
            ("bounds.outerMs", "5000".to_owned()),
            ("bounds.revokeWhenPartitioned", "true".to_owned()),
            ("bounds.revokeMs", "5000".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.budgetSlack", "202".to_owned()),
            ("bounds.recoverS", "12".to_owned()),
            ("bounds.passMs", "120".to_owned()),
            ("bounds.againS", "0".to_owned()),
            ("bounds.stall_ms", "2000".to_owned()),
            ("bounds.requireFence", "false".to_owned()),
            ("platform.address", store.to_string()),
            ("platform.form", "table".to_owned()),
            ("platform.writesPerS", "400".to_owned()),
            ("platform.readsPerS", "2000".to_owned()),
            ("platform.txMs", "4.0".to_owned()),
            ("platform.rowBytes", "65536".to_owned()),
            ("platform.historyS", "20".to_owned()),
        ] {
            settings.fields.insert(field.to_owned(), value);
        }
        settings
    }

    /// Replaces a field.
    pub fn with(mut self, field: &str, value: &str) -> SiteSettings {
        self.fields.insert(field.to_owned(), value.to_owned());
        self
    }

    fn text(&self) -> String {
        let lines = self.fields.iter().map(|(field, value)| format!("{field}={value}\n"));
        lines.collect()
    }

    fn address(&self, field: &str) -> SocketAddr {
        self.fields[field].parse().expect("an address")
    }
}

/// A temporary folder that is removed with the value.
pub struct TempFolder {
    pub path: PathBuf,
}

impl TempFolder {
    /// Creates a folder for a case.
    pub fn create(case: &str) -> TempFolder {
        let name = format!("dandelionroad-review-{case}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a temporary folder");
        TempFolder { path }
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// A process of the project, which is killed with the value.
pub struct Site {
    pub settings: SiteSettings,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Site {
    /// Starts a process.
    pub fn start(settings: SiteSettings, folder: &TempFolder) -> Site {
        let site = Site {
            settings,
            folder: folder.path.clone(),
            child: Mutex::default(),
        };
        site.run();
        site
    }

    fn file(&self, suffix: &str) -> PathBuf {
        self.folder.join(format!("{}.{suffix}", self.settings.fields["nodeName"]))
    }

    /// Starts the process again after a kill.
    pub fn run(&self) {
        std::fs::write(self.file("conf"), self.settings.text()).expect("a settings file");
        let log = File::options().create(true).append(true).open(self.file("log")).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let mut command = Command::new(PROGRAM);
        command
            .env_clear()
            .env("DANDELIONROAD_BOOT", self.file("conf"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        // SAFETY: prctl is async-signal-safe and touches no memory of this process. The main thread starts all processes, so
        // that they end with the case, also if that is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .spawn()
            .expect("the program of the deploy file is built");
        *self.child.lock().unwrap() = Some(child);
    }

    /// Returns the address for clients.
    pub fn front(&self) -> SocketAddr {
        self.settings.address("listen.front")
    }

    /// Returns the host.
    pub fn host(&self) -> IpAddr {
        self.front().ip()
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ready = self.settings.address("listen.ready");
        call_once(ready, "GET", "/ready", &[("host", "ready")], &[], Duration::from_secs(1)).status == 200
    }

    /// Waits until it is ready; false if that takes too long.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + READY_TIME;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            // The shell's own command, as not each machine has a program for it.
            let command = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// Kills the process.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Replaces the settings file by one with another value in a field, and sends SIGHUP.
    pub fn change_setting(&self, field: &str, value: &str) {
        let text = self.settings.clone().with(field, value).text();
        let next = self.file("next");
        std::fs::write(&next, text).expect("a settings file");
        std::fs::rename(&next, self.file("conf")).expect("a settings file");
        self.signal("HUP");
    }

    /// Returns the most memory that the process has had, in megabytes, 0 if that is not known.
    pub fn peak_memory_mb(&self) -> u64 {
        let pid = self.child.lock().unwrap().as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let value = line.and_then(|line| line.split_whitespace().next());
        value.and_then(|value| value.parse::<u64>().ok()).unwrap_or(0) / 1_000
    }

    /// Returns the log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.file("log")).unwrap_or_default()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.kill();
    }
}
