use super::ByteSource;

/// The part of the limit that holders that may be ended keep beside those that may not, as a divisor.
///
/// Without it, large bodies of running requests have all other buffers ended, which doesn't free their memory.
const ENDABLE_DIVISOR: usize = 8;

/// The part of the limit up to which the body of a request is small, as a divisor.
///
/// Small requests go on beside protected bodies that take up the limit.
const SMALL_DIVISOR: usize = 64;

/// The multiple of a lowered limit up to which what was held before is kept.
const LOWERED_FACTOR: usize = 2;

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
/// that the buffers of the others are kept. Bodies of running requests are protected: they are refused before they run,
/// or kept to the end. A lowered limit ends no holder that was within the one before; it takes effect as they shrink.
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
    /// What was held when the limit was lowered, as far as it is still held.
    lowered_from: usize,
    held: usize,
    /// The part of the held bytes that belongs to protected holders.
    protected: usize,
    next_number: u64,
    /// Sorted by number.
    holders: Vec<ByteHolder>,
}

impl ByteLedger {
    /// Creates an empty ledger with a limit in bytes.
    pub fn new(limit: usize) -> ByteLedger {
        ByteLedger {
            limit,
            lowered_from: 0,
            held: 0,
            protected: 0,
            next_number: 0,
            holders: Vec::new(),
        }
    }

    /// Changes the limit, in bytes.
    ///
    /// What is held beyond a lower limit is kept, up to twice that limit.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
        self.lowered_from = self.held.min(limit.saturating_mul(LOWERED_FACTOR));
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
        let holder = &mut self.holders[index];
        let known = std::mem::replace(&mut holder.bytes, bytes);
        if !holder.is_endable {
            self.protected = self.protected - known + bytes;
        }
        self.set_held(self.held - known + bytes);
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

    /// Keeps a holder from being ended; returns false if it has been ended, or if the protected holders would exceed the
    /// limit, in which case it is ended.
    #[must_use]
    pub fn protect(&mut self, number: u64) -> bool {
        let Ok(index) = self.position(number) else {
            return false;
        };
        let bytes = self.holders[index].bytes;
        if !self.holders[index].is_endable {
            return true;
        }
        if bytes > 0 && self.protected + bytes > self.protected_limit(bytes) {
            self.close(number);
            return false;
        }
        self.holders[index].is_endable = false;
        self.protected += bytes;
        true
    }

    /// Removes a holder, if it has not been ended.
    pub fn close(&mut self, number: u64) {
        if let Ok(index) = self.position(number) {
            let holder = self.holders.remove(index);
            if !holder.is_endable {
                self.protected -= holder.bytes;
            }
            self.set_held(self.held - holder.bytes);
        }
    }

    /// Removes holders until the rest is within the limit, and returns their numbers and sources.
    ///
    /// Each one is the largest holder of the source that has the largest sum at that point. Sources without a holder
    /// that may be ended are passed over. Beside protected holders that take up the limit, the others keep a part of it.
    pub fn end_excess(&mut self) -> Vec<(u64, ByteSource)> {
        let mut ended = Vec::new();
        while self.held - self.protected > self.endable_limit() {
            let Some(index) = self.largest_holder() else {
                break;
            };
            let holder = self.holders.remove(index);
            self.set_held(self.held - holder.bytes);
            ended.push((holder.number, holder.source));
        }
        ended
    }

    /// Returns the limit in force: what was held when the limit was lowered is kept for as long as it is held.
    fn present_limit(&self) -> usize {
        self.limit.max(self.lowered_from)
    }

    /// Returns the bytes that the holders which may be ended may take together.
    fn endable_limit(&self) -> usize {
        let left = self.present_limit().saturating_sub(self.protected);
        left.max(self.limit / ENDABLE_DIVISOR)
    }

    /// Returns the bytes that protected holders may take together, with a further one of a size.
    fn protected_limit(&self, bytes: usize) -> usize {
        match bytes <= self.limit / SMALL_DIVISOR {
            true => self.present_limit() + self.limit / ENDABLE_DIVISOR,
            false => self.present_limit(),
        }
    }

    fn set_held(&mut self, held: usize) {
        self.held = held;
        self.lowered_from = self.lowered_from.min(held);
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
