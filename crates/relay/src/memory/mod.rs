/*!
The budget of the bytes that a process holds for others: bodies of callers and of engines, and what is read from
other processes.

Each buffer is bounded on its own, but many of them at once can exceed the memory of the host, which ends the process
and all its requests. A buffer is charged to the party that fills it by a [`HeldBytes`]. When the sum exceeds the
budget, the buffers of the party that takes the most are given up.
*/

mod avoid_floods;
mod body_pieces;
mod byte_budget;
mod held_body;
mod held_bytes;
mod holder_signal;
mod read_bounded;
mod read_fault;

pub use self::avoid_floods::avoid_floods;
pub use self::body_pieces::BodyPieces;
pub use self::byte_budget::ByteBudget;
pub use self::held_body::HeldBody;
pub use self::held_bytes::HeldBytes;
use self::holder_signal::HolderSignal;
pub use self::read_bounded::read_bounded;
pub use self::read_fault::ReadFault;
