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
        let priority = account
            .priority
            .filter(|priority| *priority > LOWEST_PRIORITY);
        let faults = faults.chain(priority.map(|priority| ConfigFault::LowPriority { priority }));
        findings.extend(faults.map(|fault| ConfigFinding {
            place: ConfigPlace::Account(position),
            fault,
        }));
    }
    findings.extend(find_shared(accounts));
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

/// Returns a finding for each account that holds a key of an earlier one.
fn find_shared(accounts: &[RelayAccount]) -> Vec<ConfigFinding> {
    let positions = accounts.iter().enumerate();
    let mut holders: Vec<(&str, usize)> = positions
        .flat_map(|(position, account)| {
            let keys = account.keys.iter();
            keys.map(move |key| (key.as_str(), position))
        })
        .collect();
    holders.sort_unstable();
    let same_key = holders.windows(2).filter(|pair| pair[0].0 == pair[1].0);
    let mut pairs: Vec<(usize, usize)> = same_key
        .map(|pair| (pair[1].1, pair[0].1))
        .filter(|(later, earlier)| later != earlier)
        .collect();
    pairs.sort_unstable();
    pairs.dedup();
    let finding = |(position, other)| ConfigFinding {
        place: ConfigPlace::Account(position),
        fault: ConfigFault::SharedKey { other },
    };
    pairs.into_iter().map(finding).collect()
}
