"""starlinggap: the decisions of a gateway that shares quotas and servers with other gateways.

`Gateway.handle` takes events and returns actions (`interface`); it does no I/O and reads no clock. This is
the way of a request through `brain.Gateway`:

Charge (`on_request`, `call_counter`). Each account has a total for each of its windows on the shared
counter (`quota.counter_name`). The gateway adds the request's units to the current one; the answer is the
total after the add. It comes in `on_counted`, or `on_timer` finds it late.

Admit (`check_total`, `apply_decision`). The use so far is the total before the add, plus the last window's
total weighted by the part of it that still counts. If the cost fits the rest of the quota the request is
sent, else its units are taken back (`refund`) and it is refused. `Account.deficit` follows the plan's token
bucket, of which clients are told: it decides while the counter cannot (`decide_locally`), and gives the
time in a refusal.

Beyond the quota, a request is still sent where its plan earns more by it than it costs, under a hard
ceiling. The ceiling is split evenly among the gateways, so that it holds without the counter:
`Account.headroom` is what is left of this gateway's part.

Spare the counter (`should_call_counter`, `record_failed_call`). `call_share` is the share of requests that
call the counter: it grows by quick answers and is cut by late ones. Below 1 the counter is taken as
overloaded, and the other requests are decided locally. Their units are uncounted until a later call takes
them along (`count_later`).

Shed load (`should_shed`). Time over aim of recent answers and of attempts in flight tells the overload.
What is shed are the requests of the lowest worth per second; clients are told to come back later
(`retry_after`).

Choose a server (`choose_server`). Of two servers drawn at random, the one with the shorter expected wait. A
server that has just started is cold. It would collapse if all gateways together sent it more within
`Settings.collapse_time` than `collapse_ratio` times what it can do at that age; `draw_candidates` keeps
below this limit.

Send and retry (`dispatch`, `on_outcome`). A failed attempt is repeated only if a repeat does no harm
(`may_send`) and, after a sign of load, if the retry budget has one left. What cannot be sent is refused if
the client may repeat it, else failed (`give_up`).

Eject (`record_outcome`). A server of which too many attempts of one class fail gets no requests of that
class for a time, which doubles with each ejection; then one trial request decides.
"""

from starlinggap.brain import Gateway
from starlinggap.interface import SettingsError

__all__ = ["Gateway", "SettingsError"]
