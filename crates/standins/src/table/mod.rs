/*!
The stand-in for the table service, which stores versioned rows and commits transactions that check
versions.
*/

mod row_store;
mod table_counts;
mod table_standin;

pub use self::row_store::RowStore;
pub use self::table_counts::TableCounts;
pub use self::table_standin::TableStandin;
