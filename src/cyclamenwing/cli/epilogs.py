"""Examples and notes that each subcommand's help ends with."""

from __future__ import annotations

PROGRAM = """\
first look:
  cyclamenwing demo --once     sample requests through a small fleet
  cyclamenwing demo            the same fleet, left running for trials

exit codes:
  0    done
  1    an outcome differs, a promise was broken, or a request is unknown
  2    wrong use of the command line
  3    a file, a settings key or an address can't be used
  4    the store or a process of the fleet can't be reached or refused
  130  interrupted

Operators' commands that ask processes read the fleet's key from the
variable CYCLAMENWING_FLEET_KEY.
"""

_SETTINGS = """\
examples:
  cyclamenwing {role} {role}.json

The settings are JSON with comments; a fault is named as file:line: code:
what is wrong, with exit code 3. SIGTERM or SIGINT stops it gracefully:
requests in progress finish, new ones are refused.
"""

COMMANDS: dict[str, str] = {
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

A request is held once it was present at two endpoint crashes. A lift holds
for the whole fleet and is recorded in the audit trail. Exit code 1 if the
request was not held.
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

Two publishings of different services never conflict; of the same service,
the later one is refused with the other's author and change.
""",
    "order": """\
examples:
  cyclamenwing order load_model review-7b --route summaries \\
      --entry 127.0.0.1:8081
  cyclamenwing order set_role prefill --route summaries --host endpoint-3 \\
      --entry 127.0.0.1:8081 --json

Each order carries a fencing number; one that is overtaken is refused. Repeat
a failed one with its --id.
""",
    "audit": """\
examples:
  cyclamenwing audit --store 127.0.0.1:2379 --service records
  cyclamenwing audit --store 127.0.0.1:2379 --json

The records are chained by digests; exit code 1 if one is missing or
changed.
""",
    "status": """\
examples:
  cyclamenwing status --entry 127.0.0.1:8081 --entry 127.0.0.1:8181
  cyclamenwing status --entry 127.0.0.1:8081 --json

Shows which revision is in force where; exit code 1 if a process is missing.
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

The id names the payment: repeating the command with it counts once.
""",
    "explain": """\
examples:
  cyclamenwing explain 2f6c... --entry 127.0.0.1:8081 --entry 127.0.0.1:8181

The id is the X-Request-Id of the answer. Exit code 1 if no entry asked
knows the request.
""",
    "standin": """\
examples:
  cyclamenwing standin store 127.0.0.1:2379 --writes-per-s 300
  cyclamenwing standin engine 127.0.0.1:9000 --model assistant
  cyclamenwing standin service 127.0.0.1:9100 --faults faults.json

A faults file holds rows such as
  [{"call": "kv/txn", "kind": "lost_answer", "skip": 2, "count": 1,
    "delay_s": 0}]
with the kinds down, slow, lost_answer, cut, silent and garbage; a count of
-1 hits all calls. The store and the service take the same rows by POST to
/faults and tell by GET what they counted.
""",
    "demo": """\
examples:
  cyclamenwing demo --once
  cyclamenwing demo
  cyclamenwing demo --example matkaraha

With --once the exit code is 1 if a promise was broken.
""",
    "replay": """\
examples:
  cyclamenwing replay tests/traces/budget/*.json

Exit code 1 if an outcome differs from the one that the trace states.
""",
    "bench": """\
examples:
  cyclamenwing bench latency --json
  cyclamenwing bench latency --save latency.json

Everything is measured on this machine with stand-ins.
""",
}

__all__ = (
    "COMMANDS",
    "PROGRAM",
)
