"""Header names, paths and store keys of the platform's protocol."""

ATTEMPT_ID = b"x-attempt-id"
TIME_REMAINING = b"x-time-remaining"
EXPECTED_ENDPOINT = b"x-expected-instance"
WORKSPACE = b"x-tenant"
URGENCY = b"x-request-urgency"
# Engines that prefill parts of the prompt, each with its memory reservation.
HELPERS = b"x-helpers"
TOKEN_COUNTS = b"x-token-counts"
# The parts of the prompt in order, as ID:TOKENS separated by commas.
PROMPT_PARTS = b"x-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
# The requests a second that an endpoint takes from all nodes together.
RATE_LIMIT = b"server-limit"
# The endpoint's load, as RUNNING,WAITING,SLOTS, in all its answers.
REPORTED_LOAD = b"x-server-load"
# Whether the endpoint leaves, in all its answers.
ENDPOINT_LEAVING = b"server-leaving"
SIGNATURE = b"x-response-signature"
NOT_RUN = b"x-not-executed"
# In a refusal that another endpoint caused: the endpoint at fault.
FAULTY_ENDPOINT = b"at-server"
AUTHORIZATION = b"authorization"

READINESS_PATH = b"/savoryhill/readiness"
ORDER_PATH = b"/savoryhill/order"
SETTINGS_VARIABLE = "SAVORYHILL_NODE_FILE"

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
ENDPOINT_PREFIX = "servers/"
NODE_PREFIX = "nodes/"
# The crashes because of which requests and parts of prompts are refused.
REFUSALS_KEY = "refusals"

# Counts how often the store has come back from an older copy of itself.
STORE_ERA = b"store-era"
STORE_KEY_PATH = "/savoryhill/kv-key"
STORE_RANGE_PATH = "/savoryhill/kv-range"
STORE_WATCH_PATH = "/savoryhill/kv-watch"
STORE_TRANSACTION_PATH = "/savoryhill/kv-txn"
STORE_LEASE_PATH = "/savoryhill/kv-lease"
STORE_RENEW_PATH = "/savoryhill/kv-keep/"
