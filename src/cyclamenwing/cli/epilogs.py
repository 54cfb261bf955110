"""Epilogs of the help texts: examples and notes for each subcommand."""

from __future__ import annotations

PROGRAM = """\
getting started:
  cyclamenwing demo --once     send sample requests through a small fleet
  cyclamenwing demo            run the same fleet until it is interrupted

exit codes:
  0    success
  1    an outcome differs, a check failed, or a request is unknown
  2    invalid use of the command line
  3    a file, a settings key or an address can't be used
  4    the store or a process of the fleet is unreachable or refused a call
  130  interrupted

Subcommands that call the fleet's processes read the fleet key from the
environment variable CYCLAMENWING_FLEET_KEY.
"""

_SETTINGS = """\
examples:
  cyclamenwing {role} {role}.json

The settings are JSON with comments. A fault in them is printed as
"file:line: code: reason" and the exit code is 3. SIGTERM or SIGINT stops
the process gracefully: requests in progress finish, new ones are refused.
"""

COMMANDS: dict[str, str] = {
    "where": """\
examples:
  cyclamenwing where /chat/ --gateway 10.1.0.40:8229 --host api.example \\
      --workspace t1 --tokens 1460,80 --part 5c1e:800 --part 91bd:410

Nothing is sent to an endpoint and no tokens are reserved. The gateway's
setting operator_key_sha256 holds the digest of the key that the command reads
from CYCLAMENWING_FLEET_KEY. Exit code 1: no endpoint may get the request.
""",
    "entry": _SETTINGS.format(role="entry"),
    "sidecar": _SETTINGS.format(role="sidecar"),
    "gateway": """\
examples:
  cyclamenwing gateway gateway.json
  CYCLAMENWING_CONFIG=/etc/cyclamenwing/local.conf cyclamenwing gateway

docs/operations/platform.md describes the settings and the log.
""",
    "quarantine": """\
examples:
  cyclamenwing quarantine list --entry 127.0.0.1:7100
  cyclamenwing quarantine lift 0f3a5c7e9b1d2468 --entry 127.0.0.1:7100

A request is quarantined after two endpoint crashes during which it was
running. A lift applies to the whole fleet and is recorded in the audit
trail. Exit code 1 if the request was not quarantined.
""",
    "check": """\
examples:
  cyclamenwing check services/
  cyclamenwing check --json services/records.cyclamenwing.json

Folders are searched for *.cyclamenwing.json. Exit code 3 if any file has a
fault or none is found.
""",
    "publish": """\
examples:
  cyclamenwing publish services/ --store 127.0.0.1:2379
  cyclamenwing publish services/records.cyclamenwing.json \\
      --store 127.0.0.1:2379 --author ada

Publications of different services never conflict. Of two concurrent
publications of the same service, the later one is refused; the error names
the author and the revision of the other.
""",
    "order": """\
examples:
  cyclamenwing order load_model review-7b --route summaries \\
      --entry 127.0.0.1:8081
  cyclamenwing order set_role prefill --route summaries --host endpoint-3 \\
      --entry 127.0.0.1:8081 --json

Each order has a fencing token; an order whose token is stale is refused.
Repeat a failed order with its --id.
""",
    "audit": """\
examples:
  cyclamenwing audit --store 127.0.0.1:2379 --service records
  cyclamenwing audit --store 127.0.0.1:2379 --json

The records are linked by digests; exit code 1 if one is missing or altered.
""",
    "status": """\
examples:
  cyclamenwing status --entry 127.0.0.1:8081 --entry 127.0.0.1:8181
  cyclamenwing status --entry 127.0.0.1:8081 --json

Shows the revision that each process follows. Exit code 1 if a process is
unreachable or follows an older revision.
""",
    "bills": """\
examples:
  cyclamenwing bills --workspace panels --since 2026-12-01 \\
      --until 2027-01-01 --store 10.0.0.9:2379
""",
    "settle": """\
examples:
  cyclamenwing settle --store 10.0.0.9:2379
  cyclamenwing settle panels-tokens entry-1/5f0c --spent 1200 \\
      --workspace panels --store 10.0.0.9:2379
""",
    "top-up": """\
examples:
  cyclamenwing top-up panels-tokens 500000 --id order-17 \\
      --store 127.0.0.1:2379

The id identifies the payment: a repeated command with the same id counts
once.
""",
    "explain": """\
examples:
  cyclamenwing explain 2f6c... --entry 127.0.0.1:8081 --entry 127.0.0.1:8181

The id is the X-Request-Id of the answer. Exit code 1 if no queried
process has recorded the request.
""",
    "standin": """\
examples:
  cyclamenwing standin store 127.0.0.1:2379 --writes-per-s 300
  cyclamenwing standin engine 127.0.0.1:9000 --model assistant
  cyclamenwing standin service 127.0.0.1:9100 --faults faults.json

A faults file holds entries such as
  [{"call": "kv/txn", "kind": "lost_answer", "skip": 2, "count": 1,
    "delay_s": 0}]
with the kinds down, slow, lost_answer, cut, silent and garbage; a count of
-1 affects all calls. The store and the service accept the same entries by
POST to /faults and return their counters by GET.
""",
    "demo": """\
examples:
  cyclamenwing demo --once
  cyclamenwing demo
  cyclamenwing demo --example matkaraha

With --once the exit code is 1 if a check failed.
""",
    "replay": """\
examples:
  cyclamenwing replay tests/traces/budget/*.json

Exit code 1 if an outcome differs from the one expected in the trace.
""",
    "bench": """\
examples:
  cyclamenwing bench latency --json
  cyclamenwing bench latency --save latency.json

All benchmarks run on this machine with stand-ins.
""",
}

__all__ = (
    "COMMANDS",
    "PROGRAM",
)
