use dandelionroad_core::admit::WorkUnits;
use dandelionroad_core::route::FlowLink;

use super::Fleet;
use super::sim_clock::MILLI_US;
use super::sim_clock::SECOND_US;

/// The one-way delay between two zones.
const ZONE_DELAY_US: u64 = MILLI_US / 2;

/// The one-way delay within a zone.
const LOCAL_DELAY_US: u64 = MILLI_US / 10;

/// A link in one direction between two zones.
#[derive(Clone, Copy, Debug)]
struct SimLink {
    units_per_second: u64,
    /// The simulated time at which the last transfer so far leaves the link, in microseconds.
    free_at_us: u64,
}

/// The links between all pairs of zones.
///
/// A link sends one transfer after the other at its rate; each arrives after a delay.
pub(super) struct SimLinks {
    links: Vec<Option<SimLink>>,
    zones: usize,
}

impl SimLinks {
    pub(super) fn new(zones: usize, rates: &[FlowLink]) -> SimLinks {
        let mut links = SimLinks {
            links: vec![None; zones * zones],
            zones,
        };
        links.set_rates(rates);
        links
    }

    /// Sets the rates; transfers that were sent before keep their arrival times.
    pub(super) fn set_rates(&mut self, rates: &[FlowLink]) {
        for rate in rates {
            let index = Fleet::zone_index(&rate.from) * self.zones + Fleet::zone_index(&rate.to);
            let free_at_us = self.links[index].map_or(0, |link| link.free_at_us);
            self.links[index] = Some(SimLink {
                units_per_second: WorkUnits::default().per_second(rate.tokens_per_second),
                free_at_us,
            });
        }
    }

    /// Sends `units` of work from a zone to another; returns the time of arrival in microseconds.
    pub(super) fn send(&mut self, now_us: u64, from: usize, to: usize, units: u64) -> u64 {
        if from == to {
            return now_us + LOCAL_DELAY_US;
        }
        match &mut self.links[from * self.zones + to] {
            Some(link) => {
                let start_us = now_us.max(link.free_at_us);
                link.free_at_us = start_us + units * SECOND_US / link.units_per_second.max(1);
                link.free_at_us + ZONE_DELAY_US
            }
            None => now_us + ZONE_DELAY_US,
        }
    }
}
