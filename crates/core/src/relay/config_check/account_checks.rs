use crate::relay::RelayAccount;
use crate::relay::RelayConfig;

use super::ConfigFault;
use super::ConfigFinding;
use super::ConfigPlace;
use super::LOWEST_PRIORITY;

/// Returns the findings of the client accounts.
pub(super) fn check_accounts(config: &RelayConfig) -> Vec<ConfigFinding> {
    let accounts = &config.accounts;
    if accounts.is_empty() {
        let needs_key = config.routes.iter().any(|route| !route.is_public);
        let finding = needs_key.then_some(ConfigFinding {
            place: ConfigPlace::Whole,
            fault: ConfigFault::NoAccounts,
        });
        return finding.into_iter().collect();
    }
    let mut findings = Vec::new();
    for (position, account) in accounts.iter().enumerate() {
        let faults = check_keys(account).into_iter();
        let faults = faults.chain(find_shared(&accounts[..position], account));
        let priority = account
            .priority
            .filter(|priority| *priority > LOWEST_PRIORITY);
        let faults = faults.chain(priority.map(|priority| ConfigFault::LowPriority { priority }));
        findings.extend(faults.map(|fault| ConfigFinding {
            place: ConfigPlace::Account(position),
            fault,
        }));
    }
    findings
}

fn check_keys(account: &RelayAccount) -> Vec<ConfigFault> {
    if account.keys.is_empty() {
        return vec![ConfigFault::NoKeys];
    }
    let mut faults = Vec::new();
    let is_unusable = |key: &String| key.is_empty() || key.trim() != key;
    if account.keys.iter().any(is_unusable) {
        faults.push(ConfigFault::UnusableKey);
    }
    let mut keys: Vec<&String> = account.keys.iter().collect();
    keys.sort_unstable();
    keys.dedup();
    if keys.len() < account.keys.len() {
        faults.push(ConfigFault::RepeatedKey);
    }
    faults
}

/// Returns a fault for each earlier account that holds a key of `account`.
fn find_shared(earlier: &[RelayAccount], account: &RelayAccount) -> Vec<ConfigFault> {
    let shares_key = |other: &RelayAccount| other.keys.iter().any(|key| account.keys.contains(key));
    let others = earlier.iter().enumerate();
    let others = others.filter(|(_, other)| shares_key(other));
    others
        .map(|(other, _)| ConfigFault::SharedKey { other })
        .collect()
}
