use super::ByteSource;

/// A buffer that is charged to a source.
#[derive(Clone, Debug)]
struct ByteHolder {
    number: u64,
    source: ByteSource,
    bytes: usize,
    /// Whether the holder may be ended.
    is_endable: bool,
}

/// The bytes that a process holds in buffers, by the source that each is charged to, and their limit.
///
/// The decision which buffers to give up answers a load that passes each limit of a single buffer: many answers,
/// bodies or streams of one source that are large at the same time. It picks the source with the largest sum, so
/// that the buffers of the others are kept.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::ByteLedger;
/// use dandelionroad_core::relay::ByteSource;
///
/// let mut ledger = ByteLedger::new(100);
/// let flood = ByteSource::Server("127.0.0.1:8001".parse().unwrap());
/// let small = ledger.open(ByteSource::Account("a".to_owned()));
/// let (first, second) = (ledger.open(flood.clone()), ledger.open(flood));
/// assert!(ledger.resize(small, 30));
/// assert!(ledger.resize(first, 40));
/// assert!(ledger.resize(second, 35));
/// // 105 bytes are over the limit; the larger buffer of the larger source is given up.
/// assert_eq!(ledger.end_excess().iter().map(|(number, _)| *number).collect::<Vec<_>>(), [first]);
/// assert_eq!(ledger.held_bytes(), 65);
/// assert!(!ledger.resize(first, 50), "it has been ended");
/// ```
#[derive(Clone, Debug)]
pub struct ByteLedger {
    limit: usize,
    held: usize,
    next_number: u64,
    /// Sorted by number.
    holders: Vec<ByteHolder>,
}

impl ByteLedger {
    /// Creates an empty ledger with a limit in bytes.
    pub fn new(limit: usize) -> ByteLedger {
        ByteLedger {
            limit,
            held: 0,
            next_number: 0,
            holders: Vec::new(),
        }
    }

    /// Changes the limit, in bytes.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns the number of bytes held.
    pub fn held_bytes(&self) -> usize {
        self.held
    }

    /// Adds an empty holder and returns its number.
    pub fn open(&mut self, source: ByteSource) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.holders.push(ByteHolder {
            number,
            source,
            bytes: 0,
            is_endable: true,
        });
        number
    }

    /// Sets the size of a holder; returns false if it has been ended.
    #[must_use]
    pub fn resize(&mut self, number: u64, bytes: usize) -> bool {
        let Ok(index) = self.position(number) else {
            return false;
        };
        let known = std::mem::replace(&mut self.holders[index].bytes, bytes);
        self.held = self.held - known + bytes;
        true
    }

    /// Charges a holder to another source; returns false if it has been ended.
    pub fn reassign(&mut self, number: u64, source: ByteSource) -> bool {
        let position = self.position(number);
        if let Ok(index) = position {
            self.holders[index].source = source;
        }
        position.is_ok()
    }

    /// Keeps a holder from being ended; returns false if it has been ended.
    pub fn protect(&mut self, number: u64) -> bool {
        let position = self.position(number);
        if let Ok(index) = position {
            self.holders[index].is_endable = false;
        }
        position.is_ok()
    }

    /// Removes a holder, if it has not been ended.
    pub fn close(&mut self, number: u64) {
        if let Ok(index) = self.position(number) {
            self.held -= self.holders.remove(index).bytes;
        }
    }

    /// Removes holders until the rest is within the limit, and returns their numbers and sources.
    ///
    /// Each one is the largest holder of the source that has the largest sum at that point. Sources without a holder
    /// that may be ended are passed over; if only such sources are left, the rest may exceed the limit.
    pub fn end_excess(&mut self) -> Vec<(u64, ByteSource)> {
        let mut ended = Vec::new();
        while self.held > self.limit {
            let Some(index) = self.largest_holder() else {
                break;
            };
            let holder = self.holders.remove(index);
            self.held -= holder.bytes;
            ended.push((holder.number, holder.source));
        }
        ended
    }

    /// Returns the index of the largest holder of the largest source.
    fn largest_holder(&self) -> Option<usize> {
        let mut sums: Vec<(&ByteSource, usize)> = Vec::new();
        for holder in &self.holders {
            match sums.binary_search_by_key(&&holder.source, |(source, _)| source) {
                Ok(index) => sums[index].1 += holder.bytes,
                Err(index) => sums.insert(index, (&holder.source, holder.bytes)),
            }
        }
        let sum = |source: &ByteSource| {
            let index = sums.binary_search_by_key(&source, |(known, _)| known);
            index.map_or(0, |index| sums[index].1)
        };
        let holders = self.holders.iter().enumerate();
        let endable = holders.filter(|(_, holder)| holder.is_endable && holder.bytes > 0);
        endable
            .max_by_key(|(_, holder)| (sum(&holder.source), &holder.source, holder.bytes))
            .map(|(index, _)| index)
    }

    fn position(&self, number: u64) -> Result<usize, usize> {
        self.holders
            .binary_search_by_key(&number, |holder| holder.number)
    }
}
