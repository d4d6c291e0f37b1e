/*!
Clients of the transactional table service.
*/

mod commit_reply;
mod http_table;
mod row_check;
mod row_write;
mod table_client;
mod table_commit;
mod table_row;

pub use self::commit_reply::CommitReply;
pub use self::http_table::HttpTable;
pub use self::row_check::RowCheck;
pub use self::row_write::RowWrite;
pub use self::table_client::TableClient;
pub use self::table_commit::TableCommit;
pub use self::table_row::TableRow;
