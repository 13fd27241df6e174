"""Rules files for tests."""

from bulrushloom.rules.keys import key_digest

DIGEST = key_digest("test key")

RULES_TEXT = f"""\
# Orders service
domain santa-cruz region=jm-south             # ops: first site
domain black-river region=jm-south            # ops: second site
group orders-1                                # ops: order database group
target orders-1a group=orders-1 domain=santa-cruz address=127.0.0.1:9001 slots=3 \
connections=40  # ops: server
target orders-1b group=orders-1 domain=black-river address=[::1]:9002 slots=3 \
connections=40  # ops: server
target orders-1c group=orders-1 domain=santa-cruz address=127.0.0.1:9003 slots=3 \
connections=40  # ops: server

database orders group=orders-1                # maya: order app
account hotel-orders rate=200 burst=100 max_age=500ms   # maya: wholesale app
account dispatch rate=2.5 burst=10            # maya: truck booking
key hotel-orders {DIGEST} offline=10m         # maya: app key
allow hotel-orders orders                     # maya: the account may use it
leaving orders-1a                             # ops: server retires
"""


def with_line(line: str) -> str:
    """Return the rules with ``line`` appended."""
    return f"{RULES_TEXT}{line}\n"


def problems_text(problems) -> str:
    """Return all problems as one text."""
    assert isinstance(problems, list), "the rules were accepted"
    return "\n".join(str(problem) for problem in problems)
