use super::ChangeTicket;
use super::CommitCheck;
use super::CommitWrite;
use super::LogRecord;
use super::StoredRow;
use super::TicketRecord;
use super::row_keys::REVISION_KEY;
use super::row_keys::log_key;
use super::row_keys::object_key;
use super::row_keys::ticket_key;

/// The transaction that commits a ticket atomically.
///
/// The check of the revision row alone serializes all tickets. Because each commit writes that row, a
/// plan can take effect at most once, and is safe to commit again after a lost answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommitPlan {
    /// The revision that the plan creates.
    pub revision: u64,
    /// The preconditions; the first one checks the revision row.
    pub checks: Vec<CommitCheck>,
    /// The rows to write.
    pub writes: Vec<CommitWrite>,
}

impl CommitPlan {
    /// Creates the plan that commits a ticket as the revision after `base`.
    ///
    /// `token` identifies the submission, and `accepted_at_ms` is the wall-clock time of its
    /// acceptance. `rows` are the existing rows among [`CommitPlan::keys`].
    pub fn new(
        ticket: &ChangeTicket,
        token: &str,
        accepted_at_ms: u64,
        base: u64,
        rows: &[StoredRow],
    ) -> CommitPlan {
        let revision = base + 1;
        let checks = CommitPlan::keys(ticket).into_iter().map(|key| CommitCheck {
            version: find_row(rows, &key).map(|row| row.version),
            key,
        });
        let record = TicketRecord {
            revision,
            token: token.to_owned(),
            digest: TicketRecord::digest_of(ticket),
        };
        let log = LogRecord {
            revision,
            accepted_at_ms,
            ticket: ticket.clone(),
        };
        let mut writes = vec![
            new_write(REVISION_KEY.to_owned(), &revision),
            new_write(ticket_key(ticket.number), &record),
            new_write(log_key(revision), &log),
        ];
        for change in ticket.changes(revision) {
            let key = object_key(change.mark.kind, &change.mark.name);
            writes.push(new_write(key, &change));
        }
        CommitPlan {
            revision,
            checks: checks.collect(),
            writes,
        }
    }

    /// Returns the keys of the rows that a plan depends on: the revision, the ticket and its objects.
    pub fn keys(ticket: &ChangeTicket) -> Vec<String> {
        let changes = ticket.changes(0);
        let objects = changes
            .iter()
            .map(|change| object_key(change.mark.kind, &change.mark.name));
        let mut keys = vec![REVISION_KEY.to_owned(), ticket_key(ticket.number)];
        keys.extend(objects);
        keys
    }
}

/// Finds a row by its key.
pub(super) fn find_row<'a>(rows: &'a [StoredRow], key: &str) -> Option<&'a StoredRow> {
    rows.iter().find(|row| row.key == key)
}

fn new_write<T: serde::Serialize>(key: String, value: &T) -> CommitWrite {
    CommitWrite {
        key,
        value: serde_json::to_string(value).expect("row values have only string keys"),
    }
}
