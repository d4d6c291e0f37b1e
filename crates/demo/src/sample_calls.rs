use super::ACCOUNT_SECRET;
use super::ADMIN_TOKEN;
use super::MODEL;

const ENTRY_1_URL: &str = "http://127.0.0.1:8080";
const ENTRY_2_URL: &str = "http://127.0.0.1:8090";
const ADMIN_URL: &str = "http://127.0.0.1:9080";
const BOOKING_URL: &str = "http://127.0.0.1:8110";

/// Returns sample command lines for the demonstration on fixed ports.
pub fn sample_calls() -> String {
    let bearer = format!("-H 'authorization: Bearer {ACCOUNT_SECRET}'");
    let json = "-H 'content-type: application/json'";
    format!(
        "Ready: two entries, a three-stage pipeline and a booking service run on loopback.

Stream an answer through the three stages:
  curl -N {ENTRY_1_URL}/v1/completions {bearer} {json} \\
    -d '{{\"model\":\"{MODEL}\",\"prompt\":\"how do I splice a hawser\",\"max_tokens\":24,\"stream\":true}}'

Request a chat completion without streaming, from the other entry:
  curl {ENTRY_2_URL}/v1/chat/completions {bearer} {json} \\
    -d '{{\"model\":\"{MODEL}\",\"messages\":[{{\"role\":\"user\",\"content\":\"which knot\"}}]}}'

Book; when the line is repeated, the entry returns the recorded answer of the first call:
  curl -i {ENTRY_2_URL}/services/booking/book {bearer} {json} -H 'idempotency-key: order-1' \\
    -d '{{\"item\":\"hawser\",\"quantity\":1}}'
  curl {BOOKING_URL}/count

Read the stock:
  curl {ENTRY_1_URL}/services/booking/stock/hawser {bearer}

Show the configuration and the members:
  curl {ADMIN_URL}/admin/v1/config -H 'authorization: Bearer {ADMIN_TOKEN}'
  curl {ADMIN_URL}/admin/v1/members -H 'authorization: Bearer {ADMIN_TOKEN}'

Press Ctrl-C to stop."
    )
}
