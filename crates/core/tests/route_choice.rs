//! Endpoint choice by load and by prompt prefix.
//!
//! Guards against an old load report that outweighs newer knowledge and so keeps requests away from
//! an idle endpoint, and against prefix affinity that overloads an endpoint or sends equal prompts
//! to different ones.

use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::route::EndpointPicker;
use dandelionroad_core::route::LoadReport;
use dandelionroad_core::route::PrefixIndex;
use dandelionroad_core::time::MilliTime;

fn names(count: usize) -> Vec<EndpointName> {
    (0..count)
        .map(|index| EndpointName::parse(&format!("e{index}")).unwrap())
        .collect()
}

#[test]
fn endpoint_picker_discounts_old_reports() {
    let names = names(2);
    let mut picker = EndpointPicker::new();
    picker.set_endpoints(names.iter().map(|name| (name.clone(), 100)));
    let report = LoadReport {
        queued_units: 400,
        running_units: 0,
        units_per_second: 100,
    };
    let start = MilliTime::from_millis(0);
    picker.record_report(&names[0], &report, start);
    picker.add_work(&names[1], 100);
    assert_eq!(
        picker.pick_faster(&names[0], &names[1], 1, start),
        &names[1]
    );
    let later = start.plus(5_000);
    assert_eq!(
        picker.pick_faster(&names[0], &names[1], 1, later),
        &names[0]
    );
}

#[test]
fn endpoint_picker_avoids_until_time() {
    let names = names(2);
    let mut picker = EndpointPicker::new();
    picker.set_endpoints(names.iter().map(|name| (name.clone(), 100)));
    picker.add_work(&names[1], 900);
    picker.avoid(&names[0], MilliTime::from_millis(50));
    let better =
        |millis| picker.pick_faster(&names[0], &names[1], 1, MilliTime::from_millis(millis));
    assert_eq!(better(49), &names[1]);
    assert_eq!(better(50), &names[0]);
}

#[test]
fn prefix_index_keeps_prefix_within_load_bound() {
    let names = names(8);
    let index = PrefixIndex::new();
    let now = MilliTime::from_millis(0);
    let prefix = PrefixIndex::key("rope-works", "llama", "quote for net line");
    let mut loads = [1.0; 8];
    let choose = |loads: &[f64; 8]| {
        let candidates: Vec<_> = names.iter().zip(loads.iter().copied()).collect();
        index.choose(prefix, &candidates, now).unwrap().clone()
    };
    let preferred = choose(&loads);
    assert_eq!(choose(&loads), preferred);
    let position = names.iter().position(|name| *name == preferred).unwrap();
    loads[position] = 2.0;
    let second = choose(&loads);
    assert_ne!(second, preferred);
    loads[position] = 1.1;
    assert_eq!(choose(&loads), preferred);
}

#[test]
fn prefix_index_treats_events_as_hints() {
    let names = names(4);
    let mut index = PrefixIndex::new();
    let now = MilliTime::from_millis(0);
    let candidates: Vec<_> = names.iter().map(|name| (name, 1.0)).collect();
    let preferred = index.choose(7, &candidates, now).unwrap().clone();
    let other = names.iter().find(|name| **name != preferred).unwrap();
    index.record_cache_event(7, other, true, now);
    assert_eq!(index.choose(7, &candidates, now), Some(other));
    // A hint for an endpoint that is gone or overloaded must not leave the prefix without one.
    let rest: Vec<_> = candidates
        .iter()
        .copied()
        .filter(|(name, _)| *name != other)
        .collect();
    assert_eq!(index.choose(7, &rest, now), Some(&preferred));
    index.record_cache_event(7, other, false, now);
    assert_eq!(index.choose(7, &candidates, now), Some(&preferred));
}
